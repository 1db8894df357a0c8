/**
 * @file
 * Internal declarations of the request dispatcher (src/dispatch*.c).
 */
#ifndef WISTERIAVANE_SRC_DISPATCH_PRIVATE_H
#define WISTERIAVANE_SRC_DISPATCH_PRIVATE_H

#include "src/dispatch_order.h"
#include "src/private.h"
#include "src/timers.h"
#include "wisteriavane/dispatch.h"

/**
 * Latency statistics of one route. They are looked up by the route's name and
 * survive a change of the route table.
 */
struct route_latency {
	struct wv_string name; /**< owned: the route's name */
	wv_msec median; /**< estimated median latency, ms */
	wv_msec high; /**< estimated 90th percentile, ms */
	double refusal_rate; /**< fraction of recent requests */
	double *credit; /**< owned: round robin state per service */
	size_t n_credit;
};

/** Kind of object that owns a dispatch timer. */
enum dispatch_timer_kind {
	TIMER_TASK, /**< end of the current stage of a request */
	TIMER_SHARD, /**< hedge delay, or limit of the wait for a connection */
	TIMER_DISPATCH_ATTEMPT, /**< attempt deadline plus grace */
	TIMER_CREDIT /**< credit for a cold searcher that is waited for */
};

/** A timer and its owner. */
struct dispatch_timer {
	struct timer timer;
	void *owner; /**< struct wv_task, wv_shard or wv_attempt, by kind */
};

struct wv_dispatch {
	struct wv_registry *registry; /**< borrowed */
	struct wv_dispatch_ops *ops; /**< borrowed */
	struct wv_dispatch_limits limits;
	uint64_t limits_version; /**< grows with each change of limits */
	struct timers timers;
	struct dispatch_timer *credit_timer; /**< next credit for a cold
						searcher that is waited for */
	wv_msec credit_at; /**< when it fires; WV_MSEC_NEVER: not set */
	GHashTable *route_latencies; /**< struct route_latency by route name */
	struct dispatch_order *order; /**< owned: order of waiting work */
	uint64_t random; /**< state of the random generator, not 0 */
};

/**
 * Stages of a task, in order. Each stage ends when the task timer fires, unless
 * the task finishes before.
 */
enum task_stage {
	STAGE_DEFERRED, /**< deferred: no attempt was sent yet */
	STAGE_TARGET, /**< waits for all parts until the latency objective */
	STAGE_GRACE, /**< too few parts: waits a little for all parts */
	STAGE_DEADLINE /**< waits for the minimum number of parts */
};

/** Creates an unset timer; free it with dispatch_timer_destroy(). */
struct dispatch_timer *dispatch_timer_create(
    enum dispatch_timer_kind kind, void *owner);

/** Sets a timer to an absolute time, or moves it if it is set. */
void dispatch_timer_set(struct wv_dispatch *dispatch, void *timer, wv_msec at);

/** Stops and frees a timer. */
void dispatch_timer_destroy(struct wv_dispatch *dispatch, void *timer);

/**
 * Returns the latency statistics of a route, owned by the dispatch; creates
 * them with initial estimates if there are none.
 */
struct route_latency *dispatch_route_latency(
    struct wv_dispatch *dispatch, const struct wv_route *route);

/**
 * Copies the latency statistics of a route, or the initial estimates if there
 * are none. The copy has no name and owns `credit`, to be freed.
 */
void dispatch_copy_latency(const struct wv_dispatch *dispatch,
    const struct wv_route *route, struct route_latency *copy);

/** Updates the quantile estimates with the latency of an answer. */
void dispatch_latency_add(struct route_latency *latency, wv_msec elapsed);

/**
 * Updates the refusal rate of the task's team on its route, or of the route if
 * it has no team: admitted is false for a request that was refused because it
 * stayed deferred for too long.
 */
void dispatch_record_admission(
    struct wv_dispatch *dispatch, const struct wv_task *task, bool admitted);

/** Returns the refusal rate that applies to the task, 0 to 1. */
double dispatch_refusal_rate(
    const struct wv_dispatch *dispatch, const struct wv_task *task);

/** Returns the maximum time that the task stays deferred, ms. */
wv_msec dispatch_max_defer_time(
    const struct wv_dispatch *dispatch, const struct wv_task *task);

/**
 * Returns whether the task can't meet its deadline if its work starts now and
 * takes the typical time of its route.
 */
bool dispatch_is_hopeless(const struct wv_task *task, wv_msec now);

/** Returns whether the task can't meet its objective if it starts now. */
bool dispatch_is_late(const struct wv_task *task, wv_msec now);

/** Returns the delay after which an unanswered attempt is hedged, ms. */
wv_msec dispatch_hedge_delay(
    const struct route_latency *latency, const struct wv_route *route);

/** Picks one of the services of a route by weighted round robin. */
size_t dispatch_pick_service(
    struct route_latency *latency, const struct wv_route *route);

/** Returns a random number from 0 to less than 1. */
double dispatch_random(struct wv_dispatch *dispatch);

/**
 * Returns the maximum number of concurrent attempts at one searcher: this VM's
 * fraction of its connection cap, at least 1.
 */
