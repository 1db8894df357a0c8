/**
 * @file
 * HTTP/JSON client for searchers.
 */
#include <inttypes.h>

#include "daemon/control.h"
#include "daemon/upstream.h"
#include "http/json.h"

/** Timeout of cancel and health calls, ms. */
#define SHORT_CALL_TIMEOUT_MS 500.0
/** Buffer size for an attempt's identifier as text, bytes. */
#define ATTEMPT_TEXT_SIZE 64
/** Maximum number of index versions that are read from a reply. */
#define MAX_VERSIONS 64

/* An HTTP call that sends or cancels an attempt. */
struct attempt_call {
	struct upstream *upstream;
	struct wv_attempt_id attempt;
	enum wv_work work;
	struct wv_string service; /* owned */
	struct wv_string searcher; /* owned; its id */
	uint64_t generation;
};

/* An HTTP call for a searcher's health. */
struct health_call {
	struct upstream *upstream;
	struct wv_string searcher; /* owned */
	uint64_t generation;
};

static void
attempt_call_destroy(void *data)
{
	struct attempt_call *call = data;

	wv_string_clear(&call->service);
	wv_string_clear(&call->searcher);
	g_free(call);
}

static void
health_call_destroy(void *data)
{
	struct health_call *call = data;

	wv_string_clear(&call->searcher);
	g_free(call);
}

static void
format_attempt(struct wv_attempt_id attempt, char text[ATTEMPT_TEXT_SIZE])
{
	g_snprintf(text, ATTEMPT_TEXT_SIZE, "%" PRIx64 ".%" PRIx64 ".%" PRIx64,
	    attempt.vm_hash, attempt.incarnation, attempt.counter);
}

static struct wv_string
request_body(const struct wv_shard_request *request, wv_msec expires)
{
	JsonObject *body = json_object_new();
	char attempt[ATTEMPT_TEXT_SIZE];

	format_attempt(request->attempt, attempt);
	json_object_set_string_member(body, "attempt", attempt);
	wv_json_set_string(body, "service", request->service);
	json_object_set_double_member(body, "deadline_ms", request->timeout);
	if (request->work == WV_WORK_JOB) {
		wv_json_set_string(body, "key", request->key);
		wv_json_set_string(body, "payload", request->text);
		json_object_set_int_member(
		    body, "expires_unix_ms", (gint64)expires);
	} else {
		wv_json_set_string(body, "query", request->text);
		json_object_set_int_member(
		    body, "version", (gint64)request->index_version);
		json_object_set_int_member(body, "map", (gint64)request->map);
	}
	return wv_json_serialize_object(body);
}

/* Reads "versions" into an array of MAX_VERSIONS; returns their count. */
static size_t
read_versions(JsonObject *object, uint64_t *versions)
{
	JsonArray *array = wv_json_get_array(object, "versions");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	if (n > MAX_VERSIONS)
		n = MAX_VERSIONS;
	for (guint i = 0; i < n; i++)
		versions[i] = (uint64_t)json_array_get_int_element(array, i);
	return n;
}

/* Reads "hits"; returns false if one is malformed. */
static bool
read_hits(JsonObject *object, GArray *hits)
{
	JsonArray *array = wv_json_get_array(object, "hits");
	guint n = array == NULL ? 0 : json_array_get_length(array);
	struct wv_hit hit;
	JsonNode *node;

	for (guint i = 0; i < n; i++) {
		node = json_array_get_element(array, i);
		if (!JSON_NODE_HOLDS_OBJECT(node))
			return false;
		hit.id = wv_json_get_string(json_node_get_object(node), "id");
		hit.text =
		    wv_json_get_string(json_node_get_object(node), "text");
		hit.score =
		    wv_json_get_number(json_node_get_object(node), "score", 0);
		g_array_append_val(hits, hit);
	}
	return true;
}

/* Returns whether a reply carries the identifier of the call's attempt. */
static bool
is_reply_to(struct attempt_call *call, JsonObject *object)
{
	char attempt[ATTEMPT_TEXT_SIZE];

	format_attempt(call->attempt, attempt);
	return wv_string_equal(
	    wv_json_get_string(object, "attempt"), wv_string_borrow(attempt));
}

static void
read_search_reply(struct attempt_call *call, JsonObject *object,
    struct wv_shard_reply *reply, GArray *hits)
{
	reply->index_version =
	    (uint64_t)wv_json_get_number(object, "version", 0);
	reply->map = (uint64_t)wv_json_get_number(object, "map", 0);
	reply->documents = (uint64_t)wv_json_get_number(object, "documents", 0);
	reply->documents_total =
	    (uint64_t)wv_json_get_number(object, "documents_total", 0);
	reply->partial = wv_json_get_bool(object, "partial", false);
	if (!wv_string_equal(
		wv_json_get_string(object, "service"), call->service) ||
	    !json_object_has_member(object, "hits") || !read_hits(object, hits))
		reply->outcome = WV_REPLY_FAILED;
	reply->hits = (const struct wv_hit *)(void *)hits->data;
	reply->n_hits = hits->len;
}

