/**
 * @file
 * Contracts: list, get, history, and put, which waits until the new version is
 * in force on every member.
 */
#include <stdio.h>
#include <string.h>

#include "ctl/ctl.h"

/* Interval between polls of the members, ms. */
#define POLL_INTERVAL 100.0

/* A member on which a contract's version must come into force. */
struct member {
	char *vm;
	char *address; /* operators' address, or NULL if unknown */
	bool in_force; /* the version, or a later one */
	double after_ms; /* time from acceptance to the last poll */
};

static void
member_destroy(void *data)
{
	struct member *member = data;

	g_free(member->vm);
	g_free(member->address);
	g_free(member);
}

static void
add_member(GPtrArray *members, const char *vm, const char *address)
{
	struct member *member = g_new0(struct member, 1);

	member->vm = g_strdup(vm);
	member->address =
	    address == NULL || *address == '\0' ? NULL : g_strdup(address);
	g_ptr_array_add(members, member);
}

/* Members that are dead or gone don't enforce contracts. */
static bool
is_serving(struct wv_string state)
{
	return !wv_string_equal(state, wv_string_borrow("dead")) &&
	    !wv_string_equal(state, wv_string_borrow("gone"));
}

/*
 * Adds the members listed in a state dump. The VM that produced the dump is
 * polled at the address of the command line.
 */
static void
read_members(const struct ctl *ctl, JsonObject *state, GPtrArray *members)
{
	JsonArray *array = wv_json_get_array(state, "members");
	struct wv_string self = wv_json_get_string(state, "vm");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);
		struct wv_string vm = wv_json_get_string(entry, "vm");
		const char *address =
		    wv_json_get_string(entry, "operators").data;

		if (!is_serving(wv_json_get_string(entry, "state")))
			continue;
		if (wv_string_equal(vm, self))
			address = ctl->address;
		add_member(members, vm.data, address);
	}
}

/* Returns the members given by --member, else those that the VM knows. */
static GPtrArray *
find_members(const struct ctl *ctl)
{
	GPtrArray *members = g_ptr_array_new_with_free_func(member_destroy);
	struct wv_status status;
	JsonNode *node;

	for (guint i = 0; i < ctl->members->len; i++)
		add_member(
		    members, ctl->members->pdata[i], ctl->members->pdata[i]);
	if (members->len > 0)
		return members;
	if (ctl_call_quietly(
		ctl, NULL, "GET", "/v1/state", NULL, &node, &status) == CTL_OK)
		read_members(ctl, json_node_get_object(node), members);
	if (node != NULL)
		json_node_unref(node);
	return members;
}

/* Returns the version of a customer's contract in a state dump, or 0. */
static int64_t
find_contract_version(JsonObject *state, const char *customer)
{
	JsonArray *array = wv_json_get_array(state, "contracts");
	guint n = array == NULL ? 0 : json_array_get_length(array);

	for (guint i = 0; i < n; i++) {
		JsonObject *entry = json_array_get_object_element(array, i);

		if (wv_string_equal(wv_json_get_string(entry, "customer"),
			wv_string_borrow(customer)))
			return (int64_t)wv_json_get_number(entry, "version", 0);
	}
	return 0;
}

/* Polls a member: whether it enforces the version or a later one. */
static bool
poll_member(const struct ctl *ctl, const struct member *member,
    const char *customer, int64_t version)
{
	struct wv_status status;
	bool in_force = false;
	JsonNode *node;

	if (member->address == NULL)
		return false;
	if (ctl_call_quietly(ctl, member->address, "GET", "/v1/state", NULL,
		&node, &status) == CTL_OK)
		in_force = find_contract_version(
			       json_node_get_object(node), customer) >= version;
	if (node != NULL)
		json_node_unref(node);
	return in_force;
}

/* Polls all members until the version is in force or --wait-ms has passed. */
static bool
wait_until_in_force(const struct ctl *ctl, GPtrArray *members,
    const char *customer, int64_t version)
{
	gint64 began = g_get_monotonic_time();
	bool all;

	for (;;) {
		all = members->len > 0;
		for (guint i = 0; i < members->len; i++) {
			struct member *member = members->pdata[i];

			if (member->in_force)
				continue;
			member->in_force =
			    poll_member(ctl, member, customer, version);
			member->after_ms =
			    (double)(g_get_monotonic_time() - began) / 1000.0;
			all = all && member->in_force;
		}
		if (all ||
		    (double)(g_get_monotonic_time() - began) / 1000.0 >
			ctl->in_force_timeout)
			return all;
		g_usleep((gulong)(POLL_INTERVAL * 1000));
	}
}

