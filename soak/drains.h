/**
 * @file
 * Searchers of the soak that drain, and the check that they get no new
 * requests.
 */
#ifndef WISTERIAVANE_SOAK_DRAINS_H
#define WISTERIAVANE_SOAK_DRAINS_H

#include "soak/cluster.h"

struct drains;

struct drains *drains_create(struct soak *soak, struct cluster *cluster);

/**
 * Begins the drain of a random searcher, by its entry, its answers or both. It
 * ends by itself with a new incarnation of the searcher.
 */
void drains_begin(struct drains *drains);

#endif
