/**
 * @file
 * Follows the store: routes and searchers by a list and then by changes, the
 * other VMs by a list at the start.
 */
#include <math.h>
#include <string.h>

#include "entry/client.h"
#include "entry/entry.h"
#include "entry/socket.h"

/**
 * How long a call waits for changes, ms. A call on a connection that has gone
 * silent is noticed after it, within the bound for changes of the routes.
 */
#define WATCH_WAIT 4000
/** Time for the answer of a call, beyond what it waits for, ms. */
#define CALL_TIMEOUT 1500.0
/** Time in which changes gather before the next call, ms. */
#define GATHER 300.0
/** First and longest delay after a failure, ms. */
#define BACKOFF_FIRST 100.0
#define BACKOFF_MOST 1000.0
/**
 * Time after the store's return for which missing searchers count as present,
 * ms: entries that lapsed meanwhile are written again within two seconds.
 */
#define RETURN_GRACE 2300.0

enum phase {
	PHASE_LIST, /* reads the list */
	PHASE_WATCH, /* waits for changes */
	PHASE_CREATE, /* creates this VM's entry */
	PHASE_REPLACE, /* replaces an entry of this VM's name */
	PHASE_DONE /* nothing more to do */
};

/* Follows one kind over a connection of its own. */
struct follower {
	struct store_sync *sync;
	enum store_kind kind;
	enum phase phase;
	struct client *client;
	struct event *timer; /* next call, or time-out of this one */
	bool calling;
	uint64_t revision; /* everything up to it is known */
	char *after; /* list: the last name of the former page */
	bool found_self;
	wv_msec backoff;
};

struct store_sync {
	struct entry *entry;
	bool lost;
	struct follower followers[STORE_KIND_COUNT];
};

static const char *const kind_names[STORE_KIND_COUNT] = {
    "routes", "searchers", "vms"};

static void call(struct follower *follower);

static const char *
method_of(const struct follower *follower)
{
	if (follower->phase == PHASE_CREATE)
		return "POST";
	return follower->phase == PHASE_REPLACE ? "PUT" : "GET";
}

static bool
is_write(const struct follower *follower)
{
	return follower->phase == PHASE_CREATE ||
	    follower->phase == PHASE_REPLACE;
}

static void
set_timer(struct follower *follower, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(follower->timer, &time);
}

static void
hang_up(struct follower *follower)
{
	if (follower->client != NULL)
		client_destroy(follower->client);
	follower->client = NULL;
	follower->calling = false;
}

static void
note_lost(struct follower *follower, const char *why)
{
	struct store_sync *sync = follower->sync;

	wv_counter_add(&sync->entry->metrics.store_failures, 1);
	if (sync->lost)
		return;
	sync->lost = true;
	log_line(sync->entry->log, LOG_CHANGE, "store_lost",
	    "\"kind\":\"%s\",\"why\":\"%s\"", kind_names[follower->kind], why);
}

static void
note_answer(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	struct entry *entry = sync->entry;

	follower->backoff = BACKOFF_FIRST;
	if (!sync->lost)
		return;
	sync->lost = false;
	wv_fleet_store_back(entry->fleet, entry_now(entry), RETURN_GRACE);
	log_line(entry->log, LOG_CHANGE, "store_regained", "\"kind\":\"%s\"",
	    kind_names[follower->kind]);
}

static void
fail(struct follower *follower, const char *why)
{
	hang_up(follower);
	note_lost(follower, why);
	set_timer(follower, follower->backoff);
	follower->backoff = fmin(follower->backoff * 2, BACKOFF_MOST);
}

static void
take_routes(struct entry *entry, const struct store_object *object)
{
	struct wv_status status = {0};
	struct wv_routes *routes;

	if (object->deleted)
		return;
	routes = entry->dialect->decode_routes(object, &status);
	if (routes == NULL) {
		wv_counter_add(&entry->metrics.objects_unreadable, 1);
		log_line(entry->log, LOG_CHANGE, "routes_unreadable",
		    "\"name\":\"%s\",\"why\":\"%s\"", object->name.data,
		    status.message);
		return;
	}
	entry_take_routes(entry, routes);
	wv_routes_unref(routes);
}

