/**
 * @file
 * Tests of the answers of an entry server to requests that it can't serve.
 */
#include "test/entry_fixture.h"

/** Orders that are sent to searchers that send stale answers. */
#define N_STALE_ORDERS 100
/** Orders in which each searcher of orders gets some. */
#define N_LEAVING_ORDERS 20
/** Orders that are sent while all searchers of orders rest. */
#define N_RESTING_ORDERS 20
/** Longest rest that follows from STANDIN_REST, ms. */
#define MAX_REST_TIME (STANDIN_REST * 1100)
/** Time within which a watcher of the store has a change, ms. */
#define BATCH_TIME 500

/* Invalid requests get their status and reach no searcher. */
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
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->callers, cases[i].bytes, body),
		    ==, cases[i].status);
		g_string_free(body, TRUE);
	}
	for (unsigned i = 0; i < N_SERVICES * N_REPLICAS; i++)
		g_assert_cmpuint(standin_searchers_arrivals(fixture->searchers,
				     i / N_REPLICAS, i % N_REPLICAS),
		    ==, 0);
	g_assert_true(wait_logged(fixture, vm, "\"request_refused\""));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/*
 * Without searchers an order is refused at once. It must not run later, when
 * searchers are back.
 */
static void
test_refused_without_searchers(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *order = compose_order("order-2");
	GString *body = g_string_new(NULL);

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	for (unsigned i = 0; i < N_SERVICES * N_REPLICAS; i++) {
		char *id = searcher_id(i);

		standin_store_remove(
		    fixture->store, STANDIN_KIND_SEARCHERS, id);
		g_free(id);
	}
	g_assert_true(wait_logged(fixture, vm, "\"searcher\":\"i-2-1\"}"));
	g_assert_cmpuint(
	    exchange_bytes(fixture, vm->callers, order, body), ==, 503);
	g_assert_true(wait_logged(
	    fixture, vm, "\"status\":503,\"reason\":\"unreachable\""));
	write_searchers(fixture);
	run_for(fixture, 500);
	g_assert_cmpuint(
	    standin_searchers_runs(fixture->searchers, "order-2"), ==, 0);
	stop_vm(fixture, vm);
	g_string_free(body, TRUE);
	g_free(order);
	fixture_destroy(fixture);
}

/* Sets the mode of the searchers of orders. */
static void
set_order_mode(struct fixture *fixture, const char *mode)
{
	for (unsigned i = 0; i < N_REPLICAS; i++) {
		char *id = standin_searcher_id(N_SERVICES - 1, i);

		g_assert_true(
		    standin_searchers_set_mode(fixture->searchers, id, mode));
		g_free(id);
	}
}

/*
 * An order that has run and was failed by its searcher must not be answered
 * with a status that promises that it has not run: the caller would place it
 * again.
 */
static void
test_failed_after_run(void)
{
	static const unsigned statuses[] = {408, 421, 429, 503};
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		char *mode = g_strdup_printf("fail-%u", statuses[i]);
		char *id = g_strdup_printf("order-%u", statuses[i]);
		char *order = compose_order(id);
		GString *body = g_string_new(NULL);

		set_order_mode(fixture, mode);
		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->callers, order, body), ==, 502);
		g_assert_cmpuint(
		    standin_searchers_runs(fixture->searchers, id), ==, 1);
		g_string_free(body, TRUE);
		g_free(order);
		g_free(id);
		g_free(mode);
	}
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/*
 * A searcher sends answers to earlier requests and rejections, some without an
 * identifier, before the answer. Each order must get its own answer: it must
 * neither get another one's nor run again because of a rejection that belongs
 * to no request.
 */
