/**
 * @file
 * Applies objects of the store to the state of this VM.
 */
#include "entry/store_sync_private.h"

/*
 * Keeps the newest version of the routes for other VMs, whatever the store
 * shows after it came back from an older copy. Returns the text to pass on; the
 * caller owns it.
 */
static char *
choose_newest_routes(struct store_sync *sync, char *text, uint64_t version)
{
	if (version < sync->newest_version) {
		log_line(sync->deps.log, LOG_CHANGE, "routes_kept",
		    "\"version\":%" G_GUINT64_FORMAT
		    ",\"read\":%" G_GUINT64_FORMAT
		    ",\"era\":%" G_GUINT64_FORMAT,
		    sync->newest_version, version, sync->era);
		g_free(text);
		return g_strdup(sync->newest_routes);
	}
	g_free(sync->newest_routes);
	sync->newest_routes = g_strdup(text);
	sync->newest_version = version;
	return text;
}

/* Applies routes; returns their version, or 0 if they can't be used. */
static uint64_t
apply_routes(struct store_sync *sync, const struct store_object *object)
{
	const struct store_sync_deps *deps = &sync->deps;
	struct wv_status status = {0};
	struct wv_routes *routes;
	char name[LOG_NAME_SIZE];
	uint64_t version;

	if (object->deleted)
		return 0;
	routes = deps->adapter->decode_routes(object, &status);
	if (routes == NULL) {
		wv_counter_add(&deps->metrics->objects_unreadable, 1);
		log_line(deps->log, LOG_CHANGE, "routes_unreadable",
		    "\"name\":\"%s\",\"why\":\"%s\"",
		    log_escape(object->name, name, sizeof(name)),
		    status.message);
		return 0;
	}
	sync->routes_version = MAX(sync->routes_version, routes->version);
	sync->ops->routes_read(sync->data, routes);
	version = routes->version;
	wv_routes_unref(routes);
	return version;
}

void
store_apply_confirmed(void *data, const struct store_object *object)
{
	struct follower *follower = data;
	struct store_sync *sync = follower->sync;
	uint64_t before = sync->newest_version;
	uint64_t version = apply_routes(sync, object);
	char *text;

	if (version <= before)
		return;
	text = choose_newest_routes(
	    sync, sync->deps.adapter->encode_change(object), version);
	wv_change_log_put_object(follower->changes, object->name, text);
}

static void
log_searcher(struct log *log, const struct wv_searcher_entry *searcher)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	log_line(log, LOG_CHANGE, "searcher_changed",
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"draining\":%s,\"cold_ms\":%.0f,"
	    "\"started_ms\":%" G_GUINT64_FORMAT,
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service, service, sizeof(service)),
	    searcher->address.data, searcher->draining ? "true" : "false",
	    searcher->warm_up_left, searcher->started);
}

/* Forgets the searcher of an entry that names none that can be used. */
static void
reject_searcher(
    struct store_sync *sync, const struct store_object *object, const char *why)
{
	const struct store_sync_deps *deps = &sync->deps;
	char name[LOG_NAME_SIZE];

	wv_counter_add(&deps->metrics->objects_unreadable, 1);
	wv_registry_remove(deps->registry, store_now(sync), object->name);
	log_line(deps->log, LOG_CHANGE, "searcher_unreadable",
	    "\"searcher\":\"%s\",\"why\":\"%s\"",
	    log_escape(object->name, name, sizeof(name)), why);
}

/*
 * Returns whether an identifier can stand in a header field: a line end in it
 * would begin another field, or another request.
 */
static bool
is_header_text(struct wv_string id)
{
	for (size_t i = 0; i < id.length; i++) {
		if (!g_ascii_isprint(id.data[i]))
			return false;
	}
	return true;
}

static void
apply_searcher(struct store_sync *sync, const struct store_object *object)
{
	const struct store_sync_deps *deps = &sync->deps;
	struct wv_searcher_entry searcher;
	struct wv_status status = {0};
	wv_msec now = store_now(sync);
	char name[LOG_NAME_SIZE];

	if (object->deleted) {
		if (wv_registry_remove(deps->registry, now, object->name))
			log_line(deps->log, LOG_CHANGE, "searcher_missing",
			    "\"searcher\":\"%s\"",
			    log_escape(object->name, name, sizeof(name)));
		return;
	}
	if (!deps->adapter->decode_searcher(object, &searcher, &status)) {
		reject_searcher(sync, object, status.message);
		return;
	}
	if (!is_header_text(searcher.id)) {
		reject_searcher(sync, object, "not an identifier");
		return;
	}
	if (wv_registry_update(deps->registry, now, &searcher))
		log_searcher(deps->log, &searcher);
}

static void
reject_vm(struct store_sync *sync, const struct store_object *object)
{
	const struct store_sync_deps *deps = &sync->deps;
	char name[LOG_NAME_SIZE];

	wv_counter_add(&deps->metrics->objects_unreadable, 1);
	log_line(deps->log, LOG_CHANGE, "vm_unreadable", "\"name\":\"%s\"",
	    log_escape(object->name, name, sizeof(name)));
}

void
store_apply_vm(struct follower *follower, const struct store_object *object)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	struct vm_entry vm = {0};

	if (object->deleted)
		return;
	if (!deps->adapter->decode_vm(object, &vm)) {
		reject_vm(follower->sync, object);
		return;
	}
	if (wv_string_equal(vm.name, wv_string_borrow(deps->settings->vm)) &&
	    wv_string_equal(vm.peers, wv_string_borrow(deps->settings->peers)))
		follower->found_self = true;
	wv_peers_set_address(deps->peers, store_now(follower->sync),
	    &(struct wv_peer_address){
		.name = vm.name,
		.address = vm.peers,
		.zone = vm.zone,
		.capacity = vm.capacity,
	    });
}

void
store_apply_object(void *data, const struct store_object *object)
{
	struct follower *follower = data;
	const struct store_sync_deps *deps = &follower->sync->deps;
	char *text;

	if (store_is_outdated_list(follower))
		return;
	if (follower->phase == PHASE_REVISIONS) {
		store_apply_revision(follower, object);
		return;
	}
	if (follower->kind == STORE_VMS) {
		store_apply_vm(follower, object);
		return;
	}
	text = deps->adapter->encode_change(object);
	/* Evacuations are applied once the whole answer is known to be valid.
	 */
	if (follower->kind == STORE_ROUTES) {
		uint64_t version = apply_routes(follower->sync, object);

		if (version > 0)
			text =
			    choose_newest_routes(follower->sync, text, version);
	} else if (follower->kind == STORE_SEARCHERS) {
		apply_searcher(follower->sync, object);
	}
	wv_change_list_add(
	    follower->received, object->name, text, object->deleted);
}
