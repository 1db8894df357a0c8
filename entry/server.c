/**
 * @file
 * HTTP/1.1 server.
 */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/server.h"
#include "entry/socket.h"

/** Connections that the kernel queues for accept(). */
#define BACKLOG 1024
/** Size of a read, bytes. */
#define READ_SIZE 65536
/** Buffered bytes of later requests after which reading pauses. */
#define MAX_PENDING_BYTES 65536
/**
 * Buffers of a connection that are always allowed, and the size of a read,
 * while the buffers of all connections are full, bytes: small requests are
 * served then too.
 */
#define SMALL_BUFFER_BYTES 16384
#define SMALL_READ_SIZE 4096
/** How long a caller may take to close after the last answer, ms. */
#define LINGER_TIMEOUT 1000
/** Connections accepted in one iteration of the event loop. */
#define MAX_ACCEPTS 64
/** Pause after accept() failed for want of a resource, ms. */
#define ACCEPT_PAUSE 100
/** Time without a shortage of descriptors after which it is over, ms. */
#define SHORTAGE_END 1000
/** Idle connections that are examined to find one without unread bytes. */
#define MAX_YIELD_CHECKS 8
/** Limits until server_set_limits() is called. */
static const struct wv_caller_limits default_limits = {.header_bytes = 16384,
    .body_bytes = 262144,
    .header_timeout = 3000,
    .idle_timeout = 15000};

enum conn_state {
	CONN_READING, /* waiting for a request or reading it */
	CONN_BUSY, /* a request is in progress */
	CONN_WRITING, /* the answer is being written */
	CONN_LINGERING /* after the last answer: waiting for the close */
};

struct server {
	struct event_base *base;
	const struct server_ops *ops;
	void *data;
	struct event *accept;
	struct event *resume; /* ends a pause of accepting */
	struct event *shortage_end; /* checks whether a shortage is over */
	int fd;
	struct wv_caller_limits limits;
	bool draining;
	struct server_conn *conns;
	GQueue idle; /* struct server_conn, the longest idle first */
	GQueue lingering; /* struct server_conn, the longest first */
	size_t n_conns;
	size_t max_conns;
	bool accept_paused; /* the listener's event is not pending */
	bool crowded; /* as last reported */
	bool shortage_seen; /* since the last check */
	GQueue writing; /* struct server_conn with an answer that the caller
			   has not read, the oldest first */
	struct event *cut; /* cuts answers while the buffers are full */
	size_t buffered; /* bytes of all connections' buffers */
	size_t max_buffered;
	server_shortage_fn shortage; /* may be NULL */
	void *shortage_data;
	size_t n_busy;
	size_t n_writing;
};

struct server_conn {
	struct server *server;
	struct server_conn *next;
	struct server_conn *previous;
	GList link; /* in the queue */
	GQueue *queue; /* one of the server's, or NULL */
	size_t counted; /* bytes of the server's `buffered` */
	int fd;
	enum conn_state state;
	struct event *read;
	struct event *write;
	struct event *timer;
	struct message_parser parser;
	struct message *request; /* owned: in progress or being answered */
	GString *pending; /* bytes of later requests */
	GString *out; /* the answer */
	size_t written; /* bytes of it that have been sent */
	bool close_after; /* close after this answer */
	bool had_request; /* the request in progress is not the first one */
	void *context; /* user pointer of the request in progress */
};

/* Moves a connection to the end of a queue; NULL: to none. */
static void
move_to_queue(struct server_conn *conn, GQueue *queue)
{
	if (queue == conn->queue)
		return;
	if (conn->queue != NULL)
		g_queue_unlink(conn->queue, &conn->link);
	conn->queue = queue;
	if (queue != NULL)
		g_queue_push_tail_link(queue, &conn->link);
}

static bool
is_idle(const struct server_conn *conn)
{
	return conn->queue == &conn->server->idle;
}

static size_t
message_size(const struct message *message)
{
	return message == NULL
	    ? 0
	    : message->text->allocated_len + message->body->allocated_len;
}

