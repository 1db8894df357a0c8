/**
 * @file
 * Health, load, counters and fault injection of a stand-in searcher.
 */
#include <string.h>

#include "standin/common/searcher_private.h"

/** Index versions held while versions are published at an interval. */
#define VERSIONS_KEPT 2

JsonArray *
searcher_versions(const struct searcher *searcher)
{
	JsonArray *array = json_array_new();

	for (unsigned int i = 0; i < searcher->n_versions; i++)
		json_array_add_int_element(
		    array, (gint64)searcher->versions[i]);
	return array;
}

/* Adds a version and drops the oldest ones until at most keep are held. */
static void
add_version(struct searcher *searcher, uint64_t version, unsigned int keep)
{
	unsigned int drop =
	    searcher->n_versions < keep ? 0 : searcher->n_versions - keep + 1;

	memmove(searcher->versions, searcher->versions + drop,
	    (searcher->n_versions - drop) * sizeof(searcher->versions[0]));
	searcher->n_versions -= drop;
	searcher->versions[searcher->n_versions++] = version;
}

static void
on_version_due(void *data)
{
	struct searcher *searcher = data;
	struct searcher_group *group = searcher->group;

	g_mutex_lock(&group->lock);
	add_version(searcher, searcher->versions[searcher->n_versions - 1] + 1,
	    VERSIONS_KEPT);
	g_mutex_unlock(&group->lock);
	standin_timer_add(group->timer, group->config.version_every_ms,
	    on_version_due, searcher);
}

/*
 * The first interval is up to a quarter longer, at random, so that searchers
 * switch at different times, as in the rollout of a real index.
 */
void
searcher_start_versions(struct searcher *searcher)
{
	struct searcher_group *group = searcher->group;
	double interval = group->config.version_every_ms;

	if (interval <= 0)
		return;
	standin_timer_add(group->timer,
	    interval * (1.0 + g_rand_double(group->random) / 4.0),
	    on_version_due, searcher);
}

static bool
is_cold(const struct searcher *searcher)
{
	return standin_now() - searcher->started_at <
	    searcher->group->config.cold_ms;
}

/*
 * Under the lying_health fault the searcher claims to be live and to hold one
 * version more than it has.
 */
static JsonObject *
health_json(const struct searcher *searcher)
{
	JsonObject *json = json_object_new();
	JsonArray *versions = searcher_versions(searcher);
	const char *state = "live";

	if (searcher->faults.lying_health)
		json_array_add_int_element(versions,
		    (gint64)searcher->versions[searcher->n_versions - 1] + 1);
	else if (searcher->draining)
		state = "leaving";
	else if (is_cold(searcher))
		state = "cold";
	json_object_set_string_member(json, "state", state);
	json_object_set_array_member(json, "versions", versions);
	json_object_set_int_member(json, "map", (gint64)searcher->map);
	return json;
}

/* Adds n to a member, which is 0 if absent. */
static void
add_count(JsonObject *json, const char *name, uint64_t n)
{
	gint64 previous =
	    json_object_get_int_member_with_default(json, name, 0);

	json_object_set_int_member(json, name, previous + (gint64)n);
}

/* Adds the counters of a searcher to an object; max_busy is a maximum. */
static void
add_counts(JsonObject *json, const struct searcher *searcher)
{
	gint64 max_busy =
	    json_object_get_int_member_with_default(json, "max_busy", 0);

	add_count(json, "busy", searcher->busy);
	add_count(json, "slots", searcher->group->config.slots);
	add_count(json, "connections",
	    searcher->server == NULL
		? 0
		: wv_http_server_count_connections(searcher->server));
	json_object_set_int_member(
	    json, "max_busy", MAX(max_busy, (gint64)searcher->max_busy));
	add_count(json, "runs", searcher->started_requests);
	add_count(json, "job_runs", searcher->job_runs);
	add_count(json, "double_runs", searcher->double_runs);
	add_count(json, "shed", searcher->shed);
	add_count(json, "cancelled", searcher->cancelled);
	add_count(json, "refused_snapshot", searcher->refused_snapshot);
	add_count(json, "expired_jobs", searcher->expired_jobs);
	add_count(json, "late_runs", searcher->late_runs);
	add_count(json, "dropped", searcher->dropped);
}

static JsonObject *
load_json(const struct searcher *searcher)
{
	JsonObject *json = json_object_new();

	add_counts(json, searcher);
	if (searcher->faults.lying_health) {
		json_object_set_int_member(json, "busy", 0);
		json_object_set_int_member(json, "connections", 0);
	}
	return json;
}

bool
searcher_handle_status_call(
    struct searcher *searcher, struct wv_http_call *call)
{
	const char *path = wv_http_call_path(call);

