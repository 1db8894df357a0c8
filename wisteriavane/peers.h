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
	uint64_t routes_version; /**< in force there */
};

/** Creates an empty table for the VM with this name. */
struct wv_peers *wv_peers_create(struct wv_string own_name);

/** Releases it. */
void wv_peers_destroy(struct wv_peers *peers);

/** Learns where a VM may be reached, for instance from the store. */
void wv_peers_introduce(struct wv_peers *peers, wv_msec now,
    struct wv_string name, struct wv_string address);

/** Takes a report; older ones of the same VM are ignored. */
void wv_peers_heard(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report);

/** Adds the callers' addresses of VMs that are alive and serve. Borrowed. */
void wv_peers_addresses(
    const struct wv_peers *peers, wv_msec now, GPtrArray *addresses);

/** Adds the addresses that reports are sent to. Borrowed. */
void wv_peers_targets(struct wv_peers *peers, wv_msec now, GPtrArray *targets);

/**
 * Returns how many other VMs may use their part of what is divided between
 * all: also those that have been silent for a while.
 */
unsigned wv_peers_count(const struct wv_peers *peers);

/** Returns how many other VMs are alive. */
unsigned wv_peers_alive(const struct wv_peers *peers, wv_msec now);

/** Returns the newest version of the routes that a peer has in force. */
uint64_t wv_peers_routes_version(const struct wv_peers *peers);

#endif
