/**
 * @file
 * The command line of the servers: which settings file, and whether it is
 * only to be checked.
 */
#ifndef WISTERIAVANE_DAEMON_OPTIONS_H
#define WISTERIAVANE_DAEMON_OPTIONS_H

/** Exit code for faulty settings. */
#define OPTIONS_EXIT_SETTINGS 2

/** The command line. Strings are borrowed from it or the environment. */
struct options {
	const char *settings; /**< settings file to run with */
	const char *check; /**< settings file to check; NULL: run */
};

/**
 * Parses the command line. Prints faults and ends the process if there are
 * any.
 *
 * @param purpose  one sentence for --help
 */
struct options options_parse(int argc, char **argv, const char *purpose);

#endif
