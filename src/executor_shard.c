/**
 * @file
 * Handles the outcome of an attempt: merge, retry, hedge or restart.
 */
#include "src/executor_private.h"
#include "src/snapshot.h"

/*
 * Spends budget for one retry: the retry budget first, then the hedge budget.
 */
static bool
spend_retry(struct customer *customer)
{
	return wv_budget_spend(&customer->retries) ||
	    wv_budget_spend(&customer->hedges);
}

/* Returns how many extra attempts the budgets allow now. */
static uint32_t
whole_credits(const struct customer *customer)
{
	return (uint32_t)customer->retries.credit +
	    (uint32_t)customer->hedges.credit;
}

/*
 * Answers a query if all its shards are decided or its minimum cannot be
 * reached.
 */
static void
finish_if_decided(
    struct wv_executor *executor, wv_msec now, struct query *query)
{
	if (query->n_open == 0 || wv_query_cannot_reach_minimum(query))
		wv_query_finish(executor, now, query, false);
}

void
wv_shard_leave_out(struct wv_executor *executor, wv_msec now,
    struct shard *shard, enum wv_code reason)
{
	struct query *query = shard->query;

	if (query->work == WV_WORK_JOB) {
		wv_query_fail(executor, now, query, WV_JOB_NOT_RUN,
		    "no searcher of the service takes work");
		return;
	}
	wv_query_leave_out(query, shard, reason);
	finish_if_decided(executor, now, query);
}

/* Gives up and cancels all running attempts of a shard. */
static void
cancel_running(struct wv_executor *executor, wv_msec now, struct shard *shard)
{
	while (shard->n_running > 0)
		wv_attempt_give_up(
		    executor, now, shard->running[shard->n_running - 1], true);
}

/* Returns how many attempts a restart sends again, all of them extra ones. */
static uint32_t
count_resent(const struct query *query)
{
	uint32_t n = 0;

	for (size_t i = 0; i < query->n_shards; i++)
		n += query->shards[i].n_sent > 0 ? 1 : 0;
	return n;
}

/*
 * Returns whether a newer snapshot is available to restart on, with enough time
 * and budget left.
 */
static bool
may_restart(
    struct wv_executor *executor, wv_msec now, const struct query *query)
{
	struct snapshot snapshot = wv_executor_snapshot(executor);

	if (query->restarts >= MAX_RESTARTS ||
	    !wv_snapshot_newer(snapshot, query->snapshot) ||
	    whole_credits(query->customer) < count_resent(query))
		return false;
	for (size_t i = 0; i < query->n_shards; i++) {
		const struct service *service = query->shards[i].service;

		if (service == NULL || !wv_service_holds(service, snapshot) ||
		    query->deadline - now <= service->latency.mean)
			return false;
	}
	return true;
}

/* Starts a query again on the newest usable snapshot. */
static void
restart_query(struct wv_executor *executor, wv_msec now, struct query *query)
{
	query->restarts++;
	executor->counters.restarts++;
	for (size_t i = 0; i < query->n_shards; i++)
		cancel_running(executor, now, &query->shards[i]);
	wv_query_reset(query, wv_executor_snapshot(executor));
	for (size_t i = 0; i < query->n_shards; i++) {
		struct shard *shard = &query->shards[i];

		if (shard->n_sent > 0)
			shard->charged = spend_retry(query->customer);
		if (!shard->waiter.queued)
			wv_shard_push(executor, shard);
	}
}

void
wv_shard_snapshot_gone(
    struct wv_executor *executor, wv_msec now, struct shard *shard)
{
	if (may_restart(executor, now, shard->query))
		restart_query(executor, now, shard->query);
	else
		wv_shard_leave_out(
		    executor, now, shard, WV_SNAPSHOT_UNAVAILABLE);
}

/* Returns whether an untried, healthy searcher holds the pinned snapshot. */
static bool
has_untried(const struct shard *shard)
{
	const struct service *service = shard->service;

	for (size_t i = 0; i < service->n_members; i++) {
		const struct searcher *member = service->members[i];
		bool tried = false;

		for (size_t j = 0; j < shard->n_tried; j++)
			tried = tried || shard->tried[j] == member;
		if (!tried && (member->healthy || service->ignore_health) &&
		    wv_searcher_holds(member, shard->query->snapshot))
			return true;
	}
	return false;
}

