/**
 * @file
 * Pipe that takes the standard output of a process to its log file.
 */
#ifndef WISTERIAVANE_SOAK_OUTPUT_H
#define WISTERIAVANE_SOAK_OUTPUT_H

#include <event2/event.h>

struct output;

/** How the pipe is read. */
enum output_mode {
	OUTPUT_READ, /**< as soon as there is output */
	OUTPUT_SLOW, /**< some bytes at a time */
	OUTPUT_UNREAD /**< not at all */
};

/**
 * Creates a pipe and reads it into a file, to which output is appended.
 *
 * @param end   receives the descriptor for the process, which the caller closes
 * @return the output, which the caller owns; NULL with errno on failure
 */
struct output *output_create(
    struct event_base *base, const char *file, int *end);

/** Sets how the pipe is read. */
void output_set_mode(struct output *output, enum output_mode mode);

/** Shrinks the pipe to one page, so that unread output soon fills it. */
void output_shrink(struct output *output);

/** Closes the reading end: further writes of the process fail. */
void output_close(struct output *output);

/** Reads what the pipe still holds and releases the output. */
void output_destroy(struct output *output);

#endif
