/**
 * @file
 * Synchronization with the store. Each VM reads the lists when it starts.
 * Afterwards a few VMs, the watchers, wait for changes at the store, and the
 * others read the changes from them.
 */
#include <math.h>
#include <string.h>

#include "entry/socket.h"
#include "entry/store_sync_private.h"

/**
 * Largest answer, and all that are being received, bytes. The largest are the
 * lists of all searchers that VMs send each other.
 */
#define MAX_ANSWER_BYTES (24u << 20)
#define MAX_ANSWERS_BYTES (48u << 20)
/** Timeout of a call, in addition to the time that a watch waits, ms. */
#define CALL_TIMEOUT 1000.0
/** Delay between two watch calls, so that changes arrive in batches, ms. */
#define BATCH_DELAY 300.0
/** First and longest delay after a failure, ms; it doubles. */
#define MIN_BACKOFF 100.0
#define MAX_BACKOFF 1000.0
/**
 * Failed calls in a row after which the store counts as failed for this VM, and
 * for how long, ms; meanwhile other VMs are preferred as watchers. A single
 * timeout is enough, because a second one would take as long again.
 */
#define MIN_FAILURES 2
#define FAILED_PERIOD 3000.0
/** Failed calls for a list after which it is requested from another VM. */
#define MAX_LIST_FAILURES 2
/**
 * Lists of VMs that may be seconds old, before one that may not; the delay
 * between them, ms.
 */
#define MAX_STALE_LISTS 3
#define STALE_LIST_DELAY 1000.0
/** Time after the start for which the list of VMs is awaited, ms. */
#define MAX_VMS_WAIT 4000.0
/** Time after the start for which a leaf awaits the lists of a hub, ms. */
#define MAX_HUB_WAIT 6000.0
/** Time in which a hub of the own zone gets changes that a peer has, ms. */
#define NEAR_SOURCE_WAIT 700.0
/** Interval between checks whether a hub is known, ms. */
#define HUB_CHECK_INTERVAL 50.0
/** Time after the start before this VM may become a watcher, ms. */
#define WATCH_START_DELAY 600.0
/** Shortest outage in which registrations may expire, ms. */
#define MIN_OUTAGE 400.0
/**
 * Time after an outage of the store for which missing searchers count as
 * present, ms: registrations that expired meanwhile are written again within
 * two seconds.
 */
#define OUTAGE_GRACE 2200.0

static const char *const kind_names[STORE_KIND_COUNT] = {
    "routes", "searchers", "vms"};

static void
set_timer(struct follower *follower, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(follower->timer, &time);
}

static void
close_client(struct follower *follower)
{
	if (follower->client != NULL)
		client_destroy(follower->client);
	follower->client = NULL;
	follower->calling = false;
}

/*
 * Returns whether changes of the kind are followed. VMs are listed once; later
 * ones report themselves.
 */
static bool
is_followed(const struct follower *follower)
{
	return follower->kind != STORE_VMS;
}

static enum wv_peer_data
peer_data_of(const struct follower *follower)
{
	return follower->kind == STORE_ROUTES ? WV_PEER_ROUTES
					      : WV_PEER_SEARCHERS;
}

/* Marks the store as failed for this VM and reports it to the others at once.
 */
static void
mark_store_failed(struct store_sync *sync)
{
	bool already_failed = store_sync_has_failed(sync);

	sync->failed_at = entry_now(sync->entry);
	if (!already_failed && sync->entry->reports != NULL)
		reports_send(sync->entry->reports);
}

/* Records a failed call of the store. */
static void
record_failure(struct follower *follower, const char *why, bool timed_out)
{
	struct store_sync *sync = follower->sync;
	struct entry *entry = sync->entry;

	wv_counter_add(&entry->metrics.store_failures, 1);
	if (++follower->failures >= MIN_FAILURES || timed_out)
		mark_store_failed(sync);
	if (sync->lost)
		return;
	sync->lost = true;
	sync->lost_at = entry_now(entry);
	log_line(entry->log, LOG_CHANGE, "store_lost",
	    "\"kind\":\"%s\",\"why\":\"%s\"", kind_names[follower->kind], why);
}

