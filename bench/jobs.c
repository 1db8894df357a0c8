/**
 * @file
 * Measures what jobs cost at the store: calls, bytes and time per job, and
 * the rate of jobs that a rate of writes allows. Runs in virtual time with a
 * fixed seed.
 *
 *   wisteriavane-jobs [WRITES_PER_SECOND]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/driver/sim.h"

/* Limits of a workload. */
#define MAX_VMS 9
#define MAX_BUCKETS 64
/* Unix time at the start of a run, ms. */
#define UNIX_START 1700000000000.0
/* One-way delay between a VM and the store, ms. */
#define STORE_DELAY 2.0
/* Mean run time of a job at its searcher, ms. */
#define MEAN_JOB_TIME 100.0
/* Deadline of a job from its submission, ms. */
#define JOB_DEADLINE 5000.0
/* Job retention of the contract, ms; the minimum that a contract may have. */
#define RETENTION 60000.0

/* Parameters of one run. */
struct workload {
	double jobs_per_second;
	double writes_per_second; /* limit of the store for all VMs */
	unsigned buckets;
	unsigned vms;
	wv_msec duration; /* of the arrivals */
};

/* A job bucket in the store. */
struct bucket_object {
	uint64_t version;
	struct wv_string value; /* owned */
};

struct job_bench;

/* One VM; sink must be the first member, since callbacks cast it to the VM. */
struct vm {
	struct wv_job_sink sink;
	struct job_bench *bench;
	struct wv_job_store *jobs;
	wv_msec next_tick;
};

/* A job from its submission to its end. */
struct job {
	struct vm *vm;
	uint64_t request;
	wv_msec submitted;
};

/* The whole run. */
struct job_bench {
	struct sim sim;
	const struct workload *workload;
	struct vm vms[MAX_VMS];
	struct bucket_object objects[MAX_BUCKETS];
	wv_msec next_write_at; /* earliest time of the next write */
	GHashTable *jobs; /* request to struct job, until claimed */
	GArray *claim_times; /* of wv_msec, from submission to claim */
	uint64_t submitted, done, refused, reads, writes, conflicts, bytes;
	uint64_t largest_write; /* bytes */
};

/* A call to the store in progress. */
struct call {
	struct vm *vm;
	uint32_t bucket;
	struct wv_string value; /* owned; to be written, or read */
	uint64_t version;
	enum wv_store_outcome outcome;
};

static void schedule_tick(struct vm *vm);

static void
deliver_read(void *data)
{
	struct call *call = data;
	struct vm *vm = call->vm;

	wv_job_store_read_done(vm->jobs, vm->bench->sim.now, call->bucket,
	    call->outcome, call->value, call->version);
	wv_string_clear(&call->value);
	g_free(call);
	schedule_tick(vm);
}

static void
execute_read(void *data)
{
	struct call *call = data;
	struct job_bench *bench = call->vm->bench;
	const struct bucket_object *object = &bench->objects[call->bucket];

	call->outcome = object->version == 0 ? WV_STORE_NOT_FOUND : WV_STORE_OK;
	call->version = object->version;
	call->value = wv_string_copy(object->value);
	sim_schedule(
	    &bench->sim, bench->sim.now + STORE_DELAY, deliver_read, call);
}

static void
deliver_write(void *data)
{
	struct call *call = data;
	struct vm *vm = call->vm;

	wv_job_store_write_done(vm->jobs, vm->bench->sim.now, call->bucket,
	    call->outcome, call->version);
	wv_string_clear(&call->value);
	g_free(call);
	schedule_tick(vm);
}

static void
execute_write(void *data)
{
	struct call *call = data;
	struct job_bench *bench = call->vm->bench;
	struct bucket_object *object = &bench->objects[call->bucket];

	call->outcome = WV_STORE_CONFLICT;
	if (object->version == call->version) {
		wv_string_clear(&object->value);
		object->value = wv_string_copy(call->value);
		object->version++;
		call->outcome = WV_STORE_OK;
	} else {
		bench->conflicts++;
	}
	call->version = object->version;
	sim_schedule(
	    &bench->sim, bench->sim.now + STORE_DELAY, deliver_write, call);
}

static struct call *
create_call(struct wv_job_sink *sink, uint32_t bucket)
{
	struct call *call = g_new0(struct call, 1);

	call->vm = (struct vm *)sink;
	call->bucket = bucket;
	return call;
}

