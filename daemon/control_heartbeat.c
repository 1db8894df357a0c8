/**
 * @file
 * Heartbeats between VMs, which carry membership, claims of lanes and their
 * releases, and the answers, which carry grants. Also receives hand-overs.
 */
#include <string.h>

#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"

/** Time between heartbeats while a claim lacks its majority, ms. */
#define CLAIM_HEARTBEAT_INTERVAL 50.0

/*
 * Returns a message entry, which borrows the member's strings. Only a full
 * entry has the zone and the addresses.
 */
static Wisteriavane__Member *
create_member_entry(const struct wv_member *member, bool full)
{
	Wisteriavane__Member *entry = g_new0(Wisteriavane__Member, 1);

	wisteriavane__member__init(entry);
	entry->vm = member->id.name.data;
	entry->incarnation = member->id.incarnation;
	entry->heartbeat = member->heartbeat;
	entry->draining = member->state == WV_MEMBER_DRAINING;
	entry->suspect = member->state == WV_MEMBER_SUSPECT;
	if (!full)
		return entry;
	entry->zone = member->zone.data;
	entry->peer = member->peer_address.data;
	entry->callers = member->caller_address.data;
	entry->operators = member->operator_address.data;
	return entry;
}

/*
 * Returns entries of this VM and of at most WV_MAX_HEARTBEAT_ENTRIES other
 * members, which bounds the size of a heartbeat.
 */
static GPtrArray *
create_member_entries(const struct control *control)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
	size_t chosen[WV_MAX_HEARTBEAT_ENTRIES], n, n_all;
	bool full[WV_MAX_HEARTBEAT_ENTRIES];
	const struct wv_member *all;

	g_ptr_array_add(entries,
	    create_member_entry(wv_members_self(control->members), true));
	n = wv_members_choose_entries(
	    control->members, chosen, full, WV_MAX_HEARTBEAT_ENTRIES);
	all = wv_members_all(control->members, &n_all);
	for (size_t i = 0; i < n; i++)
		g_ptr_array_add(
		    entries, create_member_entry(&all[chosen[i]], full[i]));
	return entries;
}

/*
 * Returns the names of the lanes that this VM holds and is not handing over,
 * or else of those that it claims. The names are borrowed.
 */
static GPtrArray *
list_lane_names(const struct control *control, bool held)
{
	GPtrArray *names = g_ptr_array_new();
	const struct control_lane *lane;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		if (held ? lane->held && !lane->handing_over : lane->claimed)
			g_ptr_array_add(names, lane->name.data);
	}
	return names;
}

/* Returns the names of the lanes whose release is announced; borrowed. */
static GPtrArray *
list_released_lanes(const struct control *control)
{
	GPtrArray *names = g_ptr_array_new();
	const struct lane_release *release;

	for (guint i = 0; i < control->releases->len; i++) {
		release = control->releases->pdata[i];
		g_ptr_array_add(names, release->lane.data);
	}
	return names;
}

/* Counts an announcement of each release and drops those announced enough. */
static void
count_release_repeats(struct control *control)
{
	struct lane_release *release;

	for (guint i = control->releases->len; i-- > 0;) {
		release = control->releases->pdata[i];
		if (--release->repeats == 0)
			g_ptr_array_remove_index_fast(control->releases, i);
	}
}

/*
 * Grants a claim if possible and returns whether it was granted. The digest is
 * that of the roster by which the claimant counts its majority.
 */
static bool
try_grant(struct control *control, wv_msec now, struct wv_string lane,
    struct wv_vm_id claimant, uint64_t roster_digest)
{
	if (!wv_roster_may_grant(
		control->roster, now, claimant.name, roster_digest))
		return false;
	return wv_granter_claim(control->granter, now, lane, claimant);
}

/* Answers this VM's own claims. */
static void
grant_to_self(struct control *control, wv_msec now)
{
	struct control_lane *lane;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		if (lane->claimed &&
		    try_grant(control, now, lane->name, control->daemon->self,
			wv_roster_digest(control->roster)))
			wv_lease_add_grant(
			    lane->lease, control->daemon->self, now);
	}
}

