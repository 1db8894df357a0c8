/**
 * @file
 * Parsing and validation of the daemon's JSON settings.
 */
#include <arpa/inet.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "src/check.h"
#include "src/private.h"
#include "wisteriavane/json_text.h"

/* Limits of the operators' token, in bytes. A shorter one is easily guessed. */
#define MIN_TOKEN_LENGTH 8
#define MAX_TOKEN_LENGTH 256
/* Size of the longest IPv4 address with port, in bytes, including the NUL. */
#define ADDRESS_SIZE 22
/* Deepest nesting of objects and arrays that is parsed; settings have one. */
#define MAX_DEPTH 64

enum field_kind {
	FIELD_NAME,
	FIELD_ADDRESS, /* IPv4:PORT */
	FIELD_TOKEN,
	FIELD_COUNT, /* uint32_t */
	FIELD_SIZE, /* size_t */
	FIELD_MSEC /* wv_msec */
};

/*
 * Describes a field of struct wv_settings. Text fields are required; number
 * fields have a range and a default.
 */
struct field {
	const char *name;
	enum field_kind kind;
	size_t offset; /* in struct wv_settings */
	int64_t minimum;
	int64_t maximum;
	int64_t default_value;
};

/* Describes a text field that has the same name in C and in JSON. */
#define TEXT(name, kind)                                                 \
	{                                                                \
#name, kind, offsetof(struct wv_settings, name), 0, 0, 0 \
	}

static const struct field fields[] = {
    TEXT(vm, FIELD_NAME),
    TEXT(zone, FIELD_NAME),
    TEXT(deployment, FIELD_NAME),
    TEXT(callers, FIELD_ADDRESS),
    TEXT(operators, FIELD_ADDRESS),
    TEXT(peers, FIELD_ADDRESS),
    TEXT(store, FIELD_ADDRESS),
    TEXT(vm_list, FIELD_ADDRESS),
    TEXT(operator_token, FIELD_TOKEN),
    /* At least two, so that a long body does not delay other callers. */
    {"callers_threads", FIELD_COUNT,
	offsetof(struct wv_settings, callers_threads), 2, 64, 2},
    {"workers", FIELD_COUNT, offsetof(struct wv_settings, workers), 2, 64, 2},
    /* A forwarded request must fit into one frame of 1 MiB plus 64 KiB. */
    {"max_body", FIELD_SIZE, offsetof(struct wv_settings, max_body), 1024,
	1048576, 65536},
    {"address_lifetime_ms", FIELD_MSEC,
	offsetof(struct wv_settings, address_lifetime), 100, 3600000, 5000},
    /* The HTTP server counts idle time in whole seconds; 0 means never. */
    {"idle_timeout_ms", FIELD_MSEC, offsetof(struct wv_settings, idle_timeout),
	1000, 3600000, 30000},
};

#define N_FIELDS G_N_ELEMENTS(fields)

static void add_fault(GPtrArray *faults, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
add_fault(GPtrArray *faults, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(faults, g_strdup_vprintf(format, args));
	va_end(args);
}

static bool
is_text(const struct field *field)
{
	return field->kind == FIELD_NAME || field->kind == FIELD_ADDRESS ||
	    field->kind == FIELD_TOKEN;
}

static bool
is_address(const char *text)
{
	char copy[ADDRESS_SIZE];
	struct in_addr address;
	guint64 port;
	char *colon;

	if (g_strlcpy(copy, text, sizeof(copy)) >= sizeof(copy))
		return false;
	colon = strrchr(copy, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	if (inet_pton(AF_INET, copy, &address) != 1)
		return false;
	return g_ascii_string_to_unsigned(
	    colon + 1, 10, 1, UINT16_MAX, &port, NULL);
}

static bool
is_token(const char *text)
{
	size_t length = strlen(text);

	if (length < MIN_TOKEN_LENGTH || length > MAX_TOKEN_LENGTH)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isgraph(text[i]))
			return false;
	}
	return true;
}

/*
 * Returns the fault of a text, or NULL if it is valid. The message never
 * contains the text, since that may be a token.
 */
static const char *
text_fault(const struct field *field, const char *text)
{
	switch (field->kind) {
	case FIELD_NAME:
		return wv_is_valid_name(wv_string_borrow(text))
		    ? NULL
		    : "must have 1 to 64 letters, digits, '.', '_' or '-'";
	case FIELD_ADDRESS:
		return is_address(text) ? NULL : "must be IPv4:PORT";
	default:
		return is_token(text)
		    ? NULL
		    : "must have 8 to 256 printable characters without spaces";
	}
}

