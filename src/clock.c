/**
 * @file
 * Clock dispatch and the virtual clock.
 */
#include "src/private.h"

static wv_msec
virtual_now(struct wv_clock *clock)
{
	return ((struct wv_virtual_clock *)clock)->now;
}

static wv_msec
virtual_unix_time(struct wv_clock *clock)
{
	struct wv_virtual_clock *self = (struct wv_virtual_clock *)clock;

	return self->unix_base + self->now;
}

static const struct wv_clock_ops virtual_ops = {virtual_now, virtual_unix_time};

void
wv_virtual_clock_init(struct wv_virtual_clock *clock, wv_msec unix_base)
{
	clock->clock.ops = &virtual_ops;
	clock->now = 0;
	clock->unix_base = unix_base;
}

wv_msec
wv_clock_now(struct wv_clock *clock)
{
	return clock->ops->now(clock);
}

wv_msec
wv_clock_unix_time(struct wv_clock *clock)
{
	return clock->ops->unix_time(clock);
}
