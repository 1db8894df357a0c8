/**
 * @file
 * A proxy on loopback that disturbs connections.
 */
#ifndef WISTERIAVANE_SOAK_PROXY_H
#define WISTERIAVANE_SOAK_PROXY_H

#include <event2/event.h>

#include "wisteriavane/types.h"

struct proxy;

/** What a proxy does with connections. */
enum proxy_mode {
	PROXY_PASS, /**< passes bytes on */
	PROXY_DELAY, /**< passes bytes on late */
	PROXY_SILENT, /**< holds all bytes back, both ways */
	PROXY_ONE_WAY, /**< holds back what the target sends */
	PROXY_RESET /**< resets all connections, new ones too */
};

/** Listens on an address and connects to a target. */
struct proxy *proxy_create(
    struct event_base *base, const char *address, const char *target);

/** Sets the mode; bytes that were held back are passed on by the next one. */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode);

/** Returns the address on which it listens. Borrowed. */
const char *proxy_address(const struct proxy *proxy);

#endif
