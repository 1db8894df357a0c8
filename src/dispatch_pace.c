/**
 * @file
 * Usual latencies of routes, and the rotation over weighted services.
 */
#include <math.h>

#include "src/dispatch_private.h"

/** Part of a quantile that one sample moves it by. */
#define STEP 0.04
/** Quantile after which an attempt counts as late. */
#define HIGH_QUANTILE 0.9
/** First guesses, as parts of the route's latency objective. */
#define FIRST_MEDIAN 0.12
#define FIRST_HIGH 0.3
/** Bounds of the time until a hedge. */
#define HEDGE_LEAST_MEDIANS 1.6
#define HEDGE_LEAST 4.0 /* ms */
#define HEDGE_MOST_TARGETS 0.5
/** Part of the latency objective that a request is held back for room. */
#define HOLD_TARGETS 0.25
/** Part of refused requests from which on none is held back. */
#define HOLD_REFUSED 0.5
/** Weight of the latest request in the part of refused ones. */
#define REFUSED_WEIGHT 0.1

struct pace *
dispatch_pace(struct wv_dispatch *dispatch, const struct wv_route *route)
{
	struct pace *pace = g_hash_table_lookup(dispatch->paces, &route->name);

	if (pace != NULL)
		return pace;
	pace = g_new0(struct pace, 1);
	pace->name = wv_string_copy(route->name);
	pace->median = route->target * FIRST_MEDIAN;
	pace->high = route->target * FIRST_HIGH;
	g_hash_table_insert(dispatch->paces, &pace->name, pace);
	return pace;
}

static void
move_quantile(wv_msec *estimate, double quantile, wv_msec sample)
{
	double part = sample > *estimate ? quantile : quantile - 1;

	*estimate *= 1 + STEP * part;
}

void
dispatch_pace_add(struct pace *pace, wv_msec elapsed)
{
	move_quantile(&pace->median, 0.5, elapsed);
	move_quantile(&pace->high, HIGH_QUANTILE, elapsed);
}

wv_msec
dispatch_pace_hedge(const struct pace *pace, const struct wv_route *route)
{
	wv_msec delay = fmax(pace->high, pace->median * HEDGE_LEAST_MEDIANS);

	delay = fmin(delay, route->target * HEDGE_MOST_TARGETS);
	return fmax(delay, HEDGE_LEAST);
}

void
dispatch_pace_admitted(struct pace *pace, bool admitted)
{
	pace->refused += REFUSED_WEIGHT * ((admitted ? 0 : 1) - pace->refused);
}

/*
 * A burst ends while its requests are held back. If room lacks for longer,
 * holding them back makes all of them late, so that it gets shorter then.
 */
wv_msec
dispatch_pace_hold(const struct pace *pace, const struct wv_route *route)
{
	double part = 1 - pace->refused / HOLD_REFUSED;

	return route->target * HOLD_TARGETS * fmax(part, 0);
}

/* Smooth weighted round robin: the exact proportions in every window. */
size_t
dispatch_pick_service(struct pace *pace, const struct wv_route *route)
{
	size_t best = 0;
	double total = 0;

	if (route->n_services == 1)
		return 0;
	if (pace->n_credit != route->n_services) {
		g_free(pace->credit);
		pace->credit = g_new0(double, route->n_services);
		pace->n_credit = route->n_services;
	}
	for (size_t i = 0; i < route->n_services; i++) {
		total += route->weights[i];
		pace->credit[i] += route->weights[i];
		if (pace->credit[i] > pace->credit[best])
			best = i;
	}
	pace->credit[best] -= total;
	return best;
}