static const struct wv_member *
find_member(const struct control *control, struct wv_string name)
{
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);

	for (size_t i = 0; i < n; i++) {
		if (wv_string_equal(all[i].id.name, name))
			return &all[i];
	}
	return NULL;
}

/* Adds an address that is not in the list yet. */
static void
add_peer(GPtrArray *peers, struct wv_string peer)
{
	for (guint i = 0; i < peers->len; i++) {
		if (strcmp(peers->pdata[i], peer.data) == 0)
			return;
	}
	g_ptr_array_add(peers, peer.data);
}

/* Adds the addresses of the granters of all lanes that this VM claims. */
static void
add_granters(struct control *control, GPtrArray *peers)
{
	size_t size =
	    WV_MAX_GRANTERS * (1 + wv_roster_count_previous(control->roster));
	struct wv_string *names = g_new0(struct wv_string, size);
	const struct control_lane *lane;
	const struct wv_member *member;
	size_t n;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		if (!lane->claimed)
			continue;
		n = wv_roster_granters(
		    control->roster, lane->name, names, size);
		for (size_t j = 0; j < n; j++) {
			member = find_member(control, names[j]);
			if (member != NULL && !control_is_self(control, member))
				add_peer(peers, member->peer_address);
		}
	}
	g_free(names);
}

/*
 * Returns the addresses to send a heartbeat to: some members, and all granters
 * of claimed lanes. The addresses are borrowed.
 */
static GPtrArray *
list_heartbeat_peers(struct control *control)
{
	GPtrArray *peers = g_ptr_array_new();
	size_t targets[WV_MAX_HEARTBEAT_FANOUT], n, all_n;
	const struct wv_member *all;

	n = wv_members_choose_targets(
	    control->members, targets, WV_MAX_HEARTBEAT_FANOUT);
	all = wv_members_all(control->members, &all_n);
	for (size_t i = 0; i < n; i++)
		add_peer(peers, all[targets[i]].peer_address);
	add_granters(control, peers);
	return peers;
}

static void
send_to_peers(struct control *control, const Wisteriavane__Frame *frame)
{
	GPtrArray *peers = list_heartbeat_peers(control);

	for (guint i = 0; i < peers->len; i++)
		links_send(control->daemon->links,
		    wv_string_borrow(peers->pdata[i]), frame);
	wv_counter_add(&control->daemon->stats.heartbeats_sent, peers->len);
	g_ptr_array_unref(peers);
}

static void
send_heartbeat(struct control *control)
{
	Wisteriavane__Heartbeat body = WISTERIAVANE__HEARTBEAT__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	GPtrArray *members = create_member_entries(control);
	GPtrArray *claims = list_lane_names(control, false);
	GPtrArray *held = list_lane_names(control, true);
	GPtrArray *releases = list_released_lanes(control);

	body.sequence = control->sequence;
	body.roster_digest = wv_roster_digest(control->roster);
	body.n_members = members->len;
	body.members = (Wisteriavane__Member **)members->pdata;
	body.n_claims = claims->len;
	body.claims = (char **)claims->pdata;
	body.n_held = held->len;
	body.held = (char **)held->pdata;
	body.n_releases = releases->len;
	body.releases = (char **)releases->pdata;
	body.contracts_digest =
	    wv_contract_table_digest(control->daemon->contracts);
	body.contracts_revision = wv_sync_revision(control->sync);
	body.contracts_loaded = wv_sync_is_loaded(control->sync);
	body.back_ends_digest = control_back_ends_digest(control);
	frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &body;
	send_to_peers(control, &frame);
	g_ptr_array_unref(members);
	g_ptr_array_unref(claims);
	g_ptr_array_unref(held);
	g_ptr_array_unref(releases);
}

/* Returns whether a claimed lane still lacks its majority of grants. */
static bool
has_pending_claim(const struct control *control)
{
	const struct control_lane *lane;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		if (lane->claimed && !lane->held)
			return true;
	}
	return false;
}

