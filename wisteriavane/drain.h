/**
 * @file
 * Draining: the stages of a planned stop, during which no request in progress
 * is aborted and no request sent to a valid address is refused.
 */
#ifndef WISTERIAVANE_DRAIN_H
#define WISTERIAVANE_DRAIN_H

#include "wisteriavane/types.h"

/** Stages of a planned stop, in order. */
enum wv_drain_stage {
	WV_DRAIN_SERVING, /**< normal operation */
	WV_DRAIN_WITHDRAWN, /**< address withdrawn, requests still accepted */
	WV_DRAIN_REFUSING, /**< new requests are refused as not run */
	WV_DRAIN_RELEASING, /**< idle, until the last leases are released */
	WV_DRAIN_STOPPED /**< the process may exit */
};

struct wv_drain;

/**
 * Creates a drain in the stage WV_DRAIN_SERVING.
 *
 * @param address_lifetime  maximum time for which callers keep an address, ms
 * @param spread_time       time until all peers know of the withdrawal, ms
 */
struct wv_drain *wv_drain_create(wv_msec address_lifetime, wv_msec spread_time);

/** Destroys a drain. */
void wv_drain_destroy(struct wv_drain *drain);

/** Starts draining. Further calls have no effect. */
void wv_drain_begin(struct wv_drain *drain, wv_msec now);

/**
 * Advances the stage if its conditions are met. Call it periodically.
 *
 * New requests are refused once the spread time and then the address lifetime
 * have passed and no lease is left. Leases without a successor delay this by
 * at most another address lifetime.
 *
 * @param now          monotonic time, ms
 * @param in_progress  number of requests in progress on this VM
 * @param leases       number of lanes that this VM still holds
 * @return the current stage
 */
enum wv_drain_stage wv_drain_advance(
    struct wv_drain *drain, wv_msec now, size_t in_progress, size_t leases);

/** Returns the current stage. */
enum wv_drain_stage wv_drain_stage(const struct wv_drain *drain);

/** Returns whether this VM's address may be given to callers. */
bool wv_drain_is_advertised(const struct wv_drain *drain);

/** Returns whether new requests are accepted. */
bool wv_drain_is_accepting(const struct wv_drain *drain);

/**
 * Returns whether this VM may claim lanes and keep its leases. After the
 * withdrawal it hands its leases over, but still accepts requests and forwards
 * them to the new holders.
 */
bool wv_drain_may_hold_leases(const struct wv_drain *drain);

#endif
