/**
 * @file
 * TCP proxy that delays, blocks or resets connections, for fault injection.
 */
#ifndef WISTERIAVANE_SOAK_PROXY_H
#define WISTERIAVANE_SOAK_PROXY_H

#include <event2/event.h>

#include "wisteriavane/types.h"

struct proxy;

/**
 * Observes the bytes of a connection: those to the target when they arrive,
 * those from the target when they are passed on.
 *
 * @param connection  identifies the connection as long as it is open
 * @param bytes       borrowed
 */
typedef void (*proxy_observer)(void *data, const void *connection,
    bool from_target, struct wv_string bytes);

/** What a proxy does with its connections. */
enum proxy_mode {
	PROXY_FORWARD, /**< forwards bytes */
	PROXY_DELAY, /**< forwards bytes after a delay */
	PROXY_BLOCK, /**< buffers all bytes, in both directions */
	PROXY_BLOCK_ANSWERS, /**< buffers what the target sends */
	PROXY_RESET /**< resets open connections, closes new ones */
};

/**
 * Creates a proxy that listens on an address and connects to a target, both
 * IP:PORT. It lives as long as the process.
 */
struct proxy *proxy_create(
    struct event_base *base, const char *address, const char *target);

/** Sets the mode; buffered bytes are forwarded if the new mode allows it. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

/** Sets the only observer of the proxy. */
void proxy_observe(struct proxy *proxy, proxy_observer observer, void *data);

/**
 * Returns the error (errno) of the first connection that any proxy could not
 * accept or open since the last call, as for want of descriptors; 0: none.
 * Connections that faults close don't count.
 */
int proxy_take_error(void);

/** Returns the listen address, IP:PORT. Borrowed. */
const char *proxy_address(const struct proxy *proxy);

#endif
