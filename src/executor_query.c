/**
 * @file
 * Admission of callers' requests, and their answers.
 */
#include <string.h>

#include "src/executor_private.h"
#include "src/snapshot.h"

/**
 * Safety factor on a predicted wait. Services drain at rates that differ by
 * chance, and the slowest one decides. Without the factor a query admitted at
 * the limit often misses one shard, and the work for the others is wasted.
 */
#define WAIT_SAFETY_FACTOR 1.5
/** Tolerance when durations are compared with the contract, ms. */
#define DEADLINE_TOLERANCE_MS 0.001

struct snapshot
wv_executor_snapshot(struct wv_executor *executor)
{
	struct snapshot published = {
	    executor->topology->index_version, executor->topology->map};

	if (executor->snapshot_stale) {
		executor->snapshot = wv_snapshot_choose(executor->services,
		    executor->topology->n_services, published);
		executor->snapshot_stale = false;
	}
	return executor->snapshot;
}

/*
 * Returns the index of the service that runs a job. It depends on the key alone
 * as long as the number of services stays the same.
 */
static size_t
job_service(
    const struct wv_executor *executor, const struct wv_request *request)
{
	return wv_string_hash(request->key) % executor->topology->n_services;
}

/* Checks a request against the contract's terms for this back end. */
static enum wv_code
check_terms(const struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract,
    const struct wv_back_end_terms **terms, struct wv_status *status)
{
	const char *back_end = executor->topology->back_end.data;
	const char *rank = wv_rank_name(request->rank);
	wv_msec time_left = request->deadline - now;

	*terms = NULL;
	if (contract == NULL || contract->deleted)
		return wv_status_set(status, WV_UNKNOWN_CUSTOMER,
		    "no contract is in force for this customer");
	*terms = wv_contract_find_terms(contract, executor->topology->back_end);
	if (*terms == NULL)
		return wv_status_set(status, WV_RANK_NOT_ALLOWED,
		    "the contract has no clause back_ends.%s", back_end);
	if (request->rank >= WV_RANK_COUNT ||
	    !(*terms)->ranks[request->rank].allowed)
		return wv_status_set(status, WV_RANK_NOT_ALLOWED,
		    "the contract has no clause back_ends.%s.ranks.%s",
		    back_end, rank);
	if (time_left >
	    (*terms)->ranks[request->rank].deadline + DEADLINE_TOLERANCE_MS)
		return wv_status_set(status, WV_DEADLINE_NOT_ALLOWED,
		    "contract clause back_ends.%s.ranks.%s.deadline_ms: %g",
		    back_end, rank, (*terms)->ranks[request->rank].deadline);
	if (time_left <= 0)
		return wv_status_set(status, WV_EXPIRED_IN_QUEUE,
		    "the deadline has passed already");
	return WV_OK;
}

/*
 * Returns the latency that a request has to allow for, ms. Without a wait the
 * mean is enough. It decays while there are no answers: a service whose
 * estimate is above all deadlines would otherwise refuse everything for ever.
 */
static wv_msec
typical_latency(const struct service *service, wv_msec now, wv_msec wait)
{
	if (wait > 0)
		return wv_latency_upper(&service->latency);
	return wv_latency_decayed_mean(&service->latency, now);
}

/* Checks whether one service can serve the request in time. */
static enum wv_code
check_service(const struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct service *service,
    struct wv_status *status)
{
	size_t waiting =
	    wv_admission_count_waiting(service->admission, request->rank);
	wv_msec mean = service->latency.mean;
	wv_msec typical;
	wv_msec start = MAX(now, executor->quarantine_until);
	wv_msec wait;

	/* A lost service costs no time: its shard is left out at once. */
	if (service->capacity == 0 && !service->ignore_health)
		return WV_OK;
	if (waiting >= executor->config.queue_limit)
		return wv_status_set(status, WV_QUEUE_FULL,
		    "no capacity: %zu %s requests wait for service %s", waiting,
		    wv_rank_name(request->rank), service->name.data);
	wait = WAIT_SAFETY_FACTOR *
	    wv_admission_expected_wait(service->admission, request->rank,
		request->deadline, mean, service->capacity);
	typical = typical_latency(service, now, wait);
	if (start + wait + typical > request->deadline)
		return wv_status_set(status, WV_CANNOT_FINISH_IN_TIME,
		    "no capacity: service %s needs %.1f ms and %.1f ms are "
		    "left",
		    service->name.data, start - now + wait + typical,
		    request->deadline - now);
	return WV_OK;
}

/*
 * Checks whether this VM holds the lease and the services can serve the request
 * in time.
 */
