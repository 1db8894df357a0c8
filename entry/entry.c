/**
 * @file
 * State that the parts of an entry VM share.
 */
#include "entry/entry.h"

/** VMs that are assumed while the store has not listed them. */
#define VMS_UNLISTED 16

wv_msec
entry_now(struct entry *entry)
{
	return wv_clock_now(&entry->clock);
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
	unsigned vms = 1 + wv_peers_count(entry->peers);
	wv_msec window = settings->retry_window_s * 1000;
	struct wv_dispatch_terms terms = {
	    .allowance =
		{
		    .ratio = settings->retry_ratio,
		    .slack = entry->vms_listed ? settings->retry_slack : 0,
		    .window = window,
		    .slack_from = entry->started_at + window,
		},
	    .vms = entry->vms_listed ? vms : MAX(vms, VMS_UNLISTED),
	};

	wv_dispatch_set_terms(entry->dispatch, &terms);
}

void
entry_arm(struct entry *entry)
{
	gateway_arm(entry->gateway);
}
