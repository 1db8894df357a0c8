/**
 * @file
 * The expected outcomes of a trace and their comparison with the actual ones.
 */
#include "bench/driver/trace.h"

static const struct trace_field expect_fields[] = {
    {"answers", TRACE_OBJECT, false}, {"searchers", TRACE_OBJECT, false},
    {"runs", TRACE_OBJECT, false}, {"counters", TRACE_OBJECT, false},
    {"holders", TRACE_ARRAY, false}, {"contracts", TRACE_ARRAY, false},
    {"vms", TRACE_OBJECT, false}, {"double_holders", TRACE_CONDITION, false},
    {0}};
static const struct trace_field answer_fields[] = {
    {"code", TRACE_STRING, false}, {"code_in", TRACE_ARRAY, false},
    {"not_run", TRACE_BOOLEAN, false}, {"full", TRACE_BOOLEAN, false},
    {"started", TRACE_BOOLEAN, false}, {"state", TRACE_STRING, false},
    {"shards", TRACE_CONDITION, false},
    {"shards_total", TRACE_CONDITION, false},
    {"documents", TRACE_CONDITION, false},
    {"documents_total", TRACE_CONDITION, false},
    {"index_version", TRACE_CONDITION, false}, {"map", TRACE_CONDITION, false},
    {"attempts", TRACE_CONDITION, false}, {"version", TRACE_CONDITION, false},
    {"at_ms", TRACE_CONDITION, false}, {"answers", TRACE_CONDITION, false},
    {0}};
static const struct trace_field searcher_fields[] = {
    {"runs", TRACE_CONDITION, false}, {"received", TRACE_CONDITION, false},
    {"most_present", TRACE_CONDITION, false},
    {"double_runs", TRACE_CONDITION, false},
    {"last_arrival_ms", TRACE_CONDITION, false}, {0}};
static const struct trace_field holder_fields[] = {
    {"at", TRACE_NUMBER, true}, {"vm", TRACE_STRING, true}, {0}};
static const struct trace_field contract_fields[] = {{"at", TRACE_NUMBER, true},
    {"vm", TRACE_VM, true}, {"customer", TRACE_STRING, false},
    {"version", TRACE_CONDITION, true}, {0}};
static const struct trace_field vm_fields[] = {
    {"state", TRACE_STRING, true}, {0}};

static const char *const job_states[] = {"claimed", "done", "not_run",
    "unresolved", "resolved_done", "resolved_not_run"};

/* A comparison at a time during the run. */
struct timed_check {
	struct trace *trace;
	JsonObject *expected;
	char *path; /* owned */
};

static void
validate_group(struct trace *trace, JsonObject *expect, const char *group,
    const struct trace_field *fields)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	if (!json_object_has_member(expect, group))
		return;
	json_object_iter_init(
	    &iter, json_object_get_object_member(expect, group));
	while (json_object_iter_next(&iter, &name, &node)) {
		char *path = g_strdup_printf("$.expect.%s.%s", group, name);

		trace_check_object(trace, node, path, fields);
		g_free(path);
	}
}

static void
validate_list(struct trace *trace, JsonObject *expect, const char *group,
    const struct trace_field *fields)
{
	double until =
	    trace_get_number(json_node_get_object(trace->root), "until", 0);
	JsonArray *items;

	if (!json_object_has_member(expect, group))
		return;
	items = json_object_get_array_member(expect, group);
	for (guint i = 0; i < json_array_get_length(items); i++) {
		char *path = g_strdup_printf("$.expect.%s[%u]", group, i);

		if (trace_check_object(trace, json_array_get_element(items, i),
			path, fields) &&
		    trace_get_number(json_array_get_object_element(items, i),
			"at", 0) > until)
			trace_report(trace, path, "at is after the end");
		g_free(path);
	}
}

void
trace_validate_expect(struct trace *trace, JsonNode *node)
{
	JsonObject *expect;

	if (!trace_check_object(trace, node, "$.expect", expect_fields))
		return;
	expect = json_node_get_object(node);
	validate_group(trace, expect, "answers", answer_fields);
	validate_group(trace, expect, "searchers", searcher_fields);
	validate_group(trace, expect, "vms", vm_fields);
	validate_list(trace, expect, "holders", holder_fields);
	validate_list(trace, expect, "contracts", contract_fields);
}

static bool
meets_condition(JsonNode *expected, double actual)
{
	JsonObject *object;

	if (JSON_NODE_HOLDS_VALUE(expected))
		return json_node_get_double(expected) == actual;
	object = json_node_get_object(expected);
	return actual >= trace_get_number(object, "at_least", -1e300) &&
	    actual <= trace_get_number(object, "at_most", 1e300);
}

static void
report_difference(struct trace *trace, const char *path, const char *name,
    JsonNode *expected, const char *actual)
{
	char *text = json_to_string(expected, FALSE);

	trace_report(
	    trace, path, "%s: expected %s, saw %s", name, text, actual);
	g_free(text);
}

