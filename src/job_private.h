/**
 * @file
 * The state of a job store, shared by its sources.
 *
 * job.c has the public functions, job_call.c the calls to the store and
 * their retries, job_apply.c the changes to a bucket, job_event.c the queue of
 * actions for the sink, job_dump.c the state dump.
 */
#ifndef WISTERIAVANE_SRC_JOB_PRIVATE_H
#define WISTERIAVANE_SRC_JOB_PRIVATE_H

#include "src/job_bucket.h"

/** Progress of a job of this VM. job_dump.c names the stages in the dump. */
enum job_stage {
	JOB_WAITING, /**< no write with its claim can take effect */
	JOB_CLAIMING, /**< a write with its claim may take effect */
	JOB_CLAIMED, /**< the claim is confirmed; not sent */
	JOB_SENT, /**< allowed to be sent; a second send is refused */
	JOB_RECORDING, /**< its outcome has to be written */
	JOB_FINISHED /**< to be released */
};

/** One job of this VM. The strings are owned. */
struct job {
	uint64_t request;
	struct wv_string customer;
	struct wv_string key;
	char digest[WV_JOB_DIGEST_LENGTH + 1];
	uint64_t key_seconds; /* creation time in the key, Unix time in s */
	uint64_t expires; /* removal of the record, Unix time in s */
	wv_msec deadline;
	uint64_t token; /* identifies the claim among those of this VM */
	enum job_stage stage;
	bool answered;
	bool fresh; /* the bucket was read after the submission */
	bool in_read; /* a read in flight began after the submission */
	bool in_write; /* the write in flight has a change for it */
	bool was_claiming; /* JOB_CLAIMING before the write in flight */
	uint64_t base_version; /* version that its last claim write replaces */
	wv_msec claimed_at; /* start of the call that proves the claim */
	wv_msec send_before; /* Unix time in ms, as in the record */
	enum wv_job_state outcome; /* to be written in JOB_RECORDING */
	struct wv_string result;
};

/** Kinds of operations on a key other than a submission. */
enum key_op_kind { KEY_OP_LOOKUP, KEY_OP_RESOLVE_DONE, KEY_OP_RESOLVE_NOT_RUN };

/** A lookup of a key or an operator's resolution. The strings are owned. */
struct key_op {
	uint64_t request;
	struct wv_string customer;
	struct wv_string key;
	enum key_op_kind kind;
	wv_msec requested_at;
	bool fresh; /* fresh, in_read and in_write: as in struct job */
	bool in_read;
	bool in_write;
	bool outcome_unknown; /* a lost write may have taken effect */
	unsigned attempts; /* failed calls */
	bool finished; /* to be released */
};

/** Kind of the call to the store that is in flight for a bucket. */
enum job_call { CALL_NONE, CALL_READ, CALL_WRITE };

/** This VM's cached copy of a bucket and the work that waits for it. */
struct cache {
	uint32_t number;
	struct wv_job_bucket *content; /* NULL unless known; owned */
	uint64_t version; /* of content; 0 if the bucket does not exist */
	uint64_t max_version; /* highest version that a call returned */
	GPtrArray *jobs; /* of struct job, owned */
	GPtrArray *key_ops; /* of struct key_op, owned */
	bool sweep_requested; /* a sweep of the claims */
	bool sweep_fresh; /* the bucket was read after the request */
	bool sweep_in_read; /* a read in flight began after the request */
	enum job_call call;
	wv_msec call_started_at;
	unsigned failures; /* failed calls in a row, including conflicts */
	unsigned unanswered_calls; /* lost, refused or unusable, in a row */
	wv_msec next_call_at; /* no call starts before this */
	wv_msec content_current_at; /* when the last call succeeded */
	wv_msec contended_until; /* other VMs may write it until then */
	wv_msec next_deadline; /* not after the first deadline of a job */
};

/** Kinds of actions; one for each function of struct wv_job_ops. */
enum event_kind { EVENT_READ, EVENT_WRITE, EVENT_CLAIMED, EVENT_ANSWER };

/** A queued action for the sink. The strings are owned. */
struct event {
	enum event_kind kind;
	uint32_t bucket;
	uint64_t version; /* that a write replaces */
	struct wv_string value; /* to be written */
	struct wv_job_result result;
};

