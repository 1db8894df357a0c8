/**
 * @file
 * Tests of the connections of entry servers to searchers when descriptors run
 * out.
 */
#include "test/limited_vm.h"

/** Longest time until a request that can't run is refused, ms. */
#define MAX_REFUSAL_TIME 500

/*
 * No descriptor for a connection to a searcher: an order over an established
 * connection is answered at once as not run, the process does not spin on
 * attempts, and serves when it can again.
 */
static void
test_no_outgoing(void)
{
	struct fixture *fixture = create_limited(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *order = compose_order("order-1");
	GString *body = g_string_new(NULL);
	struct exchange exchange = {fixture->base, 0, body};
	struct client *client =
	    client_create(fixture->base, vm->callers, &ops, &exchange);
	gint64 start;

	run_for(fixture, CHECK_INTERVAL);
	set_limit(vm, LOWERED_DESCRIPTORS);
	start = g_get_monotonic_time();
	client_send(client, wv_string_borrow(order), false);
	run_for(fixture, MAX_ANSWER_TIME);
	g_assert_cmpuint(exchange.status, ==, 503);
	g_assert_cmpint(
	    g_get_monotonic_time() - start, <, MAX_REFUSAL_TIME * 1000);
	g_assert_true(wait_logged(fixture, vm, "\"end\":\"not_sent\""));
	check_not_busy(fixture);
	set_limit(vm, DESCRIPTORS);
	g_assert_true(wait_served(fixture));
	client_destroy(client);
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
	g_test_add_func("/entry-outgoing/no-descriptor", test_no_outgoing);
	return g_test_run();
}
