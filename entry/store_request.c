/**
 * @file
 * Composes a follower's requests to the store and to other VMs.
 */
#include "entry/store_sync_private.h"

bool
store_is_write(const struct follower *follower)
{
	return follower->phase == PHASE_CREATE ||
	    follower->phase == PHASE_REPLACE;
}

static char *
request_path(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;
	const struct platform_adapter *adapter = entry->adapter;

	switch (follower->phase) {
	case PHASE_LIST:
		return adapter->list_path(follower->kind, follower->list_after,
		    store_reads_stale_list(follower));
	case PHASE_FOLLOW:
		return adapter->watch_path(follower->kind,
		    wv_change_log_revision(follower->changes),
		    follower->catches_up ? STORE_CATCH_UP_WAIT
					 : STORE_WATCH_WAIT);
	case PHASE_REPLACE:
		return adapter->object_path(
		    follower->kind, entry->settings->vm);
	case PHASE_CREATE:
	case PHASE_DONE:
		break;
	}
	return adapter->create_path(follower->kind);
}

static const char *
request_method(const struct follower *follower)
{
	if (follower->phase == PHASE_CREATE)
		return "POST";
	return follower->phase == PHASE_REPLACE ? "PUT" : "GET";
}

GString *
store_compose_request(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;
	struct vm_entry vm = {
	    .name = wv_string_borrow(entry->settings->vm),
	    .peers = wv_string_borrow(entry->settings->peers),
	    .zone = wv_string_borrow(entry->settings->zone),
	    .capacity = entry->settings->capacity,
	};
	GString *request = g_string_new(NULL);
	char *path = request_path(follower);
	struct wv_string body;

	g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    request_method(follower), path, entry->settings->store);
	g_free(path);
	if (!store_is_write(follower)) {
		g_string_append(request, "\r\n");
		return request;
	}
	body = entry->adapter->encode_vm(&vm);
	g_string_append_printf(request,
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    body.length);
	g_string_append_len(request, body.data, (gssize)body.length);
	wv_string_clear(&body);
	return request;
}
