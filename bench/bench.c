/**
 * @file
 * The benchmark: measures the bounds of section 1 of the design in virtual
 * time, and the baseline on the same workloads.
 */
#include <argp.h>
#include <math.h>
#include <stdio.h>

#include "bench/bench/bench.h"
#include "bench/driver/vm.h"

/* Runs a workload with the library and then with the baseline. */
static void
run_both(struct report *report, const struct sim_workload *workload,
    struct sim_result *result, struct sim_result *baseline)
{
	struct sim_workload baseline_workload = *workload;

	sim_workload_run(workload, result);
	baseline_workload.baseline = true;
	sim_workload_run(&baseline_workload, baseline);
	report->searchers_over_cap += (double)result->searchers_over_cap;
	report->searchers_over_cap_baseline +=
	    (double)baseline->searchers_over_cap;
}

/* Returns the fraction of the requests of a rank that succeeded. */
static double
answered_ratio(const struct sim_result *result, enum wv_rank rank)
{
	const struct sim_outcome *outcome = &result->ranks[rank];

	return (double)outcome->ok / (double)MAX(outcome->offered, 1);
}

/* Returns the fraction of the requests of a rank with full answers. */
static double
full_answer_ratio(const struct sim_result *result, enum wv_rank rank)
{
	const struct sim_outcome *outcome = &result->ranks[rank];

	return (double)outcome->full / (double)MAX(outcome->offered, 1);
}

/* Returns the successful answers of a rank per second. */
static double
goodput(const struct sim_workload *workload, const struct sim_result *result,
    enum wv_rank rank)
{
	return (double)result->ranks[rank].ok * 1000.0 / workload->duration;
}

/* Makes the middle replica of each service of three 10 times slower. */
static void
slow_every_third(struct sim_back_end *back_end)
{
	for (size_t i = 1; i < back_end->topology->n_searchers; i += 3)
		back_end->searchers[i].faults.slow = 10;
}

static void
slow_third_and_lose_one(struct sim_back_end *back_end)
{
	slow_every_third(back_end);
	back_end->searchers[0].faults.lost = true;
}

static void
slow_third_and_lose_one_per_service(struct sim_back_end *back_end)
{
	slow_every_third(back_end);
	for (size_t i = 0; i < back_end->topology->n_searchers; i += 3)
		back_end->searchers[i].faults.lost = true;
}

/*
 * Compares the tail latency of urgent requests with faulty searchers with that
 * at normal load ("calm" in line names).
 */
static void
measure_stragglers(struct report *report, const char *case_name, double load,
    void (*prepare)(struct sim_back_end *))
{
	const struct sim_shape *shape = &sim_race_eve;
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = urgent_workload(shape, contract, load);
	struct sim_result normal, normal_baseline, stressed, stressed_baseline;
	char *name;

	run_both(report, &workload, &normal, &normal_baseline);
	workload.prepare = prepare;
	run_both(report, &workload, &stressed, &stressed_baseline);
	name = g_strdup_printf("%s.calm_p99", case_name);
	report_back_end(report, shape, name, urgent_p99(&normal), "ms",
	    urgent_p99(&normal_baseline), NO_BOUND, 0);
	g_free(name);
	name = g_strdup_printf("%s.p99", case_name);
	report_back_end(report, shape, name, urgent_p99(&stressed), "ms",
	    urgent_p99(&stressed_baseline), NO_BOUND, 0);
	g_free(name);
	name = g_strdup_printf("%s.p99_to_calm", case_name);
	report_back_end(report, shape, name,
	    urgent_p99(&stressed) / urgent_p99(&normal), "ratio",
	    urgent_p99(&stressed_baseline) / urgent_p99(&normal_baseline),
	    AT_MOST, 1.5);
	g_free(name);
	name = g_strdup_printf("%s.extra_requests", case_name);
	report_back_end(report, shape, name,
	    (double)stressed.extra_attempts /
		(double)MAX(stressed.first_attempts, 1),
	    "part", NAN, AT_MOST, 0.05);
	g_free(name);
	sim_result_clear(&normal);
	sim_result_clear(&normal_baseline);
	sim_result_clear(&stressed);
	sim_result_clear(&stressed_baseline);
	g_free(contract);
}

/* Background requests arrive at 10 times the capacity. */
static void
measure_background_flood(
    struct report *report, const struct sim_shape *shape, bool one_vm)
{
	const char *scope = one_vm ? "one_vm" : "all_vms";
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = normal_workload(shape, contract);
	struct sim_demand *flood = &workload.demand[WV_RANK_BACKGROUND];
	struct sim_result normal, normal_baseline, stressed, stressed_baseline;
	char *name;

