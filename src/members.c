/**
 * @file
 * The membership table: one entry for each known VM, updated by heartbeats,
 * gossiped entries, the VM list and time.
 */
#include <string.h>

#include "src/private.h"

/* Time for which the entry of a VM that left the roster is kept, ms. */
#define GONE_RETENTION_MS 60000.0
/*
 * One in this many rounds of heartbeats sends addresses in its rotating
 * entries, for VMs that missed the heartbeats with them.
 */
#define ADDRESS_ROUNDS 16
/*
 * A suspicion must be less than this far ahead of this VM's own heartbeat
 * count to raise it.
 */
#define MAX_HEARTBEAT_RAISE 1000000000

/* What is tracked of one VM beside its public entry. */
struct tracking {
	bool listed; /* named by the last VM list */
	wv_msec gone_since; /* when it left the roster */
	wv_msec unanswered_since; /* first heartbeat to it without an answer */
	wv_msec suspected_at; /* start of the suspicion; large rosters only */
	uint32_t update_rounds; /* rounds that still send its update */
	bool update_addresses; /* the update includes zone and addresses */
};

struct wv_members {
	struct wv_member *all; /* this VM is at 0; strings are owned */
	struct tracking *tracking; /* parallel to all */
	size_t n;
	size_t capacity;
	GHashTable *index; /* owned name to position + 1 */
	bool has_list; /* a VM list was received */
	wv_msec last_tick;
	size_t next_target; /* offset of the next round's first target */
	size_t next_entry; /* offset of the next round's rotating entries */
	uint32_t rounds; /* rounds of heartbeats, see ADDRESS_ROUNDS */
};

static void
index_entry(struct wv_members *members, size_t at)
{
	struct wv_string *key = g_new(struct wv_string, 1);

	*key = wv_string_copy(members->all[at].id.name);
	g_hash_table_replace(members->index, key, GSIZE_TO_POINTER(at + 1));
}

/* Returns the position of a VM, or members->n if it is unknown. */
static size_t
find_entry(const struct wv_members *members, struct wv_string name)
{
	size_t at =
	    GPOINTER_TO_SIZE(g_hash_table_lookup(members->index, &name));

	return at > 0 ? at - 1 : members->n;
}

static void
entry_clear(struct wv_member *entry)
{
	wv_string_clear(&entry->id.name);
	wv_string_clear(&entry->zone);
	wv_string_clear(&entry->peer_address);
	wv_string_clear(&entry->caller_address);
	wv_string_clear(&entry->operator_address);
}

static struct wv_member
entry_copy(const struct wv_member *entry)
{
	struct wv_member copy = *entry;

	copy.id.name = wv_string_copy(entry->id.name);
	copy.zone = wv_string_copy(entry->zone);
	copy.peer_address = wv_string_copy(entry->peer_address);
	copy.caller_address = wv_string_copy(entry->caller_address);
	copy.operator_address = wv_string_copy(entry->operator_address);
	return copy;
}

/*
 * Returns the number of rounds in which a VM gossips an update: three times
 * the binary logarithm of the number of VMs, so that it reaches all of them.
 */
static uint32_t
count_update_rounds(size_t n)
{
	return 3 * (uint32_t)g_bit_storage((gulong)n) + 3;
}

/*
 * Returns whether the roster is large: a round of heartbeats does not reach
 * all other VMs.
 */
static bool
is_large(const struct wv_members *members)
{
	return members->n - 1 > WV_MAX_HEARTBEAT_FANOUT;
}

static size_t
add_entry(struct wv_members *members, const struct wv_member *entry)
{
	size_t at = members->n;

	if (members->n == members->capacity) {
		members->capacity = MAX(2 * members->capacity, 16);
		members->all =
		    g_renew(struct wv_member, members->all, members->capacity);
		members->tracking = g_renew(
		    struct tracking, members->tracking, members->capacity);
	}
	members->all[at] = entry_copy(entry);
	members->tracking[at] = (struct tracking){
	    .gone_since = WV_MSEC_NEVER,
	    .unanswered_since = WV_MSEC_NEVER,
	    .suspected_at = WV_MSEC_NEVER,
	    .update_rounds = count_update_rounds(members->n),
	    .update_addresses = true,
	};
	members->n++;
	index_entry(members, at);
	return at;
}

