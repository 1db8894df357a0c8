/**
 * @file
 * Request dispatcher: routes a request to one searcher (single), or to one
 * searcher of each service and collects the parts (scatter).
 *
 * Selects searchers, sends hedges (further attempts while an earlier one is
 * late) and retries (attempts after a failed one), refuses requests in
 * overload, and returns a partial answer when waiting for the missing parts
 * would make it late. Each VM dispatches the requests that it receives without
 * any coordination with other VMs.
 */
#ifndef WISTERIAVANE_DISPATCH_H
#define WISTERIAVANE_DISPATCH_H

#include "wisteriavane/registry.h"
#include "wisteriavane/routes.h"

struct wv_dispatch;
struct wv_task;

/** Kind of the final result of a request. */
enum wv_result_kind {
	WV_RESULT_RELAY, /**< the answer of one searcher, passed on unchanged */
	WV_RESULT_PARTS, /**< the parts in the task, to be merged */
	WV_RESULT_REFUSED, /**< no searcher ran it or will run it */
	WV_RESULT_FAILED, /**< no usable answer; may have run */
	WV_RESULT_EXPIRED /**< deadline exceeded; may have run */
};

/** Why a request or a shard request got no answer. */
enum wv_reason {
	WV_REASON_NONE,
	WV_REASON_UNREACHABLE, /**< no usable searcher */
	WV_REASON_NO_CAPACITY, /**< no free connection in time */
	WV_REASON_REJECTED, /**< rejected by the searchers, not run */
	WV_REASON_BROKEN, /**< the connection ended without an answer */
	WV_REASON_SEARCHER_FAILED, /**< searchers answered with failures */
	WV_REASON_DEADLINE, /**< deadline exceeded */
	WV_REASON_STOPPING, /**< this VM is stopping */
	WV_REASON_EVACUATED, /**< too few searchers outside evacuated zones */
	WV_REASON_COLD /**< only cold searchers, and no credit for them */
};

/** The final result of a request. */
struct wv_result {
	enum wv_result_kind kind;
	enum wv_reason reason;
	wv_msec retry_after; /**< refused: delay before a retry, ms */
	void *message; /**< relay: the answer; the receiver takes ownership */
};

/** Outcome of an attempt, reported by the embedder. */
struct wv_reply {
	enum wv_attempt_end end;
	bool success; /**< the answer reports success */
	bool leaving; /**< the searcher says that it is leaving */
	bool has_load; /**< it reports its load */
	struct wv_load_report load;
	bool has_cold; /**< it says for how long it is cold */
	wv_msec cold; /**< for so long, ms */
	wv_msec rest; /**< the searcher asks for no requests so long, ms; 0:
			   it does not */
	void *message; /**< the answer or NULL; the dispatch takes ownership */
};

/** A shard request: the part of a request that goes to one service. */
struct wv_shard {
	struct wv_registry_service *service; /**< borrowed */
	struct wv_task *task;
	void *message; /**< owned: the answer, or NULL */
	bool finished; /**< answered or given up */
	bool waiting; /**< in the service's queue for a free connection */
	bool late; /**< waiting: its task can't meet its objective */
	bool arrived; /**< an attempt was sent to a searcher */
	unsigned live; /**< attempts in progress */
	unsigned sent; /**< attempts that may have run */
	unsigned rejected; /**< attempts that did not run */
	unsigned n_tried; /**< used entries of tried */
	/** Searchers to skip; only compared, never dereferenced. */
	const struct wv_searcher *tried[6];
	struct wv_attempt *attempts; /**< list of the attempts in progress */
	void *timer; /**< owned by the dispatch */
	enum wv_reason reason; /**< of the last failure */
};

/** One attempt of a shard request at one searcher. */
struct wv_attempt {
	struct wv_task *task; /**< NULL once the task has finished */
	struct wv_shard *shard; /**< valid while task is not NULL */
	struct wv_attempt *next_in_shard;
	struct wv_searcher *searcher;
	struct wv_attempt *next; /**< in the searcher's list */
	struct wv_attempt *previous;
	wv_msec sent_at;
	wv_msec overdue_at; /**< counts as overdue after this time */
	wv_msec deadline; /**< the task's deadline */
	bool extra; /**< hedge or retry, spent from the allowance */
	bool idempotent;
	bool counted; /**< in the searcher's credit for the time it is cold */
	void *latency; /**< borrowed; latency statistics of the route */
	void *timer; /**< owned by the dispatch */
	void *link; /**< owned by the embedder */
};

/** What is known of the caller of a request. */
struct wv_caller {
	wv_msec limit; /**< time that it will still wait, ms */
	/**
	 * Time that the request and its answer spend on the network, ms; for
	 * the first request of a connection with the time to establish it. 0:
	 * not known.
	 */
	wv_msec network_time;
	/** Team of the request, owned by the routes; NULL: none. */
	const struct wv_team *team;
	void *data; /**< stored in the task, owned by the embedder */
};

