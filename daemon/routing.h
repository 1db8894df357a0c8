/**
 * @file
 * The routing table: which VM holds each lane, and which addresses callers may
 * use. The control thread publishes a new table by read-copy-update (RCU);
 * other threads read it without a lock.
 */
#ifndef WISTERIAVANE_DAEMON_ROUTING_H
#define WISTERIAVANE_DAEMON_ROUTING_H

#include "wisteriavane/types.h"

/** The holder of a lane. */
struct route {
	struct wv_string back_end; /**< owned */
	struct wv_string lane; /**< owned; BACK_END/NUMBER */
	uint32_t n_lanes; /**< lanes of the back end */
	struct wv_string holder; /**< owned; VM; empty if unknown */
	struct wv_string holder_address; /**< owned; address for peers */
	bool local; /**< this VM holds the lane */
	uint32_t worker; /**< index of the lane's worker here */
};

/** A VM's address for callers. */
struct route_address {
	struct wv_string vm; /**< owned */
	struct wv_string zone; /**< owned */
	struct wv_string caller_address; /**< owned; IP:PORT */
};

/** A routing table. Immutable once published. */
struct routing {
	struct route *routes; /**< owned; lanes of a back end in order */
	size_t n_routes;
	struct route_address *addresses; /**< owned */
	size_t n_addresses;
};

/** An RCU-protected pointer to the current table; NULL before the first. */
struct routing_cell {
	struct routing *current;
};

/**
 * Creates an empty table, which the caller fills.
 *
 * @param n_routes     capacity for routes
 * @param n_addresses  capacity for addresses
 */
struct routing *routing_create(size_t n_routes, size_t n_addresses);

/** Frees a table. NULL is allowed. */
void routing_destroy(struct routing *routing);

/**
 * Publishes a table, waits until no thread reads the previous one, and frees
 * that one. Takes ownership of the new table. Control thread only.
 */
void routing_publish(struct routing_cell *cell, struct routing *routing);

/**
 * Returns the current table, or NULL. Call it inside an RCU read-side critical
 * section; the table is valid until its end.
 */
const struct routing *routing_get_current(const struct routing_cell *cell);

/**
 * Returns the route of a lane, or NULL if the table is NULL or lacks the back
 * end.
 *
 * @param lane  number of the lane, taken modulo the back end's number of lanes
 */
const struct route *routing_find_route(
    const struct routing *routing, struct wv_string back_end, uint32_t lane);

#endif
