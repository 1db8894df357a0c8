/**
 * @file
 * Tests of entry servers whose surroundings are not complete when they start:
 * ports in use, settings that are missing or half written, standard streams
 * that are closed.
 */
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "test/entry_fixture.h"

/** How long an obstacle lasts after the start, ms. */
#define OBSTACLE_TIME 500
/** The beginning of a text that nests too deeply, 65 levels. */
#define DEEP_8 "[[[[[[[["
#define DEEP DEEP_8 DEEP_8 DEEP_8 DEEP_8 DEEP_8 DEEP_8 DEEP_8 DEEP_8 "["
/** Limit of the size of the log file in its test, bytes. */
#define MAX_LOG_SIZE 64

/* A listening port of the VM, by the field of the settings that names it. */
struct port {
	const char *field;
	int type; /* of the socket */
};

/* Returns the address IP:PORT of a field of the settings; caller owns it. */
static char *
settings_address(const struct vm *vm, const char *field)
{
	struct wv_status status = {0};
	struct wv_string json;
	JsonNode *root;
	char *address;

	g_assert_true(
	    g_file_get_contents(vm->settings, &json.data, &json.length, NULL));
	root = wv_json_parse(json, &status);
	g_assert_nonnull(root);
	address = g_strdup(
	    json_object_get_string_member(json_node_get_object(root), field));
	json_node_unref(root);
	g_free(json.data);
	return address;
}

/* Waits until VM 0 serves an order. */
static bool
wait_served(struct fixture *fixture)
{
	struct vm *vm = &fixture->vms[0];
	bool served = false;

	for (int i = 0; i < EVENT_TIMEOUT / CHECK_INTERVAL && !served; i++) {
		char *id = g_strdup_printf("order-%d", i);
		char *order = compose_order(id);
		GString *body = g_string_new(NULL);

		served =
		    exchange_bytes(fixture, vm->callers, order, body) == 200;
		g_string_free(body, TRUE);
		g_free(order);
		g_free(id);
		run_for(fixture, CHECK_INTERVAL);
	}
	return served;
}

/* Returns a socket that holds an address IP:PORT as another process would. */
static int
hold_address(const char *address, int type)
{
	return type == SOCK_STREAM ? socket_listen(address, 1)
				   : socket_datagram(address);
}

/*
 * A port that is in use for a moment delays the start. A process that ends
 * instead ends again at each restart, until nobody restarts it any more.
 */
static void
test_port_in_use(gconstpointer data)
{
	const struct port *port = data;
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *address;
	int holder;

	open_store(fixture);
	prepare_vm(fixture, 0);
	address = settings_address(vm, port->field);
	holder = hold_address(address, port->type);
	g_assert_cmpint(holder, >=, 0);
	spawn_vm(fixture, 0);
	run_for(fixture, OBSTACLE_TIME);
	g_assert_true(has_logged(vm, "\"event\":\"start_waits\""));
	g_assert_true(has_logged(vm, address));
	close(holder);
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"event\":\"start_continues\"", EVENT_TIMEOUT));
	g_assert_true(wait_served(fixture));
	stop_vm(fixture, vm);
	g_free(address);
	fixture_destroy(fixture);
}

/* The port of the metrics serves operators only: callers are served without. */
static void
test_metrics_port_in_use(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *address;
	int holder;

	open_store(fixture);
	prepare_vm(fixture, 0);
	address = settings_address(vm, "metrics");
	holder = socket_listen(address, 1);
	spawn_vm(fixture, 0);
	g_assert_true(wait_served(fixture));
	stop_vm(fixture, vm);
	close(holder);
	g_free(address);
	fixture_destroy(fixture);
}

/*
 * A VM that does not listen for callers is not ready and names nobody: callers
 * would be sent to a port that refuses them.
 */
