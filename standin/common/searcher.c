/**
 * @file
 * Request processing of a stand-in searcher: slots, queue, service times,
 * answers and cancels.
 */
#include <math.h>
#include <string.h>

#include "standin/common/searcher_private.h"

/** Interval at which work of a frozen searcher is retried, ms. */
#define FROZEN_RETRY_INTERVAL 20.0
/** Number of completed attempts that a cancel can still find. */
#define MAX_FINISHED 1024
/** Time after the start of a drain from which new work counts as late, ms. */
#define DRAIN_GRACE 2000.0

/* A request that waits for a slot, runs or is about to be answered. */
struct request {
	struct searcher *searcher;
	struct wv_http_call *call; /* NULL once answered */
	char *attempt; /* its JSON text */
	char *service;
	char *text; /* query of a search, or key of a job */
	uint64_t version; /* of the index */
	uint64_t map; /* version of the partition map */
	wv_msec arrived; /* monotonic */
	wv_msec deadline; /* monotonic */
	bool job;
	bool expired; /* the deadline passes before the work is done */
	bool completed; /* the slot has been freed */
};

static void on_request_due(void *data);

static void
request_destroy(struct request *request)
{
	g_free(request->attempt);
	g_free(request->service);
	g_free(request->text);
	g_free(request);
}

/* Draws from the standard normal distribution (Box-Muller transform). */
static double
draw_standard_normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);
	double v = g_rand_double(random);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

/* Returns the slowdown of the warm-up, which falls linearly to 1. */
static double
cold_factor(const struct searcher *searcher)
{
	const struct searcher_config *config = &searcher->group->config;
	double age = standin_now() - searcher->started_at;

	if (age >= config->cold_ms)
		return 1.0;
	return 1.0 +
	    (config->cold_factor - 1.0) * (1.0 - age / config->cold_ms);
}

/* Draws a lognormal service time, scaled by faults and warm-up, ms. */
static double
draw_service_time(struct searcher *searcher)
{
	const struct searcher_config *config = &searcher->group->config;
	double time = config->service_ms *
	    exp(config->sigma * draw_standard_normal(searcher->group->random));

	if (searcher->faults.slow > 0)
		time *= searcher->faults.slow;
	return time * cold_factor(searcher);
}

static void
count_job_run(struct searcher *searcher, const char *key)
{
	GHashTable *keys = searcher->group->keys;
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(keys, key)) + 1;

	g_hash_table_replace(keys, g_strdup(key), GUINT_TO_POINTER(n));
	searcher->job_runs++;
	if (n > 1)
		searcher->double_runs++;
}

/* Logs a request, to explain a test failure. */
static void
log_request(const char *what, const struct request *request, wv_msec now)
{
	g_printerr("  %s %s service %s, %s, arrived %.1f ms ago, "
		   "deadline in %.1f ms\n",
	    what, request->attempt, request->service,
	    request->job ? "job" : "search", now - request->arrived,
	    request->deadline - now);
}

/*
 * Takes a slot and schedules the end of the work. A search ends at its deadline
 * at the latest; a job always runs to its end.
 */
static void
request_start(struct request *request)
{
	struct searcher *searcher = request->searcher;
	wv_msec now = standin_now();
	double time = draw_service_time(searcher);

	searcher->busy++;
	searcher->started_requests++;
	if (searcher->draining &&
	    now > searcher->drain_started_at + DRAIN_GRACE) {
		searcher->late_runs++;
		g_printerr("late run at %.1f, drain began at %.1f\n", now,
		    searcher->drain_started_at);
		log_request("late", request, now);
	}
	if (request->job)
		count_job_run(searcher, request->text);
	else if (now + time > request->deadline) {
		request->expired = true;
		time = MAX(request->deadline - now, 0);
	}
	standin_timer_add(
	    searcher->group->timer, time, on_request_due, request);
}

static JsonObject *
attempt_json(const char *attempt)
{
	JsonObject *json = json_object_new();

	json_object_set_member(
	    json, "attempt", json_from_string(attempt, NULL));
	return json;
}

