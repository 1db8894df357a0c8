/**
 * @file
 * The control thread: its main loop and the tasks that other threads queue.
 */
#include <urcu.h>

#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"
#include "http/json.h"

/** Longest time that the main loop waits for events, ms. */
#define MAX_WAIT 20.0
/** Time for peers to learn that this VM's address was withdrawn, ms. */
#define WITHDRAWAL_SPREAD_TIME 1000.0
/** Time between sweeps for jobs of lost VMs, ms; each reads all buckets. */
#define JOB_SWEEP_INTERVAL 30000.0

static void
wake_client(void *owner)
{
	wv_http_client_wakeup(((struct control *)owner)->client);
}

static struct wv_members *
create_members(struct daemon *daemon)
{
	struct wv_member self = {0};

	self.id = daemon->self;
	self.zone = daemon->settings->zone;
	self.peer_address = daemon->settings->peers;
	self.caller_address = daemon->settings->callers;
	self.operator_address = daemon->settings->operators;
	self.state = WV_MEMBER_LIVE;
	return wv_members_create(&self, daemon_now(daemon));
}

static void
lane_release_destroy(void *data)
{
	struct lane_release *release = data;

	wv_string_clear(&release->lane);
	g_free(release);
}

static void
back_end_destroy(void *data)
{
	struct back_end *back_end = data;

	wv_string_clear(&back_end->name);
	wv_string_clear(&back_end->json);
	wv_topology_destroy(back_end->topology);
	g_free(back_end);
}

struct control *
control_create(struct daemon *daemon)
{
	struct control *control = g_new0(struct control, 1);
	wv_msec now = daemon_now(daemon);

	control->daemon = daemon;
	control->client = wv_http_client_create();
	control->members = create_members(daemon);
	control->roster = wv_roster_create(daemon->self.name, now);
	control->granter = wv_granter_create(now);
	control->sync = wv_sync_create(daemon->contracts);
	control->drain = wv_drain_create(
	    daemon->settings->address_lifetime, WITHDRAWAL_SPREAD_TIME);
	control->lanes_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	control->lanes = g_ptr_array_new_with_free_func(control_lane_destroy);
	control->back_ends = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, back_end_destroy);
	control->leaving_searchers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	control->releases =
	    g_ptr_array_new_with_free_func(lane_release_destroy);
	control->last_exchange =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	control->routing_stale = true;
	control_init_store_watches(control);
	mailbox_init(&control->mailbox, wake_client, control);
	return control;
}

/*
 * Sends the workers the VMs that may still finish their claimed jobs, so that
 * they find the jobs whose VM is gone.
 */
static void
sweep_jobs(struct control *control, wv_msec now)
{
	const struct wv_member *all;
	struct wv_vm_id *live;
	size_t n, n_live = 0;

	if (control->next_job_sweep > now)
		return;
	control->next_job_sweep = now + JOB_SWEEP_INTERVAL;
	all = wv_members_all(control->members, &n);
	live = g_new0(struct wv_vm_id, n);
	for (size_t i = 0; i < n; i++) {
		if (all[i].state != WV_MEMBER_DEAD &&
		    all[i].state != WV_MEMBER_GONE)
			live[n_live++] = all[i].id;
	}
	for (uint32_t i = 0; i < control->daemon->n_workers; i++)
		worker_sweep_jobs(control->daemon->workers[i], live, n_live);
	g_free(live);
}

static void
tick_drain(struct control *control, wv_msec now)
{
	struct daemon *daemon = control->daemon;
	enum wv_drain_stage stage;

	stage = wv_drain_advance(control->drain, now,
	    atomic_load(&daemon->in_progress),
	    control_count_held_leases(control));
	if (stage != control->drain_stage)
		g_message("planned stop: stage %d, %zu requests in progress",
		    stage, atomic_load(&daemon->in_progress));
	control->drain_stage = stage;
	atomic_store(
	    &daemon->accepting_requests, wv_drain_is_accepting(control->drain));
	if (stage == WV_DRAIN_STOPPED && control->exit_after_drain)
		atomic_store(&daemon->stopped, true);
}

