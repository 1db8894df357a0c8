/**
 * @file
 * Worker thread: lanes, their executors and the worker's task queue.
 */
#include <urcu.h>

#include "daemon/links.h"
#include "daemon/worker_private.h"
#include "http/json.h"

/** Maximum wait of the worker's event loop, ms. */
#define MAX_WAIT_MS 100.0
/** Interval of health checks of the searchers of a held lane, ms. */
#define HEALTH_INTERVAL_MS 1000.0
/** Interval of scans for jobs whose callers' deadline has passed, ms. */
#define EXPIRY_INTERVAL_MS 20.0
/** Number of low bits of an identifier that count within a worker. */
#define WORKER_INDEX_SHIFT 48

static void
wake_up(void *owner)
{
	wv_http_client_wakeup(((struct worker *)owner)->client);
}

struct worker *
worker_create(struct daemon *daemon, uint32_t index)
{
	struct worker *worker = g_new0(struct worker, 1);

	worker->daemon = daemon;
	worker->index = index;
	worker->client = wv_http_client_create();
	worker->next_request = (uint64_t)index << WORKER_INDEX_SHIFT;
	worker->next_attempt = (uint64_t)index << WORKER_INDEX_SHIFT;
	worker->lanes = g_hash_table_new(g_str_hash, g_str_equal);
	worker->jobs_by_back_end = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, back_end_jobs_destroy);
	worker->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	mailbox_init(&worker->mailbox, wake_up, worker);
	return worker;
}

struct lane *
worker_find_lane(struct worker *worker, struct wv_string name)
{
	return g_hash_table_lookup(worker->lanes, name.data);
}

struct request *
worker_remove_request(struct worker *worker, uint64_t id)
{
	struct request *request = g_hash_table_lookup(worker->requests, &id);

	if (request != NULL)
		g_hash_table_remove(worker->requests, &id);
	return request;
}

void
worker_fill_request(const struct request *request, struct wv_request *out)
{
	out->id = request->id;
	out->work = request->kind == REQUEST_JOB ? WV_WORK_JOB : WV_WORK_SEARCH;
	out->customer = request->customer;
	out->rank = request->rank;
	out->text = request->text;
	out->key = request->key;
	out->deadline = request->deadline;
	out->coverage_minimum = request->coverage_minimum;
}

/* Reports an attempt as not sent. */
struct withheld_task {
	struct mailbox_task task;
	struct lane *lane;
	struct wv_attempt_id attempt;
};

static void
on_withheld(void *owner, struct mailbox_task *task)
{
	struct withheld_task *self = (struct withheld_task *)task;
	struct worker *worker = owner;
	struct wv_shard_reply reply = {0};

	reply.attempt = self->attempt;
	reply.outcome = WV_REPLY_NOT_SENT;
	wv_executor_reply(
	    self->lane->executor, daemon_now(worker->daemon), &reply);
	g_free(self);
}

/*
 * Reports an attempt as not sent. Posts a task, since the executor must not be
 * called from within its own send callback.
 */
static void
withhold(struct lane *lane, struct wv_attempt_id attempt)
{
	struct withheld_task *task = g_new0(struct withheld_task, 1);

	task->lane = lane;
	task->attempt = attempt;
	wv_counter_add(&lane->worker->daemon->stats.jobs_send_withheld, 1);
	mailbox_post(&lane->worker->mailbox, &task->task, on_withheld);
}

static void
lane_send(struct wv_executor_sink *sink, const struct wv_shard_request *request)
{
	struct lane *lane = (struct lane *)sink;
	struct worker *worker = lane->worker;

	if (request->work == WV_WORK_SEARCH)
		upstream_send(&lane->upstream, request, 0);
	else if (worker_permit_job_send(worker, lane, request->request))
		upstream_send(&lane->upstream, request,
		    worker_job_expiry(worker, lane, request->request));
	else
		withhold(lane, request->attempt);
}

static void
lane_cancel(struct wv_executor_sink *sink, size_t searcher,
    struct wv_attempt_id attempt)
{
	struct lane *lane = (struct lane *)sink;

	if (searcher < lane->topology->n_searchers)
		upstream_cancel(&lane->upstream,
		    lane->topology->searchers[searcher].address, attempt);
}

