/**
 * @file
 * Tests of the life cycle of an entry server: reloaded settings, signals,
 * planned stop.
 */
#include "test/entry_fixture.h"

/* Replaces a text in the settings file of a VM. */
static void
edit_settings(const struct vm *vm, const char *from, const char *to)
{
	GString *edited = g_string_new(NULL);
	char *text = NULL;

	g_assert_true(g_file_get_contents(vm->settings, &text, NULL, NULL));
	g_string_append(edited, text);
	g_assert_cmpuint(g_string_replace(edited, from, to, 1), ==, 1);
	g_assert_true(g_file_set_contents(vm->settings, edited->str, -1, NULL));
	g_string_free(edited, TRUE);
	g_free(text);
}

/* Waits for the log line of a reload, which has no specified time limit. */
static bool
wait_reload(struct fixture *fixture, const struct vm *vm, const char *text)
{
	return wait_logged_within(fixture, vm, text, EVENT_TIMEOUT);
}

/* A changed file is loaded without a signal; an invalid one is rejected. */
static void
test_changed_settings(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	edit_settings(
	    vm, "\"address_lifetime_s\":0.5", "\"address_lifetime_s\":0.7");
	g_assert_true(wait_reload(fixture, vm,
	    "\"accepted\":true,\"cause\":\"file\",\"needs_restart\":\"\""));
	edit_settings(vm, "\"zone\":\"", "\"zone\":\"other-");
	g_assert_true(wait_reload(fixture, vm, "\"needs_restart\":\"zone\""));
	edit_settings(vm, "\"address_lifetime_s\":0.7",
	    "\"address_lifetime_s\":\"long\"");
	g_assert_true(wait_reload(fixture, vm,
	    "\"accepted\":false,\"cause\":\"file\",\"faults\":"
	    "\"$.address_lifetime_s: "));
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_assert_true(wait_reload(
	    fixture, vm, "\"accepted\":false,\"cause\":\"signal\""));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* Returns how many requests have reached the last service's searchers. */
static uint64_t
count_orders(struct fixture *fixture)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < N_REPLICAS; i++)
		n += standin_searchers_arrivals(
		    fixture->searchers, N_SERVICES - 1, i);
	return n;
}

/* A request in progress is answered, and runs once, when its VM is stopped. */
static void
test_planned_stop(void)
{
	struct fixture *fixture = fixture_create(LONG_WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *order = compose_order("order-1");
	struct exchange exchange = {fixture->base, 0, g_string_new(NULL)};
	struct client *client;

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	client = client_create(fixture->base, vm->callers, &ops, &exchange);
	client_send(client, wv_string_borrow(order), false);
	run_for(fixture, 100);
	g_assert_cmpuint(count_orders(fixture), ==, 1);
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(fixture, MAX_ANSWER_TIME);
	g_assert_cmpuint(exchange.status, ==, 200);
	g_assert_cmpuint(
	    standin_searchers_runs(fixture->searchers, "order-1"), ==, 1);
	client_destroy(client);
	run_for(fixture, 2000);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	g_assert_true(has_logged(vm, "\"stopped\""));
	g_string_free(exchange.body, TRUE);
	g_free(order);
	fixture_destroy(fixture);
}

/*
 * A request that reaches a stopping VM too late to be served is refused as not
 * run, so that the caller can go to another VM; it must not be cut off when the
 * process ends.
 */
static void
test_late_request_at_stop(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *order = compose_order("order-2");
	GString *body = g_string_new(NULL);

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	edit_settings(
	    vm, "\"address_lifetime_s\":0.5", "\"address_lifetime_s\":60");
	g_assert_true(wait_reload(fixture, vm, "\"accepted\":true"));
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(fixture, STOP_TIME * 0.83);
	g_assert_cmpuint(
	    exchange_bytes(fixture, vm->callers, order, body), ==, 503);
	g_assert_nonnull(strstr(body->str, "not run"));
	g_assert_cmpuint(count_orders(fixture), ==, 0);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
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
	    "/entry-process/changed-settings", test_changed_settings);
	g_test_add_func("/entry-process/planned-stop", test_planned_stop);
	g_test_add_func(
	    "/entry-process/late-request-at-stop", test_late_request_at_stop);
	return g_test_run();
}
