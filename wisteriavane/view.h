/**
 * @file
 * What requests show about one searcher, relative to its peers.
 *
 * Requests of different routes need different times, so a latency is stated
 * as a multiple of the usual one of its route: 1 is usual, 8 is a straggler.
 */
#ifndef WISTERIAVANE_VIEW_H
#define WISTERIAVANE_VIEW_H

#include "wisteriavane/types.h"

/** How an attempt at a searcher ended. */
enum wv_attempt_end {
	WV_END_ANSWERED, /**< a complete answer */
	WV_END_REJECTED, /**< the searcher says that it did not run it */
	WV_END_WRONG_SEARCHER, /**< not run: another one has the address */
	WV_END_FAILED, /**< an answer that reports a failure; it has run */
	WV_END_NOT_SENT, /**< no connection; no byte left this VM */
	WV_END_BROKEN /**< sent, and no usable answer; may have run */
};

/** View of one searcher. Zero-initialize it, then call wv_view_reset(). */
struct wv_view {
	double pace; /**< recent latency, multiple of the usual one */
	wv_msec pace_at; /**< when it was last updated */
	double trouble; /**< recent part of attempts rejected or failed */
	wv_msec trouble_at;
	unsigned failures; /**< in a row, without a sign of life between */
	unsigned rejections; /**< or reported failures, in a row */
	wv_msec held_until; /**< others go first until then */
	bool lost; /**< gets single probes only */
	wv_msec probe_at; /**< next probe while it is lost */
	wv_msec probe_delay;
	wv_msec cold_until; /**< slow after its start until then */
};

/** Prepares the view of a searcher of which nothing is known. */
void wv_view_reset(struct wv_view *view, wv_msec now, wv_msec cold_for);

/** Notes that a request was sent; delays the next probe of a lost searcher. */
void wv_view_sent(struct wv_view *view, wv_msec now);

/**
 * Notes how an attempt ended.
 *
 * @param pace  its latency as a multiple of the usual one; only for answers
 */
void wv_view_ended(
    struct wv_view *view, wv_msec now, enum wv_attempt_end end, double pace);

/** Notes a latency that an attempt has reached without an answer. */
void wv_view_overdue(struct wv_view *view, wv_msec now, double pace);

/** Returns whether a request may be sent, as a probe if it is lost. */
bool wv_view_usable(const struct wv_view *view, wv_msec now);

/**
 * Returns whether others go first, even if they have no room now: it has just
 * rejected or failed requests, and would do so with all that it is given.
 */
bool wv_view_held(const struct wv_view *view, wv_msec now);

/**
 * Returns the expected cost of one more request; lower is better. 1 is an
 * idle searcher at its usual pace.
 *
 * @param load  requests outstanding at it from this VM, per slot
 */
double wv_view_cost(const struct wv_view *view, wv_msec now, double load);

#endif