static void
read_text(struct wv_settings *settings, const struct field *field,
    JsonNode *node, GPtrArray *faults)
{
	struct wv_string *target =
	    (struct wv_string *)((char *)settings + field->offset);
	const char *text, *fault;

	if (node == NULL) {
		add_fault(faults, "$.%s: is missing", field->name);
		return;
	}
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING) {
		add_fault(faults, "$.%s: must be a string", field->name);
		return;
	}
	text = json_node_get_string(node);
	fault = text_fault(field, text);
	if (fault != NULL)
		add_fault(faults, "$.%s: %s", field->name, fault);
	else
		*target = wv_string_copy(wv_string_borrow(text));
}

static void
store_number(
    struct wv_settings *settings, const struct field *field, int64_t number)
{
	char *target = (char *)settings + field->offset;

	if (field->kind == FIELD_COUNT)
		*(uint32_t *)(void *)target = (uint32_t)number;
	else if (field->kind == FIELD_SIZE)
		*(size_t *)(void *)target = (size_t)number;
	else
		*(wv_msec *)(void *)target = (wv_msec)number;
}

static void
read_number(struct wv_settings *settings, const struct field *field,
    JsonNode *node, GPtrArray *faults)
{
	int64_t number;

	if (node == NULL) {
		store_number(settings, field, field->default_value);
		return;
	}
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64) {
		add_fault(faults, "$.%s: must be a whole number", field->name);
		return;
	}
	number = json_node_get_int(node);
	if (number < field->minimum || number > field->maximum)
		add_fault(faults,
		    "$.%s: must be from %" G_GINT64_FORMAT
		    " to %" G_GINT64_FORMAT ", not %" G_GINT64_FORMAT,
		    field->name, field->minimum, field->maximum, number);
	else
		store_number(settings, field, number);
}

static bool
is_known(const char *name)
{
	for (size_t i = 0; i < N_FIELDS; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return true;
	}
	return false;
}

static void
check_unknown(JsonObject *object, GPtrArray *faults)
{
	GList *names = json_object_get_members(object);

	for (GList *item = names; item != NULL; item = item->next) {
		if (!is_known(item->data))
			add_fault(faults, "$.%s: is not a known field",
			    (const char *)item->data);
	}
	g_list_free(names);
}

/* Two listening sockets of a process cannot share an address. */
static void
check_listeners(const struct wv_settings *settings, GPtrArray *faults)
{
	if (settings->operators.length > 0 &&
	    wv_string_equal(settings->callers, settings->operators))
		add_fault(faults, "$.operators: is the same as $.callers");
	if (settings->peers.length == 0)
		return;
	if (wv_string_equal(settings->callers, settings->peers))
		add_fault(faults, "$.peers: is the same as $.callers");
	if (wv_string_equal(settings->operators, settings->peers))
		add_fault(faults, "$.peers: is the same as $.operators");
}

static void
read_object(struct wv_settings *settings, JsonObject *object, GPtrArray *faults)
{
	for (size_t i = 0; i < N_FIELDS; i++) {
		JsonNode *node = json_object_get_member(object, fields[i].name);

		if (is_text(&fields[i]))
			read_text(settings, &fields[i], node, faults);
		else
			read_number(settings, &fields[i], node, faults);
	}
	check_unknown(object, faults);
	check_listeners(settings, faults);
}

bool
wv_settings_is_json(struct wv_string json)
{
	JsonParser *parser;
	bool valid;

	if (!wv_json_text_is_shallow(json, MAX_DEPTH))
		return true;
	parser = json_parser_new_immutable();
	/* json-glib accepts an empty text, which has no root. */
	valid = json_parser_load_from_data(
		    parser, json.data, (gssize)json.length, NULL) &&
	    json_parser_get_root(parser) != NULL;
	g_object_unref(parser);
	return valid;
}

struct wv_settings *
wv_settings_parse(struct wv_string json, GPtrArray *faults)
{
	struct wv_settings *settings;
	JsonParser *parser;
	guint before = faults->len;
	GError *error = NULL;
	JsonNode *root;

	if (!wv_json_text_is_shallow(json, MAX_DEPTH)) {
		add_fault(faults, "$: nests too deeply");
		return NULL;
	}
	settings = g_new0(struct wv_settings, 1);
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(
		parser, json.data, (gssize)json.length, &error)) {
		add_fault(faults, "$: is not valid JSON: %s", error->message);
		g_error_free(error);
	} else {
		root = json_parser_get_root(parser);
		if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root) ||
		    !wv_json_text_is_single(json))
			add_fault(faults, "$: must be one object");
		else
			read_object(
			    settings, json_node_get_object(root), faults);
	}
	g_object_unref(parser);
	if (faults->len == before)
		return settings;
	wv_settings_destroy(settings);
	return NULL;
}

void
wv_settings_destroy(struct wv_settings *settings)
{
	if (settings == NULL)
		return;
	for (size_t i = 0; i < N_FIELDS; i++) {
		if (is_text(&fields[i]))
			wv_string_clear((struct wv_string *)((char *)settings +
			    fields[i].offset));
	}
	g_free(settings);
}
