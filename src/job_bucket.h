/**
 * @file
 * The content of one job bucket: job records, and for each customer the time
 * up to which its keys are expired. Stored as JSON.
 */
#ifndef WISTERIAVANE_SRC_JOB_BUCKET_H
#define WISTERIAVANE_SRC_JOB_BUCKET_H

#include "src/private.h"

/** Length of a payload digest, in hexadecimal digits. */
#define WV_JOB_DIGEST_LENGTH 32

/** The record of one job. The strings are owned. */
struct wv_job_record {
	struct wv_string customer;
	struct wv_string key;
	char digest[WV_JOB_DIGEST_LENGTH + 1]; /**< of the payload */
	enum wv_job_state state;
	bool released; /**< the claiming VM will not record an outcome */
	uint64_t token; /**< of the claim, unique per VM; 0 if final */
	struct wv_string vm; /**< claiming VM; empty if final */
	uint64_t incarnation; /**< of the claiming VM; 0 if final */
	wv_msec claimed; /**< Unix time of the claim, ms */
	wv_msec send_before; /**< Unix time in ms after which it cannot start */
	uint64_t expires; /**< Unix time of removal, s */
	struct wv_string result;
	bool result_omitted; /**< too long, not text or no space */
	bool unconfirmed; /**< changed by an unconfirmed write */
};

struct wv_job_bucket;

/** Creates an empty bucket. */
struct wv_job_bucket *wv_job_bucket_create(void);

/** Releases a bucket and its records. NULL is allowed. */
void wv_job_bucket_destroy(struct wv_job_bucket *bucket);

/**
 * Parses the JSON of a bucket.
 *
 * @param status  describes the first fault if there is one
 * @return the bucket, owned by the caller, or NULL if the JSON has any fault
 */
struct wv_job_bucket *wv_job_bucket_parse(
    struct wv_string json, struct wv_status *status);

/** Returns the JSON of a bucket, owned by the caller. */
struct wv_string wv_job_bucket_encode(const struct wv_job_bucket *bucket);

/** Returns the record of a key, owned by the bucket, or NULL. */
struct wv_job_record *wv_job_bucket_find(const struct wv_job_bucket *bucket,
    struct wv_string customer, struct wv_string key);

/**
 * Adds an empty record for a key that has none.
 *
 * @return the record, owned by the bucket, or NULL if the JSON could exceed
 *         WV_JOB_BUCKET_MAX_SIZE
 */
struct wv_job_record *wv_job_bucket_add(struct wv_job_bucket *bucket,
    struct wv_string customer, struct wv_string key);

/** Sets the state of a record to claimed, with the VM and token of the claim.
 */
void wv_job_record_claim(
    struct wv_job_record *record, struct wv_vm_id vm, uint64_t token);

/**
 * Sets the final state and result of a record. Its token and VM are removed,
 * so that no late outcome overrides it. A result that is too long, not UTF-8,
 * or does not fit into the bucket is omitted.
 */
void wv_job_bucket_finalize(struct wv_job_bucket *bucket,
    struct wv_job_record *record, enum wv_job_state state,
    struct wv_string result);

/** Returns whether a record's state is final; a new claim may follow. */
bool wv_job_record_is_final(const struct wv_job_record *record);

/**
 * Returns the Unix time in s before which keys of a customer are expired, by
 * their creation time.
 */
uint64_t wv_job_bucket_watermark(
    const struct wv_job_bucket *bucket, struct wv_string customer);

/**
 * Removes expired records with a final state, and raises their customers'
 * watermarks above their keys. Claimed and unresolved records stay.
 *
 * @return the number of removed records
 */
size_t wv_job_bucket_purge(struct wv_job_bucket *bucket, wv_msec unix_now);

/** Calls visit for each record. */
void wv_job_bucket_foreach(const struct wv_job_bucket *bucket,
    void (*visit)(void *data, struct wv_job_record *record), void *data);

/** Returns the number of records. */
size_t wv_job_bucket_count(const struct wv_job_bucket *bucket);

/** Returns an upper bound of the length of the JSON, in bytes. */
size_t wv_job_bucket_size(const struct wv_job_bucket *bucket);

/** Returns the name of a state in JSON; static. */
const char *wv_job_state_name(enum wv_job_state state);

/**
 * Parses a key of the form SECONDS-REST.
 *
 * @param seconds  receives the creation time, Unix time in s
 * @return false if the key is malformed
 */
bool wv_job_key_parse(struct wv_string key, uint64_t *seconds);

/** Computes the digest of a payload as hexadecimal text. */
void wv_job_digest(
    struct wv_string payload, char digest[WV_JOB_DIGEST_LENGTH + 1]);

#endif