/*
 * Queues a shard for another attempt, or leaves it out if there is no untried
 * searcher or no budget.
 */
static void
retry_or_leave_out(struct wv_executor *executor, wv_msec now,
    struct shard *shard, enum wv_code reason)
{
	struct service *service = shard->service;

	if (service != NULL &&
	    !wv_service_holds(service, shard->query->snapshot)) {
		wv_shard_snapshot_gone(executor, now, shard);
		return;
	}
	if (service == NULL || !has_untried(shard) ||
	    !spend_retry(shard->query->customer)) {
		wv_shard_leave_out(executor, now, shard, reason);
		return;
	}
	executor->counters.retries++;
	shard->charged = true;
	wv_shard_push(executor, shard);
}

/*
 * Returns whether work of the same or a more urgent rank waits, which an extra
 * attempt would delay. Less urgent work does not count: in a flood of it some
 * always waits, and hedges would starve.
 */
static bool
is_contended(const struct shard *shard)
{
	for (int i = 0; i <= (int)shard->query->rank; i++) {
		if (wv_admission_count_waiting(shard->service->admission, i) >
		    0)
			return true;
	}
	return false;
}

/*
 * Returns a searcher that is not slow and has a free slot, or NULL if there is
 * none or other work waits for it.
 */
static struct searcher *
find_idle_searcher(
    struct wv_executor *executor, wv_msec now, const struct shard *shard)
{
	struct criteria criteria = wv_shard_criteria(shard);

	if (shard->service == NULL || !wv_executor_may_send(executor, now) ||
	    is_contended(shard))
		return NULL;
	criteria.exclude_slow = true;
	return wv_service_choose(
	    shard->service, now, &criteria, &executor->random);
}

/*
 * Tries to improve a partial reply with an attempt at another searcher. The
 * partial reply stays the fallback.
 */
static bool
try_improve(struct wv_executor *executor, wv_msec now, struct shard *shard)
{
	struct query *query = shard->query;
	struct searcher *searcher = NULL;

	if (shard->complete || shard->improving || shard->n_sent >= MAX_TRIED ||
	    shard->service == NULL ||
	    query->deadline - now <= shard->service->latency.mean)
		return false;
	searcher = find_idle_searcher(executor, now, shard);
	if (searcher == NULL || !spend_retry(query->customer))
		return false;
	executor->counters.retries++;
	wv_query_set_improving(query, shard, true);
	wv_attempt_start(executor, now, shard, searcher, true);
	return true;
}

/* Remembers the size of a shard for the coverage of queries that miss it. */
static void
store_documents_total(struct shard *shard, const struct wv_shard_reply *reply)
{
	if (shard->service == NULL || reply->documents_total == 0)
		return;
	shard->service->documents_total = reply->documents_total;
	shard->service->documents_total_snapshot = shard->query->snapshot;
}

/* Merges an answer, and answers the query if that decides it. */
static void
handle_answer(struct wv_executor *executor, wv_msec now, struct shard *shard,
    const struct wv_shard_reply *reply)
{
	struct query *query = shard->query;
	bool better = !shard->improving || reply->documents > shard->documents;

	store_documents_total(shard, reply);
	cancel_running(executor, now, shard);
	wv_query_set_improving(query, shard, false);
	if (better)
		wv_query_merge(query, shard, reply);
	if (!shard->complete) {
		executor->counters.partial_replies++;
		if (better && try_improve(executor, now, shard))
			return;
	}
	finish_if_decided(executor, now, query);
}

/* Handles a failed attempt. Another attempt of the shard may still run. */
static void
handle_failure(struct wv_executor *executor, wv_msec now, struct shard *shard,
    enum wv_reply_outcome outcome)
{
	executor->counters.failed_replies++;
	if (shard->n_running > 0)
		return;
	if (shard->improving) {
		wv_query_set_improving(shard->query, shard, false);
		finish_if_decided(executor, now, shard->query);
		return;
	}
	retry_or_leave_out(executor, now, shard,
	    outcome == WV_REPLY_VERSION_GONE ? WV_SNAPSHOT_UNAVAILABLE
					     : WV_NO_ANSWER);
}

