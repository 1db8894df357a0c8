/**
 * @file
 * Applies answers of the store or of another VM: pages of lists and sets of
 * changes.
 */
#include <string.h>

#include "entry/store_sync_private.h"

/** Lists of VMs that may be seconds old, before one that may not. */
#define MAX_STALE_LISTS 3

void
store_restart_list(struct follower *follower)
{
	g_free(follower->list_after);
	follower->list_after = NULL;
	follower->phase = PHASE_LIST;
}

bool
store_reads_stale_list(const struct follower *follower)
{
	return !store_is_followed(follower) &&
	    follower->stale_lists < MAX_STALE_LISTS;
}

/* Handles the end of the list of VMs. */
static void
complete_vm_list(struct follower *follower)
{
	struct store_sync *sync = follower->sync;

	if (!follower->found_self && store_reads_stale_list(follower)) {
		follower->stale_lists++;
		return;
	}
	follower->phase = follower->found_self ? PHASE_DONE : PHASE_REPLACE;
	sync->vms_listed = true;
	sync->ops->vms_listed(sync->data);
	store_end_waits(sync);
}

/* Whether this VM was registered before its process started. */
static bool
is_returning(const struct store_sync *sync)
{
	const struct follower *vms = &sync->followers[STORE_VMS];

	return vms->found_self && vms->stale_lists == 0;
}

/*
 * Handles the end of a list.
 *
 * whole: whether it was read to its end, so that what is not in it is missing
 */
static void
complete_list(struct follower *follower, bool whole)
{
	struct store_sync *sync = follower->sync;
	const struct store_sync_deps *deps = &sync->deps;
	uint64_t position = wv_change_log_position(follower->changes);

	g_free(follower->list_after);
	follower->list_after = NULL;
	if (!store_is_followed(follower)) {
		complete_vm_list(follower);
		return;
	}
	follower->phase = PHASE_FOLLOW;
	/*
	 * This VM missed changes before it read the list again; VMs that read
	 * from it may have missed them too. So may those that go on while this
	 * one restarts: the only VMs with a change may all be killed.
	 */
	if (follower->listed || is_returning(sync))
		wv_change_log_announce_listing(follower->changes);
	if (!follower->listed)
		follower->listed_by_store = !follower->from_peer;
	if (!follower->listed && !follower->from_peer &&
	    follower->kind == STORE_ROUTES)
		follower->confirms = wv_position_era(position) > 0;
	follower->listed = true;
	if (follower->kind == STORE_EVACUATIONS) {
		store_apply_evacuations_list(follower, whole);
		sync->ops->evacuations_listed(sync->data);
	}
	if (follower->kind != STORE_SEARCHERS)
		return;
	if (whole)
		wv_registry_end_list(deps->registry, store_now(sync));
	sync->ops->searchers_listed(sync->data);
	log_line(deps->log, LOG_CHANGE, "searchers_listed",
	    "\"era\":%" G_GUINT64_FORMAT ",\"searchers\":%zu,"
	    "\"revision\":%" G_GUINT64_FORMAT,
	    wv_position_era(position), wv_registry_size(deps->registry),
	    wv_position_revision(position));
}

static void
copy_listed_objects(struct follower *follower)
{
	for (guint i = 0; i < follower->received->len; i++) {
		struct wv_change *change = follower->received->pdata[i];

		wv_change_log_put_object(follower->changes,
		    wv_string_borrow(change->name), change->text);
		change->text = NULL;
	}
}

/*
 * Returns whether no further page of a list can be requested though it has one:
 * no object of this page has a readable name, or the page ends where it began.
 */
static bool
is_list_cut(const struct follower *follower, const struct store_page *page)
{
	return page->more &&
	    (page->last_name == NULL ||
		g_strcmp0(page->last_name, follower->list_after) == 0);
}

static void
log_cut_list(const struct follower *follower)
{
	char after[LOG_NAME_SIZE];
	const char *name =
	    follower->list_after == NULL ? "" : follower->list_after;

	log_line(follower->sync->deps.log, LOG_CHANGE, "list_cut",
	    "\"kind\":\"%s\",\"from\":\"%s\",\"after\":\"%s\"",
	    store_kind_name(follower->kind), follower->address,
	    log_escape(wv_string_borrow(name), after, sizeof(after)));
}

/* The store has returned all that there is of the routes. */
static void
confirm_routes(struct follower *follower)
{
	if (follower->kind == STORE_ROUTES && !follower->from_peer)
		wv_confirmation_by_store(
		    &follower->sync->routes_confirmed, follower->sent_at);
}

static void
apply_list_page(struct follower *follower, const struct store_page *page)
{
	bool cut = is_list_cut(follower, page);

	/*
	 * Later pages may have a newer revision. The first one's is kept, so
	 * that the changes in between are read afterwards.
	 */
	if (follower->list_after == NULL)
		wv_change_log_reset(
		    follower->changes, store_page_position(follower));
	if (follower->kind == STORE_EVACUATIONS)
		store_note_evacuations(follower, follower->list_after == NULL);
	copy_listed_objects(follower);
	if (cut)
		log_cut_list(follower);
	/* Of several pages, the first may be old by now. */
	if (follower->list_after == NULL && !page->more)
		confirm_routes(follower);
	g_free(follower->list_after);
	follower->list_after = g_strdup(page->last_name);
	if (!page->more || cut)
		complete_list(follower, !cut);
}