/* Compares a number, if the trace states an expected one. */
static void
compare_number(struct trace *trace, const char *path, JsonObject *expected,
    const char *name, double actual)
{
	JsonNode *node = json_object_get_member(expected, name);
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	if (node == NULL || meets_condition(node, actual))
		return;
	g_snprintf(text, sizeof(text), "%.10g", actual);
	report_difference(trace, path, name, node, text);
}

static void
compare_string(struct trace *trace, const char *path, JsonObject *expected,
    const char *name, const char *actual)
{
	JsonNode *node = json_object_get_member(expected, name);

	if (node != NULL && g_strcmp0(json_node_get_string(node), actual) != 0)
		report_difference(trace, path, name, node, actual);
}

/* Compares with a list of allowed values, if the trace states one. */
static void
compare_choice(struct trace *trace, const char *path, JsonObject *expected,
    const char *name, const char *actual)
{
	JsonNode *node = json_object_get_member(expected, name);
	JsonArray *allowed = node != NULL ? json_node_get_array(node) : NULL;

	if (allowed == NULL)
		return;
	for (guint i = 0; i < json_array_get_length(allowed); i++) {
		if (g_strcmp0(
			json_array_get_string_element(allowed, i), actual) == 0)
			return;
	}
	report_difference(trace, path, name, node, actual);
}

static void
compare_boolean(struct trace *trace, const char *path, JsonObject *expected,
    const char *name, bool actual)
{
	JsonNode *node = json_object_get_member(expected, name);

	if (node != NULL && (json_node_get_boolean(node) != 0) != actual)
		report_difference(
		    trace, path, name, node, actual ? "true" : "false");
}

static void
compare_answer(struct trace *trace, const char *path, JsonObject *expected,
    const struct sim_record *record)
{
	const struct wv_answer *answer = &record->answer;
	const struct wv_coverage *coverage = &answer->coverage;
	double version = (double)answer->index_version;
	const char *code =
	    record->answered ? wv_code_name(record->status.code) : "none";

	compare_string(trace, path, expected, "code", code);
	compare_choice(trace, path, expected, "code_in", code);
	compare_boolean(trace, path, expected, "not_run",
	    record->answered && wv_code_proves_not_run(record->status.code));
	compare_boolean(trace, path, expected, "full", answer->full);
	compare_boolean(trace, path, expected, "started", answer->started);
	compare_string(trace, path, expected, "state",
	    record->has_state ? job_states[record->state] : "none");
	compare_number(trace, path, expected, "shards", coverage->shards);
	compare_number(
	    trace, path, expected, "shards_total", coverage->shards_total);
	compare_number(
	    trace, path, expected, "documents", (double)coverage->documents);
	compare_number(trace, path, expected, "documents_total",
	    (double)coverage->documents_total);
	compare_number(trace, path, expected, "index_version", version);
	compare_number(trace, path, expected, "version", version);
	compare_number(trace, path, expected, "map", (double)answer->map);
	compare_number(trace, path, expected, "attempts", answer->attempts);
	compare_number(trace, path, expected, "at_ms", record->answered_at);
	compare_number(trace, path, expected, "answers", record->answers);
}

static void
compare_answers(struct trace *trace, JsonObject *expected)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, expected);
	while (json_object_iter_next(&iter, &name, &node)) {
		const struct sim_record *record =
		    g_hash_table_lookup(trace->names, name);
		char *path = g_strdup_printf("$.expect.answers.%s", name);

		if (record == NULL)
			trace_report(trace, path, "no request has this name");
		else
			compare_answer(
			    trace, path, json_node_get_object(node), record);
		g_free(path);
	}
}

/* Reports requests with several answers; this is an error in any trace. */
static void
report_repeated_answers(struct trace *trace)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, trace->names);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct sim_record *record = value;

		if (record->answers > 1)
			trace_report(trace, name,
			    "answers: expected at most 1, saw %u",
			    record->answers);
	}
}

static void
compare_searcher(struct trace *trace, const char *name, JsonObject *expected)
{
	const struct sim_back_end *back_end = &trace->back_end;

	for (size_t i = 0; i < back_end->topology->n_searchers; i++) {
		const struct sim_searcher *searcher = &back_end->searchers[i];
		char *path;

		if (strcmp(name, "*") != 0 &&
		    !wv_string_equal(wv_string_borrow(name), searcher->id))
			continue;
		path =
		    g_strdup_printf("$.expect.searchers.%s", searcher->id.data);
		compare_number(
		    trace, path, expected, "runs", (double)searcher->runs);
		compare_number(trace, path, expected, "received",
		    (double)searcher->received);
		compare_number(trace, path, expected, "most_present",
		    searcher->max_present);
		compare_number(trace, path, expected, "double_runs",
		    (double)searcher->double_runs);
		compare_number(trace, path, expected, "last_arrival_ms",
		    searcher->last_arrival);
		g_free(path);
	}
}

