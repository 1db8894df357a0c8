/**
 * @file
 * State of an entry VM and the interfaces between its modules.
 *
 * Everything runs on one thread with an event loop: a VM has a fraction of one
 * core, so further threads would only add context switches.
 */
#ifndef WISTERIAVANE_ENTRY_ENTRY_H
#define WISTERIAVANE_ENTRY_ENTRY_H

#include <event2/event.h>

#include "entry/client.h"
#include "entry/platform_adapter.h"
#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/dispatch.h"
#include "wisteriavane/peers.h"

struct gateway;
struct upstream;
struct store_sync;
struct reports;
struct reload;

/** One entry VM. */
struct entry {
	struct event_base *base;
	struct wv_clock clock;
	const struct platform_adapter *adapter;
	char *settings_file;
	struct entry_settings *settings;
	struct log *log;
	struct metrics metrics;
	struct client_memory answer_memory; /**< for searchers' answers */
	struct wv_registry *registry;
	struct wv_dispatch *dispatch;
	struct wv_peers *peers;
	struct wv_routes *routes; /**< newest version; NULL: none yet */
	struct gateway *gateway; /**< serves the callers' requests */
	struct upstream *upstream; /**< connections to searchers */
	struct store_sync *store; /**< copies state from the store */
	struct reports *reports; /**< datagrams to and from other VMs */
	struct server *address_server; /**< lists VMs for callers */
	struct server *readiness_server;
	struct server *metrics_server;
	struct server *change_server; /**< serves other VMs */
	wv_msec started_at; /**< monotonic, ms */
	uint64_t incarnation; /**< Unix time of the start, ms; differs
			       between restarts of a VM */
	bool searchers_known; /**< a list of searchers was read */
	bool vms_listed; /**< the list of VMs was read */
	bool stopping;
	wv_msec stopping_since; /**< monotonic, ms; valid if stopping */
};

/** Returns the monotonic time, ms. */
wv_msec entry_now(const struct entry *entry);

/**
 * Returns whether callers can be served: this VM listens for them and knows
 * routes and searchers.
 */
bool entry_is_ready(const struct entry *entry);

/**
 * Replaces the routes by a newer version and keeps a reference to it. A version
 * that is not newer is ignored.
 */
void entry_update_routes(struct entry *entry, struct wv_routes *routes);

/**
 * Recomputes this VM's share of the searchers' connections and of the retry
 * allowance from the settings and the number of VMs known now.
 */
void entry_update_limits(struct entry *entry);

/**
 * Limits the connections of each server, and those to searchers, by their share
 * of the descriptors that the process may open, and records shortages.
 */
void entry_limit_connections(struct entry *entry);

/** Sets the timer to the next due time of the dispatcher and the registry. */
void entry_schedule_tick(struct entry *entry);

/** @name Callers' requests */
/**
 * Creates the registry, the dispatcher and the server of callers, which does
 * not listen yet.
 */
struct gateway *gateway_create(struct entry *entry);
/** Aborts requests in progress and releases what gateway_create() created. */
void gateway_destroy(struct gateway *gateway);
/** Sets the timer to the next due time of the dispatcher and the registry. */
void gateway_schedule_tick(struct gateway *gateway);
/** Returns the server that accepts callers. Borrowed. */
struct server *gateway_server(struct gateway *gateway);
/** Refuses all further requests as not run, because this VM stops. */
void gateway_refuse_new(struct gateway *gateway);
/** Answers every request still in progress, because this VM stops. */
void gateway_abort(struct gateway *gateway);

/** @name Synchronization with the store */
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

/** @name Reports between VMs */
/** Creates the reports; reports_open() lets them be sent and received. */
struct reports *reports_create(struct entry *entry);
/**
 * Opens the socket for reports at the address of the settings. Returns false
 * with errno if it can't be bound.
 */
bool reports_open(struct reports *reports);
void reports_destroy(struct reports *reports);
/** Sends a report to the other VMs now, after the state of this VM changed. */
void reports_send(struct reports *reports);

/** @name Reloading the settings at run time */
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
