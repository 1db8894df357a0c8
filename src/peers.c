/**
 * @file
 * The table of other VMs.
 */
#include "src/private.h"
#include "wisteriavane/peers.h"

/** Silence after which a VM is no longer named to callers, ms. */
#define ALIVE_FOR 1000.0
/**
 * Silence after which a VM is forgotten, ms. Until then it counts: it may be
 * cut off from here and still use its part of what is divided.
 */
#define KEPT_FOR 120000.0
/** Every which round a silent VM gets a report. */
#define SILENT_EVERY 4

struct peer {
	struct wv_string name; /* owned */
	struct wv_string address; /* owned */
	struct wv_string callers; /* owned */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t routes_version;
	double capacity;
	bool serving;
	bool leaving;
	bool heard;
	wv_msec heard_at; /* or introduced at */
};

struct wv_peers {
	struct wv_string own_name; /* owned */
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
wv_peers_create(struct wv_string own_name)
{
	struct wv_peers *peers = g_new0(struct wv_peers, 1);

	peers->own_name = wv_string_copy(own_name);
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
    struct wv_string address)
{
	struct peer *peer;

	if (wv_string_equal(name, peers->own_name))
		return;
	peer = find_or_add(peers, now, name);
	if (!peer->heard || now - peer->heard_at > ALIVE_FOR)
		replace(&peer->address, address);
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
	if (peer->heard && is_old(peer, report) &&
	    now - peer->heard_at < ALIVE_FOR)
		return;
	replace(&peer->address, report->peers);
	replace(&peer->callers, report->callers);
	peer->incarnation = report->incarnation;
	peer->sequence = report->sequence;
	peer->routes_version = report->routes_version;
	peer->capacity = report->capacity;
	peer->serving = report->serving;
	peer->leaving = report->leaving;
	peer->heard = true;
	peer->heard_at = now;
}

static bool
is_alive(const struct peer *peer, wv_msec now)
{
	return peer->heard && now - peer->heard_at <= ALIVE_FOR;
}

void
wv_peers_addresses(
    const struct wv_peers *peers, wv_msec now, GPtrArray *addresses)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (is_alive(peer, now) && peer->serving && !peer->leaving)
			g_ptr_array_add(addresses, peer->callers.data);
	}
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
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

		if (peer->address.length > 0 && (all || is_alive(peer, now)))
			g_ptr_array_add(targets, peer->address.data);
	}
}

unsigned
wv_peers_count(const struct wv_peers *peers)
{
	return g_hash_table_size(peers->table);
}

unsigned
wv_peers_alive(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	unsigned n = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += is_alive(value, now);
	return n;
}

uint64_t
wv_peers_routes_version(const struct wv_peers *peers)
{
	GHashTableIter iter;
	uint64_t newest = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		newest =
		    MAX(newest, ((const struct peer *)value)->routes_version);
	return newest;
}
