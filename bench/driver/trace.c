/**
 * @file
 * Validation and replay of a trace.
 */
#include <stdarg.h>

#include "bench/driver/trace.h"

/* Maximum duration of a run, ms. */
#define MAX_UNTIL_MS 600000.0
/* Maximum number of events of a trace. */
#define MAX_EVENTS 10000

/* A scheduled event of the trace. */
struct scheduled_event {
	struct trace *trace;
	const struct trace_event_kind *kind;
	JsonObject *event;
};

static const struct trace_field trace_fields[] = {{"name", TRACE_STRING, true},
    {"requirement", TRACE_STRING, true}, {"text", TRACE_STRING, true},
    {"deployment", TRACE_STRING, false}, {"seed", TRACE_NUMBER, false},
    {"vms", TRACE_NUMBER, false}, {"back_end", TRACE_OBJECT, false},
    {"contract", TRACE_OBJECT, false}, {"until", TRACE_NUMBER, true},
    {"events", TRACE_ARRAY, true}, {"expect", TRACE_OBJECT, true}, {0}};
static const struct trace_field back_end_fields[] = {
    {"services", TRACE_NUMBER, false}, {"replicas", TRACE_NUMBER, false},
    {"slots", TRACE_NUMBER, false}, {"service_ms", TRACE_NUMBER, false},
    {"sigma", TRACE_NUMBER, false}, {0}};

/* The contract of a trace without one. */
static const char default_contract[] =
    "{\"customer\": \"customer\", \"job_retention_s\": 86400, "
    "\"back_ends\": {\"desk\": {\"hedge_budget\": 0.05, "
    "\"retry_budget\": 1, \"ranks\": {"
    "\"urgent\": {\"share\": 0.5, \"rate\": 1000, \"burst\": 1000, "
    "\"concurrency\": 1000, \"deadline_ms\": 2000, "
    "\"coverage_minimum\": 0.5}, "
    "\"standard\": {\"share\": 0.3, \"rate\": 1000, \"burst\": 1000, "
    "\"concurrency\": 1000, \"deadline_ms\": 2000, "
    "\"coverage_minimum\": 0.5}, "
    "\"background\": {\"share\": 0.2, \"rate\": 1000, \"burst\": 1000, "
    "\"concurrency\": 1000, \"deadline_ms\": 2000, "
    "\"coverage_minimum\": 0.5}}}}}";

void
trace_report(struct trace *trace, const char *path, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(trace->messages, g_strdup_printf("%s: %s", path, text));
	g_free(text);
}

double
trace_get_number(JsonObject *object, const char *name, double default_value)
{
	return json_object_has_member(object, name)
	    ? json_object_get_double_member(object, name)
	    : default_value;
}

uint64_t
trace_get_integer(JsonObject *object, const char *name, uint64_t default_value)
{
	double value = trace_get_number(object, name, (double)default_value);

	return value > 0 ? (uint64_t)MIN(value, 1e15) : 0;
}

const char *
trace_get_string(
    JsonObject *object, const char *name, const char *default_value)
{
	return json_object_has_member(object, name)
	    ? json_object_get_string_member(object, name)
	    : default_value;
}

bool
trace_get_boolean(JsonObject *object, const char *name)
{
	return json_object_has_member(object, name) &&
	    json_object_get_boolean_member(object, name);
}

struct sim_vm *
trace_find_vm(struct trace *trace, const char *name)
{
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		if (trace->cluster.vms[i] != NULL &&
		    strcmp(trace->cluster.vms[i]->name, name) == 0)
			return trace->cluster.vms[i];
	}
	return NULL;
}

static struct sim_vm *
find_other_vm(struct trace *trace, const struct sim_vm *holder)
{
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		struct sim_vm *vm = trace->cluster.vms[i];

		if (vm != holder && vm->running &&
		    vm->paused_until <= trace->sim.now &&
		    wv_drain_is_accepting(vm->drain))
			return vm;
	}
	return trace->cluster.vms[0];
}

struct sim_vm *
trace_resolve_vm(struct trace *trace, const char *name)
{
	struct sim_vm *holder;

	if (strcmp(name, "holder") != 0 && strcmp(name, "other") != 0)
		return trace_find_vm(trace, name);
	holder = sim_cluster_find_holder(&trace->cluster);
	if (strcmp(name, "other") == 0)
		return find_other_vm(trace, holder);
	return holder != NULL ? holder : trace->cluster.vms[0];
}

static bool
holds_type(JsonNode *node, GType type)
{
	GType found;

	if (!JSON_NODE_HOLDS_VALUE(node))
		return false;
	found = json_node_get_value_type(node);
	if (type == G_TYPE_DOUBLE)
		return found == G_TYPE_DOUBLE || found == G_TYPE_INT64;
	return found == type;
}

