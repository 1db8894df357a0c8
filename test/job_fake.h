/**
 * @file
 * A fake store with one job bucket, and VMs that use it. The test completes
 * every call, and so chooses the order of events.
 */
#ifndef WISTERIAVANE_TEST_JOB_FAKE_H
#define WISTERIAVANE_TEST_JOB_FAKE_H

#include <string.h>

#include "wisteriavane/wisteriavane.h"

/** Unix time at monotonic time 0, in ms. */
#define FAKE_UNIX 1700000000000.0
/** Request ids of a VM are below this. */
#define FAKE_MAX_REQUESTS 64

/** A store with one object. */
struct fake_store {
	uint64_t version; /**< 0 if absent */
	struct wv_string value; /**< owned */
};

/** Kind of the call in flight. */
enum fake_call { FAKE_NONE, FAKE_READ, FAKE_WRITE };

/** What a VM reported about a request. */
struct fake_request {
	unsigned answers; /**< number of answers */
	enum wv_code code;
	enum wv_job_state state;
	char result[64];
	unsigned claims; /**< how often its claim was confirmed */
};

/** One VM. sink must be the first member. */
struct fake_vm {
	struct wv_job_sink sink;
	struct wv_job_store *jobs;
	struct fake_store *store;
	enum fake_call call;
	struct wv_string value; /**< of the write in flight; owned */
	uint64_t if_version;
	unsigned reads, writes; /**< numbers of calls */
	struct fake_request requests[FAKE_MAX_REQUESTS];
	double unix_skew; /**< error of this VM's clock, ms */
};

static inline struct wv_string
text(const char *literal)
{
	return wv_string_borrow(literal);
}

static inline void
fake_read(struct wv_job_sink *sink, uint32_t bucket)
{
	struct fake_vm *vm = (struct fake_vm *)sink;

	g_assert_cmpuint(bucket, ==, 0);
	g_assert_cmpint(vm->call, ==, FAKE_NONE);
	vm->call = FAKE_READ;
	vm->reads++;
}

static inline void
fake_write(struct wv_job_sink *sink, uint32_t bucket, struct wv_string value,
    uint64_t if_version)
{
	struct fake_vm *vm = (struct fake_vm *)sink;

	g_assert_cmpuint(bucket, ==, 0);
	g_assert_cmpint(vm->call, ==, FAKE_NONE);
	g_assert_cmpuint(value.length, <=, WV_JOB_BUCKET_MAX_SIZE);
	vm->call = FAKE_WRITE;
	vm->writes++;
	wv_string_clear(&vm->value);
	vm->value = wv_string_copy(value);
	vm->if_version = if_version;
}

static inline void
fake_claimed(struct wv_job_sink *sink, uint64_t request)
{
	((struct fake_vm *)sink)->requests[request].claims++;
}

static inline void
fake_answer(struct wv_job_sink *sink, const struct wv_job_result *result)
{
	struct fake_request *request =
	    &((struct fake_vm *)sink)->requests[result->request_id];

	g_assert_cmpuint(request->answers, ==, 0);
	request->answers++;
	request->code = result->status.code;
	request->state = result->state;
	g_strlcpy(request->result,
	    result->result.length > 0 ? result->result.data : "",
	    sizeof(request->result));
}

static const struct wv_job_ops fake_ops = {
    fake_read, fake_write, fake_claimed, fake_answer};

/** Starts a VM's process with empty caches. */
static inline void
fake_start(struct fake_vm *vm, const char *name, uint64_t incarnation,
    struct fake_store *store)
{
	struct wv_vm_id self = {wv_string_borrow(name), incarnation};

	memset(vm, 0, sizeof(*vm));
	vm->sink.ops = &fake_ops;
	vm->store = store;
	vm->jobs = wv_job_store_create(self, 1, &vm->sink);
}

/** Ends a VM's process; a call in flight is dropped. */
static inline void
fake_stop(struct fake_vm *vm)
{
	wv_job_store_destroy(vm->jobs);
	wv_string_clear(&vm->value);
	vm->jobs = NULL;
}

/** Executes a write at the store; conflicts if the version differs. */
static inline enum wv_store_outcome
fake_apply_write(
    struct fake_store *store, struct wv_string value, uint64_t if_version)
{
	if (store->version != if_version)
		return WV_STORE_CONFLICT;
	wv_string_clear(&store->value);
	store->value = wv_string_copy(value);
	/* Writes of other objects raise the store's revision, too. */
	store->version += 3;
	return WV_STORE_OK;
}

/** Executes a VM's call and delivers the answer. */
static inline void
fake_complete(struct fake_vm *vm, wv_msec now)
{
	enum fake_call call = vm->call;
	enum wv_store_outcome outcome;

	vm->call = FAKE_NONE;
	if (call == FAKE_READ) {
		outcome =
		    vm->store->version == 0 ? WV_STORE_NOT_FOUND : WV_STORE_OK;
		wv_job_store_read_done(vm->jobs, now, 0, outcome,
		    vm->store->value, vm->store->version);
	} else if (call == FAKE_WRITE) {
		outcome =
		    fake_apply_write(vm->store, vm->value, vm->if_version);
		wv_job_store_write_done(
		    vm->jobs, now, 0, outcome, vm->store->version);
	}
}

/**
 * Completes a VM's call without an answer of the store.
 *
 * @param outcome  that the VM sees
 * @param effect   whether a write takes effect nevertheless
 */
static inline void
fake_fail(
    struct fake_vm *vm, wv_msec now, enum wv_store_outcome outcome, bool effect)
{
	enum fake_call call = vm->call;
	struct wv_string none = {"", 0};

	vm->call = FAKE_NONE;
	if (effect)
		fake_apply_write(vm->store, vm->value, vm->if_version);
	if (call == FAKE_READ)
		wv_job_store_read_done(vm->jobs, now, 0, outcome, none, 0);
	else if (call == FAKE_WRITE)
		wv_job_store_write_done(vm->jobs, now, 0, outcome, 0);
}

/** Executes and answers calls until the VM has none in flight. */
static inline void
fake_complete_all(struct fake_vm *vm, wv_msec now)
{
	for (int i = 0; i < 100 && vm->call != FAKE_NONE; i++)
		fake_complete(vm, now);
	g_assert_cmpint(vm->call, ==, FAKE_NONE);
}

/** Submits a job of customer "kestane" with a retention of one hour. */
static inline void
fake_submit(struct fake_vm *vm, wv_msec now, uint64_t request, const char *key,
    const char *payload, wv_msec deadline)
{
	struct wv_job_request job = {
	    .request_id = request,
	    .customer = text("kestane"),
	    .key = text(key),
	    .payload = text(payload),
	    .retention = 3600e3,
	    .deadline = deadline,
	};

	wv_job_store_submit(
	    vm->jobs, now, FAKE_UNIX + vm->unix_skew + now, &job);
}

/** Marks claims of all VMs except live ones as unresolved. */
static inline void
fake_sweep(
    struct fake_vm *vm, wv_msec now, const struct wv_vm_id *live, size_t n_live)
{
	wv_job_store_sweep(
	    vm->jobs, now, FAKE_UNIX + vm->unix_skew + now, live, n_live);
}

#endif
