/**
 * @file
 * The plain baseline, and other ways to divide slots among VMs.
 */
#include "bench/driver/baseline.h"

/* One request of a caller; released when nothing refers to it. */
struct query {
	struct wv_request request;
	uint32_t vm;
	uint32_t merged;
	uint32_t references;
	uint32_t attempts;
	bool answered;
};

struct path {
	GQueue *waiting; /* struct query */
	uint32_t in_flight;
	uint32_t share; /* slots that this VM may use */
	uint32_t incoming; /* slots on their way to this VM */
};

/* A slot on its way to another VM. */
struct transfer {
	struct sim_baseline *baseline;
	uint32_t vm; /* receives it */
	size_t searcher;
};

struct attempt {
	struct sim_baseline *baseline;
	struct query *query;
	size_t searcher;
	struct wv_attempt_id id;
};

struct sim_baseline {
	struct sim_client client; /* must stay first */
	struct sim *sim;
	struct sim_back_end *back_end;
	struct path *paths; /* one per VM and searcher */
	enum sim_split split;
	GHashTable *attempts; /* counter -> struct attempt */
	uint64_t next_attempt;
	sim_answer_callback answer;
	void *answer_data;
};

struct expiry {
	struct sim_baseline *baseline;
	struct query *query;
};

static void
release(struct query *query)
{
	if (--query->references == 0)
		g_free(query);
}

static void
answer_query(struct sim_baseline *baseline, struct query *query)
{
	uint32_t total = baseline->back_end->shape->services;
	struct wv_answer answer = {.request = query->request.id};
	double part = (double)query->merged / total;

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
	else if (part < query->request.coverage_minimum)
		answer.status.code = WV_COVERAGE_BELOW_MINIMUM;
	baseline->answer(baseline->answer_data, &answer);
}

static struct path *
find_path(struct sim_baseline *baseline, uint32_t vm, size_t searcher)
{
	return &baseline->paths[vm * baseline->back_end->topology->n_searchers +
	    searcher];
}

static void fill_path(
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
	release(query);
	find_path(baseline, vm, attempt->searcher)->in_flight--;
	fill_path(baseline, vm, attempt->searcher);
}

static void
take_reply(struct sim_client *client, const struct wv_shard_reply *reply)
{
	struct sim_baseline *baseline = (struct sim_baseline *)client;
	struct attempt *attempt = g_hash_table_lookup(
	    baseline->attempts, GSIZE_TO_POINTER(reply->attempt.counter));

	if (attempt != NULL)
		end_attempt(
		    baseline, attempt, reply->outcome == WV_REPLY_ANSWERED);
}

static void
time_out(void *data)
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
	    sim_delay(
		deployment, query->vm % deployment->zones, searcher->zone),
	    0);
	sim_at(baseline->sim, query->request.deadline, time_out, attempt);
}

static void
take_share(void *data)
{
	struct transfer *transfer = data;
	struct path *path =
	    find_path(transfer->baseline, transfer->vm, transfer->searcher);

	path->incoming--;
	path->share++;
	fill_path(transfer->baseline, transfer->vm, transfer->searcher);
	g_free(transfer);
}

static void
drop_expired(const struct sim_baseline *baseline, struct path *path)
{
	struct query *query;

	while ((query = g_queue_peek_head(path->waiting)) != NULL &&
	    query->request.deadline <= baseline->sim->now)
		release(g_queue_pop_head(path->waiting));
}

/*
 * Returns the VM whose first request without a slot waits longest, or
 * SIM_VMS. It is known without a message, which is in favour of this way.
 */
static uint32_t
find_needy(struct sim_baseline *baseline, size_t searcher)
{
	uint32_t needy = SIM_VMS;
	uint64_t oldest = UINT64_MAX;

	for (uint32_t vm = 0; vm < SIM_VMS; vm++) {
		struct path *path = find_path(baseline, vm, searcher);
		const struct query *query;

		drop_expired(baseline, path);
		query = g_queue_peek_nth(path->waiting, path->incoming);
		if (query != NULL && query->request.id < oldest) {
			oldest = query->request.id;
			needy = vm;
		}
	}
	return needy;
}

/* Moves slots that their VMs do not need to VMs that need them. */
static void
move_shares(struct sim_baseline *baseline, size_t searcher)
{
	const struct sim_deployment *deployment =
	    baseline->back_end->shape->deployment;

	for (uint32_t vm = 0; vm < SIM_VMS; vm++) {
		struct path *path = find_path(baseline, vm, searcher);
		uint32_t needy;

		while (path->share > path->in_flight &&
		    (needy = find_needy(baseline, searcher)) != SIM_VMS) {
			struct transfer *transfer = g_new(struct transfer, 1);
			wv_msec delay = sim_delay(deployment,
			    vm % deployment->zones, needy % deployment->zones);

			*transfer =
			    (struct transfer){baseline, needy, searcher};
			path->share--;
			find_path(baseline, needy, searcher)->incoming++;
			sim_at(baseline->sim, baseline->sim->now + delay,
			    take_share, transfer);
		}
	}
}

