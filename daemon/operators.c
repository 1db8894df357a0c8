/**
 * @file
 * HTTP/JSON interface for operators.
 */
#include <string.h>

#include "daemon/control.h"
#include "daemon/operators.h"
#include "daemon/worker.h"
#include "http/json.h"

/** Path prefix of a contract, followed by the customer. */
#define CONTRACT_PATH "/v1/contracts/"
/** Path suffix of a contract's history. */
#define HISTORY_SUFFIX "/history"
/** Deadline of the resolution of a job, ms after its arrival. */
#define RESOLVE_DEADLINE_MS 10000.0

static void
fail_call(struct wv_http_call *call, enum wv_code code, const char *message)
{
	struct wv_status status;

	wv_status_set(&status, code, "%s", message);
	wv_http_call_fail(call, &status);
}

/*
 * Returns whether an Authorization header presents the token. For a token of
 * the right length, the time does not depend on the position of the first
 * difference, so timing does not reveal a prefix of the token.
 */
static bool
token_matches(struct wv_string token, const char *header)
{
	static const char scheme[] = "Bearer ";
	const char *presented;
	unsigned char difference = 0;

	if (header == NULL || !g_str_has_prefix(header, scheme))
		return false;
	presented = header + sizeof(scheme) - 1;
	if (strlen(presented) != token.length)
		return false;
	for (size_t i = 0; i < token.length; i++)
		difference |= (unsigned char)(presented[i] ^ token.data[i]);
	return difference == 0;
}

static void
handle_contract_put(
    struct daemon *daemon, struct wv_http_call *call, struct wv_string customer)
{
	struct wv_status status = {WV_OK, ""};
	struct wv_string value;
	JsonNode *node, *member;
	double if_version;

	node = wv_json_parse(wv_http_call_body(call), &status);
	if (node == NULL) {
		wv_http_call_fail(call, &status);
		return;
	}
	member = json_object_get_member(json_node_get_object(node), "value");
	if_version =
	    wv_json_get_number(json_node_get_object(node), "if_version", -1);
	if (member == NULL || !JSON_NODE_HOLDS_OBJECT(member) ||
	    if_version < 0) {
		fail_call(call, WV_BAD_REQUEST,
		    "$.value: an object, and $.if_version: a version or 0 "
		    "are needed");
	} else {
		value = wv_json_serialize(member);
		control_handle_operator_call(daemon->control,
		    OPERATOR_CONTRACT_PUT, call, customer, value,
		    (uint64_t)if_version);
		wv_string_clear(&value);
	}
	json_node_unref(node);
}

/* Serves /v1/contracts/CUSTOMER[/history]. */
static void
handle_contract(
    struct daemon *daemon, struct wv_http_call *call, const char *rest)
{
	struct wv_string customer = wv_string_borrow(rest);
	struct wv_string none = {"", 0};
	enum operator_call kind = OPERATOR_CONTRACT_GET;
	char *name;

	if (g_str_has_suffix(rest, HISTORY_SUFFIX)) {
		customer.length -= strlen(HISTORY_SUFFIX);
		kind = OPERATOR_CONTRACT_HISTORY;
	}
	name = g_strndup(customer.data, customer.length);
	customer = wv_string_borrow(name);
	if (customer.length == 0 || strchr(name, '/') != NULL)
		fail_call(call, WV_BAD_REQUEST, "a customer's name is needed");
	else if (strcmp(wv_http_call_method(call), "GET") == 0)
		control_handle_operator_call(
		    daemon->control, kind, call, customer, none, 0);
	else if (strcmp(wv_http_call_method(call), "PUT") == 0 &&
	    kind == OPERATOR_CONTRACT_GET)
		handle_contract_put(daemon, call, customer);
	else
		fail_call(call, WV_METHOD_NOT_ALLOWED,
		    "a contract takes GET and PUT, its history GET");
	g_free(name);
}

static struct wv_string
copy_member(JsonObject *object, const char *name)
{
	return wv_string_copy(wv_json_get_string(object, name));
}