static void
compare_searchers(struct trace *trace, JsonObject *expected)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, expected);
	while (json_object_iter_next(&iter, &name, &node))
		compare_searcher(trace, name, json_node_get_object(node));
}

static void
compare_runs(struct trace *trace, JsonObject *expected)
{
	JsonObjectIter iter;
	const char *key;
	JsonNode *node;

	json_object_iter_init(&iter, expected);
	while (json_object_iter_next(&iter, &key, &node))
		compare_number(trace, "$.expect.runs", expected, key,
		    GPOINTER_TO_UINT(
			g_hash_table_lookup(trace->back_end.job_runs, key)));
}

/* Returns the sum of a counter over the executors of all processes. */
static double
sum_counter(struct trace *trace, const char *name)
{
	double sum = 0;

	for (guint i = 0; i < trace->cluster.processes->len; i++) {
		struct sim_vm *vm = trace->cluster.processes->pdata[i];
		struct wv_string text =
		    wv_executor_dump(vm->lane.executor, trace->sim.now);
		JsonNode *node = json_from_string(text.data, NULL);
		JsonObject *counters = json_object_get_object_member(
		    json_node_get_object(node), "counters");

		sum += trace_get_number(counters, name, 0);
		json_node_unref(node);
		wv_string_clear(&text);
	}
	return sum;
}

static void
compare_counters(struct trace *trace, JsonObject *expected)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, expected);
	while (json_object_iter_next(&iter, &name, &node))
		compare_number(trace, "$.expect.counters", expected, name,
		    sum_counter(trace, name));
}

static void
compare_vms(struct trace *trace, JsonObject *expected)
{
	JsonObjectIter iter;
	const char *name;
	JsonNode *node;

	json_object_iter_init(&iter, expected);
	while (json_object_iter_next(&iter, &name, &node)) {
		const struct sim_vm *vm = trace_find_vm(trace, name);
		char *path = g_strdup_printf("$.expect.vms.%s", name);

		if (vm == NULL)
			trace_report(trace, path, "not a VM");
		else
			compare_string(trace, path, json_node_get_object(node),
			    "state", vm->running ? "running" : "stopped");
		g_free(path);
	}
}

void
trace_compare_outcomes(struct trace *trace, JsonObject *expect)
{
	static const struct {
		const char *name;
		void (*compare)(struct trace *, JsonObject *);
	} groups[] = {{"answers", compare_answers},
	    {"searchers", compare_searchers}, {"runs", compare_runs},
	    {"counters", compare_counters}, {"vms", compare_vms}};

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		if (json_object_has_member(expect, groups[i].name))
			groups[i].compare(trace,
			    json_object_get_object_member(
				expect, groups[i].name));
	}
	compare_number(trace, "$.expect", expect, "double_holders",
	    (double)trace->cluster.double_holders);
	report_repeated_answers(trace);
}

static void
compare_holder(void *data)
{
	struct timed_check *check = data;
	struct trace *trace = check->trace;
	const struct sim_vm *holder = sim_cluster_find_holder(&trace->cluster);
	const char *expected =
	    json_object_get_string_member(check->expected, "vm");
	bool fits = strcmp(expected, "any") == 0 && holder != NULL;

	if (!fits)
		compare_string(trace, check->path, check->expected, "vm",
		    holder != NULL ? holder->name : "none");
	g_free(check->path);
	g_free(check);
}

static void
compare_contract(void *data)
{
	struct timed_check *check = data;
	struct trace *trace = check->trace;
	const struct sim_vm *vm = trace_find_vm(
	    trace, json_object_get_string_member(check->expected, "vm"));

	compare_number(trace, check->path, check->expected, "version",
	    (double)sim_vm_contract_version(
		vm, trace_get_string(check->expected, "customer", "customer")));
	g_free(check->path);
	g_free(check);
}

static void
schedule_list(struct trace *trace, JsonObject *expect, const char *group,
    sim_event_callback callback)
{
	JsonArray *items;

	if (!json_object_has_member(expect, group))
		return;
	items = json_object_get_array_member(expect, group);
	for (guint i = 0; i < json_array_get_length(items); i++) {
		struct timed_check *check = g_new(struct timed_check, 1);

		check->trace = trace;
		check->expected = json_array_get_object_element(items, i);
		check->path = g_strdup_printf("$.expect.%s[%u]", group, i);
		sim_schedule(&trace->sim,
		    json_object_get_double_member(check->expected, "at"),
		    callback, check);
	}
}

void
trace_schedule_expect(struct trace *trace, JsonObject *expect)
{
	schedule_list(trace, expect, "holders", compare_holder);
	schedule_list(trace, expect, "contracts", compare_contract);
}
