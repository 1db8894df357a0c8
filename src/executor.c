/**
 * @file
 * Public functions of an executor: creation, and the events that drive it.
 */
#include <string.h>

#include "src/executor_private.h"

/** Default settings. */
#define DEFAULT_MAX_HITS 20
#define DEFAULT_QUEUE_LIMIT 128
/** Default of slot_margin, ms; assumes that processes stall only briefly. */
#define DEFAULT_SLOT_MARGIN_MS 10.0

GHashTable *
wv_string_table_create(GDestroyNotify destroy_value)
{
	return g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, destroy_value);
}

/* The counter alone is a sufficient hash: the other fields rarely differ. */
static guint
hash_attempt(gconstpointer key)
{
	const struct wv_attempt_id *id = key;

	return (guint)(id->counter ^ (id->vm_hash >> 32) ^ id->incarnation);
}

static gboolean
equal_attempts(gconstpointer a, gconstpointer b)
{
	return wv_attempt_id_equal(
	    *(const struct wv_attempt_id *)a, *(const struct wv_attempt_id *)b);
}

static void
destroy_customer(gpointer data)
{
	struct customer *customer = data;

	wv_string_clear(&customer->name);
	g_free(customer);
}

void
wv_executor_config_init(struct wv_executor_config *config)
{
	memset(config, 0, sizeof(*config));
	config->seed = 1;
	config->max_hits = DEFAULT_MAX_HITS;
	config->queue_limit = DEFAULT_QUEUE_LIMIT;
	config->hedge = true;
	config->slot_margin = DEFAULT_SLOT_MARGIN_MS;
}

struct wv_executor *
wv_executor_create(const struct wv_executor_config *config,
    const struct wv_topology *topology, struct wv_executor_sink *sink)
{
	struct wv_executor *executor = g_new0(struct wv_executor, 1);

	executor->config = *config;
	if (executor->config.next_attempt == NULL)
		executor->config.next_attempt = &executor->own_counter;
	executor->sink = sink;
	executor->retired = g_ptr_array_new();
	executor->dirty = g_ptr_array_new();
	executor->attempts = g_hash_table_new(hash_attempt, equal_attempts);
	executor->queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	executor->customers = wv_string_table_create(destroy_customer);
	executor->searcher_ids = wv_string_table_create(NULL);
	executor->quarantine.kind = TIMER_QUARANTINE;
	executor->quarantine_until = -WV_MSEC_NEVER;
	executor->lease_until = -WV_MSEC_NEVER;
	executor->limits = wv_limits_create(topology->lanes);
	wv_limits_set_lane(executor->limits, config->lane);
	/* Any odd factor spreads small seeds. The state must not be 0. */
	executor->random =
	    (config->seed + UINT64_C(1)) * UINT64_C(0x9e3779b97f4a7c15);
	executor->best_hits = g_new0(struct wv_hit, config->max_hits + 1);
	wv_executor_apply_topology(executor, 0, topology);
	return executor;
}

/* Destroys a table after a call of destroy for each of its values. */
static void
destroy_values(GHashTable *table, void (*destroy)(gpointer))
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		destroy(value);
	g_hash_table_destroy(table);
}

static void
destroy_query(gpointer data)
{
	wv_query_destroy(data);
}

void
wv_executor_destroy(struct wv_executor *executor)
{
	struct query *query;
	struct attempt *attempt;

	if (executor == NULL)
		return;
	destroy_values(executor->queries, destroy_query);
	destroy_values(executor->attempts, g_free);
	while ((query = executor->unused_queries) != NULL) {
		executor->unused_queries = query->next;
		wv_query_destroy(query);
	}
	while ((attempt = executor->unused_attempts) != NULL) {
		executor->unused_attempts = attempt->next;
		g_free(attempt);
	}
	wv_executor_clear_topology(executor);
	wv_timers_clear(&executor->timers);
	g_ptr_array_free(executor->dirty, TRUE);
	g_hash_table_destroy(executor->customers);
	wv_limits_destroy(executor->limits);
	g_free(executor->best_hits);
	g_free(executor);
}

void
wv_executor_set_topology(struct wv_executor *executor, wv_msec now,
    const struct wv_topology *topology)
{
	if (topology->version <= executor->topology->version)
		return;
	wv_executor_apply_topology(executor, now, topology);
	wv_dispatch(executor, now);
}

/*
 * Refuses requests of which nothing was sent: after the lease is lost, they may
 * run on the next holder.
 */
