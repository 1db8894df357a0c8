/**
 * @file
 * Table of other VMs and the roles derived from it.
 */
#include <math.h>
#include <string.h>

#include "src/peers_private.h"

/** Silence after which a hub does not consider another hub alive, ms. */
#define HUB_SILENCE 1000.0
/** The same for a leaf, ms; the hubs it is attached to report changes at once.
 */
#define HUB_SILENCE_AT_LEAF 2250.0
/** Silence after which a leaf is not considered alive, ms. */
#define LEAF_SILENCE 4000.0
/**
 * Time for which a VM must not answer until it is forgotten, ms. Until then it
 * counts in divisors: it may only be unreachable from this VM and still use its
 * fraction of the limits.
 */
#define PEER_RETENTION 120000.0
/**
 * Silence of all other VMs after which this VM writes its entry again once it
 * hears one, ms: half of the time after which others may remove the entry.
 */
#define ISOLATION_TIME 300000.0
/** With fewer VMs of that capacity than this, all VMs are preferred. */
#define MIN_PREFERRED 3
/**
 * Least part of the preferred VMs that must be in the zones of the searchers
 * for callers to be sent to those only.
 */
#define MIN_NEAR_RATIO 0.4
/** Fraction of divided limits that the preferred VMs get together. */
#define PREFERRED_QUOTA 0.7
/**
 * Fraction of the teams' quotas that the strongest VMs get together, as many as
 * there may be hubs: only hubs lend what they don't need to the homes of teams,
 * and a weak VM's fraction is rarely a whole request.
 */
#define PREFERRED_TEAM_QUOTA 0.9
/** Time for which a VM that failed a call comes after the others, ms. */
#define CALL_FAILURE_PERIOD 3000.0
/**
 * Largest number of VMs that are remembered. Reports are not authenticated, so
 * the names in them must not take memory and time without end.
 */
#define MAX_PEERS 16384
/** VMs that watch the store; the others receive changes from them. */
#define MAX_WATCHERS 3

static void
peer_destroy(gpointer data)
{
	struct peer *peer = data;

	wv_string_clear(&peer->name);
	wv_string_clear(&peer->address);
	wv_string_clear(&peer->caller_address);
	wv_string_clear(&peer->zone);
	g_free(peer);
}

struct wv_peers *
wv_peers_create(
    struct wv_string own_name, struct wv_string zone, double capacity)
{
	struct wv_peers *peers = g_new0(struct wv_peers, 1);

	peers->own_name = wv_string_copy(own_name);
	peers->own_zone = wv_string_copy(zone);
	peers->own_hash = wv_string_hash(own_name);
	peers->is_hub = true;
	peers->hubs = g_ptr_array_new();
	peers->caller_zones = g_ptr_array_new_with_free_func(g_free);
	peers->own_capacity = capacity;
	peers->table = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, peer_destroy);
	peers->removal = wv_removal_create();
	peers->heard_at = -WV_MSEC_NEVER;
	return peers;
}

void
wv_peers_destroy(struct wv_peers *peers)
{
	g_ptr_array_unref(peers->hubs);
	g_ptr_array_unref(peers->caller_zones);
	g_hash_table_unref(peers->table);
	wv_removal_destroy(peers->removal);
	wv_string_clear(&peers->own_name);
	wv_string_clear(&peers->own_zone);
	g_free(peers);
}

bool
peer_is_alive(const struct peer *peer, wv_msec now)
{
	return peer->has_report && now - peer->last_seen <= peer->max_silence;
}

static void
replace_string(struct wv_string *string, struct wv_string value)
{
	if (wv_string_equal(*string, value))
		return;
	wv_string_clear(string);
	*string = wv_string_copy(value);
}

/* Returns the VM of a name; NULL if it is not known and there are too many. */
static struct peer *
find_or_add(struct wv_peers *peers, wv_msec now, struct wv_string name)
{
	struct peer *peer = g_hash_table_lookup(peers->table, &name);

	if (peer != NULL || g_hash_table_size(peers->table) >= MAX_PEERS)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->name = wv_string_copy(name);
	peer->hash = wv_string_hash(name);
	peer->last_seen = now;
	peer->heard_at = -WV_MSEC_NEVER;
	peer->asked_at = WV_MSEC_NEVER;
	peer->attached_at = -WV_MSEC_NEVER;
	peer->call_failed_at = -WV_MSEC_NEVER;
	peer->hubs_sent_at = -WV_MSEC_NEVER;
	g_hash_table_insert(peers->table, &peer->name, peer);
	return peer;
}

