/**
 * @file
 * The table of other VMs.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/peers.h"

/** Time between two reports in a small fleet, ms. */
#define INTERVAL 250.0
/** VMs above which the time between reports grows with their number. */
#define INTERVAL_VMS 64
/** Reports that may be missing before a VM is no longer named to callers. */
#define ALIVE_INTERVALS 4
/**
 * Silence after which a VM is forgotten, ms. Until then it counts: it may be
 * cut off from here and still use its part of what is divided.
 */
#define KEPT_FOR 120000.0
/** Every which round a silent VM gets a report. */
#define SILENT_EVERY 4
/** Callers are sent to VMs with this part of the greatest capacity. */
#define PREFERRED_PART 0.6
/** Fewer strong VMs than this are not enough; then all are named. */
#define PREFERRED_LEAST 3
/** Part of what is divided for the VMs that callers are sent to. */
#define PREFERRED_SHARE 0.7
/** VMs that follow the store; the others hear of changes from them. */
#define WATCHERS 3

struct peer {
	struct wv_string name; /* owned */
	struct wv_string address; /* owned */
	struct wv_string callers; /* owned */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t revisions[WV_PEER_STATES];
	double capacity;
	bool serving;
	bool leaving;
	bool store_failed;
	bool heard;
	wv_msec heard_at; /* or introduced at */
};

struct wv_peers {
	struct wv_string own_name; /* owned */
	double own_capacity;
	GHashTable *table; /* by name; owned */
	uint64_t rounds;
};

static void
peer_destroy(gpointer data)
{
	struct peer *peer = data;

	wv_string_clear(&peer->name);
	wv_string_clear(&peer->address);
	wv_string_clear(&peer->callers);
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
wv_peers_interval(const struct wv_peers *peers)
{
	unsigned vms = g_hash_table_size(peers->table) + 1;

	return INTERVAL * fmax(1, (double)vms / INTERVAL_VMS);
}

static bool
is_alive(const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return peer->heard &&
	    now - peer->heard_at <= ALIVE_INTERVALS * wv_peers_interval(peers);
}

static void
replace(struct wv_string *string, struct wv_string value)
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
	peer->heard_at = now;
	g_hash_table_insert(peers->table, &peer->name, peer);
	return peer;
}

void
wv_peers_introduce(struct wv_peers *peers, wv_msec now, struct wv_string name,
    struct wv_string address, double capacity)
{
	struct peer *peer;

	if (wv_string_equal(name, peers->own_name))
		return;
	peer = find_or_add(peers, now, name);
	if (is_alive(peers, peer, now))
		return;
	replace(&peer->address, address);
	peer->capacity = capacity;
}

/* Whether a report is older than what is known. */
static bool
is_old(const struct peer *peer, const struct wv_peer_report *report)
{
	if (report->incarnation != peer->incarnation)
		return report->incarnation < peer->incarnation;
	return report->sequence <= peer->sequence;
}

void
wv_peers_heard(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report)
{
	struct peer *peer;

	if (wv_string_equal(report->name, peers->own_name))
		return;
	peer = find_or_add(peers, now, report->name);
	/* A clock that was set back may make a new process look older. */
	if (is_old(peer, report) && is_alive(peers, peer, now))
		return;
	replace(&peer->address, report->peers);
	replace(&peer->callers, report->callers);
	peer->incarnation = report->incarnation;
	peer->sequence = report->sequence;
	peer->capacity = report->capacity;
	peer->serving = report->serving;
	peer->leaving = report->leaving;
	peer->store_failed = report->store_failed;
	for (int i = 0; i < WV_PEER_STATES; i++)
		peer->revisions[i] = report->revisions[i];
	peer->heard = true;
	peer->heard_at = now;
}

static bool
is_serving(const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return is_alive(peers, peer, now) && peer->serving && !peer->leaving;
}

/* Adds those with at least a capacity; returns how many there are. */
static unsigned
add_strong(const struct wv_peers *peers, wv_msec now, double least,
    struct wv_string own, GPtrArray *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(addresses, 0);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (is_serving(peers, peer, now) && peer->capacity >= least)
			g_ptr_array_add(addresses, peer->callers.data);
	}
	if (own.length > 0 && peers->own_capacity >= least)
		g_ptr_array_add(addresses, own.data);
	return addresses->len;
}

/* The greatest capacity of VMs that may be named. */
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
wv_peers_addresses(const struct wv_peers *peers, wv_msec now,
    struct wv_string own, GPtrArray *addresses)
{
	double least = greatest_capacity(peers, now, own) * PREFERRED_PART;

	if (add_strong(peers, now, least, own, addresses) < PREFERRED_LEAST)
		add_strong(peers, now, 0, own, addresses);
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(const wv_msec *)data - ((struct peer *)value)->heard_at >
	    KEPT_FOR;
}

void
wv_peers_targets(struct wv_peers *peers, wv_msec now, GPtrArray *targets)
{
	bool all = peers->rounds++ % SILENT_EVERY == 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_foreach_remove(peers->table, is_forgotten, &now);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (peer->address.length > 0 &&
		    (all || is_alive(peers, peer, now)))
			g_ptr_array_add(targets, peer->address.data);
	}
}

/* Whether a peer comes before this VM in the order of watchers. */
static bool
watches_before(
    const struct wv_peers *peers, const struct peer *peer, bool store_failed)
{
	uint64_t own = wv_string_hash(peers->own_name);

	if (peer->store_failed != store_failed)
		return store_failed;
	if (peer->capacity != peers->own_capacity)
		return peer->capacity > peers->own_capacity;
	return wv_string_hash(peer->name) < own;
}

struct wv_peer_standing
wv_peers_standing(const struct wv_peers *peers, wv_msec now, bool store_failed)
{
	struct wv_peer_standing standing = {.vms = 1};
	double greatest = peers->own_capacity;
	unsigned before = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		standing.vms++;
		greatest = fmax(greatest, peer->capacity);
		before += is_serving(peers, peer, now) &&
		    watches_before(peers, peer, store_failed);
	}
	standing.is_watcher = before < WATCHERS;
	standing.is_preferred =
	    peers->own_capacity >= greatest * PREFERRED_PART;
	standing.preferred = standing.is_preferred;
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		standing.preferred += ((const struct peer *)value)->capacity >=
		    greatest * PREFERRED_PART;
	if (standing.preferred < PREFERRED_LEAST) {
		standing.preferred = standing.vms;
		standing.is_preferred = true;
	}
	return standing;
}

double
wv_peers_divisor(const struct wv_peer_standing *standing)
{
	if (standing->preferred == standing->vms)
		return standing->vms;
	if (standing->is_preferred)
		return standing->preferred / PREFERRED_SHARE;
	return (standing->vms - standing->preferred) / (1 - PREFERRED_SHARE);
}

unsigned
wv_peers_alive(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	unsigned n = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += is_alive(peers, value, now);
	return n;
}

/* Each VM prefers other peers, so that not all ask the same one. */
static uint64_t
preference(const struct wv_peers *peers, const struct peer *peer)
{
	uint64_t mixed = wv_string_hash(peer->name) ^
	    (wv_string_hash(peers->own_name) * UINT64_C(0x9e3779b97f4a7c15));

	return mixed * UINT64_C(0xbf58476d1ce4e5b9);
}

struct wv_string
wv_peers_ahead(const struct wv_peers *peers, wv_msec now,
    enum wv_peer_state state, uint64_t revision)
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
		    preference(peers, peer) < preference(peers, best))
			best = peer;
	}
	return best == NULL ? none : best->address;
}
