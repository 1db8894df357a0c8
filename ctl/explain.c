/**
 * @file
 * Shows what an entry server would do with a request now.
 */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

static void
append_parameter(GString *path, const char *name, const char *value)
{
	if (value == NULL)
		return;
	g_string_append_printf(
	    path, "%c%s=", strchr(path->str, '?') == NULL ? '?' : '&', name);
	g_string_append_uri_escaped(path, value, NULL, FALSE);
}

/* Returns the path of the call; the caller owns it. */
static GString *
compose_path(const struct ctl *ctl)
{
	GString *path = g_string_new("/explain");

	append_parameter(path, "host", ctl->host);
	append_parameter(path, "path", ctl->path);
	append_parameter(path, "method", ctl->method);
	append_parameter(path, "team", ctl->team);
	if (ctl->deadline >= 0)
		g_string_append_printf(
		    path, "&deadline_ms=%.0f", ctl->deadline);
	return path;
}

/* Returns a text member, or a default if it has none. */
static const char *
get_text(JsonObject *object, const char *name, const char *fallback)
{
	struct wv_string text = wv_json_get_string(object, name);

	return text.length > 0 ? text.data : fallback;
}

static double
get_number(JsonObject *object, const char *name)
{
	return wv_json_get_number(object, name, 0);
}

/* Prints the times that a candidate has, such as how long it still rests. */
static void
print_times(JsonObject *candidate)
{
	static const char *const names[] = {
	    "rest_ms", "cold_ms", "backoff_ms", "said_ms_ago"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (json_object_has_member(candidate, names[i]))
			printf(" %s %.0f", names[i],
			    get_number(candidate, names[i]));
	}
}

static void
print_candidate(JsonObject *candidate, const char *chosen)
{
	const char *id = get_text(candidate, "searcher", "?");

	printf("  %s %-20s %-9s %-8s cost %.2f, %.0f of %.0f slots, slowdown "
	       "%.2f (%.0f ms ago), failures %.2f",
	    g_str_equal(id, chosen) ? "*" : " ", id,
	    get_text(candidate, "state", "?"),
	    wv_json_get_bool(candidate, "has_room", false) ? "" : "no room",
	    get_number(candidate, "cost"), get_number(candidate, "outstanding"),
	    get_number(candidate, "slots"), get_number(candidate, "slowdown"),
	    get_number(candidate, "slowdown_age_ms"),
	    get_number(candidate, "failure_rate"));
	print_times(candidate);
	printf("\n");
}

static void
print_service(JsonObject *service)
{
	JsonArray *candidates = wv_json_get_array(service, "candidates");
	const char *chosen = get_text(service, "chosen", "");

	printf("%s: %s, %.0f waiting, %.0f deferred, %.0f connections to each, "
	       "%.0f extra attempts left\n",
	    get_text(service, "service", "?"),
	    wv_json_get_bool(service, "reachable", false) ? "reachable"
							  : "unreachable",
	    get_number(service, "waiting"), get_number(service, "deferred"),
	    get_number(service, "connections"),
	    get_number(service, "extra_left"));
	for (guint i = 0;
	     candidates != NULL && i < json_array_get_length(candidates); i++)
		print_candidate(
		    json_array_get_object_element(candidates, i), chosen);
}

static void
print_member_name(JsonObject *answer, const char *member)
{
	JsonNode *node = json_object_get_member(answer, member);

	if (node != NULL && JSON_NODE_HOLDS_OBJECT(node))
		printf(", %s %s", member,
		    get_text(json_node_get_object(node), "name", "?"));
}

static void
print_quota(JsonObject *answer)
{
	JsonNode *node = json_object_get_member(answer, "quota");
	JsonObject *quota;

	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return;
	quota = json_node_get_object(node);
	printf("quota: %.1f requests left, %.4f of %.1f per window, "
	       "%.0f other VMs to ask\n",
	    get_number(quota, "tokens"), get_number(quota, "fraction"),
	    get_number(quota, "permitted"), get_number(quota, "homes_to_ask"));
}

static void
print_explanation(JsonObject *answer)
{
	JsonArray *services = wv_json_get_array(answer, "services");

	printf("%s: routes %.0f", get_text(answer, "vm", "?"),
	    get_number(answer, "routes_version"));
	print_member_name(answer, "route");
	print_member_name(answer, "team");
	printf("\n%s", get_text(answer, "decision", "?"));
	if (json_object_has_member(answer, "status"))
		printf(": %.0f %s", get_number(answer, "status"),
		    get_text(answer, "reason", "?"));
	if (services != NULL)
		printf(", rank %.0f, %.0f ms left, %.0f of %u parts needed",
		    get_number(answer, "rank"), get_number(answer, "time_ms"),
		    get_number(answer, "parts_needed"),
		    json_array_get_length(services));
	printf("\n");
	print_quota(answer);
	for (guint i = 0;
	     services != NULL && i < json_array_get_length(services); i++)
		print_service(json_array_get_object_element(services, i));
}

enum ctl_exit
ctl_explain(const struct ctl *ctl)
{
	const char *address = ctl->n_args > 1 ? ctl->args[1] : ctl->address;
	JsonNode *answer;
	enum ctl_exit result;
	GString *path;

	if (ctl->key != NULL || ctl->token != NULL)
		return ctl_usage("explain takes no key and no token");
	if (ctl->host == NULL || ctl->path == NULL)
		return ctl_usage("--host and --path must be given");
	path = compose_path(ctl);
	result = ctl_call(ctl, address, "GET", path->str, NULL, &answer);
	if (answer != NULL && ctl->json)
		ctl_print(ctl, answer);
	else if (answer != NULL && result == CTL_OK)
		print_explanation(json_node_get_object(answer));
	g_clear_pointer(&answer, json_node_unref);
	g_string_free(path, TRUE);
	return result;
}
