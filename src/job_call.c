/**
 * @file
 * Calls to the store: one at a time for each bucket, with exponential backoff
 * after failures and a limited rate of writes.
 */
#include <math.h>

#include <xxhash.h>

#include "src/job_private.h"

/* Failed calls in a row, without conflicts, that refuse unclaimed jobs. */
#define MAX_UNANSWERED_CALLS 4
/* Failed calls after which a lookup or resolution is given up. */
#define MAX_KEY_OP_ATTEMPTS 6

/* How long a bucket counts as contended after a conflict. */
#define CONTENDED_MSEC 10000.0
/* Maximum age of a contended bucket's content before a write, in ms. */
#define MAX_CONTENT_AGE 20.0

static const struct wv_string no_result = {"", 0};

/* Returns whether a job of this VM waits for a write. */
static bool
has_unwritten_jobs(const struct cache *cache)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		const struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->stage == JOB_WAITING || job->stage == JOB_CLAIMING ||
		    job->stage == JOB_RECORDING)
			return true;
	}
	return false;
}

bool
wv_job_has_work(const struct cache *cache)
{
	return cache->sweep_requested || cache->key_ops->len > 0 ||
	    has_unwritten_jobs(cache);
}

/* Answers an unsent job whose deadline passed. */
static void
expire_job(
    struct wv_job_store *store, const struct cache *cache, struct job *job)
{
	if (job->stage == JOB_CLAIMING) {
		wv_job_answer(store, job, WV_JOB_STATE_CLAIMED, no_result,
		    WV_OUTCOME_OPEN, "the store has not settled the claim");
		return;
	}
	if (cache->unanswered_calls > 0)
		wv_job_answer(store, job, WV_JOB_STATE_NOT_RUN, no_result,
		    WV_JOB_NOT_RUN, "the job store does not answer");
	else
		wv_job_answer(store, job, WV_JOB_STATE_NOT_RUN, no_result,
		    WV_EXPIRED_IN_QUEUE, "the deadline passed before a send");
	if (job->stage == JOB_CLAIMED)
		wv_job_set_outcome(job, WV_JOB_STATE_NOT_RUN, no_result);
	else
		job->stage = JOB_FINISHED;
}

void
wv_job_expire_jobs(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	if (now < cache->next_deadline)
		return;
	cache->next_deadline = WV_MSEC_NEVER;
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->answered || job->stage == JOB_SENT)
			continue;
		if (now >= job->deadline)
			expire_job(store, cache, job);
		else
			cache->next_deadline =
			    MIN(cache->next_deadline, job->deadline);
	}
	wv_job_release_finished(store, cache);
}

/*
 * Adds the write credit earned since the last call. Returns whether a write may
 * be issued now, and in *when the time from which it may.
 */
static bool
has_credit(struct wv_job_store *store, wv_msec now, wv_msec *when)
{
	double earned =
	    (now - store->credit_updated_at) * store->write_rate / 1000;

	store->write_credit =
	    MIN(store->write_credit + earned, WV_JOB_WRITE_BURST);
	store->credit_updated_at = now;
	*when = now + (1 - store->write_credit) * 1000 / store->write_rate;
	/* Without the tolerance, rounding could make a tick due again at once.
	 */
	return store->write_credit >= 1 - 1e-6;
}

static void
start_read(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	for (guint i = 0; i < cache->jobs->len; i++)
		((struct job *)g_ptr_array_index(cache->jobs, i))->in_read =
		    true;
	for (guint i = 0; i < cache->key_ops->len; i++)
		((struct key_op *)g_ptr_array_index(cache->key_ops, i))
		    ->in_read = true;
	cache->sweep_in_read = cache->sweep_requested;
	cache->call = CALL_READ;
	cache->call_started_at = now;
	wv_job_event_read(store, cache->number);
}

static void
start_write(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	store->write_credit -= 1;
	cache->call = CALL_WRITE;
	cache->call_started_at = now;
	wv_job_event_write(store, cache->number,
	    wv_job_bucket_encode(cache->content), cache->version);
}

