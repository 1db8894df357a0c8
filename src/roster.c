/**
 * @file
 * The VMs that count for majorities: the current roster, and the previous
 * rosters that are still in transition.
 */
#include <string.h>

#include <xxhash.h>

#include "src/private.h"

/* Number of retired rosters whose claims are still recognized and refused. */
#define MAX_RETIRED_DIGESTS 256
/*
 * Lanes of one roster whose granters are cached, since choosing them sorts
 * the whole roster.
 */
#define MAX_CACHED_LANES 4096

/* The VMs of one roster, sorted by name. Names and zones are owned. */
struct roster_set {
	struct wv_candidate *vms;
	size_t n;
	uint64_t digest;
	wv_msec replaced_at; /* WV_MSEC_NEVER while current */
	wv_msec unused_since; /* when no majority could use it any more */
	GHashTable *granters; /* owned lane to WV_MAX_GRANTERS borrowed names */
};

struct wv_roster {
	struct wv_string self; /* owned */
	struct roster_set current;
	GArray *previous; /* struct roster_set in transition */
	GHashTable *reported; /* owned VM name to owned uint64_t digest */
	/* Ring of the digests of retired rosters; 0 is an unused place. */
	uint64_t retired[MAX_RETIRED_DIGESTS];
	size_t next_retired; /* place for the next digest */
	wv_msec created;
	bool
	    grace_over; /* WV_ROSTER_GRACE_TIME had passed at the last update */
};

static int
compare_vms(const void *left, const void *right)
{
	const struct wv_string *a = &((const struct wv_candidate *)left)->name;
	const struct wv_string *b = &((const struct wv_candidate *)right)->name;
	int result = memcmp(a->data, b->data, MIN(a->length, b->length));

	if (result != 0)
		return result;
	return (a->length > b->length) - (a->length < b->length);
}

static void
set_clear(void *data)
{
	struct roster_set *set = data;

	for (size_t i = 0; i < set->n; i++) {
		wv_string_clear(&set->vms[i].name);
		wv_string_clear(&set->vms[i].zone);
	}
	g_free(set->vms);
	g_hash_table_destroy(set->granters);
	set->granters = NULL;
	set->vms = NULL;
	set->n = 0;
}

/*
 * Sums the hashes of the VMs, so that their order does not matter. Zones are
 * hashed too, since they decide which VMs grant a lane.
 */
static uint64_t
digest_vms(const struct wv_candidate *vms, size_t n)
{
	uint64_t digest = n;

	for (size_t i = 0; i < n; i++)
		digest += XXH3_64bits_withSeed(vms[i].name.data,
		    vms[i].name.length, wv_string_hash(vms[i].zone));
	return digest;
}

static struct roster_set
set_create(const struct wv_candidate *vms, size_t n)
{
	struct roster_set set = {g_new(struct wv_candidate, n), n,
	    digest_vms(vms, n), WV_MSEC_NEVER, WV_MSEC_NEVER,
	    g_hash_table_new_full(wv_string_key_hash, wv_string_key_equal,
		wv_string_key_destroy, g_free)};

	for (size_t i = 0; i < n; i++) {
		set.vms[i].name = wv_string_copy(vms[i].name);
		set.vms[i].zone = wv_string_copy(vms[i].zone);
	}
	if (n > 1)
		qsort(set.vms, n, sizeof(*set.vms), compare_vms);
	return set;
}

static bool
set_contains(const struct roster_set *set, struct wv_string name)
{
	struct wv_candidate key = {.name = name};

	return set->n > 0 &&
	    bsearch(&key, set->vms, set->n, sizeof(key), compare_vms) != NULL;
}

struct wv_roster *
wv_roster_create(struct wv_string self, wv_msec now)
{
	struct wv_roster *roster = g_new0(struct wv_roster, 1);
	struct wv_candidate only = {.name = self};

	roster->self = wv_string_copy(self);
	roster->created = now;
	roster->current = set_create(&only, 1);
	roster->previous = g_array_new(FALSE, FALSE, sizeof(struct roster_set));
	g_array_set_clear_func(roster->previous, set_clear);
	roster->reported = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, wv_string_key_destroy, g_free);
	return roster;
}

void
wv_roster_destroy(struct wv_roster *roster)
{
	if (roster == NULL)
		return;
	wv_string_clear(&roster->self);
	set_clear(&roster->current);
	g_array_free(roster->previous, TRUE);
	g_hash_table_destroy(roster->reported);
	g_free(roster);
}

static struct roster_set *
previous_set(const struct wv_roster *roster, guint at)
{
	return &g_array_index(roster->previous, struct roster_set, at);
}

/*
 * Returns whether a VM no longer uses any previous roster: it is this VM, it
 * is not in the current roster, or its latest reported digest is the current
 * one.
 */