/* Removes an entry by moving the last one into its place. */
static void
remove_entry(struct wv_members *members, size_t at)
{
	size_t last = members->n - 1;

	g_hash_table_remove(members->index, &members->all[at].id.name);
	entry_clear(&members->all[at]);
	members->n--;
	if (at == last)
		return;
	members->all[at] = members->all[last];
	members->tracking[at] = members->tracking[last];
	index_entry(members, at);
}

struct wv_members *
wv_members_create(const struct wv_member *self, wv_msec now)
{
	struct wv_members *members = g_new0(struct wv_members, 1);

	members->index = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, wv_string_key_destroy, NULL);
	add_entry(members, self);
	members->all[0].state = WV_MEMBER_LIVE;
	members->all[0].last_seen = now;
	members->last_tick = now;
	/* Spreads the first targets of VMs that start at the same time. */
	members->next_target = wv_string_hash(self->id.name) % 65536;
	return members;
}

void
wv_members_destroy(struct wv_members *members)
{
	if (members == NULL)
		return;
	for (size_t i = 0; i < members->n; i++)
		entry_clear(&members->all[i]);
	g_hash_table_destroy(members->index);
	g_free(members->all);
	g_free(members->tracking);
	g_free(members);
}

static void
replace_string(struct wv_string *string, struct wv_string value)
{
	struct wv_string copy;

	if (wv_string_equal(*string, value))
		return;
	copy = wv_string_copy(value);
	wv_string_clear(string);
	*string = copy;
}

/* Copies zone and addresses from an entry that has them. */
static void
copy_addresses(struct wv_member *known, const struct wv_member *entry)
{
	if (entry->peer_address.length == 0)
		return;
	replace_string(&known->zone, entry->zone);
	replace_string(&known->peer_address, entry->peer_address);
	replace_string(&known->caller_address, entry->caller_address);
	replace_string(&known->operator_address, entry->operator_address);
}

/* Applies one entry of the VM list. */
static void
apply_listed(
    struct wv_members *members, wv_msec now, const struct wv_member *entry)
{
	size_t at = find_entry(members, entry->id.name);
	struct wv_member *known;

	if (at == 0)
		return;
	if (at == members->n) {
		at = add_entry(members, entry);
		known = &members->all[at];
		known->id.incarnation = 0;
		known->heartbeat = 0;
		known->last_seen = now;
		known->state = entry->state == WV_MEMBER_DRAINING
		    ? WV_MEMBER_DRAINING
		    : WV_MEMBER_JOINING;
		members->tracking[at].listed = true;
		members->tracking[at].update_rounds = 0;
		return;
	}
	known = &members->all[at];
	if (known->state == WV_MEMBER_GONE && !members->tracking[at].listed) {
		known->state = WV_MEMBER_JOINING;
		known->last_seen = now;
	}
	/* The list may be older than the VM's own heartbeats. */
	if (known->id.incarnation == 0)
		copy_addresses(known, entry);
	members->tracking[at].listed = true;
}

void
wv_members_apply_vm_list(struct wv_members *members, wv_msec now,
    const struct wv_member *list, size_t n)
{
	bool *is_named = g_new0(bool, members->n + n);
	size_t at;

	for (size_t i = 0; i < n; i++) {
		apply_listed(members, now, &list[i]);
		at = find_entry(members, list[i].id.name);
		is_named[at] = true;
	}
	for (size_t i = 0; i < members->n; i++)
		members->tracking[i].listed = is_named[i];
	members->has_list = true;
	g_free(is_named);
}

bool
wv_members_has_vm_list(const struct wv_members *members)
{
	return members->has_list;
}

