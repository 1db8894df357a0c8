/**
 * @file
 * An asynchronous HTTP/JSON client over libcurl's multi interface. One
 * thread uses a client; only wv_http_client_wakeup() may be called by others.
 */
#ifndef WISTERIAVANE_HTTP_CLIENT_H
#define WISTERIAVANE_HTTP_CLIENT_H

#include "wisteriavane/status.h"

/** How an exchange ended. */
enum wv_http_outcome {
	WV_HTTP_ANSWERED, /**< a whole answer came */
	WV_HTTP_NOT_SENT, /**< no byte of the request left */
	WV_HTTP_TIMED_OUT, /**< no whole answer in time; may have run */
	WV_HTTP_BROKEN /**< the connection broke; may have run */
};

/** A request. Strings are copied. */
struct wv_http_request {
	const char *method; /**< such as "POST" */
	struct wv_string address; /**< IP:PORT */
	const char *path; /**< with arguments */
	struct wv_string body; /**< empty for none */
	const char *token; /**< bearer token, or NULL */
	wv_msec timeout;
	wv_msec connect_timeout; /**< 0 is as long as the timeout */
	/**
	 * Sent at most once: on a connection of its own, since libcurl repeats
	 * a request by itself when a reused connection turns out to be dead.
	 */
	bool once;
	/**
	 * Releases the data given with the request if the client is destroyed
	 * before the answer; NULL if there is nothing to release.
	 */
	void (*release)(void *data);
};

/** An answer; borrowed for the duration of the callback. */
struct wv_http_answer {
	enum wv_http_outcome outcome;
	unsigned int http_status; /**< 0 unless answered */
	struct wv_string body;
	bool draining; /**< the header X-Drain was set */
	const char *error; /**< for people, when not answered */
};

/** Takes the answer to a request. */
typedef void (*wv_http_done)(void *data, const struct wv_http_answer *answer);

struct wv_http_client;

/** Creates a client. */
struct wv_http_client *wv_http_client_create(void);

/** Releases a client; requests in progress are dropped and released. */
void wv_http_client_destroy(struct wv_http_client *client);

/** Starts a request; done is called from wv_http_client_wait(). */
void wv_http_client_send(struct wv_http_client *client,
    const struct wv_http_request *request, wv_http_done done, void *data);

/** Moves requests on for at most a time, or until woken up. */
void wv_http_client_wait(struct wv_http_client *client, wv_msec timeout);

/** Makes wv_http_client_wait() return; any thread. */
void wv_http_client_wakeup(struct wv_http_client *client);

/** Returns the number of requests in progress. */
size_t wv_http_client_pending(const struct wv_http_client *client);

/**
 * Sends one request and waits for its answer.
 *
 * @param body  receives the owned body
 * @return the HTTP status, or 0 with a status
 */
unsigned int wv_http_call(const struct wv_http_request *request,
    struct wv_string *body, struct wv_status *status);

#endif
