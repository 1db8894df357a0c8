/**
 * @file
 * Follows the store. Each VM reads lists at its start; afterwards a few VMs
 * wait for changes at the store, and the others read the changes from them.
 */
#include <math.h>
#include <string.h>

#include "entry/socket.h"
#include "entry/store_sync_private.h"

/** Time for the answer of a call, beyond what it waits for, ms. */
#define CALL_TIMEOUT 1000.0
/** Time in which changes gather before the next call, ms. */
#define GATHER 300.0
/** First and longest delay after a failure, ms. */
#define BACKOFF_FIRST 100.0
#define BACKOFF_MOST 1000.0
/**
 * Calls that fail in a row before other VMs go first, and for how long, ms.
 * One without an answer in time is enough: a second would take as long again.
 */
#define FAILURES_LEAST 2
#define FAILED_FOR 3000.0
/** Failed lists after which the list of another VM is read. */
#define LIST_FAILURES 2
/** Time after the start in which nothing is watched, ms. */
#define START_UP 600.0
/** An outage shorter than this one makes no entries lapse, ms. */
#define OUTAGE_LEAST 400.0
/**
 * Time after the store's return for which missing searchers count as present,
 * ms: entries that lapsed meanwhile are written again within two seconds.
 */
#define RETURN_GRACE 2200.0

static const char *const kind_names[STORE_KIND_COUNT] = {
    "routes", "searchers", "vms"};

static void
set_timer(struct follower *follower, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(follower->timer, &time);
}

static void
hang_up(struct follower *follower)
{
	if (follower->client != NULL)
		client_destroy(follower->client);
	follower->client = NULL;
	follower->calling = false;
}

static bool
is_followed(const struct follower *follower)
{
	return follower->kind != STORE_VMS;
}

static enum wv_peer_state
state_of(const struct follower *follower)
{
	return follower->kind == STORE_ROUTES ? WV_PEER_ROUTES
					      : WV_PEER_SEARCHERS;
}

/* From now on other VMs go first; they are told at once. */
static void
note_failing(struct store_sync *sync)
{
	bool known = store_sync_failed(sync);

	sync->failed_at = entry_now(sync->entry);
	if (!known && sync->entry->reports != NULL)
		reports_send(sync->entry->reports);
}

static void
note_failure(struct follower *follower, const char *why, bool silent)
{
	struct store_sync *sync = follower->sync;
	struct entry *entry = sync->entry;

	wv_counter_add(&entry->metrics.store_failures, 1);
	if (++follower->failures >= FAILURES_LEAST || silent)
		note_failing(sync);
	if (sync->lost)
		return;
	sync->lost = true;
	sync->lost_at = entry_now(entry);
	log_line(entry->log, LOG_CHANGE, "store_lost",
	    "\"kind\":\"%s\",\"why\":\"%s\"", kind_names[follower->kind], why);
}

static void
note_outage(struct store_sync *sync)
{
	struct entry *entry = sync->entry;

	wv_fleet_store_back(entry->fleet, entry_now(entry), RETURN_GRACE);
	for (int i = 0; i < STORE_KIND_COUNT; i++)
		sync->followers[i].after_outage = true;
}

/* The store has answered: it is back if it was lost. */
static void
note_answer(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	struct entry *entry = sync->entry;
	wv_msec away = entry_now(entry) - sync->lost_at;

	follower->failures = 0;
	if (!sync->lost)
		return;
	sync->lost = false;
	if (away >= OUTAGE_LEAST)
		note_outage(sync);
	log_line(entry->log, LOG_CHANGE, "store_regained",
	    "\"kind\":\"%s\",\"away_ms\":%.0f", kind_names[follower->kind],
	    away);
}

static void
fail(struct follower *follower, const char *why, bool silent)
{
	hang_up(follower);
	if (!follower->from_peer)
		note_failure(follower, why, silent);
	else
		log_line(follower->sync->entry->log, LOG_CHANGE,
		    "peer_call_failed", "\"kind\":\"%s\",\"why\":\"%s\"",
		    kind_names[follower->kind], why);
	set_timer(follower, follower->backoff);
	follower->backoff = fmin(follower->backoff * 2, BACKOFF_MOST);
}

static void
begin_list(struct follower *follower)
{
	g_free(follower->after);
	follower->after = NULL;
	follower->phase = PHASE_LIST;
}

/* The whole list has been read. */
static void
end_list(struct follower *follower)
{
	struct entry *entry = follower->sync->entry;

	g_free(follower->after);
	follower->after = NULL;
	if (!is_followed(follower)) {
		follower->phase =
		    follower->found_self ? PHASE_DONE : PHASE_REPLACE;
		entry->vms_listed = true;
		entry_set_terms(entry);
		return;
	}
	follower->phase = PHASE_FOLLOW;
	/* What was missed may be missing at others as well. */
	if (follower->listed)
		wv_changes_announce(follower->changes);
	follower->listed = true;
	if (follower->kind != STORE_SEARCHERS)
		return;
	wv_fleet_list_end(entry->fleet, entry_now(entry));
	entry->searchers_known = true;
	log_line(entry->log, LOG_CHANGE, "searchers_listed",
	    "\"searchers\":%zu,\"revision\":%" G_GUINT64_FORMAT,
	    wv_fleet_size(entry->fleet),
	    wv_changes_revision(follower->changes));
}

