/**
 * @file
 * Stand-in for the platform's store: objects with versions, conditional
 * updates, prefix reads and long-poll watches.
 *
 * Watches report a deleted object as {key, version, deleted: true}, so that
 * a watcher sees the deletion; all other reads omit it.
 */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "standin/common/standin.h"

/** Maximum size of a value, bytes. */
#define MAX_VALUE_BYTES 1000000
/** Maximum time that a watch waits for a change, ms. */
#define MAX_WATCH_WAIT 60000.0
#define OBJECTS_PATH "/v1/objects"

enum call_kind {
	CALL_GET,
	CALL_LIST,
	CALL_WATCH,
	CALL_PUT,
	CALL_DELETE,
	CALL_KINDS
};

static const char *const kind_names[CALL_KINDS] = {
    "get", "list", "watch", "put", "delete"};

struct object {
	char *key;
	uint64_t version;
	JsonNode *value; /* NULL: deleted */
	JsonNode *previous; /* value before the last change, or NULL */
	uint64_t previous_version; /* 0: created by the last change */
};

/* A watch; it is freed when its timeout expires. */
struct watch {
	struct store *store;
	struct wv_http_call *call; /* NULL once answered */
	char *prefix;
	uint64_t after; /* reports changes after this revision */
};

/* Token bucket that holds the tokens of one second at most. */
struct rate_limit {
	double per_second; /* 0: no limit */
	double tokens;
	wv_msec updated; /* time of the last refill */
};

struct faults {
	bool down; /* calls for objects are dropped */
	double delay; /* added to each answer, ms */
	int64_t lose_answers; /* writes that get no answer; -1 for all */
	bool stale_reads; /* reads return the previous value */
};

struct store {
	struct wv_http_handler handler;
	struct standin_timer *timer;
	GMutex lock; /* guards all below */
	uint64_t revision;
	GHashTable *objects; /* key to struct object */
	GPtrArray *watches; /* of struct watch, waiting */
	struct rate_limit reads;
	struct rate_limit writes;
	struct faults faults;
	double base_delay; /* of each answer, ms */
	uint64_t calls[CALL_KINDS];
	uint64_t conflicts;
	uint64_t rejected;
	uint64_t lost_answers;
};

struct options {
	const char *listen;
	const char *load;
	double reads;
	double writes;
	double delay;
};

/* Takes a token; returns false if the rate limit is reached. */
static bool
take_token(struct rate_limit *rate_limit)
{
	wv_msec now = standin_now();

	if (rate_limit->per_second <= 0)
		return true;
	rate_limit->tokens +=
	    (now - rate_limit->updated) * rate_limit->per_second / 1000.0;
	rate_limit->updated = now;
	if (rate_limit->tokens > rate_limit->per_second)
		rate_limit->tokens = rate_limit->per_second;
	if (rate_limit->tokens < 1)
		return false;
	rate_limit->tokens -= 1;
	return true;
}

static void
object_destroy(void *data)
{
	struct object *object = data;

	g_clear_pointer(&object->value, json_node_unref);
	g_clear_pointer(&object->previous, json_node_unref);
	g_free(object->key);
	g_free(object);
}

/*
 * Sets a value, or deletes the object if the value is NULL. Takes ownership of
 * the node. Returns the new version.
 */
static uint64_t
set_value(struct store *store, const char *key, JsonNode *value)
{
	struct object *object = g_hash_table_lookup(store->objects, key);

	if (object == NULL) {
		object = g_new0(struct object, 1);
		object->key = g_strdup(key);
		g_hash_table_insert(store->objects, object->key, object);
	}
	g_clear_pointer(&object->previous, json_node_unref);
	object->previous = object->value;
	object->previous_version = object->version;
	object->value = value;
	object->version = ++store->revision;
	return object->version;
}

/* Encodes an object; a stale one has its previous value and version. */
static JsonObject *
object_json(const struct object *object, bool stale)
{
	JsonObject *json = json_object_new();
	JsonNode *value = stale ? object->previous : object->value;

	json_object_set_string_member(json, "key", object->key);
	json_object_set_int_member(json, "version",
	    (gint64)(stale ? object->previous_version : object->version));
	if (value != NULL)
		json_object_set_member(json, "value", json_node_copy(value));
	else
		json_object_set_boolean_member(json, "deleted", TRUE);
	return json;
}

