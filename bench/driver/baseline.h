/**
 * @file
 * The plain baseline: every VM chooses random replicas, serves first come
 * first served, uses a fixed ninth of the slots of each searcher (at least
 * one) and sends no hedges. Other divisions of the slots can be chosen for
 * comparison.
 */
#ifndef BENCH_DRIVER_BASELINE_H
#define BENCH_DRIVER_BASELINE_H

#include "bench/driver/lane.h"

struct sim_baseline;

/** How the slots of a searcher are divided among the VMs. */
enum sim_split {
	SIM_SPLIT_ROUNDED_UP, /**< a ninth each, at least one; over the cap */
	SIM_SPLIT_WITHIN_CAP, /**< whole slots; some VMs have none */
	/**
	 * Within the cap at first; an idle slot moves to the VM that has waited
	 * longest and is in use nowhere while it is on its way.
	 */
	SIM_SPLIT_MOVING
};

/** Creates the VMs of the baseline over a back end. */
struct sim_baseline *sim_baseline_create(struct sim_back_end *back_end,
    struct sim *sim, enum sim_split split, sim_answer_callback answer,
    void *answer_data);

/** Releases the baseline. The run must not go on afterwards. */
void sim_baseline_destroy(struct sim_baseline *baseline);

/** Takes a request at a VM. */
void sim_baseline_submit(struct sim_baseline *baseline, uint32_t vm,
    const struct wv_request *request);

#endif
