/**
 * @file
 * A simple router as the baseline of comparisons: every VM chooses replicas at
 * random, serves requests in the order of arrival, uses a fixed ninth of the
 * slots of each searcher (at least one) and sends no hedges. Other divisions of
 * the slots can be selected for comparison.
 */
#ifndef BENCH_DRIVER_BASELINE_H
#define BENCH_DRIVER_BASELINE_H

#include "bench/driver/lane.h"

struct sim_baseline;

/** How the slots of a searcher are divided among the VMs. */
enum sim_split {
	/** A ninth each, at least one; the sum can exceed the slots. */
	SIM_SPLIT_ROUNDED_UP,
	/** Each slot belongs to one VM; some VMs have none. */
	SIM_SPLIT_WITHIN_CAP,
	/**
	 * Starts as SIM_SPLIT_WITHIN_CAP; an idle slot moves to the VM whose
	 * request has waited longest. No VM can use it while it is in transit.
	 */
	SIM_SPLIT_MOVING
};

/** Creates the baseline's VMs for a back end; it and sim are borrowed. */
struct sim_baseline *sim_baseline_create(struct sim_back_end *back_end,
    struct sim *sim, enum sim_split split, sim_answer_callback answer,
    void *on_answer_data);

/** Releases the baseline. No event may run afterwards. */
void sim_baseline_destroy(struct sim_baseline *baseline);

/** Submits a request at a VM. */
void sim_baseline_submit(struct sim_baseline *baseline, uint32_t vm,
    const struct wv_request *request);

#endif