/* Answers that a request was not started; 409 adds the held snapshot. */
static void
answer_not_started(struct searcher *searcher, struct wv_http_call *call,
    const char *attempt, unsigned int http_status)
{
	JsonObject *json = attempt_json(attempt);

	json_object_set_boolean_member(json, "started", FALSE);
	if (http_status == 409) {
		json_object_set_array_member(
		    json, "versions", searcher_versions(searcher));
		json_object_set_int_member(json, "map", (gint64)searcher->map);
	}
	standin_answer(call, http_status, json);
}

/*
 * Starts waiting requests while slots are free. Those whose deadline has passed
 * are answered with 503 instead.
 */
static void
start_waiting_requests(struct searcher *searcher)
{
	while (searcher->busy < searcher->group->config.slots) {
		struct request *request = g_queue_pop_head(&searcher->waiting);

		if (request == NULL)
			return;
		if (standin_now() < request->deadline) {
			request_start(request);
			continue;
		}
		g_hash_table_remove(searcher->requests, request->attempt);
		answer_not_started(
		    searcher, request->call, request->attempt, 503);
		request_destroy(request);
	}
}

/* Frees the slot and records the attempt for cancels that come later. */
static void
request_complete(struct request *request)
{
	struct searcher *searcher = request->searcher;

	request->completed = true;
	searcher->busy--;
	g_hash_table_remove(searcher->requests, request->attempt);
	g_queue_push_tail(&searcher->finished, g_strdup(request->attempt));
	if (searcher->finished.length > MAX_FINISHED)
		g_free(g_queue_pop_head(&searcher->finished));
	start_waiting_requests(searcher);
}

static JsonArray *
create_hits(const struct request *request)
{
	JsonArray *array = json_array_new();
	unsigned int n = request->searcher->group->config.hits;

	for (unsigned int i = 0; i < n; i++) {
		JsonObject *hit = json_object_new();
		char *id = g_strdup_printf("%s/%u", request->service, i);
		char *text = g_strdup_printf("version %" G_GUINT64_FORMAT
					     " map %" G_GUINT64_FORMAT " %s",
		    request->version, request->map, request->text);

		json_object_set_string_member(hit, "id", id);
		json_object_set_double_member(
		    hit, "score", g_str_hash(id) % 1000 / 1000.0);
		json_object_set_string_member(hit, "text", text);
		json_array_add_object_element(array, hit);
		g_free(id);
		g_free(text);
	}
	return array;
}

static JsonObject *
search_json(const struct request *request, const char *attempt)
{
	const struct searcher *searcher = request->searcher;
	uint64_t documents = searcher->group->config.documents;
	bool partial = searcher->faults.partial;
	JsonObject *json = attempt_json(attempt);

	json_object_set_string_member(json, "service", request->service);
	json_object_set_int_member(json, "version", (gint64)request->version);
	json_object_set_int_member(json, "map", (gint64)request->map);
	json_object_set_int_member(
	    json, "documents", (gint64)(partial ? documents / 2 : documents));
	json_object_set_int_member(json, "documents_total", (gint64)documents);
	json_object_set_array_member(json, "hits", create_hits(request));
	json_object_set_boolean_member(json, "partial", partial);
	json_object_set_array_member(
	    json, "versions", searcher_versions(searcher));
	return json;
}

static JsonObject *
job_json(const struct request *request, const char *attempt)
{
	JsonObject *json = attempt_json(attempt);
	char *result = g_strdup_printf("ran %s", request->text);

	json_object_set_string_member(json, "result", result);
	g_free(result);
	return json;
}