void
wv_peers_set_address(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_address *entry)
{
	struct peer *peer;

	if (wv_string_equal(entry->name, peers->own_name))
		return;
	peer = find_or_add(peers, now, entry->name);
	if (peer == NULL || peer_is_alive(peer, now))
		return;
	if (!wv_string_equal(peer->address, entry->address)) {
		peer->asked_at = WV_MSEC_NEVER;
		peer->was_hub = false;
	}
	replace_string(&peer->address, entry->address);
	if (entry->zone.length > 0)
		replace_string(&peer->zone, entry->zone);
	peer->capacity = entry->capacity;
}

/* Whether a report is not newer than the last one applied. */
static bool
is_stale(const struct peer *peer, const struct wv_peer_report *report)
{
	if (report->incarnation != peer->incarnation)
		return report->incarnation < peer->incarnation;
	return report->sequence <= peer->sequence;
}

/* Copies what a report says of the VM itself. */
static void
copy_state(struct peer *peer, const struct wv_peer_report *report)
{
	replace_string(&peer->address, report->peer_address);
	replace_string(&peer->caller_address, report->caller_address);
	replace_string(&peer->zone, report->zone);
	peer->incarnation = report->incarnation;
	peer->sequence = report->sequence;
	peer->capacity = report->capacity;
	peer->serving = report->serving;
	peer->leaving = report->leaving;
	peer->store_failed = report->store_failed;
}

/* Returns the index of the attachment to a hub, or N_ATTACHMENTS. */
static int
find_attachment_to(const struct wv_peers *peers, const struct peer *hub)
{
	int i = 0;

	while (i < N_ATTACHMENTS &&
	    (peers->is_hub || peers->attachments[i].hub != hub->hash))
		i++;
	return i;
}

static void
mark_told(struct peer *peer, wv_msec now)
{
	peer->has_report = true;
	peer->was_hub = true;
	peer->last_seen = now;
	peer->max_silence = HUB_SILENCE_AT_LEAF;
	peer->asked_at = WV_MSEC_NEVER;
}

/* Silence after which the sender of a report is no longer alive, ms. */
static wv_msec
max_silence(const struct wv_peers *peers, const struct wv_peer_report *report)
{
	if (report->is_leaf)
		return LEAF_SILENCE;
	return peers->is_hub ? HUB_SILENCE : HUB_SILENCE_AT_LEAF;
}

/* A hub has reported an unchanged view: the hubs in it are alive. */
static void
confirm_view(struct wv_peers *peers, wv_msec now, int slot)
{
	uint64_t view = peers->attachments[slot].view;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct peer *)value)->named_in[slot] == view)
			mark_told(value, now);
	}
}

/* Notes that a VM was heard, and whether none was for a long time. */
static void
note_heard(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report)
{
	struct wv_peer_address address = {
	    .name = report->name,
	    .address = report->peer_address,
	    .zone = report->zone,
	    .capacity = report->capacity,
	};

	wv_removal_hear(peers->removal, now, &address);
	peers->was_isolated |= peers->heard_at > -WV_MSEC_NEVER &&
	    now - peers->heard_at > ISOLATION_TIME;
	peers->heard_at = now;
}

bool
wv_peers_take_isolation(struct wv_peers *peers)
{
	bool was_isolated = peers->was_isolated;

	peers->was_isolated = false;
	return was_isolated;
}

struct wv_removal *
wv_peers_removal(struct wv_peers *peers)
{
	return peers->removal;
}

