/**
 * @file
 * Slots of searchers, the snapshots that they hold, and the choice of a
 * searcher.
 */
#include <string.h>

#include "src/service.h"
#include "src/snapshot.h"

/**
 * A searcher counts as slow when its estimated latency exceeds the mean of its
 * service by this factor. Slow searchers get work only when waiting for a
 * faster one would take longer.
 */
#define SLOW_FACTOR 3.0
/**
 * In services with up to this many members all are compared. For a trial
 * request at most this many members are checked.
 */
#define MAX_FULL_SCAN 8
/** Members that are compared first in larger services. */
#define MEMBER_SAMPLE_SIZE 4
/**
 * Time between trial requests to a searcher whose reported versions are older
 * than the pinned snapshot, ms. A wrong guess costs a refusal and a retry.
 */
#define TRIAL_DELAY_MS 500.0

uint64_t
wv_random_next(uint64_t *random)
{
	uint64_t x = *random;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	*random = x;
	return x;
}

bool
wv_searcher_holds(const struct searcher *searcher, struct snapshot snapshot)
{
	if (searcher->map != snapshot.map)
		return false;
	for (size_t i = 0; i < searcher->n_versions; i++) {
		if (searcher->versions[i] == snapshot.version)
			return true;
	}
	return false;
}

bool
wv_searcher_may_hold_snapshot(
    const struct searcher *searcher, struct snapshot snapshot)
{
	struct snapshot newest;

	if (searcher->n_versions == 0)
		return true;
	newest.version = searcher->versions[0];
	newest.map = searcher->map;
	return wv_snapshot_newer(snapshot, newest);
}

/* Inserts a version in descending order; a full list drops the oldest. */
static void
insert_version(uint64_t *list, size_t *n, uint64_t version)
{
	size_t i = 0;

	while (i < *n && list[i] > version)
		i++;
	if (i == MAX_SEARCHER_VERSIONS || (i < *n && list[i] == version))
		return;
	if (*n < MAX_SEARCHER_VERSIONS)
		(*n)++;
	memmove(&list[i + 1], &list[i], (*n - i - 1) * sizeof(list[0]));
	list[i] = version;
}

bool
wv_searcher_set_versions(
    struct searcher *searcher, const uint64_t *versions, size_t n, uint64_t map)
{
	uint64_t list[MAX_SEARCHER_VERSIONS];
	size_t n_list = 0;

	for (size_t i = 0; i < n; i++)
		insert_version(list, &n_list, versions[i]);
	searcher->reported = true;
	if (searcher->map == map && searcher->n_versions == n_list &&
	    memcmp(list, searcher->versions, n_list * sizeof(list[0])) == 0)
		return false;
	memcpy(searcher->versions, list, n_list * sizeof(list[0]));
	searcher->n_versions = n_list;
	searcher->map = map;
	return true;
}

bool
wv_searcher_drop_snapshot(struct searcher *searcher, struct snapshot snapshot)
{
	/* A newer report may have removed the snapshot already. */
	if (!wv_searcher_holds(searcher, snapshot))
		return false;
	for (size_t i = 0; i < searcher->n_versions; i++) {
		if (searcher->versions[i] != snapshot.version)
			continue;
		searcher->n_versions--;
		memmove(&searcher->versions[i], &searcher->versions[i + 1],
		    (searcher->n_versions - i) * sizeof(uint64_t));
		break;
	}
	return true;
}

void
wv_searcher_take_slot(struct searcher *searcher)
{
	searcher->taken++;
	if (searcher->healthy && searcher->service != NULL)
		searcher->service->taken++;
}

void
wv_searcher_free_slot(struct searcher *searcher)
{
	searcher->taken--;
	if (searcher->healthy && searcher->service != NULL)
		searcher->service->taken--;
}

bool
wv_service_recount(struct service *service)
{
	bool changed = false;

	service->capacity = 0;
	service->taken = 0;
	service->n_lost = 0;
	service->n_not_leaving = 0;
	for (size_t i = 0; i < service->n_members; i++) {
		struct searcher *member = service->members[i];
		enum wv_replica_state state = wv_replica_state(member->replica);
		bool healthy =
		    state != WV_REPLICA_LOST && state != WV_REPLICA_LEAVING;

		changed = changed || healthy != member->healthy;
		member->state = state;
		member->healthy = healthy;
		if (state == WV_REPLICA_LOST)
			service->n_lost++;
		if (state != WV_REPLICA_LEAVING)
			service->n_not_leaving++;
		if (!healthy)
			continue;
		service->capacity += member->lane_slots;
		service->taken += member->taken;
	}
	return changed;
}

size_t
wv_service_count_waiting(const struct service *service)
{
	size_t n = 0;

	for (int i = 0; i < WV_RANK_COUNT; i++)
		n += wv_admission_count_waiting(service->admission, i);
	return n;
}

bool
wv_service_holds(const struct service *service, struct snapshot snapshot)
{
	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];

		if (wv_replica_state(member->replica) != WV_REPLICA_LEAVING &&
		    wv_searcher_holds(member, snapshot))
			return true;
	}
	return false;
}

uint32_t
wv_service_free_slots(const struct service *service)
{
	uint32_t n = 0;

	if (!service->ignore_health)
		return service->taken < service->capacity
		    ? service->capacity - service->taken
		    : 0;
	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];

		if (member->taken < member->lane_slots &&
		    wv_replica_state(member->replica) != WV_REPLICA_LEAVING)
			n += member->lane_slots - member->taken;
	}
	return n;
}