	run_both(report, &workload, &normal, &normal_baseline);
	flood->rate = 10 * slot_capacity(shape);
	flood->one_vm = one_vm;
	run_both(report, &workload, &stressed, &stressed_baseline);
	name = g_strdup_printf("background_flood.%s.urgent_p99", scope);
	report_back_end(report, shape, name, urgent_p99(&stressed), "ms",
	    urgent_p99(&stressed_baseline), NO_BOUND, 0);
	g_free(name);
	name = g_strdup_printf("background_flood.%s.p99_to_calm", scope);
	report_back_end(report, shape, name,
	    urgent_p99(&stressed) / urgent_p99(&normal), "ratio",
	    urgent_p99(&stressed_baseline) / urgent_p99(&normal_baseline),
	    AT_MOST, 1.2);
	g_free(name);
	name = g_strdup_printf("background_flood.%s.urgent_served", scope);
	report_back_end(report, shape, name,
	    answered_ratio(&stressed, WV_RANK_URGENT), "part",
	    answered_ratio(&stressed_baseline, WV_RANK_URGENT), AT_LEAST,
	    0.999);
	g_free(name);
	name = g_strdup_printf("background_flood.%s.busy", scope);
	report_back_end(report, shape, name, stressed.busy_fraction, "part",
	    stressed_baseline.busy_fraction, NO_BOUND, 0);
	g_free(name);
	sim_result_clear(&normal);
	sim_result_clear(&normal_baseline);
	sim_result_clear(&stressed);
	sim_result_clear(&stressed_baseline);
	g_free(contract);
}

/* Returns the successful answers of all ranks per second. */
static double
total_goodput(
    const struct sim_workload *workload, const struct sim_result *result)
{
	double sum = 0;

	for (int i = 0; i < WV_RANK_COUNT; i++)
		sum += goodput(workload, result, i);
	return sum;
}

/*
 * Urgent requests arrive at 10 times the capacity, those of the other ranks at
 * 1.5 times their share.
 */
static void
measure_urgent_flood(struct report *report, const struct sim_shape *shape)
{
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = normal_workload(shape, contract);
	struct sim_result stressed, baseline;

	workload.demand[WV_RANK_URGENT].rate = 10 * slot_capacity(shape);
	for (int i = WV_RANK_STANDARD; i < WV_RANK_COUNT; i++)
		workload.demand[i].rate =
		    1.5 * rank_shares[i] * holder_capacity(shape);
	run_both(report, &workload, &stressed, &baseline);
	for (int i = WV_RANK_STANDARD; i < WV_RANK_COUNT; i++) {
		double share = rank_shares[i] * holder_capacity(shape);
		char *name = g_strdup_printf(
		    "urgent_flood.%s_share_kept", wv_rank_name(i));

		report_back_end(report, shape, name,
		    goodput(&workload, &stressed, i) / share, "part",
		    goodput(&workload, &baseline, i) / share, AT_LEAST, 0.9);
		g_free(name);
	}
	report_back_end(report, shape, "urgent_flood.goodput",
	    total_goodput(&workload, &stressed) / holder_capacity(shape),
	    "part",
	    total_goodput(&workload, &baseline) / holder_capacity(shape),
	    AT_LEAST, 0.95);
	sim_result_clear(&stressed);
	sim_result_clear(&baseline);
	g_free(contract);
}

/* In each service one of the three replicas is slow and another one is lost. */
static void
measure_counter_sales(struct report *report)
{
	const struct sim_shape *shape = &sim_counter_sales;
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = urgent_workload(shape, contract, 0.2);
	struct sim_result stressed, baseline;

	workload.prepare = slow_third_and_lose_one_per_service;
	run_both(report, &workload, &stressed, &baseline);
	report_back_end(report, shape, "stragglers.full_answers",
	    full_answer_ratio(&stressed, WV_RANK_URGENT), "part",
	    full_answer_ratio(&baseline, WV_RANK_URGENT), AT_LEAST, 0.999);
	report_back_end(report, shape, "stragglers.p99", urgent_p99(&stressed),
	    "ms", urgent_p99(&baseline), NO_BOUND, 0);
	sim_result_clear(&stressed);
	sim_result_clear(&baseline);
	g_free(contract);
}

/* Every rank sends requests at twice the rate of its share. */
static void
measure_saturation(struct report *report, const struct sim_shape *shape)
{
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = normal_workload(shape, contract);
	struct sim_result result, baseline;

	workload.duration = 10000;
	for (int i = 0; i < WV_RANK_COUNT; i++)
		workload.demand[i].rate =
		    2 * rank_shares[i] * slot_capacity(shape);
	run_both(report, &workload, &result, &baseline);
	report_back_end(report, shape, "saturation.busy", result.busy_fraction,
	    "part", baseline.busy_fraction, AT_LEAST, 0.9);
	sim_result_clear(&result);
	sim_result_clear(&baseline);
	g_free(contract);
}

