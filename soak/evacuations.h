/**
 * @file
 * Evacuations of zones of the soak's searchers, and the check that they get no
 * new attempts.
 */
#ifndef WISTERIAVANE_SOAK_EVACUATIONS_H
#define WISTERIAVANE_SOAK_EVACUATIONS_H

#include "soak/colds.h"
#include "soak/evacuated.h"
#include "soak/vms.h"

struct evacuations;

/**
 * Begins to evacuate random zones, one at a time, until no more faults begin.
 * All pointers are borrowed.
 */
struct evacuations *evacuations_create(struct soak *soak,
    struct cluster *cluster, struct vms *vms, struct attempts *attempts,
    struct colds *colds);

/** Releases the state; the event loop must not run any more. */
void evacuations_destroy(struct evacuations *evacuations);

/** The store serves no VM from now on for a duration, ms. */
void evacuations_note_store_failure(
    struct evacuations *evacuations, wv_msec duration);

/**
 * The store has come back from an older copy: the operator writes or removes
 * the objects again.
 */
void evacuations_note_era(struct evacuations *evacuations);

/** Describes what the check has seen until now. */
void evacuations_summarize(
    const struct evacuations *evacuations, struct evacuated_summary *summary);

#endif
