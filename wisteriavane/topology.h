/**
 * @file
 * Topology of a back end: its services and their searchers.
 */
#ifndef WISTERIAVANE_TOPOLOGY_H
#define WISTERIAVANE_TOPOLOGY_H

#include "wisteriavane/status.h"

/**
 * One searcher: an upstream server that holds the partition of the data of one
 * service and executes its requests. It is one of the service's replicas.
 */
struct wv_searcher_info {
	struct wv_string id; /**< owned; unique in the back end */
	struct wv_string address; /**< owned; IP:PORT */
	struct wv_string zone; /**< owned */
	uint64_t generation; /**< increases when the searcher is replaced */
	size_t service; /**< index of its service in the topology */
	uint32_t slots; /**< concurrent requests, of all VMs together */
	uint32_t connections; /**< concurrent connections of all VMs */
	wv_msec connect_cost; /**< time to open a connection, ms */
};

/** One service: a partition of the data, served by its searchers. */
struct wv_service_info {
	struct wv_string name; /**< owned */
	size_t first_searcher; /**< index of its first searcher */
	size_t n_searchers;
};

/**
 * Topology of one back end. Searchers are grouped by service. Immutable once
 * parsed.
 */
struct wv_topology {
	struct wv_string back_end; /**< owned */
	uint64_t version; /**< version of the object in the store */
	uint64_t index_version; /**< newest published index version */
	uint64_t map; /**< version of the partition map that services follow */
	uint32_t lanes; /**< number of lanes that the slots are divided into */
	/**
	 * Number of objects in the store that hold the job records. The object
	 * of a key depends on this number, so it must never change.
	 */
	uint32_t job_buckets;
	/**
	 * Longest time that one attempt of a search may take, ms. A new holder
	 * of a lane that got no handover waits for so long, since attempts of
	 * the previous holder may still run. Jobs may use their whole deadline.
	 */
	wv_msec attempt_limit;
	struct wv_service_info *services;
	size_t n_services;
	struct wv_searcher_info *searchers;
	size_t n_searchers;
};

/**
 * Parses a topology from JSON.
 *
 * @param version  version of the object in the store
 * @param status   receives WV_TOPOLOGY_INVALID and a message that names all
 *                errors with their paths, or success
 * @return the topology, owned by the caller, or NULL on failure
 */
struct wv_topology *wv_topology_parse(
    struct wv_string json, uint64_t version, struct wv_status *status);

/** Returns a deep copy, owned by the caller. */
struct wv_topology *wv_topology_copy(const struct wv_topology *topology);

/** Releases a topology. NULL is allowed. */
void wv_topology_destroy(struct wv_topology *topology);

/**
 * Returns the index of the searcher with an id, or n_searchers if there is
 * none.
 */
size_t wv_topology_find(
    const struct wv_topology *topology, struct wv_string searcher);

#endif
