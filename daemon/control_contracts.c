/**
 * @file
 * Operators' changes of contracts, made as conditional writes to the store,
 * and the history of each contract.
 */
#include <string.h>

#include "daemon/control_private.h"
#include "http/json.h"

/** Versions of a contract that its history keeps. */
#define MAX_HISTORY_ENTRIES 50
/** Reads of a contract to find the outcome of a write that got no answer. */
#define MAX_RECONCILE_READS 5

/* An operator's change of a contract while the store is being called. */
struct contract_put {
	struct control *control;
	struct wv_http_call *call;
	struct wv_string customer; /* owned */
	struct wv_string value; /* owned */
	char *key; /* owned; key in the store */
	uint64_t if_version; /* version to replace; 0 creates */
	uint64_t version; /* version that the store assigned */
	int reads; /* reads since the write got no answer */
};

JsonObject *
control_contract_to_json(const struct wv_contract *contract)
{
	JsonObject *object = json_object_new();
	struct wv_status status = {WV_OK, ""};
	JsonNode *value = NULL;

	wv_json_set_string(object, "customer", contract->customer);
	json_object_set_int_member(
	    object, "version", (gint64)contract->version);
	json_object_set_boolean_member(object, "deleted", contract->deleted);
	if (!contract->deleted)
		value = wv_json_parse(contract->json, &status);
	if (value != NULL)
		json_object_set_member(object, "value", value);
	return object;
}

static void
contract_put_destroy(struct contract_put *put)
{
	wv_string_clear(&put->customer);
	wv_string_clear(&put->value);
	g_free(put->key);
	g_free(put);
}

/* Answers the call with an error; adds the stored version if not 0. */
static void
fail_put(struct contract_put *put, enum wv_code code, const char *message,
    uint64_t version)
{
	JsonObject *object = json_object_new();
	struct wv_status status;
	struct wv_string json;

	wv_status_set(&status, code, "%s", message);
	wv_json_add_status(object, &status);
	if (version > 0)
		json_object_set_int_member(object, "version", (gint64)version);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(put->call, wv_http_status_for_code(code), json);
	wv_string_clear(&json);
	contract_put_destroy(put);
}

static void
on_history_written(void *data, enum wv_store_outcome outcome,
    struct wv_string value, uint64_t version)
{
	struct contract_put *put = data;

	(void)value;
	(void)version;
	if (outcome != WV_STORE_OK)
		g_warning("contract of %s: version %" G_GUINT64_FORMAT
			  " is missing in the history",
		    put->customer.data, put->version);
	contract_put_destroy(put);
}

/*
 * Returns the history with the new contract appended; the oldest entries are
 * dropped beyond MAX_HISTORY_ENTRIES.
 */
static struct wv_string
extend_history(struct contract_put *put, struct wv_string previous)
{
	JsonObject *object = json_object_new();
	JsonObject *entry = json_object_new();
	JsonArray *entries = json_array_new();
	struct wv_status status = {WV_OK, ""};
	JsonNode *node = NULL, *value;
	JsonArray *old = NULL;
	guint n;

	if (previous.length > 0)
		node = wv_json_parse(previous, &status);
	if (node != NULL)
		old = wv_json_get_array(json_node_get_object(node), "entries");
	n = old == NULL ? 0 : json_array_get_length(old);
	for (guint i = n >= MAX_HISTORY_ENTRIES ? n - MAX_HISTORY_ENTRIES + 1
						: 0;
	     i < n; i++)
		json_array_add_element(
		    entries, json_node_copy(json_array_get_element(old, i)));
	json_object_set_int_member(entry, "version", (gint64)put->version);
	json_object_set_double_member(entry, "accepted_unix_ms",
	    wv_clock_unix_time(&put->control->daemon->clock));
	value = wv_json_parse(put->value, &status);
	if (value != NULL)
		json_object_set_member(entry, "value", value);
	json_array_add_object_element(entries, entry);
	json_object_set_array_member(object, "entries", entries);
	if (node != NULL)
		json_node_unref(node);
	return wv_json_serialize_object(object);
}

