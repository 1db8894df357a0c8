/**
 * @file
 * Registry of searchers and services.
 */
#include "src/leaving_hints.h"
#include "src/private.h"
#include "src/statements.h"
#include "wisteriavane/registry.h"

/** A zone is a main one if this many times its searchers are as many as in the
 * zone with most. */
#define MAIN_ZONE_PARTS 2

struct wv_registry {
	struct wv_registry_ops *ops;
	struct wv_string zone; /* owned */
	GHashTable *searchers; /* by id; values are not owned */
	GHashTable *services; /* by name; values are owned */
	struct statements *statements; /* owned */
	struct leaving_hints *hints; /* owned */
	GHashTable *evacuated; /* names of zones, owned char * */
	GHashTable *listed; /* searchers in the list in progress, or NULL */
	wv_msec draining_until; /* draining searchers stay so until then */
	wv_msec expected_until; /* expired entries may be written until then */
	wv_msec grace_until; /* missing searchers are kept until then */
	wv_msec next; /* earliest removal_at, or WV_MSEC_NEVER */
};

static void
service_destroy(gpointer data)
{
	struct wv_registry_service *service = data;

	wv_string_clear(&service->name);
	g_ptr_array_unref(service->searchers);
	g_queue_clear(&service->waiting);
	g_queue_clear(&service->deferred_tasks);
	g_free(service);
}

struct wv_registry *
wv_registry_create(struct wv_string zone, struct wv_registry_ops *ops)
{
	struct wv_registry *registry = g_new0(struct wv_registry, 1);

	registry->ops = ops;
	registry->zone = wv_string_copy(zone);
	registry->searchers =
	    g_hash_table_new(wv_string_key_hash, wv_string_key_equal);
	registry->services = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, service_destroy);
	registry->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registry->statements = statements_create();
	registry->hints = leaving_hints_create();
	registry->draining_until = -WV_MSEC_NEVER;
	registry->expected_until = -WV_MSEC_NEVER;
	registry->grace_until = -WV_MSEC_NEVER;
	registry->next = WV_MSEC_NEVER;
	return registry;
}

static void
searcher_free(struct wv_registry *registry, struct wv_searcher *searcher)
{
	registry->ops->release(registry->ops, searcher);
	wv_string_clear(&searcher->id);
	wv_string_clear(&searcher->address);
	wv_string_clear(&searcher->zone);
	g_free(searcher);
}

void
wv_registry_destroy(struct wv_registry *registry)
{
	GHashTableIter iter;
	gpointer searcher;

	g_hash_table_iter_init(&iter, registry->searchers);
	while (g_hash_table_iter_next(&iter, NULL, &searcher))
		searcher_free(registry, searcher);
	g_hash_table_unref(registry->searchers);
	g_hash_table_unref(registry->services);
	g_hash_table_unref(registry->evacuated);
	if (registry->listed != NULL)
		g_hash_table_unref(registry->listed);
	statements_destroy(registry->statements);
	leaving_hints_destroy(registry->hints);
	wv_string_clear(&registry->zone);
	g_free(registry);
}

struct wv_registry_service *
wv_registry_service(struct wv_registry *registry, struct wv_string name)
{
	struct wv_registry_service *service =
	    g_hash_table_lookup(registry->services, &name);

	if (service != NULL)
		return service;
	service = g_new0(struct wv_registry_service, 1);
	service->name = wv_string_copy(name);
	service->searchers = g_ptr_array_new();
	g_queue_init(&service->waiting);
	g_queue_init(&service->deferred_tasks);
	g_hash_table_insert(registry->services, &service->name, service);
	return service;
}

struct wv_registry_service *
wv_registry_find_service(
    const struct wv_registry *registry, struct wv_string name)
{
	return g_hash_table_lookup(registry->services, &name);
}

struct wv_searcher *
wv_registry_find(struct wv_registry *registry, struct wv_string id)
{
	return g_hash_table_lookup(registry->searchers, &id);
}

/* Removes a searcher; it is freed once its last attempt has ended. */
static void
remove_searcher(struct wv_registry *registry, struct wv_searcher *searcher)
{
	g_hash_table_remove(registry->searchers, &searcher->id);
	g_ptr_array_remove_fast(searcher->service->searchers, searcher);
	leaving_hints_remove(registry->hints, searcher);
	searcher->removed = true;
	if (searcher->outstanding == 0)
		searcher_free(registry, searcher);
}

/* Sets the zone of a searcher and what depends on it. */
static void
set_zone(const struct wv_registry *registry, struct wv_searcher *searcher,
    struct wv_string zone)
{
	wv_string_clear(&searcher->zone);
	searcher->zone = wv_string_copy(zone);
	searcher->same_zone = wv_string_equal(zone, registry->zone);
	searcher->evacuated =
	    g_hash_table_contains(registry->evacuated, searcher->zone.data);
}