static void
on_read(struct wv_job_sink *sink, uint32_t bucket)
{
	struct call *call = create_call(sink, bucket);
	struct job_bench *bench = call->vm->bench;

	bench->reads++;
	sim_schedule(
	    &bench->sim, bench->sim.now + STORE_DELAY, execute_read, call);
}

static void
on_write(struct wv_job_sink *sink, uint32_t bucket, struct wv_string value,
    uint64_t if_version)
{
	struct call *call = create_call(sink, bucket);
	struct job_bench *bench = call->vm->bench;
	wv_msec served_at = bench->sim.now + STORE_DELAY;

	call->value = wv_string_copy(value);
	call->version = if_version;
	bench->writes++;
	bench->bytes += value.length;
	bench->largest_write = MAX(bench->largest_write, value.length);
	/* The store serves one write at a time, at its rate. */
	served_at = MAX(served_at, bench->next_write_at);
	bench->next_write_at =
	    served_at + 1000 / bench->workload->writes_per_second;
	sim_schedule(&bench->sim, served_at, execute_write, call);
}

static void
complete_job(void *data)
{
	struct job *job = data;
	struct vm *vm = job->vm;

	wv_job_store_record_outcome(vm->jobs, vm->bench->sim.now, job->request,
	    WV_OK, wv_string_borrow("printed 120 maps"));
	g_free(job);
	schedule_tick(vm);
}

static void
on_claimed(struct wv_job_sink *sink, uint64_t request)
{
	struct vm *vm = (struct vm *)sink;
	struct job_bench *bench = vm->bench;
	struct job *job = g_hash_table_lookup(bench->jobs, &request);
	wv_msec claim_time = bench->sim.now - job->submitted;

	g_hash_table_remove(bench->jobs, &request);
	if (!wv_job_store_may_send(vm->jobs, bench->sim.now, request)) {
		g_free(job);
		return;
	}
	g_array_append_val(bench->claim_times, claim_time);
	sim_schedule(&bench->sim,
	    bench->sim.now + sim_draw_exponential(&bench->sim, MEAN_JOB_TIME),
	    complete_job, job);
}

static void
on_answer(struct wv_job_sink *sink, const struct wv_job_result *result)
{
	struct job_bench *bench = ((struct vm *)sink)->bench;

	if (result->status.code == WV_OK)
		bench->done++;
	else
		bench->refused++;
}

static const struct wv_job_ops ops = {on_read, on_write, on_claimed, on_answer};

static void
tick(void *data)
{
	struct vm *vm = data;
	wv_msec now = vm->bench->sim.now;

	/* An earlier tick may have done the work of this one. */
	if (now < vm->next_tick)
		return;
	vm->next_tick = WV_MSEC_NEVER;
	wv_job_store_tick(vm->jobs, now);
	schedule_tick(vm);
}

static void
schedule_tick(struct vm *vm)
{
	struct sim *sim = &vm->bench->sim;
	wv_msec next = MAX(wv_job_store_next_tick(vm->jobs), sim->now + 0.01);

	if (next >= vm->next_tick || next > 1e15)
		return;
	vm->next_tick = next;
	sim_schedule(sim, next, tick, vm);
}

/* Submits a job at the VMs in turn and schedules the next one. */
static void
submit_next_job(void *data)
{
	struct job_bench *bench = data;
	const struct workload *workload = bench->workload;
	wv_msec now = bench->sim.now;
	struct job *job = g_new0(struct job, 1);
	struct wv_job_request request = {.retention = RETENTION};
	char key[64];

	job->request = ++bench->submitted;
	job->vm = &bench->vms[job->request % workload->vms];
	job->submitted = now;
	g_hash_table_insert(bench->jobs, &job->request, job);
	g_snprintf(key, sizeof(key), "%.0f-order-%" G_GUINT64_FORMAT,
	    (UNIX_START + now) / 1000, job->request);
	request.request_id = job->request;
	request.customer = wv_string_borrow("kestane");
	request.key = wv_string_borrow(key);
	request.payload = request.key;
	request.deadline = now + JOB_DEADLINE;
	wv_job_store_submit(job->vm->jobs, now, UNIX_START + now, &request);
	schedule_tick(job->vm);
	now +=
	    sim_draw_exponential(&bench->sim, 1000 / workload->jobs_per_second);
	if (now < workload->duration)
		sim_schedule(&bench->sim, now, submit_next_job, bench);
}

