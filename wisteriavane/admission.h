/**
 * @file
 * Admission queues of one service: shard requests that wait for a slot, with
 * one queue per rank ordered by deadline.
 */
#ifndef WISTERIAVANE_ADMISSION_H
#define WISTERIAVANE_ADMISSION_H

#include "wisteriavane/types.h"

/** Queue entry; embed it as the first member of a larger struct. Borrowed. */
struct wv_waiter {
	wv_msec deadline; /**< absolute, ms; order within the rank */
	uint64_t sequence; /**< order of arrival, breaks ties; internal */
	size_t position; /**< index in the queue's heap; internal */
	enum wv_rank rank;
	bool late; /**< skipped, since too little time is left; internal */
	bool queued; /**< whether it is in a queue */
};

struct wv_admission;

/** Creates empty queues. */
struct wv_admission *wv_admission_create(void);

/** Frees the queues; waiters belong to the caller. NULL is allowed. */
void wv_admission_destroy(struct wv_admission *admission);

/**
 * Sets the guaranteed fraction of the slot time of each rank, 0 to 1; their sum
 * is at most 1.
 */
void wv_admission_set_shares(
    struct wv_admission *admission, const double shares[WV_RANK_COUNT]);

/** Adds a waiter to the queue of its rank. */
void wv_admission_push(
    struct wv_admission *admission, struct wv_waiter *waiter);

/** Removes a waiter from its queue; does nothing if it is in none. */
void wv_admission_remove(
    struct wv_admission *admission, struct wv_waiter *waiter);

/**
 * Removes and returns the waiter that gets the next free slot, or NULL.
 *
 * While most slots are busy, the rank that is furthest below its share goes
 * first. Otherwise the most urgent waiting rank does. Late waiters come last.
 *
 * @param free_slots   free slots of the service, including the one to assign
 * @param total_slots  all slots of the service
 */
struct wv_waiter *wv_admission_pop(struct wv_admission *admission, wv_msec now,
    uint32_t free_slots, uint32_t total_slots);

/** Records the slot time of a finished request, ms. */
void wv_admission_record_usage(struct wv_admission *admission, wv_msec now,
    enum wv_rank rank, wv_msec slot_time);

/** Returns the number of waiters of a rank, including late ones. */
size_t wv_admission_count_waiting(
    const struct wv_admission *admission, enum wv_rank rank);

/**
 * Predicts how long a new waiter would wait for a slot.
 *
 * @param service_time  mean slot time of one request, ms
 * @param slots         usable slots of the service
 * @return the expected wait, ms
 */
wv_msec wv_admission_expected_wait(const struct wv_admission *admission,
    enum wv_rank rank, wv_msec deadline, wv_msec service_time, uint32_t slots);

#endif
