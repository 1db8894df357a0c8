/**
 * @file
 * Changes of a bucket's content: claims, outcomes, resolutions, sweeps.
 *
 * The cached content is changed in place and then written. If the write does
 * not succeed, the content is discarded and read again.
 */
#include "src/job_private.h"

static const struct wv_string no_result = {"", 0};

/* Returns whether a record holds the claim of this process for a job. */
static bool
holds_token(const struct wv_job_store *store, const struct job *job,
    const struct wv_job_record *record)
{
	return record != NULL && record->token == job->token &&
	    record->incarnation == store->self.incarnation &&
	    wv_string_equal(record->vm, store->self.name);
}

static wv_msec
unix_time(const struct wv_job_store *store, wv_msec now)
{
	return store->unix_offset + now;
}

/*
 * Returns whether a job's key is too old for a claim: its retention has passed,
 * or records of its customer with the same or a later creation time were
 * already removed.
 */
static bool
is_key_expired(const struct wv_job_store *store, const struct cache *cache,
    const struct job *job, wv_msec now)
{
	return (double)job->expires * 1000 < unix_time(store, now) ||
	    job->key_seconds <
	    wv_job_bucket_watermark(cache->content, job->customer);
}

/*
 * Estimated size of a new record, in bytes. It decides only whether an almost
 * full bucket is read again before a job is refused.
 */
#define RECORD_SIZE_ESTIMATE 1024

/*
 * Returns whether the bucket must be read after the job's submission, because
 * the job would otherwise be refused or answered by content that may be old.
 */
static bool
job_needs_read(const struct wv_job_store *store, const struct cache *cache,
    const struct job *job, wv_msec now)
{
	const struct wv_job_record *record;

	if (job->stage != JOB_WAITING || job->fresh)
		return false;
	record = wv_job_bucket_find(cache->content, job->customer, job->key);
	if (record != NULL)
		return !wv_job_record_is_final(record);
	return is_key_expired(store, cache, job, now) ||
	    wv_job_bucket_size(cache->content) + RECORD_SIZE_ESTIMATE >
	    WV_JOB_BUCKET_MAX_SIZE;
}

bool
wv_job_needs_read(
    const struct wv_job_store *store, const struct cache *cache, wv_msec now)
{
	if (cache->sweep_requested && !cache->sweep_fresh)
		return true;
	for (guint i = 0; i < cache->key_ops->len; i++) {
		const struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (!op->fresh)
			return true;
	}
	for (guint i = 0; i < cache->jobs->len; i++) {
		if (job_needs_read(
			store, cache, g_ptr_array_index(cache->jobs, i), now))
			return true;
	}
	return false;
}

/* Returns whether a VM process may still finish its claims. */
static bool
is_live(const struct wv_job_store *store, struct wv_string name,
    uint64_t incarnation)
{
	if (wv_string_equal(name, store->self.name) &&
	    incarnation == store->self.incarnation)
		return true;
	for (size_t i = 0; i < store->n_live; i++) {
		if (store->live[i].incarnation == incarnation &&
		    wv_string_equal(store->live[i].name, name))
			return true;
	}
	return false;
}

/* Returns the code that answers a request for a record's key. */
static enum wv_code
code_of_record(
    const struct wv_job_store *store, const struct wv_job_record *record)
{
	switch (record->state) {
	case WV_JOB_STATE_DONE:
	case WV_JOB_STATE_RESOLVED_DONE:
		return WV_OK;
	case WV_JOB_STATE_NOT_RUN:
	case WV_JOB_STATE_RESOLVED_NOT_RUN:
		return WV_JOB_NOT_RUN;
	case WV_JOB_STATE_CLAIMED:
		/* Before the first sweep every VM counts as live. */
		if (!store->swept ||
		    is_live(store, record->vm, record->incarnation))
			return WV_JOB_IN_PROGRESS;
		return WV_JOB_UNKNOWN;
	case WV_JOB_STATE_UNRESOLVED:
		break;
	}
	return WV_JOB_UNKNOWN;
}