void
control_tick_heartbeat(struct control *control, wv_msec now)
{
	if (control->next_heartbeat > now)
		return;
	control->next_heartbeat = now +
	    (has_pending_claim(control) ? CLAIM_HEARTBEAT_INTERVAL
					: WV_HEARTBEAT_INTERVAL);
	wv_members_increment_heartbeat(control->members, now);
	control->sequence++;
	control->sent_at[control->sequence % SENT_HEARTBEATS] = now;
	grant_to_self(control, now);
	send_heartbeat(control);
	count_release_repeats(control);
}

static enum wv_member_state
entry_state(const Wisteriavane__Member *entry)
{
	if (entry->suspect)
		return WV_MEMBER_SUSPECT;
	return entry->draining ? WV_MEMBER_DRAINING : WV_MEMBER_LIVE;
}

/* Applies the member entries of a heartbeat. */
static void
apply_members(
    struct control *control, const Wisteriavane__Frame *frame, wv_msec now)
{
	const Wisteriavane__Heartbeat *body = frame->heartbeat;
	struct wv_member member;

	for (size_t i = 0; i < body->n_members; i++) {
		const Wisteriavane__Member *entry = body->members[i];

		memset(&member, 0, sizeof(member));
		member.id.name = wv_string_borrow(entry->vm);
		member.id.incarnation = entry->incarnation;
		member.zone = wv_string_borrow(entry->zone);
		member.peer_address = wv_string_borrow(entry->peer);
		member.caller_address = wv_string_borrow(entry->callers);
		member.operator_address = wv_string_borrow(entry->operators);
		member.heartbeat = entry->heartbeat;
		member.state = entry_state(entry);
		if (wv_members_apply_entry(control->members, now, &member,
			strcmp(entry->vm, frame->vm) == 0))
			control->routing_stale = true;
	}
}

/* Records the sender of a heartbeat as the holder of the lanes it lists. */
static void
apply_holders(
    struct control *control, const Wisteriavane__Frame *frame, wv_msec now)
{
	const Wisteriavane__Heartbeat *body = frame->heartbeat;
	struct wv_string sender = wv_string_borrow(frame->vm);
	struct control_lane *lane;

	for (size_t i = 0; i < body->n_held; i++) {
		lane =
		    control_find_lane(control, wv_string_borrow(body->held[i]));
		if (lane == NULL)
			continue;
		lane->holder_last_seen = now;
		if (wv_string_equal(lane->holder.name, sender))
			continue;
		wv_string_clear(&lane->holder.name);
		lane->holder.name = wv_string_copy(sender);
		lane->holder.incarnation = frame->incarnation;
		control->routing_stale = true;
	}
}

/* Applies the releases of lanes that the sender of a heartbeat announces. */
static void
apply_releases(struct control *control, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Heartbeat *body = frame->heartbeat;
	struct wv_vm_id sender = {
	    wv_string_borrow(frame->vm), frame->incarnation};
	struct control_lane *lane;

	for (size_t i = 0; i < body->n_releases; i++) {
		struct wv_string name = wv_string_borrow(body->releases[i]);

		wv_granter_release(control->granter, name, sender);
		lane = control_find_lane(control, name);
		if (lane == NULL ||
		    !wv_string_equal(lane->holder.name, sender.name))
			continue;
		wv_string_clear(&lane->holder.name);
		control->routing_stale = true;
	}
}

/* Answers a heartbeat with the lanes that this VM grants to its sender. */
static void
answer_claims(struct control *control, uint64_t link,
    const Wisteriavane__Frame *frame, wv_msec now)
{
	const Wisteriavane__Heartbeat *body = frame->heartbeat;
	Wisteriavane__Frame answer = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Ack ack = WISTERIAVANE__ACK__INIT;
	GPtrArray *grants = g_ptr_array_new();
	struct wv_vm_id sender = {
	    wv_string_borrow(frame->vm), frame->incarnation};

	for (size_t i = 0; i < body->n_claims; i++) {
		if (try_grant(control, now, wv_string_borrow(body->claims[i]),
			sender, body->roster_digest))
			g_ptr_array_add(grants, body->claims[i]);
	}
	ack.sequence = body->sequence;
	ack.heartbeat = wv_members_self(control->members)->heartbeat;
	ack.roster_digest = wv_roster_digest(control->roster);
	ack.n_grants = grants->len;
	ack.grants = (char **)grants->pdata;
	answer.body_case = WISTERIAVANE__FRAME__BODY_ACK;
	answer.ack = &ack;
	links_reply(control->daemon->links, link, &answer);
	g_ptr_array_unref(grants);
}

