/**
 * @file
 * Table of other VMs and the roles derived from it.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/peers.h"

/** Interval between reports with up to 64 VMs, ms. */
#define REPORT_INTERVAL 250.0
/** Number of VMs above which the interval grows in proportion. */
#define MAX_VMS_AT_MIN_INTERVAL 64
/** Report intervals of silence after which a VM is not considered alive. */
#define MAX_MISSED_REPORTS 4
/**
 * Silence after which a VM is forgotten, ms. Until then it counts in divisors:
 * it may only be unreachable from this VM and still use its fraction of the
 * limits.
 */
#define PEER_RETENTION 120000.0
/** A silent VM is sent one report in this number of rounds. */
#define SILENT_PEER_ROUNDS 4
/** Minimum capacity of preferred VMs, as a fraction of the greatest one. */
#define PREFERRED_CAPACITY_RATIO 0.6
/** With fewer VMs of that capacity than this, all VMs are preferred. */
#define MIN_PREFERRED 3
/** Fraction of divided limits that the preferred VMs get together. */
#define PREFERRED_QUOTA 0.7
/** VMs that watch the store; the others receive changes from them. */
#define MAX_WATCHERS 3

struct peer {
	struct wv_string name; /* owned */
	struct wv_string address; /* owned */
	struct wv_string caller_address; /* owned */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t revisions[WV_PEER_DATA_COUNT];
	double capacity;
	bool serving;
	bool leaving;
	bool store_failed;
	bool has_report; /* a report was received */
	wv_msec last_seen; /* time of the last report, or when it was added */
};

struct wv_peers {
	struct wv_string own_name; /* owned */
	double own_capacity;
	GHashTable *table; /* by name; owned */
	uint64_t rounds; /* rounds of reports sent */
};

static void
peer_destroy(gpointer data)
{
	struct peer *peer = data;

	wv_string_clear(&peer->name);
	wv_string_clear(&peer->address);
	wv_string_clear(&peer->caller_address);
	g_free(peer);
}

struct wv_peers *
wv_peers_create(struct wv_string own_name, double capacity)
{
	struct wv_peers *peers = g_new0(struct wv_peers, 1);

	peers->own_name = wv_string_copy(own_name);
	peers->own_capacity = capacity;
	peers->table = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, peer_destroy);
	return peers;
}

void
wv_peers_destroy(struct wv_peers *peers)
{
	g_hash_table_unref(peers->table);
	wv_string_clear(&peers->own_name);
	g_free(peers);
}

wv_msec
wv_peers_report_interval(const struct wv_peers *peers)
{
	unsigned vms = g_hash_table_size(peers->table) + 1;

	return REPORT_INTERVAL * fmax(1, (double)vms / MAX_VMS_AT_MIN_INTERVAL);
}

static bool
is_alive(const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return peer->has_report &&
	    now - peer->last_seen <=
	    MAX_MISSED_REPORTS * wv_peers_report_interval(peers);
}

static void
replace_string(struct wv_string *string, struct wv_string value)
{
	if (wv_string_equal(*string, value))
		return;
	wv_string_clear(string);
	*string = wv_string_copy(value);
}

static struct peer *
find_or_add(struct wv_peers *peers, wv_msec now, struct wv_string name)
{
	struct peer *peer = g_hash_table_lookup(peers->table, &name);

	if (peer != NULL)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->name = wv_string_copy(name);
	peer->last_seen = now;
	g_hash_table_insert(peers->table, &peer->name, peer);
	return peer;
}

void
wv_peers_set_address(struct wv_peers *peers, wv_msec now, struct wv_string name,
    struct wv_string address, double capacity)
{
	struct peer *peer;

	if (wv_string_equal(name, peers->own_name))
		return;
	peer = find_or_add(peers, now, name);
	if (is_alive(peers, peer, now))
		return;
	replace_string(&peer->address, address);
	peer->capacity = capacity;
}

/* Whether a report is not newer than the last one applied. */
static bool
is_stale(const struct peer *peer, const struct wv_peer_report *report)
{
	if (report->incarnation != peer->incarnation)
		return report->incarnation < peer->incarnation;
	return report->sequence <= peer->sequence;
}