static void
refuse_unsent(struct wv_executor *executor, wv_msec now)
{
	GPtrArray *unsent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->queries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct query *query = value;

		if (query->attempts == 0)
			g_ptr_array_add(unsent, value);
	}
	for (guint i = 0; i < unsent->len; i++)
		wv_query_fail(executor, now, unsent->pdata[i],
		    WV_HOLDER_UNREACHABLE,
		    "this VM no longer holds the lane's lease");
	g_ptr_array_free(unsent, TRUE);
}

void
wv_executor_set_lease(struct wv_executor *executor, wv_msec now, wv_msec until)
{
	bool had_lease = now < executor->lease_until;

	executor->lease_until = until;
	if (until <= now) {
		refuse_unsent(executor, now);
		return;
	}
	if (!had_lease) {
		wv_limits_reset_for_takeover(executor->limits, now);
		wv_service_mark_all(executor);
	}
	wv_dispatch(executor, now);
}

void
wv_executor_quarantine(struct wv_executor *executor, wv_msec until)
{
	if (until <= executor->quarantine_until)
		return;
	executor->quarantine_until = until;
	wv_timers_set(&executor->timers, &executor->quarantine, until);
}

void
wv_executor_adopt_attempt(
    struct wv_executor *executor, const struct wv_running_attempt *running)
{
	struct searcher *searcher =
	    g_hash_table_lookup(executor->searcher_ids, &running->searcher);
	struct attempt *attempt;

	if (searcher == NULL ||
	    wv_attempt_find(executor, running->attempt) != NULL)
		return;
	attempt = wv_attempt_create(executor, running->attempt, searcher);
	attempt->adopted = true;
	attempt->reply_due = running->until;
	attempt->slot_free_by = running->until;
	wv_timers_set(
	    &executor->timers, &attempt->timer, attempt->slot_free_by);
}

void
wv_executor_foreach_running(const struct wv_executor *executor,
    void (*visit)(void *data, const struct wv_running_attempt *attempt),
    void *data)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, executor->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct attempt *attempt = value;
		struct wv_running_attempt running = {
		    .attempt = attempt->id,
		    .searcher = attempt->searcher->id,
		    .until = attempt->slot_free_by,
		};

		visit(data, &running);
	}
}

void
wv_executor_release_adopted(
    struct wv_executor *executor, wv_msec now, struct wv_attempt_id id)
{
	struct attempt *attempt = wv_attempt_find(executor, id);

	if (attempt == NULL || !attempt->adopted)
		return;
	wv_attempt_close(executor, now, attempt, true);
	wv_dispatch(executor, now);
}

void
wv_executor_abandon(struct wv_executor *executor, wv_msec now, uint64_t request)
{
	struct query *query = g_hash_table_lookup(executor->queries, &request);

	if (query == NULL)
		return;
	if (query->work == WV_WORK_SEARCH)
		wv_query_drop(executor, now, query);
	else if (query->attempts == 0)
		wv_query_fail(executor, now, query, WV_JOB_NOT_RUN,
		    "the caller has gone before the job was sent");
	wv_dispatch(executor, now);
}

static void
mark_leaving(struct wv_executor *executor, struct searcher *searcher,
    uint64_t generation, enum wv_leaving_source source)
{
	wv_replica_mark_leaving(searcher->replica, generation, source);
	wv_searcher_update_state(executor, searcher);
}

/*
 * Updates the versions and the leaving state of a searcher from its reply.
 * Replies of a previous generation are ignored.
 */
static void
update_from_reply(struct wv_executor *executor, const struct attempt *attempt,
    const struct wv_shard_reply *reply)
{
	struct searcher *searcher = attempt->searcher;

	if (searcher->service == NULL ||
	    searcher->generation != attempt->generation)
		return;
	if (reply->n_versions > 0 &&
	    wv_searcher_set_versions(
		searcher, reply->versions, reply->n_versions, reply->map)) {
		executor->snapshot_stale = true;
		wv_service_mark(executor, searcher->service);
	}
	if (reply->draining)
		mark_leaving(executor, searcher, searcher->generation,
		    WV_LEAVING_HEADER);
}

/*
 * Drops a late reply. If it is well-formed, the searcher is done and the slot
 * is freed.
 */