static void
add_searcher(struct wv_registry *registry, wv_msec now,
    const struct wv_searcher_entry *entry)
{
	struct wv_searcher *searcher = g_new0(struct wv_searcher, 1);
	const struct statement *said =
	    statements_find(registry->statements, entry->id, entry->started);

	searcher->id = wv_string_copy(entry->id);
	searcher->address = wv_string_copy(entry->address);
	set_zone(registry, searcher, entry->zone);
	searcher->service = wv_registry_service(registry, entry->service);
	searcher->started = entry->started;
	searcher->slots = MAX(entry->slots, 1);
	searcher->draining = entry->draining;
	searcher->leaving = said != NULL && said->leaving;
	searcher->hinted_at = -WV_MSEC_NEVER;
	searcher->rests_until =
	    said != NULL ? said->rests_until : -WV_MSEC_NEVER;
	searcher->entry_number = entry->number;
	searcher->entry_cold = entry->warm_up_left;
	searcher->cold_until = now + entry->warm_up_left;
	searcher->cold_told_at = now;
	if (said != NULL && said->cold_until > searcher->cold_until)
		searcher->cold_until = said->cold_until;
	wv_health_reset(&searcher->health, now, entry->warm_up_left);
	g_hash_table_insert(registry->searchers, &searcher->id, searcher);
	g_ptr_array_add(searcher->service->searchers, searcher);
}

/* Makes a searcher cold for a time, unless it is cold for longer. */
static bool
extend_cold(struct wv_searcher *searcher, wv_msec now, wv_msec left)
{
	if (now + left <= searcher->cold_until)
		return false;
	searcher->cold_until = now + left;
	searcher->cold_told_at = now;
	if (searcher->service->cold_rate > 0)
		searcher->health.cold_until = searcher->cold_until;
	return true;
}

/* Applies an entry's cold time, unless the entry is the one that is known. */
static bool
apply_entry_cold(struct wv_searcher *searcher, wv_msec now,
    const struct wv_searcher_entry *entry)
{
	if (entry->number == searcher->entry_number &&
	    entry->warm_up_left == searcher->entry_cold)
		return false;
	searcher->entry_number = entry->number;
	searcher->entry_cold = entry->warm_up_left;
	return entry->warm_up_left > 0 &&
	    extend_cold(searcher, now, entry->warm_up_left);
}

/* Whether the entry describes the known incarnation of a searcher. */
static bool
is_same_incarnation(
    const struct wv_searcher *searcher, const struct wv_searcher_entry *entry)
{
	return searcher->started == entry->started &&
	    wv_string_equal(searcher->address, entry->address) &&
	    wv_string_equal(searcher->service->name, entry->service);
}

/* Applies the draining state of an entry; returns whether it has changed. */
static bool
update_draining(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, bool draining)
{
	bool changed = searcher->draining != draining;

	searcher->ready_at = 0;
	if (searcher->draining && !draining && now < registry->draining_until) {
		searcher->ready_at = registry->draining_until;
		registry->next = MIN(registry->next, searcher->ready_at);
		return false;
	}
	searcher->draining = draining;
	return changed;
}

/*
 * Replaces a searcher by a later incarnation. If it is at the same address, it
 * may have got the requests that were sent since its start, before its entry
 * was known: they count against what it may get while it is cold.
 */
static void
replace_searcher(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, const struct wv_searcher_entry *entry)
{
	struct wv_cold_credit credit = {0};

	if (wv_string_equal(searcher->address, entry->address) &&
	    wv_string_equal(searcher->service->name, entry->service))
		credit = searcher->cold_credit;
	remove_searcher(registry, searcher);
	add_searcher(registry, now, entry);
	wv_registry_find(registry, entry->id)->cold_credit = credit;
}

bool
wv_registry_update(struct wv_registry *registry, wv_msec now,
    const struct wv_searcher_entry *entry)
{
	struct wv_searcher *searcher = wv_registry_find(registry, entry->id);

	if (registry->listed != NULL && searcher != NULL)
		g_hash_table_add(registry->listed, searcher);
	if (searcher != NULL && entry->started < searcher->started)
		return false;
	if (searcher != NULL && is_same_incarnation(searcher, entry)) {
		bool changed =
		    update_draining(registry, now, searcher, entry->draining);

		searcher->removal_at = 0;
		searcher->slots = MAX(entry->slots, 1);
		if (!wv_string_equal(searcher->zone, entry->zone))
			set_zone(registry, searcher, entry->zone);
		changed |= apply_entry_cold(searcher, now, entry);
		return changed;
	}
	if (searcher != NULL)
		replace_searcher(registry, now, searcher, entry);
	else
		add_searcher(registry, now, entry);
	if (registry->listed != NULL)
		g_hash_table_add(
		    registry->listed, wv_registry_find(registry, entry->id));
	return true;
}

