/**
 * @file
 * Builds the routing table from the members, the lanes and the stage of a
 * planned stop.
 */
#include "daemon/control_private.h"

/*
 * Returns a VM's address for peers, borrowed, or an empty string if the VM is
 * unknown, dead or gone.
 */
static struct wv_string
peer_address_of(const struct control *control, struct wv_string vm)
{
	struct wv_string none = {"", 0};
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);

	for (size_t i = 0; i < n; i++) {
		if (wv_string_equal(all[i].id.name, vm) &&
		    all[i].state != WV_MEMBER_DEAD &&
		    all[i].state != WV_MEMBER_GONE)
			return all[i].peer_address;
	}
	return none;
}

static void
fill_route(const struct control *control, const struct control_lane *lane,
    uint32_t lanes, struct route *route)
{
	struct wv_string holder = lane->holder.name;
	bool local = lane->held && !lane->handing_over;

	route->back_end = wv_string_copy(lane->back_end);
	route->lane = wv_string_copy(lane->name);
	route->n_lanes = lanes;
	route->worker = lane->worker;
	route->local = local;
	if (local)
		holder = control->daemon->self.name;
	route->holder = wv_string_copy(holder);
	route->holder_address =
	    wv_string_copy(peer_address_of(control, holder));
}

/* Adds a route for each lane of each back end. */
static void
fill_routes(const struct control *control, struct routing *routing)
{
	const struct control_lane *lane;
	const struct back_end *back_end;
	GHashTableIter iter;
	struct wv_string name;
	void *value;

	g_hash_table_iter_init(&iter, control->back_ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		back_end = value;
		for (uint32_t i = 0; i < back_end->topology->lanes; i++) {
			name = daemon_lane_name(back_end->name, i);
			lane =
			    control_find_lane((struct control *)control, name);
			fill_route(control, lane, back_end->topology->lanes,
			    &routing->routes[routing->n_routes++]);
			wv_string_clear(&name);
		}
	}
}

/*
 * Adds the addresses for callers of all live VMs. This VM's own is left out
 * once a planned stop has withdrawn it.
 */
static void
fill_addresses(const struct control *control, struct routing *routing)
{
	size_t n;
	const struct wv_member *all = wv_members_all(control->members, &n);
	struct route_address *address;
	bool self;

	for (size_t i = 0; i < n; i++) {
		self =
		    wv_string_equal(all[i].id.name, control->daemon->self.name);
		if (all[i].state != WV_MEMBER_LIVE)
			continue;
		if (self && !wv_drain_is_advertised(control->drain))
			continue;
		address = &routing->addresses[routing->n_addresses++];
		address->vm = wv_string_copy(all[i].id.name);
		address->zone = wv_string_copy(all[i].zone);
		address->caller_address = wv_string_copy(all[i].caller_address);
	}
}

void
control_publish_routing(struct control *control, wv_msec now)
{
	struct routing *routing;
	size_t n_members;

	(void)now;
	if (!control->routing_stale)
		return;
	control->routing_stale = false;
	wv_members_all(control->members, &n_members);
	routing = routing_create(control->lanes->len, n_members);
	fill_routes(control, routing);
	fill_addresses(control, routing);
	routing_publish(&control->daemon->routing, routing);
}
