/**
 * @file
 * Tests of the dispatch, one request at a time.
 */
#include "dispatch_world.h"

static void
test_scatter_full(void)
{
	struct world *world = world_create(10, 3, 1);
	struct world_result result = {0};

	world_submit(world, 0, 1500, &result);
	world_run(world, 60);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_PARTS);
	g_assert_cmpuint(result.parts, ==, 10);
	world_destroy(world);
}

/* A paused searcher: another one of the same service is asked in time. */
static void
test_hedge_on_pause(void)
{
	struct world *world = world_create(10, 3, 2);
	struct world_result result = {0};

	for (unsigned k = 0; k < 3; k++)
		world_searcher(world, 4, k)->paused_until =
		    k == 0 ? world->now + 200 : 0;
	world_submit(world, 0, 1500, &result);
	world_run(world, 95);
	g_assert_true(result.done);
	g_assert_cmpuint(result.parts, ==, 10);
	g_assert_cmpuint(result.extra, <=, 2);
	world_destroy(world);
}

/* One service is silent: the answer without it comes within the target. */
static void
test_thin_at_target(void)
{
	struct world *world = world_create(10, 3, 3);
	struct world_result result = {0};

	for (unsigned k = 0; k < 3; k++)
		world_searcher(world, 7, k)->mode = WORLD_DARK;
	world_submit(world, 0, 1500, &result);
	world_run(world, 100);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_PARTS);
	g_assert_cmpuint(result.parts, ==, 9);
	g_assert_cmpfloat(result.elapsed, <, 100);
	world_destroy(world);
}

/* Too few parts: no success, and not before the deadline has passed. */
static void
test_below_least_part(void)
{
	struct world *world = world_create(4, 3, 4);
	struct world_result result = {0};

	for (unsigned i = 0; i < 2; i++) {
		for (unsigned k = 0; k < 3; k++)
			world_searcher(world, i, k)->mode = WORLD_DARK;
	}
	world_submit(world, 0, 400, &result);
	world_run(world, 390);
	g_assert_false(result.done);
	world_run(world, 10);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_EXPIRED);
	world_destroy(world);
}

/* What failed for certain is answered at once. */
static void
test_gives_up_at_once(void)
{
	struct world *world = world_create(4, 3, 5);
	struct world_result result = {0};

	for (unsigned i = 0; i < 2; i++) {
		for (unsigned k = 0; k < 3; k++)
			world_searcher(world, i, k)->mode = WORLD_FAILING;
	}
	world_submit(world, 0, 1500, &result);
	world_run(world, 60);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_FAILED);
	world_destroy(world);
}

/* No searcher can be reached: refused as not run, with a time. */
static void
test_refuses_unreachable(void)
{
	struct world *world = world_create(4, 3, 6);
	struct world_result results[40] = {0};
	unsigned arrivals = 0;

	for (unsigned i = 0; i < world->n_searchers; i++)
		world->searchers[i].mode = WORLD_REFUSING;
	for (unsigned i = 0; i < 40; i++) {
		world_submit(world, 0, 1500, &results[i]);
		world_run(world, 10);
	}
	g_assert_true(results[39].done);
	g_assert_cmpint(results[39].kind, ==, WV_RESULT_REFUSED);
	g_assert_cmpint(results[39].reason, ==, WV_REASON_UNREACHABLE);
	g_assert_cmpfloat(results[39].retry_after, >, 0);
	for (unsigned i = 0; i < world->n_searchers; i++)
		arrivals += world->searchers[i].runs;
	g_assert_cmpuint(arrivals, ==, 0);
	world_destroy(world);
}