static void
on_history_read(void *data, enum wv_store_outcome outcome,
    struct wv_string value, uint64_t version)
{
	struct contract_put *put = data;
	struct wv_string extended;
	char *key;

	if (outcome != WV_STORE_OK && outcome != WV_STORE_NOT_FOUND) {
		on_history_written(data, outcome, value, version);
		return;
	}
	extended = extend_history(put, value);
	key = g_strconcat(STORE_HISTORY_PREFIX, put->customer.data, NULL);
	store_write(put->control->daemon, put->control->client, key, extended,
	    version, on_history_written, put);
	wv_string_clear(&extended);
	g_free(key);
}

/*
 * Handles a change that the store has accepted: puts it in force on this VM,
 * answers the operator and starts the update of the history.
 */
static void
accept_put(struct contract_put *put, uint64_t version)
{
	struct control *control = put->control;
	JsonObject *object = json_object_new();
	struct wv_status status = {WV_OK, ""};
	struct wv_string json;
	JsonNode *value;
	char *key;
	bool deleted;

	put->version = version;
	value = wv_json_parse(put->value, &status);
	deleted = value != NULL &&
	    wv_json_get_bool(json_node_get_object(value), "deleted", false);
	if (value != NULL)
		json_node_unref(value);
	if (wv_sync_apply_update(control->sync, put->customer, put->value,
		version, deleted, &status)) {
		wv_counter_add(&control->daemon->stats.contracts_in_force, 1);
		control_push_contracts(control, version - 1);
	}
	wv_status_set(&status, WV_OK, "accepted");
	wv_json_add_status(object, &status);
	wv_json_set_string(object, "customer", put->customer);
	json_object_set_int_member(object, "version", (gint64)version);
	json = wv_json_serialize_object(object);
	wv_http_call_answer(put->call, 200, json);
	wv_string_clear(&json);
	g_message("contract of %s: version %" G_GUINT64_FORMAT " accepted",
	    put->customer.data, version);
	key = g_strconcat(STORE_HISTORY_PREFIX, put->customer.data, NULL);
	store_read(control->daemon, control->client, key, on_history_read, put);
	g_free(key);
}

static bool
is_equal_json(struct wv_string a, struct wv_string b)
{
	struct wv_status status = {WV_OK, ""};
	JsonNode *left = wv_json_parse(a, &status);
	JsonNode *right = wv_json_parse(b, &status);
	bool same =
	    left != NULL && right != NULL && json_node_equal(left, right);

	if (left != NULL)
		json_node_unref(left);
	if (right != NULL)
		json_node_unref(right);
	return same;
}

static void reconcile_put(struct contract_put *put);

static void
on_put_read(void *data, enum wv_store_outcome outcome, struct wv_string value,
    uint64_t version)
{
	struct contract_put *put = data;

	if (outcome == WV_STORE_OK && version != put->if_version &&
	    is_equal_json(value, put->value))
		accept_put(put, version);
	else if ((outcome == WV_STORE_OK && version == put->if_version) ||
	    (outcome == WV_STORE_NOT_FOUND && put->if_version == 0))
		/* The write may still take effect: not a rejection. */
		fail_put(put, WV_OUTCOME_OPEN,
		    "the store did not confirm the change; it is not visible "
		    "yet; repeat it with the same if_version",
		    version);
	else if (outcome == WV_STORE_OK)
		fail_put(put, WV_OUTCOME_OPEN,
		    "the store did not confirm the change, and another "
		    "version stands now",
		    version);
	else
		reconcile_put(put);
}

/*
 * Reads the contract back to find the outcome of a write that got no answer.
 * Gives up after MAX_RECONCILE_READS reads and reports an open outcome.
 */
static void
reconcile_put(struct contract_put *put)
{
	if (++put->reads > MAX_RECONCILE_READS) {
		fail_put(put, WV_OUTCOME_OPEN,
		    "the store did not confirm the change and cannot be read",
		    0);
		return;
	}
	store_read(put->control->daemon, put->control->client, put->key,
	    on_put_read, put);
}

