/**
 * @file
 * Rate, burst and concurrency limits of customers on one lane. A lane is a
 * fixed part of each searcher's slots and connections of a back end, leased by
 * one VM.
 */
#ifndef WISTERIAVANE_LIMITS_H
#define WISTERIAVANE_LIMITS_H

#include "wisteriavane/contract.h"

struct wv_limits;

/**
 * Creates the limits of a lane.
 *
 * @param lanes  number of lanes that each limit is divided by, at least 1
 */
struct wv_limits *wv_limits_create(uint32_t lanes);

/**
 * Sets the index of the lane, from 0. The remainder of a concurrency divided by
 * the number of lanes goes to the first lanes. Without this call the lane gets
 * none of it, so that the sum never exceeds the contract.
 */
void wv_limits_set_lane(struct wv_limits *limits, uint32_t lane);

/** Frees the limits. NULL is allowed. */
void wv_limits_destroy(struct wv_limits *limits);

/**
 * Checks a request against the limits of its customer without charging it.
 *
 * @return WV_OK, WV_RATE_LIMIT or WV_CONCURRENCY_LIMIT; the message of status
 *         names the clause of the contract and its value
 */
enum wv_code wv_limits_check(struct wv_limits *limits, wv_msec now,
    struct wv_string customer, enum wv_rank rank,
    const struct wv_rank_terms *terms, struct wv_status *status);

/**
 * Checks and, on WV_OK, charges one request. In any second at most the rate is
 * admitted, rounded up to a whole request, and at any instant at most the
 * burst.
 */
enum wv_code wv_limits_charge(struct wv_limits *limits, wv_msec now,
    struct wv_string customer, enum wv_rank rank,
    const struct wv_rank_terms *terms, struct wv_status *status);

/** Ends one charged request, so that it no longer counts as concurrent. */
void wv_limits_finish(
    struct wv_limits *limits, struct wv_string customer, enum wv_rank rank);

/**
 * Resets all customers to empty token buckets. A new holder of the lane does
 * not know what the previous holder admitted, so it admits no burst at first.
 */
void wv_limits_reset_for_takeover(struct wv_limits *limits, wv_msec now);

#endif
