/**
 * @file
 * Sends attempts to searchers over pooled connections.
 */
#ifndef WISTERIAVANE_ENTRY_UPSTREAM_H
#define WISTERIAVANE_ENTRY_UPSTREAM_H

#include <event2/event.h>

#include "entry/client.h"
#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/platform_adapter.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/dispatch.h"

struct upstream;

/** A caller's request as it is sent to searchers. */
struct upstream_request {
	GString *head; /**< request line and fields, without the fields of an
			  attempt and the empty line */
	const GString *body; /**< borrowed */
	struct wv_string id; /**< borrowed: the caller's identifier */
	bool is_head; /**< HEAD: the answer has no body */
};

/** Operations that the connections to searchers call. */
struct upstream_ops {
	/**
	 * The dispatcher has handled the end of an attempt, so the time of its
	 * next tick may have changed.
	 */
	void (*replied)(void *data);
};

/** What the connections to searchers use. All pointers are borrowed. */
struct upstream_deps {
	struct event_base *base;
	struct wv_clock *clock;
	const struct platform_adapter *adapter;
	struct log *log;
	struct metrics *metrics;
	struct client_memory *memory; /**< of searchers' answers */
	struct wv_dispatch *dispatch; /**< is told how attempts end */
};

/**
 * Creates the connections of a VM to its searchers: none yet.
 *
 * @param deps  copied; what it points to must outlive the connections
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct upstream *upstream_create(const struct upstream_deps *deps,
    const struct upstream_ops *ops, void *data);

/** Releases them; all attempts and idle connections must have ended. */
void upstream_destroy(struct upstream *upstream);

/**
 * Sets how many connections to searchers are kept. When there are as many, the
 * one that has been idle longest is closed for a new one.
 */
void upstream_set_max_conns(struct upstream *upstream, size_t max_conns);

/**
 * Sends an attempt over an idle or a new connection. Its outcome is passed to
 * wv_dispatch_reply(), later from the event loop: WV_END_NOT_SENT if there is
 * no connection or descriptor left.
 */
void upstream_send(struct upstream *upstream, struct wv_attempt *attempt,
    const struct upstream_request *request);

/** Cancels an attempt by closing its connection. */
void upstream_cancel(struct wv_attempt *attempt);

/** Closes all idle connections of a searcher. */
void upstream_close_idle(struct wv_searcher *searcher);

#endif
