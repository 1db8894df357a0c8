/**
 * @file
 * Lane leases: the grants that this VM gives, and the grants that it has
 * received for its own claims.
 */
#include "src/private.h"

/* A grant of one lane to one process of a VM. Strings are owned. */
struct grant {
	struct wv_string lane;
	struct wv_string holder;
	uint64_t incarnation;
	wv_msec expires; /* on this VM's clock */
};

/* The latest heartbeat accepted from a peer. The name is owned. */
struct sender {
	struct wv_string name;
	uint64_t incarnation;
	uint64_t sequence;
};

struct wv_granter {
	GHashTable *grants; /* struct grant, keyed by its lane */
	GHashTable *senders; /* struct sender, keyed by its name */
	wv_msec grants_from; /* every claim is refused before this time */
	wv_msec next_removal; /* time of the next removal of expired grants */
};

/* The latest grant received from one VM. The name is owned. */
struct vote {
	struct wv_string voter;
	wv_msec sent_at; /* when the granted heartbeat was sent */
};

struct wv_lease {
	struct wv_string lane; /* owned */
	GHashTable *votes; /* struct vote, keyed by its voter */
	wv_msec ignored_until; /* ignore grants of heartbeats sent until then */
};

static void
grant_destroy(void *data)
{
	struct grant *grant = data;

	wv_string_clear(&grant->lane);
	wv_string_clear(&grant->holder);
	g_free(grant);
}

static void
sender_destroy(void *data)
{
	struct sender *sender = data;

	wv_string_clear(&sender->name);
	g_free(sender);
}

static void
vote_destroy(void *data)
{
	struct vote *vote = data;

	wv_string_clear(&vote->voter);
	g_free(vote);
}

struct wv_granter *
wv_granter_create(wv_msec now)
{
	struct wv_granter *granter = g_new0(struct wv_granter, 1);

	granter->grants = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, grant_destroy);
	granter->senders = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, sender_destroy);
	granter->grants_from = now + WV_LEASE_TIME + WV_LEASE_MARGIN;
	granter->next_removal = granter->grants_from;
	return granter;
}

void
wv_granter_destroy(struct wv_granter *granter)
{
	if (granter == NULL)
		return;
	g_hash_table_destroy(granter->grants);
	g_hash_table_destroy(granter->senders);
	g_free(granter);
}

bool
wv_granter_accept_heartbeat(
    struct wv_granter *granter, struct wv_vm_id sender, uint64_t sequence)
{
	struct sender *latest =
	    g_hash_table_lookup(granter->senders, &sender.name);

	if (latest == NULL) {
		latest = g_new0(struct sender, 1);
		latest->name = wv_string_copy(sender.name);
		g_hash_table_insert(granter->senders, &latest->name, latest);
	} else if (sender.incarnation < latest->incarnation ||
	    (sender.incarnation == latest->incarnation &&
		sequence <= latest->sequence)) {
		return false;
	}
	latest->incarnation = sender.incarnation;
	latest->sequence = sequence;
	return true;
}

static gboolean
is_grant_expired(gpointer key, gpointer value, gpointer data)
{
	const struct grant *grant = value;

	(void)key;
	return grant->expires <= *(wv_msec *)data;
}

/* Removes expired grants, to free the memory of lanes no longer in use. */
static void
remove_expired_grants(struct wv_granter *granter, wv_msec now)
{
	if (now < granter->next_removal)
		return;
	g_hash_table_foreach_remove(granter->grants, is_grant_expired, &now);
	granter->next_removal = now + WV_LEASE_TIME + WV_LEASE_MARGIN;
}

static bool
is_held_by(const struct grant *grant, struct wv_vm_id holder)
{
	return grant->incarnation == holder.incarnation &&
	    wv_string_equal(grant->holder, holder.name);
}

static struct grant *
grant_create(
    struct wv_granter *granter, struct wv_string lane, struct wv_vm_id holder)
{
	struct grant *grant = g_new0(struct grant, 1);

	grant->lane = wv_string_copy(lane);
	grant->holder = wv_string_copy(holder.name);
	grant->incarnation = holder.incarnation;
	g_hash_table_replace(granter->grants, &grant->lane, grant);
	return grant;
}

bool
wv_granter_claim(struct wv_granter *granter, wv_msec now, struct wv_string lane,
    struct wv_vm_id holder)
{
	struct grant *grant;

	if (now < granter->grants_from)
		return false;
	remove_expired_grants(granter, now);
	grant = g_hash_table_lookup(granter->grants, &lane);
	if (grant != NULL && !is_held_by(grant, holder)) {
		if (grant->expires > now)
			return false;
		grant = NULL;
	}
	if (grant == NULL)
		grant = grant_create(granter, lane, holder);
	grant->expires = now + WV_LEASE_TIME + WV_LEASE_MARGIN;
	return true;
}

void
wv_granter_release(
    struct wv_granter *granter, struct wv_string lane, struct wv_vm_id holder)
{
	struct grant *grant = g_hash_table_lookup(granter->grants, &lane);

	if (grant != NULL && is_held_by(grant, holder))
		g_hash_table_remove(granter->grants, &lane);
}

struct wv_lease *
wv_lease_create(struct wv_string lane)
{
	struct wv_lease *lease = g_new0(struct wv_lease, 1);

	lease->lane = wv_string_copy(lane);
	lease->votes = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, vote_destroy);
	lease->ignored_until = -WV_MSEC_NEVER;
	return lease;
}

void
wv_lease_destroy(struct wv_lease *lease)
{
	if (lease == NULL)
		return;
	g_hash_table_destroy(lease->votes);
	wv_string_clear(&lease->lane);
	g_free(lease);
}

struct wv_string
wv_lease_lane(const struct wv_lease *lease)
{
	return lease->lane;
}

void
wv_lease_add_grant(
    struct wv_lease *lease, struct wv_vm_id voter, wv_msec sent_at)
{
	struct vote *vote;

	if (sent_at <= lease->ignored_until)
		return;
	vote = g_hash_table_lookup(lease->votes, &voter.name);
	if (vote == NULL) {
		vote = g_new0(struct vote, 1);
		vote->voter = wv_string_copy(voter.name);
		vote->sent_at = sent_at;
		g_hash_table_insert(lease->votes, &vote->voter, vote);
	}
	vote->sent_at = MAX(vote->sent_at, sent_at);
}

void
wv_lease_reset(struct wv_lease *lease, wv_msec now)
{
	g_hash_table_remove_all(lease->votes);
	lease->ignored_until = MAX(lease->ignored_until, now);
}

static int
compare_latest_first(const void *left, const void *right)
{
	wv_msec a = *(const wv_msec *)left;
	wv_msec b = *(const wv_msec *)right;

	return (a < b) - (a > b);
}

wv_msec
wv_lease_expiry(const struct wv_lease *lease, const struct wv_string *roster,
    size_t n_roster)
{
	size_t majority = n_roster / 2 + 1;
	size_t n_times = 0;
	wv_msec until = -WV_MSEC_NEVER;
	wv_msec *times = g_new(wv_msec, n_roster);
	const struct vote *vote;

	for (size_t i = 0; i < n_roster; i++) {
		vote = g_hash_table_lookup(lease->votes, &roster[i]);
		if (vote != NULL)
			times[n_times++] = vote->sent_at;
	}
	if (n_times >= majority) {
		qsort(times, n_times, sizeof(*times), compare_latest_first);
		until = times[majority - 1] + WV_LEASE_TIME;
	}
	g_free(times);
	return until;
}
