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
/**
 * Timeout of a watcher's call while the store is lost, ms: twice the time of an
 * answer of a slow store. The end of an outage is noticed after this time and
 * MAX_OUTAGE_BACKOFF at most.
 */
#define OUTAGE_TIMEOUT 500.0
/** Delay between two watch calls, so that changes arrive in batches, ms. */
#define BATCH_DELAY 300.0
/**
 * The same after an outage, when entries that have expired are written again,
 * and the time for which it applies, ms.
 */
#define EARLY_BATCH_DELAY 100.0
#define EARLY_TIME 3000.0
/** First and longest delay after a failure, ms; it doubles. */
#define MIN_BACKOFF 100.0
#define MAX_BACKOFF 1000.0
/**
 * Longest delay after a failure that cost the store nothing, ms: a connection
 * that was refused, or a hub without a list yet, which may have it soon.
 */
#define MAX_FREE_BACKOFF 400.0
/** Longest delay after a failed call of a watcher, ms; there are few of them.
 */
#define MAX_OUTAGE_BACKOFF 500.0
/**
 * Failed calls in a row after which the store counts as failed for this VM, and
 * for how long, ms; meanwhile other VMs are preferred as watchers. A single
 * timeout is enough, because a second one would take as long again.
 */
#define MIN_FAILURES 2
#define FAILED_PERIOD 3000.0
/** Delay before a list of VMs that lacks this one is read again, ms. */
#define STALE_LIST_DELAY 1000.0
/** Interval between checks whether a hub is known, ms. */
#define HUB_CHECK_INTERVAL 50.0
/** Time after the start before this VM may become a watcher, ms. */
#define WATCH_START_DELAY 600.0
/**
 * Time after the start after which a VM that has not watched reads changes once
 * from the store, ms: VMs that start at the same time have their lists by then.
 */
#define CATCH_UP_DELAY 2000.0
/** Shortest outage in which registrations may expire, ms. */
#define MIN_OUTAGE 400.0

wv_msec
store_now(const struct store_sync *sync)
{
	return wv_clock_now(sync->deps.clock);
}

const char *
store_kind_name(enum store_kind kind)
{
	static const char *const names[STORE_KIND_COUNT] = {
	    "routes", "searchers", "vms", "evacuations"};

	return names[kind];
}

void
store_set_timer(struct follower *follower, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(follower->timer, &time);
}

void
store_close_client(struct follower *follower)
{
	store_repeat_end(follower);
	if (follower->client != NULL)
		client_destroy(follower->client);
	follower->client = NULL;
	follower->calling = false;
}

bool
store_is_followed(const struct follower *follower)
{
	return follower->kind != STORE_VMS;
}

enum wv_peer_data
store_peer_data(const struct follower *follower)
{
	switch (follower->kind) {
	case STORE_ROUTES:
		return WV_PEER_ROUTES;
	case STORE_EVACUATIONS:
		return WV_PEER_EVACUATIONS;
	case STORE_SEARCHERS:
	case STORE_VMS:
	case STORE_KIND_COUNT:
		break;
	}
	return WV_PEER_SEARCHERS;
}

/* Marks the store as failed for this VM and reports it to the others at once.
 */
static void
mark_store_failed(struct store_sync *sync)
{
	bool already_failed = store_sync_has_failed(sync);

	sync->failed_at = store_now(sync);
	if (!already_failed)
		sync->ops->store_failed(sync->data);
}

/* Records a failed call of the store. */
static void
record_failure(struct follower *follower, const char *why, bool timed_out)
{
	struct store_sync *sync = follower->sync;
	const struct store_sync_deps *deps = &sync->deps;

	wv_counter_add(&deps->metrics->store_failures, 1);
	if (++follower->failures >= MIN_FAILURES || timed_out)
		mark_store_failed(sync);
	if (sync->lost)
		return;
	sync->lost = true;
	sync->lost_at = store_now(sync);
	log_line(deps->log, LOG_CHANGE, "store_lost",
	    "\"kind\":\"%s\",\"why\":\"%s\"", store_kind_name(follower->kind),
	    why);
}

/* Entries that have expired may be written again in the next seconds. */
static void
expect_changes(struct store_sync *sync)
{
	sync->changes_due_until = store_now(sync) + EARLY_TIME;
	wv_registry_expect_entries(
	    sync->deps.registry, sync->changes_due_until);
}

static void
begin_outage_grace(struct store_sync *sync)
{
	const struct store_sync_deps *deps = &sync->deps;

	wv_registry_start_grace(deps->registry, store_now(sync), OUTAGE_GRACE);
	for (int i = 0; i < STORE_KIND_COUNT; i++)
		sync->followers[i].after_outage = true;
}

