/**
 * @file
 * Tests of the request dispatcher in an overload of scatter requests.
 */
#include "dispatch_load.h"

static void
overload(struct simulation *simulation, unsigned i)
{
	simulation->work = 70;
	(void)i;
}

/*
 * At twice the capacity of the searchers, most scatter requests that are not
 * served are refused before any searcher runs a part of them. Otherwise
 * searchers would spend their slots on parts of requests that fail.
 */
static void
test_scatter_overload(void)
{
	struct simulation *simulation = simulation_create(10, 3, 7);
	struct wv_dispatch_limits limits = {
	    .allowance = {0.2, 50, 10000, 0}, .connection_divisor = 4};
	struct load_stats stats;

	wv_dispatch_set_limits(simulation->dispatch, &limits);
	stats = run_load(simulation, 0, 4, overload);
	g_assert_cmpuint(stats.refused, >, 0);
	g_assert_cmpuint(stats.refused * 10, >=, (REQUESTS - stats.served) * 9);
	simulation_destroy(simulation);
}

static void
overload_first_half(struct simulation *simulation, unsigned i)
{
	simulation->work = i < REQUESTS / 2 ? 70 : 10;
}

/*
 * The same overload for half of the run, then a seventh of the work. In an
 * overload longer than a burst, callers are refused at once; after it nearly
 * all requests are served in time again.
 */
static void
test_recovery_after_overload(void)
{
	struct simulation *simulation = simulation_create(10, 3, 8);
	struct wv_dispatch_limits limits = {
	    .allowance = {0.2, 50, 10000, 0}, .connection_divisor = 4};
	struct load_stats stats;

	wv_dispatch_set_limits(simulation->dispatch, &limits);
	stats = run_load(simulation, 0, 4, overload_first_half);
	g_assert_cmpuint(stats.refused_at_once * 2, >=, stats.refused);
	g_assert_cmpuint(stats.in_target, >=, REQUESTS / 2 * 97 / 100);
	simulation_destroy(simulation);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/load/scatter-flood", test_scatter_overload);
	g_test_add_func(
	    "/dispatch/load/calm-after-flood", test_recovery_after_overload);
	return g_test_run();
}
