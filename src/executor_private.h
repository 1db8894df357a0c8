/**
 * @file
 * State of an executor, shared by the files that implement it.
 */
#ifndef WISTERIAVANE_SRC_EXECUTOR_PRIVATE_H
#define WISTERIAVANE_SRC_EXECUTOR_PRIVATE_H

#include "src/query.h"

/**
 * Time after an attempt's deadline at which its searcher counts as silent,
 * ms; the cost of a new connection is added. Covers the way to the searcher,
 * whose deadline starts later, and its timer.
 */
#define REPLY_MARGIN 10.0
/** Restarts of one query on a newer snapshot. */
#define MOST_RESTARTS 2
/** Latencies of a service that must be known before it hedges. */
#define HEDGE_SAMPLES 4

/** One request to a searcher, until its slot is free. */
struct attempt {
	struct wv_attempt_id id; /**< key of the executor's table */
	struct timer timer;
	struct searcher *searcher;
	struct shard *shard; /**< NULL once the outcome no longer counts */
	uint64_t generation; /**< of the searcher when it was sent */
	enum wv_rank rank;
	bool adopted; /**< sent by a former holder of the lane */
	size_t late; /**< place in its service's list plus 1; 0 if not in it */
	bool judged; /**< the replica was told how it ended */
	wv_msec sent;
	wv_msec given_up; /**< when the outcome ceased to count */
	wv_msec until; /**< the searcher should have replied by then */
	wv_msec free_at; /**< the slot is given back then at the latest */
	struct attempt *next; /**< in the list of unused ones */
};

/** What an executor knows of one customer. */
struct customer {
	struct wv_string name; /**< owned; key of the executor's table */
	uint64_t contract_version; /**< of the shares below */
	double shares[WV_RANK_COUNT];
	struct wv_budget hedges;
	struct wv_budget retries;
};

/** Counters of one executor. */
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
	struct service **services; /**< owned, by index in the topology */
	struct searcher **searchers; /**< owned, by index in the topology */
	GPtrArray *retired; /**< owned; removed but with slots taken */
	GHashTable *searcher_ids; /**< id -> searcher in the topology */
	GHashTable *attempts; /**< id -> attempt, until its slot is free */
	GHashTable *queries; /**< id -> query */
	GHashTable *customers; /**< owned; name -> customer */
	GPtrArray *dirty; /**< services that may be able to send */
	struct timers timers;
	struct timer quarantine;
	wv_msec quarantine_until;
	wv_msec right_until;
	struct wv_limits *limits; /**< owned */
	struct snapshot snapshot; /**< for new queries */
	bool doubt; /**< nearly all searchers look lost, so none counts as lost
		     */
	bool snapshot_stale; /**< it must be chosen anew */
	uint64_t random;
	uint64_t own_counter; /**< used when the settings share none */
	struct query *unused_queries;
	struct attempt *unused_attempts;
	struct wv_hit *best_hits; /**< room for config.max_hits */
	struct executor_counters counters;
};

/* Slots and attempts: executor_attempt.c. */

/** Sends a shard's attempt to a searcher with a free slot. */
void wv_attempt_start(struct wv_executor *executor, wv_msec now,
    struct shard *shard, struct searcher *searcher, bool extra);

