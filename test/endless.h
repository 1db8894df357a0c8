/**
 * @file
 * A server that answers each connection with bytes that never end, until the
 * other side closes. Runs in the event loop of a test.
 */
#ifndef WISTERIAVANE_TEST_ENDLESS_H
#define WISTERIAVANE_TEST_ENDLESS_H

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"

/** Bytes of one write. */
#define ENDLESS_WRITE 65536

/** What a server sends: first a beginning, then a pattern again and again. */
struct endless_bytes {
	const char *begin;
	const char *repeat;
};

struct endless_server {
	struct event_base *base;
	const struct endless_bytes *bytes;
	struct event *accept;
	int fd;
	unsigned open; /* connections that the other side has not closed */
	unsigned accepted;
	uint64_t sent; /* bytes */
};

struct endless_conn {
	struct endless_server *server;
	struct event *event;
	char *block; /* whole repetitions of the pattern */
	size_t block_length;
	size_t at; /* in the block */
	bool begun;
};

static inline void
endless_close(struct endless_conn *conn, int fd)
{
	conn->server->open--;
	event_free(conn->event);
	close(fd);
	g_free(conn->block);
	g_free(conn);
}

static inline void
endless_on_event(evutil_socket_t fd, short what, void *data)
{
	struct endless_conn *conn = data;
	struct endless_server *server = conn->server;
	char request[4096];
	ssize_t n;

	if ((what & EV_READ) != 0 &&
	    recv(fd, request, sizeof(request), MSG_DONTWAIT) <= 0) {
		endless_close(conn, fd);
		return;
	}
	if (!conn->begun) {
		if ((what & EV_READ) == 0)
			return;
		conn->begun = true;
		send(fd, server->bytes->begin, strlen(server->bytes->begin),
		    MSG_NOSIGNAL);
		event_del(conn->event);
		event_assign(conn->event, server->base, fd,
		    EV_READ | EV_WRITE | EV_PERSIST, endless_on_event, conn);
		event_add(conn->event, NULL);
	}
	n = send(fd, conn->block + conn->at, conn->block_length - conn->at,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0 && errno != EAGAIN) {
		endless_close(conn, fd);
		return;
	}
	if (n > 0) {
		server->sent += (uint64_t)n;
		conn->at = (conn->at + (size_t)n) % conn->block_length;
	}
}

static inline void
endless_on_accept(evutil_socket_t listener, short what, void *data)
{
	struct endless_server *server = data;
	struct endless_conn *conn = g_new0(struct endless_conn, 1);
	size_t length = strlen(server->bytes->repeat);
	size_t n = MAX(ENDLESS_WRITE / length, 1);
	int fd = accept(listener, NULL, NULL);

	(void)what;
	g_assert_cmpint(fd, >=, 0);
	evutil_make_socket_nonblocking(fd);
	conn->server = server;
	conn->block = g_malloc(n * length);
	for (size_t i = 0; i < n; i++)
		memcpy(conn->block + i * length, server->bytes->repeat, length);
	conn->block_length = n * length;
	conn->event = event_new(
	    server->base, fd, EV_READ | EV_PERSIST, endless_on_event, conn);
	event_add(conn->event, NULL);
	server->open++;
	server->accepted++;
}

/** Creates a server that listens on IP:PORT; bytes are borrowed. */
static inline struct endless_server *
endless_create(struct event_base *base, const char *address,
    const struct endless_bytes *bytes)
{
	struct endless_server *server = g_new0(struct endless_server, 1);

	server->base = base;
	server->bytes = bytes;
	server->fd = socket_listen(address, 64);
	g_assert_cmpint(server->fd, >=, 0);
	server->accept = event_new(
	    base, server->fd, EV_READ | EV_PERSIST, endless_on_accept, server);
	event_add(server->accept, NULL);
	return server;
}

/** Stops listening; connections must have been closed. */
static inline void
endless_destroy(struct endless_server *server)
{
	event_free(server->accept);
	close(server->fd);
	g_free(server);
}

#endif
