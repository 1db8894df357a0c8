/**
 * @file
 * HTTP/JSON interface for callers.
 */
#include <string.h>
#include <urcu.h>

#include "daemon/callers.h"
#include "daemon/worker.h"
#include "http/json.h"

/** Path prefix of a job's state, followed by CUSTOMER/KEY. */
#define JOBS_PATH "/v1/jobs/"
/** Deadline of a request that does not set one, ms after its arrival. */
#define DEFAULT_DEADLINE_MS 1000.0
/** Deadline of a lookup of a job's state, ms after its arrival. */
#define LOOKUP_DEADLINE_MS 3000.0
/** Maximum length of a customer, back end or job key, bytes. */
#define MAX_NAME_LENGTH 200

/* Returns whether the call uses a method; answers it with an error if not. */
static bool
require_method(struct wv_http_call *call, const char *method)
{
	struct wv_status status;

	if (strcmp(wv_http_call_method(call), method) == 0)
		return true;
	wv_status_set(&status, WV_METHOD_NOT_ALLOWED, "%s takes %s, not %s",
	    wv_http_call_path(call), method, wv_http_call_method(call));
	wv_http_call_fail(call, &status);
	return false;
}

static void
fail_call(struct wv_http_call *call, enum wv_code code, const char *message)
{
	struct wv_status status;

	wv_status_set(&status, code, "%s", message);
	wv_http_call_fail(call, &status);
}

static JsonObject *
address_to_json(const struct route_address *address)
{
	JsonObject *object = json_object_new();

	wv_json_set_string(object, "address", address->caller_address);
	wv_json_set_string(object, "vm", address->vm);
	wv_json_set_string(object, "zone", address->zone);
	return object;
}

/* Returns whether a VM holds a lane of any back end in the contract. */
static bool
holds_lane(const struct routing *routing, const struct wv_contract *contract,
    struct wv_string vm)
{
	for (size_t i = 0; contract != NULL && i < routing->n_routes; i++) {
		if (wv_string_equal(routing->routes[i].holder, vm) &&
		    wv_contract_find_terms(
			contract, routing->routes[i].back_end) != NULL)
			return true;
	}
	return false;
}

/*
 * Lists the addresses of VMs, those that hold lanes of the customer's back ends
 * first. The contract may be NULL. Call within an RCU read section.
 */
static JsonArray *
list_addresses(
    const struct routing *routing, const struct wv_contract *contract)
{
	JsonArray *array = json_array_new();
	const struct route_address *address;

	for (int pass = 0; routing != NULL && pass < 2; pass++) {
		for (size_t i = 0; i < routing->n_addresses; i++) {
			address = &routing->addresses[i];
			if (holds_lane(routing, contract, address->vm) ==
			    (pass == 0))
				json_array_add_object_element(
				    array, address_to_json(address));
		}
	}
	return array;
}

static void
handle_addresses(struct daemon *daemon, struct wv_http_call *call)
{
	const char *customer = wv_http_call_query_argument(call, "customer");
	const struct wv_contract *contract = NULL;
	JsonObject *object = json_object_new();
	struct wv_status status = {WV_OK, ""};
	struct wv_string json;
	JsonArray *array;

	rcu_read_lock();
	if (customer != NULL)
		contract = wv_contract_table_find(
		    daemon->contracts, wv_string_borrow(customer));
	array = list_addresses(routing_get_current(&daemon->routing), contract);
	rcu_read_unlock();
	wv_json_add_status(object, &status);
	json_object_set_array_member(object, "addresses", array);
	json_object_set_double_member(
	    object, "valid_ms", daemon->settings->address_lifetime);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(call, 200, json);
	wv_string_clear(&json);
}

/* Returns whether this VM accepts new requests; sets the status if not. */
static bool
is_accepting(struct daemon *daemon, struct wv_status *status)
{
	if (!atomic_load(&daemon->accepting_requests))
		wv_status_set(status, WV_DRAINING, "this VM is stopping");
	else if (!atomic_load(&daemon->contracts_loaded))
		wv_status_set(status, WV_CONTRACTS_NOT_LOADED,
		    "no contracts are confirmed yet");
	return status->code == WV_OK;
}

