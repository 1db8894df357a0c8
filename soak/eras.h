/**
 * @file
 * Eras of the soak's store: it comes back from an older copy.
 */
#ifndef WISTERIAVANE_SOAK_ERAS_H
#define WISTERIAVANE_SOAK_ERAS_H

#include "soak/cluster.h"

struct eras;

/** Begins to take copies of the store. The cluster is borrowed. */
struct eras *eras_create(struct soak *soak, struct cluster *cluster);

/** Releases the state; the event loop must not run any more. */
void eras_destroy(struct eras *eras);

/**
 * Makes the store come back from its latest copy, with the next era. The
 * operator and the searchers then write their objects again.
 */
void eras_begin(struct eras *eras);

#endif