/* Sends a complete answer, with the faults that alter its body. */
static void
send_answer(struct request *request, struct wv_string text)
{
	struct searcher *searcher = request->searcher;
	struct wv_string twice;

	if (searcher->draining)
		wv_http_call_set_header(request->call, "X-Drain", "1");
	if (searcher->faults.truncated) {
		wv_http_call_truncate(
		    request->call, 200, text, text.length / 2);
	} else if (searcher->faults.doubled) {
		twice.data = g_strconcat(text.data, text.data, NULL);
		twice.length = 2 * text.length;
		wv_http_call_answer(request->call, 200, twice);
		wv_string_clear(&twice);
	} else {
		wv_http_call_answer(request->call, 200, text);
	}
}

/* Answers a completed request, subject to faults. */
static void
request_answer(struct request *request)
{
	struct searcher *searcher = request->searcher;
	const char *attempt = request->attempt;
	struct wv_string text;
	JsonObject *json;

	if (searcher->faults.lost || searcher->faults.lose_answers) {
		searcher->dropped++;
		wv_http_call_drop(request->call);
		return;
	}
	if (request->expired) {
		json = attempt_json(attempt);
		json_object_set_boolean_member(json, "started", TRUE);
		standin_answer(request->call, 504, json);
		return;
	}
	if (searcher->faults.crossed && searcher->previous_attempt != NULL)
		attempt = searcher->previous_attempt;
	json = request->job ? job_json(request, attempt)
			    : search_json(request, attempt);
	text = wv_json_serialize_object(json);
	send_answer(request, text);
	wv_string_clear(&text);
}

/*
 * Ends the work of a request: frees the slot, then answers, after the delay of
 * the late fault if it is set. Frees the request, also if it was cancelled.
 */
static void
on_request_due(void *data)
{
	struct request *request = data;
	struct searcher *searcher = request->searcher;
	struct searcher_group *group = searcher->group;

	g_mutex_lock(&group->lock);
	if (request->call != NULL && searcher->faults.frozen) {
		standin_timer_add(group->timer, FROZEN_RETRY_INTERVAL,
		    on_request_due, request);
		request = NULL;
	} else if (request->call != NULL && !request->completed) {
		request_complete(request);
		if (searcher->faults.late > 0) {
			standin_timer_add(group->timer, searcher->faults.late,
			    on_request_due, request);
			request = NULL;
		}
	}
	if (request != NULL && request->call != NULL)
		request_answer(request);
	g_mutex_unlock(&group->lock);
	if (request != NULL)
		request_destroy(request);
}

static bool
has_snapshot(const struct searcher *searcher, const struct request *request)
{
	if (request->map != searcher->map)
		return false;
	for (unsigned int i = 0; i < searcher->n_versions; i++) {
		if (searcher->versions[i] == request->version)
			return true;
	}
	return false;
}

/* Logs all current requests when a new one exceeds the slots. */
static void
log_excess_request(
    const struct searcher *searcher, const struct request *request)
{
	wv_msec now = standin_now();
	GHashTableIter iter;
	void *present;

	g_printerr("searcher %p: more requests than slots at %.1f\n",
	    (const void *)searcher, now);
	log_request("new", request, now);
	g_hash_table_iter_init(&iter, searcher->requests);
	while (g_hash_table_iter_next(&iter, NULL, &present))
		log_request("present", present, now);
}

/* Returns the HTTP status that rejects a request, or 0 to accept it. */
static unsigned int
check_admission(
    struct searcher *searcher, const struct request *request, wv_msec expires)
{
	const struct searcher_config *config = &searcher->group->config;
	unsigned int present = searcher->busy + searcher->waiting.length;

	searcher->max_busy = MAX(searcher->max_busy, present + 1);
	if (present >= config->slots)
		log_excess_request(searcher, request);
	if (!request->job && !has_snapshot(searcher, request)) {
		searcher->refused_snapshot++;
		return 409;
	}
	if (request->job && (wv_msec)g_get_real_time() / 1000.0 > expires) {
		searcher->expired_jobs++;
		return 503;
	}
	if (searcher->faults.shed || present >= config->slots + config->queue) {
		searcher->shed++;
		return 503;
	}
	return 0;
}

