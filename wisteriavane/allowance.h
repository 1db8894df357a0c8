/**
 * @file
 * Allowance of extra attempts (hedges and retries) at a service, in a sliding
 * window.
 *
 * In any window the extra attempts of all VMs may be at most a ratio of their
 * first attempts plus a fixed slack. Each VM spends the ratio of its own first
 * attempts and an equal fraction of the slack, so the limit holds without
 * messages between VMs. A process that has just started does not know what the
 * previous one spent, so it has no slack until a window has passed.
 */
#ifndef WISTERIAVANE_ALLOWANCE_H
#define WISTERIAVANE_ALLOWANCE_H

#include "wisteriavane/types.h"

/** Number of steps that a window is divided into. */
#define WV_ALLOWANCE_STEPS 20

/** Limits of extra attempts; the same for each service. */
struct wv_allowance_limits {
	double ratio; /**< extra attempts per first attempt */
	double slack; /**< extra attempts per window, this VM's fraction */
	wv_msec window; /**< length of the window, ms */
	wv_msec slack_from; /**< when the slack may first be spent */
};

/** Attempts of one service in the last window. Zero-initialize it. */
struct wv_allowance {
	uint32_t first[WV_ALLOWANCE_STEPS + 1]; /**< first attempts by step */
	uint32_t extra[WV_ALLOWANCE_STEPS + 1]; /**< extra attempts by step */
	uint32_t first_total; /**< sum of first */
	uint32_t extra_total; /**< sum of extra */
	int64_t step; /**< number of the newest step */
};

/** Counts a first attempt. */
void wv_allowance_count_first(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now);

/** Returns how many extra attempts may be sent now. May be negative. */
double wv_allowance_left(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now);

/** Counts an extra attempt if one may be sent; returns whether it may. */
bool wv_allowance_spend(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now);

#endif
