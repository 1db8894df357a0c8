/**
 * @file
 * The kinds of events of a trace: their fields and what they do.
 */
#include "bench/driver/trace.h"

/* Fields that every event has. */
#define EVENT_FIELDS                     \
	{"at", TRACE_NUMBER, true},      \
	{                                \
		"do", TRACE_STRING, true \
	}
/* End of a list of fields. */
#define END_OF_FIELDS \
	{             \
		0     \
	}

static enum wv_rank
read_rank(JsonObject *event)
{
	enum wv_rank rank = WV_RANK_STANDARD;

	wv_rank_parse(
	    wv_string_borrow(trace_get_string(event, "rank", "standard")),
	    &rank);
	return rank;
}

static struct sim_record *
add_named_record(struct trace *trace, JsonObject *event)
{
	const char *name = json_object_get_string_member(event, "name");
	struct sim_record *record = sim_cluster_add_record(&trace->cluster);

	record->request.customer = wv_string_copy(
	    wv_string_borrow(trace_get_string(event, "customer", "customer")));
	record->request.rank = read_rank(event);
	record->request.deadline =
	    trace->sim.now + trace_get_number(event, "deadline_ms", 1000);
	if (!g_hash_table_insert(trace->names, g_strdup(name), record))
		trace_report(
		    trace, "$.events", "two requests have the name %s", name);
	return record;
}

static struct sim_vm *
get_event_vm(struct trace *trace, JsonObject *event)
{
	return trace_resolve_vm(trace, trace_get_string(event, "vm", "vm0"));
}

static const struct trace_field search_fields[] = {EVENT_FIELDS,
    {"name", TRACE_STRING, true}, {"vm", TRACE_VM, false},
    {"customer", TRACE_STRING, false}, {"rank", TRACE_RANK, false},
    {"deadline_ms", TRACE_NUMBER, false}, {"coverage", TRACE_NUMBER, false},
    {"count", TRACE_NUMBER, false}, END_OF_FIELDS};

static void
run_search(struct trace *trace, JsonObject *event)
{
	int count = (int)CLAMP(trace_get_number(event, "count", 1), 1, 10000);
	struct sim_record *record;

	/* Only the last of count searches has a name. */
	for (int i = 1; i < count; i++) {
		record = sim_cluster_add_record(&trace->cluster);
		record->request.customer = wv_string_copy(wv_string_borrow(
		    trace_get_string(event, "customer", "customer")));
		record->request.rank = read_rank(event);
		record->request.deadline = trace->sim.now +
		    trace_get_number(event, "deadline_ms", 1000);
		sim_vm_submit(get_event_vm(trace, event), record);
	}
	record = add_named_record(trace, event);
	record->request.coverage_minimum =
	    trace_get_number(event, "coverage", 0);
	sim_vm_submit(get_event_vm(trace, event), record);
}

static const struct trace_field job_fields[] = {EVENT_FIELDS,
    {"name", TRACE_STRING, true}, {"vm", TRACE_VM, false},
    {"customer", TRACE_STRING, false}, {"rank", TRACE_RANK, false},
    {"key", TRACE_STRING, true}, {"payload", TRACE_STRING, false},
    {"deadline_ms", TRACE_NUMBER, false}, END_OF_FIELDS};

static void
run_job(struct trace *trace, JsonObject *event)
{
	struct sim_record *record = add_named_record(trace, event);

	record->request.work = WV_WORK_JOB;
	record->request.key = wv_string_copy(
	    wv_string_borrow(json_object_get_string_member(event, "key")));
	record->request.text = wv_string_copy(
	    wv_string_borrow(trace_get_string(event, "payload", "payload")));
	sim_vm_submit(get_event_vm(trace, event), record);
}

static void
run_lookup(struct trace *trace, JsonObject *event)
{
	struct sim_record *record = add_named_record(trace, event);

	record->lookup = true;
	record->request.work = WV_WORK_JOB;
	record->request.key = wv_string_copy(
	    wv_string_borrow(json_object_get_string_member(event, "key")));
	sim_vm_submit(get_event_vm(trace, event), record);
}

static const struct trace_field resolve_fields[] = {EVENT_FIELDS,
    {"name", TRACE_STRING, true}, {"vm", TRACE_VM, false},
    {"customer", TRACE_STRING, false}, {"key", TRACE_STRING, true},
    {"done", TRACE_BOOLEAN, true}, END_OF_FIELDS};

static void
run_resolve(struct trace *trace, JsonObject *event)
{
	struct sim_record *record = add_named_record(trace, event);

	record->resolve = true;
	record->resolve_done = trace_get_boolean(event, "done");
	record->request.work = WV_WORK_JOB;
	record->request.key = wv_string_copy(
	    wv_string_borrow(json_object_get_string_member(event, "key")));
	sim_vm_submit(get_event_vm(trace, event), record);
}

