/**
 * @file
 * Reports of a VM's state to other VMs, one UDP datagram each, sent
 * periodically and when the state changes.
 */
#include <errno.h>
#include <math.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/report_encode.h"
#include "entry/reports.h"
#include "wisteriavane/store_position.h"
#include "entry/socket.h"
#include "entry/store_sync.h"
#include "proto/vm_report.pb-c.h"

/**
 * Time between two rounds, in intervals, after which the process counts as
 * paused.
 */
#define MAX_ROUND_INTERVALS 2
/** Version of calls about quotas; reports of that version are rejected. */
#define QUOTA_CALL_VERSION 2
/** Largest call about quotas, bytes: an address and a few numbers. */
#define QUOTA_CALL_MAX_BYTES 96
/** Most tokens that are granted at once. */
#define MAX_GRANTED 4096
/** Longest time that an answer tells the asking VM to wait, ms. */
#define MAX_RETRY_AFTER 60000.0
/** Datagrams read in one iteration of the event loop. */
#define MAX_READS 64

struct reports {
	struct reports_deps deps;
	const struct reports_ops *ops;
	void *data; /* passed to the operations */
	bool leaving; /* this VM leaves */
	int fd; /* -1: not open yet */
	struct event *read; /* NULL: not open yet */
	struct event *timer;
	uint64_t sequence; /* number of the last report */
	unsigned live_hubs; /* other hubs alive, as last logged */
	bool is_hub; /* role of this VM, as last logged */
	bool failing; /* whether sending fails, as last logged */
	wv_msec round_at; /* start of the last round */
	bool ignore_confirmations; /* it was late; until the next one */
	bool lends; /* quota to homes of teams, as last logged */
	bool borrows; /* quota of other hubs, as last logged */
};

static wv_msec
now_of(const struct reports *reports)
{
	return wv_clock_now(reports->deps.clock);
}

/* Fills in this VM's own report; strings are borrowed. */
static void
compose_own_report(struct reports *reports, struct wv_peer_report *report)
{
	const struct reports_deps *deps = &reports->deps;
	const struct entry_settings *settings = deps->settings;

	*report = (struct wv_peer_report){
	    .name = wv_string_borrow(settings->vm),
	    .incarnation = deps->incarnation,
	    .sequence = ++reports->sequence,
	    .peer_address = wv_string_borrow(settings->peers),
	    .caller_address = wv_string_borrow(settings->callers),
	    .zone = wv_string_borrow(settings->zone),
	    .serving = reports->ops->is_serving(reports->data),
	    .leaving = reports->leaving,
	    .capacity = settings->capacity,
	    .store_failed = store_sync_has_failed(deps->store),
	    .has_evacuations = store_sync_has_evacuations(deps->store),
	    .is_leaf = !wv_peers_is_hub(deps->peers),
	};
	for (int i = 0; i < WV_PEER_DATA_COUNT; i++)
		report->positions[i] =
		    store_sync_position(deps->store, (enum wv_peer_data)i);
	report->routes_version = store_sync_routes_version(deps->store);
	report->routes_age = store_sync_routes_age(deps->store);
	report->view = wv_peers_view(deps->peers, now_of(reports), report);
	wv_quota_pool_record_sent(
	    deps->pool, now_of(reports), report->sequence);
}

static void
add_hub(void *data, const struct wv_peer_report *hub)
{
	VmState *state = g_new(VmState, 1);

	vm_state__init(state);
	state->name = hub->name.data;
	state->incarnation = hub->incarnation;
	state->sequence = hub->sequence;
	state->peers = hub->peer_address.data;
	state->callers = hub->caller_address.data;
	state->zone = hub->zone.data;
	state->serving = hub->serving;
	state->leaving = hub->leaving;
	state->capacity = hub->capacity;
	state->store_failed = hub->store_failed;
	g_ptr_array_add(data, state);
}

/* Collects the newest hints about leaving searchers; strings are borrowed. */
static void
collect_hints(const struct reports *reports, struct report_hints *hints)
{
	hints->n = wv_registry_list_hints(reports->deps.registry,
	    now_of(reports), hints->items, REPORT_MAX_HINTS);
}

