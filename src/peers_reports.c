/**
 * @file
 * Plans a VM's reports: whom it reports to in each round, and what it tells.
 */
#include <string.h>

#include "src/peers_private.h"

/** Interval between rounds of reports, ms. */
#define HUB_INTERVAL 250.0
#define LEAF_INTERVAL 500.0
/** A leaf reports in one of this many rounds if nothing has changed. */
#define LEAF_ROUNDS 2
/** A hub reports its unchanged view to leaves in one of this many rounds. */
#define ATTACHED_ROUNDS 4
/** A silent VM that was heard before is sent one report in this many rounds. */
#define SILENT_PEER_ROUNDS 4
/** Time after its last report for which a VM counts as attached, ms. */
#define ATTACHED_TIME 4000.0
/** Introductions per round until each VM had one, and afterwards. */
#define FIRST_INTRODUCTIONS 8
#define INTRODUCTIONS 1
/**
 * Rounds without a stronger hub after which a VM asks VMs that it never heard
 * of, and how many it asks in the first such round; the number doubles.
 */
#define SEARCH_DELAY 2
#define MIN_SEARCH 4
/** Number of times that it doubles: a round's reports are a burst. */
#define MAX_SEARCH_DOUBLINGS 7
/**
 * Other VMs that must be alive for this one to remove entries of silent ones: a
 * VM that hears nobody may be the one that is cut off.
 */
#define MIN_HEARD 2
/** Shortest time between two lists of all hubs to the same hub, ms. */
#define HUB_LIST_INTERVAL 1000.0

static bool
is_searching(const struct wv_peers *peers)
{
	return peers->rounds_without_hub > SEARCH_DELAY;
}

wv_msec
wv_peers_report_interval(const struct wv_peers *peers)
{
	return peers->is_hub || is_searching(peers) ? HUB_INTERVAL
						    : LEAF_INTERVAL;
}

/* Whether a VM is a hub that this VM itself hears. */
static bool
is_heard_hub(const struct peer *peer, wv_msec now)
{
	return !peer->is_leaf && peer_is_alive(peer, now) &&
	    peer->heard_at == peer->last_seen;
}

/* Hash of a VM's state as far as other VMs must learn of changes at once. */
static uint64_t
state_hash(uint64_t hash, uint64_t incarnation, bool serving, bool leaving,
    bool store_failed)
{
	uint64_t flags = (serving ? 1u : 0u) | (leaving ? 2u : 0u) |
	    (store_failed ? 4u : 0u);

	hash ^= (incarnation * 8 + flags) * UINT64_C(0x9e3779b97f4a7c15);
	return (hash ^ (hash >> 29)) * UINT64_C(0xbf58476d1ce4e5b9);
}

uint64_t
wv_peers_view(
    const struct wv_peers *peers, wv_msec now, const struct wv_peer_report *own)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t view = 0;

	if (peers->is_hub)
		view = state_hash(peers->own_hash, own->incarnation,
		    own->serving, own->leaving, own->store_failed);
	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		if (is_heard_hub(peer, now))
			view ^= state_hash(peer->hash, peer->incarnation,
			    peer->serving, peer->leaving, peer->store_failed);
	}
	/* 0 stands for a view that was not received. */
	return view == 0 ? 1 : view;
}

void
wv_peers_foreach_heard_hub(const struct wv_peers *peers, wv_msec now,
    void (*visit)(void *data, const struct wv_peer_report *report), void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;
		struct wv_peer_report report = {
		    .name = peer->name,
		    .incarnation = peer->incarnation,
		    .sequence = peer->sequence,
		    .peer_address = peer->address,
		    .caller_address = peer->caller_address,
		    .zone = peer->zone,
		    .serving = peer->serving,
		    .leaving = peer->leaving,
		    .capacity = peer->capacity,
		    .store_failed = peer->store_failed,
		};

		if (is_heard_hub(peer, now))
			visit(data, &report);
	}
}

static struct wv_peer_target *
add_target(GArray *targets, wv_msec now, struct peer *peer)
{
	struct wv_peer_target target = {.address = peer->address.data};

	if (!peer->is_leaf && peer->has_report) {
		target.hub = peer->hash;
		target.echo_incarnation = peer->incarnation;
		target.echo_sequence = peer->sequence;
	}
	if (peer->asked_at == WV_MSEC_NEVER)
		peer->asked_at = now;
	g_array_append_val(targets, target);
	return &g_array_index(targets, struct wv_peer_target, targets->len - 1);
}

