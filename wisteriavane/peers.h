/**
 * @file
 * Table of the other VMs, built from the reports that they send.
 *
 * Each VM sends a small report to the others several times a second. The table
 * decides which addresses callers get and how connections are divided among
 * VMs. It may be out of date, and no guarantee depends on it.
 */
#ifndef WISTERIAVANE_PEERS_H
#define WISTERIAVANE_PEERS_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_peers;

/** Kinds of store data whose changes VMs forward to each other. */
enum wv_peer_data { WV_PEER_ROUTES, WV_PEER_SEARCHERS, WV_PEER_DATA_COUNT };

/** Report that a VM sends about itself. Strings are borrowed. */
struct wv_peer_report {
	struct wv_string name;
	uint64_t incarnation; /**< Unix time of its start, ms */
	uint64_t sequence; /**< number of the report within its process */
	struct wv_string peer_address; /**< IP:PORT for datagrams */
	struct wv_string caller_address; /**< IP:PORT */
	struct wv_string zone;
	bool serving; /**< accepts new callers */
	bool leaving; /**< will stop soon */
	double capacity; /**< share of a processor */
	bool store_failed; /**< a recent call of the store failed at that VM */
	/** Store revision up to which it has all changes; 0 if none. */
	uint64_t revisions[WV_PEER_DATA_COUNT];
};

/** Role of this VM among all known VMs. */
struct wv_peer_role {
	unsigned vms; /**< known VMs, including this one */
	unsigned preferred; /**< VMs among them that callers are sent to */
	bool is_preferred; /**< whether this VM is one of them */
	bool is_watcher; /**< this VM reads changes from the store itself,
			     and other VMs read them from it */
};

/** Creates an empty table; name and capacity are those of this VM. */
struct wv_peers *wv_peers_create(struct wv_string own_name, double capacity);

/** Frees the table. */
void wv_peers_destroy(struct wv_peers *peers);

/**
 * Sets the datagram address and capacity of a VM that are known from elsewhere,
 * for instance from the store. Ignored while its reports are received.
 */
void wv_peers_set_address(struct wv_peers *peers, wv_msec now,
    struct wv_string name, struct wv_string address, double capacity);

/**
 * Applies a received report. One that is older than the last report of the same
 * VM is ignored while that VM is alive.
 */
void wv_peers_apply_report(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report);

/**
 * Stores the addresses for callers of the VMs that are alive and serving: only
 * those with high capacity, or all if fewer than three have it. Strings are
 * borrowed.
 *
 * @param own        address of this VM, or an empty string if it is not serving
 * @param addresses  receives the strings, as char *; emptied first
 */
void wv_peers_list_caller_addresses(const struct wv_peers *peers, wv_msec now,
    struct wv_string own, GPtrArray *addresses);

/**
 * Forgets VMs that have been silent for too long, and adds the addresses that
 * the next report is sent to. Strings are borrowed.
 */
void wv_peers_list_report_addresses(
    struct wv_peers *peers, wv_msec now, GPtrArray *targets);

/**
 * Returns the role of this VM. Silent VMs count until they are forgotten, since
 * only the network between them and this VM may have failed.
 *
 * @param store_failed  whether a recent call of the store failed at this VM
 */
struct wv_peer_role wv_peers_get_role(
    const struct wv_peers *peers, wv_msec now, bool store_failed);

/** Returns the number by which a limit for all VMs is divided for this VM. */
double wv_peers_limit_divisor(const struct wv_peer_role *role);

/**
 * Further divisor of a VM's fraction of a connection cap. Searchers count the
 * connections of a failed VM until they notice the failure, so half of the cap
 * is kept in reserve for a restart of all VMs at once.
 */
#define WV_PEERS_CONNECTION_RESERVE 2.0

/** Returns the number of other VMs that are alive. */
unsigned wv_peers_count_alive(const struct wv_peers *peers, wv_msec now);

/**
 * Returns the datagram address of a live VM with changes after a revision, or
 * an empty string. For revision 0, any serving VM qualifies. The string is
 * borrowed.
 */
struct wv_string wv_peers_find_ahead(const struct wv_peers *peers, wv_msec now,
    enum wv_peer_data state, uint64_t revision);

/**
 * Returns the interval between reports, ms; it grows with the number of VMs.
 */
wv_msec wv_peers_report_interval(const struct wv_peers *peers);

#endif