static void
begin_outage_grace(struct store_sync *sync)
{
	struct entry *entry = sync->entry;

	wv_registry_start_grace(
	    entry->registry, entry_now(entry), OUTAGE_GRACE);
	for (int i = 0; i < STORE_KIND_COUNT; i++)
		sync->followers[i].after_outage = true;
}

/* Records an answer of the store and thereby the end of an outage. */
static void
record_answer(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	struct entry *entry = sync->entry;
	wv_msec outage = entry_now(entry) - sync->lost_at;

	follower->failures = 0;
	if (!sync->lost)
		return;
	sync->lost = false;
	if (outage >= MIN_OUTAGE)
		begin_outage_grace(sync);
	log_line(entry->log, LOG_CHANGE, "store_regained",
	    "\"kind\":\"%s\",\"away_ms\":%.0f", kind_names[follower->kind],
	    outage);
}

/* Ends a failed call and schedules the next one. */
static void
fail_call(struct follower *follower, const char *why, bool timed_out)
{
	close_client(follower);
	if (!follower->from_peer)
		record_failure(follower, why, timed_out);
	else
		log_line(follower->sync->entry->log, LOG_CHANGE,
		    "peer_call_failed", "\"kind\":\"%s\",\"why\":\"%s\"",
		    kind_names[follower->kind], why);
	set_timer(follower, follower->backoff);
	follower->backoff = fmin(follower->backoff * 2, MAX_BACKOFF);
}

static void
restart_list(struct follower *follower)
{
	g_free(follower->list_after);
	follower->list_after = NULL;
	follower->phase = PHASE_LIST;
}

bool
store_reads_stale_list(const struct follower *follower)
{
	return !is_followed(follower) &&
	    follower->stale_lists < MAX_STALE_LISTS;
}

/* Handles the end of the list of VMs. */
static void
complete_vm_list(struct follower *follower)
{
	struct entry *entry = follower->sync->entry;

	if (!follower->found_self && store_reads_stale_list(follower)) {
		follower->stale_lists++;
		return;
	}
	follower->phase = follower->found_self ? PHASE_DONE : PHASE_REPLACE;
	entry->vms_listed = true;
	entry_update_limits(entry);
	if (entry->reports != NULL)
		reports_send(entry->reports);
}