/*
 * Whether an attached VM that has another view is due for a list of the hubs:
 * at once if it was not sent this view yet, otherwise again after a while.
 */
static bool
must_list_hubs(const struct peer *peer, wv_msec now, uint64_t view)
{
	return peer->known_view != view &&
	    (peer->view_sent != view ||
		now - peer->hubs_sent_at >= HUB_LIST_INTERVAL);
}

static void
add_target_with_hubs(
    GArray *targets, wv_msec now, struct peer *peer, uint64_t view)
{
	peer->hubs_sent_at = now;
	peer->view_sent = view;
	add_target(targets, now, peer)->with_hubs = true;
}

/* Adds the other hubs, as one of them. */
static void
add_hubs(struct wv_peers *peers, wv_msec now, uint64_t view, GArray *targets)
{
	for (guint i = 0; i < peers->hubs->len; i++) {
		struct peer *hub = peers->hubs->pdata[i];

		/* Views of hubs differ for a moment after each change. */
		if (peer_is_alive(hub, now) && hub->view != view &&
		    now - hub->hubs_sent_at >= HUB_LIST_INTERVAL)
			add_target_with_hubs(targets, now, hub, view);
		else
			add_target(targets, now, hub);
	}
}

/* Adds the hubs that this leaf is attached to. */
static void
add_attachments(struct wv_peers *peers, wv_msec now, GArray *targets)
{
	if (!peers->report_due && peers->rounds % LEAF_ROUNDS != 0)
		return;
	peers->report_due = false;
	for (guint i = 0; i < peers->hubs->len; i++) {
		struct peer *hub = peers->hubs->pdata[i];

		for (int j = 0; j < N_ATTACHMENTS; j++) {
			struct wv_peer_target *target;

			if (peers->attachments[j].hub != hub->hash)
				continue;
			target = add_target(targets, now, hub);
			target->attach = true;
			target->known_view = peers->attachments[j].view;
		}
	}
}

static bool
is_attached(const struct peer *peer, wv_msec now)
{
	return now - peer->attached_at <= ATTACHED_TIME;
}

/* Whether the hub branch or the leaf branch has added the peer already. */
static bool
is_partner(const struct wv_peers *peers, const struct peer *peer)
{
	return peers->is_hub ? peers_has_hub(peers, peer->hash)
			     : peers_is_attached_to(peers, peer);
}

/*
 * Whether a VM takes itself for a hub although this hub knows enough stronger
 * ones, and is due to be told of them.
 */
static bool
must_learn_hubs(
    const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return peers->is_hub && !peer->is_leaf && peer_is_alive(peer, now) &&
	    now - peer->hubs_sent_at >= HUB_LIST_INTERVAL;
}

/* Whether a VM was a hub, or attached to this VM, when it was last heard. */
static bool
was_partner(const struct peer *peer)
{
	return peer->was_hub ||
	    (peer->attached_at > -WV_MSEC_NEVER && peer->known_view != 0);
}

/* Whether a VM has not been sent these positions; notes that it is now. */
static bool
update_positions_sent(struct peer *peer, const struct wv_peer_report *own)
{
	bool changed = memcmp(peer->positions_sent, own->positions,
			   sizeof(own->positions)) != 0;

	memcpy(peer->positions_sent, own->positions, sizeof(own->positions));
	return changed;
}

/*
 * Adds VMs that are attached to this one, such that are wrong about the hubs,
 * and silent ones at times.
 */
static void
add_others(struct wv_peers *peers, wv_msec now,
    const struct wv_peer_report *own, GArray *targets)
{
	bool include_silent =
	    peers->is_hub && peers->rounds % SILENT_PEER_ROUNDS == 0;
	bool include_unchanged = peers->rounds % ATTACHED_ROUNDS == 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->address.length == 0 || is_partner(peers, peer))
			continue;
		if (is_attached(peer, now)) {
			bool is_news = update_positions_sent(peer, own);

			if (must_list_hubs(peer, now, own->view))
				add_target_with_hubs(
				    targets, now, peer, own->view);
			else if (is_news || include_unchanged)
				add_target(targets, now, peer);
		} else if (must_learn_hubs(peers, peer, now)) {
			add_target_with_hubs(targets, now, peer, own->view);
		} else if (include_silent && was_partner(peer) &&
		    !peer_is_alive(peer, now)) {
			add_target(targets, now, peer);
		}
	}
}

