/**
 * @file
 * Life cycle of requests: admission, deadlines, and full or partial answers.
 */
#include <math.h>
#include <stdlib.h>

#include "src/dispatch_private.h"

/*
 * Time reserved for the request and its answer on the network if it is not
 * known, ms.
 */
#define DEFAULT_NETWORK_TIME_MS 8.0
/* Time reserved for writing an answer, without its parts, ms. */
#define ANSWER_TIME_MS 2.0
/*
 * Longest reserved time, in latency objectives: the answer to a caller that is
 * far away is late in any case, and must have enough parts all the same.
 */
#define MAX_RESERVED_TARGETS 0.5
/*
 * Time past the latency objective for which all parts are awaited if too few
 * have arrived by then, in latency objectives.
 */
#define GRACE_TARGETS 1.0
/* Absorbs rounding when the minimum number of parts is computed. */
#define RATIO_TOLERANCE 1e-9

static void
route_latency_destroy(gpointer data)
{
	struct route_latency *latency = data;

	wv_string_clear(&latency->name);
	g_free(latency->credit);
	g_free(latency);
}

struct wv_dispatch *
wv_dispatch_create(
    struct wv_registry *registry, struct wv_dispatch_ops *ops, uint64_t seed)
{
	struct wv_dispatch *dispatch = g_new0(struct wv_dispatch, 1);

	dispatch->registry = registry;
	dispatch->ops = ops;
	dispatch->random = seed | 1;
	dispatch->order = dispatch_order_create();
	dispatch->route_latencies = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, NULL, route_latency_destroy);
	dispatch->limits.connection_divisor = 1;
	dispatch->credit_timer = dispatch_timer_create(TIMER_CREDIT, dispatch);
	dispatch->credit_at = WV_MSEC_NEVER;
	return dispatch;
}

/* Cancels the attempts that their tasks left in progress. */
static void
cancel_detached(struct wv_dispatch *dispatch)
{
	struct timer *timer;

	while ((timer = wv_timers_pop(&dispatch->timers, INFINITY)) != NULL) {
		if (timer->kind == TIMER_DISPATCH_ATTEMPT)
			dispatch_cancel(
			    dispatch, ((struct dispatch_timer *)timer)->owner);
	}
}

void
wv_dispatch_destroy(struct wv_dispatch *dispatch)
{
	cancel_detached(dispatch);
	dispatch_timer_destroy(dispatch, dispatch->credit_timer);
	wv_timers_clear(&dispatch->timers);
	g_hash_table_unref(dispatch->route_latencies);
	dispatch_order_destroy(dispatch->order);
	g_free(dispatch);
}

void
wv_dispatch_set_limits(
    struct wv_dispatch *dispatch, const struct wv_dispatch_limits *limits)
{
	dispatch->limits = *limits;
	dispatch->limits_version++;
	dispatch->limits.cold.divisor = fmax(limits->cold.divisor, 1);
	dispatch->limits.cold.members = MAX(limits->cold.members, 1);
	dispatch->limits.connection_divisor =
	    fmax(limits->connection_divisor, 1);
}

void
wv_dispatch_set_order(struct wv_dispatch *dispatch, enum wv_order order)
{
	dispatch_order_set(dispatch->order, order);
}

