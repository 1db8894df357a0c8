/**
 * @file
 * Parsing and copying of topologies.
 */
#include <string.h>

#include <json-glib/json-glib.h>

#include "src/private.h"

/** Largest count in a topology; guards sums against overflow. */
#define MAX_COUNT 1000000
/*
 * With fewer buckets one write claims more jobs of a burst; with more buckets
 * more records can be kept. See docs/jobs.md.
 */
#define DEFAULT_JOB_BUCKETS 16
#define MAX_JOB_BUCKETS 65536
/* Longest time that one attempt of a search may take, ms. */
#define DEFAULT_ATTEMPT_LIMIT_MS 2000.0

/* State of the parser of one document. */
struct parser {
	GString *errors;
	GHashTable *searcher_ids;
	GHashTable *service_names;
};

/* Appends a message to the errors. */
static void add_error(struct parser *parser, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_error(struct parser *parser, const char *format, ...)
{
	va_list args;

	if (parser->errors->len > 0)
		g_string_append(parser->errors, "; ");
	va_start(args, format);
	g_string_append_vprintf(parser->errors, format, args);
	va_end(args);
}

/* Reports each member of an object that is not in a list of known names. */
static void
check_unknown_members(struct parser *parser, JsonObject *object,
    const char *path, const char *const *names)
{
	JsonObjectIter iter;
	const char *name;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &name, NULL)) {
		if (!g_strv_contains(names, name))
			add_error(parser, "%s.%s: unknown field", path, name);
	}
}

static uint64_t
parse_count(struct parser *parser, JsonObject *object, const char *path,
    const char *name, int64_t min, int64_t max)
{
	JsonNode *node = json_object_get_member(object, name);
	int64_t value;

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64) {
		add_error(parser, "%s.%s: must be an integer", path, name);
		return 0;
	}
	value = json_node_get_int(node);
	if (value < min || value > max) {
		add_error(parser,
		    "%s.%s: must lie between %" G_GINT64_FORMAT
		    " and %" G_GINT64_FORMAT,
		    path, name, min, max);
		return 0;
	}
	return (uint64_t)value;
}

/* Parses an optional duration in ms; 0 if it is absent. */
static wv_msec
parse_msec(struct parser *parser, JsonObject *object, const char *path,
    const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	double value;

	if (node == NULL)
		return 0;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    (json_node_get_value_type(node) != G_TYPE_INT64 &&
		json_node_get_value_type(node) != G_TYPE_DOUBLE)) {
		add_error(parser, "%s.%s: must be a number", path, name);
		return 0;
	}
	value = json_node_get_double(node);
	if (!(value >= 0 && value <= MAX_COUNT)) {
		add_error(parser, "%s.%s: must lie between 0 and %d", path,
		    name, MAX_COUNT);
		return 0;
	}
	return value;
}

static struct wv_string
parse_string(struct parser *parser, JsonObject *object, const char *path,
    const char *name)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text = NULL;

	if (node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		text = json_node_get_string(node);
	if (text == NULL || *text == '\0') {
		add_error(parser, "%s.%s: must be a string that is not empty",
		    path, name);
		text = "";
	}
	return wv_string_copy(wv_string_borrow(text));
}

/*
 * Returns a non-empty array member. Otherwise reports an error and returns
 * NULL.
 */
static JsonArray *
parse_array(struct parser *parser, JsonObject *object, const char *path,
    const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node) ||
	    json_array_get_length(json_node_get_array(node)) == 0) {
		add_error(parser, "%s.%s: must be an array that is not empty",
		    path, name);
		return NULL;
	}
	return json_node_get_array(node);
}

static JsonObject *
element_object(
    struct parser *parser, JsonArray *array, guint i, const char *path)
{
	JsonNode *node = json_array_get_element(array, i);

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		add_error(parser, "%s: must be an object", path);
		return NULL;
	}
	return json_node_get_object(node);
}

