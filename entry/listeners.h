/**
 * @file
 * The addresses on which an entry VM listens. Each is opened as soon as it can
 * be: another process may hold it for a while, such as the one before.
 */
#ifndef WISTERIAVANE_ENTRY_LISTENERS_H
#define WISTERIAVANE_ENTRY_LISTENERS_H

#include "entry/entry.h"

struct listeners;

/**
 * Opens the addresses of the settings.
 *
 * @param entry   its servers and reports exist, and are not open
 * @param failed  called if an address other than that of the metrics can't be
 *                opened for a reason that does not pass by itself
 * @param data    passed to failed
 */
struct listeners *listeners_create(
    struct entry *entry, void (*failed)(void *data), void *data);

/** Stops opening addresses; those that are open stay so. NULL is allowed. */
void listeners_destroy(struct listeners *listeners);

#endif
