/**
 * @file
 * HTTP/1.1 client connections.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/client.h"
#include "entry/socket.h"

/** Size of a read, bytes. */
#define READ_SIZE 65536
/** Largest buffer that is kept for the next request, bytes. */
#define MAX_KEPT_BYTES 16384
/** Largest header and body of an answer, bytes. */
#define MAX_HEADER_BYTES 65536
#define MAX_BODY_BYTES (64u << 20)
/**
 * Interim answers, and answers to other requests, that are skipped while a
 * request waits for its own: a faulty peer may send them without end.
 */
#define MAX_SKIPPED_ANSWERS 16
/** Interim answer that ends HTTP on the connection; no request asks for it. */
#define STATUS_SWITCHING_PROTOCOLS 101

struct client {
	int fd; /* -1 if the socket could not be opened */
	int error; /* errno value if so, else 0 */
	const struct client_ops *ops;
	void *data;
	struct event *read;
	struct event *write;
	struct message_parser parser;
	GString *out; /* the request */
	size_t written; /* bytes of it that have been sent */
	struct client_memory *memory; /* borrowed; NULL: not limited */
	size_t counted; /* bytes of its `used` by this client */
	size_t counted_request; /* bytes of its `requests` by this client */
	unsigned skipped; /* answers skipped since the request */
	bool connected;
	bool waiting; /* for the answer to a request */
	bool no_memory; /* there is none for the request: it is not sent */
	bool no_reuse; /* no further request may be sent */
	bool no_body; /* the answer has none: the request is HEAD */
	wv_msec idle_limit; /* of the peer; 0: not known */
};

static void
end_connection(struct client *client, enum client_end_reason reason)
{
	event_del(client->read);
	event_del(client->write);
	client->no_reuse = true;
	client->ops->ended(client->data, client, reason);
}

/*
 * Counts the buffer of the request. Returns false if there is no memory for it.
 */
static bool
count_request(struct client *client, size_t bytes)
{
	struct client_memory *memory = client->memory;

	if (memory == NULL)
		return true;
	memory->requests += bytes - client->counted_request;
	client->counted_request = bytes;
	return memory->max_requests == 0 ||
	    memory->requests <= memory->max_requests;
}

/* Releases the buffer of a request that has been sent, if it is large. */
static void
release_request(struct client *client)
{
	if (client->out->allocated_len <= MAX_KEPT_BYTES)
		return;
	g_string_free(client->out, TRUE);
	client->out = g_string_new(NULL);
	count_request(client, client->out->allocated_len);
}

static void
write_request(struct client *client)
{
	ssize_t n;

	if (client->written >= client->out->len)
		return;
	n = send(client->fd, client->out->str + client->written,
	    client->out->len - client->written, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		/*
		 * The peer may have answered before it read the whole request;
		 * that answer can still be read.
		 */
		client->no_reuse = true;
		return;
	}
	client->written += n > 0 ? (size_t)n : 0;
	if (client->written < client->out->len)
		event_add(client->write, NULL);
	else
		release_request(client);
}

static void
on_write(evutil_socket_t fd, short what, void *data)
{
	struct client *client = data;
	socklen_t size = sizeof(int);
	int error = 0;

	(void)what;
	if (client->no_memory) {
		end_connection(client, CLIENT_REFUSED);
		return;
	}
	if (!client->connected) {
		if (fd < 0 ||
		    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
		    error != 0) {
			end_connection(client, CLIENT_REFUSED);
			return;
		}
		client->connected = true;
		event_add(client->read, NULL);
	}
	write_request(client);
}

/* Returns "timeout=SECONDS" of the Keep-Alive field in ms; 0: none. */
static wv_msec
parse_keep_alive_timeout(const struct message *answer)
{
	struct wv_string value;
	const char *at;

	if (message_find_field(answer, "keep-alive", &value) == 0)
		return 0;
	at = g_strstr_len(value.data, (gssize)value.length, "timeout=");
	return at == NULL ? 0 : 1000.0 * (double)strtoul(at + 8, NULL, 10);
}

static bool
is_interim(const struct message *answer)
{
	return answer->status < 200;
}

/*
 * Counts the bytes of the answer being received. Returns false if there is no
 * memory for them.
 */
static bool
count_memory(struct client *client)
{
	struct client_memory *memory = client->memory;
	const struct message *message = client->parser.message;
	size_t bytes = message == NULL ? 0 : message->body->len;

	if (memory == NULL)
		return true;
	memory->used += bytes - client->counted;
	client->counted = bytes;
	return memory->used <= memory->max_total;
}

/*
 * Waits for a further answer to the request in progress. Returns whether it
 * may come; if not, the client may have been destroyed by the callback.
 */
static bool
wait_for_next_answer(struct client *client)
{
	client->waiting = true;
	message_parser_reset(&client->parser, client->no_body);
	if (++client->skipped <= MAX_SKIPPED_ANSWERS)
		return true;
	end_connection(client, CLIENT_MALFORMED);
	return false;
}