/* Lists the quota items for one VM: none unless it is a hub. */
static void
collect_quota(const struct reports *reports,
    const struct wv_peer_target *target, struct report_quota *quota)
{
	quota->n = 0;
	quota->echo =
	    target->hub != 0 && wv_quota_pool_is_active(reports->deps.pool);
	if (quota->echo)
		quota->n = wv_quota_pool_list_items(
		    reports->deps.pool, target->hub, quota->items);
}

/* Sends a report to an address IP:PORT; returns 0 or an errno value. */
static int
send_to(const struct reports *reports, const char *target,
    const uint8_t *buffer, size_t length)
{
	struct sockaddr_in address;
	ssize_t sent;

	if (!socket_parse_address(target, &address))
		return EADDRNOTAVAIL;
	if (length == 0)
		return EMSGSIZE;
	sent = sendto(reports->fd, buffer, length, MSG_DONTWAIT,
	    (struct sockaddr *)&address, sizeof(address));
	return sent < 0 ? errno : 0;
}

/*
 * Logs when sending begins to fail, with the last error of the round, and when
 * it works again.
 *
 * error: errno value, or 0 if all reports of the round were sent
 */
static void
log_send_state(struct reports *reports, const char *target, int error)
{
	bool failing = error != 0;

	if (failing == reports->failing)
		return;
	reports->failing = failing;
	if (failing)
		log_line(reports->deps.log, LOG_CHANGE, "reports_unsent",
		    "\"target\":\"%s\",\"error\":\"%s\"", target,
		    g_strerror(error));
	else
		log_line(reports->deps.log, LOG_CHANGE, "reports_sent_again",
		    "\"unsent\":%" G_GUINT64_FORMAT,
		    wv_counter_read(&reports->deps.metrics->reports_unsent));
}

/* Sends a report to one VM and counts it; returns 0 or an errno value. */
static int
send_report(struct reports *reports, const struct wv_peer_report *own,
    const struct wv_peer_target *target, const GPtrArray *hubs,
    const struct report_hints *hints)
{
	struct metrics *metrics = reports->deps.metrics;
	uint8_t buffer[REPORT_MAX_BYTES];
	struct report_quota quota;
	size_t length;
	int error;

	collect_quota(reports, target, &quota);
	length = report_encode(own, target, hubs, hints, &quota, buffer);
	error = send_to(reports, target->address, buffer, length);
	wv_counter_add(
	    error == 0 ? &metrics->reports_sent : &metrics->reports_unsent, 1);
	return error;
}

static void
send_round(struct reports *reports, const struct wv_peer_report *own,
    const GArray *targets)
{
	const struct reports_deps *deps = &reports->deps;
	GPtrArray *hubs = g_ptr_array_new_with_free_func(g_free);
	struct report_hints hints;
	const char *failed = "";
	int error = 0;

	collect_hints(reports, &hints);
	wv_peers_foreach_heard_hub(deps->peers, now_of(reports), add_hub, hubs);
	for (guint i = 0; i < targets->len; i++) {
		const struct wv_peer_target *target =
		    &g_array_index(targets, struct wv_peer_target, i);
		int outcome = send_report(reports, own, target, hubs, &hints);

		if (outcome == 0)
			continue;
		failed = target->address;
		error = outcome;
	}
	if (targets->len > 0)
		log_send_state(reports, failed, error);
	g_ptr_array_unref(hubs);
}

/* Counts loans of quota, and logs when they begin and end. */
static void
record_loans(struct reports *reports, wv_msec now)
{
	const struct reports_deps *deps = &reports->deps;
	struct wv_quota_pool_state state;

	wv_quota_pool_read(deps->pool, now, &state);
	wv_counter_add(&deps->metrics->quota_loans, state.loans);
	if ((state.lent.rate > 0) == reports->lends &&
	    (state.borrowed.rate > 0) == reports->borrows)
		return;
	reports->lends = state.lent.rate > 0;
	reports->borrows = state.borrowed.rate > 0;
	log_line(deps->log, LOG_CHANGE, "quota_loans",
	    "\"homes\":%u,\"loans\":%u,\"lent\":%.4f,\"borrowed\":%.4f",
	    state.homes, state.loans, state.lent.rate, state.borrowed.rate);
}

