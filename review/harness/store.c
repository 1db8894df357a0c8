/**
 * @file
 * Stand-in for the platform's store: objects by kind and name, lists by pages,
 * watches, a history that can be forgotten, and a time when all calls are
 * turned away. Each answer takes STORE_TIME.
 */
#include <stdlib.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "entry/socket.h"
#include "review/harness/store.h"

/* A call: waits for its answer, or for an event if it is a watch. */
struct call {
	struct store *store;
	struct door *door;
	struct server_conn *conn;
	struct event *timer;
	char *method;
	char *kind;
	char *name; /* NULL: none in the path */
	char *query;
	char *body;
	uint64_t watch_from;
	bool waits; /* in the store's list of watches */
};

static void
call_destroy(struct call *call)
{
	if (call->waits)
		g_queue_remove(&call->store->waiting, call);
	event_free(call->timer);
	g_free(call->method);
	g_free(call->kind);
	g_free(call->name);
	g_free(call->query);
	g_free(call->body);
	g_free(call);
}

/* Answers a call and releases it. */
static void
answer(struct call *call, unsigned status, const char *body)
{
	GString *fields = g_string_new("Content-Type: application/json\r\n");
	struct server_conn *conn = call->conn;

	server_conn_set_context(conn, NULL);
	server_answer(conn, status, fields,
	    (struct wv_string){(char *)body, strlen(body)});
	call_destroy(call);
	g_string_free(fields, TRUE);
}

static void
append_object(GString *out, const struct object *object)
{
	g_string_append_printf(out,
	    "{\"meta\":{\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
	    ",\"createdRev\":%" G_GUINT64_FORMAT
	    ",\"finalizers\":[],\"deletionPending\":false},\"spec\":%s,"
	    "\"status\":null}",
	    object->name, object->revision, object->revision, object->spec);
}

static struct object *
find_object(const struct store *store, const char *kind, const char *name)
{
	for (guint i = 0; i < store->objects->len; i++) {
		struct object *object = store->objects->pdata[i];

		if (g_str_equal(object->kind, kind) &&
		    g_str_equal(object->name, name))
			return object;
	}
	return NULL;
}

/* Value of a number in a query; 0 if there is none. */
static uint64_t
query_number(const char *query, const char *name)
{
	const char *at = strstr(query, name);

	return at == NULL ? 0 : g_ascii_strtoull(at + strlen(name), NULL, 10);
}

static char *
query_text(const char *query, const char *name)
{
	const char *at = strstr(query, name);

	if (at == NULL)
		return NULL;
	at += strlen(name);
	return g_strndup(at, strcspn(at, "&"));
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	const struct object *first = *(const struct object *const *)a;
	const struct object *second = *(const struct object *const *)b;

	return strcmp(first->name, second->name);
}

static void
answer_list(struct call *call)
{
	struct store *store = call->store;
	GString *out = g_string_new("{\"items\":[");
	char *after = query_text(call->query, "after=");
	unsigned n = 0;
	bool more = false;

	g_ptr_array_sort(store->objects, compare_names);
	for (guint i = 0; i < store->objects->len && !more; i++) {
		const struct object *object = store->objects->pdata[i];

		if (!g_str_equal(object->kind, call->kind) ||
		    (after != NULL && strcmp(object->name, after) <= 0))
			continue;
		if (n == PAGE_OBJECTS || out->len > PAGE_BYTES) {
			more = true;
			break;
		}
		if (n++ > 0)
			g_string_append_c(out, ',');
		append_object(out, object);
	}
	g_string_append_printf(out,
	    "],\"hasMore\":%s,\"atRev\":%" G_GUINT64_FORMAT "}",
	    more ? "true" : "false", store->revision);
	answer(call, 200, out->str);
	g_string_free(out, TRUE);
	g_free(after);
}

/* Answers a watch if there are events; returns whether it did. */
static bool
answer_events(struct call *call, bool empty_too)
{
	struct store *store = call->store;
	GString *out = g_string_new("{\"events\":[");
	unsigned n = 0;

	for (guint i = 0; i < store->history->len; i++) {
		const struct object *object = store->history->pdata[i];

		if (object->revision <= call->watch_from ||
		    !g_str_equal(object->kind, call->kind))
			continue;
		g_string_append(
		    out, n++ > 0 ? ",{\"object\":" : "{\"object\":");
		append_object(out, object);
		g_string_append_printf(out, ",\"deleted\":%s}",
		    object->deleted ? "true" : "false");
	}
	g_string_append_printf(
	    out, "],\"atRev\":%" G_GUINT64_FORMAT "}", store->revision);
	if (n > 0 || empty_too)
		answer(call, 200, out->str);
	g_string_free(out, TRUE);
	return n > 0 || empty_too;
}

/* Ends a watch without events, at the revision from which it began. */
static void
answer_nothing(struct call *call)
{
	char *body =
	    g_strdup_printf("{\"events\":[],\"atRev\":%" G_GUINT64_FORMAT "}",
		call->watch_from);

	answer(call, 200, body);
	g_free(body);
}

static void
on_watch_end(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	if (((struct call *)data)->store->mute)
		answer_nothing(data);
	else
		answer_events(data, true);
}

static void
handle_watch(struct call *call)
{
	struct store *store = call->store;
	struct timeval time;

	call->watch_from = query_number(call->query, "watch=");
	call->door->watched_at = harness_now(store->harness);
	if (call->watch_from < store->history_from) {
		answer(call, 410, "{}");
		return;
	}
	if (!store->mute && answer_events(call, false))
		return;
	time = socket_timeval((wv_msec)query_number(call->query, "waitMs="));
	event_free(call->timer);
	call->timer =
	    event_new(store->harness->base, -1, 0, on_watch_end, call);
	event_add(call->timer, &time);
	call->waits = true;
	g_queue_push_tail(&store->waiting, call);
}