static bool
is_full(const struct server *server)
{
	return server->buffered > server->max_buffered;
}

/* Counts the buffers of a connection after they have changed. */
static void
count_buffers(struct server_conn *conn)
{
	size_t bytes = message_size(conn->request) +
	    message_size(conn->parser.message) + conn->pending->allocated_len +
	    conn->out->allocated_len;

	conn->server->buffered += bytes - conn->counted;
	conn->counted = bytes;
}

/* Accepts again after a pause. */
static void
resume_accepting(struct server *server)
{
	if (!server->accept_paused || server->accept == NULL)
		return;
	server->accept_paused = false;
	event_del(server->resume);
	event_add(server->accept, NULL);
}

static void
set_state(struct server_conn *conn, enum conn_state state)
{
	struct server *server = conn->server;

	move_to_queue(conn, NULL);
	server->n_busy -= conn->state == CONN_BUSY;
	server->n_writing -= conn->state == CONN_WRITING;
	conn->state = state;
	server->n_busy += state == CONN_BUSY;
	server->n_writing += state == CONN_WRITING;
}

static void
conn_close(struct server_conn *conn)
{
	struct server *server = conn->server;

	set_state(conn, CONN_LINGERING);
	if (conn->previous != NULL)
		conn->previous->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next != NULL)
		conn->next->previous = conn->previous;
	event_free(conn->read);
	event_free(conn->write);
	event_free(conn->timer);
	close(conn->fd);
	server->buffered -= conn->counted;
	message_parser_clear(&conn->parser);
	message_destroy(conn->request);
	g_string_free(conn->pending, TRUE);
	g_string_free(conn->out, TRUE);
	g_free(conn);
	server->n_conns--;
	resume_accepting(server);
}

static void
set_timer(struct server_conn *conn, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(conn->timer, &time);
}

/*
 * Closes only the sending direction and waits for the caller to close: an
 * immediate close with unread bytes would reset the connection, and the caller
 * could lose the answer.
 */
static void
linger(struct server_conn *conn)
{
	set_state(conn, CONN_LINGERING);
	shutdown(conn->fd, SHUT_WR);
	move_to_queue(conn, &conn->server->lingering);
	set_timer(conn, LINGER_TIMEOUT);
	resume_accepting(conn->server);
}

static void
wait_for_request(struct server_conn *conn)
{
	const struct wv_caller_limits *limits = &conn->server->limits;

	set_state(conn, CONN_READING);
	conn->had_request |= conn->request != NULL;
	conn->context = NULL;
	message_destroy(conn->request);
	conn->request = NULL;
	conn->parser.header_limit = limits->header_bytes;
	conn->parser.body_limit = limits->body_bytes;
	message_parser_reset(&conn->parser, false);
	count_buffers(conn);
	move_to_queue(conn, &conn->server->idle);
	set_timer(conn, limits->idle_timeout);
	event_add(conn->read, NULL);
	resume_accepting(conn->server);
}

/* Empties a buffer; a large one is released, or each would stay so large. */
static void
empty_buffer(GString **buffer)
{
	g_string_truncate(*buffer, 0);
	if ((*buffer)->allocated_len <= SMALL_BUFFER_BYTES)
		return;
	g_string_free(*buffer, TRUE);
	*buffer = g_string_new(NULL);
}

static void parse_bytes(
    struct server_conn *conn, const char *data, size_t length);

/* After an answer: handles the next request or closes the connection. */
static void
finish_answer(struct server_conn *conn)
{
	GString *pending = conn->pending;

	empty_buffer(&conn->out);
	conn->written = 0;
	if (conn->close_after) {
		linger(conn);
		return;
	}
	wait_for_request(conn);
	if (pending->len == 0)
		return;
	conn->pending = g_string_new(NULL);
	parse_bytes(conn, pending->str, pending->len);
	g_string_free(pending, TRUE);
}