/* Decides what this VM lends to the homes of the teams. */
static void
plan_loans(struct reports *reports, wv_msec now)
{
	const struct reports_deps *deps = &reports->deps;
	uint64_t hubs[WV_PEERS_MAX_HUBS];

	wv_quota_pool_set_hubs(
	    deps->pool, hubs, wv_peers_list_live_hubs(deps->peers, now, hubs));
	wv_quota_pool_plan(deps->pool, now, wv_peers_is_hub(deps->peers));
}

void
reports_send(struct reports *reports)
{
	const struct reports_deps *deps = &reports->deps;
	wv_msec now = now_of(reports);
	struct wv_peer_report own;
	GArray *targets;

	wv_peers_update(deps->peers, now);
	if (reports->fd < 0)
		return;
	plan_loans(reports, now);
	record_loans(reports, now);
	targets = g_array_new(FALSE, FALSE, sizeof(struct wv_peer_target));
	compose_own_report(reports, &own);
	wv_peers_plan_reports(deps->peers, now, &own, targets);
	send_round(reports, &own, targets);
	g_array_unref(targets);
}

void
reports_announce_leaving(struct reports *reports)
{
	reports->leaving = true;
	reports_send(reports);
}

/* Answers the report of a hub that this VM does not report to otherwise. */
static void
answer_introduction(struct reports *reports, const struct wv_peer_report *hub)
{
	struct wv_peer_target target =
	    wv_peers_answer_introduction(reports->deps.peers, hub);
	struct wv_peer_report own;
	struct report_hints hints;

	compose_own_report(reports, &own);
	collect_hints(reports, &hints);
	send_report(reports, &own, &target, NULL, &hints);
}

static void
apply_hubs(struct reports *reports, const VmReport *packed)
{
	struct wv_peer_report *hubs =
	    g_new0(struct wv_peer_report, packed->n_hubs);

	for (size_t i = 0; i < packed->n_hubs; i++) {
		const VmState *state = packed->hubs[i];

		hubs[i].name = wv_string_borrow(state->name);
		hubs[i].incarnation = state->incarnation;
		hubs[i].sequence = state->sequence;
		hubs[i].peer_address = wv_string_borrow(state->peers);
		hubs[i].caller_address = wv_string_borrow(state->callers);
		hubs[i].zone = wv_string_borrow(state->zone);
		hubs[i].serving = state->serving;
		hubs[i].leaving = state->leaving;
		hubs[i].capacity = state->capacity;
		hubs[i].store_failed = state->store_failed;
	}
	wv_peers_apply_hubs(reports->deps.peers, now_of(reports),
	    wv_string_borrow(packed->name), packed->view, hubs, packed->n_hubs);
	g_free(hubs);
}

/* Applies hints about leaving searchers; only so many that a VM sends. */
static void
apply_hints(struct reports *reports, const VmReport *packed)
{
	const struct reports_deps *deps = &reports->deps;
	size_t n = MIN(packed->n_leaving_searchers, REPORT_MAX_HINTS);
	char id[LOG_NAME_SIZE];
	char from[LOG_NAME_SIZE];

	for (size_t i = 0; i < n; i++) {
		const LeavingHint *item = packed->leaving_searchers[i];
		struct wv_leaving_hint hint = {
		    .searcher = wv_string_borrow(item->searcher),
		    .started = item->started,
		    .age = item->age};

		if (!wv_registry_add_hint(
			deps->registry, now_of(reports), &hint))
			continue;
		wv_counter_add(&deps->metrics->searchers_hinted, 1);
		log_line(deps->log, LOG_CHANGE, "searcher_hinted",
		    "\"searcher\":\"%s\",\"from\":\"%s\",\"age_ms\":%u",
		    log_escape(hint.searcher, id, sizeof(id)),
		    log_escape(
			wv_string_borrow(packed->name), from, sizeof(from)),
		    item->age);
	}
}

/* Applies what a hub says of quotas. */
static void
apply_quota(struct reports *reports, const VmReport *packed)
{
	struct wv_quota_item items[WV_QUOTA_MAX_ITEMS];
	struct wv_quota_report report = {
	    .sender = wv_string_hash(wv_string_borrow(packed->name)),
	    .echo_incarnation = packed->echo_incarnation,
	    .echo_sequence = packed->echo_sequence,
	    .items = items,
	    .n_items = MIN(packed->n_quota_items, G_N_ELEMENTS(items))};

	for (size_t i = 0; i < report.n_items; i++) {
		const QuotaItem *item = packed->quota_items[i];

		items[i].hash = item->hash;
		items[i].loan.rate = item->rate;
		items[i].loan.capacity = item->capacity;
	}
	wv_quota_pool_apply(reports->deps.pool, now_of(reports), &report);
}

