/**
 * @file
 * The encoder and parser of the JSON of a job bucket.
 */
#include <string.h>

#include "src/check.h"
#include "src/job_bucket_private.h"

/* By enum wv_job_state. */
static const char *const state_names[] = {"claimed", "done", "not_run",
    "unresolved", "resolved_done", "resolved_not_run"};

static const char *const bucket_fields[] = {"expired_before", "records", NULL};

const char *
wv_job_state_name(enum wv_job_state state)
{
	return state < G_N_ELEMENTS(state_names) ? state_names[state]
						 : "unknown";
}

/*
 * Returns the character that follows the backslash in a JSON string, 'u' for
 * \u00XX, or '\0' if c needs no escape.
 */
static char
escape_character(unsigned char c)
{
	switch (c) {
	case '"':
	case '\\':
		return (char)c;
	case '\n':
		return 'n';
	case '\r':
		return 'r';
	case '\t':
		return 't';
	default:
		return c < 0x20 || c == 0x7f ? 'u' : '\0';
	}
}

size_t
wv_job_escaped_length(struct wv_string text)
{
	size_t length = text.length;

	for (size_t i = 0; i < text.length; i++) {
		char escape = escape_character((unsigned char)text.data[i]);

		if (escape != '\0')
			length += escape == 'u' ? 5 : 1;
	}
	return length;
}

static void
append_escaped(GString *out, struct wv_string text)
{
	for (size_t i = 0; i < text.length; i++) {
		unsigned char c = (unsigned char)text.data[i];
		char escape = escape_character(c);

		if (escape == '\0')
			g_string_append_c(out, (char)c);
		else if (escape == 'u')
			g_string_append_printf(out, "\\u%04x", c);
		else
			g_string_append_printf(out, "\\%c", escape);
	}
}

/* Appends a member whose value has no characters that need escapes. */
static void
append_plain(GString *out, const char *field, struct wv_string text)
{
	g_string_append_printf(out, "\"%s\":\"", field);
	g_string_append_len(out, text.data, (gssize)text.length);
	g_string_append(out, "\",");
}

static void
append_claim(GString *out, const struct wv_job_record *record)
{
	append_plain(out, "vm", record->vm);
	g_string_append_printf(out,
	    "\"incarnation\":%" G_GUINT64_FORMAT ",\"token\":%" G_GUINT64_FORMAT
	    ",\"claimed_ms\":%.0f,"
	    "\"send_before_ms\":%.0f,\"released\":%s,",
	    record->incarnation, record->token, record->claimed,
	    record->send_before, record->released ? "true" : "false");
}

static void
append_record(GString *out, const struct wv_job_record *record)
{
	g_string_append_c(out, '{');
	append_plain(out, "customer", record->customer);
	append_plain(out, "key", record->key);
	append_plain(out, "digest", wv_string_borrow(record->digest));
	append_plain(
	    out, "state", wv_string_borrow(wv_job_state_name(record->state)));
	if (!wv_job_record_is_final(record))
		append_claim(out, record);
	if (record->result.length > 0) {
		g_string_append(out, "\"result\":\"");
		append_escaped(out, record->result);
		g_string_append(out, "\",");
	}
	if (record->result_omitted)
		g_string_append(out, "\"result_omitted\":true,");
	g_string_append_printf(
	    out, "\"expires_s\":%" G_GUINT64_FORMAT "}", record->expires);
}

struct wv_string
wv_job_bucket_encode(const struct wv_job_bucket *bucket)
{
	GString *out = g_string_sized_new(bucket->size);
	struct wv_string value;
	GHashTableIter iter;
	void *name, *item;
	bool first = true;

	g_string_append(out, "{\"expired_before\":{");
	g_hash_table_iter_init(&iter, bucket->watermarks);
	while (g_hash_table_iter_next(&iter, &name, &item)) {
		g_string_append_printf(out, "%s\"%s\":%" G_GUINT64_FORMAT,
		    first ? "" : ",", (char *)name, *(uint64_t *)item);
		first = false;
	}
	g_string_append(out, "},\"records\":[");
	first = true;
	g_hash_table_iter_init(&iter, bucket->records);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		if (!first)
			g_string_append_c(out, ',');
		append_record(out, item);
		first = false;
	}
	g_string_append(out, "]}");
	value.length = out->len;
	value.data = g_string_free(out, FALSE);
	return value;
}

/* Returns a string member, or "" if there is none. */
static struct wv_string
read_string(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return wv_string_borrow("");
	return wv_string_borrow(json_node_get_string(node));
}

static bool
read_flag(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
	    json_node_get_boolean(node);
}

static void
read_state(
    struct wv_check *check, JsonObject *object, struct wv_job_record *record)
{
	struct wv_string name = read_string(object, "state");

	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (wv_string_equal(name, wv_string_borrow(state_names[i]))) {
			record->state = (enum wv_job_state)i;
			return;
		}
	}
	wv_check_add_fault(check, "state", "unknown state");
}

static void
read_claim(
    struct wv_check *check, JsonObject *object, struct wv_job_record *record)
{
	struct wv_vm_id vm;