static const struct trace_field contract_fields[] = {EVENT_FIELDS,
    {"name", TRACE_STRING, true}, {"vm", TRACE_VM, false},
    {"customer", TRACE_STRING, false}, {"if_version", TRACE_NUMBER, true},
    {"contract", TRACE_OBJECT, true}, END_OF_FIELDS};

static void
run_contract(struct trace *trace, JsonObject *event)
{
	struct sim_record *record = add_named_record(trace, event);
	char *text =
	    json_to_string(json_object_get_member(event, "contract"), FALSE);

	sim_vm_put_contract(get_event_vm(trace, event), record,
	    trace_get_string(event, "customer", "customer"), text,
	    trace_get_integer(event, "if_version", 0));
	g_free(text);
}

static const struct trace_field faults_fields[] = {EVENT_FIELDS,
    {"searcher", TRACE_SEARCHER, true}, {"slow", TRACE_NUMBER, false},
    {"lost", TRACE_BOOLEAN, false}, {"shedding", TRACE_BOOLEAN, false},
    {"draining", TRACE_BOOLEAN, false}, {"refusing", TRACE_BOOLEAN, false},
    {"wrong_version", TRACE_BOOLEAN, false}, {"partial", TRACE_BOOLEAN, false},
    {"truncated", TRACE_BOOLEAN, false}, {"doubled", TRACE_BOOLEAN, false},
    {"crossed", TRACE_BOOLEAN, false}, {"manual", TRACE_BOOLEAN, false},
    {"late_ms", TRACE_NUMBER, false}, END_OF_FIELDS};

/* Calls visit for the searcher of an event, or for all if it is "*". */
static void
foreach_searcher(struct trace *trace, JsonObject *event,
    void (*visit)(struct trace *, JsonObject *, size_t))
{
	const char *name = json_object_get_string_member(event, "searcher");
	size_t n = trace->back_end.topology->n_searchers;

	for (size_t i = 0; i < n; i++) {
		if (strcmp(name, "*") == 0 ||
		    wv_string_equal(wv_string_borrow(name),
			trace->back_end.topology->searchers[i].id))
			visit(trace, event, i);
	}
}

static void
set_faults(struct trace *trace, JsonObject *event, size_t searcher)
{
	struct sim_faults *faults = &trace->back_end.searchers[searcher].faults;

	faults->slow = trace_get_number(event, "slow", 0);
	faults->lost = trace_get_boolean(event, "lost");
	faults->shedding = trace_get_boolean(event, "shedding");
	faults->draining = trace_get_boolean(event, "draining");
	faults->refusing = trace_get_boolean(event, "refusing");
	faults->wrong_version = trace_get_boolean(event, "wrong_version");
	faults->partial = trace_get_boolean(event, "partial");
	faults->truncated = trace_get_boolean(event, "truncated");
	faults->doubled = trace_get_boolean(event, "doubled");
	faults->crossed = trace_get_boolean(event, "crossed");
	faults->manual = trace_get_boolean(event, "manual");
	faults->reply_delay = trace_get_number(event, "late_ms", 0);
}

static void
run_faults(struct trace *trace, JsonObject *event)
{
	foreach_searcher(trace, event, set_faults);
}

static const struct trace_field holds_fields[] = {EVENT_FIELDS,
    {"searcher", TRACE_SEARCHER, true}, {"oldest", TRACE_NUMBER, true},
    {"newest", TRACE_NUMBER, true}, {"map", TRACE_NUMBER, false},
    {"report", TRACE_BOOLEAN, false}, END_OF_FIELDS};

static void
set_versions(struct trace *trace, JsonObject *event, size_t index)
{
	struct sim_searcher *searcher = &trace->back_end.searchers[index];
	uint64_t versions[8];
	size_t n = 0;

	searcher->oldest_version = trace_get_integer(event, "oldest", 0);
	searcher->index_version = trace_get_integer(event, "newest", 0);
	searcher->map = trace_get_integer(event, "map", searcher->map);
	if (!trace_get_boolean(event, "report"))
		return;
	for (uint64_t v = searcher->index_version;
	     v >= searcher->oldest_version && n < G_N_ELEMENTS(versions); v--)
		versions[n++] = v;
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		struct sim_vm *vm = trace->cluster.vms[i];

		if (!vm->running)
			continue;
		wv_executor_update_versions(vm->lane.executor, trace->sim.now,
		    searcher->id, versions, n, searcher->map);
		sim_lane_schedule_tick(&vm->lane);
	}
}

static void
run_holds(struct trace *trace, JsonObject *event)
{
	foreach_searcher(trace, event, set_versions);
}

