/**
 * @file
 * Fixture for tests of the daemon: it runs as a process, and its log goes to a
 * pipe that the test reads.
 *
 * Functions assert that their preparations succeed.
 */
#ifndef WISTERIAVANE_TEST_DAEMON_FIXTURE_H
#define WISTERIAVANE_TEST_DAEMON_FIXTURE_H

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <fcntl.h>
#include <gio/gio.h>
#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "http/address.h"
#include "standin/common/ports.h"

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

static inline struct server *
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
static inline void
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
static inline void
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
static inline bool
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
static inline void
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
static inline void
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
static inline void
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

static inline void
expect_planned_stop(struct server *server)
{
	expect_exit(server, 0);
	g_assert_nonnull(strstr(server->log->str, "stopped"));
}

static inline void
stop_server(struct server *server)
{
	g_subprocess_send_signal(server->process, SIGTERM);
	expect_planned_stop(server);
}

static inline void
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

static inline struct server *
start_server(void)
{
	struct server *server = server_create();

	server_spawn(server, NULL);
	wait_logged(server, "vm0 started");
	return server;
}

/* Returns whether an address accepts connections. */
static inline bool
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

/* Replaces the file of settings; NULL removes it. */
static inline void
set_settings(struct server *server, const char *json)
{
	if (json == NULL)
		g_unlink(server->settings);
	else
		g_assert_true(
		    g_file_set_contents(server->settings, json, -1, NULL));
}

#endif