static JsonObject *
version_json(uint64_t version)
{
	JsonObject *json = json_object_new();

	json_object_set_int_member(json, "version", (gint64)version);
	return json;
}

/* Returns the objects that have the prefix and changed after a revision. */
static JsonArray *
changes_after(struct store *store, const char *prefix, uint64_t after)
{
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;

		if (object->version > after &&
		    g_str_has_prefix(object->key, prefix))
			json_array_add_object_element(
			    array, object_json(object, false));
	}
	return array;
}

static JsonObject *
revision_json(struct store *store, JsonArray *objects)
{
	JsonObject *json = json_object_new();

	json_object_set_int_member(json, "revision", (gint64)store->revision);
	json_object_set_array_member(json, "objects", objects);
	return json;
}

/* Answers after the base delay and the delay of the fault. */
static void
send_answer(struct store *store, struct wv_http_call *call, unsigned int status,
    JsonObject *json)
{
	standin_answer_delayed(store->timer,
	    store->base_delay + store->faults.delay, call, status, json);
}

/* Answers a watch if objects have changed, or in any case if forced. */
static bool
answer_watch(struct watch *watch, bool force)
{
	struct store *store = watch->store;
	JsonArray *objects = changes_after(store, watch->prefix, watch->after);

	if (!force && json_array_get_length(objects) == 0) {
		json_array_unref(objects);
		return false;
	}
	send_answer(store, watch->call, 200, revision_json(store, objects));
	watch->call = NULL;
	return true;
}

/* Answers the watches whose objects have changed. */
static void
answer_changed_watches(struct store *store)
{
	for (guint i = store->watches->len; i > 0; i--) {
		if (answer_watch(store->watches->pdata[i - 1], false))
			g_ptr_array_remove_index_fast(store->watches, i - 1);
	}
}

static void
on_watch_timeout(void *data)
{
	struct watch *watch = data;
	struct store *store = watch->store;

	g_mutex_lock(&store->lock);
	if (watch->call != NULL) {
		answer_watch(watch, true);
		g_ptr_array_remove_fast(store->watches, watch);
	}
	g_mutex_unlock(&store->lock);
	g_free(watch->prefix);
	g_free(watch);
}

static void
drop_watches(struct store *store)
{
	for (guint i = 0; i < store->watches->len; i++) {
		struct watch *watch = store->watches->pdata[i];

		wv_http_call_drop(watch->call);
		watch->call = NULL;
	}
	g_ptr_array_set_size(store->watches, 0);
}

/* Returns an argument of the query string, or the fallback. */
static const char *
argument_or(struct wv_http_call *call, const char *name, const char *fallback)
{
	const char *value = wv_http_call_query_argument(call, name);

	return value == NULL ? fallback : value;
}

static void
handle_watch(struct store *store, struct wv_http_call *call, const char *key)
{
	struct watch *watch = g_new0(struct watch, 1);
	double wait = strtod(argument_or(call, "wait_ms", "0"), NULL);

	(void)key;
	watch->store = store;
	watch->call = call;
	watch->prefix = g_strdup(argument_or(call, "prefix", ""));
	watch->after = strtoull(argument_or(call, "after", "0"), NULL, 10);
	if (!answer_watch(watch, false))
		g_ptr_array_add(store->watches, watch);
	standin_timer_add(store->timer, CLAMP(wait, 0, MAX_WATCH_WAIT),
	    on_watch_timeout, watch);
}

static void
handle_get(struct store *store, struct wv_http_call *call, const char *key)
{
	struct object *object = g_hash_table_lookup(store->objects, key);
	bool stale = store->faults.stale_reads && object != NULL &&
	    object->previous_version > 0;
	JsonNode *value = NULL;

	if (object != NULL)
		value = stale ? object->previous : object->value;
	if (value == NULL)
		send_answer(store, call, 404, version_json(0));
	else
		send_answer(store, call, 200, object_json(object, stale));
}

static void
handle_list(struct store *store, struct wv_http_call *call, const char *key)
{
	const char *prefix = argument_or(call, "prefix", "");
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	void *value;

	(void)key;
	g_hash_table_iter_init(&iter, store->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;
		bool stale =
		    store->faults.stale_reads && object->previous_version > 0;

		if (g_str_has_prefix(object->key, prefix) &&
		    (stale ? object->previous : object->value) != NULL)
			json_array_add_object_element(
			    array, object_json(object, stale));
	}
	send_answer(store, call, 200, revision_json(store, array));
}