/* Returns a contract of urgent requests only; burst is a fifth of the rate. */
static char *
rate_limit_contract(const struct sim_shape *shape, double rate)
{
	return g_strdup_printf(
	    "{\"customer\": \"customer\", \"job_retention_s\": 86400, "
	    "\"back_ends\": {\"%s\": {\"hedge_budget\": 0.03, "
	    "\"retry_budget\": 0.02, \"ranks\": {\"urgent\": {\"share\": 1, "
	    "\"rate\": %g, \"burst\": %g, \"concurrency\": 100000, "
	    "\"deadline_ms\": 60000, \"coverage_minimum\": 0}}}}}",
	    shape->name, rate, ceil(rate / 5));
}

/* Requests at twice the contract's rate enter at one VM. */
static void
measure_rate_limit(struct report *report, const struct sim_shape *shape)
{
	double rate = floor(0.3 * slot_capacity(shape));
	char *contract = rate_limit_contract(shape, rate);
	struct sim_workload workload = urgent_workload(shape, contract, 0.6);
	struct sim_outcome *urgent;
	struct sim_result result;

	workload.duration = 40000;
	workload.demand[WV_RANK_URGENT].one_vm = true;
	sim_workload_run(&workload, &result);
	report->searchers_over_cap += (double)result.searchers_over_cap;
	urgent = &result.ranks[WV_RANK_URGENT];
	report_back_end(report, shape, "rate.most_in_a_second",
	    (double)sim_outcome_max_per_second(urgent) / rate, "part", NAN,
	    AT_MOST, 1.02);
	report_back_end(report, shape, "rate.one_vm_admitted",
	    (double)(urgent->offered - urgent->rejected) * 1000.0 /
		workload.duration / rate,
	    "part", NAN, AT_LEAST, 0.9);
	sim_result_clear(&result);
	g_free(contract);
}

/*
 * A run in which the VM that holds the lane is partitioned. Two VMs, the holder
 * and another one, receive requests, each at 1.5 times the contract's rate.
 */
struct partition_run {
	struct sim sim;
	struct sim_back_end back_end;
	struct sim_cluster cluster;
	struct sim_vm *entry_vms[2]; /* the holder and another VM */
	double rate; /* of the contract, requests per second */
	size_t n_submitted;
};

/* Submits a request at the two VMs in turn and schedules the next one. */
static void
submit_next_request(void *data)
{
	struct partition_run *run = data;
	struct sim_record *record = sim_cluster_add_record(&run->cluster);

	record->request.customer = wv_string_copy(wv_string_borrow("customer"));
	record->request.rank = WV_RANK_URGENT;
	record->request.deadline = run->sim.now + 500;
	sim_vm_submit(run->entry_vms[run->n_submitted++ % 2], record);
	sim_schedule(&run->sim,
	    run->sim.now +
		sim_draw_exponential(&run->sim, 1000 / (3 * run->rate)),
	    submit_next_request, run);
}

static void
check_first_write(void *data, enum wv_store_outcome outcome, const char *value,
    uint64_t version)
{
	if (data != NULL || value != NULL || outcome != WV_STORE_OK ||
	    version != 1)
		g_error("the first contract was not written");
}

/* Writes the contract, starts the VMs and waits until one holds the lane. */
static void
start_partition_vms(struct partition_run *run, const char *contract)
{
	bool listed[SIM_MAX_VMS];

	run->cluster.store.delay = 0;
	sim_store_write(&run->cluster.store, "contracts/customer",
	    wv_string_borrow(contract), 0, check_first_write, NULL);
	sim_run_until(&run->sim, 0);
	run->cluster.store.delay = 2;
	for (size_t i = 0; i < SIM_DEPLOYMENT_VMS; i++) {
		sim_cluster_start_vm(&run->cluster, i);
		listed[i] = true;
	}
	sim_cluster_set_vm_list(&run->cluster, listed);
	sim_run_until(&run->sim, 6000);
	run->entry_vms[0] = sim_cluster_find_holder(&run->cluster);
	if (run->entry_vms[0] == NULL)
		g_error("no VM holds the lane after 6 s");
	run->entry_vms[1] =
	    run->cluster
		.vms[(run->entry_vms[0]->index + 1) % SIM_DEPLOYMENT_VMS];
}