static void
test_not_ready_without_callers_port(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	GString *query = standin_address_query();
	GString *body = g_string_new(NULL);
	int holder;

	open_store(fixture);
	prepare_vm(fixture, 0);
	holder = socket_listen(vm->callers, 1);
	spawn_vm(fixture, 0);
	g_assert_true(wait_logged(fixture, vm, "\"searchers_listed\""));
	g_assert_cmpuint(
	    exchange_bytes(fixture, vm->addresses, query->str, body), ==, 503);
	close(holder);
	g_assert_true(wait_served(fixture));
	g_assert_true(wait_all_listed(fixture));
	stop_vm(fixture, vm);
	g_string_free(query, TRUE);
	g_string_free(body, TRUE);
	fixture_destroy(fixture);
}

/* A stop that is requested while a port is in use is a planned stop. */
static void
test_stop_without_port(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	int holder;

	prepare_vm(fixture, 0);
	holder = socket_listen(vm->callers, 1);
	spawn_vm(fixture, 0);
	g_assert_true(wait_logged(fixture, vm, "\"start_waits\""));
	stop_vm(fixture, vm);
	close(holder);
	fixture_destroy(fixture);
}

/* Settings that are not there yet, or not whole, delay the start. */
static void
test_settings_late(gconstpointer data)
{
	const char *unfinished = data;
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *whole = NULL;

	open_store(fixture);
	prepare_vm(fixture, 0);
	g_assert_true(g_file_get_contents(vm->settings, &whole, NULL, NULL));
	g_unlink(vm->settings);
	if (unfinished != NULL)
		g_assert_true(
		    g_file_set_contents(vm->settings, unfinished, -1, NULL));
	spawn_vm(fixture, 0);
	run_for(fixture, OBSTACLE_TIME);
	g_assert_true(
	    has_logged(vm, "\"event\":\"start_waits\",\"for\":\"settings\""));
	g_assert_true(g_file_set_contents(vm->settings, whole, -1, NULL));
	g_assert_true(wait_served(fixture));
	stop_vm(fixture, vm);
	g_free(whole);
	fixture_destroy(fixture);
}

/*
 * A pipe where the settings should be must not hold the process where no signal
 * can stop it.
 */
static void
test_settings_are_a_pipe(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	prepare_vm(fixture, 0);
	g_unlink(vm->settings);
	g_assert_cmpint(mkfifo(vm->settings, 0600), ==, 0);
	spawn_vm(fixture, 0);
	g_assert_true(wait_logged(fixture, vm, "not a regular file"));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* A stop that is requested while the settings are missing is a planned stop. */
static void
test_stop_without_settings(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	prepare_vm(fixture, 0);
	g_unlink(vm->settings);
	spawn_vm(fixture, 0);
	g_assert_true(wait_logged(fixture, vm, "\"start_waits\""));
	stop_vm(fixture, vm);
	g_assert_true(has_logged(vm, "\"event\":\"stopped\""));
	fixture_destroy(fixture);
}

/* Settings that are wrong, and a text that the log must have. */
struct wrong {
	const char *json;
	const char *logged;
};

/* A wrong setting can't heal: an exit code of its own, and a line that tells.
 */
static void
test_wrong_setting(gconstpointer data)
{
	const struct wrong *wrong = data;
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	prepare_vm(fixture, 0);
	g_assert_true(g_file_set_contents(vm->settings, wrong->json, -1, NULL));
	spawn_vm(fixture, 0);
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"event\":\"start_failed\"", EVENT_TIMEOUT));
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_if_exited(vm->process));
	g_assert_cmpint(g_subprocess_get_exit_status(vm->process), ==, 2);
	g_assert_true(has_logged(vm, wrong->logged));
	fixture_destroy(fixture);
}

static void
close_standard_streams(void *data)
{
	(void)data;
	prepare_child(NULL);
	close(STDIN_FILENO);
	close(STDOUT_FILENO);
	close(STDERR_FILENO);
}

/*
 * With closed standard streams, descriptors 0 to 2 must not become sockets: log
 * lines would be written to callers or other VMs.
 */
