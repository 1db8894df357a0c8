/**
 * @file
 * The representation of a bucket, shared by job_bucket.c and job_bucket_json.c.
 */
#ifndef WISTERIAVANE_SRC_JOB_BUCKET_PRIVATE_H
#define WISTERIAVANE_SRC_JOB_BUCKET_PRIVATE_H

#include "src/job_bucket.h"

/** Maximum length of the name of a claiming VM, in bytes. */
#define WV_JOB_VM_NAME_MAX 64

/** The content of one bucket. */
struct wv_job_bucket {
	GHashTable *records; /**< "CUSTOMER/KEY" to struct wv_job_record */
	GHashTable *watermarks; /**< customer to uint64_t, Unix time in s */
	size_t size; /**< upper bound of the JSON, in bytes */
};

/** Adds an empty record without checking the size; the bucket owns it. */
struct wv_job_record *wv_job_bucket_insert(struct wv_job_bucket *bucket,
    struct wv_string customer, struct wv_string key);

/** Returns an upper bound of a record's JSON, in bytes. */
size_t wv_job_record_size(const struct wv_job_record *record);

/** Raises the watermark of a customer to seconds unless it is higher. */
void wv_job_bucket_raise_watermark(
    struct wv_job_bucket *bucket, struct wv_string customer, uint64_t seconds);

/** Returns the length of a text as a JSON string without quotes, in bytes. */
size_t wv_job_escaped_length(struct wv_string text);

#endif
