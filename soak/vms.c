/**
 * @file
 * Processes of the soak's VMs.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak/soak.h"

/** Time after a start within which requests may fail, ms. */
#define START_DISTURBS 1500.0
/** Exit code of a child whose program could not be run. */
#define EXIT_NO_PROGRAM 127
/** Pause between the end of a process and its restart, ms. */
#define RESTART_PAUSE 200.0

/* Forks; in the child, signals wait until the server takes them. */
static pid_t
fork_held(void)
{
	sigset_t signals, before;
	pid_t pid;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, &before);
	pid = fork();
	if (pid != 0)
		sigprocmask(SIG_SETMASK, &before, NULL);
	return pid;
}

void
soak_vm_start(struct soak *soak, struct soak_vm *vm)
{
	char *log = g_strdup_printf("%s/%s.log", soak->dir, vm->name);

	vm->pid = fork_held();
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
	vm->disturbed_until = soak_now(soak) + START_DISTURBS;
	g_free(log);
}

static void
check_end(struct soak *soak, struct soak_vm *vm, int status)
{
	bool asked = vm->stopping;

	vm->pid = 0;
	vm->restart_at = soak_now(soak) + RESTART_PAUSE;
	vm->disturbed_until = vm->restart_at + START_DISTURBS;
	if (WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL)
		return;
	if (!asked || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
		soak_violation(soak, "%s ended by itself: %s %d", vm->name,
		    WIFEXITED(status) ? "exit code" : "signal",
		    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
}

void
soak_vms_check(struct soak *soak)
{
	for (unsigned i = 0; i < soak->n_vms; i++) {
		struct soak_vm *vm = &soak->vms[i];
		int status;

		if (vm->pid != 0 &&
		    waitpid(vm->pid, &status, WNOHANG) == vm->pid)
			check_end(soak, vm, status);
		if (vm->pid == 0 && vm->restart_at != 0 &&
		    soak_now(soak) >= vm->restart_at)
			soak_vm_start(soak, vm);
	}
}
