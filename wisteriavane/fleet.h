/**
 * @file
 * The searchers of all services, as their entries in the store tell.
 *
 * An entry that disappears means that its searcher is leaving or gone. While
 * the store was away, entries may have lapsed although their searchers live;
 * those come back soon after, so for a grace period a missing entry counts
 * as present.
 */
#ifndef WISTERIAVANE_FLEET_H
#define WISTERIAVANE_FLEET_H

#include <glib.h>

#include "wisteriavane/allowance.h"
#include "wisteriavane/view.h"

struct wv_attempt;
struct wv_fleet;

/** One entry of the store. All strings are borrowed. */
struct wv_searcher_entry {
	struct wv_string id;
	struct wv_string service;
	struct wv_string address; /**< IP:PORT */
	struct wv_string zone;
	uint64_t started; /**< Unix time of its start, ms; 0 if not stated */
	uint32_t slots; /**< requests at once */
	bool draining; /**< takes no new requests */
	wv_msec cold_left; /**< how much longer it is slow after its start */
};

/** One service: searchers that answer equally well. */
struct wv_fleet_service {
	struct wv_string name; /**< owned */
	GPtrArray *searchers; /**< borrowed; those that are not gone */
	struct wv_allowance allowance; /**< extra attempts */
	uint32_t connections; /**< cap of each searcher, all VMs; 0: unknown */
	GQueue waiting; /**< shard requests without a searcher, by urgency */
	GQueue
	    held_back; /**< requests held back for this service, by urgency */
};

/** One incarnation of a searcher. */
struct wv_searcher {
	struct wv_string id; /**< owned */
	struct wv_string address; /**< owned */
	struct wv_string zone; /**< owned */
	struct wv_fleet_service *service;
	uint64_t started;
	uint32_t slots;
	bool draining;
	bool gone; /**< no longer in the table; freed after its last attempt */
	bool near; /**< in the zone of this VM */
	wv_msec missing_until; /**< gone at this time; 0 if it is present */
	struct wv_view view;
	unsigned outstanding; /**< attempts that hold a connection */
	struct wv_attempt *first_attempt; /**< list of those attempts */
	void *link; /**< owned by the embedder: its connections */
};

/** What the embedder does when a searcher has left the table. */
struct wv_fleet_ops {
	/** The searcher is about to be freed; release its link. */
	void (*release)(struct wv_fleet_ops *ops, struct wv_searcher *searcher);
};

/** Creates an empty fleet; zone is this VM's, ops are borrowed. */
struct wv_fleet *wv_fleet_create(
    struct wv_string zone, struct wv_fleet_ops *ops);

/** Releases the fleet and all searchers. */
void wv_fleet_destroy(struct wv_fleet *fleet);

/** Returns the service of a name; creates it if there is none. */
struct wv_fleet_service *wv_fleet_service(
    struct wv_fleet *fleet, struct wv_string name);

/** Returns the searcher with an id, or NULL. */
struct wv_searcher *wv_fleet_find(struct wv_fleet *fleet, struct wv_string id);

/**
 * Takes an entry. An entry of an earlier start than the known one is ignored;
 * one of a later start replaces the searcher by a new incarnation.
 *
 * @return whether the fleet changed
 */
bool wv_fleet_put(
    struct wv_fleet *fleet, wv_msec now, const struct wv_searcher_entry *entry);

/** Removes the searcher of an entry that is gone or can't be read. */
bool wv_fleet_remove(struct wv_fleet *fleet, wv_msec now, struct wv_string id);

/** Begins a complete list: searchers not put before its end are missing. */
void wv_fleet_list_begin(struct wv_fleet *fleet);

/** Ends a complete list. */
void wv_fleet_list_end(struct wv_fleet *fleet, wv_msec now);

/**
 * The store answers again after an outage: entries may be missing until
 * grace has passed. */
void wv_fleet_store_back(struct wv_fleet *fleet, wv_msec now, wv_msec grace);

/** Removes searchers whose grace has passed. */
void wv_fleet_tick(struct wv_fleet *fleet, wv_msec now);

/** Returns when wv_fleet_tick() has work, or WV_MSEC_NEVER. */
wv_msec wv_fleet_next(const struct wv_fleet *fleet);

/** Gives back an attempt's hold on a searcher; frees a gone one. */
void wv_fleet_release(struct wv_fleet *fleet, struct wv_searcher *searcher);

/** Returns the number of searchers. */
size_t wv_fleet_size(const struct wv_fleet *fleet);

/** Calls back for each searcher; the callback must not change the fleet. */
void wv_fleet_visit(const struct wv_fleet *fleet,
    void (*visit)(void *data, struct wv_searcher *searcher), void *data);

#endif
