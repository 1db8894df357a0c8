/**
 * @file
 * Settings of the entry server.
 */
#include <stddef.h>
#include <string.h>
#include <sys/stat.h>

#include "entry/settings.h"
#include "entry/socket.h"
#include "http/json.h"
#include "wisteriavane/settings.h"

/** Longest name, bytes; a report to another VM has space for two of them. */
#define MAX_NAME_BYTES 255

enum field_kind { FIELD_NAME, FIELD_ADDRESS, FIELD_NUMBER };

struct field {
	const char *name;
	enum field_kind kind;
	bool optional; /* numbers: may be missing */
	size_t offset;
	double min; /* numbers: least and greatest value */
	double max;
	double fallback; /* value of a missing one */
};

#define TEXT(name, kind)                                                      \
	{                                                                     \
#name, kind, false, offsetof(struct entry_settings, name), 0, \
		    0, 0                                                      \
	}
#define NUMBER(name, min, max)                                         \
	{                                                              \
#name, FIELD_NUMBER, false,                            \
		    offsetof(struct entry_settings, name), min, max, 0 \
	}
#define OPTIONAL(name, min, max, fallback)                                    \
	{                                                                     \
#name, FIELD_NUMBER, true,                                    \
		    offsetof(struct entry_settings, name), min, max, fallback \
	}

static const struct field fields[] = {
    TEXT(vm, FIELD_NAME),
    TEXT(zone, FIELD_NAME),
    TEXT(callers, FIELD_ADDRESS),
    TEXT(readiness, FIELD_ADDRESS),
    TEXT(addresses, FIELD_ADDRESS),
    TEXT(peers, FIELD_ADDRESS),
    TEXT(metrics, FIELD_ADDRESS),
    TEXT(store, FIELD_ADDRESS),
    NUMBER(capacity, 0.01, 1024),
    NUMBER(retry_ratio, 0, 10),
    NUMBER(retry_slack, 0, 1e6),
    NUMBER(retry_window_s, 0.1, 3600),
    OPTIONAL(quota_window_s, 0.1, 3600, 0),
    OPTIONAL(quota_overshoot, 0, 10, 0),
    OPTIONAL(quota_slack, 0, 1e6, 0),
    NUMBER(stop_s, 0, 3600),
    NUMBER(address_lifetime_s, 0.1, 3600),
    OPTIONAL(strict_revoke, 0, 1, 0),
    OPTIONAL(revoke_ms, 1, 3600000, 5000),
    OPTIONAL(evacuate_ms, 1, 3600000, 0),
    OPTIONAL(cold_overshoot, 0, 1000, 0),
    OPTIONAL(cold_slack, 0, 1e6, 0),
};

static void
add_fault(GPtrArray *faults, const char *name, const char *what)
{
	g_ptr_array_add(faults, g_strdup_printf("$.%s: %s", name, what));
}

static const struct field *
find_field(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (g_str_equal(fields[i].name, name))
			return &fields[i];
	}
	return NULL;
}

/*
 * Names are written to logs and to reports to other VMs as they are, so
 * they must not contain characters that need escaping.
 */
static bool
is_valid_name(struct wv_string text)
{
	for (size_t i = 0; i < text.length; i++) {
		char c = text.data[i];

		if (!g_ascii_isprint(c) || c == '"' || c == '\\')
			return false;
	}
	return text.length <= MAX_NAME_BYTES;
}

static void
read_text(struct entry_settings *settings, const struct field *field,
    JsonObject *object, GPtrArray *faults)
{
	struct wv_string value = wv_json_get_string(object, field->name);
	struct sockaddr_in parsed;

	if (value.length == 0) {
		add_fault(faults, field->name, "a text is needed");
		return;
	}
	if (field->kind == FIELD_ADDRESS &&
	    !socket_parse_address(value.data, &parsed)) {
		add_fault(faults, field->name, "not an IPv4 address and port");
		return;
	}
	if (field->kind == FIELD_NAME && !is_valid_name(value)) {
		add_fault(faults, field->name,
		    "a name has at most 255 printable ASCII characters, "
		    "without quotes and backslashes");
		return;
	}
	*(char **)((char *)settings + field->offset) = g_strdup(value.data);
}

