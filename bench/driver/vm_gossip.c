/**
 * @file
 * Messages between VMs: heartbeats with lease claims, acknowledgements of
 * claims, hand-overs and contracts.
 */
#include "bench/driver/vm.h"

/*
 * Interval at which watchers read all contracts and holders sweep job records,
 * ms.
 */
#define MAINTENANCE_INTERVAL_MS 1000.0
/* How long heartbeats repeat the release of the lane, ms. */
#define RELEASE_REPEAT_MS 1000.0
/* Maximum number of attempts in one hand-over. */
#define MAX_HAND_OVER_ATTEMPTS 256

struct contract_text {
	char *customer;
	char *json;
	uint64_t version;
	bool deleted;
};

/* A message. Its kind is given by the event callback that receives it. */
struct message {
	struct sim_vm *from;
	struct sim_vm *to;
	wv_msec sent_at; /* in an ack, that of the heartbeat */
	uint64_t sequence;
	bool claims; /* the sender claims the lane */
	bool releases; /* the sender has released the lane */
	bool loaded; /* the sender has loaded its contracts */
	uint64_t digest; /* of the sender's contract table */
	uint64_t after; /* has the contracts changed after this revision */
	uint64_t revision; /* the sender knows all changes up to it */
	uint64_t roster_digest;
	struct wv_member members[SIM_MAX_VMS];
	size_t n_members;
	GArray *contracts; /* struct contract_text; owned; NULL if none */
	struct wv_running_attempt *running; /* owned */
	size_t n_running;
};

static void
destroy_message(struct message *message)
{
	if (message->contracts != NULL) {
		for (guint i = 0; i < message->contracts->len; i++) {
			struct contract_text *text = &g_array_index(
			    message->contracts, struct contract_text, i);

			g_free(text->customer);
			g_free(text->json);
		}
		g_array_free(message->contracts, TRUE);
	}
	g_free(message->running);
	g_free(message);
}

static struct message *
create_message(struct sim_vm *from, struct sim_vm *to)
{
	struct message *message = g_new0(struct message, 1);

	message->from = from;
	message->to = to;
	message->sent_at = from->cluster->sim->now;
	return message;
}

static void
send_message(struct message *message, sim_event_callback receive)
{
	struct sim_cluster *cluster = message->from->cluster;

	if (!sim_vm_can_reach(message->from, message->to)) {
		destroy_message(message);
		return;
	}
	sim_schedule(cluster->sim,
	    cluster->sim->now +
		sim_one_way_delay(cluster->back_end->shape->deployment,
		    message->from->zone, message->to->zone),
	    receive, message);
}

/* Returns whether a message is lost: its receiver ended or became isolated. */
static bool
is_lost(const struct message *message)
{
	return !message->to->running || message->to->isolated;
}

static struct sim_vm *
find_vm(const struct sim_cluster *cluster, struct wv_string name)
{
	for (size_t i = 0; i < cluster->n_vms; i++) {
		if (cluster->vms[i] != NULL &&
		    wv_string_equal(
			name, wv_string_borrow(cluster->vms[i]->name)))
			return cluster->vms[i];
	}
	return NULL;
}

static bool
is_candidate(const struct sim_vm *vm, const struct wv_member *member)
{
	if (wv_string_equal(member->id.name, wv_string_borrow(vm->name)))
		return wv_drain_may_hold_leases(vm->drain);
	return member->state == WV_MEMBER_LIVE ||
	    member->state == WV_MEMBER_SUSPECT;
}

struct sim_vm *
sim_vm_find_preferred_holder(struct sim_vm *vm)
{
	struct wv_candidate candidates[SIM_MAX_VMS];
	size_t n = 0, n_all, first;
	const struct wv_member *all = wv_members_all(vm->members, &n_all);

	for (size_t i = 0; i < n_all && n < SIM_MAX_VMS; i++) {
		if (!is_candidate(vm, &all[i]))
			continue;
		candidates[n].name = all[i].id.name;
		candidates[n].zone = all[i].zone;
		n++;
	}
	first = wv_rendezvous_first(
	    wv_string_borrow("desk/0"), wv_string_borrow(""), candidates, n);
	return first < n ? find_vm(vm->cluster, candidates[first].name) : NULL;
}

