/**
 * @file
 * Removal of the entries of VMs that were removed for good.
 *
 * An entry of a VM in the store does not expire. This module decides when the
 * VM that may remove entries asks a silent VM, reads the revisions of the
 * entries, removes one and writes one again. It makes no calls itself.
 *
 * Only one call is in progress at a time, and all calls are limited in rate. An
 * entry is removed by the revision that a list had, so one that was written
 * since then stays. A VM that starts again under its old name does not change
 * its entry; if it is heard after the removal of its entry was requested, the
 * entry is written again.
 */
#ifndef WISTERIAVANE_REMOVAL_H
#define WISTERIAVANE_REMOVAL_H

#include <glib.h>

#include "wisteriavane/peers.h"

/** Silent VMs whose entries may have to be removed. */
struct wv_removal;

/** Kinds of calls of the store. */
enum wv_removal_kind {
	WV_REMOVAL_NONE, /**< no call is due */
	WV_REMOVAL_LIST, /**< read the names and revisions of all entries */
	WV_REMOVAL_REMOVE, /**< remove an entry that has the revision */
	WV_REMOVAL_RESTORE /**< create the entry of a VM unless it exists */
};

/** A call that is due. */
struct wv_removal_call {
	enum wv_removal_kind kind;
	/** Borrowed until the call ends; the address and zone are those of the
	 * last report, if there was one. */
	struct wv_peer_address vm;
	uint64_t revision; /**< of the entry to remove */
};

/** Outcome of a call. */
enum wv_removal_result {
	WV_REMOVAL_DONE, /**< done; the whole list was read; the entry exists */
	WV_REMOVAL_ABSENT, /**< there was no entry to remove */
	WV_REMOVAL_CHANGED, /**< the entry has another revision and stays */
	WV_REMOVAL_REFUSED, /**< nothing was done */
	WV_REMOVAL_UNKNOWN /**< no answer; it may take effect later */
};

/** Creates the state, without VMs. */
struct wv_removal *wv_removal_create(void);

/** Frees the state. */
void wv_removal_destroy(struct wv_removal *removal);

/**
 * Adds a VM that was asked and has been silent until the table of VMs forgot
 * it. Ignored if too many are known. Strings are copied.
 */
void wv_removal_add(
    struct wv_removal *removal, wv_msec now, const struct wv_peer_address *vm);

/** Notes that a VM was heard, with what it reports of itself. */
void wv_removal_hear(
    struct wv_removal *removal, wv_msec now, const struct wv_peer_address *vm);

/**
 * Sets whether this VM may remove entries. To be called in each round of
 * reports. Questions asked before an interruption, or before a pause of this
 * process, don't count.
 */
void wv_removal_set_permitted(
    struct wv_removal *removal, wv_msec now, bool permitted);

/**
 * Lists the addresses of VMs that are to be asked in this round; they count as
 * asked.
 *
 * @param addresses  receives char *, borrowed until a VM is added or heard;
 *                   emptied first
 */
void wv_removal_collect_questions(
    struct wv_removal *removal, wv_msec now, GPtrArray *addresses);

/**
 * Returns the call that is due. Unless it is WV_REMOVAL_NONE, it is in progress
 * until wv_removal_end_call().
 *
 * @param store_works  whether this VM's other calls of the store succeed
 */
struct wv_removal_call wv_removal_next_call(
    struct wv_removal *removal, wv_msec now, bool store_works);

/**
 * Applies an entry of the list that is being read.
 *
 * @return whether the VM is one of those that were silent
 */
bool wv_removal_apply_listed(
    struct wv_removal *removal, struct wv_string name, uint64_t revision);

/**
 * Forgets the revisions of all entries, since the store came back from an older
 * copy and uses revisions again. They are read anew before an entry is removed.
 */
void wv_removal_forget_revisions(struct wv_removal *removal);

/** Ends the call in progress. */
void wv_removal_end_call(
    struct wv_removal *removal, wv_msec now, enum wv_removal_result result);

/** Returns the number of silent VMs whose entries may have to be removed. */
size_t wv_removal_count(const struct wv_removal *removal);

#endif