static const char *
message_of_record(const struct wv_job_record *record)
{
	if (record->result_omitted)
		return "done; its result was not kept";
	return wv_job_state_name(record->state);
}

static void
answer_lookup(
    struct wv_job_store *store, const struct cache *cache, struct key_op *op)
{
	const struct wv_job_record *record =
	    wv_job_bucket_find(cache->content, op->customer, op->key);

	op->finished = true;
	if (record == NULL)
		wv_job_event_answer(store, op->request, WV_JOB_STATE_UNRESOLVED,
		    no_result, WV_JOB_NOT_FOUND, "no record of this key");
	else
		wv_job_event_answer(store, op->request, record->state,
		    record->result, code_of_record(store, record),
		    message_of_record(record));
}

/* A sweep of one bucket. */
struct sweep_pass {
	struct wv_job_store *store;
	wv_msec unix_now;
	bool changed;
};

/*
 * Marks the claim of a VM that is not live as unresolved, once its job cannot
 * start any more: the VM may still be running and send it until send_before.
 */
static void
sweep_record(void *data, struct wv_job_record *record)
{
	struct sweep_pass *sweep = data;

	if (record->state != WV_JOB_STATE_CLAIMED ||
	    is_live(sweep->store, record->vm, record->incarnation) ||
	    sweep->unix_now <= record->send_before + WV_JOB_CLOCK_MARGIN)
		return;
	record->state = WV_JOB_STATE_UNRESOLVED;
	sweep->changed = true;
}

static bool
apply_sweep(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	struct sweep_pass sweep = {store, unix_time(store, now), false};

	if (!cache->sweep_requested)
		return false;
	cache->sweep_requested = false;
	wv_job_bucket_foreach(cache->content, sweep_record, &sweep);
	return sweep.changed;
}

/*
 * Records a job's outcome if the record still holds its claim. Returns whether
 * the content changed, like the other apply functions.
 */
static bool
apply_outcome(struct wv_job_store *store, struct cache *cache, struct job *job)
{
	struct wv_job_record *record =
	    wv_job_bucket_find(cache->content, job->customer, job->key);

	if (!holds_token(store, job, record)) {
		job->stage = JOB_FINISHED;
		return false;
	}
	if (job->outcome == WV_JOB_STATE_UNRESOLVED) {
		record->state = WV_JOB_STATE_UNRESOLVED;
		record->released = true;
	} else {
		wv_job_bucket_finalize(
		    cache->content, record, job->outcome, job->result);
	}
	job->in_write = true;
	return true;
}

static void
answer_key_op(struct wv_job_store *store, struct key_op *op,
    enum wv_job_state state, enum wv_code code, const char *message)
{
	op->finished = true;
	wv_job_event_answer(
	    store, op->request, state, no_result, code, message);
}

/*
 * A key that is resolved as not run can be claimed again. So the first job must
 * have been unable to start when the resolution was requested, and its VM must
 * have given up the claim or no longer be live. The time of the write does not
 * count: the job may run between the request and the write.
 */
static bool
may_resolve(const struct wv_job_store *store,
    const struct wv_job_record *record, const struct key_op *op)
{
	if (record->state != WV_JOB_STATE_UNRESOLVED)
		return false;
	if (op->kind == KEY_OP_RESOLVE_DONE)
		return true;
	if (unix_time(store, op->requested_at) <=
	    record->send_before + WV_JOB_CLOCK_MARGIN)
		return false;
	return record->released ||
	    (store->swept && !is_live(store, record->vm, record->incarnation));
}

