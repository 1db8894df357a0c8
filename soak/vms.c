/**
 * @file
 * Monitors and restarts the processes of the soak's VMs.
 */
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/launch.h"
#include "soak/soak.h"

/** Time after a start during which requests may fail, ms. */
#define START_GRACE 1500.0
/** Limit of the resident memory of a process, KB. */
#define MAX_MEMORY_KB (260ul * 1000)

/* Returns the path of the log of a VM; the caller owns it. */
static char *
log_path(const struct soak *soak, const struct soak_vm *vm)
{
	return g_strdup_printf("%s/%s.log", soak->dir, vm->name);
}

void
soak_vm_start(struct soak *soak, struct soak_vm *vm)
{
	char *log = log_path(soak, vm);
	int end = -1;

	vm->output = output_create(soak->base, log, &end);
	soak_draw_output(soak, vm);
	vm->pid = launch_program(soak->program, vm->settings, end);
	close(end);
	vm->stopping = false;
	vm->paused = false;
	vm->killed = false;
	vm->answered = false;
	vm->start_late = false;
	vm->too_large = false;
	vm->restart_at = 0;
	vm->start_due = soak_now(soak) + SOAK_START_BOUND;
	vm->affected_until =
	    MAX(vm->affected_until, soak_now(soak) + START_GRACE);
	soak_signals_start(soak, vm);
	g_free(log);
}

void
soak_vm_mark_affected(struct soak *soak, struct soak_vm *vm, wv_msec duration)
{
	vm->affected_until = MAX(
	    vm->affected_until, soak_now(soak) + duration + SOAK_RECOVERY_TIME);
}

void
soak_vm_begin_obstacle(struct soak *soak, struct soak_vm *vm, wv_msec duration)
{
	vm->obstacles++;
	soak_vm_mark_affected(soak, vm, duration);
}

void
soak_vm_end_obstacle(struct soak *soak, struct soak_vm *vm)
{
	vm->obstacles--;
	vm->start_due = soak_now(soak) + SOAK_START_BOUND;
	/* It may use all of the bound before it serves. */
	soak_vm_mark_affected(soak, vm, SOAK_START_BOUND);
}

/* Returns the last line of the log of a VM; the caller owns it. */
static char *
read_last_line(const struct soak *soak, const struct soak_vm *vm)
{
	char *log = log_path(soak, vm);
	char *text = NULL;
	char *line;

	if (g_file_get_contents(log, &text, NULL, NULL))
		g_strchomp(text);
	line = text != NULL ? strrchr(text, '\n') : NULL;
	line = g_strdup(line != NULL ? line + 1 : text);
	g_free(text);
	g_free(log);
	return line;
}

/* Records that a process has ended by itself, with the last line of its log. */
static void
record_unexpected_exit(struct soak *soak, const struct soak_vm *vm, int status)
{
	char *line = read_last_line(soak, vm);

	soak_record_violation(soak, "%s ended by itself: %s %d, last line: %s",
	    vm->name, WIFEXITED(status) ? "exit code" : "signal",
	    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status),
	    line != NULL ? line : "none");
	g_free(line);
}

/* Returns whether the soak has asked for such an end of a process. */
static bool
is_expected_exit(const struct soak_vm *vm, int status)
{
	if (WIFSIGNALED(status))
		return vm->killed && WTERMSIG(status) == SIGKILL;
	return vm->stopping && WEXITSTATUS(status) == 0;
}

static void
record_exit(struct soak *soak, struct soak_vm *vm, int status)
{
	output_destroy(vm->output);
	vm->output = NULL;
	vm->pid = 0;
	if (!is_expected_exit(vm, status))
		record_unexpected_exit(soak, vm, status);
	soak_draw_restart(soak, vm);
	vm->affected_until =
	    MAX(vm->affected_until, vm->restart_at + START_GRACE);
}

static void
check_memory(struct soak *soak, struct soak_vm *vm)
{
	unsigned long peak;

	if (!soak->check_memory || vm->too_large)
		return;
	peak = launch_peak_memory(vm->pid);
	vm->too_large = peak > MAX_MEMORY_KB;
	if (vm->too_large)
		soak_record_violation(
		    soak, "%s uses %lu KB of memory", vm->name, peak);
}

/* Checks that a process that could start has answered callers in time. */
static void
check_start(struct soak *soak, struct soak_vm *vm)
{
	if (vm->answered || vm->start_late || vm->paused || vm->stopping ||
	    vm->killed || vm->obstacles > 0 || soak_now(soak) < vm->start_due)
		return;
	vm->start_late = true;
	soak_record_violation(soak, "%s did not start within %.0f ms", vm->name,
	    SOAK_START_BOUND);
}

static void
check_vm(struct soak *soak, struct soak_vm *vm)
{
	int status;

	if (vm->pid != 0 && waitpid(vm->pid, &status, WNOHANG) == vm->pid)
		record_exit(soak, vm, status);
	if (vm->pid == 0 && vm->restart_at != 0 &&
	    soak_now(soak) >= vm->restart_at)
		soak_vm_start(soak, vm);
	if (vm->pid == 0)
		return;
	check_memory(soak, vm);
	check_start(soak, vm);
}

void
soak_check_vms(struct soak *soak)
{
	for (unsigned i = 0; i < soak->n_vms; i++)
		check_vm(soak, &soak->vms[i]);
}

/* Kills a process and reads the rest of its output. */
static void
kill_process(pid_t pid, struct output *output)
{
	if (pid == 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	output_destroy(output);
}

void
soak_kill_vms(struct soak *soak)
{
	for (unsigned i = 0; i < soak->n_vms; i++) {
		struct soak_vm *vm = &soak->vms[i];

		kill_process(vm->pid, vm->output);
		kill_process(vm->former_pid, vm->former_output);
		vm->pid = 0;
		vm->former_pid = 0;
	}
}
