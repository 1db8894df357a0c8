/**
 * @file
 * An open-loop workload: searches of each rank arrive at random times at the
 * VM that holds the lane (in the baseline: at random VMs) or at one other VM;
 * their outcomes are counted.
 */
#ifndef BENCH_DRIVER_WORKLOAD_H
#define BENCH_DRIVER_WORKLOAD_H

#include "bench/driver/baseline.h"

/** Demand of the callers of one rank. */
struct sim_demand {
	double rate; /**< mean arrival rate, requests per second */
	wv_msec deadline; /**< after the arrival at the VM */
	double coverage_minimum;
	bool one_vm; /**< all requests arrive at one VM, not the holder */
	double flood_rate; /**< replaces rate during a flood */
	wv_msec flood_from; /**< since the start of the run */
	wv_msec flood_until; /**< 0 for no flood */
};

/** Outcomes of the requests of one rank that arrived while measuring. */
struct sim_outcome {
	uint64_t offered; /**< requests that arrived */
	uint64_t ok; /**< answered successfully, in full or in part */
	uint64_t full; /**< answered from all shards */
	uint64_t rejected; /**< did not run */
	uint64_t failed; /**< failed otherwise */
	uint64_t shards; /**< shards merged in successful answers */
	/**
	 * Latencies (double) in ms; owned. A request without a successful
	 * answer counts with its deadline, so that rejections cannot improve a
	 * percentile.
	 */
	GArray *latencies;
	GArray *admitted; /**< arrival times (wv_msec) of requests that
			    were not rejected, warm-up included; owned */
};

/** Outcome of one request. */
struct sim_observation {
	enum wv_rank rank;
	wv_msec arrival; /**< since the start of the run */
	wv_msec latency;
	double coverage; /**< fraction of the shards that were merged */
};

/** Parameters of one run. */
struct sim_workload {
	const struct sim_shape *shape;
	struct sim_demand demand[WV_RANK_COUNT];
	const char *contract; /**< JSON text */
	bool baseline; /**< runs the baseline instead of the executor */
	enum sim_split split; /**< division of the slots in the baseline */
	uint32_t seed;
	wv_msec warm_up; /**< time before measuring starts */
	wv_msec duration; /**< time measured after the warm-up */
	/** Sets faults of the back end before the run; may be NULL. */
	void (*prepare)(struct sim_back_end *back_end);
	/**
	 * Called for the answer to each measured request; may be NULL.
	 * A request without a successful answer has its deadline as latency.
	 */
	void (*observe)(void *data, const struct sim_observation *observation);
	void *observe_data;
};

/** Results of a run. */
struct sim_result {
	struct sim_outcome ranks[WV_RANK_COUNT];
	uint64_t first_attempts; /**< warm-up included */
	uint64_t extra_attempts; /**< hedges and retries, warm-up included */
	/** Searchers that had more requests at once than slots. */
	uint64_t searchers_over_cap;
	double busy_fraction; /**< of all slot time in use while measuring */
};

/** Runs a workload until all its requests are answered. */
void sim_workload_run(
    const struct sim_workload *workload, struct sim_result *result);

/** Releases the results. */
void sim_result_clear(struct sim_result *result);

/**
 * Returns a percentile (p from 0 to 100) of the latencies of a rank in ms, or
 * NAN if there are none.
 */
double sim_outcome_percentile(const struct sim_outcome *outcome, double p);

/** Returns the highest number of admitted requests within any second. */
uint64_t sim_outcome_max_per_second(const struct sim_outcome *outcome);

#endif
