/**
 * @file
 * The servers of an entry VM beside the one for callers' requests: addresses of
 * VMs, readiness, metrics, and changes for other VMs.
 */
#ifndef WISTERIAVANE_ENTRY_PAGES_H
#define WISTERIAVANE_ENTRY_PAGES_H

#include "entry/entry.h"

/** Creates the four servers of the entry VM; none listens yet. */
void pages_create(struct entry *entry);

/** Closes the servers that pages_create() created. */
void pages_destroy(struct entry *entry);

#endif
