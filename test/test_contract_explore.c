/**
 * @file
 * Exhaustive exploration of event orders around a contract change: two
 * operators, lost responses, three VMs, stale reads, slow peers, a restart, a
 * store outage. The checks detect an older version in force, two operators who
 * both replace the same version, wrong outcomes reported to operators, and
 * contracts that no source confirmed. Each check has a mutation that it must
 * detect.
 */
#include <urcu.h>

#include "test/explore_model.h"

#define N_VMS 3
#define N_OPERATORS 2
#define MAX_CHANGES 8
#define MAX_STATES 100000
#define JSON                                                                \
	"{\"customer\":\"k\",\"job_retention_s\":60,\"back_ends\":{\"b\":{" \
	"\"hedge_budget\":0,\"retry_budget\":0,\"ranks\":{\"urgent\":{"     \
	"\"share\":0,\"rate\":1,\"burst\":1,\"concurrency\":1,"             \
	"\"deadline_ms\":1,\"coverage_minimum\":0}}}}}"

/* Deliberate faults that the checks must detect. */
enum mutation {
	NO_MUTATION,
	TABLE_ACCEPTS_OLDER,
	STORE_IGNORES_VERSION,
	CONFIRMED_AT_START, /* the table of a new process counts as loaded */
	LOST_IS_CONFLICT, /* reports a lost response as a conflict */
	DELETION_DROPS_TABLE /* drops the contract and its version */
};

/* Remaining numbers of faults and messages, and the options of a run. */
struct scenario {
	unsigned losses, stale_reads, restarts, outages, messages;
	bool deletes; /* the second operator deletes the contract */
	enum mutation mutation;
	const char *only_fault; /* if not NULL, report only this fault */
};

enum event_kind {
	OPERATOR_READ,
	OPERATOR_PUT,
	OPERATOR_PUT_LOST,
	VM_READ,
	VM_READ_STALE,
	PEER_SEND,
	PEER_DELIVER,
	RESTART,
	OUTAGE
};

static const char *const event_names[] = {"operator-read", "put", "put-lost",
    "read", "stale-read", "send", "deliver", "restart", "outage"};

/* A change accepted by the store; the first exists from the start. */
struct change {
	uint64_t version;
	uint64_t replaces; /* version that the operator had read */
	bool deleted;
	int author; /* index of the operator */
};

enum operator_step { TO_READ, TO_PUT, TO_READ_BACK, SUCCEEDED, CONFLICTED };

struct operator
{
	enum operator_step step;
	uint64_t base; /* version that the operator read */
};

struct vm {
	struct wv_contract_table *table;
	struct wv_sync *sync;
	uint64_t max_version; /* highest version of this process so far */
};

/* A contract in transit between two VMs. */
struct message {
	size_t change; /* index of the change plus one; 0 if there is none */
	bool loaded; /* whether the sender's table is confirmed */
	int to; /* index of the receiving VM */
};

/* Store, operators, VMs and network. */
struct simulation {
	struct scenario remaining;
	struct change changes[MAX_CHANGES];
	size_t n_changes;
	struct operator operators[N_OPERATORS];
	struct vm vms[N_VMS];
	struct message messages[2];
	bool store_down;
	const char *fault;
};

static void
start_vm(struct simulation *sim, int i)
{
	struct vm *vm = &sim->vms[i];

	vm->table = wv_contract_table_create();
	vm->sync = wv_sync_create(vm->table);
	vm->max_version = 0;
	if (sim->remaining.mutation == CONFIRMED_AT_START)
		wv_sync_record_confirmation(vm->sync, 0);
}

static void
stop_vm(struct vm *vm)
{
	wv_sync_destroy(vm->sync);
	wv_contract_table_destroy(vm->table);
}

static uint64_t
latest_version(const struct vm *vm)
{
	const struct wv_contract *contract =
	    wv_contract_table_latest(vm->table, wv_string_borrow("k"));

	return contract == NULL ? 0 : contract->version;
}

/* Replaces the table of a VM by an empty one. */
static void
reset_table(struct vm *vm)
{
	bool loaded = wv_sync_is_loaded(vm->sync);

	stop_vm(vm);
	vm->table = wv_contract_table_create();
	vm->sync = wv_sync_create(vm->table);
	if (loaded)
		wv_sync_record_confirmation(vm->sync, 0);
}

/* Passes a change to a VM, as after a store read or a frame from a peer. */
static void
apply_change(struct simulation *sim, int i, size_t index, bool confirmed)
{
	struct vm *vm = &sim->vms[i];
	const struct change *change = &sim->changes[index];
	struct wv_status status;

	if (sim->remaining.mutation == TABLE_ACCEPTS_OLDER &&
	    change->version < latest_version(vm))
		reset_table(vm);
	if (sim->remaining.mutation == DELETION_DROPS_TABLE && change->deleted)
		reset_table(vm);
	else
		wv_sync_apply_update(vm->sync, wv_string_borrow("k"),
		    wv_string_borrow(JSON), change->version, change->deleted,
		    &status);
	if (confirmed)
		wv_sync_record_confirmation(vm->sync, 0);
}

