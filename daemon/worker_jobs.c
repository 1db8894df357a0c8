/**
 * @file
 * Jobs on a worker: connects the job stores, which keep the records of jobs, to
 * the object store and to the executors.
 */
#include <string.h>
#include <urcu.h>

#include "daemon/store_client.h"
#include "daemon/worker_private.h"

/** Buffer size for the object store's key of a bucket, bytes. */
#define BUCKET_KEY_SIZE 300

/* A read or write of a job bucket in the object store. */
struct bucket_call {
	struct back_end_jobs *jobs;
	uint32_t bucket;
};

static void
bucket_key(const struct back_end_jobs *jobs, uint32_t bucket,
    char key[BUCKET_KEY_SIZE])
{
	g_snprintf(key, BUCKET_KEY_SIZE, STORE_JOBS_PREFIX "%s/%u",
	    jobs->back_end.data, bucket);
}

static struct bucket_call *
bucket_call_create(struct back_end_jobs *jobs, uint32_t bucket)
{
	struct bucket_call *call = g_new0(struct bucket_call, 1);

	call->jobs = jobs;
	call->bucket = bucket;
	return call;
}

static void
on_read(void *data, enum wv_store_outcome outcome, struct wv_string value,
    uint64_t version)
{
	struct bucket_call *call = data;
	struct daemon *daemon = call->jobs->worker->daemon;

	wv_job_store_read_done(call->jobs->store, daemon_now(daemon),
	    call->bucket, outcome, value, version);
	g_free(call);
}

static void
jobs_read_bucket(struct wv_job_sink *sink, uint32_t bucket)
{
	struct back_end_jobs *jobs = (struct back_end_jobs *)sink;
	char key[BUCKET_KEY_SIZE];

	bucket_key(jobs, bucket, key);
	store_read(jobs->worker->daemon, jobs->worker->client, key, on_read,
	    bucket_call_create(jobs, bucket));
}

static void
on_written(void *data, enum wv_store_outcome outcome, struct wv_string value,
    uint64_t version)
{
	struct bucket_call *call = data;
	struct daemon *daemon = call->jobs->worker->daemon;

	(void)value;
	wv_job_store_write_done(call->jobs->store, daemon_now(daemon),
	    call->bucket, outcome, version);
	g_free(call);
}

static void
jobs_write_bucket(struct wv_job_sink *sink, uint32_t bucket,
    struct wv_string value, uint64_t if_version)
{
	struct back_end_jobs *jobs = (struct back_end_jobs *)sink;
	char key[BUCKET_KEY_SIZE];

	bucket_key(jobs, bucket, key);
	store_write(jobs->worker->daemon, jobs->worker->client, key, value,
	    if_version, on_written, bucket_call_create(jobs, bucket));
}

/* Returns whether this VM holds the lane that runs the back end's jobs. */
static bool
holds_jobs_lane(const struct back_end_jobs *jobs, wv_msec now)
{
	struct wv_string name = daemon_lane_name(jobs->back_end, 0);
	struct lane *lane = worker_find_lane(jobs->worker, name);

	wv_string_clear(&name);
	return lane != NULL && lane->lease_until > now;
}

/* Records a claimed job that will not be sent as not run. */
static void
record_not_run(struct back_end_jobs *jobs, uint64_t request, const char *reason)
{
	wv_job_store_record_outcome(jobs->store,
	    daemon_now(jobs->worker->daemon), request, WV_JOB_NOT_RUN,
	    wv_string_borrow(reason));
}

/* Submits a job to the executor once its claim is stored. */
static void
jobs_on_claimed(struct wv_job_sink *sink, uint64_t id)
{
	struct back_end_jobs *jobs = (struct back_end_jobs *)sink;
	struct worker *worker = jobs->worker;
	struct request *request = g_hash_table_lookup(worker->requests, &id);
	const struct wv_contract *contract;
	struct wv_string name;
	struct wv_request out;
	struct lane *lane;

	if (request == NULL) {
		record_not_run(jobs, id, "the caller's deadline has passed");
		return;
	}
	name = daemon_lane_name(request->back_end, request->lane);
	lane = worker_find_lane(worker, name);
	wv_string_clear(&name);
	rcu_read_lock();
	contract = wv_contract_table_find(
	    worker->daemon->contracts, request->customer);
	if (contract == NULL || lane == NULL) {
		record_not_run(jobs, id, "the contract was ended");
	} else {
		worker_fill_request(request, &out);
		wv_executor_submit(
		    lane->executor, daemon_now(worker->daemon), &out, contract);
	}
	rcu_read_unlock();
}

static void
jobs_on_answer(struct wv_job_sink *sink, const struct wv_job_result *result)
{
	struct back_end_jobs *jobs = (struct back_end_jobs *)sink;
	struct request_outcome outcome = {0};
	struct request *request =
	    worker_remove_request(jobs->worker, result->request_id);

	if (request == NULL)
		return;
	outcome.answer.request = result->request_id;
	outcome.answer.status = result->status;
	outcome.state = result->state;
	outcome.result = result->result;
	request_answer(request, &outcome);
}

static const struct wv_job_ops jobs_ops = {
    jobs_read_bucket, jobs_write_bucket, jobs_on_claimed, jobs_on_answer};

void
worker_add_jobs(struct worker *worker, const struct wv_topology *topology)
{
	struct back_end_jobs *jobs =
	    worker_find_jobs(worker, topology->back_end);

	if (jobs != NULL)
		return;
	jobs = g_new0(struct back_end_jobs, 1);
	jobs->sink.ops = &jobs_ops;
	jobs->worker = worker;
	jobs->back_end = wv_string_copy(topology->back_end);
	jobs->store = wv_job_store_create(
	    worker->daemon->self, topology->job_buckets, &jobs->sink);
	g_hash_table_insert(
	    worker->jobs_by_back_end, g_strdup(topology->back_end.data), jobs);
}

