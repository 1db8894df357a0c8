/**
 * @file
 * Searchers of the soak that drain, and the check that they get no new
 * requests.
 */
#ifndef WISTERIAVANE_SOAK_DRAINS_H
#define WISTERIAVANE_SOAK_DRAINS_H

#include "soak/colds.h"
#include "soak/vms.h"

struct drains;

/** Creates the drains; all pointers are borrowed. */
struct drains *drains_create(struct soak *soak, struct cluster *cluster,
    struct vms *vms, struct attempts *attempts, struct colds *colds);

/** Releases the drains; the event loop must not run any more. */
void drains_destroy(struct drains *drains);

/**
 * Begins the drain of a random searcher, by its entry and perhaps its answers
 * too. It ends by itself with a new incarnation of the searcher.
 */
void drains_begin(struct drains *drains);

/** Begins a drain of which only the answers of the searcher tell. */
void drains_begin_unannounced(struct drains *drains);

#endif
