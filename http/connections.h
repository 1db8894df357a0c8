/**
 * @file
 * The open connections of an HTTP server. When a thread has as many as it may,
 * the one that is idle for longest is shut down, so that there is room for a
 * new one. A connection is idle unless the server works on a request of it.
 *
 * libmicrohttpd binds each connection to one thread and limits the number per
 * thread. At the limit it stops accepting, so it cannot report a connection
 * that waits.
 */
#ifndef WISTERIAVANE_HTTP_CONNECTIONS_H
#define WISTERIAVANE_HTTP_CONNECTIONS_H

#include <stdbool.h>

/** The connections of a server. Any thread may use it. */
struct wv_http_connections;

/** One connection. Only the thread that added it may use it. */
struct wv_http_connection;

/** Called after a connection was shut down, by the thread that owned it. */
typedef void (*wv_http_yield_fn)(void *data);

/**
 * Creates an empty set.
 *
 * @param limit     connections per thread, at least 1; with 1, a connection
 *                  yields only after a request of it
 * @param on_yield  called with data
 */
struct wv_http_connections *wv_http_connections_create(
    unsigned int limit, wv_http_yield_fn on_yield, void *data);

/** Releases a set, which must be empty and out of use. */
void wv_http_connections_destroy(struct wv_http_connections *connections);

/**
 * Adds an accepted connection of the calling thread. If the thread then has as
 * many as it may, the one that is idle for longest yields; the new one does
 * not.
 *
 * @param fd  borrowed until the connection is removed
 */
struct wv_http_connection *wv_http_connection_add(
    struct wv_http_connections *connections, int fd);

/** Removes and releases a connection; call it before its socket is closed. */
void wv_http_connection_remove(struct wv_http_connection *connection);

/** Records that the header of a request has arrived. */
void wv_http_connection_touch(struct wv_http_connection *connection);

/**
 * Records that the server begins to work on a request; the connection does not
 * yield until its end.
 *
 * @return false if the connection has yielded: the request must not run, since
 *         its answer could not be sent
 */
bool wv_http_connection_begin(struct wv_http_connection *connection);

/**
 * Records that a request has ended. If the thread has as many connections as it
 * may, the one that is idle for longest yields.
 */
void wv_http_connection_end(struct wv_http_connection *connection);

#endif
