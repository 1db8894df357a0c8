/**
 * @file
 * Structured log: one JSON object per line.
 *
 * Lines are buffered and written without blocking. If the reader is too slow or
 * the rate too high, lines are dropped and counted: details first, then
 * failures, changes of state last.
 */
#ifndef WISTERIAVANE_ENTRY_LOG_H
#define WISTERIAVANE_ENTRY_LOG_H

#include <event2/event.h>
#include <glib.h>

#include "wisteriavane/clock.h"

struct log;

/** Importance of a line; decides which lines are dropped first. */
enum log_level {
	LOG_DETAIL, /**< a request that succeeded */
	LOG_FAILURE, /**< a request or attempt that failed */
	LOG_CHANGE /**< the process's state, or what it knows, has changed */
};

/**
 * Creates a log that writes to a descriptor and never waits for its reader.
 * The descriptor is not closed by the log. Where the system permits it, it
 * stays blocking for the other processes that share it.
 *
 * @param clock  borrowed
 * @param vm     name of the VM, a member of each line; copied
 */
struct log *log_create(struct event_base *base, struct wv_clock *clock, int fd,
    struct wv_string vm);

/** Sets the name of the VM for further lines; copied. */
void log_set_vm(struct log *log, struct wv_string vm);

/**
 * Writes the buffered lines, as far as that is possible without blocking, and
 * releases the log.
 */
void log_destroy(struct log *log);

/**
 * Adds a line to the buffer, or drops it.
 *
 * @param event   name of the event, such as "routes_changed"
 * @param format  further JSON members, such as "\"version\":%d"; may be
 *                empty. Texts from outside need log_escape().
 */
void log_line(struct log *log, enum log_level level, const char *event,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Size of a buffer for a name from outside, bytes with the NUL. */
#define LOG_NAME_SIZE 256
/** The same for the caller's identifier of a request. */
#define LOG_REQUEST_ID_SIZE 96

/** Returns how many lines were dropped. */
uint64_t log_count_dropped(const struct log *log);

/**
 * Copies untrusted bytes so that they may stand in a JSON string: quotes,
 * backslashes, control characters and bytes that are not ASCII become question
 * marks. At most size - 1 bytes are written and NUL-terminated; the rest is
 * cut.
 *
 * @return buffer
 */
const char *log_escape(struct wv_string text, char *buffer, size_t size);

#endif