static void
parse_searcher(struct parser *parser, JsonObject *object, const char *path,
    size_t service, struct wv_searcher_info *info)
{
	static const char *const names[] = {"id", "address", "zone",
	    "generation", "slots", "connections", "connect_cost_ms", NULL};

	check_unknown_members(parser, object, path, names);
	info->id = parse_string(parser, object, path, "id");
	info->address = parse_string(parser, object, path, "address");
	info->zone = parse_string(parser, object, path, "zone");
	info->generation =
	    parse_count(parser, object, path, "generation", 0, INT64_MAX);
	info->service = service;
	info->slots =
	    (uint32_t)parse_count(parser, object, path, "slots", 1, MAX_COUNT);
	info->connections = (uint32_t)parse_count(
	    parser, object, path, "connections", 1, MAX_COUNT);
	info->connect_cost =
	    parse_msec(parser, object, path, "connect_cost_ms");
	if (info->id.length > 0 &&
	    !g_hash_table_add(parser->searcher_ids, info->id.data))
		add_error(
		    parser, "%s.id: \"%s\" occurs twice", path, info->id.data);
}

static void
parse_service(struct parser *parser, JsonObject *object, const char *path,
    size_t index, struct wv_service_info *service, GArray *searchers)
{
	static const char *const names[] = {"name", "searchers", NULL};
	JsonArray *array;

	check_unknown_members(parser, object, path, names);
	service->name = parse_string(parser, object, path, "name");
	service->first_searcher = searchers->len;
	if (service->name.length > 0 &&
	    !g_hash_table_add(parser->service_names, service->name.data))
		add_error(parser, "%s.name: \"%s\" occurs twice", path,
		    service->name.data);
	array = parse_array(parser, object, path, "searchers");
	if (array == NULL)
		return;
	for (guint i = 0; i < json_array_get_length(array); i++) {
		struct wv_searcher_info info = {0};
		char *inner = g_strdup_printf("%s.searchers[%u]", path, i);
		JsonObject *item = element_object(parser, array, i, inner);

		if (item != NULL) {
			parse_searcher(parser, item, inner, index, &info);
			g_array_append_val(searchers, info);
		}
		g_free(inner);
	}
	service->n_searchers = searchers->len - service->first_searcher;
}

static void
parse_services(
    struct parser *parser, JsonArray *array, struct wv_topology *topology)
{
	GArray *searchers =
	    g_array_new(FALSE, TRUE, sizeof(struct wv_searcher_info));
	guint n = json_array_get_length(array);

	topology->services = g_new0(struct wv_service_info, n);
	topology->n_services = n;
	for (guint i = 0; i < n; i++) {
		char *path = g_strdup_printf("$.services[%u]", i);
		JsonObject *object = element_object(parser, array, i, path);

		if (object != NULL)
			parse_service(parser, object, path, i,
			    &topology->services[i], searchers);
		g_free(path);
	}
	topology->n_searchers = searchers->len;
	topology->searchers =
	    (struct wv_searcher_info *)g_array_free(searchers, FALSE);
}

/*
 * Checks that each service has at least one slot per lane: a lane without a
 * slot at a service could never serve a query.
 */
static void
check_lanes(struct parser *parser, const struct wv_topology *topology)
{
	for (size_t i = 0; i < topology->n_services; i++) {
		const struct wv_service_info *service = &topology->services[i];
		uint64_t slots = 0;

		for (size_t j = 0; j < service->n_searchers; j++)
			slots +=
			    topology->searchers[service->first_searcher + j]
				.slots;
		if (service->n_searchers > 0 && slots < topology->lanes)
			add_error(parser,
			    "$.lanes: %u lanes, but $.services[%zu] has only "
			    "%" G_GUINT64_FORMAT " slots",
			    topology->lanes, i, slots);
	}
}

static void
parse_root(
    struct parser *parser, JsonObject *root, struct wv_topology *topology)
{
	static const char *const names[] = {"back_end", "index_version", "map",
	    "lanes", "job_buckets", "attempt_limit_ms", "services", NULL};
	JsonArray *services;

