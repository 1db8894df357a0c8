/**
 * @file
 * Discrete-event simulation: a virtual clock, a heap of scheduled events and a
 * seeded random number generator. Equal seeds give equal runs.
 */
#ifndef BENCH_DRIVER_SIM_H
#define BENCH_DRIVER_SIM_H

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** Runs an event. Data allocated for a single event is freed by the callback.
 */
typedef void (*sim_event_callback)(void *data);

/** The state of one simulation run. */
struct sim {
	wv_msec now; /**< virtual time since the start of the run */
	GRand *rand; /**< owned */
	GArray *heap; /**< binary min-heap of events; internal */
	uint64_t next_sequence; /**< orders events of equal time; internal */
};

/** Initializes a run at virtual time 0. */
void sim_init(struct sim *sim, uint32_t seed);

/** Releases a run. The data of events that did not run is not released. */
void sim_clear(struct sim *sim);

/**
 * Schedules an event. A time in the past means now. Events of the same time run
 * in the order in which they were scheduled.
 */
void sim_schedule(
    struct sim *sim, wv_msec time, sim_event_callback callback, void *data);

/** Runs all events up to and including a time, then sets the clock to it. */
void sim_run_until(struct sim *sim, wv_msec until);

/** Draws from an exponential distribution with the given mean. */
double sim_draw_exponential(struct sim *sim, double mean);

/**
 * Draws from a log-normal distribution with the given mean; sigma is the
 * standard deviation of the logarithm.
 */
double sim_draw_log_normal(struct sim *sim, double mean, double sigma);

#endif
