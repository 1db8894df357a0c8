/**
 * @file
 * Order of waiting work: ranks, objectives, and fair queueing of flows.
 */
#include "src/dispatch_order.h"
#include "src/private.h"

/** Ranks with a record of their last start; less urgent ones share the last. */
#define N_RANKS 16
/** Weight of one request in the moving average of the refusal rate. */
#define REFUSAL_WEIGHT 0.1
/** Refusal rate below which a flow need not be kept. */
#define MIN_REFUSAL_RATE 0.01

/** A team's requests of a route. */
struct flow {
	struct wv_string team; /**< owned; empty: none */
	struct wv_string route; /**< owned */
	double finish; /**< virtual time at which its charged work ends */
	double refusal_rate; /**< fraction of recent requests */
	unsigned n_tasks; /**< tasks in the order that refer to it */
};

struct dispatch_order {
	enum wv_order way;
	GHashTable *flows; /**< set of struct flow, by team and route */
	double time; /**< virtual time: start of the last started task */
	double latest; /**< greatest virtual time at which a flow ends */
	unsigned n_tasks; /**< tasks in the order */
	/** When a task of each rank first waited since one was started; or 0.
	 */
	wv_msec unserved_since[N_RANKS];
};

static guint
flow_hash(gconstpointer key)
{
	const struct flow *flow = key;

	return wv_string_key_hash(&flow->team) * 31 +
	    wv_string_key_hash(&flow->route);
}

static gboolean
flow_equal(gconstpointer a, gconstpointer b)
{
	const struct flow *first = a, *second = b;

	return wv_string_equal(first->team, second->team) &&
	    wv_string_equal(first->route, second->route);
}

static void
flow_destroy(gpointer data)
{
	struct flow *flow = data;

	wv_string_clear(&flow->team);
	wv_string_clear(&flow->route);
	g_free(flow);
}

struct dispatch_order *
dispatch_order_create(void)
{
	struct dispatch_order *order = g_new0(struct dispatch_order, 1);

	order->way = WV_ORDER_FAIR;
	order->flows =
	    g_hash_table_new_full(flow_hash, flow_equal, flow_destroy, NULL);
	return order;
}

void
dispatch_order_destroy(struct dispatch_order *order)
{
	g_hash_table_unref(order->flows);
	g_free(order);
}

void
dispatch_order_set(struct dispatch_order *order, enum wv_order way)
{
	order->way = way;
}

static struct flow *
find_flow(const struct dispatch_order *order, const struct wv_task *task)
{
	struct flow key = {.route = task->route->name};

	if (g_hash_table_size(order->flows) == 0)
		return NULL;
	if (task->team != NULL)
		key.team = task->team->name;
	return g_hash_table_lookup(order->flows, &key);
}

static struct flow *
add_flow(struct dispatch_order *order, const struct wv_task *task)
{
	struct flow *flow = find_flow(order, task);

	if (flow != NULL)
		return flow;
	flow = g_new0(struct flow, 1);
	if (task->team != NULL)
		flow->team = wv_string_copy(task->team->name);
	flow->route = wv_string_copy(task->route->name);
	g_hash_table_add(order->flows, flow);
	return flow;
}

static bool
is_idle(const struct dispatch_order *order, const struct flow *flow)
{
	return flow->n_tasks == 0 && flow->finish <= order->time &&
	    flow->refusal_rate < MIN_REFUSAL_RATE;
}

static gboolean
is_idle_entry(gpointer key, gpointer value, gpointer data)
{
	(void)value;
	return is_idle(data, key);
}

static size_t
rank_index(const struct wv_task *task)
{
	return (size_t)CLAMP(task->rank, 0, N_RANKS - 1);
}

/*
 * Whether requests of the task's rank have waited and none was started for as
 * long as the route lets a request take. One request is then promoted.
 */
static bool
promote(struct dispatch_order *order, wv_msec now, const struct wv_task *task)
{
	wv_msec *since = &order->unserved_since[rank_index(task)];

	if (*since == 0)
		*since = now;
	if (order->way != WV_ORDER_FAIR || task->rank <= 0 ||
	    now - *since < task->route->timeout)
		return false;
	*since = now;
	return true;
}

