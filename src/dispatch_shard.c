/**
 * @file
 * Shard requests: attempts, hedges, retries and the wait for a connection.
 */
#include <math.h>

#include "src/dispatch_private.h"

/** Rejected attempts after which a shard request is given up. */
#define MAX_REJECTED 3
/** Longest wait for a connection, as a fraction of the latency objective. */
#define MAX_WAIT_TARGETS 0.25
/** The same for scatter requests, whose other shards may be running already. */
#define MAX_SHARD_WAIT_TARGETS 0.5
/**
 * Time past the deadline until an attempt is cancelled, ms. The searcher
 * stops at the deadline and answers that it did, so the connection is kept.
 */
#define DEADLINE_GRACE_MS 60.0
/**
 * Greatest random part by which a rest is longer than asked for, so that not
 * all VMs return to a searcher at the same moment.
 */
#define REST_JITTER 0.1
/** Minimum time left until the deadline for a further attempt, ms. */
#define MIN_TIME_LEFT_MS 2.0

static void
link_attempt(struct wv_attempt *attempt)
{
	struct wv_searcher *searcher = attempt->searcher;

	attempt->next = searcher->first_attempt;
	if (attempt->next != NULL)
		attempt->next->previous = attempt;
	searcher->first_attempt = attempt;
	searcher->outstanding++;
	attempt->next_in_shard = attempt->shard->attempts;
	attempt->shard->attempts = attempt;
	attempt->shard->live++;
}

static void
unlink_from_shard(struct wv_attempt *attempt)
{
	struct wv_attempt **link = &attempt->shard->attempts;

	while (*link != attempt)
		link = &(*link)->next_in_shard;
	*link = attempt->next_in_shard;
	attempt->shard->live--;
}

/* Removes the attempt from its searcher's list and frees it. */
static void
attempt_free(struct wv_dispatch *dispatch, struct wv_attempt *attempt)
{
	struct wv_searcher *searcher = attempt->searcher;

	if (attempt->previous != NULL)
		attempt->previous->next = attempt->next;
	else
		searcher->first_attempt = attempt->next;
	if (attempt->next != NULL)
		attempt->next->previous = attempt->previous;
	dispatch_timer_destroy(dispatch, attempt->timer);
	g_free(attempt);
	wv_registry_release(dispatch->registry, searcher);
}

static void
start_attempt(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard,
    struct wv_searcher *searcher, bool extra)
{
	struct wv_task *task = shard->task;
	struct wv_attempt *attempt = g_new0(struct wv_attempt, 1);
	wv_msec hedge_delay = dispatch_hedge_delay(task->latency, task->route);

	attempt->task = task;
	attempt->shard = shard;
	attempt->searcher = searcher;
	attempt->sent_at = now;
	attempt->overdue_at = now + hedge_delay;
	attempt->deadline = task->deadline;
	attempt->extra = extra;
	attempt->idempotent = task->route->idempotent;
	attempt->latency = task->latency;
	attempt->timer = dispatch_timer_create(TIMER_DISPATCH_ATTEMPT, attempt);
	dispatch_timer_set(
	    dispatch, attempt->timer, attempt->deadline + DEADLINE_GRACE_MS);
	link_attempt(attempt);
	if (!task->started)
		dispatch_order_start(dispatch->order, task);
	wv_health_record_sent(&searcher->health, now);
	attempt->counted = searcher->service->cold_rate > 0;
	if (attempt->counted)
		wv_cold_credit_count(&searcher->cold_credit, now);
	if (shard->n_tried < G_N_ELEMENTS(shard->tried))
		shard->tried[shard->n_tried++] = searcher;
	shard->sent++;
	task->attempts++;
	task->extra += extra;
	/* Not idempotent: clears it, as it may be set for the end of a wait. */
	dispatch_timer_set(dispatch, shard->timer,
	    attempt->idempotent ? now + hedge_delay : WV_MSEC_NEVER);
	dispatch->ops->send(dispatch->ops, attempt);
}

static void
stop_waiting(struct wv_shard *shard)
{
	if (!shard->waiting)
		return;
	g_queue_remove(&shard->service->waiting, shard);
	shard->waiting = false;
}

wv_msec
dispatch_wait_limit(const struct wv_task *task)
{
	double targets = task->route->kind == WV_ROUTE_SCATTER
	    ? MAX_SHARD_WAIT_TARGETS
	    : MAX_WAIT_TARGETS;

	return task->arrived + task->route->target * targets;
}

