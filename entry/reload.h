/**
 * @file
 * Reload of an entry VM's settings at run time.
 */
#ifndef WISTERIAVANE_ENTRY_RELOAD_H
#define WISTERIAVANE_ENTRY_RELOAD_H

#include "entry/entry.h"

struct reload;

/** Creates the reload of the entry VM's settings file. */
struct reload *reload_create(struct entry *entry);

/**
 * Notes that the settings file is about to be read: a change of it from now on
 * is noticed by a later check.
 */
void reload_mark_read(struct reload *reload);

/** Begins to check the settings file for changes. */
void reload_start(struct reload *reload);

/** Reloads the settings because of SIGHUP. */
void reload_by_signal(struct reload *reload);
void reload_destroy(struct reload *reload);

#endif