static enum wv_code
check_capacity(const struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, struct wv_status *status)
{
	enum wv_code code = WV_OK;

	if (now >= executor->lease_until)
		return wv_status_set(status, WV_HOLDER_UNREACHABLE,
		    "this VM does not hold the lease of lane %u",
		    executor->config.lane);
	if (request->work == WV_WORK_JOB)
		return check_service(executor, now, request,
		    executor->services[job_service(executor, request)], status);
	for (size_t i = 0; code == WV_OK && i < executor->topology->n_services;
	     i++)
		code = check_service(
		    executor, now, request, executor->services[i], status);
	return code;
}

static enum wv_code
check_request(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract,
    const struct wv_back_end_terms **terms, struct wv_status *status)
{
	enum wv_code code =
	    check_terms(executor, now, request, contract, terms, status);

	if (code != WV_OK)
		return code;
	code = wv_limits_check(executor->limits, now, request->customer,
	    request->rank, &(*terms)->ranks[request->rank], status);
	if (code != WV_OK)
		return code;
	return check_capacity(executor, now, request, status);
}

enum wv_code
wv_executor_check(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract,
    struct wv_status *status)
{
	const struct wv_back_end_terms *terms;

	wv_status_clear(status);
	return check_request(executor, now, request, contract, &terms, status);
}

/*
 * Sums the shares of all customers for each rank. If all ranks together exceed
 * 1, they are scaled down to a sum of 1.
 */
void
wv_executor_apply_shares(struct wv_executor *executor)
{
	double shares[WV_RANK_COUNT] = {0};
	double sum = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct customer *customer = value;

		for (int i = 0; i < WV_RANK_COUNT; i++)
			shares[i] += customer->shares[i];
	}
	for (int i = 0; i < WV_RANK_COUNT; i++)
		sum += shares[i];
	for (int i = 0; i < WV_RANK_COUNT && sum > 1; i++)
		shares[i] /= sum;
	for (size_t i = 0; i < executor->topology->n_services; i++)
		wv_admission_set_shares(
		    executor->services[i]->admission, shares);
}

static struct customer *
find_customer(struct wv_executor *executor, struct wv_string name)
{
	struct customer *customer =
	    g_hash_table_lookup(executor->customers, &name);

	if (customer == NULL) {
		customer = g_new0(struct customer, 1);
		customer->name = wv_string_copy(name);
		g_hash_table_insert(
		    executor->customers, &customer->name, customer);
	}
	return customer;
}

/* Copies the shares of a new contract version to the customer. */
static void
update_customer(struct wv_executor *executor, struct customer *customer,
    const struct wv_contract *contract, const struct wv_back_end_terms *terms)
{
	if (customer->contract_version == contract->version &&
	    contract->version != 0)
		return;
	customer->contract_version = contract->version;
	for (int i = 0; i < WV_RANK_COUNT; i++)
		customer->shares[i] =
		    terms->ranks[i].allowed ? terms->ranks[i].share : 0;
	wv_executor_apply_shares(executor);
}

/* Clears the shares of a customer whose contract has ended. */
static void
clear_shares(struct wv_executor *executor, struct wv_string name)
{
	struct customer *customer =
	    g_hash_table_lookup(executor->customers, &name);

	if (customer == NULL || customer->contract_version == 0)
		return;
	customer->contract_version = 0;
	memset(customer->shares, 0, sizeof(customer->shares));
	wv_executor_apply_shares(executor);
}

static struct query *
allocate_query(struct wv_executor *executor)
{
	struct query *query = executor->unused_queries;

	if (query == NULL)
		return wv_query_create();
	executor->unused_queries = query->next;
	return query;
}

static void
begin_query(struct wv_executor *executor, const struct wv_request *request,
    struct customer *customer, const struct wv_back_end_terms *terms)
{
	struct query *query = allocate_query(executor);
	bool is_job = request->work == WV_WORK_JOB;
	double minimum = MAX(request->coverage_minimum,
	    terms->ranks[request->rank].coverage_minimum);

	wv_query_begin(query, request, minimum,
	    is_job ? 1 : executor->topology->n_services);
	query->customer = customer;
	query->hedge_budget = terms->hedge_budget;
	query->retry_budget = terms->retry_budget;
	query->snapshot = wv_executor_snapshot(executor);
	g_hash_table_insert(executor->queries, &query->id, query);
	wv_timers_set(&executor->timers, &query->timer, query->deadline);
	for (size_t i = 0; i < query->n_shards; i++) {
		query->shards[i].service =
		    executor
			->services[is_job ? job_service(executor, request) : i];
		wv_shard_push(executor, &query->shards[i]);
	}
}

static void
send_refusal(struct wv_executor *executor, const struct wv_request *request,
    const struct wv_status *status)
{
	struct wv_answer answer = {.request = request->id, .status = *status};

	executor->counters.refused++;
	answer.coverage.shards_total = request->work == WV_WORK_JOB
	    ? 1
	    : (uint32_t)executor->topology->n_services;
	executor->sink->ops->answer(executor->sink, &answer);
}