static void *
create_simulation(const void *scenario)
{
	struct simulation *sim = g_new0(struct simulation, 1);

	sim->remaining = *(const struct scenario *)scenario;
	sim->changes[0].version = 3;
	sim->n_changes = 1;
	for (int i = 0; i < N_VMS; i++) {
		start_vm(sim, i);
		apply_change(sim, i, 0, true);
		sim->vms[i].max_version = 3;
	}
	return sim;
}

static void
destroy_simulation(void *data)
{
	struct simulation *sim = data;

	for (int i = 0; i < N_VMS; i++)
		stop_vm(&sim->vms[i]);
	g_free(sim);
}

struct event_list {
	struct explore_event *events;
	size_t n;
};

static void
add_event(struct event_list *list, bool possible, int kind, int arg)
{
	if (!possible)
		return;
	g_assert_cmpuint(list->n, <, EXPLORE_MAX_EVENTS);
	list->events[list->n].kind = kind;
	list->events[list->n].arg = arg;
	list->n++;
}

static void
list_operators(const struct simulation *sim, struct event_list *list)
{
	for (int i = 0; i < N_OPERATORS; i++) {
		enum operator_step step = sim->operators[i].step;

		add_event(list,
		    !sim->store_down &&
			(step == TO_READ || step == TO_READ_BACK),
		    OPERATOR_READ, i);
		add_event(
		    list, !sim->store_down && step == TO_PUT, OPERATOR_PUT, i);
		add_event(list,
		    !sim->store_down && step == TO_PUT &&
			sim->remaining.losses > 0,
		    OPERATOR_PUT_LOST, i);
	}
}

static size_t
list_events(void *data, struct explore_event *events)
{
	struct simulation *sim = data;
	struct event_list list = {events, 0};
	const struct scenario *remaining = &sim->remaining;

	list_operators(sim, &list);
	/* The first VM watches the store; the others get updates from peers. */
	add_event(&list, !sim->store_down, VM_READ, 0);
	add_event(&list,
	    !sim->store_down && remaining->stale_reads > 0 &&
		sim->n_changes > 1,
	    VM_READ_STALE, 0);
	for (int from = 0; from < N_VMS; from++)
		add_event(&list,
		    remaining->messages > 0 &&
			latest_version(&sim->vms[from]) > 0,
		    PEER_SEND, from);
	for (int i = 0; i < 2; i++)
		add_event(&list, sim->messages[i].change > 0, PEER_DELIVER, i);
	add_event(&list, remaining->restarts > 0, RESTART, 0);
	add_event(&list, remaining->restarts > 0, RESTART, 1);
	add_event(&list, remaining->outages > 0 || sim->store_down, OUTAGE, 0);
	return list.n;
}

/* Applies an operator's change to the store unless there is a conflict. */
static bool
put_change(struct simulation *sim, int i)
{
	const struct change *last = &sim->changes[sim->n_changes - 1];
	struct change *change = &sim->changes[sim->n_changes];

	if (last->version != sim->operators[i].base &&
	    sim->remaining.mutation != STORE_IGNORES_VERSION)
		return false;
	g_assert_cmpuint(sim->n_changes, <, MAX_CHANGES);
	change->version = last->version + 2;
	change->replaces = sim->operators[i].base;
	change->author = i;
	change->deleted = i == 1 && sim->remaining.deletes;
	sim->n_changes++;
	return true;
}

/* Reads an operator's change back from the store after a lost response. */
static bool
has_change_of(const struct simulation *sim, int i)
{
	for (size_t k = 1; k < sim->n_changes; k++) {
		if (sim->changes[k].author == i)
			return true;
	}
	return false;
}

static void
apply_operator(struct simulation *sim, int kind, int i)
{
	struct operator* op = & sim->operators[i];

	if (kind == OPERATOR_PUT) {
		op->step = put_change(sim, i) ? SUCCEEDED : CONFLICTED;
	} else if (kind == OPERATOR_PUT_LOST) {
		sim->remaining.losses--;
		put_change(sim, i);
		op->step = sim->remaining.mutation == LOST_IS_CONFLICT
		    ? CONFLICTED
		    : TO_READ_BACK;
	} else if (op->step == TO_READ_BACK) {
		op->step = has_change_of(sim, i) ? SUCCEEDED : CONFLICTED;
	} else {
		op->base = sim->changes[sim->n_changes - 1].version;
		op->step = TO_PUT;
	}
}

static size_t
find_change(const struct simulation *sim, uint64_t version)
{
	size_t i = 0;

	while (sim->changes[i].version != version)
		i++;
	return i;
}