void
wv_peers_apply_report(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report)
{
	struct peer *peer;

	if (wv_string_equal(report->name, peers->own_name))
		return;
	peer = find_or_add(peers, now, report->name);
	/* A new process looks older if the clock of its VM was set back. */
	if (is_stale(peer, report) && is_alive(peers, peer, now))
		return;
	replace_string(&peer->address, report->peer_address);
	replace_string(&peer->caller_address, report->caller_address);
	peer->incarnation = report->incarnation;
	peer->sequence = report->sequence;
	peer->capacity = report->capacity;
	peer->serving = report->serving;
	peer->leaving = report->leaving;
	peer->store_failed = report->store_failed;
	for (int i = 0; i < WV_PEER_DATA_COUNT; i++)
		peer->revisions[i] = report->revisions[i];
	peer->has_report = true;
	peer->last_seen = now;
}

static bool
is_serving(const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return is_alive(peers, peer, now) && peer->serving && !peer->leaving;
}

/*
 * Replaces the addresses by those of the serving VMs with at least the
 * given capacity; returns their number.
 */
static unsigned
add_with_capacity(const struct wv_peers *peers, wv_msec now,
    double min_capacity, struct wv_string own, GPtrArray *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(addresses, 0);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (is_serving(peers, peer, now) &&
		    peer->capacity >= min_capacity)
			g_ptr_array_add(addresses, peer->caller_address.data);
	}
	if (own.length > 0 && peers->own_capacity >= min_capacity)
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
		if (is_serving(peers, value, now))
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

	if (add_with_capacity(peers, now, min_capacity, own, addresses) <
	    MIN_PREFERRED)
		add_with_capacity(peers, now, 0, own, addresses);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(const wv_msec *)data - ((struct peer *)value)->last_seen >
	    PEER_RETENTION;
}

void
wv_peers_list_report_addresses(
    struct wv_peers *peers, wv_msec now, GPtrArray *targets)
{
	bool include_silent = peers->rounds++ % SILENT_PEER_ROUNDS == 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(peers->table, is_expired, &now);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->address.length > 0 &&
		    (include_silent || is_alive(peers, peer, now)))
			g_ptr_array_add(targets, peer->address.data);
	}
}

/* Whether a peer precedes this VM in the order in which watchers are chosen. */
static bool
precedes_as_watcher(
    const struct wv_peers *peers, const struct peer *peer, bool store_failed)
{
	uint64_t own = wv_string_hash(peers->own_name);

	if (peer->store_failed != store_failed)
		return store_failed;
	if (peer->capacity != peers->own_capacity)
		return peer->capacity > peers->own_capacity;
	return wv_string_hash(peer->name) < own;
}

struct wv_peer_role
wv_peers_get_role(const struct wv_peers *peers, wv_msec now, bool store_failed)
{
	struct wv_peer_role role = {.vms = 1};
	double greatest = peers->own_capacity;
	unsigned n_preceding = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		role.vms++;
		greatest = fmax(greatest, peer->capacity);
		n_preceding += is_serving(peers, peer, now) &&
		    precedes_as_watcher(peers, peer, store_failed);
	}
	role.is_watcher = n_preceding < MAX_WATCHERS;
	role.is_preferred =
	    peers->own_capacity >= greatest * PREFERRED_CAPACITY_RATIO;
	role.preferred = role.is_preferred;
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		role.preferred += ((const struct peer *)value)->capacity >=
		    greatest * PREFERRED_CAPACITY_RATIO;
	if (role.preferred < MIN_PREFERRED) {
		role.preferred = role.vms;
		role.is_preferred = true;
	}
	return role;
}

double
wv_peers_limit_divisor(const struct wv_peer_role *role)
{
	if (role->preferred == role->vms)
		return role->vms;
	if (role->is_preferred)
		return role->preferred / PREFERRED_QUOTA;
	return (role->vms - role->preferred) / (1 - PREFERRED_QUOTA);
}

unsigned
wv_peers_count_alive(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	unsigned n = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += is_alive(peers, value, now);
	return n;
}

/*
 * Order in which this VM queries its peers; it differs by VM, so that not all
 * query the same one. The lowest value is first.
 */
static uint64_t
query_order(const struct wv_peers *peers, const struct peer *peer)
{
	uint64_t hash = wv_string_hash(peer->name) ^
	    (wv_string_hash(peers->own_name) * UINT64_C(0x9e3779b97f4a7c15));

	return hash * UINT64_C(0xbf58476d1ce4e5b9);
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

		bool ahead = revision == 0 ? is_serving(peers, peer, now)
					   : peer->revisions[state] > revision;

		if (!ahead || !is_alive(peers, peer, now))
			continue;
		if (best == NULL ||
		    query_order(peers, peer) < query_order(peers, best))
			best = peer;
	}
	return best == NULL ? none : best->address;
}
