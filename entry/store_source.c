/**
 * @file
 * Decides whom a follower calls next: the store or another VM, and when.
 */
#include "entry/store_sync_private.h"

/** Times after the start for which a VM waits, ms. */
struct start_waits {
	wv_msec vms; /* for the list of VMs */
	wv_msec hub; /* as a leaf, for the lists of a hub */
	wv_msec evacuations; /* as a leaf, for a hub's list of evacuations */
};

/*
 * Of a VM that returns. The list of VMs is there after two calls of the store,
 * which take 0.5 s while that is slow, and a hub has its lists after one more
 * and needs up to 2 s to send them to its leaves in a fleet of thousands. A
 * longer wait would save a leaf a few calls and delay its first request. Hubs
 * of earlier versions don't have evacuations, which must be known within 4 s.
 */
static const struct start_waits returning_waits = {1000, 3000, 2000};
/*
 * Of a VM that is new: lists that may be old lack it for seconds, and those of
 * all VMs of a fleet that starts for the first time. Without the wait each of
 * them would read all lists from the store.
 */
static const struct start_waits new_waits = {4000, 6000, 6000};
/** Time in which a hub of the own zone gets changes that a peer has, ms. */
#define NEAR_SOURCE_WAIT 700.0

/* Returns the waits of this VM. It is new if a list of VMs has lacked it. */
static const struct start_waits *
find_waits(const struct store_sync *sync)
{
	return sync->followers[STORE_VMS].stale_lists > 0 ? &new_waits
							  : &returning_waits;
}

/* Whether a list is to be read from a hub, as by a leaf that has started. */
static bool
awaits_hub(const struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	const struct start_waits *waits = find_waits(follower->sync);
	wv_msec limit = follower->kind == STORE_EVACUATIONS ? waits->evacuations
							    : waits->hub;

	return store_is_followed(follower) && follower->phase == PHASE_LIST &&
	    !follower->listed && !wv_peers_is_hub(deps->peers) &&
	    store_now(follower->sync) - deps->started_at < limit;
}

/* Whether this VM does not know yet whether it is a hub. */
static bool
awaits_vms(const struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;

	return store_is_followed(follower) && !follower->sync->vms_listed &&
	    !follower->sync->lost &&
	    store_now(follower->sync) - deps->started_at <
	    find_waits(follower->sync)->vms;
}

bool
store_may_watch(const struct follower *follower)
{
	return follower->sync->watching || follower->catches_up;
}

const char *
store_find_peer(const struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	bool list = follower->phase == PHASE_LIST;

	if (!store_is_followed(follower) || store_is_write(follower) ||
	    (list && !awaits_hub(follower) &&
		follower->failures < MAX_LIST_FAILURES) ||
	    (!list && store_may_watch(follower) &&
		!store_sync_has_failed(follower->sync)))
		return "";
	return wv_peers_find_ahead(deps->peers, store_now(follower->sync),
	    store_peer_data(follower),
	    wv_change_log_position(follower->changes))
	    .data;
}

bool
store_must_wait(const struct follower *follower, const char *peer)
{
	return awaits_vms(follower) ||
	    (awaits_hub(follower) && peer[0] == '\0');
}

/*
 * Returns whether a follower may call another VM now. If the store has failed,
 * this may interrupt a call of the store or a backoff.
 */
static bool
may_call_peer(const struct follower *follower)
{
	if (follower->phase != PHASE_FOLLOW)
		return false;
	if (store_sync_has_failed(follower->sync))
		return !follower->calling || !follower->from_peer;
	return !follower->sync->watching && !follower->calling &&
	    (follower->awaits_near ||
		!event_pending(follower->timer, EV_TIMEOUT, NULL));
}

/* Whether changes are not read from a peer yet, but later from a nearer one. */
static bool
awaits_near_source(
    const struct store_sync *sync, const struct wv_peer_report *report)
{
	const struct store_sync_deps *deps = &sync->deps;

	return !store_sync_has_failed(sync) &&
	    !wv_string_equal(
		report->zone, wv_string_borrow(deps->settings->zone)) &&
	    wv_peers_has_near_source(deps->peers, store_now(sync));
}

static void
await_near_source(struct follower *follower)
{
	if (follower->awaits_near)
		return;
	follower->awaits_near = true;
	store_set_timer(follower, NEAR_SOURCE_WAIT);
}

void
store_sync_compare_positions(
    struct store_sync *sync, const struct wv_peer_report *report)
{
	bool wait = awaits_near_source(sync, report);

	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		if (follower->confirms && report->serving &&
		    may_call_peer(follower)) {
			store_begin_confirm(follower, report);
			continue;
		}
		if (!store_is_followed(follower) || !may_call_peer(follower) ||
		    report->positions[store_peer_data(follower)] <=
			wv_change_log_position(follower->changes))
			continue;
		if (wait) {
			await_near_source(follower);
			continue;
		}
		if (follower->calling)
			store_close_client(follower);
		store_make_next_call(follower);
	}
}
