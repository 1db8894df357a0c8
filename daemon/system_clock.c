/**
 * @file
 * A clock that reads the operating system's time.
 */
#include <time.h>

#include "daemon/system_clock.h"

/* Returns the time of a clock, ms. */
static wv_msec
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (wv_msec)ts.tv_sec * 1e3 + (wv_msec)ts.tv_nsec / 1e6;
}

/* Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes time in suspension. */
static wv_msec
system_now(struct wv_clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_BOOTTIME);
}

static wv_msec
system_unix(struct wv_clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_REALTIME);
}

static const struct wv_clock_ops system_ops = {system_now, system_unix};

void
system_clock_init(struct wv_clock *clock)
{
	clock->ops = &system_ops;
}
