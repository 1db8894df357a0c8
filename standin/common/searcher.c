/**
 * @file
 * The work of a stand-in searcher: slots, service times, answers, cancels.
 */
#include <math.h>
#include <string.h>

#include "standin/common/searcher_private.h"

/** Time after which a frozen searcher is looked at again, ms. */
#define FROZEN_STEP 20.0
/** Ended attempts that a cancel still finds. */
#define FINISHED_KEPT 1024
/** Time after the start of a drain at which new work is counted as late, ms. */
#define DRAIN_GRACE 2000.0

/* One request that waits, runs or is about to be answered. */
struct run {
	struct searcher *searcher;
	struct wv_http_call *call; /* NULL once answered */
	char *attempt; /* its JSON text */
	char *service;
	char *text; /* query, or key of a job */
	uint64_t version;
	uint64_t map;
	wv_msec arrived; /* monotonic */
	wv_msec deadline; /* monotonic */
	bool job;
	bool expired; /* the deadline ended the work */
	bool completed; /* the slot is free */
};

static void on_run_due(void *data);

static void
run_destroy(struct run *run)
{
	g_free(run->attempt);
	g_free(run->service);
	g_free(run->text);
	g_free(run);
}

static double
normal(GRand *random)
{
	double u = 1.0 - g_rand_double(random);
	double v = g_rand_double(random);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

/* Returns the factor by which a searcher that just started is slower. */
static double
cold_factor(const struct searcher *searcher)
{
	const struct searcher_config *config = &searcher->fleet->config;
	double age = standin_now() - searcher->started;

	if (age >= config->cold_ms)
		return 1.0;
	return 1.0 +
	    (config->cold_factor - 1.0) * (1.0 - age / config->cold_ms);
}

static double
service_time(struct searcher *searcher)
{
	const struct searcher_config *config = &searcher->fleet->config;
	double time = config->service_ms *
	    exp(config->sigma * normal(searcher->fleet->random));

	if (searcher->faults.slow > 0)
		time *= searcher->faults.slow;
	return time * cold_factor(searcher);
}

static void
count_job(struct searcher *searcher, const char *key)
{
	GHashTable *keys = searcher->fleet->keys;
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(keys, key)) + 1;

	g_hash_table_replace(keys, g_strdup(key), GUINT_TO_POINTER(n));
	searcher->job_runs++;
	if (n > 1)
		searcher->double_runs++;
}

/* Prints one request for whoever reads the log after a test failed. */
static void
print_run(const char *what, const struct run *run, wv_msec now)
{
	g_printerr("  %s %s service %s, %s, arrived %.1f ms ago, "
		   "deadline in %.1f ms\n",
	    what, run->attempt, run->service, run->job ? "job" : "search",
	    now - run->arrived, run->deadline - now);
}

/* Takes a slot and works until the service time or the deadline ends. */
static void
run_begin(struct run *run)
{
	struct searcher *searcher = run->searcher;
	wv_msec now = standin_now();
	double time = service_time(searcher);

	searcher->busy++;
	searcher->started_runs++;
	if (searcher->draining && now > searcher->drain_began + DRAIN_GRACE) {
		searcher->late_runs++;
		g_printerr("late run at %.1f, drain began at %.1f\n", now,
		    searcher->drain_began);
		print_run("late", run, now);
	}
	if (run->job)
		count_job(searcher, run->text);
	else if (now + time > run->deadline) {
		run->expired = true;
		time = MAX(run->deadline - now, 0);
	}
	standin_timer_add(searcher->fleet->timer, time, on_run_due, run);
}

static JsonObject *
attempt_json(const char *attempt)
{
	JsonObject *json = json_object_new();

	json_object_set_member(
	    json, "attempt", json_from_string(attempt, NULL));
	return json;
}

/* Answers that a request did not start. */
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

/* Starts waiting requests while slots are free; those too late do not run. */
static void
start_waiting(struct searcher *searcher)
{
	while (searcher->busy < searcher->fleet->config.slots) {
		struct run *run = g_queue_pop_head(&searcher->waiting);

		if (run == NULL)
			return;
		if (standin_now() < run->deadline) {
			run_begin(run);
			continue;
		}
		g_hash_table_remove(searcher->runs, run->attempt);
		answer_not_started(searcher, run->call, run->attempt, 503);
		run_destroy(run);
	}
}