/* Sends a VM's contract to the next VM; it is delivered by a later event. */
static void
send_contract(struct simulation *sim, int from)
{
	struct message *message =
	    &sim->messages[sim->messages[0].change > 0 ? 1 : 0];

	sim->remaining.messages--;
	message->change = find_change(sim, latest_version(&sim->vms[from])) + 1;
	message->loaded = wv_sync_is_loaded(sim->vms[from].sync);
	message->to = (from + 1) % N_VMS;
}

static void
deliver_message(struct simulation *sim, struct message *message)
{
	size_t change = message->change - 1;

	message->change = 0;
	apply_change(sim, message->to, change, message->loaded);
}

static void
apply_event(void *data, struct explore_event event)
{
	struct simulation *sim = data;

	switch (event.kind) {
	case VM_READ:
		apply_change(sim, event.arg, sim->n_changes - 1, true);
		break;
	case VM_READ_STALE:
		sim->remaining.stale_reads--;
		apply_change(sim, event.arg, sim->n_changes - 2, true);
		break;
	case PEER_SEND:
		send_contract(sim, event.arg);
		break;
	case PEER_DELIVER:
		deliver_message(sim, &sim->messages[event.arg]);
		break;
	case RESTART:
		sim->remaining.restarts--;
		stop_vm(&sim->vms[event.arg]);
		start_vm(sim, event.arg);
		break;
	case OUTAGE:
		if (!sim->store_down)
			sim->remaining.outages--;
		sim->store_down = !sim->store_down;
		break;
	default:
		apply_operator(sim, event.kind, event.arg);
	}
	for (int i = 0; i < N_VMS; i++) {
		if (latest_version(&sim->vms[i]) < sim->vms[i].max_version)
			sim->fault = "an older version came in force";
		sim->vms[i].max_version =
		    MAX(sim->vms[i].max_version, latest_version(&sim->vms[i]));
	}
}

/* Returns whether a fault is to be reported in this run. */
static bool
is_reported(const struct simulation *sim, const char *fault)
{
	return sim->remaining.only_fault == NULL ||
	    strcmp(sim->remaining.only_fault, fault) == 0;
}

#define OLDER_VERSION "an older version came in force"
#define DOUBLE_REPLACE "two changes replaced one version"
#define WRONG_OUTCOME "an operator was told the wrong outcome"
#define UNCONFIRMED "a table that no source confirmed counts as loaded"
#define DELETED_IN_FORCE "a deleted contract is in force"
#define DIVERGED "VMs do not agree"

/* Of two operators who replace one version, one must get a conflict. */
static bool
has_double_replace(const struct simulation *sim)
{
	const struct operator* a = & sim->operators[0];
	const struct operator* b = & sim->operators[1];

	return a->step == SUCCEEDED && b->step == SUCCEEDED &&
	    a->base == b->base;
}

/* Success or conflict must be reported to an operator only if it is true. */
static bool
has_wrong_outcome(const struct simulation *sim)
{
	for (int i = 0; i < N_OPERATORS; i++) {
		enum operator_step step = sim->operators[i].step;

		if ((step == SUCCEEDED && !has_change_of(sim, i)) ||
		    (step == CONFLICTED && has_change_of(sim, i)))
			return true;
	}
	return false;
}

static const char *
check_simulation(void *data)
{
	struct simulation *sim = data;

	if (sim->fault != NULL && is_reported(sim, OLDER_VERSION))
		return OLDER_VERSION;
	if (has_double_replace(sim) && is_reported(sim, DOUBLE_REPLACE))
		return DOUBLE_REPLACE;
	if (has_wrong_outcome(sim) && is_reported(sim, WRONG_OUTCOME))
		return WRONG_OUTCOME;
	for (int i = 0; i < N_VMS; i++) {
		const struct vm *vm = &sim->vms[i];

		/* All sources have the customer, so no source can have
		 * confirmed a table without it. */
		if (wv_sync_is_loaded(vm->sync) && latest_version(vm) == 0 &&
		    is_reported(sim, UNCONFIRMED))
			return UNCONFIRMED;
	}
	return NULL;
}

/* Returns whether a VM has a contract in force that was deleted. */
static bool
has_deleted_in_force(const struct simulation *sim, const struct vm *vm)
{
	bool in_force;

	rcu_read_lock();
	in_force =
	    wv_contract_table_find(vm->table, wv_string_borrow("k")) != NULL;
	rcu_read_unlock();
	return in_force && sim->changes[sim->n_changes - 1].deleted;
}

