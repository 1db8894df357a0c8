/**
 * @file
 * Division of the process's descriptors among its ports, so that idle
 * connections to one port can't take those that the others need.
 */
#ifndef WISTERIAVANE_DAEMON_DESCRIPTORS_H
#define WISTERIAVANE_DAEMON_DESCRIPTORS_H

#include <stddef.h>

#include "wisteriavane/settings.h"

/** Maximum number of connections that others opened, per port. */
struct descriptor_shares {
	size_t callers;
	size_t operators;
	size_t peers;
};

/**
 * Raises the limit of the process as far as it may and returns it. Call it
 * before any thread is started.
 */
size_t descriptors_raise_limit(void);

/**
 * Divides the descriptors that the daemon's threads leave. Almost half remain
 * for its own connections to searchers, the store and other VMs.
 *
 * @param limit  descriptors that the process may have
 */
struct descriptor_shares descriptors_divide(
    const struct wv_settings *settings, size_t limit);

#endif