static void
log_searcher(struct entry *entry, const char *event,
    const struct wv_searcher_entry *searcher)
{
	log_line(entry->log, LOG_CHANGE, event,
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"draining\":%s,\"started_ms\":%" G_GUINT64_FORMAT,
	    searcher->id.data, searcher->service.data, searcher->address.data,
	    searcher->draining ? "true" : "false", searcher->started);
}

static void
take_searcher(struct entry *entry, const struct store_object *object)
{
	struct wv_searcher_entry searcher;
	struct wv_status status = {0};
	wv_msec now = entry_now(entry);

	if (object->deleted) {
		if (wv_fleet_remove(entry->fleet, now, object->name))
			log_line(entry->log, LOG_CHANGE, "searcher_missing",
			    "\"searcher\":\"%s\"", object->name.data);
		return;
	}
	if (!entry->dialect->decode_searcher(object, &searcher, &status)) {
		wv_counter_add(&entry->metrics.objects_unreadable, 1);
		wv_fleet_remove(entry->fleet, now, object->name);
		log_line(entry->log, LOG_CHANGE, "searcher_unreadable",
		    "\"searcher\":\"%s\",\"why\":\"%s\"", object->name.data,
		    status.message);
		return;
	}
	if (wv_fleet_put(entry->fleet, now, &searcher))
		log_searcher(entry, "searcher_changed", &searcher);
}

static void
take_vm(struct follower *follower, const struct store_object *object)
{
	struct entry *entry = follower->sync->entry;
	struct vm_entry vm;

	if (object->deleted || !entry->dialect->decode_vm(object, &vm))
		return;
	if (wv_string_equal(vm.name, wv_string_borrow(entry->settings->vm)) &&
	    wv_string_equal(vm.peers, wv_string_borrow(entry->settings->peers)))
		follower->found_self = true;
	wv_peers_introduce(entry->peers, entry_now(entry), vm.name, vm.peers);
}

static void
take_object(void *data, const struct store_object *object)
{
	struct follower *follower = data;
	struct entry *entry = follower->sync->entry;

	if (follower->kind == STORE_ROUTES)
		take_routes(entry, object);
	else if (follower->kind == STORE_SEARCHERS)
		take_searcher(entry, object);
	else
		take_vm(follower, object);
}

static void
restart_list(struct follower *follower)
{
	g_free(follower->after);
	follower->after = NULL;
	follower->phase = PHASE_LIST;
}

/* The whole list has been read. */
static void
list_read(struct follower *follower)
{
	struct entry *entry = follower->sync->entry;

	restart_list(follower);
	if (follower->kind == STORE_VMS) {
		follower->phase =
		    follower->found_self ? PHASE_DONE : PHASE_REPLACE;
		entry->vms_listed = true;
		entry_set_terms(entry);
		return;
	}
	follower->phase = PHASE_WATCH;
	if (follower->kind != STORE_SEARCHERS)
		return;
	wv_fleet_list_end(entry->fleet, entry_now(entry));
	if (!entry->searchers_known)
		log_line(entry->log, LOG_CHANGE, "searchers_listed",
		    "\"searchers\":%zu", wv_fleet_size(entry->fleet));
	entry->searchers_known = true;
}

static void
take_page(struct follower *follower, const struct store_page *page)
{
	if (follower->phase == PHASE_LIST) {
		/* A later page may be newer; changes in between are watched. */
		if (follower->after == NULL)
			follower->revision = page->revision;
		g_free(follower->after);
		follower->after = g_strdup(page->last_name);
		if (!page->more || page->last_name == NULL)
			list_read(follower);
		return;
	}
	follower->revision = page->revision;
}

/* Takes the body of an answer; returns whether it could be read. */
static bool
take_body(struct follower *follower, const struct message *answer)
{
	struct entry *entry = follower->sync->entry;
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	struct store_page page = {0};
	bool list = follower->phase == PHASE_LIST;
	bool good;

	if (list && follower->after == NULL &&
	    follower->kind == STORE_SEARCHERS)
		wv_fleet_list_begin(entry->fleet);
	good =
	    entry->dialect->decode(body, &page, take_object, follower, &status);
	if (good)
		take_page(follower, &page);
	else
		log_line(entry->log, LOG_CHANGE, "store_answer_unreadable",
		    "\"kind\":\"%s\",\"why\":\"%s\"",
		    kind_names[follower->kind], status.message);
	g_free(page.last_name);
	wv_dispatch_fleet_changed(entry->dispatch, entry_now(entry));
	entry_arm(entry);
	return good;
}