static void
test_closed_streams(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	prepare_vm(fixture, 0);
	spawn_vm_with(fixture, 0, close_standard_streams, NULL);
	g_assert_true(wait_served(fixture));
	for (int fd = 0; fd <= 2; fd++) {
		char *link = g_strdup_printf("/proc/%s/fd/%d",
		    g_subprocess_get_identifier(vm->process), fd);
		char *target = g_file_read_link(link, NULL);

		g_assert_cmpstr(target, ==, "/dev/null");
		g_free(target);
		g_free(link);
	}
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* Makes a pipe the standard output of the child. */
static void
use_pipe(void *data)
{
	prepare_child(NULL);
	dup2(*(const int *)data, STDOUT_FILENO);
}

/*
 * Standard output may be shared with the launcher and with other processes,
 * which don't expect that their writes fail because it became non-blocking.
 */
static void
test_shared_output_stays_blocking(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	int ends[2];

	open_store(fixture);
	prepare_vm(fixture, 0);
	g_assert_cmpint(pipe(ends), ==, 0);
	spawn_vm_with(fixture, 0, use_pipe, &ends[1]);
	g_assert_true(wait_served(fixture));
	g_assert_cmpint(fcntl(ends[1], F_GETFL) & O_NONBLOCK, ==, 0);
	stop_vm(fixture, vm);
	close(ends[0]);
	close(ends[1]);
	fixture_destroy(fixture);
}

/* Limits files to a size that the log reaches within its first lines. */
static void
limit_file_size(void *data)
{
	const struct rlimit limit = {MAX_LOG_SIZE, MAX_LOG_SIZE};

	prepare_child(data);
	setrlimit(RLIMIT_FSIZE, &limit);
}

/*
 * A log file at its limit of size costs lines only. A process that is ended by
 * SIGXFSZ ends again at each restart, with its first line.
 */
static void
test_log_file_full(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	prepare_vm(fixture, 0);
	spawn_vm_with(fixture, 0, limit_file_size, NULL);
	g_assert_true(wait_served(fixture));
	run_for(fixture, OBSTACLE_TIME);
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* Makes a link to a file of the build in a directory; returns its path. */
static char *
link_to_build(const char *dir, const char *name, const char *target)
{
	char *link = g_build_filename(dir, name, NULL);

	g_assert_cmpint(symlink(target, link), ==, 0);
	return link;
}

/* Copies the executable to a path. */
static void
copy_executable(const char *path)
{
	char *content = NULL;
	gsize length;

	g_assert_true(g_file_get_contents(
	    WV_BUILD_DIR "/wisteriavane-entry", &content, &length, NULL));
	g_assert_true(g_file_set_contents(path, content, (gssize)length, NULL));
	g_assert_cmpint(g_chmod(path, 0700), ==, 0);
	g_free(content);
}

/*
 * Runs a program with --help and returns what its loader reports, owned by the
 * caller.
 */
static char *
report_loaded_files(char *program)
{
	char *argv[] = {program, (char *)"--help", NULL};
	char **environment =
	    g_environ_setenv(g_get_environ(), "LD_DEBUG", "files", TRUE);
	char *report = NULL;
	int status = -1;

	g_assert_true(
	    g_spawn_sync(NULL, argv, environment, G_SPAWN_STDOUT_TO_DEV_NULL,
		NULL, NULL, NULL, &report, &status, NULL));
	g_assert_cmpint(status, ==, 0);
	g_strfreev(environment);
	return report;
}

/*
 * The loader may not find the directory of the executable, for instance without
 * /proc: here, the executable is elsewhere. The module beside the path that was
 * executed must be found.
 */
static void
test_module_beside_link(void)
{
	static const char module[] = "libwisteriavane-entry-module.so";
	struct fixture *fixture = fixture_create(WORK_TIME);
	char *elsewhere = g_dir_make_tmp("wisteriavane-XXXXXX", NULL);
	char *copy = g_build_filename(elsewhere, "entry", NULL);
	char *program = link_to_build(fixture->dir, "entry", copy);
	char *library = link_to_build(fixture->dir, module,
	    WV_BUILD_DIR "/libwisteriavane-entry-module.so");
	char *expected = g_strdup_printf("calling init: %s", library);
	char *report;

	copy_executable(copy);
	report = report_loaded_files(program);
	g_assert_nonnull(strstr(report, expected));
	g_unlink(copy);
	g_unlink(program);
	g_unlink(library);
	g_rmdir(elsewhere);
	g_free(report);
	g_free(expected);
	g_free(copy);
	g_free(program);
	g_free(library);
	g_free(elsewhere);
	fixture_destroy(fixture);
}

/* A copy of the executable without the module beside it must serve too. */
static void
test_executable_alone(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	char *program = g_build_filename(fixture->dir, "entry", NULL);

	copy_executable(program);
	fixture->program = program;
	open_store(fixture);
	start_vm_number(fixture, 0);
	g_assert_true(wait_served(fixture));
	stop_vm(fixture, &fixture->vms[0]);
	g_unlink(program);
	fixture_destroy(fixture);
	g_free(program);
}

int
main(int argc, char **argv)
{
	static const struct wrong wrong[] = {
	    {"{\"vm\":\"vm0\",\"zone\":\"z\"}", "$.callers"},
	    {"[]", "not one JSON object"}, {DEEP, "nested too deeply"}};

	static const struct port ports[] = {
	    {"callers", SOCK_STREAM},
	    {"readiness", SOCK_STREAM},
	    {"addresses", SOCK_STREAM},
	    {"peers", SOCK_STREAM},
	    {"peers", SOCK_DGRAM},
	    {"metrics", SOCK_STREAM},
	};

	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
		char *name = g_strdup_printf(
		    "/start-obstacles/port-in-use/%s%s", ports[i].field,
		    ports[i].type == SOCK_DGRAM ? "-datagrams" : "");

		g_test_add_data_func(name, &ports[i], test_port_in_use);
		g_free(name);
	}
	g_test_add_func(
	    "/start-obstacles/metrics-port-in-use", test_metrics_port_in_use);
	g_test_add_func("/start-obstacles/not-ready-without-callers-port",
	    test_not_ready_without_callers_port);
	g_test_add_func(
	    "/start-obstacles/stop-without-port", test_stop_without_port);
	g_test_add_data_func(
	    "/start-obstacles/settings-missing", NULL, test_settings_late);
	g_test_add_data_func(
	    "/start-obstacles/settings-empty", "", test_settings_late);
	g_test_add_data_func("/start-obstacles/settings-half",
	    "{\"vm\":\"vm0\",\"zone\":\"z", test_settings_late);
	g_test_add_func("/start-obstacles/stop-without-settings",
	    test_stop_without_settings);
	g_test_add_func(
	    "/start-obstacles/settings-are-a-pipe", test_settings_are_a_pipe);
	g_test_add_func(
	    "/start-obstacles/executable-alone", test_executable_alone);
	g_test_add_data_func(
	    "/start-obstacles/wrong-setting", &wrong[0], test_wrong_setting);
	g_test_add_data_func("/start-obstacles/settings-no-object", &wrong[1],
	    test_wrong_setting);
	g_test_add_data_func(
	    "/start-obstacles/settings-deep", &wrong[2], test_wrong_setting);
	g_test_add_func("/start-obstacles/closed-streams", test_closed_streams);
	g_test_add_func("/start-obstacles/shared-output-stays-blocking",
	    test_shared_output_stays_blocking);
	g_test_add_func("/start-obstacles/log-file-full", test_log_file_full);
	g_test_add_func(
	    "/start-obstacles/module-beside-link", test_module_beside_link);
	return g_test_run();
}
