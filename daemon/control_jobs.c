/**
 * @file
 * Lists the jobs in the store for operators.
 */
#include <string.h>

#include "daemon/control_private.h"
#include "http/json.h"

/* An operator's call for a list of jobs. */
struct job_list {
	struct wv_http_call *call;
	struct wv_string state; /* owned; only this state; empty for all */
};

/* Adds the matching records of a bucket, whose key is jobs/BACK_END/BUCKET. */
static void
add_bucket(const struct job_list *list, JsonArray *jobs, JsonObject *object)
{
	struct wv_string key = wv_json_get_string(object, "key");
	JsonNode *value = json_object_get_member(object, "value");
	JsonArray *records = NULL;
	JsonObject *record;
	char **parts = g_strsplit(key.data, "/", 3);
	JsonNode *copy;

	if (value != NULL && JSON_NODE_HOLDS_OBJECT(value))
		records =
		    wv_json_get_array(json_node_get_object(value), "records");
	for (guint i = 0; records != NULL && g_strv_length(parts) == 3 &&
	     i < json_array_get_length(records);
	     i++) {
		record = json_array_get_object_element(records, i);
		if (list->state.length > 0 &&
		    !wv_string_equal(
			wv_json_get_string(record, "state"), list->state))
			continue;
		copy = json_node_copy(json_array_get_element(records, i));
		json_object_set_string_member(
		    json_node_get_object(copy), "back_end", parts[1]);
		json_array_add_element(jobs, copy);
	}
	g_strfreev(parts);
}

static void
on_buckets(void *data, enum wv_store_outcome outcome, JsonArray *objects,
    uint64_t revision)
{
	struct job_list *list = data;
	struct wv_status status = {WV_OK, ""};
	JsonObject *answer = json_object_new();
	JsonArray *jobs = json_array_new();
	struct wv_string json;

	(void)revision;
	if (outcome != WV_STORE_OK)
		wv_status_set(&status, WV_STORE_UNAVAILABLE,
		    "the jobs cannot be read from the store");
	for (guint i = 0;
	     outcome == WV_STORE_OK && i < json_array_get_length(objects); i++)
		add_bucket(
		    list, jobs, json_array_get_object_element(objects, i));
	wv_json_add_status(answer, &status);
	json_object_set_array_member(answer, "jobs", jobs);
	json = wv_json_serialize_object(answer);
	wv_http_call_answer(
	    list->call, wv_http_status_for_code(status.code), json);
	wv_string_clear(&json);
	wv_string_clear(&list->state);
	g_free(list);
}

void
control_list_jobs(
    struct control *control, struct wv_http_call *call, struct wv_string state)
{
	struct job_list *list = g_new0(struct job_list, 1);

	list->call = call;
	list->state = wv_string_copy(state);
	store_list(control->daemon, control->client, STORE_JOBS_PREFIX,
	    on_buckets, list);
}