static void
read_job_reply(JsonObject *object, struct wv_shard_reply *reply, GArray *hits)
{
	struct wv_hit hit = {0};

	if (!json_object_has_member(object, "result")) {
		reply->outcome = WV_REPLY_FAILED;
		return;
	}
	hit.text = wv_json_get_string(object, "result");
	g_array_append_val(hits, hit);
	reply->hits = (const struct wv_hit *)(void *)hits->data;
	reply->n_hits = hits->len;
}

/*
 * Maps an HTTP status to an outcome. The member "started" distinguishes a
 * rejected attempt from one that may have run; without it, it may have.
 */
static enum wv_reply_outcome
outcome_from_status(unsigned int http_status, JsonObject *object)
{
	bool not_started = !wv_json_get_bool(object, "started", true);

	if (http_status == 200)
		return WV_REPLY_ANSWERED;
	if (http_status == 409 && not_started)
		return WV_REPLY_VERSION_GONE;
	if (not_started)
		return WV_REPLY_NOT_STARTED;
	if (http_status == 504 || http_status == 410)
		return WV_REPLY_STOPPED;
	return WV_REPLY_FAILED;
}

static void
read_reply(struct attempt_call *call, const struct wv_http_response *answer,
    JsonObject *object, struct wv_shard_reply *reply, GArray *hits)
{
	struct stats *stats = &call->upstream->daemon->stats;

	if (!is_reply_to(call, object)) {
		wv_counter_add(&stats->upstream_crossed, 1);
		reply->outcome = WV_REPLY_FAILED;
		return;
	}
	reply->outcome = outcome_from_status(answer->http_status, object);
	if (reply->outcome == WV_REPLY_VERSION_GONE)
		reply->map = (uint64_t)wv_json_get_number(object, "map", 0);
	if (reply->outcome != WV_REPLY_ANSWERED)
		return;
	if (call->work == WV_WORK_JOB)
		read_job_reply(object, reply, hits);
	else
		read_search_reply(call, object, reply, hits);
}

/* Maps an HTTP call that ended without an answer to an outcome; counts it. */
static enum wv_reply_outcome
outcome_without_answer(struct daemon *daemon, enum wv_http_outcome outcome)
{
	switch (outcome) {
	case WV_HTTP_NOT_SENT:
		wv_counter_add(&daemon->stats.upstream_not_sent, 1);
		return WV_REPLY_NOT_SENT;
	case WV_HTTP_TIMED_OUT:
		wv_counter_add(&daemon->stats.upstream_timeouts, 1);
		return WV_REPLY_TIMED_OUT;
	default:
		wv_counter_add(&daemon->stats.upstream_broken, 1);
		return WV_REPLY_FAILED;
	}
}

/*
 * Reports a leaving searcher to the control thread, which informs the other
 * VMs: one of them may be the next holder of the lane.
 */
static void
report_leaving(const struct upstream *upstream, struct wv_string searcher,
    uint64_t generation, enum wv_leaving_source source)
{
	control_report_leaving(upstream->daemon->control, upstream->back_end,
	    searcher, generation, source);
}

static void
on_reply(void *data, const struct wv_http_response *answer)
{
	struct attempt_call *call = data;
	struct daemon *daemon = call->upstream->daemon;
	GArray *hits = g_array_new(FALSE, TRUE, sizeof(struct wv_hit));
	struct wv_status status = {WV_OK, ""};
	struct wv_shard_reply reply = {0};
	uint64_t versions[MAX_VERSIONS];
	JsonNode *node = NULL;

	reply.attempt = call->attempt;
	reply.draining = answer->draining;
	if (answer->draining)
		report_leaving(call->upstream, call->searcher, call->generation,
		    WV_LEAVING_HEADER);
	reply.versions = versions;
	if (answer->outcome == WV_HTTP_COMPLETED)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		JsonObject *object = json_node_get_object(node);

		reply.n_versions = read_versions(object, versions);
		read_reply(call, answer, object, &reply, hits);
	} else if (answer->outcome == WV_HTTP_COMPLETED) {
		wv_counter_add(&daemon->stats.upstream_malformed, 1);
		reply.outcome = WV_REPLY_FAILED;
	} else {
		reply.outcome = outcome_without_answer(daemon, answer->outcome);
	}
	wv_executor_reply(call->upstream->executor, daemon_now(daemon), &reply);
	if (node != NULL)
		json_node_unref(node);
	g_array_unref(hits);
	attempt_call_destroy(call);
}

