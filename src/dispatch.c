/**
 * @file
 * Requests as a whole: admission, deadlines, and when an answer with missing
 * parts is given.
 */
#include <math.h>

#include "src/dispatch_private.h"

/**
 * Time that an answer needs from here to the caller, and the request needed
 * from it, ms.
 */
#define CALLER_DELAY 8.0
/** Time past the objective for which missing parts are waited for, targets. */
#define PATIENCE_TARGETS 1.0
/** When a refused caller should come back, ms. */
#define RETRY_AFTER_UNREACHABLE 500.0
#define RETRY_AFTER_CAPACITY 150.0
/** Tolerance for the least part of the services, which is a fraction. */
#define RATIO_TOLERANCE 1e-9

static void
pace_destroy(gpointer data)
{
	struct pace *pace = data;

	wv_string_clear(&pace->name);
	g_free(pace->credit);
	g_free(pace);
}

struct wv_dispatch *
wv_dispatch_create(
    struct wv_fleet *fleet, struct wv_dispatch_ops *ops, uint64_t seed)
{
	struct wv_dispatch *dispatch = g_new0(struct wv_dispatch, 1);

	dispatch->fleet = fleet;
	dispatch->ops = ops;
	dispatch->random = seed | 1;
	dispatch->paces = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, pace_destroy);
	dispatch->terms.divisor = 1;
	return dispatch;
}

void
wv_dispatch_destroy(struct wv_dispatch *dispatch)
{
	wv_timers_clear(&dispatch->timers);
	g_hash_table_unref(dispatch->paces);
	g_free(dispatch);
}

void
wv_dispatch_set_terms(
    struct wv_dispatch *dispatch, const struct wv_dispatch_terms *terms)
{
	dispatch->terms = *terms;
	dispatch->terms.divisor = fmax(terms->divisor, 1);
}

void
wv_dispatch_set_routes(
    struct wv_dispatch *dispatch, const struct wv_routes *routes)
{
	for (size_t i = 0; i < routes->n_services; i++)
		wv_fleet_service(dispatch->fleet, routes->services[i].name)
		    ->connections = routes->services[i].connections;
}

struct dispatch_timer *
dispatch_timer_create(enum dispatch_timer_kind kind, void *owner)
{
	struct dispatch_timer *timer = g_new0(struct dispatch_timer, 1);

	timer->timer.kind = kind;
	timer->owner = owner;
	return timer;
}

void
dispatch_timer_set(struct wv_dispatch *dispatch, void *timer, wv_msec at)
{
	wv_timers_set(
	    &dispatch->timers, &((struct dispatch_timer *)timer)->timer, at);
}

void
dispatch_timer_destroy(struct wv_dispatch *dispatch, void *timer)
{
	wv_timers_remove(
	    &dispatch->timers, &((struct dispatch_timer *)timer)->timer);
	g_free(timer);
}

static struct wv_task *
task_create(struct wv_dispatch *dispatch, wv_msec now, struct wv_routes *routes,
    const struct wv_route *route, wv_msec limit)
{
	bool scatter = route->kind == WV_ROUTE_SCATTER;
	size_t n = scatter ? route->n_services : 1;
	struct wv_task *task =
	    g_malloc0(sizeof(struct wv_task) + n * sizeof(struct wv_shard));

	task->routes = wv_routes_ref(routes);
	task->route = route;
	task->arrived = now;
	task->deadline = now + fmin(limit, route->timeout) - CALLER_DELAY;
	task->n_shards = n;
	task->needed = scatter
	    ? (size_t)ceil(route->min_ratio * (double)n - RATIO_TOLERANCE)
	    : 1;
	task->needed = MAX(task->needed, 1);
	task->pace = dispatch_pace(dispatch, route);
	task->timer = dispatch_timer_create(TIMER_TASK, task);
	return task;
}

static void
add_shard(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    size_t i, struct wv_string service)
{
	struct wv_shard *shard = &task->shards[i];

	shard->task = task;
	shard->service = wv_fleet_service(dispatch->fleet, service);
	shard->timer = dispatch_timer_create(TIMER_SHARD, shard);
	wv_allowance_first(
	    &shard->service->allowance, &dispatch->terms.allowance, now);
}

static void
add_shards(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	const struct wv_route *route = task->route;

	if (route->kind == WV_ROUTE_SINGLE) {
		size_t i = dispatch_pick_service(task->pace, route);

		add_shard(dispatch, now, task, 0, route->services[i]);
		return;
	}
	for (size_t i = 0; i < task->n_shards; i++)
		add_shard(dispatch, now, task, i, route->services[i]);
}