void
wv_dispatch_set_routes(
    struct wv_dispatch *dispatch, const struct wv_routes *routes)
{
	for (size_t i = 0; i < routes->n_services; i++) {
		const struct wv_route_service *source = &routes->services[i];
		struct wv_registry_service *service =
		    wv_registry_service(dispatch->registry, source->name);

		service->connections = source->connections;
		service->cold_rate = source->cold_rate;
		service->cold_time = source->cold_time;
	}
	dispatch->limits_version++;
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

/*
 * Returns the part of the caller's time that is not left to searchers, ms: for
 * the network, and for reading and merging the parts that arrive last.
 */
static wv_msec
reserved_time(const struct wv_dispatch *dispatch, const struct wv_route *route,
    size_t n_shards, wv_msec network_time)
{
	wv_msec time = network_time > 0 ? network_time + ANSWER_TIME_MS
					: DEFAULT_NETWORK_TIME_MS;

	if (route->kind == WV_ROUTE_SCATTER)
		time += (double)n_shards * dispatch->limits.part_time;
	return fmin(time, route->target * MAX_RESERVED_TARGETS);
}

struct wv_task *
dispatch_new_task(const struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller)
{
	bool scatter = route->kind == WV_ROUTE_SCATTER;
	size_t n = scatter ? route->n_services : 1;
	struct wv_task *task =
	    g_malloc0(sizeof(struct wv_task) + n * sizeof(struct wv_shard));

	task->routes = routes;
	task->route = route;
	task->team = caller->team;
	task->rank = wv_route_rank(route, caller->team);
	task->caller = caller->data;
	task->arrived = now;
	task->reserved =
	    reserved_time(dispatch, route, n, caller->network_time);
	task->deadline =
	    now + fmin(caller->limit, route->timeout) - task->reserved;
	task->n_shards = n;
	task->needed = scatter
	    ? (size_t)ceil(route->min_ratio * (double)n - RATIO_TOLERANCE)
	    : 1;
	task->needed = MAX(task->needed, 1);
	return task;
}

static struct wv_task *
task_create(struct wv_dispatch *dispatch, wv_msec now, struct wv_routes *routes,
    const struct wv_route *route, const struct wv_caller *caller)
{
	struct wv_task *task =
	    dispatch_new_task(dispatch, now, routes, route, caller);

	wv_routes_ref(routes);
	task->latency = dispatch_route_latency(dispatch, route);
	task->timer = dispatch_timer_create(TIMER_TASK, task);
	return task;
}

static void
add_shard(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    size_t i, struct wv_string service)
{
	struct wv_shard *shard = &task->shards[i];

	shard->task = task;
	shard->service = wv_registry_service(dispatch->registry, service);
	shard->timer = dispatch_timer_create(TIMER_SHARD, shard);
	wv_allowance_count_first(
	    &shard->service->allowance, &dispatch->limits.allowance, now);
}

static void
add_shards(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	const struct wv_route *route = task->route;

	if (route->kind == WV_ROUTE_SINGLE) {
		size_t i = dispatch_pick_service(task->latency, route);

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

	if (task->stage == STAGE_DEFERRED)
		at = task->arrived + dispatch_max_defer_time(dispatch, task);
	else if (task->stage == STAGE_TARGET)
		at = task->arrived + route->target - task->reserved;
	else if (task->stage == STAGE_GRACE)
		at = task->arrived + route->target * (1 + GRACE_TARGETS);
	dispatch_timer_set(dispatch, task->timer, fmin(at, task->deadline));
}

/* Lets the attempts in progress end without a task. */
static void
detach_attempts(struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		struct wv_attempt *attempt = task->shards[i].attempts;

		for (; attempt != NULL; attempt = attempt->next_in_shard)
			attempt->task = NULL;
	}
}

static void
task_destroy(struct wv_dispatch *dispatch, struct wv_task *task)
{
	detach_attempts(task);
	dispatch_remove_deferred(task);
	dispatch_order_remove(dispatch->order, task);
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

/* Whether a searcher may have run the request or may still run it. */
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
finish_without_answer(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_task *task, enum wv_reason reason)
{
	struct wv_result result = {.reason = reason};

	if (!may_run(task)) {
		result.kind = WV_RESULT_REFUSED;
		result.retry_after =
		    dispatch_choose_retry_after(dispatch, now, task, reason);
	} else {
		result.kind = reason == WV_REASON_DEADLINE ? WV_RESULT_EXPIRED
							   : WV_RESULT_FAILED;
	}
	dispatch_finish(dispatch, task, &result);
}

static void
finish_with_relay(struct wv_dispatch *dispatch, struct wv_task *task)
{
	struct wv_shard *shard = &task->shards[0];
	struct wv_result result = {
	    .kind = WV_RESULT_RELAY, .message = shard->message};

	shard->message = NULL;
	dispatch_finish(dispatch, task, &result);
}

static void
finish_with_parts(struct wv_dispatch *dispatch, struct wv_task *task)
{
	struct wv_result result = {.kind = WV_RESULT_PARTS};

	dispatch_finish(dispatch, task, &result);
}

static enum wv_reason
find_first_reason(const struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		if (task->shards[i].finished &&
		    task->shards[i].reason != WV_REASON_NONE)
			return task->shards[i].reason;
	}
	return WV_REASON_DEADLINE;
}

bool
dispatch_try_finish(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	bool enough = task->included >= task->needed;

	if (task->route->kind == WV_ROUTE_SINGLE) {
		if (task->shards[0].message != NULL)
			finish_with_relay(dispatch, task);
		else if (task->given_up > 0)
			finish_without_answer(
			    dispatch, now, task, task->shards[0].reason);
		else
			return false;
		return true;
	}
	if (task->included + task->given_up == task->n_shards && enough) {
		finish_with_parts(dispatch, task);
		return true;
	}
	if (task->n_shards - task->given_up < task->needed) {
		finish_without_answer(
		    dispatch, now, task, find_first_reason(task));
		return true;
	}
	if (enough && task->stage == STAGE_DEADLINE) {
		finish_with_parts(dispatch, task);
		return true;
	}
	return false;
}

static void
task_timer_fired(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	if (task->included >= task->needed &&
	    task->route->kind == WV_ROUTE_SCATTER) {
		finish_with_parts(dispatch, task);
	} else if (now >= task->deadline) {
		finish_without_answer(dispatch, now, task, WV_REASON_DEADLINE);
	} else if (task->stage == STAGE_DEFERRED) {
		dispatch_record_admission(dispatch, task, false);
		finish_without_answer(
		    dispatch, now, task, WV_REASON_NO_CAPACITY);
	} else {
		task->stage++;
		set_task_timer(dispatch, task);
	}
}

/*
 * Whether enough services have a usable searcher. If not, no attempt is sent.
 */
static bool
has_enough_services(
    struct wv_dispatch *dispatch, const struct wv_task *task, wv_msec now)
{
	size_t reachable = 0;

