/**
 * @file
 * The simulated callers and the measurement of their requests.
 */
#include <math.h>

#include "bench/driver/workload.h"

/* Index of the VM that holds the lane. */
#define HOLDER_VM 0
/* Index of the VM at which all requests of a demand with one_vm arrive. */
#define ENTRY_VM 4

struct run;

/* One request of a caller. */
struct query {
	struct run *run;
	enum wv_rank rank;
	uint32_t vm;
	wv_msec arrival; /* at the entry VM */
	bool measured;
	bool answered;
};

/* Generates the arrivals of one rank. */
struct arrival_source {
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
	struct arrival_source sources[WV_RANK_COUNT];
	GPtrArray *queries; /* struct query; the index is the id */
};

/* Returns the delay of forwarding a request from its entry VM to the holder. */
static wv_msec
forward_delay(const struct run *run, const struct query *query)
{
	const struct sim_deployment *deployment =
	    run->workload->shape->deployment;

	if (run->baseline != NULL || query->vm == HOLDER_VM)
		return 0;
	return sim_one_way_delay(deployment, query->vm % deployment->zones,
	    HOLDER_VM % deployment->zones);
}

static void
observe(const struct run *run, const struct query *query, wv_msec latency,
    const struct wv_answer *answer)
{
	const struct sim_workload *workload = run->workload;
	struct sim_observation observation = {
	    query->rank, query->arrival, latency, 0};

	if (workload->observe == NULL)
		return;
	observation.coverage =
	    (double)answer->coverage.shards / workload->shape->services;
	workload->observe(workload->observe_data, &observation);
}

static void
receive_answer(void *data, const struct wv_answer *answer)
{
	struct run *run = data;
	struct query *query = run->queries->pdata[answer->request];
	struct sim_outcome *outcome = &run->result->ranks[query->rank];
	double latency = run->sim.now + forward_delay(run, query) -
	    query->arrival + 2 * run->workload->shape->deployment->client_delay;

	if (query->answered)
		g_error("request %" G_GUINT64_FORMAT " answered twice",
		    answer->request);
	query->answered = true;
	if (!wv_code_proves_not_run(answer->status.code))
		g_array_append_val(outcome->admitted, query->arrival);
	if (!query->measured)
		return;
	if (answer->status.code != WV_OK)
		latency = run->workload->demand[query->rank].deadline +
		    2 * run->workload->shape->deployment->client_delay;
	g_array_append_val(outcome->latencies, latency);
	observe(run, query, latency, answer);
	if (answer->status.code == WV_OK) {
		outcome->ok++;
		outcome->full += answer->full;
		outcome->shards += answer->coverage.shards;
	} else if (wv_code_proves_not_run(answer->status.code)) {
		outcome->rejected++;
	} else {
		outcome->failed++;
	}
}

static void
submit(void *data)
{
	struct query *query = data;
	struct run *run = query->run;
	const struct sim_demand *demand = &run->workload->demand[query->rank];
	struct wv_request request = {.work = WV_WORK_SEARCH};

	request.id = run->queries->len;
	request.customer = wv_string_borrow("customer");
	request.rank = query->rank;
	request.text = wv_string_borrow("query");
	request.deadline = query->arrival + demand->deadline;
	request.coverage_minimum = demand->coverage_minimum;
	g_ptr_array_add(run->queries, query);
	if (run->baseline != NULL)
		sim_baseline_submit(run->baseline, query->vm, &request);
	else
		sim_lane_submit(&run->lane, &request, run->contract);
}

/*
 * Chooses the VM at which a request arrives. Callers know the holder's address,
 * unless all requests of their demand arrive at one other VM.
 */
