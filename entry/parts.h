/**
 * @file
 * Creates the parts of an entry VM and connects them: each part gets what it
 * uses and the operations that it calls, and knows no part that uses it.
 */
#ifndef WISTERIAVANE_ENTRY_PARTS_H
#define WISTERIAVANE_ENTRY_PARTS_H

#include "entry/entry.h"

/**
 * Creates all parts, in the order in which they use each other, from the
 * settings of the entry VM. Its addresses are not open yet.
 */
void parts_create(struct entry *entry);

/**
 * Releases all parts, after the addresses are closed. The settings, the log and
 * the event base remain.
 */
void parts_destroy(struct entry *entry);

/**
 * Creates the gateway and the quotas alone, for tests that have no reports.
 */
struct gateway *parts_create_gateway(struct entry *entry);

/** Releases what parts_create_gateway() created. */
void parts_destroy_gateway(struct entry *entry);

/**
 * Creates the synchronization with the store alone, for tests that have no
 * reports. The table of VMs and the gateway exist.
 */
struct store_sync *parts_create_store_sync(struct entry *entry);

#endif