static void
wait_for_connection(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	const struct wv_task *task = shard->task;
	wv_msec limit = dispatch_wait_limit(task);

	dispatch_insert_waiting(dispatch, now, shard);
	dispatch_timer_set(
	    dispatch, shard->timer, fmin(fmax(limit, now), task->deadline));
	dispatch_await_credit(dispatch, now, shard->service);
}

void
dispatch_send_or_queue(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_searcher *searcher;

	searcher = dispatch_pick_searcher(dispatch, now, shard, PURPOSE_FIRST);
	if (searcher != NULL)
		start_attempt(dispatch, now, shard, searcher, false);
	else if (!dispatch_is_reachable(dispatch, now, shard))
		dispatch_give_up(
		    shard, dispatch_unreachable_reason(shard->service, now));
	else if (dispatch_is_hopeless(shard->task, now))
		dispatch_give_up(shard, WV_REASON_DEADLINE);
	else
		wait_for_connection(dispatch, now, shard);
}

void
dispatch_give_up(struct wv_shard *shard, enum wv_reason reason)
{
	if (shard->finished)
		return;
	stop_waiting(shard);
	shard->finished = true;
	shard->reason = reason;
	shard->task->given_up++;
}

/* Whether the limits of attempts and time allow another attempt. */
static bool
can_repeat(const struct wv_shard *shard, wv_msec now)
{
	const struct wv_task *task = shard->task;

	return task->deadline - now > MIN_TIME_LEFT_MS &&
	    shard->sent < task->route->max_attempts &&
	    shard->rejected < MAX_REJECTED;
}

/*
 * Whether a retry may be sent: spends it from the allowance if a previous
 * attempt has reached a searcher, else it counts as a first attempt.
 */
static bool
allow_attempt(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	return !shard->arrived ||
	    wv_allowance_spend(
		&shard->service->allowance, &dispatch->limits.allowance, now);
}

/* Sends a retry or queues it; returns whether it did. */
static bool
try_retry(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_searcher *searcher;

	if (!can_repeat(shard, now))
		return false;
	searcher = dispatch_pick_searcher(dispatch, now, shard, PURPOSE_FIRST);
	if (searcher == NULL && shard->live == 0 &&
	    dispatch_has_untried(dispatch, now, shard)) {
		wait_for_connection(dispatch, now, shard);
		return true;
	}
	if (searcher == NULL || !allow_attempt(dispatch, now, shard))
		return false;
	start_attempt(dispatch, now, shard, searcher, shard->arrived);
	return true;
}

/*
 * Whether the query can't reach its least share of shards by those that have
 * been answered or are not late, so that each late one counts.
 */
static bool
is_decisive(const struct wv_task *task, wv_msec now)
{
	size_t good = task->included;

	for (size_t i = 0; i < task->n_shards; i++) {
		const struct wv_shard *shard = &task->shards[i];

		good += !shard->finished && shard->attempts != NULL &&
		    now < shard->attempts->overdue_at;
	}
	return good < task->needed;
}

/*
 * Spends a hedge from the allowance. Half of the slack is kept for retries, and
 * for hedges without which the query may fail.
 */
static bool
spend_hedge(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	const struct wv_allowance_limits *limits = &dispatch->limits.allowance;
	struct wv_allowance *allowance = &shard->service->allowance;

	if (wv_allowance_left(allowance, limits, now) <= limits->slack / 2 &&
	    !is_decisive(shard->task, now))
		return false;
	return wv_allowance_spend(allowance, limits, now);
}

/*
 * Whether a hedge at a slow searcher can arrive before the objective. One that
 * can't takes a slot there, and the attempt that is late will mostly end before
 * it. At other searchers the median is no bound: half of the answers come
 * earlier.
 */
static bool
is_worth_hedge(wv_msec now, const struct wv_shard *shard,
    const struct wv_searcher *searcher)
{
	const struct wv_task *task = shard->task;
	const struct route_latency *latency = task->latency;
	wv_msec time =
	    wv_health_slowdown(&searcher->health, now) * latency->median;

	return !wv_health_is_slow(&searcher->health, now) ||
	    !dispatch_order_is_late(task, now, time) ||
	    dispatch_order_is_late(task, now, 0);
}

