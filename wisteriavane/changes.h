/**
 * @file
 * The objects of a kind in the store and their recent changes, kept so that
 * other VMs can read them here instead of from the store.
 */
#ifndef WISTERIAVANE_CHANGES_H
#define WISTERIAVANE_CHANGES_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_changes;

/** Creates an empty record. */
struct wv_changes *wv_changes_create(void);

/** Releases it. */
void wv_changes_destroy(struct wv_changes *changes);

/**
 * Begins anew from a list of everything; objects follow by wv_changes_put().
 *
 * @param revision  of the list
 */
void wv_changes_reset(struct wv_changes *changes, uint64_t revision);

/** Takes an object of the list; the text is taken. */
void wv_changes_put(
    struct wv_changes *changes, struct wv_string name, char *text);

/** One change of an object. */
struct wv_change {
	char *name; /**< owned */
	char *text; /**< owned: encoded change */
	bool deleted;
};

/** Creates an empty list of struct wv_change that owns its elements. */
GPtrArray *wv_change_list_create(void);

/** Appends a change; the text is taken. */
void wv_change_list_add(
    GPtrArray *list, struct wv_string name, char *text, bool deleted);

/**
 * Adds the changes after the newest revision known up to another one.
 *
 * @param list          of struct wv_change, oldest first; a reference is kept
 * @param after_outage  the store was away before them
 * @return false if the revision is older than the one known, as at a source
 *         that is behind; nothing is added then
 */
bool wv_changes_add(struct wv_changes *changes, wv_msec now, uint64_t revision,
    GPtrArray *list, bool after_outage);

/** Returns the newest revision known; 0 if none. */
uint64_t wv_changes_revision(const struct wv_changes *changes);

/**
 * Returns the revision of the newest changes, or 0 if there were none since
 * the list that this process began with. Other VMs ask for what is newer than
 * what they know.
 */
uint64_t wv_changes_newest(const struct wv_changes *changes);

/** The list was read anew since changes were missed: it counts as newer. */
void wv_changes_announce(struct wv_changes *changes);

/**
 * Collects the last change of each object after a revision. A batch that
 * began before the revision is told whole: its last changes are at least as
 * new as what the reader knows, while earlier ones could take it back.
 *
 * @param texts         empty; gets borrowed texts, oldest first
 * @param after_outage  set if the store was away before some of them
 * @return false if some of them are no longer known
 */
bool wv_changes_after(const struct wv_changes *changes, uint64_t revision,
    GPtrArray *texts, bool *after_outage);

/** Collects the texts of all objects. Borrowed. */
void wv_changes_all(const struct wv_changes *changes, GPtrArray *texts);

#endif
