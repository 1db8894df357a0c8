/**
 * @file
 * State machine of a planned stop.
 */
#include "src/private.h"

struct wv_drain {
	wv_msec address_lifetime;
	wv_msec spread_time;
	wv_msec began; /* when draining started */
	enum wv_drain_stage stage;
};

struct wv_drain *
wv_drain_create(wv_msec address_lifetime, wv_msec spread_time)
{
	struct wv_drain *drain = g_new0(struct wv_drain, 1);

	drain->address_lifetime = address_lifetime;
	drain->spread_time = spread_time;
	return drain;
}

void
wv_drain_destroy(struct wv_drain *drain)
{
	g_free(drain);
}

void
wv_drain_begin(struct wv_drain *drain, wv_msec now)
{
	if (drain->stage != WV_DRAIN_SERVING)
		return;
	drain->stage = WV_DRAIN_WITHDRAWN;
	drain->began = now;
}

/*
 * Returns whether no caller can still hold this VM's address. Peers may give
 * out the address until they know of the withdrawal, so the lifetime counts
 * from the end of the spread time. At exactly the limit a caller may still
 * connect.
 */
static bool
addresses_expired(const struct wv_drain *drain, wv_msec now)
{
	return now >
	    drain->began + drain->spread_time + drain->address_lifetime;
}

/*
 * Returns whether new requests may be refused. A holder that refuses requests
 * would fail those that other VMs forward to it, so it first waits until its
 * leases are handed over. It waits for at most another address lifetime, since
 * the process has to stop even if there is no successor.
 */
static bool
may_refuse(const struct wv_drain *drain, wv_msec now, size_t leases)
{
	if (!addresses_expired(drain, now))
		return false;
	return leases == 0 ||
	    addresses_expired(drain, now - drain->address_lifetime);
}

enum wv_drain_stage
wv_drain_advance(
    struct wv_drain *drain, wv_msec now, size_t in_progress, size_t leases)
{
	if (drain->stage == WV_DRAIN_WITHDRAWN &&
	    may_refuse(drain, now, leases))
		drain->stage = WV_DRAIN_REFUSING;
	if (drain->stage == WV_DRAIN_REFUSING && in_progress == 0)
		drain->stage = WV_DRAIN_RELEASING;
	if (drain->stage == WV_DRAIN_RELEASING && in_progress == 0 &&
	    leases == 0)
		drain->stage = WV_DRAIN_STOPPED;
	return drain->stage;
}

enum wv_drain_stage
wv_drain_stage(const struct wv_drain *drain)
{
	return drain->stage;
}

bool
wv_drain_is_advertised(const struct wv_drain *drain)
{
	return drain->stage == WV_DRAIN_SERVING;
}

bool
wv_drain_is_accepting(const struct wv_drain *drain)
{
	return drain->stage <= WV_DRAIN_WITHDRAWN;
}

bool
wv_drain_may_hold_leases(const struct wv_drain *drain)
{
	return drain->stage == WV_DRAIN_SERVING;
}