static bool
is_tried(const struct criteria *criteria, const struct searcher *searcher)
{
	for (size_t i = 0; i < criteria->n_tried; i++) {
		if (criteria->tried[i] == searcher)
			return true;
	}
	return false;
}

/* Returns whether a searcher could serve the request, apart from its health. */
static bool
is_eligible(const struct searcher *searcher, const struct criteria *criteria)
{
	return searcher->taken < searcher->lane_slots &&
	    (criteria->any_snapshot ||
		wv_searcher_holds(searcher, criteria->snapshot)) &&
	    !is_tried(criteria, searcher);
}

static bool
is_usable(
    const struct service *service, const struct searcher *searcher, wv_msec now)
{
	enum wv_replica_state state = wv_replica_state(searcher->replica);

	if (state == WV_REPLICA_LOST)
		return service->ignore_health;
	return wv_replica_is_usable(searcher->replica, now);
}

/*
 * Returns the estimated latency of one more request, ms. Before the service's
 * first answer any positive mean will do; the load decides.
 */
static wv_msec
searcher_score(
    const struct service *service, const struct searcher *searcher, wv_msec now)
{
	wv_msec mean = service->latency.mean;

	return wv_replica_score(searcher->replica, now, mean > 0 ? mean : 1);
}

/*
 * Returns whether a searcher is due for a trial request, which would show that
 * it is back or has loaded a newer snapshot.
 */
static bool
is_trial_due(const struct service *service, const struct searcher *searcher,
    wv_msec now, const struct criteria *criteria)
{
	if (searcher->taken >= searcher->lane_slots ||
	    is_tried(criteria, searcher) ||
	    !wv_replica_is_usable(searcher->replica, now))
		return false;
	if (wv_searcher_holds(searcher, criteria->snapshot))
		return !searcher->healthy && !service->ignore_health;
	return wv_searcher_may_hold_snapshot(searcher, criteria->snapshot) &&
	    now >= searcher->last_trial + TRIAL_DELAY_MS;
}

/*
 * Returns a searcher that is due for a trial request, or NULL. In large
 * services only some members are checked, starting at a different one each
 * time.
 */
static struct searcher *
choose_trial(
    const struct service *service, wv_msec now, const struct criteria *criteria)
{
	size_t n = MIN(service->n_members, MAX_FULL_SCAN);

	for (size_t i = 0; i < n; i++) {
		size_t at = (service->rotation + i) % service->n_members;
		struct searcher *member = service->members[at];

		if (is_trial_due(service, member, now, criteria))
			return member;
	}
	return NULL;
}

/* Returns the best of n members from index first on, and its score, or NULL. */
static struct searcher *
choose_best(const struct service *service, wv_msec now,
    const struct criteria *criteria, size_t first, size_t n,
    wv_msec *best_score)
{
	struct searcher *best = NULL;

	for (size_t i = 0; i < n; i++) {
		struct searcher *member =
		    service->members[(first + i) % service->n_members];
		wv_msec score;

		if (!is_eligible(member, criteria) ||
		    !is_usable(service, member, now))
			continue;
		score = searcher_score(service, member, now);
		if (best == NULL || score < *best_score) {
			best = member;
			*best_score = score;
		}
	}
	return best;
}

/* Returns the slots of members that are not slow, whether in use or not. */
static uint32_t
count_good_slots(const struct service *service, wv_msec now,
    const struct criteria *criteria, wv_msec limit)
{
	uint32_t n = 0;

	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];
		wv_msec score = searcher_score(service, member, now);
		double load = 1 + (double)member->taken / member->lane_slots;

		if (member->healthy && score / load <= limit &&
		    (criteria->any_snapshot ||
			wv_searcher_holds(member, criteria->snapshot)) &&
		    !is_tried(criteria, member))
			n += member->lane_slots;
	}
	return n;
}

/* Returns whether a slow searcher would answer before a fast one is free. */
static bool
is_slow_better(const struct service *service, wv_msec now,
    const struct criteria *criteria, wv_msec score)
{
	wv_msec mean = service->latency.mean;
	uint32_t slots =
	    count_good_slots(service, now, criteria, mean * SLOW_FACTOR);
	double queue_length = (double)wv_service_count_waiting(service) + 1;

	if (slots == 0)
		return true;
	return !criteria->exclude_slow &&
	    queue_length * mean / slots + mean > score;
}

struct searcher *
wv_service_choose(const struct service *service, wv_msec now,
    const struct criteria *criteria, uint64_t *random)
{
	struct searcher *best = NULL;
	wv_msec score = 0;
	wv_msec limit = service->latency.mean * SLOW_FACTOR;
	size_t n = service->n_members;
	size_t first;

	if (n == 0)
		return NULL;
	if (criteria->may_send_trial) {
		best = choose_trial(service, now, criteria);
		if (best != NULL) {
			best->last_trial = now;
			return best;
		}
	}
	if (wv_service_free_slots(service) == 0)
		return NULL;
	/* Equal members take turns, so a new service tries each of them. */
	first = service->rotation % n;
	if (n > MAX_FULL_SCAN) {
		first = wv_random_next(random) % n;
		best = choose_best(
		    service, now, criteria, first, MEMBER_SAMPLE_SIZE, &score);
	}
	if (best == NULL || score > limit)
		best = choose_best(service, now, criteria, first, n, &score);
	if (best == NULL || score <= limit || limit <= 0)
		return best;
	return is_slow_better(service, now, criteria, score) ? best : NULL;
}
