/**
 * @file
 * Requests that wait for permission from a home of their team.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/quota_asks.h"

/**
 * Time within which a home must answer, ms. Both homes together take less than
 * half of WV_QUOTA_GRANT_USE, and a tenth of the shortest deadline of 300 ms is
 * lost if one of them has failed.
 */
#define MAX_ANSWER_TIME 30.0
/** Time for which a home that did not answer is asked last, ms. */
#define FAILED_TIME 1000.0
/**
 * Time after a refusal by all homes in which no further question is asked, ms:
 * the homes of a team far above its limit are not asked for each request.
 */
#define REFUSED_TIME 100.0
/** Least and longest time until a refused caller is to return, ms. */
#define MIN_RETRY 50.0
#define MAX_RETRY 5000.0
/** Time until a token is expected if no home has said it, ms. */
#define UNKNOWN_RETRY 200.0
/** Most requests that wait, of all teams, so that memory is bounded. */
#define MAX_WAITING 4096

/* A team with requests that wait, or whose homes refused lately. */
struct queue {
	gint64 team; /* hash of the name; key in the table */
	GQueue requests; /* as passed to add(); borrowed */
	uint64_t
	    homes[WV_QUOTA_HOMES]; /* in the order in which they are asked */
	size_t n_homes;
	size_t next; /* home that is asked next */
	uint64_t id; /* of the question; 0: none is open */
	wv_msec asked_at;
	unsigned tokens; /* of the question */
	wv_msec retry_after; /* least of the answers */
	wv_msec refused_until;
	wv_msec returns_at; /* when the last refused caller is to return */
};

struct failure {
	uint64_t home;
	wv_msec until;
};

struct wv_quota_asks {
	const struct wv_quota_pool *pool;
	const struct wv_quota_asks_ops *ops;
	void *data;
	uint64_t last_id;
	GHashTable *queues; /* struct queue by team; owned */
	GQueue decided; /* requests that no longer wait, being decided on */
	struct failure failures[WV_QUOTA_HOMES * 4]; /* the newest */
	size_t n_failures; /* recorded so far */
	struct wv_quota_asks_state state;
};

static void
queue_destroy(gpointer data)
{
	struct queue *queue = data;

	g_queue_clear(&queue->requests);
	g_free(queue);
}

struct wv_quota_asks *
wv_quota_asks_create(const struct wv_quota_pool *pool,
    const struct wv_quota_asks_ops *ops, void *data, uint64_t seed)
{
	struct wv_quota_asks *asks = g_new0(struct wv_quota_asks, 1);

	asks->pool = pool;
	asks->ops = ops;
	asks->data = data;
	asks->last_id = seed << 20;
	g_queue_init(&asks->decided);
	asks->queues = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, queue_destroy);
	return asks;
}

void
wv_quota_asks_destroy(struct wv_quota_asks *asks)
{
	g_hash_table_unref(asks->queues);
	g_queue_clear(&asks->decided);
	g_free(asks);
}

static void
record_failure(struct wv_quota_asks *asks, wv_msec now, uint64_t home)
{
	asks->failures[asks->n_failures++ % G_N_ELEMENTS(asks->failures)] =
	    (struct failure){home, now + FAILED_TIME};
	asks->state.unanswered++;
}

static bool
has_failed(const struct wv_quota_asks *asks, wv_msec now, uint64_t home)
{
	for (size_t i = 0; i < G_N_ELEMENTS(asks->failures); i++) {
		if (asks->failures[i].home == home &&
		    now < asks->failures[i].until)
			return true;
	}
	return false;
}

/* Lists the homes to ask, those that failed lately last. */
static void
list_homes(const struct wv_quota_asks *asks, wv_msec now, struct queue *queue)
{
	queue->next = 0;
	queue->n_homes = wv_quota_pool_list_homes(
	    asks->pool, (uint64_t)queue->team, queue->homes);
	if (queue->n_homes == 2 && has_failed(asks, now, queue->homes[0])) {
		uint64_t first = queue->homes[0];

		queue->homes[0] = queue->homes[1];
		queue->homes[1] = first;
	}
}

/*
 * Asks the next home that a question can be sent to, for all requests that
 * wait. Returns false if there is none.
 */
static bool
ask_next(struct wv_quota_asks *asks, wv_msec now, struct queue *queue)
{
	while (queue->next < queue->n_homes) {
		struct wv_quota_ask ask = {.home = queue->homes[queue->next++],
		    .id = ++asks->last_id,
		    .team = (uint64_t)queue->team,
		    .tokens = g_queue_get_length(&queue->requests)};

		if (!asks->ops->send(asks->data, &ask)) {
			record_failure(asks, now, ask.home);
			continue;
		}
		asks->state.asked++;
		queue->id = ask.id;
		queue->tokens = ask.tokens;
		queue->asked_at = now;
		return true;
	}
	return false;
}

/*
 * Returns when a refused caller is to return: one after the other, at the
 * interval at which a home has tokens. If all returned when the next token is
 * there, most would be refused again.
 */
static wv_msec
choose_retry(struct queue *queue, wv_msec now)
{
	wv_msec interval = queue->retry_after >= WV_MSEC_NEVER
	    ? UNKNOWN_RETRY
	    : fmax(queue->retry_after, MIN_RETRY);

	queue->returns_at =
	    fmin(fmax(queue->returns_at, now) + interval, now + MAX_RETRY);
	return queue->returns_at - now;
}

