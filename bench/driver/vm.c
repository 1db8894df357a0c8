/**
 * @file
 * The life of a VM's process, and requests of callers.
 */
#include "bench/driver/vm.h"

/* How long callers keep addresses, and how long a withdrawal spreads, ms. */
#define ADDRESS_LIFETIME 2000.0
#define SPREAD_TIME 400.0

bool
sim_vm_defer(struct sim_vm *vm, sim_event_callback callback, void *data)
{
	struct sim *sim = vm->fleet->sim;

	if (vm->paused_until <= sim->now)
		return false;
	sim_at(sim, vm->paused_until, callback, data);
	return true;
}

bool
sim_vm_connected(const struct sim_vm *a, const struct sim_vm *b)
{
	return a == b || (a->running && b->running && !a->cut && !b->cut);
}

void
sim_record_finish(
    struct sim_record *record, enum wv_code code, const char *message)
{
	record->answers++;
	if (record->answered)
		return;
	record->answered = true;
	record->answered_at = record->vm->fleet->sim->now;
	record->status.code = code;
	g_strlcpy(record->status.message, message, WV_MESSAGE_SIZE);
	record->vm->in_progress--;
}

static struct sim_record *
find_record(const struct sim_fleet *fleet, uint64_t id)
{
	return fleet->records->pdata[id - 1];
}

static void
take_answer(void *data, const struct wv_answer *answer)
{
	struct sim_vm *vm = data;
	struct sim_record *record = find_record(vm->fleet, answer->request);

	if (record->request.work == WV_WORK_JOB) {
		sim_vm_job_answered(vm, answer);
		return;
	}
	record->answer = *answer;
	sim_record_finish(record, answer->status.code, answer->status.message);
}

static bool
may_send_job(void *data, uint64_t request)
{
	struct sim_vm *vm = data;

	return wv_job_store_may_send(vm->jobs, vm->fleet->sim->now, request);
}

static void
watch_send(void *data, const struct wv_shard_request *request)
{
	struct sim_vm *vm = data;

	if (vm->fleet->watch != NULL)
		vm->fleet->watch(vm->fleet->watch_data, request);
}

static void
start_lane(struct sim_vm *vm)
{
	struct sim_fleet *fleet = vm->fleet;
	struct wv_vm_id id = {wv_string_borrow(vm->name), vm->incarnation};

	sim_lane_init(&vm->lane, fleet->back_end, fleet->sim, id, vm->zone,
	    (uint32_t)vm->index + 1);
	vm->lane.on_answer = take_answer;
	vm->lane.may_send_job = may_send_job;
	vm->lane.on_send = watch_send;
	vm->lane.callback_data = vm;
}

void
sim_fleet_start(struct sim_fleet *fleet, size_t index)
{
	struct sim_vm *old = fleet->vms[index];
	struct sim_vm *vm = g_new0(struct sim_vm, 1);
	struct wv_member self = {.state = WV_MEMBER_LIVE};

	if (old != NULL && old->running)
		sim_vm_kill(old);
	vm->fleet = fleet;
	vm->index = index;
	vm->zone = (uint32_t)index % fleet->back_end->shape->deployment->zones;
	vm->incarnation = old != NULL ? old->incarnation + 1 : 1;
	vm->running = true;
	vm->released_at = -WV_MSEC_NEVER;
	vm->job_tick_at = WV_MSEC_NEVER;
	g_snprintf(vm->name, sizeof(vm->name), "vm%zu", index);
	g_snprintf(vm->zone_name, sizeof(vm->zone_name), "z%u", vm->zone);
	self.id.name = wv_string_borrow(vm->name);
	self.id.incarnation = vm->incarnation;
	self.zone = wv_string_borrow(vm->zone_name);
	self.peer = wv_string_borrow("127.0.0.1:1");
	self.callers = self.peer;
	vm->members = wv_members_create(&self, fleet->sim->now);
	vm->granter = wv_granter_create(fleet->sim->now);
	vm->lease = wv_lease_create(wv_string_borrow("desk/0"));
	vm->roster =
	    wv_roster_create(wv_string_borrow(vm->name), fleet->sim->now);
	vm->contracts = wv_contract_table_create();
	vm->sync = wv_sync_create(vm->contracts);
	vm->drain = wv_drain_create(ADDRESS_LIFETIME, SPREAD_TIME);
	start_lane(vm);
	sim_vm_start_jobs(vm);
	fleet->vms[index] = vm;
	g_ptr_array_add(fleet->processes, vm);
	sim_vm_take_list(vm);
	sim_vm_start_gossip(vm);
}