static void
handle_late_reply(struct wv_executor *executor, wv_msec now,
    struct attempt *attempt, const struct wv_shard_reply *reply)
{
	executor->counters.late_replies++;
	if (reply->outcome != WV_REPLY_FAILED &&
	    reply->outcome != WV_REPLY_TIMED_OUT)
		wv_attempt_close(executor, now, attempt, true);
}

void
wv_executor_reply(struct wv_executor *executor, wv_msec now,
    const struct wv_shard_reply *reply)
{
	struct attempt *attempt = wv_attempt_find(executor, reply->attempt);

	if (attempt == NULL || attempt->adopted) {
		executor->counters.unknown_replies++;
		return;
	}
	update_from_reply(executor, attempt, reply);
	if (attempt->shard == NULL)
		handle_late_reply(executor, now, attempt, reply);
	else
		wv_shard_reply(executor, now, attempt, reply);
	wv_dispatch(executor, now);
}

void
wv_executor_cancelled(struct wv_executor *executor, wv_msec now,
    struct wv_attempt_id id, enum wv_cancel_outcome outcome)
{
	struct attempt *attempt = wv_attempt_find(executor, id);

	if (attempt == NULL || attempt->adopted || attempt->shard != NULL ||
	    outcome != WV_CANCEL_FREED)
		return;
	wv_attempt_close(executor, now, attempt, true);
	wv_dispatch(executor, now);
}

void
wv_executor_mark_leaving(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source)
{
	struct searcher *found =
	    g_hash_table_lookup(executor->searcher_ids, &searcher);

	if (found == NULL)
		return;
	mark_leaving(executor, found, generation, source);
	wv_dispatch(executor, now);
}

void
wv_executor_update_versions(struct wv_executor *executor, wv_msec now,
    struct wv_string searcher, const uint64_t *versions, size_t n_versions,
    uint64_t map)
{
	struct searcher *found =
	    g_hash_table_lookup(executor->searcher_ids, &searcher);

	if (found == NULL ||
	    !wv_searcher_set_versions(found, versions, n_versions, map))
		return;
	executor->snapshot_stale = true;
	wv_service_mark(executor, found->service);
	wv_dispatch(executor, now);
}

#define CONTAINER_OF(pointer, type, member) \
	((type *)(void *)((char *)(pointer)-offsetof(type, member)))

/* Handles an attempt that got no reply in time; its request goes on. */
static void
time_out_attempt(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	struct wv_shard_reply reply = {
	    .attempt = attempt->id, .outcome = WV_REPLY_TIMED_OUT};

	wv_shard_reply(executor, now, attempt, &reply);
}

/*
 * Handles the timer of an attempt: time for a hedge, timeout, missing reply to
 * a cancel, or expiry of its slot.
 */
static void
attempt_timer_expired(
    struct wv_executor *executor, wv_msec now, struct attempt *attempt)
{
	if (attempt->shard != NULL && now < attempt->reply_due) {
		wv_shard_hedge(executor, now, attempt);
		return;
	}
	if (attempt->shard != NULL) {
		time_out_attempt(executor, now, attempt);
		return;
	}
	if (now < attempt->slot_free_by) {
		wv_attempt_overdue(executor, now, attempt);
		return;
	}
	executor->counters.slots_expired++;
	wv_attempt_close(executor, now, attempt, false);
}

static void
timer_expired(struct wv_executor *executor, wv_msec now, struct timer *timer)
{
	switch ((enum timer_kind)timer->kind) {
	case TIMER_QUERY:
		wv_query_expire(
		    executor, now, CONTAINER_OF(timer, struct query, timer));
		break;
	case TIMER_ATTEMPT:
		attempt_timer_expired(
		    executor, now, CONTAINER_OF(timer, struct attempt, timer));
		break;
	case TIMER_SERVICE:
		wv_service_mark(
		    executor, CONTAINER_OF(timer, struct service, timer));
		break;
	case TIMER_QUARANTINE:
		wv_service_mark_all(executor);
		break;
	}
}

void
wv_executor_tick(struct wv_executor *executor, wv_msec now)
{
	struct timer *timer;

	while ((timer = wv_timers_pop(&executor->timers, now)) != NULL)
		timer_expired(executor, now, timer);
	wv_dispatch(executor, now);
}

wv_msec
wv_executor_next_tick(const struct wv_executor *executor)
{
	return wv_timers_next(&executor->timers);
}

size_t
wv_executor_pending(const struct wv_executor *executor)
{
	return g_hash_table_size(executor->queries);
}