/* Applies the heartbeat of a new process of a known VM. */
static void
apply_incarnation(
    struct wv_member *known, wv_msec now, const struct wv_member *entry)
{
	known->id.incarnation = entry->id.incarnation;
	known->heartbeat = entry->heartbeat;
	known->last_seen = now;
	known->state = entry->state == WV_MEMBER_DRAINING ? WV_MEMBER_DRAINING
							  : WV_MEMBER_LIVE;
	copy_addresses(known, entry);
}

/*
 * Applies a newer heartbeat of the same process. Draining never ends. Returns
 * whether the state changed.
 */
static bool
apply_heartbeat(
    struct wv_member *known, wv_msec now, const struct wv_member *entry)
{
	enum wv_member_state before = known->state;

	known->heartbeat = entry->heartbeat;
	known->last_seen = now;
	if (before != WV_MEMBER_DRAINING)
		known->state = entry->state == WV_MEMBER_DRAINING
		    ? WV_MEMBER_DRAINING
		    : WV_MEMBER_LIVE;
	return known->state != before;
}

/* Marks an entry as updated, so that the next heartbeats send it. */
static void
mark_updated(struct wv_members *members, size_t at, bool full)
{
	members->tracking[at].update_rounds = count_update_rounds(members->n);
	members->tracking[at].update_addresses |= full;
}

/* Refutes a suspicion of this VM by a heartbeat count above the suspected. */
static void
refute_suspicion(struct wv_member *self, const struct wv_member *entry)
{
	if (entry->state == WV_MEMBER_SUSPECT &&
	    entry->id.incarnation == self->id.incarnation &&
	    entry->heartbeat >= self->heartbeat &&
	    entry->heartbeat - self->heartbeat < MAX_HEARTBEAT_RAISE)
		self->heartbeat = entry->heartbeat + 1;
}

/* Adds a VM from the first entry about it; returns whether it was added. */
static bool
add_unknown(struct wv_members *members, wv_msec now,
    const struct wv_member *entry, bool direct)
{
	struct wv_member *known;
	size_t at;

	if (entry->peer_address.length == 0 ||
	    entry->state == WV_MEMBER_SUSPECT)
		return false;
	at = add_entry(members, entry);
	known = &members->all[at];
	known->last_seen = now;
	/* An old update may name a VM that no longer exists. */
	if (!direct && entry->state != WV_MEMBER_DRAINING)
		known->state = WV_MEMBER_JOINING;
	return true;
}

/*
 * Applies another VM's suspicion of a VM that did not answer it. Returns
 * whether the VM is newly suspected.
 */
static bool
apply_suspicion(struct wv_members *members, wv_msec now, size_t at,
    const struct wv_member *entry)
{
	struct wv_member *known = &members->all[at];
	struct tracking *tracking = &members->tracking[at];

	if (!is_large(members) ||
	    entry->id.incarnation != known->id.incarnation)
		return false;
	if (entry->heartbeat < known->heartbeat) {
		/* The other VM has missed a later heartbeat: send it. */
		mark_updated(members, at, false);
		return false;
	}
	known->heartbeat = entry->heartbeat;
	if (tracking->suspected_at != WV_MSEC_NEVER)
		return false;
	tracking->suspected_at = now;
	mark_updated(members, at, false);
	if (known->state == WV_MEMBER_LIVE)
		known->state = WV_MEMBER_SUSPECT;
	return known->state == WV_MEMBER_SUSPECT;
}

