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
wv_attempt_enter(struct wv_executor *executor, struct wv_attempt_id id,
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
	wv_searcher_take(searcher);
	return attempt;
}

void
wv_attempt_free(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	struct searcher *searcher = attempt->searcher;

	g_hash_table_remove(executor->attempts, &attempt->id);
	wv_timers_remove(&executor->timers, &attempt->timer);
	wv_searcher_give(searcher);
	attempt->next = executor->unused_attempts;
	executor->unused_attempts = attempt;
	if (searcher->service != NULL) {
		if (!attempt->adopted)
			wv_admission_used(searcher->service->admission, now,
			    attempt->rank, now - attempt->sent);
		wv_service_mark(executor, searcher->service);
	} else if (searcher->taken == 0) {
		wv_executor_sweep_retired(executor);
	}
}

/* Part of the searchers that look lost above which the view is doubted. */
#define DOUBT_PART 0.9

void
wv_executor_update_doubt(struct wv_executor *executor)
{
	size_t lost = 0, staying = 0;
	bool doubt;

	for (size_t i = 0; i < executor->topology->n_services; i++) {
		lost += executor->services[i]->n_lost;
		staying += executor->services[i]->n_staying;
	}
	doubt = staying > 0 && (double)lost >= DOUBT_PART * (double)staying;
	if (executor->doubt != doubt) {
		executor->doubt = doubt;
		executor->snapshot_stale = true;
		wv_service_mark_all(executor);
	}
	for (size_t i = 0; i < executor->topology->n_services; i++)
		executor->services[i]->doubt = executor->doubt;
}

void
wv_searcher_check(struct wv_executor *executor, struct searcher *searcher)
{
	struct service *service = searcher->service;

	if (service == NULL ||
	    wv_replica_state(searcher->replica) == searcher->state)
		return;
	if (wv_service_recount(service))
		executor->snapshot_stale = true;
	wv_executor_update_doubt(executor);
	wv_service_mark(executor, service);
}

/* What an older generation did says nothing about the present one. */
static void
judge(struct wv_executor *executor, wv_msec now, struct attempt *attempt,
    enum wv_reply_outcome outcome)
{
	struct searcher *searcher = attempt->searcher;

	attempt->judged = true;
	if (attempt->generation != searcher->generation)
		return;
	wv_replica_ended(searcher->replica, now, outcome, now - attempt->sent);
	wv_searcher_check(executor, searcher);
}

void
wv_attempt_set_late(struct attempt *attempt, bool late)
{
	GPtrArray *list;
	size_t i = attempt->late;

	if (late == (i > 0))
		return;
	list = attempt->shard->service->late;
	if (late) {
		g_ptr_array_add(list, attempt);
		attempt->late = list->len;
		return;
	}
	g_ptr_array_remove_index_fast(list, (guint)i - 1);
	if (i <= list->len)
		((struct attempt *)list->pdata[i - 1])->late = i;
	attempt->late = 0;
}

static void
detach(struct attempt *attempt)
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
	detach(attempt);
	judge(executor, now, attempt, outcome);
	wv_attempt_free(executor, now, attempt);
}

/* Tells the replica of an attempt that was given up, once. */
static void
judge_given_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool heard)
{
	struct searcher *searcher = attempt->searcher;

	if (attempt->adopted || attempt->judged)
		return;
	attempt->judged = true;
	if (attempt->generation != searcher->generation)
		return;
	wv_replica_given_up(
	    searcher->replica, now, attempt->given_up - attempt->sent, heard);
	wv_searcher_check(executor, searcher);
}

void
wv_attempt_close(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool heard)
{
	judge_given_up(executor, now, attempt, heard);
	wv_attempt_free(executor, now, attempt);
}

void
wv_attempt_silent(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	judge_given_up(executor, now, attempt, false);
	wv_timers_set(&executor->timers, &attempt->timer, attempt->free_at);
}

void
wv_attempt_give_up(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, bool cancel)
{
	size_t index = attempt->searcher->index;

	detach(attempt);
	attempt->given_up = now;
	wv_timers_set(&executor->timers, &attempt->timer,
	    now < attempt->until ? attempt->until : attempt->free_at);
	if (!cancel || index == SIZE_MAX)
		return;
	executor->counters.cancels++;
	executor->sink->ops->cancel(executor->sink, index, attempt->id);
}

void
wv_attempt_fail(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, enum wv_reply_outcome outcome, bool cancel)
{
	judge(executor, now, attempt, outcome);
	wv_attempt_give_up(executor, now, attempt, cancel);
}

/* Until when an attempt may run before another searcher is asked. */
static wv_msec
patience(const struct wv_executor *executor, const struct shard *shard,
    const struct searcher *searcher)
{
	const struct latency *latency = &shard->service->latency;

	if (!executor->config.hedge || shard->query->work == WV_WORK_JOB ||
	    shard->n_running > 1 || shard->improving ||
	    latency->samples < HEDGE_SAMPLES)
		return WV_MSEC_NEVER;
	/* A probe of a lost searcher is expected to fail. */
	if (wv_replica_state(searcher->replica) == WV_REPLICA_LOST)
		return latency->median;
	return latency->high;
}

static void
note_tried(struct shard *shard, struct searcher *searcher)
{
	if (shard->n_tried < TRIED_ROOM)
		shard->tried[shard->n_tried++] = searcher;
	else
		shard->tried[TRIED_ROOM - 1] = searcher;
}

/* Charges the budgets; extra attempts were paid when they were decided. */
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
 * Returns when an attempt ends at the latest. The limit of a search bounds how
 * long the next holder must wait if this VM is lost.
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
	struct attempt *attempt = wv_attempt_enter(executor, id, searcher);
	wv_msec latest;
	wv_msec wait;

	attempt->shard = shard;
	attempt->rank = query->rank;
	attempt->sent = now;
	attempt->given_up = now;
	latest = attempt_deadline(executor, now, query) +
	    executor->topology->searchers[searcher->index].connect_cost;
	attempt->until = latest + REPLY_MARGIN;
	attempt->free_at =
	    MAX(attempt->until, latest + executor->config.slot_margin);
	shard->running[shard->n_running++] = attempt;
	shard->n_sent++;
	if (shard->state == SHARD_WAITING)
		shard->state = SHARD_SENT;
	note_tried(shard, searcher);
	count_attempt(executor, query, extra);
	wait = patience(executor, shard, searcher);
	if (wv_replica_state(searcher->replica) == WV_REPLICA_LOST)
		executor->counters.probes++;
	wv_replica_sent(searcher->replica, now);
	wv_timers_set(&executor->timers, &attempt->timer,
	    MIN(now + wait, attempt->until));
	send_request(executor, now, shard, attempt, extra);
}
