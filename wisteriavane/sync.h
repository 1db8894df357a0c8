/**
 * @file
 * Distribution of contracts and back ends to every VM: a few VMs of each zone
 * watch the store and the others receive updates from their peers.
 */
#ifndef WISTERIAVANE_SYNC_H
#define WISTERIAVANE_SYNC_H

#include "wisteriavane/contract.h"
#include "wisteriavane/members.h"

/** Number of VMs in each zone that watch the store. */
#define WV_WATCHERS_PER_ZONE 2

/** Returns whether this VM is one of the store watchers of its zone. */
bool wv_sync_is_watcher(const struct wv_members *members);

struct wv_sync;

/** Number of updates received so far, by result. */
struct wv_sync_counts {
	uint64_t applied;
	uint64_t stale; /**< version not newer than the latest known */
	uint64_t invalid; /**< rejected with WV_CONTRACT_INVALID */
};

/** Creates the synchronization state for a table, which it borrows. */
struct wv_sync *wv_sync_create(struct wv_contract_table *table);

/** Destroys the synchronization state, but not the table. */
void wv_sync_destroy(struct wv_sync *sync);

/**
 * Applies a contract received from the store or from a peer. A stale version
 * is not parsed and is not an error. A contract is deleted only by a versioned
 * deletion: its absence from a listing deletes nothing, since a listing may be
 * out of date.
 *
 * @param customer  the customer in the object's key
 * @param json      the object's value; not read if deleted
 * @param version   version of the object in the store
 * @param deleted   whether the object was deleted at this version
 * @param status    receives WV_CONTRACT_INVALID if the contract is rejected;
 *                  the version in force stays
 * @return whether the table changed, so that the update should be passed on
 */
bool wv_sync_apply_update(struct wv_sync *sync, struct wv_string customer,
    struct wv_string json, uint64_t version, bool deleted,
    struct wv_status *status);

/**
 * Returns the store revision up to which this VM knows every contract change,
 * or 0. Peers send only later changes, so the cost of an exchange grows with
 * the number of changes and not with the size of the table.
 */
uint64_t wv_sync_revision(const struct wv_sync *sync);

/**
 * Records that all changes later than `after` and up to `revision` were passed
 * to wv_sync_apply_update().
 *
 * @param after     0 if the full table was passed
 * @param revision  at most the highest version that was passed
 * @return whether changes are now known up to the revision; false if changes
 *         up to `after` are missing
 */
bool wv_sync_advance_revision(
    struct wv_sync *sync, uint64_t after, uint64_t revision);

/** What to send to a peer in response to its heartbeat. */
enum wv_sync_exchange {
	WV_SYNC_NOTHING,
	WV_SYNC_CHANGES, /**< changes after the peer's revision */
	WV_SYNC_FULL_TABLE /**< the full table */
};

/** Minimum time between two transfers of the full table, in ms. */
#define WV_SYNC_MIN_FULL_TABLE_INTERVAL 1000.0
/**
 * Added to the minimum time for each contract in the table, in ms. It bounds
 * the bytes sent per second.
 */
#define WV_SYNC_FULL_TABLE_INTERVAL_PER_CONTRACT 10.0

/**
 * Decides what to send to a peer, and records the time if it is the full
 * table. Tables with equal revisions but different digests occur after an
 * out-of-date listing, or if one VM rejects a contract; then the full table is
 * sent, at a bounded rate.
 *
 * @param now       monotonic time, ms
 * @param revision  wv_sync_revision() as reported by the peer
 * @param digest    wv_contract_table_digest() as reported by the peer
 */
enum wv_sync_exchange wv_sync_choose_exchange(
    struct wv_sync *sync, wv_msec now, uint64_t revision, uint64_t digest);

/**
 * Records that the store, or a peer whose own table is confirmed, confirmed
 * the table.
 */
void wv_sync_record_confirmation(struct wv_sync *sync, wv_msec now);

/** Returns when the table was last confirmed, or -WV_MSEC_NEVER. */
wv_msec wv_sync_confirmed_at(const struct wv_sync *sync);

/** Returns whether the table was ever confirmed. */
bool wv_sync_is_loaded(const struct wv_sync *sync);

/** Returns whether a peer's digest differs from that of this table. */
bool wv_sync_has_different_digest(
    const struct wv_sync *sync, uint64_t peer_digest);

/** Returns the counts of received updates. */
struct wv_sync_counts wv_sync_counts(const struct wv_sync *sync);

#endif
