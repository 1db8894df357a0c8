/**
 * @file
 * One part of a request: attempts, hedges, retries and waiting for room.
 */
#include <math.h>

#include "src/dispatch_private.h"

/** Attempts that may be rejected before a part is given up. */
#define REJECTED_MOST 3
/** Part of the latency objective that a request may wait for room. */
#define WAIT_TARGETS 0.25
/** The same for parts of a request, others of which were asked for. */
#define WAIT_BEGUN_TARGETS 0.5
/**
 * Time past the deadline for which an attempt's answer is waited for, ms. The
 * searcher stops at the deadline and says so, which keeps the connection.
 */
#define STOP_GRACE 60.0
/** Time left below which nothing is sent any more, ms. */
#define LEAST_TIME 2.0

static void
link_attempt(struct wv_attempt *attempt)
{
	struct wv_searcher *searcher = attempt->searcher;

	attempt->next = searcher->first_attempt;
	if (attempt->next != NULL)
		attempt->next->previous = attempt;
	searcher->first_attempt = attempt;
	searcher->outstanding++;
	attempt->next_of_shard = attempt->shard->attempts;
	attempt->shard->attempts = attempt;
	attempt->shard->live++;
}

static void
unlink_from_shard(struct wv_attempt *attempt)
{
	struct wv_attempt **link = &attempt->shard->attempts;

	while (*link != attempt)
		link = &(*link)->next_of_shard;
	*link = attempt->next_of_shard;
	attempt->shard->live--;
}

/* Takes the attempt off its searcher and frees it. */
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
	wv_fleet_release(dispatch->fleet, searcher);
}

static void
start_attempt(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard,
    struct wv_searcher *searcher, bool extra)
{
	struct wv_task *task = shard->task;
	struct wv_attempt *attempt = g_new0(struct wv_attempt, 1);
	wv_msec hedge = dispatch_pace_hedge(task->pace, task->route);

	attempt->task = task;
	attempt->shard = shard;
	attempt->searcher = searcher;
	attempt->sent_at = now;
	attempt->due_at = now + hedge;
	attempt->deadline = task->deadline;
	attempt->extra = extra;
	attempt->idempotent = task->route->idempotent;
	attempt->pace = task->pace;
	attempt->timer = dispatch_timer_create(TIMER_ROUTE_ATTEMPT, attempt);
	dispatch_timer_set(
	    dispatch, attempt->timer, attempt->deadline + STOP_GRACE);
	link_attempt(attempt);
	wv_view_sent(&searcher->view, now);
	if (shard->n_tried < G_N_ELEMENTS(shard->tried))
		shard->tried[shard->n_tried++] = searcher;
	shard->sent++;
	task->attempts++;
	task->extra += extra;
	/* Unset for the others: it may still tell the end of a wait. */
	dispatch_timer_set(dispatch, shard->timer,
	    attempt->idempotent ? now + hedge : WV_MSEC_NEVER);
	dispatch->ops->send(dispatch->ops, attempt);
}

static gint
compare_urgency(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return dispatch_compare(((const struct wv_shard *)a)->task,
	    ((const struct wv_shard *)b)->task);
}

static void
stop_waiting(struct wv_shard *shard)
{
	if (!shard->waiting)
		return;
	g_queue_remove(&shard->service->waiting, shard);
	shard->waiting = false;
}

static void
wait_for_room(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	const struct wv_task *task = shard->task;
	double part = task->route->kind == WV_ROUTE_SCATTER ? WAIT_BEGUN_TARGETS
							    : WAIT_TARGETS;
	wv_msec limit = task->arrived + task->route->target * part;

	shard->waiting = true;
	g_queue_insert_sorted(
	    &shard->service->waiting, shard, compare_urgency, NULL);
	dispatch_timer_set(
	    dispatch, shard->timer, fmin(fmax(limit, now), task->deadline));
}

void
dispatch_place(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_searcher *searcher;

	searcher = dispatch_pick(dispatch, now, shard, PURPOSE_FIRST);
	if (searcher != NULL)
		start_attempt(dispatch, now, shard, searcher, false);
	else if (dispatch_reachable(shard->service, now))
		wait_for_room(dispatch, now, shard);
	else
		dispatch_give_up(shard, WV_REASON_UNREACHABLE);
}

void
dispatch_give_up(struct wv_shard *shard, enum wv_reason reason)
{
	if (shard->settled)
		return;
	stop_waiting(shard);
	shard->settled = true;
	shard->reason = reason;
	shard->task->given_up++;
}

/* Whether another attempt may be made that could run as well. */
static bool
may_repeat(const struct wv_shard *shard, wv_msec now)
{
	const struct wv_task *task = shard->task;

	return task->deadline - now > LEAST_TIME &&
	    shard->sent < task->route->max_attempts &&
	    shard->rejected < REJECTED_MOST;
}

/* Takes a further attempt from the allowance if the former one arrived. */
static bool
may_send(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	return !shard->arrived ||
	    wv_allowance_spend(
		&shard->service->allowance, &dispatch->terms.allowance, now);
}

/* Sends a retry, or lets it wait for room; returns whether it could. */
static bool
retry(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_searcher *searcher;

	if (!may_repeat(shard, now))
		return false;
	searcher = dispatch_pick(dispatch, now, shard, PURPOSE_FIRST);
	if (searcher == NULL && shard->live == 0 &&
	    dispatch_has_other(shard, now)) {
		wait_for_room(dispatch, now, shard);
		return true;
	}
	if (searcher == NULL || !may_send(dispatch, now, shard))
		return false;
	start_attempt(dispatch, now, shard, searcher, shard->arrived);
	return true;
}

