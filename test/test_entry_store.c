/**
 * @file
 * Tests of entry servers and the store: order of calls, invalid objects,
 * outages.
 */
#include "test/entry_fixture.h"

/** Kind of the registrations of VMs in the store. */
#define VMS_KIND "wisteriavane-vms"

/* A store that answers the creation of a registration only later. */
struct slow_store {
	char *create_path;
	struct server_conn *creating; /* waits for the answer; NULL: none */
	unsigned lists; /* requests for the list of VMs */
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
slow_caller_left(void *data, struct server_conn *conn)
{
	(void)conn;
	((struct slow_store *)data)->creating = NULL;
}

static void
slow_rejected(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops slow_ops = {
    slow_request, slow_caller_left, slow_rejected};

/*
 * A VM creates its registration before it lists the others. Otherwise two VMs
 * that start at once could both miss the other; this way the one that is
 * created later lists the other.
 */
static void
test_entry_before_list(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct slow_store store = {
	    platform_get_adapter()->create_path(STORE_VMS), NULL, 0};
	struct server *server = server_create(
	    fixture->base, fixture->store_address, &slow_ops, &store);

	start_vm(fixture);
	run_for(fixture, 700);
	g_assert_nonnull(store.creating);
	g_assert_cmpuint(store.lists, ==, 0);
	server_answer_text(store.creating, 200, "{}");
	run_for(fixture, 300);
	g_assert_cmpuint(store.lists, >, 0);
	fixture_destroy(fixture);
	server_destroy(server);
	g_free(store.create_path);
}

/*
 * Invalid objects are logged. The routes stay as they were, a searcher with an
 * invalid registration gets no requests, and a VM with one is not reported to.
 */
static void
test_bad_objects(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	standin_store_write(
	    fixture->store, VMS_KIND, "vm-odd", json_object_new());
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	g_assert_true(
	    wait_logged(fixture, vm, "\"vm_unreadable\",\"name\":\"vm-odd\""));
	standin_store_write(fixture->store, STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT, json_object_new());
	standin_store_write(
	    fixture->store, STANDIN_KIND_SEARCHERS, "i-0-0", json_object_new());
	g_assert_true(wait_logged(fixture, vm, "\"routes_unreadable\""));
	g_assert_true(wait_logged(fixture, vm, "\"searcher_unreadable\""));
	write_routes(fixture, 2);
	g_assert_true(wait_logged(fixture, vm, "\"version\":2"));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

#define SEARCHER(name)                                                    \
	"{\"meta\":{\"name\":\"" name "\"},\"spec\":{\"service\":\"s0\"," \
	"\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"version\":\"v1\"," \
	"\"slots\":1,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1}}"
#define EMPTY_LIST "{\"items\":[],\"hasMore\":false,\"atRev\":5}"

/* Answers to the calls for searchers, in order; NULL: the history is gone. */
static const char *const unnamed_answers[] = {
    "{\"items\":[" SEARCHER("a") ",{\"meta\":{\"name\":\"\"}}," SEARCHER(
	"b") ",7],\"hasMore\":true,\"atRev\":5}",
    "{\"items\":[{\"meta\":{}},{\"meta\":{\"name\":\"\\ud83d\"}}," SEARCHER(
	"c") "],\"hasMore\":false,\"atRev\":5}",
    "{\"events\":[{\"object\":{\"meta\":{\"name\":7}}},{\"object\":" SEARCHER(
	"d") "}],\"atRev\":6}",
    NULL, "{\"items\":[" SEARCHER("a") "],\"hasMore\":true,\"atRev\":7}",
    "{\"items\":[{\"meta\":{}}],\"hasMore\":true,\"atRev\":7}"};

/* A store that gives these answers and keeps further calls waiting. */
struct unnamed_store {
	char *searchers_path;
	unsigned calls; /* for searchers */
};

static void
unnamed_request(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct unnamed_store *store = data;
	struct wv_string target = message_target(message);
	const char *answer;

	if (!g_str_has_prefix(target.data, store->searchers_path)) {
		if (strstr(target.data, "watch") == NULL)
			server_answer(
			    conn, 200, NULL, wv_string_borrow(EMPTY_LIST));
		return;
	}
	if (store->calls++ >= G_N_ELEMENTS(unnamed_answers))
		return;
	answer = unnamed_answers[store->calls - 1];
	if (answer == NULL)
		server_answer_text(conn, 410, "gone\n");
	else
		server_answer(conn, 200, NULL, wv_string_borrow(answer));
}

static const struct server_ops unnamed_ops = {
    unnamed_request, slow_caller_left, slow_rejected};

/*
 * Objects whose names can't be read are logged and counted, and hide no other:
 * not in lists, pages and changes, and not if a page has no other object, so
 * that the list can't be continued. Then the searchers that were known stay,
 * and the page is not requested again.
 */
static void
test_unnamed_objects(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	struct unnamed_store store = {
	    platform_get_adapter()->create_path(STORE_SEARCHERS), 0};
	struct server *server = server_create(
	    fixture->base, fixture->store_address, &unnamed_ops, &store);

	start_vm(fixture);
	/* It waits for a list of VMs that has itself before the others. */
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"searchers\":3,\"revision\":5}", EVENT_TIMEOUT));
	g_assert_true(
	    has_logged(vm, "\"objects\":2,\"why\":\"no readable name\""));
	g_assert_true(wait_logged(fixture, vm, "\"searcher\":\"d\""));
	g_assert_true(
	    has_logged(vm, "\"objects\":1,\"why\":\"no readable name\""));
	g_assert_true(wait_logged(fixture, vm, "\"list_cut\""));
	g_assert_true(
	    wait_logged(fixture, vm, "\"searchers\":4,\"revision\":7}"));
	run_for(fixture, 500);
	g_assert_cmpuint(store.calls, ==, G_N_ELEMENTS(unnamed_answers) + 1);
	fixture_destroy(fixture);
	server_destroy(server);
	g_free(store.searchers_path);
}

/* Each kind of outage is logged, and so is its end. */
static void
test_store_outages(void)
{
	static const char *const faults[] = {"busy", "silent", "reset"};

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct fixture *fixture = fixture_create(WORK_TIME);
		struct vm *vm = &fixture->vms[0];

		open_store(fixture);
		start_vm(fixture);
		g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
		standin_store_set_fault(fixture->store, faults[i]);
		/*
		 * Watch calls in progress still return changes, so that the
		 * next calls meet the outage.
		 */
		write_routes(fixture, 2);
		write_searchers(fixture);
		run_for(fixture, 3500);
		g_assert_true(has_logged(vm, "\"store_lost\""));
		g_assert_false(has_logged(vm, "\"store_regained\""));
		standin_store_set_fault(fixture->store, "none");
		g_assert_true(wait_logged(fixture, vm, "\"store_regained\""));
		write_routes(fixture, 3);
		g_assert_true(wait_logged(fixture, vm, "\"version\":3"));
		stop_vm(fixture, vm);
		fixture_destroy(fixture);
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
	g_test_add_func("/entry-store/unnamed-objects", test_unnamed_objects);
	g_test_add_func("/entry-store/store-outages", test_store_outages);
	return g_test_run();
}
