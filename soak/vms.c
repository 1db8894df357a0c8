/**
 * @file
 * Starts, monitors and restarts the processes of the soak's VMs.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/soak.h"

/** Time after a start during which requests may fail, ms. */
#define START_GRACE 1500.0
/** Exit code of a child that could not execute the program. */
#define EXIT_NO_PROGRAM 127
/** Time between the end of a process and its restart, ms. */
#define RESTART_DELAY 200.0

/*
 * Forks. SIGTERM and SIGHUP stay blocked in the child, so that a signal sent
 * right after the start is pending until the server handles it.
 */
static pid_t
fork_with_blocked_signals(void)
{
	sigset_t signals, previous_mask;
	pid_t pid;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, &previous_mask);
	pid = fork();
	if (pid != 0)
		sigprocmask(SIG_SETMASK, &previous_mask, NULL);
	return pid;
}

void
soak_vm_start(struct soak *soak, struct soak_vm *vm)
{
	char *log = g_strdup_printf("%s/%s.log", soak->dir, vm->name);

	vm->pid = fork_with_blocked_signals();
	if (vm->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, STDOUT_FILENO);
		execl(soak->program, soak->program, "--settings", vm->settings,
		    (char *)NULL);
		_exit(EXIT_NO_PROGRAM);
	}
	vm->stopping = false;
	vm->paused = false;
	vm->restart_at = 0;
	vm->affected_until = soak_now(soak) + START_GRACE;
	g_free(log);
}

/* Records the end of a process: only a stop or a kill is expected. */
static void
record_exit(struct soak *soak, struct soak_vm *vm, int status)
{
	bool stop_requested = vm->stopping;

	vm->pid = 0;
	vm->restart_at = soak_now(soak) + RESTART_DELAY;
	vm->affected_until = vm->restart_at + START_GRACE;
	if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL)
		return;
	if (!stop_requested || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
		soak_record_violation(soak, "%s ended by itself: %s %d",
		    vm->name, WIFEXITED(status) ? "exit code" : "signal",
		    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
}

void
soak_check_vms(struct soak *soak)
{
	for (unsigned i = 0; i < soak->n_vms; i++) {
		struct soak_vm *vm = &soak->vms[i];
		int status;

		if (vm->pid != 0 &&
		    waitpid(vm->pid, &status, WNOHANG) == vm->pid)
			record_exit(soak, vm, status);
		if (vm->pid == 0 && vm->restart_at != 0 &&
		    soak_now(soak) >= vm->restart_at)
			soak_vm_start(soak, vm);
	}
}
