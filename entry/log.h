/**
 * @file
 * Structured logs on standard output: one JSON object per line.
 *
 * Lines are collected and written without blocking. When the reader is too
 * slow or the rate too high, lines are left out and counted: details first,
 * failures and changes of state last.
 */
#ifndef WISTERIAVANE_ENTRY_LOG_H
#define WISTERIAVANE_ENTRY_LOG_H

#include <event2/event.h>
#include <glib.h>

#include "wisteriavane/clock.h"

struct log;

/** How important a line is. */
enum log_level {
	LOG_DETAIL, /**< a request that succeeded */
	LOG_FAILURE, /**< a request or attempt that did not */
	LOG_CHANGE /**< what the process believes has changed */
};

/** Creates a log on a descriptor; the clock is borrowed. */
struct log *log_create(struct event_base *base, struct wv_clock *clock, int fd,
    struct wv_string vm);

/** Writes what is left, as far as that is possible at once, and releases. */
void log_destroy(struct log *log);

/**
 * Writes a line.
 *
 * @param event   what happened, such as "routes_changed"
 * @param format  further members, such as "\"version\":%d"; may be empty
 */
void log_line(struct log *log, enum log_level level, const char *event,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

/** Returns how many lines were left out. */
uint64_t log_left_out(const struct log *log);

/**
 * Copies bytes that may hold anything into a JSON string's content. At most
 * size - 1 bytes are written; the rest is cut.
 */
const char *log_escape(struct wv_string text, char *buffer, size_t size);

#endif