/* Callers of a process that ends see broken connections. */
static void
break_requests(struct sim_vm *vm)
{
	for (guint i = 0; i < vm->fleet->records->len; i++) {
		struct sim_record *record = vm->fleet->records->pdata[i];

		if (record->answered ||
		    (record->vm != vm && record->executing != vm))
			continue;
		sim_record_finish(record,
		    record->request.work == WV_WORK_JOB ? WV_JOB_UNKNOWN
							: WV_NO_ANSWER,
		    "the connection broke");
	}
}

void
sim_vm_kill(struct sim_vm *vm)
{
	break_requests(vm);
	vm->running = false;
	vm->lane.client.dead = true;
}

void
sim_vm_pause(struct sim_vm *vm, wv_msec duration)
{
	vm->paused_until = vm->fleet->sim->now + duration;
	vm->lane.client.paused_until = vm->paused_until;
}

void
sim_vm_drain(struct sim_vm *vm)
{
	wv_drain_begin(vm->drain, vm->fleet->sim->now);
	wv_members_set_draining(vm->members);
}

struct sim_record *
sim_fleet_add_record(struct sim_fleet *fleet)
{
	struct sim_record *record = g_new0(struct sim_record, 1);

	g_ptr_array_add(fleet->records, record);
	record->request.id = fleet->records->len;
	return record;
}

/* A request on its way to the VM that runs it. */
struct step {
	struct sim_vm *vm;
	struct sim_record *record;
};

static void
run_request(void *data)
{
	struct step *step = data;
	struct sim_vm *vm = step->vm;
	struct sim_record *record = step->record;
	const struct wv_contract *contract;

	if (sim_vm_defer(vm, run_request, step))
		return;
	g_free(step);
	if (record->answered)
		return;
	if (!sim_vm_connected(record->vm, vm)) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "the holder cannot be reached");
		return;
	}
	if (record->lookup) {
		wv_job_store_lookup(vm->jobs, vm->fleet->sim->now,
		    record->request.id, record->request.customer,
		    record->request.key);
		sim_vm_schedule_jobs(vm);
		return;
	}
	if (record->resolve) {
		wv_job_store_resolve(vm->jobs, vm->fleet->sim->now,
		    record->request.id, record->request.customer,
		    record->request.key, record->resolve_done);
		sim_vm_schedule_jobs(vm);
		return;
	}
	if (record->request.work == WV_WORK_JOB) {
		sim_vm_run_job(vm, record);
		return;
	}
	contract =
	    wv_contract_table_latest(vm->contracts, record->request.customer);
	sim_lane_submit(&vm->lane, &record->request, contract);
}

void
sim_vm_submit(struct sim_vm *vm, struct sim_record *record)
{
	struct sim_fleet *fleet = vm->fleet;
	struct sim_vm *holder;
	struct step *step;
	wv_msec delay = 0;

	record->vm = vm;
	vm->in_progress++;
	if (!vm->running) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "the VM refuses connections");
		return;
	}
	if (!wv_drain_accepting(vm->drain)) {
		sim_record_finish(record, WV_DRAINING, "the VM is stopping");
		return;
	}
	if (!wv_sync_loaded(vm->sync)) {
		sim_record_finish(record, WV_CONTRACTS_NOT_LOADED,
		    "no source has confirmed the contracts");
		return;
	}
	sim_vm_update_right(vm);
	holder = vm->holding ? vm : sim_vm_preferred(vm);
	if (holder == NULL) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "no VM is known that could hold the lane");
		return;
	}
	if (holder != vm)
		delay = sim_delay(
		    fleet->back_end->shape->deployment, vm->zone, holder->zone);
	record->executing = holder;
	step = g_new(struct step, 1);
	step->vm = holder;
	step->record = record;
	sim_at(fleet->sim, fleet->sim->now + delay, run_request, step);
}

