/**
 * @file
 * Synchronization of an entry VM with the platform's store.
 */
#ifndef WISTERIAVANE_ENTRY_STORE_SYNC_H
#define WISTERIAVANE_ENTRY_STORE_SYNC_H

#include <event2/event.h>

#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/platform_adapter.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/peers.h"

struct store_sync;

/** Operations that the synchronization calls from the event loop. */
struct store_sync_ops {
	/** Routes were read, of any version; the reference is borrowed. */
	void (*routes_read)(void *data, struct wv_routes *routes);
	/** A list of searchers was read into the registry. */
	void (*searchers_listed)(void *data);
	/** The list of evacuations was read into the registry. */
	void (*evacuations_listed)(void *data);
	/** The list of VMs was read into the table of VMs. */
	void (*vms_listed)(void *data);
	/** An answer was applied, which may have changed the registry. */
	void (*registry_changed)(void *data);
	/** The store begins to count as failed for this VM. */
	void (*store_failed)(void *data);
};

/** What the synchronization uses. All pointers are borrowed. */
struct store_sync_deps {
	struct event_base *base;
	struct wv_clock *clock;
	const struct platform_adapter *adapter;
	struct log *log;
	struct metrics *metrics;
	const struct entry_settings *settings; /**< may change at run time */
	struct wv_registry *registry; /**< gets the searchers */
	struct wv_peers *peers; /**< gets the VMs */
	wv_msec started_at; /**< of the process: monotonic, ms */
};

/**
 * Begins to read the lists and to register this VM in the store. The first
 * calls are made from the event loop.
 *
 * @param deps  copied; what it points to must outlive the synchronization
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct store_sync *store_sync_create(const struct store_sync_deps *deps,
    const struct store_sync_ops *ops, void *data);

void store_sync_destroy(struct store_sync *sync);

/** Begins no further call for registrations of VMs, because this VM stops. */
void store_sync_end_cleanup(struct store_sync *sync);

/**
 * Returns the position (store_position.h) of the newest changes of a kind of
 * data; 0 if there were none since the first list.
 */
uint64_t store_sync_position(
    const struct store_sync *sync, enum wv_peer_data state);

/** Returns whether a list of evacuations was read. */
bool store_sync_has_evacuations(const struct store_sync *sync);

/** Returns the version of the routes that this VM uses; 0: none. */
uint64_t store_sync_routes_version(const struct store_sync *sync);

/**
 * Returns how long ago the version was confirmed, by the store or by another VM
 * that had confirmed it, ms; WV_MSEC_NEVER: never.
 */
wv_msec store_sync_routes_age(const struct store_sync *sync);

/** Applies the confirmation in another VM's report that has just arrived. */
void store_sync_confirm_routes(
    struct store_sync *sync, const struct wv_peer_report *report);

/** Returns whether calls of the store failed in the last few seconds. */
bool store_sync_has_failed(const struct store_sync *sync);

/**
 * Compares the positions that a peer reports with the own ones and reads the
 * missing changes from a peer: at once from one in the own zone, otherwise
 * after a moment in which a hub of the zone may get them.
 */
void store_sync_compare_positions(
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
