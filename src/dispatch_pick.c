/**
 * @file
 * The choice among the searchers of a service.
 */
#include "src/dispatch_private.h"

/** Cost factor of a searcher in this VM's zone. */
#define NEAR_FACTOR 0.8
/** Random part of a cost, so that VMs don't all choose the same searcher. */
#define JITTER 0.1
/** Added cost of a searcher that has an overdue request. */
#define OVERDUE_COST 100.0

/* A xorshift generator; returns a number from 0 to 1. */
static double
random_part(struct wv_dispatch *dispatch)
{
	uint64_t x = dispatch->random;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	dispatch->random = x;
	return (double)(x >> 11) / (double)(UINT64_C(1) << 53);
}

/* Most attempts at a searcher at once: this VM's part of its connections. */
static unsigned
connection_share(
    const struct wv_dispatch *dispatch, const struct wv_fleet_service *service)
{
	double share = service->connections / dispatch->terms.divisor;

	return MAX((unsigned)share, 1);
}

static bool
was_tried(const struct wv_shard *shard, const struct wv_searcher *searcher)
{
	for (unsigned i = 0; i < shard->n_tried; i++) {
		if (shard->tried[i] == searcher)
			return true;
	}
	return false;
}

static bool
has_overdue(const struct wv_searcher *searcher, wv_msec now)
{
	const struct wv_attempt *attempt;

	for (attempt = searcher->first_attempt; attempt != NULL;
	     attempt = attempt->next) {
		if (now > attempt->due_at)
			return true;
	}
	return false;
}

static double
cost(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_searcher *searcher)
{
	double load = (double)searcher->outstanding / searcher->slots;
	double result = wv_view_cost(&searcher->view, now, load);

	if (searcher->near)
		result *= NEAR_FACTOR;
	if (has_overdue(searcher, now))
		result += OVERDUE_COST;
	return result * (1 + JITTER * random_part(dispatch));
}

/* The best searchers of a service, by what speaks against them. */
struct choice {
	struct wv_searcher *best;
	struct wv_searcher *held; /* has just rejected requests */
	struct wv_searcher *probe; /* lost */
	double least; /* cost of the best one */
	double least_held;
	bool wait; /* a sound one has no room now */
};

static void
keep_cheaper(struct wv_searcher **best, double *least,
    struct wv_searcher *searcher, double c)
{
	if (*best != NULL && c >= *least)
		return;
	*best = searcher;
	*least = c;
}

static void
consider(struct wv_dispatch *dispatch, wv_msec now, enum purpose purpose,
    unsigned share, struct wv_searcher *searcher, struct choice *choice)
{
	bool held = wv_view_held(&searcher->view, now);
	double c;

	if (searcher->outstanding >= share) {
		choice->wait |= !held && !searcher->view.lost;
		return;
	}
	if (searcher->view.lost) {
		choice->probe = searcher;
		return;
	}
	c = cost(dispatch, now, searcher);
	if (purpose == PURPOSE_HEDGE && c >= OVERDUE_COST)
		return;
	if (held)
		keep_cheaper(&choice->held, &choice->least_held, searcher, c);
	else
		keep_cheaper(&choice->best, &choice->least, searcher, c);
}

struct wv_searcher *
dispatch_pick(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, enum purpose purpose)
{
	const struct wv_fleet_service *service = shard->service;
	unsigned share = connection_share(dispatch, service);
	bool idempotent = shard->task->route->idempotent;
	struct choice choice = {0};

	for (guint i = 0; i < service->searchers->len; i++) {
		struct wv_searcher *searcher = service->searchers->pdata[i];

		if (!searcher->draining && !was_tried(shard, searcher) &&
		    wv_view_usable(&searcher->view, now))
			consider(
			    dispatch, now, purpose, share, searcher, &choice);
	}
	/* A lost searcher is probed by requests that may be repeated. */
	if (choice.probe != NULL && purpose == PURPOSE_FIRST &&
	    (choice.best == NULL || (idempotent && shard->task->extra == 0)))
		return choice.probe;
	if (choice.best == NULL && !choice.wait && purpose == PURPOSE_FIRST)
		return choice.held;
	return choice.best;
}

bool
dispatch_has_other(const struct wv_shard *shard, wv_msec now)
{
	const struct wv_fleet_service *service = shard->service;

	for (guint i = 0; i < service->searchers->len; i++) {
		const struct wv_searcher *searcher =
		    service->searchers->pdata[i];

		if (!searcher->draining && !was_tried(shard, searcher) &&
		    wv_view_usable(&searcher->view, now))
			return true;
	}
	return false;
}

bool
dispatch_reachable(const struct wv_fleet_service *service, wv_msec now)
{
	for (guint i = 0; i < service->searchers->len; i++) {
		const struct wv_searcher *searcher =
		    service->searchers->pdata[i];

		if (!searcher->draining && wv_view_usable(&searcher->view, now))
			return true;
	}
	return false;
}
