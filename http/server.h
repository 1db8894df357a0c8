/**
 * @file
 * An HTTP/JSON server over libmicrohttpd. It buffers request bodies up to a
 * limit and lets any thread answer a call later.
 */
#ifndef WISTERIAVANE_HTTP_SERVER_H
#define WISTERIAVANE_HTTP_SERVER_H

#include "wisteriavane/status.h"

struct wv_http_call;
struct wv_http_handler;

/** Callbacks of a server. */
struct wv_http_handler_ops {
	/**
	 * Handles a complete call on an HTTP thread. The call must be answered
	 * exactly once, now or later and from any thread, by one of
	 * wv_http_call_answer(), wv_http_call_fail(), wv_http_call_drop() and
	 * wv_http_call_truncate().
	 */
	void (*handle)(
	    struct wv_http_handler *handler, struct wv_http_call *call);
	/** Runs on an HTTP thread before each handle(); may be NULL. */
	void (*before_handle)(struct wv_http_handler *handler);
	/**
	 * Runs on an HTTP thread after an idle connection was closed because
	 * the thread had as many as it may. If it is NULL, none is closed for
	 * this reason.
	 */
	void (*on_yield)(struct wv_http_handler *handler);
};

/** Base of a handler of calls; embed it as the first member of a struct. */
struct wv_http_handler {
	const struct wv_http_handler_ops *ops;
};

/** Settings of a server. */
struct wv_http_server_config {
	struct wv_string address; /**< IP:PORT; port 0 chooses a free one */
	uint32_t threads; /**< HTTP threads, at least 1 */
	size_t max_body; /**< longest body of a request, bytes */
	/**
	 * Limit of open connections; if below threads, 1024 per thread. At the
	 * limit, the connection that is idle for longest is closed if the
	 * handler has on_yield. This needs room for two connections per thread.
	 */
	uint32_t max_connections;
	/** Idle time until a connection is closed, ms; 0 to 999: never. */
	wv_msec idle_timeout;
	/**
	 * Socket that listens on the address already and is not blocking; the
	 * server takes it over. 0 opens one.
	 */
	int listener;
};

struct wv_http_server;

/**
 * Starts a server.
 *
 * @param handler  borrowed; must outlive the server
 * @param status   receives WV_INTERNAL and a message on failure
 * @return NULL if the address is malformed or cannot be listened on
 */
struct wv_http_server *wv_http_server_start(
    const struct wv_http_server_config *config, struct wv_http_handler *handler,
    struct wv_status *status);

/** Returns the port that the server listens on. */
uint16_t wv_http_server_port(const struct wv_http_server *server);

/** Returns the number of open connections. */
unsigned int wv_http_server_count_connections(
    const struct wv_http_server *server);

/** Stops listening; open connections are served further. */
void wv_http_server_quiesce(struct wv_http_server *server);

/** Stops and releases a server. Every call must have been answered. */
void wv_http_server_stop(struct wv_http_server *server);

/** Returns the method, such as "GET". Valid until the call is answered. */
const char *wv_http_call_method(const struct wv_http_call *call);

/** Returns the path without the query string. Valid as the method is. */
const char *wv_http_call_path(const struct wv_http_call *call);

/** Returns the request's body. Valid as the method is. */
struct wv_string wv_http_call_body(const struct wv_http_call *call);

/** Returns an argument of the query string, decoded, or NULL. */
const char *wv_http_call_query_argument(
    const struct wv_http_call *call, const char *name);

/** Returns a header of the request, or NULL. */
const char *wv_http_call_header(
    const struct wv_http_call *call, const char *name);

/** Adds a header to the response; call it before the call is answered. */
void wv_http_call_set_header(
    struct wv_http_call *call, const char *name, const char *value);

/**
 * Answers with a JSON body. The call must not be used afterwards.
 *
 * @param http_status  such as 200
 * @param json         copied
 */
void wv_http_call_answer(
    struct wv_http_call *call, unsigned int http_status, struct wv_string json);

/**
 * Answers with {"code": N, "name": ..., "message": ...} and the HTTP status of
 * the code.
 */
void wv_http_call_fail(
    struct wv_http_call *call, const struct wv_status *status);

/** Closes the connection without a response (for fault injection). */
void wv_http_call_drop(struct wv_http_call *call);

/**
 * Sends a Content-Length for the whole body, then only its first bytes, and
 * closes the connection (for fault injection).
 *
 * @param sent  bytes to send, fewer than the body has
 */
void wv_http_call_truncate(struct wv_http_call *call, unsigned int http_status,
    struct wv_string json, size_t sent);

/** Returns the HTTP status for a result code. */
unsigned int wv_http_status_for_code(enum wv_code code);

#endif