void
wv_job_start_next_call(
    struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	wv_msec when;
	bool contended;

	wv_job_expire_jobs(store, cache, now);
	if (cache->call != CALL_NONE || now < cache->next_call_at ||
	    !wv_job_has_work(cache))
		return;
	contended = now < cache->contended_until && has_unwritten_jobs(cache);
	/*
	 * A contended bucket is also written by other VMs. It is read shortly
	 * before each write, and only if it can be written at once: while the
	 * write waited for credit, another VM would change the bucket again.
	 */
	if (contended && !has_credit(store, now, &when)) {
		cache->next_call_at = when;
		return;
	}
	if (cache->content == NULL || wv_job_needs_read(store, cache, now) ||
	    (contended && now - cache->content_current_at > MAX_CONTENT_AGE)) {
		start_read(store, cache, now);
		return;
	}
	if (!has_credit(store, now, &when)) {
		cache->next_call_at = when;
		return;
	}
	if (wv_job_apply_changes(store, cache, now))
		start_write(store, cache, now);
	else
		cache->failures = 0;
	wv_job_release_finished(store, cache);
}

/*
 * Returns the delay before the next call: exponential in the failures, with
 * jitter that reduces it by up to half.
 */
static wv_msec
retry_delay(const struct wv_job_store *store, const struct cache *cache)
{
	uint64_t seed = wv_string_hash(store->self.name) ^ store->counts.reads ^
	    (store->counts.writes << 20);
	uint64_t hash =
	    XXH3_64bits_withSeed(&seed, sizeof(seed), cache->number);
	wv_msec delay =
	    WV_JOB_RETRY_FIRST * exp2(MIN(cache->failures, 16U) - 1.0);

	delay = MIN(delay, WV_JOB_RETRY_MAX);
	return delay * (0.5 + 0.5 * (double)(hash >> 11) * 0x1p-53);
}

/* Refuses the jobs without a claim. */
static void
refuse_waiting(struct wv_job_store *store, struct cache *cache)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->stage != JOB_WAITING)
			continue;
		wv_job_answer(store, job, WV_JOB_STATE_NOT_RUN, no_result,
		    WV_JOB_NOT_RUN, "the job store does not answer");
		job->stage = JOB_FINISHED;
	}
}

/*
 * After a failed call, answers the lookups and resolutions that do not wait for
 * another one. After a conflict all wait, otherwise those whose write may have
 * taken effect, up to MAX_KEY_OP_ATTEMPTS calls.
 */
static void
retry_key_ops(struct wv_job_store *store, struct cache *cache, bool conflict)
{
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);
		bool wait = op->outcome_unknown || conflict;

		op->fresh = false;
		op->in_read = false;
		op->in_write = false;
		if (wait && ++op->attempts < MAX_KEY_OP_ATTEMPTS)
			continue;
		op->finished = true;
		wv_job_event_answer(store, op->request, WV_JOB_STATE_UNRESOLVED,
		    no_result,
		    op->outcome_unknown ? WV_OUTCOME_OPEN
					: WV_STORE_UNAVAILABLE,
		    "the job store does not answer");
	}
}

/* Discards the content after a failed call and schedules the next one. */
static void
handle_failed_call(struct wv_job_store *store, struct cache *cache, wv_msec now,
    enum wv_store_outcome outcome)
{
	bool conflict = outcome == WV_STORE_CONFLICT;

	cache->call = CALL_NONE;
	wv_job_bucket_destroy(cache->content);
	cache->content = NULL;
	cache->sweep_in_read = false;
	cache->failures++;
	if (conflict)
		cache->contended_until = now + CONTENDED_MSEC;
	cache->unanswered_calls = conflict ? 0 : cache->unanswered_calls + 1;
	store->counts.conflicts += conflict ? 1 : 0;
	store->counts.lost += outcome == WV_STORE_NO_ANSWER ? 1 : 0;
	store->counts.refused_calls += outcome == WV_STORE_REFUSED ? 1 : 0;
	/* After a first conflict no delay is needed: the store answers. */
	if (conflict && cache->failures == 1)
		cache->next_call_at = now;
	else
		cache->next_call_at = now + retry_delay(store, cache);
	retry_key_ops(store, cache, conflict);
	if (cache->unanswered_calls >= MAX_UNANSWERED_CALLS)
		refuse_waiting(store, cache);
	wv_job_release_finished(store, cache);
}

/* Replaces the content by a value just read. Returns false if unusable. */
static bool
replace_content(struct wv_job_store *store, struct cache *cache,
    enum wv_store_outcome outcome, struct wv_string value, uint64_t version)
{
	struct wv_job_bucket *content;
	struct wv_status status;

