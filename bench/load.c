/**
 * @file
 * Load tool for real processes: open-loop arrivals per stream from a JSON
 * plan, latency counted from the intended start, and a check of the answers to
 * callers against the runs that the searchers counted.
 *
 * A caller caches the addresses of VMs that it got from the system for their
 * lifetime. It retries a request at the next address if it was not sent or was
 * refused by a draining VM, since it did not run then, and retries nothing
 * else.
 */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/load/load.h"

/* Time to wait for an answer after the deadline, ms. */
#define ANSWER_GRACE 2000.0
/* Lifetime of addresses that come without one, ms. */
#define DEFAULT_ADDRESS_LIFETIME 1000.0
/* Limit of the addresses at which one request is tried. */
#define MAX_ATTEMPTS 5
/* Limit of the requests of one run, so that a run with a wrong plan ends. */
#define MAX_REQUESTS 5000000u

/* A request of a caller, from its start to the last attempt. */
struct request {
	struct load_run *load;
	struct stream *stream;
	double intended_start; /* latency counts from it, ms */
	char *key; /* NULL for a search */
	unsigned int attempts;
	GPtrArray *candidates; /* cached addresses at its start; a reference */
};

static void request_send(struct request *request);

/* Returns the time of the monotonic clock, ms. */
static double
now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000.0;
}

/* Returns the addresses of a customer, at first the initial ones. */
static struct address_cache *
get_address_cache(struct load_run *load, const char *customer)
{
	struct address_cache *cache =
	    g_hash_table_lookup(load->address_caches, customer);

	if (cache == NULL) {
		cache = g_new0(struct address_cache, 1);
		cache->addresses = g_ptr_array_ref(load->initial_addresses);
		g_hash_table_insert(
		    load->address_caches, g_strdup(customer), cache);
	}
	return cache;
}

static GPtrArray *
parse_addresses(JsonObject *object)
{
	JsonArray *array = wv_json_get_array(object, "addresses");
	guint n = array == NULL ? 0 : json_array_get_length(array);
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);
		struct wv_string address = wv_json_get_string(entry, "address");

		if (address.length > 0)
			g_ptr_array_add(list, g_strdup(address.data));
	}
	return list;
}

/* A request for addresses in progress. */
struct address_query {
	struct address_cache *cache; /* receives the addresses */
	GPtrArray *initial_addresses; /* borrowed */
};

static void
on_addresses(void *data, const struct wv_http_response *answer)
{
	struct address_query *query = data;
	struct address_cache *cache = query->cache;
	struct wv_status status;
	JsonNode *node = NULL;
	GPtrArray *list;

	wv_status_clear(&status);
	cache->refreshing = false;
	cache->valid_until = now_ms() + DEFAULT_ADDRESS_LIFETIME;
	if (answer->outcome == WV_HTTP_COMPLETED && answer->http_status == 200)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		JsonObject *object = json_node_get_object(node);

		list = parse_addresses(object);
		cache->valid_until = now_ms() +
		    wv_json_get_number(
			object, "valid_ms", DEFAULT_ADDRESS_LIFETIME);
		json_node_unref(node);
	} else {
		/* The queried VM may be gone: use the initial addresses. */
		list = g_ptr_array_ref(query->initial_addresses);
	}
	if (list->len > 0) {
		g_ptr_array_unref(cache->addresses);
		cache->addresses = g_ptr_array_ref(list);
	}
	g_ptr_array_unref(list);
	g_free(query);
}

/* Requests new addresses of a customer, since the cached ones have expired. */
static void
refresh_addresses(
    struct load_run *load, const char *customer, struct address_cache *cache)
{
	char *path = g_strconcat("/v1/addresses?customer=", customer, NULL);
	struct wv_http_request request = {0};
	struct address_query *query = g_new0(struct address_query, 1);
	guint index = (guint)g_rand_int_range(
	    load->random, 0, (gint32)cache->addresses->len);

