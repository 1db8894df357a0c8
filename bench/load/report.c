/**
 * @file
 * Checks the results of the load tool and writes its report.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/load/load.h"

/* Gets a JSON object from a searcher; returns NULL on failure. */
static JsonNode *
fetch(const char *address, const char *path)
{
	struct wv_http_request request = {0};
	struct wv_string body = {NULL, 0};
	struct wv_status status;
	JsonNode *node = NULL;

	wv_status_clear(&status);
	request.method = "GET";
	request.address = wv_string_borrow(address);
	request.path = path;
	request.timeout = LOOKUP_TIMEOUT;
	if (wv_http_client_call(&request, &body, &status) == 200)
		node = wv_json_parse(body, &status);
	wv_string_clear(&body);
	return node;
}

/*
 * Returns the runs of each job key, added up over all searchers. all_reported
 * is set to false if a searcher did not answer or none was named.
 */
static GHashTable *
collect_runs(struct load_run *load, bool *all_reported)
{
	GHashTable *runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	*all_reported = load->searchers->len > 0;
	for (guint i = 0; i < load->searchers->len; i++) {
		JsonNode *node = fetch(load->searchers->pdata[i], "/v1/keys");
		JsonObject *keys;
		GList *names;

		if (node == NULL) {
			*all_reported = false;
			continue;
		}
		keys = json_object_get_object_member(
		    json_node_get_object(node), "keys");
		names = json_object_get_members(keys);
		for (GList *item = names; item != NULL; item = item->next) {
			gint previous = GPOINTER_TO_INT(
			    g_hash_table_lookup(runs, item->data));

			g_hash_table_replace(runs, g_strdup(item->data),
			    GINT_TO_POINTER(previous +
				(gint)json_object_get_int_member(
				    keys, item->data)));
		}
		g_list_free(names);
		json_node_unref(node);
	}
	return runs;
}

/* Counts of jobs: the states reported to callers against the actual runs. */
struct job_check {
	uint64_t done, not_run, unknown;
	uint64_t unknown_ran; /* reported unknown, but ran */
	uint64_t double_runs; /* ran more than once */
	uint64_t lost; /* reported done, but never ran */
	uint64_t ran_as_not_run; /* reported not run, but ran */
	bool all_reported; /* the runs of all searchers are known */
};

static struct job_check
check_jobs(struct load_run *load)
{
	struct job_check check = {0};
	GHashTable *runs = collect_runs(load, &check.all_reported);
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, load->jobs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		gint n = GPOINTER_TO_INT(g_hash_table_lookup(runs, key));
		enum reported_state state = GPOINTER_TO_INT(value);

		check.done += state == JOB_DONE;
		check.not_run += state == JOB_NOT_RUN;
		check.unknown += state == JOB_UNKNOWN;
		check.unknown_ran += state == JOB_UNKNOWN && n > 0;
		check.double_runs += n > 1;
		check.lost += check.all_reported && state == JOB_DONE && n == 0;
		check.ran_as_not_run += state == JOB_NOT_RUN && n > 0;
	}
	g_hash_table_destroy(runs);
	return check;
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

static double
percentile(GArray *sorted, double fraction)
{
	guint index;

	if (sorted->len == 0)
		return 0;
	index = (guint)ceil(fraction * sorted->len);
	return g_array_index(sorted, double, index == 0 ? 0 : index - 1);
}

static JsonObject *
latency_json(GArray *sorted)
{
	JsonObject *json = json_object_new();

	json_object_set_double_member(json, "p50", percentile(sorted, 0.5));
	json_object_set_double_member(json, "p90", percentile(sorted, 0.9));
	json_object_set_double_member(json, "p99", percentile(sorted, 0.99));
	json_object_set_double_member(json, "p999", percentile(sorted, 0.999));
	json_object_set_double_member(json, "max", percentile(sorted, 1));
	return json;
}

static void
set_count(JsonObject *json, const char *name, uint64_t n)
{
	json_object_set_int_member(json, name, (gint64)n);
}

static JsonObject *
codes_json(GHashTable *codes)
{
	JsonObject *json = json_object_new();
	GHashTableIter iter;
	void *name, *count;

	g_hash_table_iter_init(&iter, codes);
	while (g_hash_table_iter_next(&iter, &name, &count))
		set_count(json, name, *(guint64 *)count);
	return json;
}