/** One request and its shard requests. */
struct wv_task {
	struct wv_routes *routes; /**< counted reference */
	const struct wv_route *route; /**< in routes */
	const struct wv_team *team; /**< in routes; NULL: none */
	int rank; /**< of the team or the route; 0 is the most urgent */
	wv_msec arrived;
	wv_msec deadline; /**< latest time for the result */
	wv_msec reserved; /**< for the network and the answer, ms */
	size_t n_shards;
	size_t needed; /**< minimum number of parts in an answer */
	size_t included; /**< parts received */
	size_t given_up; /**< shard requests given up */
	bool may_have_run; /**< a searcher may have run it */
	unsigned attempts; /**< attempts sent so far */
	unsigned extra; /**< hedges and retries among them */
	int stage; /**< private; enum task_stage */
	struct wv_registry_service *deferred_for; /**< private; or NULL */
	void *flow; /**< private; place in the order of waiting work, or NULL */
	double start; /**< private; virtual time of its start in the order */
	double work; /**< private; work that its flow is charged with */
	int ordered_rank; /**< private; rank in the order */
	bool is_placed; /**< private; has a place in the order */
	bool late; /**< private; deferred: it can't meet its objective */
	bool started; /**< private; an attempt was sent */
	void *latency; /**< private; latency statistics of the route */
	void *timer; /**< owned by the dispatch */
	void *caller; /**< owned by the embedder */
	struct wv_shard shards[]; /**< scatter: one per service, else one */
};

/** Ways of ordering the work that waits. */
enum wv_order {
	WV_ORDER_FAIR, /**< rank, objective, equal parts of the work by flow */
	WV_ORDER_GAIN, /**< rank, objective, least work first */
	WV_ORDER_DEFICIT, /**< rank, equal parts of the work by flow */
	WV_ORDER_DEADLINE, /**< rank, deadline */
	WV_ORDER_ARRIVAL /**< first come, first served */
};

/** Callbacks that the embedder implements. */
struct wv_dispatch_ops {
	/** Sends an attempt; wv_dispatch_reply() reports its outcome later. */
	void (*send)(struct wv_dispatch_ops *ops, struct wv_attempt *attempt);
	/** Cancels an attempt; wv_dispatch_reply() must not follow. */
	void (*cancel)(struct wv_dispatch_ops *ops, struct wv_attempt *attempt);
	/** Delivers the result; the task is freed after the call. */
	void (*answer)(struct wv_dispatch_ops *ops, struct wv_task *task,
	    const struct wv_result *result);
	/** Frees a message. */
	void (*drop)(struct wv_dispatch_ops *ops, void *message);
	/** Reports an end other than WV_END_ANSWERED, for logs. */
	void (*failed)(struct wv_dispatch_ops *ops,
	    const struct wv_attempt *attempt, enum wv_attempt_end end,
	    wv_msec elapsed);
};

/** Limits that depend on the settings and the number of VMs. */
struct wv_dispatch_limits {
	struct wv_allowance_limits
	    allowance; /**< slack is this VM's fraction */
	struct wv_cold_limits cold; /**< requests to cold searchers */
	double connection_divisor; /**< of the caps for this VM, at least 1 */
	wv_msec part_time; /**< this VM's time for a part of an answer, ms */
};

/** Creates a dispatch; the registry and ops are borrowed. */
struct wv_dispatch *wv_dispatch_create(
    struct wv_registry *registry, struct wv_dispatch_ops *ops, uint64_t seed);

/**
 * Cancels the attempts that are still in progress and frees the dispatch,
 * before its registry; all tasks must have finished.
 */
void wv_dispatch_destroy(struct wv_dispatch *dispatch);

/** Sets the limits, copied; they apply from the next decision on. */
void wv_dispatch_set_limits(
    struct wv_dispatch *dispatch, const struct wv_dispatch_limits *limits);

/**
 * Chooses the way of ordering waiting work, to compare ways; WV_ORDER_FAIR is
 * the default. Call it before the first request.
 */
void wv_dispatch_set_order(struct wv_dispatch *dispatch, enum wv_order order);

/** Applies the limits of the services in a new route table. */
void wv_dispatch_set_routes(
    struct wv_dispatch *dispatch, const struct wv_routes *routes);

/**
 * Starts a request. If it finishes before the call returns, the result has been
 * delivered by ops->answer() and NULL is returned.
 *
 * @param caller  copied
 */
struct wv_task *wv_dispatch_submit(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller);

/** Applies the outcome of an attempt and frees the attempt. */
void wv_dispatch_reply(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_attempt *attempt, const struct wv_reply *reply);

/**
 * Cancels all attempts of a task whose caller has disconnected, and frees the
 * task without a result.
 */
void wv_dispatch_cancel_task(
    struct wv_dispatch *dispatch, struct wv_task *task);

/**
 * Finishes a task because this VM is stopping: with the parts received so far
 * if they suffice, else with WV_REASON_STOPPING. Attempts in progress are
 * detached.
 */
void wv_dispatch_abort_task(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/** Handles all timers that are due. */
void wv_dispatch_tick(struct wv_dispatch *dispatch, wv_msec now);

/** Returns when wv_dispatch_tick() is due, or WV_MSEC_NEVER. */
wv_msec wv_dispatch_next_tick(const struct wv_dispatch *dispatch);

/** Retries waiting and deferred requests after the searchers have changed. */
void wv_dispatch_registry_changed(struct wv_dispatch *dispatch, wv_msec now);

/** Returns the name of a reason, such as "no_capacity". */
const char *wv_reason_name(enum wv_reason reason);

/** Returns the name of how an attempt ended, such as "rejected". */
const char *wv_attempt_end_name(enum wv_attempt_end end);

#endif