static void
read_number(struct entry_settings *settings, const struct field *field,
    JsonObject *object, GPtrArray *faults)
{
	bool missing =
	    field->optional && !json_object_has_member(object, field->name);
	double value = missing ? field->fallback
			       : wv_json_get_number(object, field->name, -1);

	if (missing) {
		*(double *)((char *)settings + field->offset) = value;
		return;
	}
	if (!(value >= field->min && value <= field->max)) {
		g_ptr_array_add(faults,
		    g_strdup_printf("$.%s: a number from %g to %g is needed",
			field->name, field->min, field->max));
		return;
	}
	*(double *)((char *)settings + field->offset) = value;
}

static void
read_fields(
    struct entry_settings *settings, JsonObject *object, GPtrArray *faults)
{
	GList *members = json_object_get_members(object);

	for (GList *item = members; item != NULL; item = item->next) {
		if (find_field(item->data) == NULL)
			add_fault(faults, item->data, "unknown field");
	}
	g_list_free(members);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (fields[i].kind == FIELD_NUMBER)
			read_number(settings, &fields[i], object, faults);
		else
			read_text(settings, &fields[i], object, faults);
	}
}

/* Parses the JSON object of the settings; NULL and a fault if it is none. */
static JsonNode *
parse_object(struct wv_string json, GPtrArray *faults)
{
	struct wv_status status = {0};
	JsonNode *root = wv_json_parse(json, &status);

	if (root == NULL)
		g_ptr_array_add(
		    faults, g_strdup_printf("$: %s", status.message));
	return root;
}

static struct entry_settings *
read_object(JsonObject *object, GPtrArray *faults)
{
	struct entry_settings *settings = g_new0(struct entry_settings, 1);
	guint before = faults->len;

	read_fields(settings, object, faults);
	if (faults->len == before)
		return settings;
	entry_settings_destroy(settings);
	return NULL;
}

struct entry_settings *
entry_settings_parse(struct wv_string json, GPtrArray *faults)
{
	JsonNode *root = parse_object(json, faults);
	struct entry_settings *settings;

	if (root == NULL)
		return NULL;
	settings = read_object(json_node_get_object(root), faults);
	json_node_unref(root);
	return settings;
}

/*
 * Reads a file; false and a fault if that fails. Only a regular file is opened:
 * a pipe could make the process wait without end.
 */
static bool
read_file(const char *file, struct wv_string *content, GPtrArray *faults)
{
	GError *error = NULL;
	struct stat status;

	if (stat(file, &status) == 0 && !S_ISREG(status.st_mode)) {
		g_ptr_array_add(
		    faults, g_strdup_printf("%s: not a regular file", file));
		return false;
	}
	if (g_file_get_contents(file, &content->data, &content->length, &error))
		return true;
	g_ptr_array_add(faults, g_strdup(error->message));
	g_error_free(error);
	return false;
}

struct entry_settings *
entry_settings_read(const char *file, GPtrArray *faults, bool *whole)
{
	struct entry_settings *settings = NULL;
	struct wv_string json = {NULL, 0};
	JsonNode *root = NULL;
	bool is_read = read_file(file, &json, faults);

	if (is_read)
		root = parse_object(json, faults);
	if (whole != NULL)
		*whole = is_read && wv_settings_is_json(json);
	if (root != NULL) {
		settings = read_object(json_node_get_object(root), faults);
		json_node_unref(root);
	}
	g_free(json.data);
	return settings;
}

void
entry_settings_update(struct entry_settings *settings,
    const struct entry_settings *newer, GPtrArray *kept)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const struct field *field = &fields[i];
		char *own = (char *)settings + field->offset;
		const char *other = (const char *)newer + field->offset;

		/*
		 * Numbers take effect at once. Texts are names that other VMs
		 * know and addresses that are bound or connected.
		 */
		if (field->kind == FIELD_NUMBER)
			*(double *)(void *)own =
			    *(const double *)(const void *)other;
		else if (strcmp(*(char **)(void *)own,
			     *(char *const *)(const void *)other) != 0)
			g_ptr_array_add(kept, (void *)field->name);
	}
}

void
entry_settings_destroy(struct entry_settings *settings)
{
	if (settings == NULL)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		if (fields[i].kind != FIELD_NUMBER)
			g_free(*(char **)((char *)settings + fields[i].offset));
	}
	g_free(settings);
}
