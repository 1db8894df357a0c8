/**
 * @file
 * Dumps the state of an executor as JSON, for operators and tests.
 */
#include <string.h>

#include <json-glib/json-glib.h>

#include "src/executor_private.h"

static const char *const state_names[] = {"warming", "live", "lost", "leaving"};

static const char *const source_names[] = {
    "vm_list", "store", "health", "header", "refused", "peer"};

static JsonObject *
dump_searcher(const struct searcher *searcher, wv_msec now, wv_msec typical)
{
	JsonObject *object = json_object_new();
	JsonArray *versions = json_array_new();
	enum wv_replica_state state = wv_replica_state(searcher->replica);
	enum wv_leaving_source source;

	json_object_set_string_member(object, "id", searcher->id.data);
	json_object_set_int_member(
	    object, "generation", (gint64)searcher->generation);
	json_object_set_string_member(object, "state", state_names[state]);
	if (wv_replica_leaving_source(searcher->replica, &source))
		json_object_set_string_member(
		    object, "leaving_source", source_names[source]);
	json_object_set_boolean_member(
	    object, "usable", wv_replica_is_usable(searcher->replica, now));
	json_object_set_int_member(object, "slots", searcher->lane_slots);
	json_object_set_int_member(object, "taken", searcher->taken);
	json_object_set_double_member(object, "score_ms",
	    wv_replica_score(searcher->replica, now, typical));
	for (size_t i = 0; i < searcher->n_versions; i++)
		json_array_add_int_element(
		    versions, (gint64)searcher->versions[i]);
	json_object_set_array_member(object, "versions", versions);
	json_object_set_int_member(object, "map", (gint64)searcher->map);
	return object;
}

static JsonObject *
dump_service(const struct service *service, wv_msec now)
{
	JsonObject *object = json_object_new();
	JsonObject *waiting = json_object_new();
	JsonArray *searchers = json_array_new();

	json_object_set_string_member(object, "name", service->name.data);
	json_object_set_int_member(object, "slots", service->capacity);
	json_object_set_int_member(object, "taken", service->taken);
	json_object_set_int_member(object, "lost", (gint64)service->n_lost);
	json_object_set_boolean_member(object, "doubt", service->ignore_health);
	json_object_set_double_member(object, "mean_ms", service->latency.mean);
	json_object_set_double_member(object, "high_ms", service->latency.high);
	for (int i = 0; i < WV_RANK_COUNT; i++)
		json_object_set_int_member(waiting, wv_rank_name(i),
		    (gint64)wv_admission_count_waiting(service->admission, i));
	json_object_set_object_member(object, "waiting", waiting);
	for (size_t i = 0; i < service->n_members; i++)
		json_array_add_object_element(searchers,
		    dump_searcher(
			service->members[i], now, service->latency.mean));
	json_object_set_array_member(object, "searchers", searchers);
	return object;
}

static JsonObject *
dump_query(const struct query *query, wv_msec now)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "id", (gint64)query->id);
	json_object_set_string_member(
	    object, "customer", query->customer->name.data);
	json_object_set_string_member(
	    object, "work", query->work == WV_WORK_JOB ? "job" : "search");
	json_object_set_string_member(
	    object, "rank", wv_rank_name(query->rank));
	json_object_set_double_member(
	    object, "time_left_ms", query->deadline - now);
	json_object_set_int_member(
	    object, "index_version", (gint64)query->snapshot.version);
	json_object_set_int_member(object, "map", (gint64)query->snapshot.map);
	json_object_set_int_member(object, "shards", (gint64)query->n_shards);
	json_object_set_int_member(object, "open", (gint64)query->n_open);
	json_object_set_int_member(object, "attempts", query->attempts);
	return object;
}

static JsonObject *
dump_counters(const struct executor_counters *counters)
{
	const struct {
		const char *name;
		uint64_t value;
	} list[] = {
	    {"requests", counters->requests},
	    {"refused", counters->refused},
	    {"answers", counters->answers},
	    {"answers_full", counters->answers_full},
	    {"abandoned", counters->abandoned},
	    {"attempts", counters->attempts},
	    {"hedges", counters->hedges},
	    {"retries", counters->retries},
	    {"probes", counters->probes},
	    {"restarts", counters->restarts},
	    {"cancels", counters->cancels},
	    {"late_replies", counters->late_replies},
	    {"unknown_replies", counters->unknown_replies},
	    {"snapshot_mismatches", counters->snapshot_mismatches},
	    {"partial_replies", counters->partial_replies},
	    {"failed_replies", counters->failed_replies},
	    {"slots_expired", counters->slots_expired},
	};
	JsonObject *object = json_object_new();

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++)
		json_object_set_int_member(
		    object, list[i].name, (gint64)list[i].value);
	return object;
}

static JsonArray *
dump_customers(const struct wv_executor *executor)
{
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct customer *customer = value;
		JsonObject *object = json_object_new();

		json_object_set_string_member(
		    object, "customer", customer->name.data);
		json_object_set_int_member(object, "contract_version",
		    (gint64)customer->contract_version);
		json_object_set_double_member(
		    object, "hedge_credit", customer->hedges.credit);
		json_object_set_double_member(
		    object, "retry_credit", customer->retries.credit);
		json_array_add_object_element(array, object);
	}
	return array;
}

static JsonArray *
dump_queries(const struct wv_executor *executor, wv_msec now)
{
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_add_object_element(array, dump_query(value, now));
	return array;
}

static JsonArray *
dump_services(const struct wv_executor *executor, wv_msec now)
{
	JsonArray *array = json_array_new();

	for (size_t i = 0; i < executor->topology->n_services; i++)
		json_array_add_object_element(
		    array, dump_service(executor->services[i], now));
	return array;
}

static void
set_msec(JsonObject *object, const char *name, wv_msec value)
{
	/* WV_MSEC_NEVER is left out: JSON readers differ on such numbers. */
	if (value > -WV_MSEC_NEVER && value < WV_MSEC_NEVER)
		json_object_set_double_member(object, name, value);
}

struct wv_string
wv_executor_dump(const struct wv_executor *executor, wv_msec now)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	struct wv_string text;

	json_object_set_string_member(
	    object, "back_end", executor->topology->back_end.data);
	json_object_set_int_member(object, "lane", executor->config.lane);
	json_object_set_int_member(
	    object, "topology_version", (gint64)executor->topology->version);
	json_object_set_boolean_member(
	    object, "has_right", now < executor->lease_until);
	set_msec(object, "right_until", executor->lease_until);
	set_msec(object, "quarantine_until", executor->quarantine_until);
	json_object_set_int_member(
	    object, "index_version", (gint64)executor->snapshot.version);
	json_object_set_int_member(
	    object, "map", (gint64)executor->snapshot.map);
	json_object_set_object_member(
	    object, "counters", dump_counters(&executor->counters));
	json_object_set_array_member(
	    object, "services", dump_services(executor, now));
	json_object_set_array_member(
	    object, "customers", dump_customers(executor));
	json_object_set_array_member(
	    object, "requests", dump_queries(executor, now));
	json_node_take_object(node, object);
	text.data = json_to_string(node, FALSE);
	text.length = strlen(text.data);
	json_node_unref(node);
	return text;
}
