/**
 * @file
 * Tests of stand-ins whose standard streams are closed or have no reader: they
 * must neither end nor write their log into a connection.
 */
#include <sys/prctl.h>

#include <gio/gio.h>
#include <signal.h>
#include <unistd.h>

/** Time for a stand-in to start and to write its first line, us. */
#define START_TIME_US 500000

/* Makes the standard streams of the child unusable in one of the ways. */
static void
prepare_child(void *data)
{
	int ends[2];

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (data != NULL) {
		if (pipe(ends) == 0 && close(ends[0]) == 0)
			dup2(ends[1], STDOUT_FILENO);
		return;
	}
	for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
		close(fd);
}

static GSubprocess *
start_stand_in(void *way)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GSubprocess *process;

	g_subprocess_launcher_set_child_setup(
	    launcher, prepare_child, way, NULL);
	process = g_subprocess_launcher_spawn(
	    launcher, NULL, WV_BUILD_DIR "/standin-vmlist", NULL);
	g_assert_nonnull(process);
	g_object_unref(launcher);
	g_usleep(START_TIME_US);
	return process;
}

static void
stop_stand_in(GSubprocess *process)
{
	g_subprocess_send_signal(process, SIGTERM);
	g_assert_true(g_subprocess_wait(process, NULL, NULL));
	g_assert_true(g_subprocess_get_if_exited(process));
	g_assert_cmpint(g_subprocess_get_exit_status(process), ==, 0);
	g_object_unref(process);
}

static void
test_closed_streams(void)
{
	GSubprocess *process = start_stand_in(NULL);

	/* The identifier is NULL once the process has ended. */
	g_assert_nonnull(g_subprocess_get_identifier(process));
	for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++) {
		char *link = g_strdup_printf(
		    "/proc/%s/fd/%d", g_subprocess_get_identifier(process), fd);
		char *target = g_file_read_link(link, NULL);

		g_assert_cmpstr(target, ==, "/dev/null");
		g_free(target);
		g_free(link);
	}
	stop_stand_in(process);
}

static void
test_no_reader(void)
{
	GSubprocess *process = start_stand_in("no reader");

	g_assert_nonnull(g_subprocess_get_identifier(process));
	stop_stand_in(process);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin-streams/closed", test_closed_streams);
	g_test_add_func("/standin-streams/no-reader", test_no_reader);
	return g_test_run();
}
