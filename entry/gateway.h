/**
 * @file
 * Serves the callers' requests of an entry VM.
 */
#ifndef WISTERIAVANE_ENTRY_GATEWAY_H
#define WISTERIAVANE_ENTRY_GATEWAY_H

#include "entry/entry.h"

struct gateway;

/**
 * Creates the registry, the dispatcher and the server of callers, which does
 * not listen yet.
 */
struct gateway *gateway_create(struct entry *entry);

/** Aborts requests in progress and releases what gateway_create() created. */
void gateway_destroy(struct gateway *gateway);

/** Sets the timer to the next due time of the dispatcher and the registry. */
void gateway_schedule_tick(struct gateway *gateway);

/** Returns the server that accepts callers. Borrowed. */
struct server *gateway_server(struct gateway *gateway);

/** Refuses all further requests as not run, because this VM stops. */
void gateway_refuse_new(struct gateway *gateway);

/** Answers every request still in progress, because this VM stops. */
void gateway_abort(struct gateway *gateway);

#endif