static bool
is_vm_name(const struct trace *trace, const char *name)
{
	char expected[8];

	if (strcmp(name, "holder") == 0 || strcmp(name, "other") == 0)
		return true;
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		g_snprintf(expected, sizeof(expected), "vm%zu", i);
		if (strcmp(name, expected) == 0)
			return true;
	}
	return false;
}

static bool
is_searcher_name(const struct trace *trace, const char *name)
{
	const struct wv_topology *topology = trace->back_end.topology;

	return strcmp(name, "*") == 0 ||
	    (topology != NULL &&
		wv_topology_find(topology, wv_string_borrow(name)) <
		    topology->n_searchers);
}

static bool
is_condition(JsonNode *node)
{
	JsonObject *object;

	if (JSON_NODE_HOLDS_VALUE(node))
		return true;
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	object = json_node_get_object(node);
	return json_object_get_size(object) ==
	    (guint)json_object_has_member(object, "at_least") +
	    (guint)json_object_has_member(object, "at_most");
}

/* Checks the type of a field; returns an error text, or NULL. */
static const char *
check_type(const struct trace *trace, JsonNode *node, enum trace_type type)
{
	enum wv_rank rank;
	const char *text = NULL;

	if (holds_type(node, G_TYPE_STRING))
		text = json_node_get_string(node);
	switch (type) {
	case TRACE_NUMBER:
		return holds_type(node, G_TYPE_DOUBLE) ? NULL : "not a number";
	case TRACE_BOOLEAN:
		return holds_type(node, G_TYPE_BOOLEAN) ? NULL
							: "not a boolean";
	case TRACE_OBJECT:
		return JSON_NODE_HOLDS_OBJECT(node) ? NULL : "not an object";
	case TRACE_ARRAY:
		return JSON_NODE_HOLDS_ARRAY(node) ? NULL : "not an array";
	case TRACE_CONDITION:
		return is_condition(node) ? NULL : "not a condition";
	case TRACE_STRING:
		return text != NULL ? NULL : "not a string";
	case TRACE_VM:
		return text != NULL && is_vm_name(trace, text) ? NULL
							       : "not a VM";
	case TRACE_SEARCHER:
		return text != NULL && is_searcher_name(trace, text)
		    ? NULL
		    : "not a searcher";
	case TRACE_RANK:
		return text != NULL &&
			wv_rank_parse(wv_string_borrow(text), &rank)
		    ? NULL
		    : "not a rank";
	}
	return "not known";
}

static const struct trace_field *
find_field(const struct trace_field *fields, const char *name)
{
	for (; fields->name != NULL; fields++) {
		if (strcmp(fields->name, name) == 0)
			return fields;
	}
	return NULL;
}

static void
check_member(struct trace *trace, JsonObject *object, const char *name,
    const char *path, const struct trace_field *fields)
{
	const struct trace_field *field = find_field(fields, name);
	char *member = g_strdup_printf("%s.%s", path, name);
	const char *error;

	if (field == NULL) {
		trace_report(trace, member, "unknown field");
	} else {
		error = check_type(
		    trace, json_object_get_member(object, name), field->type);
		if (error != NULL)
			trace_report(trace, member, "%s", error);
	}
	g_free(member);
}

bool
trace_check_object(struct trace *trace, JsonNode *node, const char *path,
    const struct trace_field *fields)
{
	guint n_before = trace->messages->len;
	JsonObject *object;
	GList *names;

	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node)) {
		trace_report(trace, path, "not an object");
		return false;
	}
	object = json_node_get_object(node);
	names = json_object_get_members(object);
	for (GList *name = names; name != NULL; name = name->next)
		check_member(trace, object, name->data, path, fields);
	g_list_free(names);
	for (; fields->name != NULL; fields++) {
		if (fields->required &&
		    !json_object_has_member(object, fields->name))
			trace_report(
			    trace, path, "field %s is missing", fields->name);
	}
	return trace->messages->len == n_before;
}

static bool
check_range(struct trace *trace, JsonObject *object, const char *path,
    const char *name, double min, double max)
{
	double value = trace_get_number(object, name, min);

	if (value >= min && value <= max)
		return true;
	trace_report(trace, path, "%s must be from %g to %g", name, min, max);
	return false;
}

/*
 * Reads the sizes of the deployment and back end. Returns false if they have
 * errors, in which case the rest of the trace cannot be checked.
 */
