/**
 * @file
 * Reports between entry VMs.
 */
#ifndef WISTERIAVANE_ENTRY_REPORTS_H
#define WISTERIAVANE_ENTRY_REPORTS_H

#include "entry/entry.h"

struct reports;

/** Creates the reports; reports_open() lets them be sent and received. */
struct reports *reports_create(struct entry *entry);

/**
 * Opens the socket for reports at the address of the settings. Returns false
 * with errno if it can't be bound.
 */
bool reports_open(struct reports *reports);
void reports_destroy(struct reports *reports);

/** Sends a report to the other VMs now, after the state of this VM changed. */
void reports_send(struct reports *reports);

#endif