/** Frees the slot of an attempt and forgets it. */
void wv_attempt_free(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/** Frees the slot after a reply whose outcome counts. */
void wv_attempt_end(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome);

/**
 * Takes note that a searcher was silent about an attempt whose outcome no
 * longer counts. The slot stays taken until free_at or a word of the searcher.
 */
void wv_attempt_silent(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/** Frees the slot of an attempt whose outcome no longer counts. */
void wv_attempt_close(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool heard);

/**
 * Takes a broken or missing reply: the outcome counts as a failure, but the
 * slot stays taken.
 *
 * @param cancel  whether the searcher is asked to stop
 */
void wv_attempt_fail(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome, bool cancel);

/**
 * Gives an attempt up: its outcome no longer counts, its slot stays taken.
 *
 * @param cancel  whether the searcher is asked to stop
 */
void wv_attempt_give_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool cancel);

/** Finds an attempt, or returns NULL. */
struct attempt *wv_attempt_find(
    const struct wv_executor *executor, struct wv_attempt_id id);

/** Takes an unused attempt and enters it under an identifier. */
struct attempt *wv_attempt_enter(struct wv_executor *executor,
    struct wv_attempt_id id, struct searcher *searcher);

/** Puts an attempt into its service's list of late ones, or removes it. */
void wv_attempt_set_late(struct attempt *attempt, bool late);

/** Notes that a searcher's state may have changed. */
void wv_searcher_check(struct wv_executor *executor, struct searcher *searcher);

/* Queues: executor_dispatch.c. */

/** Notes that a service may be able to send. */
void wv_service_mark(struct wv_executor *executor, struct service *service);

/** Notes it for all services. */
void wv_service_mark_all(struct wv_executor *executor);

/** Sends what the noted services can send. Ends each event. */
void wv_dispatch(struct wv_executor *executor, wv_msec now);

/** Puts a shard into its service's queue. */
void wv_shard_push(struct wv_executor *executor, struct shard *shard);

/** Returns whether work may be started now. */
bool wv_executor_may_send(const struct wv_executor *executor, wv_msec now);

/** Returns what a shard asks of a searcher. */
struct choice wv_shard_choice(const struct shard *shard);

/* Outcomes: executor_shard.c. */

/** Takes a reply whose outcome counts. */
void wv_shard_reply(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, const struct wv_shard_reply *reply);

/** Handles that no searcher of the service holds the pinned snapshot. */
void wv_shard_gone(
    struct wv_executor *executor, wv_msec now, struct shard *shard);

/** Leaves a shard out; may answer the query. */
void wv_shard_leave_out(struct wv_executor *executor, wv_msec now,
    struct shard *shard, enum wv_code reason);

/** Sends a hedge if it is allowed, else waits for a slot or for credit. */
void wv_shard_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/** Sends a hedge for a late attempt; returns whether it was sent. */
bool wv_shard_try_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt);

/* Requests: executor_query.c. */

/** Returns the snapshot for a new start. */
struct snapshot wv_executor_snapshot(struct wv_executor *executor);

/** Answers a search from what was merged and forgets it. */
void wv_query_finish(struct wv_executor *executor, wv_msec now,
    struct query *query, bool expired);

/** Answers with a code and forgets the request. */
void wv_query_fail(struct wv_executor *executor, wv_msec now,
    struct query *query, enum wv_code code, const char *message);

/** Answers a job whose upstream said that it is done. */
void wv_query_finish_job(struct wv_executor *executor, wv_msec now,
    struct query *query, const struct wv_shard_reply *reply);

/**
 * Decides whether the view of the searchers is to be doubted: if nearly all
 * of the back end look lost at once, the fault is more likely here. While some
 * answer, the loss of others is believed; a service without a live searcher is
 * left out of answers.
 */
void wv_executor_update_doubt(struct wv_executor *executor);

/** Handles that the deadline of a request has passed. */
void wv_query_expire(
    struct wv_executor *executor, wv_msec now, struct query *query);

/** Tells the admission of each service the shares of the ranks. */
void wv_executor_apply_shares(struct wv_executor *executor);

/** Forgets a request without an answer. */
void wv_query_drop(
    struct wv_executor *executor, wv_msec now, struct query *query);

/* Topology: executor_topology.c. */

/** Builds services and searchers from the executor's topology. */
void wv_executor_apply_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology);

/** Releases services and searchers. */
void wv_executor_clear_topology(struct wv_executor *executor);

/** Releases retired searchers whose slots are all free. */
void wv_executor_sweep_retired(struct wv_executor *executor);

/** Creates a table keyed by struct wv_string; values may be owned. */
GHashTable *wv_string_table_create(GDestroyNotify destroy_value);

#endif
