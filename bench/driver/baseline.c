/**
 * @file
 * The baseline router, and other ways to divide slots among VMs.
 */
#include "bench/driver/baseline.h"

/* One request of a caller; reference-counted. */
struct query {
	struct wv_request request;
	uint32_t vm;
	uint32_t merged; /* shards that have answered */
	uint32_t references;
	uint32_t attempts; /* shard requests sent */
	bool answered;
};

/* The requests of one VM for one searcher, and its slots there. */
struct searcher_queue {
	GQueue *waiting; /* struct query */
	uint32_t in_flight; /* shard requests sent and not ended */
	uint32_t slots; /* slots that this VM may use */
	uint32_t slots_in_transit; /* slots in transit to this VM */
};

/* A slot in transit to another VM. */
struct slot_transfer {
	struct sim_baseline *baseline;
	uint32_t vm; /* receives it */
	size_t searcher;
};

/* One shard request. */
struct attempt {
	struct sim_baseline *baseline;
	struct query *query;
	size_t searcher;
	struct wv_attempt_id id;
};

struct sim_baseline {
	struct sim_client client; /* must be the first field */
	struct sim *sim;
	struct sim_back_end *back_end;
	struct searcher_queue *queues; /* one per VM and searcher */
	enum sim_split split;
	GHashTable *attempts; /* counter -> struct attempt */
	uint64_t next_attempt;
	sim_answer_callback answer;
	void *on_answer_data;
};

/* The deadline event of a query. */
struct query_deadline {
	struct sim_baseline *baseline;
	struct query *query;
};

static void
unref_query(struct query *query)
{
	if (--query->references == 0)
		g_free(query);
}

static void
answer_query(struct sim_baseline *baseline, struct query *query)
{
	uint32_t total = baseline->back_end->shape->services;
	struct wv_answer answer = {.request = query->request.id};
	double ratio = (double)query->merged / total;

	if (query->answered)
		return;
	query->answered = true;
	answer.full = query->merged == total;
	answer.started = query->attempts > 0;
	answer.attempts = query->attempts;
	answer.coverage.shards = query->merged;
	answer.coverage.shards_total = total;
	if (query->merged == 0)
		answer.status.code = WV_DEADLINE_EXCEEDED;
	else if (ratio < query->request.coverage_minimum)
		answer.status.code = WV_COVERAGE_BELOW_MINIMUM;
	baseline->answer(baseline->on_answer_data, &answer);
}

static struct searcher_queue *
find_queue(struct sim_baseline *baseline, uint32_t vm, size_t searcher)
{
	return &baseline
		    ->queues[vm * baseline->back_end->topology->n_searchers +
			searcher];
}

static void send_waiting(
    struct sim_baseline *baseline, uint32_t vm, size_t searcher);

static void
end_attempt(struct sim_baseline *baseline, struct attempt *attempt, bool merged)
{
	struct query *query = attempt->query;
	uint32_t vm = query->vm;

	g_hash_table_remove(
	    baseline->attempts, GSIZE_TO_POINTER(attempt->id.counter));
	if (merged && !query->answered) {
		query->merged++;
		if (query->merged == baseline->back_end->shape->services)
			answer_query(baseline, query);
	}
	unref_query(query);
	find_queue(baseline, vm, attempt->searcher)->in_flight--;
	send_waiting(baseline, vm, attempt->searcher);
}

static void
receive_reply(struct sim_client *client, const struct wv_shard_reply *reply)
{
	struct sim_baseline *baseline = (struct sim_baseline *)client;
	struct attempt *attempt = g_hash_table_lookup(
	    baseline->attempts, GSIZE_TO_POINTER(reply->attempt.counter));

	if (attempt != NULL)
		end_attempt(
		    baseline, attempt, reply->outcome == WV_REPLY_ANSWERED);
}

static void
expire_attempt(void *data)
{
	struct attempt *attempt = data;
	struct sim_baseline *baseline = attempt->baseline;

	if (g_hash_table_contains(
		baseline->attempts, GSIZE_TO_POINTER(attempt->id.counter)))
		end_attempt(baseline, attempt, false);
	g_free(attempt);
}

static void
send_attempt(
    struct sim_baseline *baseline, struct query *query, size_t searcher_index)
{
	const struct sim_deployment *deployment =
	    baseline->back_end->shape->deployment;
	struct sim_searcher *searcher =
	    &baseline->back_end->searchers[searcher_index];
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct wv_shard_request request = {.index_version = 1, .map = 1};