/* Returns whether a record already has the state that is requested. */
static bool
is_resolved_as(const struct wv_job_record *record, enum key_op_kind kind)
{
	if (kind == KEY_OP_RESOLVE_DONE)
		return record->state == WV_JOB_STATE_RESOLVED_DONE ||
		    record->state == WV_JOB_STATE_DONE;
	return record->state == WV_JOB_STATE_RESOLVED_NOT_RUN ||
	    record->state == WV_JOB_STATE_NOT_RUN;
}

static bool
apply_resolve(
    struct wv_job_store *store, struct cache *cache, struct key_op *op)
{
	struct wv_job_record *record =
	    wv_job_bucket_find(cache->content, op->customer, op->key);

	if (record == NULL) {
		answer_key_op(store, op, WV_JOB_STATE_UNRESOLVED,
		    WV_JOB_NOT_FOUND, "no record of this key");
	} else if (record->unconfirmed) {
		return false;
	} else if (is_resolved_as(record, op->kind)) {
		answer_key_op(store, op, record->state, WV_OK, "resolved");
	} else if (wv_job_record_is_final(record)) {
		answer_key_op(store, op, record->state, WV_VERSION_CONFLICT,
		    wv_job_state_name(record->state));
	} else if (!may_resolve(store, record, op)) {
		answer_key_op(store, op, record->state, WV_JOB_IN_PROGRESS,
		    "its VM may still run it");
	} else {
		wv_job_bucket_finalize(cache->content, record,
		    op->kind == KEY_OP_RESOLVE_DONE
			? WV_JOB_STATE_RESOLVED_DONE
			: WV_JOB_STATE_RESOLVED_NOT_RUN,
		    no_result);
		record->unconfirmed = true;
		op->in_write = true;
		return true;
	}
	return false;
}

/* Writes a job's claim into a record. */
static bool
write_claim(struct wv_job_store *store, const struct cache *cache,
    struct job *job, struct wv_job_record *record, wv_msec now)
{
	if (job->stage == JOB_WAITING)
		job->token = store->next_token++;
	wv_job_record_claim(record, store->self, job->token);
	memcpy(record->digest, job->digest, sizeof(record->digest));
	record->claimed = unix_time(store, now);
	record->send_before = record->claimed + WV_JOB_CLAIM_MAX_AGE;
	record->expires = job->expires;
	record->unconfirmed = true;
	job->send_before = record->send_before;
	job->was_claiming = job->stage == JOB_CLAIMING;
	job->stage = JOB_CLAIMING;
	job->base_version = cache->version;
	job->in_write = true;
	return true;
}

/* Answers a job that has no claim as not run. */
static void
refuse_job(struct wv_job_store *store, struct job *job, enum wv_code code,
    const char *message)
{
	wv_job_answer(
	    store, job, WV_JOB_STATE_NOT_RUN, no_result, code, message);
	job->stage = JOB_FINISHED;
}

/*
 * Claims a key that has no record. If that is not possible, a job without a
 * claim is refused; for one whose claim may take effect, see apply_claim().
 */
static bool
claim_new(struct wv_job_store *store, struct cache *cache, struct job *job,
    wv_msec now)
{
	struct wv_job_record *record;

	if (is_key_expired(store, cache, job, now)) {
		if (job->stage == JOB_CLAIMING)
			return true;
		refuse_job(store, job, WV_KEY_EXPIRED, "the key is too old");
		return false;
	}
	record = wv_job_bucket_add(cache->content, job->customer, job->key);
	if (record == NULL) {
		if (job->stage == JOB_CLAIMING)
			return true;
		refuse_job(store, job, WV_JOB_STORE_FULL, "the bucket is full");
		return false;
	}
	return write_claim(store, cache, job, record, now);
}

/* Claims a key that has a record, or answers the job from the record. */
static bool
claim_existing(struct wv_job_store *store, struct cache *cache, struct job *job,
    struct wv_job_record *record, wv_msec now)
{
	enum wv_code code = code_of_record(store, record);
	bool same_digest =
	    memcmp(record->digest, job->digest, sizeof(job->digest)) == 0;

