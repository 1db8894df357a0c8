/**
 * @file
 * Jobs of a VM: the calls of its job store to the simulated object store, and
 * the submission of claimed jobs to the executor.
 */
#include "bench/driver/vm.h"

/*
 * A call to the object store, or a step that is scheduled as an event because
 * the job store or the executor must not be called from its own callback.
 */
struct job_call {
	struct sim_vm *vm;
	uint32_t bucket;
	uint64_t request;
	enum wv_code code;
	enum wv_store_outcome outcome;
	char *value; /* owned */
	uint64_t version;
	bool write;
};

static struct job_call *
create_call(struct sim_vm *vm, uint32_t bucket)
{
	struct job_call *call = g_new0(struct job_call, 1);

	call->vm = vm;
	call->bucket = bucket;
	return call;
}

static void
destroy_call(struct job_call *call)
{
	g_free(call->value);
	g_free(call);
}

/*
 * Passes the answer of the object store to the job store, unless the process
 * has ended. An isolated process does not receive the answer.
 */
static void
deliver_store_answer(void *data)
{
	struct job_call *call = data;
	struct sim_vm *vm = call->vm;
	wv_msec now = vm->cluster->sim->now;
	struct wv_string value = {"", 0};

	if (vm->running &&
	    sim_vm_defer_if_paused(vm, deliver_store_answer, call))
		return;
	if (vm->running && vm->isolated)
		call->outcome = WV_STORE_NO_ANSWER;
	if (call->value != NULL && call->outcome == WV_STORE_OK)
		value = wv_string_borrow(call->value);
	if (vm->running && call->write)
		wv_job_store_write_done(
		    vm->jobs, now, call->bucket, call->outcome, call->version);
	else if (vm->running)
		wv_job_store_read_done(vm->jobs, now, call->bucket,
		    call->outcome, value, call->version);
	if (vm->running)
		sim_vm_schedule_job_tick(vm);
	destroy_call(call);
}

static void
receive_store_answer(void *data, enum wv_store_outcome outcome,
    const char *value, uint64_t version)
{
	struct job_call *call = data;

	call->outcome = outcome;
	call->value = g_strdup(value);
	call->version = version;
	deliver_store_answer(call);
}

static char *
bucket_key(const struct sim_vm *vm, uint32_t bucket)
{
	return g_strdup_printf("jobs/%s/%u",
	    vm->cluster->back_end->topology->back_end.data, bucket);
}

static void
schedule_refusal(struct job_call *call)
{
	struct sim *sim = call->vm->cluster->sim;

	call->outcome = WV_STORE_REFUSED;
	sim_schedule(sim, sim->now + 1, deliver_store_answer, call);
}

static void
read_bucket(struct wv_job_sink *sink, uint32_t bucket)
{
	struct sim_vm *vm = (struct sim_vm *)(void *)((char *)sink -
	    offsetof(struct sim_vm, job_sink));
	struct job_call *call = create_call(vm, bucket);
	char *key = bucket_key(vm, bucket);

	if (vm->isolated)
		schedule_refusal(call);
	else
		sim_store_read(
		    &vm->cluster->store, key, receive_store_answer, call);
	g_free(key);
}

static void
write_bucket(struct wv_job_sink *sink, uint32_t bucket, struct wv_string value,
    uint64_t if_version)
{
	struct sim_vm *vm = (struct sim_vm *)(void *)((char *)sink -
	    offsetof(struct sim_vm, job_sink));
	struct job_call *call = create_call(vm, bucket);
	char *key = bucket_key(vm, bucket);

	call->write = true;
	if (vm->isolated)
		schedule_refusal(call);
	else
		sim_store_write(&vm->cluster->store, key, value, if_version,
		    receive_store_answer, call);
	g_free(key);
}

static void
submit_claimed_job(void *data)
{
	struct job_call *call = data;
	struct sim_vm *vm = call->vm;
	struct sim_record *record =
	    vm->cluster->records->pdata[call->request - 1];

	if (vm->running && sim_vm_defer_if_paused(vm, submit_claimed_job, call))
		return;
	if (vm->running)
		sim_lane_submit(&vm->lane, &record->request,
		    wv_contract_table_latest(
			vm->contracts, record->request.customer));
	destroy_call(call);
}

