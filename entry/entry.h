/**
 * @file
 * State of an entry VM, for the modules that show, limit or reload all of it.
 * The gateway, the synchronization with the store and the reports don't depend
 * on it; parts.h connects them.
 *
 * Everything runs on one thread with an event loop: a VM has a fraction of one
 * core, so further threads would only add context switches.
 */
#ifndef WISTERIAVANE_ENTRY_ENTRY_H
#define WISTERIAVANE_ENTRY_ENTRY_H

#include <event2/event.h>

#include "entry/platform_adapter.h"
#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/peers.h"
#include "wisteriavane/quota_pool.h"

struct gateway;
struct store_sync;
struct reports;

/** One entry VM. */
struct entry {
	struct event_base *base;
	struct wv_clock clock;
	const struct platform_adapter *adapter;
	char *settings_file;
	struct entry_settings *settings;
	struct log *log;
	struct metrics metrics;
	struct wv_peers *peers;
	struct wv_peer_role role; /**< of this VM, when limits were updated */
	struct wv_routes *routes; /**< newest version; NULL: none yet */
	struct gateway *gateway; /**< serves the callers' requests */
	struct wv_quota *quota; /**< of the teams */
	struct wv_quota_pool *pool; /**< loans of quota to homes of teams */
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
	bool evacuations_known; /**< a list of evacuations was read, or its wait
				   has ended */
	wv_msec data_known_at; /**< when routes and searchers were first known;
				  0: not yet */
	bool vms_listed; /**< the list of VMs was read */
	bool unconfirmed; /**< as last logged */
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
 * Ends the wait for the list of evacuations if neither the store nor another VM
 * has given it in time. To be called in each round of reports.
 */
void entry_limit_evacuations_wait(struct entry *entry);

/**
 * Returns whether the setting strict_revoke is off, or the version of the
 * routes was confirmed within revoke_ms.
 */
bool entry_is_confirmed(const struct entry *entry);

/** The same, for a request; logs a change. */
bool entry_check_confirmation(struct entry *entry);

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

#endif