void
upstream_send(struct upstream *upstream, const struct wv_shard_request *request,
    wv_msec expires)
{
	struct attempt_call *call = g_new0(struct attempt_call, 1);
	struct wv_http_request http = {0};

	call->upstream = upstream;
	call->attempt = request->attempt;
	call->work = request->work;
	call->service = wv_string_copy(request->service);
	call->searcher = wv_string_copy(request->info->id);
	call->generation = request->info->generation;
	http.method = "POST";
	http.address = request->info->address;
	http.path = request->work == WV_WORK_JOB ? "/v1/job" : "/v1/search";
	http.body = request_body(request, expires);
	/* The slot counts as taken until the reply, which may come late. */
	http.timeout = request->timeout + UPSTREAM_SLOT_MARGIN_MS;
	http.connect_timeout = request->timeout;
	http.at_most_once = request->work == WV_WORK_JOB;
	http.release = attempt_call_destroy;
	wv_counter_add(&upstream->daemon->stats.attempts_sent, 1);
	wv_http_client_send(upstream->client, &http, on_reply, call);
	wv_string_clear(&http.body);
}

static void
on_cancelled(void *data, const struct wv_http_response *answer)
{
	struct attempt_call *call = data;
	enum wv_cancel_outcome outcome = WV_CANCEL_UNKNOWN;
	struct wv_status status = {WV_OK, ""};
	struct wv_string state;
	JsonNode *node = NULL;

	if (answer->outcome == WV_HTTP_COMPLETED && answer->http_status == 200)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		state = wv_json_get_string(json_node_get_object(node), "state");
		if (wv_string_equal(state, wv_string_borrow("cancelled")) ||
		    wv_string_equal(state, wv_string_borrow("finished")))
			outcome = WV_CANCEL_FREED;
		json_node_unref(node);
	}
	wv_executor_cancelled(call->upstream->executor,
	    daemon_now(call->upstream->daemon), call->attempt, outcome);
	attempt_call_destroy(call);
}

void
upstream_cancel(struct upstream *upstream, struct wv_string address,
    struct wv_attempt_id attempt)
{
	struct attempt_call *call = g_new0(struct attempt_call, 1);
	JsonObject *body = json_object_new();
	struct wv_http_request http = {0};
	char text[ATTEMPT_TEXT_SIZE];

	call->upstream = upstream;
	call->attempt = attempt;
	format_attempt(attempt, text);
	json_object_set_string_member(body, "attempt", text);
	http.method = "POST";
	http.address = address;
	http.path = "/v1/cancel";
	http.release = attempt_call_destroy;
	http.body = wv_json_serialize_object(body);
	http.timeout = SHORT_CALL_TIMEOUT_MS;
	wv_counter_add(&upstream->daemon->stats.cancels_sent, 1);
	wv_http_client_send(upstream->client, &http, on_cancelled, call);
	wv_string_clear(&http.body);
}

static void
apply_health(struct health_call *call, JsonObject *object)
{
	struct wv_executor *executor = call->upstream->executor;
	wv_msec now = daemon_now(call->upstream->daemon);
	uint64_t versions[MAX_VERSIONS];
	size_t n = read_versions(object, versions);

	if (wv_string_equal(wv_json_get_string(object, "state"),
		wv_string_borrow("leaving")))
		report_leaving(call->upstream, call->searcher, call->generation,
		    WV_LEAVING_HEALTH);
	if (n > 0)
		wv_executor_update_versions(executor, now, call->searcher,
		    versions, n,
		    (uint64_t)wv_json_get_number(object, "map", 0));
}

static void
on_health(void *data, const struct wv_http_response *answer)
{
	struct health_call *call = data;
	struct wv_status status = {WV_OK, ""};
	JsonNode *node = NULL;

	if (answer->outcome == WV_HTTP_COMPLETED && answer->http_status == 200)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		apply_health(call, json_node_get_object(node));
		json_node_unref(node);
	}
	health_call_destroy(call);
}

void
upstream_request_health(
    struct upstream *upstream, const struct wv_searcher_info *info)
{
	struct health_call *call = g_new0(struct health_call, 1);
	struct wv_http_request http = {0};

	call->upstream = upstream;
	call->searcher = wv_string_copy(info->id);
	call->generation = info->generation;
	http.method = "GET";
	http.address = info->address;
	http.path = "/v1/health";
	http.release = health_call_destroy;
	http.timeout = SHORT_CALL_TIMEOUT_MS;
	wv_http_client_send(upstream->client, &http, on_health, call);
}
