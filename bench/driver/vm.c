/**
 * @file
 * Start, pause, drain and end of a VM's process, and requests of callers.
 */
#include "bench/driver/vm.h"

/* How long callers keep the address of a VM, ms. */
#define ADDRESS_LIFETIME_MS 2000.0
/* How long it takes until all VMs know that an address is withdrawn, ms. */
#define WITHDRAWAL_SPREAD_MS 400.0

bool
sim_vm_defer_if_paused(
    struct sim_vm *vm, sim_event_callback callback, void *data)
{
	struct sim *sim = vm->cluster->sim;

	if (vm->paused_until <= sim->now)
		return false;
	sim_schedule(sim, vm->paused_until, callback, data);
	return true;
}

bool
sim_vm_can_reach(const struct sim_vm *a, const struct sim_vm *b)
{
	return a == b ||
	    (a->running && b->running && !a->isolated && !b->isolated);
}

void
sim_record_finish(
    struct sim_record *record, enum wv_code code, const char *message)
{
	record->answers++;
	if (record->answered)
		return;
	record->answered = true;
	record->answered_at = record->vm->cluster->sim->now;
	record->status.code = code;
	g_strlcpy(record->status.message, message, WV_MESSAGE_SIZE);
	record->vm->in_progress--;
}

static struct sim_record *
find_record(const struct sim_cluster *cluster, uint64_t id)
{
	return cluster->records->pdata[id - 1];
}

static void
receive_answer(void *data, const struct wv_answer *answer)
{
	struct sim_vm *vm = data;
	struct sim_record *record = find_record(vm->cluster, answer->request);

	if (record->request.work == WV_WORK_JOB) {
		sim_vm_handle_job_answer(vm, answer);
		return;
	}
	record->answer = *answer;
	sim_record_finish(record, answer->status.code, answer->status.message);
}

static bool
may_send_job(void *data, uint64_t request)
{
	struct sim_vm *vm = data;

	return wv_job_store_may_send(vm->jobs, vm->cluster->sim->now, request);
}

static void
report_send(void *data, const struct wv_shard_request *request)
{
	struct sim_vm *vm = data;

	if (vm->cluster->on_send != NULL)
		vm->cluster->on_send(vm->cluster->on_send_data, request);
}

static void
create_lane(struct sim_vm *vm)
{
	struct sim_cluster *cluster = vm->cluster;
	struct wv_vm_id id = {wv_string_borrow(vm->name), vm->incarnation};

	sim_lane_init(&vm->lane, cluster->back_end, cluster->sim, id, vm->zone,
	    (uint32_t)vm->index + 1);
	vm->lane.on_answer = receive_answer;
	vm->lane.may_send_job = may_send_job;
	vm->lane.on_send = report_send;
	vm->lane.callback_data = vm;
}

void
sim_cluster_start_vm(struct sim_cluster *cluster, size_t index)
{
	struct sim_vm *old = cluster->vms[index];
	struct sim_vm *vm = g_new0(struct sim_vm, 1);
	struct wv_member self = {.state = WV_MEMBER_LIVE};

	if (old != NULL && old->running)
		sim_vm_kill(old);
	vm->cluster = cluster;
	vm->index = index;
	vm->zone =
	    (uint32_t)index % cluster->back_end->shape->deployment->zones;
	vm->incarnation = old != NULL ? old->incarnation + 1 : 1;
	vm->running = true;
	vm->lane_released_at = -WV_MSEC_NEVER;
	vm->next_job_tick = WV_MSEC_NEVER;
	g_snprintf(vm->name, sizeof(vm->name), "vm%zu", index);
	g_snprintf(vm->zone_name, sizeof(vm->zone_name), "z%u", vm->zone);
	self.id.name = wv_string_borrow(vm->name);
	self.id.incarnation = vm->incarnation;
	self.zone = wv_string_borrow(vm->zone_name);
	self.peer_address = wv_string_borrow("127.0.0.1:1");
	self.caller_address = self.peer_address;
	vm->members = wv_members_create(&self, cluster->sim->now);
	vm->granter = wv_granter_create(cluster->sim->now);
	vm->lease = wv_lease_create(wv_string_borrow("desk/0"));
	vm->roster =
	    wv_roster_create(wv_string_borrow(vm->name), cluster->sim->now);
	vm->contracts = wv_contract_table_create();
	vm->sync = wv_sync_create(vm->contracts);
	vm->drain = wv_drain_create(ADDRESS_LIFETIME_MS, WITHDRAWAL_SPREAD_MS);
	create_lane(vm);
	sim_vm_create_job_store(vm);
	cluster->vms[index] = vm;
	g_ptr_array_add(cluster->processes, vm);
	sim_vm_read_vm_list(vm);
	sim_vm_start_periodic_tasks(vm);
}