static int
compare_times(const void *a, const void *b)
{
	wv_msec x = *(const wv_msec *)a, y = *(const wv_msec *)b;

	return x < y ? -1 : x > y;
}

/* Returns a quantile of sorted times, 0 if there are none. */
static wv_msec
quantile(const GArray *times, double fraction)
{
	if (times->len == 0)
		return 0;
	return g_array_index(
	    times, wv_msec, (guint)(fraction * (times->len - 1)));
}

static void
init_bench(struct job_bench *bench, const struct workload *workload)
{
	char name[16];

	memset(bench, 0, sizeof(*bench));
	bench->workload = workload;
	sim_init(&bench->sim, 1);
	bench->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	bench->claim_times = g_array_new(FALSE, FALSE, sizeof(wv_msec));
	for (unsigned i = 0; i < workload->vms; i++) {
		struct wv_vm_id id = {{name, 0}, 1};

		id.name.length =
		    (size_t)g_snprintf(name, sizeof(name), "vm%u", i);
		bench->vms[i].sink.ops = &ops;
		bench->vms[i].bench = bench;
		bench->vms[i].next_tick = WV_MSEC_NEVER;
		bench->vms[i].jobs = wv_job_store_create(
		    id, workload->buckets, &bench->vms[i].sink);
		wv_job_store_set_write_rate(bench->vms[i].jobs,
		    0.9 * workload->writes_per_second / workload->vms);
	}
}

static void
clear_bench(struct job_bench *bench)
{
	for (unsigned i = 0; i < bench->workload->vms; i++)
		wv_job_store_destroy(bench->vms[i].jobs);
	for (unsigned i = 0; i < MAX_BUCKETS; i++)
		wv_string_clear(&bench->objects[i].value);
	g_hash_table_destroy(bench->jobs);
	g_array_free(bench->claim_times, TRUE);
	sim_clear(&bench->sim);
}

/* Runs a workload and prints its line. */
static void
measure(const struct workload *workload)
{
	struct job_bench bench;
	clock_t cpu_start = clock();
	double jobs;

	init_bench(&bench, workload);
	sim_schedule(&bench.sim, 0, submit_next_job, &bench);
	sim_run_until(&bench.sim, workload->duration + 2 * JOB_DEADLINE);
	qsort(bench.claim_times->data, bench.claim_times->len, sizeof(wv_msec),
	    compare_times);
	jobs = (double)bench.submitted;
	printf("%6.0f %6.0f %7u %3u %7.2f %7.3f %7.3f %6.0f %6.0f %8.2f %7.0f "
	       "%6.0f %6.0f\n",
	    workload->jobs_per_second, workload->writes_per_second,
	    workload->buckets, workload->vms, 100 * (double)bench.done / jobs,
	    (double)bench.writes / jobs, (double)bench.reads / jobs,
	    quantile(bench.claim_times, 0.5), quantile(bench.claim_times, 0.99),
	    (double)bench.bytes / workload->duration / 1000,
	    (double)bench.largest_write / 1000, (double)bench.conflicts,
	    (double)(clock() - cpu_start) / CLOCKS_PER_SEC * 1e6 / jobs);
	fflush(stdout);
	clear_bench(&bench);
}

int
main(int argc, char **argv)
{
	static const double rates[] = {10, 100, 300, 1000, 4000, 16000};
	struct workload workload = {.vms = 1, .duration = 10000};

	workload.writes_per_second = argc > 1 ? strtod(argv[1], NULL) : 300;
	printf("jobs/s  wr/s buckets VMs  done%% writes/j reads/j claim50 "
	       "claim99 MB/s  max-KB conflicts CPU-us/job\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		workload.jobs_per_second = rates[i];
		workload.vms = 1;
		workload.buckets = 64;
		measure(&workload);
		/* At higher rates, 16 buckets would become full. */
		if (workload.jobs_per_second > 4000)
			continue;
		workload.buckets = 16;
		measure(&workload);
		workload.vms = 9;
		/*
		 * VMs that contend for buckets read them often, which makes
		 * higher rates slow to run.
		 */
		if (workload.jobs_per_second <= 300)
			measure(&workload);
	}
	return 0;
}
