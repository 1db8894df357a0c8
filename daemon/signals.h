/**
 * @file
 * Signals that ask the daemon for something. The launcher has blocked them, so
 * they stay pending until a function of this file takes them.
 */
#ifndef WISTERIAVANE_DAEMON_SIGNALS_H
#define WISTERIAVANE_DAEMON_SIGNALS_H

#include <stdbool.h>

#include "wisteriavane/types.h"

/**
 * Waits for a signal and takes it. SIGTERM and SIGINT ask for a stop; a SIGHUP
 * is logged and otherwise ignored, since settings are read at the start only,
 * and the signal that is pending after it is taken too. Main thread only.
 *
 * @param timeout  longest wait, ms; 0 takes only a signal that is pending
 * @return whether the signal asks for a stop
 */
bool signals_wait_for_stop(wv_msec timeout);

#endif