/*
 * Copies a name from a member of the body. Returns false and sets the status if
 * it is missing, empty or too long.
 */
static bool
read_name(JsonObject *object, const char *name, struct wv_string *out,
    struct wv_status *status)
{
	struct wv_string value = wv_json_get_string(object, name);

	if (value.length == 0 || value.length > MAX_NAME_LENGTH) {
		wv_status_set(status, WV_BAD_REQUEST,
		    "$.%s: a string of 1 to %d bytes is needed", name,
		    MAX_NAME_LENGTH);
		return false;
	}
	*out = wv_string_copy(value);
	return true;
}

/*
 * Reads an optional number from a member of the body. Returns false and sets
 * the status if it is not a number or out of range.
 */
static bool
read_number(JsonObject *object, const char *name, double default_value,
    double min, double max, double *out, struct wv_status *status)
{
	JsonNode *node = json_object_get_member(object, name);
	double value = default_value;

	if (node != NULL) {
		if (!JSON_NODE_HOLDS_VALUE(node) ||
		    (json_node_get_value_type(node) != G_TYPE_INT64 &&
			json_node_get_value_type(node) != G_TYPE_DOUBLE)) {
			wv_status_set(status, WV_BAD_REQUEST,
			    "$.%s: a number is needed", name);
			return false;
		}
		value = json_node_get_double(node);
	}
	if (!(value >= min && value <= max)) {
		wv_status_set(status, WV_BAD_REQUEST,
		    "$.%s: must be from %g to %g", name, min, max);
		return false;
	}
	*out = value;
	return true;
}

/* Reads the members that searches and jobs have in common. */
static bool
read_common(
    struct request *request, JsonObject *object, struct wv_status *status)
{
	struct wv_string rank = wv_json_get_string(object, "rank");
	double deadline;

	if (!read_name(object, "customer", &request->customer, status) ||
	    !read_name(object, "back_end", &request->back_end, status))
		return false;
	if (!wv_rank_parse(rank, &request->rank)) {
		wv_status_set(status, WV_BAD_REQUEST,
		    "$.rank: must be urgent, standard or background");
		return false;
	}
	if (!read_number(object, "deadline_ms", DEFAULT_DEADLINE_MS, 1, 600000,
		&deadline, status))
		return false;
	request->deadline = request->arrived + deadline;
	return true;
}

static bool
read_search(
    struct request *request, JsonObject *object, struct wv_status *status)
{
	request->text = wv_string_copy(wv_json_get_string(object, "query"));
	request->key = wv_string_copy(wv_string_borrow(""));
	if (request->text.length == 0) {
		wv_status_set(status, WV_BAD_REQUEST,
		    "$.query: a string of 1 byte or more is needed");
		return false;
	}
	return read_common(request, object, status) &&
	    read_number(object, "coverage_minimum", 0, 0, 1,
		&request->coverage_minimum, status);
}

static bool
read_job(struct request *request, JsonObject *object, struct wv_status *status)
{
	request->text = wv_string_copy(wv_json_get_string(object, "payload"));
	return read_common(request, object, status) &&
	    read_name(object, "key", &request->key, status);
}

/* Parses and validates a request; sets the status if it is rejected. */
static bool
read_request(
    struct daemon *daemon, struct request *request, struct wv_status *status)
{
	JsonNode *node;
	bool valid;

	if (!is_accepting(daemon, status))
		return false;
	node = wv_json_parse(wv_http_call_body(request->call), status);
	if (node == NULL)
		return false;
	if (request->kind == REQUEST_SEARCH)
		valid =
		    read_search(request, json_node_get_object(node), status);
	else
		valid = read_job(request, json_node_get_object(node), status);
	json_node_unref(node);
	return valid;
}

