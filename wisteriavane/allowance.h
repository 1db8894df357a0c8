/**
 * @file
 * This VM's part of the fleet's allowance of extra attempts at a service.
 *
 * In any window, extra attempts of all VMs together may number at most a
 * ratio of the first attempts plus a fixed slack. Each VM spends the ratio of
 * its own first attempts and an equal part of the slack, so the sum holds
 * without any message between VMs. A process that has just started does not
 * know what it spent before, so it has no slack until a window has passed.
 */
#ifndef WISTERIAVANE_ALLOWANCE_H
#define WISTERIAVANE_ALLOWANCE_H

#include "wisteriavane/types.h"

/** Steps that a window is divided into. */
#define WV_ALLOWANCE_STEPS 20

/** The fleet's allowance for each service. */
struct wv_allowance_terms {
	double ratio; /**< extra attempts per first attempt */
	double slack; /**< extra attempts per window, this VM's part */
	wv_msec window; /**< length of the window, ms */
	wv_msec slack_from; /**< when the slack may first be spent */
};

/** Counts of one service. Zero-initialize it. */
struct wv_allowance {
	uint32_t first[WV_ALLOWANCE_STEPS + 1]; /**< first attempts by step */
	uint32_t extra[WV_ALLOWANCE_STEPS + 1]; /**< extra attempts by step */
	uint32_t first_total; /**< of the window */
	uint32_t extra_total;
	int64_t step; /**< number of the newest step */
};

/** Counts a first attempt. */
void wv_allowance_first(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now);

/** Returns how many extra attempts may be sent now. May be negative. */
double wv_allowance_left(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now);

/** Counts an extra attempt if there is one left; returns whether there was. */
bool wv_allowance_spend(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now);

#endif
