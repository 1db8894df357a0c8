/**
 * @file
 * The two simulated deployments and their back ends, in the sizes of design.md,
 * section 1.
 */
#ifndef BENCH_DRIVER_DEPLOYMENT_H
#define BENCH_DRIVER_DEPLOYMENT_H

#include "bench/driver/searcher.h"

/** Number of entry VMs of each deployment. */
#define SIM_DEPLOYMENT_VMS 9

/** Availability zones and network delays of a deployment. */
struct sim_deployment {
	const char *name;
	uint32_t zones;
	wv_msec zone_delay; /**< one-way delay between two zones */
	wv_msec client_delay; /**< one-way delay between callers and VMs */
};

/** Size of one back end. */
struct sim_shape {
	const char *name;
	const struct sim_deployment *deployment;
	uint32_t services; /**< one for each shard */
	uint32_t replicas; /**< searchers of each service */
	uint32_t slots; /**< requests that a searcher runs at once */
	uint32_t connections; /**< connection limit of a searcher */
	wv_msec connect_cost; /**< time to open a connection */
};

extern const struct sim_deployment sim_anadolu;
extern const struct sim_deployment sim_sicilia;
extern const struct sim_shape sim_race_eve;
extern const struct sim_shape sim_counter_sales;
extern const struct sim_shape sim_supplier_desk;
/** All back ends of both deployments. */
extern const struct sim_shape *const sim_shapes[];
extern const size_t sim_n_shapes;

/** Returns the one-way delay between two zones; 0.1 ms within a zone. */
wv_msec sim_one_way_delay(
    const struct sim_deployment *deployment, uint32_t a, uint32_t b);

/** A back end: its topology and its simulated searchers. */
struct sim_back_end {
	const struct sim_shape *shape;
	struct wv_topology *topology; /**< owned */
	struct sim_searcher *searchers; /**< owned; in the topology's order */
	GHashTable *job_runs; /**< job key -> number of runs; owned */
};

/** Initializes a back end; replicas of a service are spread over the zones. */
void sim_back_end_init(struct sim_back_end *back_end, struct sim *sim,
    const struct sim_shape *shape);

/** Releases a back end. */
void sim_back_end_clear(struct sim_back_end *back_end);

/** Returns the total number of slots of a back end's searchers. */
uint32_t sim_back_end_count_slots(const struct sim_back_end *back_end);

#endif
