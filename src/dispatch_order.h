/**
 * @file
 * Order of the work that waits: shard requests without a connection, deferred
 * requests, and what is refused.
 *
 * Work is ordered by rank, then by whether the latency objective can still be
 * met with the time that the work needs, then by a virtual start time (start
 * time fair queueing): each flow, that is a team and a route, is charged with
 * the work of its requests, shards times the expected time of the route. So
 * flows get equal parts of the work, which cheap requests use for more results,
 * and no flow starves. If requests of a rank wait and none is started for the
 * timeout of the route, one of them is promoted to the most urgent rank.
 *
 * Only requests that wait are charged, so nothing is done for those that find a
 * free connection.
 */
#ifndef WISTERIAVANE_SRC_DISPATCH_ORDER_H
#define WISTERIAVANE_SRC_DISPATCH_ORDER_H

#include "wisteriavane/dispatch.h"

struct dispatch_order;

/** Creates an order without flows. */
struct dispatch_order *dispatch_order_create(void);

/** Frees the order; no task may be in it. */
void dispatch_order_destroy(struct dispatch_order *order);

/** Chooses the way of ordering; no task may be in the order. */
void dispatch_order_set(struct dispatch_order *order, enum wv_order way);

/**
 * Adds a task that has to wait: gives it its place and charges its flow. Does
 * nothing if it was added before.
 *
 * @param median  expected time of one shard request of the route, ms
 */
void dispatch_order_add(struct dispatch_order *order, wv_msec now,
    struct wv_task *task, wv_msec median);

/**
 * Gives a task its place like dispatch_order_add(), but neither charges its
 * flow nor promotes it: for a task that is only explained.
 */
void dispatch_order_preview(
    const struct dispatch_order *order, struct wv_task *task, wv_msec median);

/** Returns whether the place of a task is only a preview. */
bool dispatch_order_is_preview(const struct wv_task *task);

/** Records that the first shard request of a task is sent. */
void dispatch_order_start(struct dispatch_order *order, struct wv_task *task);

/** Removes a task that ends; uncharges its flow if it was not started. */
void dispatch_order_remove(struct dispatch_order *order, struct wv_task *task);

/**
 * Compares two tasks that were added; the one that goes first is less.
 *
 * @param first_late  whether the first one can't meet its objective
 */
int dispatch_order_compare(const struct dispatch_order *order,
    const struct wv_task *first, bool first_late, const struct wv_task *second,
    bool second_late);

/** Returns whether a task that needs so long can't meet its objective. */
bool dispatch_order_is_late(
    const struct wv_task *task, wv_msec now, wv_msec need);

/**
 * Records whether a request was started or refused because it waited too long,
 * for the refusal rate of its team on the route. Requests without a team are
 * counted by route (dispatch_record_admission()).
 */
void dispatch_order_record(
    struct dispatch_order *order, const struct wv_task *task, bool admitted);

/** Returns the fraction of recent requests of the team that were refused. */
double dispatch_order_refusal_rate(
    const struct dispatch_order *order, const struct wv_task *task);

#endif
