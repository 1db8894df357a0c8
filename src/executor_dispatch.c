/**
 * @file
 * Assigns free slots to waiting shards.
 */
#include "src/executor_private.h"

/** Waiting shards without a suitable searcher that are skipped per round. */
#define MAX_SKIPPED 4
/** Time after which a service that found no searcher tries again, ms. */
#define RETRY_DELAY_MS 5.0

void
wv_service_mark(struct wv_executor *executor, struct service *service)
{
	if (service->dirty)
		return;
	service->dirty = true;
	g_ptr_array_add(executor->dirty, service);
}

void
wv_service_mark_all(struct wv_executor *executor)
{
	for (size_t i = 0; i < executor->topology->n_services; i++)
		wv_service_mark(executor, executor->services[i]);
}

bool
wv_executor_may_send(const struct wv_executor *executor, wv_msec now)
{
	return now < executor->lease_until && now >= executor->quarantine_until;
}

void
wv_shard_push(struct wv_executor *executor, struct shard *shard)
{
	shard->state = SHARD_WAITING;
	wv_admission_push(shard->service->admission, &shard->waiter);
	wv_service_mark(executor, shard->service);
}

struct criteria
wv_shard_criteria(const struct shard *shard)
{
	struct criteria criteria = {
	    .snapshot = shard->query->snapshot,
	    .any_snapshot = shard->query->work == WV_WORK_JOB,
	    .tried = shard->tried,
	    .n_tried = shard->n_tried,
	};

	return criteria;
}

/*
 * Returns whether a shard may be sent as a trial request, to a searcher that is
 * lost or not known to hold the snapshot. That may cost the query a hedge, so
 * it needs budget for one and a service with enough latency samples. Jobs are
 * never used as probes.
 */
static bool
may_send_trial(const struct wv_executor *executor, const struct shard *shard)
{
	const struct query *query = shard->query;

	return executor->config.hedge && query->work == WV_WORK_SEARCH &&
	    shard->n_sent == 0 &&
	    shard->service->latency.samples >= MIN_HEDGE_SAMPLES &&
	    query->customer->hedges.credit >= 1;
}

/*
 * Sends an attempt for a waiting shard, or handles that its snapshot is gone.
 * Returns false if no suitable searcher has a free slot.
 */
static bool
dispatch_shard(struct wv_executor *executor, wv_msec now, struct shard *shard)
{
	struct service *service = shard->service;
	struct criteria criteria = wv_shard_criteria(shard);
	struct searcher *searcher;
	bool extra = shard->charged;

	criteria.may_send_trial = may_send_trial(executor, shard);
	searcher =
	    wv_service_choose(service, now, &criteria, &executor->random);
	if (searcher != NULL) {
		shard->charged = false;
		service->blocked = false;
		service->rotation++;
		wv_attempt_start(executor, now, shard, searcher, extra);
		return true;
	}
	if (criteria.any_snapshot ||
	    wv_service_holds(service, criteria.snapshot))
		return false;
	wv_shard_snapshot_gone(executor, now, shard);
	return true;
}

/* Sends a shard of a search to a lost searcher whose probe is due. */
static bool
probe_lost(struct wv_executor *executor, wv_msec now, struct shard *shard)
{
	struct criteria criteria = wv_shard_criteria(shard);
	bool extra = shard->charged;
	struct searcher *searcher;

	if (shard->query->work == WV_WORK_JOB ||
	    !wv_executor_may_send(executor, now))
		return false;
	criteria.may_send_trial = true;
	searcher = wv_service_choose(
	    shard->service, now, &criteria, &executor->random);
	if (searcher == NULL)
		return false;
	shard->charged = false;
	wv_attempt_start(executor, now, shard, searcher, extra);
	return true;
}

/*
 * Leaves out all shards that wait for a service without a usable searcher,
 * except for those sent as probes, which detect that a searcher is back.
 */
static void
leave_out_waiting(
    struct wv_executor *executor, wv_msec now, struct service *service)
{
	struct wv_waiter *waiter;

	while ((waiter = wv_admission_pop(service->admission, now, 1, 1)) !=
	    NULL) {
		struct shard *shard = (struct shard *)waiter;

		if (!probe_lost(executor, now, shard))
			wv_shard_leave_out(executor, now, shard, WV_NO_ANSWER);
	}
}

/*
 * Returns whether any searcher could take an attempt, whatever its snapshot.
 * Otherwise no waiter has to be removed from the queue and put back.
 */
static bool
has_candidate(
    struct wv_executor *executor, wv_msec now, const struct service *service)
{
	struct criteria criteria = {.any_snapshot = true};

	return wv_service_choose(service, now, &criteria, &executor->random) !=
	    NULL;
}

/* Sends hedges that wait for a slot, ahead of less urgent work. */
static void
dispatch_late_hedges(
    struct wv_executor *executor, wv_msec now, struct service *service)
{
	guint i = 0;

	while (i < service->late_attempts->len &&
	    wv_service_free_slots(service) > 0) {
		struct attempt *attempt = service->late_attempts->pdata[i];

		if (!wv_shard_try_hedge(executor, now, attempt))
			i++;
	}
}

/*
 * Sends waiting shards while slots are free. Shards without a suitable searcher
 * are skipped and stay in the queue.
 */
static void
dispatch_waiting(
    struct wv_executor *executor, wv_msec now, struct service *service)
{
	struct wv_waiter *skipped[MAX_SKIPPED];
	size_t n_skipped = 0;

	while (
	    n_skipped < MAX_SKIPPED && wv_service_count_waiting(service) > 0) {
		uint32_t n = wv_service_free_slots(service);
		struct wv_waiter *waiter;

		if (n == 0)
			break;
		if (service->late_attempts->len > 0) {
			dispatch_late_hedges(executor, now, service);
			n = wv_service_free_slots(service);
		}
		if (n == 0)
			break;
		if (service->blocked && !has_candidate(executor, now, service))
			break;
		waiter = wv_admission_pop(
		    service->admission, now, n, service->capacity);
		if (waiter == NULL)
			break;
		if (!dispatch_shard(executor, now, (struct shard *)waiter)) {
			skipped[n_skipped++] = waiter;
			service->blocked = true;
		}
	}
	for (size_t i = 0; i < n_skipped; i++)
		wv_admission_push(service->admission, skipped[i]);
}

static void
dispatch_service(
    struct wv_executor *executor, wv_msec now, struct service *service)
{
	if (wv_service_count_waiting(service) == 0) {
		if (wv_executor_may_send(executor, now))
			dispatch_late_hedges(executor, now, service);
		return;
	}
	if (service->capacity == 0 && !service->ignore_health) {
		leave_out_waiting(executor, now, service);
		return;
	}
	if (!wv_executor_may_send(executor, now))
		return;
	dispatch_waiting(executor, now, service);
	/*
	 * Refusal backoff and latency estimates decay with time alone, without
	 * an event.
	 */
	if (wv_service_count_waiting(service) > 0 &&
	    wv_service_free_slots(service) > 0)
		wv_timers_set(
		    &executor->timers, &service->timer, now + RETRY_DELAY_MS);
}

void
wv_dispatch(struct wv_executor *executor, wv_msec now)
{
	/* Services marked during the loop are appended and dispatched too. */
	for (guint i = 0; i < executor->dirty->len; i++) {
		struct service *service = executor->dirty->pdata[i];

		service->dirty = false;
		dispatch_service(executor, now, service);
	}
	g_ptr_array_set_size(executor->dirty, 0);
}
