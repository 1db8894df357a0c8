/**
 * @file
 * State and functions that the daemon's threads share.
 */
#include <string.h>

#include <glib.h>
#include <urcu.h>

#include "daemon/daemon.h"
#include "daemon/links.h"
#include "daemon/worker.h"

/** Least time between log lines about full shares of connections, ms. */
#define CROWDED_LINE_INTERVAL_MS 60000.0

wv_msec
daemon_now(struct daemon *daemon)
{
	return wv_clock_now(&daemon->clock);
}

void
daemon_count_yield(struct daemon *daemon, const char *port)
{
	wv_msec now = daemon_now(daemon);
	wv_msec next = atomic_load(&daemon->next_crowded_line);

	wv_counter_add(&daemon->stats.connections_yielded, 1);
	if (now >= next &&
	    atomic_compare_exchange_strong(&daemon->next_crowded_line, &next,
		now + CROWDED_LINE_INTERVAL_MS))
		g_warning("the share of connections to %s is full: those that "
			  "are idle for longest yield to new ones",
		    port);
}

static void
unregister_thread(void *data)
{
	(void)data;
	rcu_unregister_thread();
}

void
daemon_register_thread(void)
{
	/* liburcu needs each reader to register and, at its end, unregister. */
	static GPrivate registered = G_PRIVATE_INIT(unregister_thread);

	if (g_private_get(&registered) != NULL)
		return;
	rcu_register_thread();
	g_private_set(&registered, &registered);
}

uint32_t
daemon_lane_worker(
    const struct daemon *daemon, struct wv_string back_end, uint32_t lane)
{
	return (
	    uint32_t)((wv_string_hash(back_end) + lane) % daemon->n_workers);
}

struct wv_string
daemon_lane_name(struct wv_string back_end, uint32_t lane)
{
	struct wv_string name;

	name.data = g_strdup_printf(
	    "%.*s/%u", (int)back_end.length, back_end.data, lane);
	name.length = strlen(name.data);
	return name;
}

void
daemon_route_request(struct daemon *daemon, struct request *request)
{
	const struct wv_contract *contract;
	const struct route *route;
	struct worker *worker = NULL;
	enum wv_code code = WV_OK;

	rcu_read_lock();
	contract = wv_contract_table_find(daemon->contracts, request->customer);
	if (contract == NULL)
		code = WV_UNKNOWN_CUSTOMER;
	else if (wv_contract_find_terms(contract, request->back_end) == NULL)
		code = WV_UNKNOWN_BACK_END;
	route = routing_find_route(
	    routing_get_current(&daemon->routing), request->back_end, 0);
	if (code == WV_OK && route != NULL) {
		request->lane = request->kind == REQUEST_JOB
		    ? 0
		    : wv_rendezvous_lane(request->customer,
			  wv_string_hash(request->text), route->n_lanes);
		route += request->lane;
		if (route->local)
			worker = daemon->workers[route->worker];
	}
	rcu_read_unlock();
	if (code == WV_UNKNOWN_CUSTOMER)
		request_fail(request, code, "the customer has no contract");
	else if (code != WV_OK)
		request_fail(
		    request, code, "the contract does not name the back end");
	else if (worker != NULL)
		worker_submit(worker, request);
	else
		links_route(daemon->links, request);
}
