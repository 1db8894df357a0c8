/**
 * @file
 * The choice of the snapshot that queries are pinned to.
 */
#ifndef WISTERIAVANE_SRC_SNAPSHOT_H
#define WISTERIAVANE_SRC_SNAPSHOT_H

#include "src/service.h"

/**
 * Chooses a snapshot.
 *
 * The newest one that at least half of the healthy slots of each service hold
 * is chosen, so that a version that has only begun to roll out does not send
 * all work to a few searchers. Without such a snapshot the one that the most
 * services hold is chosen.
 *
 * @param published  snapshot of the topology; used if no searcher holds any
 */
struct snapshot wv_snapshot_choose(struct service *const *services,
    size_t n_services, struct snapshot published);

/** Returns whether snapshot a is newer than b, by version, then by map. */
bool wv_snapshot_newer(struct snapshot a, struct snapshot b);

#endif
