/**
 * @file
 * Attempts: from the send until the slot is free.
 */
#include "src/executor_private.h"

struct attempt *
wv_attempt_find(const struct wv_executor *executor, struct wv_attempt_id id)
{
	return g_hash_table_lookup(executor->attempts, &id);
}

struct attempt *
wv_attempt_create(struct wv_executor *executor, struct wv_attempt_id id,
    struct searcher *searcher)
{
	struct attempt *attempt = executor->unused_attempts;

	if (attempt != NULL)
		executor->unused_attempts = attempt->next;
	else
		attempt = g_new(struct attempt, 1);
	*attempt = (struct attempt){.id = id, .searcher = searcher};
	attempt->timer.kind = TIMER_ATTEMPT;
	attempt->generation = searcher->generation;
	g_hash_table_insert(executor->attempts, &attempt->id, attempt);
	wv_searcher_take_slot(searcher);
	return attempt;
}

void
wv_attempt_free(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	struct searcher *searcher = attempt->searcher;

	g_hash_table_remove(executor->attempts, &attempt->id);
	wv_timers_remove(&executor->timers, &attempt->timer);
	wv_searcher_free_slot(searcher);
	attempt->next = executor->unused_attempts;
	executor->unused_attempts = attempt;
	if (searcher->service != NULL) {
		if (!attempt->adopted)
			wv_admission_record_usage(searcher->service->admission,
			    now, attempt->rank, now - attempt->sent);
		wv_service_mark(executor, searcher->service);
	} else if (searcher->taken == 0) {
		wv_executor_sweep_retired(executor);
	}
}

/* Fraction of lost searchers from which on searcher health is ignored. */
#define IGNORE_HEALTH_FRACTION 0.9

void
wv_executor_update_ignore_health(struct wv_executor *executor)
{
	size_t lost = 0, not_leaving = 0;
	bool ignore_health;

	for (size_t i = 0; i < executor->topology->n_services; i++) {
		lost += executor->services[i]->n_lost;
		not_leaving += executor->services[i]->n_not_leaving;
	}
	ignore_health = not_leaving > 0 &&
	    (double)lost >= IGNORE_HEALTH_FRACTION * (double)not_leaving;
	if (executor->ignore_health != ignore_health) {
		executor->ignore_health = ignore_health;
		executor->snapshot_stale = true;
		wv_service_mark_all(executor);
	}
	for (size_t i = 0; i < executor->topology->n_services; i++)
		executor->services[i]->ignore_health = executor->ignore_health;
}

void
wv_searcher_update_state(
    struct wv_executor *executor, struct searcher *searcher)
{
	struct service *service = searcher->service;

	if (service == NULL ||
	    wv_replica_state(searcher->replica) == searcher->state)
		return;
	if (wv_service_recount(service))
		executor->snapshot_stale = true;
	wv_executor_update_ignore_health(executor);
	wv_service_mark(executor, service);
}

/*
 * Records the outcome in the replica, unless the searcher was replaced after
 * the send: outcomes of an older generation say nothing about this one.
 */
static void
record_outcome(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome)
{
	struct searcher *searcher = attempt->searcher;

	attempt->outcome_recorded = true;
	if (attempt->generation != searcher->generation)
		return;
	wv_replica_record_outcome(
	    searcher->replica, now, outcome, now - attempt->sent);
	wv_searcher_update_state(executor, searcher);
}

void
wv_attempt_set_late(struct attempt *attempt, bool late)
{
	GPtrArray *list;
	size_t i = attempt->late_index;

	if (late == (i > 0))
		return;
	list = attempt->shard->service->late_attempts;
	if (late) {
		g_ptr_array_add(list, attempt);
		attempt->late_index = list->len;
		return;
	}
	g_ptr_array_remove_index_fast(list, (guint)i - 1);
	if (i <= list->len)
		((struct attempt *)list->pdata[i - 1])->late_index = i;
	attempt->late_index = 0;
}

/*
 * Detaches an attempt from its shard; from now on its outcome does not count.
 */
static void
detach_from_shard(struct attempt *attempt)
{
	struct shard *shard = attempt->shard;

	if (shard == NULL)
		return;
	wv_attempt_set_late(attempt, false);
	for (size_t i = 0; i < shard->n_running; i++) {
		if (shard->running[i] == attempt) {
			shard->running[i] = shard->running[--shard->n_running];
			break;
		}
	}
	attempt->shard = NULL;
}

void
wv_attempt_end(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome)
{
	detach_from_shard(attempt);
	record_outcome(executor, now, attempt, outcome);
	wv_attempt_free(executor, now, attempt);
}

/* Records the end of an attempt that was given up in its replica, once. */
static void
record_given_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool confirmed)
{
	struct searcher *searcher = attempt->searcher;

	if (attempt->adopted || attempt->outcome_recorded)
		return;
	attempt->outcome_recorded = true;
	if (attempt->generation != searcher->generation)
		return;
	wv_replica_record_given_up(searcher->replica, now,
	    attempt->given_up_at - attempt->sent, confirmed);
	wv_searcher_update_state(executor, searcher);
}

