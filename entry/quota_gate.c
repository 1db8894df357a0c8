/**
 * @file
 * Decides whether callers' requests are within the quotas of their teams.
 */
#include "entry/quota_gate.h"
#include "entry/socket.h"

struct quota_gate {
	struct quota_gate_deps deps;
	const struct quota_gate_ops *ops;
	void *data; /* passed to the operations */
	struct wv_quota_limits limits;
	struct wv_quota_asks *asks;
	struct wv_quota_asks_state counted; /* as of the last update */
	struct event *timer; /* next tick of the questions */
};

static wv_msec
now_of(const struct quota_gate *gate)
{
	return wv_clock_now(gate->deps.clock);
}

/* Counts what was asked, and sets the timer to the next due time. */
static void
update(struct quota_gate *gate)
{
	struct metrics *metrics = gate->deps.metrics;
	struct wv_quota_asks_state state = wv_quota_asks_read(gate->asks);
	wv_msec at = wv_quota_asks_next_tick(gate->asks);
	uint64_t unanswered = state.unanswered - gate->counted.unanswered;
	struct timeval time;

	wv_counter_add(&metrics->quota_asks, state.asked - gate->counted.asked);
	wv_counter_add(&metrics->quota_asks_unanswered, unanswered);
	if (unanswered > 0)
		log_line(gate->deps.log, LOG_FAILURE, "quota_unanswered",
		    "\"questions\":%" G_GUINT64_FORMAT ",\"waiting\":%u",
		    unanswered, state.waiting);
	gate->counted = state;
	if (at >= WV_MSEC_NEVER) {
		event_del(gate->timer);
		return;
	}
	time = socket_timeval(at - now_of(gate));
	event_add(gate->timer, &time);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct quota_gate *gate = data;

	(void)fd;
	(void)what;
	wv_quota_asks_tick(gate->asks, now_of(gate));
	update(gate);
}

static bool
send_ask(void *data, const struct wv_quota_ask *ask)
{
	struct quota_gate *gate = data;

	return gate->ops->ask(gate->data, ask);
}

static void
on_decided(void *data, void *request, bool permitted, wv_msec retry_after)
{
	struct quota_gate *gate = data;

	gate->ops->decided(gate->data, request, permitted, retry_after);
}

static const struct wv_quota_asks_ops asks_ops = {send_ask, on_decided};

struct quota_gate *
quota_gate_create(const struct quota_gate_deps *deps,
    const struct quota_gate_ops *ops, void *data)
{
	struct quota_gate *gate = g_new0(struct quota_gate, 1);

	gate->deps = *deps;
	gate->ops = ops;
	gate->data = data;
	gate->asks = wv_quota_asks_create(
	    deps->pool, &asks_ops, gate, deps->incarnation);
	gate->timer = event_new(deps->base, -1, 0, on_timer, gate);
	return gate;
}

void
quota_gate_destroy(struct quota_gate *gate)
{
	event_free(gate->timer);
	wv_quota_asks_destroy(gate->asks);
	g_free(gate);
}

void
quota_gate_set_limits(struct quota_gate *gate,
    const struct wv_quota_limits *limits, const struct wv_routes *routes)
{
	const struct wv_quota_limits *before = &gate->limits;
	wv_msec now = now_of(gate);

	if (limits->window == before->window &&
	    limits->overshoot == before->overshoot &&
	    limits->slack == before->slack)
		return;
	gate->limits = *limits;
	wv_quota_set_limits(gate->deps.quota, now, limits);
	if (routes != NULL)
		wv_quota_set_teams(gate->deps.quota, now, routes);
}

void
quota_gate_set_teams(struct quota_gate *gate, const struct wv_routes *routes)
{
	wv_quota_set_teams(gate->deps.quota, now_of(gate), routes);
}

enum quota_decision
quota_gate_charge(struct quota_gate *gate, const struct wv_team *team,
    void *request, struct wv_quota_receipt *receipt, wv_msec *retry_after)
{
	bool waits;

	if (team == NULL ||
	    wv_quota_charge(
		gate->deps.quota, now_of(gate), team, receipt, retry_after))
		return QUOTA_PERMITTED;
	waits = wv_quota_asks_add(gate->asks, now_of(gate),
	    wv_string_hash(team->name), request, retry_after);
	update(gate);
	return waits ? QUOTA_WAITS : QUOTA_REFUSED;
}

void
quota_gate_cancel(
    struct quota_gate *gate, const struct wv_team *team, void *request)
{
	wv_quota_asks_cancel(gate->asks, wv_string_hash(team->name), request);
}

void
quota_gate_adopt(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_receipt *receipt)
{
	wv_quota_adopt(gate->deps.quota, now_of(gate), team, receipt);
}

void
quota_gate_end(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_receipt receipt, bool has_arrived)
{
	if (has_arrived)
		wv_quota_settle(gate->deps.quota, now_of(gate), team, receipt);
	else
		wv_quota_refund(gate->deps.quota, now_of(gate), team, receipt);
}

void
quota_gate_apply_answer(struct quota_gate *gate, uint64_t id,
    unsigned permitted, wv_msec retry_after)
{
	wv_quota_asks_apply(
	    gate->asks, now_of(gate), id, permitted, retry_after);
	update(gate);
}

bool
quota_gate_read(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_state *state)
{
	return gate->limits.window > 0 && team->rate > 0 &&
	    wv_quota_read(gate->deps.quota, now_of(gate), team, state);
}

size_t
quota_gate_count_homes(
    const struct quota_gate *gate, const struct wv_team *team)
{
	uint64_t homes[WV_QUOTA_HOMES];

	return wv_quota_pool_list_homes(
	    gate->deps.pool, wv_string_hash(team->name), homes);
}