static void
update_roster(struct sim_vm *vm)
{
	struct wv_candidate vms[SIM_MAX_VMS];
	size_t n = wv_members_list_roster(vm->members, vms, SIM_MAX_VMS);

	wv_roster_update(vm->roster, vm->cluster->sim->now, vms, n);
}

void
sim_vm_update_lease(struct sim_vm *vm)
{
	wv_msec now = vm->cluster->sim->now;
	wv_msec until;

	if (vm->cluster->has_fixed_holder) {
		vm->holds_lease = true;
		wv_executor_set_lease(vm->lane.executor, now, WV_MSEC_NEVER);
		return;
	}
	until = wv_roster_lease_expiry(vm->roster, vm->lease);
	if (until > now && !vm->holds_lease && !vm->hand_over_received)
		wv_executor_quarantine(vm->lane.executor,
		    now + WV_LEASE_TIME + WV_LEASE_MARGIN +
			SIM_MAX_DEADLINE_MS);
	if (until > now) {
		vm->holds_lease = true;
		wv_executor_set_lease(vm->lane.executor, now, until);
		sim_lane_schedule_tick(&vm->lane);
	} else if (vm->holds_lease) {
		vm->holds_lease = false;
		vm->hand_over_received = false;
	}
}

static void
receive_hand_over(void *data)
{
	struct message *message = data;
	struct sim_vm *vm = message->to;

	if (sim_vm_defer_if_paused(vm, receive_hand_over, message))
		return;
	if (!is_lost(message)) {
		vm->hand_over_received = true;
		for (size_t i = 0; i < message->n_running; i++)
			wv_executor_adopt_attempt(
			    vm->lane.executor, &message->running[i]);
	}
	destroy_message(message);
}

static void
append_running_attempt(void *data, const struct wv_running_attempt *attempt)
{
	struct message *message = data;

	if (message->n_running < MAX_HAND_OVER_ATTEMPTS)
		message->running[message->n_running++] = *attempt;
}

/* Releases the lane and reports the running attempts to the next holder. */
static void
release_lane(struct sim_vm *vm, struct sim_vm *next)
{
	wv_msec now = vm->cluster->sim->now;
	struct message *message;

	vm->holds_lease = false;
	vm->hand_over_received = false;
	vm->lane_released_at = now;
	wv_lease_reset(vm->lease, now);
	wv_executor_set_lease(vm->lane.executor, now, now - 1);
	wv_granter_release(vm->granter, wv_lease_lane(vm->lease),
	    wv_members_self(vm->members)->id);
	if (next == NULL)
		return;
	message = create_message(vm, next);
	message->running =
	    g_new0(struct wv_running_attempt, MAX_HAND_OVER_ATTEMPTS);
	wv_executor_foreach_running(
	    vm->lane.executor, append_running_attempt, message);
	send_message(message, receive_hand_over);
}

static void
receive_contracts(void *data)
{
	struct message *message = data;
	struct sim_vm *vm = message->to;
	struct wv_status status;

	if (sim_vm_defer_if_paused(vm, receive_contracts, message))
		return;
	for (guint i = 0; !is_lost(message) && i < message->contracts->len;
	     i++) {
		const struct contract_text *text =
		    &g_array_index(message->contracts, struct contract_text, i);

		wv_sync_apply_update(vm->sync, wv_string_borrow(text->customer),
		    wv_string_borrow(text->json), text->version, text->deleted,
		    &status);
	}
	if (!is_lost(message) &&
	    wv_sync_advance_revision(
		vm->sync, message->after, message->revision) &&
	    message->loaded)
		wv_sync_record_confirmation(vm->sync, vm->cluster->sim->now);
	destroy_message(message);
}

