/**
 * @file
 * The executor of one lane of a back end: admission, choice of replicas,
 * slots, scatter and gather.
 *
 * All functions of an executor are called by one thread at a time. Strings
 * in events and actions are borrowed for the duration of the call.
 */
#ifndef WISTERIAVANE_EXECUTOR_H
#define WISTERIAVANE_EXECUTOR_H

#include "wisteriavane/contract.h"
#include "wisteriavane/topology.h"

/** Kinds of work. */
enum wv_work {
	WV_WORK_SEARCH, /**< idempotent, goes to every service */
	WV_WORK_JOB /**< runs at most once, goes to one service */
};

/** One request of a caller. */
struct wv_request {
	uint64_t id; /**< chosen by the caller of the executor */
	enum wv_work work;
	struct wv_string customer;
	enum wv_rank rank;
	struct wv_string text; /**< the query, or the job's payload */
	struct wv_string key; /**< the job's key; empty for a search */
	wv_msec deadline; /**< absolute, on the executor's clock */
	double coverage_minimum; /**< wanted by the caller, 0 to 1 */
};

/** One hit of an answer. */
struct wv_hit {
	struct wv_string id;
	double score;
	struct wv_string text;
};

/** A request to one searcher. */
struct wv_shard_request {
	struct wv_attempt_id attempt;
	uint64_t request; /**< id of the caller's request */
	enum wv_work work;
	size_t searcher; /**< index in the topology */
	const struct wv_searcher_info *info;
	struct wv_string service;
	struct wv_string text;
	struct wv_string key;
	uint64_t index_version; /**< pinned snapshot */
	uint64_t map; /**< pinned partition map */
	wv_msec timeout; /**< time left, ms */
	bool extra; /**< a hedge or a retry */
};

/** How an attempt ended. */
enum wv_reply_outcome {
	WV_REPLY_ANSWERED, /**< a whole, well-formed answer */
	WV_REPLY_NOT_STARTED, /**< refused before it started */
	WV_REPLY_VERSION_GONE, /**< version or map not held; not started */
	WV_REPLY_NOT_SENT, /**< no byte left, such as a refused connection */
	WV_REPLY_STOPPED, /**< started, stopped by deadline or cancel */
	WV_REPLY_FAILED, /**< broken, truncated or malformed */
	WV_REPLY_TIMED_OUT /**< no answer within the timeout */
};

/** What came back from a searcher. */
struct wv_shard_reply {
	struct wv_attempt_id attempt;
	enum wv_reply_outcome outcome;
	uint64_t index_version; /**< as the searcher states it */
	uint64_t map;
	uint64_t documents; /**< documents searched */
	uint64_t documents_total; /**< documents of the shard, 0 if unknown */
	bool partial; /**< the searcher left something out */
	bool draining; /**< the searcher said that it is leaving */
	const struct wv_hit *hits;
	size_t n_hits;
	const uint64_t *versions; /**< index versions that the searcher holds */
	size_t n_versions;
};

/** What a searcher says after a cancel. */
enum wv_cancel_outcome {
	WV_CANCEL_FREED, /**< the slot is free */
	WV_CANCEL_UNKNOWN /**< no proof; the slot counts as taken */
};

/** Coverage of an answer. */
struct wv_coverage {
	uint32_t shards; /**< shards merged whole */
	uint32_t shards_total;
	uint64_t documents; /**< documents searched and merged */
	uint64_t documents_total; /**< 0 if unknown */
};

/** The answer to a request. */
struct wv_answer {
	uint64_t request;
	struct wv_status status;
	bool full; /**< every shard merged whole */
	bool started; /**< at least one attempt was sent */
	struct wv_coverage coverage;
	uint64_t index_version;
	uint64_t map;
	const struct wv_hit *hits; /**< best first */
	size_t n_hits;
	uint32_t attempts; /**< shard requests sent, extra ones too */
};

struct wv_executor_sink;

/**
 * What an executor asks for. An action must not call back into the executor;
 * what follows from it is reported by a later event.
 */
struct wv_executor_ops {
	/** Sends a request to a searcher. */
	void (*send)(struct wv_executor_sink *sink,
	    const struct wv_shard_request *request);
	/** Asks a searcher to stop working on an attempt. */
	void (*cancel)(struct wv_executor_sink *sink, size_t searcher,
	    struct wv_attempt_id attempt);
	/** Answers a request; the executor forgets it afterwards. */
	void (*answer)(
	    struct wv_executor_sink *sink, const struct wv_answer *answer);
};

/** Receives an executor's actions; place it first in a larger struct. */
struct wv_executor_sink {
	const struct wv_executor_ops *ops;
};

