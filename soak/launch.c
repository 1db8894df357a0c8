/**
 * @file
 * Starts server processes as a launcher does.
 */
#include <sys/resource.h>

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/launch.h"

/** Exit code of a child that could not execute the program. */
#define EXIT_NO_PROGRAM 127
/** Maximum number of open descriptors of a process. */
#define MAX_DESCRIPTORS 4100
/** Highest number of a standard signal. */
#define LAST_SIGNAL 31

/* Undoes the signal settings of the soak and of the shell that started it. */
static void
reset_signals(void)
{
	sigset_t none;

	for (int number = 1; number <= LAST_SIGNAL; number++)
		signal(number, SIG_DFL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
}

static void
limit_descriptors(void)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = MIN(limit.rlim_max, MAX_DESCRIPTORS);
	limit.rlim_max = limit.rlim_cur;
	setrlimit(RLIMIT_NOFILE, &limit);
}

pid_t
launch_program(const char *program, const char *settings, int output)
{
	pid_t pid = fork();

	if (pid != 0)
		return pid;
	reset_signals();
	limit_descriptors();
	dup2(output, STDOUT_FILENO);
	execl(program, program, "--settings", settings, (char *)NULL);
	_exit(EXIT_NO_PROGRAM);
}

/* Returns a number from a field of /proc/PID/status; 0 if it isn't there. */
static guint64
read_status_number(pid_t pid, const char *field, unsigned base)
{
	char *file = g_strdup_printf("/proc/%d/status", (int)pid);
	guint64 number = 0;
	char *text = NULL;
	const char *found = NULL;

	if (g_file_get_contents(file, &text, NULL, NULL))
		found = strstr(text, field);
	if (found != NULL)
		number = g_ascii_strtoull(found + strlen(field), NULL, base);
	g_free(text);
	g_free(file);
	return number;
}

bool
launch_is_guarded(pid_t pid)
{
	guint64 hangup = 1u << (SIGHUP - 1);

	return ((read_status_number(pid, "\nSigBlk:", 16) |
		    read_status_number(pid, "\nSigCgt:", 16)) &
		   hangup) != 0;
}

unsigned long
launch_peak_memory(pid_t pid)
{
	return (unsigned long)read_status_number(pid, "\nVmHWM:", 10);
}