struct back_end_jobs *
worker_find_jobs(struct worker *worker, struct wv_string back_end)
{
	return g_hash_table_lookup(worker->jobs_by_back_end, back_end.data);
}

void
back_end_jobs_destroy(void *data)
{
	struct back_end_jobs *jobs = data;

	wv_job_store_destroy(jobs->store);
	wv_string_clear(&jobs->back_end);
	g_free(jobs);
}

bool
worker_permit_job_send(
    struct worker *worker, struct lane *lane, uint64_t request)
{
	struct back_end_jobs *jobs =
	    worker_find_jobs(worker, lane->topology->back_end);

	return wv_job_store_may_send(
	    jobs->store, daemon_now(worker->daemon), request);
}

wv_msec
worker_job_expiry(struct worker *worker, struct lane *lane, uint64_t request)
{
	struct back_end_jobs *jobs =
	    worker_find_jobs(worker, lane->topology->back_end);

	return wv_job_store_send_before(jobs->store, request);
}

void
worker_start_job(
    struct worker *worker, struct lane *lane, struct request *request)
{
	struct daemon *daemon = worker->daemon;
	const struct wv_contract *contract;
	struct wv_job_request job = {0};
	struct wv_status status = {WV_OK, ""};
	struct wv_request out;

	worker_fill_request(request, &out);
	rcu_read_lock();
	contract = wv_contract_table_find(daemon->contracts, request->customer);
	if (contract == NULL)
		wv_status_set(&status, WV_UNKNOWN_CUSTOMER,
		    "the customer has no contract");
	else
		wv_executor_check(lane->executor, daemon_now(daemon), &out,
		    contract, &status);
	if (contract != NULL)
		job.retention = contract->job_retention;
	rcu_read_unlock();
	if (status.code != WV_OK) {
		worker_remove_request(worker, request->id);
		request_fail(request, status.code, status.message);
		return;
	}
	job.request_id = request->id;
	job.customer = request->customer;
	job.key = request->key;
	job.payload = request->text;
	job.deadline = request->deadline;
	wv_job_store_submit(worker_find_jobs(worker, request->back_end)->store,
	    daemon_now(daemon), wv_clock_unix_time(&daemon->clock), &job);
}

void
worker_finish_job(
    struct worker *worker, struct lane *lane, const struct wv_answer *answer)
{
	struct back_end_jobs *jobs =
	    worker_find_jobs(worker, lane->topology->back_end);
	struct wv_string result = {"", 0};
	enum wv_code code = WV_JOB_UNKNOWN;

	if (answer->status.code == WV_OK) {
		code = WV_OK;
		if (answer->n_hits > 0)
			result = answer->hits[0].text;
	} else if (!answer->started ||
	    wv_code_proves_not_run(answer->status.code)) {
		code = WV_JOB_NOT_RUN;
		result = wv_string_borrow(answer->status.message);
	}
	wv_job_store_record_outcome(jobs->store, daemon_now(worker->daemon),
	    answer->request, code, result);
}

void
worker_serve_job_call(struct worker *worker, struct request *request)
{
	struct back_end_jobs *jobs =
	    worker_find_jobs(worker, request->back_end);
	wv_msec now = daemon_now(worker->daemon);

	if (jobs == NULL) {
		request_fail(request, WV_UNKNOWN_BACK_END,
		    "the back end is not known to this VM");
		return;
	}
	g_hash_table_insert(worker->requests, &request->id, request);
	if (request->kind == REQUEST_JOB_LOOKUP)
		wv_job_store_lookup(jobs->store, now, request->id,
		    request->customer, request->key);
	else
		wv_job_store_resolve(jobs->store, now, request->id,
		    request->customer, request->key, request->resolve_done);
}

/* Arguments of worker_sweep_jobs(). */
struct sweep_task {
	struct mailbox_task task;
	GArray *live; /* struct wv_vm_id, names owned */
};

static void
on_sweep(void *owner, struct mailbox_task *task)
{
	struct sweep_task *self = (struct sweep_task *)task;
	struct worker *worker = owner;
	struct daemon *daemon = worker->daemon;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->jobs_by_back_end);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct back_end_jobs *jobs = value;

		if (!holds_jobs_lane(jobs, daemon_now(daemon)))
			continue;
		wv_job_store_sweep(jobs->store, daemon_now(daemon),
		    wv_clock_unix_time(&daemon->clock),
		    (const struct wv_vm_id *)(void *)self->live->data,
		    self->live->len);
	}
	for (guint i = 0; i < self->live->len; i++)
		wv_string_clear(
		    &g_array_index(self->live, struct wv_vm_id, i).name);
	g_array_unref(self->live);
	g_free(self);
}

void
worker_sweep_jobs(
    struct worker *worker, const struct wv_vm_id *live, size_t n_live)
{
	struct sweep_task *task = g_new0(struct sweep_task, 1);
	struct wv_vm_id copy;

	task->live = g_array_new(FALSE, TRUE, sizeof(struct wv_vm_id));
	for (size_t i = 0; i < n_live; i++) {
		copy = live[i];
		copy.name = wv_string_copy(copy.name);
		g_array_append_val(task->live, copy);
	}
	mailbox_post(&worker->mailbox, &task->task, on_sweep);
}
