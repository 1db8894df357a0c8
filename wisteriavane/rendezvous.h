/**
 * @file
 * Rendezvous hashing: the VMs that are preferred as holders of a lane, and
 * the lane of a request.
 */
#ifndef WISTERIAVANE_RENDEZVOUS_H
#define WISTERIAVANE_RENDEZVOUS_H

#include "wisteriavane/types.h"

/** A VM that may hold a lane. */
struct wv_candidate {
	struct wv_string name; /**< borrowed */
	struct wv_string zone; /**< borrowed */
};

/**
 * Orders candidates for a key, the most preferred one first. The order does
 * not depend on the order of the candidates, so all VMs agree on it.
 *
 * @param key         key, such as the name of a lane
 * @param zone        zone to prefer, empty for none
 * @param candidates  candidates with distinct names
 * @param n           number of candidates
 * @param order       receives n indices into candidates
 */
void wv_rendezvous_order(struct wv_string key, struct wv_string zone,
    const struct wv_candidate *candidates, size_t n, size_t *order);

/**
 * Returns the index of the most preferred candidate, the first one of
 * wv_rendezvous_order(), or 0 if n is 0.
 */
size_t wv_rendezvous_first(struct wv_string key, struct wv_string zone,
    const struct wv_candidate *candidates, size_t n);

/**
 * Returns the lane of a request, from 0 to lanes - 1, or 0 if lanes is 0. The
 * same customer and request always get the same lane.
 *
 * @param request  identifier of the request
 * @param lanes    number of lanes
 */
uint32_t wv_rendezvous_lane(
    struct wv_string customer, uint64_t request, uint32_t lanes);

#endif