static void
handle_claimed(struct wv_job_sink *sink, uint64_t request)
{
	struct sim_vm *vm = (struct sim_vm *)(void *)((char *)sink -
	    offsetof(struct sim_vm, job_sink));
	struct job_call *call = create_call(vm, 0);

	call->request = request;
	sim_schedule(
	    vm->cluster->sim, vm->cluster->sim->now, submit_claimed_job, call);
}

static void
handle_result(struct wv_job_sink *sink, const struct wv_job_result *result)
{
	struct sim_vm *vm = (struct sim_vm *)(void *)((char *)sink -
	    offsetof(struct sim_vm, job_sink));
	struct sim_record *record =
	    vm->cluster->records->pdata[result->request_id - 1];

	record->state = result->state;
	record->has_state = true;
	sim_record_finish(record, result->status.code, result->status.message);
}

static const struct wv_job_ops job_ops = {
    read_bucket, write_bucket, handle_claimed, handle_result};

static void
run_job_tick(void *data)
{
	struct sim_vm *vm = data;
	wv_msec now = vm->cluster->sim->now;

	if (!vm->running || now < vm->next_job_tick ||
	    sim_vm_defer_if_paused(vm, run_job_tick, vm))
		return;
	vm->next_job_tick = WV_MSEC_NEVER;
	wv_job_store_tick(vm->jobs, now);
	sim_vm_schedule_job_tick(vm);
}

void
sim_vm_schedule_job_tick(struct sim_vm *vm)
{
	wv_msec next = wv_job_store_next_tick(vm->jobs);

	if (next >= vm->next_job_tick || next >= WV_MSEC_NEVER)
		return;
	vm->next_job_tick = MAX(next, vm->cluster->sim->now);
	sim_schedule(vm->cluster->sim, vm->next_job_tick, run_job_tick, vm);
}

void
sim_vm_create_job_store(struct sim_vm *vm)
{
	struct wv_vm_id id = {wv_string_borrow(vm->name), vm->incarnation};

	vm->job_sink.ops = &job_ops;
	vm->jobs = wv_job_store_create(id, SIM_JOB_BUCKETS, &vm->job_sink);
}

void
sim_vm_submit_job(struct sim_vm *vm, struct sim_record *record)
{
	wv_msec now = vm->cluster->sim->now;
	const struct wv_contract *contract =
	    wv_contract_table_latest(vm->contracts, record->request.customer);
	struct wv_job_request request = {.request_id = record->request.id};
	struct wv_status status;

	if (wv_executor_check(vm->lane.executor, now, &record->request,
		contract, &status) != WV_OK) {
		sim_record_finish(record, status.code, status.message);
		return;
	}
	request.customer = record->request.customer;
	request.key = record->request.key;
	request.payload = record->request.text;
	request.retention = contract->job_retention;
	request.deadline = record->request.deadline;
	wv_job_store_submit(
	    vm->jobs, now, SIM_START_UNIX_TIME_MS + now, &request);
	sim_vm_schedule_job_tick(vm);
}

static void
record_outcome(void *data)
{
	struct job_call *call = data;
	struct sim_vm *vm = call->vm;

	if (vm->running && sim_vm_defer_if_paused(vm, record_outcome, call))
		return;
	if (vm->running) {
		wv_job_store_record_outcome(vm->jobs, vm->cluster->sim->now,
		    call->request, call->code, wv_string_borrow("done"));
		sim_vm_schedule_job_tick(vm);
	}
	destroy_call(call);
}

void
sim_vm_handle_job_answer(struct sim_vm *vm, const struct wv_answer *answer)
{
	struct job_call *call = create_call(vm, 0);

	call->request = answer->request;
	call->code = answer->status.code;
	sim_schedule(
	    vm->cluster->sim, vm->cluster->sim->now, record_outcome, call);
}
