/**
 * @file
 * Tests of the job store: a job must not run twice, must not be reported as not
 * run if it may have run, must not vanish, and must be answered once.
 */
#include "src/job_bucket.h"
#include "test/job_fake.h"

#define KEY "1700000000-a"
#define FAR_DEADLINE 1e9

static const struct wv_string no_result = {"", 0};

static void
clear_store(struct fake_store *store)
{
	wv_string_clear(&store->value);
}

static void
assert_answer(struct fake_vm *vm, uint64_t request, enum wv_code code)
{
	g_assert_cmpuint(vm->requests[request].answers, ==, 1);
	g_assert_cmpint(vm->requests[request].code, ==, code);
}

/* Submits a job, and checks that its claim is confirmed. */
static void
submit_and_claim(
    struct fake_vm *vm, wv_msec now, uint64_t request, const char *key)
{
	fake_submit(vm, now, request, key, "payload", FAR_DEADLINE);
	fake_complete_all(vm, now);
	g_assert_cmpuint(vm->requests[request].claims, ==, 1);
}

/* Returns the state of a key's record in the store. */
static enum wv_job_state
stored_state(const struct fake_store *store, const char *key)
{
	struct wv_status status;
	struct wv_job_bucket *bucket =
	    wv_job_bucket_parse(store->value, &status);
	enum wv_job_state state;

	g_assert_nonnull(bucket);
	state = wv_job_bucket_find(bucket, text("kestane"), text(key))->state;
	wv_job_bucket_destroy(bucket);
	return state;
}

