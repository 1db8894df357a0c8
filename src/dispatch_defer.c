/**
 * @file
 * Queues of waiting work: shard requests without a connection, and the deferral
 * of scatter requests in overload.
 *
 * If some shards of a request wait too long for a connection, the request fails
 * although searchers have run its other shards. So while any of its services
 * has one waiting that goes before, none of its shard requests is sent until
 * enough services have room; until then the request has not run and can be
 * refused.
 */
#include "src/dispatch_private.h"

static gint
compare_waiting(gconstpointer a, gconstpointer b, gpointer order)
{
	const struct wv_shard *first = a, *second = b;

	return dispatch_order_compare(
	    order, first->task, first->late, second->task, second->late);
}

static gint
compare_deferred(gconstpointer a, gconstpointer b, gpointer order)
{
	const struct wv_task *first = a, *second = b;

	return dispatch_order_compare(
	    order, first, first->late, second, second->late);
}

static void
add_to_order(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	const struct route_latency *latency = task->latency;

	dispatch_order_add(dispatch->order, now, task, latency->median);
}

/*
 * Other shards of a scatter request run already: little of its work is left, so
 * its gain per unit of work is high, whether it is late or not.
 */
static bool
is_late_shard(const struct wv_shard *shard, wv_msec now)
{
	return shard->task->route->kind == WV_ROUTE_SINGLE &&
	    dispatch_is_late(shard->task, now);
}

void
dispatch_insert_waiting(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	add_to_order(dispatch, now, shard->task);
	shard->waiting = true;
	shard->late = is_late_shard(shard, now);
	g_queue_insert_sorted(
	    &shard->service->waiting, shard, compare_waiting, dispatch->order);
}

/*
 * Whether work can meet its objective is known for certain only when it comes
 * first. Work that no longer can is put back, once.
 */
struct wv_shard *
dispatch_first_waiting(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	struct wv_shard *shard;

	while ((shard = g_queue_peek_head(&service->waiting)) != NULL) {
		if (shard->late || !is_late_shard(shard, now))
			return shard;
		g_queue_pop_head(&service->waiting);
		dispatch_insert_waiting(dispatch, now, shard);
	}
	return NULL;
}

static void
insert_deferred(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    struct wv_registry_service *service)
{
	task->deferred_for = service;
	task->late = dispatch_is_late(task, now);
	g_queue_insert_sorted(
	    &service->deferred_tasks, task, compare_deferred, dispatch->order);
}

static struct wv_task *
first_deferred(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	struct wv_task *task;

	while ((task = g_queue_peek_head(&service->deferred_tasks)) != NULL) {
		if (task->late || !dispatch_is_late(task, now))
			return task;
		g_queue_pop_head(&service->deferred_tasks);
		insert_deferred(dispatch, now, task, service);
	}
	return NULL;
}

/* Whether a waiting shard request goes before a task. */
static bool
goes_before(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, const struct wv_task *task)
{
	bool late = shard->late || is_late_shard(shard, now);

	return dispatch_order_compare(dispatch->order, shard->task, late, task,
		   dispatch_is_late(task, now)) <= 0;
}

/* The same for all that wait at a service, without a change of the queue. */
static bool
any_goes_before(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_registry_service *service, const struct wv_task *task)
{
	for (GList *item = service->waiting.head; item != NULL;
	     item = item->next) {
		if (goes_before(dispatch, now, item->data, task))
			return true;
	}
	return false;
}

/* Whether a shard request that goes before the task waits at the service. */
static bool
must_wait(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    struct wv_registry_service *service)
{
	if (service->waiting.head == NULL)
		return false;
	if (dispatch_order_is_preview(task))
		return any_goes_before(dispatch, now, service, task);
	add_to_order(dispatch, now, task);
	return goes_before(dispatch, now,
	    dispatch_first_waiting(dispatch, now, service), task);
}

/* Counts the services where the task must wait; stores one of them. */
static size_t
count_busy(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    struct wv_registry_service **busy)
{
	size_t n = 0;

	for (size_t i = 0; i < task->n_shards; i++) {
		if (!must_wait(dispatch, now, task, task->shards[i].service))
			continue;
		*busy = task->shards[i].service;
		n++;
	}
	return n;
}

/* Counts further services that have no room now; stores one of them. */
static size_t
count_without_room(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_task *task, struct wv_registry_service **busy)
{
	size_t n = 0;

	for (size_t i = 0; i < task->n_shards; i++) {
		struct wv_shard *shard = &task->shards[i];

		if (must_wait(dispatch, now, task, shard->service) ||
		    dispatch_pick_searcher(
			dispatch, now, shard, PURPOSE_FIRST) != NULL)
			continue;
		*busy = shard->service;
		n++;
	}
	return n;
}

struct wv_registry_service *
dispatch_find_busy(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	struct wv_registry_service *busy = NULL;
	size_t n_busy;

	if (task->route->kind != WV_ROUTE_SCATTER)
		return NULL;
	n_busy = count_busy(dispatch, now, task, &busy);
	if (n_busy == 0)
		return NULL;
	if (task->n_shards - n_busy >= task->needed)
		n_busy += count_without_room(dispatch, now, task, &busy);
	return task->n_shards - n_busy >= task->needed ? NULL : busy;
}

bool
dispatch_defer(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task)
{
	struct wv_registry_service *busy =
	    dispatch_find_busy(dispatch, now, task);

	if (busy == NULL)
		return false;
	insert_deferred(dispatch, now, task, busy);
	return true;
}

void
dispatch_remove_deferred(struct wv_task *task)
{
	if (task->deferred_for != NULL)
		g_queue_remove(&task->deferred_for->deferred_tasks, task);
	task->deferred_for = NULL;
}

void
dispatch_admit_deferred(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	struct wv_task *task;

	if (service->deferred_tasks.head == NULL)
		return;
	while ((task = first_deferred(dispatch, now, service)) != NULL) {
		if (must_wait(dispatch, now, task, service))
			return;
		dispatch_remove_deferred(task);
		if (!dispatch_defer(dispatch, now, task))
			dispatch_start_task(dispatch, now, task);
		else if (task->deferred_for == service)
			return;
	}
}