static void
remove_after_grace(
    struct wv_registry *registry, wv_msec now, struct wv_searcher *searcher)
{
	if (now >= registry->grace_until) {
		remove_searcher(registry, searcher);
		return;
	}
	if (searcher->removal_at == 0)
		searcher->removal_at = registry->grace_until;
	registry->next = MIN(registry->next, searcher->removal_at);
}

bool
wv_registry_remove(
    struct wv_registry *registry, wv_msec now, struct wv_string id)
{
	struct wv_searcher *searcher = wv_registry_find(registry, id);

	if (searcher == NULL)
		return false;
	remove_after_grace(registry, now, searcher);
	return true;
}

void
wv_registry_set_leaving(
    struct wv_registry *registry, wv_msec now, struct wv_searcher *searcher)
{
	searcher->leaving = true;
	statements_add(
	    registry->statements, now, searcher->id, searcher->started)
	    ->leaving = true;
	leaving_hints_add(registry->hints, now, searcher, 0);
}

bool
wv_registry_add_hint(struct wv_registry *registry, wv_msec now,
    const struct wv_leaving_hint *hint)
{
	struct wv_searcher *searcher =
	    wv_registry_find(registry, hint->searcher);

	return searcher != NULL && searcher->started == hint->started &&
	    leaving_hints_add(registry->hints, now, searcher, hint->age);
}

size_t
wv_registry_list_hints(struct wv_registry *registry, wv_msec now,
    struct wv_leaving_hint *list, size_t max)
{
	return leaving_hints_list(registry->hints, now, list, max);
}

void
wv_registry_set_rest(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, wv_msec rest)
{
	struct statement *statement = statements_add(
	    registry->statements, now, searcher->id, searcher->started);

	searcher->rests_until = MAX(searcher->rests_until, now + rest);
	statement->rests_until = searcher->rests_until;
}

void
wv_registry_set_cold(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, wv_msec sent_at, wv_msec left)
{
	if (searcher->service->cold_rate <= 0)
		return;
	if (!extend_cold(searcher, now, left) &&
	    sent_at >= searcher->cold_told_at) {
		searcher->cold_until = now + left;
		searcher->cold_told_at = now;
		searcher->health.cold_until = searcher->cold_until;
	}
	statements_add(
	    registry->statements, now, searcher->id, searcher->started)
	    ->cold_until = searcher->cold_until;
}

wv_msec
wv_searcher_cold_left(const struct wv_searcher *searcher, wv_msec now)
{
	const struct wv_registry_service *service = searcher->service;
	wv_msec until = MIN(
	    searcher->cold_until, searcher->cold_told_at + service->cold_time);

	return service->cold_rate > 0 ? MAX(until - now, 0) : 0;
}

/* A change of an evacuated zone, to be applied to its searchers. */
struct evacuation {
	wv_msec now;
	struct wv_string zone;
	bool evacuated;
};

static void
apply_evacuation(void *data, struct wv_searcher *searcher)
{
	const struct evacuation *change = data;

	if (!wv_string_equal(searcher->zone, change->zone))
		return;
	searcher->evacuated = change->evacuated;
	/* Nobody has sent to them, so nobody has heard that they are cold. */
	if (!change->evacuated)
		extend_cold(
		    searcher, change->now, searcher->service->cold_time);
}

bool
wv_registry_set_evacuated(struct wv_registry *registry, wv_msec now,
    struct wv_string zone, bool evacuated)
{
	char *name = g_strndup(zone.data, zone.length);
	struct evacuation change = {now, wv_string_borrow(name), evacuated};

	if (g_hash_table_contains(registry->evacuated, name) == evacuated) {
		g_free(name);
		return false;
	}
	/* The zone may be the name in the table, which is freed with it. */
	if (evacuated)
		g_hash_table_add(registry->evacuated, g_strdup(name));
	else
		g_hash_table_remove(registry->evacuated, name);
	wv_registry_foreach(registry, apply_evacuation, &change);
	g_free(name);
	return true;
}

void
wv_registry_list_evacuated(const struct wv_registry *registry, GPtrArray *zones)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, registry->evacuated);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(zones, name);
}

bool
wv_registry_service_is_evacuated(const struct wv_registry_service *service)
{
	bool evacuated = false;

	for (guint i = 0; i < service->searchers->len; i++) {
		const struct wv_searcher *searcher =
		    service->searchers->pdata[i];

		if (searcher->draining || searcher->leaving)
			continue;
		if (!searcher->evacuated)
			return false;
		evacuated = true;
	}
	return evacuated;
}

/* Whether a searcher takes requests, now or after it has rested. */
static bool
is_usable(const struct wv_searcher *searcher, wv_msec now)
{
	return !searcher->draining && !searcher->leaving &&
	    !searcher->evacuated && wv_health_is_usable(&searcher->health, now);
}

