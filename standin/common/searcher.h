/**
 * @file
 * A stand-in searcher: slots, service times, snapshots, faults and counters.
 */
#ifndef WISTERIAVANE_STANDIN_SEARCHER_H
#define WISTERIAVANE_STANDIN_SEARCHER_H

#include "standin/common/standin.h"

/** Settings that all searchers of a process share. */
struct searcher_config {
	unsigned int slots; /**< maximum concurrent requests */
	unsigned int queue; /**< maximum requests that wait for a slot */
	double service_ms; /**< median service time, ms */
	double sigma; /**< of the lognormal service time */
	double cold_ms; /**< warm-up time after a start, ms */
	double cold_factor; /**< factor of the service time at the start */
	uint64_t documents; /**< documents of each searcher */
	unsigned int hits; /**< hits in each answer */
	uint64_t version; /**< initial index version */
	uint64_t map; /**< initial version of the partition map */
	double version_every_ms; /**< interval of new versions, ms; 0: none */
};

/** The searchers of a process; they share the run counts of job keys. */
struct searcher_group;
struct searcher;

/** Creates an empty group, which lives as long as the process. */
struct searcher_group *searcher_group_create(
    const struct searcher_config *config, uint32_t seed);

/** Creates a searcher in a group, which owns it. */
struct searcher *searcher_group_add(struct searcher_group *group);

/** Returns the handler of a searcher's calls. Borrowed. */
struct wv_http_handler *searcher_handler(struct searcher *searcher);

/** Sets the server whose connections the searcher reports. */
void searcher_set_server(
    struct searcher *searcher, struct wv_http_server *server);

#endif
