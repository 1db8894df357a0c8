/**
 * @file
 * A proxy on loopback that disturbs connections.
 */
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"
#include "soak/proxy.h"

/** Bytes read at once. */
#define READ_SIZE 16384
/** Delay of PROXY_DELAY, ms. */
#define DELAY 150
/** Waiting connections. */
#define BACKLOG 256

struct pair;

/* One direction of a connection. */
struct flow {
	struct pair *pair;
	int from;
	int to;
	bool from_target;
	struct event *read;
	struct event *later;
	GString *held;
};

struct pair {
	struct proxy *proxy;
	struct flow out; /* to the target */
	struct flow back;
};

struct proxy {
	struct event_base *base;
	struct event *accept;
	char *address;
	char *target;
	enum proxy_mode mode;
	GQueue pairs;
};

static void
pair_close(struct pair *pair, bool reset)
{
	struct linger linger = {reset ? 1 : 0, 0};

	g_queue_remove(&pair->proxy->pairs, pair);
	setsockopt(
	    pair->out.from, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	setsockopt(
	    pair->out.to, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	event_free(pair->out.read);
	event_free(pair->out.later);
	event_free(pair->back.read);
	event_free(pair->back.later);
	g_string_free(pair->out.held, TRUE);
	g_string_free(pair->back.held, TRUE);
	close(pair->out.from);
	close(pair->out.to);
	g_free(pair);
}

static bool
is_held(const struct flow *flow)
{
	enum proxy_mode mode = flow->pair->proxy->mode;

	return mode == PROXY_SILENT ||
	    (mode == PROXY_ONE_WAY && flow->from_target);
}

/* Passes on what is held; returns false if the pair is closed. */
static bool
flush(struct flow *flow)
{
	while (flow->held->len > 0 && !is_held(flow)) {
		ssize_t n = send(flow->to, flow->held->str, flow->held->len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EAGAIN) {
			struct timeval time = socket_timeval(1);

			event_add(flow->later, &time);
			return true;
		}
		if (n <= 0) {
			pair_close(flow->pair, true);
			return false;
		}
		g_string_erase(flow->held, 0, n);
	}
	return true;
}

static void
on_later(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	flush(data);
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(DELAY);
	struct flow *flow = data;
	char buffer[READ_SIZE];
	ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	(void)what;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		if (n < 0 || flush(flow))
			pair_close(flow->pair, n < 0);
		return;
	}
	g_string_append_len(flow->held, buffer, n);
	if (flow->pair->proxy->mode == PROXY_DELAY)
		event_add(flow->later, &time);
	else
		flush(flow);
}

static void
flow_init(struct flow *flow, struct pair *pair, int from, int to)
{
	struct event_base *base = pair->proxy->base;

	flow->pair = pair;
	flow->from = from;
	flow->to = to;
	flow->held = g_string_new(NULL);
	flow->read = event_new(base, from, EV_READ | EV_PERSIST, on_read, flow);
	flow->later = event_new(base, -1, 0, on_later, flow);
	event_add(flow->read, NULL);
}

static void
on_accept(evutil_socket_t listener, short what, void *data)
{
	struct proxy *proxy = data;
	int from = accept(listener, NULL, NULL);
	struct pair *pair;
	int to;

	(void)what;
	if (from < 0)
		return;
	evutil_make_socket_nonblocking(from);
	evutil_make_socket_closeonexec(from);
	socket_set_no_delay(from);
	to = proxy->mode == PROXY_RESET ? -1 : socket_connect(proxy->target);
	if (to < 0) {
		close(from);
		return;
	}
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	flow_init(&pair->out, pair, from, to);
	flow_init(&pair->back, pair, to, from);
	pair->back.from_target = true;
	g_queue_push_tail(&proxy->pairs, pair);
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
	GList *all = g_list_copy(proxy->pairs.head);

	proxy->mode = mode;
	for (GList *item = all; item != NULL; item = item->next) {
		struct pair *pair = item->data;

		if (mode == PROXY_RESET)
			pair_close(pair, true);
		else if (flush(&pair->out))
			flush(&pair->back);
	}
	g_list_free(all);
}

const char *
proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}
