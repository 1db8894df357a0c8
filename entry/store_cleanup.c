/**
 * @file
 * Removes the entries of VMs that were removed for good from the store, and
 * writes entries again that are missing. src/removal.c decides when.
 */
#include "entry/store_sync_private.h"
#include "wisteriavane/removal.h"

static struct wv_removal *
removal_of(const struct follower *follower)
{
	return wv_peers_removal(follower->sync->deps.peers);
}

bool
store_is_cleanup(const struct follower *follower)
{
	return follower->phase == PHASE_REVISIONS ||
	    follower->phase == PHASE_REMOVE || follower->phase == PHASE_RESTORE;
}

/* Begins to register this VM anew, as at its start. */
static void
register_again(struct follower *follower, const char *why)
{
	follower->sync->register_at = WV_MSEC_NEVER;
	follower->found_self = false;
	follower->stale_lists = 0;
	follower->phase = PHASE_CREATE;
	store_set_timer(follower, 0);
	log_line(follower->sync->deps.log, LOG_CHANGE, "vm_entry_checked",
	    "\"why\":\"%s\"", why);
}

static void
log_call(const struct follower *follower, const char *what)
{
	const struct wv_removal_call *call = &follower->cleanup;
	char name[LOG_NAME_SIZE];

	log_line(follower->sync->deps.log, LOG_CHANGE, what,
	    "\"name\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
	    log_escape(call->vm.name, name, sizeof(name)), call->revision);
}

/* Begins the call that is due, if there is one. */
static void
begin_call(struct follower *follower)
{
	static const enum phase phases[] = {
	    [WV_REMOVAL_NONE] = PHASE_DONE,
	    [WV_REMOVAL_LIST] = PHASE_REVISIONS,
	    [WV_REMOVAL_REMOVE] = PHASE_REMOVE,
	    [WV_REMOVAL_RESTORE] = PHASE_RESTORE,
	};
	struct store_sync *sync = follower->sync;
	bool store_works =
	    sync->watching && !sync->lost && !store_sync_has_failed(sync);

	follower->cleanup = wv_removal_next_call(
	    removal_of(follower), store_now(sync), store_works);
	follower->phase = phases[follower->cleanup.kind];
	if (follower->phase != PHASE_DONE)
		store_set_timer(follower, 0);
}

void
store_cleanup(struct store_sync *sync)
{
	struct follower *follower = &sync->followers[STORE_VMS];

	if (follower->phase != PHASE_DONE || sync->stopping)
		return;
	if (wv_peers_take_isolation(sync->deps.peers))
		register_again(
		    follower, "no other VM was heard for a long time");
	else if (store_register_is_due(sync))
		register_again(follower, "the store's era has changed");
	else
		begin_call(follower);
}

static void
end_call(struct follower *follower, enum wv_removal_result result)
{
	wv_removal_end_call(
	    removal_of(follower), store_now(follower->sync), result);
	follower->phase = PHASE_DONE;
	g_free(follower->list_after);
	follower->list_after = NULL;
}

void
store_fail_cleanup(struct follower *follower, const char *why, unsigned status)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	bool refused = status == 429 || status == 503;

	wv_counter_add(&deps->metrics->store_failures, 1);
	log_line(deps->log, LOG_CHANGE, "vm_entry_call_failed",
	    "\"status\":%u,\"why\":\"%s\"", status, why);
	end_call(follower, refused ? WV_REMOVAL_REFUSED : WV_REMOVAL_UNKNOWN);
}

static bool
handle_removal_answer(struct follower *follower, unsigned status)
{
	if (status == 409) {
		log_call(follower, "vm_entry_kept");
		end_call(follower, WV_REMOVAL_CHANGED);
		return true;
	}
	if (status / 100 != 2 && status != 404)
		return false;
	if (status != 404)
		wv_counter_add(
		    &follower->sync->deps.metrics->vm_entries_removed, 1);
	log_call(
	    follower, status == 404 ? "vm_entry_absent" : "vm_entry_removed");
	end_call(follower, status == 404 ? WV_REMOVAL_ABSENT : WV_REMOVAL_DONE);
	return true;
}

bool
store_handle_cleanup_answer(
    struct follower *follower, const struct message *answer)
{
	unsigned status = answer->status;

	if (follower->phase == PHASE_REVISIONS)
		return status == 200 && store_apply_body(follower, answer);
	if (follower->phase == PHASE_REMOVE)
		return handle_removal_answer(follower, status);
	if (status / 100 != 2 && status != 409)
		return false;
	log_call(follower, "vm_entry_restored");
	end_call(follower, WV_REMOVAL_DONE);
	return true;
}

void
store_apply_revision(
    struct follower *follower, const struct store_object *object)
{
	if (!object->deleted &&
	    !wv_removal_apply_listed(
		removal_of(follower), object->name, object->revision))
		store_apply_vm(follower, object);
}

void
store_apply_revisions_page(
    struct follower *follower, const struct store_page *page)
{
	g_free(follower->list_after);
	follower->list_after = g_strdup(page->last_name);
	if (!page->more || page->last_name == NULL)
		end_call(follower, WV_REMOVAL_DONE);
}
