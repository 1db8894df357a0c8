/**
 * @file
 * State that the parts of an entry VM share.
 */
#include <math.h>

#include "entry/entry.h"

/** Divisor of connections while the store has not listed the VMs. */
#define DIVISOR_UNLISTED 16.0
/** Part of the slack that is divided; views of the membership may differ. */
#define SLACK_USED 0.7

wv_msec
entry_now(const struct entry *entry)
{
	return wv_clock_now((struct wv_clock *)&entry->clock);
}

bool
entry_is_ready(const struct entry *entry)
{
	return entry->routes != NULL && entry->searchers_known;
}

void
entry_take_routes(struct entry *entry, struct wv_routes *routes)
{
	uint64_t before = entry->routes == NULL ? 0 : entry->routes->version;

	if (entry->routes != NULL && routes->version <= before)
		return;
	wv_routes_unref(entry->routes);
	entry->routes = wv_routes_ref(routes);
	wv_dispatch_set_routes(entry->dispatch, routes);
	server_set_limits(gateway_server(entry->gateway), &routes->limits);
	wv_counter_add(&entry->metrics.routes_changes, 1);
	log_line(entry->log, LOG_CHANGE, "routes_changed",
	    "\"version\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
	    ",\"routes\":%zu",
	    routes->version, before, routes->n_routes);
}

void
entry_set_terms(struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;
	wv_msec window = settings->retry_window_s * 1000;
	struct wv_peer_standing standing = wv_peers_standing(
	    entry->peers, entry_now(entry), store_sync_failed(entry->store));
	double divisor = wv_peers_divisor(&standing);
	struct wv_dispatch_terms terms = {
	    .allowance =
		{
		    .ratio = settings->retry_ratio,
		    .slack = entry->vms_listed
			? settings->retry_slack * SLACK_USED / divisor
			: 0,
		    .window = window,
		    .slack_from = entry->started_at + window,
		},
	    .divisor = WV_PEERS_CONNECTIONS_RESERVE *
		(entry->vms_listed ? divisor : fmax(divisor, DIVISOR_UNLISTED)),
	};

	wv_dispatch_set_terms(entry->dispatch, &terms);
}

void
entry_arm(struct entry *entry)
{
	gateway_arm(entry->gateway);
}
