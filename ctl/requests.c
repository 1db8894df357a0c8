/**
 * @file
 * Commands for searches, jobs, addresses and the state of a VM.
 */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/*
 * Returns an object with the members that searches and jobs share, or NULL with
 * a usage error if the customer or back end is missing.
 */
static JsonObject *
create_request_body(const struct ctl *ctl)
{
	JsonObject *body;

	if (ctl->customer == NULL || ctl->back_end == NULL) {
		ctl_usage("--customer and --back-end must be given");
		return NULL;
	}
	body = json_object_new();
	json_object_set_string_member(body, "customer", ctl->customer);
	json_object_set_string_member(body, "back_end", ctl->back_end);
	json_object_set_string_member(body, "rank", ctl->rank);
	if (ctl->deadline >= 0)
		json_object_set_double_member(
		    body, "deadline_ms", ctl->deadline);
	return body;
}

enum ctl_exit
ctl_search(const struct ctl *ctl)
{
	JsonObject *body = create_request_body(ctl);

	if (body == NULL)
		return CTL_USAGE;
	json_object_set_string_member(
	    body, "query", ctl->query != NULL ? ctl->query : "");
	if (ctl->coverage_minimum >= 0)
		json_object_set_double_member(
		    body, "coverage_minimum", ctl->coverage_minimum);
	return ctl_call_and_print(ctl, NULL, "POST", "/v1/search", body);
}

/* Returns a new key, SECONDS-REST: the Unix time, then random digits. */
static char *
make_key(void)
{
	return g_strdup_printf("%" G_GINT64_FORMAT "-%08x%08x",
	    g_get_real_time() / G_USEC_PER_SEC, g_random_int(), g_random_int());
}

enum ctl_exit
ctl_submit(const struct ctl *ctl)
{
	JsonObject *body = create_request_body(ctl);
	enum ctl_exit result;
	char *key;

	if (body == NULL)
		return CTL_USAGE;
	key = ctl->key != NULL ? g_strdup(ctl->key) : make_key();
	json_object_set_string_member(body, "key", key);
	json_object_set_string_member(
	    body, "payload", ctl->payload != NULL ? ctl->payload : "");
	result = ctl_call_and_print(ctl, NULL, "POST", "/v1/jobs", body);
	if (result == CTL_UNKNOWN || result == CTL_NO_ANSWER)
		fprintf(stderr,
		    "ask again later with the same key and payload: %s\n", key);
	g_free(key);
	return result;
}

enum ctl_exit
ctl_addresses(const struct ctl *ctl)
{
	enum ctl_exit result;
	char *path;

	if (ctl->customer == NULL)
		return ctl_usage("--customer must be given");
	path = ctl_path("/v1/addresses?customer=", ctl->customer, "");
	result = ctl_call_and_print(ctl, NULL, "GET", path, NULL);
	g_free(path);
	return result;
}

static enum ctl_exit
jobs_resolve(const struct ctl *ctl)
{
	const char *outcome = ctl->n_args == 5 ? ctl->args[4] : "";
	bool done = strcmp(outcome, "done") == 0;
	JsonObject *body;

	if (ctl->back_end == NULL || (!done && strcmp(outcome, "not-run") != 0))
		return ctl_usage("usage: jobs resolve CUSTOMER KEY "
				 "done|not-run --back-end NAME");
	body = json_object_new();
	json_object_set_string_member(body, "customer", ctl->args[2]);
	json_object_set_string_member(body, "key", ctl->args[3]);
	json_object_set_string_member(body, "back_end", ctl->back_end);
	json_object_set_string_member(body, "state", done ? "done" : "not_run");
	return ctl_call_and_print(ctl, NULL, "POST", "/v1/jobs/resolve", body);
}

enum ctl_exit
ctl_jobs(const struct ctl *ctl)
{
	const char *verb = ctl->n_args > 1 ? ctl->args[1] : "";
	enum ctl_exit result;
	char *path;

	if (strcmp(verb, "resolve") == 0)
		return jobs_resolve(ctl);
	if (strcmp(verb, "list") != 0 || ctl->n_args != 2)
		return ctl_usage("usage: jobs list [--state STATE] | "
				 "resolve CUSTOMER KEY done|not-run");
	path = ctl_path("/v1/jobs?state=", ctl->state, "");
	result = ctl_call_and_print(ctl, NULL, "GET", path, NULL);
	g_free(path);
	return result;
}

static void
print_members(JsonObject *state)
{
	JsonArray *array = wv_json_get_array(state, "members");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);

		printf("member %s zone %s state %s peer %s callers %s\n",
		    wv_json_get_string(entry, "vm").data,
		    wv_json_get_string(entry, "zone").data,
		    wv_json_get_string(entry, "state").data,
		    wv_json_get_string(entry, "peer").data,
		    wv_json_get_string(entry, "callers").data);
	}
}

static void
print_leases(JsonObject *state)
{
	JsonArray *array = wv_json_get_array(state, "leases");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);

		printf("lane %s", wv_json_get_string(entry, "lane").data);
		if (json_object_has_member(entry, "holder"))
			printf(" holder %s",
			    wv_json_get_string(entry, "holder").data);
		printf(
		    " for %.0f ms\n", wv_json_get_number(entry, "until_ms", 0));
	}
}

/* Prints name and version of each object in a list of the state. */
static void
print_versions(JsonObject *state, const char *list, const char *name)
{
	JsonArray *array = wv_json_get_array(state, list);
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);

		printf("%s %s version %.0f\n", name,
		    wv_json_get_string(entry, name).data,
		    wv_json_get_number(entry, "version", 0));
	}
}

static void
print_counters(JsonObject *state)
{
	JsonNode *node = json_object_get_member(state, "counters");
	GList *names;

	if (node == NULL || !JSON_NODE_HOLDS_OBJECT(node))
		return;
	names = json_object_get_members(json_node_get_object(node));
	for (GList *item = names; item != NULL; item = item->next)
		printf("counter %s %.0f\n", (const char *)item->data,
		    wv_json_get_number(
			json_node_get_object(node), item->data, 0));
	g_list_free(names);
}

enum ctl_exit
ctl_state(const struct ctl *ctl)
{
	const char *address = ctl->n_args > 1 ? ctl->args[1] : NULL;
	enum ctl_exit result;
	JsonObject *state;
	JsonNode *node;

	if (ctl->json)
		return ctl_call_and_print(
		    ctl, address, "GET", "/v1/state", NULL);
	result = ctl_call(ctl, address, "GET", "/v1/state", NULL, &node);
	if (result == CTL_OK) {
		state = json_node_get_object(node);
		printf("vm %s incarnation %.0f drain %s\n",
		    wv_json_get_string(state, "vm").data,
		    wv_json_get_number(state, "incarnation", 0),
		    wv_json_get_string(state, "drain").data);
		print_members(state);
		print_leases(state);
		print_versions(state, "contracts", "customer");
		print_versions(state, "back_ends", "back_end");
		print_counters(state);
	}
	if (node != NULL)
		json_node_unref(node);
	return result;
}
