/**
 * @file
 * Implementation of counted strings, ranks and attempt identifiers.
 */
#include <string.h>

#include <xxhash.h>

#include "src/private.h"

static const char *const rank_names[WV_RANK_COUNT] = {
    "urgent", "standard", "background"};

struct wv_string
wv_string_borrow(const char *text)
{
	struct wv_string string = {(char *)text, strlen(text)};

	return string;
}

struct wv_string
wv_string_copy(struct wv_string string)
{
	struct wv_string copy = {g_malloc(string.length + 1), string.length};

	if (string.length > 0)
		memcpy(copy.data, string.data, string.length);
	copy.data[string.length] = '\0';
	return copy;
}

void
wv_string_clear(struct wv_string *string)
{
	g_free(string->data);
	string->data = NULL;
	string->length = 0;
}

bool
wv_string_equal(struct wv_string a, struct wv_string b)
{
	if (a.length != b.length)
		return false;
	return a.length == 0 || memcmp(a.data, b.data, a.length) == 0;
}

uint64_t
wv_string_hash(struct wv_string string)
{
	return XXH3_64bits(string.data, string.length);
}

bool
wv_attempt_id_equal(struct wv_attempt_id a, struct wv_attempt_id b)
{
	return a.counter == b.counter && a.incarnation == b.incarnation &&
	    a.vm_hash == b.vm_hash;
}

const char *
wv_rank_name(enum wv_rank rank)
{
	return rank < WV_RANK_COUNT ? rank_names[rank] : "unknown";
}

bool
wv_rank_parse(struct wv_string name, enum wv_rank *rank)
{
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		if (wv_string_equal(name, wv_string_borrow(rank_names[i]))) {
			*rank = i;
			return true;
		}
	}
	return false;
}

guint
wv_string_key_hash(gconstpointer key)
{
	return (guint)wv_string_hash(*(const struct wv_string *)key);
}

gboolean
wv_string_key_equal(gconstpointer a, gconstpointer b)
{
	return wv_string_equal(
	    *(const struct wv_string *)a, *(const struct wv_string *)b);
}

void
wv_string_key_destroy(gpointer key)
{
	wv_string_clear(key);
	g_free(key);
}