static void
lane_answer(struct wv_executor_sink *sink, const struct wv_answer *answer)
{
	struct lane *lane = (struct lane *)sink;
	struct request_outcome outcome = {0};
	struct request *request;

	request = g_hash_table_lookup(lane->worker->requests, &answer->request);
	if (request == NULL || request->kind == REQUEST_JOB) {
		worker_finish_job(lane->worker, lane, answer);
		return;
	}
	worker_remove_request(lane->worker, answer->request);
	outcome.answer = *answer;
	request_answer(request, &outcome);
}

static const struct wv_executor_ops lane_ops = {
    lane_send, lane_cancel, lane_answer};

static void
start_search(struct worker *worker, struct lane *lane, struct request *request)
{
	const struct wv_contract *contract;
	struct wv_request out;

	worker_fill_request(request, &out);
	rcu_read_lock();
	contract = wv_contract_table_find(
	    worker->daemon->contracts, request->customer);
	if (contract == NULL) {
		worker_remove_request(worker, request->id);
		request_fail(request, WV_UNKNOWN_CUSTOMER,
		    "the customer has no contract");
	} else {
		wv_executor_submit(
		    lane->executor, daemon_now(worker->daemon), &out, contract);
	}
	rcu_read_unlock();
}

/*
 * Handles a request whose lane this VM does not hold any more. A forwarded one
 * is refused, and the VM that forwarded it looks for the holder again; one of
 * this VM's own callers is parked and routed again.
 */
static void
reroute(struct worker *worker, struct request *request)
{
	if (request->hops > 0)
		request_fail(request, WV_HOLDER_UNREACHABLE,
		    "this VM no longer holds the lane");
	else
		links_park(worker->daemon->links, request);
}

/* Starts a request that worker_submit() passed on. */
static void
on_submit(void *owner, struct mailbox_task *task)
{
	struct worker *worker = owner;
	struct request *request = (struct request *)task;
	struct wv_string name;
	struct lane *lane;

	request->id = ++worker->next_request;
	if (request->kind != REQUEST_SEARCH && request->kind != REQUEST_JOB) {
		worker_serve_job_call(worker, request);
		return;
	}
	name = daemon_lane_name(request->back_end, request->lane);
	lane = worker_find_lane(worker, name);
	wv_string_clear(&name);
	if (lane == NULL) {
		request_fail(request, WV_UNKNOWN_BACK_END,
		    "the back end is not known to this VM");
		return;
	}
	/* The lease may have expired while the request was queued. */
	if (lane->lease_until < daemon_now(worker->daemon)) {
		reroute(worker, request);
		return;
	}
	g_hash_table_insert(worker->requests, &request->id, request);
	if (request->kind == REQUEST_JOB)
		worker_start_job(worker, lane, request);
	else
		start_search(worker, lane, request);
}

void
worker_submit(struct worker *worker, struct request *request)
{
	mailbox_post(&worker->mailbox, &request->task, on_submit);
}

static struct lane *
lane_create(struct worker *worker, struct wv_string name, uint32_t number,
    struct wv_topology *topology)
{
	struct daemon *daemon = worker->daemon;
	struct lane *lane = g_new0(struct lane, 1);
	struct wv_executor_config config;

	lane->sink.ops = &lane_ops;
	lane->worker = worker;
	lane->name = wv_string_copy(name);
	lane->number = number;
	lane->topology = topology;
	lane->handed_over =
	    g_array_new(FALSE, TRUE, sizeof(struct wv_attempt_id));
	wv_executor_config_init(&config);
	config.vm = wv_string_hash(daemon->self.name);
	config.incarnation = daemon->self.incarnation;
	config.next_attempt = &worker->next_attempt;
	config.lane = number;
	config.seed = (uint32_t)(config.incarnation ^ number);
	config.slot_margin = UPSTREAM_SLOT_MARGIN_MS;
	lane->executor = wv_executor_create(&config, topology, &lane->sink);
	lane->upstream.daemon = daemon;
	lane->upstream.client = worker->client;
	lane->upstream.executor = lane->executor;
	lane->upstream.back_end = topology->back_end;
	g_hash_table_insert(worker->lanes, lane->name.data, lane);
	return lane;
}

static void
lane_destroy(struct lane *lane)
{
	wv_executor_destroy(lane->executor);
	wv_topology_destroy(lane->topology);
	wv_string_clear(&lane->name);
	wv_string_clear(&lane->next_holder);
	g_array_unref(lane->handed_over);
	g_free(lane);
}

