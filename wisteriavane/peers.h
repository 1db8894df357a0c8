/**
 * @file
 * The other VMs of the system as their reports show them.
 *
 * Each VM sends a small report to the others a few times a second. What is
 * known here decides which addresses callers get and how connections are
 * divided; no guarantee rests on it.
 */
#ifndef WISTERIAVANE_PEERS_H
#define WISTERIAVANE_PEERS_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_peers;

/** Kinds of state whose changes VMs pass on to each other. */
enum wv_peer_state { WV_PEER_ROUTES, WV_PEER_SEARCHERS, WV_PEER_STATES };

/** What a VM says of itself. Strings are borrowed. */
struct wv_peer_report {
	struct wv_string name;
	uint64_t incarnation; /**< Unix time of its start, ms */
	uint64_t sequence; /**< counts the reports of a process */
	struct wv_string peers; /**< IP:PORT of its datagrams */
	struct wv_string callers; /**< IP:PORT for callers */
	struct wv_string zone;
	bool serving; /**< takes new callers */
	bool leaving; /**< ends soon */
	double capacity; /**< processor share */
	bool store_failed; /**< a recent call of the store failed there */
	/** The store's revision up to which it knows all changes; 0: none. */
	uint64_t revisions[WV_PEER_STATES];
};

/** How this VM stands among all that are known. */
struct wv_peer_standing {
	unsigned vms; /**< VMs known, this one included */
	unsigned preferred; /**< of those, the ones that callers are sent to */
	bool is_preferred; /**< whether this VM is one of them */
	bool is_watcher; /**< whether it follows the store itself */
};

/** Creates an empty table for the VM with this name and capacity. */
struct wv_peers *wv_peers_create(struct wv_string own_name, double capacity);

/** Releases it. */
void wv_peers_destroy(struct wv_peers *peers);

/** Learns where a VM may be reached, for instance from the store. */
void wv_peers_introduce(struct wv_peers *peers, wv_msec now,
    struct wv_string name, struct wv_string address, double capacity);

/** Takes a report; older ones of the same VM are ignored. */
void wv_peers_heard(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report);

/**
 * Adds the callers' addresses of VMs that are alive and serve: the strong
 * ones, if there are enough of them. Borrowed.
 *
 * @param own  the address of this VM, or an empty string if it does not serve
 */
void wv_peers_addresses(const struct wv_peers *peers, wv_msec now,
    struct wv_string own, GPtrArray *addresses);

/** Adds the addresses that reports are sent to. Borrowed. */
void wv_peers_targets(struct wv_peers *peers, wv_msec now, GPtrArray *targets);

/**
 * Returns how this VM stands. VMs that have been silent for a while count as
 * well, since they may just be cut off from here.
 *
 * @param store_failed  whether a recent call of the store failed here
 */
struct wv_peer_standing wv_peers_standing(
    const struct wv_peers *peers, wv_msec now, bool store_failed);

/** Returns the divisor of a fleet-wide number that gives this VM's part. */
double wv_peers_divisor(const struct wv_peer_standing *standing);

/**
 * Searchers don't notice at once that a VM was lost, and its connections count
 * until then. With half of the cap in reserve, all VMs may start anew: a VM
 * uses its part of the cap divided by this.
 */
#define WV_PEERS_CONNECTIONS_RESERVE 2.0

/** Returns how many other VMs are alive. */
unsigned wv_peers_alive(const struct wv_peers *peers, wv_msec now);

/**
 * Returns the datagram address of a live VM that knows changes after a
 * revision, or an empty string. Any VM that serves is ahead of revision 0.
 * Borrowed.
 */
struct wv_string wv_peers_ahead(const struct wv_peers *peers, wv_msec now,
    enum wv_peer_state state, uint64_t revision);

/** Returns the time between two reports, which grows with the fleet, ms. */
wv_msec wv_peers_interval(const struct wv_peers *peers);

#endif