static void
append_contract(void *data, const struct wv_contract *contract)
{
	struct message *message = data;
	struct contract_text text = {
	    .version = contract->version, .deleted = contract->deleted};

	if (contract->version <= message->after)
		return;
	text.customer =
	    g_strndup(contract->customer.data, contract->customer.length);
	text.json = g_strndup(contract->json.data, contract->json.length);
	g_array_append_val(message->contracts, text);
}

static void
send_contracts(struct sim_vm *from, struct sim_vm *to, uint64_t after)
{
	struct message *message = create_message(from, to);

	message->after = after;
	message->revision = wv_sync_revision(from->sync);
	message->contracts =
	    g_array_new(FALSE, FALSE, sizeof(struct contract_text));
	message->loaded = wv_sync_is_loaded(from->sync);
	wv_contract_table_foreach(from->contracts, append_contract, message);
	send_message(message, receive_contracts);
}

/* Sends the sender of a heartbeat the contracts that it is missing. */
static void
send_missing_contracts(struct sim_vm *vm, const struct message *heartbeat)
{
	switch (wv_sync_choose_exchange(vm->sync, vm->cluster->sim->now,
	    heartbeat->revision, heartbeat->digest)) {
	case WV_SYNC_CHANGES:
		send_contracts(vm, heartbeat->from, heartbeat->revision);
		break;
	case WV_SYNC_FULL_TABLE:
		send_contracts(vm, heartbeat->from, 0);
		break;
	case WV_SYNC_NOTHING:
		break;
	}
}

static void
receive_ack(void *data)
{
	struct message *message = data;
	struct sim_vm *vm = message->to;

	if (sim_vm_defer_if_paused(vm, receive_ack, message))
		return;
	if (!is_lost(message)) {
		wv_lease_add_grant(vm->lease,
		    wv_members_self(message->from->members)->id,
		    message->sent_at);
		sim_vm_update_lease(vm);
	}
	destroy_message(message);
}

static void
handle_claim(struct sim_vm *vm, const struct message *heartbeat)
{
	struct wv_vm_id sender = {wv_string_borrow(heartbeat->from->name),
	    heartbeat->from->incarnation};
	struct wv_string lane = wv_lease_lane(vm->lease);
	struct message *ack;

	if (!wv_granter_accept_heartbeat(
		vm->granter, sender, heartbeat->sequence))
		return;
	if (heartbeat->releases)
		wv_granter_release(vm->granter, lane, sender);
	if (!heartbeat->claims ||
	    !wv_roster_may_grant(vm->roster, vm->cluster->sim->now, sender.name,
		heartbeat->roster_digest) ||
	    !wv_granter_claim(vm->granter, vm->cluster->sim->now, lane, sender))
		return;
	ack = create_message(vm, heartbeat->from);
	ack->sent_at = heartbeat->sent_at;
	send_message(ack, receive_ack);
}

static void
receive_heartbeat(void *data)
{
	struct message *message = data;
	struct sim_vm *vm = message->to;
	wv_msec now = vm->cluster->sim->now;

	if (sim_vm_defer_if_paused(vm, receive_heartbeat, message))
		return;
	if (is_lost(message)) {
		destroy_message(message);
		return;
	}
	for (size_t i = 0; i < message->n_members; i++)
		wv_members_apply_entry(vm->members, now, &message->members[i],
		    wv_string_equal(message->members[i].id.name,
			wv_string_borrow(message->from->name)));
	wv_roster_set_reported_digest(vm->roster,
	    wv_string_borrow(message->from->name), message->roster_digest);
	handle_claim(vm, message);
	if (message->loaded &&
	    !wv_sync_has_different_digest(vm->sync, message->digest))
		wv_sync_record_confirmation(vm->sync, now);
	send_missing_contracts(vm, message);
	destroy_message(message);
}

/*
 * Copies the member list. The strings are borrowed from the process structures,
 * which live until the end of the run.
 */
