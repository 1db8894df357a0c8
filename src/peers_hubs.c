/**
 * @file
 * Hubs and leaves: which VMs report to each other.
 *
 * Reports from each VM to each other grow with the square of the fleet. So only
 * the strongest VMs, the hubs, report to each other. Every other VM, a leaf, is
 * attached to two hubs, which tell it the hubs that are alive: in full if that
 * set has changed, otherwise by a hash of the set, its view. Each VM computes
 * the hubs from its own table; views may differ for a moment, and a VM answers
 * those that are attached to it even if it is not a hub in its own table.
 */
#include <math.h>

#include "src/peers_private.h"

/** Bounds of the number of hubs. */
#define MIN_HUBS 6
#define MAX_HUBS WV_PEERS_MAX_HUBS
/** Silence after which a VM that was sent a report is no longer a hub, ms. */
#define MAX_UNANSWERED 1000.0

bool
wv_peers_is_hub(const struct wv_peers *peers)
{
	return peers->is_hub;
}

bool
peers_is_presumed_alive(const struct peer *peer, wv_msec now)
{
	/* The silence of a hub shows without a report to it. */
	if (peer->was_hub)
		return peer_is_alive(peer, now);
	return peer->asked_at == WV_MSEC_NEVER ||
	    now - peer->asked_at <= MAX_UNANSWERED;
}

/* Whether a VM may be a hub: alive, or not known to be silent. */
static bool
is_candidate(const struct peer *peer, wv_msec now)
{
	if (peer->address.length == 0)
		return false;
	if (peer_is_alive(peer, now))
		return !peer->leaving;
	return peers_is_presumed_alive(peer, now);
}

/* Compares two VMs by capacity, then by hash; the first hub is less. */
static int
compare_strength(
    double capacity, uint64_t hash, double other_capacity, uint64_t other_hash)
{
	if (capacity != other_capacity)
		return capacity > other_capacity ? -1 : 1;
	if (hash == other_hash)
		return 0;
	return hash < other_hash ? -1 : 1;
}

bool
peers_is_live_hub(const struct peer *peer, wv_msec now)
{
	return !peer->is_leaf && peer_is_alive(peer, now);
}

bool
peers_is_stronger(const struct wv_peers *peers, const struct peer *peer)
{
	return compare_strength(peer->capacity, peer->hash, peers->own_capacity,
		   peers->own_hash) < 0;
}

bool
peers_knows_stronger_hub(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (peers_is_live_hub(value, now) &&
		    peers_is_stronger(peers, value))
			return true;
	}
	return false;
}

/*
 * Compares two candidates. Hubs that are alive come first: any number of the
 * others may have been removed long ago.
 */
static gint
compare_candidates(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct peer *first = *(struct peer *const *)a;
	const struct peer *second = *(struct peer *const *)b;
	wv_msec now = *(const wv_msec *)data;
	bool is_live = peers_is_live_hub(first, now);

	if (is_live != peers_is_live_hub(second, now))
		return is_live ? -1 : 1;
	return compare_strength(
	    first->capacity, first->hash, second->capacity, second->hash);
}

/* Number of hubs among candidates, this VM included. */
static unsigned
count_hubs(const struct wv_peers *peers, const GPtrArray *candidates)
{
	double greatest = peers->own_capacity;
	unsigned strong = 0;

	for (guint i = 0; i < candidates->len; i++)
		greatest = fmax(greatest,
		    ((const struct peer *)candidates->pdata[i])->capacity);
	for (guint i = 0; i < candidates->len; i++)
		strong +=
		    ((const struct peer *)candidates->pdata[i])->capacity >=
		    greatest * PREFERRED_CAPACITY_RATIO;
	strong += peers->own_capacity >= greatest * PREFERRED_CAPACITY_RATIO;
	return CLAMP(strong, MIN_HUBS, MAX_HUBS);
}

static void
collect_candidates(struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(peers->hubs, 0);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_candidate(value, now))
			g_ptr_array_add(peers->hubs, value);
	}
	g_ptr_array_sort_with_data(peers->hubs, compare_candidates, &now);
}

bool
peers_is_attached_to(const struct wv_peers *peers, const struct peer *hub)
{
	for (int i = 0; i < N_ATTACHMENTS; i++) {
		if (peers->attachments[i].hub == hub->hash)
			return true;
	}
	return false;
}

