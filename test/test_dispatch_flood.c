/**
 * @file
 * Test of the dispatch under a flood of requests to all services.
 */
#include "dispatch_load.h"

static void
flood_all(struct world *world, unsigned i)
{
	world->work = 70;
	(void)i;
}

/*
 * Twice what the searchers can do, requests to all services: most of what is
 * not served is refused before any searcher works on a part of it.
 */
static void
test_scatter_flood(void)
{
	struct world *world = world_create(10, 3, 7);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 4};
	struct figures figures;

	wv_dispatch_set_terms(world->dispatch, &terms);
	figures = run_load(world, 0, 4, flood_all);
	g_assert_cmpuint(figures.refused, >, 0);
	g_assert_cmpuint(
	    figures.refused * 10, >=, (REQUESTS - figures.served) * 9);
	world_destroy(world);
}

static void
calm_after_flood(struct world *world, unsigned i)
{
	world->work = i < REQUESTS / 2 ? 70 : 10;
}

/*
 * The same for half of the run, then a tenth of the work: while room lacks for
 * longer than a burst, callers are refused at once, and nobody is once it is
 * calm again.
 */
static void
test_calm_after_flood(void)
{
	struct world *world = world_create(10, 3, 8);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 4};
	struct figures figures;

	wv_dispatch_set_terms(world->dispatch, &terms);
	figures = run_load(world, 0, 4, calm_after_flood);
	g_assert_cmpuint(figures.refused_at_once * 2, >=, figures.refused);
	g_assert_cmpuint(figures.in_target, >=, REQUESTS / 2 * 97 / 100);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/load/scatter-flood", test_scatter_flood);
	g_test_add_func(
	    "/dispatch/load/calm-after-flood", test_calm_after_flood);
	return g_test_run();
}
