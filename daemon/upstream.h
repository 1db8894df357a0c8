/**
 * @file
 * The edge towards searchers: requests, cancels and health.
 */
#ifndef WISTERIAVANE_DAEMON_UPSTREAM_H
#define WISTERIAVANE_DAEMON_UPSTREAM_H

#include "daemon/daemon.h"
#include "http/client.h"

/**
 * Time after an attempt's deadline for which the searcher's word is awaited
 * while its slot counts as taken, ms. Bounds how long a searcher that was lost
 * without a word keeps a slot; a process that stalls for longer may be sent
 * more than its slots hold.
 */
#define UPSTREAM_SLOT_MARGIN 500.0

/** Receives what searchers say about one executor's attempts. */
struct upstream {
	struct daemon *daemon;
	struct wv_http_client *client; /**< of the executor's thread */
	struct wv_executor *executor;
	struct wv_string back_end; /**< borrowed */
};

/**
 * Sends a search or a job to a searcher.
 *
 * @param expires  Unix time after which a job must not start; 0 for searches
 */
void upstream_send(struct upstream *upstream,
    const struct wv_shard_request *request, wv_msec expires);

/** Asks a searcher to stop working on an attempt. */
void upstream_cancel(struct upstream *upstream, struct wv_string address,
    struct wv_attempt_id attempt);

/** Asks a searcher for its health: a hint for snapshots and leaving. */
void upstream_ask_health(
    struct upstream *upstream, const struct wv_searcher_info *info);

#endif