static struct request *
request_create(struct searcher *searcher, JsonObject *body, bool job)
{
	struct request *request = g_new0(struct request, 1);

	request->searcher = searcher;
	request->attempt =
	    json_to_string(json_object_get_member(body, "attempt"), FALSE);
	request->service = g_strdup(wv_json_get_string(body, "service").data);
	request->text =
	    g_strdup(wv_json_get_string(body, job ? "key" : "query").data);
	request->version = (uint64_t)wv_json_get_number(body, "version", 0);
	request->map = (uint64_t)wv_json_get_number(body, "map", 0);
	request->arrived = standin_now();
	request->deadline =
	    request->arrived + wv_json_get_number(body, "deadline_ms", 60000);
	request->job = job;
	return request;
}

/* Rejects, queues or starts a valid request. */
static void
admit_request(struct searcher *searcher, struct wv_http_call *call,
    JsonObject *body, bool job)
{
	struct request *request = request_create(searcher, body, job);
	wv_msec expires = wv_json_get_number(body, "expires_unix_ms", 1e300);
	unsigned int http_status = check_admission(searcher, request, expires);

	if (http_status != 0) {
		if (searcher->draining)
			wv_http_call_set_header(call, "X-Drain", "1");
		answer_not_started(
		    searcher, call, request->attempt, http_status);
		request_destroy(request);
		return;
	}
	request->call = call;
	g_hash_table_insert(searcher->requests, request->attempt, request);
	g_queue_push_tail(&searcher->waiting, request);
	start_waiting_requests(searcher);
}

static void
handle_request(struct searcher *searcher, struct wv_http_call *call, bool job)
{
	JsonNode *node = standin_parse_body(call);
	JsonObject *body;
	char *attempt;

	if (node == NULL)
		return;
	body = json_node_get_object(node);
	if (!json_object_has_member(body, "attempt")) {
		standin_fail(call, WV_BAD_REQUEST, "attempt must be given");
	} else {
		attempt = json_to_string(
		    json_object_get_member(body, "attempt"), FALSE);
		admit_request(searcher, call, body, job);
		g_free(searcher->previous_attempt);
		searcher->previous_attempt = searcher->last_attempt_text;
		searcher->last_attempt_text = attempt;
	}
	json_node_unref(node);
}

/* Cancels a request; returns whether its slot or place in the queue is free. */
static bool
cancel_request(struct request *request)
{
	struct searcher *searcher = request->searcher;
	bool waiting = g_queue_remove(&searcher->waiting, request);
	JsonObject *json = attempt_json(request->attempt);

	/* A job that has started runs to its end. */
	if (request->job && !waiting) {
		json_object_unref(json);
		return false;
	}
	json_object_set_boolean_member(json, "started", !waiting);
	json_object_set_boolean_member(json, "cancelled", TRUE);
	standin_answer(request->call, waiting ? 503 : 410, json);
	request->call = NULL;
	searcher->cancelled++;
	if (waiting) {
		g_hash_table_remove(searcher->requests, request->attempt);
		request_destroy(request);
	} else {
		/* on_request_due() frees the request. */
		request_complete(request);
	}
	return true;
}

/* Cancels an attempt; returns the state to report to the caller. */
static const char *
cancel_attempt(struct searcher *searcher, const char *attempt)
{
	struct request *request =
	    g_hash_table_lookup(searcher->requests, attempt);

	if (request != NULL)
		return cancel_request(request) ? "cancelled" : "unknown";
	return g_queue_find_custom(
		   &searcher->finished, attempt, (GCompareFunc)strcmp) != NULL
	    ? "finished"
	    : "unknown";
}

static void
handle_cancel(struct searcher *searcher, struct wv_http_call *call)
{
	JsonNode *node = standin_parse_body(call);
	JsonObject *json;
	char *attempt;

	if (node == NULL)
		return;
	attempt = json_object_has_member(json_node_get_object(node), "attempt")
	    ? json_to_string(
		  json_object_get_member(json_node_get_object(node), "attempt"),
		  FALSE)
	    : g_strdup("");
	json = json_object_new();
	json_object_set_string_member(
	    json, "state", cancel_attempt(searcher, attempt));
	g_free(attempt);
	json_node_unref(node);
	standin_answer(call, 200, json);
}