static void
try_hedge(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_task *task = shard->task;
	struct wv_searcher *searcher;
	wv_msec hedge_delay = dispatch_hedge_delay(task->latency, task->route);

	/* Only idempotent requests may run at two searchers at once. */
	if (!task->route->idempotent || !can_repeat(shard, now))
		return;
	searcher = dispatch_pick_searcher(dispatch, now, shard, PURPOSE_HEDGE);
	if (searcher != NULL && is_worth_hedge(now, shard, searcher) &&
	    spend_hedge(dispatch, now, shard))
		start_attempt(dispatch, now, shard, searcher, true);
	else
		dispatch_timer_set(dispatch, shard->timer, now + hedge_delay);
}

void
dispatch_shard_timer_fired(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_registry_service *service = shard->service;
	struct wv_task *task = shard->task;
	struct route_latency *latency = task->latency;
	struct wv_attempt *attempt;

	if (shard->finished)
		return;
	if (shard->waiting) {
		dispatch_give_up(shard, WV_REASON_NO_CAPACITY);
		dispatch_try_finish(dispatch, now, task);
		dispatch_admit_deferred(dispatch, now, service);
		return;
	}
	for (attempt = shard->attempts; attempt != NULL;
	     attempt = attempt->next_in_shard)
		wv_health_record_overdue(&attempt->searcher->health, now,
		    attempt->sent_at,
		    (now - attempt->sent_at) / latency->median);
	try_hedge(dispatch, now, shard);
}

void
dispatch_cancel(struct wv_dispatch *dispatch, struct wv_attempt *attempt)
{
	dispatch->ops->cancel(dispatch->ops, attempt);
	if (attempt->task != NULL)
		unlink_from_shard(attempt);
	attempt_free(dispatch, attempt);
}

static enum wv_reason
reason_from_end(enum wv_attempt_end end)
{
	switch (end) {
	case WV_END_ANSWERED:
	case WV_END_FAILED:
		return WV_REASON_SEARCHER_FAILED;
	case WV_END_REJECTED:
	case WV_END_WRONG_SEARCHER:
		return WV_REASON_REJECTED;
	case WV_END_NOT_SENT:
		return WV_REASON_UNREACHABLE;
	case WV_END_BROKEN:
	case WV_END_RESET:
		break;
	}
	return WV_REASON_BROKEN;
}

static bool
may_have_executed(enum wv_attempt_end end)
{
	return end != WV_END_REJECTED && end != WV_END_WRONG_SEARCHER &&
	    end != WV_END_NOT_SENT;
}

/*
 * Retries a shard request after an attempt without success, or gives it up if
 * no other attempt is in progress.
 */
static void
retry_or_give_up(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_shard *shard, enum wv_attempt_end end)
{
	bool can_retry =
	    shard->task->route->idempotent || !may_have_executed(end);

	if (can_retry && try_retry(dispatch, now, shard))
		return;
	if (shard->live == 0)
		dispatch_give_up(shard, reason_from_end(end));
}

/*
 * Applies the outcome of an attempt to the task; returns whether the task took
 * ownership of the message.
 */
static bool
apply_reply(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard,
    const struct wv_reply *reply)
{
	struct wv_task *task = shard->task;
	bool is_single = task->route->kind == WV_ROUTE_SINGLE;

	shard->arrived |= reply->end != WV_END_NOT_SENT;
	if (may_have_executed(reply->end)) {
		task->may_have_run = true;
	} else {
		shard->sent--;
		shard->rejected++;
	}
	if (shard->finished)
		return false;
	if (reply->end == WV_END_ANSWERED && reply->success) {
		shard->finished = true;
		shard->message = reply->message;
		task->included++;
		return true;
	}
	retry_or_give_up(dispatch, now, shard, reply->end);
	/* A single request passes the failure of its searcher on unchanged. */
	if (is_single && shard->finished && may_have_executed(reply->end) &&
	    reply->message != NULL) {
		shard->message = reply->message;
		return true;
	}
	return false;
}

/* Ends the waits of all shard requests that wait for an evacuated service. */
static void
end_evacuated_waits(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	struct wv_shard *shard;

	if (!wv_registry_service_is_evacuated(service))
		return;
	while ((shard = g_queue_peek_head(&service->waiting)) != NULL) {
		dispatch_give_up(shard, WV_REASON_EVACUATED);
		dispatch_try_finish(dispatch, now, shard->task);
	}
}

static void
apply_load(
    wv_msec now, const struct wv_attempt *attempt, const struct wv_reply *reply)
{
	const struct route_latency *latency = attempt->latency;
	struct wv_searcher *searcher = attempt->searcher;
	struct wv_load_answer answer = {
	    .sent_at = attempt->sent_at,
	    .slowdown = reply->end == WV_END_ANSWERED
		? (now - attempt->sent_at) / latency->median
		: 0,
	    /* The request that is answered counts as running until it is. */
	    .own = searcher->outstanding,
	};

	wv_reported_load_set(
	    &searcher->reported_load, now, &reply->load, &answer);
}

