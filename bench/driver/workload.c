/**
 * @file
 * Callers in virtual time.
 */
#include <math.h>

#include "bench/driver/workload.h"

/* The VM that holds the lane, and the VM at which one-sided demand enters. */
#define HOLDER 0
#define ENTRY 4

struct run;

/* One request of a caller. */
struct item {
	struct run *run;
	enum wv_rank rank;
	uint32_t vm;
	wv_msec arrival; /* at the entry VM */
	bool measured;
	bool answered;
};

struct source {
	struct run *run;
	enum wv_rank rank;
};

struct run {
	struct sim sim;
	struct sim_back_end back_end;
	struct sim_lane lane;
	struct sim_baseline *baseline;
	struct wv_contract *contract;
	const struct sim_workload *workload;
	struct sim_result *result;
	struct source sources[WV_RANK_COUNT];
	GPtrArray *items; /* struct item; the index is the request's id */
};

static wv_msec
hop(const struct run *run, const struct item *item)
{
	const struct sim_deployment *deployment =
	    run->workload->shape->deployment;

	if (run->baseline != NULL || item->vm == HOLDER)
		return 0;
	return sim_delay(deployment, item->vm % deployment->zones,
	    HOLDER % deployment->zones);
}

static void
observe(const struct run *run, const struct item *item, wv_msec latency,
    const struct wv_answer *answer)
{
	const struct sim_workload *workload = run->workload;
	struct sim_observation observation = {
	    item->rank, item->arrival, latency, 0};

	if (workload->observe == NULL)
		return;
	observation.coverage =
	    (double)answer->coverage.shards / workload->shape->services;
	workload->observe(workload->observe_data, &observation);
}

static void
take_answer(void *data, const struct wv_answer *answer)
{
	struct run *run = data;
	struct item *item = run->items->pdata[answer->request];
	struct sim_outcome *outcome = &run->result->ranks[item->rank];
	double latency = run->sim.now + hop(run, item) - item->arrival +
	    2 * run->workload->shape->deployment->client_delay;

	if (item->answered)
		g_error("request %" G_GUINT64_FORMAT " answered twice",
		    answer->request);
	item->answered = true;
	if (!wv_code_not_run(answer->status.code))
		g_array_append_val(outcome->admitted, item->arrival);
	if (!item->measured)
		return;
	if (answer->status.code != WV_OK)
		latency = run->workload->demand[item->rank].deadline +
		    2 * run->workload->shape->deployment->client_delay;
	g_array_append_val(outcome->latencies, latency);
	observe(run, item, latency, answer);
	if (answer->status.code == WV_OK) {
		outcome->ok++;
		outcome->full += answer->full;
		outcome->shards += answer->coverage.shards;
	} else if (wv_code_not_run(answer->status.code)) {
		outcome->refused++;
	} else {
		outcome->failed++;
	}
}

static void
submit(void *data)
{
	struct item *item = data;
	struct run *run = item->run;
	const struct sim_demand *demand = &run->workload->demand[item->rank];
	struct wv_request request = {.work = WV_WORK_SEARCH};

	request.id = run->items->len;
	request.customer = wv_string_borrow("customer");
	request.rank = item->rank;
	request.text = wv_string_borrow("query");
	request.deadline = item->arrival + demand->deadline;
	request.coverage_minimum = demand->coverage_minimum;
	g_ptr_array_add(run->items, item);
	if (run->baseline != NULL)
		sim_baseline_submit(run->baseline, item->vm, &request);
	else
		sim_lane_submit(&run->lane, &request, run->contract);
}

/* Callers know the holder's address, unless their demand enters elsewhere. */
static uint32_t
choose_vm(struct run *run, enum wv_rank rank)
{
	if (run->workload->demand[rank].one_vm)
		return ENTRY;
	if (run->baseline != NULL)
		return (uint32_t)g_rand_int_range(run->sim.rand, 0, SIM_VMS);
	return HOLDER;
}

static double
current_rate(const struct run *run, enum wv_rank rank)
{
	const struct sim_demand *demand = &run->workload->demand[rank];

	if (run->sim.now >= demand->flood_from &&
	    run->sim.now < demand->flood_until)
		return demand->flood_rate;
	return demand->rate;
}

static void
arrive(void *data)
{
	struct source *source = data;
	struct run *run = source->run;
	const struct sim_workload *workload = run->workload;
	struct item *item = g_new0(struct item, 1);

	if (run->sim.now >= workload->warm_up + workload->duration) {
		g_free(item);
		return;
	}
	item->run = run;
	item->rank = source->rank;
	item->arrival = run->sim.now;
	item->measured = run->sim.now >= workload->warm_up;
	item->vm = choose_vm(run, source->rank);
	if (item->measured)
		run->result->ranks[source->rank].offered++;
	sim_at(&run->sim, run->sim.now + hop(run, item), submit, item);
	sim_at(&run->sim,
	    run->sim.now +
		sim_exponential(
		    &run->sim, 1000.0 / current_rate(run, source->rank)),
	    arrive, source);
}

