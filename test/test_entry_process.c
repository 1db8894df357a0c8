/**
 * @file
 * Tests of the life of an entry server: settings that change, signals, the
 * planned stop.
 */
#include "test/entry_world.h"

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

/* Waits for a line of a reload, which has no stated limit of time. */
static bool
wait_reload(struct world *world, const struct vm *vm, const char *text)
{
	return wait_logged_within(world, vm, text, EVENT_LIMIT);
}

/* A changed file is taken without a signal; a faulty one is not. */
static void
test_changed_settings(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_known(world));
	edit_settings(
	    vm, "\"address_lifetime_s\":0.5", "\"address_lifetime_s\":0.7");
	g_assert_true(wait_reload(world, vm,
	    "\"accepted\":true,\"cause\":\"file\",\"needs_restart\":\"\""));
	edit_settings(vm, "\"zone\":\"", "\"zone\":\"other-");
	g_assert_true(wait_reload(world, vm, "\"needs_restart\":\"zone\""));
	edit_settings(vm, "\"address_lifetime_s\":0.7",
	    "\"address_lifetime_s\":\"long\"");
	g_assert_true(wait_reload(world, vm,
	    "\"accepted\":false,\"cause\":\"file\",\"faults\":"
	    "\"$.address_lifetime_s: "));
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_assert_true(
	    wait_reload(world, vm, "\"accepted\":false,\"cause\":\"signal\""));
	stop_vm(world, vm);
	world_destroy(world);
}

/* Requests that have reached a searcher of the last service. */
static uint64_t
count_orders(struct world *world)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < REPLICAS; i++)
		n += standin_searchers_arrivals(
		    world->searchers, SERVICES - 1, i);
	return n;
}

/* Signals that arrive while a VM starts must not end it out of turn. */
static void
test_signals_at_start(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_subprocess_send_signal(vm->process, SIGTERM);
	g_assert_true(wait_logged_within(
	    world, vm, "\"event\":\"stopped\"", EVENT_LIMIT));
	g_assert_true(has_logged(vm, "\"cause\":\"signal\""));
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	world_destroy(world);
}

/* A request in progress is answered although its VM is asked to stop. */
static void
test_planned_stop(void)
{
	struct world *world = world_create(LONG_WORK);
	struct vm *vm = &world->vms[0];
	char *order = compose_order("order-1");
	struct exchange exchange = {world->base, 0, g_string_new(NULL)};
	struct client *client;

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	client = client_create(world->base, vm->callers, &ops, &exchange);
	client_send(client, wv_string_borrow(order), false);
	run_for(world, 100);
	g_assert_cmpuint(count_orders(world), ==, 1);
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(world, ANSWER_WITHIN);
	g_assert_cmpuint(exchange.status, ==, 200);
	g_assert_cmpuint(
	    standin_searchers_runs(world->searchers, "order-1"), ==, 1);
	client_destroy(client);
	run_for(world, 2000);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	g_assert_true(has_logged(vm, "\"stopped\""));
	g_string_free(exchange.body, TRUE);
	g_free(order);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func(
	    "/entry-process/changed-settings", test_changed_settings);
	g_test_add_func(
	    "/entry-process/signals-at-start", test_signals_at_start);
	g_test_add_func("/entry-process/planned-stop", test_planned_stop);
	return g_test_run();
}
