/**
 * @file
 * Internal state of an executor and the functions that its source files share.
 */
#ifndef WISTERIAVANE_SRC_EXECUTOR_PRIVATE_H
#define WISTERIAVANE_SRC_EXECUTOR_PRIVATE_H

#include "src/query.h"

/**
 * Time after an attempt's deadline, in ms, at which a missing reply counts as a
 * timeout. Covers network latency (the searcher's own deadline starts later)
 * and the searcher's timer. The topology's cost of a new connection is added.
 */
#define REPLY_MARGIN_MS 10.0
/** Maximum number of restarts of one query on a newer snapshot. */
#define MAX_RESTARTS 2
/** Latency samples of a service that are needed before it sends hedges. */
#define MIN_HEDGE_SAMPLES 4

/** One request to a searcher. Lives until its slot is free again. */
struct attempt {
	struct wv_attempt_id id; /**< key in the executor's table */
	struct timer timer;
	struct searcher *searcher;
	struct shard *shard; /**< NULL once the outcome no longer counts */
	uint64_t generation; /**< of the searcher at the time of the send */
	enum wv_rank rank;
	bool adopted; /**< sent by a previous holder of the lane */
	size_t late_index; /**< index in service->late_attempts plus 1, or 0 */
	bool outcome_recorded; /**< the outcome was recorded in the replica */
	wv_msec sent;
	wv_msec given_up_at; /**< since when its outcome no longer counts */
	wv_msec reply_due; /**< a missing reply is a timeout from then on */
	wv_msec slot_free_by; /**< the slot is freed by then at the latest */
	struct attempt *next; /**< in the executor's free list */
};

/** Contract shares and budgets of one customer. */
struct customer {
	struct wv_string name; /**< owned; key in the executor's table */
	uint64_t contract_version; /**< of the shares; 0: none in force */
	double shares[WV_RANK_COUNT];
	struct wv_budget hedges;
	struct wv_budget retries;
};

/** Counters of one executor, reported in its JSON dump. */
struct executor_counters {
	uint64_t requests;
	uint64_t refused;
	uint64_t answers;
	uint64_t answers_full;
	uint64_t abandoned;
	uint64_t attempts;
	uint64_t hedges;
	uint64_t retries;
	uint64_t probes;
	uint64_t restarts;
	uint64_t cancels;
	uint64_t late_replies;
	uint64_t unknown_replies;
	uint64_t snapshot_mismatches;
	uint64_t partial_replies;
	uint64_t failed_replies;
	uint64_t slots_expired;
};

struct wv_executor {
	struct wv_executor_config config;
	struct wv_executor_sink *sink;
	struct wv_topology *topology; /**< owned */
	struct service **services; /**< owned; by index in the topology */
	struct searcher **searchers; /**< owned; by index in the topology */
	GPtrArray *retired; /**< owned; removed, but with slots taken */
	GHashTable *searcher_ids; /**< id -> searcher in the topology */
	GHashTable *attempts; /**< id -> attempt whose slot is not free yet */
	GHashTable *queries; /**< id -> query in progress */
	GHashTable *customers; /**< owned; name -> customer */
	GPtrArray *dirty; /**< services for the next wv_dispatch() */
	struct timers timers;
	struct timer quarantine; /**< end of the quarantine */
	wv_msec quarantine_until; /**< nothing is sent before */
	wv_msec lease_until; /**< expiry of the lane's lease */
	struct wv_limits *limits; /**< owned */
	struct snapshot snapshot; /**< for new queries */
	bool ignore_health; /**< too many searchers look lost */
	bool snapshot_stale; /**< the snapshot must be chosen again */
	uint64_t random; /**< state of wv_random_next() */
	uint64_t own_counter; /**< used if config.next_attempt is NULL */
	struct query *unused_queries; /**< free list */
	struct attempt *unused_attempts; /**< free list */
	struct wv_hit *best_hits; /**< buffer for config.max_hits hits */
	struct executor_counters counters;
};

/* Slots and attempts: executor_attempt.c. */

/**
 * Sends an attempt of a shard to a searcher with a free slot.
 *
 * @param extra  whether it is a hedge or a retry, which the budgets paid for
 */
void wv_attempt_start(struct wv_executor *executor, wv_msec now,
    struct shard *shard, struct searcher *searcher, bool extra);

