/**
 * @file
 * Tests of the request dispatcher under load with faults. The bounds derive
 * from the latency objective and the allowance of extra attempts.
 */
#include "dispatch_load.h"

static void
pause_searchers(struct simulation *simulation, unsigned i)
{
	/* Every searcher pauses for 120 ms in 3 s, at different times. */
	for (unsigned k = 0; k < simulation->n_searchers; k++) {
		if ((i + k * 10) % 300 == 0)
			simulation->searchers[k].paused_until =
			    simulation->now + 120;
	}
}

static void
test_pauses(void)
{
	struct simulation *simulation = simulation_create(10, 3, 1);
	struct load_stats stats;

	stats = run_load(simulation, 0, 1, pause_searchers);
	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 99 / 100);
	g_assert_cmpuint(stats.full, >=, REQUESTS * 97 / 100);
	g_assert_cmpuint(stats.extra, <=, REQUESTS * 10 / 5 + 10 * 50);
	simulation_destroy(simulation);
}

static void
slow_searchers(struct simulation *simulation, unsigned i)
{
	/* One searcher in six is 9 times slower for 4 s. */
	for (unsigned k = 0; k < simulation->n_searchers; k += 6)
		simulation->searchers[k].factor = i >= 100 && i < 500 ? 9 : 1;
}

static void
test_stragglers(void)
{
	struct simulation *simulation = simulation_create(10, 3, 2);
	struct load_stats stats = run_load(simulation, 0, 1, slow_searchers);

	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 98 / 100);
	g_assert_cmpuint(stats.full, >=, REQUESTS * 95 / 100);
	simulation_destroy(simulation);
}

static void
reject_requests(struct simulation *simulation, unsigned i)
{
	/* Two of three searchers of each service reject everything. */
	for (unsigned k = 0; k < simulation->n_searchers; k++)
		simulation->searchers[k].mode =
		    i >= 100 && i < 400 && k % 3 != 0 ? SEARCHER_REJECTING
						      : SEARCHER_HEALTHY;
}

static void
test_rejections(void)
{
	struct simulation *simulation = simulation_create(10, 3, 3);
	struct load_stats stats = run_load(simulation, 0, 1, reject_requests);

	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 95 / 100);
	simulation_destroy(simulation);
}

static void
stop_responses(struct simulation *simulation, unsigned i)
{
	for (unsigned k = 0; k < 3; k++)
		simulation_searcher(simulation, 5, k)->mode =
		    i >= 100 && i < 400 ? SEARCHER_UNRESPONSIVE
					: SEARCHER_HEALTHY;
}

/* The parts of the other services arrive in time. */
static void
test_unresponsive_service(void)
{
	struct simulation *simulation = simulation_create(10, 3, 4);
	struct load_stats stats = run_load(simulation, 0, 1, stop_responses);

	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 98 / 100);
	g_assert_cmpuint(stats.full, >=, REQUESTS * 45 / 100);
	simulation_destroy(simulation);
}

static void
overload(struct simulation *simulation, unsigned i)
{
	(void)i;
	simulation->work = 60;
}

/*
 * Single requests at three times the capacity: requests that can't be served in
 * time are refused within a quarter of the latency objective, and the slots
 * stay busy.
 */
static void
test_overload(void)
{
	struct simulation *simulation = simulation_create(1, 1, 5);
	struct load_stats stats = run_load(simulation, 1, 1, overload);

	g_assert_cmpuint(stats.served + stats.refused, ==, REQUESTS);
	/* 2 slots, 60 ms each, 6 s: 200 requests. */
	g_assert_cmpuint(stats.served, >=, 180);
	simulation_destroy(simulation);
}

static void
leave_one_healthy(struct simulation *simulation, unsigned i)
{
	/* In each service one searcher is slow and one rejects all requests. */
	for (unsigned k = 0; k < simulation->n_searchers; k++) {
		if (k % 3 == 1)
			simulation->searchers[k].factor = 9;
		if (k % 3 == 2)
			simulation->searchers[k].mode = SEARCHER_REJECTING;
	}
	simulation->routes->routes[0].min_ratio = 0.95;
	simulation->work = 12;
	(void)i;
}

/*
 * One healthy searcher per service serves bursts of four requests with two
 * connections. A shard request without a free connection must wait for one and
 * not make the whole request fail.
 */
static void
test_one_searcher_left(void)
{
	struct simulation *simulation = simulation_create(10, 3, 6);
	struct wv_dispatch_limits limits = {
	    .allowance = {0.2, 50, 10000, 0}, .connection_divisor = 4};
	struct load_stats stats;

	wv_dispatch_set_limits(simulation->dispatch, &limits);
	stats = run_load(simulation, 0, 4, leave_one_healthy);
	g_assert_cmpuint(stats.served, >=, REQUESTS * 95 / 100);
	simulation_destroy(simulation);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/load/pauses", test_pauses);
	g_test_add_func("/dispatch/load/stragglers", test_stragglers);
	g_test_add_func("/dispatch/load/shedding", test_rejections);
	g_test_add_func(
	    "/dispatch/load/dark-service", test_unresponsive_service);
	g_test_add_func("/dispatch/load/flood", test_overload);
	g_test_add_func("/dispatch/load/one-left", test_one_searcher_left);
	return g_test_run();
}