/** Tunes an executor; wv_executor_config_init() gives the usual values. */
struct wv_executor_config {
	uint64_t vm; /**< xxHash of the VM's name */
	uint64_t incarnation; /**< incarnation of this process */
	uint64_t *next_attempt; /**< counter shared by a thread's executors */
	uint32_t lane; /**< which lane of the back end */
	uint32_t seed; /**< of the random source */
	size_t max_hits; /**< hits kept in an answer */
	uint32_t queue_limit; /**< waiting requests per rank */
	bool hedge; /**< whether hedges are sent */
	/**
	 * Time after an attempt's deadline at which its slot is given back
	 * without the searcher's word, ms. Covers the way to the searcher,
	 * whose deadline starts later, its timer, and stalls of both processes.
	 * The cost of a new connection is added.
	 */
	wv_msec slot_margin;
};

/** Sources that may report a leaving searcher. */
enum wv_leaving_source {
	WV_LEAVING_VM_LIST,
	WV_LEAVING_STORE,
	WV_LEAVING_HEALTH,
	WV_LEAVING_HEADER,
	WV_LEAVING_REFUSED,
	WV_LEAVING_PEER
};

/** An attempt that a former holder still runs. */
struct wv_running_attempt {
	struct wv_attempt_id attempt;
	struct wv_string searcher; /**< its id */
	wv_msec until; /**< taken until then at most, absolute */
};

struct wv_executor;

/** Sets the usual values. */
void wv_executor_config_init(struct wv_executor_config *config);

/**
 * Creates an executor without the right to start work.
 *
 * @param config    copied
 * @param topology  copied
 * @param sink      outlives the executor
 */
struct wv_executor *wv_executor_create(const struct wv_executor_config *config,
    const struct wv_topology *topology, struct wv_executor_sink *sink);

/** Releases an executor without further actions. */
void wv_executor_destroy(struct wv_executor *executor);

/** Takes a newer topology; running attempts go on. */
void wv_executor_set_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology);

/**
 * Grants the right to start work until a moment; a moment in the past takes
 * it away. Running attempts go on in any case.
 */
void wv_executor_set_right(
    struct wv_executor *executor, wv_msec now, wv_msec until);

/** Counts all slots as taken until a moment (start without a hand-over). */
void wv_executor_quarantine(struct wv_executor *executor, wv_msec until);

/** Counts a former holder's attempt as running. */
void wv_executor_adopt(
    struct wv_executor *executor, const struct wv_running_attempt *running);

/** Calls visit for each attempt that still takes a slot. */
void wv_executor_each_running(const struct wv_executor *executor,
    void (*visit)(void *data, const struct wv_running_attempt *attempt),
    void *data);

/** Frees the slot of an adopted attempt whose former holder reported it. */
void wv_executor_release(
    struct wv_executor *executor, wv_msec now, struct wv_attempt_id id);

/**
 * Says whether a request would be refused now, without admitting it: limits
 * are not charged. Jobs ask before they are claimed in the store.
 */
enum wv_code wv_executor_check(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract,
    struct wv_status *status);

/**
 * Takes a request. The answer comes through the sink, perhaps at once. All
 * strings and the contract are copied as far as they are needed later.
 */
void wv_executor_submit(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract);

/**
 * Drops a request whose caller has gone. A search is not answered and its
 * attempts are cancelled. A job that was not sent is answered with
 * WV_JOB_NOT_RUN; one that was sent goes on and is answered as usual, since
 * its record needs the outcome.
 */
void wv_executor_abandon(
    struct wv_executor *executor, wv_msec now, uint64_t request);

/** Takes a searcher's reply. Replies to unknown attempts are counted. */
void wv_executor_reply(struct wv_executor *executor, wv_msec now,
    const struct wv_shard_reply *reply);

/** Takes a searcher's word on a cancelled attempt. */
void wv_executor_cancelled(struct wv_executor *executor, wv_msec now,
    struct wv_attempt_id id, enum wv_cancel_outcome outcome);

/** Records that a generation of a searcher is leaving. */
void wv_executor_leaving(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source);

/** Records which index versions and which map a searcher holds. */
void wv_executor_snapshots(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, const uint64_t *versions, size_t n_versions,
    uint64_t map);

/** Does what is due. */
void wv_executor_tick(struct wv_executor *executor, wv_msec now);

/** Returns when wv_executor_tick() is due next, or WV_MSEC_NEVER. */
wv_msec wv_executor_next_tick(const struct wv_executor *executor);

/** Returns the number of requests that wait or run. */
size_t wv_executor_pending(const struct wv_executor *executor);

/**
 * Returns the state as JSON: queues, searchers with their view, requests,
 * counters. The string is owned by the caller.
 */
struct wv_string wv_executor_dump(
    const struct wv_executor *executor, wv_msec now);

#endif