	attempt->baseline = baseline;
	attempt->query = query;
	attempt->searcher = searcher_index;
	attempt->id.counter = ++baseline->next_attempt;
	g_hash_table_insert(
	    baseline->attempts, GSIZE_TO_POINTER(attempt->id.counter), attempt);
	query->attempts++;
	request.attempt = attempt->id;
	request.timeout = query->request.deadline - baseline->sim->now;
	sim_searcher_send(searcher, &baseline->client, &request,
	    sim_one_way_delay(
		deployment, query->vm % deployment->zones, searcher->zone),
	    0);
	sim_schedule(
	    baseline->sim, query->request.deadline, expire_attempt, attempt);
}

static void
receive_slot(void *data)
{
	struct slot_transfer *transfer = data;
	struct searcher_queue *queue =
	    find_queue(transfer->baseline, transfer->vm, transfer->searcher);

	queue->slots_in_transit--;
	queue->slots++;
	send_waiting(transfer->baseline, transfer->vm, transfer->searcher);
	g_free(transfer);
}

static void
drop_expired_queries(
    const struct sim_baseline *baseline, struct searcher_queue *queue)
{
	struct query *query;

	while ((query = g_queue_peek_head(queue->waiting)) != NULL &&
	    query->request.deadline <= baseline->sim->now)
		unref_query(g_queue_pop_head(queue->waiting));
}

/*
 * Returns the VM whose oldest request without a slot has waited longest, or
 * SIM_DEPLOYMENT_VMS if none waits. The state of other VMs is read without a
 * message, which a real system would need: this favours the moving split.
 */
static uint32_t
find_longest_waiting_vm(struct sim_baseline *baseline, size_t searcher)
{
	uint32_t receiver = SIM_DEPLOYMENT_VMS;
	uint64_t oldest = UINT64_MAX;

	for (uint32_t vm = 0; vm < SIM_DEPLOYMENT_VMS; vm++) {
		struct searcher_queue *queue =
		    find_queue(baseline, vm, searcher);
		const struct query *query;

		drop_expired_queries(baseline, queue);
		query =
		    g_queue_peek_nth(queue->waiting, queue->slots_in_transit);
		if (query != NULL && query->request.id < oldest) {
			oldest = query->request.id;
			receiver = vm;
		}
	}
	return receiver;
}

/* Transfers idle slots to the VMs that have waited longest for one. */
static void
transfer_idle_slots(struct sim_baseline *baseline, size_t searcher)
{
	const struct sim_deployment *deployment =
	    baseline->back_end->shape->deployment;

	for (uint32_t vm = 0; vm < SIM_DEPLOYMENT_VMS; vm++) {
		struct searcher_queue *queue =
		    find_queue(baseline, vm, searcher);
		uint32_t receiver;

		while (queue->slots > queue->in_flight &&
		    (receiver = find_longest_waiting_vm(baseline, searcher)) !=
			SIM_DEPLOYMENT_VMS) {
			struct slot_transfer *transfer =
			    g_new(struct slot_transfer, 1);
			wv_msec delay = sim_one_way_delay(deployment,
			    vm % deployment->zones,
			    receiver % deployment->zones);

			*transfer = (struct slot_transfer){
			    baseline, receiver, searcher};
			queue->slots--;
			find_queue(baseline, receiver, searcher)
			    ->slots_in_transit++;
			sim_schedule(baseline->sim, baseline->sim->now + delay,
			    receive_slot, transfer);
		}
	}
}

static void
send_waiting(struct sim_baseline *baseline, uint32_t vm, size_t searcher)
{
	struct searcher_queue *queue = find_queue(baseline, vm, searcher);
	struct query *query;

	while (queue->in_flight < queue->slots &&
	    (query = g_queue_pop_head(queue->waiting)) != NULL) {
		if (query->request.deadline <= baseline->sim->now) {
			unref_query(query);
			continue;
		}
		queue->in_flight++;
		send_attempt(baseline, query, searcher);
	}
	if (baseline->split == SIM_SPLIT_MOVING)
		transfer_idle_slots(baseline, searcher);
}

static void
expire_query(void *data)
{
	struct query_deadline *expiry = data;

	answer_query(expiry->baseline, expiry->query);
	unref_query(expiry->query);
	g_free(expiry);
}

/*
 * Chooses a random searcher of a service. SIM_SPLIT_WITHIN_CAP leaves a VM
 * without slots at some searchers, so it chooses among those with a slot, if
 * any.
 */