/** Frees the slot of an attempt and releases the attempt. */
void wv_attempt_free(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/** Records the outcome of an attempt and frees its slot. */
void wv_attempt_end(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome);

/**
 * Records a failure of the searcher if it has not reported the end of an
 * attempt that was given up. The slot stays taken until slot_free_by or until
 * the searcher confirms that it is free.
 */
void wv_attempt_overdue(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/**
 * Frees the slot of an attempt that was given up.
 *
 * @param confirmed  whether the searcher reported that the slot is free
 */
void wv_attempt_close(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool confirmed);

/**
 * Handles a broken or missing reply: the outcome counts as a failure, but the
 * slot stays taken.
 *
 * @param cancel  whether the searcher is asked to stop
 */
void wv_attempt_fail(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome, bool cancel);

/**
 * Gives an attempt up: its outcome no longer counts, but its slot stays taken.
 *
 * @param cancel  whether the searcher is asked to stop
 */
void wv_attempt_give_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool cancel);

/** Returns the attempt with an identifier, or NULL. */
struct attempt *wv_attempt_find(
    const struct wv_executor *executor, struct wv_attempt_id id);

/** Allocates an attempt, adds it to the table and takes a slot. */
struct attempt *wv_attempt_create(struct wv_executor *executor,
    struct wv_attempt_id id, struct searcher *searcher);

/**
 * Adds an attempt to the list of attempts that wait for a slot for their hedge,
 * or removes it.
 */
void wv_attempt_set_late(struct attempt *attempt, bool late);

/**
 * Updates capacity and snapshot choice after the state of a searcher's replica
 * may have changed.
 */
void wv_searcher_update_state(
    struct wv_executor *executor, struct searcher *searcher);

/* Queues: executor_dispatch.c. */

/** Marks a service for the next wv_dispatch(). */
void wv_service_mark(struct wv_executor *executor, struct service *service);

/** Marks all services for the next wv_dispatch(). */
void wv_service_mark_all(struct wv_executor *executor);

/** Sends what the marked services can send. Called at the end of each event. */
void wv_dispatch(struct wv_executor *executor, wv_msec now);

/** Adds a shard to the queue of its service. */
void wv_shard_push(struct wv_executor *executor, struct shard *shard);

/**
 * Returns whether attempts may be sent now: the lane's lease is valid and the
 * quarantine is over.
 */
bool wv_executor_may_send(const struct wv_executor *executor, wv_msec now);

/** Returns the criteria for the searcher of a shard's next attempt. */
struct criteria wv_shard_criteria(const struct shard *shard);

/* Outcomes: executor_shard.c. */

/** Handles a reply whose outcome counts. */
void wv_shard_reply(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, const struct wv_shard_reply *reply);

/**
 * Restarts the query or leaves the shard out after no searcher of the service
 * holds the pinned snapshot any more.
 */
void wv_shard_snapshot_gone(
    struct wv_executor *executor, wv_msec now, struct shard *shard);

/**
 * Leaves a shard out; answers the query if that decides it. A job is answered
 * with WV_JOB_NOT_RUN instead.
 */
void wv_shard_leave_out(struct wv_executor *executor, wv_msec now,
    struct shard *shard, enum wv_code reason);

/**
 * Sends a hedge for an attempt that is late. If it cannot be sent now, waits
 * for a free slot or for budget.
 */
void wv_shard_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/**
 * Sends a hedge for a late attempt if a searcher and budget are available.
 *
 * @return whether it was sent
 */
bool wv_shard_try_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/* Requests: executor_query.c. */

/** Returns the snapshot for new and restarted queries. */
struct snapshot wv_executor_snapshot(struct wv_executor *executor);

/** Answers a search from the replies merged so far and releases it. */
void wv_query_finish(struct wv_executor *executor, wv_msec now,
    struct query *query, bool expired);

/** Answers a request with an error code and releases it. */
void wv_query_fail(struct wv_executor *executor, wv_msec now,
    struct query *query, enum wv_code code, const char *message);

/** Answers a job that the searcher has completed, and releases it. */
void wv_query_finish_job(struct wv_executor *executor, wv_msec now,
    struct query *query, const struct wv_shard_reply *reply);

/**
 * Decides whether searcher health is to be ignored: if nearly all searchers of
 * the back end look lost at once, the fault is more likely on this VM.
 * Otherwise lost searchers count as lost, and a service without a live searcher
 * is left out of answers.
 */
void wv_executor_update_ignore_health(struct wv_executor *executor);

/** Answers a request whose deadline has passed. */
void wv_query_expire(
    struct wv_executor *executor, wv_msec now, struct query *query);

/** Passes the contracts' shares per rank to the admission of each service. */
void wv_executor_apply_shares(struct wv_executor *executor);

/** Releases a request without an answer. */
void wv_query_drop(
    struct wv_executor *executor, wv_msec now, struct query *query);

/* Topology: executor_topology.c. */

/**
 * Builds services and searchers from a topology; those that it still has are
 * kept. The topology is copied.
 */
void wv_executor_apply_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology);

/** Releases the topology, all services and all searchers. */
void wv_executor_clear_topology(struct wv_executor *executor);

/** Releases retired searchers whose slots are all free. */
void wv_executor_sweep_retired(struct wv_executor *executor);

/** Creates a table keyed by struct wv_string; values may be owned. */
GHashTable *wv_string_table_create(GDestroyNotify destroy_value);

#endif