static void
write_answer(struct server_conn *conn)
{
	size_t left = conn->out->len - conn->written;
	ssize_t n = send(conn->fd, conn->out->str + conn->written, left,
	    MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n < 0 && errno != EAGAIN && errno != EINTR) {
		conn_close(conn);
		return;
	}
	conn->written += n > 0 ? (size_t)n : 0;
	if (conn->written == conn->out->len) {
		finish_answer(conn);
		return;
	}
	event_add(conn->write, NULL);
	move_to_queue(conn, &conn->server->writing);
	count_buffers(conn);
	/* Other connections must not be closed within their callbacks. */
	if (is_full(conn->server))
		event_active(conn->server->cut, EV_TIMEOUT, 0);
}

static void
begin_writing(struct server_conn *conn)
{
	set_state(conn, CONN_WRITING);
	set_timer(conn, conn->server->limits.idle_timeout);
	write_answer(conn);
}

static void
append_head(struct server_conn *conn, unsigned status, const GString *fields,
    size_t body_length)
{
	GString *out = conn->out;

	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str((enum http_status)status));
	if (fields != NULL)
		g_string_append_len(out, fields->str, (gssize)fields->len);
	if (status >= 200 && status != 204 && status != 304)
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n", body_length);
	if (conn->close_after)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

void
server_answer(struct server_conn *conn, unsigned status, const GString *fields,
    struct wv_string body)
{
	bool head = conn->request != NULL && conn->request->method == HTTP_HEAD;

	if (conn->server->draining ||
	    (conn->request != NULL && !conn->request->keep_alive))
		conn->close_after = true;
	append_head(conn, status, fields, body.length);
	if (!head && status != 204 && status != 304)
		g_string_append_len(conn->out, body.data, (gssize)body.length);
	begin_writing(conn);
}

void
server_close_unanswered(struct server_conn *conn)
{
	conn_close(conn);
}

void
server_answer_bytes(
    struct server_conn *conn, struct wv_string bytes, bool close_after)
{
	conn->close_after |= close_after;
	g_string_append_len(conn->out, bytes.data, (gssize)bytes.length);
	begin_writing(conn);
}

void
server_answer_text(struct server_conn *conn, unsigned status, const char *text)
{
	GString *fields = g_string_new("Content-Type: text/plain\r\n");

	server_answer(conn, status, fields, wv_string_borrow(text));
	g_string_free(fields, TRUE);
}

static void
reject_request(struct server_conn *conn, unsigned status)
{
	conn->server->ops->rejected(conn->server->data, status);
	conn->close_after = true;
	message_parser_clear(&conn->parser);
	count_buffers(conn);
	server_answer_text(conn, status, "refused\n");
}

/* Refuses a request that is not complete because the buffers are full. */
static void
reject_for_memory(struct server_conn *conn)
{
	GString *fields =
	    g_string_new("Content-Type: text/plain\r\nRetry-After: 1\r\n");

	conn->server->ops->rejected(conn->server->data, 503);
	conn->close_after = true;
	message_parser_clear(&conn->parser);
	count_buffers(conn);
	server_answer(conn, 503, fields, wv_string_borrow("not run\n"));
	g_string_free(fields, TRUE);
}

static unsigned
fault_status(enum message_fault fault)
{
	switch (fault) {
	case MESSAGE_HEADER_TOO_LARGE:
		return 431;
	case MESSAGE_BODY_TOO_LARGE:
		return 413;
	case MESSAGE_OK:
	case MESSAGE_MALFORMED:
		break;
	}
	return 400;
}

static void
deliver_request(struct server_conn *conn)
{
	struct server *server = conn->server;

	event_del(conn->timer);
	conn->request = message_parser_take(&conn->parser);
	count_buffers(conn);
	set_state(conn, CONN_BUSY);
	server->ops->request(server->data, conn, conn->request);
}

static bool
expects_continue(const struct message_parser *parser)
{
	struct wv_string value;

	return parser->headers_done && !parser->complete &&
	    message_find_field(parser->message, "expect", &value) == 1 &&
	    message_name_equals(value, "100-continue") &&
	    parser->message->body->len == 0;
}

