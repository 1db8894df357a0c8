/**
 * @file
 * Health of one searcher, estimated from the attempts that were sent to it.
 *
 * Requests of different routes take different times. So latencies are given as
 * slowdown, a multiple of the typical latency of the route: 1 is typical, 8 is
 * a straggler.
 */
#ifndef WISTERIAVANE_HEALTH_H
#define WISTERIAVANE_HEALTH_H

#include "wisteriavane/types.h"

/** How an attempt at a searcher ended. */
enum wv_attempt_end {
	WV_END_ANSWERED, /**< a complete answer */
	WV_END_REJECTED, /**< the searcher reported that it did not run it */
	WV_END_WRONG_SEARCHER, /**< not run: address of another searcher */
	WV_END_FAILED, /**< run, and answered with a failure */
	WV_END_NOT_SENT, /**< no connection; no byte was sent */
	WV_END_BROKEN, /**< sent without a usable answer; may have run */
	WV_END_RESET /**< sent, then the searcher ended the connection; may have
			run */
};

/** Health of one searcher. Initialize it with wv_health_reset(). */
struct wv_health {
	double slowdown; /**< moving average of the slowdown */
	wv_msec slowdown_at; /**< when slowdown was last updated */
	unsigned slow_spells; /**< in a row, without a fast answer between */
	wv_msec slow_at; /**< when the last one was noticed */
	double failure_rate; /**< moving average: rejected or failed attempts */
	wv_msec failure_rate_at; /**< when it was last updated */
	unsigned failures; /**< consecutive ends as BROKEN or NOT_SENT, with no
			      answer between */
	unsigned rejections; /**< consecutive, or reported failures */
	wv_msec backoff_until; /**< end of backoff after rejections */
	bool lost; /**< unreachable: gets single requests at intervals, as
		      probes */
	wv_msec probe_at; /**< when the next probe is due, if lost */
	wv_msec probe_delay; /**< delay between probes, ms */
	wv_msec cold_until; /**< end of the slow phase after its start */
};

/**
 * Initializes the health of a new searcher.
 *
 * @param cold_for  remaining time of its slow phase after its start, ms
 */
void wv_health_reset(struct wv_health *health, wv_msec now, wv_msec cold_for);

/** Records that an attempt was sent; delays the next probe if lost. */
void wv_health_record_sent(struct wv_health *health, wv_msec now);

/**
 * Records how an attempt ended.
 *
 * @param sent_at   when it was sent
 * @param slowdown  its latency as a multiple of the typical one; used for
 *                  WV_END_ANSWERED only
 */
void wv_health_record_end(struct wv_health *health, wv_msec now,
    wv_msec sent_at, enum wv_attempt_end end, double slowdown);

/**
 * Records the slowdown that an attempt has reached without an answer so far.
 */
void wv_health_record_overdue(
    struct wv_health *health, wv_msec now, wv_msec sent_at, double slowdown);

/**
 * Returns whether an attempt may be sent, as a probe if the searcher is lost.
 */
bool wv_health_is_usable(const struct wv_health *health, wv_msec now);

/**
 * Returns whether the searcher is in backoff because it has just rejected or
 * failed attempts, and would probably do so with further ones. Others go first
 * then, even if they have no free connection now.
 */
bool wv_health_in_backoff(const struct wv_health *health, wv_msec now);

/** Returns whether the searcher is in a slow spell, beyond random variation. */
bool wv_health_is_slow(const struct wv_health *health, wv_msec now);

/** Returns the expected slowdown of a request that is sent now. */
double wv_health_slowdown(const struct wv_health *health, wv_msec now);

/**
 * Returns the expected cost of one more attempt; lower is better. An idle
 * searcher of typical latency costs 1.
 *
 * @param load   attempts in progress at the searcher, per slot
 * @param speed  time that work takes there by its own report, as a multiple of
 *               the usual one; 1 if it is not known. It can't make a searcher
 *               cheaper whose answers were slow.
 */
double wv_health_cost(
    const struct wv_health *health, wv_msec now, double load, double speed);

#endif
