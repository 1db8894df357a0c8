/**
 * @file
 * Searchers and services of an executor: slots, snapshots held, and the choice
 * of a searcher for an attempt.
 */
#ifndef WISTERIAVANE_SRC_SERVICE_H
#define WISTERIAVANE_SRC_SERVICE_H

#include "src/latency.h"
#include "src/private.h"
#include "src/timers.h"

/** Index versions remembered per searcher. */
#define MAX_SEARCHER_VERSIONS 8
/** Searchers that one shard remembers as tried. */
#define MAX_TRIED 4

/** A state of the data: an index version of a partition map. */
struct snapshot {
	uint64_t version;
	uint64_t map;
};

struct service;

/** One searcher. Exists while it is in the topology or has slots taken. */
struct searcher {
	size_t index; /**< index in the topology; SIZE_MAX once removed */
	struct wv_string id; /**< owned */
	uint64_t generation;
	struct service *service; /**< NULL once removed from the topology */
	struct wv_replica *replica; /**< owned */
	uint32_t lane_slots; /**< slots that belong to this lane */
	uint32_t taken; /**< slots of this lane that are or may be in use */
	enum wv_replica_state state; /**< at the last wv_service_recount() */
	bool healthy; /**< neither lost nor leaving, at that time */
	wv_msec last_trial; /**< time of the last trial request */
	bool reported; /**< it has reported its versions itself */
	uint64_t versions[MAX_SEARCHER_VERSIONS]; /**< newest first */
	size_t n_versions;
	uint64_t map;
};

/** One service: the searchers that serve one partition of the data. */
struct service {
	size_t index; /**< index in the topology */
	struct wv_string name; /**< owned */
	struct searcher **members; /**< owned array; have slots in this lane */
	size_t n_members;
	size_t rotation; /**< counts attempts; rotates among equal members */
	struct wv_admission *admission; /**< owned */
	struct latency latency; /**< of answered attempts */
	GPtrArray *late_attempts; /**< owned; wait for a slot for a hedge */
	struct timer timer; /**< next dispatch while work waits */
	uint32_t capacity; /**< slots of healthy members */
	uint32_t taken; /**< slots of healthy members in use */
	size_t n_lost;
	size_t n_not_leaving; /**< members that are not leaving */
	bool ignore_health; /**< the executor's; lost members are used */
	bool dirty; /**< in the executor's list for dispatch */
	bool blocked; /**< no searcher was found for the last skipped waiter */
	uint64_t
	    documents_total; /**< of documents_total_snapshot; 0 if unknown */
	struct snapshot documents_total_snapshot;
};

/** Criteria for the choice of a searcher. */
struct criteria {
	struct snapshot snapshot;
	bool any_snapshot; /**< any snapshot will do, as for jobs */
	struct searcher *const *tried; /**< searchers that are not used again */
	size_t n_tried;
	bool may_send_trial; /**< may choose a searcher that is lost or not
				 known to hold the snapshot */
	bool exclude_slow; /**< no slow searcher while others serve */
};

/**
 * Returns whether a searcher may have loaded a snapshot since its last report:
 * the snapshot is newer than all that it reported.
 */
bool wv_searcher_may_hold_snapshot(
    const struct searcher *searcher, struct snapshot snapshot);

/** Returns whether a searcher is known to hold a snapshot. */
bool wv_searcher_holds(
    const struct searcher *searcher, struct snapshot snapshot);

/**
 * Stores the index versions and the map that a searcher reported; only the
 * newest versions are kept.
 *
 * @return whether anything changed
 */
bool wv_searcher_set_versions(struct searcher *searcher,
    const uint64_t *versions, size_t n, uint64_t map);

/**
 * Removes a snapshot from those that a searcher holds.
 *
 * @return whether it was there
 */
bool wv_searcher_drop_snapshot(
    struct searcher *searcher, struct snapshot snapshot);

/** Counts one more slot as taken. */
void wv_searcher_take_slot(struct searcher *searcher);

/** Counts one slot as free again. */
void wv_searcher_free_slot(struct searcher *searcher);

/**
 * Recomputes capacity, taken slots and lost members after the state of a member
 * may have changed.
 *
 * @return whether any member became healthy or ceased to be
 */
bool wv_service_recount(struct service *service);

/** Returns the number of waiting shards, over all ranks. */
size_t wv_service_count_waiting(const struct service *service);

/** Returns whether any member that is not leaving holds a snapshot. */
bool wv_service_holds(const struct service *service, struct snapshot snapshot);

/**
 * Returns the number of free slots: of healthy members or, if health is
 * ignored, of all members that are not leaving.
 */
uint32_t wv_service_free_slots(const struct service *service);

/**
 * Chooses a searcher with a free slot, or returns NULL. With may_send_trial,
 * one that is due for a trial is preferred.
 *
 * @param random  state of wv_random_next()
 */
struct searcher *wv_service_choose(const struct service *service, wv_msec now,
    const struct criteria *criteria, uint64_t *random);

/**
 * Steps a 64-bit xorshift generator.
 *
 * @param random  its state; must not be 0
 */
uint64_t wv_random_next(uint64_t *random);

#endif
