/**
 * @file
 * Latency statistics of routes, and weighted round robin over services.
 */
#include <math.h>

#include "src/dispatch_private.h"

/** Relative step of a quantile estimate per sample. */
#define QUANTILE_STEP 0.04
/** Latency quantile after which an attempt counts as late. */
#define HIGH_QUANTILE 0.9
/** Initial estimates, as fractions of the latency objective. */
#define INITIAL_MEDIAN_TARGETS 0.12
#define INITIAL_HIGH_TARGETS 0.3
/** Bounds of the hedge delay: in medians, in ms, in latency objectives. */
#define MIN_HEDGE_MEDIANS 1.6
#define MIN_HEDGE_DELAY_MS 4.0
#define MAX_HEDGE_TARGETS 0.5
/** Longest deferral of a request, as a fraction of the latency objective. */
#define MAX_DEFER_TARGETS 0.25
/** Refusal rate at and above which requests are no longer deferred. */
#define MAX_DEFER_REFUSAL_RATE 0.5
/** Weight of one request in the moving average of the refusal rate. */
#define REFUSAL_WEIGHT 0.1

/* Sets the initial estimates of zeroed statistics. */
static void
init_latency(struct route_latency *latency, const struct wv_route *route)
{
	latency->median = route->target * INITIAL_MEDIAN_TARGETS;
	latency->high = route->target * INITIAL_HIGH_TARGETS;
}

struct route_latency *
dispatch_route_latency(
    struct wv_dispatch *dispatch, const struct wv_route *route)
{
	struct route_latency *latency =
	    g_hash_table_lookup(dispatch->route_latencies, &route->name);

	if (latency != NULL)
		return latency;
	latency = g_new0(struct route_latency, 1);
	latency->name = wv_string_copy(route->name);
	init_latency(latency, route);
	g_hash_table_insert(dispatch->route_latencies, &latency->name, latency);
	return latency;
}

void
dispatch_copy_latency(const struct wv_dispatch *dispatch,
    const struct wv_route *route, struct route_latency *copy)
{
	const struct route_latency *latency =
	    g_hash_table_lookup(dispatch->route_latencies, &route->name);

	*copy = (struct route_latency){0};
	if (latency == NULL) {
		init_latency(copy, route);
		return;
	}
	*copy = *latency;
	copy->name = (struct wv_string){NULL, 0};
	copy->credit = g_memdup2(
	    latency->credit, latency->n_credit * sizeof(*latency->credit));
}

static void
move_quantile(wv_msec *estimate, double quantile, wv_msec sample)
{
	double direction = sample > *estimate ? quantile : quantile - 1;

	*estimate *= 1 + QUANTILE_STEP * direction;
}

void
dispatch_latency_add(struct route_latency *latency, wv_msec elapsed)
{
	move_quantile(&latency->median, 0.5, elapsed);
	move_quantile(&latency->high, HIGH_QUANTILE, elapsed);
}

wv_msec
dispatch_hedge_delay(
    const struct route_latency *latency, const struct wv_route *route)
{
	wv_msec delay =
	    fmax(latency->high, latency->median * MIN_HEDGE_MEDIANS);

	delay = fmin(delay, route->target * MAX_HEDGE_TARGETS);
	return fmax(delay, MIN_HEDGE_DELAY_MS);
}

void
dispatch_record_admission(
    struct wv_dispatch *dispatch, const struct wv_task *task, bool admitted)
{
	struct route_latency *latency = task->latency;

	if (task->team != NULL)
		dispatch_order_record(dispatch->order, task, admitted);
	else
		latency->refusal_rate += REFUSAL_WEIGHT *
		    ((admitted ? 0 : 1) - latency->refusal_rate);
}

double
dispatch_refusal_rate(
    const struct wv_dispatch *dispatch, const struct wv_task *task)
{
	const struct route_latency *latency = task->latency;

	return task->team != NULL
	    ? dispatch_order_refusal_rate(dispatch->order, task)
	    : latency->refusal_rate;
}

/*
 * Deferral absorbs short bursts. In a longer overload it would only make every
 * request late, so the limit shrinks as the refusal rate grows.
 */
wv_msec
dispatch_max_defer_time(
    const struct wv_dispatch *dispatch, const struct wv_task *task)
{
	double fraction =
	    1 - dispatch_refusal_rate(dispatch, task) / MAX_DEFER_REFUSAL_RATE;

	return task->route->target * MAX_DEFER_TARGETS * fmax(fraction, 0);
}

bool
dispatch_is_hopeless(const struct wv_task *task, wv_msec now)
{
	const struct route_latency *latency = task->latency;

	return now + latency->median > task->deadline;
}

bool
dispatch_is_late(const struct wv_task *task, wv_msec now)
{
	const struct route_latency *latency = task->latency;

	/* A scatter request ends with nearly the slowest of its parts. */
	return dispatch_order_is_late(task, now,
	    task->route->kind == WV_ROUTE_SCATTER ? latency->high
						  : latency->median);
}

/*
 * Smooth weighted round robin: keeps the proportions of the weights in every
 * window of requests.
 */
size_t
dispatch_pick_service(
    struct route_latency *latency, const struct wv_route *route)
{
	size_t best = 0;
	double total = 0;

	if (route->n_services == 1)
		return 0;
	if (latency->n_credit != route->n_services) {
		g_free(latency->credit);
		latency->credit = g_new0(double, route->n_services);
		latency->n_credit = route->n_services;
	}
	for (size_t i = 0; i < route->n_services; i++) {
		total += route->weights[i];
		latency->credit[i] += route->weights[i];
		if (latency->credit[i] > latency->credit[best])
			best = i;
	}
	latency->credit[best] -= total;
	return best;
}