/* Runs all periodic work of the control thread. */
static void
tick(struct control *control)
{
	wv_msec now = daemon_now(control->daemon);

	if (wv_members_tick(control->members, now))
		control->routing_stale = true;
	control_tick_store(control, now);
	control_tick_vm_list(control, now);
	control_tick_leases(control, now);
	control_tick_heartbeat(control, now);
	control_publish_routing(control, now);
	sweep_jobs(control, now);
	tick_drain(control, now);
	atomic_store(&control->daemon->contracts_loaded,
	    wv_sync_is_loaded(control->sync));
}

static void *
control_run(void *data)
{
	struct control *control = data;

	daemon_register_thread();
	while (!atomic_load(&control->stop)) {
		mailbox_run_tasks(&control->mailbox);
		tick(control);
		wv_http_client_poll(control->client, MAX_WAIT);
	}
	return NULL;
}

void
control_start(struct control *control)
{
	control->thread = g_thread_new("control", control_run, control);
}

void
control_stop(struct control *control)
{
	atomic_store(&control->stop, true);
	wake_client(control);
	g_thread_join(control->thread);
}

void
control_destroy(struct control *control)
{
	wv_http_client_destroy(control->client);
	g_hash_table_destroy(control->lanes_by_name);
	g_ptr_array_unref(control->lanes);
	g_ptr_array_unref(control->releases);
	g_hash_table_destroy(control->back_ends);
	g_hash_table_destroy(control->leaving_searchers);
	g_hash_table_destroy(control->last_exchange);
	wv_members_destroy(control->members);
	wv_granter_destroy(control->granter);
	wv_roster_destroy(control->roster);
	wv_sync_destroy(control->sync);
	wv_drain_destroy(control->drain);
	g_free(control);
}

/* A frame from another VM; the task owns the frame. */
struct frame_task {
	struct mailbox_task task;
	uint64_t link;
	Wisteriavane__Frame *frame;
};

static void
on_frame(void *owner, struct mailbox_task *task)
{
	struct frame_task *self = (struct frame_task *)task;
	struct control *control = owner;

	switch (self->frame->body_case) {
	case WISTERIAVANE__FRAME__BODY_HEARTBEAT:
		control_apply_heartbeat(control, self->link, self->frame);
		break;
	case WISTERIAVANE__FRAME__BODY_ACK:
		control_apply_ack(control, self->frame);
		break;
	case WISTERIAVANE__FRAME__BODY_CONTRACTS:
		control_apply_contracts(control, self->frame);
		break;
	case WISTERIAVANE__FRAME__BODY_BACK_ENDS:
		control_apply_back_ends(control, self->frame);
		break;
	case WISTERIAVANE__FRAME__BODY_HANDOVER:
		control_apply_handover(control, self->frame);
		break;
	case WISTERIAVANE__FRAME__BODY_LEAVING:
		control_apply_leaving(control, self->frame);
		break;
	default:
		break;
	}
	wisteriavane__frame__free_unpacked(self->frame, NULL);
	g_free(self);
}

void
control_on_frame(
    struct control *control, uint64_t link, Wisteriavane__Frame *frame)
{
	struct frame_task *task = g_new0(struct frame_task, 1);

	task->link = link;
	task->frame = frame;
	mailbox_post(&control->mailbox, &task->task, on_frame);
}

/* Reports that a lane was handed over. */
struct lane_task {
	struct mailbox_task task;
	struct wv_string lane; /* owned */
};

static void
on_handed_over(void *owner, struct mailbox_task *task)
{
	struct lane_task *self = (struct lane_task *)task;
	struct control *control = owner;
	struct control_lane *lane = control_find_lane(control, self->lane);
	struct lane_release *release = g_new0(struct lane_release, 1);

	if (lane != NULL) {
		lane->held = false;
		lane->claimed = false;
		lane->handing_over = false;
		wv_lease_reset(lane->lease, daemon_now(control->daemon));
		wv_granter_release(
		    control->granter, lane->name, control->daemon->self);
		control->routing_stale = true;
	}
	release->lane = self->lane;
	release->repeats = RELEASE_REPEATS;
	g_ptr_array_add(control->releases, release);
	control->next_heartbeat = 0;
	wv_counter_add(&control->daemon->stats.leases_handed_over, 1);
	g_free(self);
}

