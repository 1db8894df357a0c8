/**
 * @file
 * Callers' requests: submits those that are admitted to the dispatcher and
 * answers the callers.
 */
#include <math.h>

#include "entry/attempt_log.h"
#include "entry/caller_answer.h"
#include "entry/gateway.h"
#include "entry/quota_gate.h"
#include "entry/request_head.h"
#include "entry/socket.h"
#include "entry/upstream.h"

/**
 * Largest body of a searcher's answer, and of all that are being received,
 * bytes: far above what searchers send, and within the memory of a small VM.
 */
#define MAX_ANSWER_BYTES (8u << 20)
#define MAX_ANSWERS_BYTES (48u << 20)
/** Bytes of requests that are being sent to searchers. */
#define MAX_REQUESTS_BYTES (24u << 20)

struct gateway {
	struct wv_dispatch_ops ops; /* must be first: see gateway_of() */
	struct wv_registry_ops registry_ops;
	struct gateway_deps deps;
	const struct gateway_ops *callbacks;
	void *data; /* passed to the callbacks */
	struct client_memory memory; /* of searchers' answers */
	struct wv_registry *registry;
	struct wv_dispatch *dispatch;
	struct upstream *upstream;
	struct wv_routes *routes; /* newest version; NULL: none yet */
	struct quota_gate *quota_gate;
	struct admission *admission;
	struct server *server;
	struct event *timer;
};

/* A caller's request, from its submission to its answer. */
struct call {
	struct gateway *gateway;
	struct server_conn *conn;
	struct wv_task *task; /* NULL while it is being submitted */
	struct upstream_request request;
	char *id; /* owned: the caller's identifier of the request */
	struct wv_quota_receipt receipt;
	/* While it waits for the quota of its team: */
	bool waits;
	struct wv_routes *routes; /* of its team; a reference, or NULL */
	const struct wv_team *team;
	const struct message *message; /* borrowed from the connection */
	uint64_t deadline; /* ms after its arrival */
	wv_msec arrived; /* monotonic, ms */
};

static struct gateway *
gateway_of(struct wv_dispatch_ops *ops)
{
	return (struct gateway *)ops;
}

static wv_msec
now_of(const struct gateway *gateway)
{
	return wv_clock_now(gateway->deps.clock);
}

/* Sets the timer to the next due time of the dispatcher and the registry. */
static void
schedule_tick(struct gateway *gateway)
{
	wv_msec at = fmin(wv_dispatch_next_tick(gateway->dispatch),
	    wv_registry_next_tick(gateway->registry));
	struct timeval time;

	if (at >= WV_MSEC_NEVER) {
		event_del(gateway->timer);
		return;
	}
	time = socket_timeval(at - now_of(gateway));
	event_add(gateway->timer, &time);
}

static void
call_destroy(struct call *call)
{
	if (call->request.head != NULL)
		g_string_free(call->request.head, TRUE);
	wv_routes_unref(call->routes);
	g_free(call->id);
	g_free(call);
}

/* Whether an attempt of a task may have reached a searcher. */
static bool
has_arrived(const struct wv_task *task)
{
	for (size_t i = 0; i < task->n_shards; i++) {
		if (task->shards[i].arrived || task->shards[i].live > 0)
			return true;
	}
	return false;
}

static void
end_charge(struct gateway *gateway, const struct call *call,
    const struct wv_task *task)
{
	if (task->team != NULL)
		quota_gate_end(gateway->quota_gate, task->team, call->receipt,
		    has_arrived(task));
}

/* Submits a request that the quota of its team permits. */
static void
submit_call(struct gateway *gateway, struct call *call,
    const struct wv_route *route, const struct wv_team *team)
{
	wv_msec now = now_of(gateway);
	struct wv_caller caller = {
	    .limit = (wv_msec)call->deadline - (now - call->arrived),
	    .network_time = server_conn_network_time(call->conn),
	    .team = team,
	    .data = call};
	const struct message *message = call->message;
	struct wv_string id = {"", 0};
	struct wv_task *task;

	message_find_field(message, gateway->deps.adapter->request_id, &id);
	call->id = g_strndup(id.data, id.length);
	call->request.head = request_head_compose(
	    gateway->deps.adapter, message, gateway->routes->has_teams, team);
	call->request.body = message->body;
	call->request.is_head = message->method == HTTP_HEAD;
	call->request.id = wv_string_borrow(call->id);
	server_conn_set_context(call->conn, call);
	wv_counter_add(&gateway->deps.metrics->requests, 1);
	task = wv_dispatch_submit(
	    gateway->dispatch, now, gateway->routes, route, &caller);
	/*
	 * If no task is returned, the request was answered during the call and
	 * `call` has been destroyed.
	 */
	if (task != NULL)
		call->task = task;
	schedule_tick(gateway);
}