static void
handle_request(
    struct daemon *daemon, struct wv_http_call *call, enum request_kind kind)
{
	struct wv_status status = {WV_OK, ""};
	struct request *request;

	if (!require_method(call, "POST"))
		return;
	request = request_create(daemon, kind);
	request->call = call;
	if (kind == REQUEST_SEARCH)
		wv_counter_add(&daemon->stats.searches, 1);
	else
		wv_counter_add(&daemon->stats.jobs, 1);
	if (read_request(daemon, request, &status))
		daemon_route_request(daemon, request);
	else
		request_fail_status(request, &status);
}

/*
 * Returns the back end of a customer's contract if it has exactly one, for
 * calls that name none; otherwise an empty string. Owned by the caller.
 */
static struct wv_string
find_only_back_end(struct daemon *daemon, struct wv_string customer)
{
	const struct wv_contract *contract;
	struct wv_string name = {NULL, 0};

	rcu_read_lock();
	contract = wv_contract_table_find(daemon->contracts, customer);
	if (contract != NULL && contract->n_back_ends == 1)
		name = wv_string_copy(contract->back_ends[0].back_end);
	rcu_read_unlock();
	return name;
}

/* Serves GET /v1/jobs/CUSTOMER/KEY[?back_end=NAME]. */
static void
handle_lookup(
    struct daemon *daemon, struct wv_http_call *call, const char *rest)
{
	const char *slash = strchr(rest, '/');
	const char *back_end = wv_http_call_query_argument(call, "back_end");
	struct request *request;

	if (!require_method(call, "GET"))
		return;
	if (slash == NULL || slash == rest || slash[1] == '\0') {
		fail_call(call, WV_BAD_REQUEST,
		    "the path must be /v1/jobs/CUSTOMER/KEY");
		return;
	}
	request = request_create(daemon, REQUEST_JOB_LOOKUP);
	request->call = call;
	request->deadline = request->arrived + LOOKUP_DEADLINE_MS;
	request->customer = wv_string_copy(
	    (struct wv_string){(char *)rest, (size_t)(slash - rest)});
	request->key = wv_string_copy(wv_string_borrow(slash + 1));
	request->back_end = back_end != NULL
	    ? wv_string_copy(wv_string_borrow(back_end))
	    : find_only_back_end(daemon, request->customer);
	if (request->back_end.length == 0) {
		request_fail(request, WV_BAD_REQUEST,
		    "the argument back_end is needed: the contract names "
		    "none or several");
		return;
	}
	worker_submit(
	    daemon->workers[daemon_lane_worker(daemon, request->back_end, 0)],
	    request);
}

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct daemon *daemon = ((struct callers *)handler)->daemon;
	const char *path = wv_http_call_path(call);

	wv_counter_add(&daemon->stats.calls, 1);
	if (strcmp(path, "/v1/addresses") == 0) {
		if (require_method(call, "GET"))
			handle_addresses(daemon, call);
	} else if (strcmp(path, "/v1/search") == 0) {
		handle_request(daemon, call, REQUEST_SEARCH);
	} else if (strcmp(path, "/v1/jobs") == 0) {
		handle_request(daemon, call, REQUEST_JOB);
	} else if (g_str_has_prefix(path, JOBS_PATH)) {
		handle_lookup(daemon, call, path + strlen(JOBS_PATH));
	} else {
		fail_call(call, WV_NOT_FOUND, "there is no such path");
	}
}

static void
on_thread_start(struct wv_http_handler *handler)
{
	(void)handler;
	daemon_register_thread();
}

static void
on_yield(struct wv_http_handler *handler)
{
	daemon_count_yield(((struct callers *)handler)->daemon, "callers");
}

static const struct wv_http_handler_ops callers_ops = {
    on_call, on_thread_start, on_yield};

void
callers_init(struct callers *callers, struct daemon *daemon)
{
	callers->handler.ops = &callers_ops;
	callers->daemon = daemon;
}
