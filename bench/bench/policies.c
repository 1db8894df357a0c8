/**
 * @file
 * Compares the policies for dividing a searcher's slots among VMs
 * (docs/weighed.md). The lines have no bound.
 */
#include <math.h>

#include "bench/bench/bench.h"

/* A way to divide the slots of a searcher. */
struct policy {
	const char *name;
	bool baseline;
	enum sim_split split; /* ignored unless baseline is set */
};

static const struct policy policies[] = {
    {"rounded_up", true, SIM_SPLIT_ROUNDED_UP},
    {"within_cap", true, SIM_SPLIT_WITHIN_CAP},
    {"moving", true, SIM_SPLIT_MOVING},
    {"holder", false, SIM_SPLIT_ROUNDED_UP},
};

/* One run of the comparison. */
struct policy_run {
	struct report *report;
	const struct sim_shape *shape;
	const struct policy *policy;
	bool one_vm; /* all requests enter at one VM */
};

static void
print_value(const struct policy_run *run, const char *metric, double value,
    const char *unit)
{
	char *name = g_strdup_printf("%s.%s.%s",
	    run->one_vm ? "one_vm" : "all_vms", run->policy->name, metric);

	report_back_end(
	    run->report, run->shape, name, value, unit, NAN, NO_BOUND, 0);
	g_free(name);
}

static void
run_policy(const struct policy_run *run, struct sim_workload *workload,
    struct sim_result *result)
{
	workload->baseline = run->policy->baseline;
	workload->split = run->policy->split;
	for (int i = 0; i < WV_RANK_COUNT; i++)
		workload->demand[i].one_vm = run->one_vm;
	sim_workload_run(workload, result);
}

static void
run_normal_load(const struct policy_run *run, const char *contract)
{
	struct sim_workload workload = normal_workload(run->shape, contract);
	struct sim_result result;

	run_policy(run, &workload, &result);
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		char *metric = g_strdup_printf("calm.%s_p99", wv_rank_name(i));

		print_value(run, metric,
		    sim_outcome_percentile(&result.ranks[i], 99), "ms");
		g_free(metric);
	}
	print_value(run, "calm.searchers_over_cap",
	    (double)result.searchers_over_cap, "count");
	sim_result_clear(&result);
}

/* Every rank sends requests at twice the rate of its share. */
static void
run_saturation(const struct policy_run *run, const char *contract)
{
	struct sim_workload workload = normal_workload(run->shape, contract);
	struct sim_result result;
	double n_served = 0;

	workload.duration = 10000;
	for (int i = 0; i < WV_RANK_COUNT; i++)
		workload.demand[i].rate =
		    2 * rank_shares[i] * slot_capacity(run->shape);
	run_policy(run, &workload, &result);
	for (int i = 0; i < WV_RANK_COUNT; i++)
		n_served += (double)result.ranks[i].ok;
	print_value(run, "saturation.busy", result.busy_fraction, "part");
	print_value(run, "saturation.goodput",
	    n_served * 1000 / workload.duration / holder_capacity(run->shape),
	    "part");
	print_value(run, "saturation.searchers_over_cap",
	    (double)result.searchers_over_cap, "count");
	sim_result_clear(&result);
}

void
compare_policies(struct report *report)
{
	const struct sim_shape *shapes[] = {&sim_race_eve, &sim_supplier_desk};
	const size_t n = G_N_ELEMENTS(policies);

	for (size_t i = 0; i < 2 * n * G_N_ELEMENTS(shapes); i++) {
		struct policy_run run = {report, shapes[i / n / 2],
		    &policies[i % n], i / n % 2 == 1};
		char *contract = unlimited_contract(run.shape);

		run_normal_load(&run, contract);
		run_saturation(&run, contract);
		g_free(contract);
	}
}
