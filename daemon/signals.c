/**
 * @file
 * Signals that ask the daemon for something.
 */
#include <signal.h>
#include <time.h>

#include <glib.h>

#include "daemon/signals.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000L

/* Waits for a signal and takes it; returns its number, or -1 after a time. */
static int
take_signal(wv_msec timeout)
{
	long ms = (long)timeout;
	const struct timespec limit = {
	    ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS};
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGTERM);
	return sigtimedwait(&signals, NULL, &limit);
}

bool
signals_wait_for_stop(wv_msec timeout)
{
	int number = take_signal(timeout);

	/* A SIGHUP is delivered before a stop that is pending, too. */
	while (number == SIGHUP) {
		g_message("SIGHUP ignored: the settings are read at the start "
			  "only; restart the process to change them");
		number = take_signal(0);
	}
	return number == SIGINT || number == SIGTERM;
}
