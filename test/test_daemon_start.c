/**
 * @file
 * Tests of the daemon's start: what is missing for a moment must not end the
 * process.
 */
#include "daemon/pause.h"
#include "test/daemon_fixture.h"

/** Levels of nesting that exhaust a stack of 8 MB. */
#define N_DEEP 200000

/* The pauses of a wait double from 20 ms up to 1 s and stay there. */
static void
test_pauses(void)
{
	static const wv_msec expected[] = {
	    20, 40, 80, 160, 320, 640, 1000, 1000};
	struct pause pause = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++)
		g_assert_cmpfloat(pause_next(&pause), ==, expected[i]);
}

/* Returns a socket that is bound to an address as by another process. */
static int
bind_address(const char *text)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_true(wv_address_parse(wv_string_borrow(text), &address));
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	return fd;
}

/* Starts a daemon while one of its ports is in use; returns its holder. */
static int
start_without_port(struct server *server, size_t index, bool listens)
{
	int holder = bind_address(server->addresses[index]);

	if (listens)
		g_assert_cmpint(listen(holder, 1), ==, 0);
	server_spawn(server, NULL);
	wait_logged(server, "start_waits");
	wait_logged(server, server->addresses[index]);
	return holder;
}

/* Waits until the daemon has started after an obstacle is gone; stops it. */
static void
expect_start(struct server *server)
{
	wait_logged(server, "start_continues");
	wait_logged(server, "vm0 started");
	for (size_t i = 0; i < N_LISTENERS; i++)
		g_assert_true(accepts(server->addresses[i]));
	stop_server(server);
}

/*
 * A port that is in use for a moment delays the start. A process that ends
 * instead ends again at each restart, until nobody restarts it any more. While
 * it waits, no other port accepts connections that nobody would serve.
 */
static void
test_port_in_use(gconstpointer data)
{
	size_t index = GPOINTER_TO_SIZE(data);
	struct server *server = server_create();
	int holder = start_without_port(server, index, true);

	run_for(server, OBSTACLE_TIME_US);
	for (size_t i = 0; i < N_LISTENERS; i++)
		g_assert_true(i == index || !accepts(server->addresses[i]));
	close(holder);
	expect_start(server);
	server_destroy(server);
}

/* The port may be the source port of a connection of another process. */
static void
test_port_bound(void)
{
	struct server *server = server_create();
	int holder = start_without_port(server, 0, false);

	run_for(server, OBSTACLE_TIME_US);
	close(holder);
	expect_start(server);
	server_destroy(server);
}

/* A stop that is requested while a port is in use is a planned stop. */
static void
test_stop_without_port(void)
{
	struct server *server = server_create();
	int holder = start_without_port(server, 1, true);

	stop_server(server);
	close(holder);
	server_destroy(server);
}

/* A SIGHUP while a port is in use is logged; the start waits on. */
static void
test_hangup_without_port(void)
{
	struct server *server = server_create();
	int holder = start_without_port(server, 2, true);

	g_subprocess_send_signal(server->process, SIGHUP);
	wait_logged(server, "SIGHUP");
	close(holder);
	expect_start(server);
	server_destroy(server);
}

/* Settings that are not there yet, or not whole, delay the start. */
static void
test_settings_late(gconstpointer data)
{
	struct server *server = server_create();

	set_settings(server, data);
	server_spawn(server, NULL);
	wait_logged(server, "start_waits");
	wait_logged(server, server->settings);
	run_for(server, OBSTACLE_TIME_US);
	set_settings(server, server->json);
	expect_start(server);
	server_destroy(server);
}

/* A stop that is requested while the settings are missing is a planned stop. */
static void
test_stop_without_settings(void)
{
	struct server *server = server_create();

	set_settings(server, NULL);
	server_spawn(server, NULL);
	wait_logged(server, "start_waits");
	stop_server(server);
	server_destroy(server);
}

/*
 * JSON that is no object can't heal either, nor can a text that no parser may
 * read for its depth.
 */
static void
test_no_object(gconstpointer data)
{
	struct server *server = server_create();

	set_settings(server, data);
	server_spawn(server, NULL);
	wait_logged(server, "settings.json: $: ");
	expect_exit(server, 2);
	server_destroy(server);
}

/*
 * A wrong setting can't heal: an exit code of its own, and a line that tells.
 * This holds for a wrong setting that appears during a wait, too.
 */
static void
test_wrong_setting(gconstpointer data)
{
	struct server *server = server_create();

	set_settings(server, NULL);
	if (data == NULL) {
		server_spawn(server, NULL);
		wait_logged(server, "start_waits");
	}
	set_settings(server, "{\"vm\":\"vm0\",\"zone\":\"z\"}");
	if (data != NULL)
		server_spawn(server, NULL);
	wait_logged(server, "$.callers: is missing");
	expect_exit(server, 2);
	server_destroy(server);
}

int
main(int argc, char **argv)
{
	char *deep = g_strnfill(N_DEEP, '[');
	int result;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/daemon-start/pauses", test_pauses);
	g_test_add_data_func("/daemon-start/callers-port-in-use",
	    GSIZE_TO_POINTER(0), test_port_in_use);
	g_test_add_data_func("/daemon-start/operators-port-in-use",
	    GSIZE_TO_POINTER(1), test_port_in_use);
	g_test_add_data_func("/daemon-start/peers-port-in-use",
	    GSIZE_TO_POINTER(2), test_port_in_use);
	g_test_add_func("/daemon-start/port-bound", test_port_bound);
	g_test_add_func(
	    "/daemon-start/stop-without-port", test_stop_without_port);
	g_test_add_func(
	    "/daemon-start/hangup-without-port", test_hangup_without_port);
	g_test_add_data_func(
	    "/daemon-start/settings-missing", NULL, test_settings_late);
	g_test_add_data_func(
	    "/daemon-start/settings-empty", "", test_settings_late);
	g_test_add_data_func("/daemon-start/settings-half",
	    "{\"vm\":\"vm0\",\"zone\":\"z", test_settings_late);
	g_test_add_func(
	    "/daemon-start/stop-without-settings", test_stop_without_settings);
	g_test_add_data_func(
	    "/daemon-start/wrong-setting", "at the start", test_wrong_setting);
	g_test_add_data_func(
	    "/daemon-start/wrong-setting-later", NULL, test_wrong_setting);
	g_test_add_data_func(
	    "/daemon-start/settings-no-object", "[]", test_no_object);
	g_test_add_data_func(
	    "/daemon-start/settings-deep", deep, test_no_object);
	result = g_test_run();
	g_free(deep);
	return result;
}
