/**
 * @file
 * Contracts and back ends in the store: every VM lists them once at its start,
 * and a few VMs watch them for changes.
 */
#include <string.h>

#include <xxhash.h>

#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"
#include "http/json.h"

/** Longest time that a watch waits for a change, ms. */
#define WATCH_WAIT 20000.0
/** Time before a failed call to the store is repeated, ms. */
#define STORE_RETRY_DELAY 500.0
/** Time between checks whether this VM has become a watcher, ms. */
#define WATCHER_CHECK_INTERVAL 1000.0

static bool
is_deleted(JsonObject *value)
{
	return wv_json_get_bool(value, "deleted", false);
}

bool
control_update_contract(struct control *control, struct wv_string customer,
    struct wv_string json, uint64_t version, bool deleted)
{
	struct wv_status status = {WV_OK, ""};
	bool changed = wv_sync_apply_update(
	    control->sync, customer, json, version, deleted, &status);

	if (status.code != WV_OK) {
		wv_counter_add(&control->daemon->stats.contracts_rejected, 1);
		g_warning("contract of %s, version %" G_GUINT64_FORMAT
			  ": rejected: %s",
		    customer.data, version, status.message);
	}
	if (!changed)
		return false;
	wv_counter_add(&control->daemon->stats.contracts_in_force, 1);
	g_message("contract of %s: version %" G_GUINT64_FORMAT " in force",
	    customer.data, version);
	return true;
}

/*
 * Applies a contract object from the store. Returns its version if it came in
 * force, else 0.
 */
static uint64_t
apply_contract(struct control *control, JsonObject *object)
{
	JsonNode *value = json_object_get_member(object, "value");
	struct wv_string key = wv_json_get_string(object, "key");
	uint64_t version = (uint64_t)wv_json_get_number(object, "version", 0);
	struct wv_string customer, json;
	bool deleted, changed;

	if (value == NULL || !JSON_NODE_HOLDS_OBJECT(value) ||
	    !g_str_has_prefix(key.data, STORE_CONTRACTS_PREFIX))
		return 0;
	customer = wv_string_borrow(key.data + strlen(STORE_CONTRACTS_PREFIX));
	deleted = is_deleted(json_node_get_object(value));
	json = wv_json_serialize(value);
	changed =
	    control_update_contract(control, customer, json, version, deleted);
	wv_string_clear(&json);
	return changed ? version : 0;
}

/* Applies contracts from a full listing or from a watch. */
static void
apply_contract_objects(
    struct control *control, JsonArray *objects, bool complete)
{
	uint64_t previous_revision = wv_sync_revision(control->sync);
	uint64_t highest_version = previous_revision;
	bool changed = false;
	JsonObject *object;

	for (guint i = 0; i < json_array_get_length(objects); i++) {
		object = json_array_get_object_element(objects, i);
		changed |= apply_contract(control, object) > 0;
		highest_version = MAX(highest_version,
		    (uint64_t)wv_json_get_number(object, "version", 0));
	}
	wv_sync_advance_revision(
	    control->sync, complete ? 0 : previous_revision, highest_version);
	wv_sync_record_confirmation(control->sync, daemon_now(control->daemon));
	/*
	 * A full listing comes only at the start. It is not pushed: peers are
	 * sent what their heartbeats show that they lack.
	 */
	if (changed && !complete)
		control_push_contracts(control, previous_revision);
}

/* Sends all back ends to every other live VM. */
static void
send_back_ends_to_all(struct control *control)
{
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);

	for (size_t i = 0; i < n; i++) {
		if (all[i].state == WV_MEMBER_LIVE &&
		    !wv_string_equal(
			all[i].id.name, control->daemon->self.name))
			control_send_back_ends(control, all[i].peer_address);
	}
}

/* Applies back ends from a full listing or from a watch. */
static void
apply_back_end_objects(
    struct control *control, JsonArray *objects, bool complete)
{
	struct wv_string key, json;
	bool changed = false;
	JsonObject *object;
	JsonNode *value;

