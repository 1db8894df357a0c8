/**
 * @file
 * HTTP/1.1 client connections on the event loop: one request at a time, and
 * never a repetition that nobody asked for.
 */
#ifndef WISTERIAVANE_ENTRY_CLIENT_H
#define WISTERIAVANE_ENTRY_CLIENT_H

#include <event2/event.h>

#include "entry/message.h"

struct client;

/** Why a connection ended. */
enum client_end {
	CLIENT_REFUSED, /**< it was never established */
	CLIENT_CLOSED, /**< the peer closed or reset it */
	CLIENT_GARBLED /**< the peer sent bytes that are no answer */
};

/** What happens on a connection. Callbacks may destroy it. */
struct client_ops {
	/**
	 * An answer has arrived; the receiver owns it. Send the next request
	 * only if client_reusable() says so. Return false if it answers
	 * another request than the one in progress, which goes on waiting.
	 */
	bool (*answered)(
	    void *data, struct client *client, struct message *answer);
	/** The connection has ended; destroy it. */
	void (*ended)(void *data, struct client *client, enum client_end end);
};

/** Begins to connect. An immediate failure is reported later as well. */
struct client *client_create(struct event_base *base, const char *address,
    const struct client_ops *ops, void *data);

/** Closes and releases a connection. */
void client_destroy(struct client *client);

/**
 * Sends a request, as soon as the connection is established.
 *
 * @param request  the whole request; copied
 * @param no_body  the answer has no body (HEAD)
 */
void client_send(struct client *client, struct wv_string request, bool no_body);

/** Returns whether no byte of the request has left. */
bool client_untouched(const struct client *client);

/** Returns whether it is established. */
bool client_connected(const struct client *client);

/** Returns whether another request may be sent on it. */
bool client_reusable(const struct client *client);

/** Returns how long the peer keeps it idle, ms; 0 if it is not known. */
wv_msec client_idle_limit(const struct client *client);

#endif
