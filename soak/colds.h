/**
 * @file
 * Searchers of the soak that become cold, and the check that they get no more
 * requests than they may.
 */
#ifndef WISTERIAVANE_SOAK_COLDS_H
#define WISTERIAVANE_SOAK_COLDS_H

#include "soak/attempts.h"
#include "soak/cold_limit.h"
#include "soak/vms.h"

struct colds;

/**
 * Begins to make random searchers cold, of the services for which that is
 * limited: by a new incarnation, a changed entry, or their answers alone. All
 * pointers are borrowed.
 */
struct colds *colds_create(struct soak *soak, struct cluster *cluster,
    struct vms *vms, struct attempts *attempts);

/** Releases the state; the event loop must not run any more. */
void colds_destroy(struct colds *colds);

/**
 * Writes the entry of a new incarnation of a searcher, which is cold if that is
 * limited.
 */
void colds_restart_searcher(struct colds *colds, unsigned searcher);

/** The searchers of a zone that is no longer evacuated are cold. */
void colds_begin_zone(struct colds *colds, unsigned zone);

/** Describes what the check has seen until now. */
void colds_summarize(
    const struct colds *colds, struct cold_limit_summary *summary);

#endif