/* Handles the end of a list. */
static void
complete_list(struct follower *follower)
{
	struct entry *entry = follower->sync->entry;

	g_free(follower->list_after);
	follower->list_after = NULL;
	if (!is_followed(follower)) {
		complete_vm_list(follower);
		return;
	}
	follower->phase = PHASE_FOLLOW;
	/*
	 * This VM missed changes before it read the list again; VMs that read
	 * from it may have missed them too.
	 */
	if (follower->listed)
		wv_change_log_announce_listing(follower->changes);
	follower->listed = true;
	if (follower->kind != STORE_SEARCHERS)
		return;
	wv_registry_end_list(entry->registry, entry_now(entry));
	entry->searchers_known = true;
	log_line(entry->log, LOG_CHANGE, "searchers_listed",
	    "\"searchers\":%zu,\"revision\":%" G_GUINT64_FORMAT,
	    wv_registry_size(entry->registry),
	    wv_change_log_revision(follower->changes));
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

static void
apply_list_page(struct follower *follower, const struct store_page *page)
{
	/*
	 * Later pages may have a newer revision. The first one's is kept, so
	 * that the changes in between are read afterwards.
	 */
	if (follower->list_after == NULL)
		wv_change_log_reset(follower->changes, page->revision);
	copy_listed_objects(follower);
	g_free(follower->list_after);
	follower->list_after = g_strdup(page->last_name);
	if (!page->more || page->last_name == NULL)
		complete_list(follower);
}

static void
log_outdated_answer(const struct follower *follower, const char *what)
{
	log_line(follower->sync->entry->log, LOG_CHANGE, "answer_behind",
	    "\"kind\":\"%s\",\"what\":\"%s\",\"from\":\"%s\","
	    "\"revision\":%" G_GUINT64_FORMAT ",\"known\":%" G_GUINT64_FORMAT,
	    kind_names[follower->kind], what, follower->address,
	    follower->page->revision,
	    wv_change_log_revision(follower->changes));
}

static void
apply_changes(struct follower *follower, const struct store_page *page)
{
	struct store_sync *sync = follower->sync;

	if (!wv_change_log_add(follower->changes, entry_now(sync->entry),
		page->revision, follower->received,
		follower->after_outage || page->after_outage)) {
		log_outdated_answer(follower, "changes");
		return;
	}
	follower->after_outage = false;
}

bool
store_is_outdated_list(const struct follower *follower)
{
	return follower->phase == PHASE_LIST && follower->from_peer &&
	    follower->list_after == NULL &&
	    follower->page->revision <
	    wv_change_log_revision(follower->changes);
}

/* Applies an answer's members; returns false for an outdated list. */
static bool
apply_page(struct follower *follower, const struct store_page *page)
{
	if (store_is_outdated_list(follower)) {
		log_outdated_answer(follower, "list");
		return false;
	}
	if (follower->phase == PHASE_LIST)
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
	struct entry *entry = follower->sync->entry;

	if (follower->kind != STORE_SEARCHERS)
		return;
	if (follower->from_peer &&
	    strstr(answer->body->str, entry->adapter->outage_mark) != NULL)
		wv_registry_start_grace(
		    entry->registry, entry_now(entry), OUTAGE_GRACE);
	if (follower->phase == PHASE_LIST && follower->list_after == NULL)
		wv_registry_begin_list(entry->registry);
}

/* Sends callers to the availability zones of most searchers. */
static void
update_caller_zones(struct entry *entry)
{
	GPtrArray *zones = g_ptr_array_new();

	wv_registry_list_main_zones(entry->registry, zones);
	wv_peers_set_caller_zones(entry->peers, zones);
	g_ptr_array_unref(zones);
}

/* Applies the body of an answer; returns false if it is invalid or outdated. */
static bool
apply_body(struct follower *follower, const struct message *answer)
{
	struct entry *entry = follower->sync->entry;
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	struct store_page page = {0};
	bool valid;

	prepare_registry(follower, answer);
	follower->received = wv_change_list_create();
	follower->page = &page;
	valid = entry->adapter->decode(
	    body, &page, store_apply_object, follower, &status);
	if (valid)
		valid = apply_page(follower, &page);
	else
		log_line(entry->log, LOG_CHANGE, "store_answer_unreadable",
		    "\"kind\":\"%s\",\"why\":\"%s\"",
		    kind_names[follower->kind], status.message);
	g_ptr_array_unref(follower->received);
	follower->received = NULL;
	follower->page = NULL;
	g_free(page.last_name);
	wv_dispatch_registry_changed(entry->dispatch, entry_now(entry));
	if (follower->kind == STORE_SEARCHERS)
		update_caller_zones(entry);
	entry_schedule_tick(entry);
	return valid;
}

/* Handles the answer to a write; returns false if the write failed. */
static bool
handle_write_answer(struct follower *follower, unsigned status)
{
	bool create = follower->phase == PHASE_CREATE;

	if (status / 100 != 2 && !(create && status == 409))
		return false;
	/*
	 * The registration is created before the list is read. So of two VMs
	 * that start at once, the one that is created later lists the other.
	 */
	follower->phase = create ? PHASE_LIST : PHASE_DONE;
	return true;
}

/* Handles an answer; returns false if the call has failed. */
static bool
handle_answer(struct follower *follower, const struct message *answer)
{
	if (store_is_write(follower))
		return handle_write_answer(follower, answer->status);
	if (answer->status == 410 && follower->phase == PHASE_LIST) {
		/* The other VM has no list itself: try the store again. */
		follower->failures = 0;
		return false;
	}
	if (answer->status == 410) {
		restart_list(follower);
		/* Read the list from a VM too: one that is ahead has it. */
		if (follower->from_peer)
			follower->failures = MAX_LIST_FAILURES;
		return true;
	}
	return answer->status == 200 && apply_body(follower, answer);
}

/*
 * Schedules the next call, if there is one. A VM that is not a watcher makes
 * none until another VM reports newer changes.
 *
 * was_following: the call that ended was one for changes
 */
static void
schedule_next_call(struct follower *follower, bool was_following)
{
	struct store_sync *sync = follower->sync;

	event_del(follower->timer);
	if (follower->phase == PHASE_DONE)
		close_client(follower);
	else if (follower->stale_lists > 0 && follower->list_after == NULL)
		set_timer(follower, STALE_LIST_DELAY);
	else if (follower->phase != PHASE_FOLLOW)
		set_timer(follower, 0);
	else if (sync->watching)
		set_timer(follower, was_following ? BATCH_DELAY : 0);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct follower *follower = data;
	bool was_following = follower->phase == PHASE_FOLLOW;
	bool valid;

	follower->calling = false;
	valid = handle_answer(follower, answer);
	message_destroy(answer);
	if (!valid) {
		fail_call(follower, "refused or unreadable", false);
		return true;
	}
	follower->backoff = MIN_BACKOFF;
	if (!follower->from_peer)
		record_answer(follower);
	if (!client_is_reusable(client))
		close_client(follower);
	schedule_next_call(follower, was_following);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	struct follower *follower = data;

	(void)client;
	if (follower->calling)
		fail_call(follower,
		    end == CLIENT_REFUSED ? "no connection"
					  : "connection ended",
		    false);
	else
		close_client(follower);
}

static const struct client_ops ops = {on_answer, on_end};

/* Whether a list is to be read from a hub, as by a leaf that has started. */
static bool
awaits_hub(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;

	return is_followed(follower) && follower->phase == PHASE_LIST &&
	    !follower->listed && !wv_peers_is_hub(entry->peers) &&
	    entry_now(entry) - entry->started_at < MAX_HUB_WAIT;
}

/* Whether this VM does not know yet whether it is a hub. */
static bool
awaits_vms(const struct follower *follower)
{
	const struct entry *entry = follower->sync->entry;

	return is_followed(follower) && !entry->vms_listed &&
	    !follower->sync->lost &&
	    entry_now(entry) - entry->started_at < MAX_VMS_WAIT;
}

/*
 * Returns the address IP:PORT of another VM to call instead of the store, or ""
 * to call the store. Borrowed.
 */
static const char *
find_peer(const struct follower *follower)
{
	struct entry *entry = follower->sync->entry;
	bool list = follower->phase == PHASE_LIST;

	if (!is_followed(follower) || store_is_write(follower) ||
	    (list && !awaits_hub(follower) &&
		follower->failures < MAX_LIST_FAILURES) ||
	    (!list && follower->sync->watching &&
		!store_sync_has_failed(follower->sync)))
		return "";
	return wv_peers_find_ahead(entry->peers, entry_now(entry),
	    peer_data_of(follower), wv_change_log_revision(follower->changes))
	    .data;
}

/* Sends the next call to an address IP:PORT. */
static void
send_call(struct follower *follower, const char *address)
{
	struct entry *entry = follower->sync->entry;
	bool waits = !follower->from_peer && follower->phase == PHASE_FOLLOW;
	GString *request = store_compose_request(follower);
	struct wv_string bytes = {request->str, request->len};

	if (follower->address == NULL ||
	    !g_str_equal(follower->address, address)) {
		close_client(follower);
		g_free(follower->address);
		follower->address = g_strdup(address);
	}
	if (follower->client == NULL) {
		follower->client =
		    client_create(entry->base, address, &ops, follower);
		client_limit_memory(follower->client, &follower->sync->memory);
	}
	follower->calling = true;
	if (!follower->from_peer)
		wv_counter_add(&entry->metrics.store_calls, 1);
	client_send(follower->client, bytes, false);
	set_timer(follower, CALL_TIMEOUT + (waits ? STORE_WATCH_WAIT : 0));
	g_string_free(request, TRUE);
}

/* Makes the next call, unless only watchers make it. */
static void
make_next_call(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	const char *peer = find_peer(follower);

	follower->awaits_near = false;
	if (awaits_vms(follower) || (awaits_hub(follower) && peer[0] == '\0')) {
		set_timer(follower, HUB_CHECK_INTERVAL);
		return;
	}
	follower->from_peer = peer[0] != '\0';
	if (follower->from_peer)
		send_call(follower, peer);
	else if (follower->phase != PHASE_FOLLOW || sync->watching)
		send_call(follower, sync->entry->settings->store);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct follower *follower = data;

	(void)fd;
	(void)what;
	if (follower->calling)
		fail_call(follower, "no answer in time", true);
	else
		make_next_call(follower);
}

uint64_t
store_sync_revision(const struct store_sync *sync, enum wv_peer_data state)
{
	enum store_kind kind =
	    state == WV_PEER_ROUTES ? STORE_ROUTES : STORE_SEARCHERS;

	return wv_change_log_last_change(sync->followers[kind].changes);
}

bool
store_sync_has_failed(const struct store_sync *sync)
{
	return entry_now(sync->entry) - sync->failed_at < FAILED_PERIOD;
}

/*
 * Returns whether a follower may call another VM now. If the store has failed,
 * this may interrupt a call of the store or a backoff.
 */
static bool
may_call_peer(const struct follower *follower)
{
	if (follower->phase != PHASE_FOLLOW)
		return false;
	if (store_sync_has_failed(follower->sync))
		return !follower->calling || !follower->from_peer;
	return !follower->sync->watching && !follower->calling &&
	    (follower->awaits_near ||
		!event_pending(follower->timer, EV_TIMEOUT, NULL));
}

/* Whether changes are not read from a peer yet, but later from a nearer one. */
static bool
awaits_near_source(
    const struct store_sync *sync, const struct wv_peer_report *report)
{
	const struct entry *entry = sync->entry;

	return !store_sync_has_failed(sync) &&
	    !wv_string_equal(
		report->zone, wv_string_borrow(entry->settings->zone)) &&
	    wv_peers_has_near_source(entry->peers, entry_now(entry));
}

static void
await_near_source(struct follower *follower)
{
	if (follower->awaits_near)
		return;
	follower->awaits_near = true;
	set_timer(follower, NEAR_SOURCE_WAIT);
}

void
store_sync_compare_revisions(
    struct store_sync *sync, const struct wv_peer_report *report)
{
	bool wait = awaits_near_source(sync, report);

	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		if (!is_followed(follower) || !may_call_peer(follower) ||
		    report->revisions[peer_data_of(follower)] <=
			wv_change_log_revision(follower->changes))
			continue;
		if (wait) {
			await_near_source(follower);
			continue;
		}
		if (follower->calling)
			close_client(follower);
		make_next_call(follower);
	}
}

