/**
 * @file
 * Tests of the daemon's start and end: signals that arrive at any moment, from
 * a launcher that neither blocks nor ignores any, must not end the process by
 * their default effect, and what is missing for a moment must not end it at
 * all.
 */
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "daemon/pause.h"
#include "http/address.h"
#include "standin/common/ports.h"
#include "test/cluster/cluster.h"

/** Number of addresses of a daemon that it listens on. */
#define N_LISTENERS 3
/** Number of addresses in the settings; nothing listens on the others. */
#define N_ADDRESSES 5
/**
 * Sizes of the pipe that takes the log, bytes: of a loader that is to wait for
 * space, and otherwise. The daemon drops lines that find no space.
 */
#define LOADER_PIPE_SIZE PIPE_BUF
#define LOG_PIPE_SIZE (1 << 20)
/** Maximum time for an event that must come, ms. */
#define EVENT_TIMEOUT 20000
/** How long an obstacle lasts after the start, us. */
#define OBSTACLE_TIME_US 500000
/** Descriptors of a daemon that has few, and connections that exceed them. */
#define FEW_DESCRIPTORS 64
#define N_IDLE 80
/** Most processor time of a daemon that has nothing to do, part of a core. */
#define IDLE_LOAD 0.3
/** Starts of the test of a series of signals. */
#define N_SERIES 12
/** Most signals in a series, and longest time between two of them, us. */
#define MAX_SIGNALS 12
#define MAX_SIGNAL_INTERVAL_US 3000

/* A daemon whose standard error is a pipe to the test. Strings are owned. */
struct server {
	char *dir;
	char *settings; /* path of the file */
	char *json; /* content of the file */
	char *addresses[N_ADDRESSES];
	bool full_log; /* the pipe is full from the start */
	rlim_t descriptors; /* limit of the process; 0: as the test has */
	GSubprocess *process;
	GString *log; /* what was read from the pipe */
	int log_end; /* of the pipe; -1 after its end was read */
};

static struct server *
server_create(void)
{
	struct server *server = g_new0(struct server, 1);
	unsigned int ports[N_ADDRESSES];

	server->dir = g_dir_make_tmp("wisteriavane-test-XXXXXX", NULL);
	server->settings = g_build_filename(server->dir, "settings.json", NULL);
	g_assert_true(standin_free_ports(ports, N_ADDRESSES));
	for (size_t i = 0; i < N_ADDRESSES; i++)
		server->addresses[i] =
		    g_strdup_printf("127.0.0.1:%u", ports[i]);
	server->json = g_strdup_printf(
	    "{\"vm\":\"vm0\",\"zone\":\"z0\",\"deployment\":\"test\","
	    "\"callers\":\"%s\",\"operators\":\"%s\",\"peers\":\"%s\","
	    "\"store\":\"%s\",\"vm_list\":\"%s\","
	    "\"operator_token\":\"test-operator-token\","
	    "\"address_lifetime_ms\":100}",
	    server->addresses[0], server->addresses[1], server->addresses[2],
	    server->addresses[3], server->addresses[4]);
	g_assert_true(
	    g_file_set_contents(server->settings, server->json, -1, NULL));
	server->log = g_string_new(NULL);
	server->log_end = -1;
	return server;
}

/*
 * Kills the child when the test ends, so that an aborted test leaves none, and
 * limits its descriptors.
 */
static void
prepare_child(void *data)
{
	const struct server *server = data;
	struct rlimit limit = {server->descriptors, server->descriptors};

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (server->descriptors > 0)
		setrlimit(RLIMIT_NOFILE, &limit);
}

/*
 * Starts the daemon.
 *
 * ld_debug: reports that the dynamic loader writes to the pipe, or NULL
 */
static void
server_spawn(struct server *server, const char *ld_debug)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	static const char filler[LOG_PIPE_SIZE];
	GError *error = NULL;
	int ends[2];

	g_assert_cmpint(pipe2(ends, O_CLOEXEC), ==, 0);
	fcntl(ends[1], F_SETPIPE_SZ,
	    ld_debug != NULL ? LOADER_PIPE_SIZE : LOG_PIPE_SIZE);
	if (server->full_log)
		g_assert_cmpint(
		    write(ends[1], filler, sizeof(filler)), ==, LOG_PIPE_SIZE);
	if (ld_debug != NULL)
		g_subprocess_launcher_setenv(
		    launcher, "LD_DEBUG", ld_debug, TRUE);
	g_subprocess_launcher_take_stderr_fd(launcher, ends[1]);
	g_subprocess_launcher_set_child_setup(
	    launcher, prepare_child, server, NULL);
	server->process = g_subprocess_launcher_spawn(launcher, &error,
	    WV_BUILD_DIR "/wisteriavaned", "--settings", server->settings,
	    NULL);
	g_assert_no_error(error);
	g_object_unref(launcher);
	server->log_end = ends[0];
}