/* Serves POST /v1/jobs/resolve: records an operator's outcome of a job. */
static void
handle_resolve(struct daemon *daemon, struct wv_http_call *call)
{
	struct wv_status status = {WV_OK, ""};
	struct request *request;
	struct wv_string state;
	JsonObject *object;
	JsonNode *node;
	bool done, not_run;

	node = wv_json_parse(wv_http_call_body(call), &status);
	if (node == NULL) {
		wv_http_call_fail(call, &status);
		return;
	}
	object = json_node_get_object(node);
	request = request_create(daemon, REQUEST_JOB_RESOLVE);
	request->call = call;
	request->deadline = request->arrived + RESOLVE_DEADLINE_MS;
	request->customer = copy_member(object, "customer");
	request->back_end = copy_member(object, "back_end");
	request->key = copy_member(object, "key");
	state = wv_json_get_string(object, "state");
	done = wv_string_equal(state, wv_string_borrow("done"));
	not_run = wv_string_equal(state, wv_string_borrow("not_run"));
	request->resolve_done = done;
	json_node_unref(node);
	if (request->customer.length == 0 || request->back_end.length == 0 ||
	    request->key.length == 0 || (!done && !not_run)) {
		request_fail(request, WV_BAD_REQUEST,
		    "customer, back_end, key and a state of done or not_run "
		    "are needed");
		return;
	}
	worker_submit(
	    daemon->workers[daemon_lane_worker(daemon, request->back_end, 0)],
	    request);
}

/* Begins a drain; the process exits after it if exit_process is set. */
static void
handle_stop(struct daemon *daemon, struct wv_http_call *call, bool exit_process)
{
	struct wv_status status = {WV_OK, ""};
	struct wv_string json = wv_json_serialize_status(&status);

	control_begin_drain(daemon->control, exit_process);
	wv_http_call_answer(call, 200, json);
	wv_string_clear(&json);
}

static void
handle_get(struct daemon *daemon, struct wv_http_call *call, const char *path)
{
	struct wv_string none = {"", 0};
	const char *state = wv_http_call_query_argument(call, "state");

	if (strcmp(path, "/v1/state") == 0)
		control_handle_operator_call(
		    daemon->control, OPERATOR_STATE, call, none, none, 0);
	else if (strcmp(path, "/v1/contracts") == 0)
		control_handle_operator_call(daemon->control,
		    OPERATOR_CONTRACT_LIST, call, none, none, 0);
	else if (strcmp(path, "/v1/jobs") == 0)
		control_handle_operator_call(daemon->control, OPERATOR_JOB_LIST,
		    call, none, wv_string_borrow(state == NULL ? "" : state),
		    0);
	else
		fail_call(call, WV_NOT_FOUND, "there is no such path");
}

static void
handle_post(struct daemon *daemon, struct wv_http_call *call, const char *path)
{
	if (strcmp(path, "/v1/jobs/resolve") == 0)
		handle_resolve(daemon, call);
	else if (strcmp(path, "/v1/drain") == 0)
		handle_stop(daemon, call, false);
	else if (strcmp(path, "/v1/stop") == 0)
		handle_stop(daemon, call, true);
	else
		fail_call(call, WV_NOT_FOUND, "there is no such path");
}

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct daemon *daemon = ((struct operators *)handler)->daemon;
	const char *path = wv_http_call_path(call);
	const char *method = wv_http_call_method(call);

	wv_counter_add(&daemon->stats.operator_calls, 1);
	if (!token_matches(daemon->settings->operator_token,
		wv_http_call_header(call, "Authorization"))) {
		wv_counter_add(&daemon->stats.operator_unauthorized, 1);
		fail_call(
		    call, WV_UNAUTHORIZED, "the operators' token is needed");
	} else if (g_str_has_prefix(path, CONTRACT_PATH)) {
		handle_contract(daemon, call, path + strlen(CONTRACT_PATH));
	} else if (strcmp(method, "GET") == 0) {
		handle_get(daemon, call, path);
	} else if (strcmp(method, "POST") == 0) {
		handle_post(daemon, call, path);
	} else {
		fail_call(
		    call, WV_METHOD_NOT_ALLOWED, "the path takes GET or POST");
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
	daemon_count_yield(((struct operators *)handler)->daemon, "operators");
}

static const struct wv_http_handler_ops operators_ops = {
    on_call, on_thread_start, on_yield};

void
operators_init(struct operators *operators, struct daemon *daemon)
{
	operators->handler.ops = &operators_ops;
	operators->daemon = daemon;
}
