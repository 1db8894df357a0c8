/**
 * @file
 * HTTP/1.1 server on an event loop.
 *
 * Each connection has one request in progress at a time; bytes of later
 * requests are buffered. The close of a connection is noticed while its request
 * is in progress too.
 *
 * Each request must be ended once, by one of the server_answer functions or by
 * server_close_unanswered(); these may destroy the connection.
 */
#ifndef WISTERIAVANE_ENTRY_SERVER_H
#define WISTERIAVANE_ENTRY_SERVER_H

#include <event2/event.h>

#include "entry/message.h"
#include "wisteriavane/routes.h"

struct server;
struct server_conn;

/** Callbacks of a server. */
struct server_ops {
	/**
	 * A request is complete. It is answered once, now or later. The
	 * message is owned by the connection and valid until the answer.
	 */
	void (*request)(void *data, struct server_conn *conn,
	    const struct message *message);
	/**
	 * The caller closed the connection before its request was answered.
	 * The connection is released after this callback; don't answer.
	 */
	void (*caller_left)(void *data, struct server_conn *conn);
	/**
	 * The server rejected a request itself: malformed, too large, not
	 * complete in time or, with status 503, for want of memory.
	 */
	void (*rejected)(void *data, unsigned status);
};

/** What a server does because it lacks descriptors or memory. */
enum server_shortage {
	SERVER_YIELDED, /**< an idle or lingering connection was closed for a
			     new one */
	SERVER_ACCEPT_FAILED, /**< accept() failed for want of a resource */
	SERVER_ANSWER_CUT, /**< a caller did not read its answer while the
			      buffers were full */
	SERVER_CROWDED, /**< the first of these, or the server does not accept
			 because no connection can yield */
	SERVER_UNCROWDED /**< none of this for a second */
};

/**
 * Receives what happens for want of descriptors or memory.
 *
 * @param error  errno value of accept(), or 0
 */
typedef void (*server_shortage_fn)(void *data, const struct server *server,
    enum server_shortage shortage, int error);

/**
 * Creates a server and listens.
 *
 * @param address  IP:PORT
 * @param ops      borrowed
 * @param data     passed to the callbacks
 * @return the server, which the caller owns, or NULL with errno if the address
 *         can't be bound
 */
struct server *server_create(struct event_base *base, const char *address,
    const struct server_ops *ops, void *data);

/**
 * Creates a server that does not listen yet.
 *
 * @param ops   borrowed
 * @param data  passed to the callbacks
 * @return the server, which the caller owns
 */
struct server *server_create_closed(
    struct event_base *base, const struct server_ops *ops, void *data);

/**
 * Begins to listen on an address (IP:PORT); the server must not listen yet.
 * Returns false with errno if the address can't be bound.
 */
bool server_listen(struct server *server, const char *address);

/** Returns whether the server accepts connections. */
bool server_is_listening(const struct server *server);

/** Closes all connections and releases the server. */
void server_destroy(struct server *server);

/**
 * Sets the limits on size and time of requests. The size limits apply from a
 * connection's next request on.
 */
void server_set_limits(
    struct server *server, const struct wv_caller_limits *limits);

/**
 * Sets how many connections the server keeps. When there are as many, one is
 * closed for a new one: the one whose last answer was sent first and that the
 * caller has not closed yet, else the one that has been idle longest. While
 * there is neither, new ones wait in the kernel's queue. Requests in progress
 * are not cut.
 *
 * @param shortage  may be NULL
 * @param data      passed to the callback
 */
void server_set_max_conns(struct server *server, size_t max_conns,
    server_shortage_fn shortage, void *data);

/**
 * Sets how many bytes of requests and answers the server buffers. When there
 * are more, incomplete requests that are not small are refused with 503,
 * connections with a request in progress are not read, and the answers that
 * callers have not read for longest are cut.
 */
void server_set_max_buffered(struct server *server, size_t max_buffered);

/** Returns how many bytes the buffers of all connections have. */
size_t server_count_buffered(const struct server *server);

/** Closes each connection after its next answer, with "Connection: close". */
void server_drain(struct server *server);

/** Closes the listening socket; connections stay. */
void server_stop_listening(struct server *server);

/** Returns the number of requests in progress. */
size_t server_count_busy(const struct server *server);

/** Returns whether no request is in progress and all answers are written. */
bool server_is_flushed(const struct server *server);

/**
 * Calls a function for each connection with a request in progress. It may
 * answer the request.
 */
void server_foreach_busy(struct server *server,
    void (*visit)(void *data, struct server_conn *conn), void *data);

/** Sets the user pointer of the request in progress. */
void server_conn_set_context(struct server_conn *conn, void *context);

/** Returns the user pointer of the request in progress, or NULL. */
void *server_conn_context(const struct server_conn *conn);

/**
 * Returns the time that the request in progress and its answer spend on the
 * network, ms, or 0 if it is not known: a round trip, and for the first request
 * of a connection another one, in which the connection was established.
 */
wv_msec server_conn_network_time(const struct server_conn *conn);

/**
 * Answers the request in progress.
 *
 * @param fields  header fields, each with CR LF; may be NULL
 * @param body    may be empty
 */
void server_answer(struct server_conn *conn, unsigned status,
    const GString *fields, struct wv_string body);

/** Closes the connection of the request in progress without an answer. */
void server_close_unanswered(struct server_conn *conn);

/**
 * Answers with the given bytes, header included.
 *
 * @param close_after  whether to close the connection after the answer
 */
void server_answer_bytes(
    struct server_conn *conn, struct wv_string bytes, bool close_after);

/** Answers with a text/plain body. */
void server_answer_text(
    struct server_conn *conn, unsigned status, const char *text);

#endif
