/**
 * @file
 * Helpers over json-glib for request and response bodies.
 */
#include <string.h>

#include "http/json.h"
#include "wisteriavane/json_text.h"

/** Deepest nesting of objects and arrays that is parsed. */
#define MAX_DEPTH 64

JsonNode *
wv_json_parse(struct wv_string body, struct wv_status *status)
{
	JsonParser *parser;
	GError *error = NULL;
	JsonNode *root = NULL;

	if (!wv_json_text_is_shallow(body, MAX_DEPTH)) {
		wv_status_set(status, WV_BAD_JSON, "nested too deeply");
		return NULL;
	}
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(
		parser, body.data, (gssize)body.length, &error)) {
		wv_status_set(
		    status, WV_BAD_JSON, "not valid JSON: %s", error->message);
		g_error_free(error);
	} else {
		root = json_parser_get_root(parser);
	}
	if (root != NULL && JSON_NODE_HOLDS_OBJECT(root) &&
	    wv_json_text_is_single(body)) {
		json_node_ref(root);
	} else {
		if (status->code != WV_BAD_JSON)
			wv_status_set(
			    status, WV_BAD_JSON, "not one JSON object");
		root = NULL;
	}
	g_object_unref(parser);
	return root;
}

struct wv_string
wv_json_serialize(JsonNode *node)
{
	struct wv_string string;

	string.data = json_to_string(node, FALSE);
	string.length = strlen(string.data);
	return string;
}

struct wv_string
wv_json_serialize_object(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	struct wv_string string;

	json_node_take_object(node, object);
	string = wv_json_serialize(node);
	json_node_unref(node);
	return string;
}

/* Returns the member if it holds a scalar of the given type, else NULL. */
static JsonNode *
find_scalar(JsonObject *object, const char *name, GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node))
		return NULL;
	return json_node_get_value_type(node) == type ? node : NULL;
}

struct wv_string
wv_json_get_string(JsonObject *object, const char *name)
{
	JsonNode *node = find_scalar(object, name, G_TYPE_STRING);

	return wv_string_borrow(node == NULL ? "" : json_node_get_string(node));
}

double
wv_json_get_number(JsonObject *object, const char *name, double fallback)
{
	JsonNode *node = find_scalar(object, name, G_TYPE_DOUBLE);

	if (node == NULL)
		node = find_scalar(object, name, G_TYPE_INT64);
	return node == NULL ? fallback : json_node_get_double(node);
}

bool
wv_json_get_bool(JsonObject *object, const char *name, bool fallback)
{
	JsonNode *node = find_scalar(object, name, G_TYPE_BOOLEAN);

	return node == NULL ? fallback : json_node_get_boolean(node);
}

JsonArray *
wv_json_get_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return NULL;
	return json_node_get_array(node);
}

void
wv_json_set_string(JsonObject *object, const char *name, struct wv_string value)
{
	char *text =
	    g_strndup(value.length > 0 ? value.data : "", value.length);

	json_object_set_string_member(object, name, text);
	g_free(text);
}

void
wv_json_add_status(JsonObject *object, const struct wv_status *status)
{
	json_object_set_int_member(object, "code", status->code);
	json_object_set_string_member(
	    object, "name", wv_code_name(status->code));
	json_object_set_string_member(object, "message", status->message);
}

struct wv_string
wv_json_serialize_status(const struct wv_status *status)
{
	JsonObject *object = json_object_new();

	wv_json_add_status(object, status);
	return wv_json_serialize_object(object);
}
