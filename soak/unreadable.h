/**
 * @file
 * Entries of the store that can't be read, which must hide no others.
 */
#ifndef WISTERIAVANE_SOAK_UNREADABLE_H
#define WISTERIAVANE_SOAK_UNREADABLE_H

#include "soak/cluster.h"

struct unreadable;

/** Writes at random such entries, beside which the VMs start. */
struct unreadable *unreadable_create(
    struct soak *soak, struct cluster *cluster);

/** Releases the state; the event loop must not run any more. */
void unreadable_destroy(struct unreadable *unreadable);

/**
 * Writes an entry of a random kind that can't be read: one that is nested too
 * deeply, is cut, or has no name. It stays for a duration or, at random, until
 * the run ends, so that the checks after the last fault are made beside it.
 */
void unreadable_write(struct unreadable *unreadable, wv_msec duration);

#endif
