/**
 * @file
 * Explains to operators what this VM would do with a request now.
 */
#include <string.h>

#include "entry/authorize.h"
#include "entry/explain.h"
#include "entry/gateway.h"
#include "entry/searcher_states.h"
#include "http/json.h"
#include "wisteriavane/dispatch_explain.h"

/** Most searchers in an answer, which has to fit in the server's buffers. */
#define MAX_SEARCHERS 1000

/* A request that is to be explained. Texts are owned by the parameters. */
struct query {
	GHashTable *parameters; /* name to value; owned */
	const char *host;
	const char *path;
	const char *team; /* NULL: the caller has no valid key */
	wv_msec deadline; /* below 0: not stated */
};

bool
explain_is_query(struct wv_string target)
{
	size_t length = strlen(EXPLAIN_PATH);

	return target.length >= length &&
	    memcmp(target.data, EXPLAIN_PATH, length) == 0 &&
	    (target.length == length || target.data[length] == '?');
}

static bool
has_only_known_parameters(GHashTable *parameters)
{
	static const char *const names[] = {
	    "host", "path", "method", "team", "deadline_ms"};
	guint known = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		known += g_hash_table_contains(parameters, names[i]);
	return known == g_hash_table_size(parameters);
}

/* Whether a text is a method that the parser of requests accepts. */
static bool
is_method(const char *text)
{
	for (unsigned i = HTTP_DELETE; i <= HTTP_SOURCE; i++) {
		if (strcmp(http_method_str((enum http_method)i), text) == 0)
			return true;
	}
	return false;
}

static bool
parse_deadline(const char *text, wv_msec *deadline)
{
	uint64_t number;

	*deadline = -1;
	if (text == NULL)
		return true;
	if (!message_parse_number(wv_string_borrow(text), &number))
		return false;
	*deadline = (wv_msec)number;
	return true;
}

/* Parses a query; returns why it is not valid, or NULL. */
static const char *
parse_query(struct wv_string target, struct query *query)
{
	size_t skip = MIN(strlen(EXPLAIN_PATH "?"), target.length);
	const char *method;

	query->parameters = g_uri_parse_params(target.data + skip,
	    (gssize)(target.length - skip), "&", G_URI_PARAMS_NONE, NULL);
	if (query->parameters == NULL)
		return "the query can't be parsed";
	if (!has_only_known_parameters(query->parameters))
		return "the query has an unknown parameter";
	method = g_hash_table_lookup(query->parameters, "method");
	query->host = g_hash_table_lookup(query->parameters, "host");
	query->path = g_hash_table_lookup(query->parameters, "path");
	query->team = g_hash_table_lookup(query->parameters, "team");
	if (query->host == NULL || query->path == NULL || query->path[0] != '/')
		return "host and path, which begins with /, are needed";
	if (method != NULL && !is_method(method))
		return "the method is unknown";
	if (!parse_deadline(
		g_hash_table_lookup(query->parameters, "deadline_ms"),
		&query->deadline))
		return "deadline_ms is no whole number";
	return NULL;
}

/* Returns the team with a name, or NULL. */
static const struct wv_team *
find_team(const struct wv_routes *routes, const char *name)
{
	for (size_t i = 0; i < routes->n_teams; i++) {
		if (wv_string_equal(
			routes->teams[i].name, wv_string_borrow(name)))
			return &routes->teams[i];
	}
	return NULL;
}

static void
set_whole(JsonObject *object, const char *name, double number)
{
	json_object_set_int_member(object, name, (gint64)number);
}

static JsonObject *
describe_route(const struct wv_route *route)
{
	JsonObject *object = json_object_new();

	wv_json_set_string(object, "name", route->name);
	wv_json_set_string(object, "host", route->host);
	wv_json_set_string(object, "prefix", route->prefix);
	json_object_set_boolean_member(object, "public", route->is_public);
	json_object_set_boolean_member(object, "idempotent", route->idempotent);
	json_object_set_boolean_member(
	    object, "to_all_services", route->kind == WV_ROUTE_SCATTER);
	set_whole(object, "rank", route->rank);
	set_whole(object, "objective_ms", route->target);
	set_whole(object, "timeout_ms", route->timeout);
	return object;
}