static void
keep_listed(struct follower *follower)
{
	for (guint i = 0; i < follower->list->len; i++) {
		struct wv_change *change = follower->list->pdata[i];

		wv_changes_put(follower->changes,
		    wv_string_borrow(change->name), change->text);
		change->text = NULL;
	}
}

static void
take_list_page(struct follower *follower, const struct store_page *page)
{
	/* A later page may be newer; changes in between are followed. */
	if (follower->after == NULL)
		wv_changes_reset(follower->changes, page->revision);
	keep_listed(follower);
	g_free(follower->after);
	follower->after = g_strdup(page->last_name);
	if (!page->more || page->last_name == NULL)
		end_list(follower);
}

static void
log_behind(const struct follower *follower, const char *what)
{
	log_line(follower->sync->entry->log, LOG_CHANGE, "answer_behind",
	    "\"kind\":\"%s\",\"what\":\"%s\",\"from\":\"%s\","
	    "\"revision\":%" G_GUINT64_FORMAT ",\"known\":%" G_GUINT64_FORMAT,
	    kind_names[follower->kind], what, follower->address,
	    follower->page->revision, wv_changes_revision(follower->changes));
}

static void
take_changes(struct follower *follower, const struct store_page *page)
{
	struct store_sync *sync = follower->sync;

	if (!wv_changes_add(follower->changes, entry_now(sync->entry),
		page->revision, follower->list,
		follower->after_outage || page->after_outage)) {
		log_behind(follower, "changes");
		return;
	}
	follower->after_outage = false;
}

bool
store_list_is_behind(const struct follower *follower)
{
	return follower->phase == PHASE_LIST && follower->from_peer &&
	    follower->after == NULL &&
	    follower->page->revision < wv_changes_revision(follower->changes);
}

/* Takes what was read; returns false for a list that is of no use. */
static bool
take_page(struct follower *follower, const struct store_page *page)
{
	if (store_list_is_behind(follower)) {
		log_behind(follower, "list");
		return false;
	}
	if (follower->phase == PHASE_LIST)
		take_list_page(follower, page);
	else
		take_changes(follower, page);
	return true;
}

/* Before objects are taken: an outage that another VM has seen. */
static void
prepare(struct follower *follower, const struct message *answer)
{
	struct entry *entry = follower->sync->entry;

	if (follower->kind != STORE_SEARCHERS)
		return;
	if (follower->from_peer &&
	    strstr(answer->body->str, entry->dialect->outage_mark) != NULL)
		wv_fleet_store_back(
		    entry->fleet, entry_now(entry), RETURN_GRACE);
	if (follower->phase == PHASE_LIST && follower->after == NULL)
		wv_fleet_list_begin(entry->fleet);
}

/* Takes the body of an answer; returns whether it could be read. */
static bool
take_body(struct follower *follower, const struct message *answer)
{
	struct entry *entry = follower->sync->entry;
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	struct store_page page = {0};
	bool good;

	prepare(follower, answer);
	follower->list = wv_change_list_create();
	follower->page = &page;
	good = entry->dialect->decode(
	    body, &page, store_take_object, follower, &status);
	if (good)
		good = take_page(follower, &page);
	else
		log_line(entry->log, LOG_CHANGE, "store_answer_unreadable",
		    "\"kind\":\"%s\",\"why\":\"%s\"",
		    kind_names[follower->kind], status.message);
	g_ptr_array_unref(follower->list);
	follower->list = NULL;
	follower->page = NULL;
	g_free(page.last_name);
	wv_dispatch_fleet_changed(entry->dispatch, entry_now(entry));
	entry_arm(entry);
	return good;
}

static bool
take_write(struct follower *follower, unsigned status)
{
	bool create = follower->phase == PHASE_CREATE;

	if (status / 100 != 2 && !(create && status == 409))
		return false;
	/* Of two VMs that start at once, the later one lists the other. */
	follower->phase = create ? PHASE_LIST : PHASE_DONE;
	return true;
}

static bool
take_answer(struct follower *follower, const struct message *answer)
{
	if (store_is_write(follower))
		return take_write(follower, answer->status);
	if (answer->status == 410 && follower->phase == PHASE_LIST) {
		/* A VM without a list itself: the store is asked first. */
		follower->failures = 0;
		return false;
	}
	if (answer->status == 410) {
		begin_list(follower);
		/* The VM that is ahead has the list as well. */
		if (follower->from_peer)
			follower->failures = LIST_FAILURES;
		return true;
	}
	return answer->status == 200 && take_body(follower, answer);
}

