/**
 * @file
 * The public functions of the job store of one back end.
 */
#include <math.h>

#include <xxhash.h>

#include "src/check.h"
#include "src/job_private.h"

static const struct wv_string no_result = {"", 0};

struct wv_job_store *
wv_job_store_create(
    struct wv_vm_id self, uint32_t n_buckets, struct wv_job_sink *sink)
{
	struct wv_job_store *store = g_new0(struct wv_job_store, 1);

	store->self.name = wv_string_copy(self.name);
	store->self.incarnation = self.incarnation;
	store->sink = sink;
	store->n_caches = n_buckets;
	store->caches = g_new0(struct cache, n_buckets);
	for (uint32_t i = 0; i < n_buckets; i++) {
		store->caches[i].number = i;
		store->caches[i].jobs = g_ptr_array_new();
		store->caches[i].key_ops = g_ptr_array_new();
		store->caches[i].next_call_at = -WV_MSEC_NEVER;
		store->caches[i].contended_until = -WV_MSEC_NEVER;
		store->caches[i].next_deadline = WV_MSEC_NEVER;
	}
	store->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	store->next_token = 1;
	store->write_rate = WV_JOB_WRITE_RATE;
	store->write_credit = WV_JOB_WRITE_BURST;
	g_queue_init(&store->events);
	return store;
}

static void
destroy_job(struct job *job)
{
	wv_string_clear(&job->customer);
	wv_string_clear(&job->key);
	wv_string_clear(&job->result);
	g_free(job);
}

static void
destroy_key_op(struct key_op *op)
{
	wv_string_clear(&op->customer);
	wv_string_clear(&op->key);
	g_free(op);
}

static void
clear_live(struct wv_job_store *store)
{
	for (size_t i = 0; i < store->n_live; i++)
		wv_string_clear(&store->live[i].name);
	g_free(store->live);
	store->live = NULL;
	store->n_live = 0;
}

static void
destroy_cache(struct cache *cache)
{
	for (guint i = 0; i < cache->jobs->len; i++)
		destroy_job(g_ptr_array_index(cache->jobs, i));
	for (guint i = 0; i < cache->key_ops->len; i++)
		destroy_key_op(g_ptr_array_index(cache->key_ops, i));
	g_ptr_array_free(cache->jobs, TRUE);
	g_ptr_array_free(cache->key_ops, TRUE);
	wv_job_bucket_destroy(cache->content);
}

void
wv_job_store_destroy(struct wv_job_store *store)
{
	wv_job_events_clear(store);
	for (uint32_t i = 0; i < store->n_caches; i++)
		destroy_cache(&store->caches[i]);
	g_hash_table_destroy(store->jobs);
	clear_live(store);
	wv_string_clear(&store->self.name);
	g_free(store->caches);
	g_free(store);
}

void
wv_job_store_set_write_rate(struct wv_job_store *store, double rate)
{
	store->write_rate = rate;
}

uint32_t
wv_job_store_bucket_number(const struct wv_job_store *store,
    struct wv_string customer, struct wv_string key)
{
	uint64_t hash = XXH3_64bits_withSeed(
	    key.data, key.length, wv_string_hash(customer));

	return (uint32_t)(hash % store->n_caches);
}

void
wv_job_set_outcome(
    struct job *job, enum wv_job_state outcome, struct wv_string result)
{
	job->stage = JOB_RECORDING;
	job->outcome = outcome;
	wv_string_clear(&job->result);
	job->result = wv_string_copy(result);
}

void
wv_job_release_finished(struct wv_job_store *store, struct cache *cache)
{
	guint kept = 0;

	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->stage == JOB_FINISHED) {
			g_hash_table_remove(store->jobs, &job->request);
			destroy_job(job);
		} else {
			cache->jobs->pdata[kept++] = job;
		}
	}
	g_ptr_array_set_size(cache->jobs, (gint)kept);
	kept = 0;
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (op->finished)
			destroy_key_op(op);
		else
			cache->key_ops->pdata[kept++] = op;
	}
	g_ptr_array_set_size(cache->key_ops, (gint)kept);
}