static bool
read_sizes(struct trace *trace, JsonObject *root)
{
	JsonObject *back_end = json_object_has_member(root, "back_end")
	    ? json_object_get_object_member(root, "back_end")
	    : NULL;
	const char *deployment =
	    trace_get_string(root, "deployment", "anadolu");

	trace->shape = sim_race_eve;
	trace->shape.name = "desk";
	trace->shape.services = 2;
	if (strcmp(deployment, "sicilia") == 0) {
		trace->shape.deployment = &sim_sicilia;
	} else if (strcmp(deployment, "anadolu") != 0) {
		trace_report(
		    trace, "$.deployment", "neither anadolu nor sicilia");
		return false;
	}
	if (!check_range(trace, root, "$", "vms", 1, SIM_MAX_VMS) ||
	    !check_range(trace, root, "$", "until", 0, MAX_UNTIL_MS) ||
	    !check_range(trace, root, "$", "seed", 0, UINT32_MAX))
		return false;
	if (back_end == NULL)
		return true;
	if (!trace_check_object(trace, json_object_get_member(root, "back_end"),
		"$.back_end", back_end_fields) ||
	    !check_range(trace, back_end, "$.back_end", "services", 1, 100) ||
	    !check_range(trace, back_end, "$.back_end", "replicas", 1, 9) ||
	    !check_range(trace, back_end, "$.back_end", "slots", 1, 100) ||
	    !check_range(
		trace, back_end, "$.back_end", "service_ms", 0, 60000) ||
	    !check_range(trace, back_end, "$.back_end", "sigma", 0, 3))
		return false;
	trace->shape.services =
	    (uint32_t)trace_get_number(back_end, "services", 2);
	trace->shape.replicas =
	    (uint32_t)trace_get_number(back_end, "replicas", 3);
	trace->shape.slots = (uint32_t)trace_get_number(back_end, "slots", 2);
	return true;
}

static void
prepare_searchers(struct trace *trace, JsonObject *root)
{
	JsonObject *back_end = json_object_has_member(root, "back_end")
	    ? json_object_get_object_member(root, "back_end")
	    : NULL;

	for (size_t i = 0; i < trace->back_end.topology->n_searchers; i++) {
		struct sim_searcher *searcher = &trace->back_end.searchers[i];

		searcher->mean_service_time = 20;
		searcher->service_time_sigma = 0;
		if (back_end == NULL)
			continue;
		searcher->mean_service_time =
		    trace_get_number(back_end, "service_ms", 20);
		searcher->service_time_sigma =
		    trace_get_number(back_end, "sigma", 0);
	}
}

static void
record_send(void *data, const struct wv_shard_request *request)
{
	struct trace *trace = data;
	struct sim_record *record =
	    trace->cluster.records->pdata[request->request - 1];
	struct trace_sent_request send = {.request = request->request,
	    .vm = record->executing_vm,
	    .service = request->info->service,
	    .searcher = request->searcher,
	    .attempt = request->attempt,
	    .index_version = request->index_version,
	    .map = request->map};

	g_array_append_val(trace->sends, send);
}

static void
check_initial_write(void *data, enum wv_store_outcome outcome,
    const char *value, uint64_t version)
{
	if (data != NULL || value != NULL || outcome != WV_STORE_OK ||
	    version != 1)
		g_error("the first contract was not written");
}

/* Writes the contract to the store at time 0, before the VMs start. */
static void
write_contract(struct trace *trace, JsonObject *root)
{
	char *text = g_strdup(default_contract);
	struct wv_contract *contract;
	struct wv_status status;

	if (json_object_has_member(root, "contract")) {
		g_free(text);
		text = json_to_string(
		    json_object_get_member(root, "contract"), FALSE);
	}
	contract = wv_contract_parse(wv_string_borrow(text), 1, &status);
	if (contract == NULL)
		trace_report(trace, "$.contract", "%s", status.message);
	wv_contract_destroy(contract);
	trace->cluster.store.delay = 0;
	sim_store_write(&trace->cluster.store, "contracts/customer",
	    wv_string_borrow(text), 0, check_initial_write, NULL);
	sim_run_until(&trace->sim, 0);
	trace->cluster.store.delay = 2;
	g_free(text);
}

static void
start_cluster(struct trace *trace)
{
	bool listed[SIM_MAX_VMS];

	trace->cluster.has_fixed_holder = trace->cluster.n_vms == 1;
	trace->cluster.on_send = record_send;
	trace->cluster.on_send_data = trace;
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		sim_cluster_start_vm(&trace->cluster, i);
		listed[i] = true;
	}
	sim_cluster_set_vm_list(&trace->cluster, listed);
}

static void
run_event(void *data)
{
	struct scheduled_event *scheduled = data;

	scheduled->kind->run(scheduled->trace, scheduled->event);
	g_free(scheduled);
}

