/**
 * @file
 * Applies objects of the store to the state of this VM.
 */
#include "entry/store_sync_private.h"

static void
apply_routes(struct entry *entry, const struct store_object *object)
{
	struct wv_status status = {0};
	struct wv_routes *routes;
	char name[LOG_NAME_SIZE];

	if (object->deleted)
		return;
	routes = entry->adapter->decode_routes(object, &status);
	if (routes == NULL) {
		wv_counter_add(&entry->metrics.objects_unreadable, 1);
		log_line(entry->log, LOG_CHANGE, "routes_unreadable",
		    "\"name\":\"%s\",\"why\":\"%s\"",
		    log_escape(object->name, name, sizeof(name)),
		    status.message);
		return;
	}
	entry_update_routes(entry, routes);
	wv_routes_unref(routes);
}

static void
log_searcher(struct entry *entry, const struct wv_searcher_entry *searcher)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	log_line(entry->log, LOG_CHANGE, "searcher_changed",
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"draining\":%s,\"started_ms\":%" G_GUINT64_FORMAT,
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service, service, sizeof(service)),
	    searcher->address.data, searcher->draining ? "true" : "false",
	    searcher->started);
}

/* Forgets the searcher of an entry that names none that can be used. */
static void
reject_searcher(
    struct entry *entry, const struct store_object *object, const char *why)
{
	char name[LOG_NAME_SIZE];

	wv_counter_add(&entry->metrics.objects_unreadable, 1);
	wv_registry_remove(entry->registry, entry_now(entry), object->name);
	log_line(entry->log, LOG_CHANGE, "searcher_unreadable",
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
apply_searcher(struct entry *entry, const struct store_object *object)
{
	struct wv_searcher_entry searcher;
	struct wv_status status = {0};
	wv_msec now = entry_now(entry);
	char name[LOG_NAME_SIZE];

	if (object->deleted) {
		if (wv_registry_remove(entry->registry, now, object->name))
			log_line(entry->log, LOG_CHANGE, "searcher_missing",
			    "\"searcher\":\"%s\"",
			    log_escape(object->name, name, sizeof(name)));
		return;
	}
	if (!entry->adapter->decode_searcher(object, &searcher, &status)) {
		reject_searcher(entry, object, status.message);
		return;
	}
	if (!is_header_text(searcher.id)) {
		reject_searcher(entry, object, "not an identifier");
		return;
	}
	if (wv_registry_update(entry->registry, now, &searcher))
		log_searcher(entry, &searcher);
}

static void
reject_vm(struct entry *entry, const struct store_object *object)
{
	char name[LOG_NAME_SIZE];

	wv_counter_add(&entry->metrics.objects_unreadable, 1);
	log_line(entry->log, LOG_CHANGE, "vm_unreadable", "\"name\":\"%s\"",
	    log_escape(object->name, name, sizeof(name)));
}

void
store_apply_vm(struct follower *follower, const struct store_object *object)
{
	struct entry *entry = follower->sync->entry;
	struct vm_entry vm = {0};

	if (object->deleted)
		return;
	if (!entry->adapter->decode_vm(object, &vm)) {
		reject_vm(entry, object);
		return;
	}
	if (wv_string_equal(vm.name, wv_string_borrow(entry->settings->vm)) &&
	    wv_string_equal(vm.peers, wv_string_borrow(entry->settings->peers)))
		follower->found_self = true;
	wv_peers_set_address(entry->peers, entry_now(entry),
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
	struct entry *entry = follower->sync->entry;

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
	wv_change_list_add(follower->received, object->name,
	    entry->adapter->encode_change(object), object->deleted);
	if (follower->kind == STORE_ROUTES)
		apply_routes(entry, object);
	else
		apply_searcher(entry, object);
}