/* Sets the timer of the next call, if there is to be one. */
static void
plan_next(struct follower *follower, bool followed)
{
	struct store_sync *sync = follower->sync;

	event_del(follower->timer);
	if (follower->phase == PHASE_DONE)
		hang_up(follower);
	else if (follower->phase != PHASE_FOLLOW)
		set_timer(follower, 0);
	else if (sync->watching)
		set_timer(follower, followed ? GATHER : 0);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct follower *follower = data;
	bool followed = follower->phase == PHASE_FOLLOW;
	bool good;

	follower->calling = false;
	good = take_answer(follower, answer);
	message_destroy(answer);
	if (!good) {
		fail(follower, "refused or unreadable", false);
		return true;
	}
	follower->backoff = BACKOFF_FIRST;
	if (!follower->from_peer)
		note_answer(follower);
	if (!client_reusable(client))
		hang_up(follower);
	plan_next(follower, followed);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end end)
{
	struct follower *follower = data;

	(void)client;
	if (follower->calling)
		fail(follower,
		    end == CLIENT_REFUSED ? "no connection"
					  : "connection ended",
		    false);
	else
		hang_up(follower);
}

static const struct client_ops ops = {on_answer, on_end};

/* The address of another VM that can answer instead of the store, or "". */
static const char *
find_peer(const struct follower *follower)
{
	struct entry *entry = follower->sync->entry;
	bool list = follower->phase == PHASE_LIST;

	if (!is_followed(follower) || store_is_write(follower) ||
	    (list && follower->failures < LIST_FAILURES) ||
	    (!list && follower->sync->watching &&
		!store_sync_failed(follower->sync)))
		return "";
	return wv_peers_ahead(entry->peers, entry_now(entry),
	    state_of(follower), wv_changes_revision(follower->changes))
	    .data;
}

static void
call(struct follower *follower, const char *address)
{
	struct entry *entry = follower->sync->entry;
	bool waits = !follower->from_peer && follower->phase == PHASE_FOLLOW;
	GString *request = store_compose(follower);
	struct wv_string bytes = {request->str, request->len};

	if (follower->address == NULL ||
	    !g_str_equal(follower->address, address)) {
		hang_up(follower);
		g_free(follower->address);
		follower->address = g_strdup(address);
	}
	if (follower->client == NULL)
		follower->client =
		    client_create(entry->base, address, &ops, follower);
	follower->calling = true;
	if (!follower->from_peer)
		wv_counter_add(&entry->metrics.store_calls, 1);
	client_send(follower->client, bytes, false);
	set_timer(follower, CALL_TIMEOUT + (waits ? STORE_WATCH_WAIT : 0));
	g_string_free(request, TRUE);
}

static void
next_call(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	const char *peer = find_peer(follower);

	follower->from_peer = peer[0] != '\0';
	if (follower->from_peer)
		call(follower, peer);
	else if (follower->phase != PHASE_FOLLOW || sync->watching)
		call(follower, sync->entry->settings->store);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct follower *follower = data;

	(void)fd;
	(void)what;
	if (follower->calling)
		fail(follower, "no answer in time", true);
	else
		next_call(follower);
}

uint64_t
store_sync_revision(const struct store_sync *sync, enum wv_peer_state state)
{
	enum store_kind kind =
	    state == WV_PEER_ROUTES ? STORE_ROUTES : STORE_SEARCHERS;

	return wv_changes_newest(sync->followers[kind].changes);
}

bool
store_sync_failed(const struct store_sync *sync)
{
	return entry_now(sync->entry) - sync->failed_at < FAILED_FOR;
}

/*
 * Whether a follower may turn to another VM now. One whose calls of the store
 * fail does so in the middle of a call or a pause.
 */
static bool
may_turn(const struct follower *follower)
{
	if (follower->phase != PHASE_FOLLOW)
		return false;
	if (store_sync_failed(follower->sync))
		return !follower->calling || !follower->from_peer;
	return !follower->sync->watching && !follower->calling &&
	    !event_pending(follower->timer, EV_TIMEOUT, NULL);
}

void
store_sync_heard(
    struct store_sync *sync, const uint64_t revisions[WV_PEER_STATES])
{
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		if (!is_followed(follower) || !may_turn(follower) ||
		    revisions[state_of(follower)] <=
			wv_changes_revision(follower->changes))
			continue;
		if (follower->calling)
			hang_up(follower);
		next_call(follower);
	}
}

void
store_sync_check(struct store_sync *sync)
{
	struct entry *entry = sync->entry;
	wv_msec now = entry_now(entry);
	struct wv_peer_standing standing =
	    wv_peers_standing(entry->peers, now, store_sync_failed(sync));

	if (now - entry->started_at < START_UP ||
	    standing.is_watcher == sync->watching)
		return;
	sync->watching = standing.is_watcher;
	log_line(entry->log, LOG_CHANGE, "store_watching",
	    "\"watching\":%s,\"vms\":%u", sync->watching ? "true" : "false",
	    standing.vms);
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
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		follower->sync = sync;
		follower->kind = (enum store_kind)i;
		follower->phase = i == STORE_VMS ? PHASE_CREATE : PHASE_LIST;
		follower->backoff = BACKOFF_FIRST;
		follower->changes = wv_changes_create();
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

		hang_up(follower);
		event_free(follower->timer);
		wv_changes_destroy(follower->changes);
		g_free(follower->address);
		g_free(follower->after);
	}
	g_free(sync);
}
