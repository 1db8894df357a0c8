/**
 * @file
 * Writer of the daemon's log lines, which go to standard error through GLib.
 */
#ifndef WISTERIAVANE_DAEMON_LOG_H
#define WISTERIAVANE_DAEMON_LOG_H

/**
 * Makes GLib drop log lines while standard error can't take them, as when it is
 * a pipe that nobody reads: a thread that waits for the reader would serve
 * nobody and could not be stopped. The next line is preceded by the number of
 * dropped ones. Call it once, before any line is logged.
 */
void log_init(void);

#endif
