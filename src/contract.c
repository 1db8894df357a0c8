/**
 * @file
 * Parsing and validation of contracts.
 */
#include <string.h>

#include "src/check.h"

static const char *const contract_fields[] = {
    "customer", "job_retention_s", "back_ends", NULL};
static const char *const deleted_fields[] = {"customer", "deleted", NULL};
static const char *const back_end_fields[] = {
    "hedge_budget", "retry_budget", "ranks", NULL};
static const char *const rank_fields[] = {"share", "rate", "burst",
    "concurrency", "deadline_ms", "coverage_minimum", NULL};

/*
 * Tolerance for sums of shares: with rounding, decimal fractions such as
 * 0.6 + 0.3 + 0.1 may add up to more than 1.
 */
#define SHARE_SUM_TOLERANCE 1e-9

static void
parse_rank_terms(
    struct wv_check *check, JsonObject *object, struct wv_rank_terms *terms)
{
	wv_check_unknown_members(check, object, rank_fields);
	terms->allowed = true;
	terms->share = wv_check_get_number(check, object, "share", 0, 1);
	terms->rate = wv_check_get_number(
	    check, object, "rate", WV_CONTRACT_MIN_RATE, WV_CONTRACT_MAX_RATE);
	terms->burst = wv_check_get_number(
	    check, object, "burst", 1, WV_CONTRACT_MAX_RATE);
	terms->concurrency = (uint32_t)wv_check_get_integer(
	    check, object, "concurrency", 1, WV_CONTRACT_MAX_CONCURRENCY);
	terms->deadline = wv_check_get_number(
	    check, object, "deadline_ms", 1, WV_CONTRACT_MAX_DEADLINE);
	terms->coverage_minimum =
	    wv_check_get_number(check, object, "coverage_minimum", 0, 1);
}

static void
parse_ranks(struct wv_check *check, JsonObject *ranks,
    struct wv_back_end_terms *back_end)
{
	GList *names = json_object_get_members(ranks);
	enum wv_rank rank;
	double sum = 0;

	for (GList *item = names; item != NULL; item = item->next) {
		JsonObject *object;

		if (!wv_rank_parse(wv_string_borrow(item->data), &rank)) {
			wv_check_add_fault(check, item->data, "unknown rank");
			continue;
		}
		object = wv_check_enter_object(check, ranks, item->data);
		if (object == NULL)
			continue;
		parse_rank_terms(check, object, &back_end->ranks[rank]);
		sum += back_end->ranks[rank].share;
		wv_check_leave_object(check);
	}
	if (names == NULL)
		wv_check_add_fault(check, NULL, "no rank");
	if (sum > 1 + SHARE_SUM_TOLERANCE)
		wv_check_add_fault(
		    check, NULL, "shares add up to %g, over 1", sum);
	g_list_free(names);
}

static void
parse_back_end(struct wv_check *check, JsonObject *object,
    struct wv_back_end_terms *back_end)
{
	JsonObject *ranks;

	wv_check_unknown_members(check, object, back_end_fields);
	back_end->hedge_budget =
	    wv_check_get_number(check, object, "hedge_budget", 0, 1);
	back_end->retry_budget =
	    wv_check_get_number(check, object, "retry_budget", 0, 1);
	ranks = wv_check_enter_object(check, object, "ranks");
	if (ranks == NULL)
		return;
	parse_ranks(check, ranks, back_end);
	wv_check_leave_object(check);
}

static void
parse_back_ends(
    struct wv_check *check, JsonObject *object, struct wv_contract *contract)
{
	GList *names = json_object_get_members(object);

	contract->back_ends =
	    g_new0(struct wv_back_end_terms, json_object_get_size(object) + 1);
	for (GList *item = names; item != NULL; item = item->next) {
		struct wv_string name = wv_string_borrow(item->data);
		struct wv_back_end_terms *terms;
		JsonObject *member;

		if (!wv_is_valid_name(name)) {
			wv_check_add_fault(check, item->data,
			    "not a name of 1 to %d letters, digits, '.', '_' "
			    "or '-'",
			    WV_MAX_NAME_LENGTH);
			continue;
		}
		member = wv_check_enter_object(check, object, item->data);
		if (member == NULL)
			continue;
		terms = &contract->back_ends[contract->n_back_ends++];
		terms->back_end = wv_string_copy(name);
		parse_back_end(check, member, terms);
		wv_check_leave_object(check);
	}
	if (names == NULL)
		wv_check_add_fault(check, NULL, "no back end");
	g_list_free(names);
}

static void
parse_deleted(
    struct wv_check *check, JsonObject *root, struct wv_contract *contract)
{
	JsonNode *node = json_object_get_member(root, "deleted");