bool
wv_members_apply_entry(struct wv_members *members, wv_msec now,
    const struct wv_member *entry, bool direct)
{
	size_t at = find_entry(members, entry->id.name);
	struct wv_member *known;
	struct tracking *tracking;
	bool was_listed_only;

	if (at == 0) {
		refute_suspicion(&members->all[0], entry);
		return false;
	}
	if (at == members->n)
		return add_unknown(members, now, entry, direct);
	if (entry->state == WV_MEMBER_SUSPECT)
		return apply_suspicion(members, now, at, entry);
	known = &members->all[at];
	tracking = &members->tracking[at];
	if (entry->id.incarnation < known->id.incarnation)
		return false;
	if (entry->id.incarnation > known->id.incarnation) {
		was_listed_only =
		    known->id.incarnation == 0 && tracking->listed;
		apply_incarnation(known, now, entry);
		tracking->unanswered_since = WV_MSEC_NEVER;
		tracking->suspected_at = WV_MSEC_NEVER;
		/* The others know a VM that the VM list names. */
		if (!was_listed_only)
			mark_updated(members, at, true);
		return true;
	}
	/* An Ack, which has no addresses, may have arrived before. */
	if (direct)
		copy_addresses(known, entry);
	if (direct && entry->heartbeat >= known->heartbeat)
		tracking->unanswered_since = WV_MSEC_NEVER;
	if (entry->heartbeat <= known->heartbeat)
		return false;
	tracking->suspected_at = WV_MSEC_NEVER;
	if (!apply_heartbeat(known, now, entry))
		return false;
	mark_updated(members, at, false);
	return true;
}

/* Returns whether an entry counts for majorities. */
static bool
is_in_roster(const struct wv_member *entry)
{
	return entry->state != WV_MEMBER_GONE;
}

/*
 * Returns how long a VM has been silent, ms. In a large roster the silence is
 * 0 without a suspicion; a suspicion starts at WV_SUSPECT_AFTER and is scaled
 * to reach WV_DEAD_AFTER after WV_SUSPICION_TIMEOUT.
 */
static wv_msec
compute_silence(const struct wv_members *members, size_t at, wv_msec now)
{
	wv_msec suspected_at = members->tracking[at].suspected_at;

	if (!is_large(members))
		return now - members->all[at].last_seen;
	if (suspected_at == WV_MSEC_NEVER)
		return 0;
	return WV_SUSPECT_AFTER +
	    (now - suspected_at) * (WV_DEAD_AFTER - WV_SUSPECT_AFTER) /
	    WV_SUSPICION_TIMEOUT;
}

/*
 * Returns whether heartbeats of a VM have been received and it has not been
 * silent for WV_DEAD_AFTER.
 */
static bool
is_reachable(const struct wv_members *members, size_t at, wv_msec now)
{
	enum wv_member_state state = members->all[at].state;

	return state != WV_MEMBER_JOINING && state != WV_MEMBER_GONE &&
	    compute_silence(members, at, now) < WV_DEAD_AFTER;
}

/*
 * Suspects VMs of a large roster that did not answer within WV_SUSPECT_AFTER.
 * A VM increments its heartbeat once per interval, so the count that it would
 * have reached by now is estimated: older counts that other VMs know must not
 * end the suspicion.
 */
static void
suspect_unanswered(struct wv_members *members, wv_msec now)
{
	struct wv_member *entry;
	struct tracking *tracking;

	for (size_t i = 1; i < members->n && is_large(members); i++) {
		entry = &members->all[i];
		tracking = &members->tracking[i];
		if (tracking->unanswered_since == WV_MSEC_NEVER ||
		    tracking->suspected_at != WV_MSEC_NEVER ||
		    now - tracking->unanswered_since < WV_SUSPECT_AFTER)
			continue;
		tracking->suspected_at = now;
		entry->heartbeat += (uint64_t)(MAX(now - entry->last_seen, 0) /
		    WV_HEARTBEAT_INTERVAL);
		mark_updated(members, i, false);
	}
}

/*
 * Returns whether this VM receives heartbeats of a majority of its roster.
 * Without a majority it removes no VM: a partitioned minority with an old VM
 * list could otherwise shrink its roster until it is a majority of it.
 */
static bool
reaches_majority(const struct wv_members *members, wv_msec now)
{
	size_t roster = 1;
	size_t reachable = 1;

	for (size_t i = 1; i < members->n; i++) {
		roster += is_in_roster(&members->all[i]);
		reachable += is_reachable(members, i, now);
	}
	return reachable >= roster / 2 + 1;
}

