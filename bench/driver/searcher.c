/**
 * @file
 * The simulated searcher.
 */
#include "bench/driver/searcher.h"

/* Maximum number of index versions that a reply lists. */
#define MAX_REPLY_VERSIONS 4
/* Marks a wrong attempt number: no executor assigns numbers with this bit. */
#define FOREIGN_BIT ((uint64_t)1 << 62)

/* One request, from sending it to its completion. */
struct call {
	struct sim_searcher *searcher;
	struct sim_client *client;
	struct wv_attempt_id attempt;
	char *key; /* owned; NULL for a search */
	uint64_t index_version;
	uint64_t map;
	wv_msec delay; /* one-way */
	wv_msec deadline;
	wv_msec started;
	bool running;
	bool aborted; /* aborted before its completion event */
};

/* A reply in transit. */
struct delivery {
	struct sim_client *client;
	struct wv_shard_reply reply;
	uint64_t versions[MAX_REPLY_VERSIONS];
};

/* A cancel, or its outcome, in transit. */
struct cancel {
	struct sim_searcher *searcher;
	struct sim_client *client;
	struct wv_attempt_id attempt;
	wv_msec delay;
	enum wv_cancel_outcome outcome;
};

void
sim_searcher_init(struct sim_searcher *searcher, struct sim *sim,
    const struct wv_searcher_info *info, GHashTable *job_runs)
{
	memset(searcher, 0, sizeof(*searcher));
	searcher->sim = sim;
	searcher->id = info->id;
	searcher->slots = info->slots;
	searcher->mean_service_time = 20.0;
	searcher->service_time_sigma = SIM_SERVICE_TIME_SIGMA;
	searcher->documents = 1000;
	searcher->job_runs = job_runs;
	searcher->calls = g_ptr_array_new();
}

static void
destroy_call(struct call *call)
{
	g_free(call->key);
	g_free(call);
}

void
sim_searcher_clear(struct sim_searcher *searcher)
{
	g_ptr_array_free(searcher->calls, TRUE);
}

static void
deliver_reply(void *data)
{
	struct delivery *delivery = data;
	struct sim_client *client = delivery->client;

	if (client->paused_until > client->sim->now) {
		sim_schedule(
		    client->sim, client->paused_until, deliver_reply, delivery);
		return;
	}
	if (client->dead) {
		g_free(delivery);
		return;
	}
	delivery->reply.versions = delivery->versions;
	delivery->client->reply(delivery->client, &delivery->reply);
	g_free(delivery);
}

static void
send_reply(const struct call *call, enum wv_reply_outcome outcome)
{
	const struct sim_searcher *searcher = call->searcher;
	const struct sim_faults *faults = &searcher->faults;
	wv_msec arrival =
	    searcher->sim->now + call->delay + faults->reply_delay;
	struct delivery delivery = {.client = call->client};
	struct wv_shard_reply *reply = &delivery.reply;

	reply->attempt = call->attempt;
	reply->outcome = outcome;
	reply->index_version = searcher->index_version;
	reply->map = searcher->map;
	reply->draining = faults->draining;
	for (uint64_t v = searcher->index_version;
	     v >= searcher->oldest_version &&
	     reply->n_versions < MAX_REPLY_VERSIONS;
	     v--)
		delivery.versions[reply->n_versions++] = v;
	if (outcome == WV_REPLY_ANSWERED) {
		reply->index_version =
		    call->index_version + (faults->wrong_version ? 1 : 0);
		reply->partial = faults->partial;
		reply->documents_total = searcher->documents;
		reply->documents = faults->partial ? searcher->documents / 2
						   : searcher->documents;
	}
	if (faults->truncated && outcome == WV_REPLY_ANSWERED)
		reply->outcome = WV_REPLY_FAILED;
	if (faults->crossed)
		reply->attempt.counter |= FOREIGN_BIT;
	for (int i = 0; i < (faults->doubled ? 2 : 1); i++)
		sim_schedule(searcher->sim, arrival + i, deliver_reply,
		    g_memdup2(&delivery, sizeof(delivery)));
}

static void start_waiting_calls(struct sim_searcher *searcher);

/* Removes a call from the searcher and frees its slot; does not release it. */
static void
remove_call(struct call *call)
{
	struct sim_searcher *searcher = call->searcher;

	g_ptr_array_remove(searcher->calls, call);
	if (call->running) {
		wv_msec from = MAX(call->started, searcher->measured_from);

		searcher->running--;
		if (searcher->sim->now > from)
			searcher->busy_time += searcher->sim->now - from;
	}
	start_waiting_calls(searcher);
}

static void
complete_call(void *data)
{
	struct call *call = data;

	if (!call->aborted) {
		remove_call(call);
		/* A request is stopped at its deadline without a reply. */
		if (call->searcher->sim->now < call->deadline)
			send_reply(call, WV_REPLY_ANSWERED);
	}
	destroy_call(call);
}

