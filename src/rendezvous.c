/**
 * @file
 * Rendezvous hashing: which VMs are preferred as holders of a lane.
 */
#include <string.h>

#include <xxhash.h>

#include "src/private.h"

/* A candidate with the values that decide its place in the order. */
struct scored {
	size_t index; /* into the caller's candidates */
	bool in_zone; /* in the preferred zone */
	uint64_t weight; /* hash of the name, seeded with the key's hash */
	struct wv_string name; /* borrowed */
};

static int
compare_names(struct wv_string a, struct wv_string b)
{
	int result = memcmp(a.data, b.data, MIN(a.length, b.length));

	if (result != 0)
		return result;
	return (a.length > b.length) - (a.length < b.length);
}

/* Preferred zone first, then the highest weight; equal weights by name. */
static int
compare_scored(const void *left, const void *right)
{
	const struct scored *a = left;
	const struct scored *b = right;

	if (a->in_zone != b->in_zone)
		return a->in_zone ? -1 : 1;
	if (a->weight != b->weight)
		return a->weight > b->weight ? -1 : 1;
	return compare_names(a->name, b->name);
}

static struct scored
score_candidate(uint64_t seed, struct wv_string zone,
    const struct wv_candidate *candidate, size_t index)
{
	struct scored scored = {
	    .index = index,
	    .in_zone =
		zone.length > 0 && wv_string_equal(zone, candidate->zone),
	    .weight = XXH3_64bits_withSeed(
		candidate->name.data, candidate->name.length, seed),
	    .name = candidate->name,
	};

	return scored;
}

void
wv_rendezvous_order(struct wv_string key, struct wv_string zone,
    const struct wv_candidate *candidates, size_t n, size_t *order)
{
	uint64_t seed = wv_string_hash(key);
	struct scored *scored = g_new(struct scored, n);

	for (size_t i = 0; i < n; i++)
		scored[i] = score_candidate(seed, zone, &candidates[i], i);
	if (n > 1)
		qsort(scored, n, sizeof(*scored), compare_scored);
	for (size_t i = 0; i < n; i++)
		order[i] = scored[i].index;
	g_free(scored);
}

size_t
wv_rendezvous_first(struct wv_string key, struct wv_string zone,
    const struct wv_candidate *candidates, size_t n)
{
	uint64_t seed = wv_string_hash(key);
	struct scored best = {.index = n};
	struct scored next;

	for (size_t i = 0; i < n; i++) {
		next = score_candidate(seed, zone, &candidates[i], i);
		if (i == 0 || compare_scored(&next, &best) < 0)
			best = next;
	}
	return best.index;
}

uint32_t
wv_rendezvous_lane(struct wv_string customer, uint64_t request, uint32_t lanes)
{
	uint64_t hash;

	if (lanes <= 1)
		return 0;
	hash = XXH3_64bits_withSeed(
	    &request, sizeof(request), wv_string_hash(customer));
	return (uint32_t)(hash % lanes);
}
