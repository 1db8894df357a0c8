/**
 * @file
 * Tests that connections opened by this system leave their local ports usable
 * for servers.
 *
 * The operating system picks the local port of a connection. A server that is
 * started again may have that port as its own, and the side that closes a
 * connection first keeps the port in TIME_WAIT for a minute. A server that
 * can't bind it has to wait for that time.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"
#include "http/client.h"

/**
 * Connections of each test. A port may also be in TIME_WAIT from a connection
 * of a foreign program to another address, so not every one becomes usable.
 */
#define N_CONNECTIONS 400
/** Longest wait for a response, in polls of 10 ms. */
#define MAX_POLLS 500
#define POLL_TIME 10

#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

/* Returns a listening socket; address receives IP:PORT, owned by the caller. */
static int
open_listener(char **address)
{
	struct sockaddr_in in = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&in, size), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&in, &size), ==, 0);
	*address = g_strdup_printf("127.0.0.1:%u", ntohs(in.sin_port));
	return fd;
}

/*
 * Accepts a connection; peer receives the address of its other end, owned by
 * the caller.
 */
static int
accept_from(int listener, char **peer)
{
	struct sockaddr_in in;
	socklen_t size = sizeof(in);
	int fd;

	memset(&in, 0, sizeof(in));
	fd = accept(listener, (struct sockaddr *)&in, &size);

	g_assert_cmpint(fd, >=, 0);
	*peer = g_strdup_printf("127.0.0.1:%u", ntohs(in.sin_port));
	return fd;
}

/* Returns whether a server can listen on an address. */
static bool
is_usable(const char *address)
{
	int fd = socket_listen(address, 1);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* Waits until the other end has closed a connection, then closes it too. */
static void
finish(int fd)
{
	char byte;

	g_assert_cmpint(recv(fd, &byte, 1, 0), ==, 0);
	close(fd);
}

/*
 * Connects to a listener and closes the connection first; returns the address
 * that was its local one, owned by the caller.
 */
typedef char *(*connect_once)(int listener, const char *address);

static char *
connect_entry(int listener, const char *address)
{
	int client = socket_connect(address);
	char *peer;
	int server = accept_from(listener, &peer);

	close(client);
	finish(server);
	return peer;
}

static void
on_response(void *data, const struct wv_http_response *response)
{
	bool *done = data;

	g_assert_cmpint(response->outcome, ==, WV_HTTP_COMPLETED);
	*done = true;
}

static char *
connect_http(int listener, const char *address)
{
	struct wv_http_client *client = wv_http_client_create();
	struct wv_http_request request = {.method = "GET",
	    .address = wv_string_borrow(address),
	    .path = "/",
	    .timeout = 5000,
	    .at_most_once = true};
	bool done = false;
	char *peer;
	int server;

	wv_http_client_send(client, &request, on_response, &done);
	wv_http_client_poll(client, POLL_TIME);
	server = accept_from(listener, &peer);
	g_assert_cmpint(write(server, RESPONSE, sizeof(RESPONSE) - 1), ==,
	    sizeof(RESPONSE) - 1);
	for (int i = 0; i < MAX_POLLS && !done; i++)
		wv_http_client_poll(client, POLL_TIME);
	g_assert_true(done);
	wv_http_client_destroy(client);
	shutdown(server, SHUT_WR);
	close(server);
	return peer;
}

/* Without SO_REUSEADDR of the connections, none of their ports is usable. */
static void
check_usable(connect_once connect_to)
{
	char *address;
	int listener = open_listener(&address);
	unsigned n_usable = 0;

	for (int i = 0; i < N_CONNECTIONS; i++) {
		char *local = connect_to(listener, address);

		n_usable += is_usable(local);
		g_free(local);
	}
	g_test_message("%u of %d ports usable", n_usable, N_CONNECTIONS);
	g_assert_cmpuint(n_usable, >, 0);
	close(listener);
	g_free(address);
}

static void
test_entry(void)
{
	check_usable(connect_entry);
}

static void
test_http(void)
{
	check_usable(connect_http);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/local-ports/entry", test_entry);
	g_test_add_func("/local-ports/http", test_http);
	return g_test_run();
}
