/**
 * @file
 * What the sources of the dispatch share.
 */
#ifndef WISTERIAVANE_SRC_DISPATCH_PRIVATE_H
#define WISTERIAVANE_SRC_DISPATCH_PRIVATE_H

#include "src/private.h"
#include "src/timers.h"
#include "wisteriavane/dispatch.h"

/** Usual latencies of a route, kept over versions. */
struct pace {
	struct wv_string name; /**< owned: the route's name */
	wv_msec median;
	wv_msec high; /**< nine in ten answers take less */
	double refused; /**< recent part of requests refused for lack of room */
	double *credit; /**< owned: weighted services, smooth round robin */
	size_t n_credit;
};

/** What a timer of a dispatch belongs to. */
enum dispatch_timer_kind {
	TIMER_TASK, /**< objective or deadline of a request */
	TIMER_SHARD, /**< hedge, or end of the wait for room */
	TIMER_ROUTE_ATTEMPT /**< deadline of an attempt */
};

/** A timer and what it belongs to. */
struct dispatch_timer {
	struct timer timer;
	void *owner; /**< task, shard or attempt, by the timer's kind */
};

struct wv_dispatch {
	struct wv_fleet *fleet;
	struct wv_dispatch_ops *ops;
	struct wv_dispatch_terms terms;
	struct timers timers;
	GHashTable *paces; /**< by route name; owned */
	uint64_t random;
};

/** Stages of a task's timer. */
enum task_stage {
	STAGE_HELD, /**< held back, no part of it was asked for */
	STAGE_TARGET, /**< waits for the latency objective */
	STAGE_PATIENCE, /**< past the objective, waits for the rest */
	STAGE_DEADLINE /**< waits for the deadline */
};

/** Creates a timer that is not set. */
struct dispatch_timer *dispatch_timer_create(
    enum dispatch_timer_kind kind, void *owner);

/** Sets a timer. */
void dispatch_timer_set(struct wv_dispatch *dispatch, void *timer, wv_msec at);

/** Stops and frees a timer. */
void dispatch_timer_destroy(struct wv_dispatch *dispatch, void *timer);

/** Returns the usual latencies of a route; creates them if there are none. */
struct pace *dispatch_pace(
    struct wv_dispatch *dispatch, const struct wv_route *route);

/** Takes the latency of an answer. */
void dispatch_pace_add(struct pace *pace, wv_msec elapsed);

/** Takes whether a request was refused for lack of room. */
void dispatch_pace_admitted(struct pace *pace, bool admitted);

/** Returns how long a request may be held back for room. */
wv_msec dispatch_pace_hold(
    const struct pace *pace, const struct wv_route *route);

/** Returns after what time an attempt is repeated. */
wv_msec dispatch_pace_hedge(
    const struct pace *pace, const struct wv_route *route);

/** Picks one of a route's services by weight. */
size_t dispatch_pick_service(struct pace *pace, const struct wv_route *route);

/** What an attempt is for. */
enum purpose {
	PURPOSE_FIRST, /**< no attempt is on the way */
	PURPOSE_HEDGE /**< another one is on the way and late */
};

/** Returns the best searcher for a shard now, or NULL. */
struct wv_searcher *dispatch_pick(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, enum purpose purpose);

/** Returns whether a searcher that was not tried may get the part later. */
bool dispatch_has_other(const struct wv_shard *shard, wv_msec now);

/** Returns whether any searcher of a service may get requests, now or soon. */
bool dispatch_reachable(const struct wv_fleet_service *service, wv_msec now);

/** Sends a shard request, lets it wait, or gives it up. */
void dispatch_place(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard);

/** The shard's timer: a hedge is due, or it has waited too long. */
void dispatch_shard_due(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard);

/** The attempt's deadline has passed. */
void dispatch_attempt_due(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_attempt *attempt);

/** Sends waiting shard requests of a service as far as there is room. */
void dispatch_pump(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_fleet_service *service);

/** Gives a part up; does not look at the task. */
void dispatch_give_up(struct wv_shard *shard, enum wv_reason reason);

/** Most urgent first: by rank, then by deadline. */
int dispatch_compare(const struct wv_task *first, const struct wv_task *second);

/**
 * Holds a request back if so many of its services have parts waiting that it
 * could fail after some of its own were worked on; returns whether it did.
 */
bool dispatch_hold(struct wv_task *task);

/** Takes a task from the ones held back, if it is one. */
void dispatch_unhold(struct wv_task *task);

/** Asks for the parts of a task; returns whether the task goes on. */
bool dispatch_begin(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task);

/** Admits requests that were held back for a service, if it has room. */
void dispatch_admit_held(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_fleet_service *service);

/** Answers the task if it can be answered now; returns whether it ended. */
bool dispatch_settle(struct wv_dispatch *dispatch, struct wv_task *task);

/** Answers and ends the task. */
void dispatch_finish(struct wv_dispatch *dispatch, struct wv_task *task,
    const struct wv_result *result);

/** Breaks an attempt off and frees it. */
void dispatch_cancel(struct wv_dispatch *dispatch, struct wv_attempt *attempt);

#endif