/* Records an answer of the store and thereby the end of an outage. */
static void
record_answer(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	const struct store_sync_deps *deps = &sync->deps;
	wv_msec outage = store_now(sync) - sync->lost_at;

	follower->failures = 0;
	if (!sync->lost)
		return;
	sync->lost = false;
	expect_changes(sync);
	if (outage >= MIN_OUTAGE)
		begin_outage_grace(sync);
	log_line(deps->log, LOG_CHANGE, "store_regained",
	    "\"kind\":\"%s\",\"away_ms\":%.0f", store_kind_name(follower->kind),
	    outage);
}

/*
 * Records a failed call of another VM. A list that it did not give is read from
 * the store again.
 */
static void
record_peer_failure(struct follower *follower, const char *why, unsigned status)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	bool list = follower->phase == PHASE_LIST;

	/* A VM that has no list yet (410) may be the next to have it. */
	if (status != 410)
		wv_peers_record_failed_call(deps->peers,
		    store_now(follower->sync),
		    wv_string_borrow(follower->address));
	log_line(deps->log, LOG_CHANGE, "peer_call_failed",
	    "\"kind\":\"%s\",\"call\":\"%s\",\"from\":\"%s\","
	    "\"status\":%u,\"why\":\"%s\"",
	    store_kind_name(follower->kind), list ? "list" : "changes",
	    follower->address, status, why);
	if (list)
		follower->failures = 0;
}

static wv_msec
batch_delay(const struct follower *follower)
{
	return store_now(follower->sync) < follower->sync->changes_due_until
	    ? EARLY_BATCH_DELAY
	    : BATCH_DELAY;
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
	event_del(follower->timer);
	if (follower->phase == PHASE_DONE)
		store_close_client(follower);
	else if (follower->stale_lists > 0 && follower->list_after == NULL)
		store_set_timer(follower, STALE_LIST_DELAY);
	else if (follower->phase != PHASE_FOLLOW)
		store_set_timer(follower, 0);
	else if (store_may_watch(follower))
		store_set_timer(
		    follower, was_following ? batch_delay(follower) : 0);
}

/* Returns the longest delay after a failed call, ms. */
static wv_msec
max_backoff(const struct follower *follower, unsigned status)
{
	if (follower->from_peer)
		return status == 410 ? MAX_FREE_BACKOFF : MAX_BACKOFF;
	return follower->phase == PHASE_FOLLOW ? MAX_OUTAGE_BACKOFF
					       : MAX_BACKOFF;
}

/* Returns the timeout of the next call, ms. */
static wv_msec
call_timeout(const struct follower *follower)
{
	if (follower->from_peer || follower->phase != PHASE_FOLLOW)
		return CALL_TIMEOUT;
	return follower->sync->lost ? OUTAGE_TIMEOUT
				    : CALL_TIMEOUT + STORE_WATCH_WAIT;
}

/*
 * Ends a failed call and schedules the next one.
 *
 * status: of the answer; 0 if there was none
 */
static void
fail_call(
    struct follower *follower, const char *why, unsigned status, bool timed_out)
{
	store_close_client(follower);
	if (store_is_cleanup(follower)) {
		store_fail_cleanup(follower, why, status);
		event_del(follower->timer);
		return;
	}
	if (follower->phase == PHASE_CONFIRM) {
		follower->phase = PHASE_FOLLOW;
		schedule_next_call(follower, false);
		return;
	}
	if (follower->from_peer)
		record_peer_failure(follower, why, status);
	else
		record_failure(follower, why, timed_out);
	store_set_timer(follower, follower->backoff);
	follower->backoff =
	    fmin(follower->backoff * 2, max_backoff(follower, status));
}

/* Handles the answer to a write; returns false if the write failed. */
static bool
handle_write_answer(struct follower *follower, unsigned status)
{
	bool create = follower->phase == PHASE_CREATE;

	/* The registration was removed since it was listed. */
	if (!create && status == 404) {
		follower->phase = PHASE_CREATE;
		return true;
	}
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
	enum store_era_result era = store_check_era(follower, answer);

	if (store_is_cleanup(follower))
		return store_handle_cleanup_answer(follower, answer);
	if (era == STORE_ERA_OLD)
		return false;
	if (era == STORE_ERA_NEW) {
		store_restart_list(follower);
		return true;
	}
	if (follower->phase == PHASE_CONFIRM) {
		store_apply_confirm(follower, answer);
		return true;
	}
	if (store_is_write(follower))
		return handle_write_answer(follower, answer->status);
	if (answer->status == 410 && follower->phase == PHASE_FOLLOW) {
		store_restart_list(follower);
		/* Read the list from a VM too: one that is ahead has it. */
		if (follower->from_peer)
			follower->failures = MAX_LIST_FAILURES;
		return true;
	}
	return answer->status == 200 && store_apply_body(follower, answer);
}

