/**
 * @file
 * Requests to all services that are held back as a whole.
 *
 * A request some of whose parts wait too long fails after searchers have
 * worked on the others. So its parts are asked for only once enough of its
 * services have no part waiting that goes first; until then it has not run.
 */
#include "src/dispatch_private.h"

int
dispatch_compare(const struct wv_task *first, const struct wv_task *second)
{
	if (first->route->rank != second->route->rank)
		return first->route->rank < second->route->rank ? -1 : 1;
	if (first->deadline == second->deadline)
		return 0;
	return first->deadline < second->deadline ? -1 : 1;
}

static gint
compare_held(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return dispatch_compare(a, b);
}

/* Whether parts that go before this request wait for a service. */
static bool
is_crowded(const struct wv_task *task, const struct wv_fleet_service *service)
{
	const struct wv_shard *head =
	    g_queue_peek_head((GQueue *)&service->waiting);

	return head != NULL && dispatch_compare(head->task, task) <= 0;
}

bool
dispatch_hold(struct wv_task *task)
{
	struct wv_fleet_service *crowded = NULL;
	size_t n = 0;

	if (task->route->kind != WV_ROUTE_SCATTER)
		return false;
	for (size_t i = 0; i < task->n_shards; i++) {
		if (!is_crowded(task, task->shards[i].service))
			continue;
		crowded = task->shards[i].service;
		n++;
	}
	if (task->n_shards - n >= task->needed)
		return false;
	task->held_for = crowded;
	g_queue_insert_sorted(&crowded->held_back, task, compare_held, NULL);
	return true;
}

void
dispatch_unhold(struct wv_task *task)
{
	if (task->held_for != NULL)
		g_queue_remove(&task->held_for->held_back, task);
	task->held_for = NULL;
}

void
dispatch_admit_held(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_fleet_service *service)
{
	struct wv_task *task;

	while ((task = g_queue_peek_head(&service->held_back)) != NULL) {
		if (is_crowded(task, service))
			return;
		dispatch_unhold(task);
		if (!dispatch_hold(task))
			dispatch_begin(dispatch, now, task);
	}
}