	if (!standin_has_method(call, "GET"))
		return false;
	if (strcmp(path, "/v1/health") == 0)
		standin_answer(call, 200, health_json(searcher));
	else if (strcmp(path, "/v1/load") == 0)
		standin_answer(call, 200, load_json(searcher));
	else
		return false;
	return true;
}

/*
 * Answers with the real counters, whatever the faults: of one searcher, or with
 * ?all=1 the totals of the process.
 */
static void
answer_counts(struct searcher *searcher, struct wv_http_call *call)
{
	JsonObject *json = json_object_new();
	GPtrArray *all = searcher->group->searchers;

	if (wv_http_call_query_argument(call, "all") == NULL) {
		add_counts(json, searcher);
	} else {
		for (guint i = 0; i < all->len; i++)
			add_counts(json, all->pdata[i]);
	}
	standin_answer(call, 200, json);
}

/* Answers with the number of runs of each job key in this process. */
static void
answer_keys(struct searcher *searcher, struct wv_http_call *call)
{
	JsonObject *json = json_object_new();
	JsonObject *keys = json_object_new();
	GHashTableIter iter;
	void *key, *n;

	g_hash_table_iter_init(&iter, searcher->group->keys);
	while (g_hash_table_iter_next(&iter, &key, &n))
		json_object_set_int_member(keys, key, GPOINTER_TO_UINT(n));
	json_object_set_object_member(json, "keys", keys);
	standin_answer(call, 200, json);
}

static void
set_drain(struct searcher *searcher, bool drain)
{
	if (drain && !searcher->draining)
		searcher->drain_started_at = standin_now();
	searcher->draining = drain;
}

static void
set_versions(struct searcher *searcher, JsonArray *versions)
{
	guint n = json_array_get_length(versions);

	searcher->n_versions = 0;
	for (guint i = 0; i < n; i++)
		add_version(searcher,
		    (uint64_t)json_array_get_int_element(versions, i),
		    MAX_VERSIONS);
}

/* Sets the state; an absent field leaves its part unchanged. */
static void
set_state(struct searcher *searcher, JsonObject *body)
{
	JsonArray *versions = wv_json_get_array(body, "versions");

	if (versions != NULL && json_array_get_length(versions) > 0)
		set_versions(searcher, versions);
	searcher->map =
	    (uint64_t)wv_json_get_number(body, "map", (double)searcher->map);
	set_drain(
	    searcher, wv_json_get_bool(body, "drain", searcher->draining));
	if (wv_json_get_bool(body, "cold", false))
		searcher->started_at = standin_now();
}

/* Sets all faults; an absent field switches its fault off. */
static void
set_faults(struct searcher *searcher, JsonObject *body)
{
	struct searcher_faults *faults = &searcher->faults;

	faults->slow = wv_json_get_number(body, "slow", 0);
	faults->late = wv_json_get_number(body, "late_ms", 0);
	faults->lost = wv_json_get_bool(body, "lost", false);
	faults->lose_answers = wv_json_get_bool(body, "lose_answers", false);
	faults->frozen = wv_json_get_bool(body, "frozen", false);
	faults->partial = wv_json_get_bool(body, "partial", false);
	faults->truncated = wv_json_get_bool(body, "truncated", false);
	faults->crossed = wv_json_get_bool(body, "crossed", false);
	faults->doubled = wv_json_get_bool(body, "doubled", false);
	faults->lying_health = wv_json_get_bool(body, "lying_health", false);
	faults->shed = wv_json_get_bool(body, "shed", false);
	set_state(searcher, body);
}

static void
handle_faults(struct searcher *searcher, struct wv_http_call *call)
{
	GPtrArray *all = searcher->group->searchers;
	JsonNode *body = standin_parse_body(call);

	if (body == NULL)
		return;
	if (wv_http_call_query_argument(call, "all") == NULL) {
		set_faults(searcher, json_node_get_object(body));
	} else {
		for (guint i = 0; i < all->len; i++)
			set_faults(all->pdata[i], json_node_get_object(body));
	}
	json_node_unref(body);
	standin_answer(call, 200, json_object_new());
}

bool
searcher_handle_control_call(
    struct searcher *searcher, struct wv_http_call *call)
{
	const char *path = wv_http_call_path(call);

	if (standin_has_method(call, "POST") && strcmp(path, "/v1/faults") == 0)
		handle_faults(searcher, call);
	else if (standin_has_method(call, "GET") &&
	    strcmp(path, "/v1/counts") == 0)
		answer_counts(searcher, call);
	else if (standin_has_method(call, "GET") &&
	    strcmp(path, "/v1/keys") == 0)
		answer_keys(searcher, call);
	else
		return false;
	return true;
}
