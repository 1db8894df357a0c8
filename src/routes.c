/**
 * @file
 * Route tables, indexed by host name.
 */
#include <string.h>

#include "src/private.h"
#include "wisteriavane/routes.h"

/** Maximum length of a host name, bytes. */
#define MAX_HOST_LENGTH 255

static void
route_clear(struct wv_route *route)
{
	wv_string_clear(&route->name);
	wv_string_clear(&route->host);
	wv_string_clear(&route->prefix);
	for (size_t i = 0; i < route->n_services; i++)
		wv_string_clear(&route->services[i]);
	g_free(route->services);
	g_free(route->weights);
}

static void
routes_destroy(struct wv_routes *routes)
{
	for (size_t i = 0; i < routes->n_routes; i++)
		route_clear(&routes->routes[i]);
	for (size_t i = 0; i < routes->n_services; i++)
		wv_string_clear(&routes->services[i].name);
	for (size_t i = 0; i < routes->n_teams; i++)
		wv_string_clear(&routes->teams[i].name);
	if (routes->by_host != NULL)
		g_hash_table_unref(routes->by_host);
	if (routes->by_key != NULL)
		g_hash_table_unref(routes->by_key);
	g_free(routes->teams);
	g_free(routes->routes);
	g_free(routes->services);
	g_free(routes);
}

struct wv_routes *
wv_routes_create(uint64_t version, size_t n_routes, size_t n_services)
{
	struct wv_routes *routes = g_new0(struct wv_routes, 1);

	routes->references = 1;
	routes->version = version;
	routes->routes = g_new0(struct wv_route, n_routes);
	routes->n_routes = n_routes;
	routes->services = g_new0(struct wv_route_service, n_services);
	routes->n_services = n_services;
	return routes;
}

void
wv_routes_add_teams(struct wv_routes *routes, size_t n_teams)
{
	routes->has_teams = true;
	routes->teams = g_new0(struct wv_team, n_teams);
	routes->n_teams = n_teams;
	routes->by_key = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, wv_string_key_destroy, NULL);
}

void
wv_routes_add_key(
    struct wv_routes *routes, struct wv_string key, const struct wv_team *team)
{
	struct wv_string *copy;

	if (g_hash_table_contains(routes->by_key, &key))
		return;
	copy = g_new(struct wv_string, 1);
	*copy = wv_string_copy(key);
	g_hash_table_insert(routes->by_key, copy, (gpointer)team);
}

/* Sorts longer prefixes first, so that the first match is the longest one. */
static gint
compare_prefixes(gconstpointer a, gconstpointer b)
{
	const struct wv_route *first = *(const struct wv_route *const *)a;
	const struct wv_route *second = *(const struct wv_route *const *)b;

	if (first->prefix.length == second->prefix.length)
		return 0;
	return first->prefix.length > second->prefix.length ? -1 : 1;
}

void
wv_routes_build_index(struct wv_routes *routes)
{
	GHashTable *by_host = g_hash_table_new_full(wv_string_key_hash,
	    wv_string_key_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
	GHashTableIter iter;
	gpointer list;

	for (size_t i = 0; i < routes->n_routes; i++) {
		struct wv_route *route = &routes->routes[i];
		GPtrArray *same_host =
		    g_hash_table_lookup(by_host, &route->host);

		if (same_host == NULL) {
			same_host = g_ptr_array_new();
			g_hash_table_insert(by_host, &route->host, same_host);
		}
		g_ptr_array_add(same_host, route);
	}
	g_hash_table_iter_init(&iter, by_host);
	while (g_hash_table_iter_next(&iter, NULL, &list))
		g_ptr_array_sort(list, compare_prefixes);
	routes->by_host = by_host;
}

struct wv_routes *
wv_routes_ref(struct wv_routes *routes)
{
	routes->references++;
	return routes;
}

void
wv_routes_unref(struct wv_routes *routes)
{
	if (routes != NULL && --routes->references == 0)
		routes_destroy(routes);
}

/* Returns a host in lower case without its port; the text is in copy. */
static struct wv_string
normalize_host(struct wv_string host, char copy[MAX_HOST_LENGTH])
{
	struct wv_string name = {copy, 0};

	while (name.length < host.length && name.length < MAX_HOST_LENGTH &&
	    host.data[name.length] != ':') {
		copy[name.length] = g_ascii_tolower(host.data[name.length]);
		name.length++;
	}
	return name;
}

const struct wv_route *
wv_routes_find(const struct wv_routes *routes, struct wv_string host,
    struct wv_string path)
{
	char copy[MAX_HOST_LENGTH];
	struct wv_string name = normalize_host(host, copy);
	GPtrArray *same_host = g_hash_table_lookup(routes->by_host, &name);

	for (guint i = 0; same_host != NULL && i < same_host->len; i++) {
		const struct wv_route *route = same_host->pdata[i];

		if (route->prefix.length <= path.length &&
		    memcmp(route->prefix.data, path.data,
			route->prefix.length) == 0)
			return route;
	}
	return NULL;
}

const struct wv_team *
wv_routes_find_team(const struct wv_routes *routes, struct wv_string key)
{
	return routes->by_key == NULL
	    ? NULL
	    : g_hash_table_lookup(routes->by_key, &key);
}

int
wv_route_rank(const struct wv_route *route, const struct wv_team *team)
{
	return team != NULL && team->has_rank ? team->rank : route->rank;
}