static JsonObject *
describe_team(const struct wv_team *team)
{
	JsonObject *object = json_object_new();

	wv_json_set_string(object, "name", team->name);
	if (team->has_rank)
		set_whole(object, "rank", team->rank);
	json_object_set_double_member(object, "rate", team->rate);
	json_object_set_double_member(object, "burst", team->burst);
	return object;
}

/* Adds what is known of a searcher's health, and how old that is. */
static void
add_health(JsonObject *object, const struct wv_searcher *searcher, wv_msec now)
{
	const struct wv_health *health = &searcher->health;

	json_object_set_double_member(object, "slowdown", health->slowdown);
	set_whole(object, "slowdown_age_ms", now - health->slowdown_at);
	json_object_set_double_member(
	    object, "failure_rate", health->failure_rate);
	set_whole(object, "failure_rate_age_ms", now - health->failure_rate_at);
	if (wv_searcher_cold_left(searcher, now) > 0)
		set_whole(
		    object, "cold_ms", wv_searcher_cold_left(searcher, now));
	if (health->backoff_until > now)
		set_whole(object, "backoff_ms", health->backoff_until - now);
	if (searcher->rests_until > now)
		set_whole(object, "rest_ms", searcher->rests_until - now);
	if (wv_searcher_is_hinted(searcher, now))
		set_whole(object, "said_ms_ago", now - searcher->hinted_at);
}

/* Adds the load that a searcher has reported, if it still counts. */
static void
add_load(JsonObject *object, const struct wv_searcher *searcher, wv_msec now)
{
	const struct wv_reported_load *load = &searcher->reported_load;

	if (!load->known)
		return;
	json_object_set_double_member(
	    object, "load_of_others", wv_reported_load_others(load, now));
	json_object_set_double_member(
	    object, "work_time_factor", wv_reported_load_speed(load, now));
	set_whole(object, "load_age_ms", now - load->at);
	json_object_set_boolean_member(
	    object, "load_doubted", now < load->doubted_until);
}

static JsonObject *
describe_searcher(const struct wv_explained_searcher *candidate, wv_msec now)
{
	const struct wv_searcher *searcher = candidate->searcher;
	JsonObject *object = json_object_new();

	wv_json_set_string(object, "searcher", searcher->id);
	wv_json_set_string(object, "zone", searcher->zone);
	json_object_set_boolean_member(
	    object, "same_zone", searcher->same_zone);
	json_object_set_string_member(
	    object, "state", searcher_state_name(searcher, now));
	json_object_set_boolean_member(object, "usable", candidate->usable);
	json_object_set_boolean_member(object, "has_room", candidate->has_room);
	json_object_set_double_member(object, "cost", candidate->cost);
	set_whole(object, "slots", searcher->slots);
	set_whole(object, "outstanding", searcher->outstanding);
	add_health(object, searcher, now);
	add_load(object, searcher, now);
	return object;
}

static JsonObject *
describe_service(
    const struct wv_service_choice *choice, wv_msec now, size_t *listed)
{
	JsonObject *object = json_object_new();
	JsonArray *candidates = json_array_new();

	wv_json_set_string(object, "service", choice->name);
	json_object_set_boolean_member(object, "reachable", choice->reachable);
	if (choice->chosen != NULL)
		wv_json_set_string(object, "chosen", choice->chosen->id);
	set_whole(object, "connections", choice->connections);
	set_whole(object, "waiting", (double)choice->waiting);
	set_whole(object, "deferred", (double)choice->deferred);
	set_whole(object, "extra_left", choice->extra_left);
	for (size_t i = 0; i < choice->n_candidates && *listed < MAX_SEARCHERS;
	     i++) {
		json_array_add_object_element(
		    candidates, describe_searcher(&choice->candidates[i], now));
		(*listed)++;
	}
	json_object_set_array_member(object, "candidates", candidates);
	return object;
}

/* Sets a decision that is made before the request would be submitted. */
static void
set_refusal(JsonObject *object, unsigned status, const char *reason)
{
	json_object_set_string_member(
	    object, "decision", wv_decision_name(WV_DECISION_REFUSE));
	set_whole(object, "status", status);
	json_object_set_string_member(object, "reason", reason);
}

