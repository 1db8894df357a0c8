/**
 * @file
 * Growing pauses between the attempts of a start that waits for something. No
 * clocks and no sleeping: the caller waits by its own means.
 */
#ifndef WISTERIAVANE_DAEMON_PAUSE_H
#define WISTERIAVANE_DAEMON_PAUSE_H

#include "wisteriavane/types.h"

/** First pause, ms. A port of a process that just ended is free by then. */
#define PAUSE_FIRST 20.0
/** Longest pause, ms: the most by which a start is late once it can go on. */
#define PAUSE_LONGEST 1000.0

/** Pauses of one wait; starts with all fields zero. */
struct pause {
	wv_msec last; /**< 0 before the first */
};

/** Returns the next pause, twice as long as the last up to the longest, ms. */
static inline wv_msec
pause_next(struct pause *pause)
{
	pause->last = pause->last == 0 ? PAUSE_FIRST : 2 * pause->last;
	if (pause->last > PAUSE_LONGEST)
		pause->last = PAUSE_LONGEST;
	return pause->last;
}

#endif
