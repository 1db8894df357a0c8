/**
 * @file
 * One entry VM: what its parts share.
 *
 * Everything runs on one thread, an event loop. A VM has a fraction of one
 * core, so further threads would only add hand-overs.
 */
#ifndef WISTERIAVANE_ENTRY_ENTRY_H
#define WISTERIAVANE_ENTRY_ENTRY_H

#include <event2/event.h>

#include "entry/dialect.h"
#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/dispatch.h"
#include "wisteriavane/peers.h"

struct gateway;
struct store_sync;
struct reports;
struct reload;

/** One entry VM. */
struct entry {
	struct event_base *base;
	struct wv_clock clock;
	const struct dialect *dialect;
	char *settings_file;
	struct entry_settings *settings;
	struct log *log;
	struct metrics metrics;
	struct wv_fleet *fleet;
	struct wv_dispatch *dispatch;
	struct wv_peers *peers;
	struct wv_routes *routes; /**< newest version, or NULL */
	struct gateway *gateway; /**< serves callers */
	struct store_sync *store; /**< follows the store */
	struct reports *reports; /**< exchange between VMs */
	struct server *addresses;
	struct server *readiness;
	struct server *metrics_server;
	struct server *changes; /**< serves changes to other VMs */
	wv_msec started_at;
	uint64_t incarnation; /**< Unix time of the start, ms */
	bool searchers_known; /**< the first list has arrived */
	bool vms_listed; /**< the store has listed the VMs */
	bool stopping;
	wv_msec stop_at; /**< stopping: when it began */
};

/** Returns monotonic milliseconds. */
wv_msec entry_now(const struct entry *entry);

/** Returns whether requests can be served. */
bool entry_is_ready(const struct entry *entry);

/** Takes a newer version of the routes; an older one is ignored. */
void entry_take_routes(struct entry *entry, struct wv_routes *routes);

/** Divides connections and allowance by the number of VMs known now. */
void entry_set_terms(struct entry *entry);

/** Sets the timer of the decisions that are due next. */
void entry_arm(struct entry *entry);

/** @name Callers' requests */
struct gateway *gateway_create(struct entry *entry);
void gateway_destroy(struct gateway *gateway);
/** Sets the timer for the dispatch and the fleet. */
void gateway_arm(struct gateway *gateway);
/** Returns the server of callers. */
struct server *gateway_server(struct gateway *gateway);
/** Answers everything that is still in progress, as this VM ends. */
void gateway_abort(struct gateway *gateway);

/** @name Following the store */
struct store_sync *store_sync_create(struct entry *entry);
void store_sync_destroy(struct store_sync *sync);
/** Returns the store's revision up to which a state is known; 0: none. */
uint64_t store_sync_revision(
    const struct store_sync *sync, enum wv_peer_state state);
/** Returns whether a call of the store failed lately. */
bool store_sync_failed(const struct store_sync *sync);
/** Reads changes from a peer if it knows some that are not known here. */
void store_sync_heard(
    struct store_sync *sync, const uint64_t revisions[WV_PEER_STATES]);
/** Begins or ends to follow the store itself, as the membership tells. */
void store_sync_check(struct store_sync *sync);
/** Answers a peer that asks for changes. */
void store_sync_serve(struct store_sync *sync, struct server_conn *conn,
    const struct message *message);

/** @name Reports between VMs */
struct reports *reports_create(struct entry *entry);
void reports_destroy(struct reports *reports);
/** Sends reports at once, since the state of this VM has changed. */
void reports_send(struct reports *reports);

/** @name Settings that change while the process runs */
struct reload *reload_create(struct entry *entry);
void reload_destroy(struct reload *reload);

#endif