/* Whether the last round of reports is too long ago. */
static bool
was_late(const struct reports *reports)
{
	return now_of(reports) - reports->round_at >
	    MAX_ROUND_INTERVALS * wv_peers_report_interval(reports->deps.peers);
}

/*
 * Whether this process may have been paused. Datagrams that waited for it are
 * older than what they say: a confirmation in them would count as too young.
 */
static bool
was_paused(const struct reports *reports)
{
	return reports->ignore_confirmations || was_late(reports);
}

static void
apply_report(struct reports *reports, const VmReport *packed)
{
	const struct reports_deps *deps = &reports->deps;
	struct wv_peer_report report = {
	    .name = wv_string_borrow(packed->name),
	    .incarnation = packed->incarnation,
	    .sequence = packed->sequence,
	    .peer_address = wv_string_borrow(packed->peers),
	    .caller_address = wv_string_borrow(packed->callers),
	    .zone = wv_string_borrow(packed->zone),
	    .serving = packed->serving,
	    .leaving = packed->leaving,
	    .capacity = packed->capacity,
	    .store_failed = packed->store_failed,
	    .positions = {wv_position_make(
			      packed->routes_era, packed->routes_revision),
		wv_position_make(
		    packed->searchers_era, packed->searchers_revision),
		wv_position_make(
		    packed->evacuations_era, packed->evacuations_revision)},
	    .has_evacuations = packed->evacuations_known,
	    .routes_version = packed->routes_version,
	    .routes_age = (wv_msec)packed->routes_confirmed_age - 1,
	    .is_leaf = packed->leaf,
	    .attach = packed->attach,
	    .view = packed->view,
	    .known_view = packed->known_view,
	};

	wv_counter_add(&deps->metrics->reports_received, 1);
	if (!wv_peers_apply_report(deps->peers, now_of(reports), &report))
		return;
	if (packed->n_hubs > 0)
		apply_hubs(reports, packed);
	apply_hints(reports, packed);
	if (!packed->leaf)
		apply_quota(reports, packed);
	if (packed->introduces)
		answer_introduction(reports, &report);
	if (!was_paused(reports))
		store_sync_confirm_routes(deps->store, &report);
	store_sync_compare_positions(deps->store, &report);
}

/* Sends a call about quotas; returns false if that is not possible. */
static bool
send_quota_call(
    const struct reports *reports, const char *address, QuotaCall *call)
{
	uint8_t buffer[QUOTA_CALL_MAX_BYTES];

	call->protocol = QUOTA_CALL_VERSION;
	if (reports->fd < 0 ||
	    quota_call__get_packed_size(call) > sizeof(buffer))
		return false;
	return send_to(reports, address, buffer,
		   quota_call__pack(call, buffer)) == 0;
}

bool
reports_ask_quota(struct reports *reports, const struct wv_quota_ask *ask)
{
	struct wv_string address =
	    wv_peers_find_hub(reports->deps.peers, ask->home);
	QuotaCall call = QUOTA_CALL__INIT;

	call.sender = reports->deps.settings->peers;
	call.team = ask->team;
	call.id = ask->id;
	call.tokens = ask->tokens;
	return address.length > 0 &&
	    send_quota_call(reports, address.data, &call);
}

/* Answers a VM that asks this one for tokens of a team. */
static void
grant_quota(struct reports *reports, const QuotaCall *call)
{
	const struct reports_deps *deps = &reports->deps;
	QuotaCall answer = QUOTA_CALL__INIT;
	struct sockaddr_in parsed;
	wv_msec retry_after;

	if (!socket_parse_address(call->sender, &parsed))
		return;
	answer.sender = deps->settings->peers;
	answer.team = call->team;
	answer.id = call->id;
	answer.answer = true;
	answer.tokens = wv_quota_grant(deps->quota, now_of(reports), call->team,
	    MIN(call->tokens, MAX_GRANTED), &retry_after);
	answer.retry_after = (uint32_t)ceil(fmin(retry_after, MAX_RETRY_AFTER));
	wv_counter_add(&deps->metrics->quota_granted, answer.tokens);
	send_quota_call(reports, call->sender, &answer);
}

