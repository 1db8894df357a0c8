/**
 * @file
 * What the daemon needs from its surroundings before it can serve. What is
 * missing for a moment, such as a port that the previous process still holds,
 * is waited for: a process that ends instead ends again at each restart. The
 * log gets a line when a wait begins and when it ends. Main thread only.
 */
#ifndef WISTERIAVANE_DAEMON_START_H
#define WISTERIAVANE_DAEMON_START_H

#include "wisteriavane/settings.h"

/** Result of a step of the start. */
enum start_result {
	START_DONE,
	START_STOPPED, /**< a signal asked for a stop, also of a failed step */
	START_FAILED /**< waiting can't help; the log says why */
};

/** Listening sockets, which are not blocking. */
struct start_listeners {
	int callers;
	int operators;
	int peers;
};

/**
 * Reads the settings. Waits while the file can't be read or is not JSON, as
 * when it is still being written. Fails if a setting is wrong, and prints all
 * faults on standard error.
 *
 * @param settings  receives the settings if the result is START_DONE
 */
enum start_result start_read_settings(
    const char *file, struct wv_settings **settings);

/**
 * Opens the listening sockets. Waits while an address can't be used; callers
 * are refused until all can be.
 *
 * @param listeners  receives the sockets if the result is START_DONE
 */
enum start_result start_open_listeners(
    const struct wv_settings *settings, struct start_listeners *listeners);

#endif