static JsonObject *
stream_json(const struct stream *stream)
{
	JsonObject *json = json_object_new();

	json_object_set_string_member(json, "customer", stream->customer);
	json_object_set_string_member(json, "back_end", stream->back_end);
	json_object_set_string_member(json, "rank", stream->rank);
	json_object_set_string_member(
	    json, "kind", stream->job ? "job" : "search");
	set_count(json, "offered", stream->offered);
	set_count(json, "answered", stream->latencies->len);
	set_count(json, "ok", stream->ok);
	set_count(json, "full", stream->full);
	set_count(json, "not_run", stream->not_run);
	set_count(json, "cut", stream->broken);
	set_count(json, "timed_out", stream->timed_out);
	set_count(json, "unreachable", stream->unreachable);
	set_count(json, "moved", stream->retries);
	set_count(json, "mixed_snapshots", stream->mixed_snapshots);
	json_object_set_double_member(json, "coverage_mean",
	    stream->coverage_count == 0
		? 0
		: stream->coverage_sum / (double)stream->coverage_count);
	json_object_set_object_member(
	    json, "latency_ms", latency_json(stream->latencies));
	json_object_set_object_member(json, "codes", codes_json(stream->codes));
	return json;
}

static JsonObject *
jobs_json(const struct job_check *check)
{
	JsonObject *json = json_object_new();

	set_count(json, "done", check->done);
	set_count(json, "not_run", check->not_run);
	set_count(json, "unknown", check->unknown);
	set_count(json, "unknown_that_ran", check->unknown_ran);
	set_count(json, "double_runs", check->double_runs);
	set_count(json, "lost", check->lost);
	set_count(json, "ran_but_reported_not_run", check->ran_as_not_run);
	json_object_set_boolean_member(
	    json, "all_searchers_asked", check->all_reported);
	return json;
}

static void
print_stream(const struct stream *stream)
{
	GString *codes = g_string_new(NULL);
	GHashTableIter iter;
	void *name, *count;

	g_hash_table_iter_init(&iter, stream->codes);
	while (g_hash_table_iter_next(&iter, &name, &count))
		g_string_append_printf(codes, " %s %" G_GUINT64_FORMAT,
		    (char *)name, *(guint64 *)count);
	printf("%s %s %s: %" G_GUINT64_FORMAT
	       " offered;%s; cut %" G_GUINT64_FORMAT
	       ", timed out %" G_GUINT64_FORMAT
	       ", unreachable %" G_GUINT64_FORMAT ", mixed %" G_GUINT64_FORMAT
	       "; p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
	    stream->customer, stream->rank, stream->job ? "job" : "search",
	    stream->offered, codes->str, stream->broken, stream->timed_out,
	    stream->unreachable, stream->mixed_snapshots,
	    percentile(stream->latencies, 0.5),
	    percentile(stream->latencies, 0.99),
	    percentile(stream->latencies, 0.999));
	g_string_free(codes, TRUE);
}

static bool
write_report(const char *path, JsonObject *json)
{
	struct wv_string text = wv_json_serialize_object(json);
	GError *error = NULL;
	bool ok = true;

	if (path != NULL &&
	    !g_file_set_contents(
		path, text.data, (gssize)text.length, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		ok = false;
	}
	wv_string_clear(&text);
	return ok;
}

int
report_results(struct load_run *load, const char *path)
{
	struct job_check check = check_jobs(load);
	JsonObject *json = json_object_new();
	JsonArray *streams = json_array_new();
	uint64_t mixed = 0;

	json_object_set_double_member(json, "seconds", load->seconds);
	for (guint i = 0; i < load->streams->len; i++) {
		struct stream *stream = load->streams->pdata[i];

		g_array_sort(stream->latencies, compare_doubles);
		mixed += stream->mixed_snapshots;
		print_stream(stream);
		json_array_add_object_element(streams, stream_json(stream));
	}
	printf("jobs: done %" G_GUINT64_FORMAT ", not run %" G_GUINT64_FORMAT
	       ", unknown %" G_GUINT64_FORMAT " (ran %" G_GUINT64_FORMAT
	       "); double runs %" G_GUINT64_FORMAT ", lost %" G_GUINT64_FORMAT
	       ", ran but reported not run %" G_GUINT64_FORMAT "%s\n",
	    check.done, check.not_run, check.unknown, check.unknown_ran,
	    check.double_runs, check.lost, check.ran_as_not_run,
	    check.all_reported ? "" : " (not all searchers were asked)");
	json_object_set_array_member(json, "streams", streams);
	json_object_set_object_member(json, "jobs", jobs_json(&check));
	if (!write_report(path, json))
		return EXIT_FAILURE;
	return mixed + check.double_runs + check.lost + check.ran_as_not_run > 0
	    ? EXIT_INTEGRITY_FAILURE
	    : EXIT_SUCCESS;
}
