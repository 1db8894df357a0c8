/**
 * @file
 * HTTP/JSON client for searchers: attempts, their cancellation, and health
 * checks. All functions run on the executor's thread and do not block.
 */
#ifndef WISTERIAVANE_DAEMON_UPSTREAM_H
#define WISTERIAVANE_DAEMON_UPSTREAM_H

#include "daemon/daemon.h"
#include "http/client.h"

/**
 * Time after an attempt's deadline for which the searcher's reply is awaited
 * and its slot counts as taken, ms. Bounds how long an attempt at a searcher
 * that failed silently occupies a slot. A searcher process that stalls for
 * longer may be sent more attempts than it has slots.
 */
#define UPSTREAM_SLOT_MARGIN_MS 500.0

/** Connects one executor to its searchers. All pointers are borrowed. */
struct upstream {
	struct daemon *daemon;
	struct wv_http_client *client; /**< owned by the executor's thread */
	struct wv_executor *executor;
	struct wv_string back_end; /**< borrowed */
};

/**
 * Sends an attempt of a search or a job to a searcher. Its outcome is passed to
 * wv_executor_reply().
 *
 * @param expires  Unix time in ms after which the searcher must not start the
 *                 job; 0 for searches
 */
void upstream_send(struct upstream *upstream,
    const struct wv_shard_request *request, wv_msec expires);

/**
 * Sends a searcher a cancel call for an attempt. The outcome is passed to
 * wv_executor_cancelled().
 */
void upstream_cancel(struct upstream *upstream, struct wv_string address,
    struct wv_attempt_id attempt);

/**
 * Requests a searcher's health. The answer is a hint only: it updates the known
 * snapshots and may report that the searcher is leaving. Failures are ignored.
 */
void upstream_request_health(
    struct upstream *upstream, const struct wv_searcher_info *info);

#endif