	if (outcome == WV_STORE_NOT_FOUND)
		version = 0;
	else if (outcome != WV_STORE_OK)
		return false;
	if (version < cache->max_version) {
		store->counts.stale_reads++;
		return false;
	}
	content = outcome == WV_STORE_NOT_FOUND
	    ? wv_job_bucket_create()
	    : wv_job_bucket_parse(value, &status);
	if (content == NULL) {
		store->counts.unreadable++;
		return false;
	}
	wv_job_bucket_destroy(cache->content);
	cache->content = content;
	cache->version = version;
	cache->max_version = version;
	return true;
}

/* Marks the work that was waiting when the completed read began. */
static void
complete_reads(struct cache *cache)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		job->fresh |= job->in_read;
		job->in_read = false;
	}
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		op->fresh |= op->in_read;
		op->in_read = false;
	}
	cache->sweep_fresh = cache->sweep_in_read;
	cache->sweep_in_read = false;
}

void
wv_job_store_read_done(struct wv_job_store *store, wv_msec now, uint32_t bucket,
    enum wv_store_outcome outcome, struct wv_string value, uint64_t version)
{
	struct cache *cache = &store->caches[bucket];

	if (cache->call != CALL_READ)
		return;
	if (!replace_content(store, cache, outcome, value, version)) {
		handle_failed_call(store, cache, now,
		    outcome == WV_STORE_NO_ANSWER ? WV_STORE_NO_ANSWER
						  : WV_STORE_REFUSED);
	} else {
		cache->call = CALL_NONE;
		cache->unanswered_calls = 0;
		cache->content_current_at = now;
		complete_reads(cache);
		wv_job_reconcile_claims(store, cache, now);
		wv_job_release_finished(store, cache);
	}
	wv_job_start_next_call(store, cache, now);
	wv_job_flush(store);
}

static void
clear_unconfirmed(void *data, struct wv_job_record *record)
{
	(void)data;
	record->unconfirmed = false;
}

/* Handles a successful write: its claims and outcomes have taken effect. */
static void
confirm_write(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->in_write && job->stage == JOB_RECORDING)
			job->stage = JOB_FINISHED;
		else if (job->in_write && job->stage == JOB_CLAIMING)
			wv_job_confirm_claim(
			    store, job, now, cache->call_started_at);
		else if (job->stage == JOB_CLAIMING)
			wv_job_drop_claim(job);
		job->in_write = false;
	}
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (!op->in_write)
			continue;
		op->finished = true;
		wv_job_event_answer(store, op->request,
		    op->kind == KEY_OP_RESOLVE_DONE
			? WV_JOB_STATE_RESOLVED_DONE
			: WV_JOB_STATE_RESOLVED_NOT_RUN,
		    no_result, WV_OK, "resolved");
	}
	wv_job_bucket_foreach(cache->content, clear_unconfirmed, NULL);
}

/*
 * Handles a write that failed or may have taken effect. Only a call that the
 * store did not execute proves that a claim had no effect. A conflict may be
 * the answer to a call that the connection delivered twice, so the claim is
 * reconciled by reading the bucket.
 */
static void
handle_failed_write(struct cache *cache, enum wv_store_outcome outcome)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->in_write && job->stage == JOB_CLAIMING &&
		    outcome == WV_STORE_REFUSED && !job->was_claiming)
			wv_job_drop_claim(job);
		job->in_write = false;
	}
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (op->in_write && outcome == WV_STORE_NO_ANSWER)
			op->outcome_unknown = true;
	}
}

void
wv_job_store_write_done(struct wv_job_store *store, wv_msec now,
    uint32_t bucket, enum wv_store_outcome outcome, uint64_t version)
{
	struct cache *cache = &store->caches[bucket];

	if (cache->call != CALL_WRITE)
		return;
	if (outcome == WV_STORE_NOT_FOUND)
		outcome = WV_STORE_CONFLICT;
	/* The version of a successful write is above the one it replaced. */
	if (outcome == WV_STORE_OK && version <= cache->version)
		outcome = WV_STORE_NO_ANSWER;
	if (outcome == WV_STORE_OK) {
		cache->call = CALL_NONE;
		cache->version = version;
		cache->max_version = version;
		cache->content_current_at = now;
		cache->failures = 0;
		cache->unanswered_calls = 0;
		confirm_write(store, cache, now);
		wv_job_release_finished(store, cache);
	} else {
		handle_failed_write(cache, outcome);
		handle_failed_call(store, cache, now, outcome);
	}
	wv_job_start_next_call(store, cache, now);
	wv_job_flush(store);
}