static const struct trace_field publish_fields[] = {EVENT_FIELDS,
    {"index_version", TRACE_NUMBER, false}, {"map", TRACE_NUMBER, false},
    {"searcher", TRACE_SEARCHER, false}, {"generation", TRACE_NUMBER, false},
    END_OF_FIELDS};

static void
set_generation(struct trace *trace, JsonObject *event, size_t searcher)
{
	trace->back_end.topology->searchers[searcher].generation =
	    trace_get_integer(event, "generation", 1);
}

/* Changes the back end's topology; all running VMs apply it at once. */
static void
run_publish(struct trace *trace, JsonObject *event)
{
	struct wv_topology *topology = trace->back_end.topology;

	topology->version++;
	topology->index_version =
	    trace_get_integer(event, "index_version", topology->index_version);
	topology->map = trace_get_integer(event, "map", topology->map);
	if (json_object_has_member(event, "searcher"))
		foreach_searcher(trace, event, set_generation);
	for (size_t i = 0; i < trace->cluster.n_vms; i++) {
		struct sim_vm *vm = trace->cluster.vms[i];

		if (!vm->running)
			continue;
		wv_executor_set_topology(
		    vm->lane.executor, trace->sim.now, topology);
		sim_lane_schedule_tick(&vm->lane);
	}
}

static const struct trace_field leaving_fields[] = {EVENT_FIELDS,
    {"vm", TRACE_VM, false}, {"searcher", TRACE_SEARCHER, true},
    {"generation", TRACE_NUMBER, false}, {"source", TRACE_STRING, true},
    END_OF_FIELDS};

static void
run_leaving(struct trace *trace, JsonObject *event)
{
	static const char *const names[] = {
	    "vm_list", "store", "health", "header", "refused", "peer"};
	const char *source = json_object_get_string_member(event, "source");
	struct sim_vm *vm = get_event_vm(trace, event);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], source) != 0)
			continue;
		wv_executor_mark_leaving(vm->lane.executor, trace->sim.now,
		    wv_string_borrow(
			json_object_get_string_member(event, "searcher")),
		    trace_get_integer(event, "generation", 1),
		    (enum wv_leaving_source)i);
		sim_lane_schedule_tick(&vm->lane);
		return;
	}
	trace_report(trace, "$.events", "no source is named %s", source);
}

static const struct trace_field reply_fields[] = {EVENT_FIELDS,
    {"request", TRACE_STRING, true}, {"service", TRACE_NUMBER, true},
    {"attempt", TRACE_NUMBER, false}, {"outcome", TRACE_STRING, true},
    {"index_version", TRACE_NUMBER, false}, {"map", TRACE_NUMBER, false},
    {"documents", TRACE_NUMBER, false},
    {"documents_total", TRACE_NUMBER, false}, {"partial", TRACE_BOOLEAN, false},
    {"draining", TRACE_BOOLEAN, false}, {"foreign", TRACE_BOOLEAN, false},
    {"keep_slot", TRACE_BOOLEAN, false}, END_OF_FIELDS};

/*
 * Finds an attempt of a request at a service by its number, starting from 1; 0
 * is the last one.
 */
static const struct trace_sent_request *
find_sent_request(
    const struct trace *trace, uint64_t request, size_t service, size_t n)
{
	const struct trace_sent_request *found = NULL;
	size_t seen = 0;

	for (guint i = 0; i < trace->sends->len; i++) {
		const struct trace_sent_request *send =
		    &g_array_index(trace->sends, struct trace_sent_request, i);

		if (send->request != request || send->service != service)
			continue;
		found = send;
		if (++seen == n)
			return found;
	}
	return n == 0 ? found : NULL;
}

static bool
parse_outcome(const char *name, enum wv_reply_outcome *outcome)
{
	static const char *const names[] = {"answered", "not_started",
	    "version_gone", "not_sent", "failed", "timed_out"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], name) == 0) {
			*outcome = (enum wv_reply_outcome)i;
			return true;
		}
	}
	return false;
}