static struct object *
object_create(struct store *store, const char *kind, const char *name,
    const char *spec, bool deleted)
{
	struct object *object = g_new0(struct object, 1);

	object->kind = g_strdup(kind);
	object->name = g_strdup(name);
	object->spec = g_strdup(spec);
	object->deleted = deleted;
	object->revision = store->revision;
	return object;
}

static void
notify_watches(struct store *store)
{
	GList *all;

	if (store->mute)
		return;
	all = g_list_copy(store->waiting.head);
	for (GList *item = all; item != NULL; item = item->next)
		answer_events(item->data, false);
	g_list_free(all);
}

uint64_t
store_put(
    struct store *store, const char *kind, const char *name, const char *spec)
{
	struct object *object = find_object(store, kind, name);

	if (object != NULL && g_str_equal(object->spec, spec))
		return store->revision;
	store->revision++;
	g_ptr_array_add(
	    store->history, object_create(store, kind, name, spec, false));
	if (object == NULL) {
		g_ptr_array_add(store->objects,
		    object_create(store, kind, name, spec, false));
	} else {
		g_free(object->spec);
		object->spec = g_strdup(spec);
		object->revision = store->revision;
	}
	notify_watches(store);
	return store->revision;
}

void
store_remove(struct store *store, const char *kind, const char *name)
{
	struct object *object = find_object(store, kind, name);

	if (object == NULL)
		return;
	store->revision++;
	g_ptr_array_add(store->history,
	    object_create(store, kind, name, object->spec, true));
	g_ptr_array_remove(store->objects, object);
	notify_watches(store);
}

void
store_compact(struct store *store)
{
	GList *all = g_list_copy(store->waiting.head);

	store->history_from = store->revision;
	for (GList *item = all; item != NULL; item = item->next)
		answer_nothing(item->data);
	g_list_free(all);
}

/* Handles POST and PUT of an object: "meta" holds its name. */
static void
handle_write(struct call *call)
{
	struct store *store = call->store;
	JsonNode *root = json_from_string(call->body, NULL);
	JsonObject *object;
	const char *name;
	char *spec;

	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		answer(call, 400, "{}");
		return;
	}
	object = json_node_get_object(root);
	name = json_object_get_string_member(
	    json_object_get_object_member(object, "meta"), "name");
	spec = json_to_string(json_object_get_member(object, "spec"), FALSE);
	if (g_str_equal(call->method, "POST") &&
	    find_object(store, call->kind, name) != NULL) {
		answer(call, 409, "{}");
	} else {
		store_put(store, call->kind, name, spec);
		answer(call, 200, call->body);
	}
	g_free(spec);
	json_node_unref(root);
}

static void
on_call_due(evutil_socket_t fd, short what, void *data)
{
	struct call *call = data;

	(void)fd;
	(void)what;
	if (g_random_int_range(0, 100) < (gint)call->door->rejected_percent) {
		call->door->rejected++;
		answer(call, 503, "{}");
	} else if (!g_str_equal(call->method, "GET")) {
		handle_write(call);
	} else if (strstr(call->query, "watch=") != NULL) {
		handle_watch(call);
	} else {
		answer_list(call);
	}
}

static void
on_call(void *data, struct server_conn *conn, const struct message *message)
{
	struct door *door = data;
	struct store *store = door->store;
	struct call *call = g_new0(struct call, 1);
	struct timeval time = socket_timeval(STORE_TIME);
	struct wv_string target = message_target(message);
	char *path = g_strndup(target.data, target.length);
	char *query = strchr(path, '?');
	char **parts;

	if (query != NULL)
		*query++ = '\0';
	parts = g_strsplit(path, "/", 4);
	store->calls++;
	call->store = store;
	call->door = door;
	call->conn = conn;
	call->method =
	    g_strdup(http_method_str((enum http_method)message->method));
	call->query = g_strdup(query == NULL ? "" : query);
	call->kind = g_strdup(g_strv_length(parts) > 2 ? parts[2] : "");
	call->name = g_strdup(g_strv_length(parts) > 3 ? parts[3] : NULL);
	call->body = g_strndup(message->body->str, message->body->len);
	call->timer = event_new(store->harness->base, -1, 0, on_call_due, call);
	event_add(call->timer, &time);
	server_conn_set_context(conn, call);
	g_strfreev(parts);
	g_free(path);
}

static void
on_call_left(void *data, struct server_conn *conn)
{
	struct call *call = server_conn_context(conn);

	(void)data;
	if (call != NULL)
		call_destroy(call);
}

static void
on_call_rejected(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops ops = {on_call, on_call_left, on_call_rejected};

struct store *
store_create(struct harness *harness)
{
	struct store *store = g_new0(struct store, 1);

	store->harness = harness;
	store->objects = g_ptr_array_new();
	store->history = g_ptr_array_new();
	store->revision = 1;
	return store;
}

struct door *
store_open(struct store *store)
{
	static const struct wv_caller_limits limits = {
	    65536, 2 << 20, 10000, 120000};
	struct door *door = g_new0(struct door, 1);
	unsigned port = store->harness->port;

	door->store = store;
	do {
		g_free(door->address);
		door->address = g_strdup_printf(
		    "127.%u.251.1:%u", store->harness->net, port++);
		door->server = server_create(
		    store->harness->base, door->address, &ops, door);
	} while (door->server == NULL && port < 60000);
	if (door->server == NULL)
		exit(EXIT_NOT_RUN);
	server_set_limits(door->server, &limits);
	return door;
}