	check_unknown_members(parser, root, "$", names);
	topology->back_end = parse_string(parser, root, "$", "back_end");
	topology->index_version =
	    parse_count(parser, root, "$", "index_version", 0, INT64_MAX);
	topology->map = parse_count(parser, root, "$", "map", 0, INT64_MAX);
	topology->lanes = 1;
	if (json_object_has_member(root, "lanes"))
		topology->lanes = (uint32_t)parse_count(
		    parser, root, "$", "lanes", 1, MAX_COUNT);
	topology->job_buckets = DEFAULT_JOB_BUCKETS;
	if (json_object_has_member(root, "job_buckets"))
		topology->job_buckets = (uint32_t)parse_count(
		    parser, root, "$", "job_buckets", 1, MAX_JOB_BUCKETS);
	topology->attempt_limit = DEFAULT_ATTEMPT_LIMIT_MS;
	if (json_object_has_member(root, "attempt_limit_ms"))
		topology->attempt_limit = (wv_msec)parse_count(
		    parser, root, "$", "attempt_limit_ms", 1, MAX_COUNT);
	services = parse_array(parser, root, "$", "services");
	if (services == NULL)
		return;
	parse_services(parser, services, topology);
	check_lanes(parser, topology);
}

struct wv_topology *
wv_topology_parse(
    struct wv_string json, uint64_t version, struct wv_status *status)
{
	struct wv_topology *topology = g_new0(struct wv_topology, 1);
	JsonParser *reader = json_parser_new_immutable();
	GError *error = NULL;
	JsonNode *root = NULL;
	struct parser parser;

	wv_status_clear(status);
	parser.errors = g_string_new(NULL);
	parser.searcher_ids = g_hash_table_new(g_str_hash, g_str_equal);
	parser.service_names = g_hash_table_new(g_str_hash, g_str_equal);
	topology->version = version;
	if (json_parser_load_from_data(
		reader, json.data, (gssize)json.length, &error))
		root = json_parser_get_root(reader);
	if (error != NULL)
		add_error(&parser, "$: %s", error->message);
	else if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root))
		add_error(&parser, "$: must be an object");
	else
		parse_root(&parser, json_node_get_object(root), topology);
	if (parser.errors->len > 0) {
		wv_status_set(
		    status, WV_TOPOLOGY_INVALID, "%s", parser.errors->str);
		wv_topology_destroy(topology);
		topology = NULL;
	}
	g_clear_error(&error);
	g_hash_table_destroy(parser.searcher_ids);
	g_hash_table_destroy(parser.service_names);
	g_string_free(parser.errors, TRUE);
	g_object_unref(reader);
	return topology;
}

struct wv_topology *
wv_topology_copy(const struct wv_topology *topology)
{
	struct wv_topology *copy = g_new0(struct wv_topology, 1);

	*copy = *topology;
	copy->back_end = wv_string_copy(topology->back_end);
	copy->services = g_new0(struct wv_service_info, topology->n_services);
	copy->searchers =
	    g_new0(struct wv_searcher_info, topology->n_searchers);
	for (size_t i = 0; i < topology->n_services; i++) {
		copy->services[i] = topology->services[i];
		copy->services[i].name =
		    wv_string_copy(topology->services[i].name);
	}
	for (size_t i = 0; i < topology->n_searchers; i++) {
		const struct wv_searcher_info *info = &topology->searchers[i];

		copy->searchers[i] = *info;
		copy->searchers[i].id = wv_string_copy(info->id);
		copy->searchers[i].address = wv_string_copy(info->address);
		copy->searchers[i].zone = wv_string_copy(info->zone);
	}
	return copy;
}

void
wv_topology_destroy(struct wv_topology *topology)
{
	if (topology == NULL)
		return;
	for (size_t i = 0; i < topology->n_services; i++)
		wv_string_clear(&topology->services[i].name);
	for (size_t i = 0; i < topology->n_searchers; i++) {
		wv_string_clear(&topology->searchers[i].id);
		wv_string_clear(&topology->searchers[i].address);
		wv_string_clear(&topology->searchers[i].zone);
	}
	wv_string_clear(&topology->back_end);
	g_free(topology->services);
	g_free(topology->searchers);
	g_free(topology);
}

size_t
wv_topology_find(const struct wv_topology *topology, struct wv_string searcher)
{
	for (size_t i = 0; i < topology->n_searchers; i++) {
		if (wv_string_equal(topology->searchers[i].id, searcher))
			return i;
	}
	return topology->n_searchers;
}
