/**
 * @file
 * Job records and expiry watermarks of one job bucket.
 */
#include <string.h>

#include "src/job_bucket_private.h"

/*
 * Bytes of a record apart from its strings: field names, punctuation and
 * numbers, rounded up. test_job.c compares the bound with encoded sizes. A done
 * record has no claim and can get none.
 */
#define RECORD_FIXED_SIZE 330
#define DONE_RECORD_FIXED_SIZE 150
/* Bytes of one watermark apart from the customer's name. */
#define WATERMARK_FIXED_SIZE 32
/* Bytes of the JSON apart from records and watermarks. */
#define BUCKET_FIXED_SIZE 64

/* Returns the hash table key of a record, owned by the caller. */
static char *
make_record_id(struct wv_string customer, struct wv_string key)
{
	return g_strdup_printf("%.*s/%.*s", (int)customer.length, customer.data,
	    (int)key.length, key.data);
}

static void
destroy_record(void *data)
{
	struct wv_job_record *record = data;

	wv_string_clear(&record->customer);
	wv_string_clear(&record->key);
	wv_string_clear(&record->vm);
	wv_string_clear(&record->result);
	g_free(record);
}

struct wv_job_bucket *
wv_job_bucket_create(void)
{
	struct wv_job_bucket *bucket = g_new0(struct wv_job_bucket, 1);

	bucket->records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, destroy_record);
	bucket->watermarks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	bucket->size = BUCKET_FIXED_SIZE;
	return bucket;
}

void
wv_job_bucket_destroy(struct wv_job_bucket *bucket)
{
	if (bucket == NULL)
		return;
	g_hash_table_destroy(bucket->records);
	g_hash_table_destroy(bucket->watermarks);
	g_free(bucket);
}

struct wv_job_record *
wv_job_bucket_find(const struct wv_job_bucket *bucket,
    struct wv_string customer, struct wv_string key)
{
	char *id = make_record_id(customer, key);
	struct wv_job_record *record = g_hash_table_lookup(bucket->records, id);

	g_free(id);
	return record;
}

/*
 * Returns the size of a record that may have a claim, without its result. The
 * VM's name counts with its maximum length, so that a new claim never makes a
 * bucket larger.
 */
static size_t
size_of_claimed(struct wv_string customer, struct wv_string key)
{
	return RECORD_FIXED_SIZE + customer.length + key.length +
	    WV_JOB_DIGEST_LENGTH + WV_JOB_VM_NAME_MAX;
}

size_t
wv_job_record_size(const struct wv_job_record *record)
{
	size_t result = wv_job_escaped_length(record->result);

	if (record->state == WV_JOB_STATE_DONE ||
	    record->state == WV_JOB_STATE_RESOLVED_DONE)
		return DONE_RECORD_FIXED_SIZE + record->customer.length +
		    record->key.length + WV_JOB_DIGEST_LENGTH + result;
	return size_of_claimed(record->customer, record->key) + result;
}

struct wv_job_record *
wv_job_bucket_insert(struct wv_job_bucket *bucket, struct wv_string customer,
    struct wv_string key)
{
	struct wv_job_record *record = g_new0(struct wv_job_record, 1);

	record->customer = wv_string_copy(customer);
	record->key = wv_string_copy(key);
	record->vm = wv_string_copy(wv_string_borrow(""));
	record->result = wv_string_copy(wv_string_borrow(""));
	bucket->size += wv_job_record_size(record);
	g_hash_table_replace(
	    bucket->records, make_record_id(customer, key), record);
	return record;
}

struct wv_job_record *
wv_job_bucket_add(struct wv_job_bucket *bucket, struct wv_string customer,
    struct wv_string key)
{
	if (bucket->size + size_of_claimed(customer, key) >
	    WV_JOB_BUCKET_MAX_SIZE)
		return NULL;
	return wv_job_bucket_insert(bucket, customer, key);
}

void
wv_job_record_claim(
    struct wv_job_record *record, struct wv_vm_id vm, uint64_t token)
{
	wv_string_clear(&record->vm);
	record->vm = wv_string_copy(vm.name);
	record->incarnation = vm.incarnation;
	record->token = token;
	record->state = WV_JOB_STATE_CLAIMED;
	record->released = false;
}

static bool
result_fits(const struct wv_job_bucket *bucket, struct wv_string result)
{
	return result.length <= WV_JOB_RESULT_MAX &&
	    g_utf8_validate_len(result.data, result.length, NULL) &&
	    bucket->size + wv_job_escaped_length(result) <=
	    WV_JOB_BUCKET_MAX_SIZE;
}

void
wv_job_bucket_finalize(struct wv_job_bucket *bucket,
    struct wv_job_record *record, enum wv_job_state state,
    struct wv_string result)
{
	bool fits = result.length == 0 || result_fits(bucket, result);

	bucket->size -= wv_job_record_size(record);
	record->state = state;
	record->token = 0;
	record->incarnation = 0;
	record->released = false;
	wv_string_clear(&record->vm);
	record->vm = wv_string_copy(wv_string_borrow(""));
	wv_string_clear(&record->result);
	record->result = wv_string_copy(fits ? result : wv_string_borrow(""));
	record->result_omitted = !fits;
	bucket->size += wv_job_record_size(record);
}

bool
wv_job_record_is_final(const struct wv_job_record *record)
{
	return record->state != WV_JOB_STATE_CLAIMED &&
	    record->state != WV_JOB_STATE_UNRESOLVED;
}

uint64_t
wv_job_bucket_watermark(
    const struct wv_job_bucket *bucket, struct wv_string customer)
{
	char *name = g_strndup(customer.data, customer.length);
	uint64_t *watermark = g_hash_table_lookup(bucket->watermarks, name);

	g_free(name);
	return watermark == NULL ? 0 : *watermark;
}

void
wv_job_bucket_raise_watermark(
    struct wv_job_bucket *bucket, struct wv_string customer, uint64_t seconds)
{
	char *name = g_strndup(customer.data, customer.length);
	uint64_t *watermark = g_hash_table_lookup(bucket->watermarks, name);

	if (watermark == NULL) {
		watermark = g_new0(uint64_t, 1);
		g_hash_table_insert(bucket->watermarks, name, watermark);
		bucket->size += WATERMARK_FIXED_SIZE + customer.length;
	} else {
		g_free(name);
	}
	if (seconds > *watermark)
		*watermark = seconds;
}

size_t
wv_job_bucket_purge(struct wv_job_bucket *bucket, wv_msec unix_now)
{
	GHashTableIter iter;
	void *value;
	size_t removed = 0;

	g_hash_table_iter_init(&iter, bucket->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wv_job_record *record = value;
		uint64_t seconds;

		if (!wv_job_record_is_final(record) ||
		    (double)record->expires * 1000 >= unix_now ||
		    !wv_job_key_parse(record->key, &seconds))
			continue;
		wv_job_bucket_raise_watermark(
		    bucket, record->customer, seconds + 1);
		bucket->size -= wv_job_record_size(record);
		g_hash_table_iter_remove(&iter);
		removed++;
	}
	return removed;
}

void
wv_job_bucket_foreach(const struct wv_job_bucket *bucket,
    void (*visit)(void *data, struct wv_job_record *record), void *data)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, bucket->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(data, value);
}

size_t
wv_job_bucket_count(const struct wv_job_bucket *bucket)
{
	return g_hash_table_size(bucket->records);
}

size_t
wv_job_bucket_size(const struct wv_job_bucket *bucket)
{
	return bucket->size;
}
