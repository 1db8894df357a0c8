/**
 * @file
 * Exclusive leases of lanes, granted by a majority of the VMs. A lane is a
 * fixed part of each searcher's slots and connections of a back end.
 *
 * A holder counts its lease from the time at which it sent the granted
 * heartbeat; a granter counts its grant from the time of receipt. So a
 * holder's lease expires before any granter may grant the lane to another VM,
 * whatever the network does, provided that all clocks run at nearly the same
 * rate.
 */
#ifndef WISTERIAVANE_LEASE_H
#define WISTERIAVANE_LEASE_H

#include "wisteriavane/status.h"

/** Duration of a lease, counted by its holder, ms. */
#define WV_LEASE_TIME 1000.0
/** Time by which a grant outlasts the lease at the granter, ms. */
#define WV_LEASE_MARGIN 200.0

/** The grants that one VM has given: at most one holder for each lane. */
struct wv_granter;

/**
 * Creates a granter. It refuses every claim until WV_LEASE_TIME and
 * WV_LEASE_MARGIN have passed, since the VM may have granted lanes before a
 * restart.
 *
 * @return the granter, to be released with wv_granter_destroy()
 */
struct wv_granter *wv_granter_create(wv_msec now);

/** Releases a granter. NULL is allowed. */
void wv_granter_destroy(struct wv_granter *granter);

/**
 * Records the sequence number of a heartbeat and checks its order. The claims
 * and releases of a heartbeat that arrives after a later one of the same VM
 * must be ignored: its release would remove a grant that was renewed since.
 *
 * @param sender    the VM, with the incarnation of its process
 * @param sequence  sequence number of the heartbeat in that process
 * @return whether the claims and releases of this heartbeat may be applied
 */
bool wv_granter_accept_heartbeat(
    struct wv_granter *granter, struct wv_vm_id sender, uint64_t sequence);

/**
 * Grants or renews a claim to a lane, unless another process holds a grant of
 * it that has not expired.
 *
 * @param lane    name of the lane, such as "race-eve/0"
 * @param holder  the claimant, with the incarnation of its process
 * @return whether the lane is now granted to the claimant
 */
bool wv_granter_claim(struct wv_granter *granter, wv_msec now,
    struct wv_string lane, struct wv_vm_id holder);

/** Removes a grant that its holder has released; ignores other claimants. */
void wv_granter_release(
    struct wv_granter *granter, struct wv_string lane, struct wv_vm_id holder);

/** A VM's own claim to one lane, with the grants received for it. */
struct wv_lease;

/**
 * Creates a claim without grants.
 *
 * @param lane  name of the lane, copied
 * @return the claim, to be released with wv_lease_destroy()
 */
struct wv_lease *wv_lease_create(struct wv_string lane);

/** Frees a claim. NULL is allowed. */
void wv_lease_destroy(struct wv_lease *lease);

/** Returns the lane's name, borrowed from the claim. */
struct wv_string wv_lease_lane(const struct wv_lease *lease);

/**
 * Records a received grant.
 *
 * @param voter    the granting VM
 * @param sent_at  when the granted heartbeat was sent, on the holder's clock
 */
void wv_lease_add_grant(
    struct wv_lease *lease, struct wv_vm_id voter, wv_msec sent_at);

/**
 * Removes all grants, after the lane was released or the claim abandoned.
 * Grants of heartbeats sent up to now are ignored from now on too: they may
 * arrive after the release took effect.
 */
void wv_lease_reset(struct wv_lease *lease, wv_msec now);

/**
 * Returns the time at which the lease expires by the grants of a majority, or
 * -WV_MSEC_NEVER if there are fewer grants than a majority.
 *
 * @param roster    names of the granters, without duplicates
 * @param n_roster  number of granters, of which a majority is needed
 */
wv_msec wv_lease_expiry(const struct wv_lease *lease,
    const struct wv_string *roster, size_t n_roster);

#endif
