/**
 * @file
 * HTTP/JSON client over libcurl's multi interface.
 */
#include <curl/curl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>

#include "http/client.h"

/* Longest response body that is accepted, bytes. */
#define MAX_RESPONSE_SIZE (4u << 20)
/* Interim responses that are skipped before the final one. */
#define MAX_INTERIM_RESPONSES 16
/* Upper bound of each request's connect timeout, ms. */
#define MAX_CONNECT_TIMEOUT 1000.0

/* A request in progress and the part of its response received so far. */
struct exchange {
	CURL *easy; /* owned */
	struct curl_slist *headers; /* of the request; owned */
	GByteArray *body; /* of the response; owned */
	char error[CURL_ERROR_SIZE]; /* libcurl's message; may be empty */
	bool draining; /* the response has the header X-Drain */
	unsigned int n_interim; /* interim responses received */
	bool invalid_status; /* of the response */
	wv_http_callback done;
	void *data;
	void (*release)(void *data);
};

struct wv_http_client {
	CURLM *multi;
	GHashTable *exchanges; /* set of struct exchange, owned */
};

/* libcurl's write callback; a short count aborts the transfer. */
static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
	struct exchange *ex = user;
	size_t length = size * count;

	if (ex->body->len + length > MAX_RESPONSE_SIZE)
		return 0;
	g_byte_array_append(ex->body, (const guint8 *)data, (guint)length);
	return length;
}

/*
 * Returns the status of a status line, or 0 if it has not exactly three digits
 * from 100 to 599. libcurl accepts others, such as 000, 600 or 0200.
 */
static unsigned int
parse_status(const char *line, size_t length)
{
	static const char version[] = "HTTP/1.";
	const char *code = line + sizeof(version) + 1;

	if (length < sizeof(version) + 5 ||
	    memcmp(line, version, sizeof(version) - 1) != 0 ||
	    !g_ascii_isdigit(code[-2]) || code[-1] != ' ' || code[0] < '1' ||
	    code[0] > '5' || !g_ascii_isdigit(code[1]) ||
	    !g_ascii_isdigit(code[2]) || strchr(" \r\n", code[3]) == NULL ||
	    code[3] == '\0')
		return 0;
	return (unsigned int)(100 * (code[0] - '0') + 10 * (code[1] - '0') +
	    code[2] - '0');
}

/*
 * Returns whether the response with a status line may be read on. It may not
 * switch protocols, since no request asks for that.
 */
static bool
accept_status(struct exchange *ex, const char *line, size_t length)
{
	unsigned int status = parse_status(line, length);

	return status >= 200 ||
	    (status >= 100 && status != 101 &&
		++ex->n_interim <= MAX_INTERIM_RESPONSES);
}

/* libcurl's header callback; a short count aborts the transfer. */
static size_t
on_header(char *data, size_t size, size_t count, void *user)
{
	static const char drain[] = "x-drain:";
	struct exchange *ex = user;
	size_t length = size * count;

	if (length >= 5 && memcmp(data, "HTTP/", 5) == 0 &&
	    !accept_status(ex, data, length)) {
		ex->invalid_status = true;
		return 0;
	}
	if (length >= sizeof(drain) - 1 &&
	    g_ascii_strncasecmp(data, drain, sizeof(drain) - 1) == 0)
		ex->draining = true;
	return length;
}

static void
exchange_destroy(void *data)
{
	struct exchange *ex = data;

	curl_easy_cleanup(ex->easy);
	curl_slist_free_all(ex->headers);
	g_byte_array_unref(ex->body);
	g_free(ex);
}

struct wv_http_client *
wv_http_client_create(void)
{
	struct wv_http_client *client = g_new0(struct wv_http_client, 1);

	client->multi = curl_multi_init();
	client->exchanges = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, exchange_destroy, NULL);
	return client;
}

static void
abort_exchange(void *key, void *value, void *data)
{
	struct exchange *ex = key;

	(void)value;
	curl_multi_remove_handle(data, ex->easy);
	if (ex->release != NULL)
		ex->release(ex->data);
}

void
wv_http_client_destroy(struct wv_http_client *client)
{
	g_hash_table_foreach(client->exchanges, abort_exchange, client->multi);
	g_hash_table_destroy(client->exchanges);
	curl_multi_cleanup(client->multi);
	g_free(client);
}

static void
set_headers(struct exchange *ex, const struct wv_http_request *request)
{
	char *token;

	ex->headers =
	    curl_slist_append(ex->headers, "Content-Type: application/json");
	/* Disables libcurl's "Expect: 100-continue". */
	ex->headers = curl_slist_append(ex->headers, "Expect:");
	if (request->token != NULL) {
		token =
		    g_strdup_printf("Authorization: Bearer %s", request->token);
		ex->headers = curl_slist_append(ex->headers, token);
		g_free(token);
	}
	curl_easy_setopt(ex->easy, CURLOPT_HTTPHEADER, ex->headers);
}

