/**
 * @file
 * Tests of `wisteriavanectl follow` on the logs of two entry servers, one of
 * which is unsorted and ends with a truncated line.
 */
#include <fcntl.h>
#include <gio/gio.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

static const char first_log[] =
    "{\"time_ms\":1000,\"vm\":\"vm0\",\"event\":\"routes_changed\","
    "\"version\":1}\n"
    "{\"time_ms\":19000,\"vm\":\"vm0\",\"event\":\"store_lost\"}\n"
    "{\"time_ms\":20090,\"vm\":\"vm0\",\"event\":\"answered\",\"id\":\"a\","
    "\"status\":502}\n"
    "{\"time_ms\":20050,\"vm\":\"vm0\",\"event\":\"attempt_failed\","
    "\"id\":\"a\"}\n"
    "{\"time_ms\":20010,\"vm\":\"vm0\",\"event\":\"attempt_failed\","
    "\"id\":\"b\",\"lost\":true}\n"
    "{\"time_ms\":20020,\"vm\":\"vm0\",\"event\":\"attempt_failed\","
    "\"id\":\"c\",\"lost\":false}\n"
    "{\"time_ms\":20200,\"vm\":\"vm0\",\"event\":\"store_regained\"}\n"
    "{\"time_ms\":20300,\"vm\":\"vm0\",\"ev";
static const char second_log[] =
    "{\"time_ms\":20000,\"vm\":\"vm1\",\"event\":\"store_lost\"}\n"
    "{\"time_ms\":20060,\"vm\":\"vm1\",\"event\":\"answered\",\"id\":\"d\","
    "\"status\":200}\n";

/* A run of the program; strings are owned. */
struct run {
	char *dir;
	char *first;
	char *second;
	char *out;
	char *err;
	int status;
};

static struct run
run_follow(const char *id)
{
	struct run run = {0};
	GSubprocess *process;

	run.dir = g_dir_make_tmp("wisteriavane-XXXXXX", NULL);
	run.first = g_build_filename(run.dir, "vm0.log", NULL);
	run.second = g_build_filename(run.dir, "vm1.log", NULL);
	g_assert_true(g_file_set_contents(run.first, first_log, -1, NULL));
	g_assert_true(g_file_set_contents(run.second, second_log, -1, NULL));
	process = g_subprocess_new(
	    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE,
	    NULL, WV_BUILD_DIR "/wisteriavanectl", "follow", id, "--log",
	    run.second, "--log", run.first, NULL);
	g_assert_true(g_subprocess_communicate_utf8(
	    process, NULL, NULL, &run.out, &run.err, NULL));
	run.status = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	return run;
}

static void
run_clear(struct run *run)
{
	g_unlink(run->first);
	g_unlink(run->second);
	g_rmdir(run->dir);
	g_free(run->dir);
	g_free(run->first);
	g_free(run->second);
	g_free(run->out);
	g_free(run->err);
}

/*
 * Prints the lines of the request and the state changes of its VM in order of
 * time, but no other requests, no other VMs, and no state changes long before
 * the request or after it.
 */
static void
test_request(void)
{
	static const char expected[] =
	    "  {\"time_ms\":19000,\"vm\":\"vm0\",\"event\":\"store_lost\"}\n"
	    "  {\"time_ms\":20010,\"vm\":\"vm0\",\"event\":\"attempt_failed\","
	    "\"id\":\"b\",\"lost\":true}\n"
	    "* {\"time_ms\":20050,\"vm\":\"vm0\",\"event\":\"attempt_failed\","
	    "\"id\":\"a\"}\n"
	    "* {\"time_ms\":20090,\"vm\":\"vm0\",\"event\":\"answered\","
	    "\"id\":\"a\",\"status\":502}\n";
	struct run run = run_follow("a");

	g_assert_cmpint(run.status, ==, 0);
	g_assert_cmpstr(run.out, ==, expected);
	run_clear(&run);
}

static void
test_unknown_request(void)
{
	struct run run = run_follow("z");

	g_assert_cmpint(run.status, ==, 1);
	g_assert_cmpstr(run.out, ==, "");
	g_assert_nonnull(strstr(run.err, "no line has the identifier z"));
	run_clear(&run);
}

/* An empty identifier must not match the lines that have none. */
static void
test_empty_identifier(void)
{
	struct run run = run_follow("");

	g_assert_cmpint(run.status, ==, 2);
	g_assert_cmpstr(run.out, ==, "");
	run_clear(&run);
}

/* Runs the program with a log and its standard output on a descriptor. */
static int
run_with_output(int output, char **err)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_PIPE);
	char *log;
	GSubprocess *process;
	int status;

	g_assert_cmpint(
	    g_file_open_tmp("wisteriavane-XXXXXX", &log, NULL), >=, 0);
	g_assert_true(g_file_set_contents(log, first_log, -1, NULL));
	g_subprocess_launcher_take_stdout_fd(launcher, output);
	process = g_subprocess_launcher_spawn(launcher, NULL,
	    WV_BUILD_DIR "/wisteriavanectl", "follow", "a", "--log", log, NULL);
	g_assert_true(g_subprocess_communicate_utf8(
	    process, NULL, NULL, NULL, err, NULL));
	g_assert_true(g_subprocess_get_if_exited(process));
	status = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	g_object_unref(launcher);
	g_unlink(log);
	g_free(log);
	return status;
}

/* Output that a full disk lost must not look complete to a script. */
static void
test_full_disk(void)
{
	char *err = NULL;

	g_assert_cmpint(
	    run_with_output(open("/dev/full", O_WRONLY | O_CLOEXEC), &err), ==,
	    7);
	g_assert_nonnull(strstr(err, "not all output could be written"));
	g_free(err);
}

/*
 * A reader that leaves must not end the program by SIGPIPE: an operator would
 * not learn whether a change took effect.
 */
static void
test_reader_left(void)
{
	char *err = NULL;
	int ends[2];

	g_assert_cmpint(pipe2(ends, O_CLOEXEC), ==, 0);
	close(ends[0]);
	g_assert_cmpint(run_with_output(ends[1], &err), ==, 7);
	g_assert_nonnull(strstr(err, "not all output could be written"));
	g_free(err);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/follow/request", test_request);
	g_test_add_func("/follow/unknown-request", test_unknown_request);
	g_test_add_func("/follow/empty-identifier", test_empty_identifier);
	g_test_add_func("/follow/full-disk", test_full_disk);
	g_test_add_func("/follow/reader-left", test_reader_left);
	return g_test_run();
}