/*
 * Returns the code that refuses a request before any store call, or WV_OK.
 * *seconds receives the creation time in the key, in s.
 */
static enum wv_code
check_request(const struct wv_job_store *store, wv_msec now, wv_msec unix_now,
    const struct wv_job_request *request, uint64_t *seconds)
{
	if (!wv_is_valid_name(request->customer))
		return WV_BAD_REQUEST;
	if (!wv_job_key_parse(request->key, seconds) ||
	    (double)*seconds * 1000 > unix_now + WV_JOB_KEY_MAX_AHEAD)
		return WV_KEY_MALFORMED;
	if (now >= request->deadline)
		return WV_EXPIRED_IN_QUEUE;
	if (g_hash_table_size(store->jobs) >= WV_JOB_MAX_PENDING)
		return WV_QUEUE_FULL;
	return WV_OK;
}

static struct job *
create_job(const struct wv_job_request *request, uint64_t seconds)
{
	struct job *job = g_new0(struct job, 1);

	job->request = request->request_id;
	job->customer = wv_string_copy(request->customer);
	job->key = wv_string_copy(request->key);
	wv_job_digest(request->payload, job->digest);
	job->key_seconds = seconds;
	job->expires = seconds + (uint64_t)ceil(request->retention / 1000);
	job->deadline = request->deadline;
	job->result = wv_string_copy(no_result);
	return job;
}

void
wv_job_store_submit(struct wv_job_store *store, wv_msec now, wv_msec unix_now,
    const struct wv_job_request *request)
{
	struct cache *cache;
	struct job *job;
	uint64_t seconds = 0;
	enum wv_code code;

	/* Jobs are identified by their request id alone. */
	g_return_if_fail(
	    !g_hash_table_contains(store->jobs, &request->request_id));
	store->unix_offset = unix_now - now;
	store->counts.submitted++;
	code = check_request(store, now, unix_now, request, &seconds);
	if (code != WV_OK) {
		wv_job_event_answer(store, request->request_id,
		    WV_JOB_STATE_NOT_RUN, no_result, code,
		    "refused before a claim");
		wv_job_flush(store);
		return;
	}
	job = create_job(request, seconds);
	cache = &store->caches[wv_job_store_bucket_number(
	    store, request->customer, request->key)];
	g_ptr_array_add(cache->jobs, job);
	g_hash_table_insert(store->jobs, &job->request, job);
	cache->next_deadline = MIN(cache->next_deadline, job->deadline);
	wv_job_start_next_call(store, cache, now);
	wv_job_flush(store);
}

static void
add_key_op(struct wv_job_store *store, wv_msec now, uint64_t request,
    struct wv_string customer, struct wv_string key, enum key_op_kind kind)
{
	struct cache *cache =
	    &store->caches[wv_job_store_bucket_number(store, customer, key)];
	struct key_op *op = g_new0(struct key_op, 1);

	op->request = request;
	op->customer = wv_string_copy(customer);
	op->key = wv_string_copy(key);
	op->kind = kind;
	op->requested_at = now;
	g_ptr_array_add(cache->key_ops, op);
	wv_job_start_next_call(store, cache, now);
	wv_job_flush(store);
}

void
wv_job_store_lookup(struct wv_job_store *store, wv_msec now, uint64_t request,
    struct wv_string customer, struct wv_string key)
{
	add_key_op(store, now, request, customer, key, KEY_OP_LOOKUP);
}

void
wv_job_store_resolve(struct wv_job_store *store, wv_msec now, uint64_t request,
    struct wv_string customer, struct wv_string key, bool done)
{
	add_key_op(store, now, request, customer, key,
	    done ? KEY_OP_RESOLVE_DONE : KEY_OP_RESOLVE_NOT_RUN);
}

static struct cache *
find_cache(struct wv_job_store *store, const struct job *job)
{
	return &store->caches[wv_job_store_bucket_number(
	    store, job->customer, job->key)];
}