/*
 * Passes on a complete answer, unless it is an interim one. Returns whether the
 * request in progress still waits for its answer; if not, the client may have
 * been destroyed by the callback.
 */
static bool
deliver_answer(struct client *client, bool more_bytes)
{
	struct message *answer = message_parser_take(&client->parser);
	bool no_reuse = client->no_reuse;

	count_memory(client);
	/* Nothing is upgraded: the exchange can't go on. */
	if (answer->status == STATUS_SWITCHING_PROTOCOLS) {
		message_destroy(answer);
		end_connection(client, CLIENT_MALFORMED);
		return false;
	}
	if (is_interim(answer)) {
		message_destroy(answer);
		return wait_for_next_answer(client);
	}
	client->waiting = false;
	client->idle_limit = parse_keep_alive_timeout(answer);
	if (!answer->keep_alive || answer->until_close || more_bytes ||
	    client->written < client->out->len)
		client->no_reuse = true;
	if (client->ops->answered(client->data, client, answer))
		return false;
	client->no_reuse = no_reuse;
	return wait_for_next_answer(client);
}

/*
 * Parses received bytes. Returns whether the rest of them may be parsed; if
 * not, the client may have been destroyed by a callback.
 */
static bool
parse_bytes(
    struct client *client, const char *data, size_t length, size_t *used)
{
	enum parse_state state;

	if (!client->waiting) {
		end_connection(client, CLIENT_MALFORMED);
		return false;
	}
	state = message_parser_feed(&client->parser, data, length, used);
	if (state == PARSE_FAULT || !count_memory(client)) {
		end_connection(client, CLIENT_MALFORMED);
		return false;
	}
	if (state == PARSE_INCOMPLETE)
		return false;
	return deliver_answer(client, *used < length);
}

static void
on_eof(struct client *client, bool reset)
{
	bool ends_answer = !reset && client->waiting &&
	    message_parser_end(&client->parser) == PARSE_COMPLETE;

	/*
	 * If the callback rejects this last answer, the request in progress
	 * stays unanswered.
	 */
	if (!ends_answer || deliver_answer(client, false))
		end_connection(
		    client, client->connected ? CLIENT_CLOSED : CLIENT_REFUSED);
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	static _Thread_local char buffer[READ_SIZE];
	struct client *client = data;
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	size_t at = 0;
	size_t used = 0;

	(void)what;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_eof(client, n < 0);
		return;
	}
	while (at < (size_t)n &&
	    parse_bytes(client, buffer + at, (size_t)n - at, &used))
		at += used;
}

struct client *
client_create(struct event_base *base, const char *address,
    const struct client_ops *ops, void *data)
{
	struct client *client = g_new0(struct client, 1);

	client->fd = socket_connect(address);
	client->error = client->fd < 0 ? errno : 0;
	client->ops = ops;
	client->data = data;
	client->out = g_string_new(NULL);
	client->read =
	    event_new(base, client->fd, EV_READ | EV_PERSIST, on_read, client);
	client->write = event_new(base, client->fd, EV_WRITE, on_write, client);
	message_parser_init(
	    &client->parser, HTTP_RESPONSE, MAX_HEADER_BYTES, MAX_BODY_BYTES);
	if (client->fd < 0)
		event_active(client->write, EV_WRITE, 0);
	else
		event_add(client->write, NULL);
	return client;
}

void
client_limit_memory(struct client *client, struct client_memory *memory)
{
	client->memory = memory;
	client->parser.body_limit = memory->max_answer;
}

void
client_destroy(struct client *client)
{
	message_parser_clear(&client->parser);
	count_memory(client);
	count_request(client, 0);
	event_free(client->read);
	event_free(client->write);
	if (client->fd >= 0)
		close(client->fd);
	g_string_free(client->out, TRUE);
	g_free(client);
}

void
client_send(struct client *client, struct wv_string request, bool no_body)
{
	g_string_truncate(client->out, 0);
	g_string_append_len(client->out, request.data, (gssize)request.length);
	client->written = 0;
	client->waiting = true;
	client->skipped = 0;
	client->no_body = no_body;
	message_parser_reset(&client->parser, no_body);
	if (!count_request(client, client->out->allocated_len)) {
		client->no_memory = true;
		count_request(client, 0);
		event_active(client->write, EV_WRITE, 0);
	} else if (client->connected) {
		write_request(client);
	}
}

int
client_error(const struct client *client)
{
	return client->error;
}

bool
client_is_unsent(const struct client *client)
{
	return client->written == 0;
}

bool
client_is_receiving(const struct client *client)
{
	return client->waiting && message_parser_has_started(&client->parser);
}

bool
client_is_connected(const struct client *client)
{
	return client->connected;
}

bool
client_is_reusable(const struct client *client)
{
	return client->connected && !client->no_reuse && !client->waiting;
}

wv_msec
client_idle_limit(const struct client *client)
{
	return client->idle_limit;
}