static void
on_put_written(void *data, enum wv_store_outcome outcome,
    struct wv_string value, uint64_t version)
{
	struct contract_put *put = data;
	char message[WV_MESSAGE_SIZE];

	(void)value;
	switch (outcome) {
	case WV_STORE_OK:
		accept_put(put, version);
		break;
	case WV_STORE_CONFLICT:
		g_snprintf(message, sizeof(message),
		    "the contract has version %" G_GUINT64_FORMAT
		    ", not %" G_GUINT64_FORMAT,
		    version, put->if_version);
		fail_put(put, WV_VERSION_CONFLICT, message, version);
		break;
	case WV_STORE_NO_ANSWER:
		reconcile_put(put);
		break;
	default:
		fail_put(put, WV_STORE_UNAVAILABLE,
		    "the store did not take the change", 0);
		break;
	}
}

/*
 * Checks the JSON text of a contract, or of its deletion. Returns false and
 * sets the status if it is not valid or names another customer.
 */
static bool
check_contract(
    struct wv_string customer, struct wv_string value, struct wv_status *status)
{
	JsonNode *node = wv_json_parse(value, status);
	struct wv_contract *contract;
	bool deleted;

	if (node == NULL)
		return false;
	deleted =
	    wv_json_get_bool(json_node_get_object(node), "deleted", false);
	json_node_unref(node);
	if (deleted)
		return true;
	contract = wv_contract_parse(value, 1, status);
	if (contract == NULL)
		return false;
	if (!wv_string_equal(contract->customer, customer))
		wv_status_set(status, WV_CONTRACT_INVALID,
		    "$.customer: \"%s\" is not \"%s\"", contract->customer.data,
		    customer.data);
	wv_contract_destroy(contract);
	return status->code == WV_OK;
}

void
control_put_contract(struct control *control, struct wv_http_call *call,
    struct wv_string customer, struct wv_string value, uint64_t if_version)
{
	struct contract_put *put;
	struct wv_status status = {WV_OK, ""};

	if (!check_contract(customer, value, &status)) {
		wv_http_call_fail(call, &status);
		return;
	}
	put = g_new0(struct contract_put, 1);
	put->control = control;
	put->call = call;
	put->customer = wv_string_copy(customer);
	put->value = wv_string_copy(value);
	put->if_version = if_version;
	put->key = g_strconcat(STORE_CONTRACTS_PREFIX, customer.data, NULL);
	store_write(control->daemon, control->client, put->key, value,
	    if_version, on_put_written, put);
}

/* An operator's call for the history of a contract. */
struct history_call {
	struct wv_http_call *call;
	struct wv_string customer; /* owned */
};

static void
on_history(void *data, enum wv_store_outcome outcome, struct wv_string value,
    uint64_t version)
{
	struct history_call *history = data;
	struct wv_status status = {WV_OK, ""};
	struct wv_string json;
	JsonNode *node = NULL;

	(void)version;
	if (outcome == WV_STORE_OK)
		node = wv_json_parse(value, &status);
	if (node != NULL) {
		wv_json_add_status(json_node_get_object(node), &status);
		json = wv_json_serialize(node);
		wv_http_call_answer(history->call, 200, json);
		wv_string_clear(&json);
		json_node_unref(node);
	} else {
		wv_status_set(&status,
		    outcome == WV_STORE_NOT_FOUND ? WV_NOT_FOUND
						  : WV_STORE_UNAVAILABLE,
		    "the history cannot be read");
		wv_http_call_fail(history->call, &status);
	}
	wv_string_clear(&history->customer);
	g_free(history);
}

void
control_get_contract_history(struct control *control, struct wv_http_call *call,
    struct wv_string customer)
{
	struct history_call *history = g_new0(struct history_call, 1);
	char *key = g_strconcat(STORE_HISTORY_PREFIX, customer.data, NULL);

	history->call = call;
	history->customer = wv_string_copy(customer);
	store_read(control->daemon, control->client, key, on_history, history);
	g_free(key);
}