/* They are found again by probes once they are back. */
static void
test_probes_find_back(void)
{
	struct world *world = world_create(2, 3, 7);
	struct world_result results[300] = {0};
	unsigned good = 0;

	for (unsigned i = 0; i < world->n_searchers; i++)
		world->searchers[i].mode = WORLD_REFUSING;
	for (unsigned i = 0; i < 300; i++) {
		if (i == 100) {
			for (unsigned k = 0; k < world->n_searchers; k++)
				world->searchers[k].mode = WORLD_SOUND;
		}
		world_submit(world, 0, 1500, &results[i]);
		world_run(world, 20);
	}
	for (unsigned i = 200; i < 300; i++)
		good += results[i].parts == 2;
	g_assert_cmpuint(good, >=, 98);
	world_destroy(world);
}

/* A request that may run only once is sent once, whatever happens to it. */
static void
test_once(void)
{
	enum world_mode modes[] = {WORLD_DARK, WORLD_FAILING, WORLD_BREAKING};

	for (size_t m = 0; m < G_N_ELEMENTS(modes); m++) {
		struct world *world = world_create(1, 3, 8);
		struct world_result result = {0};
		unsigned arrivals = 0;

		for (unsigned k = 0; k < 3; k++)
			world_searcher(world, 0, k)->mode = modes[m];
		world_submit(world, 2, 500, &result);
		world_run(world, 600);
		g_assert_true(result.done);
		g_assert_cmpint(result.kind, !=, WV_RESULT_REFUSED);
		for (unsigned k = 0; k < 3; k++)
			arrivals += world_searcher(world, 0, k)->arrivals;
		g_assert_cmpuint(arrivals, ==, 1);
		world_destroy(world);
	}
}

/* One that was rejected has not run and is sent elsewhere. */
static void
test_once_after_rejection(void)
{
	struct world *world = world_create(1, 3, 9);
	struct world_result results[20] = {0};
	unsigned runs = 0;

	world_searcher(world, 0, 0)->mode = WORLD_SHEDDING;
	world_searcher(world, 0, 1)->mode = WORLD_REFUSING;
	for (unsigned i = 0; i < 20; i++) {
		world_submit(world, 2, 1000, &results[i]);
		world_run(world, 50);
	}
	for (unsigned i = 0; i < 20; i++) {
		g_assert_true(results[i].done);
		g_assert_cmpint(results[i].kind, ==, WV_RESULT_RELAY);
	}
	for (unsigned k = 0; k < 3; k++)
		runs += world_searcher(world, 0, k)->runs;
	g_assert_cmpuint(runs, ==, 20);
	world_destroy(world);
}

/* All reject: the refusal is true, since nothing has run. */
static void
test_all_reject(void)
{
	struct world *world = world_create(1, 3, 10);
	struct world_result result = {0};

	for (unsigned k = 0; k < 3; k++)
		world_searcher(world, 0, k)->mode = WORLD_SHEDDING;
	world_submit(world, 2, 1000, &result);
	world_run(world, 50);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_REFUSED);
	world_destroy(world);
}

/* The caller leaves: every attempt is broken off. */
static void
test_caller_leaves(void)
{
	struct world *world = world_create(10, 3, 11);
	struct world_result result = {0};
	struct wv_task *task;
	unsigned cancelled = 0;

	task = world_submit(world, 0, 1500, &result);
	world_run(world, 3);
	wv_dispatch_leave(world->dispatch, task);
	for (unsigned i = 0; i < world->n_searchers; i++)
		cancelled += world->searchers[i].cancelled;
	g_assert_cmpuint(cancelled, ==, 10);
	world_run(world, 100);
	g_assert_false(result.done);
	world_destroy(world);
}

/* A draining searcher and one that is gone get nothing. */
static void
test_draining(void)
{
	struct world *world = world_create(1, 3, 12);
	struct world_result results[30] = {0};

	wv_fleet_put(world->fleet, world->now,
	    &(struct wv_searcher_entry){.id = world_text("s0-0"),
		.service = world_text("service0"),
		.address = world_text("127.0.0.1:1"),
		.zone = world_text("z0"),
		.started = 1,
		.slots = 2,
		.draining = true});
	wv_fleet_remove(world->fleet, world->now, world_text("s0-1"));
	for (unsigned i = 0; i < 30; i++) {
		world_submit(world, 1, 1500, &results[i]);
		world_run(world, 20);
		g_assert_true(results[i].done);
	}
	g_assert_cmpuint(world_searcher(world, 0, 0)->arrivals, ==, 0);
	g_assert_cmpuint(world_searcher(world, 0, 1)->arrivals, ==, 0);
	world_destroy(world);
}

