/**
 * @file
 * Tests of how many shard requests leave the availability zone of the VM, which
 * costs time and priced bytes, while searchers pause or are slow.
 */
#include "dispatch_load.h"

/** Length of a pause, ms, and requests between two pauses of a searcher. */
#define PAUSE_TIME 120
#define PAUSE_INTERVAL 300

/* Returns the part of the arrivals at the searchers of the other zones. */
static double
other_zone_ratio(const struct simulation *simulation)
{
	unsigned near = 0, all = 0;

	for (unsigned k = 0; k < simulation->n_searchers; k++) {
		all += simulation->searchers[k].arrivals;
		if (k % simulation->replicas == 0)
			near += simulation->searchers[k].arrivals;
	}
	g_test_message("near %u of %u", near, all);
	return 1 - (double)near / all;
}

static void
no_fault(struct simulation *simulation, unsigned i)
{
	(void)simulation;
	(void)i;
}

/* In calm, only the hedges of requests that take long leave the zone. */
static void
test_calm(void)
{
	struct simulation *simulation = simulation_create(10, 3, 1);

	run_load(simulation, 0, 1, no_fault);
	g_assert_cmpfloat(other_zone_ratio(simulation), <=, 0.1);
	simulation_destroy(simulation);
}

static void
pause_searchers(struct simulation *simulation, unsigned i)
{
	for (unsigned k = 0; k < simulation->n_searchers; k++) {
		if ((i + k * 10) % PAUSE_INTERVAL == 0)
			simulation->searchers[k].paused_until =
			    simulation->now + PAUSE_TIME;
	}
}

/*
 * Each searcher pauses for 0.04 of the time. A VM that stays away from one for
 * seconds after a pause sends most requests to other zones. Three times the
 * part of the pauses, beside the hedges of a calm run, is allowed.
 */
static void
test_pauses(void)
{
	struct simulation *simulation = simulation_create(10, 3, 1);
	struct load_stats stats = run_load(simulation, 0, 1, pause_searchers);

	g_assert_cmpfloat(
	    other_zone_ratio(simulation), <=, 0.1 + 3 * PAUSE_TIME / 3000.0);
	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 99 / 100);
	simulation_destroy(simulation);
}

static void
slow_near_searchers(struct simulation *simulation, unsigned i)
{
	/* In half of the services, the near one is 9 times slower. */
	for (unsigned k = 0; k < simulation->n_searchers; k += 6)
		simulation->searchers[k].factor = i >= 100 && i < 500 ? 9 : 1;
}

/* A near searcher that stays slow is left all the same. */
static void
test_slow_near(void)
{
	struct simulation *simulation = simulation_create(10, 3, 2);
	struct load_stats stats =
	    run_load(simulation, 0, 1, slow_near_searchers);

	g_assert_cmpuint(stats.in_target, >=, REQUESTS * 98 / 100);
	g_assert_cmpuint(stats.full, >=, REQUESTS * 95 / 100);
	simulation_destroy(simulation);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch-zone/calm", test_calm);
	g_test_add_func("/dispatch-zone/pauses", test_pauses);
	g_test_add_func("/dispatch-zone/slow-near", test_slow_near);
	return g_test_run();
}