static bool
has_left_previous(const struct wv_roster *roster, struct wv_string name)
{
	const uint64_t *digest;

	if (wv_string_equal(name, roster->self) ||
	    !set_contains(&roster->current, name))
		return true;
	digest = g_hash_table_lookup(roster->reported, &name);
	return digest != NULL && *digest == roster->current.digest;
}

/*
 * Returns whether every majority of granters in a previous roster contains a
 * VM that no longer uses it. The granters of a lane may be any WV_MAX_GRANTERS
 * of its VMs, so the VMs that still use it must be fewer than a majority of
 * that number.
 */
static bool
cannot_form_majority(
    const struct wv_roster *roster, const struct roster_set *set)
{
	size_t granters = MIN(set->n, WV_MAX_GRANTERS);
	size_t remaining = 0;

	for (size_t i = 0; i < set->n; i++)
		remaining += !has_left_previous(roster, set->vms[i].name);
	return remaining < granters / 2 + 1;
}

/* Removes a previous roster. Its digest is kept, to refuse claims under it. */
static void
retire_set(struct wv_roster *roster, guint at)
{
	roster->retired[roster->next_retired] =
	    previous_set(roster, at)->digest;
	roster->next_retired = (roster->next_retired + 1) % MAX_RETIRED_DIGESTS;
	g_array_remove_index(roster->previous, at);
}

/* Retires the previous rosters whose transition is over. */
static void
retire_unused_sets(struct wv_roster *roster, wv_msec now)
{
	struct roster_set *set;

	for (guint i = roster->previous->len; i-- > 0;) {
		set = previous_set(roster, i);
		if (set->unused_since == WV_MSEC_NEVER &&
		    cannot_form_majority(roster, set))
			set->unused_since = now;
		if (set->unused_since != WV_MSEC_NEVER &&
		    now - set->unused_since >= WV_ROSTER_TRANSITION_TIME)
			retire_set(roster, i);
	}
}

/* Removes a roster that is current again from the previous and retired. */
static void
remove_previous_digest(struct wv_roster *roster, uint64_t digest)
{
	for (guint i = roster->previous->len; i-- > 0;) {
		if (previous_set(roster, i)->digest == digest)
			g_array_remove_index(roster->previous, i);
	}
	for (size_t i = 0; i < MAX_RETIRED_DIGESTS; i++) {
		if (roster->retired[i] == digest)
			roster->retired[i] = 0;
	}
}

/* Selects reported digests of VMs outside the current roster for removal. */
static gboolean
is_outside_roster(gpointer key, gpointer value, gpointer data)
{
	const struct wv_roster *roster = data;

	(void)value;
	return !set_contains(&roster->current, *(struct wv_string *)key);
}

void
wv_roster_update(struct wv_roster *roster, wv_msec now,
    const struct wv_candidate *vms, size_t n)
{
	struct roster_set old = roster->current;

	if (digest_vms(vms, n) != old.digest) {
		roster->current = set_create(vms, n);
		if (roster->grace_over) {
			old.replaced_at = now;
			g_array_append_val(roster->previous, old);
		} else {
			set_clear(&old);
		}
		remove_previous_digest(roster, roster->current.digest);
		g_hash_table_foreach_remove(
		    roster->reported, is_outside_roster, roster);
	}
	roster->grace_over = now >= roster->created + WV_ROSTER_GRACE_TIME;
	retire_unused_sets(roster, now);
}

uint64_t
wv_roster_digest(const struct wv_roster *roster)
{
	return roster->current.digest;
}

size_t
wv_roster_count_previous(const struct wv_roster *roster)
{
	return roster->previous->len;
}

void
wv_roster_set_reported_digest(
    struct wv_roster *roster, struct wv_string vm, uint64_t digest)
{
	uint64_t *known = g_hash_table_lookup(roster->reported, &vm);
	struct wv_string *key;

	if (known != NULL) {
		*known = digest;
		return;
	}
	if (!set_contains(&roster->current, vm))
		return;
	key = g_new(struct wv_string, 1);
	*key = wv_string_copy(vm);
	known = g_new(uint64_t, 1);
	*known = digest;
	g_hash_table_insert(roster->reported, key, known);
}

bool
wv_roster_may_grant(const struct wv_roster *roster, wv_msec now,
    struct wv_string claimant, uint64_t digest)
{
	const struct roster_set *set;

	if (!set_contains(&roster->current, claimant))
		return false;
	for (guint i = 0; i < roster->previous->len; i++) {
		set = previous_set(roster, i);
		if (!set_contains(set, claimant))
			return false;
		if (set->digest == digest &&
		    now - set->replaced_at >= WV_ROSTER_GRACE_TIME)
			return false;
	}
	for (size_t i = 0; i < MAX_RETIRED_DIGESTS; i++) {
		if (roster->retired[i] == digest && digest != 0)
			return false;
	}
	return true;
}

