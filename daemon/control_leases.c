/**
 * @file
 * Leases of lanes: claims, renewals, losses and hand-overs.
 */
#include <string.h>

#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"

/** Time that another VM must be preferred before a lane moves to it, ms. */
#define REBALANCE_DELAY 5000.0
/** Maximum age of a hand-over when the lease that follows it is taken, ms. */
#define MAX_HANDOVER_AGE 3000.0
/** Time without a heartbeat after which a lane's holder is forgotten, ms. */
#define HOLDER_TIMEOUT 1500.0

struct control_lane *
control_find_lane(struct control *control, struct wv_string name)
{
	return g_hash_table_lookup(control->lanes_by_name, name.data);
}

void
control_lane_destroy(void *data)
{
	struct control_lane *lane = data;

	wv_lease_destroy(lane->lease);
	wv_string_clear(&lane->name);
	wv_string_clear(&lane->back_end);
	wv_string_clear(&lane->holder.name);
	wv_string_clear(&lane->preferred_vm);
	wv_string_clear(&lane->preferred_peer);
	g_free(lane);
}

static struct control_lane *
lane_create(struct control *control, struct wv_string back_end,
    struct wv_string name, uint32_t number)
{
	struct control_lane *lane = g_new0(struct control_lane, 1);

	lane->name = wv_string_copy(name);
	lane->back_end = wv_string_copy(back_end);
	lane->number = number;
	lane->worker = daemon_lane_worker(control->daemon, back_end, number);
	lane->lease = wv_lease_create(name);
	lane->handover_received_at = -WV_MSEC_NEVER;
	lane->not_preferred_since = WV_MSEC_NEVER;
	g_ptr_array_add(control->lanes, lane);
	g_hash_table_insert(control->lanes_by_name, lane->name.data, lane);
	return lane;
}

void
control_add_lanes(struct control *control, const struct wv_topology *topology)
{
	struct control_lane *lane;
	struct wv_string name;

	for (uint32_t i = 0; i < topology->lanes; i++) {
		name = daemon_lane_name(topology->back_end, i);
		lane = control_find_lane(control, name);
		if (lane == NULL)
			lane =
			    lane_create(control, topology->back_end, name, i);
		worker_set_topology(control->daemon->workers[lane->worker],
		    name, i, wv_topology_copy(topology));
		wv_string_clear(&name);
	}
	control->routing_stale = true;
}

/* Returns a digest of the live VMs, on which the preferred holders depend. */
static uint64_t
live_digest(const struct control *control)
{
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);
	uint64_t digest = 1;

	for (size_t i = 0; i < n; i++) {
		if (all[i].state == WV_MEMBER_LIVE)
			digest ^= wv_string_hash(all[i].id.name);
	}
	return digest;
}

/*
 * Returns the live VMs as candidates, whose strings are borrowed. The index
 * array receives the position of each among all members. The caller owns both
 * arrays.
 */
static struct wv_candidate *
list_candidates(const struct control *control, size_t **index, size_t *n_live)
{
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);
	struct wv_candidate *candidates = g_new0(struct wv_candidate, n);

	*index = g_new0(size_t, n);
	*n_live = 0;
	for (size_t i = 0; i < n; i++) {
		if (all[i].state != WV_MEMBER_LIVE)
			continue;
		candidates[*n_live].name = all[i].id.name;
		candidates[*n_live].zone = all[i].zone;
		(*index)[(*n_live)++] = i;
	}
	return candidates;
}

/* Sets the VM that should hold a lane; NULL for none. */
static void
set_preferred_holder(struct control_lane *lane, const struct wv_member *member)
{
	wv_string_clear(&lane->preferred_vm);
	wv_string_clear(&lane->preferred_peer);
	if (member == NULL)
		return;
	lane->preferred_vm = wv_string_copy(member->id.name);
	lane->preferred_peer = wv_string_copy(member->peer_address);
}

/*
 * Chooses the VM that should hold each lane. Skipped unless the live VMs or the
 * lanes have changed, because it hashes each lane with each VM.
 */
static void
choose_preferred_holders(struct control *control)
{
	uint64_t digest = live_digest(control);
	struct wv_string no_zone = {"", 0};
	struct wv_candidate *candidates;
	struct control_lane *lane;
	const struct wv_member *all;
	size_t *index;
	size_t n, n_all, first;

	if (digest == control->live_vms_digest &&
	    control->n_assigned_lanes == control->lanes->len)
		return;
	control->live_vms_digest = digest;
	control->n_assigned_lanes = control->lanes->len;
	all = wv_members_all(control->members, &n_all);
	candidates = list_candidates(control, &index, &n);
	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		first = wv_rendezvous_first(lane->name, no_zone, candidates, n);
		set_preferred_holder(
		    lane, first < n ? &all[index[first]] : NULL);
	}
	g_free(candidates);
	g_free(index);
}