static void
take_put(void *data, enum wv_store_outcome outcome, const char *value,
    uint64_t version)
{
	struct sim_record *record = data;
	enum wv_code codes[] = {WV_OK, WV_VERSION_CONFLICT, WV_VERSION_CONFLICT,
	    WV_STORE_UNAVAILABLE, WV_OUTCOME_OPEN};

	/* A write returns a version and never a value. */
	g_assert(value == NULL);
	record->answer.index_version = version;
	sim_record_finish(record, codes[outcome], "");
}

void
sim_vm_put_contract(struct sim_vm *vm, struct sim_record *record,
    const char *customer, const char *json, uint64_t if_version)
{
	char *key = g_strdup_printf("contracts/%s", customer);

	record->vm = vm;
	vm->in_progress++;
	if (vm->cut || !vm->running)
		sim_record_finish(record, WV_STORE_UNAVAILABLE,
		    "the store cannot be reached");
	else
		sim_store_write(&vm->fleet->store, key, wv_string_borrow(json),
		    if_version, take_put, record);
	g_free(key);
}

struct sim_vm *
sim_fleet_holder(struct sim_fleet *fleet)
{
	struct sim_vm *found = NULL;

	for (size_t i = 0; i < fleet->n_vms; i++) {
		struct sim_vm *vm = fleet->vms[i];

		if (vm == NULL || !vm->running ||
		    vm->paused_until > fleet->sim->now)
			continue;
		sim_vm_update_right(vm);
		if (vm->holding && found != NULL)
			fleet->double_holders++;
		if (vm->holding)
			found = vm;
	}
	return found;
}

uint64_t
sim_vm_contract_version(const struct sim_vm *vm, const char *customer)
{
	const struct wv_contract *contract =
	    wv_contract_table_latest(vm->contracts, wv_string_borrow(customer));

	return contract != NULL ? contract->version : 0;
}

static void
destroy_process(gpointer data)
{
	struct sim_vm *vm = data;

	sim_lane_clear(&vm->lane);
	wv_job_store_destroy(vm->jobs);
	wv_sync_destroy(vm->sync);
	wv_contract_table_destroy(vm->contracts);
	wv_lease_destroy(vm->lease);
	wv_roster_destroy(vm->roster);
	wv_granter_destroy(vm->granter);
	wv_members_destroy(vm->members);
	wv_drain_destroy(vm->drain);
	g_free(vm);
}

static void
destroy_record(gpointer data)
{
	struct sim_record *record = data;

	wv_string_clear(&record->request.customer);
	wv_string_clear(&record->request.text);
	wv_string_clear(&record->request.key);
	g_free(record);
}

void
sim_fleet_init(struct sim_fleet *fleet, struct sim *sim,
    struct sim_back_end *back_end, size_t n_vms)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->sim = sim;
	fleet->back_end = back_end;
	fleet->n_vms = MIN(n_vms, SIM_MAX_VMS);
	fleet->processes = g_ptr_array_new_with_free_func(destroy_process);
	fleet->records = g_ptr_array_new_with_free_func(destroy_record);
	sim_store_init(&fleet->store, sim);
	fleet->store.on_change = sim_fleet_changed;
	fleet->store.on_change_data = fleet;
}

void
sim_fleet_clear(struct sim_fleet *fleet)
{
	g_ptr_array_free(fleet->processes, TRUE);
	g_ptr_array_free(fleet->records, TRUE);
	sim_store_clear(&fleet->store);
}