static void
count_run(struct call *call)
{
	struct sim_searcher *searcher = call->searcher;
	guint runs;

	searcher->runs++;
	if (call->key == NULL)
		return;
	runs = GPOINTER_TO_UINT(
	    g_hash_table_lookup(searcher->job_runs, call->key));
	if (runs > 0)
		searcher->double_runs++;
	g_hash_table_replace(searcher->job_runs, g_strdup(call->key),
	    GUINT_TO_POINTER(runs + 1));
}

static void
start_call(struct call *call)
{
	struct sim_searcher *searcher = call->searcher;
	double slow = searcher->faults.slow > 0 ? searcher->faults.slow : 1.0;
	wv_msec time = searcher->mean_service_time * slow;

	if (searcher->service_time_sigma > 0)
		time = sim_draw_log_normal(
		    searcher->sim, time, searcher->service_time_sigma);
	call->running = true;
	call->started = searcher->sim->now;
	searcher->running++;
	count_run(call);
	if (searcher->faults.manual)
		time = WV_MSEC_NEVER;
	sim_schedule(searcher->sim, MIN(call->started + time, call->deadline),
	    complete_call, call);
}

static void
start_waiting_calls(struct sim_searcher *searcher)
{
	for (guint i = 0;
	     i < searcher->calls->len && searcher->running < searcher->slots;
	     i++) {
		struct call *call = searcher->calls->pdata[i];

		if (!call->running)
			start_call(call);
	}
}

static void
receive_call(void *data)
{
	struct call *call = data;
	struct sim_searcher *searcher = call->searcher;
	enum wv_reply_outcome rejection = WV_REPLY_ANSWERED;

	searcher->received++;
	searcher->last_arrival = searcher->sim->now;
	if (searcher->faults.lost) {
		destroy_call(call);
		return;
	}
	if (searcher->faults.refusing)
		rejection = WV_REPLY_NOT_SENT;
	else if (searcher->faults.shedding)
		rejection = WV_REPLY_NOT_STARTED;
	else if (call->index_version < searcher->oldest_version ||
	    call->index_version > searcher->index_version ||
	    call->map != searcher->map)
		rejection = WV_REPLY_VERSION_GONE;
	if (rejection != WV_REPLY_ANSWERED) {
		send_reply(call, rejection);
		destroy_call(call);
		return;
	}
	g_ptr_array_add(searcher->calls, call);
	searcher->max_present =
	    MAX(searcher->max_present, searcher->calls->len);
	start_waiting_calls(searcher);
}

void
sim_searcher_send(struct sim_searcher *searcher, struct sim_client *client,
    const struct wv_shard_request *request, wv_msec delay, wv_msec connect_cost)
{
	struct call *call = g_new0(struct call, 1);

	call->searcher = searcher;
	call->client = client;
	call->attempt = request->attempt;
	if (request->work == WV_WORK_JOB)
		call->key = g_strndup(request->key.data, request->key.length);
	call->index_version = request->index_version;
	call->map = request->map;
	call->delay = delay;
	call->deadline = searcher->sim->now + request->timeout;
	sim_schedule(searcher->sim, searcher->sim->now + connect_cost + delay,
	    receive_call, call);
}

static struct call *
find_call(const struct sim_searcher *searcher, struct wv_attempt_id attempt)
{
	for (guint i = 0; i < searcher->calls->len; i++) {
		struct call *call = searcher->calls->pdata[i];

		if (wv_attempt_id_equal(call->attempt, attempt))
			return call;
	}
	return NULL;
}

bool
sim_searcher_abort(struct sim_searcher *searcher, struct wv_attempt_id attempt)
{
	struct call *call = find_call(searcher, attempt);

	if (call == NULL)
		return false;
	remove_call(call);
	if (call->running)
		call->aborted = true;
	else
		destroy_call(call);
	return true;
}

static void
deliver_cancel_outcome(void *data)
{
	struct cancel *cancel = data;
	struct sim_client *client = cancel->client;

	if (client->paused_until > client->sim->now) {
		sim_schedule(client->sim, client->paused_until,
		    deliver_cancel_outcome, cancel);
		return;
	}
	if (!client->dead)
		client->cancelled(client, cancel->attempt, cancel->outcome);
	g_free(cancel);
}

/*
 * Aborts a call. A cancel that overtakes its request finds nothing, so that its
 * outcome is unknown.
 */
static void
receive_cancel(void *data)
{
	struct cancel *cancel = data;
	struct sim_searcher *searcher = cancel->searcher;

	if (searcher->faults.lost) {
		g_free(cancel);
		return;
	}
	cancel->outcome = WV_CANCEL_UNKNOWN;
	if (sim_searcher_abort(searcher, cancel->attempt))
		cancel->outcome = WV_CANCEL_FREED;
	sim_schedule(searcher->sim, searcher->sim->now + cancel->delay,
	    deliver_cancel_outcome, cancel);
}

void
sim_searcher_cancel(struct sim_searcher *searcher, struct sim_client *client,
    struct wv_attempt_id attempt, wv_msec delay)
{
	struct cancel *cancel = g_new0(struct cancel, 1);

	cancel->searcher = searcher;
	cancel->client = client;
	cancel->attempt = attempt;
	cancel->delay = delay;
	sim_schedule(
	    searcher->sim, searcher->sim->now + delay, receive_cancel, cancel);
}