static size_t
choose_searcher(struct sim_baseline *baseline, uint32_t vm,
    const struct wv_service_info *service)
{
	size_t first = service->first_searcher, usable = 0;
	gint32 chosen;

	for (size_t i = 0; i < service->n_searchers; i++)
		usable += find_queue(baseline, vm, first + i)->slots > 0;
	if (baseline->split != SIM_SPLIT_WITHIN_CAP || usable == 0)
		return first +
		    (size_t)g_rand_int_range(
			baseline->sim->rand, 0, (gint32)service->n_searchers);
	chosen = g_rand_int_range(baseline->sim->rand, 0, (gint32)usable);
	for (size_t i = 0;; i++) {
		if (find_queue(baseline, vm, first + i)->slots > 0 &&
		    chosen-- == 0)
			return first + i;
	}
}

void
sim_baseline_submit(struct sim_baseline *baseline, uint32_t vm,
    const struct wv_request *request)
{
	const struct wv_topology *topology = baseline->back_end->topology;
	struct query *query = g_new0(struct query, 1);
	struct query_deadline *expiry = g_new(struct query_deadline, 1);

	query->request = *request;
	query->vm = vm;
	query->references = 1 + (uint32_t)topology->n_services;
	expiry->baseline = baseline;
	expiry->query = query;
	sim_schedule(baseline->sim, request->deadline, expire_query, expiry);
	for (size_t i = 0; i < topology->n_services; i++) {
		size_t searcher =
		    choose_searcher(baseline, vm, &topology->services[i]);

		g_queue_push_tail(
		    find_queue(baseline, vm, searcher)->waiting, query);
		send_waiting(baseline, vm, searcher);
	}
}

/*
 * Divides the slots among the VMs. Within the cap, slot k of each service is
 * given to VM k modulo SIM_DEPLOYMENT_VMS, so that as many VMs as possible can
 * use every service.
 */
static void
divide_slots(struct sim_baseline *baseline)
{
	const struct wv_topology *topology = baseline->back_end->topology;
	uint32_t slots = baseline->back_end->shape->slots;

	for (size_t i = 0; i < topology->n_searchers; i++) {
		const struct wv_service_info *service =
		    &topology->services[topology->searchers[i].service];
		size_t replica = i - service->first_searcher;

		if (baseline->split == SIM_SPLIT_ROUNDED_UP) {
			for (uint32_t vm = 0; vm < SIM_DEPLOYMENT_VMS; vm++)
				find_queue(baseline, vm, i)->slots =
				    MAX(slots / SIM_DEPLOYMENT_VMS, 1);
			continue;
		}
		for (uint32_t slot = 0; slot < slots; slot++) {
			size_t k = slot * service->n_searchers + replica;

			find_queue(baseline, k % SIM_DEPLOYMENT_VMS, i)
			    ->slots++;
		}
	}
}

struct sim_baseline *
sim_baseline_create(struct sim_back_end *back_end, struct sim *sim,
    enum sim_split split, sim_answer_callback answer, void *on_answer_data)
{
	struct sim_baseline *baseline = g_new0(struct sim_baseline, 1);
	size_t n = SIM_DEPLOYMENT_VMS * back_end->topology->n_searchers;

	baseline->client.sim = sim;
	baseline->client.reply = receive_reply;
	baseline->sim = sim;
	baseline->back_end = back_end;
	baseline->split = split;
	baseline->queues = g_new0(struct searcher_queue, n);
	for (size_t i = 0; i < n; i++)
		baseline->queues[i].waiting = g_queue_new();
	divide_slots(baseline);
	baseline->attempts = g_hash_table_new(g_direct_hash, g_direct_equal);
	baseline->answer = answer;
	baseline->on_answer_data = on_answer_data;
	return baseline;
}

void
sim_baseline_destroy(struct sim_baseline *baseline)
{
	size_t n =
	    SIM_DEPLOYMENT_VMS * baseline->back_end->topology->n_searchers;

	for (size_t i = 0; i < n; i++) {
		struct query *query;

		/* Expired requests without a slot are still queued. */
		while ((query = g_queue_pop_head(
			    baseline->queues[i].waiting)) != NULL)
			unref_query(query);
		g_queue_free(baseline->queues[i].waiting);
	}
	g_free(baseline->queues);
	g_hash_table_destroy(baseline->attempts);
	g_free(baseline);
}