static void
copy_members(struct message *message)
{
	size_t n;
	const struct wv_member *all =
	    wv_members_all(message->from->members, &n);

	for (size_t i = 0; i < n && message->n_members < SIM_MAX_VMS; i++) {
		struct sim_vm *vm =
		    find_vm(message->from->cluster, all[i].id.name);
		struct wv_member *copy = &message->members[message->n_members];

		if (vm == NULL || all[i].state == WV_MEMBER_GONE)
			continue;
		*copy = all[i];
		copy->id.name = wv_string_borrow(vm->name);
		copy->zone = wv_string_borrow(vm->zone_name);
		copy->peer_address = wv_string_borrow("127.0.0.1:1");
		copy->caller_address = copy->peer_address;
		message->n_members++;
	}
}

static void
send_heartbeats(struct sim_vm *vm, bool claims)
{
	size_t targets[WV_MAX_HEARTBEAT_FANOUT];
	size_t n_all;
	size_t n = wv_members_choose_targets(
	    vm->members, targets, G_N_ELEMENTS(targets));
	const struct wv_member *all = wv_members_all(vm->members, &n_all);

	vm->sequence++;
	for (size_t i = 0; i < n; i++) {
		struct sim_vm *to =
		    find_vm(vm->cluster, all[targets[i]].id.name);
		struct message *message;

		if (to == NULL)
			continue;
		message = create_message(vm, to);
		message->sequence = vm->sequence;
		message->claims = claims;
		message->releases = !claims &&
		    message->sent_at - vm->lane_released_at < RELEASE_REPEAT_MS;
		message->digest = wv_contract_table_digest(vm->contracts);
		message->revision = wv_sync_revision(vm->sync);
		message->loaded = wv_sync_is_loaded(vm->sync);
		message->roster_digest = wv_roster_digest(vm->roster);
		copy_members(message);
		send_message(message, receive_heartbeat);
	}
}

static void
claim_lane(struct sim_vm *vm)
{
	wv_msec now = vm->cluster->sim->now;
	struct wv_vm_id self = wv_members_self(vm->members)->id;
	struct sim_vm *preferred = sim_vm_find_preferred_holder(vm);

	if (!wv_members_has_vm_list(vm->members))
		return;
	if (preferred != vm) {
		if (vm->holds_lease)
			release_lane(vm, preferred);
		return;
	}
	if (wv_roster_may_grant(
		vm->roster, now, self.name, wv_roster_digest(vm->roster)) &&
	    wv_granter_claim(vm->granter, now, wv_lease_lane(vm->lease), self))
		wv_lease_add_grant(vm->lease, self, now);
}

static void
run_heartbeat(void *data)
{
	struct sim_vm *vm = data;
	struct sim *sim = vm->cluster->sim;

	if (!vm->running || sim_vm_defer_if_paused(vm, run_heartbeat, vm))
		return;
	wv_members_increment_heartbeat(vm->members, sim->now);
	wv_members_tick(vm->members, sim->now);
	update_roster(vm);
	sim_vm_update_lease(vm);
	claim_lane(vm);
	send_heartbeats(vm,
	    wv_members_has_vm_list(vm->members) &&
		sim_vm_find_preferred_holder(vm) == vm);
	sim_vm_update_lease(vm);
	sim_cluster_find_holder(vm->cluster);
	if (wv_drain_advance(vm->drain, sim->now, vm->in_progress,
		vm->holds_lease ? 1 : 0) == WV_DRAIN_STOPPED) {
		sim_vm_kill(vm);
		return;
	}
	sim_schedule(sim, sim->now + WV_HEARTBEAT_INTERVAL, run_heartbeat, vm);
}

/* Reads all contracts from the store; newer ones replace those in the table. */
static void
read_contracts(struct sim_vm *vm)
{
	struct sim_store *store = &vm->cluster->store;
	GHashTableIter iter;
	gpointer key, value;
	struct wv_status status;
	uint64_t highest = 0;

	if (vm->isolated || store->down)
		return;
	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct sim_object *object = value;
		const char *name = key;

		if (!g_str_has_prefix(name, "contracts/"))
			continue;
		wv_sync_apply_update(vm->sync,
		    wv_string_borrow(name + strlen("contracts/")),
		    wv_string_borrow(object->value), object->version, false,
		    &status);
		highest = MAX(highest, object->version);
	}
	wv_sync_advance_revision(vm->sync, 0, highest);
	wv_sync_record_confirmation(vm->sync, vm->cluster->sim->now);
}

