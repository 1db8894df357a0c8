/**
 * @file
 * Composes a follower's requests to the store and to other VMs.
 */
#include "entry/store_sync_private.h"

bool
store_is_write(const struct follower *follower)
{
	return follower->phase == PHASE_CREATE ||
	    follower->phase == PHASE_REPLACE ||
	    follower->phase == PHASE_RESTORE;
}

static char *
request_path(const struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	const struct platform_adapter *adapter = deps->adapter;

	switch (follower->phase) {
	case PHASE_LIST:
		return adapter->list_path(follower->kind, follower->list_after,
		    store_reads_stale_list(follower));
	case PHASE_FOLLOW:
		return adapter->watch_path(follower->kind,
		    wv_change_log_position(follower->changes),
		    follower->from_peer,
		    follower->catches_up || follower->sync->lost
			? STORE_CATCH_UP_WAIT
			: STORE_WATCH_WAIT);
	case PHASE_REPLACE:
		return adapter->object_path(follower->kind, deps->settings->vm);
	case PHASE_CONFIRM:
		return adapter->list_path(follower->kind, NULL, false);
	case PHASE_REVISIONS:
		return adapter->list_path(
		    follower->kind, follower->list_after, true);
	case PHASE_REMOVE:
		return adapter->remove_path(follower->kind,
		    follower->cleanup.vm.name, follower->cleanup.revision);
	case PHASE_RESTORE:
	case PHASE_CREATE:
	case PHASE_DONE:
		break;
	}
	return adapter->create_path(follower->kind);
}

static const char *
request_method(const struct follower *follower)
{
	switch (follower->phase) {
	case PHASE_CREATE:
	case PHASE_RESTORE:
		return "POST";
	case PHASE_REPLACE:
		return "PUT";
	case PHASE_REMOVE:
		return "DELETE";
	case PHASE_LIST:
	case PHASE_FOLLOW:
	case PHASE_CONFIRM:
	case PHASE_DONE:
	case PHASE_REVISIONS:
		break;
	}
	return "GET";
}

/* Returns the registration that the next call writes. Borrowed. */
static struct vm_entry
written_entry(const struct follower *follower)
{
	const struct entry_settings *settings = follower->sync->deps.settings;
	const struct wv_peer_address *vm = &follower->cleanup.vm;

	if (follower->phase == PHASE_RESTORE)
		return (struct vm_entry){
		    .name = vm->name,
		    .peers = vm->address,
		    .zone = vm->zone,
		    .capacity = vm->capacity,
		};
	return (struct vm_entry){
	    .name = wv_string_borrow(settings->vm),
	    .peers = wv_string_borrow(settings->peers),
	    .zone = wv_string_borrow(settings->zone),
	    .capacity = settings->capacity,
	};
}

GString *
store_compose_request(const struct follower *follower)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	struct vm_entry vm = written_entry(follower);
	GString *request = g_string_new(NULL);
	char *path = request_path(follower);
	struct wv_string body;

	g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    request_method(follower), path, deps->settings->store);
	g_free(path);
	if (!store_is_write(follower)) {
		g_string_append(request, "\r\n");
		return request;
	}
	body = deps->adapter->encode_vm(&vm);
	g_string_append_printf(request,
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    body.length);
	g_string_append_len(request, body.data, (gssize)body.length);
	wv_string_clear(&body);
	return request;
}
