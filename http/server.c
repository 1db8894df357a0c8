/**
 * @file
 * HTTP/JSON server over libmicrohttpd.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <glib.h>
#include <limits.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string.h>

#include "http/address.h"
#include "http/connections.h"
#include "http/json.h"
#include "http/server.h"

struct wv_http_server {
	struct MHD_Daemon *daemon;
	struct wv_http_handler *handler;
	struct wv_http_connections *connections;
	size_t max_body; /* bytes */
};

/* One HTTP request and, once it is answered, its response. */
struct wv_http_call {
	struct wv_http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *path;
	GByteArray *body;
	bool too_large; /* the body exceeds max_body */
	bool dispatched; /* the handler has the call, or it was refused */
	bool dropped; /* to be closed without a response */
	struct MHD_Response *response;
	unsigned int http_status;
	GPtrArray *headers; /* names and values in turn, owned */
};

unsigned int
wv_http_status_for_code(enum wv_code code)
{
	switch (code) {
	case WV_OK:
		return MHD_HTTP_OK;
	case WV_BODY_TOO_LARGE:
		return MHD_HTTP_CONTENT_TOO_LARGE;
	case WV_METHOD_NOT_ALLOWED:
		return MHD_HTTP_METHOD_NOT_ALLOWED;
	case WV_NOT_FOUND:
	case WV_UNKNOWN_BACK_END:
	case WV_JOB_NOT_FOUND:
		return MHD_HTTP_NOT_FOUND;
	case WV_UNKNOWN_CUSTOMER:
	case WV_RANK_NOT_ALLOWED:
	case WV_DEADLINE_NOT_ALLOWED:
		return MHD_HTTP_FORBIDDEN;
	case WV_UNAUTHORIZED:
		return MHD_HTTP_UNAUTHORIZED;
	case WV_RATE_LIMIT:
	case WV_CONCURRENCY_LIMIT:
		return MHD_HTTP_TOO_MANY_REQUESTS;
	case WV_VERSION_CONFLICT:
	case WV_JOB_IN_PROGRESS:
	case WV_KEY_REUSED:
		return MHD_HTTP_CONFLICT;
	case WV_DEADLINE_EXCEEDED:
	case WV_JOB_UNKNOWN:
		return MHD_HTTP_GATEWAY_TIMEOUT;
	case WV_INTERNAL:
	case WV_OUT_OF_MEMORY:
		return MHD_HTTP_INTERNAL_SERVER_ERROR;
	default:
		break;
	}
	/* Codes of invalid requests, and of invalid objects and frames. */
	if (code < 200 || code >= 600)
		return MHD_HTTP_BAD_REQUEST;
	return MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Returns what on_connection() stored for a connection. */
static struct wv_http_connection *
find_connection(struct MHD_Connection *connection)
{
	return MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
	    ->socket_context;
}

static struct wv_http_call *
call_create(struct wv_http_server *server, struct MHD_Connection *connection,
    const char *path, const char *method)
{
	struct wv_http_call *call = g_new0(struct wv_http_call, 1);

	call->server = server;
	call->connection = connection;
	call->path = g_strdup(path);
	call->method = g_strdup(method);
	call->body = g_byte_array_new();
	call->headers = g_ptr_array_new_with_free_func(g_free);
	return call;
}

static void
call_destroy(struct wv_http_call *call)
{
	if (call->response != NULL)
		MHD_destroy_response(call->response);
	g_ptr_array_unref(call->headers);
	g_byte_array_unref(call->body);
	g_free(call->path);
	g_free(call->method);
	g_free(call);
}

static void
call_append_body(struct wv_http_call *call, const char *data, size_t size)
{
	if (call->too_large)
		return;
	if (call->body->len + size > call->server->max_body) {
		call->too_large = true;
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)data, (guint)size);
}

/*
 * Suspends the connection and passes a complete call to the handler, which may
 * answer it before this returns.
 */