void
wv_executor_submit(struct wv_executor *executor, wv_msec now,
    const struct wv_request *request, const struct wv_contract *contract)
{
	const struct wv_back_end_terms *terms = NULL;
	struct wv_status status;
	struct customer *customer;
	enum wv_code code;

	wv_status_clear(&status);
	executor->counters.requests++;
	if (g_hash_table_contains(executor->queries, &request->id))
		code = wv_status_set(&status, WV_BAD_REQUEST,
		    "a request with this id is in progress");
	else
		code = check_request(
		    executor, now, request, contract, &terms, &status);
	if (code == WV_OK)
		code =
		    wv_limits_charge(executor->limits, now, request->customer,
			request->rank, &terms->ranks[request->rank], &status);
	if (terms == NULL && code != WV_BAD_REQUEST)
		clear_shares(executor, request->customer);
	if (code != WV_OK || terms == NULL) {
		send_refusal(executor, request, &status);
		return;
	}
	customer = find_customer(executor, request->customer);
	update_customer(executor, customer, contract, terms);
	begin_query(executor, request, customer, terms);
	wv_dispatch(executor, now);
}

/*
 * Removes a request from all tables and queues and gives its attempts up. The
 * caller still has to put the query on the free list.
 */
static void
remove_query(struct wv_executor *executor, wv_msec now, struct query *query)
{
	bool cancel = query->work == WV_WORK_SEARCH;

	g_hash_table_remove(executor->queries, &query->id);
	wv_timers_remove(&executor->timers, &query->timer);
	wv_limits_finish(executor->limits, query->customer->name, query->rank);
	for (size_t i = 0; i < query->n_shards; i++) {
		struct shard *shard = &query->shards[i];

		if (shard->waiter.queued)
			wv_admission_remove(
			    shard->service->admission, &shard->waiter);
		while (shard->n_running > 0)
			wv_attempt_give_up(executor, now,
			    shard->running[shard->n_running - 1], cancel);
	}
}

/* Puts a query on the free list. */
static void
recycle_query(struct wv_executor *executor, struct query *query)
{
	query->next = executor->unused_queries;
	executor->unused_queries = query;
}

static void
send_answer(
    struct wv_executor *executor, struct query *query, struct wv_answer *answer)
{
	answer->request = query->id;
	answer->started = query->attempts > 0;
	answer->attempts = query->attempts;
	answer->index_version = query->snapshot.version;
	answer->map = query->snapshot.map;
	executor->counters.answers++;
	if (answer->full)
		executor->counters.answers_full++;
	executor->sink->ops->answer(executor->sink, answer);
	recycle_query(executor, query);
}

void
wv_query_finish(struct wv_executor *executor, wv_msec now, struct query *query,
    bool expired)
{
	struct wv_answer answer = {0};

	wv_query_evaluate(query, expired, &answer.coverage, &answer.status);
	remove_query(executor, now, query);
	if (answer.status.code == WV_OK) {
		answer.full =
		    answer.coverage.shards == answer.coverage.shards_total;
		answer.hits = executor->best_hits;
		answer.n_hits = wv_query_best_hits(
		    query, executor->best_hits, executor->config.max_hits);
	}
	send_answer(executor, query, &answer);
}

void
wv_query_fail(struct wv_executor *executor, wv_msec now, struct query *query,
    enum wv_code code, const char *message)
{
	struct wv_answer answer = {0};

	wv_status_set(&answer.status, code, "%s", message);
	wv_query_coverage(query, &answer.coverage);
	remove_query(executor, now, query);
	send_answer(executor, query, &answer);
}

void
wv_query_finish_job(struct wv_executor *executor, wv_msec now,
    struct query *query, const struct wv_shard_reply *reply)
{
	struct wv_answer answer = {0};

	wv_status_clear(&answer.status);
	answer.full = true;
	answer.coverage.shards = 1;
	answer.coverage.shards_total = 1;
	answer.hits = reply->hits;
	answer.n_hits = reply->n_hits;
	remove_query(executor, now, query);
	send_answer(executor, query, &answer);
}

void
wv_query_expire(struct wv_executor *executor, wv_msec now, struct query *query)
{
	if (query->work == WV_WORK_SEARCH)
		wv_query_finish(executor, now, query, true);
	else if (query->attempts == 0)
		wv_query_fail(executor, now, query, WV_EXPIRED_IN_QUEUE,
		    "the deadline passed before a slot became free");
	else
		wv_query_fail(executor, now, query, WV_JOB_UNKNOWN,
		    "the deadline passed before the searcher answered");
}

void
wv_query_drop(struct wv_executor *executor, wv_msec now, struct query *query)
{
	executor->counters.abandoned++;
	remove_query(executor, now, query);
	recycle_query(executor, query);
}
