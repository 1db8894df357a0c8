/**
 * @file
 * The executor of one lane on one VM, connected to simulated searchers in
 * virtual time. A lane is a fixed part of each searcher's slots and connections
 * that one VM leases. Takes the place of the daemon's upstream client.
 */
#ifndef BENCH_DRIVER_LANE_H
#define BENCH_DRIVER_LANE_H

#include "bench/driver/deployment.h"

struct sim_lane;

/** Called for each answer; its strings and hits are valid during the call. */
typedef void (*sim_answer_callback)(void *data, const struct wv_answer *answer);

/** One executor with its connections to searchers. */
struct sim_lane {
	struct wv_executor_sink sink; /**< must be the first field */
	struct sim_client client; /**< receives replies; internal */
	struct sim *sim; /**< borrowed */
	struct sim_back_end *back_end; /**< borrowed */
	struct wv_executor *executor; /**< owned */
	uint32_t zone; /**< index of the VM's zone */
	uint64_t first_attempts; /**< number of first attempts sent */
	uint64_t extra_attempts; /**< number of hedges and retries sent */
	uint64_t next_attempt; /**< attempt counter; internal */
	GHashTable *pending; /**< attempt id -> attempt in flight; internal */
	uint32_t *busy_connections; /**< per searcher; internal */
	uint32_t *open_connections; /**< per searcher; internal */
	wv_msec next_tick; /**< time of the scheduled tick; internal */
	sim_answer_callback on_answer;
	/** Returns whether a job may be sent; NULL allows every job. */
	bool (*may_send_job)(void *data, uint64_t request);
	/** Called for each shard request that is sent; may be NULL. */
	void (*on_send)(void *data, const struct wv_shard_request *request);
	void *callback_data; /**< passed to these callbacks */
};

/** Creates the executor of a VM in a zone. It holds no lease yet. */
void sim_lane_init(struct sim_lane *lane, struct sim_back_end *back_end,
    struct sim *sim, struct wv_vm_id vm, uint32_t zone, uint32_t seed);

/** Releases the executor. No event may run afterwards. */
void sim_lane_clear(struct sim_lane *lane);

/** Submits a request to the executor at the current virtual time. */
void sim_lane_submit(struct sim_lane *lane, const struct wv_request *request,
    const struct wv_contract *contract);

/**
 * Schedules the executor's next tick. Must be called after each direct call to
 * the executor, since the call may change the time of the next tick.
 */
void sim_lane_schedule_tick(struct sim_lane *lane);

#endif
