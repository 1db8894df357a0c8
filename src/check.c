/**
 * @file
 * Validation of JSON documents that reports every fault with its JSON path.
 */
#include <math.h>
#include <stdarg.h>
#include <string.h>

#include "src/check.h"

/* Members that the parser has read so far, to detect duplicates. */
struct seen_members {
	struct wv_check *check;
	GHashTable *names; /* owned keys "OBJECT-ADDRESS NAME" */
};

/* Handler of the parser's "object-member" signal. */
static void
check_duplicate(struct seen_members *seen, JsonObject *object, const char *name)
{
	char *key = g_strdup_printf("%p %s", (void *)object, name);

	if (!g_hash_table_add(seen->names, key))
		wv_check_add_fault(seen->check, NULL,
		    "member \"%.64s\" stands twice in one object", name);
}

/*
 * Returns whether the text contains an escaped NUL character, which C strings
 * cannot represent. An escaped backslash followed by "u0000" is ordinary text.
 */
static bool
has_escaped_nul(struct wv_string json)
{
	for (size_t i = 0; i + 5 < json.length; i++) {
		if (json.data[i] != '\\')
			continue;
		if (memcmp(json.data + i + 1, "u0000", 5) == 0)
			return true;
		i++;
	}
	return false;
}

static JsonNode *
parse_object(struct wv_check *check, struct wv_string json)
{
	struct seen_members seen = {check,
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
	JsonParser *parser = json_parser_new();
	GError *error = NULL;
	JsonNode *root = NULL;

	if (check->report_duplicates)
		g_signal_connect_swapped(parser, "object-member",
		    G_CALLBACK(check_duplicate), &seen);
	if (!json_parser_load_from_data(
		parser, json.data, (gssize)json.length, &error)) {
		wv_check_add_fault(check, NULL, "not valid JSON: %s",
		    error == NULL ? "unknown fault" : error->message);
		g_clear_error(&error);
	} else {
		root = json_parser_get_root(parser);
		if (root != NULL && JSON_NODE_HOLDS_OBJECT(root))
			json_node_ref(root);
		else
			root = NULL;
		if (root == NULL)
			wv_check_add_fault(check, NULL, "not an object");
	}
	g_object_unref(parser);
	g_hash_table_destroy(seen.names);
	return root;
}

JsonNode *
wv_check_parse(struct wv_check *check, struct wv_string json)
{
	if (json.length == 0) {
		wv_check_add_fault(check, NULL, "empty document");
		return NULL;
	}
	if (!g_utf8_validate_len(json.data, json.length, NULL)) {
		wv_check_add_fault(check, NULL, "not valid UTF-8");
		return NULL;
	}
	if (has_escaped_nul(json)) {
		wv_check_add_fault(check, NULL, "holds a NUL character");
		return NULL;
	}
	return parse_object(check, json);
}

void
wv_check_begin(struct wv_check *check, GPtrArray *faults)
{
	check->faults = faults;
	check->path = g_string_new("$");
	check->depth = 0;
	check->report_duplicates = true;
}

void
wv_check_end(struct wv_check *check)
{
	g_string_free(check->path, TRUE);
	check->path = NULL;
}

void
wv_check_add_fault(
    struct wv_check *check, const char *member, const char *format, ...)
{
	GString *text = g_string_new(check->path->str);
	va_list args;

	if (member != NULL)
		g_string_append_printf(text, ".%.64s", member);
	g_string_append(text, ": ");
	va_start(args, format);
	g_string_append_vprintf(text, format, args);
	va_end(args);
	/* The name may have been truncated within a UTF-8 character. */
	g_ptr_array_add(
	    check->faults, g_utf8_make_valid(text->str, (gssize)text->len));
	g_string_free(text, TRUE);
}

static bool
is_listed(const char *name, const char *const *names)
{
	for (; *names != NULL; names++) {
		if (strcmp(name, *names) == 0)
			return true;
	}
	return false;
}

void
wv_check_unknown_members(
    struct wv_check *check, JsonObject *object, const char *const *names)
{
	GList *members = json_object_get_members(object);

	for (GList *item = members; item != NULL; item = item->next) {
		if (!is_listed(item->data, names))
			wv_check_add_fault(check, item->data, "unknown field");
	}
	g_list_free(members);
}

JsonObject *
wv_check_enter_object(
    struct wv_check *check, JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL) {
		wv_check_add_fault(check, name, "missing");
		return NULL;
	}
	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		wv_check_add_fault(check, name, "not an object");
		return NULL;
	}
	g_assert(check->depth < WV_CHECK_MAX_DEPTH);
	check->lengths[check->depth++] = check->path->len;
	g_string_append_printf(check->path, ".%.64s", name);
	return json_node_get_object(node);
}

void
wv_check_leave_object(struct wv_check *check)
{
	g_assert(check->depth > 0);
	g_string_truncate(check->path, check->lengths[--check->depth]);
}

/* Returns the node of a member that must be a number, or NULL after a fault. */
static JsonNode *
find_number(struct wv_check *check, JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	GType type;

	if (node == NULL) {
		wv_check_add_fault(check, name, "missing");
		return NULL;
	}
	type = JSON_NODE_HOLDS_VALUE(node) ? json_node_get_value_type(node)
					   : G_TYPE_NONE;
	if (type != G_TYPE_DOUBLE && type != G_TYPE_INT64) {
		wv_check_add_fault(check, name, "not a number");
		return NULL;
	}
	return node;
}

double
wv_check_get_number(struct wv_check *check, JsonObject *object,
    const char *name, double low, double high)
{
	JsonNode *node = find_number(check, object, name);
	double value;

	if (node == NULL)
		return low;
	value = json_node_get_double(node);
	if (value >= low && value <= high)
		return value;
	wv_check_add_fault(
	    check, name, "%g is not from %g to %g", value, low, high);
	return low;
}

uint64_t
wv_check_get_integer(struct wv_check *check, JsonObject *object,
    const char *name, uint64_t low, uint64_t high)
{
	JsonNode *node = find_number(check, object, name);
	gint64 value;

	if (node == NULL)
		return low;
	if (json_node_get_value_type(node) != G_TYPE_INT64) {
		wv_check_add_fault(check, name, "not a whole number");
		return low;
	}
	value = json_node_get_int(node);
	if (value >= 0 && (uint64_t)value >= low && (uint64_t)value <= high)
		return (uint64_t)value;
	wv_check_add_fault(check, name,
	    "%" G_GINT64_FORMAT " is not from %" G_GUINT64_FORMAT
	    " to %" G_GUINT64_FORMAT,
	    value, low, high);
	return low;
}

bool
wv_is_valid_name(struct wv_string text)
{
	if (text.length == 0 || text.length > WV_MAX_NAME_LENGTH)
		return false;
	for (size_t i = 0; i < text.length; i++) {
		if (!g_ascii_isalnum(text.data[i]) &&
		    strchr("._-", text.data[i]) == NULL)
			return false;
	}
	return true;
}

struct wv_string
wv_check_get_name(struct wv_check *check, JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	struct wv_string text;

	if (node == NULL) {
		wv_check_add_fault(check, name, "missing");
		return wv_string_borrow("");
	}
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING) {
		wv_check_add_fault(check, name, "not a string");
		return wv_string_borrow("");
	}
	text = wv_string_borrow(json_node_get_string(node));
	if (wv_is_valid_name(text))
		return text;
	wv_check_add_fault(check, name,
	    "not 1 to %d letters, digits, '.', '_' or '-'", WV_MAX_NAME_LENGTH);
	return wv_string_borrow("");
}
