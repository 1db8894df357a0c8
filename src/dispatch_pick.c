/**
 * @file
 * Selection of a searcher among those of a service.
 */
#include "src/dispatch_private.h"

/** Cost factor of a searcher in the availability zone of this VM. */
#define SAME_ZONE_FACTOR 0.4
/** Random fraction of a cost, so that VMs don't all pick the same searcher. */
#define COST_JITTER 0.1
/**
 * Expected time of a shard request, as a fraction of the latency objective, up
 * to which a searcher gets as many as connections permit. The same fraction
 * bounds the wait for a connection and deferral.
 */
#define MAX_TIME_TARGETS 0.25
/** Cost added for a searcher with an overdue attempt. */
#define OVERDUE_COST 100.0

/* A xorshift generator. */
double
dispatch_random(struct wv_dispatch *dispatch)
{
	uint64_t x = dispatch->random;

	x ^= x << 13;
	x ^= x >> 7;
	x ^= x << 17;
	dispatch->random = x;
	return (double)(x >> 11) / (double)(UINT64_C(1) << 53);
}

unsigned
dispatch_connection_limit(const struct wv_dispatch *dispatch,
    const struct wv_registry_service *service)
{
	double limit =
	    service->connections / dispatch->limits.connection_divisor;

	return MAX((unsigned)limit, 1);
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
		if (now > attempt->overdue_at)
			return true;
	}
	return false;
}

double
dispatch_expected_cost(const struct wv_searcher *searcher, wv_msec now)
{
	double load = (double)searcher->outstanding / searcher->slots +
	    wv_reported_load_others(&searcher->reported_load, now);
	double cost = wv_health_cost(&searcher->health, now, load,
	    wv_reported_load_speed(&searcher->reported_load, now));

	if (searcher->same_zone)
		cost *= SAME_ZONE_FACTOR;
	if (has_overdue(searcher, now))
		cost += OVERDUE_COST;
	return cost;
}

static double
estimate_cost(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_searcher *searcher)
{
	double cost = dispatch_expected_cost(searcher, now);

	return cost * (1 + COST_JITTER * dispatch_random(dispatch));
}

/* Updates the limit of a cold searcher if what it follows from may differ. */
static void
update_limit(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_searcher *searcher, struct wv_cold_credit *credit)
{
	const struct wv_cold_limits *limits = &dispatch->limits.cold;

	if (credit->has_limit && credit->version == dispatch->limits_version)
		return;
	credit->version = dispatch->limits_version;
	wv_cold_credit_set_limit(credit, now,
	    wv_cold_credit_limit(
		limits, searcher->service->cold_rate, searcher->id));
}

wv_msec
dispatch_credit_time(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_searcher *searcher)
{
	const struct wv_cold_limits *limits = &dispatch->limits.cold;
	wv_msec left = wv_searcher_cold_left(searcher, now);

	if (left <= 0 || limits->overshoot <= 0)
		return now;
	if (now < limits->from)
		return limits->from;
	update_limit(dispatch, now, searcher, &searcher->cold_credit);
	return wv_cold_credit_next(&searcher->cold_credit, now);
}

void
dispatch_await_credit(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_registry_service *service)
{
	wv_msec at = WV_MSEC_NEVER;

	if (service->cold_rate <= 0 || dispatch->limits.cold.overshoot <= 0)
		return;
	for (guint i = 0; i < service->searchers->len; i++) {
		struct wv_searcher *searcher = service->searchers->pdata[i];
		wv_msec left = wv_searcher_cold_left(searcher, now);
		wv_msec next = dispatch_credit_time(dispatch, now, searcher);

		if (left > 0 && next > now)
			at = MIN(at, MIN(next, now + left));
	}
	if (at >= dispatch->credit_at)
		return;
	dispatch->credit_at = at;
	dispatch_timer_set(dispatch, dispatch->credit_timer, at);
}

/* The candidates of a service that were found so far, by state. */
struct candidates {
	struct wv_searcher *best; /* cheapest healthy one, or NULL */
	struct wv_searcher *in_backoff; /* cheapest one in backoff, or NULL */
	struct wv_searcher *hinted; /* cheapest healthy one with a hint that it
				       is leaving, or NULL */
	struct wv_searcher *probe; /* lost one that is due for a probe */
	double min_cost; /* cost of best */
	double min_backoff_cost; /* cost of in_backoff */
	double min_hinted_cost; /* cost of hinted */
	bool has_busy; /* a healthy one has no free connection */
};

static void
update_cheapest(struct wv_searcher **best, double *min_cost,
    struct wv_searcher *searcher, double cost)
{
	if (*best != NULL && cost >= *min_cost)
		return;
	*best = searcher;
	*min_cost = cost;
}

/*
 * Whether a searcher has this VM's part of its slots in use and is so slow that
 * a further request would take more of the objective than it may. Requests then
 * wait here, where they are ordered and can still be refused as not run,
 * instead of in the searcher's queue.
 */