static void
set_request(struct exchange *ex, const struct wv_http_request *request)
{
	char *url = g_strdup_printf("http://%.*s%s",
	    (int)request->address.length, request->address.data, request->path);

	curl_easy_setopt(ex->easy, CURLOPT_URL, url);
	curl_easy_setopt(ex->easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->body.length > 0) {
		curl_easy_setopt(ex->easy, CURLOPT_POSTFIELDSIZE,
		    (long)request->body.length);
		curl_easy_setopt(
		    ex->easy, CURLOPT_COPYPOSTFIELDS, request->body.data);
	} else if (strcmp(request->method, "POST") == 0) {
		curl_easy_setopt(ex->easy, CURLOPT_POSTFIELDSIZE, 0L);
		curl_easy_setopt(ex->easy, CURLOPT_COPYPOSTFIELDS, "");
	}
	if (request->at_most_once) {
		curl_easy_setopt(ex->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(ex->easy, CURLOPT_FORBID_REUSE, 1L);
	}
	g_free(url);
}

/* A server may need the local port of a connection while it is in TIME_WAIT. */
static int
share_local_port(void *data, curl_socket_t fd, curlsocktype purpose)
{
	int on = 1;

	(void)data;
	(void)purpose;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return CURL_SOCKOPT_OK;
}

static void
set_options(struct exchange *ex, const struct wv_http_request *request)
{
	wv_msec connect = request->connect_timeout > 0
	    ? request->connect_timeout
	    : request->timeout;

	curl_easy_setopt(
	    ex->easy, CURLOPT_TIMEOUT_MS, (long)MAX(request->timeout, 1));
	curl_easy_setopt(ex->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)CLAMP(connect, 1, MAX_CONNECT_TIMEOUT));
	curl_easy_setopt(ex->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(ex->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(ex->easy, CURLOPT_SOCKOPTFUNCTION, share_local_port);
	/* Ignores proxies named in the environment. */
	curl_easy_setopt(ex->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(ex->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(ex->easy, CURLOPT_WRITEDATA, ex);
	curl_easy_setopt(ex->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(ex->easy, CURLOPT_HEADERDATA, ex);
	curl_easy_setopt(ex->easy, CURLOPT_ERRORBUFFER, ex->error);
	curl_easy_setopt(ex->easy, CURLOPT_PRIVATE, ex);
}

void
wv_http_client_send(struct wv_http_client *client,
    const struct wv_http_request *request, wv_http_callback done, void *data)
{
	struct exchange *ex = g_new0(struct exchange, 1);

	ex->easy = curl_easy_init();
	ex->body = g_byte_array_new();
	ex->done = done;
	ex->data = data;
	ex->release = request->release;
	set_headers(ex, request);
	set_request(ex, request);
	set_options(ex, request);
	g_hash_table_add(client->exchanges, ex);
	curl_multi_add_handle(client->multi, ex->easy);
}

/*
 * Maps libcurl's result to an outcome. If no byte of the request was sent, the
 * server cannot have executed it, whatever the error is.
 */
static enum wv_http_outcome
get_outcome(struct exchange *ex, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return WV_HTTP_COMPLETED;
	curl_easy_getinfo(ex->easy, CURLINFO_REQUEST_SIZE, &sent);
	if (sent == 0)
		return WV_HTTP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return WV_HTTP_TIMED_OUT;
	return WV_HTTP_FAILED;
}

/* Delivers the outcome of a completed exchange and releases the exchange. */
static void
finish_exchange(struct wv_http_client *client, CURL *easy, CURLcode code)
{
	struct wv_http_response answer = {0};
	struct exchange *ex = NULL;
	long http_status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&ex);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http_status);
	answer.outcome = get_outcome(ex, code);
	if (answer.outcome == WV_HTTP_COMPLETED)
		answer.http_status = (unsigned int)http_status;
	answer.draining = ex->draining;
	answer.body.length = ex->body->len;
	g_byte_array_append(ex->body, (const guint8 *)"", 1);
	answer.body.data = (char *)ex->body->data;
	answer.error = ex->error[0] ? ex->error : curl_easy_strerror(code);
	if (ex->invalid_status)
		answer.error = "response without a valid status";
	curl_multi_remove_handle(client->multi, easy);
	ex->done(ex->data, &answer);
	g_hash_table_remove(client->exchanges, ex);
}

static void
finish_completed(struct wv_http_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		if (message->msg == CURLMSG_DONE)
			finish_exchange(
			    client, message->easy_handle, message->data.result);
	}
}

void
wv_http_client_poll(struct wv_http_client *client, wv_msec timeout)
{
	int running;

	curl_multi_perform(client->multi, &running);
	finish_completed(client);
	if (timeout < 0)
		timeout = 0;
	if (timeout > 60000)
		timeout = 60000;
	curl_multi_poll(client->multi, NULL, 0, (int)(timeout + 0.999), NULL);
	curl_multi_perform(client->multi, &running);
	finish_completed(client);
}

void
wv_http_client_wakeup(struct wv_http_client *client)
{
	curl_multi_wakeup(client->multi);
}

size_t
wv_http_client_count_pending(const struct wv_http_client *client)
{
	return g_hash_table_size(client->exchanges);
}

/* Result of a blocking call; the pointers are those of its caller. */
struct blocking_call {
	bool done;
	unsigned int http_status;
	struct wv_string *body;
	struct wv_status *status;
};

static void
on_blocking_response(void *data, const struct wv_http_response *answer)
{
	struct blocking_call *call = data;

	call->done = true;
	call->http_status = answer->http_status;
	if (answer->outcome == WV_HTTP_COMPLETED)
		*call->body = wv_string_copy(answer->body);
	else
		wv_status_set(call->status, WV_INTERNAL, "%s", answer->error);
}

unsigned int
wv_http_client_call(const struct wv_http_request *request,
    struct wv_string *body, struct wv_status *status)
{
	struct wv_http_client *client = wv_http_client_create();
	struct blocking_call call = {false, 0, body, status};

	wv_http_client_send(client, request, on_blocking_response, &call);
	while (!call.done)
		wv_http_client_poll(client, request->timeout);
	wv_http_client_destroy(client);
	return call.http_status;
}