static void
handle_store_change(void *data)
{
	struct sim_vm *vm = data;

	if (vm->running && !sim_vm_defer_if_paused(vm, handle_store_change, vm))
		read_contracts(vm);
}

void
sim_cluster_notify_change(void *data, const char *key)
{
	struct sim_cluster *cluster = data;

	if (!g_str_has_prefix(key, "contracts/"))
		return;
	for (size_t i = 0; i < cluster->n_vms; i++) {
		struct sim_vm *vm = cluster->vms[i];

		if (vm != NULL && vm->running &&
		    wv_sync_is_watcher(vm->members))
			sim_schedule(cluster->sim,
			    cluster->sim->now + cluster->store.delay,
			    handle_store_change, vm);
	}
}

static void
sweep_jobs(struct sim_vm *vm)
{
	wv_msec now = vm->cluster->sim->now;
	struct wv_vm_id live[SIM_MAX_VMS];
	size_t n = 0, n_all;
	const struct wv_member *all = wv_members_all(vm->members, &n_all);

	for (size_t i = 0; i < n_all && n < SIM_MAX_VMS; i++) {
		if (all[i].state != WV_MEMBER_GONE)
			live[n++] = all[i].id;
	}
	wv_job_store_sweep(
	    vm->jobs, now, SIM_START_UNIX_TIME_MS + now, live, n);
	sim_vm_schedule_job_tick(vm);
}

static void
run_maintenance(void *data)
{
	struct sim_vm *vm = data;
	struct sim *sim = vm->cluster->sim;

	if (!vm->running || sim_vm_defer_if_paused(vm, run_maintenance, vm))
		return;
	if (wv_sync_is_watcher(vm->members) || !wv_sync_is_loaded(vm->sync))
		read_contracts(vm);
	if (vm->holds_lease)
		sweep_jobs(vm);
	sim_schedule(
	    sim, sim->now + MAINTENANCE_INTERVAL_MS, run_maintenance, vm);
}

void
sim_vm_start_periodic_tasks(struct sim_vm *vm)
{
	struct sim *sim = vm->cluster->sim;

	sim_schedule(
	    sim, sim->now + 7.0 * (double)vm->index, run_heartbeat, vm);
	sim_schedule(
	    sim, sim->now + 3.0 * (double)vm->index, run_maintenance, vm);
}

void
sim_vm_read_vm_list(struct sim_vm *vm)
{
	const struct sim_cluster *cluster = vm->cluster;
	struct wv_member list[SIM_MAX_VMS];
	size_t n = 0;

	if (cluster->vm_list_down)
		return;
	memset(list, 0, sizeof(list));
	for (size_t i = 0; i < cluster->n_vms; i++) {
		if (cluster->vms[i] == NULL || !cluster->listed[i])
			continue;
		list[n].id.name = wv_string_borrow(cluster->vms[i]->name);
		list[n].id.incarnation = cluster->vms[i]->incarnation;
		list[n].zone = wv_string_borrow(cluster->vms[i]->zone_name);
		list[n].peer_address = wv_string_borrow("127.0.0.1:1");
		list[n].caller_address = list[n].peer_address;
		list[n].state = WV_MEMBER_LIVE;
		n++;
	}
	if (n > 0)
		wv_members_apply_vm_list(
		    vm->members, cluster->sim->now, list, n);
}

void
sim_cluster_set_vm_list(struct sim_cluster *cluster, const bool *listed)
{
	for (size_t i = 0; i < cluster->n_vms; i++)
		cluster->listed[i] = listed[i];
	for (size_t i = 0; i < cluster->n_vms; i++) {
		struct sim_vm *vm = cluster->vms[i];

		if (vm != NULL && vm->running && !vm->isolated)
			sim_vm_read_vm_list(vm);
	}
}