static uint32_t
choose_vm(struct run *run, enum wv_rank rank)
{
	if (run->workload->demand[rank].one_vm)
		return ENTRY_VM;
	if (run->baseline != NULL)
		return (uint32_t)g_rand_int_range(
		    run->sim.rand, 0, SIM_DEPLOYMENT_VMS);
	return HOLDER_VM;
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
generate_arrival(void *data)
{
	struct arrival_source *source = data;
	struct run *run = source->run;
	const struct sim_workload *workload = run->workload;
	struct query *query = g_new0(struct query, 1);

	if (run->sim.now >= workload->warm_up + workload->duration) {
		g_free(query);
		return;
	}
	query->run = run;
	query->rank = source->rank;
	query->arrival = run->sim.now;
	query->measured = run->sim.now >= workload->warm_up;
	query->vm = choose_vm(run, source->rank);
	if (query->measured)
		run->result->ranks[source->rank].offered++;
	sim_schedule(
	    &run->sim, run->sim.now + forward_delay(run, query), submit, query);
	sim_schedule(&run->sim,
	    run->sim.now +
		sim_draw_exponential(
		    &run->sim, 1000.0 / current_rate(run, source->rank)),
	    generate_arrival, source);
}

static void
start_sources(struct run *run)
{
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		run->sources[i].run = run;
		run->sources[i].rank = i;
		if (run->workload->demand[i].rate > 0)
			sim_schedule(
			    &run->sim, 0, generate_arrival, &run->sources[i]);
	}
}

static void
start_serving(struct run *run)
{
	const struct sim_workload *workload = run->workload;
	struct wv_vm_id vm = {wv_string_borrow("vm0"), 1};
	struct wv_status status;

	if (workload->baseline) {
		run->baseline = sim_baseline_create(&run->back_end, &run->sim,
		    workload->split, receive_answer, run);
		return;
	}
	run->contract =
	    wv_contract_parse(wv_string_borrow(workload->contract), 1, &status);
	if (run->contract == NULL)
		g_error("contract: %s", status.message);
	sim_lane_init(&run->lane, &run->back_end, &run->sim, vm,
	    HOLDER_VM % workload->shape->deployment->zones, workload->seed);
	run->lane.on_answer = receive_answer;
	run->lane.callback_data = run;
	wv_executor_set_lease(run->lane.executor, 0, WV_MSEC_NEVER);
}

static void
measure_searchers(struct run *run)
{
	const struct sim_workload *workload = run->workload;
	double busy = 0;

	for (size_t i = 0; i < run->back_end.topology->n_searchers; i++) {
		struct sim_searcher *searcher = &run->back_end.searchers[i];

		busy += searcher->busy_time;
		if (searcher->max_present > searcher->slots)
			run->result->searchers_over_cap++;
	}
	run->result->busy_fraction = busy /
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
	g_ptr_array_free(run->queries, TRUE);
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
	run.queries = g_ptr_array_new_with_free_func(g_free);
	sim_init(&run.sim, workload->seed);
	sim_back_end_init(&run.back_end, &run.sim, workload->shape);
	for (size_t i = 0; i < run.back_end.topology->n_searchers; i++)
		run.back_end.searchers[i].measured_from = workload->warm_up;
	if (workload->prepare != NULL)
		workload->prepare(&run.back_end);
	start_serving(&run);
	start_sources(&run);
	sim_run_until(&run.sim, end);
	measure_searchers(&run);
	/* Lets requests in progress end, which they do by their deadlines. */
	sim_run_until(&run.sim, end + 60000);
	result->first_attempts = run.lane.first_attempts;
	result->extra_attempts = run.lane.extra_attempts;
	for (guint i = 0; i < run.queries->len; i++) {
		if (!((struct query *)run.queries->pdata[i])->answered)
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
sim_outcome_max_per_second(const struct sim_outcome *outcome)
{
	GArray *times = outcome->admitted;
	uint64_t highest = 0;
	guint start = 0;

	g_array_sort(times, compare_doubles);
	for (guint i = 0; i < times->len; i++) {
		while (g_array_index(times, wv_msec, i) -
			g_array_index(times, wv_msec, start) >=
		    1000)
			start++;
		highest = MAX(highest, i - start + 1);
	}
	return highest;
}
