/**
 * @file
 * A simulated searcher: a queue, a number of slots, counters, and faults that
 * can be switched on during a run.
 */
#ifndef BENCH_DRIVER_SEARCHER_H
#define BENCH_DRIVER_SEARCHER_H

#include "bench/driver/sim.h"

/**
 * Sigma of the log-normal service times; docs/measurements.md gives the reason.
 */
#define SIM_SERVICE_TIME_SIGMA 0.6

/** Faults of a searcher; zero-initialized means no fault. */
struct sim_faults {
	double slow; /**< factor on service times; 0 is taken as 1 */
	bool lost; /**< drops requests and cancels without a reply */
	bool shedding; /**< rejects all requests before they start */
	bool draining; /**< reports that it is leaving; still serves */
	bool refusing; /**< refuses connections */
	bool wrong_version; /**< answers with the next index version */
	bool partial; /**< searches only half of its documents */
	bool truncated; /**< answers are cut off and fail */
	bool doubled; /**< each reply is delivered twice */
	bool crossed; /**< replies carry a wrong attempt id */
	bool manual; /**< sends no answers; a trace injects replies */
	wv_msec reply_delay; /**< additional delay of each reply */
};

struct sim_client;

/** Receiver of replies; embedded in the structure of the sender. */
struct sim_client {
	struct sim *sim;
	void (*reply)(
	    struct sim_client *client, const struct wv_shard_reply *reply);
	void (*cancelled)(struct sim_client *client,
	    struct wv_attempt_id attempt, enum wv_cancel_outcome outcome);
	wv_msec paused_until; /**< deliveries are postponed until then */
	bool dead; /**< deliveries are discarded */
};

/** A simulated searcher. Its counters may be read at any time. */
struct sim_searcher {
	struct sim *sim;
	struct wv_string id; /**< borrowed */
	uint32_t zone; /**< index of its zone */
	uint32_t slots;
	wv_msec mean_service_time; /**< mean service time */
	double service_time_sigma; /**< of the log-normal; 0: fixed time */
	uint64_t oldest_version; /**< oldest index version that it holds */
	uint64_t index_version; /**< newest one; all between are held too */
	uint64_t map; /**< version of its shard map */
	uint64_t documents; /**< number of documents of its shard */
	struct sim_faults faults;
	GPtrArray *calls; /**< queued and running requests; internal */
	uint32_t running; /**< requests that occupy a slot */
	uint32_t max_present; /**< highest calls->len so far */
	uint64_t received; /**< requests that arrived */
	uint64_t runs; /**< requests that started */
	uint64_t double_runs; /**< starts of a job that had started before */
	GHashTable *job_runs; /**< job key -> number of runs; borrowed */
	wv_msec busy_time; /**< slot time used since measured_from */
	wv_msec measured_from; /**< busy time before this is not counted */
	wv_msec last_arrival; /**< time of the last received request */
};

/**
 * Initializes a searcher.
 *
 * @param job_runs  number of runs of each job key, shared by all searchers of
 *                  the back end
 */
void sim_searcher_init(struct sim_searcher *searcher, struct sim *sim,
    const struct wv_searcher_info *info, GHashTable *job_runs);

/** Releases a searcher. No event may run afterwards. */
void sim_searcher_clear(struct sim_searcher *searcher);

/**
 * Sends a request. It arrives after the connect cost and the one-way delay; the
 * reply takes the same delay. The client must outlive the run.
 */
void sim_searcher_send(struct sim_searcher *searcher, struct sim_client *client,
    const struct wv_shard_request *request, wv_msec delay,
    wv_msec connect_cost);

/**
 * Aborts a request without a reply. Returns false if the searcher has no
 * request with this attempt id.
 */
bool sim_searcher_abort(
    struct sim_searcher *searcher, struct wv_attempt_id attempt);

/** Sends a cancel; its outcome is passed to the client's cancelled callback. */
void sim_searcher_cancel(struct sim_searcher *searcher,
    struct sim_client *client, struct wv_attempt_id attempt, wv_msec delay);

#endif
