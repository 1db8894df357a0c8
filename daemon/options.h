/**
 * @file
 * Command line of the servers: the settings file, and whether to run with it or
 * only to check it.
 */
#ifndef WISTERIAVANE_DAEMON_OPTIONS_H
#define WISTERIAVANE_DAEMON_OPTIONS_H

/** Exit code of the process if the settings are invalid. */
#define OPTIONS_EXIT_SETTINGS 2
/** Exit code of the process if an address can never be listened on. */
#define OPTIONS_EXIT_ADDRESS 3

/** Parsed options. Strings are borrowed from argv or the environment. */
struct options {
	const char *settings; /**< settings file to run with */
	const char *check; /**< settings file to check; NULL: run */
};

/**
 * Parses the command line. Prints a message and exits the process on an error
 * and for --help.
 *
 * @param purpose  one sentence that --help prints
 */
struct options options_parse(int argc, char **argv, const char *purpose);

#endif