/* Reads what is there; returns false at the end of the pipe or after ms. */
static bool
read_log(struct server *server, int ms)
{
	struct pollfd poll_fd = {server->log_end, POLLIN, 0};
	char buffer[PIPE_BUF];
	ssize_t n;

	if (server->log_end < 0 || poll(&poll_fd, 1, ms) <= 0)
		return false;
	n = read(server->log_end, buffer, sizeof(buffer));
	if (n <= 0) {
		close(server->log_end);
		server->log_end = -1;
		return false;
	}
	g_string_append_len(server->log, buffer, n);
	return true;
}

/* Waits until the daemon has logged a text. */
static void
wait_logged(struct server *server, const char *text)
{
	bool more = true;

	while (more && strstr(server->log->str, text) == NULL)
		more = read_log(server, EVENT_TIMEOUT);
	if (strstr(server->log->str, text) == NULL)
		g_test_message("not logged: %s\n%s", text, server->log->str);
	g_assert_nonnull(strstr(server->log->str, text));
}

/* Reads the log for a time. */
static void
run_for(struct server *server, gint64 us)
{
	gint64 end = g_get_monotonic_time() + us;
	gint64 left;

	while ((left = end - g_get_monotonic_time()) > 0) {
		if (!read_log(server, (int)(left / 1000)))
			g_usleep((gulong)MIN(left, 1000));
	}
}

/* Waits until the daemon has ended by itself and asserts its exit code. */
static void
expect_exit(struct server *server, int code)
{
	while (read_log(server, EVENT_TIMEOUT))
		;
	/* The pipe's end was read: the process ends or has ended. */
	g_assert_cmpint(server->log_end, ==, -1);
	g_assert_true(g_subprocess_wait(server->process, NULL, NULL));
	g_assert_true(g_subprocess_get_if_exited(server->process));
	g_assert_cmpint(
	    g_subprocess_get_exit_status(server->process), ==, code);
}

static void
expect_planned_stop(struct server *server)
{
	expect_exit(server, 0);
	g_assert_nonnull(strstr(server->log->str, "stopped"));
}

static void
stop_server(struct server *server)
{
	g_subprocess_send_signal(server->process, SIGTERM);
	expect_planned_stop(server);
}

static void
server_destroy(struct server *server)
{
	if (server->log_end >= 0)
		close(server->log_end);
	g_object_unref(server->process);
	g_unlink(server->settings);
	g_rmdir(server->dir);
	for (size_t i = 0; i < N_ADDRESSES; i++)
		g_free(server->addresses[i]);
	g_free(server->dir);
	g_free(server->settings);
	g_free(server->json);
	g_string_free(server->log, TRUE);
	g_free(server);
}

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