static void
set_task_timer(struct wv_dispatch *dispatch, struct wv_task *task)
{
	const struct wv_route *route = task->route;
	wv_msec at = task->deadline;

	if (task->stage == STAGE_HELD)
		at = task->arrived + dispatch_pace_hold(task->pace, route);
	else if (task->stage == STAGE_TARGET)
		at = task->arrived + route->target - CALLER_DELAY;
	else if (task->stage == STAGE_PATIENCE)
		at = task->arrived + route->target * (1 + PATIENCE_TARGETS);
	dispatch_timer_set(dispatch, task->timer, fmin(at, task->deadline));
}

/* Attempts that are still on the way end unheard. */
static void
detach_attempts(struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		struct wv_attempt *attempt = task->shards[i].attempts;

		for (; attempt != NULL; attempt = attempt->next_of_shard)
			attempt->task = NULL;
	}
}

static void
task_destroy(struct wv_dispatch *dispatch, struct wv_task *task)
{
	detach_attempts(task);
	dispatch_unhold(task);
	for (size_t i = 0; i < task->n_shards; i++) {
		struct wv_shard *shard = &task->shards[i];

		if (shard->waiting)
			g_queue_remove(&shard->service->waiting, shard);
		if (shard->message != NULL)
			dispatch->ops->drop(dispatch->ops, shard->message);
		dispatch_timer_destroy(dispatch, shard->timer);
	}
	dispatch_timer_destroy(dispatch, task->timer);
	wv_routes_unref(task->routes);
	g_free(task);
}

void
dispatch_finish(struct wv_dispatch *dispatch, struct wv_task *task,
    const struct wv_result *result)
{
	dispatch->ops->answer(dispatch->ops, task, result);
	task_destroy(dispatch, task);
}

/* Whether some searcher may have worked on it, or may still begin to. */
static bool
may_run(const struct wv_task *task)
{
	if (task->may_have_run)
		return true;
	for (size_t i = 0; i < task->n_shards; i++) {
		if (task->shards[i].live > 0)
			return true;
	}
	return false;
}

static void
end_without_answer(
    struct wv_dispatch *dispatch, struct wv_task *task, enum wv_reason reason)
{
	struct wv_result result = {.reason = reason};

	if (!may_run(task)) {
		result.kind = WV_RESULT_REFUSED;
		result.retry_after = reason == WV_REASON_UNREACHABLE
		    ? RETRY_AFTER_UNREACHABLE
		    : RETRY_AFTER_CAPACITY;
	} else {
		result.kind = reason == WV_REASON_DEADLINE ? WV_RESULT_EXPIRED
							   : WV_RESULT_FAILED;
	}
	dispatch_finish(dispatch, task, &result);
}

static void
relay(struct wv_dispatch *dispatch, struct wv_task *task)
{
	struct wv_shard *shard = &task->shards[0];
	struct wv_result result = {
	    .kind = WV_RESULT_RELAY, .message = shard->message};

	shard->message = NULL;
	dispatch_finish(dispatch, task, &result);
}

static void
answer_parts(struct wv_dispatch *dispatch, struct wv_task *task)
{
	struct wv_result result = {.kind = WV_RESULT_PARTS};

	dispatch_finish(dispatch, task, &result);
}

static enum wv_reason
first_reason(const struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		if (task->shards[i].settled &&
		    task->shards[i].reason != WV_REASON_NONE)
			return task->shards[i].reason;
	}
	return WV_REASON_DEADLINE;
}

bool
dispatch_settle(struct wv_dispatch *dispatch, struct wv_task *task)
{
	bool enough = task->included >= task->needed;

	if (task->route->kind == WV_ROUTE_SINGLE) {
		if (task->shards[0].message != NULL)
			relay(dispatch, task);
		else if (task->given_up > 0)
			end_without_answer(
			    dispatch, task, task->shards[0].reason);
		else
			return false;
		return true;
	}
	if (task->included + task->given_up == task->n_shards && enough) {
		answer_parts(dispatch, task);
		return true;
	}
	if (task->n_shards - task->given_up < task->needed) {
		end_without_answer(dispatch, task, first_reason(task));
		return true;
	}
	if (enough && task->stage == STAGE_DEADLINE) {
		answer_parts(dispatch, task);
		return true;
	}
	return false;
}