static void
test_stale_answers(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	/* The seed is printed by the test framework. */
	g_random_set_seed((guint32)g_test_rand_int());
	set_order_mode(fixture, "stale");
	for (unsigned i = 0; i < N_STALE_ORDERS; i++) {
		char *id = g_strdup_printf("order-%u", i);
		char *order = compose_order(id);
		GString *right = standin_records(N_SERVICES - 1, id);
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->callers, order, body), ==, 200);
		g_assert_true(g_string_equal(body, right));
		g_assert_cmpuint(
		    standin_searchers_runs(fixture->searchers, id), ==, 1);
		g_string_free(body, TRUE);
		g_string_free(right, TRUE);
		g_free(order);
		g_free(id);
	}
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* Sends n orders, each of which must succeed. */
static void
send_orders(struct fixture *fixture, const char *prefix, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		char *id = g_strdup_printf("%s-%u", prefix, i);
		char *order = compose_order(id);
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(exchange_bytes(fixture,
				     fixture->vms[0].callers, order, body),
		    ==, 200);
		g_string_free(body, TRUE);
		g_free(order);
		g_free(id);
	}
}

/* Writes the entry of the first searcher of orders as ready. */
static void
write_order_searcher(struct fixture *fixture, uint64_t started)
{
	char *id = standin_searcher_id(N_SERVICES - 1, 0);
	char *service = g_strdup_printf("s%u", N_SERVICES - 1);

	standin_store_remove(fixture->store, STANDIN_KIND_SEARCHERS, id);
	run_for(fixture, 2 * BATCH_TIME);
	standin_store_write(fixture->store, STANDIN_KIND_SEARCHERS, id,
	    standin_searcher_spec(service,
		standin_searchers_address(
		    fixture->searchers, N_SERVICES - 1, 0),
		started, false));
	run_for(fixture, 2 * BATCH_TIME);
	g_free(service);
	g_free(id);
}

/*
 * A searcher that says in an answer that it is leaving gets no further request,
 * also if its entry disappears and comes back as ready. A new incarnation at
 * the same address is another searcher.
 */
static void
test_leaving(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	uint64_t arrivals;

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	standin_searchers_set_leaving(
	    fixture->searchers, N_SERVICES - 1, 0, true);
	send_orders(fixture, "before", N_LEAVING_ORDERS);
	g_assert_true(wait_logged(fixture, vm, "\"searcher_leaving\""));
	arrivals =
	    standin_searchers_arrivals(fixture->searchers, N_SERVICES - 1, 0);
	g_assert_cmpuint(arrivals, ==, 1);
	write_order_searcher(fixture, 1);
	send_orders(fixture, "after", N_LEAVING_ORDERS);
	g_assert_cmpuint(
	    standin_searchers_arrivals(fixture->searchers, N_SERVICES - 1, 0),
	    ==, arrivals);
	standin_searchers_set_leaving(
	    fixture->searchers, N_SERVICES - 1, 0, false);
	write_order_searcher(fixture, 2);
	send_orders(fixture, "new", N_LEAVING_ORDERS);
	g_assert_cmpuint(
	    standin_searchers_arrivals(fixture->searchers, N_SERVICES - 1, 0),
	    >, arrivals);
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/*
 * Searchers that reject with a Retry-After get no further request until it has
 * passed, and the callers are refused at once meanwhile. Then they get some.
 */
static void
test_resting(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *order = compose_order("order-rest");
	GString *body = g_string_new(NULL);
	uint64_t arrivals = 0;

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	set_order_mode(fixture, "rest");
	for (unsigned i = 0; i < N_RESTING_ORDERS; i++)
		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->callers, order, body), ==, 503);
	set_order_mode(fixture, "sound");
	for (unsigned i = 0; i < N_REPLICAS; i++)
		arrivals += standin_searchers_arrivals(
		    fixture->searchers, N_SERVICES - 1, i);
	g_assert_cmpuint(arrivals, ==, N_REPLICAS);
	g_assert_true(wait_logged(fixture, vm, "\"searcher_rests\""));
	run_for(fixture, MAX_REST_TIME);
	send_orders(fixture, "after-rest", 1);
	stop_vm(fixture, vm);
	g_string_free(body, TRUE);
	g_free(order);
	fixture_destroy(fixture);
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
	g_test_add_func(
	    "/entry-requests/failed-after-run", test_failed_after_run);
	g_test_add_func("/entry-requests/stale-answers", test_stale_answers);
	g_test_add_func("/entry-requests/leaving", test_leaving);
	g_test_add_func("/entry-requests/resting", test_resting);
	return g_test_run();
}
