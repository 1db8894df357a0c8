/**
 * @file
 * Applies the evacuations in the store to the registry. An object's name is the
 * zone; its content is not read, so that one that can't be read evacuates too.
 */
#include "entry/store_sync_private.h"

/* Begins or ends the evacuation of a zone, and records a change. */
static void
set_evacuated(struct follower *follower, const char *zone, bool evacuated)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	char name[LOG_NAME_SIZE];

	if (!wv_registry_set_evacuated(deps->registry,
		store_now(follower->sync), wv_string_borrow(zone), evacuated))
		return;
	wv_counter_add(evacuated ? &deps->metrics->evacuations_begun
				 : &deps->metrics->evacuations_ended,
	    1);
	log_line(deps->log, LOG_CHANGE,
	    evacuated ? "zone_evacuated" : "zone_returned",
	    "\"zone\":\"%s\",\"from\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
	    log_escape(wv_string_borrow(zone), name, sizeof(name)),
	    follower->address, follower->page->revision);
}

void
store_note_evacuations(struct follower *follower, bool first)
{
	GHashTable *zones = follower->sync->listed_zones;

	if (first)
		g_hash_table_remove_all(zones);
	for (guint i = 0; i < follower->received->len; i++) {
		const struct wv_change *change = follower->received->pdata[i];

		if (!change->deleted)
			g_hash_table_add(zones, g_strdup(change->name));
	}
}

/* Logs that an evacuation is kept though a list lacks it. */
static void
log_kept(const struct follower *follower, const char *zone, bool whole)
{
	char name[LOG_NAME_SIZE];

	log_line(follower->sync->deps.log, LOG_CHANGE, "zone_kept_evacuated",
	    "\"zone\":\"%s\",\"from\":\"%s\",\"whole\":%s,"
	    "\"revision\":%" G_GUINT64_FORMAT ",\"known\":%" G_GUINT64_FORMAT,
	    log_escape(wv_string_borrow(zone), name, sizeof(name)),
	    follower->address, whole ? "true" : "false",
	    follower->page->revision,
	    wv_position_revision(follower->sync->evacuations_at));
}

/*
 * Ends the evacuations that a list lacks, unless the list proves nothing. A
 * store that has come back from an older copy lacks those that the operator has
 * not written again yet; so the list is read once more after that time.
 */
static void
end_missing(struct follower *follower, bool whole)
{
	struct store_sync *sync = follower->sync;
	bool proves = whole && !store_is_era_grace(sync) &&
	    wv_change_log_position(follower->changes) >= sync->evacuations_at;
	GPtrArray *zones = g_ptr_array_new();

	wv_registry_list_evacuated(sync->deps.registry, zones);
	for (guint i = 0; i < zones->len; i++) {
		char *zone;

		if (g_hash_table_contains(sync->listed_zones, zones->pdata[i]))
			continue;
		/* The registry frees its name when the evacuation ends. */
		zone = g_strdup(zones->pdata[i]);
		if (proves)
			set_evacuated(follower, zone, false);
		else
			log_kept(follower, zone, whole);
		g_free(zone);
		sync->evacuations_doubtful |= store_is_era_grace(sync);
	}
	g_ptr_array_unref(zones);
}

void
store_recheck_evacuations(struct store_sync *sync)
{
	struct follower *follower = &sync->followers[STORE_EVACUATIONS];

	if (!sync->evacuations_doubtful || store_is_era_grace(sync) ||
	    follower->phase != PHASE_FOLLOW)
		return;
	sync->evacuations_doubtful = false;
	store_close_client(follower);
	store_restart_list(follower);
	store_set_timer(follower, 0);
}

static void
note_applied(struct follower *follower)
{
	struct store_sync *sync = follower->sync;

	sync->evacuations_at = MAX(
	    sync->evacuations_at, wv_change_log_position(follower->changes));
}

void
store_apply_evacuations_list(struct follower *follower, bool whole)
{
	GHashTableIter iter;
	gpointer zone;

	end_missing(follower, whole);
	g_hash_table_iter_init(&iter, follower->sync->listed_zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		set_evacuated(follower, zone, true);
	g_hash_table_remove_all(follower->sync->listed_zones);
	note_applied(follower);
}

void
store_apply_evacuations_changes(struct follower *follower)
{
	bool proves = wv_change_log_position(follower->changes) >=
	    follower->sync->evacuations_at;

	for (guint i = 0; i < follower->received->len; i++) {
		const struct wv_change *change = follower->received->pdata[i];

		if (!change->deleted || proves)
			set_evacuated(follower, change->name, !change->deleted);
		else
			log_kept(follower, change->name, true);
	}
	note_applied(follower);
}
