/**
 * @file
 * Clocks that report monotonic and Unix time in milliseconds.
 */
#ifndef WISTERIAVANE_CLOCK_H
#define WISTERIAVANE_CLOCK_H

#include "wisteriavane/types.h"

struct wv_clock;

/** Operations of a clock. */
struct wv_clock_ops {
	/** Returns monotonic milliseconds since an arbitrary epoch. */
	wv_msec (*now)(struct wv_clock *clock);
	/** Returns milliseconds since the Unix epoch. */
	wv_msec (*unix_time)(struct wv_clock *clock);
};

/** Base of all clocks. Implementations embed it as their first member. */
struct wv_clock {
	const struct wv_clock_ops *ops;
};

/** A simulated clock; its time changes only when `now` is assigned. */
struct wv_virtual_clock {
	struct wv_clock clock;
	wv_msec now; /**< monotonic time, ms */
	wv_msec unix_base; /**< Unix time at monotonic 0, ms */
};

/** Initializes a virtual clock at monotonic time 0. */
void wv_virtual_clock_init(struct wv_virtual_clock *clock, wv_msec unix_base);

/** Returns the monotonic time, in ms. */
wv_msec wv_clock_now(struct wv_clock *clock);

/** Returns milliseconds since the Unix epoch. */
wv_msec wv_clock_unix_time(struct wv_clock *clock);

#endif