	(void)complete;
	for (guint i = 0; i < json_array_get_length(objects); i++) {
		object = json_array_get_object_element(objects, i);
		key = wv_json_get_string(object, "key");
		value = json_object_get_member(object, "value");
		if (value == NULL ||
		    !g_str_has_prefix(key.data, STORE_BACK_ENDS_PREFIX))
			continue;
		json = wv_json_serialize(value);
		changed |= control_update_back_end(control,
		    wv_string_borrow(key.data + strlen(STORE_BACK_ENDS_PREFIX)),
		    json, (uint64_t)wv_json_get_number(object, "version", 0));
		wv_string_clear(&json);
	}
	if (changed)
		send_back_ends_to_all(control);
}

bool
control_update_back_end(struct control *control, struct wv_string name,
    struct wv_string json, uint64_t version)
{
	struct back_end *back_end =
	    g_hash_table_lookup(control->back_ends, name.data);
	struct wv_status status = {WV_OK, ""};
	struct wv_topology *topology;

	if (back_end != NULL && back_end->version >= version)
		return false;
	topology = wv_topology_parse(json, version, &status);
	if (topology == NULL) {
		g_warning("back end %s, version %" G_GUINT64_FORMAT
			  ": rejected: %s",
		    name.data, version, status.message);
		return false;
	}
	if (back_end != NULL &&
	    back_end->topology->job_buckets != topology->job_buckets) {
		/*
		 * With another number of buckets, keys would map to buckets
		 * that do not contain their records.
		 */
		g_warning("back end %s, version %" G_GUINT64_FORMAT
			  ": rejected: $.job_buckets must not change",
		    name.data, version);
		wv_topology_destroy(topology);
		return false;
	}
	if (back_end == NULL) {
		back_end = g_new0(struct back_end, 1);
		back_end->name = wv_string_copy(name);
		g_hash_table_insert(
		    control->back_ends, back_end->name.data, back_end);
	}
	wv_string_clear(&back_end->json);
	wv_topology_destroy(back_end->topology);
	back_end->json = wv_string_copy(json);
	back_end->version = version;
	back_end->topology = topology;
	g_message("back end %s: version %" G_GUINT64_FORMAT " in force",
	    name.data, version);
	control_add_lanes(control, topology);
	return true;
}

uint64_t
control_back_ends_digest(const struct control *control)
{
	uint64_t digest = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, control->back_ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct back_end *back_end = value;

		digest ^= XXH3_64bits_withSeed(back_end->name.data,
		    back_end->name.length, back_end->version);
	}
	return digest;
}

static void
init_watched(struct control *control, struct watched_prefix *watched,
    const char *prefix, void (*apply)(struct control *, JsonArray *, bool))
{
	watched->control = control;
	watched->prefix = prefix;
	watched->apply = apply;
}

void
control_init_store_watches(struct control *control)
{
	init_watched(control, &control->contracts, STORE_CONTRACTS_PREFIX,
	    apply_contract_objects);
	init_watched(control, &control->topologies, STORE_BACK_ENDS_PREFIX,
	    apply_back_end_objects);
}

/* Handles the answer to a listing or a watch. */
static void
on_objects(void *data, enum wv_store_outcome outcome, JsonArray *objects,
    uint64_t revision)
{
	struct watched_prefix *watched = data;
	struct control *control = watched->control;
	wv_msec now = daemon_now(control->daemon);

	watched->call_pending = false;
	if (outcome != WV_STORE_OK) {
		watched->next = now + STORE_RETRY_DELAY;
		return;
	}
	watched->apply(control, objects, !watched->listed);
	watched->listed = true;
	watched->revision = MAX(watched->revision, revision);
	watched->next = now;
}

/* Starts the next listing or watch of a prefix if it is due. */
static void
tick_watched(
    struct control *control, struct watched_prefix *watched, wv_msec now)
{
	if (watched->call_pending || watched->next > now)
		return;
	if (!watched->listed) {
		watched->call_pending = true;
		store_list(control->daemon, control->client, watched->prefix,
		    on_objects, watched);
		return;
	}
	if (!wv_sync_is_watcher(control->members)) {
		watched->next = now + WATCHER_CHECK_INTERVAL;
		return;
	}
	watched->call_pending = true;
	store_watch(control->daemon, control->client, watched->prefix,
	    watched->revision, WATCH_WAIT, on_objects, watched);
}

void
control_tick_store(struct control *control, wv_msec now)
{
	tick_watched(control, &control->topologies, now);
	tick_watched(control, &control->contracts, now);
}