/* Frees the slot and remembers the attempt for cancels. */
static void
run_complete(struct run *run)
{
	struct searcher *searcher = run->searcher;

	run->completed = true;
	searcher->busy--;
	g_hash_table_remove(searcher->runs, run->attempt);
	g_queue_push_tail(&searcher->finished, g_strdup(run->attempt));
	if (searcher->finished.length > FINISHED_KEPT)
		g_free(g_queue_pop_head(&searcher->finished));
	start_waiting(searcher);
}

static JsonArray *
make_hits(const struct run *run)
{
	JsonArray *array = json_array_new();
	unsigned int n = run->searcher->fleet->config.hits;

	for (unsigned int i = 0; i < n; i++) {
		JsonObject *hit = json_object_new();
		char *id = g_strdup_printf("%s/%u", run->service, i);
		char *text = g_strdup_printf("version %" G_GUINT64_FORMAT
					     " map %" G_GUINT64_FORMAT " %s",
		    run->version, run->map, run->text);

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
search_json(const struct run *run, const char *attempt)
{
	const struct searcher *searcher = run->searcher;
	uint64_t documents = searcher->fleet->config.documents;
	bool partial = searcher->faults.partial;
	JsonObject *json = attempt_json(attempt);

	json_object_set_string_member(json, "service", run->service);
	json_object_set_int_member(json, "version", (gint64)run->version);
	json_object_set_int_member(json, "map", (gint64)run->map);
	json_object_set_int_member(
	    json, "documents", (gint64)(partial ? documents / 2 : documents));
	json_object_set_int_member(json, "documents_total", (gint64)documents);
	json_object_set_array_member(json, "hits", make_hits(run));
	json_object_set_boolean_member(json, "partial", partial);
	json_object_set_array_member(
	    json, "versions", searcher_versions(searcher));
	return json;
}

static JsonObject *
job_json(const struct run *run, const char *attempt)
{
	JsonObject *json = attempt_json(attempt);
	char *result = g_strdup_printf("ran %s", run->text);

	json_object_set_string_member(json, "result", result);
	g_free(result);
	return json;
}

static void
send_text(struct run *run, struct wv_string text)
{
	struct searcher *searcher = run->searcher;
	struct wv_string twice;

	if (searcher->draining)
		wv_http_call_set_header(run->call, "X-Drain", "1");
	if (searcher->faults.truncated) {
		wv_http_call_truncate(run->call, 200, text, text.length / 2);
	} else if (searcher->faults.doubled) {
		twice.data = g_strconcat(text.data, text.data, NULL);
		twice.length = 2 * text.length;
		wv_http_call_answer(run->call, 200, twice);
		wv_string_clear(&twice);
	} else {
		wv_http_call_answer(run->call, 200, text);
	}
}

static void
run_answer(struct run *run)
{
	struct searcher *searcher = run->searcher;
	const char *attempt = run->attempt;
	struct wv_string text;
	JsonObject *json;

	if (searcher->faults.lost || searcher->faults.lose_answers) {
		searcher->dropped++;
		wv_http_call_drop(run->call);
		return;
	}
	if (run->expired) {
		json = attempt_json(attempt);
		json_object_set_boolean_member(json, "started", TRUE);
		standin_answer(run->call, 504, json);
		return;
	}
	if (searcher->faults.crossed && searcher->other_attempt != NULL)
		attempt = searcher->other_attempt;
	json = run->job ? job_json(run, attempt) : search_json(run, attempt);
	text = wv_json_take(json);
	send_text(run, text);
	wv_string_clear(&text);
}

static void
on_run_due(void *data)
{
	struct run *run = data;
	struct searcher *searcher = run->searcher;
	struct fleet *fleet = searcher->fleet;

	g_mutex_lock(&fleet->lock);
	if (run->call != NULL && searcher->faults.frozen) {
		standin_timer_add(fleet->timer, FROZEN_STEP, on_run_due, run);
		run = NULL;
	} else if (run->call != NULL && !run->completed) {
		run_complete(run);
		if (searcher->faults.late > 0) {
			standin_timer_add(fleet->timer, searcher->faults.late,
			    on_run_due, run);
			run = NULL;
		}
	}
	if (run != NULL && run->call != NULL)
		run_answer(run);
	g_mutex_unlock(&fleet->lock);
	if (run != NULL)
		run_destroy(run);
}

static bool
holds_snapshot(const struct searcher *searcher, const struct run *run)
{
	if (run->map != searcher->map)
		return false;
	for (unsigned int i = 0; i < searcher->n_versions; i++) {
		if (searcher->versions[i] == run->version)
			return true;
	}
	return false;
}

/* Tells which requests are present when one more exceeds the slots. */
static void
report_excess(const struct searcher *searcher, const struct run *run)
{
	wv_msec now = standin_now();
	GHashTableIter iter;
	void *present;

	g_printerr("searcher %p: more requests than slots at %.1f\n",
	    (const void *)searcher, now);
	print_run("new", run, now);
	g_hash_table_iter_init(&iter, searcher->runs);
	while (g_hash_table_iter_next(&iter, NULL, &present))
		print_run("present", present, now);
}

/* Returns 0, or the HTTP status that refuses a request before it starts. */
static unsigned int
check_start(struct searcher *searcher, const struct run *run, wv_msec expires)
{
	const struct searcher_config *config = &searcher->fleet->config;
	unsigned int present = searcher->busy + searcher->waiting.length;

	searcher->max_busy = MAX(searcher->max_busy, present + 1);
	if (present >= config->slots)
		report_excess(searcher, run);
	if (!run->job && !holds_snapshot(searcher, run)) {
		searcher->refused_snapshot++;
		return 409;
	}
	if (run->job && (wv_msec)g_get_real_time() / 1000.0 > expires) {
		searcher->expired_jobs++;
		return 503;
	}
	if (searcher->faults.shed || present >= config->slots + config->queue) {
		searcher->shed++;
		return 503;
	}
	return 0;
}

static struct run *
run_create(struct searcher *searcher, JsonObject *body, bool job)
{
	struct run *run = g_new0(struct run, 1);

	run->searcher = searcher;
	run->attempt =
	    json_to_string(json_object_get_member(body, "attempt"), FALSE);
	run->service = g_strdup(wv_json_string(body, "service").data);
	run->text = g_strdup(wv_json_string(body, job ? "key" : "query").data);
	run->version = (uint64_t)wv_json_number(body, "version", 0);
	run->map = (uint64_t)wv_json_number(body, "map", 0);
	run->arrived = standin_now();
	run->deadline =
	    run->arrived + wv_json_number(body, "deadline_ms", 60000);
	run->job = job;
	return run;
}

/* Takes a valid request: refuses it, lets it wait or starts it. */
static void
take_request(struct searcher *searcher, struct wv_http_call *call,
    JsonObject *body, bool job)
{
	struct run *run = run_create(searcher, body, job);
	wv_msec expires = wv_json_number(body, "expires_unix_ms", 1e300);
	unsigned int http_status = check_start(searcher, run, expires);

	if (http_status != 0) {
		if (searcher->draining)
			wv_http_call_set_header(call, "X-Drain", "1");
		answer_not_started(searcher, call, run->attempt, http_status);
		run_destroy(run);
		return;
	}
	run->call = call;
	g_hash_table_insert(searcher->runs, run->attempt, run);
	g_queue_push_tail(&searcher->waiting, run);
	start_waiting(searcher);
}

static void
handle_request(struct searcher *searcher, struct wv_http_call *call, bool job)
{
	JsonNode *node = standin_body(call);
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
		take_request(searcher, call, body, job);
		g_free(searcher->other_attempt);
		searcher->other_attempt = searcher->last_attempt;
		searcher->last_attempt = attempt;
	}
	json_node_unref(node);
}

/* Stops a run; returns whether its slot or its place in the queue is free. */
static bool
cancel_run(struct run *run)
{
	struct searcher *searcher = run->searcher;
	bool waiting = g_queue_remove(&searcher->waiting, run);
	JsonObject *json = attempt_json(run->attempt);

	/* A job that has started runs to its end. */
	if (run->job && !waiting) {
		json_object_unref(json);
		return false;
	}
	json_object_set_boolean_member(json, "started", !waiting);
	json_object_set_boolean_member(json, "cancelled", TRUE);
	standin_answer(run->call, waiting ? 503 : 410, json);
	run->call = NULL;
	searcher->cancelled++;
	if (waiting) {
		g_hash_table_remove(searcher->runs, run->attempt);
		run_destroy(run);
	} else {
		/* The timer releases the run. */
		run_complete(run);
	}
	return true;
}

static const char *
cancel_attempt(struct searcher *searcher, const char *attempt)
{
	struct run *run = g_hash_table_lookup(searcher->runs, attempt);

	if (run != NULL)
		return cancel_run(run) ? "cancelled" : "unknown";
	return g_queue_find_custom(
		   &searcher->finished, attempt, (GCompareFunc)strcmp) != NULL
	    ? "finished"
	    : "unknown";
}

static void
handle_cancel(struct searcher *searcher, struct wv_http_call *call)
{
	JsonNode *node = standin_body(call);
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
dispatch(struct searcher *searcher, struct wv_http_call *call)
{
	const char *path = wv_http_call_path(call);
	bool post = standin_is(call, "POST");

	if (searcher->faults.lost) {
		searcher->dropped++;
		wv_http_call_drop(call);
	} else if (post && strcmp(path, "/v1/search") == 0) {
		handle_request(searcher, call, false);
	} else if (post && strcmp(path, "/v1/job") == 0) {
		handle_request(searcher, call, true);
	} else if (post && strcmp(path, "/v1/cancel") == 0) {
		handle_cancel(searcher, call);
	} else if (!searcher_handle_reports(searcher, call)) {
		standin_fail(call, WV_NOT_FOUND, "no such call");
	}
}

/* A call that a frozen searcher has not looked at yet. */
struct frozen_call {
	struct searcher *searcher;
	struct wv_http_call *call;
};

static void
on_frozen_call(void *data)
{
	struct frozen_call *frozen = data;
	struct fleet *fleet = frozen->searcher->fleet;
	bool still;

	g_mutex_lock(&fleet->lock);
	still = frozen->searcher->faults.frozen;
	if (!still)
		dispatch(frozen->searcher, frozen->call);
	g_mutex_unlock(&fleet->lock);
	if (still)
		standin_timer_add(
		    fleet->timer, FROZEN_STEP, on_frozen_call, frozen);
	else
		g_free(frozen);
}

static void
hold_frozen(struct searcher *searcher, struct wv_http_call *call)
{
	struct frozen_call *frozen = g_new0(struct frozen_call, 1);

	frozen->searcher = searcher;
	frozen->call = call;
	standin_timer_add(
	    searcher->fleet->timer, FROZEN_STEP, on_frozen_call, frozen);
}

static void
handle(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct searcher *searcher = (struct searcher *)handler;
	struct fleet *fleet = searcher->fleet;

	g_mutex_lock(&fleet->lock);
	if (searcher_handle_control(searcher, call)) {
		/* Faults and counts stay reachable under every fault. */
	} else if (searcher->faults.frozen) {
		hold_frozen(searcher, call);
	} else {
		dispatch(searcher, call);
	}
	g_mutex_unlock(&fleet->lock);
}

static const struct wv_http_handler_ops handler_ops = {handle, NULL};

struct fleet *
fleet_create(const struct searcher_config *config, uint32_t seed)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->config = *config;
	fleet->timer = standin_timer_create();
	g_mutex_init(&fleet->lock);
	fleet->random = g_rand_new_with_seed(seed);
	fleet->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->searchers = g_ptr_array_new();
	return fleet;
}

struct searcher *
fleet_add(struct fleet *fleet)
{
	struct searcher *searcher = g_new0(struct searcher, 1);

	searcher->handler.ops = &handler_ops;
	searcher->fleet = fleet;
	searcher->started = standin_now();
	searcher->versions[0] = fleet->config.version;
	searcher->n_versions = 1;
	searcher->map = fleet->config.map;
	searcher->runs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&searcher->waiting);
	g_queue_init(&searcher->finished);
	g_mutex_lock(&fleet->lock);
	g_ptr_array_add(fleet->searchers, searcher);
	g_mutex_unlock(&fleet->lock);
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
	g_mutex_lock(&searcher->fleet->lock);
	searcher->server = server;
	g_mutex_unlock(&searcher->fleet->lock);
}