static bool
is_introduced(
    const struct wv_peers *peers, const struct peer *peer, wv_msec now)
{
	return peer->address.length > 0 && !is_partner(peers, peer) &&
	    !is_attached(peer, now);
}

/*
 * Adds the next ones, in turn, of the VMs that this hub does not report to
 * otherwise. A VM that nobody reports to, for instance since it restarted
 * during an outage of the store, learns of the fleet that way, and all learn of
 * a hub that has just started.
 */
static void
add_introductions(struct wv_peers *peers, wv_msec now, GArray *targets)
{
	guint size = g_hash_table_size(peers->table);
	bool first = peers->introduced < size;
	guint n = first ? FIRST_INTRODUCTIONS : INTRODUCTIONS;
	GHashTableIter iter;
	gpointer value;

	if (!peers->is_hub || size <= peers->hubs->len)
		return;
	g_hash_table_iter_init(&iter, peers->table);
	for (guint i = 0; g_hash_table_iter_next(&iter, NULL, &value); i++) {
		struct peer *peer = value;

		if ((i + size - peers->introduced % size) % size < n &&
		    is_introduced(peers, peer, now))
			add_target(targets, now, peer)->introduces = true;
	}
	peers->introduced += n;
}

/*
 * Asks VMs that were never heard of, as long as no stronger hub is alive. Of
 * the listed VMs any number may have been removed long ago. So a VM either
 * finds a stronger hub or comes to know that it is the strongest one itself, a
 * hub that watches the store, within seconds however many they are.
 */
static void
add_search(struct wv_peers *peers, wv_msec now, GArray *targets)
{
	GHashTableIter iter;
	gpointer value;
	unsigned most, left;

	peers->rounds_without_hub = peers_knows_stronger_hub(peers, now)
	    ? 0
	    : peers->rounds_without_hub + 1;
	if (!is_searching(peers))
		return;
	most = MIN_SEARCH << MIN(peers->rounds_without_hub - SEARCH_DELAY - 1,
		   MAX_SEARCH_DOUBLINGS);
	left = most;
	g_hash_table_iter_init(&iter, peers->table);
	while (left > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (peer->address.length == 0 || peer_is_alive(peer, now) ||
		    peer->asked_at != WV_MSEC_NEVER ||
		    !peers_is_stronger(peers, peer))
			continue;
		add_target(targets, now, peer)->introduces = true;
		left--;
	}
	/* All were asked, or none is listed yet: begin anew with a few. */
	if (left == most)
		peers->rounds_without_hub = SEARCH_DELAY;
}

/*
 * Whether this VM may remove entries of others from the store: it is the
 * strongest hub and hears others, so it is not itself cut off from all.
 */
static bool
may_remove_entries(const struct wv_peers *peers, wv_msec now)
{
	GHashTableIter iter;
	unsigned heard = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		heard += peer_is_alive(value, now);
	return peers->is_hub && heard >= MIN_HEARD &&
	    !peers_knows_stronger_hub(peers, now);
}

/* Adds VMs that were forgotten and whose entries may have to be removed. */
static void
add_forgotten(struct wv_peers *peers, wv_msec now, GArray *targets)
{
	GPtrArray *addresses = g_ptr_array_new();

	wv_removal_set_permitted(
	    peers->removal, now, may_remove_entries(peers, now));
	wv_removal_collect_questions(peers->removal, now, addresses);
	for (guint i = 0; i < addresses->len; i++) {
		struct wv_peer_target target = {
		    .address = addresses->pdata[i], .introduces = true};

		g_array_append_val(targets, target);
	}
	g_ptr_array_unref(addresses);
}

struct wv_peer_target
wv_peers_answer_introduction(
    const struct wv_peers *peers, const struct wv_peer_report *hub)
{
	struct wv_peer_target target = {
	    .address = hub->peer_address.data, .attach = true};

	for (int i = 0; i < N_ATTACHMENTS; i++) {
		if (peers->attachments[i].view == hub->view)
			target.attach = false;
	}
	return target;
}

void
wv_peers_plan_reports(struct wv_peers *peers, wv_msec now,
    const struct wv_peer_report *own, GArray *targets)
{
	g_array_set_size(targets, 0);
	if (peers->is_hub)
		add_hubs(peers, now, own->view, targets);
	else
		add_attachments(peers, now, targets);
	add_others(peers, now, own, targets);
	add_introductions(peers, now, targets);
	add_search(peers, now, targets);
	add_forgotten(peers, now, targets);
	peers->rounds++;
}
