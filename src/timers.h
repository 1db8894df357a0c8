/**
 * @file
 * A heap of timers that are embedded in larger structs.
 */
#ifndef WISTERIAVANE_SRC_TIMERS_H
#define WISTERIAVANE_SRC_TIMERS_H

#include "wisteriavane/types.h"

/** What a timer of an executor is embedded in. */
enum timer_kind {
	TIMER_QUERY, /**< deadline of a query */
	TIMER_ATTEMPT, /**< hedge, or end of the slot's use */
	TIMER_SERVICE, /**< next probe of a lost searcher */
	TIMER_QUARANTINE /**< end of the quarantine */
};

/** One timer. Zero-initialize it and set the kind. */
struct timer {
	wv_msec at;
	size_t position; /**< place in the heap plus 1; 0 if not set */
	int kind; /**< what it is embedded in, for the owner */
};

/** Timers ordered by time. Zero-initialize it. */
struct timers {
	struct timer **heap; /**< owned array of borrowed timers */
	size_t n;
	size_t room;
};

/** Releases the heap; timers are the caller's. */
void wv_timers_clear(struct timers *timers);

/** Sets a timer, or moves it if it is set already. */
void wv_timers_set(struct timers *timers, struct timer *timer, wv_msec at);

/** Removes a timer; does nothing if it is not set. */
void wv_timers_remove(struct timers *timers, struct timer *timer);

/** Removes and returns a timer that is due, or returns NULL. */
struct timer *wv_timers_pop(struct timers *timers, wv_msec now);

/** Returns the earliest time, or WV_MSEC_NEVER. */
wv_msec wv_timers_next(const struct timers *timers);

#endif
