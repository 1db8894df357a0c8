/**
 * @file
 * The open connections of an HTTP server.
 */
#include <sys/socket.h>

#include <glib.h>

#include "http/connections.h"

/* The connections of one thread. Only that thread uses it. */
struct thread_connections {
	struct wv_http_connections *all;
	GQueue open; /* the one that was active longest ago first */
	unsigned int n_yielding; /* shut down, not removed yet */
};

struct wv_http_connections {
	GMutex mutex; /* protects threads */
	GHashTable *threads; /* GThread to struct thread_connections */
	unsigned int limit; /* per thread */
	wv_http_yield_fn on_yield;
	void *data;
};

struct wv_http_connection {
	struct thread_connections *thread;
	GList node; /* in thread->open */
	int fd;
	bool busy; /* with a request */
	bool yielding; /* was shut down */
};

struct wv_http_connections *
wv_http_connections_create(
    unsigned int limit, wv_http_yield_fn on_yield, void *data)
{
	struct wv_http_connections *connections =
	    g_new0(struct wv_http_connections, 1);

	g_mutex_init(&connections->mutex);
	connections->threads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	connections->limit = limit;
	connections->on_yield = on_yield;
	connections->data = data;
	return connections;
}

void
wv_http_connections_destroy(struct wv_http_connections *connections)
{
	g_hash_table_destroy(connections->threads);
	g_mutex_clear(&connections->mutex);
	g_free(connections);
}

/* Returns the entry of the calling thread, a new one if it has none. */
static struct thread_connections *
find_thread(struct wv_http_connections *connections)
{
	void *key = g_thread_self();
	struct thread_connections *thread;

	g_mutex_lock(&connections->mutex);
	thread = g_hash_table_lookup(connections->threads, key);
	if (thread == NULL) {
		thread = g_new0(struct thread_connections, 1);
		thread->all = connections;
		g_hash_table_insert(connections->threads, key, thread);
	}
	g_mutex_unlock(&connections->mutex);
	return thread;
}

/*
 * Returns whether a connection may yield. Bytes that have arrived and were not
 * read may be a request: without an answer, the caller could not tell whether
 * it ran.
 */
static bool
may_yield(const struct wv_http_connection *connection)
{
	char byte;

	return !connection->busy && !connection->yielding &&
	    recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/*
 * Shuts down the connection that is idle for longest if the thread has as many
 * as it may. libmicrohttpd then reads the end of the stream and closes it.
 *
 * kept: a connection that does not yield, or NULL
 */
static void
make_room(
    struct thread_connections *thread, const struct wv_http_connection *kept)
{
	struct wv_http_connections *all = thread->all;
	struct wv_http_connection *idle = NULL;

	if (thread->open.length - thread->n_yielding < all->limit)
		return;
	for (GList *node = thread->open.head; node != NULL && idle == NULL;
	     node = node->next) {
		if (node->data != kept && may_yield(node->data))
			idle = node->data;
	}
	if (idle == NULL)
		return;
	idle->yielding = true;
	thread->n_yielding++;
	shutdown(idle->fd, SHUT_RDWR);
	all->on_yield(all->data);
}

struct wv_http_connection *
wv_http_connection_add(struct wv_http_connections *connections, int fd)
{
	struct wv_http_connection *connection =
	    g_new0(struct wv_http_connection, 1);

	connection->thread = find_thread(connections);
	connection->node.data = connection;
	connection->fd = fd;
	g_queue_push_tail_link(&connection->thread->open, &connection->node);
	make_room(connection->thread, connection);
	return connection;
}

void
wv_http_connection_remove(struct wv_http_connection *connection)
{
	struct thread_connections *thread = connection->thread;

	g_queue_unlink(&thread->open, &connection->node);
	if (connection->yielding)
		thread->n_yielding--;
	g_free(connection);
}

void
wv_http_connection_touch(struct wv_http_connection *connection)
{
	GQueue *open = &connection->thread->open;

	g_queue_unlink(open, &connection->node);
	g_queue_push_tail_link(open, &connection->node);
}

bool
wv_http_connection_begin(struct wv_http_connection *connection)
{
	connection->busy = !connection->yielding;
	return connection->busy;
}

void
wv_http_connection_end(struct wv_http_connection *connection)
{
	connection->busy = false;
	wv_http_connection_touch(connection);
	make_room(connection->thread, NULL);
}