void
control_report_handed_over(struct control *control, struct wv_string lane)
{
	struct lane_task *task = g_new0(struct lane_task, 1);

	task->lane = wv_string_copy(lane);
	mailbox_post(&control->mailbox, &task->task, on_handed_over);
}

/* Starts a planned stop. */
struct drain_task {
	struct mailbox_task task;
	bool exit_after_drain;
};

static void
on_drain(void *owner, struct mailbox_task *task)
{
	struct drain_task *self = (struct drain_task *)task;
	struct control *control = owner;

	control->exit_after_drain |= self->exit_after_drain;
	wv_members_set_draining(control->members);
	wv_drain_begin(control->drain, daemon_now(control->daemon));
	control->next_heartbeat = 0;
	control->routing_stale = true;
	g_free(self);
}

void
control_begin_drain(struct control *control, bool exit_after_drain)
{
	struct drain_task *task = g_new0(struct drain_task, 1);

	task->exit_after_drain = exit_after_drain;
	mailbox_post(&control->mailbox, &task->task, on_drain);
}

/* An operator's call; customer and value are owned. */
struct operator_task {
	struct mailbox_task task;
	enum operator_call kind;
	struct wv_http_call *call;
	struct wv_string customer;
	struct wv_string value;
	uint64_t if_version;
};

static void
add_contract(void *data, const struct wv_contract *contract)
{
	json_array_add_object_element(data, control_contract_to_json(contract));
}

static void
answer_contracts(struct control *control, struct wv_http_call *call)
{
	JsonObject *object = json_object_new();
	JsonArray *array = json_array_new();
	struct wv_status status = {WV_OK, ""};
	struct wv_string json;

	wv_contract_table_foreach(
	    control->daemon->contracts, add_contract, array);
	wv_json_add_status(object, &status);
	json_object_set_array_member(object, "contracts", array);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(call, 200, json);
	wv_string_clear(&json);
}

static void
answer_contract(struct control *control, struct wv_http_call *call,
    struct wv_string customer)
{
	const struct wv_contract *contract;
	struct wv_status status = {WV_OK, ""};
	struct wv_string json;
	JsonObject *object;

	rcu_read_lock();
	contract = wv_contract_table_find(control->daemon->contracts, customer);
	object = contract == NULL ? NULL : control_contract_to_json(contract);
	rcu_read_unlock();
	if (object == NULL) {
		wv_status_set(&status, WV_UNKNOWN_CUSTOMER,
		    "the customer has no contract");
		wv_http_call_fail(call, &status);
		return;
	}
	wv_json_add_status(object, &status);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(call, 200, json);
	wv_string_clear(&json);
}

static void
on_operator(void *owner, struct mailbox_task *task)
{
	struct operator_task *self = (struct operator_task *)task;
	struct control *control = owner;

	switch (self->kind) {
	case OPERATOR_STATE:
		control_dump_state(control, self->call);
		break;
	case OPERATOR_CONTRACT_LIST:
		answer_contracts(control, self->call);
		break;
	case OPERATOR_CONTRACT_GET:
		answer_contract(control, self->call, self->customer);
		break;
	case OPERATOR_CONTRACT_PUT:
		control_put_contract(control, self->call, self->customer,
		    self->value, self->if_version);
		break;
	case OPERATOR_CONTRACT_HISTORY:
		control_get_contract_history(
		    control, self->call, self->customer);
		break;
	case OPERATOR_JOB_LIST:
		control_list_jobs(control, self->call, self->value);
		break;
	}
	wv_string_clear(&self->customer);
	wv_string_clear(&self->value);
	g_free(self);
}

void
control_handle_operator_call(struct control *control, enum operator_call kind,
    struct wv_http_call *call, struct wv_string customer,
    struct wv_string value, uint64_t if_version)
{
	struct operator_task *task = g_new0(struct operator_task, 1);

	task->kind = kind;
	task->call = call;
	task->customer = wv_string_copy(customer);
	task->value = wv_string_copy(value);
	task->if_version = if_version;
	mailbox_post(&control->mailbox, &task->task, on_operator);
}