static void
call_dispatch(struct wv_http_call *call)
{
	struct wv_http_handler *handler = call->server->handler;
	struct wv_status status;

	call->dispatched = true;
	MHD_suspend_connection(call->connection);
	if (call->too_large) {
		wv_status_set(&status, WV_BODY_TOO_LARGE,
		    "the body is larger than %zu bytes",
		    call->server->max_body);
		wv_http_call_fail(call, &status);
		return;
	}
	if (handler->ops->before_handle != NULL)
		handler->ops->before_handle(handler);
	handler->ops->handle(handler, call);
}

/*
 * libmicrohttpd calls this first with the header, then for each piece of the
 * body, then without data at the end, and once more when the connection is
 * resumed with an answer.
 */
static enum MHD_Result
on_access(void *data, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_size, void **request)
{
	struct wv_http_call *call = *request;

	(void)version;
	if (call == NULL) {
		wv_http_connection_touch(find_connection(connection));
		*request = call_create(data, connection, url, method);
		return MHD_YES;
	}
	if (*upload_size > 0) {
		call_append_body(call, upload_data, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!call->dispatched) {
		if (!wv_http_connection_begin(find_connection(connection)))
			return MHD_NO;
		call_dispatch(call);
		return MHD_YES;
	}
	if (call->dropped)
		return MHD_NO;
	return MHD_queue_response(
	    connection, call->http_status, call->response);
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **request,
    enum MHD_RequestTerminationCode reason)
{
	(void)data;
	(void)reason;
	if (*request != NULL)
		call_destroy(*request);
	*request = NULL;
	wv_http_connection_end(find_connection(connection));
}

/* libmicrohttpd calls this after accepting a socket and before closing it. */
static void
on_connection(void *data, struct MHD_Connection *connection, void **context,
    enum MHD_ConnectionNotificationCode event)
{
	struct wv_http_server *server = data;
	const union MHD_ConnectionInfo *info;

	if (event == MHD_CONNECTION_NOTIFY_CLOSED) {
		wv_http_connection_remove(*context);
		*context = NULL;
		return;
	}
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	*context =
	    wv_http_connection_add(server->connections, info->connect_fd);
}

static void
on_yield(void *data)
{
	struct wv_http_handler *handler =
	    ((struct wv_http_server *)data)->handler;

	handler->ops->on_yield(handler);
}

struct wv_http_server *
wv_http_server_start(const struct wv_http_server_config *config,
    struct wv_http_handler *handler, struct wv_status *status)
{
	struct wv_http_server *server = g_new0(struct wv_http_server, 1);
	unsigned int flags =
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
	unsigned int limit = config->max_connections;
	struct sockaddr_in address;

	if (!wv_address_parse(config->address, &address)) {
		wv_status_set(status, WV_INTERNAL, "%.*s is not IP:PORT",
		    (int)config->address.length, config->address.data);
		g_free(server);
		return NULL;
	}
	server->handler = handler;
	server->max_body = config->max_body;
	if (limit < config->threads)
		limit = 1024 * config->threads;
	/* Without the handler's consent, no connection yields. */
	server->connections = wv_http_connections_create(
	    handler->ops->on_yield != NULL ? limit / config->threads : UINT_MAX,
	    on_yield, server);
	server->daemon = MHD_start_daemon(flags, 0, NULL, NULL, on_access,
	    server, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_LISTEN_SOCKET,
	    config->listener > 0 ? config->listener : MHD_INVALID_SOCKET,
	    MHD_OPTION_CONNECTION_LIMIT, limit, MHD_OPTION_THREAD_POOL_SIZE,
	    config->threads > 1 ? config->threads : 0,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)(config->idle_timeout / 1000.0),
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
	    server, MHD_OPTION_END);
	if (server->daemon == NULL) {
		wv_status_set(status, WV_INTERNAL, "cannot listen on %.*s",
		    (int)config->address.length, config->address.data);
		wv_http_connections_destroy(server->connections);
		g_free(server);
		return NULL;
	}
	return server;
}

