/**
 * @file
 * The executor of one lane of a back end: admission, slots, choice of
 * searchers, scatter and gather. A lane is a fixed part of each searcher's
 * slots and connections of a back end, leased by one VM.
 *
 * All functions of an executor are called by one thread at a time. Strings in
 * events and actions are borrowed for the duration of the call.
 */
#ifndef WISTERIAVANE_EXECUTOR_H
#define WISTERIAVANE_EXECUTOR_H

#include "wisteriavane/contract.h"
#include "wisteriavane/topology.h"

/** Kinds of requests. */
enum wv_work {
	WV_WORK_SEARCH, /**< idempotent; sent to every service */
	WV_WORK_JOB /**< runs at most once; sent to one service */
};

/** A request of a caller. */
struct wv_request {
	uint64_t id; /**< unique; chosen by the executor's user */
	enum wv_work work;
	struct wv_string customer;
	enum wv_rank rank;
	struct wv_string text; /**< the query, or the job's payload */
	struct wv_string key; /**< the job's key; empty for a search */
	wv_msec deadline; /**< absolute time, on the executor's clock */
	double coverage_minimum; /**< requested by the caller, 0 to 1 */
};

/** A hit of a search. */
struct wv_hit {
	struct wv_string id;
	double score;
	struct wv_string text;
};

/** A request to one searcher: one attempt of one shard, or of a job. */
struct wv_shard_request {
	struct wv_attempt_id attempt;
	uint64_t request; /**< id of the caller's request */
	enum wv_work work;
	size_t searcher; /**< index of the searcher in the topology */
	const struct wv_searcher_info *info;
	struct wv_string service;
	struct wv_string text;
	struct wv_string key;
	uint64_t index_version; /**< the only one to answer from */
	uint64_t map; /**< the only one to answer from */
	wv_msec timeout; /**< time left for the attempt, ms */
	bool extra; /**< a hedge or a retry */
};

/** Outcome of an attempt. */
enum wv_reply_outcome {
	WV_REPLY_ANSWERED, /**< a complete, well-formed answer */
	WV_REPLY_NOT_STARTED, /**< refused before it started */
	WV_REPLY_VERSION_GONE, /**< version or map not held; not started */
	WV_REPLY_NOT_SENT, /**< no byte sent, such as connection refused */
	WV_REPLY_STOPPED, /**< started, then stopped by deadline or cancel */
	WV_REPLY_FAILED, /**< broken connection, truncated or malformed reply */
	WV_REPLY_TIMED_OUT /**< no answer within the timeout */
};

/** The reply of a searcher, or the failure to get one. */
struct wv_shard_reply {
	struct wv_attempt_id attempt;
	enum wv_reply_outcome outcome;
	uint64_t index_version; /**< as reported by the searcher */
	uint64_t map;
	uint64_t documents; /**< documents that were searched */
	uint64_t documents_total; /**< documents of the shard; 0 if unknown */
	bool partial; /**< the searcher left something out */
	bool draining; /**< the searcher reported that it is leaving */
	const struct wv_hit *hits;
	size_t n_hits;
	const uint64_t *versions; /**< index versions that the searcher holds */
	size_t n_versions;
};

/** Reply of a searcher to a cancel. */
enum wv_cancel_outcome {
	WV_CANCEL_FREED, /**< the slot is free */
	WV_CANCEL_UNKNOWN /**< not known; the slot stays taken */
};

/** How much of the data an answer covers. */
struct wv_coverage {
	uint32_t shards; /**< shards with a complete merged reply */
	uint32_t shards_total;
	uint64_t documents; /**< documents searched and merged */
	uint64_t documents_total; /**< 0 if unknown */
};

/** The answer to a request. */
struct wv_answer {
	uint64_t request;
	struct wv_status status;
	bool full; /**< every shard was answered completely */
	bool started; /**< at least one attempt was sent */
	struct wv_coverage coverage;
	uint64_t index_version;
	uint64_t map;
	const struct wv_hit *hits; /**< best first */
	size_t n_hits;
	uint32_t attempts; /**< sent to searchers, extra ones too */
};

struct wv_executor_sink;

/**
 * Actions of an executor. An action must not call back into the executor; its
 * result is reported by a later event.
 */
struct wv_executor_ops {
	/** Sends a request to a searcher. */
	void (*send)(struct wv_executor_sink *sink,
	    const struct wv_shard_request *request);
	/**
	 * Asks a searcher to stop an attempt. A later wv_executor_cancelled()
	 * reports its reply.
	 */
	void (*cancel)(struct wv_executor_sink *sink, size_t searcher,
	    struct wv_attempt_id attempt);
	/** Answers a request, which the executor releases afterwards. */
	void (*answer)(
	    struct wv_executor_sink *sink, const struct wv_answer *answer);
};

/** Receives the actions of an executor; place it first in a larger struct. */
struct wv_executor_sink {
	const struct wv_executor_ops *ops;
};