/* Decides on the first n requests that wait. */
static void
decide(struct wv_quota_asks *asks, wv_msec now, struct queue *queue, unsigned n,
    bool permitted)
{
	gpointer request;

	while (n-- > 0 && !g_queue_is_empty(&queue->requests))
		g_queue_push_tail(
		    &asks->decided, g_queue_pop_head(&queue->requests));
	asks->state.waiting -= g_queue_get_length(&asks->decided);
	/* The operation may add a request, or cancel any other one. */
	while ((request = g_queue_pop_head(&asks->decided)) != NULL)
		asks->ops->decide(asks->data, request, permitted,
		    permitted ? 0 : choose_retry(queue, now));
}

/* Refuses all requests that wait, since no home is left to be asked. */
static void
refuse_all(struct wv_quota_asks *asks, wv_msec now, struct queue *queue)
{
	queue->refused_until =
	    now + fmin(fmax(queue->retry_after, MIN_RETRY), REFUSED_TIME);
	decide(asks, now, queue, g_queue_get_length(&queue->requests), false);
}

/* Asks the next home, or refuses what waits. */
static void
continue_asking(struct wv_quota_asks *asks, wv_msec now, struct queue *queue)
{
	if (g_queue_is_empty(&queue->requests))
		return;
	if (!ask_next(asks, now, queue))
		refuse_all(asks, now, queue);
}

static struct queue *
find_or_add_queue(struct wv_quota_asks *asks, uint64_t team)
{
	gint64 key = (gint64)team;
	struct queue *queue = g_hash_table_lookup(asks->queues, &key);

	if (queue != NULL)
		return queue;
	queue = g_new0(struct queue, 1);
	queue->team = key;
	g_queue_init(&queue->requests);
	g_hash_table_insert(asks->queues, &queue->team, queue);
	return queue;
}

bool
wv_quota_asks_add(struct wv_quota_asks *asks, wv_msec now, uint64_t team,
    void *request, wv_msec *retry_after)
{
	struct queue *queue = find_or_add_queue(asks, team);

	if (now < queue->refused_until) {
		*retry_after = choose_retry(queue, now);
		return false;
	}
	if (asks->state.waiting >= MAX_WAITING)
		return false;
	g_queue_push_tail(&queue->requests, request);
	asks->state.waiting++;
	if (queue->id != 0)
		return true;
	queue->retry_after = WV_MSEC_NEVER;
	list_homes(asks, now, queue);
	if (ask_next(asks, now, queue))
		return true;
	g_queue_pop_tail(&queue->requests);
	asks->state.waiting--;
	return false;
}

void
wv_quota_asks_cancel(struct wv_quota_asks *asks, uint64_t team, void *request)
{
	gint64 key = (gint64)team;
	struct queue *queue = g_hash_table_lookup(asks->queues, &key);

	if (queue != NULL && g_queue_remove(&queue->requests, request))
		asks->state.waiting--;
	else
		g_queue_remove(&asks->decided, request);
}

static struct queue *
find_question(const struct wv_quota_asks *asks, uint64_t id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, asks->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct queue *)value)->id == id)
			return value;
	}
	return NULL;
}

void
wv_quota_asks_apply(struct wv_quota_asks *asks, wv_msec now, uint64_t id,
    unsigned permitted, wv_msec retry_after)
{
	struct queue *queue = id == 0 ? NULL : find_question(asks, id);
	unsigned tokens;

	if (queue == NULL || now - queue->asked_at > WV_QUOTA_GRANT_USE)
		return;
	tokens = queue->tokens;
	queue->id = 0;
	queue->retry_after = fmin(queue->retry_after, fmax(retry_after, 0));
	decide(asks, now, queue, MIN(permitted, tokens), true);
	/* A request that was added meanwhile may have begun a question. */
	if (queue->id != 0)
		return;
	if (permitted >= tokens) {
		queue->retry_after = WV_MSEC_NEVER;
		list_homes(asks, now, queue);
	}
	continue_asking(asks, now, queue);
}

static gboolean
is_idle(gpointer key, gpointer value, gpointer data)
{
	const struct queue *queue = value;

	(void)key;
	return queue->id == 0 && queue->requests.length == 0 &&
	    *(const wv_msec *)data >=
	    fmax(queue->refused_until, queue->returns_at);
}

void
wv_quota_asks_tick(struct wv_quota_asks *asks, wv_msec now)
{
	GPtrArray *late = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, asks->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct queue *queue = value;

		if (queue->id != 0 && now - queue->asked_at >= MAX_ANSWER_TIME)
			g_ptr_array_add(late, value);
	}
	for (guint i = 0; i < late->len; i++) {
		struct queue *queue = late->pdata[i];

		record_failure(asks, now, queue->homes[queue->next - 1]);
		queue->id = 0;
		continue_asking(asks, now, queue);
	}
	g_ptr_array_unref(late);
	g_hash_table_foreach_remove(asks->queues, is_idle, &now);
}

wv_msec
wv_quota_asks_next_tick(const struct wv_quota_asks *asks)
{
	wv_msec at = WV_MSEC_NEVER;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, asks->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct queue *queue = value;

		if (queue->id != 0)
			at = fmin(at, queue->asked_at + MAX_ANSWER_TIME);
	}
	return at;
}

struct wv_quota_asks_state
wv_quota_asks_read(const struct wv_quota_asks *asks)
{
	return asks->state;
}