void
store_sync_update_role(struct store_sync *sync)
{
	struct entry *entry = sync->entry;
	wv_msec now = entry_now(entry);
	struct wv_peer_role role =
	    wv_peers_get_role(entry->peers, now, store_sync_has_failed(sync));

	if (now - entry->started_at < WATCH_START_DELAY ||
	    role.is_watcher == sync->watching)
		return;
	sync->watching = role.is_watcher;
	log_line(entry->log, LOG_CHANGE, "store_watching",
	    "\"watching\":%s,\"vms\":%u", sync->watching ? "true" : "false",
	    role.vms);
	for (int i = 0; i < STORE_KIND_COUNT && sync->watching; i++) {
		struct follower *follower = &sync->followers[i];

		if (follower->phase == PHASE_FOLLOW && !follower->calling)
			set_timer(follower, 0);
	}
}

struct store_sync *
store_sync_create(struct entry *entry)
{
	struct store_sync *sync = g_new0(struct store_sync, 1);

	sync->entry = entry;
	sync->failed_at = -WV_MSEC_NEVER;
	sync->memory.max_answer = MAX_ANSWER_BYTES;
	sync->memory.max_total = MAX_ANSWERS_BYTES;
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		follower->sync = sync;
		follower->kind = (enum store_kind)i;
		follower->phase = i == STORE_VMS ? PHASE_CREATE : PHASE_LIST;
		follower->backoff = MIN_BACKOFF;
		follower->changes = wv_change_log_create();
		follower->timer =
		    event_new(entry->base, -1, 0, on_timer, follower);
		set_timer(follower, 0);
	}
	return sync;
}

void
store_sync_destroy(struct store_sync *sync)
{
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		close_client(follower);
		event_free(follower->timer);
		wv_change_log_destroy(follower->changes);
		g_free(follower->address);
		g_free(follower->list_after);
	}
	g_free(sync);
}
