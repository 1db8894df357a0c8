/**
 * @file
 * Tests of the daemon's signals: those that arrive at any moment, from a
 * launcher that neither blocks nor ignores any, must not end the process by
 * their default effect, and a log that nobody reads must not delay a stop.
 */
#include "test/cluster/cluster.h"
#include "test/daemon_fixture.h"

/** Starts of the test of a series of signals. */
#define N_SERIES 12
/** Most signals in a series, and longest time between two of them, us. */
#define MAX_SIGNALS 12
#define MAX_SIGNAL_INTERVAL_US 3000

/*
 * Starts the daemon and waits until its loader has opened a library that it
 * needs. The loader then waits for space in the pipe, so the start goes no
 * further before finish_loading().
 */
static struct server *
start_loading(void)
{
	struct server *server = server_create();

	server_spawn(server, "files");
	wait_logged(server, "libglib-2.0");
	return server;
}

/*
 * Lets the loader continue. Its reports share the pipe with the daemon's log,
 * which drops lines while the pipe is full: the pipe must hold all reports.
 */
static void
finish_loading(const struct server *server)
{
	g_assert_cmpint(fcntl(server->log_end, F_SETPIPE_SZ, LOG_PIPE_SIZE), ==,
	    LOG_PIPE_SIZE);
}

/*
 * A SIGHUP asks a server for a reload. The daemon can't reload its settings; it
 * must say so and serve on.
 */
static void
test_hangup_while_loading(void)
{
	struct server *server = start_loading();

	g_subprocess_send_signal(server->process, SIGHUP);
	finish_loading(server);
	wait_logged(server, "vm0 started");
	wait_logged(server, "SIGHUP");
	stop_server(server);
	server_destroy(server);
}

static void
test_hangup_while_serving(void)
{
	struct server *server = start_server();

	g_subprocess_send_signal(server->process, SIGHUP);
	wait_logged(server, "SIGHUP");
	stop_server(server);
	server_destroy(server);
}

/* A stop that is requested during a start is a planned stop: exit code 0. */
static void
test_stop_while_loading(gconstpointer data)
{
	struct server *server = start_loading();

	g_subprocess_send_signal(server->process, GPOINTER_TO_INT(data));
	finish_loading(server);
	expect_planned_stop(server);
	server_destroy(server);
}

/*
 * The same if the settings then turn out to be wrong: a launcher that asked for
 * the stop must not report a failure.
 */
static void
test_stop_with_wrong_settings(gconstpointer data)
{
	struct server *server = start_loading();

	set_settings(server, "{\"vm\":\"vm0\"}");
	if (data != NULL)
		g_subprocess_send_signal(server->process, SIGHUP);
	g_subprocess_send_signal(server->process, SIGTERM);
	finish_loading(server);
	expect_planned_stop(server);
	g_assert_nonnull(strstr(server->log->str, "$.callers: is missing"));
	server_destroy(server);
}

static void
test_hangup_and_stop_while_loading(void)
{
	struct server *server = start_loading();

	g_subprocess_send_signal(server->process, SIGHUP);
	g_subprocess_send_signal(server->process, SIGTERM);
	finish_loading(server);
	expect_planned_stop(server);
	server_destroy(server);
}

/* Sends a random series of the signals that servers handle. */
static void
send_series(struct server *server, GRand *random)
{
	static const int signals[] = {SIGHUP, SIGTERM, SIGINT};
	int n = g_rand_int_range(random, 1, MAX_SIGNALS);

	for (int i = 0; i < n; i++) {
		run_for(server,
		    g_rand_int_range(random, 0, MAX_SIGNAL_INTERVAL_US));
		g_subprocess_send_signal(server->process,
		    signals[g_rand_int_range(
			random, 0, G_N_ELEMENTS(signals))]);
	}
	g_subprocess_send_signal(server->process, SIGTERM);
}