static void
run_reply(struct trace *trace, JsonObject *event)
{
	const char *name = json_object_get_string_member(event, "request");
	const struct sim_record *record =
	    g_hash_table_lookup(trace->names, name);
	const struct trace_sent_request *send = NULL;
	struct wv_shard_reply reply = {0};

	if (record != NULL)
		send = find_sent_request(trace, record->request.id,
		    trace_get_integer(event, "service", 0),
		    trace_get_integer(event, "attempt", 0));
	if (send == NULL ||
	    !parse_outcome(json_object_get_string_member(event, "outcome"),
		&reply.outcome)) {
		trace_report(trace, "$.events",
		    "no such attempt or outcome for a reply to %s", name);
		return;
	}
	reply.attempt = send->attempt;
	if (trace_get_boolean(event, "foreign"))
		reply.attempt.counter += 1000000;
	reply.index_version =
	    trace_get_integer(event, "index_version", send->index_version);
	reply.map = trace_get_integer(event, "map", send->map);
	reply.documents = trace_get_integer(event, "documents", 1000);
	reply.documents_total =
	    trace_get_integer(event, "documents_total", 1000);
	reply.partial = trace_get_boolean(event, "partial");
	reply.draining = trace_get_boolean(event, "draining");
	if (!trace_get_boolean(event, "keep_slot"))
		sim_searcher_abort(
		    &trace->back_end.searchers[send->searcher], send->attempt);
	send->vm->lane.client.reply(&send->vm->lane.client, &reply);
}

static const struct trace_field store_fields[] = {EVENT_FIELDS,
    {"down", TRACE_BOOLEAN, false}, {"delay_ms", TRACE_NUMBER, false},
    {"lose_answers", TRACE_NUMBER, false}, {"lose_calls", TRACE_NUMBER, false},
    END_OF_FIELDS};

static void
run_store(struct trace *trace, JsonObject *event)
{
	struct sim_store *store = &trace->cluster.store;

	store->down = trace_get_boolean(event, "down");
	store->delay = trace_get_number(event, "delay_ms", 2);
	store->lose_answers =
	    (uint32_t)trace_get_integer(event, "lose_answers", 0);
	store->lose_calls = (uint32_t)trace_get_integer(event, "lose_calls", 0);
}

static const struct trace_field vm_fields[] = {EVENT_FIELDS,
    {"vm", TRACE_VM, true}, {"for_ms", TRACE_NUMBER, false}, END_OF_FIELDS};

static void
run_cut(struct trace *trace, JsonObject *event)
{
	get_event_vm(trace, event)->isolated = true;
}

static void
run_heal(struct trace *trace, JsonObject *event)
{
	get_event_vm(trace, event)->isolated = false;
}

static void
run_kill(struct trace *trace, JsonObject *event)
{
	sim_vm_kill(get_event_vm(trace, event));
}

static const struct trace_field outage_fields[] = {
    EVENT_FIELDS, {"down", TRACE_BOOLEAN, true}, END_OF_FIELDS};

static void
run_vm_list_outage(struct trace *trace, JsonObject *event)
{
	trace->cluster.vm_list_down = trace_get_boolean(event, "down");
}

static void
run_start(struct trace *trace, JsonObject *event)
{
	sim_cluster_start_vm(
	    &trace->cluster, get_event_vm(trace, event)->index);
}

static void
run_pause(struct trace *trace, JsonObject *event)
{
	sim_vm_pause(get_event_vm(trace, event),
	    trace_get_number(event, "for_ms", 1000));
}

static void
run_drain(struct trace *trace, JsonObject *event)
{
	sim_vm_drain(get_event_vm(trace, event));
}

static const struct trace_field list_fields[] = {
    EVENT_FIELDS, {"vms", TRACE_ARRAY, true}, END_OF_FIELDS};

static void
run_list(struct trace *trace, JsonObject *event)
{
	JsonArray *names = json_object_get_array_member(event, "vms");
	bool listed[SIM_MAX_VMS] = {false};

	for (guint i = 0; i < json_array_get_length(names); i++) {
		const char *name = json_array_get_string_element(names, i);
		struct sim_vm *vm =
		    name != NULL ? trace_find_vm(trace, name) : NULL;

		if (vm == NULL)
			trace_report(trace, "$.events", "vm_list: not a VM");
		else
			listed[vm->index] = true;
	}
	sim_cluster_set_vm_list(&trace->cluster, listed);
}

static const struct trace_event_kind kinds[] = {
    {"search", search_fields, run_search}, {"job", job_fields, run_job},
    {"lookup", job_fields, run_lookup},
    {"resolve", resolve_fields, run_resolve},
    {"contract", contract_fields, run_contract},
    {"faults", faults_fields, run_faults}, {"holds", holds_fields, run_holds},
    {"publish", publish_fields, run_publish},
    {"leaving", leaving_fields, run_leaving},
    {"reply", reply_fields, run_reply}, {"store", store_fields, run_store},
    {"cut", vm_fields, run_cut}, {"heal", vm_fields, run_heal},
    {"kill", vm_fields, run_kill}, {"start", vm_fields, run_start},
    {"pause", vm_fields, run_pause}, {"drain", vm_fields, run_drain},
    {"vm_list", list_fields, run_list},
    {"vm_list_outage", outage_fields, run_vm_list_outage}};

const struct trace_event_kind *
trace_find_event_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			return &kinds[i];
	}
	return NULL;
}