/* Returns the state of a VM after a silence of so many ms. */
static enum wv_member_state
state_by_silence(const struct wv_member *entry, wv_msec silence)
{
	if (entry->state == WV_MEMBER_LIVE && silence >= WV_SUSPECT_AFTER)
		return silence >= WV_DEAD_AFTER ? WV_MEMBER_DEAD
						: WV_MEMBER_SUSPECT;
	if (entry->state == WV_MEMBER_SUSPECT && silence >= WV_DEAD_AFTER)
		return WV_MEMBER_DEAD;
	return entry->state;
}

/*
 * Returns whether a VM leaves the roster: it has been silent for
 * WV_DEAD_AFTER, and it was draining or the VM list no longer names it.
 */
static bool
is_gone(const struct wv_members *members, size_t at, wv_msec silence)
{
	const struct wv_member *entry = &members->all[at];

	if (silence < WV_DEAD_AFTER)
		return false;
	if (entry->state == WV_MEMBER_DRAINING)
		return true;
	return members->has_list && !members->tracking[at].listed;
}

/*
 * After a pause of this VM, moves the times of the last heartbeats by the
 * pause, so that it does not count as silence of the others: their heartbeats
 * may still be waiting in the socket buffers.
 */
static void
compensate_pause(struct wv_members *members, wv_msec now)
{
	wv_msec pause = now - members->last_tick - WV_HEARTBEAT_INTERVAL;

	members->last_tick = now;
	if (pause < WV_SUSPECT_AFTER)
		return;
	for (size_t i = 0; i < members->n; i++) {
		members->all[i].last_seen =
		    MIN(members->all[i].last_seen + pause, now);
		members->tracking[i].unanswered_since = WV_MSEC_NEVER;
		if (members->tracking[i].suspected_at != WV_MSEC_NEVER)
			members->tracking[i].suspected_at =
			    MIN(members->tracking[i].suspected_at + pause, now);
	}
}

/*
 * Removes entries of VMs that left the roster GONE_RETENTION_MS ago, unless
 * the VM list names them.
 */
static void
remove_gone(struct wv_members *members, wv_msec now)
{
	for (size_t i = members->n; i-- > 1;) {
		if (members->all[i].state == WV_MEMBER_GONE &&
		    !members->tracking[i].listed &&
		    now - members->tracking[i].gone_since >= GONE_RETENTION_MS)
			remove_entry(members, i);
	}
}

bool
wv_members_tick(struct wv_members *members, wv_msec now)
{
	bool changed = false;
	bool majority;
	enum wv_member_state state;
	wv_msec silence;

	compensate_pause(members, now);
	suspect_unanswered(members, now);
	for (size_t i = 1; i < members->n; i++) {
		silence = compute_silence(members, i, now);
		state = state_by_silence(&members->all[i], silence);
		changed |= state != members->all[i].state;
		members->all[i].state = state;
	}
	majority = reaches_majority(members, now);
	for (size_t i = 1; i < members->n && majority; i++) {
		silence = compute_silence(members, i, now);
		if (!is_in_roster(&members->all[i]) ||
		    !is_gone(members, i, silence))
			continue;
		members->all[i].state = WV_MEMBER_GONE;
		members->tracking[i].gone_since = now;
		changed = true;
	}
	remove_gone(members, now);
	return changed;
}

void
wv_members_increment_heartbeat(struct wv_members *members, wv_msec now)
{
	members->all[0].heartbeat++;
	members->all[0].last_seen = now;
}

void
wv_members_set_draining(struct wv_members *members)
{
	members->all[0].state = WV_MEMBER_DRAINING;
}

const struct wv_member *
wv_members_all(const struct wv_members *members, size_t *n)
{
	*n = members->n;
	return members->all;
}

size_t
wv_members_list_roster(
    const struct wv_members *members, struct wv_candidate *vms, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < members->n; i++) {
		if (!is_in_roster(&members->all[i]))
			continue;
		if (n < size) {
			vms[n].name = members->all[i].id.name;
			vms[n].zone = members->all[i].zone;
		}
		n++;
	}
	return n;
}