static void
hedge(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_task *task = shard->task;
	struct wv_searcher *searcher;
	wv_msec again = dispatch_pace_hedge(task->pace, task->route);

	/* Whatever the timer stood for: nothing else runs beside such a run. */
	if (!task->route->idempotent || !may_repeat(shard, now))
		return;
	searcher = dispatch_pick(dispatch, now, shard, PURPOSE_HEDGE);
	if (searcher != NULL &&
	    wv_allowance_spend(
		&shard->service->allowance, &dispatch->terms.allowance, now))
		start_attempt(dispatch, now, shard, searcher, true);
	else
		dispatch_timer_set(dispatch, shard->timer, now + again);
}

void
dispatch_shard_due(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard)
{
	struct wv_fleet_service *service = shard->service;
	struct wv_task *task = shard->task;
	struct pace *pace = task->pace;
	struct wv_attempt *attempt;

	if (shard->settled)
		return;
	if (shard->waiting) {
		dispatch_give_up(shard, WV_REASON_NO_CAPACITY);
		dispatch_settle(dispatch, task);
		dispatch_admit_held(dispatch, now, service);
		return;
	}
	for (attempt = shard->attempts; attempt != NULL;
	     attempt = attempt->next_of_shard)
		wv_view_overdue(&attempt->searcher->view, now,
		    (now - attempt->sent_at) / pace->median);
	hedge(dispatch, now, shard);
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
reason_of(enum wv_attempt_end end)
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
		break;
	}
	return WV_REASON_BROKEN;
}

static bool
has_run(enum wv_attempt_end end)
{
	return end != WV_END_REJECTED && end != WV_END_WRONG_SEARCHER &&
	    end != WV_END_NOT_SENT;
}

/* An attempt ended without success and was the last one on the way. */
static void
shard_failed(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard,
    enum wv_attempt_end end)
{
	bool repeat = shard->task->route->idempotent || !has_run(end);

	if (repeat && retry(dispatch, now, shard))
		return;
	if (shard->live == 0)
		dispatch_give_up(shard, reason_of(end));
}

/*
 * Takes the result into the task; returns whether the message was kept.
 */
static bool
take_result(struct wv_dispatch *dispatch, wv_msec now, struct wv_shard *shard,
    const struct wv_reply *reply)
{
	struct wv_task *task = shard->task;
	bool relay = task->route->kind == WV_ROUTE_SINGLE;

	shard->arrived |= reply->end != WV_END_NOT_SENT;
	if (has_run(reply->end)) {
		task->may_have_run = true;
	} else {
		shard->sent--;
		shard->rejected++;
	}
	if (shard->settled)
		return false;
	if (reply->end == WV_END_ANSWERED && reply->success) {
		shard->settled = true;
		shard->message = reply->message;
		task->included++;
		return true;
	}
	shard_failed(dispatch, now, shard, reply->end);
	/* The failure of the only searcher asked is passed on as it is. */
	if (relay && shard->settled && has_run(reply->end) &&
	    reply->message != NULL) {
		shard->message = reply->message;
		return true;
	}
	return false;
}

/* Sends waiting shard requests as far as there is room. */
static void
send_waiting(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_fleet_service *service)
{
	struct wv_shard *shard;

	while ((shard = g_queue_peek_head(&service->waiting)) != NULL) {
		struct wv_searcher *searcher =
		    dispatch_pick(dispatch, now, shard, PURPOSE_FIRST);

		if (searcher == NULL)
			return;
		stop_waiting(shard);
		if (may_send(dispatch, now, shard)) {
			start_attempt(
			    dispatch, now, shard, searcher, shard->arrived);
		} else {
			dispatch_give_up(shard, WV_REASON_REJECTED);
			dispatch_settle(dispatch, shard->task);
		}
	}
}

void
dispatch_pump(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_fleet_service *service)
{
	send_waiting(dispatch, now, service);
	dispatch_admit_held(dispatch, now, service);
}

static void
update_view(wv_msec now, struct wv_attempt *attempt, enum wv_attempt_end end)
{
	struct pace *pace = attempt->pace;
	wv_msec elapsed = now - attempt->sent_at;

	wv_view_ended(
	    &attempt->searcher->view, now, end, elapsed / pace->median);
	if (end == WV_END_ANSWERED)
		dispatch_pace_add(pace, elapsed);
}

void
wv_dispatch_reply(struct wv_dispatch *dispatch, wv_msec now,
    struct wv_attempt *attempt, const struct wv_reply *reply)
{
	struct wv_fleet_service *service = attempt->searcher->service;
	struct wv_task *task = attempt->task;
	struct wv_shard *shard = attempt->shard;
	bool kept = false;

	update_view(now, attempt, reply->end);
	if (reply->end != WV_END_ANSWERED)
		dispatch->ops->failed(
		    dispatch->ops, attempt, reply->end, now - attempt->sent_at);
	if (task != NULL)
		unlink_from_shard(attempt);
	attempt_free(dispatch, attempt);
	if (task != NULL)
		kept = take_result(dispatch, now, shard, reply);
	if (!kept && reply->message != NULL)
		dispatch->ops->drop(dispatch->ops, reply->message);
	if (task != NULL)
		dispatch_settle(dispatch, task);
	dispatch_pump(dispatch, now, service);
}

void
dispatch_attempt_due(
    struct wv_dispatch *dispatch, wv_msec now, struct wv_attempt *attempt)
{
	struct wv_fleet_service *service = attempt->searcher->service;

	if (attempt->task != NULL)
		attempt->task->may_have_run = true;
	update_view(now, attempt, WV_END_BROKEN);
	dispatch->ops->failed(
	    dispatch->ops, attempt, WV_END_BROKEN, now - attempt->sent_at);
	dispatch_cancel(dispatch, attempt);
	dispatch_pump(dispatch, now, service);
}