	for (size_t i = 0; i < task->n_shards; i++)
		reachable +=
		    dispatch_is_reachable(dispatch, now, &task->shards[i]);
	return reachable >= task->needed;
}

/* Returns whether evacuations leave fewer services than a task needs. */
static bool
is_evacuated(const struct wv_task *task)
{
	size_t left = task->n_shards;

	for (size_t i = 0; i < task->n_shards; i++)
		left -=
		    wv_registry_service_is_evacuated(task->shards[i].service);
	return left < task->needed;
}

/* Returns why too few services of a task have a usable searcher. */
static enum wv_reason
find_unreachable_reason(
    struct wv_dispatch *dispatch, const struct wv_task *task, wv_msec now)
{
	if (is_evacuated(task))
		return WV_REASON_EVACUATED;
	for (size_t i = 0; i < task->n_shards; i++) {
		const struct wv_registry_service *service =
		    task->shards[i].service;

		if (!dispatch_is_reachable(dispatch, now, &task->shards[i]) &&
		    dispatch_unreachable_reason(service, now) == WV_REASON_COLD)
			return WV_REASON_COLD;
	}
	return WV_REASON_UNREACHABLE;
}

enum wv_reason
dispatch_find_refusal(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_task *task)
{
	if (task->deadline <= now)
		return WV_REASON_DEADLINE;
	return has_enough_services(dispatch, task, now)
	    ? WV_REASON_NONE
	    : find_unreachable_reason(dispatch, task, now);
}

/* Refuses the deferred tasks that evacuations leave too few services. */
static void
refuse_evacuated(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	GList *all = g_list_copy(service->deferred_tasks.head);

	for (GList *item = all; item != NULL; item = item->next) {
		if (is_evacuated(item->data))
			finish_without_answer(
			    dispatch, now, item->data, WV_REASON_EVACUATED);
	}
	g_list_free(all);
}

bool
dispatch_start_task(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	dispatch_record_admission(dispatch, task, true);
	for (size_t i = 0; i < task->n_shards; i++)
		dispatch_send_or_queue(dispatch, now, &task->shards[i]);
	if (dispatch_try_finish(dispatch, now, task))
		return false;
	task->stage = task->route->kind == WV_ROUTE_SCATTER ? STAGE_TARGET
							    : STAGE_DEADLINE;
	set_task_timer(dispatch, task);
	return true;
}

struct wv_task *
wv_dispatch_submit(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller)
{
	struct wv_task *task =
	    task_create(dispatch, now, routes, route, caller);
	enum wv_reason refusal;

	add_shards(dispatch, now, task);
	refusal = dispatch_find_refusal(dispatch, now, task);
	if (refusal != WV_REASON_NONE) {
		finish_without_answer(dispatch, now, task, refusal);
		return NULL;
	}
	if (dispatch_defer(dispatch, now, task)) {
		if (dispatch_is_hopeless(task, now)) {
			finish_without_answer(
			    dispatch, now, task, WV_REASON_DEADLINE);
			return NULL;
		}
		task->stage = STAGE_DEFERRED;
		set_task_timer(dispatch, task);
		return task;
	}
	return dispatch_start_task(dispatch, now, task) ? task : NULL;
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
wv_dispatch_cancel_task(struct wv_dispatch *dispatch, struct wv_task *task)
{
	cancel_attempts(dispatch, task);
	task_destroy(dispatch, task);
}

void
wv_dispatch_abort_task(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	if (task->route->kind == WV_ROUTE_SCATTER &&
	    task->included >= task->needed)
		finish_with_parts(dispatch, task);
	else
		finish_without_answer(dispatch, now, task, WV_REASON_STOPPING);
}

/* Sends what waits for credit, and awaits the next one if some still waits. */
static void
credit_timer_fired(struct wv_dispatch *dispatch, wv_msec now)
{
	dispatch->credit_at = WV_MSEC_NEVER;
	wv_dispatch_registry_changed(dispatch, now);
}

static void
handle_timer(struct wv_dispatch *dispatch, wv_msec now, struct timer *timer)
{
	void *owner = ((struct dispatch_timer *)timer)->owner;

	if (timer->kind == TIMER_TASK)
		task_timer_fired(dispatch, now, owner);
	else if (timer->kind == TIMER_SHARD)
		dispatch_shard_timer_fired(dispatch, now, owner);
	else if (timer->kind == TIMER_CREDIT)
		credit_timer_fired(dispatch, now);
	else
		dispatch_attempt_timer_fired(dispatch, now, owner);
}

void
wv_dispatch_tick(struct wv_dispatch *dispatch, wv_msec now)
{
	struct timer *timer;

	while ((timer = wv_timers_pop(&dispatch->timers, now)) != NULL)
		handle_timer(dispatch, now, timer);
}

wv_msec
wv_dispatch_next_tick(const struct wv_dispatch *dispatch)
{
	return wv_timers_next(&dispatch->timers);
}

static void
collect_service(void *data, struct wv_searcher *searcher)
{
	GHashTable *services = data;

	if (!g_queue_is_empty(&searcher->service->waiting) ||
	    !g_queue_is_empty(&searcher->service->deferred_tasks))
		g_hash_table_add(services, searcher->service);
}

void
wv_dispatch_registry_changed(struct wv_dispatch *dispatch, wv_msec now)
{
	GHashTable *services = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer service;

	wv_registry_foreach(dispatch->registry, collect_service, services);
	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		refuse_evacuated(dispatch, now, service);
		dispatch_send_waiting(dispatch, now, service);
	}
	g_hash_table_unref(services);
}

static const char *const reason_names[] = {"none", "unreachable", "no_capacity",
    "rejected", "broken", "searcher_failed", "deadline", "stopping",
    "evacuated", "cold"};

const char *
wv_reason_name(enum wv_reason reason)
{
	return reason < G_N_ELEMENTS(reason_names) ? reason_names[reason]
						   : "unknown";
}

static const char *const end_names[] = {"answered", "rejected",
    "wrong_searcher", "failed", "not_sent", "broken", "reset"};

const char *
wv_attempt_end_name(enum wv_attempt_end end)
{
	return end < G_N_ELEMENTS(end_names) ? end_names[end] : "unknown";
}