	query->cache = cache;
	query->initial_addresses = load->initial_addresses;
	cache->refreshing = true;
	request.method = "GET";
	request.address = wv_string_borrow(cache->addresses->pdata[index]);
	request.path = path;
	request.timeout = LOOKUP_TIMEOUT;
	wv_http_client_send(load->client, &request, on_addresses, query);
	g_free(path);
}

static void
request_destroy(struct request *request)
{
	request->load->pending--;
	g_ptr_array_unref(request->candidates);
	g_free(request->key);
	g_free(request);
}

static void
count_code(struct stream *stream, const char *name)
{
	guint64 *count = g_hash_table_lookup(stream->codes, name);

	if (count == NULL) {
		count = g_new0(guint64, 1);
		g_hash_table_insert(stream->codes, g_strdup(name), count);
	}
	*count += 1;
}

/* Counts an answer if a hit is of another snapshot than the answer names. */
static void
check_snapshot(struct stream *stream, JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "snapshot");
	JsonArray *hits = wv_json_get_array(object, "hits");
	guint n = hits == NULL ? 0 : json_array_get_length(hits);
	bool mixed = false;
	char *prefix;

	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return;
	prefix = g_strdup_printf("version %.0f map %.0f ",
	    wv_json_get_number(json_node_get_object(node), "version", 0),
	    wv_json_get_number(json_node_get_object(node), "map", 0));
	for (guint i = 0; i < n; i++) {
		JsonObject *hit = json_array_get_object_element(hits, i);

		mixed = mixed ||
		    !g_str_has_prefix(
			wv_json_get_string(hit, "text").data, prefix);
	}
	stream->mixed_snapshots += mixed;
	g_free(prefix);
}

/* Adds the coverage of an answer to the counts of its stream. */
static void
check_coverage(struct stream *stream, JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "coverage");
	double total;

	stream->full += wv_json_get_bool(object, "full", false);
	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return;
	total =
	    wv_json_get_number(json_node_get_object(node), "shards_total", 0);
	if (total <= 0)
		return;
	stream->coverage_sum +=
	    wv_json_get_number(json_node_get_object(node), "shards", 0) / total;
	stream->coverage_count++;
}

static void
record_job_state(struct request *request, enum reported_state state)
{
	if (request->key != NULL)
		g_hash_table_insert(request->load->jobs, g_strdup(request->key),
		    GINT_TO_POINTER(state));
}

/* Returns the state that an answer to a job reports. */
static enum reported_state
parse_job_state(JsonObject *object)
{
	struct wv_string state = wv_json_get_string(object, "state");

	if (wv_string_equal(state, wv_string_borrow("done")))
		return JOB_DONE;
	if (wv_string_equal(state, wv_string_borrow("not_run")))
		return JOB_NOT_RUN;
	if (state.length == 0 &&
	    wv_code_proves_not_run(
		(enum wv_code)wv_json_get_number(object, "code", 0)))
		return JOB_NOT_RUN;
	return JOB_UNKNOWN;
}

/*
 * Counts an answer to a request. Returns false without counting it if the
 * request should be retried at another address.
 */
static bool
process_answer(struct request *request, JsonObject *object)
{
	struct stream *stream = request->stream;
	enum wv_code code =
	    (enum wv_code)wv_json_get_number(object, "code", WV_INTERNAL);
	double latency = now_ms() - request->intended_start;

	if (code == WV_DRAINING && request->attempts < MAX_ATTEMPTS &&
	    request->attempts < request->candidates->len)
		return false;
	count_code(stream, wv_code_name(code));
	g_array_append_val(stream->latencies, latency);
	stream->ok += code == WV_OK;
	stream->not_run += wv_code_proves_not_run(code);
	if (stream->job) {
		record_job_state(request, parse_job_state(object));
	} else if (code == WV_OK) {
		check_coverage(stream, object);
		check_snapshot(stream, object);
	}
	return true;
}