/* Counts the zones of a set. */
static size_t
count_zones(const struct roster_set *set)
{
	GHashTable *zones =
	    g_hash_table_new(wv_string_key_hash, wv_string_key_equal);
	size_t n;

	for (size_t i = 0; i < set->n; i++)
		g_hash_table_add(zones, &set->vms[i].zone);
	n = g_hash_table_size(zones);
	g_hash_table_destroy(zones);
	return n;
}

/* Counts the chosen VMs of a zone. */
static size_t
count_chosen(
    const struct wv_candidate *const *chosen, size_t n, struct wv_string zone)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += wv_string_equal(chosen[i]->zone, zone);
	return count;
}

/*
 * Chooses WV_MAX_GRANTERS VMs of a larger roster in the lane's rendezvous
 * order. The first pass takes at most an equal number from each zone, the
 * second one fills the remaining places regardless of zones.
 */
static void
choose_granters(const struct roster_set *set, struct wv_string lane,
    struct wv_string *names)
{
	struct wv_string none = {NULL, 0};
	const struct wv_candidate *chosen[WV_MAX_GRANTERS];
	size_t zones = count_zones(set);
	size_t per_zone = (WV_MAX_GRANTERS + zones - 1) / zones;
	size_t *order = g_new(size_t, set->n);
	bool *is_chosen = g_new0(bool, set->n);
	size_t n = 0;
	const struct wv_candidate *vm;

	wv_rendezvous_order(lane, none, set->vms, set->n, order);
	for (int pass = 0; pass < 2; pass++) {
		for (size_t i = 0; i < set->n && n < WV_MAX_GRANTERS; i++) {
			vm = &set->vms[order[i]];
			if (is_chosen[i] ||
			    (pass == 0 &&
				count_chosen(chosen, n, vm->zone) >= per_zone))
				continue;
			is_chosen[i] = true;
			chosen[n++] = vm;
		}
	}
	for (size_t i = 0; i < n; i++)
		names[i] = chosen[i]->name;
	g_free(is_chosen);
	g_free(order);
}

/*
 * Lists the granters of a lane in one roster and returns their number. Names
 * are borrowed; the array must have space for WV_MAX_GRANTERS.
 */
static size_t
set_granters(const struct roster_set *set, struct wv_string lane,
    struct wv_string *names)
{
	struct wv_string *cached;
	struct wv_string *key;

	if (set->n <= WV_MAX_GRANTERS) {
		for (size_t i = 0; i < set->n; i++)
			names[i] = set->vms[i].name;
		return set->n;
	}
	cached = g_hash_table_lookup(set->granters, &lane);
	if (cached == NULL) {
		if (g_hash_table_size(set->granters) >= MAX_CACHED_LANES)
			g_hash_table_remove_all(set->granters);
		key = g_new(struct wv_string, 1);
		*key = wv_string_copy(lane);
		cached = g_new(struct wv_string, WV_MAX_GRANTERS);
		choose_granters(set, lane, cached);
		g_hash_table_insert(set->granters, key, cached);
	}
	memcpy(names, cached, WV_MAX_GRANTERS * sizeof(*names));
	return WV_MAX_GRANTERS;
}

wv_msec
wv_roster_lease_expiry(
    const struct wv_roster *roster, const struct wv_lease *lease)
{
	struct wv_string names[WV_MAX_GRANTERS];
	struct wv_string lane = wv_lease_lane(lease);
	size_t n = set_granters(&roster->current, lane, names);
	wv_msec until = wv_lease_expiry(lease, names, n);

	if (!roster->grace_over)
		return -WV_MSEC_NEVER;
	for (guint i = 0; i < roster->previous->len; i++) {
		n = set_granters(previous_set(roster, i), lane, names);
		until = MIN(until, wv_lease_expiry(lease, names, n));
	}
	return until;
}

/* Appends the names not yet listed and returns the new number of names. */
static size_t
append_unique(const struct wv_string *from, size_t n_from,
    struct wv_string *names, size_t n, size_t size)
{
	size_t at;

	for (size_t i = 0; i < n_from; i++) {
		for (at = 0; at < n; at++) {
			if (wv_string_equal(names[at], from[i]))
				break;
		}
		if (at == n && n < size)
			names[n++] = from[i];
	}
	return n;
}

size_t
wv_roster_granters(const struct wv_roster *roster, struct wv_string lane,
    struct wv_string *names, size_t size)
{
	struct wv_string granters[WV_MAX_GRANTERS];
	size_t n_granters = set_granters(&roster->current, lane, granters);
	size_t n = append_unique(granters, n_granters, names, 0, size);

	for (guint i = 0; i < roster->previous->len; i++) {
		n_granters =
		    set_granters(previous_set(roster, i), lane, granters);
		n = append_unique(granters, n_granters, names, n, size);
	}
	return n;
}
