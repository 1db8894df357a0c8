/**
 * @file
 * The choice of the snapshot that queries are pinned to.
 */
#include "src/snapshot.h"

/** Number of the newest snapshots that are compared; a rollout has no more. */
#define MAX_CANDIDATES 16
/** Fraction of a service's slots that must hold a snapshot to choose it. */
#define MIN_SLOT_FRACTION 0.5

struct candidates {
	struct snapshot list[MAX_CANDIDATES];
	size_t n;
};

bool
wv_snapshot_newer(struct snapshot a, struct snapshot b)
{
	if (a.version != b.version)
		return a.version > b.version;
	return a.map > b.map;
}

/* Inserts a candidate in descending order; a full list drops the oldest. */
static void
add_candidate(struct candidates *candidates, struct snapshot snapshot)
{
	size_t i = 0;

	while (i < candidates->n &&
	    wv_snapshot_newer(candidates->list[i], snapshot))
		i++;
	if (i == MAX_CANDIDATES)
		return;
	if (i < candidates->n &&
	    !wv_snapshot_newer(snapshot, candidates->list[i]))
		return;
	if (candidates->n < MAX_CANDIDATES)
		candidates->n++;
	for (size_t j = candidates->n - 1; j > i; j--)
		candidates->list[j] = candidates->list[j - 1];
	candidates->list[i] = snapshot;
}

static void
collect_candidates(struct candidates *candidates, const struct service *service)
{
	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];

		if (wv_replica_state(member->replica) == WV_REPLICA_LEAVING)
			continue;
		for (size_t j = 0; j < member->n_versions; j++)
			add_candidate(candidates,
			    (struct snapshot){
				member->versions[j], member->map});
	}
}

/* Returns the fraction of a service's healthy slots that hold a snapshot. */
static double
held_fraction(const struct service *service, struct snapshot snapshot)
{
	uint32_t held = 0;
	uint32_t total = 0;

	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];

		if (!member->healthy && !service->ignore_health)
			continue;
		total += member->lane_slots;
		if (wv_searcher_holds(member, snapshot))
			held += member->lane_slots;
	}
	return total == 0 ? 0 : (double)held / total;
}

struct snapshot
wv_snapshot_choose(struct service *const *services, size_t n_services,
    struct snapshot published)
{
	struct candidates candidates = {.n = 0};
	struct snapshot best = published;
	double best_score = 0;

	for (size_t i = 0; i < n_services; i++)
		collect_candidates(&candidates, services[i]);
	for (size_t i = 0; i < candidates.n; i++) {
		double min_fraction = 1;
		double covered_services = 0;

		for (size_t j = 0; j < n_services; j++) {
			double fraction =
			    held_fraction(services[j], candidates.list[i]);

			if (fraction > 0)
				covered_services += 1;
			min_fraction = MIN(min_fraction, fraction);
		}
		if (min_fraction >= MIN_SLOT_FRACTION)
			return candidates.list[i];
		/* The number of services decides; the fraction breaks ties. */
		if (covered_services + min_fraction > best_score) {
			best_score = covered_services + min_fraction;
			best = candidates.list[i];
		}
	}
	return best;
}
