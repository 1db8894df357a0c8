/**
 * @file
 * The routing table, published by read-copy-update (RCU).
 */
#include <glib.h>
#include <urcu.h>

#include "daemon/routing.h"

struct routing *
routing_create(size_t n_routes, size_t n_addresses)
{
	struct routing *routing = g_new0(struct routing, 1);

	routing->routes = g_new0(struct route, n_routes);
	routing->addresses = g_new0(struct route_address, n_addresses);
	return routing;
}

static void
clear_route(struct route *route)
{
	wv_string_clear(&route->back_end);
	wv_string_clear(&route->lane);
	wv_string_clear(&route->holder);
	wv_string_clear(&route->holder_address);
}

static void
clear_address(struct route_address *address)
{
	wv_string_clear(&address->vm);
	wv_string_clear(&address->zone);
	wv_string_clear(&address->caller_address);
}

void
routing_destroy(struct routing *routing)
{
	if (routing == NULL)
		return;
	for (size_t i = 0; i < routing->n_routes; i++)
		clear_route(&routing->routes[i]);
	for (size_t i = 0; i < routing->n_addresses; i++)
		clear_address(&routing->addresses[i]);
	g_free(routing->routes);
	g_free(routing->addresses);
	g_free(routing);
}

void
routing_publish(struct routing_cell *cell, struct routing *routing)
{
	struct routing *previous = cell->current;

	rcu_assign_pointer(cell->current, routing);
	synchronize_rcu();
	routing_destroy(previous);
}

const struct routing *
routing_get_current(const struct routing_cell *cell)
{
	return rcu_dereference(cell->current);
}

const struct route *
routing_find_route(
    const struct routing *routing, struct wv_string back_end, uint32_t lane)
{
	const struct route *route;

	if (routing == NULL)
		return NULL;
	for (size_t i = 0; i < routing->n_routes; i++) {
		route = &routing->routes[i];
		if (wv_string_equal(route->back_end, back_end))
			return route + lane % route->n_lanes;
	}
	return NULL;
}
