/**
 * @file
 * The connection between an executor and simulated searchers.
 */
#include "bench/driver/lane.h"

/* An attempt in flight; released by its timeout event. */
struct pending {
	struct sim_lane *lane;
	struct wv_attempt_id attempt;
	size_t searcher;
};

static guint
hash_attempt(gconstpointer key)
{
	const struct wv_attempt_id *id = key;

	return (guint)id->counter;
}

static gboolean
equal_attempts(gconstpointer a, gconstpointer b)
{
	const struct wv_attempt_id *left = a, *right = b;

	return wv_attempt_id_equal(*left, *right);
}

static void
run_tick(void *data)
{
	struct sim_lane *lane = data;

	if (lane->client.dead || lane->sim->now < lane->next_tick)
		return;
	if (lane->client.paused_until > lane->sim->now) {
		lane->next_tick = lane->client.paused_until;
		sim_schedule(lane->sim, lane->next_tick, run_tick, lane);
		return;
	}
	lane->next_tick = WV_MSEC_NEVER;
	wv_executor_tick(lane->executor, lane->sim->now);
	sim_lane_schedule_tick(lane);
}

void
sim_lane_schedule_tick(struct sim_lane *lane)
{
	wv_msec next = wv_executor_next_tick(lane->executor);

	if (next >= lane->next_tick || next >= WV_MSEC_NEVER)
		return;
	lane->next_tick = MAX(next, lane->sim->now);
	sim_schedule(lane->sim, lane->next_tick, run_tick, lane);
}

static void
receive_reply(struct sim_client *client, const struct wv_shard_reply *reply)
{
	struct sim_lane *lane = (struct sim_lane *)(void *)((char *)client -
	    offsetof(struct sim_lane, client));
	struct pending *pending;

	pending = g_hash_table_lookup(lane->pending, &reply->attempt);
	if (pending != NULL) {
		lane->busy_connections[pending->searcher]--;
		g_hash_table_remove(lane->pending, &reply->attempt);
	}
	wv_executor_reply(lane->executor, lane->sim->now, reply);
	sim_lane_schedule_tick(lane);
}

static void
receive_cancel_outcome(struct sim_client *client, struct wv_attempt_id attempt,
    enum wv_cancel_outcome outcome)
{
	struct sim_lane *lane = (struct sim_lane *)(void *)((char *)client -
	    offsetof(struct sim_lane, client));

	wv_executor_cancelled(lane->executor, lane->sim->now, attempt, outcome);
	sim_lane_schedule_tick(lane);
}

/* Closes the connection of an attempt that has no reply at its timeout. */
static void
expire_attempt(void *data)
{
	struct pending *pending = data;
	struct sim_lane *lane = pending->lane;
	struct wv_shard_reply reply = {
	    .attempt = pending->attempt, .outcome = WV_REPLY_TIMED_OUT};

	if (lane->client.paused_until > lane->sim->now) {
		sim_schedule(lane->sim, lane->client.paused_until,
		    expire_attempt, pending);
		return;
	}
	if (!lane->client.dead &&
	    g_hash_table_remove(lane->pending, &pending->attempt)) {
		lane->busy_connections[pending->searcher]--;
		lane->open_connections[pending->searcher]--;
		wv_executor_reply(lane->executor, lane->sim->now, &reply);
		sim_lane_schedule_tick(lane);
	}
	g_free(pending);
}

static void
report_not_sent(void *data)
{
	struct pending *pending = data;
	struct sim_lane *lane = pending->lane;
	struct wv_shard_reply reply = {
	    .attempt = pending->attempt, .outcome = WV_REPLY_NOT_SENT};

	g_free(pending);
	if (!lane->client.dead)
		receive_reply(&lane->client, &reply);
}

/*
 * Takes a connection to a searcher. Returns the time to open it, or 0 if an
 * idle connection is open.
 */