/* With the store up, delivers all updates and checks that the VMs agree. */
static const char *
finish_simulation(void *data)
{
	struct simulation *sim = data;
	const struct change *last = &sim->changes[sim->n_changes - 1];

	apply_change(sim, 0, sim->n_changes - 1, true);
	for (int i = 1; i < N_VMS; i++) {
		if (wv_sync_has_different_digest(sim->vms[i].sync,
			wv_contract_table_digest(sim->vms[0].table)))
			apply_change(sim, i, sim->n_changes - 1, true);
	}
	for (int i = 0; i < 2; i++) {
		if (sim->messages[i].change > 0)
			deliver_message(sim, &sim->messages[i]);
	}
	for (int i = 0; i < N_VMS; i++) {
		if (has_deleted_in_force(sim, &sim->vms[i]) &&
		    is_reported(sim, DELETED_IN_FORCE))
			return DELETED_IN_FORCE;
		if (latest_version(&sim->vms[i]) != last->version &&
		    is_reported(sim, DIVERGED))
			return DIVERGED;
	}
	return NULL;
}

static void
describe_simulation(void *data, GString *out)
{
	struct simulation *sim = data;
	const struct scenario *remaining = &sim->remaining;

	g_string_append_printf(out, "%u%u%u%u%u %d", remaining->losses,
	    remaining->stale_reads, remaining->restarts, remaining->outages,
	    remaining->messages, sim->store_down);
	for (size_t i = 0; i < sim->n_changes; i++)
		g_string_append_printf(out, " %d<%d%d",
		    (int)sim->changes[i].version, (int)sim->changes[i].replaces,
		    sim->changes[i].deleted);
	for (int i = 0; i < N_OPERATORS; i++)
		g_string_append_printf(out, " o%d %d", sim->operators[i].step,
		    (int)sim->operators[i].base);
	for (int i = 0; i < N_VMS; i++)
		g_string_append_printf(out, " v%d %d %d",
		    (int)latest_version(&sim->vms[i]),
		    (int)sim->vms[i].max_version,
		    wv_sync_is_loaded(sim->vms[i].sync));
	for (int i = 0; i < 2; i++)
		g_string_append_printf(out, " m%d %d %d",
		    (int)sim->messages[i].change, sim->messages[i].loaded,
		    sim->messages[i].change > 0 ? sim->messages[i].to : -1);
}

static const char *
event_name(struct explore_event event)
{
	return event_names[event.kind];
}

static const struct explore_model model = {create_simulation,
    destroy_simulation, list_events, apply_event, check_simulation,
    finish_simulation, describe_simulation, event_name};

/* Two operators change one contract; a response may be lost. */
static const struct scenario changes = {
    .losses = 1, .stale_reads = 1, .messages = 2};
/* The second operator deletes the contract; copies may arrive late. */
static const struct scenario deletions = {
    .stale_reads = 1, .messages = 2, .deletes = true};
/* A VM restarts while the store is down. */
static const struct scenario restarts = {
    .restarts = 1, .outages = 1, .messages = 2};

static void
explore_scenario(const void *data)
{
	const char *fault = explore_all(&model, data, "contract", MAX_STATES);

	g_assert_cmpstr(fault, ==, NULL);
}

struct mutation_case {
	const struct scenario *scenario;
	enum mutation mutation;
	const char *fault;
};

static const struct mutation_case mutations[] = {
    {&changes, TABLE_ACCEPTS_OLDER, OLDER_VERSION},
    {&deletions, TABLE_ACCEPTS_OLDER, DELETED_IN_FORCE},
    {&changes, STORE_IGNORES_VERSION, DOUBLE_REPLACE},
    {&changes, LOST_IS_CONFLICT, WRONG_OUTCOME},
    {&restarts, CONFIRMED_AT_START, UNCONFIRMED},
    {&deletions, DELETION_DROPS_TABLE, DELETED_IN_FORCE},
    {&deletions, DELETION_DROPS_TABLE, DIVERGED},
};

/* Each mutation must be detected, or the check would prove nothing. */
static void
explore_mutation(const void *data)
{
	const struct mutation_case *test_case = data;
	struct scenario scenario = *test_case->scenario;
	const char *fault;

	scenario.mutation = test_case->mutation;
	scenario.only_fault = test_case->fault;
	fault = explore_all(&model, &scenario, "mutated contract", MAX_STATES);
	g_assert_cmpstr(fault, ==, test_case->fault);
}

int
main(int argc, char **argv)
{
	char path[64];
	int result;

	rcu_register_thread();
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func(
	    "/contract-explore/changes", &changes, explore_scenario);
	g_test_add_data_func(
	    "/contract-explore/deletions", &deletions, explore_scenario);
	g_test_add_data_func(
	    "/contract-explore/restarts", &restarts, explore_scenario);
	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		g_snprintf(
		    path, sizeof(path), "/contract-explore/mutation/%zu", i);
		g_test_add_data_func(path, &mutations[i], explore_mutation);
	}
	result = g_test_run();
	rcu_unregister_thread();
	return result;
}
