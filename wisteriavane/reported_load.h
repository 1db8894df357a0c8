/**
 * @file
 * Load that a searcher has reported in an answer. It is a hint that decays with
 * its age; the requests that this VM has in progress there count in any case.
 */
#ifndef WISTERIAVANE_REPORTED_LOAD_H
#define WISTERIAVANE_REPORTED_LOAD_H

#include "wisteriavane/types.h"

/** What a searcher says of itself. */
struct wv_load_report {
	uint32_t running; /**< requests that it runs */
	uint32_t waiting; /**< requests that wait there */
	uint32_t slots; /**< concurrent requests, at least 1 */
	uint32_t speed; /**< time that work takes there now, percent of the
			     usual one, at least 1 */
};

/** The last report of a searcher. Zero-initialize it: there is none. */
struct wv_reported_load {
	double others; /**< requests of other VMs, per slot */
	double speed; /**< time that work takes, as a multiple of the usual one
		       */
	wv_msec at; /**< when it was received */
	bool busy; /**< the last reports claimed that it is busy */
	wv_msec busy_since; /**< when the first of them was received */
	wv_msec doubted_until; /**< reports don't count before */
	bool known;
};

/** The answer that a report came with. */
struct wv_load_answer {
	wv_msec sent_at; /**< when its request was sent */
	double slowdown; /**< its latency as a multiple of the typical one; 0:
			    it tells nothing */
	unsigned own; /**< requests of this VM among those that the searcher
			 reports */
};

/**
 * Applies a report. If the searcher still claims to be busy in an answer to a
 * request that was sent after its first such claim, and has answered it as
 * usual, its reports don't count for a second.
 *
 * @return false if the report is doubted for this reason
 */
bool wv_reported_load_set(struct wv_reported_load *load, wv_msec now,
    const struct wv_load_report *report, const struct wv_load_answer *answer);

/**
 * Returns the requests of other VMs that the searcher probably has, per slot; 0
 * without a report.
 */
double wv_reported_load_others(
    const struct wv_reported_load *load, wv_msec now);

/**
 * Returns the time that work probably takes there, as a multiple of the usual
 * one; 1 without a report.
 */
double wv_reported_load_speed(const struct wv_reported_load *load, wv_msec now);

#endif
