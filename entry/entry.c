/**
 * @file
 * State that the modules of an entry VM share.
 */
#include <math.h>

#include "entry/entry.h"
#include "entry/gateway.h"
#include "entry/store_sync.h"

/** Least divisor of connections while the list of VMs has not been read. */
#define MIN_DIVISOR_UNLISTED 16.0
/**
 * Fraction of the retry slack that is divided among the VMs. The rest is a
 * reserve, since VMs may differ in the number of VMs that they know.
 */
#define USABLE_SLACK 0.7
/**
 * Processor time for a part of an answer, ms of a core. Parts that arrive
 * together shortly before the objective are read and merged before the answer
 * leaves.
 */
#define PART_CORE_TIME 0.05

/** Time after the start for which the list of evacuations is awaited, ms. */
#define MAX_EVACUATIONS_WAIT 4000.0
/**
 * Least wait for the list once routes and searchers are known, ms: if all came
 * late because the store was away, the list may arrive a moment after them.
 */
#define MIN_EVACUATIONS_WAIT 500.0

/**
 * Time after the start for which cold searchers get no request, ms: a window in
 * which a previous process of this VM may have sent some, and as long again
 * until the other VMs count this one.
 */
#define COLD_START_WAIT 2400.0

wv_msec
entry_now(const struct entry *entry)
{
	return wv_clock_now((struct wv_clock *)&entry->clock);
}

bool
entry_is_ready(const struct entry *entry)
{
	return entry->routes != NULL && entry->searchers_known &&
	    (entry->evacuations_known || entry->settings->evacuate_ms <= 0) &&
	    server_is_listening(gateway_server(entry->gateway));
}

void
entry_limit_evacuations_wait(struct entry *entry)
{
	bool data_known = entry->routes != NULL && entry->searchers_known;
	wv_msec now = entry_now(entry);

	if (entry->evacuations_known)
		return;
	/* A reload that adds the setting must not make this VM unready. */
	if (entry->settings->evacuate_ms <= 0) {
		entry->evacuations_known = data_known;
		return;
	}
	if (entry->data_known_at == 0 && data_known)
		entry->data_known_at = now;
	if (entry->data_known_at == 0 ||
	    now - entry->data_known_at < MIN_EVACUATIONS_WAIT ||
	    now - entry->started_at < MAX_EVACUATIONS_WAIT)
		return;
	entry->evacuations_known = true;
	wv_counter_add(&entry->metrics.evacuations_unknown, 1);
	log_line(entry->log, LOG_CHANGE, "evacuations_unknown",
	    "\"since_start_ms\":%.0f,\"vms\":%u", now - entry->started_at,
	    wv_peers_count_live_hubs(entry->peers, now));
}

bool
entry_is_confirmed(const struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;

	return settings->strict_revoke <= 0 ||
	    store_sync_routes_age(entry->store) <= settings->revoke_ms;
}

bool
entry_check_confirmation(struct entry *entry)
{
	bool confirmed = entry_is_confirmed(entry);
	wv_msec age;

	if (confirmed != entry->unconfirmed)
		return confirmed;
	age = store_sync_routes_age(entry->store);
	entry->unconfirmed = !confirmed;
	log_line(entry->log, LOG_CHANGE,
	    confirmed ? "routes_confirmed" : "routes_unconfirmed",
	    "\"version\":%" G_GUINT64_FORMAT ",\"age_ms\":%.0f",
	    store_sync_routes_version(entry->store),
	    age < WV_MSEC_NEVER ? age : -1);
	return confirmed;
}

void
entry_update_routes(struct entry *entry, struct wv_routes *routes)
{
	uint64_t previous = entry->routes == NULL ? 0 : entry->routes->version;

	if (entry->routes != NULL && routes->version <= previous)
		return;
	wv_routes_unref(entry->routes);
	entry->routes = wv_routes_ref(routes);
	gateway_set_routes(entry->gateway, routes);
	wv_counter_add(&entry->metrics.routes_changes, 1);
	log_line(entry->log, LOG_CHANGE, "routes_changed",
	    "\"version\":%" G_GUINT64_FORMAT ",\"before\":%" G_GUINT64_FORMAT
	    ",\"routes\":%zu",
	    routes->version, previous, routes->n_routes);
}

static bool
ranks_first(void *data, struct wv_string searcher, unsigned n)
{
	const struct entry *entry = data;

	return wv_peers_ranks_first(entry->peers, &entry->role, searcher, n);
}

/* Returns the limits of requests to cold searchers; none without the list. */
static struct wv_cold_limits
cold_limits(struct entry *entry, double divisor)
{
	const struct entry_settings *settings = entry->settings;

	return (struct wv_cold_limits){
	    .overshoot = settings->cold_overshoot,
	    .slack = settings->cold_slack,
	    .divisor = divisor,
	    .members = wv_peers_count_members(&entry->role),
	    .from = entry->vms_listed ? entry->started_at + COLD_START_WAIT
				      : WV_MSEC_NEVER,
	    .ranks_first = ranks_first,
	    .data = entry,
	};
}

/* Sets the limits of the teams' quotas and this VM's fraction; see role. */
static void
update_quota(struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;
	struct wv_quota_limits limits = {
	    .window = settings->quota_window_s * 1000,
	    .overshoot = settings->quota_overshoot,
	    .slack = settings->quota_slack,
	};

	gateway_set_quota(entry->gateway, &limits);
	wv_quota_pool_set_base(entry->pool, entry_now(entry),
	    entry->vms_listed ? 1 / wv_peers_quota_divisor(&entry->role) : 0);
}

void
entry_update_limits(struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;
	wv_msec window = settings->retry_window_s * 1000;
	double divisor;
	struct wv_dispatch_limits limits;

	entry->role = wv_peers_get_role(entry->peers, entry_now(entry),
	    store_sync_has_failed(entry->store));
	divisor = wv_peers_limit_divisor(&entry->role);
	limits = (struct wv_dispatch_limits){
	    .part_time = PART_CORE_TIME / settings->capacity,
	    .allowance =
		{
		    .ratio = settings->retry_ratio,
		    .slack = entry->vms_listed
			? settings->retry_slack * USABLE_SLACK / divisor
			: 0,
		    .window = window,
		    .slack_from = entry->started_at + window,
		},
	    .cold = cold_limits(entry, divisor),
	    .connection_divisor = WV_PEERS_CONNECTION_RESERVE *
		(entry->vms_listed ? divisor
				   : fmax(divisor, MIN_DIVISOR_UNLISTED)),
	};

	gateway_set_limits(entry->gateway, &limits);
	update_quota(entry);
}