/* A series of signals during a start and a stop ends in one planned stop. */
static void
test_series(void)
{
	GRand *random = g_rand_new_with_seed(30);

	for (int i = 0; i < N_SERIES; i++) {
		struct server *server = start_loading();

		finish_loading(server);
		send_series(server, random);
		expect_planned_stop(server);
		server_destroy(server);
	}
	g_rand_free(random);
}

/* Signals during a stop change nothing: it remains one planned stop. */
static void
test_series_during_stop(void)
{
	GRand *random = g_rand_new_with_seed(31);
	struct server *server = start_server();

	g_subprocess_send_signal(server->process, SIGTERM);
	send_series(server, random);
	expect_planned_stop(server);
	server_destroy(server);
	g_rand_free(random);
}

/*
 * Signals that neither ask for a stop nor for a reload, such as the alarm that
 * a launcher set before it executed the program, end nothing.
 */
static void
test_other_signals(void)
{
	static const int signals[] = {
	    SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGPIPE};
	struct server *server = start_server();

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		g_subprocess_send_signal(server->process, signals[i]);
	run_for(server, 100000);
	stop_server(server);
	server_destroy(server);
}

/*
 * Starts a daemon whose log nobody reads; returns when it serves and has had
 * the time to log its start, which comes next.
 */
static struct server *
start_with_unread_log(void)
{
	struct server *server = server_create();
	struct cluster_answer answer;

	server->full_log = true;
	server_spawn(server, NULL);
	for (int i = 0; i < EVENT_TIMEOUT && !accepts(server->addresses[1]);
	     i++)
		g_usleep(1000);
	answer = cluster_call(server->addresses[1], "GET", "/v1/state", NULL,
	    "test-operator-token");
	g_assert_cmpuint(answer.http_status, ==, 200);
	cluster_answer_clear(&answer);
	g_usleep(OBSTACLE_TIME_US);
	return server;
}

/* A log that nobody reads must not keep the daemon from a planned stop. */
static void
test_stop_with_unread_log(void)
{
	struct server *server = start_with_unread_log();
	int polls = 0;

	g_subprocess_send_signal(server->process, SIGTERM);
	/* The identifier is NULL once the process has ended. */
	while (g_subprocess_get_identifier(server->process) != NULL &&
	    polls++ < EVENT_TIMEOUT)
		g_usleep(1000);
	g_assert_null(g_subprocess_get_identifier(server->process));
	expect_exit(server, 0);
	server_destroy(server);
}

/* When the log is read again, it tells how many lines are missing. */
static void
test_log_read_again(void)
{
	struct server *server = start_with_unread_log();

	run_for(server, OBSTACLE_TIME_US);
	g_string_truncate(server->log, 0);
	g_subprocess_send_signal(server->process, SIGHUP);
	wait_logged(server, "log lines were dropped");
	wait_logged(server, "SIGHUP");
	stop_server(server);
	server_destroy(server);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/daemon-start/hangup-while-loading", test_hangup_while_loading);
	g_test_add_func(
	    "/daemon-start/hangup-while-serving", test_hangup_while_serving);
	g_test_add_data_func("/daemon-start/terminate-while-loading",
	    GINT_TO_POINTER(SIGTERM), test_stop_while_loading);
	g_test_add_data_func("/daemon-start/interrupt-while-loading",
	    GINT_TO_POINTER(SIGINT), test_stop_while_loading);
	g_test_add_data_func("/daemon-start/stop-with-wrong-settings", NULL,
	    test_stop_with_wrong_settings);
	g_test_add_data_func("/daemon-start/hangup-stop-wrong-settings",
	    "SIGHUP", test_stop_with_wrong_settings);
	g_test_add_func("/daemon-start/hangup-and-stop-while-loading",
	    test_hangup_and_stop_while_loading);
	g_test_add_func("/daemon-start/series", test_series);
	g_test_add_func(
	    "/daemon-start/series-during-stop", test_series_during_stop);
	g_test_add_func("/daemon-start/other-signals", test_other_signals);
	g_test_add_func(
	    "/daemon-start/stop-with-unread-log", test_stop_with_unread_log);
	g_test_add_func("/daemon-start/log-read-again", test_log_read_again);
	return g_test_run();
}
