/**
 * @file
 * HTTP/1.1 client connections on an event loop.
 *
 * A connection has one request in progress at a time. The client never repeats
 * a request by itself.
 */
#ifndef WISTERIAVANE_ENTRY_CLIENT_H
#define WISTERIAVANE_ENTRY_CLIENT_H

#include <event2/event.h>

#include "entry/message.h"

struct client;

/** Memory that a group of clients may use for requests and answers. */
struct client_memory {
	size_t max_answer; /**< largest body of one answer, bytes */
	size_t max_total; /**< of all bodies being received, bytes */
	size_t used; /**< by these bodies now, bytes */
	size_t max_requests; /**< of all requests that are being sent, bytes;
				0: not limited */
	size_t requests; /**< buffers of these requests now, bytes */
};

/** Why a connection has ended. */
enum client_end_reason {
	CLIENT_REFUSED, /**< it could not be established */
	CLIENT_CLOSED, /**< the peer closed or reset it */
	CLIENT_MALFORMED /**< the peer sent bytes that are not a valid
			  answer to a request */
};

/** Callbacks of a connection. They may destroy it. */
struct client_ops {
	/**
	 * An answer has arrived; the callback owns it. The next request may be
	 * sent if client_is_reusable() returns true. The callback returns false
	 * if the answer belongs to another request than the one in progress;
	 * the client then keeps waiting for the right one.
	 */
	bool (*answered)(
	    void *data, struct client *client, struct message *answer);
	/** The connection has ended; the callback destroys the client. */
	void (*ended)(
	    void *data, struct client *client, enum client_end_reason end);
};

/**
 * Begins to connect. Every failure, an immediate one too, is reported by the
 * callback `ended` from the event loop.
 *
 * @param address  IP:PORT
 * @param ops      borrowed
 * @param data     passed to the callbacks
 * @return the client, never NULL; the caller owns it
 */
struct client *client_create(struct event_base *base, const char *address,
    const struct client_ops *ops, void *data);

/**
 * Limits the memory for requests and answers. An answer that exceeds it ends
 * the connection with CLIENT_MALFORMED. A request that exceeds it is not sent
 * and ends the connection with CLIENT_REFUSED.
 *
 * @param memory  shared by a group of clients; borrowed until the client is
 *                destroyed
 */
void client_limit_memory(struct client *client, struct client_memory *memory);

/** Closes the connection and releases the client. */
void client_destroy(struct client *client);

/**
 * Sends a request, or queues it until the connection is established.
 *
 * @param request  the whole request, header and body; copied
 * @param no_body  whether the answer has no body (request method HEAD)
 */
void client_send(struct client *client, struct wv_string request, bool no_body);

/**
 * Returns the errno value with which the socket could not be opened or
 * connected at once, or 0.
 */
int client_error(const struct client *client);

/** Returns whether bytes of the answer that is awaited were received. */
bool client_is_receiving(const struct client *client);

/** Returns whether no byte of the request has been sent. */
bool client_is_unsent(const struct client *client);

/** Returns whether the connection is established. */
bool client_is_connected(const struct client *client);

/** Returns whether another request may be sent on the connection. */
bool client_is_reusable(const struct client *client);

/**
 * Returns how long the peer keeps an idle connection open, ms, by the last
 * answer's Keep-Alive field; 0 if it has none.
 */
wv_msec client_idle_limit(const struct client *client);

#endif