/* Never more attempts at a searcher than this VM's part of connections. */
static void
test_connection_share(void)
{
	struct world *world = world_create(1, 3, 13);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 4};
	struct world_result results[60] = {0};
	unsigned not_served = 0;

	wv_dispatch_set_terms(world->dispatch, &terms);
	for (unsigned i = 0; i < 60; i++) {
		world_submit(world, 1, 1500, &results[i]);
		world_run(world, 1);
	}
	world_run(world, 2000);
	for (unsigned k = 0; k < 3; k++)
		g_assert_cmpuint(world_searcher(world, 0, k)->peak, <=, 8 / 4);
	for (unsigned i = 0; i < 60; i++) {
		g_assert_true(results[i].done);
		if (results[i].kind == WV_RESULT_RELAY)
			continue;
		not_served++;
		g_assert_cmpint(results[i].kind, ==, WV_RESULT_REFUSED);
		g_assert_cmpfloat(results[i].elapsed, <=, 26);
	}
	g_assert_cmpuint(not_served, >, 0);
	world_destroy(world);
}

/* This VM ends: what may have run is not called refused. */
static void
test_abort(void)
{
	struct world *world = world_create(1, 3, 14);
	struct world_result result = {0};
	struct wv_task *task = world_submit(world, 2, 1500, &result);

	world_run(world, 2);
	wv_dispatch_abort(world->dispatch, world->now, task);
	g_assert_true(result.done);
	g_assert_cmpint(result.kind, ==, WV_RESULT_FAILED);
	g_assert_cmpint(result.reason, ==, WV_REASON_STOPPING);
	world_destroy(world);
}

/*
 * A request that may run once waits for room and is sent then. The end of its
 * wait passes while it runs: it is not sent again, although another searcher
 * is free.
 */
static void
test_once_after_wait(void)
{
	struct world *world = world_create(1, 2, 15);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 8};
	struct world_result results[3] = {0};

	wv_dispatch_set_terms(world->dispatch, &terms);
	for (unsigned i = 0; i < G_N_ELEMENTS(results); i++)
		world_submit(world, 2, 1500, &results[i]);
	world_run(world, 2);
	world->work = 80;
	world_run(world, 300);
	g_assert_cmpint(results[2].kind, ==, WV_RESULT_RELAY);
	g_assert_cmpuint(results[2].attempts, ==, 1);
	g_assert_cmpuint(results[2].runs, ==, 1);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/scatter/full", test_scatter_full);
	g_test_add_func("/dispatch/scatter/hedge", test_hedge_on_pause);
	g_test_add_func("/dispatch/scatter/thin", test_thin_at_target);
	g_test_add_func("/dispatch/scatter/least", test_below_least_part);
	g_test_add_func("/dispatch/scatter/give-up", test_gives_up_at_once);
	g_test_add_func(
	    "/dispatch/scatter/unreachable", test_refuses_unreachable);
	g_test_add_func("/dispatch/scatter/found-back", test_probes_find_back);
	g_test_add_func("/dispatch/once", test_once);
	g_test_add_func("/dispatch/once/rejected", test_once_after_rejection);
	g_test_add_func("/dispatch/once/all-reject", test_all_reject);
	g_test_add_func("/dispatch/caller-leaves", test_caller_leaves);
	g_test_add_func("/dispatch/draining", test_draining);
	g_test_add_func("/dispatch/connection-share", test_connection_share);
	g_test_add_func("/dispatch/abort", test_abort);
	g_test_add_func("/dispatch/once-after-wait", test_once_after_wait);
	return g_test_run();
}