const struct wv_member *
wv_members_self(const struct wv_members *members)
{
	return &members->all[0];
}

static bool
is_chosen(const size_t *entries, size_t n, size_t at)
{
	for (size_t i = 0; i < n; i++) {
		if (entries[i] == at)
			return true;
	}
	return false;
}

/*
 * Chooses VMs of a large roster that have not answered yet, for a second
 * heartbeat. Without it one lost message would cause a suspicion, and at 5%
 * loss there would be more suspicions than the entries can carry.
 */
static size_t
choose_unanswered(struct wv_members *members, size_t *peers, size_t size)
{
	size_t chosen = 0;
	const struct tracking *tracking;

	for (size_t i = 1; i < members->n && chosen < size; i++) {
		tracking = &members->tracking[i];
		if (tracking->unanswered_since < members->last_tick &&
		    tracking->suspected_at == WV_MSEC_NEVER &&
		    is_in_roster(&members->all[i]))
			peers[chosen++] = i;
	}
	return chosen;
}

size_t
wv_members_choose_targets(
    struct wv_members *members, size_t *peers, size_t size)
{
	size_t others = members->n - 1;
	size_t limit = MIN(size, WV_MAX_HEARTBEAT_FANOUT);
	size_t chosen = 0;
	size_t at;
	size_t i;

	if (is_large(members)) {
		chosen = choose_unanswered(members, peers, limit / 2);
		limit = MIN(limit, chosen + WV_HEARTBEAT_LARGE_FANOUT);
	}
	for (i = 0; i < others && chosen < limit; i++) {
		at = 1 + (members->next_target + i) % others;
		if (!is_in_roster(&members->all[at]) ||
		    is_chosen(peers, chosen, at))
			continue;
		if (members->tracking[at].unanswered_since == WV_MSEC_NEVER)
			members->tracking[at].unanswered_since =
			    members->last_tick;
		peers[chosen++] = at;
	}
	if (others > 0)
		members->next_target = (members->next_target + i) % others;
	return chosen;
}

/* Returns whether an entry in this state is sent to other VMs. */
static bool
is_gossiped(const struct wv_members *members, size_t at)
{
	enum wv_member_state state = members->all[at].state;

	return state == WV_MEMBER_LIVE || state == WV_MEMBER_SUSPECT ||
	    state == WV_MEMBER_DRAINING;
}

/* Chooses entries with an update that must still be sent. */
static size_t
choose_updated(
    struct wv_members *members, size_t *entries, bool *full, size_t size)
{
	size_t chosen = 0;
	struct tracking *tracking;

	for (size_t i = 1; i < members->n && chosen < size; i++) {
		tracking = &members->tracking[i];
		if (tracking->update_rounds == 0 || !is_gossiped(members, i))
			continue;
		entries[chosen] = i;
		full[chosen++] = tracking->update_addresses;
		if (--tracking->update_rounds == 0)
			tracking->update_addresses = false;
	}
	return chosen;
}

size_t
wv_members_choose_entries(
    struct wv_members *members, size_t *entries, bool *full, size_t size)
{
	size_t others = members->n - 1;
	size_t limit = MIN(size, WV_MAX_HEARTBEAT_ENTRIES);
	size_t chosen = choose_updated(members, entries, full,
	    limit > WV_HEARTBEAT_ROTATING_ENTRIES
		? limit - WV_HEARTBEAT_ROTATING_ENTRIES
		: 0);
	size_t i;
	size_t at;

	limit = MIN(limit, chosen + WV_HEARTBEAT_ROTATING_ENTRIES);
	members->rounds++;
	for (i = 0; i < others && chosen < limit; i++) {
		at = 1 + (members->next_entry + i) % others;
		if (!is_gossiped(members, at) || is_chosen(entries, chosen, at))
			continue;
		entries[chosen] = at;
		full[chosen++] = members->rounds % ADDRESS_ROUNDS == 0;
	}
	if (others > 0)
		members->next_entry = (members->next_entry + i) % others;
	return chosen;
}
