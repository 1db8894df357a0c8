/**
 * @file
 * An asynchronous HTTP/JSON client over libcurl's multi interface. A client
 * belongs to one thread; only wv_http_client_wakeup() may be called by others.
 */
#ifndef WISTERIAVANE_HTTP_CLIENT_H
#define WISTERIAVANE_HTTP_CLIENT_H

#include "wisteriavane/status.h"

/** How a request ended. */
enum wv_http_outcome {
	WV_HTTP_COMPLETED, /**< a complete response was received */
	WV_HTTP_NOT_SENT, /**< no byte was sent: the server did not run it */
	WV_HTTP_TIMED_OUT, /**< no complete response in time; may have run */
	WV_HTTP_FAILED /**< any other failure; may have run */
};

/** A request. Strings are copied by wv_http_client_send(). */
struct wv_http_request {
	const char *method; /**< such as "POST" */
	struct wv_string address; /**< IP:PORT */
	const char *path; /**< path and query string, URL-encoded */
	struct wv_string body; /**< empty for none */
	const char *token; /**< bearer token, or NULL */
	wv_msec timeout; /**< for the whole exchange, ms */
	wv_msec connect_timeout; /**< at most 1000 ms; 0: as timeout */
	/**
	 * Sends the request at most once, on a connection of its own: libcurl
	 * repeats a request by itself if a reused connection turns out to be
	 * dead.
	 */
	bool at_most_once;
	/**
	 * Releases the callback's data if the client is destroyed before the
	 * request ends; NULL if there is nothing to release.
	 */
	void (*release)(void *data);
};

/** The response to a request; borrowed for the duration of the callback. */
struct wv_http_response {
	enum wv_http_outcome outcome;
	unsigned int http_status; /**< 0 unless answered */
	struct wv_string body; /**< followed by a NUL */
	bool draining; /**< the response has the header X-Drain */
	const char *error; /**< message for operators if not answered */
};

/** Receives the outcome of a request, in the thread of the client. */
typedef void (*wv_http_callback)(
    void *data, const struct wv_http_response *answer);

struct wv_http_client;

/** Creates a client. */
struct wv_http_client *wv_http_client_create(void);

/**
 * Releases a client. Requests in progress are aborted: their data is released,
 * and their callback is not called.
 */
void wv_http_client_destroy(struct wv_http_client *client);

/**
 * Starts a request.
 *
 * @param done  is called exactly once from wv_http_client_poll(), unless the
 *              client is destroyed before
 */
void wv_http_client_send(struct wv_http_client *client,
    const struct wv_http_request *request, wv_http_callback done, void *data);

/**
 * Transfers data and calls the callbacks of completed requests. Waits for
 * network activity or a wake-up.
 *
 * @param timeout  longest wait, ms; bounded to 0 to 60000 and rounded up to
 *                 whole milliseconds
 */
void wv_http_client_poll(struct wv_http_client *client, wv_msec timeout);

/** Makes wv_http_client_poll() return. May be called by any thread. */
void wv_http_client_wakeup(struct wv_http_client *client);

/** Returns the number of requests in progress. */
size_t wv_http_client_count_pending(const struct wv_http_client *client);

/**
 * Sends one request and blocks until it ends.
 *
 * @param body    receives the body of the response, owned by the caller;
 *                unchanged on failure
 * @param status  receives WV_INTERNAL and a message on failure
 * @return the HTTP status, or 0 if there is no complete response
 */
unsigned int wv_http_client_call(const struct wv_http_request *request,
    struct wv_string *body, struct wv_status *status);

#endif