/** Counters of a job store, for the dump. */
struct job_counts {
	uint64_t submitted;
	uint64_t claimed;
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t lost; /* calls without an answer */
	uint64_t refused_calls; /* also reads that could not be used */
	uint64_t stale_reads; /* reads of an older version */
	uint64_t unreadable; /* reads of a value that does not parse */
	uint64_t bytes_written;
	uint64_t purged; /* expired records */
};

/** The job store of one back end. */
struct wv_job_store {
	struct wv_vm_id self; /* name is owned */
	struct wv_job_sink *sink;
	struct cache *caches; /* one for each bucket */
	uint32_t n_caches;
	uint32_t first_cache; /* index of the cache that a tick serves first */
	GHashTable *jobs; /* request id to struct job, owned by caches */
	uint64_t next_token;
	wv_msec unix_offset; /* Unix time minus monotonic time, ms */
	double write_rate; /* per second */
	double write_credit; /* writes that may be issued now */
	wv_msec credit_updated_at;
	struct wv_vm_id *live; /* live VMs of the last sweep; names are owned */
	size_t n_live;
	bool swept; /* a sweep was requested, so live is set */
	GQueue events; /* of struct event, owned */
	bool flushing; /* wv_job_flush() is running */
	struct job_counts counts;
};

/* job_call.c */

/** Answers jobs past their deadline and starts the next call that is due. */
void wv_job_start_next_call(
    struct wv_job_store *store, struct cache *cache, wv_msec now);

/** Answers the unsent jobs of a bucket whose deadline passed. */
void wv_job_expire_jobs(
    struct wv_job_store *store, struct cache *cache, wv_msec now);

/** Returns whether a bucket has work that needs a call to the store. */
bool wv_job_has_work(const struct cache *cache);

/* job_apply.c */

/** Returns whether waiting work needs the bucket to be read again. */
bool wv_job_needs_read(
    const struct wv_job_store *store, const struct cache *cache, wv_msec now);

/** Applies waiting work to the content; returns whether to write it. */
bool wv_job_apply_changes(
    struct wv_job_store *store, struct cache *cache, wv_msec now);

/** Finds out from content that was just read which claims took effect. */
void wv_job_reconcile_claims(
    struct wv_job_store *store, struct cache *cache, wv_msec now);

/**
 * Handles the proof that a job's claim took effect: the job may be sent, or is
 * recorded as not run if it was answered or its deadline passed.
 *
 * @param began  when the call that proves the claim began
 */
void wv_job_confirm_claim(
    struct wv_job_store *store, struct job *job, wv_msec now, wv_msec began);

/** Handles the proof that a job's claim did not and cannot take effect. */
void wv_job_drop_claim(struct job *job);

/* job_event.c */

/** Queues a read. */
void wv_job_event_read(struct wv_job_store *store, uint32_t bucket);

/** Queues a write; takes ownership of value. */
void wv_job_event_write(struct wv_job_store *store, uint32_t bucket,
    struct wv_string value, uint64_t if_version);

/** Queues the report that a claim is confirmed. */
void wv_job_event_claimed(struct wv_job_store *store, uint64_t request);

/** Queues an answer. result and message are copied. */
void wv_job_event_answer(struct wv_job_store *store, uint64_t request,
    enum wv_job_state state, struct wv_string result, enum wv_code code,
    const char *message);

/** Answers a job once; later answers are dropped. */
void wv_job_answer(struct wv_job_store *store, struct job *job,
    enum wv_job_state state, struct wv_string result, enum wv_code code,
    const char *message);

/**
 * Reports the queued actions to the sink, including those that its callbacks
 * cause.
 */
void wv_job_flush(struct wv_job_store *store);

/** Releases the queued actions without reporting them. */
void wv_job_events_clear(struct wv_job_store *store);

/** Sets the outcome that the next write records for a job. */
void wv_job_set_outcome(
    struct job *job, enum wv_job_state outcome, struct wv_string result);

/** Releases the finished jobs and key operations of a bucket. */
void wv_job_release_finished(struct wv_job_store *store, struct cache *cache);

#endif