/* Ends the single read of changes by a VM that does not watch the store. */
static void
end_catch_up(struct follower *follower)
{
	uint64_t position = wv_change_log_position(follower->changes);

	if (!follower->catches_up)
		return;
	follower->catches_up = false;
	log_line(follower->sync->deps.log, LOG_CHANGE, "store_caught_up",
	    "\"kind\":\"%s\",\"era\":%" G_GUINT64_FORMAT
	    ",\"revision\":%" G_GUINT64_FORMAT,
	    store_kind_name(follower->kind), wv_position_era(position),
	    wv_position_revision(position));
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct follower *follower = data;
	bool was_following = follower->phase == PHASE_FOLLOW;
	unsigned status = answer->status;
	bool valid;

	follower->calling = false;
	store_repeat_choose(follower, client);
	valid = handle_answer(follower, answer);
	message_destroy(answer);
	if (!valid) {
		fail_call(follower, "refused or unreadable", status, false);
		return true;
	}
	follower->backoff = MIN_BACKOFF;
	if (!follower->from_peer)
		record_answer(follower);
	if (was_following && !follower->from_peer)
		end_catch_up(follower);
	if (!client_is_reusable(client))
		store_close_client(follower);
	schedule_next_call(follower, was_following);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	struct follower *follower = data;
	bool refused = end == CLIENT_REFUSED;

	if (store_repeat_drop(follower, client))
		return;
	if (!follower->calling) {
		store_close_client(follower);
		return;
	}
	fail_call(
	    follower, refused ? "no connection" : "connection ended", 0, false);
	if (refused)
		follower->backoff = fmin(follower->backoff, MAX_FREE_BACKOFF);
}

static const struct client_ops call_ops = {on_answer, on_end};

struct client *
store_connect(struct follower *follower)
{
	struct client *client = client_create(
	    follower->sync->deps.base, follower->address, &call_ops, follower);

	client_limit_memory(client, &follower->sync->memory);
	return client;
}

void
store_send_call(struct follower *follower, const char *address)
{
	const struct store_sync_deps *deps = &follower->sync->deps;
	GString *request = store_compose_request(follower);
	struct wv_string bytes = {request->str, request->len};

	if (follower->address == NULL ||
	    !g_str_equal(follower->address, address)) {
		store_close_client(follower);
		g_free(follower->address);
		follower->address = g_strdup(address);
	}
	if (follower->client == NULL)
		follower->client = store_connect(follower);
	follower->calling = true;
	if (!follower->from_peer)
		wv_counter_add(&deps->metrics->store_calls, 1);
	client_send(follower->client, bytes, false);
	store_repeat_begin(follower);
	store_set_timer(follower, call_timeout(follower));
	g_string_free(request, TRUE);
}

void
store_end_waits(struct store_sync *sync)
{
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		if (store_is_followed(follower) && !follower->listed &&
		    !follower->calling)
			store_set_timer(follower, 0);
	}
}

void
store_make_next_call(struct follower *follower)
{
	struct store_sync *sync = follower->sync;
	const char *peer = store_find_peer(follower);

	follower->awaits_near = false;
	if (store_must_wait(follower, peer)) {
		store_set_timer(follower, HUB_CHECK_INTERVAL);
		return;
	}
	follower->from_peer = peer[0] != '\0';
	/* Other VMs give a list as one page: there is none after the first. */
	if (follower->from_peer && follower->phase == PHASE_LIST)
		store_restart_list(follower);
	if (follower->from_peer)
		store_send_call(follower, peer);
	else if (follower->phase != PHASE_FOLLOW || store_may_watch(follower))
		store_send_call(follower, sync->deps.settings->store);
}

/* Returns the phase in which a follower begins. */
static enum phase
first_phase(enum store_kind kind)
{
	switch (kind) {
	case STORE_VMS:
		return PHASE_CREATE;
	case STORE_EVACUATIONS:
		return PHASE_DONE;
	case STORE_ROUTES:
	case STORE_SEARCHERS:
	case STORE_KIND_COUNT:
		break;
	}
	return PHASE_LIST;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct follower *follower = data;

	(void)fd;
	(void)what;
	if (follower->calling)
		fail_call(follower, "no answer in time", 0, true);
	else
		store_make_next_call(follower);
}

uint64_t
store_sync_position(const struct store_sync *sync, enum wv_peer_data state)
{
	static const enum store_kind kinds[WV_PEER_DATA_COUNT] = {
	    [WV_PEER_ROUTES] = STORE_ROUTES,
	    [WV_PEER_SEARCHERS] = STORE_SEARCHERS,
	    [WV_PEER_EVACUATIONS] = STORE_EVACUATIONS,
	};

	return wv_change_log_last_change(sync->followers[kinds[state]].changes);
}

