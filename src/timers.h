/**
 * @file
 * Timer queue for timers that are embedded in larger structs.
 */
#ifndef WISTERIAVANE_SRC_TIMERS_H
#define WISTERIAVANE_SRC_TIMERS_H

#include "wisteriavane/types.h"

/** Kind of object that a timer of an executor is embedded in. */
enum timer_kind {
	TIMER_QUERY, /**< deadline of a query */
	TIMER_ATTEMPT, /**< hedge delay, or end of the use of a slot */
	TIMER_SERVICE, /**< next dispatch of a service whose work waits */
	TIMER_QUARANTINE /**< end of the quarantine */
};

/** One timer. Zero-initialize it and set the kind. */
struct timer {
	wv_msec at; /**< when it is due, absolute, ms */
	size_t position; /**< index in the heap plus 1; 0 if not set */
	int kind; /**< enum timer_kind, or a value of the owner */
};

/** Queue of timers ordered by time. Zero-initialize it. */
struct timers {
	struct timer **heap; /**< owned array of borrowed timers */
	size_t n; /**< number of timers set */
	size_t capacity; /**< allocated entries of heap */
};

/** Frees the heap; the timers belong to the caller. */
void wv_timers_clear(struct timers *timers);

/** Sets a timer to an absolute time, or moves it if it is set. */
void wv_timers_set(struct timers *timers, struct timer *timer, wv_msec at);

/** Cancels a timer; does nothing if it is not set. */
void wv_timers_remove(struct timers *timers, struct timer *timer);

/** Removes and returns the earliest timer that is due, or returns NULL. */
struct timer *wv_timers_pop(struct timers *timers, wv_msec now);

/** Returns when the next timer is due, or WV_MSEC_NEVER. */
wv_msec wv_timers_next(const struct timers *timers);

#endif