static void
record_failure(struct request *request, enum wv_http_outcome outcome)
{
	struct stream *stream = request->stream;

	if (outcome == WV_HTTP_NOT_SENT) {
		stream->unreachable++;
		record_job_state(request, JOB_NOT_RUN);
	} else if (outcome == WV_HTTP_TIMED_OUT) {
		stream->timed_out++;
		record_job_state(request, JOB_UNKNOWN);
	} else {
		stream->broken++;
		record_job_state(request, JOB_UNKNOWN);
	}
}

static void
on_answer(void *data, const struct wv_http_response *answer)
{
	struct request *request = data;
	struct wv_status status;
	JsonNode *node = NULL;
	bool ended = true;

	wv_status_clear(&status);
	if (answer->outcome == WV_HTTP_COMPLETED)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		ended = process_answer(request, json_node_get_object(node));
		json_node_unref(node);
	} else if (answer->outcome == WV_HTTP_NOT_SENT &&
	    request->attempts < MAX_ATTEMPTS &&
	    request->attempts < request->candidates->len) {
		ended = false;
	} else {
		record_failure(request,
		    answer->outcome == WV_HTTP_COMPLETED ? WV_HTTP_FAILED
							 : answer->outcome);
	}
	if (ended) {
		request_destroy(request);
	} else {
		request->stream->retries++;
		request_send(request);
	}
}

static struct wv_string
request_body(const struct request *request, double time_left)
{
	const struct stream *stream = request->stream;
	JsonObject *body = json_object_new();

	json_object_set_string_member(body, "customer", stream->customer);
	json_object_set_string_member(body, "back_end", stream->back_end);
	json_object_set_string_member(body, "rank", stream->rank);
	json_object_set_double_member(body, "deadline_ms", time_left);
	json_object_set_string_member(
	    body, stream->job ? "payload" : "query", stream->text);
	if (stream->job)
		json_object_set_string_member(body, "key", request->key);
	else
		json_object_set_double_member(
		    body, "coverage_minimum", stream->coverage_minimum);
	return wv_json_serialize_object(body);
}

static void
request_send(struct request *request)
{
	const struct stream *stream = request->stream;
	double time_left =
	    stream->deadline - (now_ms() - request->intended_start);
	struct wv_http_request http = {0};

	time_left = MAX(time_left, 1);
	http.method = "POST";
	http.address = wv_string_borrow(
	    request->candidates
		->pdata[request->attempts % request->candidates->len]);
	http.path = stream->job ? "/v1/jobs" : "/v1/search";
	http.body = request_body(request, time_left);
	http.timeout = time_left + ANSWER_GRACE;
	http.at_most_once = stream->job;
	request->attempts++;
	wv_http_client_send(request->load->client, &http, on_answer, request);
	wv_string_clear(&http.body);
}

static void
request_start(
    struct load_run *load, struct stream *stream, double intended_start)
{
	struct request *request = g_new0(struct request, 1);
	struct address_cache *cache = get_address_cache(load, stream->customer);

	if (!cache->refreshing && now_ms() >= cache->valid_until)
		refresh_addresses(load, stream->customer, cache);
	request->load = load;
	request->stream = stream;
	request->intended_start = intended_start;
	request->candidates = g_ptr_array_ref(cache->addresses);
	load->pending++;
	load->requests++;
	stream->offered++;
	if (stream->job) {
		request->key = g_strdup_printf("%" G_GINT64_FORMAT
					       "-load-%d-%" G_GUINT64_FORMAT,
		    g_get_real_time() / G_USEC_PER_SEC, (int)getpid(),
		    load->requests);
		record_job_state(request, JOB_UNKNOWN);
	}
	request_send(request);
}

/* Starts the requests that are due; returns the time of the next one. */
static double
start_due_requests(struct load_run *load, double end)
{
	double now = now_ms();
	double next = end;

	for (guint i = 0; i < load->streams->len; i++) {
		struct stream *stream = load->streams->pdata[i];

		while (stream->next_start <= now && stream->next_start < end &&
		    load->requests < MAX_REQUESTS) {
			request_start(load, stream, stream->next_start);
			stream->next_start +=
			    -log(1 - g_rand_double(stream->random)) * 1000.0 /
			    stream->rate;
		}
		next = MIN(next, stream->next_start);
	}
	return next;
}