	vm.name = wv_check_get_name(check, object, "vm");
	vm.incarnation =
	    wv_check_get_integer(check, object, "incarnation", 0, G_MAXINT64);
	wv_string_clear(&record->vm);
	record->vm = wv_string_copy(vm.name);
	record->incarnation = vm.incarnation;
	record->token =
	    wv_check_get_integer(check, object, "token", 1, G_MAXINT64);
	record->claimed =
	    wv_check_get_number(check, object, "claimed_ms", 0, 1e15);
	record->send_before =
	    wv_check_get_number(check, object, "send_before_ms", 0, 1e15);
	record->released = read_flag(object, "released");
}

/* The encoder writes digests without escapes, so other text is rejected. */
static bool
is_digest(struct wv_string text)
{
	if (text.length != WV_JOB_DIGEST_LENGTH)
		return false;
	for (size_t i = 0; i < text.length; i++) {
		if (!g_ascii_isxdigit(text.data[i]))
			return false;
	}
	return true;
}

static void
read_fields(
    struct wv_check *check, JsonObject *object, struct wv_job_record *record)
{
	struct wv_string digest = read_string(object, "digest");
	struct wv_string result = read_string(object, "result");

	if (is_digest(digest))
		memcpy(record->digest, digest.data, digest.length);
	else
		wv_check_add_fault(check, "digest", "not a digest");
	read_state(check, object, record);
	if (!wv_job_record_is_final(record))
		read_claim(check, object, record);
	record->result_omitted = read_flag(object, "result_omitted");
	/* An escaped lone surrogate is not UTF-8, so could not be encoded. */
	if (!g_utf8_validate_len(result.data, result.length, NULL)) {
		result = wv_string_borrow("");
		record->result_omitted = true;
	}
	wv_string_clear(&record->result);
	record->result = wv_string_copy(result);
	record->expires =
	    wv_check_get_integer(check, object, "expires_s", 0, G_MAXINT64);
}

static void
read_record(
    struct wv_check *check, JsonObject *object, struct wv_job_bucket *bucket)
{
	struct wv_string customer =
	    wv_check_get_name(check, object, "customer");
	struct wv_string key = read_string(object, "key");
	struct wv_job_record *record;
	uint64_t seconds;

	if (!wv_job_key_parse(key, &seconds)) {
		wv_check_add_fault(check, "key", "not a key");
		return;
	}
	if (wv_job_bucket_find(bucket, customer, key) != NULL) {
		wv_check_add_fault(check, "key", "stands twice");
		return;
	}
	record = wv_job_bucket_insert(bucket, customer, key);
	bucket->size -= wv_job_record_size(record);
	read_fields(check, object, record);
	bucket->size += wv_job_record_size(record);
}

static void
read_records(
    struct wv_check *check, JsonObject *root, struct wv_job_bucket *bucket)
{
	JsonNode *node = json_object_get_member(root, "records");
	JsonArray *array;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
		wv_check_add_fault(check, "records", "not an array");
		return;
	}
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);

		if (JSON_NODE_HOLDS_OBJECT(item))
			read_record(check, json_node_get_object(item), bucket);
		else
			wv_check_add_fault(check, "records", "not an object");
	}
}

static void
read_watermarks(
    struct wv_check *check, JsonObject *root, struct wv_job_bucket *bucket)
{
	JsonObject *watermarks =
	    wv_check_enter_object(check, root, "expired_before");
	GList *names;

	if (watermarks == NULL)
		return;
	names = json_object_get_members(watermarks);
	for (GList *item = names; item != NULL; item = item->next) {
		struct wv_string name = wv_string_borrow(item->data);

		if (!wv_is_valid_name(name)) {
			wv_check_add_fault(check, item->data, "not a customer");
			continue;
		}
		wv_job_bucket_raise_watermark(bucket, name,
		    wv_check_get_integer(
			check, watermarks, item->data, 0, G_MAXINT64));
	}
	g_list_free(names);
	wv_check_leave_object(check);
}

struct wv_job_bucket *
wv_job_bucket_parse(struct wv_string json, struct wv_status *status)
{
	struct wv_job_bucket *bucket = wv_job_bucket_create();
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct wv_check check;
	JsonNode *root;

	wv_check_begin(&check, faults);
	/* Only the encoder above writes buckets, without duplicate members. */
	check.report_duplicates = false;
	root = wv_check_parse(&check, json);
	if (root != NULL) {
		JsonObject *object = json_node_get_object(root);

		wv_check_unknown_members(&check, object, bucket_fields);
		read_watermarks(&check, object, bucket);
		read_records(&check, object, bucket);
		json_node_unref(root);
	}
	wv_check_end(&check);
	wv_status_clear(status);
	if (faults->len > 0) {
		wv_status_set(status, WV_INTERNAL, "job bucket unreadable: %s",
		    (char *)g_ptr_array_index(faults, 0));
		wv_job_bucket_destroy(bucket);
		bucket = NULL;
	}
	g_ptr_array_free(faults, TRUE);
	return bucket;
}