/* Sets the place of a task; flow may be NULL if its flow has no record. */
static void
place(const struct dispatch_order *order, const struct flow *flow,
    struct wv_task *task, wv_msec median)
{
	task->is_placed = true;
	task->work = (double)task->n_shards * median;
	task->start =
	    flow != NULL ? MAX(order->time, flow->finish) : order->time;
	task->ordered_rank = task->rank;
}

void
dispatch_order_preview(
    const struct dispatch_order *order, struct wv_task *task, wv_msec median)
{
	place(order, find_flow(order, task), task, median);
}

bool
dispatch_order_is_preview(const struct wv_task *task)
{
	return task->is_placed && task->flow == NULL;
}

void
dispatch_order_add(struct dispatch_order *order, wv_msec now,
    struct wv_task *task, wv_msec median)
{
	struct flow *flow;

	if (task->is_placed)
		return;
	if (order->n_tasks++ == 0)
		g_hash_table_foreach_remove(order->flows, is_idle_entry, order);
	flow = add_flow(order, task);
	place(order, flow, task, median);
	task->flow = flow;
	if (promote(order, now, task))
		task->ordered_rank = 0;
	flow->n_tasks++;
	flow->finish = task->start + task->work;
	order->latest = MAX(order->latest, flow->finish);
}

void
dispatch_order_start(struct dispatch_order *order, struct wv_task *task)
{
	task->started = true;
	order->unserved_since[rank_index(task)] = 0;
	if (task->flow != NULL)
		order->time = MAX(order->time, task->start);
}

void
dispatch_order_remove(struct dispatch_order *order, struct wv_task *task)
{
	struct flow *flow = task->flow;

	if (flow == NULL)
		return;
	task->flow = NULL;
	flow->n_tasks--;
	if (!task->started)
		flow->finish -= task->work;
	/* Once nothing competes, no flow owes anything to another. */
	if (--order->n_tasks == 0)
		order->time = order->latest;
}

static int
compare_numbers(double first, double second)
{
	return first < second ? -1 : first > second;
}

/* Compares the work per request, the inverse of the gain per unit of work. */
static int
compare_gain(const struct wv_task *first, bool first_late,
    const struct wv_task *second, bool second_late)
{
	if (first_late != second_late)
		return first_late ? 1 : -1;
	return compare_numbers(first->work, second->work);
}

static int
compare_fair(const struct wv_task *first, bool first_late,
    const struct wv_task *second, bool second_late)
{
	if (first_late != second_late)
		return first_late ? 1 : -1;
	return compare_numbers(first->start, second->start);
}

int
dispatch_order_compare(const struct dispatch_order *order,
    const struct wv_task *first, bool first_late, const struct wv_task *second,
    bool second_late)
{
	int result = 0;

	if (order->way == WV_ORDER_ARRIVAL)
		return compare_numbers(first->arrived, second->arrived);
	if (first->ordered_rank != second->ordered_rank)
		return first->ordered_rank < second->ordered_rank ? -1 : 1;
	if (order->way == WV_ORDER_GAIN)
		result = compare_gain(first, first_late, second, second_late);
	else if (order->way == WV_ORDER_DEFICIT)
		result = compare_numbers(first->start, second->start);
	else if (order->way == WV_ORDER_FAIR)
		result = compare_fair(first, first_late, second, second_late);
	return result != 0 ? result
			   : compare_numbers(first->deadline, second->deadline);
}

bool
dispatch_order_is_late(const struct wv_task *task, wv_msec now, wv_msec need)
{
	return now + need >
	    task->arrived + task->route->target - task->reserved;
}

void
dispatch_order_record(
    struct dispatch_order *order, const struct wv_task *task, bool admitted)
{
	struct flow *flow =
	    admitted ? find_flow(order, task) : add_flow(order, task);

	if (flow == NULL)
		return;
	flow->refusal_rate +=
	    REFUSAL_WEIGHT * ((admitted ? 0 : 1) - flow->refusal_rate);
	if (is_idle(order, flow))
		g_hash_table_remove(order->flows, flow);
}

double
dispatch_order_refusal_rate(
    const struct dispatch_order *order, const struct wv_task *task)
{
	const struct flow *flow = find_flow(order, task);

	return flow != NULL ? flow->refusal_rate : 0;
}
