/**
 * @file
 * Tests of signals that reach an entry server while it starts, from a launcher
 * that neither blocks nor ignores any.
 */
#include "test/entry_fixture.h"

/** Starts of the test of a series of signals. */
#define N_SERIES 12
/** Most signals in a series, and time between two of them, us. */
#define MAX_SIGNALS 12
#define MAX_SIGNAL_INTERVAL_US 3000

/*
 * Waits until the process maps a library that it needs: the dynamic loader is
 * at work, and main() of the server has not been reached.
 */
static void
wait_loading(const struct vm *vm)
{
	const char *pid = g_subprocess_get_identifier(vm->process);
	char *path = g_strdup_printf("/proc/%s/maps", pid);
	gint64 end = g_get_monotonic_time() + EVENT_TIMEOUT * 1000;
	char *maps = NULL;

	while (g_get_monotonic_time() < end &&
	    g_file_get_contents(path, &maps, NULL, NULL) &&
	    strstr(maps, "libglib-2.0") == NULL)
		g_free(g_steal_pointer(&maps));
	g_free(maps);
	g_free(path);
}

/*
 * Without the guarantee, a SIGHUP for changed settings ends a process that is
 * just being started, without a line in its log.
 */
static void
test_hangup_while_loading(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	wait_loading(vm);
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"cause\":\"signal\"", EVENT_TIMEOUT));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

/* Both are handled, the reload and the stop that follows it. */
static void
test_hangup_and_stop_while_loading(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	wait_loading(vm);
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_subprocess_send_signal(vm->process, SIGTERM);
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"event\":\"stopped\"", EVENT_TIMEOUT));
	g_assert_true(has_logged(vm, "\"cause\":\"signal\""));
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	fixture_destroy(fixture);
}

/* A stop that is requested during a start is a planned stop: exit code 0. */
static void
test_stop_while_loading(gconstpointer data)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	start_vm(fixture);
	wait_loading(vm);
	g_subprocess_send_signal(vm->process, GPOINTER_TO_INT(data));
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	g_assert_true(has_logged(vm, "\"event\":\"stopped\""));
	fixture_destroy(fixture);
}

/* Sends a random series of the three signals, one of which asks for a stop. */
static void
send_series(const struct vm *vm, GRand *random)
{
	static const int signals[] = {SIGHUP, SIGTERM, SIGINT};
	int n = g_rand_int_range(random, 1, MAX_SIGNALS);

	for (int i = 0; i < n; i++) {
		g_usleep((gulong)g_rand_int_range(
		    random, 0, MAX_SIGNAL_INTERVAL_US));
		g_subprocess_send_signal(vm->process,
		    signals[g_rand_int_range(
			random, 0, G_N_ELEMENTS(signals))]);
	}
	g_subprocess_send_signal(vm->process, SIGTERM);
}

/* A series of signals during a start and a stop ends in one planned stop. */
static void
test_series(void)
{
	GRand *random = g_rand_new_with_seed(30);

	for (int i = 0; i < N_SERIES; i++) {
		struct fixture *fixture = fixture_create(WORK_TIME);
		struct vm *vm = &fixture->vms[0];

		start_vm(fixture);
		wait_loading(vm);
		send_series(vm, random);
		g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
		g_assert_true(g_subprocess_get_successful(vm->process));
		fixture_destroy(fixture);
	}
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
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	start_vm(fixture);
	g_assert_true(wait_logged_within(
	    fixture, vm, "\"event\":\"started\"", EVENT_TIMEOUT));
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		g_subprocess_send_signal(vm->process, signals[i]);
	run_for(fixture, 100);
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func(
	    "/start-signals/hangup-while-loading", test_hangup_while_loading);
	g_test_add_func("/start-signals/hangup-and-stop-while-loading",
	    test_hangup_and_stop_while_loading);
	g_test_add_data_func("/start-signals/terminate-while-loading",
	    GINT_TO_POINTER(SIGTERM), test_stop_while_loading);
	g_test_add_data_func("/start-signals/interrupt-while-loading",
	    GINT_TO_POINTER(SIGINT), test_stop_while_loading);
	g_test_add_func("/start-signals/series", test_series);
	g_test_add_func("/start-signals/other-signals", test_other_signals);
	return g_test_run();
}
