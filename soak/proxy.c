/**
 * @file
 * TCP proxy that delays, blocks or resets connections, for fault injection.
 */
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"
#include "soak/proxy.h"

/** Maximum bytes of one read. */
#define READ_SIZE 16384
/** Time by which PROXY_DELAY delays bytes, ms. */
#define DELAY_MS 150
/** Backlog of the listening socket. */
#define BACKLOG 256

struct connection;

/* One direction of a connection. */
struct flow {
	struct connection *connection;
	int from; /* socket that is read */
	int to; /* socket that is written */
	bool from_target;
	struct event *read; /* from is readable */
	struct event *delay_timer; /* forwards later */
	GString *buffered; /* bytes not yet forwarded */
};

/* A connection through the proxy. */
struct connection {
	struct proxy *proxy;
	struct flow out; /* to the target */
	struct flow back; /* from the target */
};

struct proxy {
	struct event_base *base;
	struct event *accept;
	char *address;
	char *target;
	enum proxy_mode mode;
	GQueue connections;
	proxy_observer observer; /* or NULL */
	void *observer_data;
};

/* Error of the first connection that could not be opened; 0: none. */
static int first_error;

static void
note_error(void)
{
	bool expected =
	    errno == EAGAIN || errno == EINTR || errno == ECONNABORTED;

	if (first_error == 0 && !expected)
		first_error = errno;
}

int
proxy_take_error(void)
{
	int error = first_error;

	first_error = 0;
	return error;
}

static void
notify(const struct flow *flow, char *bytes, size_t length)
{
	const struct proxy *proxy = flow->connection->proxy;

	if (proxy->observer != NULL)
		proxy->observer(proxy->observer_data, flow->connection,
		    flow->from_target, (struct wv_string){bytes, length});
}

static void
connection_close(struct connection *connection, bool reset)
{
	struct linger linger = {reset ? 1 : 0, 0};

	g_queue_remove(&connection->proxy->connections, connection);
	setsockopt(connection->out.from, SOL_SOCKET, SO_LINGER, &linger,
	    sizeof(linger));
	setsockopt(
	    connection->out.to, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	event_free(connection->out.read);
	event_free(connection->out.delay_timer);
	event_free(connection->back.read);
	event_free(connection->back.delay_timer);
	g_string_free(connection->out.buffered, TRUE);
	g_string_free(connection->back.buffered, TRUE);
	close(connection->out.from);
	close(connection->out.to);
	g_free(connection);
}

/* Returns whether the mode blocks this direction. */
static bool
is_blocked(const struct flow *flow)
{
	enum proxy_mode mode = flow->connection->proxy->mode;

	return mode == PROXY_BLOCK ||
	    (mode == PROXY_BLOCK_ANSWERS && flow->from_target);
}

/*
 * Forwards the buffered bytes, unless blocked. Returns false if the connection
 * failed and was closed.
 */
static bool
forward_buffered(struct flow *flow)
{
	while (flow->buffered->len > 0 && !is_blocked(flow)) {
		ssize_t n = send(flow->to, flow->buffered->str,
		    flow->buffered->len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EAGAIN) {
			struct timeval time = socket_timeval(1);

			event_add(flow->delay_timer, &time);
			return true;
		}
		if (n <= 0) {
			connection_close(flow->connection, true);
			return false;
		}
		if (flow->from_target)
			notify(flow, flow->buffered->str, (size_t)n);
		g_string_erase(flow->buffered, 0, n);
	}
	return true;
}

static void
on_delay_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	forward_buffered(data);
}

static void
on_readable(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(DELAY_MS);
	struct flow *flow = data;
	char buffer[READ_SIZE];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)what;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		if (n < 0 || forward_buffered(flow))
			connection_close(flow->connection, n < 0);
		return;
	}
	if (!flow->from_target)
		notify(flow, buffer, (size_t)n);
	g_string_append_len(flow->buffered, buffer, n);
	if (flow->connection->proxy->mode == PROXY_DELAY)
		event_add(flow->delay_timer, &time);
	else
		forward_buffered(flow);
}

static void
flow_init(struct flow *flow, struct connection *connection, int from, int to)
{
	struct event_base *base = connection->proxy->base;

	flow->connection = connection;
	flow->from = from;
	flow->to = to;
	flow->buffered = g_string_new(NULL);
	flow->read =
	    event_new(base, from, EV_READ | EV_PERSIST, on_readable, flow);
	flow->delay_timer = event_new(base, -1, 0, on_delay_timer, flow);
	event_add(flow->read, NULL);
}

static void
on_accept(evutil_socket_t listener, short what, void *data)
{
	struct proxy *proxy = data;
	int from = accept(listener, NULL, NULL);
	struct connection *connection;
	int to;

	(void)what;
	if (from < 0) {
		note_error();
		return;
	}
	evutil_make_socket_nonblocking(from);
	evutil_make_socket_closeonexec(from);
	socket_set_no_delay(from);
	if (proxy->mode == PROXY_RESET) {
		close(from);
		return;
	}
	to = socket_connect(proxy->target);
	if (to < 0) {
		note_error();
		close(from);
		return;
	}
	connection = g_new0(struct connection, 1);
	connection->proxy = proxy;
	flow_init(&connection->out, connection, from, to);
	flow_init(&connection->back, connection, to, from);
	connection->back.from_target = true;
	g_queue_push_tail(&proxy->connections, connection);
}

struct proxy *
proxy_create(struct event_base *base, const char *address, const char *target)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	int fd = socket_listen(address, BACKLOG);

	proxy->base = base;
	proxy->address = g_strdup(address);
	proxy->target = g_strdup(target);
	proxy->accept =
	    event_new(base, fd, EV_READ | EV_PERSIST, on_accept, proxy);
	event_add(proxy->accept, NULL);
	return proxy;
}

void
proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	GList *all = g_list_copy(proxy->connections.head);

	proxy->mode = mode;
	for (GList *item = all; item != NULL; item = item->next) {
		struct connection *connection = item->data;

		if (mode == PROXY_RESET)
			connection_close(connection, true);
		else if (forward_buffered(&connection->out))
			forward_buffered(&connection->back);
	}
	g_list_free(all);
}

void
proxy_observe(struct proxy *proxy, proxy_observer observer, void *data)
{
	proxy->observer = observer;
	proxy->observer_data = data;
}

const char *
proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}