static bool
is_preferred_holder(
    const struct control *control, const struct control_lane *lane)
{
	return wv_string_equal(lane->preferred_vm, control->daemon->self.name);
}

bool
control_is_self(const struct control *control, const struct wv_member *member)
{
	return member != NULL &&
	    wv_string_equal(member->id.name, control->daemon->self.name);
}

/*
 * Returns until when all slots of a new lane count as taken, or 0. A previous
 * holder that sent no hand-over may still have attempts at searchers. Those of
 * searches end within the back end's attempt limit. A job may run longer; a
 * searcher without a free slot then rejects the new holder's attempt.
 */
static wv_msec
quarantine_end(struct control *control, struct control_lane *lane, wv_msec now)
{
	const struct back_end *back_end =
	    g_hash_table_lookup(control->back_ends, lane->back_end.data);

	if (now - lane->handover_received_at < MAX_HANDOVER_AGE ||
	    back_end == NULL)
		return 0;
	return now + back_end->topology->attempt_limit + WV_LEASE_MARGIN;
}

static void
on_lease_taken(struct control *control, struct control_lane *lane, wv_msec now)
{
	lane->held = true;
	lane->lease_expiry = 0;
	lane->not_preferred_since = WV_MSEC_NEVER;
	control->routing_stale = true;
	wv_counter_add(&control->daemon->stats.leases_taken, 1);
	g_message("lane %s: lease taken", lane->name.data);
	worker_set_lease(control->daemon->workers[lane->worker], lane->name, 0,
	    quarantine_end(control, lane, now));
}

static void
on_lease_lost(struct control *control, struct control_lane *lane)
{
	lane->held = false;
	control->routing_stale = true;
	wv_counter_add(&control->daemon->stats.leases_lost, 1);
	g_message("lane %s: lease lost", lane->name.data);
	worker_set_lease(
	    control->daemon->workers[lane->worker], lane->name, 0, 0);
}

static void
start_hand_over(struct control *control, struct control_lane *lane)
{
	lane->handing_over = true;
	worker_hand_over(control->daemon->workers[lane->worker], lane->name,
	    lane->preferred_peer);
}

/*
 * Starts to hand over a held lane if another VM has been preferred for longer
 * than REBALANCE_DELAY, or at once during a planned stop.
 */
static void
tick_hand_over(struct control *control, struct control_lane *lane, wv_msec now)
{
	bool draining = !wv_drain_may_hold_leases(control->drain);

	if (lane->handing_over || is_preferred_holder(control, lane)) {
		lane->not_preferred_since = WV_MSEC_NEVER;
		return;
	}
	if (lane->not_preferred_since == WV_MSEC_NEVER)
		lane->not_preferred_since = now;
	if (draining ||
	    (lane->preferred_vm.length > 0 &&
		now - lane->not_preferred_since > REBALANCE_DELAY))
		start_hand_over(control, lane);
}

/* Updates one lane: its lease, hand-over, claim and known holder. */
static void
tick_lane(struct control *control, struct control_lane *lane, wv_msec now)
{
	wv_msec expiry = wv_roster_lease_expiry(control->roster, lane->lease);
	bool draining = !wv_drain_may_hold_leases(control->drain);

	if (expiry > now && !lane->held && !lane->handing_over)
		on_lease_taken(control, lane, now);
	else if (expiry <= now && lane->held)
		on_lease_lost(control, lane);
	if (lane->held && !lane->handing_over) {
		tick_hand_over(control, lane, now);
		if (expiry != lane->lease_expiry && !lane->handing_over)
			worker_set_lease(control->daemon->workers[lane->worker],
			    lane->name, expiry, 0);
		lane->lease_expiry = expiry;
	}
	lane->claimed = !lane->handing_over &&
	    wv_members_has_vm_list(control->members) &&
	    (lane->held || (is_preferred_holder(control, lane) && !draining));
	if (lane->holder.name.length > 0 &&
	    now - lane->holder_last_seen > HOLDER_TIMEOUT) {
		wv_string_clear(&lane->holder.name);
		control->routing_stale = true;
	}
}

/* Updates the roster with the VMs that count towards majorities now. */
static void
update_roster(struct control *control, wv_msec now)
{
	struct wv_candidate *vms;
	size_t n;

	wv_members_all(control->members, &n);
	vms = g_new0(struct wv_candidate, n);
	n = wv_members_list_roster(control->members, vms, n);
	wv_roster_update(control->roster, now, vms, n);
	g_free(vms);
}

void
control_tick_leases(struct control *control, wv_msec now)
{
	update_roster(control, now);
	choose_preferred_holders(control);
	for (guint i = 0; i < control->lanes->len; i++)
		tick_lane(control, control->lanes->pdata[i], now);
}

size_t
control_count_held_leases(const struct control *control)
{
	const struct control_lane *lane;
	size_t n = 0;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		n += lane->held || lane->handing_over;
	}
	return n;
}