/* Answers an applied write, or drops the call if the fault loses answers. */
static void
answer_write(struct store *store, struct wv_http_call *call, uint64_t version)
{
	if (store->faults.lose_answers != 0) {
		if (store->faults.lose_answers > 0)
			store->faults.lose_answers--;
		store->lost_answers++;
		wv_http_call_drop(call);
	} else {
		send_answer(store, call, 200, version_json(version));
	}
	answer_changed_watches(store);
}

/*
 * Checks the precondition of a write. Answers 409 with the current version and
 * returns false if the object has another version than if_version; 0 stands
 * for an absent object.
 */
static bool
check_version(struct store *store, struct wv_http_call *call, const char *key,
    uint64_t if_version)
{
	struct object *object = g_hash_table_lookup(store->objects, key);
	uint64_t current = 0;

	if (object != NULL && object->value != NULL)
		current = object->version;
	if (current == if_version)
		return true;
	store->conflicts++;
	send_answer(store, call, 409, version_json(current));
	return false;
}

static void
handle_put(struct store *store, struct wv_http_call *call, const char *key)
{
	JsonNode *body = standin_parse_body(call);
	double if_version;
	JsonObject *object;

	if (body == NULL)
		return;
	object = json_node_get_object(body);
	if_version = wv_json_get_number(object, "if_version", -1);
	if (!json_object_has_member(object, "value") || if_version < 0)
		standin_fail(
		    call, WV_BAD_REQUEST, "value and if_version must be given");
	else if (wv_http_call_body(call).length > MAX_VALUE_BYTES)
		standin_fail(
		    call, WV_BODY_TOO_LARGE, "a value has at most 1 MB");
	else if (check_version(store, call, key, (uint64_t)if_version))
		answer_write(store, call,
		    set_value(store, key,
			json_node_copy(
			    json_object_get_member(object, "value"))));
	json_node_unref(body);
}

static void
handle_delete(struct store *store, struct wv_http_call *call, const char *key)
{
	const char *text = wv_http_call_query_argument(call, "if_version");

	if (text == NULL)
		standin_fail(call, WV_BAD_REQUEST, "if_version must be given");
	else if (check_version(store, call, key, strtoull(text, NULL, 10)))
		answer_write(store, call, set_value(store, key, NULL));
}

/* Reads the number of writes whose answers are lost; true means all of them. */
static int64_t
read_lose_answers(JsonObject *object)
{
	if (wv_json_get_bool(object, "lose_answers", false))
		return -1;
	return (int64_t)wv_json_get_number(object, "lose_answers", 0);
}

/* Sets all faults; an absent field switches its fault off. */
static void
handle_faults(struct store *store, struct wv_http_call *call)
{
	JsonNode *body = standin_parse_body(call);
	JsonObject *object;

	if (body == NULL)
		return;
	object = json_node_get_object(body);
	store->faults.down = wv_json_get_bool(object, "down", false);
	store->faults.delay = wv_json_get_number(object, "delay_ms", 0);
	store->faults.lose_answers = read_lose_answers(object);
	store->faults.stale_reads =
	    wv_json_get_bool(object, "stale_reads", false);
	if (store->faults.down)
		drop_watches(store);
	json_node_unref(body);
	standin_answer(call, 200, json_object_new());
}

static void
handle_stats(struct store *store, struct wv_http_call *call)
{
	JsonObject *json = json_object_new();
	JsonObject *calls = json_object_new();

	for (int i = 0; i < CALL_KINDS; i++)
		json_object_set_int_member(
		    calls, kind_names[i], (gint64)store->calls[i]);
	json_object_set_object_member(json, "calls", calls);
	json_object_set_int_member(json, "conflicts", (gint64)store->conflicts);
	json_object_set_int_member(json, "rejected", (gint64)store->rejected);
	json_object_set_int_member(
	    json, "lost_answers", (gint64)store->lost_answers);
	json_object_set_int_member(json, "watches", store->watches->len);
	json_object_set_int_member(json, "revision", (gint64)store->revision);
	standin_answer(call, 200, json);
}

