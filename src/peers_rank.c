/**
 * @file
 * Rank of this VM among those with the same part of the limits.
 */
#include <xxhash.h>

#include "src/peers_private.h"

/* Whether VMs of a capacity have the same part of the limits as this one. */
static bool
is_member(const struct wv_peer_role *role, double capacity)
{
	return (capacity >= role->preferred_capacity) == role->is_preferred;
}

unsigned
wv_peers_count_members(const struct wv_peer_role *role)
{
	return role->is_preferred ? role->preferred
				  : role->vms - role->preferred;
}

bool
wv_peers_ranks_first(const struct wv_peers *peers,
    const struct wv_peer_role *role, struct wv_string key, unsigned n)
{
	uint64_t seed = wv_string_hash(key);
	uint64_t own = XXH3_64bits_withSeed(
	    peers->own_name.data, peers->own_name.length, seed);
	unsigned preceding = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->table);
	while (preceding < n && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		preceding += is_member(role, peer->capacity) &&
		    XXH3_64bits_withSeed(
			peer->name.data, peer->name.length, seed) > own;
	}
	return preceding < n;
}