/* Submits a request, or lets it wait for the quota, or refuses it. */
static void
dispatch_call(struct gateway *gateway, struct server_conn *conn,
    const struct message *message, const struct wv_route *route,
    const struct wv_team *team, uint64_t deadline)
{
	struct call *call = g_new0(struct call, 1);
	wv_msec retry_after = 0;

	call->gateway = gateway;
	call->conn = conn;
	call->message = message;
	call->deadline = deadline;
	call->arrived = now_of(gateway);
	switch (quota_gate_charge(
	    gateway->quota_gate, team, call, &call->receipt, &retry_after)) {
	case QUOTA_PERMITTED:
		submit_call(gateway, call, route, team);
		break;
	case QUOTA_REFUSED:
		call_destroy(call);
		admission_refuse_quota(
		    gateway->admission, conn, message, team, retry_after);
		break;
	case QUOTA_WAITS:
		call->waits = true;
		call->routes = wv_routes_ref(gateway->routes);
		call->team = team;
		server_conn_set_context(conn, call);
		break;
	}
}

static void
on_request(void *data, struct server_conn *conn, const struct message *message)
{
	struct gateway *gateway = data;
	const struct wv_route *route;
	const struct wv_team *team;
	uint64_t deadline;

	if (admission_check_form(
		gateway->admission, conn, message, &deadline) &&
	    admission_find_target(
		gateway->admission, conn, message, &route, &team))
		dispatch_call(gateway, conn, message, route, team, deadline);
}

/* Ends the wait of a request for the quota; it has no context any more. */
static void
end_wait(struct gateway *gateway, struct call *call)
{
	quota_gate_cancel(gateway->quota_gate, call->team, call);
	call->waits = false;
	server_conn_set_context(call->conn, NULL);
}

/*
 * Submits a request that waited for the quota, by the newest routes, since its
 * key may have been revoked in the meantime.
 */
static void
submit_waiting(struct gateway *gateway, struct call *call)
{
	const struct wv_route *route;
	const struct wv_team *team;

	if (!admission_find_target(
		gateway->admission, call->conn, call->message, &route, &team)) {
		call_destroy(call);
		return;
	}
	if (team != NULL)
		quota_gate_adopt(gateway->quota_gate, team, &call->receipt);
	submit_call(gateway, call, route, team);
}

static void
on_quota_decided(void *data, void *request, bool permitted, wv_msec retry_after)
{
	struct gateway *gateway = data;
	struct call *call = request;
	struct server_conn *conn = call->conn;
	const struct message *message = call->message;
	struct wv_routes *routes = wv_routes_ref(call->routes);
	const struct wv_team *team = call->team;

	end_wait(gateway, call);
	if (permitted) {
		submit_waiting(gateway, call);
	} else {
		/* Answering may start the next request on the connection. */
		call_destroy(call);
		admission_refuse_quota(
		    gateway->admission, conn, message, team, retry_after);
	}
	wv_routes_unref(routes);
}

static bool
ask_quota(void *data, const struct wv_quota_ask *ask)
{
	struct gateway *gateway = data;

	return gateway->callbacks->ask_quota(gateway->data, ask);
}

static const struct quota_gate_ops quota_gate_ops = {
    ask_quota, on_quota_decided};

static void
on_caller_left(void *data, struct server_conn *conn)
{
	struct gateway *gateway = data;
	struct call *call = server_conn_context(conn);
	char text[LOG_REQUEST_ID_SIZE];

	if (call->waits) {
		wv_counter_add(&gateway->deps.metrics->callers_left, 1);
		end_wait(gateway, call);
		call_destroy(call);
		return;
	}
	log_line(gateway->deps.log, LOG_FAILURE, "caller_left",
	    "\"id\":\"%s\",\"elapsed_ms\":%.1f",
	    log_escape(call->request.id, text, sizeof(text)),
	    now_of(gateway) - call->task->arrived);
	wv_counter_add(&gateway->deps.metrics->callers_left, 1);
	end_charge(gateway, call, call->task);
	wv_dispatch_cancel_task(gateway->dispatch, call->task);
	call_destroy(call);
	schedule_tick(gateway);
}

static void
on_rejected(void *data, unsigned status)
{
	struct gateway *gateway = data;

	if (status == 503) {
		wv_counter_add(&gateway->deps.metrics->refused_not_run, 1);
		log_line(gateway->deps.log, LOG_FAILURE, "request_refused",
		    "\"id\":\"\",\"status\":503,\"reason\":\"memory\"");
		return;
	}
	wv_counter_add(&gateway->deps.metrics->malformed, 1);
	log_line(gateway->deps.log, LOG_FAILURE, "request_malformed",
	    "\"status\":%u", status);
}