/* Parses received bytes; the connection may have been released afterwards. */
static void
parse_bytes(struct server_conn *conn, const char *data, size_t length)
{
	bool had_headers = conn->parser.headers_done;
	enum parse_state state;
	size_t used = 0;

	state = message_parser_feed(&conn->parser, data, length, &used);
	if (state == PARSE_FAULT) {
		reject_request(conn, fault_status(conn->parser.fault));
		return;
	}
	if (state == PARSE_COMPLETE) {
		g_string_append_len(
		    conn->pending, data + used, (gssize)(length - used));
		deliver_request(conn);
		return;
	}
	count_buffers(conn);
	if (is_full(conn->server) && conn->counted > SMALL_BUFFER_BYTES) {
		reject_for_memory(conn);
		return;
	}
	if (is_idle(conn) && message_parser_has_started(&conn->parser)) {
		move_to_queue(conn, NULL);
		set_timer(conn, conn->server->limits.header_timeout);
	}
	if (!had_headers && conn->parser.headers_done) {
		set_timer(conn, conn->server->limits.idle_timeout);
		if (expects_continue(&conn->parser))
			send(conn->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25,
			    MSG_NOSIGNAL | MSG_DONTWAIT);
	}
}

static void
on_caller_closed(struct server_conn *conn)
{
	if (conn->state == CONN_BUSY)
		conn->server->ops->caller_left(conn->server->data, conn);
	conn_close(conn);
}

static void
receive_bytes(struct server_conn *conn, const char *data, size_t length)
{
	if (conn->state == CONN_READING) {
		parse_bytes(conn, data, length);
	} else if (!conn->close_after) {
		g_string_append_len(conn->pending, data, (gssize)length);
		count_buffers(conn);
		if (conn->pending->len > MAX_PENDING_BYTES ||
		    is_full(conn->server))
			event_del(conn->read);
	}
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	static _Thread_local char buffer[READ_SIZE];
	struct server_conn *conn = data;
	size_t size = is_full(conn->server) ? SMALL_READ_SIZE : READ_SIZE;
	ssize_t n = recv(fd, buffer, size, MSG_DONTWAIT);

	(void)what;
	if (n > 0)
		receive_bytes(conn, buffer, (size_t)n);
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		on_caller_closed(conn);
}

static void
on_write(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	write_answer(data);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct server_conn *conn = data;

	(void)fd;
	(void)what;
	if (conn->state == CONN_READING &&
	    message_parser_has_started(&conn->parser))
		reject_request(conn, 408);
	else if (conn->state != CONN_BUSY)
		conn_close(conn);
}

static void
conn_create(struct server *server, int fd)
{
	struct server_conn *conn = g_new0(struct server_conn, 1);

	conn->server = server;
	conn->link.data = conn;
	conn->fd = fd;
	conn->read =
	    event_new(server->base, fd, EV_READ | EV_PERSIST, on_read, conn);
	conn->write = event_new(server->base, fd, EV_WRITE, on_write, conn);
	conn->timer = event_new(server->base, -1, 0, on_timer, conn);
	conn->pending = g_string_new(NULL);
	conn->out = g_string_sized_new(1024);
	message_parser_init(&conn->parser, HTTP_REQUEST,
	    server->limits.header_bytes, server->limits.body_bytes);
	conn->next = server->conns;
	if (conn->next != NULL)
		conn->next->previous = conn;
	server->conns = conn;
	server->n_conns++;
	wait_for_request(conn);
}

static void
report_shortage(struct server *server, enum server_shortage shortage, int error)
{
	if (server->shortage != NULL)
		server->shortage(
		    server->shortage_data, server, shortage, error);
}

