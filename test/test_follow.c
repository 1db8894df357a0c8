/**
 * @file
 * Tests of `wisteriavanectl follow` on the logs of two entry servers, one of
 * which is unsorted and ends with a truncated line.
 */
#include <gio/gio.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/follow/request", test_request);
	g_test_add_func("/follow/unknown-request", test_unknown_request);
	g_test_add_func("/follow/empty-identifier", test_empty_identifier);
	return g_test_run();
}
