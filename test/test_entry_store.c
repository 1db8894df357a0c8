/**
 * @file
 * Tests of entry servers and the store: the order of their calls, objects
 * that cannot be read, outages.
 */
#include "test/entry_world.h"

/* A store that creates no entry until it is told to. */
struct slow_store {
	char *create_path;
	struct server_conn *creating;
	unsigned lists; /* of VMs, before the entry was created */
};

static void
slow_request(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct slow_store *store = data;
	struct wv_string target = message_target(message);
	char *path = g_strndup(target.data, target.length);

	if (message->method == HTTP_POST) {
		store->creating = conn;
	} else {
		store->lists += g_str_has_prefix(path, store->create_path);
		server_answer_text(conn, 503, "busy\n");
	}
	g_free(path);
}

static void
slow_left(void *data, struct server_conn *conn)
{
	(void)conn;
	((struct slow_store *)data)->creating = NULL;
}

static void
slow_refused(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops slow_ops = {
    slow_request, slow_left, slow_refused};

/*
 * A VM creates its entry before it lists the others. So of two VMs that start
 * at once, the one whose entry is created later lists the other.
 */
static void
test_entry_before_list(void)
{
	struct world *world = world_create(WORK);
	struct slow_store store = {
	    platform_dialect()->create_path(STORE_VMS), NULL, 0};
	struct server *server =
	    server_create(world->base, world->store_address, &slow_ops, &store);

	start_vm(world);
	run_for(world, 700);
	g_assert_nonnull(store.creating);
	g_assert_cmpuint(store.lists, ==, 0);
	server_answer_text(store.creating, 200, "{}");
	run_for(world, 300);
	g_assert_cmpuint(store.lists, >, 0);
	world_destroy(world);
	server_destroy(server);
	g_free(store.create_path);
}

/*
 * Objects that can't be read: each gets a log line; routes stay as they are,
 * a searcher without a readable entry gets nothing.
 */
static void
test_bad_objects(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	standin_store_write(world->store, STANDIN_ROUTES, STANDIN_ROUTES_NAME,
	    json_object_new());
	standin_store_write(
	    world->store, STANDIN_SEARCHERS, "i-0-0", json_object_new());
	g_assert_true(wait_logged(world, vm, "\"routes_unreadable\""));
	g_assert_true(wait_logged(world, vm, "\"searcher_unreadable\""));
	write_routes(world, 2);
	g_assert_true(wait_logged(world, vm, "\"version\":2"));
	stop_vm(world, vm);
	world_destroy(world);
}

/* Each kind of outage is logged as lost and regained, once. */
static void
test_store_outages(void)
{
	static const char *const faults[] = {"busy", "silent", "reset"};

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world *world = world_create(WORK);
		struct vm *vm = &world->vms[0];

		open_store(world);
		start_vm(world);
		g_assert_true(wait_logged(world, vm, "\"store_watching\""));
		standin_store_set_fault(world->store, faults[i]);
		/* Calls that wait for changes get them before it shows. */
		write_routes(world, 2);
		write_searchers(world);
		run_for(world, 3500);
		g_assert_true(has_logged(vm, "\"store_lost\""));
		g_assert_false(has_logged(vm, "\"store_regained\""));
		standin_store_set_fault(world->store, "none");
		g_assert_true(wait_logged(world, vm, "\"store_regained\""));
		write_routes(world, 3);
		g_assert_true(wait_logged(world, vm, "\"version\":3"));
		stop_vm(world, vm);
		world_destroy(world);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func(
	    "/entry-store/entry-before-list", test_entry_before_list);
	g_test_add_func("/entry-store/bad-objects", test_bad_objects);
	g_test_add_func("/entry-store/store-outages", test_store_outages);
	return g_test_run();
}