/*
 * Answers a job. An outcome that is not certain is reported as unknown, since
 * the job may have run.
 */
static void
handle_job_reply(struct wv_executor *executor, wv_msec now, struct query *query,
    const struct wv_shard_reply *reply)
{
	switch (reply->outcome) {
	case WV_REPLY_ANSWERED:
		wv_query_finish_job(executor, now, query, reply);
		break;
	case WV_REPLY_NOT_STARTED:
		wv_query_fail(executor, now, query, WV_JOB_NOT_RUN,
		    "the searcher refused the job before it started");
		break;
	case WV_REPLY_NOT_SENT:
		wv_query_fail(executor, now, query, WV_JOB_NOT_RUN,
		    "the job was not sent to the searcher");
		break;
	case WV_REPLY_VERSION_GONE:
	case WV_REPLY_STOPPED:
	case WV_REPLY_FAILED:
	case WV_REPLY_TIMED_OUT:
		wv_query_fail(executor, now, query, WV_JOB_UNKNOWN,
		    "the job was sent and its outcome is not known");
		break;
	}
}

/*
 * Returns whether an outcome means that the searcher has stopped. A broken or
 * missing reply does not show that.
 */
static bool
frees_slot(enum wv_reply_outcome outcome)
{
	return outcome != WV_REPLY_FAILED && outcome != WV_REPLY_TIMED_OUT;
}

void
wv_shard_reply(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, const struct wv_shard_reply *reply)
{
	struct shard *shard = attempt->shard;
	struct query *query = shard->query;
	bool is_job = query->work == WV_WORK_JOB;
	enum wv_reply_outcome outcome = reply->outcome;
	struct service *service = shard->service;
	struct searcher *searcher = attempt->searcher;
	bool replaced = searcher->generation != attempt->generation;
	wv_msec elapsed = now - attempt->sent;

	if (frees_slot(outcome))
		wv_attempt_end(executor, now, attempt, outcome);
	else
		wv_attempt_fail(executor, now, attempt, outcome, !is_job);
	if (outcome == WV_REPLY_ANSWERED && service != NULL)
		wv_latency_add(&service->latency, now, elapsed);
	if (is_job) {
		handle_job_reply(executor, now, query, reply);
		return;
	}
	if (outcome == WV_REPLY_ANSWERED && !wv_query_matches(query, reply)) {
		executor->counters.snapshot_mismatches++;
		outcome = WV_REPLY_VERSION_GONE;
	}
	if (outcome == WV_REPLY_VERSION_GONE && !replaced &&
	    wv_searcher_drop_snapshot(searcher, query->snapshot))
		executor->snapshot_stale = true;
	if (outcome == WV_REPLY_ANSWERED)
		handle_answer(executor, now, shard, reply);
	else
		handle_failure(executor, now, shard, outcome);
}

bool
wv_shard_try_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	struct shard *shard = attempt->shard;
	struct searcher *searcher = find_idle_searcher(executor, now, shard);

	if (searcher == NULL ||
	    !wv_budget_spend(&shard->query->customer->hedges))
		return false;
	executor->counters.hedges++;
	wv_attempt_set_late(attempt, false);
	wv_timers_set(&executor->timers, &attempt->timer, attempt->reply_due);
	wv_attempt_start(executor, now, shard, searcher, true);
	return true;
}

void
wv_shard_hedge(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	struct shard *shard = attempt->shard;
	wv_msec next_check = attempt->reply_due;

	if (shard->n_running > 1 || shard->service == NULL) {
		wv_timers_set(&executor->timers, &attempt->timer, next_check);
		return;
	}
	if (wv_shard_try_hedge(executor, now, attempt))
		return;
	if (shard->query->customer->hedges.credit >= 1)
		wv_attempt_set_late(attempt, true);
	else
		next_check = now + MAX(shard->service->latency.high / 2, 0.1);
	wv_timers_set(&executor->timers, &attempt->timer,
	    MIN(next_check, attempt->reply_due));
}