/* Validates an event; returns its kind, or NULL if it has errors. */
static const struct trace_event_kind *
check_event(struct trace *trace, JsonNode *node, const char *path)
{
	const struct trace_event_kind *kind = NULL;
	JsonObject *event = NULL;
	double until =
	    trace_get_number(json_node_get_object(trace->root), "until", 0);

	if (JSON_NODE_HOLDS_OBJECT(node)) {
		event = json_node_get_object(node);
		if (json_object_has_member(event, "do") &&
		    holds_type(
			json_object_get_member(event, "do"), G_TYPE_STRING))
			kind = trace_find_event_kind(
			    json_object_get_string_member(event, "do"));
	}
	if (kind == NULL) {
		trace_report(trace, path, "field do names no event");
		return NULL;
	}
	if (!trace_check_object(trace, node, path, kind->fields) ||
	    !check_range(trace, event, path, "at", 0, until))
		return NULL;
	return kind;
}

static void
schedule_event(
    struct trace *trace, JsonObject *event, const struct trace_event_kind *kind)
{
	struct scheduled_event *scheduled = g_new(struct scheduled_event, 1);

	scheduled->trace = trace;
	scheduled->kind = kind;
	scheduled->event = event;
	sim_schedule(&trace->sim, json_object_get_double_member(event, "at"),
	    run_event, scheduled);
}

static void
check_events(struct trace *trace, JsonArray *events)
{
	guint n = json_array_get_length(events);

	if (n > MAX_EVENTS)
		trace_report(
		    trace, "$.events", "more than %d events", MAX_EVENTS);
	for (guint i = 0; i < n; i++) {
		char *path = g_strdup_printf("$.events[%u]", i);

		check_event(trace, json_array_get_element(events, i), path);
		g_free(path);
	}
}

static void
schedule_events(struct trace *trace, JsonArray *events)
{
	for (guint i = 0; i < json_array_get_length(events); i++) {
		JsonObject *event = json_array_get_object_element(events, i);

		schedule_event(trace, event,
		    trace_find_event_kind(
			json_object_get_string_member(event, "do")));
	}
}

/* Kills all VMs and runs the pending events, which releases their data. */
static void
finish_run(struct trace *trace)
{
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		struct sim_vm *vm = trace->cluster.vms[i];

		if (vm != NULL && vm->running)
			sim_vm_kill(vm);
	}
	sim_run_until(&trace->sim, 2 * MAX_UNTIL_MS);
}

static enum wv_code
run_trace(struct trace *trace, JsonObject *root)
{
	JsonObject *expect = json_object_get_object_member(root, "expect");
	JsonArray *events = json_object_get_array_member(root, "events");

	write_contract(trace, root);
	check_events(trace, events);
	trace_validate_expect(trace, json_object_get_member(root, "expect"));
	if (trace->messages->len > 0)
		return WV_TRACE_INVALID;
	start_cluster(trace);
	schedule_events(trace, events);
	trace_schedule_expect(trace, expect);
	sim_run_until(
	    &trace->sim, json_object_get_double_member(root, "until"));
	trace_compare_outcomes(trace, expect);
	finish_run(trace);
	return trace->messages->len == 0 ? WV_OK : WV_INTERNAL;
}

static void
free_name(gpointer name)
{
	g_free(name);
}

static enum wv_code
replay_root(struct trace *trace, JsonObject *root)
{
	enum wv_code code;

	trace->names =
	    g_hash_table_new_full(g_str_hash, g_str_equal, free_name, NULL);
	trace->sends =
	    g_array_new(FALSE, FALSE, sizeof(struct trace_sent_request));
	sim_init(&trace->sim, (uint32_t)trace_get_number(root, "seed", 1));
	sim_back_end_init(&trace->back_end, &trace->sim, &trace->shape);
	prepare_searchers(trace, root);
	sim_cluster_init(&trace->cluster, &trace->sim, &trace->back_end,
	    (size_t)trace_get_number(root, "vms", 1));
	code = run_trace(trace, root);
	sim_cluster_clear(&trace->cluster);
	sim_back_end_clear(&trace->back_end);
	sim_clear(&trace->sim);
	g_array_free(trace->sends, TRUE);
	g_hash_table_destroy(trace->names);
	return code;
}

enum wv_code
trace_replay(struct wv_string json, GPtrArray *messages)
{
	struct trace trace = {.messages = messages};
	JsonParser *parser = json_parser_new();
	enum wv_code code = WV_TRACE_INVALID;
	GError *error = NULL;

	if (!json_parser_load_from_data(
		parser, json.data, (gssize)json.length, &error)) {
		/* The parser's message starts with line and column. */
		trace_report(&trace, "$", "%s", error->message);
		g_error_free(error);
	} else {
		trace.root = json_parser_get_root(parser);
		if (trace_check_object(&trace, trace.root, "$", trace_fields) &&
		    read_sizes(&trace, json_node_get_object(trace.root)))
			code = replay_root(
			    &trace, json_node_get_object(trace.root));
	}
	g_object_unref(parser);
	return code;
}