static const struct server_ops server_ops = {
    on_request, on_caller_left, on_rejected};

static void
send_attempt(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	struct gateway *gateway = gateway_of(ops);
	struct call *call = attempt->task->caller;

	if (wv_searcher_cold_left(attempt->searcher, attempt->sent_at) > 0)
		wv_counter_add(&gateway->deps.metrics->attempts_cold, 1);
	if (attempt->extra)
		attempt_log_repeated(
		    gateway->deps.log, call->request.id, attempt);
	upstream_send(gateway->upstream, attempt, &call->request);
}

static void
cancel_attempt(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	(void)ops;
	upstream_cancel(attempt);
}

static void
release_message(struct wv_dispatch_ops *ops, void *message)
{
	(void)ops;
	message_destroy(message);
}

static void
attempt_failed(struct wv_dispatch_ops *ops, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed)
{
	struct gateway *gateway = gateway_of(ops);
	struct call *call =
	    attempt->task != NULL ? attempt->task->caller : NULL;
	struct wv_string id = {"", 0};

	if (call != NULL)
		id = call->request.id;
	attempt_log_failed(gateway->deps.log, gateway->deps.metrics, id,
	    attempt, end, elapsed);
}

static void
answer_call(struct wv_dispatch_ops *ops, struct wv_task *task,
    const struct wv_result *result)
{
	struct gateway *gateway = gateway_of(ops);
	struct caller_answer_deps deps = {
	    .clock = gateway->deps.clock,
	    .adapter = gateway->deps.adapter,
	    .log = gateway->deps.log,
	    .metrics = gateway->deps.metrics,
	};
	struct call *call = task->caller;

	end_charge(gateway, call, task);
	/*
	 * Answering may start the next request on the connection, which must
	 * not find the context of this one.
	 */
	server_conn_set_context(call->conn, NULL);
	caller_answer_result(&deps, call->conn, call->request.id, task, result);
	call_destroy(call);
}

static void
release_searcher(struct wv_registry_ops *ops, struct wv_searcher *searcher)
{
	(void)ops;
	upstream_close_idle(searcher);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct gateway *gateway = data;
	wv_msec now = now_of(gateway);

	(void)fd;
	(void)what;
	wv_registry_tick(gateway->registry, now);
	wv_dispatch_tick(gateway->dispatch, now);
	schedule_tick(gateway);
}

static void
on_replied(void *data)
{
	schedule_tick(data);
}

static const struct upstream_ops upstream_ops = {on_replied};

/* Creates the connections to searchers; the dispatcher exists. */
static struct upstream *
create_upstream(struct gateway *gateway)
{
	struct upstream_deps deps = {
	    .base = gateway->deps.base,
	    .clock = gateway->deps.clock,
	    .adapter = gateway->deps.adapter,
	    .log = gateway->deps.log,
	    .metrics = gateway->deps.metrics,
	    .memory = &gateway->memory,
	    .dispatch = gateway->dispatch,
	};

	return upstream_create(&deps, &upstream_ops, gateway);
}

static struct quota_gate *
create_quota_gate(struct gateway *gateway)
{
	struct quota_gate_deps deps = {
	    .base = gateway->deps.base,
	    .clock = gateway->deps.clock,
	    .log = gateway->deps.log,
	    .metrics = gateway->deps.metrics,
	    .quota = gateway->deps.quota,
	    .pool = gateway->deps.pool,
	    .incarnation = gateway->deps.incarnation,
	};

	return quota_gate_create(&deps, &quota_gate_ops, gateway);
}

static struct admission *
create_admission(struct gateway *gateway)
{
	struct admission_deps deps = {
	    .clock = gateway->deps.clock,
	    .adapter = gateway->deps.adapter,
	    .log = gateway->deps.log,
	    .metrics = gateway->deps.metrics,
	    .quota_gate = gateway->quota_gate,
	};

	return admission_create(
	    &deps, &gateway->callbacks->admission, gateway->data);
}

static void
init_ops(struct gateway *gateway)
{
	gateway->ops.send = send_attempt;
	gateway->ops.cancel = cancel_attempt;
	gateway->ops.answer = answer_call;
	gateway->ops.drop = release_message;
	gateway->ops.failed = attempt_failed;
	gateway->registry_ops.release = release_searcher;
}

