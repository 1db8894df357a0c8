/**
 * @file
 * Serves requests at the searchers: one request to one searcher, or one
 * request to a searcher of each service with the answers merged.
 *
 * Decides which searcher gets a request, when an attempt is repeated, when a
 * caller is refused and when an answer with missing parts is better than a
 * late one. Each VM serves the requests that reach it; nothing here needs a
 * message to another VM.
 */
#ifndef WISTERIAVANE_DISPATCH_H
#define WISTERIAVANE_DISPATCH_H

#include "wisteriavane/fleet.h"
#include "wisteriavane/routes.h"

struct wv_dispatch;
struct wv_task;

/** Kinds of final results. */
enum wv_result_kind {
	WV_RESULT_RELAY, /**< the answer of one searcher, passed on unchanged */
	WV_RESULT_PARTS, /**< the parts in the task, to be merged */
	WV_RESULT_REFUSED, /**< did not run and never will */
	WV_RESULT_FAILED, /**< no usable answer; may have run */
	WV_RESULT_EXPIRED /**< out of time; may have run */
};

/** Why a request ends without a full answer. */
enum wv_reason {
	WV_REASON_NONE,
	WV_REASON_UNREACHABLE, /**< no searcher can be reached */
	WV_REASON_NO_CAPACITY, /**< no searcher had room in time */
	WV_REASON_REJECTED, /**< the searchers that were asked rejected it */
	WV_REASON_BROKEN, /**< the connection ended without an answer */
	WV_REASON_SEARCHER_FAILED, /**< searchers answered with failures */
	WV_REASON_DEADLINE, /**< the time is up */
	WV_REASON_STOPPING /**< this VM ends */
};

/** The final result of a request. */
struct wv_result {
	enum wv_result_kind kind;
	enum wv_reason reason;
	wv_msec retry_after; /**< refused: when to come back */
	void *message; /**< relay: the answer, which the receiver owns */
};

/** What the embedder reports about an attempt. */
struct wv_reply {
	enum wv_attempt_end end;
	bool success; /**< the answer reports success */
	void *message; /**< the answer, if any; the dispatch owns it then */
};

/** A part of the answer, or the search for it. */
struct wv_shard {
	struct wv_fleet_service *service; /**< borrowed */
	struct wv_task *task;
	void *message; /**< the part, once it is in */
	bool settled; /**< in, or given up */
	bool waiting; /**< in the service's queue */
	bool arrived; /**< an attempt has reached a searcher */
	unsigned live; /**< attempts on the way */
	unsigned sent; /**< attempts that may have run */
	unsigned rejected; /**< attempts that did not run */
	unsigned n_tried;
	const struct wv_searcher *tried[6]; /**< compared, never followed */
	struct wv_attempt *attempts; /**< live ones */
	void *timer; /**< owned by the dispatch */
	enum wv_reason reason; /**< of the last failure */
};

/** One attempt at a searcher. */
struct wv_attempt {
	struct wv_task *task; /**< NULL once nobody waits for it */
	struct wv_shard *shard; /**< valid while task is set */
	struct wv_attempt *next_of_shard;
	struct wv_searcher *searcher;
	struct wv_attempt *next; /**< of the searcher */
	struct wv_attempt *previous;
	wv_msec sent_at;
	wv_msec due_at; /**< overdue after this time */
	wv_msec deadline; /**< given up at this time */
	bool extra; /**< drawn from the allowance */
	bool idempotent;
	void *pace; /**< borrowed; usual latencies of its route */
	void *timer; /**< owned by the dispatch */
	void *link; /**< owned by the embedder */
};

/** One request. */
struct wv_task {
	struct wv_routes *routes; /**< counted reference */
	const struct wv_route *route; /**< of that version */
	wv_msec arrived;
	wv_msec deadline; /**< the final answer is due */
	size_t n_shards;
	size_t needed; /**< least number of parts */
	size_t included; /**< parts that are in */
	size_t given_up; /**< parts that will not come */
	bool may_have_run; /**< some searcher may have worked on it */
	unsigned attempts; /**< sent so far */
	unsigned extra; /**< of those, hedges and retries */
	int stage; /**< private */
	struct wv_fleet_service *held_for; /**< private; NULL: not held */
	void *pace; /**< private; usual latencies of its route */
	void *timer; /**< owned by the dispatch */
	void *caller; /**< owned by the embedder */
	struct wv_shard shards[]; /**< one per service */
};

/** What the dispatch asks of its embedder. */
struct wv_dispatch_ops {
	/** Sends an attempt; reports later by wv_dispatch_reply(). */
	void (*send)(struct wv_dispatch_ops *ops, struct wv_attempt *attempt);
	/** Breaks an attempt off; no reply follows. */
	void (*cancel)(struct wv_dispatch_ops *ops, struct wv_attempt *attempt);
	/** Answers the caller; the task ends after the call. */
	void (*answer)(struct wv_dispatch_ops *ops, struct wv_task *task,
	    const struct wv_result *result);
	/** Releases a message. */
	void (*drop)(struct wv_dispatch_ops *ops, void *message);
	/** An attempt that did not succeed ended; for logs. */
	void (*failed)(struct wv_dispatch_ops *ops,
	    const struct wv_attempt *attempt, enum wv_attempt_end end,
	    wv_msec elapsed);
};

/** Bounds that the deployment sets. */
struct wv_dispatch_terms {
	struct wv_allowance_terms allowance; /**< with this VM's slack */
	double divisor; /**< this VM may use one in so many connections */
};

/** Creates a dispatch; fleet and ops are borrowed. */
struct wv_dispatch *wv_dispatch_create(
    struct wv_fleet *fleet, struct wv_dispatch_ops *ops, uint64_t seed);

/** Releases it; there must be no task left. */
void wv_dispatch_destroy(struct wv_dispatch *dispatch);

/** Sets the bounds; takes effect for the next decision. */
void wv_dispatch_set_terms(
    struct wv_dispatch *dispatch, const struct wv_dispatch_terms *terms);

/** Takes the connection caps of the services of a new version. */
void wv_dispatch_set_routes(
    struct wv_dispatch *dispatch, const struct wv_routes *routes);

/**
 * Serves a request. The answer may come before the call returns; the task is
 * invalid then, and NULL is returned.
 *
 * @param limit   time that the caller still waits, ms
 * @param caller  stored in the task
 */
struct wv_task *wv_dispatch_submit(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route, wv_msec limit,
    void *caller);

/** Takes the end of an attempt, which is invalid afterwards. */
void wv_dispatch_reply(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_attempt *attempt, const struct wv_reply *reply);

/** The caller has left: breaks off all attempts; the task is invalid. */
void wv_dispatch_leave(struct wv_dispatch *dispatch, struct wv_task *task);

/** This VM ends: answers the task with what is known, breaks off the rest. */
void wv_dispatch_abort(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/** Does what is due. */
void wv_dispatch_tick(struct wv_dispatch *dispatch, wv_msec now);

/** Returns when wv_dispatch_tick() has work, or WV_MSEC_NEVER. */
wv_msec wv_dispatch_next(const struct wv_dispatch *dispatch);

/** Tries waiting requests again after the fleet has changed. */
void wv_dispatch_fleet_changed(struct wv_dispatch *dispatch, wv_msec now);

/** Returns a reason's name, such as "no_capacity". */
const char *wv_reason_name(enum wv_reason reason);

/** Returns the name of an end of an attempt, such as "rejected". */
const char *wv_attempt_end_name(enum wv_attempt_end end);

#endif