/* Returns the most requests that all VMs together admitted in any second. */
static double
max_admitted_in_a_second(const struct partition_run *run)
{
	struct sim_outcome outcome = {0};
	uint64_t max_admitted;

	outcome.admitted = g_array_new(FALSE, FALSE, sizeof(wv_msec));
	for (guint i = 0; i < run->cluster.records->len; i++) {
		const struct sim_record *record =
		    run->cluster.records->pdata[i];
		wv_msec arrival = record->request.deadline - 500;

		if (record->answered &&
		    !wv_code_proves_not_run(record->status.code))
			g_array_append_val(outcome.admitted, arrival);
	}
	max_admitted = sim_outcome_max_per_second(&outcome);
	g_array_free(outcome.admitted, TRUE);
	return (double)max_admitted;
}

/*
 * The holder is partitioned from the other VMs and the store, but not from the
 * searchers, for 6 s while its callers go on sending requests to it.
 */
static void
measure_partition(struct report *report, const struct sim_shape *shape)
{
	double rate = floor(0.3 * slot_capacity(shape));
	struct sim_shape shape_copy = *shape;
	char *contract = rate_limit_contract(shape, rate);
	struct partition_run run = {.rate = rate};

	sim_init(&run.sim, 1);
	sim_back_end_init(&run.back_end, &run.sim, &shape_copy);
	sim_cluster_init(
	    &run.cluster, &run.sim, &run.back_end, SIM_DEPLOYMENT_VMS);
	start_partition_vms(&run, contract);
	submit_next_request(&run);
	sim_run_until(&run.sim, 9000);
	run.entry_vms[0]->isolated = true;
	sim_run_until(&run.sim, 15000);
	run.entry_vms[0]->isolated = false;
	sim_run_until(&run.sim, 20000);
	report_back_end(report, shape, "rate.cut_most_in_a_second",
	    max_admitted_in_a_second(&run) / rate, "part", NAN, AT_MOST, 1);
	report_back_end(report, shape, "rate.cut_double_holders",
	    (double)run.cluster.double_holders, "count", NAN, AT_MOST, 0);
	sim_cluster_clear(&run.cluster);
	sim_back_end_clear(&run.back_end);
	sim_clear(&run.sim);
	g_free(contract);
}

static void
run_all(struct report *report)
{
	const struct sim_shape *shapes[] = {&sim_race_eve, &sim_counter_sales};

	measure_stragglers(report, "one_lost", 0.3, slow_third_and_lose_one);
	measure_stragglers(
	    report, "one_lost_load_20", 0.2, slow_third_and_lose_one);
	measure_stragglers(report, "one_lost_per_service", 0.1,
	    slow_third_and_lose_one_per_service);
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		measure_background_flood(report, shapes[i], false);
		measure_background_flood(report, shapes[i], true);
		measure_urgent_flood(report, shapes[i]);
		measure_rate_limit(report, shapes[i]);
		measure_partition(report, shapes[i]);
	}
	measure_counter_sales(report);
	for (size_t i = 0; i < sim_n_shapes; i++)
		measure_saturation(report, sim_shapes[i]);
	report_line(report, "searchers_over_cap", report->searchers_over_cap,
	    "count", report->searchers_over_cap_baseline, AT_MOST, 0);
}

struct arguments {
	bool json;
	bool policies;
	const char *plot;
	const char *services;
	const char *members;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'j':
		arguments->json = true;
		return 0;
	case 'p':
		arguments->policies = true;
		return 0;
	case 'o':
		arguments->plot = arg;
		return 0;
	case 's':
		arguments->services = arg;
		return 0;
	case 'm':
		arguments->members = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
    {"json", 'j', NULL, 0, "Print the lines as a JSON array", 0},
    {"policies", 'p', NULL, 0,
	"Only compare the policies for dividing a searcher's slots", 0},
    {"plot", 'o', "DIR", 0, "Only write plots as SVG files into DIR", 0},
    {"services", 's', "N", 0,
	"Only run urgent requests over N services of 3 searchers", 0},
    {"members", 'm', "N", 0, "Only run heartbeat rounds among N VMs", 0}, {0}};

static const struct argp argp = {.options = options,
    .parser = parse_option,
    .doc = "Measures the performance bounds in virtual time."};

int
main(int argc, char **argv)
{
	struct arguments arguments = {0};
	struct report report = {0};

	if (argp_parse(&argp, argc, argv, 0, NULL, &arguments) != 0)
		return 2;
	if (arguments.members != NULL)
		return run_heartbeat_cost(arguments.members);
	if (arguments.services != NULL)
		return run_query_cost(arguments.services);
	if (arguments.plot != NULL)
		return write_plots(arguments.plot);
	report.json = arguments.json;
	if (arguments.policies)
		compare_policies(&report);
	else
		run_all(&report);
	if (report.json)
		printf("\n]\n");
	return report.failures > 0 ? 1 : 0;
}
