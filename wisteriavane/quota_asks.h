/**
 * @file
 * Requests that wait for permission from a home of their team (quota_pool.h),
 * since this VM has no token for them.
 *
 * All requests of a team that wait are asked for together, first at one home,
 * then at the other one if the first permits too few or does not answer. The
 * answer permits requests that are sent within WV_QUOTA_GRANT_USE of the
 * question; what is lost or late permits nothing.
 *
 * One thread; times are monotonic, in ms.
 */
#ifndef WISTERIAVANE_QUOTA_ASKS_H
#define WISTERIAVANE_QUOTA_ASKS_H

#include "wisteriavane/quota.h"
#include "wisteriavane/quota_pool.h"

struct wv_quota_asks;

/** A question to a home. */
struct wv_quota_ask {
	uint64_t home; /**< hash of its name */
	uint64_t id; /**< the answer must name it */
	uint64_t team; /**< hash of its name */
	unsigned tokens; /**< requests that wait */
};

/** Operations that the object calls. */
struct wv_quota_asks_ops {
	/** Sends a question; false if that is not possible. */
	bool (*send)(void *data, const struct wv_quota_ask *ask);
	/**
	 * Ends the wait of a request. May call wv_quota_asks_add() and
	 * wv_quota_asks_cancel().
	 *
	 * @param retry_after  time until one is permitted if this one is not
	 */
	void (*decide)(
	    void *data, void *request, bool permitted, wv_msec retry_after);
};

/** What is counted since the creation. */
struct wv_quota_asks_state {
	uint64_t asked; /**< questions that were sent */
	uint64_t unanswered; /**< without an answer in time */
	unsigned waiting; /**< requests that wait now */
};

/**
 * Creates an object without requests.
 *
 * @param pool  names the homes; borrowed
 * @param ops   borrowed
 * @param data  passed to the operations
 * @param seed  of the identifiers: differs between processes
 */
struct wv_quota_asks *wv_quota_asks_create(const struct wv_quota_pool *pool,
    const struct wv_quota_asks_ops *ops, void *data, uint64_t seed);

/** Frees the object. No request waits any more. */
void wv_quota_asks_destroy(struct wv_quota_asks *asks);

/**
 * Lets a request wait.
 *
 * @param team         hash of its name
 * @param request      identifies the request; not dereferenced
 * @param retry_after  if no home can be asked: receives the time until another
 *                     attempt makes sense; else unchanged
 * @return false if no home can be asked; the request does not wait then
 */
bool wv_quota_asks_add(struct wv_quota_asks *asks, wv_msec now, uint64_t team,
    void *request, wv_msec *retry_after);

/** Ends the wait of a request without a decision. */
void wv_quota_asks_cancel(
    struct wv_quota_asks *asks, uint64_t team, void *request);

/**
 * Applies an answer; one that was not asked for, or is late, is ignored.
 *
 * @param permitted    requests that may be sent
 * @param retry_after  time until a further one is permitted, ms
 */
void wv_quota_asks_apply(struct wv_quota_asks *asks, wv_msec now, uint64_t id,
    unsigned permitted, wv_msec retry_after);

/** Ends questions without an answer. */
void wv_quota_asks_tick(struct wv_quota_asks *asks, wv_msec now);

/** Returns when wv_quota_asks_tick() is due; WV_MSEC_NEVER: not. */
wv_msec wv_quota_asks_next_tick(const struct wv_quota_asks *asks);

/** Returns the counts. */
struct wv_quota_asks_state wv_quota_asks_read(const struct wv_quota_asks *asks);

#endif
