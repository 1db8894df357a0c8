/**
 * @file
 * In-memory copy of the store's objects of one kind with a log of their recent
 * changes, so that other VMs can read them from this VM instead of the store.
 */
#ifndef WISTERIAVANE_CHANGES_H
#define WISTERIAVANE_CHANGES_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_changes;

/** Creates an empty log at revision 0. */
struct wv_changes *wv_changes_create(void);

/** Destroys a log and everything that it owns. */
void wv_changes_destroy(struct wv_changes *changes);

/**
 * Discards all objects and changes, before a full listing is added with
 * wv_changes_put().
 *
 * @param revision  store revision of the listing
 */
void wv_changes_reset(struct wv_changes *changes, uint64_t revision);

/** Adds an object of a full listing. Takes ownership of the text. */
void wv_changes_put(
    struct wv_changes *changes, struct wv_string name, char *text);

/** A change of one object. */
struct wv_change {
	char *name; /**< owned */
	char *text; /**< owned: the encoded change */
	bool deleted; /**< whether the change deletes the object */
};

/** Creates an empty array of struct wv_change that owns its elements. */
GPtrArray *wv_change_list_create(void);

/** Appends a change. Takes ownership of the text. */
void wv_change_list_add(
    GPtrArray *list, struct wv_string name, char *text, bool deleted);

/**
 * Applies all changes between the current revision and a later one.
 *
 * @param now           monotonic time, ms
 * @param revision      revision after the changes
 * @param list          array of struct wv_change, oldest first; a reference
 *                      is kept
 * @param after_outage  whether the store was unreachable before the changes
 * @return false, with nothing applied, if the revision is older than the
 *         current one because the source lags behind
 */
bool wv_changes_add(struct wv_changes *changes, wv_msec now, uint64_t revision,
    GPtrArray *list, bool after_outage);

/** Returns the current revision, or 0 if there is none. */
uint64_t wv_changes_revision(const struct wv_changes *changes);

/**
 * Returns the revision of the latest change, or 0 if nothing has changed since
 * the last listing. Other VMs compare it with their own revision to decide
 * whether to read the changes.
 */
uint64_t wv_changes_newest(const struct wv_changes *changes);

/**
 * Reports the current revision as the latest change. Used after a new listing
 * that replaces missed changes, so that other VMs read it.
 */
void wv_changes_announce(struct wv_changes *changes);

/**
 * Collects the last change of each object after a revision. A batch that
 * spans the revision is included in full, but with only the last change of
 * each object: that one is at least as new as what the reader has, whereas an
 * earlier one could revert the reader to an older state.
 *
 * @param revision      revision up to which the reader knows all changes
 * @param texts         empty array; receives borrowed texts, oldest first
 * @param after_outage  receives whether the store was unreachable before any
 *                      of the changes
 * @return false if some of the changes are no longer kept, so that the reader
 *         needs a full listing
 */
bool wv_changes_after(const struct wv_changes *changes, uint64_t revision,
    GPtrArray *texts, bool *after_outage);

/** Appends the borrowed texts of all objects, in no particular order. */
void wv_changes_all(const struct wv_changes *changes, GPtrArray *texts);

#endif
