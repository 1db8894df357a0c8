/**
 * @file
 * Creates the parts of an entry VM and connects them.
 */
#include "entry/gateway.h"
#include "entry/pages.h"
#include "entry/parts.h"
#include "entry/reports.h"
#include "entry/store_sync.h"

static bool
is_ready(void *data)
{
	return entry_is_ready(data);
}

static bool
is_confirmed(void *data)
{
	return entry_check_confirmation(data);
}

static bool
ask_quota(void *data, const struct wv_quota_ask *ask)
{
	struct entry *entry = data;

	return entry->reports != NULL && reports_ask_quota(entry->reports, ask);
}

static const struct gateway_ops gateway_ops = {
    .admission = {.is_ready = is_ready, .is_confirmed = is_confirmed},
    .ask_quota = ask_quota,
};

struct gateway *
parts_create_gateway(struct entry *entry)
{
	struct gateway_deps deps;

	entry->quota = wv_quota_create(entry->incarnation);
	entry->pool = wv_quota_pool_create(entry->quota,
	    wv_string_hash(wv_string_borrow(entry->settings->vm)),
	    entry->incarnation, entry->started_at);
	deps = (struct gateway_deps){
	    .base = entry->base,
	    .clock = &entry->clock,
	    .adapter = entry->adapter,
	    .log = entry->log,
	    .metrics = &entry->metrics,
	    .settings = entry->settings,
	    .quota = entry->quota,
	    .pool = entry->pool,
	    .incarnation = entry->incarnation,
	};

	return gateway_create(&deps, &gateway_ops, entry);
}

void
parts_destroy_gateway(struct entry *entry)
{
	gateway_destroy(entry->gateway);
	wv_quota_pool_destroy(entry->pool);
	wv_quota_destroy(entry->quota);
}

/* Sends a report, unless the reports are not created yet. */
static void
send_report(struct entry *entry)
{
	if (entry->reports != NULL)
		reports_send(entry->reports);
}

static void
on_routes_read(void *data, struct wv_routes *routes)
{
	entry_update_routes(data, routes);
}

static void
on_searchers_listed(void *data)
{
	struct entry *entry = data;

	entry->searchers_known = true;
}

static void
on_evacuations_listed(void *data)
{
	struct entry *entry = data;

	entry->evacuations_known = true;
}

static void
on_vms_listed(void *data)
{
	struct entry *entry = data;

	entry->vms_listed = true;
	entry_update_limits(entry);
	send_report(entry);
}

static void
on_registry_changed(void *data)
{
	struct entry *entry = data;

	gateway_registry_changed(entry->gateway);
}

static void
on_store_failed(void *data)
{
	send_report(data);
}

static const struct store_sync_ops store_sync_ops = {
    .routes_read = on_routes_read,
    .searchers_listed = on_searchers_listed,
    .evacuations_listed = on_evacuations_listed,
    .vms_listed = on_vms_listed,
    .registry_changed = on_registry_changed,
    .store_failed = on_store_failed,
};

struct store_sync *
parts_create_store_sync(struct entry *entry)
{
	struct store_sync_deps deps = {
	    .base = entry->base,
	    .clock = &entry->clock,
	    .adapter = entry->adapter,
	    .log = entry->log,
	    .metrics = &entry->metrics,
	    .settings = entry->settings,
	    .registry = gateway_registry(entry->gateway),
	    .peers = entry->peers,
	    .started_at = entry->started_at,
	};

	return store_sync_create(&deps, &store_sync_ops, entry);
}

static void
on_round_ended(void *data)
{
	entry_update_limits(data);
	entry_limit_evacuations_wait(data);
}

static void
on_quota_answered(
    void *data, uint64_t id, unsigned permitted, wv_msec retry_after)
{
	struct entry *entry = data;

	gateway_apply_quota_answer(entry->gateway, id, permitted, retry_after);
}

static const struct reports_ops reports_ops = {
    .is_serving = is_ready,
    .quota_answered = on_quota_answered,
    .round_ended = on_round_ended,
};

static struct reports *
create_reports(struct entry *entry)
{
	struct reports_deps deps = {
	    .base = entry->base,
	    .clock = &entry->clock,
	    .log = entry->log,
	    .metrics = &entry->metrics,
	    .settings = entry->settings,
	    .registry = gateway_registry(entry->gateway),
	    .peers = entry->peers,
	    .quota = entry->quota,
	    .pool = entry->pool,
	    .store = entry->store,
	    .incarnation = entry->incarnation,
	};

	return reports_create(&deps, &reports_ops, entry);
}

void
parts_create(struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;

	entry->peers = wv_peers_create(wv_string_borrow(settings->vm),
	    wv_string_borrow(settings->zone), settings->capacity);
	entry->gateway = parts_create_gateway(entry);
	pages_create(entry);
	entry_limit_connections(entry);
	entry->store = parts_create_store_sync(entry);
	entry_update_limits(entry);
	entry->reports = create_reports(entry);
}

void
parts_destroy(struct entry *entry)
{
	store_sync_destroy(entry->store);
	reports_destroy(entry->reports);
	parts_destroy_gateway(entry);
	pages_destroy(entry);
	wv_routes_unref(entry->routes);
	wv_peers_destroy(entry->peers);
}