	if (record->unconfirmed)
		return job->stage == JOB_CLAIMING;
	if (code == WV_JOB_NOT_RUN && !is_key_expired(store, cache, job, now) &&
	    same_digest)
		return write_claim(store, cache, job, record, now);
	if (job->stage == JOB_CLAIMING)
		return true;
	if (!same_digest) {
		wv_job_answer(store, job, record->state, no_result,
		    WV_KEY_REUSED, "the key stands for another payload");
		job->stage = JOB_FINISHED;
		return false;
	}
	wv_job_answer(store, job, record->state, record->result, code,
	    message_of_record(record));
	job->stage = JOB_FINISHED;
	return false;
}

/*
 * A job in JOB_CLAIMING has an earlier claim write against the cached version
 * that may still take effect. The claim is written again, or the bucket is
 * written without it: any write raises the version, after which the earlier
 * write cannot take effect.
 */
static bool
apply_claim(struct wv_job_store *store, struct cache *cache, struct job *job,
    wv_msec now)
{
	struct wv_job_record *record;

	if (job->answered)
		return true;
	record = wv_job_bucket_find(cache->content, job->customer, job->key);
	if (record == NULL)
		return claim_new(store, cache, job, now);
	return claim_existing(store, cache, job, record, now);
}

static bool
apply_resolutions(struct wv_job_store *store, struct cache *cache)
{
	bool changed = false;

	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (op->kind != KEY_OP_LOOKUP)
			changed |= apply_resolve(store, cache, op);
	}
	return changed;
}

static bool
apply_jobs(struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	bool changed = false;

	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->stage == JOB_RECORDING)
			changed |= apply_outcome(store, cache, job);
	}
	changed |= apply_resolutions(store, cache);
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);

		if (job->stage == JOB_WAITING || job->stage == JOB_CLAIMING)
			changed |= apply_claim(store, cache, job, now);
	}
	return changed;
}

bool
wv_job_apply_changes(
    struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	size_t purged;
	bool changed;

	/* Lookups see the stored content, without this VM's changes. */
	for (guint i = 0; i < cache->key_ops->len; i++) {
		struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		if (op->kind == KEY_OP_LOOKUP)
			answer_lookup(store, cache, op);
	}
	purged = wv_job_bucket_purge(cache->content, unix_time(store, now));
	store->counts.purged += purged;
	changed = apply_sweep(store, cache, now);
	changed |= apply_jobs(store, cache, now);
	return changed || purged > 0;
}

void
wv_job_drop_claim(struct job *job)
{
	job->stage = job->answered ? JOB_FINISHED : JOB_WAITING;
}

void
wv_job_confirm_claim(
    struct wv_job_store *store, struct job *job, wv_msec now, wv_msec began)
{
	if (job->answered || now >= job->deadline) {
		wv_job_answer(store, job, WV_JOB_STATE_NOT_RUN, no_result,
		    WV_EXPIRED_IN_QUEUE, "the deadline passed before a send");
		wv_job_set_outcome(job, WV_JOB_STATE_NOT_RUN, no_result);
		return;
	}
	job->stage = JOB_CLAIMED;
	job->claimed_at = began;
	wv_job_event_claimed(store, job->request);
}

void
wv_job_reconcile_claims(
    struct wv_job_store *store, struct cache *cache, wv_msec now)
{
	for (guint i = 0; i < cache->jobs->len; i++) {
		struct job *job = g_ptr_array_index(cache->jobs, i);
		const struct wv_job_record *record;

		if (job->stage != JOB_CLAIMING)
			continue;
		record =
		    wv_job_bucket_find(cache->content, job->customer, job->key);
		if (holds_token(store, job, record)) {
			job->send_before = record->send_before;
			wv_job_confirm_claim(
			    store, job, now, cache->call_started_at);
		} else if (cache->version > job->base_version) {
			wv_job_drop_claim(job);
		}
	}
}