static JsonArray *
members_json(GPtrArray *members)
{
	JsonArray *array = json_array_new();

	for (guint i = 0; i < members->len; i++) {
		struct member *member = members->pdata[i];
		JsonObject *entry = json_object_new();

		json_object_set_string_member(entry, "vm", member->vm);
		json_object_set_boolean_member(
		    entry, "in_force", member->in_force);
		if (member->in_force)
			json_object_set_double_member(
			    entry, "after_ms", member->after_ms);
		json_array_add_object_element(array, entry);
	}
	return array;
}

static void
print_members(GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		struct member *member = members->pdata[i];

		if (member->in_force)
			printf("in force on %s after %.0f ms\n", member->vm,
			    member->after_ms);
		else if (member->address == NULL)
			printf("not confirmed on %s: its operators' address "
			       "is unknown; give --member\n",
			    member->vm);
		else
			printf("not confirmed on %s\n", member->vm);
	}
	if (members->len == 0)
		printf("not confirmed: the list of members is unknown\n");
}

static enum ctl_exit
confirm_in_force(const struct ctl *ctl, const char *customer, int64_t version)
{
	GPtrArray *members;
	JsonObject *json;
	struct wv_string text;
	bool all;

	if (!ctl->json) {
		printf("accepted: contract of %s, version %" G_GINT64_FORMAT
		       "\n",
		    customer, version);
		fflush(stdout);
	}
	members = find_members(ctl);
	all = wait_until_in_force(ctl, members, customer, version);
	if (ctl->json) {
		json = json_object_new();
		json_object_set_int_member(json, "code", WV_OK);
		json_object_set_string_member(json, "customer", customer);
		json_object_set_int_member(json, "version", version);
		json_object_set_boolean_member(json, "in_force", all);
		json_object_set_array_member(
		    json, "members", members_json(members));
		text = wv_json_serialize_object(json);
		printf("%s\n", text.data);
		wv_string_clear(&text);
	} else {
		print_members(members);
	}
	g_ptr_array_unref(members);
	return all ? CTL_OK : CTL_NOT_CONFIRMED;
}

/* Reads and parses a contract; "-" is standard input. */
static JsonNode *
read_contract(const char *path)
{
	GError *error = NULL;
	struct wv_status status;
	struct wv_string text;
	JsonNode *node;

	wv_status_clear(&status);
	if (strcmp(path, "-") == 0)
		path = "/dev/stdin";
	if (!g_file_get_contents(path, &text.data, &text.length, &error)) {
		ctl_usage(error->message);
		g_error_free(error);
		return NULL;
	}
	node = wv_json_parse(text, &status);
	if (node == NULL)
		ctl_usage(status.message);
	wv_string_clear(&text);
	return node;
}

static enum ctl_exit
contract_put(const struct ctl *ctl)
{
	JsonObject *body;
	JsonNode *value, *answer;
	enum ctl_exit result;
	char *path;

	if (ctl->n_args != 4 || ctl->if_version < 0)
		return ctl_usage(
		    "usage: contract put CUSTOMER FILE --if-version N");
	value = read_contract(ctl->args[3]);
	if (value == NULL)
		return CTL_USAGE;
	body = json_object_new();
	json_object_set_member(body, "value", value);
	json_object_set_int_member(body, "if_version", ctl->if_version);
	path = ctl_path("/v1/contracts/", ctl->args[2], "");
	result = ctl_call(ctl, NULL, "PUT", path, body, &answer);
	g_free(path);
	if (result == CTL_CONFLICT)
		fprintf(stderr, "the current version is %.0f\n",
		    wv_json_get_number(
			json_node_get_object(answer), "version", 0));
	if (result == CTL_OK)
		result = confirm_in_force(ctl, ctl->args[2],
		    (int64_t)wv_json_get_number(
			json_node_get_object(answer), "version", 0));
	else if (ctl->json && answer != NULL)
		ctl_print(ctl, answer);
	if (answer != NULL)
		json_node_unref(answer);
	return result;
}

enum ctl_exit
ctl_contract(const struct ctl *ctl)
{
	const char *verb = ctl->n_args > 1 ? ctl->args[1] : "";
	bool get = strcmp(verb, "get") == 0;
	enum ctl_exit result;
	char *path;

	if (strcmp(verb, "put") == 0)
		return contract_put(ctl);
	if (strcmp(verb, "list") == 0 && ctl->n_args == 2)
		return ctl_call_and_print(
		    ctl, NULL, "GET", "/v1/contracts", NULL);
	if ((!get && strcmp(verb, "history") != 0) || ctl->n_args != 3)
		return ctl_usage("usage: contract list | get CUSTOMER | "
				 "history CUSTOMER | "
				 "put CUSTOMER FILE --if-version N");
	path = ctl_path("/v1/contracts/", ctl->args[2], get ? "" : "/history");
	result = ctl_call_and_print(ctl, NULL, "GET", path, NULL);
	g_free(path);
	return result;
}