unsigned dispatch_connection_limit(const struct wv_dispatch *dispatch,
    const struct wv_registry_service *service);

/**
 * Returns the expected cost of one more attempt, without the random part by
 * which VMs don't all pick the same searcher.
 */
double dispatch_expected_cost(const struct wv_searcher *searcher, wv_msec now);

/** Why an attempt is made. */
enum purpose {
	PURPOSE_FIRST, /**< first attempt or retry */
	PURPOSE_HEDGE /**< an earlier attempt is late */
};

/**
 * Returns whether a searcher has a free connection for this VM, and is fast
 * enough for the task's objective or has a free slot of this VM's part.
 *
 * @param limit  dispatch_connection_limit() of its service
 */
bool dispatch_has_room(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, const struct wv_searcher *searcher,
    unsigned limit);

/**
 * Returns the searcher with the lowest expected cost that may get an attempt
 * for the shard now, or NULL if there is none.
 */
struct wv_searcher *dispatch_pick_searcher(struct wv_dispatch *dispatch,
    wv_msec now, const struct wv_shard *shard, enum purpose purpose);

/**
 * Returns how many attempts this VM may have in progress at the usable
 * searchers of a service.
 */
unsigned dispatch_count_room(const struct wv_dispatch *dispatch,
    const struct wv_registry_service *service, wv_msec now);

/**
 * Wakes the waiting shard requests of a service when a cold searcher can get a
 * further request, if it has cold ones.
 */
void dispatch_await_credit(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_registry_service *service);

/** Returns the latest time until which a task's shard requests wait. */
wv_msec dispatch_wait_limit(const struct wv_task *task);

/** Returns whether the service has a usable searcher that was not tried. */
bool dispatch_has_untried(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_shard *shard);

/**
 * Returns whether the shard's service has a usable searcher, even if that has
 * no free connection now. A cold one is usable if this VM has credit for it
 * while the shard request may wait.
 */
bool dispatch_is_reachable(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_shard *shard);

/**
 * Returns why no searcher of a service is usable: evacuated, cold or
 * unreachable.
 */
enum wv_reason dispatch_unreachable_reason(
    const struct wv_registry_service *service, wv_msec now);

/**
 * Sends the first attempt of a shard request. Queues it if no searcher has a
 * free connection, and gives it up if none is usable.
 */
void dispatch_send_or_queue(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard);

/**
 * Handles the shard's timer: ends a wait for a connection, or sends a hedge.
 */
void dispatch_shard_timer_fired(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard);

/** Handles the attempt's timer: cancels the attempt as broken. */
void dispatch_attempt_timer_fired(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_attempt *attempt);

/**
 * Sends waiting shard requests of a service while searchers have free
 * connections, then admits deferred tasks.
 */
void dispatch_send_waiting(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service);

/**
 * Marks a shard request as finished without an answer. Does not finish the
 * task; call dispatch_try_finish() afterwards.
 */
void dispatch_give_up(struct wv_shard *shard, enum wv_reason reason);

/**
 * Returns the shard request that goes first among those that wait for a
 * connection at a service, or NULL.
 */
struct wv_shard *dispatch_first_waiting(struct wv_dispatch *dispatch,
    wv_msec now, struct wv_registry_service *service);

/** Adds a shard request to those that wait at its service. */
void dispatch_insert_waiting(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard);

/**
 * Returns a service because of which a scatter request is to be deferred, or
 * NULL if it is not. Gives the task its place in the order of waiting work.
 */
struct wv_registry_service *dispatch_find_busy(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/**
 * Defers a scatter request if a shard request that goes before it waits at one
 * of its services, and fewer services than it needs have room for it: it could
 * fail after searchers have run some of its shards. Returns whether it was
 * deferred.
 */
bool dispatch_defer(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/** Removes a task from the queue of deferred tasks if it is in one. */
void dispatch_remove_deferred(struct wv_task *task);

/**
 * Creates a task with what follows from its route and caller. Its services,
 * statistics and timers are not set, and the routes are borrowed.
 */
struct wv_task *dispatch_new_task(const struct wv_dispatch *dispatch,
    wv_msec now, struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller);

/** Returns why a new task is refused at once, or WV_REASON_NONE. */
enum wv_reason dispatch_find_refusal(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_task *task);

/**
 * Sends or queues all shard requests of a task.
 *
 * @return false if the task has finished and is invalid
 */
bool dispatch_start_task(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/** Starts deferred tasks of a service that no longer need to be deferred. */
void dispatch_admit_deferred(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service);

/**
 * Finishes the task if its result is known by now.
 *
 * @return true if the task has finished and is invalid
 */
bool dispatch_try_finish(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/**
 * Returns the time after which the caller of a refused task may return: when
 * there is room for it, as far as known, with jitter, ms.
 */
wv_msec dispatch_choose_retry_after(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, enum wv_reason reason);

/** Passes the result to the embedder and frees the task. */
void dispatch_finish(struct wv_dispatch *dispatch, struct wv_task *task,
    const struct wv_result *result);

/** Cancels an attempt and frees it. */
void dispatch_cancel(struct wv_dispatch *dispatch, struct wv_attempt *attempt);

#endif