static void
log_outdated_answer(const struct follower *follower, const char *what)
{
	uint64_t known = wv_change_log_position(follower->changes);

	log_line(follower->sync->deps.log, LOG_CHANGE, "answer_behind",
	    "\"kind\":\"%s\",\"what\":\"%s\",\"from\":\"%s\","
	    "\"era\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
	    ",\"known_era\":%" G_GUINT64_FORMAT ",\"known\":%" G_GUINT64_FORMAT,
	    store_kind_name(follower->kind), what, follower->address,
	    follower->answer_era, follower->page->revision,
	    wv_position_era(known), wv_position_revision(known));
}

static void
apply_changes(struct follower *follower, const struct store_page *page)
{
	struct store_sync *sync = follower->sync;

	if (!wv_change_log_add(follower->changes, store_now(sync),
		store_page_position(follower), follower->received,
		follower->after_outage || page->after_outage)) {
		log_outdated_answer(follower, "changes");
		return;
	}
	confirm_routes(follower);
	if (follower->kind == STORE_EVACUATIONS)
		store_apply_evacuations_changes(follower);
	follower->after_outage = false;
}

bool
store_is_outdated_list(const struct follower *follower)
{
	return follower->phase == PHASE_LIST && follower->from_peer &&
	    follower->list_after == NULL &&
	    store_page_position(follower) <
	    wv_change_log_position(follower->changes);
}

/*
 * Counts and logs the objects of an answer whose names can't be read. They name
 * no searcher, routes or VM.
 */
static void
report_unnamed(const struct follower *follower, const struct store_page *page)
{
	const struct store_sync_deps *deps = &follower->sync->deps;

	if (page->unnamed == 0)
		return;
	wv_counter_add(&deps->metrics->objects_unreadable, page->unnamed);
	log_line(deps->log, LOG_CHANGE, "objects_unnamed",
	    "\"kind\":\"%s\",\"from\":\"%s\",\"objects\":%u,\"why\":\"no "
	    "readable name\",\"revision\":%" G_GUINT64_FORMAT,
	    store_kind_name(follower->kind), follower->address, page->unnamed,
	    page->revision);
}

/* Applies an answer's members; returns false for an outdated list. */
static bool
apply_page(struct follower *follower, const struct store_page *page)
{
	report_unnamed(follower, page);
	if (store_is_outdated_list(follower)) {
		log_outdated_answer(follower, "list");
		return false;
	}
	if (follower->phase == PHASE_REVISIONS)
		store_apply_revisions_page(follower, page);
	else if (follower->phase == PHASE_LIST)
		apply_list_page(follower, page);
	else
		apply_changes(follower, page);
	return true;
}

/*
 * Prepares the registry for the objects of an answer: begins a list, and begins
 * the grace period before they are applied if another VM noticed an outage.
 */
static void
prepare_registry(struct follower *follower, const struct message *answer)
{
	const struct store_sync_deps *deps = &follower->sync->deps;

	if (follower->kind != STORE_SEARCHERS)
		return;
	if (follower->from_peer &&
	    strstr(answer->body->str, deps->adapter->outage_mark) != NULL)
		wv_registry_start_grace(
		    deps->registry, store_now(follower->sync), OUTAGE_GRACE);
	if (follower->phase == PHASE_LIST && follower->list_after == NULL)
		wv_registry_begin_list(deps->registry);
}

/* Sends callers to the availability zones of most searchers. */
static void
update_caller_zones(const struct store_sync_deps *deps)
{
	GPtrArray *zones = g_ptr_array_new();

	wv_registry_list_main_zones(deps->registry, zones);
	wv_peers_set_caller_zones(deps->peers, zones);
	g_ptr_array_unref(zones);
}

bool
store_apply_body(struct follower *follower, const struct message *answer)
{
	struct store_sync *sync = follower->sync;
	const struct store_sync_deps *deps = &sync->deps;
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	struct store_page page = {0};
	char why[LOG_NAME_SIZE];
	bool valid;

	prepare_registry(follower, answer);
	follower->received = wv_change_list_create();
	follower->page = &page;
	valid = deps->adapter->decode(
	    body, &page, store_apply_object, follower, &status);
	if (valid)
		valid = apply_page(follower, &page);
	else
		log_line(deps->log, LOG_CHANGE, "store_answer_unreadable",
		    "\"kind\":\"%s\",\"why\":\"%s\"",
		    store_kind_name(follower->kind),
		    log_escape(
			wv_string_borrow(status.message), why, sizeof(why)));
	g_ptr_array_unref(follower->received);
	follower->received = NULL;
	follower->page = NULL;
	g_free(page.last_name);
	sync->ops->registry_changed(sync->data);
	if (follower->kind == STORE_SEARCHERS ||
	    follower->kind == STORE_EVACUATIONS)
		update_caller_zones(deps);
	return valid;
}