/** Settings of an executor; wv_executor_config_init() sets the defaults. */
struct wv_executor_config {
	uint64_t vm; /**< xxHash of the VM's name */
	uint64_t incarnation; /**< incarnation of this process */
	/**
	 * Attempt counter that the executors of a thread share, or NULL.
	 * Outlives the executor.
	 */
	uint64_t *next_attempt;
	uint32_t lane; /**< number of the lane, from 0 */
	uint32_t seed; /**< seed of the random generator */
	size_t max_hits; /**< largest number of hits in an answer */
	uint32_t queue_limit; /**< waiting requests per service and rank */
	bool hedge; /**< whether hedges are sent */
	/**
	 * Time after an attempt's deadline, in ms, after which its slot is
	 * freed without confirmation by the searcher. Covers network latency
	 * (the searcher's own deadline starts later), the searcher's timer, and
	 * stalls of both processes. The cost of a new connection is added.
	 */
	wv_msec slot_margin;
};

/** Sources of the report that a searcher is leaving. */
enum wv_leaving_source {
	WV_LEAVING_VM_LIST,
	WV_LEAVING_STORE,
	WV_LEAVING_HEALTH,
	WV_LEAVING_HEADER,
	WV_LEAVING_REFUSED,
	WV_LEAVING_PEER
};

/** An attempt of a previous holder of the lane that may still run. */
struct wv_running_attempt {
	struct wv_attempt_id attempt;
	struct wv_string searcher; /**< id of the searcher */
	wv_msec until; /**< its slot is freed by then, absolute time */
};

struct wv_executor;

/** Sets the default settings. */
void wv_executor_config_init(struct wv_executor_config *config);

/**
 * Creates an executor without a lease; it sends nothing until
 * wv_executor_set_lease().
 *
 * @param config    copied; next_attempt outlives the executor
 * @param topology  copied
 * @param sink      borrowed; outlives the executor
 */
struct wv_executor *wv_executor_create(const struct wv_executor_config *config,
    const struct wv_topology *topology, struct wv_executor_sink *sink);

/** Releases an executor; requests in progress are not answered. */
void wv_executor_destroy(struct wv_executor *executor);

/** Applies a newer topology; others are ignored. Running attempts go on. */
void wv_executor_set_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology);

/**
 * Sets the expiry of the lane's lease, before which attempts may be sent. A
 * time in the past ends the lease: requests of which nothing was sent are
 * refused with WV_HOLDER_UNREACHABLE. Running attempts go on in any case.
 *
 * @param until  absolute time of expiry
 */
void wv_executor_set_lease(
    struct wv_executor *executor, wv_msec now, wv_msec until);

/**
 * Sends nothing until a time, because attempts of a previous holder that handed
 * nothing over may still run.
 *
 * @param until  absolute; ignored if before the present end
 */
void wv_executor_quarantine(struct wv_executor *executor, wv_msec until);

/**
 * Takes a slot for an attempt of a previous holder until it is released or
 * expires. Attempts of unknown searchers are ignored.
 */
void wv_executor_adopt_attempt(
    struct wv_executor *executor, const struct wv_running_attempt *running);

/** Calls visit for each attempt that still takes a slot, adopted ones too. */
void wv_executor_foreach_running(const struct wv_executor *executor,
    void (*visit)(void *data, const struct wv_running_attempt *attempt),
    void *data);

/**
 * Frees the slot of an adopted attempt after the previous holder has reported
 * its end.
 */
void wv_executor_release_adopted(
    struct wv_executor *executor, wv_msec now, struct wv_attempt_id id);

/**
 * Returns whether a request would be admitted now, without admitting it or
 * charging its limits. Jobs are checked before they are claimed in the store.
 *
 * @param contract  NULL if the customer has none
 * @return WV_OK, or the code of the refusal, which is described in status
 */
enum wv_code wv_executor_check(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract,
    struct wv_status *status);

/**
 * Submits a request. The answer comes through the sink, possibly before the
 * return. What is needed later of the strings and the contract is copied.
 *
 * @param contract  NULL if the customer has none
 */
void wv_executor_submit(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract);

/**
 * Drops a request whose caller has gone. A search is not answered and its
 * attempts are cancelled. A job that was not sent is answered with
 * WV_JOB_NOT_RUN; one that was sent goes on and is answered normally, since its
 * record needs the outcome.
 */
void wv_executor_abandon(
    struct wv_executor *executor, wv_msec now, uint64_t request);

/**
 * Handles the reply to an attempt. Replies to unknown attempts are only
 * counted.
 */
void wv_executor_reply(struct wv_executor *executor, wv_msec now,
    const struct wv_shard_reply *reply);

/** Handles a searcher's reply to a cancel. */
void wv_executor_cancelled(struct wv_executor *executor, wv_msec now,
    struct wv_attempt_id id, enum wv_cancel_outcome outcome);

/** Records that a generation of a searcher is leaving; it gets no new work. */
void wv_executor_mark_leaving(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source);

/** Records which index versions and which partition map a searcher holds. */
void wv_executor_update_versions(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, const uint64_t *versions, size_t n_versions,
    uint64_t map);

/** Handles all timers that are due. */
void wv_executor_tick(struct wv_executor *executor, wv_msec now);

/**
 * Returns the absolute time at which wv_executor_tick() is due next, or
 * WV_MSEC_NEVER.
 */
wv_msec wv_executor_next_tick(const struct wv_executor *executor);

/** Returns the number of requests in progress. */
size_t wv_executor_pending(const struct wv_executor *executor);

/**
 * Returns the state as JSON: services with their queues and searchers,
 * customers, requests and counters. The string is owned by the caller.
 */
struct wv_string wv_executor_dump(
    const struct wv_executor *executor, wv_msec now);

#endif