static bool
take_answer(struct follower *follower, const struct message *answer)
{
	/* Of two VMs that start at once, the later one lists the other. */
	if (follower->phase == PHASE_CREATE &&
	    (answer->status == 409 || answer->status / 100 == 2)) {
		follower->phase = PHASE_LIST;
		return true;
	}
	if (follower->phase == PHASE_REPLACE && answer->status / 100 == 2) {
		follower->phase = PHASE_DONE;
		return true;
	}
	if (answer->status == 410) {
		restart_list(follower);
		return true;
	}
	return answer->status == 200 && !is_write(follower) &&
	    take_body(follower, answer);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct follower *follower = data;
	bool watched = follower->phase == PHASE_WATCH;

	follower->calling = false;
	if (!take_answer(follower, answer)) {
		message_destroy(answer);
		fail(follower, "refused");
		return true;
	}
	message_destroy(answer);
	note_answer(follower);
	if (!client_reusable(client))
		hang_up(follower);
	if (follower->phase == PHASE_DONE) {
		hang_up(follower);
		event_del(follower->timer);
	} else {
		set_timer(follower, watched ? GATHER : 0);
	}
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end end)
{
	struct follower *follower = data;

	if (follower->calling)
		fail(follower,
		    end == CLIENT_REFUSED ? "no connection"
					  : "connection ended");
	else
		hang_up(follower);
}

static const struct client_ops ops = {on_answer, on_end};

static char *
path_of(const struct follower *follower)
{
	const struct dialect *dialect = follower->sync->entry->dialect;

	switch (follower->phase) {
	case PHASE_LIST:
		return dialect->list_path(follower->kind, follower->after);
	case PHASE_WATCH:
		return dialect->watch_path(
		    follower->kind, follower->revision, WATCH_WAIT);
	case PHASE_REPLACE:
		return dialect->object_path(
		    follower->kind, follower->sync->entry->settings->vm);
	case PHASE_CREATE:
	case PHASE_DONE:
		break;
	}
	return dialect->create_path(follower->kind);
}

static struct wv_string
body_of(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;
	struct vm_entry vm = {
	    .name = wv_string_borrow(entry->settings->vm),
	    .peers = wv_string_borrow(entry->settings->peers),
	};
	struct wv_string none = {NULL, 0};

	return follower->phase == PHASE_CREATE ? entry->dialect->encode_vm(&vm)
					       : none;
}

static void
call(struct follower *follower)
{
	struct entry *entry = follower->sync->entry;
	struct wv_string body = body_of(follower);
	char *path = path_of(follower);
	GString *request = g_string_new(NULL);
	struct wv_string bytes;

	g_string_append_printf(request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    method_of(follower), path, entry->settings->store);
	if (is_write(follower))
		g_string_append_printf(request,
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n",
		    body.length);
	g_string_append(request, "\r\n");
	if (is_write(follower))
		g_string_append_len(request, body.data, (gssize)body.length);
	if (follower->client == NULL)
		follower->client = client_create(
		    entry->base, entry->settings->store, &ops, follower);
	follower->calling = true;
	bytes.data = request->str;
	bytes.length = request->len;
	wv_counter_add(&entry->metrics.store_calls, 1);
	client_send(follower->client, bytes, false);
	set_timer(follower,
	    CALL_TIMEOUT + (follower->phase == PHASE_WATCH ? WATCH_WAIT : 0));
	g_string_free(request, TRUE);
	wv_string_clear(&body);
	g_free(path);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct follower *follower = data;

	if (follower->calling)
		fail(follower, "no answer in time");
	else
		call(follower);
}

struct store_sync *
store_sync_create(struct entry *entry)
{
	struct store_sync *sync = g_new0(struct store_sync, 1);

	sync->entry = entry;
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		follower->sync = sync;
		follower->kind = (enum store_kind)i;
		follower->phase = i == STORE_VMS ? PHASE_CREATE : PHASE_LIST;
		follower->backoff = BACKOFF_FIRST;
		follower->timer =
		    event_new(entry->base, -1, 0, on_timer, follower);
		call(follower);
	}
	return sync;
}

void
store_sync_destroy(struct store_sync *sync)
{
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		hang_up(follower);
		event_free(follower->timer);
		g_free(follower->after);
	}
	g_free(sync);
}
