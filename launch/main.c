/**
 * @file
 * Executable of the servers. Each server is a module, which this program loads
 * and runs once signals can no longer end the process by their default effect.
 *
 * exec() gives each handled signal its default effect, so a signal that arrives
 * before the process has blocked it ends the process. Loading the libraries of
 * a server takes several milliseconds, which come before main() if the
 * executable is linked to them. This one needs the C library only.
 */
#include <dlfcn.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>

#include "launch/embedded_module.h"
#include "launch/server_main.h"
#include "launch/standard_streams.h"

/** Signals that ask for a stop or a reload; the server handles them. */
static const int handled_signals[] = {SIGHUP, SIGINT, SIGTERM};

/**
 * Signals that would end the process but ask for nothing that it knows. SIGXFSZ
 * is sent for a write to a log file that has reached RLIMIT_FSIZE; once it is
 * ignored, the write fails and lines are dropped.
 */
static const int ignored_signals[] = {SIGALRM, SIGIO, SIGPIPE, SIGPROF, SIGPWR,
    SIGUSR1, SIGUSR2, SIGVTALRM, SIGXCPU, SIGXFSZ};

#define LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/* Keeps the handled signals pending until the server takes them. */
static void
block_handled_signals(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	for (size_t i = 0; i < LENGTH(handled_signals); i++)
		sigaddset(&signals, handled_signals[i]);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}

/* Ignores signals unless a library has installed a handler of its own. */
static void
ignore_signals(void)
{
	struct sigaction action;

	for (size_t i = 0; i < LENGTH(ignored_signals); i++) {
		if (sigaction(ignored_signals[i], NULL, &action) == 0 &&
		    action.sa_handler == SIG_DFL)
			signal(ignored_signals[i], SIG_IGN);
	}
}

/*
 * Loads the module from the directory of the executable. The loader finds that
 * directory in /proc, which not every machine or chroot has mounted; the path
 * that was executed serves there, unless the process has gained privileges.
 */
static void *
load_module_file(void)
{
	unsigned long value = getauxval(AT_EXECFN);
	void *module = dlopen(WV_SERVER_MODULE, RTLD_LAZY);
	const char *executable;
	const char *slash;
	char path[PATH_MAX];

	memcpy(&executable, &value, sizeof(executable));
	if (module != NULL || executable == NULL || getauxval(AT_SECURE) != 0)
		return module;
	slash = strrchr(executable, '/');
	if (slash == NULL)
		return NULL;
	snprintf(path, sizeof(path), "%.*s/%s", (int)(slash - executable),
	    executable, WV_SERVER_MODULE);
	return dlopen(path, RTLD_LAZY);
}

/*
 * Loads the module. The file is preferred to the copy in the executable, since
 * processes share its pages.
 */
static void *
load_module(void)
{
	void *module = load_module_file();

	return module != NULL ? module : embedded_module_load();
}

int
main(int argc, char **argv)
{
	server_main_fn *run = NULL;
	const char *error;
	void *module;

	block_handled_signals();
	ignore_signals();
	open_standard_streams();
	module = load_module();
	if (module != NULL)
		*(void **)&run = dlsym(module, SERVER_MAIN_SYMBOL);
	if (run == NULL) {
		error = dlerror();
		fprintf(stderr, "%s\n",
		    error != NULL ? error : "the module can't be loaded");
		return EXIT_FAILURE;
	}
	return run(argc, argv);
}
