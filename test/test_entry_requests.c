/**
 * @file
 * Tests of what callers of an entry server get for requests that cannot be
 * served.
 */
#include "test/entry_world.h"

/* Each request gets its status; none reaches a searcher. */
static void
test_malformed_requests(void)
{
	static const struct {
		const char *bytes;
		unsigned status;
	} cases[] = {
	    {"GET / HTTP/1.1\r\n\r\n", 400},
	    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
	    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		400},
	    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	     "Content-Length: 4\r\n\r\nabc",
		400},
	    {"GET / HTTP/1.1\nHost: a\n\n", 400},
	    {"GET /none HTTP/1.1\r\nHost: none\r\n\r\n", 404},
	};
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(world, vm->callers, cases[i].bytes, body),
		    ==, cases[i].status);
		g_string_free(body, TRUE);
	}
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++)
		g_assert_cmpuint(standin_searchers_arrivals(world->searchers,
				     i / REPLICAS, i % REPLICAS),
		    ==, 0);
	g_assert_true(wait_logged(world, vm, "\"request_refused\""));
	stop_vm(world, vm);
	world_destroy(world);
}

/* Without searchers an order is refused at once, has not run and never will. */
static void
test_refused_without_searchers(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];
	char *order = compose_order("order-2");
	GString *body = g_string_new(NULL);

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++) {
		char *id = searcher_id(i);

		standin_store_remove(world->store, STANDIN_SEARCHERS, id);
		g_free(id);
	}
	g_assert_true(wait_logged(world, vm, "\"searcher\":\"i-2-1\"}"));
	g_assert_cmpuint(
	    exchange_bytes(world, vm->callers, order, body), ==, 503);
	g_assert_true(wait_logged(
	    world, vm, "\"status\":503,\"reason\":\"unreachable\""));
	write_searchers(world);
	run_for(world, 500);
	g_assert_cmpuint(
	    standin_searchers_runs(world->searchers, "order-2"), ==, 0);
	stop_vm(world, vm);
	g_string_free(body, TRUE);
	g_free(order);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func(
	    "/entry-requests/malformed-requests", test_malformed_requests);
	g_test_add_func("/entry-requests/refused-without-searchers",
	    test_refused_without_searchers);
	return g_test_run();
}