bool
peers_has_hub(const struct wv_peers *peers, uint64_t hash)
{
	for (guint i = 0; i < peers->hubs->len; i++) {
		if (((const struct peer *)peers->hubs->pdata[i])->hash == hash)
			return true;
	}
	return false;
}

size_t
wv_peers_list_live_hubs(const struct wv_peers *peers, wv_msec now,
    uint64_t hashes[static WV_PEERS_MAX_HUBS])
{
	size_t n = 0;

	if (peers->is_hub)
		hashes[n++] = peers->own_hash;
	for (guint i = 0; i < peers->hubs->len && n < WV_PEERS_MAX_HUBS; i++) {
		const struct peer *hub = peers->hubs->pdata[i];

		if (peer_is_alive(hub, now))
			hashes[n++] = hub->hash;
	}
	return n;
}

struct wv_string
wv_peers_find_hub(const struct wv_peers *peers, uint64_t hash)
{
	for (guint i = 0; i < peers->hubs->len; i++) {
		const struct peer *hub = peers->hubs->pdata[i];

		if (hub->hash == hash)
			return hub->address;
	}
	return (struct wv_string){"", 0};
}

/* Whether this VM rather attaches to a than to b. */
static bool
is_better_hub(const struct wv_peers *peers, wv_msec now, const struct peer *a,
    const struct peer *b, bool near_first)
{
	bool is_live = peers_is_live_hub(a, now);

	if (!near_first && is_live != peers_is_live_hub(b, now))
		return is_live;
	return peers_is_preferred(peers, a, b, near_first);
}

/*
 * Returns the best hub that this VM is not attached to, or NULL. Only the first
 * attachment prefers hubs that are near: the hubs of a zone may be few, and may
 * be lost together. Only the second one prefers hubs that are known to be
 * alive: the near ones may not have been heard yet.
 */
static const struct peer *
find_attachment(const struct wv_peers *peers, wv_msec now, bool near_first)
{
	const struct peer *best = NULL;

	for (guint i = 0; i < peers->hubs->len; i++) {
		const struct peer *hub = peers->hubs->pdata[i];

		if (!peers_is_attached_to(peers, hub) &&
		    (best == NULL ||
			is_better_hub(peers, now, hub, best, near_first)))
			best = hub;
	}
	return best;
}

/* Replaces attachments to VMs that are no longer hubs. */
static void
update_attachments(struct wv_peers *peers, wv_msec now)
{
	for (int i = 0; i < N_ATTACHMENTS; i++) {
		struct attachment *attachment = &peers->attachments[i];
		const struct peer *hub;

		if (attachment->hub != 0 && !peers->is_hub &&
		    peers_has_hub(peers, attachment->hub))
			continue;
		*attachment = (struct attachment){0};
		hub =
		    peers->is_hub ? NULL : find_attachment(peers, now, i == 0);
		if (hub == NULL)
			continue;
		attachment->hub = hub->hash;
		peers->report_due = true;
	}
}

void
peers_update_hubs(struct wv_peers *peers, wv_msec now)
{
	unsigned stronger = 0;
	unsigned n;

	collect_candidates(peers, now);
	n = count_hubs(peers, peers->hubs);
	for (guint i = 0; i < peers->hubs->len; i++)
		stronger += peers_is_stronger(peers, peers->hubs->pdata[i]);
	peers->is_hub = stronger < n;
	if (peers->is_hub)
		n--;
	g_ptr_array_set_size(peers->hubs, (gint)MIN(n, peers->hubs->len));
	update_attachments(peers, now);
}

bool
wv_peers_has_near_source(const struct wv_peers *peers, wv_msec now)
{
	for (guint i = 0; i < peers->hubs->len; i++) {
		const struct peer *hub = peers->hubs->pdata[i];

		/* Only its own reports tell which changes it has. */
		if (peer_is_alive(hub, now) &&
		    now - hub->heard_at <= hub->max_silence &&
		    wv_string_equal(hub->zone, peers->own_zone) &&
		    (!peers->is_hub || peers_is_stronger(peers, hub)))
			return true;
	}
	return false;
}
