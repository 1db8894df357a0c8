/**
 * @file
 * Tests of the HTTP server when its share of connections is full.
 */
#include <sys/socket.h>

#include <glib.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "http/address.h"
#include "http/server.h"

/** Connections that the server under test may have. */
#define LIMIT 4
/** Maximum time for an event that must come, ms. */
#define EVENT_TIMEOUT 5000
/** Time in which the server handles a closed or a new connection, us. */
#define SETTLE_TIME_US 100000
#define REQUEST "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

/* A server with one thread, which answers at once unless calls are held. */
struct fixture {
	struct wv_http_handler handler; /* first, see on_call() */
	struct wv_http_server *server;
	struct sockaddr_in address;
	bool hold; /* the next call */
	struct wv_http_call *held;
	unsigned int n_yields;
};

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct fixture *fixture = (struct fixture *)handler;

	if (fixture->hold)
		g_atomic_pointer_set(&fixture->held, call);
	else
		wv_http_call_answer(call, 200, wv_string_borrow("{}"));
	fixture->hold = false;
}

static void
on_yield(struct wv_http_handler *handler)
{
	g_atomic_int_inc(&((struct fixture *)handler)->n_yields);
}

static const struct wv_http_handler_ops yielding_ops = {
    .handle = on_call, .on_yield = on_yield};

static void
fixture_init(struct fixture *fixture, const struct wv_http_handler_ops *ops)
{
	struct wv_http_server_config config = {
	    .address = wv_string_borrow("127.0.0.1:0"),
	    .threads = 1,
	    .max_body = 1024,
	    .max_connections = LIMIT};
	struct wv_status status = {WV_OK, ""};

	memset(fixture, 0, sizeof(*fixture));
	fixture->handler.ops = ops;
	fixture->server =
	    wv_http_server_start(&config, &fixture->handler, &status);
	g_assert_nonnull(fixture->server);
	g_assert_true(wv_address_parse(
	    wv_string_borrow("127.0.0.1:1"), &fixture->address));
	fixture->address.sin_port = htons(wv_http_server_port(fixture->server));
}

/* Opens a connection, sends a text and lets the server handle both. */
static int
open_connection(const struct fixture *fixture, const char *text)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(connect(fd, (const struct sockaddr *)&fixture->address,
			    sizeof(fixture->address)),
	    ==, 0);
	g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
	    (ssize_t)strlen(text));
	g_usleep(SETTLE_TIME_US);
	return fd;
}

/* Returns whether an answer arrives; false at the end or after a time. */
static bool
is_answered(int fd)
{
	struct pollfd poll_fd = {fd, POLLIN, 0};
	char bytes[1024];
	ssize_t n = 0;

	if (poll(&poll_fd, 1, EVENT_TIMEOUT) == 1)
		n = read(fd, bytes, sizeof(bytes) - 1);
	bytes[MAX(n, 0)] = '\0';
	return g_str_has_prefix(bytes, "HTTP/1.1 200");
}

static bool
is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
finish(struct fixture *fixture, const int *fds, size_t n)
{
	for (size_t i = 0; i < n; i++)
		close(fds[i]);
	wv_http_server_stop(fixture->server);
}

/*
 * The connection that was used longest ago must yield: another order would
 * close those that callers are about to use again. Below the limit none does.
 */
static void
test_longest_idle(void)
{
	struct fixture fixture;
	int fds[LIMIT];

	fixture_init(&fixture, &yielding_ops);
	for (int i = 0; i < LIMIT - 1; i++)
		fds[i] = open_connection(&fixture, REQUEST);
	for (int i = 0; i < LIMIT - 1; i++)
		g_assert_true(is_answered(fds[i]));
	g_assert_cmpuint(fixture.n_yields, ==, 0);
	g_assert_cmpint(send(fds[0], REQUEST, strlen(REQUEST), 0), >, 0);
	g_assert_true(is_answered(fds[0]));
	fds[LIMIT - 1] = open_connection(&fixture, REQUEST);
	g_assert_true(is_answered(fds[LIMIT - 1]));
	for (int i = 0; i < LIMIT; i++)
		g_assert_true(is_closed(fds[i]) == (i == 1));
	g_assert_cmpuint(fixture.n_yields, ==, 1);
	finish(&fixture, fds, LIMIT);
}

/* Connections with a part of a request yield like idle ones. */
static void
test_half_sent(gconstpointer data)
{
	struct fixture fixture;
	int fds[3 * LIMIT];

	fixture_init(&fixture, &yielding_ops);
	for (size_t i = 0; i < G_N_ELEMENTS(fds) - 1; i++)
		fds[i] = open_connection(&fixture, data);
	fds[G_N_ELEMENTS(fds) - 1] = open_connection(&fixture, REQUEST);
	g_assert_true(is_answered(fds[G_N_ELEMENTS(fds) - 1]));
	finish(&fixture, fds, G_N_ELEMENTS(fds));
}

/* A caller whose request is in progress must get its answer. */
static void
test_request_in_progress(void)
{
	struct fixture fixture;
	int fds[3 * LIMIT];

	fixture_init(&fixture, &yielding_ops);
	fixture.hold = true;
	fds[0] = open_connection(&fixture, REQUEST);
	for (size_t i = 1; i < G_N_ELEMENTS(fds); i++)
		fds[i] = open_connection(&fixture, "");
	g_assert_nonnull(g_atomic_pointer_get(&fixture.held));
	wv_http_call_answer(fixture.held, 200, wv_string_borrow("{}"));
	g_assert_true(is_answered(fds[0]));
	finish(&fixture, fds, G_N_ELEMENTS(fds));
}

/*
 * A server whose handler does not expect it must keep its connections: the
 * stand-in of a searcher has as many as a contract grants, and others wait.
 */
static void
test_without_consent(void)
{
	static const struct wv_http_handler_ops ops = {.handle = on_call};
	struct fixture fixture;
	int fds[LIMIT + 1];

	fixture_init(&fixture, &ops);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = open_connection(&fixture, "");
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		g_assert_false(is_closed(fds[i]));
	finish(&fixture, fds, G_N_ELEMENTS(fds));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-connections/longest-idle", test_longest_idle);
	g_test_add_data_func("/http-connections/silent", "", test_half_sent);
	g_test_add_data_func("/http-connections/half-header",
	    "GET / HTTP/1.1\r\nHost:", test_half_sent);
	g_test_add_data_func("/http-connections/half-body",
	    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{",
	    test_half_sent);
	g_test_add_func(
	    "/http-connections/request-in-progress", test_request_in_progress);
	g_test_add_func(
	    "/http-connections/without-consent", test_without_consent);
	return g_test_run();
}
