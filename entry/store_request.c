/**
 * @file
 * Composes the calls of a follower.
 */
#include "entry/store_sync_private.h"

bool
store_is_write(const struct follower *follower)
{
	return follower->phase == PHASE_CREATE ||
	    follower->phase == PHASE_REPLACE;
}

static char *
path_of(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;
	const struct dialect *dialect = entry->dialect;

	switch (follower->phase) {
	case PHASE_LIST:
		return dialect->list_path(follower->kind, follower->after);
	case PHASE_FOLLOW:
		return dialect->watch_path(follower->kind,
		    wv_changes_revision(follower->changes), STORE_WATCH_WAIT);
	case PHASE_REPLACE:
		return dialect->object_path(
		    follower->kind, entry->settings->vm);
	case PHASE_CREATE:
	case PHASE_DONE:
		break;
	}
	return dialect->create_path(follower->kind);
}

static const char *
method_of(const struct follower *follower)
{
	if (follower->phase == PHASE_CREATE)
		return "POST";
	return follower->phase == PHASE_REPLACE ? "PUT" : "GET";
}

GString *
store_compose(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;
	struct vm_entry vm = {
	    .name = wv_string_borrow(entry->settings->vm),
	    .peers = wv_string_borrow(entry->settings->peers),
	    .capacity = entry->settings->capacity,
	};
	GString *request = g_string_new(NULL);
	char *path = path_of(follower);
	struct wv_string body;

	g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    method_of(follower), path, entry->settings->store);
	g_free(path);
	if (!store_is_write(follower)) {
		g_string_append(request, "\r\n");
		return request;
	}
	body = entry->dialect->encode_vm(&vm);
	g_string_append_printf(request,
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    body.length);
	g_string_append_len(request, body.data, (gssize)body.length);
	wv_string_clear(&body);
	return request;
}