bool
wv_searcher_takes_requests(const struct wv_searcher *searcher, wv_msec now)
{
	return is_usable(searcher, now) && now >= searcher->rests_until;
}

wv_msec
wv_registry_service_rest(const struct wv_registry_service *service, wv_msec now)
{
	wv_msec shortest = WV_MSEC_NEVER;

	for (guint i = 0; i < service->searchers->len; i++) {
		const struct wv_searcher *searcher =
		    service->searchers->pdata[i];

		if (is_usable(searcher, now))
			shortest =
			    MIN(shortest, MAX(searcher->rests_until - now, 0));
	}
	return shortest;
}

void
wv_registry_begin_list(struct wv_registry *registry)
{
	if (registry->listed != NULL)
		g_hash_table_unref(registry->listed);
	registry->listed = g_hash_table_new(NULL, NULL);
}

void
wv_registry_end_list(struct wv_registry *registry, wv_msec now)
{
	GList *all = g_hash_table_get_values(registry->searchers);

	for (GList *item = all; item != NULL; item = item->next) {
		if (!g_hash_table_contains(registry->listed, item->data))
			remove_after_grace(registry, now, item->data);
	}
	g_list_free(all);
	g_hash_table_unref(registry->listed);
	registry->listed = NULL;
}

void
wv_registry_start_grace(
    struct wv_registry *registry, wv_msec now, wv_msec grace)
{
	registry->grace_until = MAX(registry->grace_until, now + grace);
}

void
wv_registry_start_era(struct wv_registry *registry, wv_msec now, wv_msec grace)
{
	wv_registry_start_grace(registry, now, grace);
	registry->draining_until = now + grace;
}

void
wv_registry_expect_entries(struct wv_registry *registry, wv_msec until)
{
	registry->expected_until = until;
}

bool
wv_registry_expects_entries(const struct wv_registry *registry, wv_msec now)
{
	return now < registry->expected_until;
}

/* Applies what is due for a searcher; it may be freed. */
static void
tick_searcher(
    struct wv_registry *registry, wv_msec now, struct wv_searcher *searcher)
{
	if (searcher->ready_at != 0 && now >= searcher->ready_at) {
		searcher->draining = false;
		searcher->ready_at = 0;
	}
	if (searcher->ready_at != 0)
		registry->next = MIN(registry->next, searcher->ready_at);
	if (searcher->removal_at == 0)
		return;
	if (now >= searcher->removal_at)
		remove_searcher(registry, searcher);
	else
		registry->next = MIN(registry->next, searcher->removal_at);
}

void
wv_registry_tick(struct wv_registry *registry, wv_msec now)
{
	GList *all;

	if (now < registry->next)
		return;
	registry->next = WV_MSEC_NEVER;
	all = g_hash_table_get_values(registry->searchers);
	for (GList *item = all; item != NULL; item = item->next)
		tick_searcher(registry, now, item->data);
	g_list_free(all);
}

wv_msec
wv_registry_next_tick(const struct wv_registry *registry)
{
	return registry->next;
}

void
wv_registry_release(struct wv_registry *registry, struct wv_searcher *searcher)
{
	searcher->outstanding--;
	if (searcher->removed && searcher->outstanding == 0)
		searcher_free(registry, searcher);
}

size_t
wv_registry_size(const struct wv_registry *registry)
{
	return g_hash_table_size(registry->searchers);
}

void
wv_registry_foreach(const struct wv_registry *registry,
    void (*visit)(void *data, struct wv_searcher *searcher), void *data)
{
	GHashTableIter iter;
	gpointer searcher;

	g_hash_table_iter_init(&iter, registry->searchers);
	while (g_hash_table_iter_next(&iter, NULL, &searcher))
		visit(data, searcher);
}

static void
count_in_zone(void *data, struct wv_searcher *searcher)
{
	GHashTable *counts = data;
	unsigned n =
	    GPOINTER_TO_UINT(g_hash_table_lookup(counts, searcher->zone.data));

	if (!searcher->draining && !searcher->leaving && !searcher->evacuated)
		g_hash_table_insert(
		    counts, searcher->zone.data, GUINT_TO_POINTER(n + 1));
}

void
wv_registry_list_main_zones(
    const struct wv_registry *registry, GPtrArray *zones)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned most = 0;
	GHashTableIter iter;
	gpointer name, count;

	wv_registry_foreach(registry, count_in_zone, counts);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, NULL, &count))
		most = MAX(most, GPOINTER_TO_UINT(count));
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		if (GPOINTER_TO_UINT(count) * MAIN_ZONE_PARTS >= most)
			g_ptr_array_add(zones, name);
	}
	g_hash_table_unref(counts);
}