void
control_apply_heartbeat(
    struct control *control, uint64_t link, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Heartbeat *body = frame->heartbeat;
	struct wv_vm_id sender_id = {
	    wv_string_borrow(frame->vm), frame->incarnation};
	wv_msec now = daemon_now(control->daemon);
	const struct wv_member *sender;

	wv_counter_add(&control->daemon->stats.heartbeats_received, 1);
	apply_members(control, frame, now);
	wv_roster_set_reported_digest(
	    control->roster, sender_id.name, body->roster_digest);
	if (wv_granter_accept_heartbeat(
		control->granter, sender_id, body->sequence)) {
		apply_releases(control, frame);
		answer_claims(control, link, frame, now);
		apply_holders(control, frame, now);
	}
	if (!wv_sync_has_different_digest(
		control->sync, body->contracts_digest) &&
	    body->contracts_loaded)
		wv_sync_record_confirmation(control->sync, now);
	sender = find_member(control, wv_string_borrow(frame->vm));
	if (sender != NULL)
		control_send_missing(control, now, sender, body);
}

/* Records that the sender of an answer is alive, and its roster digest. */
static void
record_ack_sender(struct control *control, const Wisteriavane__Frame *frame)
{
	struct wv_member member = {0};

	member.id.name = wv_string_borrow(frame->vm);
	member.id.incarnation = frame->incarnation;
	member.zone = wv_string_borrow("");
	member.peer_address = member.zone;
	member.caller_address = member.zone;
	member.operator_address = member.zone;
	member.state = WV_MEMBER_LIVE;
	member.heartbeat = frame->ack->heartbeat;
	if (wv_members_apply_entry(
		control->members, daemon_now(control->daemon), &member, true))
		control->routing_stale = true;
	wv_roster_set_reported_digest(
	    control->roster, member.id.name, frame->ack->roster_digest);
}

void
control_apply_ack(struct control *control, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Ack *ack = frame->ack;
	struct wv_vm_id voter = {
	    wv_string_borrow(frame->vm), frame->incarnation};
	struct control_lane *lane;

	wv_counter_add(&control->daemon->stats.acks_received, 1);
	record_ack_sender(control, frame);
	if (ack->sequence > control->sequence ||
	    control->sequence - ack->sequence >= SENT_HEARTBEATS)
		return;
	for (size_t i = 0; i < ack->n_grants; i++) {
		lane = control_find_lane(
		    control, wv_string_borrow(ack->grants[i]));
		if (lane != NULL && lane->claimed)
			wv_lease_add_grant(lane->lease, voter,
			    control->sent_at[ack->sequence % SENT_HEARTBEATS]);
	}
}

static struct wv_attempt_id
to_attempt_id(const Wisteriavane__Running *running)
{
	struct wv_attempt_id attempt = {
	    running->vm, running->incarnation, running->counter};

	return attempt;
}

void
control_apply_handover(
    struct control *control, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Handover *body = frame->handover;
	wv_msec now = daemon_now(control->daemon);
	struct control_lane *lane =
	    control_find_lane(control, wv_string_borrow(body->lane));
	struct wv_running_attempt *running;
	struct wv_attempt_id *released;

	if (lane == NULL)
		return;
	running = g_new0(struct wv_running_attempt, body->n_running);
	released = g_new0(struct wv_attempt_id, body->n_released);
	for (size_t i = 0; i < body->n_running; i++) {
		running[i].attempt = to_attempt_id(body->running[i]);
		running[i].searcher =
		    wv_string_borrow(body->running[i]->searcher);
		running[i].until = now + body->running[i]->left_ms;
	}
	for (size_t i = 0; i < body->n_released; i++)
		released[i] = to_attempt_id(body->released[i]);
	worker_adopt_attempts(control->daemon->workers[lane->worker],
	    lane->name, running, body->n_running, released, body->n_released);
	if (body->complete) {
		lane->handover_received_at = now;
		control->next_heartbeat = 0;
	}
	g_free(running);
	g_free(released);
}