bool
wv_peers_apply_report(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report)
{
	struct peer *peer;
	int slot;

	if (wv_string_equal(report->name, peers->own_name))
		return false;
	peer = find_or_add(peers, now, report->name);
	if (peer == NULL)
		return false;
	/* A new process looks older if the clock of its VM was set back. */
	if (is_stale(peer, report) && peer->heard_at == peer->last_seen &&
	    peer_is_alive(peer, now))
		return false;
	note_heard(peers, now, report);
	copy_state(peer, report);
	for (int i = 0; i < WV_PEER_DATA_COUNT; i++)
		peer->positions[i] = report->positions[i];
	peer->has_evacuations = report->has_evacuations;
	peer->is_leaf = report->is_leaf;
	peer->was_hub = !report->is_leaf;
	peer->view = report->view;
	peer->has_report = true;
	peer->last_seen = now;
	peer->heard_at = now;
	peer->max_silence = max_silence(peers, report);
	peer->asked_at = WV_MSEC_NEVER;
	if (report->attach) {
		peer->attached_at = now;
		peer->known_view = report->known_view;
	} else {
		peer->attached_at = -WV_MSEC_NEVER;
	}
	slot = find_attachment_to(peers, peer);
	if (slot < N_ATTACHMENTS && report->view != 0 &&
	    peers->attachments[slot].view == report->view)
		confirm_view(peers, now, slot);
	return true;
}

/*
 * Applies what a hub knows of another one.
 *
 * slot: attachment to the former, or N_ATTACHMENTS
 */
static void
apply_hub(struct wv_peers *peers, wv_msec now, int slot, uint64_t view,
    const struct wv_peer_report *hub)
{
	struct peer *peer;

	if (wv_string_equal(hub->name, peers->own_name))
		return;
	peer = find_or_add(peers, now, hub->name);
	if (peer == NULL)
		return;
	/* A new process looks older if the clock of its VM was set back. */
	if (!is_stale(peer, hub) || !peer_is_alive(peer, now)) {
		copy_state(peer, hub);
		peer->is_leaf = false;
	}
	if (slot < N_ATTACHMENTS) {
		peer->named_in[slot] = view;
		mark_told(peer, now);
	} else if (!peer_is_alive(peer, now)) {
		peer->asked_at = WV_MSEC_NEVER;
		peer->was_hub = false;
	}
}

/*
 * VMs that the previous view named and the new one does not are not alive. If
 * the hub of another attachment still hears one, its next report says so.
 */
static void
drop_unnamed(struct wv_peers *peers, int slot, uint64_t previous, uint64_t view)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (previous == 0 || peer->named_in[slot] != previous ||
		    previous == view)
			continue;
		peer->named_in[slot] = 0;
		peer->has_report = false;
	}
}

void
wv_peers_apply_hubs(struct wv_peers *peers, wv_msec now,
    struct wv_string sender, uint64_t view, const struct wv_peer_report *hubs,
    size_t n_hubs)
{
	const struct peer *hub = g_hash_table_lookup(peers->table, &sender);
	uint64_t previous;
	int slot;

	if (hub == NULL)
		return;
	slot = find_attachment_to(peers, hub);
	for (size_t i = 0; i < n_hubs; i++)
		apply_hub(peers, now, slot, view, &hubs[i]);
	if (slot == N_ATTACHMENTS)
		return;
	previous = peers->attachments[slot].view;
	peers->attachments[slot].view = view;
	drop_unnamed(peers, slot, previous, view);
	/* Tells the hub that its view was received. */
	peers->report_due = true;
}

static bool
is_serving(const struct peer *peer, wv_msec now)
{
	return peer_is_alive(peer, now) && peer->serving && !peer->leaving;
}

static bool
is_caller_zone(const struct wv_peers *peers, struct wv_string zone)
{
	for (guint i = 0; i < peers->caller_zones->len; i++) {
		if (wv_string_equal(
			zone, wv_string_borrow(peers->caller_zones->pdata[i])))
			return true;
	}
	return peers->caller_zones->len == 0;
}

/*
 * Replaces the addresses by those of the serving VMs with at least the given
 * capacity, in all zones or in those of the searchers; returns their number.
 */
