/**
 * @file
 * Health and latency estimate of one searcher, derived from its replies.
 */
#ifndef WISTERIAVANE_REPLICA_H
#define WISTERIAVANE_REPLICA_H

#include "wisteriavane/executor.h"

struct wv_replica;

/** Health of a searcher. */
enum wv_replica_state {
	WV_REPLICA_WARMING, /**< new or recovered; gets less work */
	WV_REPLICA_LIVE,
	WV_REPLICA_LOST, /**< gets one probe at a time */
	WV_REPLICA_LEAVING /**< gets no new work */
};

/** Creates the state of a searcher, which is warming. */
struct wv_replica *wv_replica_create(
    const struct wv_searcher_info *info, wv_msec now);

/** Releases a replica. NULL is allowed. */
void wv_replica_destroy(struct wv_replica *replica);

/** Records that a request was sent to the searcher. */
void wv_replica_record_send(struct wv_replica *replica, wv_msec now);

/**
 * Records the outcome of an attempt.
 *
 * @param elapsed  time since the attempt was sent, ms
 */
void wv_replica_record_outcome(struct wv_replica *replica, wv_msec now,
    enum wv_reply_outcome outcome, wv_msec elapsed);

/**
 * Records the end of an attempt whose outcome no longer counts: it was
 * cancelled, or its slot expired.
 *
 * @param elapsed    time from the send until it was given up, ms
 * @param confirmed  whether the searcher confirmed that it has stopped;
 *                   otherwise a failure is recorded
 */
void wv_replica_record_given_up(
    struct wv_replica *replica, wv_msec now, wv_msec elapsed, bool confirmed);

/** Records that a generation is leaving; reports on older ones are ignored. */
void wv_replica_mark_leaving(struct wv_replica *replica, uint64_t generation,
    enum wv_leaving_source source);

/**
 * Returns whether the searcher is leaving.
 *
 * @param source  receives the first source that reported this generation
 */
bool wv_replica_leaving_source(
    const struct wv_replica *replica, enum wv_leaving_source *source);

/**
 * Starts a newer generation of the searcher, without samples; others are
 * ignored. Requests to the previous generation are no longer counted.
 */
void wv_replica_start_generation(struct wv_replica *replica, wv_msec now,
    const struct wv_searcher_info *info);

/** Returns the health of the searcher. */
enum wv_replica_state wv_replica_state(const struct wv_replica *replica);

/** Returns whether new work may be sent now, regardless of free slots. */
bool wv_replica_is_usable(const struct wv_replica *replica, wv_msec now);

/**
 * Returns when a lost searcher may be probed next, or WV_MSEC_NEVER if it is
 * not lost.
 */
wv_msec wv_replica_probe_at(const struct wv_replica *replica);

/**
 * Returns the estimated latency of one more request, ms. Estimates of searchers
 * that get no requests decay towards 0, so that these are tried again after a
 * while.
 *
 * @param typical  latency of the service, ms; used without samples
 */
wv_msec wv_replica_score(
    const struct wv_replica *replica, wv_msec now, wv_msec typical);

#endif