/* Prints a progress line to standard error at most once a second. */
static void
print_progress(struct load_run *load)
{
	uint64_t offered = 0, ok = 0, not_run = 0, failed = 0;

	if (now_ms() < load->next_progress)
		return;
	load->next_progress = now_ms() + 1000;
	for (guint i = 0; i < load->streams->len; i++) {
		struct stream *stream = load->streams->pdata[i];

		offered += stream->offered;
		ok += stream->ok;
		not_run += stream->not_run;
		failed +=
		    stream->broken + stream->timed_out + stream->unreachable;
	}
	fprintf(stderr,
	    "%5.0f s: %" G_GUINT64_FORMAT " offered, %" G_GUINT64_FORMAT
	    " ok, %" G_GUINT64_FORMAT " not run, %" G_GUINT64_FORMAT
	    " without an answer, %" G_GUINT64_FORMAT " open\n",
	    (now_ms() - load->start_time) / 1000.0, offered, ok, not_run,
	    failed, load->pending);
}

/* Sends requests until the end of the run, then waits for all answers. */
static void
run(struct load_run *load)
{
	double end = load->start_time + load->seconds * 1000.0;
	bool terminal = isatty(STDERR_FILENO);

	for (guint i = 0; i < load->streams->len; i++)
		((struct stream *)load->streams->pdata[i])->next_start =
		    load->start_time;
	while (
	    now_ms() < end || wv_http_client_count_pending(load->client) > 0) {
		double next = start_due_requests(load, end);
		double wait = MAX(next - now_ms(), 0);

		wv_http_client_poll(
		    load->client, now_ms() < end ? MIN(wait, 100) : 100);
		if (terminal)
			print_progress(load);
	}
}

static struct stream *
read_stream(JsonObject *object, guint32 seed)
{
	struct stream *stream = g_new0(struct stream, 1);
	struct wv_string text = wv_json_get_string(object, "text");

	stream->customer = wv_json_get_string(object, "customer").data;
	stream->back_end = wv_json_get_string(object, "back_end").data;
	stream->rank = wv_json_get_string(object, "rank").data;
	stream->text = text.length > 0 ? text.data : "load";
	stream->job = wv_string_equal(
	    wv_json_get_string(object, "kind"), wv_string_borrow("job"));
	stream->rate = wv_json_get_number(object, "rate", 1);
	stream->deadline = wv_json_get_number(object, "deadline_ms", 1000);
	stream->coverage_minimum =
	    wv_json_get_number(object, "coverage_minimum", 0);
	stream->random = g_rand_new_with_seed(seed);
	stream->latencies = g_array_new(FALSE, FALSE, sizeof(double));
	stream->codes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return stream;
}

/*
 * Checks that all rates are above 0 and prints the first that is not: without a
 * rate the time to the next request would be infinite.
 */
static bool
has_valid_rates(const struct load_run *load, const char *path)
{
	for (guint i = 0; i < load->streams->len; i++) {
		const struct stream *stream = load->streams->pdata[i];

		if (!(stream->rate > 0)) {
			fprintf(stderr,
			    "%s: $.streams[%u].rate: must be above 0\n", path,
			    i);
			return false;
		}
	}
	return true;
}

/*
 * Reads the plan, {"seconds", "seed", "streams": [...]}. load->plan owns the
 * parsed JSON. On failure prints the reason and returns false.
 */
