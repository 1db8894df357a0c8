/**
 * @file
 * Stand-in for the platform's VM list. A change becomes visible after a
 * configurable lag.
 */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "standin/common/standin.h"

#define VMS_PATH "/v1/vms"

struct vm_list {
	struct wv_http_handler handler;
	struct standin_timer *timer;
	GMutex lock; /* guards all below */
	GHashTable *vms; /* id to JsonNode */
	double lag; /* until a change is visible, ms */
	bool down; /* fault: calls are dropped */
};

/* A change that becomes visible when the lag has passed. */
struct pending_change {
	struct vm_list *list;
	char *id;
	JsonNode *vm; /* NULL: the VM is removed */
};

struct options {
	const char *listen;
	const char *load;
	double lag;
};

static void
on_change_due(void *data)
{
	struct pending_change *pending_change = data;
	struct vm_list *list = pending_change->list;

	g_mutex_lock(&list->lock);
	if (pending_change->vm == NULL)
		g_hash_table_remove(list->vms, pending_change->id);
	else
		g_hash_table_replace(list->vms, g_strdup(pending_change->id),
		    pending_change->vm);
	g_mutex_unlock(&list->lock);
	g_free(pending_change->id);
	g_free(pending_change);
}

/* Applies a change after the lag. Takes ownership of the node. */
static void
schedule_change(struct vm_list *list, const char *id, JsonNode *vm)
{
	struct pending_change *pending_change =
	    g_new0(struct pending_change, 1);

	pending_change->list = list;
	pending_change->id = g_strdup(id);
	pending_change->vm = vm;
	if (list->lag > 0)
		standin_timer_add(
		    list->timer, list->lag, on_change_due, pending_change);
	else
		on_change_due(pending_change);
}

static void
handle_list(struct vm_list *list, struct wv_http_call *call)
{
	JsonObject *json = json_object_new();
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	void *vm;

	g_mutex_lock(&list->lock);
	g_hash_table_iter_init(&iter, list->vms);
	while (g_hash_table_iter_next(&iter, NULL, &vm))
		json_array_add_element(array, json_node_copy(vm));
	g_mutex_unlock(&list->lock);
	json_object_set_array_member(json, "vms", array);
	standin_answer(call, 200, json);
}

/*
 * Checks only the state: entry VMs have addresses, but searchers may be listed
 * without them.
 */
static bool
has_known_state(JsonObject *vm)
{
	struct wv_string state = wv_json_get_string(vm, "state");

	return wv_string_equal(state, wv_string_borrow("live")) ||
	    wv_string_equal(state, wv_string_borrow("leaving"));
}

/* Returns a copy with the id, since a parsed body is immutable. */
static JsonNode *
copy_vm(JsonObject *vm, const char *id)
{
	JsonObject *copy = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	GList *names = json_object_get_members(vm);

	for (GList *item = names; item != NULL; item = item->next)
		json_object_set_member(copy, item->data,
		    json_node_copy(json_object_get_member(vm, item->data)));
	g_list_free(names);
	json_object_set_string_member(copy, "id", id);
	json_node_take_object(node, copy);
	return node;
}

static void
handle_put(struct vm_list *list, struct wv_http_call *call, const char *id)
{
	JsonNode *body = standin_parse_body(call);

	if (body == NULL)
		return;
	if (has_known_state(json_node_get_object(body))) {
		schedule_change(
		    list, id, copy_vm(json_node_get_object(body), id));
		standin_answer(call, 200, json_object_new());
	} else {
		standin_fail(
		    call, WV_BAD_REQUEST, "state must be live or leaving");
	}
	json_node_unref(body);
}

static void
handle_faults(struct vm_list *list, struct wv_http_call *call)
{
	JsonNode *body = standin_parse_body(call);
	JsonObject *object;

	if (body == NULL)
		return;
	object = json_node_get_object(body);
	g_mutex_lock(&list->lock);
	list->down = wv_json_get_bool(object, "down", false);
	list->lag = wv_json_get_number(object, "lag_ms", list->lag);
	g_mutex_unlock(&list->lock);
	json_node_unref(body);
	standin_answer(call, 200, json_object_new());
}

static bool
is_down(struct vm_list *list)
{
	bool down;

	g_mutex_lock(&list->lock);
	down = list->down;
	g_mutex_unlock(&list->lock);
	return down;
}

static void
on_call(struct wv_http_handler *handler, struct wv_http_call *call)
{
	struct vm_list *list = (struct vm_list *)handler;
	const char *path = wv_http_call_path(call);
	const char *id = "";

	if (g_str_has_prefix(path, VMS_PATH "/"))
		id = path + sizeof(VMS_PATH "/") - 1;
	if (strcmp(path, "/v1/faults") == 0 &&
	    standin_has_method(call, "POST")) {
		handle_faults(list, call);
	} else if (is_down(list)) {
		wv_http_call_drop(call);
	} else if (strcmp(path, VMS_PATH) == 0 &&
	    standin_has_method(call, "GET")) {
		handle_list(list, call);
	} else if (*id != '\0' && standin_has_method(call, "PUT")) {
		handle_put(list, call, id);
	} else if (*id != '\0' && standin_has_method(call, "DELETE")) {
		schedule_change(list, id, NULL);
		standin_answer(call, 200, json_object_new());
	} else {
		standin_fail(call, WV_NOT_FOUND, "no such call");
	}
}

/* Loads the initial list from a file in the format of GET /v1/vms. */
static void
load_vms(struct vm_list *list, const char *path)
{
	JsonArray *array = wv_json_get_array(standin_load_json(path), "vms");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonNode *vm = json_array_get_element(array, i);
		struct wv_string id =
		    wv_json_get_string(json_node_get_object(vm), "id");

		g_hash_table_replace(
		    list->vms, g_strdup(id.data), json_node_copy(vm));
	}
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
	case 'g':
		options->lag = strtod(arg, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option option_list[] = {
    {"listen", 'l', "IP:PORT", 0, "Listen address; port 0 picks a free one", 0},
    {"load", 'f', "FILE", 0, "Initial list, in the format of GET /v1/vms", 0},
    {"lag-ms", 'g', "MS", 0, "Time until a change is visible (0)", 0},
    {0},
};

static const struct argp argp = {option_list, parse_option, NULL,
    "Stand-in for the platform's VM list.", NULL, NULL, NULL};

int
main(int argc, char **argv)
{
	static const struct wv_http_handler_ops ops = {.handle = on_call};
	struct options options = {"127.0.0.1:0", NULL, 0};
	struct vm_list *list = g_new0(struct vm_list, 1);

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	standin_prepare();
	list->handler.ops = &ops;
	list->timer = standin_timer_create();
	g_mutex_init(&list->lock);
	list->vms = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_node_unref);
	list->lag = options.lag;
	if (options.load != NULL)
		load_vms(list, options.load);
	standin_listen(options.listen, 0, &list->handler);
	standin_wait_and_exit();
	return 0;
}
