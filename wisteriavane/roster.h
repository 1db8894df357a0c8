/**
 * @file
 * The roster: the VMs that count for majorities, and the transition from one
 * roster to the next.
 *
 * VMs learn of a change at different times. A majority of the old roster and
 * one of the new roster need not share a VM. So a lease needs a majority in
 * each previous roster as well as in the current one, until enough VMs of the
 * previous roster have reported the digest of the current one and
 * WV_ROSTER_TRANSITION_TIME has passed since then. A VM whose roster was
 * replaced refuses claims under the old one after WV_ROSTER_GRACE_TIME.
 *
 * The protocol makes two assumptions. A VM that was removed from the roster
 * has stopped or been silent for longer than a lease. VMs that start without
 * a history, under a new name or after a restart, are not a majority of the
 * granters on one side of a network partition while the other side has not
 * received heartbeats of them.
 */
#ifndef WISTERIAVANE_ROSTER_H
#define WISTERIAVANE_ROSTER_H

#include "wisteriavane/lease.h"
#include "wisteriavane/rendezvous.h"

/**
 * Maximum number of VMs that grant one lane. A larger roster chooses the first
 * ones in the lane's rendezvous order, spread evenly over the zones, so that a
 * majority remains if one of three zones is lost.
 */
#define WV_MAX_GRANTERS 9
/** Time for which claims under a replaced roster are still granted, ms. */
#define WV_ROSTER_GRACE_TIME (WV_LEASE_TIME + WV_LEASE_MARGIN)
/**
 * Time for which a previous roster still counts after no majority of it can
 * use it any more, ms. The last grant under it is given within
 * WV_ROSTER_GRACE_TIME and lasts for WV_LEASE_TIME and WV_LEASE_MARGIN.
 */
#define WV_ROSTER_TRANSITION_TIME \
	(WV_ROSTER_GRACE_TIME + WV_LEASE_TIME + WV_LEASE_MARGIN)

/** The current roster of one VM and the previous ones in transition. */
struct wv_roster;

/**
 * Creates a roster that contains this VM only. Until the first update after
 * WV_ROSTER_GRACE_TIME this VM has no lease, so a change needs no transition
 * and keeps no previous roster.
 *
 * @param self  name of this VM, copied
 * @return the roster, to be released with wv_roster_destroy()
 */
struct wv_roster *wv_roster_create(struct wv_string self, wv_msec now);

/** Releases a roster. NULL is allowed. */
void wv_roster_destroy(struct wv_roster *roster);

/**
 * Replaces the current roster if the VMs or their zones differ, and retires
 * previous rosters whose transition is over. Must be called on every tick.
 *
 * @param vms  all VMs that count, with this one and without duplicates, such
 *             as from wv_members_list_roster(); copied
 * @param n    number of VMs
 */
void wv_roster_update(struct wv_roster *roster, wv_msec now,
    const struct wv_candidate *vms, size_t n);

/** Returns the digest of the names and zones of the current roster. */
uint64_t wv_roster_digest(const struct wv_roster *roster);

/** Returns the number of previous rosters that still count. */
size_t wv_roster_count_previous(const struct wv_roster *roster);

/**
 * Records the roster digest that a VM reported in its latest heartbeat. VMs
 * outside the current roster are ignored.
 */
void wv_roster_set_reported_digest(
    struct wv_roster *roster, struct wv_string vm, uint64_t digest);

/**
 * Returns whether a claim may be granted: the claimant belongs to the current
 * and to every previous roster of this VM, and it does not claim under a
 * roster that this VM replaced WV_ROSTER_GRACE_TIME ago or earlier. Must be
 * called before wv_granter_claim(), also for this VM's own claims.
 *
 * @param claimant  name of the claiming VM
 * @param digest    the claimant's roster digest
 */
bool wv_roster_may_grant(const struct wv_roster *roster, wv_msec now,
    struct wv_string claimant, uint64_t digest);

/**
 * Returns the time at which this VM's lease expires: the earliest of the
 * expiries by a majority of the lane's granters in the current roster and in
 * every previous one. Returns -WV_MSEC_NEVER if a majority is missing in any
 * of them, or before the first update after WV_ROSTER_GRACE_TIME.
 */
wv_msec wv_roster_lease_expiry(
    const struct wv_roster *roster, const struct wv_lease *lease);

/**
 * Lists the VMs to which a claim to a lane must be sent: its granters in the
 * current and in every previous roster.
 *
 * @param names  receives borrowed names, valid until the roster changes
 * @param size   capacity of names; WV_MAX_GRANTERS for each roster that counts
 * @return the number of names, without duplicates
 */
size_t wv_roster_granters(const struct wv_roster *roster, struct wv_string lane,
    struct wv_string *names, size_t size);

#endif