struct gateway *
gateway_create(
    const struct gateway_deps *deps, const struct gateway_ops *ops, void *data)
{
	struct gateway *gateway = g_new0(struct gateway, 1);

	gateway->deps = *deps;
	gateway->callbacks = ops;
	gateway->data = data;
	init_ops(gateway);
	gateway->memory.max_answer = MAX_ANSWER_BYTES;
	gateway->memory.max_total = MAX_ANSWERS_BYTES;
	gateway->memory.max_requests = MAX_REQUESTS_BYTES;
	gateway->registry = wv_registry_create(
	    wv_string_borrow(deps->settings->zone), &gateway->registry_ops);
	gateway->dispatch = wv_dispatch_create(
	    gateway->registry, &gateway->ops, deps->incarnation);
	gateway->upstream = create_upstream(gateway);
	gateway->quota_gate = create_quota_gate(gateway);
	gateway->admission = create_admission(gateway);
	gateway->timer = event_new(deps->base, -1, 0, on_timer, gateway);
	gateway->server =
	    server_create_closed(deps->base, &server_ops, gateway);
	return gateway;
}

struct wv_registry *
gateway_registry(struct gateway *gateway)
{
	return gateway->registry;
}

void
gateway_set_routes(struct gateway *gateway, struct wv_routes *routes)
{
	wv_routes_unref(gateway->routes);
	gateway->routes = wv_routes_ref(routes);
	wv_dispatch_set_routes(gateway->dispatch, routes);
	quota_gate_set_teams(gateway->quota_gate, routes);
	admission_set_routes(gateway->admission, routes);
	server_set_limits(gateway->server, &routes->limits);
}

void
gateway_set_limits(
    struct gateway *gateway, const struct wv_dispatch_limits *limits)
{
	wv_dispatch_set_limits(gateway->dispatch, limits);
}

void
gateway_set_quota(struct gateway *gateway, const struct wv_quota_limits *limits)
{
	quota_gate_set_limits(gateway->quota_gate, limits, gateway->routes);
}

void
gateway_apply_quota_answer(struct gateway *gateway, uint64_t id,
    unsigned permitted, wv_msec retry_after)
{
	quota_gate_apply_answer(
	    gateway->quota_gate, id, permitted, retry_after);
}

void
gateway_set_max_searcher_conns(struct gateway *gateway, size_t max_conns)
{
	upstream_set_max_conns(gateway->upstream, max_conns);
}

void
gateway_registry_changed(struct gateway *gateway)
{
	wv_dispatch_registry_changed(gateway->dispatch, now_of(gateway));
	schedule_tick(gateway);
}

struct server *
gateway_server(struct gateway *gateway)
{
	return gateway->server;
}

void
gateway_refuse_new(struct gateway *gateway)
{
	admission_refuse_new(gateway->admission);
}

bool
gateway_is_refusing(const struct gateway *gateway)
{
	return admission_is_refusing(gateway->admission);
}

bool
gateway_read_quota(struct gateway *gateway, const struct wv_team *team,
    struct wv_quota_state *state, size_t *homes)
{
	*homes = quota_gate_count_homes(gateway->quota_gate, team);
	return quota_gate_read(gateway->quota_gate, team, state);
}

struct wv_explanation *
gateway_explain(struct gateway *gateway, wv_msec now,
    const struct wv_route *route, const struct wv_team *team, wv_msec limit)
{
	struct wv_caller caller = {
	    .limit = limit < 0 ? ADMISSION_DEFAULT_DEADLINE : limit,
	    .team = team};

	return wv_dispatch_explain(
	    gateway->dispatch, now, gateway->routes, route, &caller);
}

static void
abort_call(void *data, struct server_conn *conn)
{
	struct gateway *gateway = data;
	struct call *call = server_conn_context(conn);

	if (call != NULL && call->waits) {
		const struct message *message = call->message;

		end_wait(gateway, call);
		call_destroy(call);
		admission_refuse_stopping(gateway->admission, conn, message);
	} else if (call != NULL && call->task != NULL) {
		wv_dispatch_abort_task(
		    gateway->dispatch, now_of(gateway), call->task);
	}
}

void
gateway_abort(struct gateway *gateway)
{
	server_foreach_busy(gateway->server, abort_call, gateway);
}

void
gateway_destroy(struct gateway *gateway)
{
	gateway_abort(gateway);
	server_destroy(gateway->server);
	event_free(gateway->timer);
	wv_dispatch_destroy(gateway->dispatch);
	wv_registry_destroy(gateway->registry);
	upstream_destroy(gateway->upstream);
	admission_destroy(gateway->admission);
	quota_gate_destroy(gateway->quota_gate);
	wv_routes_unref(gateway->routes);
	g_free(gateway);
}