static void
handle_call(struct searcher *searcher, struct wv_http_call *call)
{
	const char *path = wv_http_call_path(call);
	bool post = standin_has_method(call, "POST");

	if (searcher->faults.lost) {
		searcher->dropped++;
		wv_http_call_drop(call);
	} else if (post && strcmp(path, "/v1/search") == 0) {
		handle_request(searcher, call, false);
	} else if (post && strcmp(path, "/v1/job") == 0) {
		handle_request(searcher, call, true);
	} else if (post && strcmp(path, "/v1/cancel") == 0) {
		handle_cancel(searcher, call);
	} else if (!searcher_handle_status_call(searcher, call)) {
		standin_fail(call, WV_NOT_FOUND, "no such call");
	}
}

/* A call that is deferred while the searcher is frozen. */
struct frozen_call {
	struct searcher *searcher;
	struct wv_http_call *call;
};

static void
on_frozen_call(void *data)
{
	struct frozen_call *frozen = data;
	struct searcher_group *group = frozen->searcher->group;
	bool still;

	g_mutex_lock(&group->lock);
	still = frozen->searcher->faults.frozen;
	if (!still)
		handle_call(frozen->searcher, frozen->call);
	g_mutex_unlock(&group->lock);
	if (still)
		standin_timer_add(group->timer, FROZEN_RETRY_INTERVAL,
		    on_frozen_call, frozen);
	else
		g_free(frozen);
}

static void
defer_frozen_call(struct searcher *searcher, struct wv_http_call *call)
{
	struct frozen_call *frozen = g_new0(struct frozen_call, 1);

	frozen->searcher = searcher;
	frozen->call = call;
	standin_timer_add(searcher->group->timer, FROZEN_RETRY_INTERVAL,
	    on_frozen_call, frozen);
}

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct searcher *searcher = (struct searcher *)handler;
	struct searcher_group *group = searcher->group;

	g_mutex_lock(&group->lock);
	if (searcher_handle_control_call(searcher, call)) {
		/* Fault and counter calls are served under every fault. */
	} else if (searcher->faults.frozen) {
		defer_frozen_call(searcher, call);
	} else {
		handle_call(searcher, call);
	}
	g_mutex_unlock(&group->lock);
}

static const struct wv_http_handler_ops handler_ops = {.handle = on_call};

struct searcher_group *
searcher_group_create(const struct searcher_config *config, uint32_t seed)
{
	struct searcher_group *group = g_new0(struct searcher_group, 1);

	group->config = *config;
	group->timer = standin_timer_create();
	g_mutex_init(&group->lock);
	group->random = g_rand_new_with_seed(seed);
	group->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	group->searchers = g_ptr_array_new();
	return group;
}

struct searcher *
searcher_group_add(struct searcher_group *group)
{
	struct searcher *searcher = g_new0(struct searcher, 1);

	searcher->handler.ops = &handler_ops;
	searcher->group = group;
	searcher->started_at = standin_now();
	searcher->versions[0] = group->config.version;
	searcher->n_versions = 1;
	searcher->map = group->config.map;
	searcher->requests = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&searcher->waiting);
	g_queue_init(&searcher->finished);
	g_mutex_lock(&group->lock);
	g_ptr_array_add(group->searchers, searcher);
	g_mutex_unlock(&group->lock);
	searcher_start_versions(searcher);
	return searcher;
}

struct wv_http_handler *
searcher_handler(struct searcher *searcher)
{
	return &searcher->handler;
}

void
searcher_set_server(struct searcher *searcher, struct wv_http_server *server)
{
	g_mutex_lock(&searcher->group->lock);
	searcher->server = server;
	g_mutex_unlock(&searcher->group->lock);
}
