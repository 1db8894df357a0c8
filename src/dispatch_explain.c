/**
 * @file
 * Explanation of what the dispatcher would do with a request now. It calls the
 * functions that decide, on a task that is not submitted and on copies of the
 * state that they change.
 */
#include <string.h>

#include "src/dispatch_private.h"
#include "wisteriavane/dispatch_explain.h"

static bool
is_free(const struct wv_explained_searcher *candidate)
{
	return candidate->usable && candidate->has_room &&
	    !candidate->searcher->health.lost;
}

static int
compare_candidates(const void *a, const void *b)
{
	const struct wv_explained_searcher *first = a, *second = b;

	if (is_free(first) != is_free(second))
		return is_free(first) ? -1 : 1;
	if (first->usable != second->usable)
		return first->usable ? -1 : 1;
	return first->cost < second->cost ? -1 : first->cost > second->cost;
}

static void
list_candidates(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, struct wv_service_choice *choice)
{
	const struct wv_registry_service *service = shard->service;
	size_t n = service->searchers->len;

	choice->candidates = g_new0(struct wv_explained_searcher, n);
	choice->n_candidates = n;
	for (size_t i = 0; i < n; i++) {
		struct wv_searcher *searcher = service->searchers->pdata[i];

		choice->candidates[i] = (struct wv_explained_searcher){
		    .searcher = searcher,
		    .usable = wv_searcher_takes_requests(searcher, now),
		    .has_room = dispatch_has_room(dispatch, now, shard->task,
				    searcher, choice->connections) &&
			dispatch_credit_time(dispatch, now, searcher) <= now,
		    .cost = dispatch_expected_cost(searcher, now),
		};
	}
	if (n > 0)
		qsort(choice->candidates, n, sizeof(*choice->candidates),
		    compare_candidates);
}

static void
explain_service(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, struct wv_service_choice *choice)
{
	const struct wv_registry_service *service = shard->service;
	struct wv_allowance allowance = service->allowance;

	choice->reachable = dispatch_is_reachable(dispatch, now, shard);
	choice->connections = dispatch_connection_limit(dispatch, service);
	choice->waiting = service->waiting.length;
	choice->deferred = service->deferred_tasks.length;
	choice->extra_left =
	    wv_allowance_left(&allowance, &dispatch->limits.allowance, now);
	list_candidates(dispatch, now, shard, choice);
}

/* Picks the searchers in the order in which a submitted task would. */
static void
pick_searchers(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, struct wv_explanation *explanation)
{
	for (size_t i = 0; i < task->n_shards; i++)
		explanation->services[i].chosen = dispatch_pick_searcher(
		    dispatch, now, &task->shards[i], PURPOSE_FIRST);
}

static void
decide(struct wv_dispatch *dispatch, wv_msec now, struct wv_task *task,
    struct wv_explanation *explanation)
{
	const struct route_latency *latency = task->latency;
	uint64_t random = dispatch->random;

	dispatch_order_preview(dispatch->order, task, latency->median);
	explanation->reason = dispatch_find_refusal(dispatch, now, task);
	if (explanation->reason == WV_REASON_NONE &&
	    dispatch_find_busy(dispatch, now, task) != NULL) {
		explanation->decision = WV_DECISION_DEFER;
		if (dispatch_is_hopeless(task, now))
			explanation->reason = WV_REASON_DEADLINE;
	}
	if (explanation->reason != WV_REASON_NONE)
		explanation->decision = WV_DECISION_REFUSE;
	else if (explanation->decision == WV_DECISION_ADMIT)
		pick_searchers(dispatch, now, task, explanation);
	dispatch->random = random;
}

/* The credit for a cold searcher, to be put back. */
struct saved_credit {
	struct wv_searcher *searcher;
	struct wv_cold_credit credit;
};

static GArray *
save_credits(const struct wv_task *task)
{
	GArray *saved = g_array_new(FALSE, FALSE, sizeof(struct saved_credit));

	for (size_t i = 0; i < task->n_shards; i++) {
		const GPtrArray *searchers = task->shards[i].service->searchers;

		for (guint k = 0; k < searchers->len; k++) {
			struct wv_searcher *searcher = searchers->pdata[k];
			struct saved_credit entry = {
			    searcher, searcher->cold_credit};

			g_array_append_val(saved, entry);
		}
	}
	return saved;
}

/* Puts the credits back and releases them. */
static void
restore_credits(GArray *saved)
{
	for (guint i = 0; i < saved->len; i++) {
		const struct saved_credit *entry =
		    &g_array_index(saved, struct saved_credit, i);

		entry->searcher->cold_credit = entry->credit;
	}
	g_array_unref(saved);
}

/* Stands for a service that the registry does not have. */
static struct wv_registry_service *
create_unknown_service(void)
{
	struct wv_registry_service *service =
	    g_new0(struct wv_registry_service, 1);

	service->searchers = g_ptr_array_new();
	return service;
}

static void
destroy_unknown_service(struct wv_registry_service *service)
{
	g_ptr_array_unref(service->searchers);
	g_free(service);
}

/* Sets the services of a task; the round robin runs on a copy of its state. */
static void
set_services(const struct wv_dispatch *dispatch, struct wv_task *task,
    struct wv_registry_service *unknown, struct wv_explanation *explanation)
{
	const struct wv_route *route = task->route;
	struct route_latency *latency = task->latency;
	size_t first = route->kind == WV_ROUTE_SINGLE
	    ? dispatch_pick_service(latency, route)
	    : 0;

	for (size_t i = 0; i < task->n_shards; i++) {
		struct wv_string name = route->services[first + i];
		struct wv_registry_service *service =
		    wv_registry_find_service(dispatch->registry, name);

		explanation->services[i].name = name;
		task->shards[i].task = task;
		task->shards[i].service = service != NULL ? service : unknown;
	}
}

struct wv_explanation *
wv_dispatch_explain(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller)
{
	struct wv_registry_service *unknown = create_unknown_service();
	struct wv_explanation *explanation = g_new0(struct wv_explanation, 1);
	struct wv_task *task =
	    dispatch_new_task(dispatch, now, routes, route, caller);
	struct route_latency latency;
	GArray *credits;

	dispatch_copy_latency(dispatch, route, &latency);
	task->latency = &latency;
	explanation->n_services = task->n_shards;
	explanation->services =
	    g_new0(struct wv_service_choice, task->n_shards);
	set_services(dispatch, task, unknown, explanation);
	credits = save_credits(task);
	explanation->rank = task->rank;
	explanation->time = task->deadline - now;
	explanation->needed = task->needed;
	explanation->max_deferral = dispatch_max_defer_time(dispatch, task);
	for (size_t i = 0; i < task->n_shards; i++)
		explain_service(
		    dispatch, now, &task->shards[i], &explanation->services[i]);
	decide(dispatch, now, task, explanation);
	restore_credits(credits);
	g_free(latency.credit);
	g_free(task);
	destroy_unknown_service(unknown);
	return explanation;
}

void
wv_explanation_destroy(struct wv_explanation *explanation)
{
	for (size_t i = 0; i < explanation->n_services; i++)
		g_free(explanation->services[i].candidates);
	g_free(explanation->services);
	g_free(explanation);
}

const char *
wv_decision_name(enum wv_decision decision)
{
	static const char *const names[] = {"admitted", "deferred", "refused"};

	return names[decision];
}
