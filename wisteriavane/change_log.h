/**
 * @file
 * In-memory copy of the store's objects of one kind with a log of their recent
 * changes, so that other VMs can read them from this VM instead of the store.
 */
#ifndef WISTERIAVANE_CHANGE_LOG_H
#define WISTERIAVANE_CHANGE_LOG_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_change_log;

/** Creates an empty log at position 0. Positions are
 * those of store_position.h. */
struct wv_change_log *wv_change_log_create(void);

/** Destroys a log and everything that it owns. */
void wv_change_log_destroy(struct wv_change_log *changes);

/**
 * Discards all objects and changes, before a full listing is added with
 * wv_change_log_put_object().
 *
 * @param position  position of the listing
 */
void wv_change_log_reset(struct wv_change_log *changes, uint64_t position);

/** Adds an object of a full listing. Takes ownership of the text. */
void wv_change_log_put_object(
    struct wv_change_log *changes, struct wv_string name, char *text);

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
 * Applies all changes between the current position and a later one.
 *
 * @param now           monotonic time, ms
 * @param position      position after the changes
 * @param list          array of struct wv_change, oldest first; a reference
 *                      is kept
 * @param after_outage  whether the store was unreachable before the changes
 * @return false, with nothing applied, if the position is older than the
 *         current one because the source lags behind
 */
bool wv_change_log_add(struct wv_change_log *changes, wv_msec now,
    uint64_t position, GPtrArray *list, bool after_outage);

/** Returns the current position, or 0 if there is none. */
uint64_t wv_change_log_position(const struct wv_change_log *changes);

/**
 * Returns the position of the latest change, or 0 if nothing has changed since
 * the last listing. Other VMs compare it with their own position to decide
 * whether to read the changes.
 */
uint64_t wv_change_log_last_change(const struct wv_change_log *changes);

/**
 * Reports the current position as the latest change. Used after a new listing
 * that replaces missed changes, so that other VMs read it.
 */
void wv_change_log_announce_listing(struct wv_change_log *changes);

/**
 * Collects the last change of each object after a position. A batch that
 * spans the position is included in full, but with only the last change of
 * each object: that one is at least as new as what the reader has, whereas an
 * earlier one could revert the reader to an older state.
 *
 * @param position      position up to which the reader knows all changes
 * @param texts         empty array; receives borrowed texts, oldest first
 * @param after_outage  receives whether the store was unreachable before any
 *                      of the changes
 * @return false if some of the changes are no longer kept, so that the reader
 *         needs a full listing
 */
bool wv_change_log_collect_after(const struct wv_change_log *changes,
    uint64_t position, GPtrArray *texts, bool *after_outage);

/** Appends the borrowed texts of all objects, in no particular order. */
void wv_change_log_collect_objects(
    const struct wv_change_log *changes, GPtrArray *texts);

#endif