uint16_t
wv_http_server_port(const struct wv_http_server *server)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info == NULL ? 0 : info->port;
}

unsigned int
wv_http_server_count_connections(const struct wv_http_server *server)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
	    server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info == NULL ? 0 : info->num_connections;
}

void
wv_http_server_quiesce(struct wv_http_server *server)
{
	/* libmicrohttpd stops accepting, but leaves the socket open. */
	MHD_socket listener = MHD_quiesce_daemon(server->daemon);

	if (listener != MHD_INVALID_SOCKET)
		shutdown(listener, SHUT_RDWR);
}

void
wv_http_server_stop(struct wv_http_server *server)
{
	MHD_stop_daemon(server->daemon);
	wv_http_connections_destroy(server->connections);
	g_free(server);
}

const char *
wv_http_call_method(const struct wv_http_call *call)
{
	return call->method;
}

const char *
wv_http_call_path(const struct wv_http_call *call)
{
	return call->path;
}

struct wv_string
wv_http_call_body(const struct wv_http_call *call)
{
	struct wv_string body = {(char *)call->body->data, call->body->len};

	return body;
}

const char *
wv_http_call_query_argument(const struct wv_http_call *call, const char *name)
{
	return MHD_lookup_connection_value(
	    call->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
wv_http_call_header(const struct wv_http_call *call, const char *name)
{
	return MHD_lookup_connection_value(
	    call->connection, MHD_HEADER_KIND, name);
}

void
wv_http_call_set_header(
    struct wv_http_call *call, const char *name, const char *value)
{
	g_ptr_array_add(call->headers, g_strdup(name));
	g_ptr_array_add(call->headers, g_strdup(value));
}

static void
add_response_headers(struct wv_http_call *call)
{
	MHD_add_response_header(
	    call->response, "Content-Type", "application/json");
	for (guint i = 0; i + 1 < call->headers->len; i += 2)
		MHD_add_response_header(call->response, call->headers->pdata[i],
		    call->headers->pdata[i + 1]);
}

void
wv_http_call_answer(
    struct wv_http_call *call, unsigned int http_status, struct wv_string json)
{
	call->http_status = http_status;
	call->response = MHD_create_response_from_buffer(
	    json.length, json.data, MHD_RESPMEM_MUST_COPY);
	add_response_headers(call);
	MHD_resume_connection(call->connection);
}

void
wv_http_call_fail(struct wv_http_call *call, const struct wv_status *status)
{
	struct wv_string json = wv_json_serialize_status(status);

	wv_http_call_answer(call, wv_http_status_for_code(status->code), json);
	wv_string_clear(&json);
}

void
wv_http_call_drop(struct wv_http_call *call)
{
	call->dropped = true;
	MHD_resume_connection(call->connection);
}

/* A response body of which only the first bytes are sent. */
struct truncated_body {
	struct wv_string json; /* owned */
	size_t sent; /* bytes to send */
};

static ssize_t
read_truncated(void *data, uint64_t offset, char *buffer, size_t size)
{
	struct truncated_body *body = data;
	size_t left = body->sent - (size_t)offset;

	if (left == 0)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (left > size)
		left = size;
	memcpy(buffer, body->json.data + offset, left);
	return (ssize_t)left;
}

static void
free_truncated(void *data)
{
	struct truncated_body *body = data;

	wv_string_clear(&body->json);
	g_free(body);
}

void
wv_http_call_truncate(struct wv_http_call *call, unsigned int http_status,
    struct wv_string json, size_t sent)
{
	struct truncated_body *body = g_new0(struct truncated_body, 1);

	body->json = wv_string_copy(json);
	body->sent = sent;
	call->http_status = http_status;
	call->response = MHD_create_response_from_callback(
	    json.length, 4096, read_truncated, body, free_truncated);
	add_response_headers(call);
	MHD_resume_connection(call->connection);
}