/* Applies what an answer says of its searcher. */
static void
apply_statements(struct wv_dispatch *dispatch, wv_msec now,
    const struct wv_attempt *attempt, const struct wv_reply *reply)
{
	struct wv_registry *registry = dispatch->registry;
	struct wv_searcher *searcher = attempt->searcher;

	if (reply->leaving)
		wv_registry_set_leaving(registry, now, searcher);
	if (reply->rest > 0)
		wv_registry_set_rest(registry, now, searcher,
		    reply->rest *
			(1 + REST_JITTER * dispatch_random(dispatch)));
	if (reply->has_load)
		apply_load(now, attempt, reply);
	if (reply->has_cold)
		wv_registry_set_cold(
		    registry, now, searcher, attempt->sent_at, reply->cold);
}

/*
 * Refunds the credit of an attempt that has not reached its searcher: one that
 * was not sent, or that another searcher has answered.
 */
static void
refund_credit(
    wv_msec now, const struct wv_attempt *attempt, enum wv_attempt_end end)
{
	if (attempt->counted &&
	    (end == WV_END_WRONG_SEARCHER || end == WV_END_NOT_SENT))
		wv_cold_credit_refund(
		    &attempt->searcher->cold_credit, now, attempt->sent_at);
}

/* Sends waiting shard requests while searchers have free connections. */
static void
send_waiting(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	struct wv_shard *shard;

	while (
	    (shard = dispatch_first_waiting(dispatch, now, service)) != NULL) {
		struct wv_searcher *searcher =
		    dispatch_pick_searcher(dispatch, now, shard, PURPOSE_FIRST);

		if (searcher == NULL) {
			dispatch_await_credit(dispatch, now, service);
			return;
		}
		stop_waiting(shard);
		if (allow_attempt(dispatch, now, shard)) {
			start_attempt(
			    dispatch, now, shard, searcher, shard->arrived);
		} else {
			dispatch_give_up(shard, WV_REASON_REJECTED);
			dispatch_try_finish(dispatch, now, shard->task);
		}
	}
}

void
dispatch_send_waiting(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_registry_service *service)
{
	if (service->waiting.head != NULL) {
		end_evacuated_waits(dispatch, now, service);
		send_waiting(dispatch, now, service);
	}
	dispatch_admit_deferred(dispatch, now, service);
}

static void
update_statistics(
    wv_msec now, struct wv_attempt *attempt, enum wv_attempt_end end)
{
	struct route_latency *latency = attempt->latency;
	wv_msec elapsed = now - attempt->sent_at;

	wv_health_record_end(&attempt->searcher->health, now, attempt->sent_at,
	    end, elapsed / latency->median);
	if (end == WV_END_ANSWERED)
		dispatch_latency_add(latency, elapsed);
}

void
wv_dispatch_reply(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_attempt *attempt, const struct wv_reply *reply)
{
	struct wv_registry_service *service = attempt->searcher->service;
	struct wv_task *task = attempt->task;
	struct wv_shard *shard = attempt->shard;
	bool kept = false;

	apply_statements(dispatch, now, attempt, reply);
	refund_credit(now, attempt, reply->end);
	update_statistics(now, attempt, reply->end);
	if (reply->end != WV_END_ANSWERED)
		dispatch->ops->failed(
		    dispatch->ops, attempt, reply->end, now - attempt->sent_at);
	if (task != NULL)
		unlink_from_shard(attempt);
	attempt_free(dispatch, attempt);
	if (task != NULL)
		kept = apply_reply(dispatch, now, shard, reply);
	if (!kept && reply->message != NULL)
		dispatch->ops->drop(dispatch->ops, reply->message);
	if (task != NULL)
		dispatch_try_finish(dispatch, now, task);
	dispatch_send_waiting(dispatch, now, service);
}

void
dispatch_attempt_timer_fired(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_attempt *attempt)
{
	struct wv_registry_service *service = attempt->searcher->service;

	if (attempt->task != NULL)
		attempt->task->may_have_run = true;
	update_statistics(now, attempt, WV_END_BROKEN);
	dispatch->ops->failed(
	    dispatch->ops, attempt, WV_END_BROKEN, now - attempt->sent_at);
	dispatch_cancel(dispatch, attempt);
	dispatch_send_waiting(dispatch, now, service);
}