static void
fill_path(struct sim_baseline *baseline, uint32_t vm, size_t searcher)
{
	struct path *path = find_path(baseline, vm, searcher);
	struct query *query;

	while (path->in_flight < path->share &&
	    (query = g_queue_pop_head(path->waiting)) != NULL) {
		if (query->request.deadline <= baseline->sim->now) {
			release(query);
			continue;
		}
		path->in_flight++;
		send_attempt(baseline, query, searcher);
	}
	if (baseline->split == SIM_SPLIT_MOVING)
		move_shares(baseline, searcher);
}

static void
expire(void *data)
{
	struct expiry *expiry = data;

	answer_query(expiry->baseline, expiry->query);
	release(expiry->query);
	g_free(expiry);
}

/*
 * Chooses a random searcher of a service. A fixed split within the cap leaves
 * VMs without slots at some searchers; it chooses among those with a slot.
 */
static size_t
choose_searcher(struct sim_baseline *baseline, uint32_t vm,
    const struct wv_service_info *service)
{
	size_t first = service->first_searcher, usable = 0;
	gint32 chosen;

	for (size_t i = 0; i < service->n_searchers; i++)
		usable += find_path(baseline, vm, first + i)->share > 0;
	if (baseline->split != SIM_SPLIT_WITHIN_CAP || usable == 0)
		return first +
		    (size_t)g_rand_int_range(
			baseline->sim->rand, 0, (gint32)service->n_searchers);
	chosen = g_rand_int_range(baseline->sim->rand, 0, (gint32)usable);
	for (size_t i = 0;; i++) {
		if (find_path(baseline, vm, first + i)->share > 0 &&
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
	struct expiry *expiry = g_new(struct expiry, 1);

	query->request = *request;
	query->vm = vm;
	query->references = 1 + (uint32_t)topology->n_services;
	expiry->baseline = baseline;
	expiry->query = query;
	sim_at(baseline->sim, request->deadline, expire, expiry);
	for (size_t i = 0; i < topology->n_services; i++) {
		size_t searcher =
		    choose_searcher(baseline, vm, &topology->services[i]);

		g_queue_push_tail(
		    find_path(baseline, vm, searcher)->waiting, query);
		fill_path(baseline, vm, searcher);
	}
}

/*
 * Divides the slots. Within the cap, slot k of each service goes to VM k, so
 * that as many VMs as possible can use every service.
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
			for (uint32_t vm = 0; vm < SIM_VMS; vm++)
				find_path(baseline, vm, i)->share =
				    MAX(slots / SIM_VMS, 1);
			continue;
		}
		for (uint32_t slot = 0; slot < slots; slot++) {
			size_t k = slot * service->n_searchers + replica;

			find_path(baseline, k % SIM_VMS, i)->share++;
		}
	}
}

struct sim_baseline *
sim_baseline_create(struct sim_back_end *back_end, struct sim *sim,
    enum sim_split split, sim_answer_callback answer, void *answer_data)
{
	struct sim_baseline *baseline = g_new0(struct sim_baseline, 1);
	size_t n = SIM_VMS * back_end->topology->n_searchers;

	baseline->client.sim = sim;
	baseline->client.reply = take_reply;
	baseline->sim = sim;
	baseline->back_end = back_end;
	baseline->split = split;
	baseline->paths = g_new0(struct path, n);
	for (size_t i = 0; i < n; i++)
		baseline->paths[i].waiting = g_queue_new();
	divide_slots(baseline);
	baseline->attempts = g_hash_table_new(g_direct_hash, g_direct_equal);
	baseline->answer = answer;
	baseline->answer_data = answer_data;
	return baseline;
}

void
sim_baseline_destroy(struct sim_baseline *baseline)
{
	size_t n = SIM_VMS * baseline->back_end->topology->n_searchers;

	for (size_t i = 0; i < n; i++) {
		struct query *query;

		/* A path without a slot keeps requests that have expired. */
		while ((query = g_queue_pop_head(baseline->paths[i].waiting)) !=
		    NULL)
			release(query);
		g_queue_free(baseline->paths[i].waiting);
	}
	g_free(baseline->paths);
	g_hash_table_destroy(baseline->attempts);
	g_free(baseline);
}