static unsigned
add_with_capacity(const struct wv_peers *peers, wv_msec now,
    double min_capacity, bool near, struct wv_string own, GPtrArray *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(addresses, 0);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (is_serving(peer, now) && peer->capacity >= min_capacity &&
		    (!near || is_caller_zone(peers, peer->zone)))
			g_ptr_array_add(addresses, peer->caller_address.data);
	}
	if (own.length > 0 && peers->own_capacity >= min_capacity &&
	    (!near || is_caller_zone(peers, peers->own_zone)))
		g_ptr_array_add(addresses, own.data);
	return addresses->len;
}

/* Returns the greatest capacity among the serving VMs. */
static double
greatest_capacity(
    const struct wv_peers *peers, wv_msec now, struct wv_string own)
{
	double greatest = own.length > 0 ? peers->own_capacity : 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_serving(value, now))
			greatest = fmax(
			    greatest, ((const struct peer *)value)->capacity);
	}
	return greatest;
}

void
wv_peers_list_caller_addresses(const struct wv_peers *peers, wv_msec now,
    struct wv_string own, GPtrArray *addresses)
{
	double min_capacity =
	    greatest_capacity(peers, now, own) * PREFERRED_CAPACITY_RATIO;
	unsigned n =
	    add_with_capacity(peers, now, min_capacity, false, own, addresses);
	unsigned n_near;

	if (n < MIN_PREFERRED) {
		add_with_capacity(peers, now, 0, false, own, addresses);
		return;
	}
	n_near =
	    add_with_capacity(peers, now, min_capacity, true, own, addresses);
	if (n_near < MIN_PREFERRED || n_near < n * MIN_NEAR_RATIO)
		add_with_capacity(
		    peers, now, min_capacity, false, own, addresses);
}

void
wv_peers_set_caller_zones(struct wv_peers *peers, const GPtrArray *zones)
{
	g_ptr_array_set_size(peers->caller_zones, 0);
	for (guint i = 0; i < zones->len; i++)
		g_ptr_array_add(peers->caller_zones, g_strdup(zones->pdata[i]));
}

static bool
is_expired(const struct peer *peer, wv_msec now)
{
	return peer->asked_at != WV_MSEC_NEVER &&
	    now - peer->asked_at > PEER_RETENTION &&
	    now - peer->last_seen > PEER_RETENTION;
}

/* Forgets VMs that have not answered for too long. */
static void
forget_expired(struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		struct wv_peer_address address = {
		    .name = peer->name,
		    .address = peer->address,
		    .zone = peer->zone,
		    .capacity = peer->capacity,
		};

		if (!is_expired(peer, now))
			continue;
		wv_removal_add(peers->removal, now, &address);
		g_hash_table_iter_remove(&iter);
	}
}

void
wv_peers_update(struct wv_peers *peers, wv_msec now)
{
	forget_expired(peers, now);
	peers_update_hubs(peers, now);
}

/* Whether a peer precedes this VM in the order in which watchers are chosen. */
static bool
precedes_as_watcher(
    const struct wv_peers *peers, const struct peer *peer, bool store_failed)
{
	if (peer->store_failed != store_failed)
		return store_failed;
	if (peer->capacity != peers->own_capacity)
		return peer->capacity > peers->own_capacity;
	return peer->hash < peers->own_hash;
}

/*
 * Whether a peer can watch the store. A VM that reports to others only counts
 * unless it is known to be silent: if all counted as silent, each leaf would
 * watch the store as soon as the hubs can't.
 */
static bool
may_watch(const struct peer *peer, wv_msec now)
{
	if (peer_is_alive(peer, now))
		return is_serving(peer, now);
	return peer->address.length > 0 && peers_is_presumed_alive(peer, now);
}

struct wv_peer_role
wv_peers_get_role(const struct wv_peers *peers, wv_msec now, bool store_failed)
{
	struct wv_peer_role role = {.vms = 1};
	double greatest = peers->own_capacity;
	unsigned n_preceding = 0;
	unsigned n_stronger = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		role.vms++;
		n_stronger += peers_is_stronger(peers, peer);
		greatest = fmax(greatest, peer->capacity);
		n_preceding += may_watch(peer, now) &&
		    precedes_as_watcher(peers, peer, store_failed);
	}
	role.is_watcher = n_preceding < MAX_WATCHERS;
	role.preferred_capacity = greatest * PREFERRED_CAPACITY_RATIO;
	role.is_preferred = peers->own_capacity >= role.preferred_capacity;
	role.preferred = role.is_preferred;
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		role.preferred += ((const struct peer *)value)->capacity >=
		    role.preferred_capacity;
	if (role.preferred < MIN_PREFERRED) {
		role.preferred = role.vms;
		role.preferred_capacity = 0;
		role.is_preferred = true;
	}
	role.quota_members = MIN(role.preferred, WV_PEERS_MAX_HUBS);
	role.is_quota_member = n_stronger < role.quota_members;
	return role;
}