/* Records a shortage of descriptors, and reports it if it is the first one. */
static void
note_shortage(struct server *server, int error)
{
	struct timeval time = socket_timeval(SHORTAGE_END);

	server->shortage_seen = true;
	if (server->crowded)
		return;
	server->crowded = true;
	event_add(server->shortage_end, &time);
	report_shortage(server, SERVER_CROWDED, error);
}

/*
 * Closes connections whose answers have waited longest for their callers to
 * read, until the buffers are not full. The newest one stays.
 */
static void
on_cut(evutil_socket_t fd, short what, void *data)
{
	struct server *server = data;

	(void)fd;
	(void)what;
	while (is_full(server) && server->writing.length > 1) {
		struct server_conn *conn =
		    g_queue_pop_head_link(&server->writing)->data;

		conn->queue = NULL;
		conn_close(conn);
		report_shortage(server, SERVER_ANSWER_CUT, 0);
	}
}

static void
on_shortage_end(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(SHORTAGE_END);
	struct server *server = data;

	(void)fd;
	(void)what;
	if (server->shortage_seen || server->accept_paused) {
		server->shortage_seen = false;
		event_add(server->shortage_end, &time);
		return;
	}
	server->crowded = false;
	report_shortage(server, SERVER_UNCROWDED, 0);
}

static void
on_resume(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	resume_accepting(data);
}

/*
 * Stops accepting until a connection closes, lingers or becomes idle.
 *
 * time: longest duration, ms; 0: not limited
 */
static void
pause_accepting(struct server *server, wv_msec time)
{
	struct timeval limit = socket_timeval(time);

	event_del(server->accept);
	server->accept_paused = true;
	if (time > 0)
		event_add(server->resume, &limit);
}