/* Requests the health of all searchers of a held lane when it is due. */
static void
check_health(struct lane *lane, wv_msec now)
{
	if (lane->lease_until < now || lane->next_health_check > now)
		return;
	lane->next_health_check = now + HEALTH_INTERVAL_MS;
	for (size_t i = 0; i < lane->topology->n_searchers; i++)
		upstream_request_health(
		    &lane->upstream, &lane->topology->searchers[i]);
}

/*
 * Answers job calls whose deadline has passed with an unknown outcome. The jobs
 * themselves go on.
 */
static void
expire_job_calls(struct worker *worker, wv_msec now)
{
	struct request *request;
	GHashTableIter iter;
	void *value;

	if (worker->next_expiry_scan > now)
		return;
	worker->next_expiry_scan = now + EXPIRY_INTERVAL_MS;
	g_hash_table_iter_init(&iter, worker->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		request = value;
		if (request->kind == REQUEST_SEARCH ||
		    request->deadline + EXPIRY_INTERVAL_MS > now)
			continue;
		g_hash_table_iter_remove(&iter);
		request_fail(request, WV_JOB_UNKNOWN,
		    "no outcome within the deadline; ask again by key");
	}
}

/* Runs all timers that are due; returns when the next one is due. */
static wv_msec
run_timers(struct worker *worker)
{
	wv_msec now = daemon_now(worker->daemon);
	wv_msec next = now + MAX_WAIT_MS;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lane *lane = value;

		if (wv_executor_next_tick(lane->executor) <= now)
			wv_executor_tick(lane->executor, now);
		next = MIN(next, wv_executor_next_tick(lane->executor));
		check_health(lane, now);
		lane_report_released(lane);
		if (lane->handed_over->len > 0)
			next = MIN(next, now + EXPIRY_INTERVAL_MS);
	}
	g_hash_table_iter_init(&iter, worker->jobs_by_back_end);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct back_end_jobs *jobs = value;

		if (wv_job_store_next_tick(jobs->store) <= now)
			wv_job_store_tick(jobs->store, now);
		next = MIN(next, wv_job_store_next_tick(jobs->store));
	}
	expire_job_calls(worker, now);
	return next;
}

static void *
worker_run(void *data)
{
	struct worker *worker = data;
	wv_msec next;

	daemon_register_thread();
	while (!atomic_load(&worker->stop)) {
		mailbox_run_tasks(&worker->mailbox);
		next = run_timers(worker);
		wv_http_client_poll(
		    worker->client, next - daemon_now(worker->daemon));
	}
	return NULL;
}

void
worker_start(struct worker *worker)
{
	worker->thread = g_thread_new("worker", worker_run, worker);
}

void
worker_stop(struct worker *worker)
{
	atomic_store(&worker->stop, true);
	wv_http_client_wakeup(worker->client);
	g_thread_join(worker->thread);
}

