/**
 * @file
 * Tests of the ways to divide slots among VMs that the benchmark compares.
 */
#include "bench/driver/workload.h"

/*
 * Runs the supplier desk workload at 200 queries/s, twice its capacity; one_vm
 * sends all of them to a single VM.
 */
static void
run_split(enum sim_split split, bool one_vm, struct sim_result *result)
{
	struct sim_workload workload = {.shape = &sim_supplier_desk,
	    .baseline = true,
	    .split = split,
	    .seed = 1,
	    .warm_up = 1000,
	    .duration = 5000};
	struct sim_demand *demand = &workload.demand[WV_RANK_URGENT];

	demand->rate = 200;
	demand->deadline = 500;
	demand->one_vm = one_vm;
	sim_workload_run(&workload, result);
}

static uint64_t
count_over_cap(enum sim_split split, bool one_vm)
{
	struct sim_result result;
	uint64_t over;

	run_split(split, one_vm, &result);
	over = result.searchers_over_cap;
	sim_result_clear(&result);
	return over;
}

/*
 * A share that is used while it moves, or is counted at two VMs, would exceed
 * the cap, and the comparison would favour moving shares. The rounded up split
 * shows that the check detects an excess.
 */
static void
test_sum_within_cap(void)
{
	g_assert_cmpuint(count_over_cap(SIM_SPLIT_MOVING, false), ==, 0);
	g_assert_cmpuint(count_over_cap(SIM_SPLIT_MOVING, true), ==, 0);
	g_assert_cmpuint(count_over_cap(SIM_SPLIT_WITHIN_CAP, false), ==, 0);
	g_assert_cmpuint(count_over_cap(SIM_SPLIT_ROUNDED_UP, false), ==, 40);
}

/*
 * All demand arrives at VM 4, which has no slot at first. If shares did not
 * move, or got lost while they move, the searchers would stay idle.
 */
static void
test_shares_follow_demand(void)
{
	struct sim_result result;

	run_split(SIM_SPLIT_WITHIN_CAP, true, &result);
	g_assert_cmpfloat(result.busy_fraction, ==, 0);
	sim_result_clear(&result);
	run_split(SIM_SPLIT_MOVING, true, &result);
	g_assert_cmpfloat(result.busy_fraction, >, 0.85);
	sim_result_clear(&result);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/shares/sum_within_cap", test_sum_within_cap);
	g_test_add_func(
	    "/shares/shares_follow_demand", test_shares_follow_demand);
	return g_test_run();
}
