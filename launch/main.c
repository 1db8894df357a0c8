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
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "launch/server_main.h"
#include "launch/standard_streams.h"

/** Signals that ask for a stop or a reload; the server handles them. */
static const int handled_signals[] = {SIGHUP, SIGINT, SIGTERM};

/** Signals that would end the process but ask for nothing that it knows. */
static const int ignored_signals[] = {
    SIGALRM, SIGPIPE, SIGPROF, SIGUSR1, SIGUSR2, SIGVTALRM};

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

/* Ignores signals unless a preloaded library handles them. */
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

int
main(int argc, char **argv)
{
	server_main_fn *run = NULL;
	void *module;

	block_handled_signals();
	ignore_signals();
	open_standard_streams();
	module = dlopen(WV_SERVER_MODULE, RTLD_LAZY);
	if (module != NULL)
		*(void **)&run = dlsym(module, SERVER_MAIN_SYMBOL);
	if (run == NULL) {
		fprintf(stderr, "%s\n", dlerror());
		return EXIT_FAILURE;
	}
	return run(argc, argv);
}
