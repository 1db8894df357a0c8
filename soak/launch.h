/**
 * @file
 * Starts server processes as a launcher does, and reads their state from /proc.
 */
#ifndef WISTERIAVANE_SOAK_LAUNCH_H
#define WISTERIAVANE_SOAK_LAUNCH_H

#include <sys/types.h>

#include <stdbool.h>

/**
 * Starts a program with no signal blocked or ignored and with the limits of a
 * deployment.
 *
 * @param settings  path of its settings file
 * @param output    descriptor of its standard output; stays open here
 */
pid_t launch_program(const char *program, const char *settings, int output);

/**
 * Returns whether the process blocks or handles SIGHUP. Before that, after
 * exec() has reset all handlers, the signal ends any program.
 */
bool launch_is_guarded(pid_t pid);

/** Returns the peak of the resident memory, KB; 0 if it isn't known. */
unsigned long launch_peak_memory(pid_t pid);

#endif