static bool
has_unread_bytes(const struct server_conn *conn)
{
	char byte;

	return recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * Closes the first connection of a queue. One with unread bytes is spared: the
 * close would reset the request that they begin, or an answer that is not read
 * yet. Returns whether a connection was closed.
 */
static bool
yield_from(struct server *server, GQueue *queue)
{
	GList *link = queue->head;

	for (int i = 0; i < MAX_YIELD_CHECKS && link != NULL; i++) {
		struct server_conn *conn = link->data;

		link = link->next;
		if (has_unread_bytes(conn))
			continue;
		conn_close(conn);
		note_shortage(server, 0);
		report_shortage(server, SERVER_YIELDED, 0);
		return true;
	}
	return false;
}

/*
 * Closes a connection for a new one: first one that is only waited for, then
 * one that is idle. Returns whether there was one.
 */
static bool
yield_conn(struct server *server)
{
	return yield_from(server, &server->lingering) ||
	    yield_from(server, &server->idle);
}

static bool
can_yield(const struct server *server)
{
	return server->lingering.head != NULL || server->idle.head != NULL;
}

/*
 * Returns whether a connection may be accepted: one more than the share is, if
 * another one can be closed for it then.
 */
static bool
has_room(const struct server *server)
{
	return server->n_conns < server->max_conns ||
	    (server->n_conns == server->max_conns && can_yield(server));
}

static bool
is_shortage(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	    error == ENOMEM;
}

/*
 * Accepts a connection; returns -1 if there is none. If a resource is
 * exhausted, another connection yields. The listener's event would fire without
 * end if nothing yields, so accepting pauses then.
 */
static int
accept_conn(struct server *server)
{
	int fd = accept(server->fd, NULL, NULL);
	int error;

	if (fd >= 0 || !is_shortage(errno))
		return fd;
	error = errno;
	note_shortage(server, error);
	report_shortage(server, SERVER_ACCEPT_FAILED, error);
	if (!yield_conn(server)) {
		pause_accepting(server, ACCEPT_PAUSE);
		return -1;
	}
	fd = accept(server->fd, NULL, NULL);
	if (fd < 0 && is_shortage(errno))
		pause_accepting(server, ACCEPT_PAUSE);
	return fd;
}

static void
on_accept(evutil_socket_t listener, short what, void *data)
{
	struct server *server = data;

	(void)listener;
	(void)what;
	for (int i = 0; i < MAX_ACCEPTS; i++) {
		int fd;

		if (!has_room(server)) {
			note_shortage(server, 0);
			pause_accepting(server, 0);
			return;
		}
		fd = accept_conn(server);
		if (fd < 0)
			return;
		if (server->n_conns >= server->max_conns)
			yield_conn(server);
		evutil_make_socket_nonblocking(fd);
		evutil_make_socket_closeonexec(fd);
		socket_set_no_delay(fd);
		conn_create(server, fd);
	}
}

struct server *
server_create_closed(
    struct event_base *base, const struct server_ops *ops, void *data)
{
	struct server *server = g_new0(struct server, 1);

	server->base = base;
	server->ops = ops;
	server->data = data;
	server->fd = -1;
	server->limits = default_limits;
	server->max_conns = SIZE_MAX;
	server->max_buffered = SIZE_MAX;
	server->cut = event_new(base, -1, 0, on_cut, server);
	server->resume = event_new(base, -1, 0, on_resume, server);
	server->shortage_end = event_new(base, -1, 0, on_shortage_end, server);
	return server;
}

bool
server_listen(struct server *server, const char *address)
{
	server->fd = socket_listen(address, BACKLOG);
	if (server->fd < 0)
		return false;
	server->accept = event_new(
	    server->base, server->fd, EV_READ | EV_PERSIST, on_accept, server);
	event_add(server->accept, NULL);
	return true;
}

bool
server_is_listening(const struct server *server)
{
	return server->accept != NULL;
}

static void
server_release(struct server *server)
{
	event_free(server->resume);
	event_free(server->shortage_end);
	event_free(server->cut);
	g_free(server);
}

struct server *
server_create(struct event_base *base, const char *address,
    const struct server_ops *ops, void *data)
{
	struct server *server = server_create_closed(base, ops, data);

	if (server_listen(server, address))
		return server;
	server_release(server);
	return NULL;
}

void
server_stop_listening(struct server *server)
{
	if (server->accept == NULL)
		return;
	event_free(server->accept);
	event_del(server->resume);
	server->accept = NULL;
	server->accept_paused = false;
	close(server->fd);
}

void
server_destroy(struct server *server)
{
	struct server_conn *conn = server->conns;

	server_stop_listening(server);
	while (conn != NULL) {
		struct server_conn *next = conn->next;

		conn_close(conn);
		conn = next;
	}
	server_release(server);
}

void
server_set_limits(struct server *server, const struct wv_caller_limits *limits)
{
	server->limits = *limits;
}

void
server_set_max_conns(struct server *server, size_t max_conns,
    server_shortage_fn shortage, void *data)
{
	server->max_conns = max_conns;
	server->shortage = shortage;
	server->shortage_data = data;
	resume_accepting(server);
}

void
server_set_max_buffered(struct server *server, size_t max_buffered)
{
	server->max_buffered = max_buffered;
}

size_t
server_count_buffered(const struct server *server)
{
	return server->buffered;
}

void
server_drain(struct server *server)
{
	server->draining = true;
}

size_t
server_count_busy(const struct server *server)
{
	return server->n_busy;
}

bool
server_is_flushed(const struct server *server)
{
	return server->n_busy == 0 && server->n_writing == 0;
}

void
server_foreach_busy(struct server *server,
    void (*visit)(void *data, struct server_conn *conn), void *data)
{
	struct server_conn *conn = server->conns;

	while (conn != NULL) {
		struct server_conn *next = conn->next;

		if (conn->state == CONN_BUSY)
			visit(data, conn);
		conn = next;
	}
}

wv_msec
server_conn_network_time(const struct server_conn *conn)
{
	wv_msec round_trip = socket_round_trip(conn->fd);

	return conn->had_request ? round_trip : 2 * round_trip;
}

void
server_conn_set_context(struct server_conn *conn, void *context)
{
	conn->context = context;
}

void *
server_conn_context(const struct server_conn *conn)
{
	return conn->context;
}