/* Jobs that wait for one bucket must share a write. */
static void
test_group_commit(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;
	char key[32];

	fake_start(&vm, "vm1", 1, &store);
	for (unsigned i = 0; i < 20; i++) {
		g_snprintf(key, sizeof(key), "1700000000-%u", i);
		fake_submit(&vm, 0, i, key, "p", FAR_DEADLINE);
	}
	fake_complete_all(&vm, 0);
	g_assert_cmpuint(vm.reads, ==, 1);
	g_assert_cmpuint(vm.writes, ==, 1);
	for (unsigned i = 0; i < 20; i++) {
		g_assert_cmpuint(vm.requests[i].claims, ==, 1);
		g_assert_true(wv_job_store_may_send(vm.jobs, 0, i));
		wv_job_store_record_outcome(vm.jobs, 0, i, WV_OK, text("r"));
	}
	fake_complete_all(&vm, 0);
	/* The first outcome is written at once, the others together. */
	g_assert_cmpuint(vm.writes, ==, 3);
	g_assert_cmpuint(wv_job_store_pending(vm.jobs), ==, 0);
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * A job must not be sent before its claim is confirmed. If the answer to the
 * claim is lost, the bucket must be read to find out whether it took effect.
 */
static void
test_lost_claim(void)
{
	for (int effect = 0; effect < 2; effect++) {
		struct fake_store store = {0};
		struct fake_vm vm;

		fake_start(&vm, "vm1", 1, &store);
		fake_submit(&vm, 0, 1, KEY, "p", FAR_DEADLINE);
		fake_complete(&vm, 0);
		fake_fail(&vm, 0, WV_STORE_NO_ANSWER, effect == 1);
		g_assert_cmpuint(vm.requests[1].claims, ==, 0);
		g_assert_false(wv_job_store_may_send(vm.jobs, 0, 1));
		wv_job_store_tick(vm.jobs, 100);
		fake_complete_all(&vm, 100);
		g_assert_cmpuint(vm.requests[1].claims, ==, 1);
		g_assert_cmpuint(vm.writes, ==, effect == 1 ? 1 : 2);
		g_assert_true(wv_job_store_may_send(vm.jobs, 100, 1));
		g_assert_false(wv_job_store_may_send(vm.jobs, 100, 1));
		fake_stop(&vm);
		clear_store(&store);
	}
}

/*
 * A claim write that arrives after the job's deadline must have no effect: the
 * VM must have written the bucket since, so that the versions differ.
 */
static void
test_late_claim_is_fenced(void)
{
	struct fake_store store = {0};
	struct fake_vm a, b;
	struct wv_string late_value;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	fake_submit(&a, 0, 1, KEY, "p", 50);
	fake_complete(&a, 0);
	late_value = wv_string_copy(a.value);
	fake_fail(&a, 0, WV_STORE_NO_ANSWER, false);
	wv_job_store_tick(a.jobs, 60);
	assert_answer(&a, 1, WV_OUTCOME_OPEN);
	fake_complete_all(&a, 60);
	g_assert_cmpint(
	    fake_apply_write(&store, late_value, 0), ==, WV_STORE_CONFLICT);
	g_assert_cmpuint(wv_job_store_pending(a.jobs), ==, 0);
	submit_and_claim(&b, 60, 1, KEY);
	wv_string_clear(&late_value);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/*
 * After a lost claim write, a refused second one must not count as proof that
 * the claim has no effect: the first write may still arrive.
 */
static void
test_refused_while_open(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;
	struct wv_string late_value;

	fake_start(&vm, "vm1", 1, &store);
	fake_submit(&vm, 0, 1, KEY, "p", FAR_DEADLINE);
	fake_complete(&vm, 0);
	late_value = wv_string_copy(vm.value);
	fake_fail(&vm, 0, WV_STORE_NO_ANSWER, false);
	wv_job_store_tick(vm.jobs, 100);
	fake_complete(&vm, 100);
	fake_fail(&vm, 100, WV_STORE_REFUSED, false);
	g_assert_cmpint(
	    fake_apply_write(&store, late_value, 0), ==, WV_STORE_OK);
	wv_job_store_tick(vm.jobs, 1000);
	fake_complete_all(&vm, 1000);
	g_assert_cmpuint(vm.requests[1].claims, ==, 1);
	wv_string_clear(&late_value);
	fake_stop(&vm);
	clear_store(&store);
}

/* A late claim of a VM's previous process must not count for the new one. */
static void
test_previous_process(void)
{
	struct fake_store store = {0};
	struct fake_vm previous, vm;

	fake_start(&previous, "vm1", 1, &store);
	fake_submit(&previous, 0, 1, KEY, "p", FAR_DEADLINE);
	fake_complete(&previous, 0);
	fake_start(&vm, "vm1", 2, &store);
	fake_submit(&vm, 0, 1, KEY, "p", FAR_DEADLINE);
	fake_complete(&vm, 0);
	fake_fail(&vm, 0, WV_STORE_NO_ANSWER, false);
	fake_complete(&previous, 50);
	wv_job_store_tick(vm.jobs, 100);
	fake_complete_all(&vm, 100);
	g_assert_cmpuint(vm.requests[1].claims, ==, 0);
	assert_answer(&vm, 1, WV_JOB_IN_PROGRESS);
	fake_stop(&previous);
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * A job whose claim proves to be in effect after its deadline must not be sent,
 * and its key must be claimable again.
 */
static void
test_claim_found_too_late(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	fake_submit(&vm, 0, 1, KEY, "payload", 50);
	fake_complete(&vm, 0);
	fake_fail(&vm, 0, WV_STORE_NO_ANSWER, true);
	wv_job_store_tick(vm.jobs, 60);
	assert_answer(&vm, 1, WV_OUTCOME_OPEN);
	fake_complete_all(&vm, 60);
	g_assert_cmpuint(vm.requests[1].claims, ==, 0);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_NOT_RUN);
	submit_and_claim(&vm, 70, 2, KEY);
	fake_stop(&vm);
	clear_store(&store);
}

/* Only one of two VMs may claim a key. */
static void
test_conflict(void)
{
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	fake_submit(&a, 0, 1, KEY, "p", FAR_DEADLINE);
	fake_submit(&b, 0, 1, KEY, "p", FAR_DEADLINE);
	fake_complete(&a, 0);
	fake_complete(&b, 0);
	fake_complete_all(&a, 0);
	fake_complete_all(&b, 0);
	g_assert_cmpuint(a.requests[1].claims, ==, 1);
	g_assert_cmpuint(b.requests[1].claims, ==, 0);
	assert_answer(&b, 1, WV_JOB_IN_PROGRESS);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/* A key that is done must return its result and must not run again. */
static void
test_done_key(void)
{
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(a.jobs, 0, 1));
	wv_job_store_record_outcome(a.jobs, 0, 1, WV_OK, text("5 \"maps\"\n"));
	fake_complete_all(&a, 0);
	assert_answer(&a, 1, WV_OK);
	fake_submit(&b, 0, 2, KEY, "payload", FAR_DEADLINE);
	fake_complete_all(&b, 0);
	assert_answer(&b, 2, WV_OK);
	g_assert_cmpstr(b.requests[2].result, ==, "5 \"maps\"\n");
	fake_submit(&b, 0, 3, KEY, "another payload", FAR_DEADLINE);
	fake_complete_all(&b, 0);
	assert_answer(&b, 3, WV_KEY_REUSED);
	wv_job_store_lookup(b.jobs, 0, 4, text("kestane"), text(KEY));
	fake_complete_all(&b, 0);
	assert_answer(&b, 4, WV_OK);
	wv_job_store_lookup(b.jobs, 0, 5, text("kestane"), text("1-b"));
	fake_complete_all(&b, 0);
	assert_answer(&b, 5, WV_JOB_NOT_FOUND);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/*
 * A key that is proved not run must be claimable again, even by the write that
 * records the outcome.
 */
static void
test_not_run_again(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	submit_and_claim(&vm, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(vm.jobs, 0, 1));
	wv_job_store_record_outcome(vm.jobs, 0, 1, WV_JOB_NOT_RUN, no_result);
	assert_answer(&vm, 1, WV_JOB_NOT_RUN);
	submit_and_claim(&vm, 0, 2, KEY);
	g_assert_false(wv_job_store_may_send(vm.jobs, 0, 1));
	g_assert_true(wv_job_store_may_send(vm.jobs, 0, 2));
	fake_stop(&vm);
	clear_store(&store);
}

/* Malformed and expired keys must be refused without a claim. */
static void
test_keys(void)
{
	static const char *const bad[] = {"", "-", "5", "5-", "a-b",
	    "123456789012-a", "1700000000-a/b", "1700000000-a\"",
	    "1700000999-a"};
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	for (unsigned i = 0; i < G_N_ELEMENTS(bad); i++) {
		fake_submit(&vm, 0, i, bad[i], "p", FAR_DEADLINE);
		assert_answer(&vm, i, WV_KEY_MALFORMED);
	}
	fake_submit(&vm, 0, 20, "1699990000-a", "p", FAR_DEADLINE);
	fake_complete_all(&vm, 0);
	assert_answer(&vm, 20, WV_KEY_EXPIRED);
	g_assert_cmpuint(vm.writes, ==, 0);
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * A key whose record expired must not run again, even on a VM whose clock is
 * slow: keys created before the customer's watermark in the bucket are refused.
 */
static void
test_expiry_raises_watermark(void)
{
	const wv_msec later = 2 * 3600e3;
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(a.jobs, 0, 1));
	wv_job_store_record_outcome(a.jobs, 0, 1, WV_OK, text("r"));
	fake_complete_all(&a, 0);
	submit_and_claim(&a, later, 2, "1700007200-b");
	fake_start(&b, "vm2", 1, &store);
	b.unix_skew = -later;
	fake_submit(&b, later, 1, KEY, "payload", later + FAR_DEADLINE);
	fake_complete_all(&b, later);
	assert_answer(&b, 1, WV_KEY_EXPIRED);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/* A record whose outcome is not known must outlive its retention. */
static void
test_claimed_record_outlives_retention(void)
{
	const wv_msec later = 2 * 3600e3;
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	fake_stop(&a);
	fake_start(&b, "vm2", 1, &store);
	submit_and_claim(&b, later, 1, "1700007200-b");
	fake_submit(&b, later, 2, KEY, "payload", later + FAR_DEADLINE);
	fake_complete_all(&b, later);
	assert_answer(&b, 2, WV_JOB_IN_PROGRESS);
	fake_stop(&b);
	clear_store(&store);
}

/* Loses all calls of a VM for a time; checks that retries are limited. */
static void
run_outage(struct fake_vm *vm, wv_msec from, wv_msec to)
{
	wv_msec now = from, next;
	unsigned calls = vm->reads + vm->writes;

	for (int i = 0; i < 10000 && now < to; i++) {
		if (vm->call != FAKE_NONE)
			fake_fail(vm, now, WV_STORE_NO_ANSWER, false);
		next = wv_job_store_next_tick(vm->jobs);
		g_assert_true(next > now || vm->call != FAKE_NONE);
		now = MIN(MAX(next, now), to);
		wv_job_store_tick(vm->jobs, now);
	}
	if (vm->call != FAKE_NONE)
		fake_fail(vm, now, WV_STORE_NO_ANSWER, false);
	g_assert_cmpuint(vm->reads + vm->writes - calls, <, 60);
}

/*
 * In an outage of the store, unclaimed jobs must be refused, and outcomes must
 * be kept and written afterwards.
 */
static void
test_outage(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	submit_and_claim(&vm, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(vm.jobs, 0, 1));
	wv_job_store_record_outcome(vm.jobs, 0, 1, WV_OK, text("r"));
	fake_submit(&vm, 0, 2, "1700000000-b", "p", 100e3);
	run_outage(&vm, 0, 120e3);
	assert_answer(&vm, 2, WV_JOB_NOT_RUN);
	g_assert_cmpuint(wv_job_store_pending(vm.jobs), ==, 1);
	wv_job_store_tick(vm.jobs, 130e3);
	fake_complete_all(&vm, 130e3);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_DONE);
	g_assert_cmpuint(wv_job_store_pending(vm.jobs), ==, 0);
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * A job whose claim may have taken effect must not be answered as not run
 * during an outage of the store.
 */
static void
test_outage_while_open(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	fake_submit(&vm, 0, 1, KEY, "p", 5000);
	fake_complete(&vm, 0);
	fake_fail(&vm, 0, WV_STORE_NO_ANSWER, true);
	run_outage(&vm, 0, 60e3);
	assert_answer(&vm, 1, WV_OUTCOME_OPEN);
	wv_job_store_tick(vm.jobs, 70e3);
	fake_complete_all(&vm, 70e3);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_NOT_RUN);
	fake_stop(&vm);
	clear_store(&store);
}

/* A VM that was paused after the claim must not send the job. */
static void
test_pause_before_send(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	submit_and_claim(&vm, 0, 1, KEY);
	g_assert_cmpfloat(wv_job_store_send_before(vm.jobs, 1), ==,
	    FAKE_UNIX + WV_JOB_CLAIM_MAX_AGE);
	g_assert_false(
	    wv_job_store_may_send(vm.jobs, WV_JOB_CLAIM_MAX_AGE + 1, 1));
	assert_answer(&vm, 1, WV_EXPIRED_IN_QUEUE);
	fake_complete_all(&vm, WV_JOB_CLAIM_MAX_AGE + 1);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_NOT_RUN);
	/* Nor must a job be sent whose deadline passed since the last tick. */
	fake_submit(&vm, 3000, 2, "1700000000-b", "p", 3050);
	fake_complete_all(&vm, 3000);
	g_assert_cmpuint(vm.requests[2].claims, ==, 1);
	g_assert_false(wv_job_store_may_send(vm.jobs, 3060, 2));
	assert_answer(&vm, 2, WV_EXPIRED_IN_QUEUE);
	fake_complete_all(&vm, 3060);
	fake_stop(&vm);
	clear_store(&store);
}

static void
resolve_job(struct fake_vm *vm, wv_msec now, uint64_t request, bool done)
{
	wv_job_store_resolve(
	    vm->jobs, now, request, text("kestane"), text(KEY), done);
	fake_complete_all(vm, now);
}

/* A key whose job may still start must not be resolved as not run. */
static void
test_resolution(void)
{
	const wv_msec later = WV_JOB_CLAIM_MAX_AGE + WV_JOB_CLOCK_MARGIN + 1;
	struct fake_store store = {0};
	struct wv_vm_id first = {text("vm1"), 1};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(a.jobs, 0, 1));
	fake_sweep(&b, 100, NULL, 0);
	fake_complete_all(&b, 100);
	resolve_job(&b, 100, 1, false);
	assert_answer(&b, 1, WV_JOB_IN_PROGRESS);
	fake_sweep(&b, later, &first, 1);
	fake_complete_all(&b, later);
	resolve_job(&b, later, 2, false);
	assert_answer(&b, 2, WV_JOB_IN_PROGRESS);
	fake_sweep(&b, later, NULL, 0);
	fake_complete_all(&b, later);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_UNRESOLVED);
	fake_submit(&b, later, 3, KEY, "payload", FAR_DEADLINE);
	fake_complete_all(&b, later);
	assert_answer(&b, 3, WV_JOB_UNKNOWN);
	resolve_job(&b, later, 4, false);
	assert_answer(&b, 4, WV_OK);
	resolve_job(&b, later, 5, true);
	assert_answer(&b, 5, WV_VERSION_CONFLICT);
	resolve_job(&b, later, 6, false);
	assert_answer(&b, 6, WV_OK);
	/* A late outcome of the first VM must not override the resolution. */
	wv_job_store_record_outcome(a.jobs, later, 1, WV_OK, text("r"));
	fake_complete_all(&a, later);
	g_assert_cmpint(
	    stored_state(&store, KEY), ==, WV_JOB_STATE_RESOLVED_NOT_RUN);
	submit_and_claim(&b, later, 7, KEY);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/* A late outcome must be recorded if no operator resolved the job. */
static void
test_late_outcome(void)
{
	const wv_msec later = WV_JOB_CLAIM_MAX_AGE + WV_JOB_CLOCK_MARGIN + 1;
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(a.jobs, 0, 1));
	fake_sweep(&b, later, NULL, 0);
	fake_complete_all(&b, later);
	wv_job_store_record_outcome(a.jobs, later, 1, WV_OK, text("r"));
	fake_complete_all(&a, later);
	g_assert_cmpint(stored_state(&store, KEY), ==, WV_JOB_STATE_DONE);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/* Of two contrary resolutions at once, only one must succeed. */
static void
test_two_operators(void)
{
	const wv_msec later = WV_JOB_CLAIM_MAX_AGE + WV_JOB_CLOCK_MARGIN + 1;
	struct fake_store store = {0};
	struct fake_vm a, b;

	fake_start(&a, "vm1", 1, &store);
	fake_start(&b, "vm2", 1, &store);
	submit_and_claim(&a, 0, 1, KEY);
	g_assert_true(wv_job_store_may_send(a.jobs, 0, 1));
	wv_job_store_record_outcome(a.jobs, 0, 1, WV_JOB_UNKNOWN, no_result);
	assert_answer(&a, 1, WV_JOB_UNKNOWN);
	fake_complete_all(&a, 0);
	fake_sweep(&a, later, NULL, 0);
	fake_sweep(&b, later, NULL, 0);
	fake_complete_all(&a, later);
	fake_complete_all(&b, later);
	wv_job_store_resolve(
	    a.jobs, later, 2, text("kestane"), text(KEY), true);
	wv_job_store_resolve(
	    b.jobs, later, 2, text("kestane"), text(KEY), false);
	fake_complete(&a, later);
	fake_complete(&b, later);
	fake_complete_all(&b, later);
	fake_complete_all(&a, later);
	assert_answer(&b, 2, WV_OK);
	assert_answer(&a, 2, WV_VERSION_CONFLICT);
	fake_stop(&a);
	fake_stop(&b);
	clear_store(&store);
}

/* A bucket that cannot be parsed must not be overwritten. */
static void
test_unreadable_bucket(void)
{
	struct fake_store store = {5, wv_string_copy(text("{\"records\":3}"))};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	fake_submit(&vm, 0, 1, KEY, "p", 1000);
	for (int i = 0; i < 20; i++) {
		fake_complete(&vm, i * 100);
		wv_job_store_tick(vm.jobs, i * 100);
	}
	g_assert_cmpuint(vm.writes, ==, 0);
	assert_answer(&vm, 1, WV_JOB_NOT_RUN);
	fake_stop(&vm);
	clear_store(&store);
}

/* A read that returns an older version must not make a key claimable. */
static void
test_stale_read(void)
{
	struct fake_store store = {0};
	struct fake_store old_store = {0};
	struct fake_vm vm;

	fake_start(&vm, "vm1", 1, &store);
	submit_and_claim(&vm, 0, 1, KEY);
	wv_job_store_lookup(vm.jobs, 0, 2, text("kestane"), text(KEY));
	vm.store = &old_store;
	fake_complete(&vm, 0);
	assert_answer(&vm, 2, WV_STORE_UNAVAILABLE);
	vm.store = &store;
	wv_job_store_lookup(vm.jobs, 500, 3, text("kestane"), text(KEY));
	fake_complete_all(&vm, 500);
	assert_answer(&vm, 3, WV_JOB_IN_PROGRESS);
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * The size bound of a bucket must hold for every state that its claimed records
 * can get.
 */
static void
test_bucket_bound(void)
{
	struct wv_job_bucket *bucket = wv_job_bucket_create();
	struct wv_vm_id vm = {
	    text("vm-with-a-name-of-many-characters"), G_MAXINT64};
	struct wv_string value;
	char key[64];
	unsigned n;

	for (n = 0; n < 100000; n++) {
		struct wv_job_record *record;

		g_snprintf(key, sizeof(key), "1700000000-%u", n);
		record = wv_job_bucket_add(bucket, text("kestane"), text(key));
		if (record == NULL)
			break;
		wv_job_digest(text("p"), record->digest);
		wv_job_record_claim(record, vm, G_MAXINT64);
		record->claimed = 1e15;
		record->send_before = 1e15;
		record->expires = G_MAXINT64;
	}
	g_assert_cmpuint(n, >, 1500);
	value = wv_job_bucket_encode(bucket);
	g_assert_cmpuint(value.length, <=, wv_job_bucket_size(bucket));
	g_assert_cmpuint(
	    wv_job_bucket_size(bucket), <=, WV_JOB_BUCKET_MAX_SIZE);
	wv_string_clear(&value);
	for (unsigned i = 0; i < n; i++) {
		char *result = g_strnfill(4000, i % 2 == 0 ? '"' : 'x');

		g_snprintf(key, sizeof(key), "1700000000-%u", i);
		wv_job_bucket_finalize(bucket,
		    wv_job_bucket_find(bucket, text("kestane"), text(key)),
		    i % 3 == 0 ? WV_JOB_STATE_NOT_RUN : WV_JOB_STATE_DONE,
		    text(result));
		g_free(result);
	}
	value = wv_job_bucket_encode(bucket);
	g_assert_cmpuint(value.length, <=, wv_job_bucket_size(bucket));
	g_assert_cmpuint(value.length, <=, WV_JOB_BUCKET_MAX_SIZE);
	wv_string_clear(&value);
	wv_job_bucket_destroy(bucket);
}

/* A result with any text must not make its bucket unreadable. */
static void
test_odd_results(void)
{
	static const char *const results[] = {"\"", "\\u0000", "\\", "\x01\x7f",
	    "\xff\xfe", "caf\xc3\xa9", "{\"a\":[1]}"};
	struct wv_job_bucket *bucket = wv_job_bucket_create(), *copy;
	struct wv_job_record *record;
	struct wv_status status;
	struct wv_string value;

	record = wv_job_bucket_add(bucket, text("kestane"), text(KEY));
	wv_job_digest(text("p"), record->digest);
	for (unsigned i = 0; i < G_N_ELEMENTS(results); i++) {
		wv_job_bucket_finalize(
		    bucket, record, WV_JOB_STATE_DONE, text(results[i]));
		value = wv_job_bucket_encode(bucket);
		copy = wv_job_bucket_parse(value, &status);
		g_assert_nonnull(copy);
		g_assert_true(wv_string_equal(record->result,
		    wv_job_bucket_find(copy, text("kestane"), text(KEY))
			->result));
		g_assert_cmpuint(
		    wv_job_bucket_size(copy), ==, wv_job_bucket_size(bucket));
		wv_job_bucket_destroy(copy);
		wv_string_clear(&value);
	}
	wv_job_bucket_destroy(bucket);
}

/* A job whose bucket is full must be refused as not run. */
static void
test_full_bucket(void)
{
	struct wv_job_bucket *bucket = wv_job_bucket_create();
	struct fake_store store = {0};
	struct fake_vm vm;
	struct wv_job_record *record;
	char key[64];

	for (unsigned i = 0; i < 100000; i++) {
		g_snprintf(key, sizeof(key), "1700000000-%u", i);
		record = wv_job_bucket_add(bucket, text("kestane"), text(key));
		if (record == NULL)
			break;
		wv_job_digest(text("p"), record->digest);
		record->state = WV_JOB_STATE_NOT_RUN;
		record->expires = 1700003600;
	}
	store.value = wv_job_bucket_encode(bucket);
	store.version = 7;
	wv_job_bucket_destroy(bucket);
	fake_start(&vm, "vm1", 1, &store);
	fake_submit(&vm, 0, 1, "1700000000-x", "p", FAR_DEADLINE);
	fake_complete_all(&vm, 0);
	assert_answer(&vm, 1, WV_JOB_STORE_FULL);
	/* Removal of expired records frees space. */
	submit_and_claim(&vm, 3700e3, 2, "1700003700-x");
	fake_stop(&vm);
	clear_store(&store);
}

/*
 * The limit on the write rate must hold under load, with more jobs in each
 * write, and the rate must be used.
 */
static void
test_write_rate(void)
{
	struct fake_store store = {0};
	struct fake_vm vm;
	char key[64];
	unsigned n = 0;

	fake_start(&vm, "vm1", 1, &store);
	wv_job_store_set_write_rate(vm.jobs, 10);
	for (unsigned step = 0; step < 2000; step++) {
		unsigned slot = n++ % FAKE_MAX_REQUESTS;
		wv_msec now = 5.0 * step;

		memset(&vm.requests[slot], 0, sizeof(vm.requests[slot]));
		g_snprintf(key, sizeof(key), "1700000000-%u", n);
		fake_submit(&vm, now, slot, key, "p", now + 300);
		if (wv_job_store_next_tick(vm.jobs) <= now)
			wv_job_store_tick(vm.jobs, now);
		fake_complete_all(&vm, now);
		for (unsigned i = 0; i < FAKE_MAX_REQUESTS; i++) {
			if (wv_job_store_may_send(vm.jobs, now, i))
				wv_job_store_record_outcome(
				    vm.jobs, now, i, WV_OK, text("r"));
		}
		fake_complete_all(&vm, now);
	}
	g_assert_cmpuint(vm.writes, <=, 10 * 10 + WV_JOB_WRITE_BURST + 1);
	g_assert_cmpuint(vm.writes, >=, 90);
	fake_stop(&vm);
	clear_store(&store);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/job/group-commit", test_group_commit);
	g_test_add_func("/job/lost-claim", test_lost_claim);
	g_test_add_func("/job/late-claim-fenced", test_late_claim_is_fenced);
	g_test_add_func("/job/refused-while-open", test_refused_while_open);
	g_test_add_func("/job/former-process", test_previous_process);
	g_test_add_func("/job/claim-too-late", test_claim_found_too_late);
	g_test_add_func("/job/conflict", test_conflict);
	g_test_add_func("/job/done-key", test_done_key);
	g_test_add_func("/job/not-run-again", test_not_run_again);
	g_test_add_func("/job/keys", test_keys);
	g_test_add_func("/job/expiry-mark", test_expiry_raises_watermark);
	g_test_add_func(
	    "/job/open-record-stays", test_claimed_record_outlives_retention);
	g_test_add_func("/job/outage", test_outage);
	g_test_add_func("/job/outage-while-open", test_outage_while_open);
	g_test_add_func("/job/pause-before-send", test_pause_before_send);
	g_test_add_func("/job/resolution", test_resolution);
	g_test_add_func("/job/late-outcome", test_late_outcome);
	g_test_add_func("/job/two-operators", test_two_operators);
	g_test_add_func("/job/unreadable", test_unreadable_bucket);
	g_test_add_func("/job/stale-read", test_stale_read);
	g_test_add_func("/job/bucket-bound", test_bucket_bound);
	g_test_add_func("/job/odd-results", test_odd_results);
	g_test_add_func("/job/full-bucket", test_full_bucket);
	g_test_add_func("/job/write-rate", test_write_rate);
	return g_test_run();
}