static wv_msec
acquire_connection(struct sim_lane *lane, size_t searcher)
{
	lane->busy_connections[searcher]++;
	if (lane->busy_connections[searcher] <=
	    lane->open_connections[searcher])
		return 0;
	lane->open_connections[searcher]++;
	return lane->back_end->shape->connect_cost;
}

static void
send_request(
    struct wv_executor_sink *sink, const struct wv_shard_request *request)
{
	struct sim_lane *lane = (struct sim_lane *)sink;
	struct sim_searcher *searcher =
	    &lane->back_end->searchers[request->searcher];
	struct pending *pending = g_new(struct pending, 1);
	wv_msec cost = acquire_connection(lane, request->searcher);
	wv_msec delay = sim_one_way_delay(
	    lane->back_end->shape->deployment, lane->zone, searcher->zone);

	if (request->extra)
		lane->extra_attempts++;
	else
		lane->first_attempts++;
	pending->lane = lane;
	pending->attempt = request->attempt;
	pending->searcher = request->searcher;
	if (lane->on_send != NULL)
		lane->on_send(lane->callback_data, request);
	g_hash_table_insert(lane->pending, &pending->attempt, pending);
	sim_schedule(lane->sim, lane->sim->now + request->timeout,
	    expire_attempt, pending);
	if (lane->may_send_job != NULL && request->work == WV_WORK_JOB &&
	    !lane->may_send_job(lane->callback_data, request->request)) {
		sim_schedule(lane->sim, lane->sim->now, report_not_sent,
		    g_memdup2(pending, sizeof(*pending)));
		return;
	}
	sim_searcher_send(searcher, &lane->client, request, delay, cost);
}

static void
send_cancel(struct wv_executor_sink *sink, size_t searcher_index,
    struct wv_attempt_id attempt)
{
	struct sim_lane *lane = (struct sim_lane *)sink;
	struct sim_searcher *searcher =
	    &lane->back_end->searchers[searcher_index];

	sim_searcher_cancel(searcher, &lane->client, attempt,
	    sim_one_way_delay(
		lane->back_end->shape->deployment, lane->zone, searcher->zone));
}

static void
pass_answer(struct wv_executor_sink *sink, const struct wv_answer *answer)
{
	struct sim_lane *lane = (struct sim_lane *)sink;

	lane->on_answer(lane->callback_data, answer);
}

static const struct wv_executor_ops executor_ops = {
    send_request, send_cancel, pass_answer};

void
sim_lane_init(struct sim_lane *lane, struct sim_back_end *back_end,
    struct sim *sim, struct wv_vm_id vm, uint32_t zone, uint32_t seed)
{
	size_t n = back_end->topology->n_searchers;
	struct wv_executor_config config;

	memset(lane, 0, sizeof(*lane));
	lane->sink.ops = &executor_ops;
	lane->client.sim = sim;
	lane->client.reply = receive_reply;
	lane->client.cancelled = receive_cancel_outcome;
	lane->sim = sim;
	lane->back_end = back_end;
	lane->zone = zone;
	lane->next_tick = WV_MSEC_NEVER;
	lane->pending = g_hash_table_new(hash_attempt, equal_attempts);
	lane->busy_connections = g_new0(uint32_t, n);
	lane->open_connections = g_new0(uint32_t, n);
	wv_executor_config_init(&config);
	config.vm = wv_string_hash(vm.name);
	config.incarnation = vm.incarnation;
	config.next_attempt = &lane->next_attempt;
	config.seed = seed;
	lane->executor =
	    wv_executor_create(&config, back_end->topology, &lane->sink);
}

void
sim_lane_clear(struct sim_lane *lane)
{
	wv_executor_destroy(lane->executor);
	g_hash_table_destroy(lane->pending);
	g_free(lane->busy_connections);
	g_free(lane->open_connections);
}

void
sim_lane_submit(struct sim_lane *lane, const struct wv_request *request,
    const struct wv_contract *contract)
{
	wv_executor_submit(lane->executor, lane->sim->now, request, contract);
	sim_lane_schedule_tick(lane);
}
