/**
 * @file
 * At-most-once execution of jobs. A VM claims a job by a conditional write to
 * the shared store before it sends the job to a searcher, and records the
 * outcome afterwards. Job records are grouped into buckets, each one object of
 * the store.
 *
 * A job store does no I/O: the caller carries out the calls in
 * struct wv_job_ops and passes in their results and the time. Times are
 * monotonic and in ms unless they are called Unix time.
 */
#ifndef WISTERIAVANE_JOB_H
#define WISTERIAVANE_JOB_H

#include "wisteriavane/status.h"

/**
 * Maximum time from the start of the store call that confirms a claim until the
 * job is sent, in ms.
 */
#define WV_JOB_CLAIM_MAX_AGE 2000.0
/** Maximum time by which a key's creation time may lie in the future, in ms. */
#define WV_JOB_KEY_MAX_AHEAD 60000.0
/** Maximum size of an encoded bucket, in bytes; the store accepts 1 MB. */
#define WV_JOB_BUCKET_MAX_SIZE 900000

/** Maximum length of a job key, in bytes. */
#define WV_JOB_KEY_MAX 128
/** Maximum length of a result that a record keeps, in bytes. */
#define WV_JOB_RESULT_MAX 4096
/**
 * Maximum number of unfinished jobs of a job store; more are refused and
 * reported as not run.
 */
#define WV_JOB_MAX_PENDING 16384
/** Default rate of bucket writes of a job store, per second. */
#define WV_JOB_WRITE_RATE 100.0
/** Maximum number of bucket writes issued at once after an idle time. */
#define WV_JOB_WRITE_BURST 20.0
/** Maximum delay before the first retry of a store call, in ms. */
#define WV_JOB_RETRY_FIRST 20.0
/** Maximum delay before any retry of a store call, in ms. */
#define WV_JOB_RETRY_MAX 5000.0
/**
 * Maximum difference between the clocks of a VM and a searcher, in ms. A job
 * counts as unable to start only this long after the time from which the
 * searcher must refuse it.
 */
#define WV_JOB_CLOCK_MARGIN 2000.0

/** States of a job record in the store. */
enum wv_job_state {
	WV_JOB_STATE_CLAIMED, /**< by a VM; may have been sent */
	WV_JOB_STATE_DONE, /**< run; the upstream reported success */
	WV_JOB_STATE_NOT_RUN, /**< proved not run; may be claimed again */
	WV_JOB_STATE_UNRESOLVED, /**< outcome unknown; for an operator */
	WV_JOB_STATE_RESOLVED_DONE, /**< an operator resolved it as done */
	WV_JOB_STATE_RESOLVED_NOT_RUN /**< an operator resolved it as not run */
};

/** The answer to a submission, a lookup or a resolution. */
struct wv_job_result {
	uint64_t request_id; /**< given by the caller */
	struct wv_status status; /**< WV_OK, or a code of 2xx, 4xx, 5xx */
	enum wv_job_state state; /**< state of the job */
	struct wv_string result; /**< upstream's result when done; borrowed */
};

/** A job to be run. The strings are borrowed. */
struct wv_job_request {
	/** Chosen by the caller; unique among its jobs. */
	uint64_t request_id;
	struct wv_string customer;
	struct wv_string key; /**< "SECONDS-REST", with the creation time */
	struct wv_string payload;
	wv_msec retention; /**< job retention of the contract, ms */
	wv_msec deadline; /**< absolute; answered by then unless sent */
};

struct wv_job_sink;

/** Actions that a job store requests from the code that does the I/O. */
struct wv_job_ops {
	/** Starts a read of a bucket; wv_job_store_read_done() completes it. */
	void (*read)(struct wv_job_sink *sink, uint32_t bucket);
	/**
	 * Starts a write of a bucket that takes effect only if the bucket's
	 * version is if_version (0: only if it does not exist).
	 * wv_job_store_write_done() completes it.
	 */
	void (*write)(struct wv_job_sink *sink, uint32_t bucket,
	    struct wv_string value, uint64_t if_version);
	/**
	 * The claim is confirmed: the job may be sent now, once. The receiver
	 * calls wv_job_store_may_send() directly before the first byte.
	 */
	void (*claimed)(struct wv_job_sink *sink, uint64_t request);
	/** Reports the final result of a request. result is borrowed. */
	void (*answer)(
	    struct wv_job_sink *sink, const struct wv_job_result *result);
};

/** Receives the actions; embedded as the first member of a larger struct. */
struct wv_job_sink {
	const struct wv_job_ops *ops;
};

/** Outcome of a call to the store. */
enum wv_store_outcome {
	WV_STORE_OK,
	WV_STORE_NOT_FOUND, /**< the object does not exist */
	WV_STORE_CONFLICT, /**< the object has another version */
	WV_STORE_REFUSED, /**< the store did not execute the call */
	WV_STORE_NO_ANSWER /**< no answer; a write may have taken effect */
};

struct wv_job_store;