bool
wv_job_store_may_send(struct wv_job_store *store, wv_msec now, uint64_t request)
{
	struct job *job = g_hash_table_lookup(store->jobs, &request);

	if (job == NULL || job->stage != JOB_CLAIMED)
		return false;
	if (now < job->deadline &&
	    now - job->claimed_at <= WV_JOB_CLAIM_MAX_AGE &&
	    store->unix_offset + now <= job->send_before) {
		job->stage = JOB_SENT;
		return true;
	}
	wv_job_answer(store, job, WV_JOB_STATE_NOT_RUN, no_result,
	    WV_EXPIRED_IN_QUEUE, "too late for a send");
	wv_job_set_outcome(job, WV_JOB_STATE_NOT_RUN, no_result);
	wv_job_start_next_call(store, find_cache(store, job), now);
	wv_job_flush(store);
	return false;
}

wv_msec
wv_job_store_send_before(const struct wv_job_store *store, uint64_t request)
{
	const struct job *job = g_hash_table_lookup(store->jobs, &request);

	if (job == NULL ||
	    (job->stage != JOB_CLAIMED && job->stage != JOB_SENT))
		return 0;
	return job->send_before;
}

void
wv_job_store_record_outcome(struct wv_job_store *store, wv_msec now,
    uint64_t request, enum wv_code code, struct wv_string result)
{
	struct job *job = g_hash_table_lookup(store->jobs, &request);
	enum wv_job_state state = WV_JOB_STATE_UNRESOLVED;

	if (job == NULL ||
	    (job->stage != JOB_CLAIMED && job->stage != JOB_SENT))
		return;
	if (code == WV_OK)
		state = WV_JOB_STATE_DONE;
	else if (wv_code_proves_not_run(code))
		state = WV_JOB_STATE_NOT_RUN;
	else
		code = WV_JOB_UNKNOWN;
	if (state != WV_JOB_STATE_DONE)
		result = no_result;
	wv_job_answer(
	    store, job, state, result, code, wv_job_state_name(state));
	wv_job_set_outcome(job, state, result);
	wv_job_start_next_call(store, find_cache(store, job), now);
	wv_job_flush(store);
}

void
wv_job_store_sweep(struct wv_job_store *store, wv_msec now, wv_msec unix_now,
    const struct wv_vm_id *live, size_t n_live)
{
	clear_live(store);
	store->live = g_new0(struct wv_vm_id, n_live + 1);
	store->n_live = n_live;
	for (size_t i = 0; i < n_live; i++) {
		store->live[i].name = wv_string_copy(live[i].name);
		store->live[i].incarnation = live[i].incarnation;
	}
	store->swept = true;
	store->unix_offset = unix_now - now;
	for (uint32_t i = 0; i < store->n_caches; i++) {
		store->caches[i].sweep_requested = true;
		store->caches[i].sweep_fresh = false;
		wv_job_start_next_call(store, &store->caches[i], now);
	}
	wv_job_flush(store);
}

void
wv_job_store_tick(struct wv_job_store *store, wv_msec now)
{
	/* Rotates the first bucket, so that none uses up the write credit. */
	store->first_cache = (store->first_cache + 1) % store->n_caches;
	for (uint32_t i = 0; i < store->n_caches; i++)
		wv_job_start_next_call(store,
		    &store->caches[(store->first_cache + i) % store->n_caches],
		    now);
	wv_job_flush(store);
}

wv_msec
wv_job_store_next_tick(const struct wv_job_store *store)
{
	wv_msec next = WV_MSEC_NEVER;

	for (uint32_t i = 0; i < store->n_caches; i++) {
		const struct cache *cache = &store->caches[i];

		if (cache->jobs->len == 0 && cache->key_ops->len == 0 &&
		    !cache->sweep_requested)
			continue;
		next = MIN(next, cache->next_deadline);
		if (cache->call == CALL_NONE && wv_job_has_work(cache))
			next = MIN(next, cache->next_call_at);
	}
	return next;
}

size_t
wv_job_store_pending(const struct wv_job_store *store)
{
	return g_hash_table_size(store->jobs);
}
