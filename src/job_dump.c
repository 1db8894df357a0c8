/**
 * @file
 * The state dump of a job store, as JSON.
 */
#include <string.h>

#include <json-glib/json-glib.h>

#include "src/job_private.h"

/* Names in the dump, by enum job_stage and enum job_call. */
static const char *const stage_names[] = {
    "waiting", "open", "claimed", "sent", "settling", "gone"};
static const char *const call_names[] = {"none", "read", "write"};

static void
set_text(JsonObject *object, const char *name, struct wv_string text)
{
	char *copy = g_strndup(text.data, text.length);

	json_object_set_string_member(object, name, copy);
	g_free(copy);
}

static void
set_count(JsonObject *object, const char *name, uint64_t value)
{
	json_object_set_int_member(object, name, (gint64)value);
}

static JsonObject *
dump_counts(const struct job_counts *counts)
{
	JsonObject *object = json_object_new();

	set_count(object, "submitted", counts->submitted);
	set_count(object, "claimed", counts->claimed);
	set_count(object, "reads", counts->reads);
	set_count(object, "writes", counts->writes);
	set_count(object, "conflicts", counts->conflicts);
	set_count(object, "lost", counts->lost);
	set_count(object, "refused_calls", counts->refused_calls);
	set_count(object, "stale_reads", counts->stale_reads);
	set_count(object, "unreadable", counts->unreadable);
	set_count(object, "bytes_written", counts->bytes_written);
	set_count(object, "purged", counts->purged);
	return object;
}

static void
dump_job(JsonArray *jobs, const struct cache *cache, const struct job *job)
{
	JsonObject *object = json_object_new();

	set_count(object, "request", job->request);
	set_count(object, "bucket", cache->number);
	set_text(object, "customer", job->customer);
	set_text(object, "key", job->key);
	set_text(object, "stage", wv_string_borrow(stage_names[job->stage]));
	set_count(object, "token", job->token);
	set_count(object, "base", job->base_version);
	json_object_set_boolean_member(object, "answered", job->answered);
	json_array_add_object_element(jobs, object);
}

/* Adds a record without a final state, for operators. */
static void
dump_record(void *data, struct wv_job_record *record)
{
	JsonObject *object;

	if (wv_job_record_is_final(record))
		return;
	object = json_object_new();
	set_text(object, "customer", record->customer);
	set_text(object, "key", record->key);
	set_text(object, "state",
	    wv_string_borrow(wv_job_state_name(record->state)));
	set_text(object, "vm", record->vm);
	set_count(object, "incarnation", record->incarnation);
	set_count(object, "token", record->token);
	json_object_set_double_member(object, "claimed_ms", record->claimed);
	json_object_set_double_member(
	    object, "send_before_ms", record->send_before);
	json_object_set_boolean_member(object, "released", record->released);
	json_array_add_object_element(data, object);
}

static void
dump_cache(JsonArray *buckets, const struct cache *cache)
{
	JsonObject *object = json_object_new();

	set_count(object, "bucket", cache->number);
	set_count(object, "version", cache->version);
	set_text(object, "call", wv_string_borrow(call_names[cache->call]));
	set_count(object, "failures", cache->failures);
	if (cache->content != NULL) {
		set_count(
		    object, "records", wv_job_bucket_count(cache->content));
		set_count(
		    object, "size_bound", wv_job_bucket_size(cache->content));
	}
	json_array_add_object_element(buckets, object);
}

struct wv_string
wv_job_store_dump(const struct wv_job_store *store)
{
	JsonObject *root = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	JsonArray *jobs = json_array_new();
	JsonArray *records = json_array_new();
	JsonArray *buckets = json_array_new();
	struct wv_string text;

	for (uint32_t i = 0; i < store->n_caches; i++) {
		const struct cache *cache = &store->caches[i];

		dump_cache(buckets, cache);
		for (guint k = 0; k < cache->jobs->len; k++)
			dump_job(
			    jobs, cache, g_ptr_array_index(cache->jobs, k));
		if (cache->content != NULL)
			wv_job_bucket_foreach(
			    cache->content, dump_record, records);
	}
	json_object_set_object_member(
	    root, "counters", dump_counts(&store->counts));
	json_object_set_array_member(root, "buckets", buckets);
	json_object_set_array_member(root, "jobs", jobs);
	json_object_set_array_member(root, "open_records", records);
	json_node_take_object(node, root);
	text.data = json_to_string(node, FALSE);
	text.length = strlen(text.data);
	json_node_unref(node);
	return text;
}