/* Applies a datagram if it is a call about quotas; returns whether it is. */
static bool
apply_quota_call(struct reports *reports, const uint8_t *bytes, size_t length)
{
	QuotaCall *call = quota_call__unpack(NULL, length, bytes);
	bool valid = call != NULL && call->protocol == QUOTA_CALL_VERSION;

	if (valid && call->answer)
		reports->ops->quota_answered(reports->data, call->id,
		    call->tokens, (wv_msec)call->retry_after);
	else if (valid)
		grant_quota(reports, call);
	if (call != NULL)
		quota_call__free_unpacked(call, NULL);
	return valid;
}

static bool
is_valid_address(const char *peers, const char *callers)
{
	struct sockaddr_in parsed;

	return socket_parse_address(peers, &parsed) &&
	    socket_parse_address(callers, &parsed);
}

/* Returns whether a report is valid: datagrams are not authenticated. */
static bool
is_valid_report(const VmReport *report)
{
	for (size_t i = 0; i < report->n_hubs; i++) {
		const VmState *hub = report->hubs[i];

		if (hub->name[0] == '\0' ||
		    !is_valid_address(hub->peers, hub->callers))
			return false;
	}
	return report->protocol == REPORT_VERSION && report->name[0] != '\0' &&
	    is_valid_address(report->peers, report->callers);
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	uint8_t buffer[REPORT_MAX_BYTES];

	(void)what;
	for (int i = 0; i < MAX_READS; i++) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		VmReport *report;

		if (n < 0 && errno == ECONNREFUSED)
			continue;
		if (n <= 0)
			return;
		if ((size_t)n <= QUOTA_CALL_MAX_BYTES &&
		    apply_quota_call(reports, buffer, (size_t)n))
			continue;
		report = vm_report__unpack(NULL, (size_t)n, buffer);
		if (report != NULL && is_valid_report(report))
			apply_report(reports, report);
		else
			wv_counter_add(
			    &reports->deps.metrics->reports_refused, 1);
		if (report != NULL)
			vm_report__free_unpacked(report, NULL);
	}
}

static void
log_membership(struct reports *reports)
{
	const struct reports_deps *deps = &reports->deps;
	unsigned live = wv_peers_count_live_hubs(deps->peers, now_of(reports));
	bool is_hub = wv_peers_is_hub(deps->peers);

	if (live == reports->live_hubs && is_hub == reports->is_hub)
		return;
	log_line(deps->log, LOG_CHANGE, "vms_alive",
	    "\"hub\":%s,\"other_hubs\":%u,\"before\":%u",
	    is_hub ? "true" : "false", live, reports->live_hubs);
	reports->live_hubs = live;
	reports->is_hub = is_hub;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	const struct reports_deps *deps = &reports->deps;
	struct timeval time;

	(void)fd;
	(void)what;
	reports->ignore_confirmations = was_late(reports);
	reports->round_at = now_of(reports);
	reports_send(reports);
	log_membership(reports);
	reports->ops->round_ended(reports->data);
	store_sync_update_role(deps->store);
	time = socket_timeval(wv_peers_report_interval(deps->peers));
	event_add(reports->timer, &time);
}

struct reports *
reports_create(
    const struct reports_deps *deps, const struct reports_ops *ops, void *data)
{
	struct reports *reports = g_new0(struct reports, 1);

	reports->deps = *deps;
	reports->ops = ops;
	reports->data = data;
	reports->fd = -1;
	reports->timer = event_new(deps->base, -1, 0, on_timer, reports);
	event_active(reports->timer, EV_TIMEOUT, 0);
	return reports;
}

bool
reports_open(struct reports *reports)
{
	const struct reports_deps *deps = &reports->deps;

	reports->fd = socket_datagram(deps->settings->peers);
	if (reports->fd < 0)
		return false;
	reports->read = event_new(
	    deps->base, reports->fd, EV_READ | EV_PERSIST, on_read, reports);
	event_add(reports->read, NULL);
	return true;
}

void
reports_destroy(struct reports *reports)
{
	event_free(reports->timer);
	if (reports->read != NULL) {
		event_free(reports->read);
		close(reports->fd);
	}
	g_free(reports);
}