/* Returns the kind of a call and its key, or CALL_KINDS if it is unknown. */
static enum call_kind
classify_call(struct wv_http_call *call, const char **key)
{
	const char *path = wv_http_call_path(call);

	if (strcmp(path, "/v1/watch") == 0)
		return standin_has_method(call, "GET") ? CALL_WATCH
						       : CALL_KINDS;
	if (strcmp(path, OBJECTS_PATH) == 0)
		return standin_has_method(call, "GET") ? CALL_LIST : CALL_KINDS;
	if (!g_str_has_prefix(path, OBJECTS_PATH "/"))
		return CALL_KINDS;
	*key = path + sizeof(OBJECTS_PATH "/") - 1;
	if (standin_has_method(call, "GET"))
		return CALL_GET;
	if (standin_has_method(call, "PUT"))
		return CALL_PUT;
	return standin_has_method(call, "DELETE") ? CALL_DELETE : CALL_KINDS;
}

static void
handle_object_call(struct store *store, struct wv_http_call *call)
{
	static void (*const handlers[CALL_KINDS])(
	    struct store *, struct wv_http_call *, const char *) = {
	    handle_get, handle_list, handle_watch, handle_put, handle_delete};
	const char *key = "";
	enum call_kind kind = classify_call(call, &key);
	struct rate_limit *rate_limit;

	if (kind == CALL_KINDS) {
		standin_fail(call, WV_NOT_FOUND, "no such call");
		return;
	}
	if (store->faults.down) {
		wv_http_call_drop(call);
		return;
	}
	store->calls[kind]++;
	rate_limit = kind >= CALL_PUT ? &store->writes : &store->reads;
	if (!take_token(rate_limit)) {
		store->rejected++;
		standin_fail(call, WV_RATE_LIMIT, "too many calls a second");
		return;
	}
	handlers[kind](store, call, key);
}

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct store *store = (struct store *)handler;
	const char *path = wv_http_call_path(call);

	g_mutex_lock(&store->lock);
	if (strcmp(path, "/v1/faults") == 0 && standin_has_method(call, "POST"))
		handle_faults(store, call);
	else if (strcmp(path, "/v1/stats") == 0 &&
	    standin_has_method(call, "GET"))
		handle_stats(store, call);
	else
		handle_object_call(store, call);
	g_mutex_unlock(&store->lock);
}

static void
load_object(JsonObject *object, const char *name, JsonNode *node, gpointer data)
{
	(void)object;
	set_value(data, name, json_node_copy(node));
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 'l':
		options->listen = arg;
		return 0;
	case 'f':
		options->load = arg;
		return 0;
	case 'r':
		options->reads = strtod(arg, NULL);
		return 0;
	case 'w':
		options->writes = strtod(arg, NULL);
		return 0;
	case 'd':
		options->delay = strtod(arg, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option option_list[] = {
    {"listen", 'l', "IP:PORT", 0, "Listen address; port 0 picks a free one", 0},
    {"load", 'f', "FILE", 0,
	"Initial objects: a JSON object of keys and values", 0},
    {"reads", 'r', "N", 0, "Maximum reads per second, 0 for no limit (2000)",
	0},
    {"writes", 'w', "N", 0, "Maximum writes per second, 0 for no limit (400)",
	0},
    {"delay-ms", 'd', "MS", 0, "Delay of each answer (0)", 0},
    {0},
};

static const struct argp argp = {option_list, parse_option, NULL,
    "Stand-in for the platform's store.", NULL, NULL, NULL};

int
main(int argc, char **argv)
{
	static const struct wv_http_handler_ops ops = {.handle = on_call};
	struct options options = {"127.0.0.1:0", NULL, 2000, 400, 0};
	struct store *store = g_new0(struct store, 1);
	wv_msec now = standin_now();

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	standin_prepare();
	store->handler.ops = &ops;
	store->timer = standin_timer_create();
	g_mutex_init(&store->lock);
	store->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, object_destroy);
	store->watches = g_ptr_array_new();
	store->reads = (struct rate_limit){options.reads, options.reads, now};
	store->writes =
	    (struct rate_limit){options.writes, options.writes, now};
	store->base_delay = options.delay;
	if (options.load != NULL)
		json_object_foreach_member(
		    standin_load_json(options.load), load_object, store);
	standin_listen(options.listen, 0, &store->handler);
	standin_wait_and_exit();
	return 0;
}
