/**
 * @file
 * The state dump for operators: members, leases, contracts, back ends,
 * workers and counters.
 */
#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"
#include "http/json.h"

/** A state dump that waits for the workers' parts. */
struct state_dump {
	struct control *control;
	struct wv_http_call *call;
	JsonObject *object; /* owned */
	JsonArray *workers; /* owned; parts received so far */
	uint32_t n_pending_workers; /* parts still to come */
};

/** A worker's part of a dump, sent to the control thread. */
struct worker_part {
	struct mailbox_task task;
	struct state_dump *dump;
	JsonObject *object;
};

/* Names of enum wv_member_state. */
static const char *const member_states[] = {
    "joining", "live", "suspect", "draining", "dead", "gone"};
/* Names of enum wv_drain_stage. */
static const char *const drain_stages[] = {
    "serving", "withdrawn", "refusing", "handing_over", "stopped"};

static JsonArray *
dump_members(const struct control *control, wv_msec now)
{
	JsonArray *array = json_array_new();
	JsonObject *object;
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);

	for (size_t i = 0; i < n; i++) {
		object = json_object_new();
		wv_json_set_string(object, "vm", all[i].id.name);
		json_object_set_int_member(
		    object, "incarnation", (gint64)all[i].id.incarnation);
		wv_json_set_string(object, "zone", all[i].zone);
		wv_json_set_string(object, "peer", all[i].peer_address);
		wv_json_set_string(object, "callers", all[i].caller_address);
		wv_json_set_string(
		    object, "operators", all[i].operator_address);
		json_object_set_string_member(
		    object, "state", member_states[all[i].state]);
		json_object_set_double_member(
		    object, "silent_ms", now - all[i].last_seen);
		json_array_add_object_element(array, object);
	}
	return array;
}

static JsonArray *
dump_leases(const struct control *control, wv_msec now)
{
	const struct control_lane *lane;
	JsonArray *array = json_array_new();
	JsonObject *object;

	for (guint i = 0; i < control->lanes->len; i++) {
		lane = control->lanes->pdata[i];
		object = json_object_new();
		wv_json_set_string(object, "lane", lane->name);
		json_object_set_boolean_member(object, "held", lane->held);
		json_object_set_boolean_member(
		    object, "claimed", lane->claimed);
		json_object_set_boolean_member(
		    object, "handing_over", lane->handing_over);
		json_object_set_double_member(object, "until_ms",
		    lane->held ? lane->lease_expiry - now : 0);
		wv_json_set_string(object, "holder",
		    lane->held ? control->daemon->self.name
			       : lane->holder.name);
		json_array_add_object_element(array, object);
	}
	return array;
}

static void
dump_contract(void *data, const struct wv_contract *contract)
{
	JsonObject *object = json_object_new();

	wv_json_set_string(object, "customer", contract->customer);
	json_object_set_int_member(
	    object, "version", (gint64)contract->version);
	json_object_set_boolean_member(object, "deleted", contract->deleted);
	json_array_add_object_element(data, object);
}

static JsonArray *
dump_back_ends(const struct control *control)
{
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	JsonObject *object;
	void *value;

	g_hash_table_iter_init(&iter, control->back_ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct back_end *back_end = value;

		object = json_object_new();
		wv_json_set_string(object, "back_end", back_end->name);
		json_object_set_int_member(
		    object, "version", (gint64)back_end->version);
		json_object_set_int_member(
		    object, "map", (gint64)back_end->topology->map);
		json_object_set_int_member(object, "index_version",
		    (gint64)back_end->topology->index_version);
		json_object_set_int_member(object, "searchers",
		    (gint64)back_end->topology->n_searchers);
		json_array_add_object_element(array, object);
	}
	return array;
}

/* Returns the control thread's part of the dump. */
static JsonObject *
dump_control(const struct control *control)
{
	struct daemon *daemon = control->daemon;
	JsonObject *object = json_object_new();
	JsonArray *contracts = json_array_new();
	JsonObject *counters;
	struct wv_status status = {WV_OK, ""};
	wv_msec now = daemon_now(daemon);

	wv_json_add_status(object, &status);
	wv_json_set_string(object, "vm", daemon->self.name);
	json_object_set_int_member(
	    object, "incarnation", (gint64)daemon->self.incarnation);
	wv_json_set_string(object, "zone", daemon->settings->zone);
	wv_json_set_string(object, "deployment", daemon->settings->deployment);
	json_object_set_string_member(
	    object, "drain", drain_stages[control->drain_stage]);
	json_object_set_boolean_member(
	    object, "watcher", wv_sync_is_watcher(control->members));
	json_object_set_boolean_member(
	    object, "contracts_loaded", wv_sync_is_loaded(control->sync));
	json_object_set_int_member(
	    object, "in_progress", (gint64)atomic_load(&daemon->in_progress));
	json_object_set_array_member(
	    object, "members", dump_members(control, now));
	json_object_set_array_member(
	    object, "leases", dump_leases(control, now));
	wv_contract_table_foreach(daemon->contracts, dump_contract, contracts);
	json_object_set_array_member(object, "contracts", contracts);
	json_object_set_array_member(
	    object, "back_ends", dump_back_ends(control));
	json_object_set_array_member(
	    object, "leaving", control_dump_leaving(control));
	counters = stats_dump(&daemon->stats);
	links_dump_counters(daemon->links, counters);
	json_object_set_object_member(object, "counters", counters);
	return object;
}

static void
answer_dump(struct state_dump *dump)
{
	struct wv_string json;

	json_object_set_array_member(dump->object, "workers", dump->workers);
	json = wv_json_serialize_object(dump->object);
	wv_http_call_answer(dump->call, 200, json);
	wv_string_clear(&json);
	g_free(dump);
}

static void
on_worker_part(void *owner, struct mailbox_task *task)
{
	struct worker_part *part = (struct worker_part *)task;
	struct state_dump *dump = part->dump;

	(void)owner;
	json_array_add_object_element(dump->workers, part->object);
	g_free(part);
	if (--dump->n_pending_workers == 0)
		answer_dump(dump);
}

/* Queues a worker's part. Runs on that worker's thread. */
static void
on_worker_dump(void *data, JsonObject *object)
{
	struct worker_part *part = g_new0(struct worker_part, 1);

	part->dump = data;
	part->object = object;
	mailbox_post(
	    &part->dump->control->mailbox, &part->task, on_worker_part);
}

void
control_dump_state(struct control *control, struct wv_http_call *call)
{
	struct state_dump *dump = g_new0(struct state_dump, 1);

	dump->control = control;
	dump->call = call;
	dump->object = dump_control(control);
	dump->workers = json_array_new();
	dump->n_pending_workers = control->daemon->n_workers;
	if (dump->n_pending_workers == 0) {
		answer_dump(dump);
		return;
	}
	for (uint32_t i = 0; i < control->daemon->n_workers; i++)
		worker_dump(control->daemon->workers[i], on_worker_dump, dump);
}
