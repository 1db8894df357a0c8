/**
 * @file
 * Requests and their answers to local callers and forwarding VMs.
 */
#include <string.h>

#include "daemon/daemon.h"
#include "daemon/links.h"
#include "http/json.h"

struct request *
request_create(struct daemon *daemon, enum request_kind kind)
{
	struct request *request = g_new0(struct request, 1);

	request->daemon = daemon;
	request->kind = kind;
	request->arrived = daemon_now(daemon);
	atomic_fetch_add(&daemon->in_progress, 1);
	return request;
}

static void
request_destroy(struct request *request)
{
	atomic_fetch_sub(&request->daemon->in_progress, 1);
	wv_string_clear(&request->customer);
	wv_string_clear(&request->back_end);
	wv_string_clear(&request->text);
	wv_string_clear(&request->key);
	g_free(request);
}

static JsonArray *
hits_to_json(const struct wv_answer *answer)
{
	JsonArray *array = json_array_new();
	JsonObject *object;

	for (size_t i = 0; i < answer->n_hits; i++) {
		object = json_object_new();
		wv_json_set_string(object, "id", answer->hits[i].id);
		json_object_set_double_member(
		    object, "score", answer->hits[i].score);
		wv_json_set_string(object, "text", answer->hits[i].text);
		json_array_add_object_element(array, object);
	}
	return array;
}

static JsonObject *
coverage_to_json(const struct wv_coverage *coverage)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(object, "shards", coverage->shards);
	json_object_set_int_member(
	    object, "shards_total", coverage->shards_total);
	json_object_set_int_member(
	    object, "documents", (gint64)coverage->documents);
	json_object_set_int_member(
	    object, "documents_total", (gint64)coverage->documents_total);
	return object;
}

static JsonObject *
snapshot_to_json(const struct wv_answer *answer)
{
	JsonObject *object = json_object_new();

	json_object_set_int_member(
	    object, "version", (gint64)answer->index_version);
	json_object_set_int_member(object, "map", (gint64)answer->map);
	return object;
}

static void
add_search_members(JsonObject *object, const struct wv_answer *answer)
{
	json_object_set_boolean_member(object, "full", answer->full);
	json_object_set_object_member(
	    object, "coverage", coverage_to_json(&answer->coverage));
	json_object_set_object_member(
	    object, "snapshot", snapshot_to_json(answer));
	json_object_set_array_member(object, "hits", hits_to_json(answer));
	json_object_set_int_member(object, "attempts", answer->attempts);
}

/* Returns the state that a job's caller may rely on. */
static const char *
reported_job_state(
    const struct request *request, const struct request_outcome *outcome)
{
	enum wv_code code = outcome->answer.status.code;

	if (code == WV_OK &&
	    (outcome->state == WV_JOB_STATE_DONE ||
		outcome->state == WV_JOB_STATE_RESOLVED_DONE))
		return "done";
	if (wv_code_proves_not_run(code))
		return "not_run";
	/* Codes 100 to 199 reject an invalid job before it is sent. */
	if (request->kind == REQUEST_JOB && code >= 100 && code < 200)
		return "not_run";
	if (code == WV_OK &&
	    (outcome->state == WV_JOB_STATE_NOT_RUN ||
		outcome->state == WV_JOB_STATE_RESOLVED_NOT_RUN))
		return "not_run";
	return "unknown";
}

static void
add_job_members(JsonObject *object, const struct request *request,
    const struct request_outcome *outcome)
{
	json_object_set_string_member(
	    object, "state", reported_job_state(request, outcome));
	wv_json_set_string(object, "key", request->key);
	wv_json_set_string(object, "result", outcome->result);
}

static void
count_outcome(
    const struct request *request, const struct request_outcome *outcome)
{
	struct stats *stats = &request->daemon->stats;
	const char *state;

	if (wv_code_proves_not_run(outcome->answer.status.code))
		wv_counter_add(&stats->calls_refused, 1);
	if (request->kind == REQUEST_SEARCH &&
	    outcome->answer.status.code == WV_OK) {
		wv_counter_add(&stats->searches_answered, 1);
		if (outcome->answer.full)
			wv_counter_add(&stats->searches_full, 1);
	}
	if (request->kind != REQUEST_JOB)
		return;
	state = reported_job_state(request, outcome);
	if (strcmp(state, "done") == 0)
		wv_counter_add(&stats->jobs_done, 1);
	else if (strcmp(state, "not_run") == 0)
		wv_counter_add(&stats->jobs_not_run, 1);
	else
		wv_counter_add(&stats->jobs_unknown, 1);
}

static void
answer_call(
    const struct request *request, const struct request_outcome *outcome)
{
	JsonObject *object = json_object_new();
	enum wv_code code = outcome->answer.status.code;
	struct wv_string json;

	wv_json_add_status(object, &outcome->answer.status);
	if (request->kind == REQUEST_SEARCH)
		add_search_members(object, &outcome->answer);
	else
		add_job_members(object, request, outcome);
	json_object_set_double_member(object, "elapsed_ms",
	    daemon_now(request->daemon) - request->arrived);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(request->call, wv_http_status_for_code(code), json);
	wv_string_clear(&json);
}

void
request_answer(struct request *request, const struct request_outcome *outcome)
{
	if (request->call != NULL) {
		count_outcome(request, outcome);
		answer_call(request, outcome);
	} else {
		links_answer_forward(request->daemon->links, request, outcome);
	}
	request_destroy(request);
}

void
request_fail_status(struct request *request, const struct wv_status *status)
{
	request_fail(request, status->code, status->message);
}

void
request_fail(struct request *request, enum wv_code code, const char *message)
{
	struct request_outcome outcome = {0};

	wv_status_set(&outcome.answer.status, code, "%s", message);
	outcome.state = WV_JOB_STATE_UNRESOLVED;
	request_answer(request, &outcome);
}
