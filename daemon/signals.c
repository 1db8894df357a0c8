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

bool
signals_wait_for_stop(wv_msec timeout)
{
	long ms = (long)timeout;
	const struct timespec limit = {
	    ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS};
	sigset_t signals;
	int number;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGTERM);
	number = sigtimedwait(&signals, NULL, &limit);
	if (number == SIGHUP)
		g_message("SIGHUP ignored: the settings are read at the start "
			  "only; restart the process to change them");
	return number == SIGINT || number == SIGTERM;
}
