/**
 * @file
 * A clock that reads the operating system's time.
 */
#ifndef WISTERIAVANE_DAEMON_SYSTEM_CLOCK_H
#define WISTERIAVANE_DAEMON_SYSTEM_CLOCK_H

#include "wisteriavane/clock.h"

/**
 * Initializes a clock that reads the operating system's clocks. The clock may
 * then be used by any thread.
 */
void system_clock_init(struct wv_clock *clock);

#endif
