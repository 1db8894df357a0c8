/**
 * @file
 * HTTP/1.1 server connections on the event loop.
 *
 * One request at a time is passed on per connection; further bytes wait. A
 * caller's close is noticed while its request is served.
 */
#ifndef WISTERIAVANE_ENTRY_SERVER_H
#define WISTERIAVANE_ENTRY_SERVER_H

#include <event2/event.h>

#include "entry/message.h"
#include "wisteriavane/routes.h"

struct server;
struct server_conn;

/** What a server does with requests. */
struct server_ops {
	/**
	 * A complete request. Answer it now or later, once, by
	 * server_answer(). The message belongs to the connection.
	 */
	void (*request)(void *data, struct server_conn *conn,
	    const struct message *message);
	/** The caller left before its answer; the connection is invalid. */
	void (*left)(void *data, struct server_conn *conn);
	/** A request was refused as malformed or too large, or was too slow. */
	void (*refused)(void *data, unsigned status);
};

/**
 * Listens.
 *
 * @param address  IP:PORT
 * @param ops      borrowed
 * @return the server, or NULL if the address can't be bound
 */
struct server *server_create(struct event_base *base, const char *address,
    const struct server_ops *ops, void *data);

/** Closes all connections and releases the server. */
void server_destroy(struct server *server);

/** Sets the bounds of what callers may send. */
void server_set_limits(
    struct server *server, const struct wv_caller_limits *limits);

/** From now on answers ask callers to close their connections. */
void server_drain(struct server *server);

/** Stops listening. */
void server_stop_listening(struct server *server);

/** Returns the number of requests that have no answer yet. */
size_t server_busy(const struct server *server);

/** Returns whether all answers have been written. */
bool server_is_flushed(const struct server *server);

/** Calls back for each connection whose request has no answer yet. */
void server_visit_busy(struct server *server,
    void (*visit)(void *data, struct server_conn *conn), void *data);

/** Stores a pointer with the request in progress. */
void server_conn_set_context(struct server_conn *conn, void *context);

/** Returns the pointer stored with the request in progress. */
void *server_conn_context(const struct server_conn *conn);

/**
 * Answers the request in progress.
 *
 * @param fields  header fields, each with its line end; may be NULL
 * @param body    may be empty
 */
void server_answer(struct server_conn *conn, unsigned status,
    const GString *fields, struct wv_string body);

/** Ends the connection of the request in progress without an answer. */
void server_cut(struct server_conn *conn);

/** Answers with bytes as they are; then closes if that is asked for. */
void server_answer_bytes(
    struct server_conn *conn, struct wv_string bytes, bool close_after);

/** Answers with a short text. */
void server_answer_text(
    struct server_conn *conn, unsigned status, const char *text);

#endif
