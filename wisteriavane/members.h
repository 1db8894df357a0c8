/**
 * @file
 * Membership: which VMs are alive, learned from heartbeats with incarnations
 * and gossiped entries, with the answer of the VM list service as a hint (the
 * VM list). Membership speeds up decisions; correctness depends only on leases
 * and conditional updates.
 */
#ifndef WISTERIAVANE_MEMBERS_H
#define WISTERIAVANE_MEMBERS_H

#include "wisteriavane/rendezvous.h"
#include "wisteriavane/status.h"

/** Time between heartbeats, ms. */
#define WV_HEARTBEAT_INTERVAL 200.0
/**
 * Silence after which a VM is suspected, ms. With more than
 * WV_MAX_HEARTBEAT_FANOUT other VMs, the time in which it must answer a
 * heartbeat.
 */
#define WV_SUSPECT_AFTER 1000.0
/**
 * Silence after which a VM counts as dead, ms. With more than
 * WV_MAX_HEARTBEAT_FANOUT other VMs, see WV_SUSPICION_TIMEOUT.
 */
#define WV_DEAD_AFTER 2000.0

/** State of a VM, as this VM sees it. */
enum wv_member_state {
	WV_MEMBER_JOINING, /**< named by the VM list or by another VM only */
	WV_MEMBER_LIVE, /**< heartbeats are received */
	WV_MEMBER_SUSPECT, /**< silent or not answering, but not dead yet */
	WV_MEMBER_DRAINING, /**< reported that it is stopping */
	WV_MEMBER_DEAD, /**< silent for too long, but still in the roster */
	WV_MEMBER_GONE /**< removed from the roster */
};

/** Entry of one VM. Strings are borrowed from the table. */
struct wv_member {
	struct wv_vm_id id;
	struct wv_string zone;
	struct wv_string peer_address; /**< IP:PORT for messages of VMs */
	struct wv_string caller_address; /**< IP:PORT for callers */
	struct wv_string operator_address; /**< IP:PORT for operators */
	enum wv_member_state state;
	uint64_t heartbeat; /**< count that the VM increments while it runs */
	wv_msec last_seen; /**< when an increase of heartbeat was received */
};

/** Membership table of one VM. */
struct wv_members;

/**
 * Creates the table with this VM in it.
 *
 * @param self  entry of this VM, copied
 * @return the table, to be released with wv_members_destroy()
 */
struct wv_members *wv_members_create(const struct wv_member *self, wv_msec now);

/** Releases the table. NULL is allowed. */
void wv_members_destroy(struct wv_members *members);

/**
 * Applies the VM list, a hint for joining and leaving the roster. A VM that
 * the list no longer names leaves the roster after WV_DEAD_AFTER of silence,
 * and only while this VM receives heartbeats of a majority of its roster.
 *
 * @param list  one entry for each VM on the list, copied
 * @param n     number of entries
 */
void wv_members_apply_vm_list(struct wv_members *members, wv_msec now,
    const struct wv_member *list, size_t n);

/**
 * Applies one entry of a received heartbeat or of an Ack, the answer to one.
 *
 * The entry of an Ack has the identifier and heartbeat of the VM that sent it
 * and is direct. An entry in state WV_MEMBER_SUSPECT reports that the VM did
 * not answer a heartbeat.
 *
 * @param entry   entry, copied; empty zone and addresses leave the known ones
 *                as they are; an unknown VM without addresses is not added
 * @param direct  whether the entry describes its sender
 * @return whether a VM was added, or its state or incarnation changed
 */
bool wv_members_apply_entry(struct wv_members *members, wv_msec now,
    const struct wv_member *entry, bool direct);

/**
 * Updates the states of silent VMs; returns whether any state changed. If a
 * tick is late by WV_SUSPECT_AFTER or more, the delay counts as a pause of
 * this VM, not as silence of the others.
 */
bool wv_members_tick(struct wv_members *members, wv_msec now);

/** Increments this VM's heartbeat count. */
void wv_members_increment_heartbeat(struct wv_members *members, wv_msec now);

/** Sets this VM's state to WV_MEMBER_DRAINING. */
void wv_members_set_draining(struct wv_members *members);

/**
 * Returns all entries, with this VM at index 0, borrowed and valid until the
 * table changes.
 */
const struct wv_member *wv_members_all(
    const struct wv_members *members, size_t *n);

/**
 * Lists the VMs that count for majorities, including this one.
 *
 * @param vms   receives borrowed names and zones, valid until the table
 *              changes
 * @param size  capacity of vms
 * @return the number of VMs that count; no more than size are listed
 */
size_t wv_members_list_roster(
    const struct wv_members *members, struct wv_candidate *vms, size_t size);

/**
 * Returns whether a VM list was received. Until then this VM does not know
 * which VMs count for a majority and must not claim any lane: alone in its
 * roster, it would be a majority itself.
 */
bool wv_members_has_vm_list(const struct wv_members *members);

/** Returns this VM's entry, borrowed and valid until the table changes. */
const struct wv_member *wv_members_self(const struct wv_members *members);

/**
 * Chooses the targets of the next round of heartbeats: all other VMs if there
 * are at most WV_MAX_HEARTBEAT_FANOUT, otherwise VMs that have not answered yet
 * and the next WV_HEARTBEAT_LARGE_FANOUT VMs in rotation. wv_members_tick()
 * must be called before.
 *
 * @param peers  receives indices into wv_members_all()
 * @param size   capacity of peers
 * @return the number chosen
 */
size_t wv_members_choose_targets(
    struct wv_members *members, size_t *peers, size_t size);

/** Maximum number of targets of one round of heartbeats. */
#define WV_MAX_HEARTBEAT_FANOUT 16
/**
 * Number of VMs per round chosen in rotation if there are more than
 * WV_MAX_HEARTBEAT_FANOUT other VMs. Silence alone then does not indicate a
 * failure. A VM is suspected if it does not answer a heartbeat within
 * WV_SUSPECT_AFTER; the suspicion spreads with the entries and ends when the
 * VM's heartbeat count rises above the suspected one.
 */
#define WV_HEARTBEAT_LARGE_FANOUT 2
/**
 * Time after which a suspected VM counts as dead if there are more than
 * WV_MAX_HEARTBEAT_FANOUT other VMs, ms.
 */
#define WV_SUSPICION_TIMEOUT 3000.0
/** Maximum number of entries about other VMs in one heartbeat. */
#define WV_MAX_HEARTBEAT_ENTRIES 24
/** Number of these entries chosen in rotation, updated or not. */
#define WV_HEARTBEAT_ROTATING_ENTRIES 6

/**
 * Chooses the entries about other VMs for the next round of heartbeats, the
 * same for all its targets: first recently updated ones, then others in
 * rotation. The caller must mark the entry of a suspected VM as suspect.
 *
 * @param entries  receives indices into wv_members_all()
 * @param full     receives whether to send zone and addresses too; without
 *                 them an entry has only name, incarnation and heartbeat
 * @param size     capacity of entries and full
 * @return the number chosen, at most WV_MAX_HEARTBEAT_ENTRIES
 */
size_t wv_members_choose_entries(
    struct wv_members *members, size_t *entries, bool *full, size_t size);

#endif