static void
task_due(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	if (task->included >= task->needed &&
	    task->route->kind == WV_ROUTE_SCATTER) {
		answer_parts(dispatch, task);
	} else if (now >= task->deadline) {
		end_without_answer(dispatch, task, WV_REASON_DEADLINE);
	} else if (task->stage == STAGE_HELD) {
		dispatch_pace_admitted(task->pace, false);
		end_without_answer(dispatch, task, WV_REASON_NO_CAPACITY);
	} else {
		task->stage++;
		set_task_timer(dispatch, task);
	}
}

/* Parts that can be asked for now or soon; too few: no part is asked for. */
static bool
is_servable(const struct wv_task *task, wv_msec now)
{
	size_t reachable = 0;

	for (size_t i = 0; i < task->n_shards; i++)
		reachable += dispatch_reachable(task->shards[i].service, now);
	return reachable >= task->needed;
}

bool
dispatch_begin(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	dispatch_pace_admitted(task->pace, true);
	for (size_t i = 0; i < task->n_shards; i++)
		dispatch_place(dispatch, now, &task->shards[i]);
	if (dispatch_settle(dispatch, task))
		return false;
	task->stage = task->route->kind == WV_ROUTE_SCATTER ? STAGE_TARGET
							    : STAGE_DEADLINE;
	set_task_timer(dispatch, task);
	return true;
}

struct wv_task *
wv_dispatch_submit(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route, wv_msec limit,
    void *caller)
{
	struct wv_task *task = task_create(dispatch, now, routes, route, limit);

	task->caller = caller;
	add_shards(dispatch, now, task);
	if (task->deadline <= now) {
		end_without_answer(dispatch, task, WV_REASON_DEADLINE);
		return NULL;
	}
	if (!is_servable(task, now)) {
		end_without_answer(dispatch, task, WV_REASON_UNREACHABLE);
		return NULL;
	}
	if (dispatch_hold(task)) {
		task->stage = STAGE_HELD;
		set_task_timer(dispatch, task);
		return task;
	}
	return dispatch_begin(dispatch, now, task) ? task : NULL;
}

static void
cancel_attempts(struct wv_dispatch *dispatch, struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		while (task->shards[i].attempts != NULL)
			dispatch_cancel(dispatch, task->shards[i].attempts);
	}
}

void
wv_dispatch_leave(struct wv_dispatch *dispatch, struct wv_task *task)
{
	cancel_attempts(dispatch, task);
	task_destroy(dispatch, task);
}

void
wv_dispatch_abort(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	(void)now;
	if (task->route->kind == WV_ROUTE_SCATTER &&
	    task->included >= task->needed)
		answer_parts(dispatch, task);
	else
		end_without_answer(dispatch, task, WV_REASON_STOPPING);
}

static void
handle_timer(struct wv_dispatch *dispatch, wv_msec now, struct timer *timer)
{
	void *owner = ((struct dispatch_timer *)timer)->owner;

	if (timer->kind == TIMER_TASK)
		task_due(dispatch, now, owner);
	else if (timer->kind == TIMER_SHARD)
		dispatch_shard_due(dispatch, now, owner);
	else
		dispatch_attempt_due(dispatch, now, owner);
}

void
wv_dispatch_tick(struct wv_dispatch *dispatch, wv_msec now)
{
	struct timer *timer;

	while ((timer = wv_timers_pop(&dispatch->timers, now)) != NULL)
		handle_timer(dispatch, now, timer);
}

wv_msec
wv_dispatch_next(const struct wv_dispatch *dispatch)
{
	return wv_timers_next(&dispatch->timers);
}

static void
pump_of(void *data, struct wv_searcher *searcher)
{
	GHashTable *services = data;

	if (!g_queue_is_empty(&searcher->service->waiting) ||
	    !g_queue_is_empty(&searcher->service->held_back))
		g_hash_table_add(services, searcher->service);
}

void
wv_dispatch_fleet_changed(struct wv_dispatch *dispatch, wv_msec now)
{
	GHashTable *services = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer service;

	wv_fleet_visit(dispatch->fleet, pump_of, services);
	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		dispatch_pump(dispatch, now, service);
	g_hash_table_unref(services);
}

static const char *const reason_names[] = {"none", "unreachable", "no_capacity",
    "rejected", "broken", "searcher_failed", "deadline", "stopping"};

const char *
wv_reason_name(enum wv_reason reason)
{
	return reason < G_N_ELEMENTS(reason_names) ? reason_names[reason]
						   : "unknown";
}

static const char *const end_names[] = {
    "answered", "rejected", "wrong_searcher", "failed", "not_sent", "broken"};

const char *
wv_attempt_end_name(enum wv_attempt_end end)
{
	return end < G_N_ELEMENTS(end_names) ? end_names[end] : "unknown";
}