/* Fails the unanswered requests that a process has received or runs. */
static void
fail_requests(struct sim_vm *vm)
{
	for (guint i = 0; i < vm->cluster->records->len; i++) {
		struct sim_record *record = vm->cluster->records->pdata[i];

		if (record->answered ||
		    (record->vm != vm && record->executing_vm != vm))
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
	fail_requests(vm);
	vm->running = false;
	vm->lane.client.dead = true;
}

void
sim_vm_pause(struct sim_vm *vm, wv_msec duration)
{
	vm->paused_until = vm->cluster->sim->now + duration;
	vm->lane.client.paused_until = vm->paused_until;
}

void
sim_vm_drain(struct sim_vm *vm)
{
	wv_drain_begin(vm->drain, vm->cluster->sim->now);
	wv_members_set_draining(vm->members);
}

struct sim_record *
sim_cluster_add_record(struct sim_cluster *cluster)
{
	struct sim_record *record = g_new0(struct sim_record, 1);

	g_ptr_array_add(cluster->records, record);
	record->request.id = cluster->records->len;
	return record;
}

/* A request in transit to the VM that runs it. */
struct forwarded_request {
	struct sim_vm *vm;
	struct sim_record *record;
};

static void
run_request(void *data)
{
	struct forwarded_request *forwarded = data;
	struct sim_vm *vm = forwarded->vm;
	struct sim_record *record = forwarded->record;
	const struct wv_contract *contract;

	if (sim_vm_defer_if_paused(vm, run_request, forwarded))
		return;
	g_free(forwarded);
	if (record->answered)
		return;
	if (!sim_vm_can_reach(record->vm, vm)) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "the holder cannot be reached");
		return;
	}
	if (record->lookup) {
		wv_job_store_lookup(vm->jobs, vm->cluster->sim->now,
		    record->request.id, record->request.customer,
		    record->request.key);
		sim_vm_schedule_job_tick(vm);
		return;
	}
	if (record->resolve) {
		wv_job_store_resolve(vm->jobs, vm->cluster->sim->now,
		    record->request.id, record->request.customer,
		    record->request.key, record->resolve_done);
		sim_vm_schedule_job_tick(vm);
		return;
	}
	if (record->request.work == WV_WORK_JOB) {
		sim_vm_submit_job(vm, record);
		return;
	}
	contract =
	    wv_contract_table_latest(vm->contracts, record->request.customer);
	sim_lane_submit(&vm->lane, &record->request, contract);
}

void
sim_vm_submit(struct sim_vm *vm, struct sim_record *record)
{
	struct sim_cluster *cluster = vm->cluster;
	struct sim_vm *holder;
	struct forwarded_request *forwarded;
	wv_msec delay = 0;

	record->vm = vm;
	vm->in_progress++;
	if (!vm->running) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "the VM refuses connections");
		return;
	}
	if (!wv_drain_is_accepting(vm->drain)) {
		sim_record_finish(record, WV_DRAINING, "the VM is stopping");
		return;
	}
	if (!wv_sync_is_loaded(vm->sync)) {
		sim_record_finish(record, WV_CONTRACTS_NOT_LOADED,
		    "no source has confirmed the contracts");
		return;
	}
	sim_vm_update_lease(vm);
	holder = vm->holds_lease ? vm : sim_vm_find_preferred_holder(vm);
	if (holder == NULL) {
		sim_record_finish(record, WV_HOLDER_UNREACHABLE,
		    "no VM is known that could hold the lane");
		return;
	}
	if (holder != vm)
		delay = sim_one_way_delay(cluster->back_end->shape->deployment,
		    vm->zone, holder->zone);
	record->executing_vm = holder;
	forwarded = g_new(struct forwarded_request, 1);
	forwarded->vm = holder;
	forwarded->record = record;
	sim_schedule(
	    cluster->sim, cluster->sim->now + delay, run_request, forwarded);
}

static void
complete_contract_write(void *data, enum wv_store_outcome outcome,
    const char *value, uint64_t version)
{
	struct sim_record *record = data;
	enum wv_code codes[] = {WV_OK, WV_VERSION_CONFLICT, WV_VERSION_CONFLICT,
	    WV_STORE_UNAVAILABLE, WV_OUTCOME_OPEN};

	/* The answer to a write has a version but no value. */
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
	if (vm->isolated || !vm->running)
		sim_record_finish(record, WV_STORE_UNAVAILABLE,
		    "the store cannot be reached");
	else
		sim_store_write(&vm->cluster->store, key,
		    wv_string_borrow(json), if_version, complete_contract_write,
		    record);
	g_free(key);
}

struct sim_vm *
sim_cluster_find_holder(struct sim_cluster *cluster)
{
	struct sim_vm *found = NULL;

	for (size_t i = 0; i < cluster->n_vms; i++) {
		struct sim_vm *vm = cluster->vms[i];

		if (vm == NULL || !vm->running ||
		    vm->paused_until > cluster->sim->now)
			continue;
		sim_vm_update_lease(vm);
		if (vm->holds_lease && found != NULL)
			cluster->double_holders++;
		if (vm->holds_lease)
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
sim_cluster_init(struct sim_cluster *cluster, struct sim *sim,
    struct sim_back_end *back_end, size_t n_vms)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->sim = sim;
	cluster->back_end = back_end;
	cluster->n_vms = MIN(n_vms, SIM_MAX_VMS);
	cluster->processes = g_ptr_array_new_with_free_func(destroy_process);
	cluster->records = g_ptr_array_new_with_free_func(destroy_record);
	sim_store_init(&cluster->store, sim);
	cluster->store.on_change = sim_cluster_notify_change;
	cluster->store.on_change_data = cluster;
}

void
sim_cluster_clear(struct sim_cluster *cluster)
{
	g_ptr_array_free(cluster->processes, TRUE);
	g_ptr_array_free(cluster->records, TRUE);
	sim_store_clear(&cluster->store);
}
