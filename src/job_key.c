/**
 * @file
 * Job keys of the form SECONDS-REST, and digests of payloads.
 */
#include <stdio.h>

#include <xxhash.h>

#include "src/job_bucket.h"

/* Maximum number of digits of SECONDS; 11 reach the year 5138. */
#define MAX_SECONDS_DIGITS 11

/* Allows only characters that need no escapes in JSON and in URL paths. */
static bool
is_key_character(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.' ||
	    c == ':';
}

bool
wv_job_key_parse(struct wv_string key, uint64_t *seconds)
{
	size_t i;

	*seconds = 0;
	if (key.length > WV_JOB_KEY_MAX)
		return false;
	for (i = 0; i < key.length && g_ascii_isdigit(key.data[i]); i++) {
		if (i == MAX_SECONDS_DIGITS)
			return false;
		*seconds = *seconds * 10 + (uint64_t)(key.data[i] - '0');
	}
	if (i == 0 || i + 1 >= key.length || key.data[i] != '-')
		return false;
	for (; i < key.length; i++) {
		if (!is_key_character(key.data[i]))
			return false;
	}
	return true;
}

void
wv_job_digest(struct wv_string payload, char digest[WV_JOB_DIGEST_LENGTH + 1])
{
	XXH128_hash_t hash = XXH3_128bits(payload.data, payload.length);

	snprintf(digest, WV_JOB_DIGEST_LENGTH + 1, "%016llx%016llx",
	    (unsigned long long)hash.high64, (unsigned long long)hash.low64);
}