static bool
is_congested(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, const struct wv_searcher *searcher)
{
	const struct route_latency *latency = task->latency;
	wv_msec bound = task->route->target * MAX_TIME_TARGETS;

	return searcher->outstanding >= 1 &&
	    searcher->outstanding >=
	    searcher->slots / dispatch->limits.connection_divisor &&
	    searcher->health.slowdown * latency->median > bound &&
	    wv_health_is_slow(&searcher->health, now) &&
	    wv_health_slowdown(&searcher->health, now) * latency->median >
	    bound;
}

bool
dispatch_has_room(const struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_task *task, const struct wv_searcher *searcher,
    unsigned limit)
{
	return searcher->outstanding < limit &&
	    !is_congested(dispatch, now, task, searcher);
}

static void
add_candidate(struct wv_dispatch *dispatch, wv_msec now, enum purpose purpose,
    unsigned limit, const struct wv_task *task, struct wv_searcher *searcher,
    struct candidates *candidates)
{
	bool in_backoff = wv_health_in_backoff(&searcher->health, now);
	double cost;

	if (!dispatch_has_room(dispatch, now, task, searcher, limit)) {
		candidates->has_busy |= !in_backoff && !searcher->health.lost;
		return;
	}
	if (searcher->health.lost) {
		candidates->probe = searcher;
		return;
	}
	cost = estimate_cost(dispatch, now, searcher);
	if (purpose == PURPOSE_HEDGE && cost >= OVERDUE_COST)
		return;
	if (in_backoff)
		update_cheapest(&candidates->in_backoff,
		    &candidates->min_backoff_cost, searcher, cost);
	else if (wv_searcher_is_hinted(searcher, now))
		update_cheapest(&candidates->hinted,
		    &candidates->min_hinted_cost, searcher, cost);
	else
		update_cheapest(
		    &candidates->best, &candidates->min_cost, searcher, cost);
}

struct wv_searcher *
dispatch_pick_searcher(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, enum purpose purpose)
{
	const struct wv_registry_service *service = shard->service;
	unsigned limit = dispatch_connection_limit(dispatch, service);
	bool idempotent = shard->task->route->idempotent;
	struct candidates candidates = {0};

	for (guint i = 0; i < service->searchers->len; i++) {
		struct wv_searcher *searcher = service->searchers->pdata[i];

		if (!was_tried(shard, searcher) &&
		    wv_searcher_takes_requests(searcher, now) &&
		    dispatch_credit_time(dispatch, now, searcher) <= now)
			add_candidate(dispatch, now, purpose, limit,
			    shard->task, searcher, &candidates);
	}
	/* A hint may be wrong: no request waits or fails because of it. */
	if (candidates.best == NULL)
		candidates.best = candidates.hinted;
	/*
	 * Probe a lost searcher if no healthy one can take the request, or with
	 * an idempotent request that has sent no hedge or retry yet.
	 */
	if (candidates.probe != NULL && purpose == PURPOSE_FIRST &&
	    (candidates.best == NULL ||
		(idempotent && shard->task->extra == 0)))
		return candidates.probe;
	if (candidates.best == NULL && !candidates.has_busy &&
	    purpose == PURPOSE_FIRST)
		return candidates.in_backoff;
	return candidates.best;
}

unsigned
dispatch_count_room(const struct wv_dispatch *dispatch,
    const struct wv_registry_service *service, wv_msec now)
{
	unsigned limit = dispatch_connection_limit(dispatch, service);
	unsigned room = 0;

	for (guint i = 0; i < service->searchers->len; i++) {
		if (wv_searcher_takes_requests(
			service->searchers->pdata[i], now))
			room += limit;
	}
	return room;
}

/* Whether a searcher takes a request, now or within the wait of a shard. */
static bool
is_usable(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_shard *shard, struct wv_searcher *searcher)
{
	return wv_searcher_takes_requests(searcher, now) &&
	    dispatch_credit_time(dispatch, now, searcher) <=
	    MAX(now, dispatch_wait_limit(shard->task));
}

bool
dispatch_has_untried(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_shard *shard)
{
	const struct wv_registry_service *service = shard->service;

	for (guint i = 0; i < service->searchers->len; i++) {
		struct wv_searcher *searcher = service->searchers->pdata[i];

		if (!was_tried(shard, searcher) &&
		    is_usable(dispatch, now, shard, searcher))
			return true;
	}
	return false;
}

bool
dispatch_is_reachable(
    struct wv_dispatch *dispatch, wv_msec now, const struct wv_shard *shard)
{
	const struct wv_registry_service *service = shard->service;

	for (guint i = 0; i < service->searchers->len; i++) {
		if (is_usable(
			dispatch, now, shard, service->searchers->pdata[i]))
			return true;
	}
	return false;
}

enum wv_reason
dispatch_unreachable_reason(
    const struct wv_registry_service *service, wv_msec now)
{
	if (wv_registry_service_is_evacuated(service))
		return WV_REASON_EVACUATED;
	for (guint i = 0; i < service->searchers->len; i++) {
		const struct wv_searcher *searcher =
		    service->searchers->pdata[i];

		if (wv_searcher_takes_requests(searcher, now))
			return WV_REASON_COLD;
	}
	return WV_REASON_UNREACHABLE;
}