static void
start_sources(struct run *run)
{
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		run->sources[i].run = run;
		run->sources[i].rank = i;
		if (run->workload->demand[i].rate > 0)
			sim_at(&run->sim, 0, arrive, &run->sources[i]);
	}
}

static void
start_system(struct run *run)
{
	const struct sim_workload *workload = run->workload;
	struct wv_vm_id vm = {wv_string_borrow("vm0"), 1};
	struct wv_status status;

	if (workload->baseline) {
		run->baseline = sim_baseline_create(&run->back_end, &run->sim,
		    workload->split, take_answer, run);
		return;
	}
	run->contract =
	    wv_contract_parse(wv_string_borrow(workload->contract), 1, &status);
	if (run->contract == NULL)
		g_error("contract: %s", status.message);
	sim_lane_init(&run->lane, &run->back_end, &run->sim, vm,
	    HOLDER % workload->shape->deployment->zones, workload->seed);
	run->lane.on_answer = take_answer;
	run->lane.callback_data = run;
	wv_executor_set_right(run->lane.executor, 0, WV_MSEC_NEVER);
}

static void
count_searchers(struct run *run)
{
	const struct sim_workload *workload = run->workload;
	double busy = 0;

	for (size_t i = 0; i < run->back_end.topology->n_searchers; i++) {
		struct sim_searcher *searcher = &run->back_end.searchers[i];

		busy += searcher->busy_time;
		if (searcher->max_present > searcher->slots)
			run->result->searchers_over_cap++;
	}
	run->result->busy = busy /
	    (workload->duration * sim_back_end_count_slots(&run->back_end));
}

static void
clear_run(struct run *run)
{
	if (run->baseline != NULL)
		sim_baseline_destroy(run->baseline);
	else
		sim_lane_clear(&run->lane);
	wv_contract_destroy(run->contract);
	sim_back_end_clear(&run->back_end);
	g_ptr_array_free(run->items, TRUE);
	sim_clear(&run->sim);
}

void
sim_workload_run(const struct sim_workload *workload, struct sim_result *result)
{
	struct run run = {.workload = workload, .result = result};
	wv_msec end = workload->warm_up + workload->duration;

	memset(result, 0, sizeof(*result));
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		result->ranks[i].latencies =
		    g_array_new(FALSE, FALSE, sizeof(double));
		result->ranks[i].admitted =
		    g_array_new(FALSE, FALSE, sizeof(wv_msec));
	}
	run.items = g_ptr_array_new_with_free_func(g_free);
	sim_init(&run.sim, workload->seed);
	sim_back_end_init(&run.back_end, &run.sim, workload->shape);
	for (size_t i = 0; i < run.back_end.topology->n_searchers; i++)
		run.back_end.searchers[i].measured_from = workload->warm_up;
	if (workload->prepare != NULL)
		workload->prepare(&run.back_end);
	start_system(&run);
	start_sources(&run);
	sim_run(&run.sim, end);
	count_searchers(&run);
	/* Requests that are still in progress end within their deadlines. */
	sim_run(&run.sim, end + 60000);
	result->first = run.lane.first_attempts;
	result->extra = run.lane.extra_attempts;
	for (guint i = 0; i < run.items->len; i++) {
		if (!((struct item *)run.items->pdata[i])->answered)
			g_error("request %u was never answered", i);
	}
	clear_run(&run);
}

void
sim_result_clear(struct sim_result *result)
{
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		g_array_free(result->ranks[i].latencies, TRUE);
		g_array_free(result->ranks[i].admitted, TRUE);
	}
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

double
sim_outcome_percentile(const struct sim_outcome *outcome, double p)
{
	guint n = outcome->latencies->len;
	guint rank;

	if (n == 0)
		return NAN;
	g_array_sort(outcome->latencies, compare_doubles);
	rank = (guint)ceil(p / 100.0 * n);
	return g_array_index(outcome->latencies, double, CLAMP(rank, 1, n) - 1);
}

uint64_t
sim_outcome_most_in_a_second(const struct sim_outcome *outcome)
{
	GArray *times = outcome->admitted;
	uint64_t most = 0;
	guint start = 0;

	g_array_sort(times, compare_doubles);
	for (guint i = 0; i < times->len; i++) {
		while (g_array_index(times, wv_msec, i) -
			g_array_index(times, wv_msec, start) >=
		    1000)
			start++;
		most = MAX(most, i - start + 1);
	}
	return most;
}
