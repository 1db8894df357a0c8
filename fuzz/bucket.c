/**
 * @file
 * Fuzz target: the stored JSON of job buckets. Encoding an accepted bucket and
 * parsing it again must not change its number of records or its size.
 */
#include "fuzz/fuzz.h"
#include "src/job_bucket.h"

static bool
run(struct wv_string input)
{
	struct wv_status status;
	struct wv_job_bucket *bucket = wv_job_bucket_parse(input, &status);
	struct wv_job_bucket *copy;
	struct wv_string value;

	if (bucket == NULL) {
		g_assert_cmpint(status.code, ==, WV_INTERNAL);
		return false;
	}
	value = wv_job_bucket_encode(bucket);
	g_assert_cmpuint(value.length, <=, wv_job_bucket_size(bucket));
	copy = wv_job_bucket_parse(value, &status);
	if (copy == NULL)
		g_error("%s: %s", status.message, value.data);
	g_assert_cmpuint(
	    wv_job_bucket_count(copy), ==, wv_job_bucket_count(bucket));
	g_assert_cmpuint(
	    wv_job_bucket_size(copy), ==, wv_job_bucket_size(bucket));
	wv_job_bucket_purge(copy, 1e16);
	wv_job_bucket_destroy(copy);
	wv_job_bucket_destroy(bucket);
	wv_string_clear(&value);
	return true;
}

#define DIGEST "0123456789abcdef0123456789abcdef"

static const char *const seeds[] = {
    "{\"expired_before\":{\"kestane\":1699999000},\"records\":["
    "{\"customer\":\"kestane\",\"key\":\"1700000000-a\",\"digest\":\"" DIGEST
    "\",\"state\":\"claimed\",\"vm\":\"vm1\",\"incarnation\":4,\"token\":17,"
    "\"claimed_ms\":1700000000123,\"send_before_ms\":1700000002123,"
    "\"released\":false,\"expires_s\":1700003600},"
    "{\"customer\":\"kestane\",\"key\":\"1700000000-b\",\"digest\":\"" DIGEST
    "\",\"state\":\"done\",\"result\":\"5 \\\"maps\\\"\",\"expires_s\":1}]}",
    "{\"expired_before\":{},\"records\":[]}", NULL};

const struct fuzz_target fuzz_job_bucket = {"bucket", run, seeds};