/* Returns the divisor of a limit of which the preferred VMs get a fraction. */
static double
divisor_of(const struct wv_peer_role *role, double preferred)
{
	if (role->preferred == role->vms)
		return role->vms;
	if (role->is_preferred)
		return role->preferred / preferred;
	return (role->vms - role->preferred) / (1 - preferred);
}

double
wv_peers_limit_divisor(const struct wv_peer_role *role)
{
	return divisor_of(role, PREFERRED_QUOTA);
}

double
wv_peers_quota_divisor(const struct wv_peer_role *role)
{
	unsigned members = role->quota_members;

	if (members == role->vms)
		return members;
	return role->is_quota_member
	    ? members / PREFERRED_TEAM_QUOTA
	    : (role->vms - members) / (1 - PREFERRED_TEAM_QUOTA);
}

unsigned
wv_peers_count_live_hubs(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	unsigned n = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += peer_is_alive(value, now) &&
		    !((const struct peer *)value)->is_leaf;
	return n;
}

static bool
is_near(const struct wv_peers *peers, const struct peer *peer)
{
	return wv_string_equal(peers->own_zone, peer->zone);
}

/*
 * Returns a number that orders the peers differently on each VM, so that not
 * all prefer the same one.
 */
static uint64_t
preference(const struct wv_peers *peers, const struct peer *peer)
{
	uint64_t hash =
	    peer->hash ^ (peers->own_hash * UINT64_C(0x9e3779b97f4a7c15));

	return hash * UINT64_C(0xbf58476d1ce4e5b9);
}

bool
peers_is_preferred(const struct wv_peers *peers, const struct peer *a,
    const struct peer *b, bool near_first)
{
	if (near_first && is_near(peers, a) != is_near(peers, b))
		return is_near(peers, a);
	return preference(peers, a) < preference(peers, b);
}

void
wv_peers_record_failed_call(
    struct wv_peers *peers, wv_msec now, struct wv_string address)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (wv_string_equal(peer->address, address))
			peer->call_failed_at = now;
	}
}

/* Returns when a call of a peer failed, or -WV_MSEC_NEVER if not lately. */
static wv_msec
last_failed_call(const struct peer *peer, wv_msec now)
{
	return now - peer->call_failed_at < CALL_FAILURE_PERIOD
	    ? peer->call_failed_at
	    : -WV_MSEC_NEVER;
}

/* Whether data is read from a rather than from b. */
static bool
is_better_source(const struct wv_peers *peers, wv_msec now,
    const struct peer *a, const struct peer *b)
{
	wv_msec a_failed = last_failed_call(a, now);
	wv_msec b_failed = last_failed_call(b, now);

	if (a_failed != b_failed)
		return a_failed < b_failed;
	return peers_is_preferred(peers, a, b, true);
}

/* Whether a VM has a list of the data, to be read by one that has none. */
static bool
has_list(const struct peer *peer, enum wv_peer_data state)
{
	return state == WV_PEER_EVACUATIONS ? peer->has_evacuations
					    : !peer->is_leaf;
}

struct wv_string
wv_peers_find_ahead(const struct wv_peers *peers, wv_msec now,
    enum wv_peer_data state, uint64_t revision)
{
	const struct peer *best = NULL;
	struct wv_string none = {"", 0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		bool ahead = revision == 0 ? has_list(peer, state)
					   : peer->positions[state] > revision;

		if (!ahead || !peer_is_alive(peer, now))
			continue;
		if (best == NULL || is_better_source(peers, now, peer, best))
			best = peer;
	}
	return best == NULL ? none : best->address;
}