void
worker_destroy(struct worker *worker)
{
	GHashTableIter iter;
	void *value;

	wv_http_client_destroy(worker->client);
	g_hash_table_iter_init(&iter, worker->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lane_destroy(value);
	g_hash_table_destroy(worker->lanes);
	g_hash_table_destroy(worker->jobs_by_back_end);
	g_hash_table_destroy(worker->requests);
	g_free(worker);
}

/* Arguments of worker_set_topology(). */
struct topology_task {
	struct mailbox_task task;
	struct wv_string lane;
	uint32_t number;
	struct wv_topology *topology;
};

static void
on_topology(void *owner, struct mailbox_task *task)
{
	struct topology_task *self = (struct topology_task *)task;
	struct worker *worker = owner;
	struct lane *lane = worker_find_lane(worker, self->lane);
	wv_msec now = daemon_now(worker->daemon);

	/* Jobs of a back end run in its lane 0 only. */
	if (self->number == 0)
		worker_add_jobs(worker, self->topology);
	if (lane == NULL) {
		lane_create(worker, self->lane, self->number, self->topology);
	} else {
		wv_executor_set_topology(lane->executor, now, self->topology);
		wv_topology_destroy(lane->topology);
		lane->topology = self->topology;
		lane->upstream.back_end = self->topology->back_end;
	}
	wv_string_clear(&self->lane);
	g_free(self);
}

void
worker_set_topology(struct worker *worker, struct wv_string lane,
    uint32_t number, struct wv_topology *topology)
{
	struct topology_task *task = g_new0(struct topology_task, 1);

	task->lane = wv_string_copy(lane);
	task->number = number;
	task->topology = topology;
	mailbox_post(&worker->mailbox, &task->task, on_topology);
}

/* Arguments of worker_set_lease(). */
struct lease_task {
	struct mailbox_task task;
	struct wv_string lane;
	wv_msec until;
	wv_msec quarantine;
};

static void
on_lease(void *owner, struct mailbox_task *task)
{
	struct lease_task *self = (struct lease_task *)task;
	struct worker *worker = owner;
	struct lane *lane = worker_find_lane(worker, self->lane);

	if (lane != NULL) {
		if (self->quarantine > 0)
			wv_executor_quarantine(
			    lane->executor, self->quarantine);
		lane->lease_until = self->until;
		wv_executor_set_lease(
		    lane->executor, daemon_now(worker->daemon), self->until);
	}
	wv_string_clear(&self->lane);
	g_free(self);
}

void
worker_set_lease(struct worker *worker, struct wv_string lane, wv_msec until,
    wv_msec quarantine)
{
	struct lease_task *task = g_new0(struct lease_task, 1);

	task->lane = wv_string_copy(lane);
	task->until = until;
	task->quarantine = quarantine;
	mailbox_post(&worker->mailbox, &task->task, on_lease);
}

/* Arguments of worker_mark_leaving(). */
struct leaving_task {
	struct mailbox_task task;
	struct wv_string back_end;
	struct wv_string searcher;
	uint64_t generation;
	enum wv_leaving_source source;
};

static void
on_leaving(void *owner, struct mailbox_task *task)
{
	struct leaving_task *self = (struct leaving_task *)task;
	struct worker *worker = owner;
	wv_msec now = daemon_now(worker->daemon);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->lanes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lane *lane = value;

		if (wv_string_equal(lane->topology->back_end, self->back_end))
			wv_executor_mark_leaving(lane->executor, now,
			    self->searcher, self->generation, self->source);
	}
	wv_string_clear(&self->back_end);
	wv_string_clear(&self->searcher);
	g_free(self);
}

void
worker_mark_leaving(struct worker *worker, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source)
{
	struct leaving_task *task = g_new0(struct leaving_task, 1);

	task->back_end = wv_string_copy(back_end);
	task->searcher = wv_string_copy(searcher);
	task->generation = generation;
	task->source = source;
	mailbox_post(&worker->mailbox, &task->task, on_leaving);
}

/* Arguments of worker_dump(). */
struct dump_task {
	struct mailbox_task task;
	void (*done)(void *data, JsonObject *object);
	void *data;
};

/* Parses JSON text, adds it as a member and frees the text. */
static void
set_json(JsonObject *object, const char *name, struct wv_string text)
{
	struct wv_status status = {WV_OK, ""};
	JsonNode *node = wv_json_parse(text, &status);

	if (node != NULL)
		json_object_set_member(object, name, node);
	wv_string_clear(&text);
}

static void
on_dump(void *owner, struct mailbox_task *task)
{
	struct dump_task *self = (struct dump_task *)task;
	struct worker *worker = owner;
	JsonObject *object = json_object_new();
	JsonObject *lanes_json = json_object_new();
	JsonObject *jobs_json = json_object_new();
	wv_msec now = daemon_now(worker->daemon);
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, worker->lanes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct lane *lane = value;

		set_json(
		    lanes_json, key, wv_executor_dump(lane->executor, now));
	}
	g_hash_table_iter_init(&iter, worker->jobs_by_back_end);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct back_end_jobs *jobs = value;

		set_json(jobs_json, key, wv_job_store_dump(jobs->store));
	}
	json_object_set_int_member(object, "index", worker->index);
	json_object_set_int_member(
	    object, "requests", g_hash_table_size(worker->requests));
	json_object_set_object_member(object, "lanes", lanes_json);
	json_object_set_object_member(object, "jobs", jobs_json);
	self->done(self->data, object);
	g_free(self);
}

void
worker_dump(struct worker *worker, void (*done)(void *data, JsonObject *object),
    void *data)
{
	struct dump_task *task = g_new0(struct dump_task, 1);

	task->done = done;
	task->data = data;
	mailbox_post(&worker->mailbox, &task->task, on_dump);
}