/**
 * Creates the job store of one back end with empty caches.
 *
 * @param self       this VM; copied
 * @param n_buckets  number of buckets; the same on all VMs
 * @param sink       receiver of the actions; must outlive the job store
 */
struct wv_job_store *wv_job_store_create(
    struct wv_vm_id self, uint32_t n_buckets, struct wv_job_sink *sink);

/** Releases a job store without reporting further actions. */
void wv_job_store_destroy(struct wv_job_store *store);

/** Sets the maximum rate of bucket writes, per second, above 0. */
void wv_job_store_set_write_rate(struct wv_job_store *store, double rate);

/**
 * Submits a job. It is claimed by the same write as other jobs that wait for
 * its bucket.
 *
 * The job is answered exactly once, at its deadline at the latest unless it
 * was sent: with WV_EXPIRED_IN_QUEUE or WV_JOB_NOT_RUN if it is proved that
 * the job was not sent, with WV_OUTCOME_OPEN if it is not known whether the
 * claim took effect. A claim that proves to be in effect after the answer is
 * recorded as not run.
 */
void wv_job_store_submit(struct wv_job_store *store, wv_msec now,
    wv_msec unix_now, const struct wv_job_request *request);

/**
 * Looks up the state of a key; the answer goes to the sink. It is
 * WV_STORE_UNAVAILABLE if the store does not answer.
 */
void wv_job_store_lookup(struct wv_job_store *store, wv_msec now,
    uint64_t request, struct wv_string customer, struct wv_string key);

/**
 * Completes a read of a bucket.
 *
 * @param value    borrowed; empty unless outcome is WV_STORE_OK
 * @param version  version of the value
 */
void wv_job_store_read_done(struct wv_job_store *store, wv_msec now,
    uint32_t bucket, enum wv_store_outcome outcome, struct wv_string value,
    uint64_t version);

/** Completes a write of a bucket; version is that of the written value. */
void wv_job_store_write_done(struct wv_job_store *store, wv_msec now,
    uint32_t bucket, enum wv_store_outcome outcome, uint64_t version);

/**
 * Returns whether a claimed job may be sent now, and consumes the claim: a
 * second call returns false. Also false if the job's deadline has passed or
 * the claim is older than WV_JOB_CLAIM_MAX_AGE, for instance after a pause of
 * the VM; the job must then not be sent, and it is recorded as not run.
 */
bool wv_job_store_may_send(
    struct wv_job_store *store, wv_msec now, uint64_t request);

/**
 * Returns the Unix time after which the searcher must refuse the job
 * (expires_unix_ms), in ms, or 0 if the request holds no claim.
 */
wv_msec wv_job_store_send_before(
    const struct wv_job_store *store, uint64_t request);

/**
 * Records the outcome that the upstream reported for a claimed job. Ignored if
 * the request holds no claim.
 *
 * @param code    WV_OK when done; WV_JOB_NOT_RUN, or another code for which
 *                wv_code_proves_not_run() holds, when proved not run;
 *                WV_JOB_UNKNOWN otherwise
 * @param result  upstream's result; kept only when done
 */
void wv_job_store_record_outcome(struct wv_job_store *store, wv_msec now,
    uint64_t request, enum wv_code code, struct wv_string result);

/**
 * Resolves an unresolved job as done or not run, for an operator who knows the
 * outcome. The answer goes to the sink: WV_OK; WV_JOB_NOT_FOUND;
 * WV_JOB_IN_PROGRESS while the job may still start or its VM may still record
 * an outcome; WV_VERSION_CONFLICT if the record has another final state;
 * WV_STORE_UNAVAILABLE if nothing was written; WV_OUTCOME_OPEN if it is not
 * known whether the write took effect.
 */
void wv_job_store_resolve(struct wv_job_store *store, wv_msec now,
    uint64_t request, struct wv_string customer, struct wv_string key,
    bool done);

/**
 * Marks claimed records of VMs that are no longer live as unresolved, once
 * their jobs cannot start any more. Reads every bucket.
 *
 * @param live    VMs that may still finish their claims; copied
 * @param n_live  number of entries of live
 */
void wv_job_store_sweep(struct wv_job_store *store, wv_msec now,
    wv_msec unix_now, const struct wv_vm_id *live, size_t n_live);

/** Answers jobs whose deadline passed and issues store calls that are due. */
void wv_job_store_tick(struct wv_job_store *store, wv_msec now);

/** Returns when wv_job_store_tick() is due next, or WV_MSEC_NEVER. */
wv_msec wv_job_store_next_tick(const struct wv_job_store *store);

/** Returns the number of jobs that this VM still has to finish. */
size_t wv_job_store_pending(const struct wv_job_store *store);

/**
 * Returns the state as JSON: counters, buckets, jobs of this VM and known
 * records without a final state. Owned by the caller.
 */
struct wv_string wv_job_store_dump(const struct wv_job_store *store);

/** Returns the number of the bucket that a key belongs to. */
uint32_t wv_job_store_bucket_number(const struct wv_job_store *store,
    struct wv_string customer, struct wv_string key);

#endif
