/**
 * @file
 * Check of the soak that a VM sends nothing more to a searcher that has told it
 * in an answer that it is leaving, whatever the searcher's entry says.
 */
#ifndef WISTERIAVANE_SOAK_LEAVING_H
#define WISTERIAVANE_SOAK_LEAVING_H

#include "soak/attempts.h"
#include "soak/vms.h"

struct leaving;

/**
 * Creates the check of a searcher; observes the attempts at it.
 *
 * @param searcher  its number in violations
 * @param bound     time after the answer in which requests may still come, ms
 */
struct leaving *leaving_create(struct soak *soak, struct vms *vms,
    struct attempts *attempts, unsigned searcher, wv_msec bound);

/** The searcher says in its answers from now on that it is leaving. */
void leaving_begin(struct leaving *leaving);

/** The incarnation that said so has ended. */
void leaving_end(struct leaving *leaving);

#endif