void
wv_attempt_close(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool confirmed)
{
	record_given_up(executor, now, attempt, confirmed);
	wv_attempt_free(executor, now, attempt);
}

void
wv_attempt_overdue(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	record_given_up(executor, now, attempt, false);
	wv_timers_set(
	    &executor->timers, &attempt->timer, attempt->slot_free_by);
}

void
wv_attempt_give_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool cancel)
{
	size_t index = attempt->searcher->index;

	detach_from_shard(attempt);
	attempt->given_up_at = now;
	wv_timers_set(&executor->timers, &attempt->timer,
	    now < attempt->reply_due ? attempt->reply_due
				     : attempt->slot_free_by);
	if (!cancel || index == SIZE_MAX)
		return;
	executor->counters.cancels++;
	executor->sink->ops->cancel(executor->sink, index, attempt->id);
}

void
wv_attempt_fail(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome, bool cancel)
{
	record_outcome(executor, now, attempt, outcome);
	wv_attempt_give_up(executor, now, attempt, cancel);
}

/* Returns how long to wait for an attempt before a hedge is sent, ms. */
static wv_msec
hedge_delay(const struct wv_executor *executor, const struct shard *shard,
    const struct searcher *searcher)
{
	const struct latency *latency = &shard->service->latency;

	if (!executor->config.hedge || shard->query->work == WV_WORK_JOB ||
	    shard->n_running > 1 || shard->improving ||
	    latency->samples < MIN_HEDGE_SAMPLES)
		return WV_MSEC_NEVER;
	/* A probe of a lost searcher is expected to fail, so hedge early. */
	if (wv_replica_state(searcher->replica) == WV_REPLICA_LOST)
		return latency->median;
	return latency->high;
}

/* Remembers a searcher as tried; a full list replaces its last entry. */
static void
add_tried(struct shard *shard, struct searcher *searcher)
{
	if (shard->n_tried < MAX_TRIED)
		shard->tried[shard->n_tried++] = searcher;
	else
		shard->tried[MAX_TRIED - 1] = searcher;
}

/*
 * Counts an attempt and adds to the budgets. Extra attempts were charged when
 * they were decided on.
 */
static void
count_attempt(struct wv_executor *executor, struct query *query, bool extra)
{
	struct customer *customer = query->customer;

	executor->counters.attempts++;
	query->attempts++;
	if (extra || query->work == WV_WORK_JOB)
		return;
	wv_budget_earn(&customer->hedges, query->hedge_budget);
	wv_budget_earn(&customer->retries, query->retry_budget);
}

/*
 * Returns the deadline of an attempt. For a search it is bounded by the
 * topology's attempt limit, which is how long the next holder of the lane must
 * wait if this VM is lost.
 */
static wv_msec
attempt_deadline(
    const struct wv_executor *executor, wv_msec now, const struct query *query)
{
	if (query->work == WV_WORK_JOB)
		return query->deadline;
	return MIN(query->deadline, now + executor->topology->attempt_limit);
}

static void
send_request(struct wv_executor *executor, wv_msec now,
    const struct shard *shard, const struct attempt *attempt, bool extra)
{
	const struct query *query = shard->query;
	const struct searcher *searcher = attempt->searcher;
	struct wv_shard_request request = {
	    .attempt = attempt->id,
	    .request = query->id,
	    .work = query->work,
	    .searcher = searcher->index,
	    .info = &executor->topology->searchers[searcher->index],
	    .service = shard->service->name,
	    .text = {query->text->str, query->text->len},
	    .key = {query->key->str, query->key->len},
	    .index_version = query->snapshot.version,
	    .map = query->snapshot.map,
	    .timeout = attempt_deadline(executor, now, query) - now,
	    .extra = extra,
	};

	executor->sink->ops->send(executor->sink, &request);
}

void
wv_attempt_start(struct wv_executor *executor, wv_msec now, struct shard *shard,
    struct searcher *searcher, bool extra)
{
	struct query *query = shard->query;
	struct wv_attempt_id id = {executor->config.vm,
	    executor->config.incarnation, ++*executor->config.next_attempt};
	struct attempt *attempt = wv_attempt_create(executor, id, searcher);
	wv_msec latest;
	wv_msec delay;

	attempt->shard = shard;
	attempt->rank = query->rank;
	attempt->sent = now;
	attempt->given_up_at = now;
	latest = attempt_deadline(executor, now, query) +
	    executor->topology->searchers[searcher->index].connect_cost;
	attempt->reply_due = latest + REPLY_MARGIN_MS;
	attempt->slot_free_by =
	    MAX(attempt->reply_due, latest + executor->config.slot_margin);
	shard->running[shard->n_running++] = attempt;
	shard->n_sent++;
	if (shard->state == SHARD_WAITING)
		shard->state = SHARD_SENT;
	add_tried(shard, searcher);
	count_attempt(executor, query, extra);
	delay = hedge_delay(executor, shard, searcher);
	if (wv_replica_state(searcher->replica) == WV_REPLICA_LOST)
		executor->counters.probes++;
	wv_replica_record_send(searcher->replica, now);
	wv_timers_set(&executor->timers, &attempt->timer,
	    MIN(now + delay, attempt->reply_due));
	send_request(executor, now, shard, attempt, extra);
}