static bool
read_plan(struct load_run *load, const char *path)
{
	struct wv_string text = {NULL, 0};
	struct wv_status status;
	GError *error = NULL;
	JsonObject *object;
	JsonArray *streams;
	JsonNode *node;
	guint32 seed;

	wv_status_clear(&status);
	if (!g_file_get_contents(path, &text.data, &text.length, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return false;
	}
	node = wv_json_parse(text, &status);
	wv_string_clear(&text);
	object = node == NULL ? NULL : json_node_get_object(node);
	streams = object == NULL ? NULL : wv_json_get_array(object, "streams");
	if (streams == NULL || json_array_get_length(streams) == 0) {
		fprintf(stderr, "%s: %s\n", path,
		    node == NULL ? status.message : "$.streams: is missing");
		return false;
	}
	load->seconds = wv_json_get_number(object, "seconds", 10);
	load->plan = node;
	seed = (guint32)wv_json_get_number(object, "seed", 1);
	load->random = g_rand_new_with_seed(seed);
	for (guint i = 0; i < json_array_get_length(streams); i++)
		g_ptr_array_add(load->streams,
		    read_stream(json_array_get_object_element(streams, i),
			seed + 1 + i));
	return has_valid_rates(load, path);
}

struct options {
	struct load_run *load;
	const char *plan;
	const char *report;
	double seconds;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'p':
		options->plan = arg;
		return 0;
	case 'r':
		options->report = arg;
		return 0;
	case 'a':
		g_ptr_array_add(
		    options->load->initial_addresses, g_strdup(arg));
		return 0;
	case 's':
		g_ptr_array_add(options->load->searchers, arg);
		return 0;
	case 't':
		options->seconds = strtod(arg, NULL);
		return 0;
	case ARGP_KEY_END:
		if (options->plan == NULL ||
		    options->load->initial_addresses->len == 0)
			argp_error(state, "--plan and --address must be given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option option_list[] = {
    {"plan", 'p', "FILE", 0,
	"JSON: {seconds, seed, streams: [{kind, customer, back_end, rank, "
	"rate, deadline_ms, coverage_minimum, text}]}",
	0},
    {"address", 'a', "IP:PORT", 0,
	"Initial address of a VM for callers; may be repeated", 0},
    {"searcher", 's', "IP:PORT", 0,
	"One address of each stand-in process that runs jobs; may be repeated",
	0},
    {"seconds", 't', "N", 0, "Duration; overrides that of the plan", 0},
    {"report", 'r', "FILE", 0, "Write a JSON report to FILE", 0},
    {0},
};

static const struct argp argp = {option_list, parse_option, NULL,
    "Load tool for real processes.\v"
    "Exit codes: 0 done, 1 failed, 2 bad usage, 4 a job ran twice, was lost "
    "or ran though it was reported as not run, or an answer had hits of two "
    "snapshots.",
    NULL, NULL, NULL};

static void
stream_destroy(void *data)
{
	struct stream *stream = data;

	g_rand_free(stream->random);
	g_array_unref(stream->latencies);
	g_hash_table_destroy(stream->codes);
	g_free(stream);
}

static void
address_cache_destroy(void *data)
{
	struct address_cache *cache = data;

	g_ptr_array_unref(cache->addresses);
	g_free(cache);
}

static void
load_clear(struct load_run *load)
{
	wv_http_client_destroy(load->client);
	g_hash_table_destroy(load->address_caches);
	g_hash_table_destroy(load->jobs);
	g_ptr_array_unref(load->streams);
	g_ptr_array_unref(load->searchers);
	g_ptr_array_unref(load->initial_addresses);
	g_rand_free(load->random);
	json_node_unref(load->plan);
}

int
main(int argc, char **argv)
{
	struct load_run load = {0};
	struct options options = {&load, NULL, NULL, 0};
	int result;

	argp_err_exit_status = 2;
	load.initial_addresses = g_ptr_array_new_with_free_func(g_free);
	load.searchers = g_ptr_array_new();
	load.streams = g_ptr_array_new_with_free_func(stream_destroy);
	load.address_caches = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, address_cache_destroy);
	load.jobs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (!read_plan(&load, options.plan))
		return EXIT_FAILURE;
	if (options.seconds > 0)
		load.seconds = options.seconds;
	load.client = wv_http_client_create();
	load.start_time = now_ms();
	run(&load);
	result = report_results(&load, options.report);
	load_clear(&load);
	return result;
}
