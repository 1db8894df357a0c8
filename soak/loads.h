/**
 * @file
 * Load that the searchers of the soak report in their answers.
 */
#ifndef WISTERIAVANE_SOAK_LOADS_H
#define WISTERIAVANE_SOAK_LOADS_H

#include "soak/cluster.h"

/**
 * Begins to change what random searchers report: their load, a wrong or
 * malformed one, or none. It goes on after the last fault, since a wrong report
 * must cost at most one probe. Both pointers are borrowed.
 */
void loads_create(struct soak *soak, struct cluster *cluster);

#endif