/* Adds the dispatcher's decision. */
static void
add_decision(
    JsonObject *object, const struct wv_explanation *explanation, wv_msec now)
{
	JsonArray *services = json_array_new();
	size_t listed = 0;

	if (explanation->decision == WV_DECISION_REFUSE)
		set_refusal(object, 503, wv_reason_name(explanation->reason));
	else
		json_object_set_string_member(object, "decision",
		    wv_decision_name(explanation->decision));
	set_whole(object, "rank", explanation->rank);
	set_whole(object, "time_ms", explanation->time);
	set_whole(object, "max_deferral_ms", explanation->max_deferral);
	set_whole(object, "parts_needed", (double)explanation->needed);
	for (size_t i = 0; i < explanation->n_services; i++)
		json_array_add_object_element(services,
		    describe_service(&explanation->services[i], now, &listed));
	json_object_set_array_member(object, "services", services);
}

/*
 * Adds what is left of a team's quota, and the refusal if that is less than one
 * request and no other VM can be asked for more.
 */
static void
add_quota(struct entry *entry, const struct wv_team *team, JsonObject *object)
{
	struct wv_quota_state state;
	JsonObject *quota;
	size_t homes;

	if (team == NULL ||
	    !gateway_read_quota(entry->gateway, team, &state, &homes))
		return;
	quota = json_object_new();
	json_object_set_double_member(quota, "tokens", state.tokens);
	json_object_set_double_member(quota, "fraction", state.part.rate);
	json_object_set_double_member(quota, "demand", state.demand);
	json_object_set_double_member(quota, "permitted", state.permitted);
	json_object_set_int_member(quota, "homes_to_ask", (gint64)homes);
	json_object_set_object_member(object, "quota", quota);
	if (state.tokens < 1 && homes == 0)
		set_refusal(object, 429, "quota");
}

static void
explain_submission(struct entry *entry, const struct query *query,
    const struct wv_route *route, const struct wv_team *team,
    JsonObject *object)
{
	wv_msec now = entry_now(entry);
	struct wv_explanation *explanation =
	    gateway_explain(entry->gateway, now, route, team, query->deadline);

	add_decision(object, explanation, now);
	add_quota(entry, team, object);
	wv_explanation_destroy(explanation);
}

/* Explains a request in the order in which the gateway checks one. */
static void
explain_request(
    struct entry *entry, const struct query *query, JsonObject *object)
{
	const struct wv_routes *routes = entry->routes;
	const struct wv_team *team = NULL;
	const struct wv_route *route;
	struct wv_string path = wv_string_borrow(query->path);

	path.length = strcspn(query->path, "?");
	if (routes == NULL || !entry_is_ready(entry)) {
		set_refusal(object, 503, "not_ready");
		return;
	}
	if (gateway_is_refusing(entry->gateway)) {
		set_refusal(object, 503, "stopping");
		return;
	}
	route = wv_routes_find(routes, wv_string_borrow(query->host), path);
	if (query->team != NULL)
		team = find_team(routes, query->team);
	if (route != NULL)
		json_object_set_object_member(
		    object, "route", describe_route(route));
	if (team != NULL)
		json_object_set_object_member(
		    object, "team", describe_team(team));
	if (authorize_needs_key(routes, route) && !entry_is_confirmed(entry))
		set_refusal(object, 503, "unconfirmed");
	else if (team == NULL && authorize_needs_key(routes, route))
		set_refusal(object, 401, "no_key");
	else if (route == NULL)
		set_refusal(object, 404, "no_route");
	else
		explain_submission(entry, query, route, team, object);
}

unsigned
explain_answer(
    struct entry *entry, struct wv_string target, struct wv_string *body)
{
	struct query query = {0};
	const char *fault = parse_query(target, &query);
	JsonObject *object = json_object_new();
	struct wv_status status;

	if (fault != NULL) {
		wv_status_set(&status, WV_BAD_REQUEST, "%s", fault);
		wv_json_add_status(object, &status);
	} else {
		json_object_set_string_member(
		    object, "vm", entry->settings->vm);
		set_whole(object, "routes_version",
		    entry->routes != NULL ? (double)entry->routes->version : 0);
		explain_request(entry, &query, object);
	}
	g_clear_pointer(&query.parameters, g_hash_table_unref);
	*body = wv_json_serialize_object(object);
	return fault != NULL ? 400 : 200;
}