	wv_check_unknown_members(check, root, deleted_fields);
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_BOOLEAN ||
	    !json_node_get_boolean(node))
		wv_check_add_fault(check, "deleted", "not true");
	contract->deleted = true;
}

static void
parse_active_contract(
    struct wv_check *check, JsonObject *root, struct wv_contract *contract)
{
	JsonObject *back_ends;

	wv_check_unknown_members(check, root, contract_fields);
	contract->job_retention = 1000.0 *
	    wv_check_get_number(check, root, "job_retention_s",
		WV_CONTRACT_MIN_RETENTION_S, WV_CONTRACT_MAX_RETENTION_S);
	back_ends = wv_check_enter_object(check, root, "back_ends");
	if (back_ends == NULL)
		return;
	parse_back_ends(check, back_ends, contract);
	wv_check_leave_object(check);
}

static void
parse_root(
    struct wv_check *check, JsonObject *root, struct wv_contract *contract)
{
	contract->customer =
	    wv_string_copy(wv_check_get_name(check, root, "customer"));
	if (json_object_has_member(root, "deleted"))
		parse_deleted(check, root, contract);
	else
		parse_active_contract(check, root, contract);
}

struct wv_contract *
wv_contract_parse_all(
    struct wv_string json, uint64_t version, GPtrArray *faults)
{
	struct wv_contract *contract = g_new0(struct wv_contract, 1);
	guint before = faults->len;
	struct wv_check check;
	JsonNode *root = NULL;

	wv_check_begin(&check, faults);
	contract->version = version;
	if (json.length > WV_CONTRACT_MAX_SIZE)
		wv_check_add_fault(
		    &check, NULL, "longer than %d bytes", WV_CONTRACT_MAX_SIZE);
	else
		root = wv_check_parse(&check, json);
	if (root != NULL) {
		parse_root(&check, json_node_get_object(root), contract);
		json_node_unref(root);
	}
	wv_check_end(&check);
	if (faults->len > before) {
		wv_contract_destroy(contract);
		return NULL;
	}
	contract->json = wv_string_copy(json);
	return contract;
}

/* Writes as many faults as fit into the message and counts the others. */
static void
format_faults(const GPtrArray *faults, struct wv_status *status)
{
	GString *text = g_string_new(NULL);
	guint i;

	for (i = 0; i < faults->len; i++) {
		const char *fault = g_ptr_array_index(faults, i);

		/* Reserves 24 bytes for the count of faults left out. */
		if (i > 0 && text->len + strlen(fault) + 24 > WV_MESSAGE_SIZE)
			break;
		g_string_append_printf(text, "%s%s", i > 0 ? "; " : "", fault);
	}
	if (i < faults->len)
		g_string_append_printf(text, "; and %u more", faults->len - i);
	wv_status_set(status, WV_CONTRACT_INVALID, "%s", text->str);
	g_string_free(text, TRUE);
}

struct wv_contract *
wv_contract_parse(
    struct wv_string json, uint64_t version, struct wv_status *status)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct wv_contract *contract =
	    wv_contract_parse_all(json, version, faults);

	if (contract == NULL)
		format_faults(faults, status);
	else
		wv_status_clear(status);
	g_ptr_array_free(faults, TRUE);
	return contract;
}

struct wv_contract *
wv_contract_create_tombstone(struct wv_string customer, uint64_t version)
{
	struct wv_contract *contract = g_new0(struct wv_contract, 1);
	char *name = g_strndup(customer.data, customer.length);
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	contract->customer = wv_string_copy(customer);
	contract->version = version;
	contract->deleted = true;
	json_object_set_string_member(object, "customer", name);
	json_object_set_boolean_member(object, "deleted", TRUE);
	json_node_take_object(node, object);
	contract->json.data = json_to_string(node, FALSE);
	contract->json.length = strlen(contract->json.data);
	json_node_unref(node);
	g_free(name);
	return contract;
}

void
wv_contract_destroy(struct wv_contract *contract)
{
	if (contract == NULL)
		return;
	for (size_t i = 0; i < contract->n_back_ends; i++)
		wv_string_clear(&contract->back_ends[i].back_end);
	g_free(contract->back_ends);
	wv_string_clear(&contract->customer);
	wv_string_clear(&contract->json);
	g_free(contract);
}

const struct wv_back_end_terms *
wv_contract_find_terms(
    const struct wv_contract *contract, struct wv_string back_end)
{
	for (size_t i = 0; i < contract->n_back_ends; i++) {
		if (wv_string_equal(contract->back_ends[i].back_end, back_end))
			return &contract->back_ends[i];
	}
	return NULL;
}
