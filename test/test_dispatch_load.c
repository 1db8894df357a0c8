/**
 * @file
 * Tests of the dispatch under load patterns. Each test names its pattern;
 * the bounds come from the latency objective and the allowance.
 */
#include "dispatch_load.h"

static void
pause_in_turn(struct world *world, unsigned i)
{
	/* Every searcher pauses 120 ms in 3 s, each at its own time. */
	for (unsigned k = 0; k < world->n_searchers; k++) {
		if ((i + k * 10) % 300 == 0)
			world->searchers[k].paused_until = world->now + 120;
	}
}

static void
test_pauses(void)
{
	struct world *world = world_create(10, 3, 1);
	struct figures figures;

	figures = run_load(world, 0, 1, pause_in_turn);
	g_assert_cmpuint(figures.in_target, >=, REQUESTS * 99 / 100);
	g_assert_cmpuint(figures.full, >=, REQUESTS * 97 / 100);
	g_assert_cmpuint(figures.extra, <=, REQUESTS * 10 / 5 + 10 * 50);
	world_destroy(world);
}

static void
slow_down(struct world *world, unsigned i)
{
	/* One searcher in six is 9 times slower for 4 s. */
	for (unsigned k = 0; k < world->n_searchers; k += 6)
		world->searchers[k].factor = i >= 100 && i < 500 ? 9 : 1;
}

static void
test_stragglers(void)
{
	struct world *world = world_create(10, 3, 2);
	struct figures figures = run_load(world, 0, 1, slow_down);

	g_assert_cmpuint(figures.in_target, >=, REQUESTS * 98 / 100);
	g_assert_cmpuint(figures.full, >=, REQUESTS * 95 / 100);
	world_destroy(world);
}

static void
shed(struct world *world, unsigned i)
{
	/* Two of three searchers of each service reject everything. */
	for (unsigned k = 0; k < world->n_searchers; k++)
		world->searchers[k].mode = i >= 100 && i < 400 && k % 3 != 0
		    ? WORLD_SHEDDING
		    : WORLD_SOUND;
}

static void
test_shedding(void)
{
	struct world *world = world_create(10, 3, 3);
	struct figures figures = run_load(world, 0, 1, shed);

	g_assert_cmpuint(figures.in_target, >=, REQUESTS * 95 / 100);
	world_destroy(world);
}

static void
darken_service(struct world *world, unsigned i)
{
	for (unsigned k = 0; k < 3; k++)
		world_searcher(world, 5, k)->mode =
		    i >= 100 && i < 400 ? WORLD_DARK : WORLD_SOUND;
}

/* A whole service is silent: the others' parts come in time. */
static void
test_dark_service(void)
{
	struct world *world = world_create(10, 3, 4);
	struct figures figures = run_load(world, 0, 1, darken_service);

	g_assert_cmpuint(figures.in_target, >=, REQUESTS * 98 / 100);
	g_assert_cmpuint(figures.full, >=, REQUESTS * 45 / 100);
	world_destroy(world);
}

static void
flood(struct world *world, unsigned i)
{
	(void)i;
	world->work = 60;
}

/*
 * Three times what the searchers can do, single requests: what is not served
 * in time is refused within a quarter of the target, and the slots stay busy.
 */
static void
test_flood(void)
{
	struct world *world = world_create(1, 1, 5);
	struct figures figures = run_load(world, 1, 1, flood);

	g_assert_cmpuint(figures.served + figures.refused, ==, REQUESTS);
	/* 2 slots, 60 ms each, 6 s: 200 requests. */
	g_assert_cmpuint(figures.served, >=, 180);
	world_destroy(world);
}

static void
one_left(struct world *world, unsigned i)
{
	/* Of each service one searcher is slow and one is shedding. */
	for (unsigned k = 0; k < world->n_searchers; k++) {
		if (k % 3 == 1)
			world->searchers[k].factor = 9;
		if (k % 3 == 2)
			world->searchers[k].mode = WORLD_SHEDDING;
	}
	world->routes->routes[0].min_ratio = 0.95;
	world->work = 12;
	(void)i;
}

/*
 * One sound searcher is left of each service and carries bursts of
 * four requests over two connections. A part that finds no connection free
 * waits for one; the whole request does not fail for it.
 */
static void
test_one_searcher_left(void)
{
	struct world *world = world_create(10, 3, 6);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 4};
	struct figures figures;

	wv_dispatch_set_terms(world->dispatch, &terms);
	figures = run_load(world, 0, 4, one_left);
	g_assert_cmpuint(figures.served, >=, REQUESTS * 95 / 100);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/load/pauses", test_pauses);
	g_test_add_func("/dispatch/load/stragglers", test_stragglers);
	g_test_add_func("/dispatch/load/shedding", test_shedding);
	g_test_add_func("/dispatch/load/dark-service", test_dark_service);
	g_test_add_func("/dispatch/load/flood", test_flood);
	g_test_add_func("/dispatch/load/one-left", test_one_searcher_left);
	return g_test_run();
}