bool
store_sync_has_evacuations(const struct store_sync *sync)
{
	return sync->followers[STORE_EVACUATIONS].listed;
}

/* Begins to follow evacuations if the settings ask for it. */
static void
begin_evacuations(struct store_sync *sync)
{
	struct follower *follower = &sync->followers[STORE_EVACUATIONS];

	if (follower->phase != PHASE_DONE ||
	    sync->deps.settings->evacuate_ms <= 0)
		return;
	follower->phase = PHASE_LIST;
	store_set_timer(follower, 0);
}

bool
store_sync_has_failed(const struct store_sync *sync)
{
	return store_now(sync) - sync->failed_at < FAILED_PERIOD;
}

/*
 * Makes followers that read their first list from the store read the changes
 * since then, once. The watchers announce changes after their own first lists
 * only; one that falls between the lists of two VMs is none for the watcher.
 */
static void
catch_up(struct store_sync *sync)
{
	sync->caught_up = true;
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		if (!store_is_followed(follower) || !follower->listed_by_store)
			continue;
		follower->catches_up = true;
		if (follower->phase == PHASE_FOLLOW && !follower->calling)
			store_set_timer(follower, 0);
	}
}

void
store_sync_update_role(struct store_sync *sync)
{
	const struct store_sync_deps *deps = &sync->deps;
	wv_msec now = store_now(sync);
	struct wv_peer_role role =
	    wv_peers_get_role(deps->peers, now, store_sync_has_failed(sync));

	begin_evacuations(sync);
	if (now - deps->started_at < WATCH_START_DELAY)
		return;
	store_cleanup(sync);
	store_recheck_evacuations(sync);
	if (!sync->caught_up && !role.is_watcher &&
	    now - deps->started_at >= CATCH_UP_DELAY)
		catch_up(sync);
	if (role.is_watcher == sync->watching)
		return;
	sync->watching = role.is_watcher;
	sync->caught_up |= role.is_watcher;
	log_line(deps->log, LOG_CHANGE, "store_watching",
	    "\"watching\":%s,\"vms\":%u", sync->watching ? "true" : "false",
	    role.vms);
	for (int i = 0; i < STORE_KIND_COUNT && sync->watching; i++) {
		struct follower *follower = &sync->followers[i];

		if (follower->phase == PHASE_FOLLOW && !follower->calling)
			store_set_timer(follower, 0);
	}
}

uint64_t
store_sync_routes_version(const struct store_sync *sync)
{
	return sync->routes_version;
}

wv_msec
store_sync_routes_age(const struct store_sync *sync)
{
	return wv_confirmation_age(&sync->routes_confirmed, store_now(sync));
}

void
store_sync_confirm_routes(
    struct store_sync *sync, const struct wv_peer_report *report)
{
	wv_confirmation_by_vm(&sync->routes_confirmed, store_now(sync),
	    sync->routes_version, report->routes_version, report->routes_age);
}

struct store_sync *
store_sync_create(const struct store_sync_deps *deps,
    const struct store_sync_ops *ops, void *data)
{
	struct store_sync *sync = g_new0(struct store_sync, 1);

	sync->deps = *deps;
	sync->ops = ops;
	sync->data = data;
	sync->failed_at = -WV_MSEC_NEVER;
	wv_confirmation_reset(&sync->routes_confirmed);
	sync->era_began_at = -WV_MSEC_NEVER;
	sync->register_at = WV_MSEC_NEVER;
	wv_registry_expect_entries(
	    deps->registry, store_now(sync) + EARLY_TIME);
	sync->memory.max_answer = MAX_ANSWER_BYTES;
	sync->memory.max_total = MAX_ANSWERS_BYTES;
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		follower->sync = sync;
		follower->kind = (enum store_kind)i;
		follower->phase = first_phase(follower->kind);
		follower->backoff = MIN_BACKOFF;
		follower->changes = wv_change_log_create();
		follower->timer =
		    event_new(deps->base, -1, 0, on_timer, follower);
		store_repeat_init(follower);
		if (follower->phase != PHASE_DONE)
			store_set_timer(follower, 0);
	}
	sync->listed_zones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	begin_evacuations(sync);
	return sync;
}

void
store_sync_end_cleanup(struct store_sync *sync)
{
	sync->stopping = true;
}

void
store_sync_destroy(struct store_sync *sync)
{
	for (int i = 0; i < STORE_KIND_COUNT; i++) {
		struct follower *follower = &sync->followers[i];

		store_close_client(follower);
		store_repeat_clear(follower);
		event_free(follower->timer);
		wv_change_log_destroy(follower->changes);
		g_free(follower->address);
		g_free(follower->list_after);
	}
	g_hash_table_unref(sync->listed_zones);
	g_free(sync->newest_routes);
	g_free(sync);
}
