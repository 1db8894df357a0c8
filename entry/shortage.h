/**
 * @file
 * Record of a shortage of connections to searchers: one log line when it
 * begins, and one when it has not recurred for a second.
 */
#ifndef WISTERIAVANE_ENTRY_SHORTAGE_H
#define WISTERIAVANE_ENTRY_SHORTAGE_H

#include <event2/event.h>

#include "entry/log.h"
#include "entry/metrics.h"

struct shortage;

/**
 * Creates a record; the caller owns it. The base, the log and the metrics are
 * borrowed.
 */
struct shortage *shortage_create(
    struct event_base *base, struct log *log, struct metrics *metrics);

void shortage_destroy(struct shortage *shortage);

/**
 * Notes that there was no connection left, or no descriptor for one.
 *
 * @param error  errno value, or 0 for the end of the share
 */
void shortage_note(struct shortage *shortage, int error);

#endif
