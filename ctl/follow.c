/**
 * @file
 * Follows one request through the logs of entry servers: prints its own lines,
 * and the state changes that its VM logged shortly before and meanwhile.
 */
#include <stdio.h>

#include "ctl/ctl.h"

/* Time before a request for which state changes are printed, ms. */
#define CONTEXT_TIME 10000.0

/* A log line. */
struct line {
	char *text; /* owned */
	char *vm; /* owned */
	double time; /* Unix time, ms */
	bool of_request; /* has the request's identifier */
	bool is_state_change; /* of what the VM knows */
};

/* Time range of a request and the VMs that served it. */
struct span {
	double first; /* Unix time, ms */
	double last;
	GHashTable *vms; /* names, borrowed from lines */
};

/* Events of single requests; all others are state changes. */
static const char *const request_events[] = {"answered", "attempt_failed",
    "attempt_repeated", "request_refused", "request_malformed", "caller_left"};

static void
line_destroy(gpointer data)
{
	struct line *line = data;

	g_free(line->text);
	g_free(line->vm);
	g_free(line);
}

/*
 * Whether a line shows a state change. An event of a request is one if it
 * says that the searcher counts as lost.
 */
static bool
is_state_change_event(JsonObject *object)
{
	struct wv_string event = wv_json_get_string(object, "event");

	for (size_t i = 0; i < G_N_ELEMENTS(request_events); i++) {
		if (wv_string_equal(event, wv_string_borrow(request_events[i])))
			return wv_json_get_bool(object, "lost", false);
	}
	return true;
}

/*
 * Adds a line if it belongs to the request or is a state change. A line that is
 * not a JSON object, such as a truncated one, is skipped.
 */
static void
add_line(GPtrArray *lines, const char *text, const char *id)
{
	struct wv_status status = {WV_OK, ""};
	JsonNode *root = wv_json_parse(wv_string_borrow(text), &status);
	JsonObject *object;
	struct line *line;

	if (root == NULL)
		return;
	object = json_node_get_object(root);
	line = g_new0(struct line, 1);
	line->text = g_strdup(text);
	line->vm = g_strdup(wv_json_get_string(object, "vm").data);
	line->time = wv_json_get_number(object, "time_ms", 0);
	line->of_request = wv_string_equal(
	    wv_json_get_string(object, "id"), wv_string_borrow(id));
	line->is_state_change = is_state_change_event(object);
	if (line->of_request || line->is_state_change)
		g_ptr_array_add(lines, line);
	else
		line_destroy(line);
	json_node_unref(root);
}

static bool
read_log(GPtrArray *lines, const char *path, const char *id)
{
	GError *error = NULL;
	char *content = NULL;
	char **texts;

	if (!g_file_get_contents(path, &content, NULL, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	texts = g_strsplit(content, "\n", 0);
	for (size_t i = 0; texts[i] != NULL; i++) {
		if (texts[i][0] != '\0')
			add_line(lines, texts[i], id);
	}
	g_strfreev(texts);
	g_free(content);
	return true;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	const struct line *first = *(struct line *const *)a;
	const struct line *second = *(struct line *const *)b;

	if (first->time == second->time)
		return 0;
	return first->time < second->time ? -1 : 1;
}

/* Finds the time range and VMs of the request; false if no line has it. */
static bool
find_span(const GPtrArray *lines, struct span *span)
{
	bool found = false;

	for (guint i = 0; i < lines->len; i++) {
		const struct line *line = lines->pdata[i];

		if (!line->of_request)
			continue;
		if (!found)
			span->first = line->time;
		span->last = line->time;
		g_hash_table_add(span->vms, line->vm);
		found = true;
	}
	return found;
}

/* Prints lines of the request with "*", and state changes with a blank. */
static void
print_lines(const GPtrArray *lines, const struct span *span)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct line *line = lines->pdata[i];
		bool in_context = line->is_state_change &&
		    line->time >= span->first - CONTEXT_TIME &&
		    line->time <= span->last &&
		    g_hash_table_contains(span->vms, line->vm);

		if (line->of_request || in_context)
			printf("%c %s\n", line->of_request ? '*' : ' ',
			    line->text);
	}
}

/* Sorts the lines by time and prints those that concern the request. */
static enum ctl_exit
print_request(GPtrArray *lines, const char *id)
{
	struct span span = {0, 0, g_hash_table_new(g_str_hash, g_str_equal)};
	bool found;

	g_ptr_array_sort(lines, compare_times);
	found = find_span(lines, &span);
	if (found)
		print_lines(lines, &span);
	else
		fprintf(stderr, "no line has the identifier %s\n", id);
	g_hash_table_unref(span.vms);
	return found ? CTL_OK : CTL_REFUSED;
}

enum ctl_exit
ctl_follow(const struct ctl *ctl)
{
	GPtrArray *lines;
	enum ctl_exit result;
	bool read = true;

	if (ctl->n_args != 2 || ctl->args[1][0] == '\0')
		return ctl_usage("follow takes one identifier");
	if (ctl->log_paths->len == 0)
		return ctl_usage("--log must be given");
	lines = g_ptr_array_new_with_free_func(line_destroy);
	for (guint i = 0; i < ctl->log_paths->len && read; i++)
		read = read_log(lines, ctl->log_paths->pdata[i], ctl->args[1]);
	result = read ? print_request(lines, ctl->args[1]) : CTL_USAGE;
	g_ptr_array_unref(lines);
	return result;
}