static struct server *
start_server(void)
{
	struct server *server = server_create();

	server_spawn(server, NULL);
	wait_logged(server, "vm0 started");
	return server;
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

/* Returns whether an address accepts connections. */
static bool
accepts(const char *text)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool accepted;

	g_assert_true(wv_address_parse(wv_string_borrow(text), &address));
	accepted =
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return accepted;
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

/* Replaces the file of settings; NULL removes it. */
static void
set_settings(struct server *server, const char *json)
{
	if (json == NULL)
		g_unlink(server->settings);
	else
		g_assert_true(
		    g_file_set_contents(server->settings, json, -1, NULL));
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

/* Opens connections to an address on which nothing is sent. */
static void
open_idle(const char *text, int *fds, size_t n)
{
	struct sockaddr_in address;

	g_assert_true(wv_address_parse(wv_string_borrow(text), &address));
	for (size_t i = 0; i < n; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(connect(fds[i], (struct sockaddr *)&address,
				    sizeof(address)),
		    ==, 0);
	}
}

static void
close_all(const int *fds, size_t n)
{
	for (size_t i = 0; i < n; i++)
		close(fds[i]);
}

/* Returns the processor time that the daemon has used, s. */
static double
processor_time(const struct server *server)
{
	const char *id = g_subprocess_get_identifier(server->process);
	struct timespec used;
	clockid_t clock;

	g_assert_cmpint(
	    clock_getcpuclockid((pid_t)g_ascii_strtoll(id, NULL, 10), &clock),
	    ==, 0);
	g_assert_cmpint(clock_gettime(clock, &used), ==, 0);
	return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

static struct server *
start_with_few_descriptors(void)
{
	struct server *server = server_create();

	server->descriptors = FEW_DESCRIPTORS;
	server_spawn(server, NULL);
	wait_logged(server, "vm0 started");
	return server;
}

/*
 * Connections that can't be accepted for want of descriptors must not keep a
 * core busy.
 */
static void
test_idle_load(void)
{
	struct server *server = start_with_few_descriptors();
	int fds[3 * N_IDLE];
	double before;

	for (size_t i = 0; i < N_LISTENERS; i++)
		open_idle(server->addresses[i], fds + i * N_IDLE, N_IDLE);
	run_for(server, OBSTACLE_TIME_US);
	before = processor_time(server);
	run_for(server, OBSTACLE_TIME_US);
	g_assert_cmpfloat(processor_time(server) - before, <,
	    IDLE_LOAD * OBSTACLE_TIME_US / 1e6);
	close_all(fds, G_N_ELEMENTS(fds));
	stop_server(server);
	server_destroy(server);
}

/*
 * Idle connections to one port must not take the descriptors from the other
 * ports: callers and operators would get no answer.
 */
static void
test_idle_connections(gconstpointer data)
{
	size_t index = GPOINTER_TO_SIZE(data);
	struct server *server = start_with_few_descriptors();
	int fds[N_IDLE];

	open_idle(server->addresses[index], fds, N_IDLE);
	run_for(server, OBSTACLE_TIME_US);
	/* Ports 0 and 1 are those of callers and operators. */
	for (size_t i = 0; i < 2; i++) {
		struct cluster_answer answer = {0};

		if (i != index)
			answer = cluster_call(server->addresses[i], "GET",
			    i == 0 ? "/v1/addresses?customer=c" : "/v1/state",
			    NULL, "test-operator-token");
		g_assert_true(i == index || answer.http_status == 200);
		cluster_answer_clear(&answer);
	}
	close_all(fds, N_IDLE);
	stop_server(server);
	server_destroy(server);
}

/* Sets the number of descriptors that a running daemon may have. */
static void
limit_descriptors(const struct server *server, rlim_t n)
{
	const char *id = g_subprocess_get_identifier(server->process);
	pid_t pid = (pid_t)g_ascii_strtoll(id, NULL, 10);
	struct rlimit limit;

	g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, NULL, &limit), ==, 0);
	limit.rlim_cur = n;
	g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
}

/*
 * A connection of another VM that can't be accepted must neither keep a core
 * busy nor be forgotten: it is accepted once there is a descriptor.
 */
static void
test_no_descriptor_left(void)
{
	struct server *server = start_server();
	char bytes[8];
	double before;
	int fd;

	limit_descriptors(server, 3);
	open_idle(server->addresses[2], &fd, 1);
	run_for(server, OBSTACLE_TIME_US);
	before = processor_time(server);
	run_for(server, OBSTACLE_TIME_US);
	g_assert_cmpfloat(processor_time(server) - before, <,
	    IDLE_LOAD * OBSTACLE_TIME_US / 1e6);
	wait_logged(server, "connection of another VM has to wait");
	limit_descriptors(server, FEW_DESCRIPTORS);
	/* The link is closed after bytes that are no frame. */
	memset(bytes, 0xff, sizeof(bytes));
	g_assert_cmpint(write(fd, bytes, sizeof(bytes)), ==, sizeof(bytes));
	g_assert_cmpint(read(fd, bytes, sizeof(bytes)), <=, 0);
	close(fd);
	stop_server(server);
	server_destroy(server);
}

static void
add_descriptor_tests(void)
{
	g_test_add_func(
	    "/daemon-start/no-descriptor-left", test_no_descriptor_left);
	g_test_add_func("/daemon-start/idle-load", test_idle_load);
	g_test_add_data_func("/daemon-start/idle-callers", GSIZE_TO_POINTER(0),
	    test_idle_connections);
	g_test_add_data_func("/daemon-start/idle-operators",
	    GSIZE_TO_POINTER(1), test_idle_connections);
	g_test_add_data_func("/daemon-start/idle-peers", GSIZE_TO_POINTER(2),
	    test_idle_connections);
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

static void
add_log_tests(void)
{
	g_test_add_func(
	    "/daemon-start/stop-with-unread-log", test_stop_with_unread_log);
	g_test_add_func("/daemon-start/log-read-again", test_log_read_again);
}

static void
add_obstacle_tests(void)
{
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
	g_test_add_func("/daemon-start/hangup-and-stop-while-loading",
	    test_hangup_and_stop_while_loading);
	g_test_add_func("/daemon-start/series", test_series);
	g_test_add_func(
	    "/daemon-start/series-during-stop", test_series_during_stop);
	g_test_add_func("/daemon-start/other-signals", test_other_signals);
	g_test_add_func("/daemon-start/pauses", test_pauses);
	add_obstacle_tests();
	add_descriptor_tests();
	add_log_tests();
	return g_test_run();
}
