/**
 * @file
 * Time after which the caller of a refused request may return.
 */
#include <math.h>
#include <stdlib.h>

#include "src/dispatch_private.h"

/** Retry-After if no searcher can be reached, ms. */
#define RETRY_AFTER_UNREACHABLE_MS 500.0
/**
 * The same while entries of searchers are expected: they are written again
 * within two seconds.
 */
#define RETRY_AFTER_EXPECTED_MS 200.0
/** Credit returns within little more than a second, or is at another VM. */
#define RETRY_AFTER_COLD_MS 500.0
/** An operator ends an evacuation, which takes seconds at least. */
#define RETRY_AFTER_EVACUATED_MS 2000.0
/** Greatest random part by which a time is longer. */
#define RETRY_JITTER 0.2
/**
 * Greatest refusal rate that is used: there is room for a tenth of the requests
 * at least, or it is not known.
 */
#define MAX_REFUSAL_RATE 0.9

static int
compare_times(const void *a, const void *b)
{
	wv_msec first = *(const wv_msec *)a;
	wv_msec second = *(const wv_msec *)b;

	return first < second ? -1 : first > second;
}

/* Returns the expected time until the work that waits at a service is sent. */
static wv_msec
queue_time(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, const struct wv_registry_service *service)
{
	const struct route_latency *latency = task->latency;
	unsigned room = dispatch_count_room(dispatch, service, now);
	guint n = service->waiting.length + service->deferred_tasks.length;

	return room > 0 ? n * latency->median / room : WV_MSEC_NEVER;
}

/*
 * Returns a time until which fewer services than the task needs have a searcher
 * that takes requests or, if with_queues, room for them, ms: 0 if enough have
 * it now, WV_MSEC_NEVER if it is not known.
 */
static wv_msec
time_until_enough(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, bool with_queues)
{
	wv_msec *times = g_new(wv_msec, task->n_shards);
	wv_msec longest;

	for (size_t i = 0; i < task->n_shards; i++) {
		const struct wv_registry_service *service =
		    task->shards[i].service;

		times[i] = with_queues
		    ? queue_time(dispatch, now, task, service)
		    : wv_registry_service_rest(service, now);
	}
	qsort(times, task->n_shards, sizeof(*times), compare_times);
	longest = times[task->needed - 1];
	g_free(times);
	return longest;
}

/*
 * Returns the expected time until there is room for the task, ms. At a refusal
 * rate p a request is admitted after 1 / (1 - p) trials, so a caller returns
 * later by that factor. It is from an objective to the longest time that
 * requests of the route take: a caller that returns earlier finds the same
 * queue, and later nothing is known of it.
 */
static wv_msec
time_until_room(
    const struct wv_dispatch *dispatch, wv_msec now, const struct wv_task *task)
{
	const struct wv_route *route = task->route;
	wv_msec time = time_until_enough(dispatch, now, task, true);
	double rate =
	    fmin(dispatch_refusal_rate(dispatch, task), MAX_REFUSAL_RATE);

	time = fmax(time, route->target) / (1 - rate);
	return fmin(time, fmax(route->timeout, route->target));
}

static wv_msec
time_until_reachable(const struct wv_dispatch *dispatch, wv_msec now)
{
	return wv_registry_expects_entries(dispatch->registry, now)
	    ? RETRY_AFTER_EXPECTED_MS
	    : RETRY_AFTER_UNREACHABLE_MS;
}

static wv_msec
time_by_reason(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, enum wv_reason reason)
{
	if (reason == WV_REASON_COLD)
		return RETRY_AFTER_COLD_MS;
	if (reason == WV_REASON_EVACUATED)
		return RETRY_AFTER_EVACUATED_MS;
	if (reason == WV_REASON_UNREACHABLE)
		return time_until_reachable(dispatch, now);
	return time_until_room(dispatch, now, task);
}

wv_msec
dispatch_choose_retry_after(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, enum wv_reason reason)
{
	wv_msec time = time_until_enough(dispatch, now, task, false);

	if (time <= 0 || time >= WV_MSEC_NEVER)
		time = time_by_reason(dispatch, now, task, reason);
	/* Callers that were refused together must not return together. */
	return time * (1 + RETRY_JITTER * dispatch_random(dispatch));
}
