/**
 * @file
 * Synchronization of an entry VM with the platform's store.
 */
#ifndef WISTERIAVANE_ENTRY_STORE_SYNC_H
#define WISTERIAVANE_ENTRY_STORE_SYNC_H

#include "entry/entry.h"

struct store_sync;

/** Begins to read the lists and to register this VM in the store. */
struct store_sync *store_sync_create(struct entry *entry);
void store_sync_destroy(struct store_sync *sync);

/**
 * Returns the store revision of the newest changes of a kind of data; 0 if
 * there were none since the first list.
 */
uint64_t store_sync_revision(
    const struct store_sync *sync, enum wv_peer_data state);

/** Returns whether calls of the store failed in the last few seconds. */
bool store_sync_has_failed(const struct store_sync *sync);

/**
 * Compares the revisions that a peer reports with the own ones and reads the
 * missing changes from a peer: at once from one in the own zone, otherwise
 * after a moment in which a hub of the zone may get them.
 */
void store_sync_compare_revisions(
    struct store_sync *sync, const struct wv_peer_report *report);

/**
 * Starts or stops watching the store directly, depending on whether the
 * VMs known now make this one a watcher.
 */
void store_sync_update_role(struct store_sync *sync);

/** Answers a peer's request for a list or for changes. */
void store_sync_serve(struct store_sync *sync, struct server_conn *conn,
    const struct message *message);

#endif
