/**
 * @file
 * Sends attempts to searchers over pooled connections.
 */
#ifndef WISTERIAVANE_ENTRY_UPSTREAM_H
#define WISTERIAVANE_ENTRY_UPSTREAM_H

#include "entry/entry.h"

/** A caller's request as it is sent to searchers. */
struct upstream_request {
	GString *head; /**< request line and fields, without the fields of an
			  attempt and the empty line */
	const GString *body; /**< borrowed */
	struct wv_string id; /**< borrowed: the caller's identifier */
	bool is_head; /**< HEAD: the answer has no body */
};

/** Creates the connections of a VM to its searchers: none yet. */
struct upstream *upstream_create(struct entry *entry);

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
void upstream_send(struct entry *entry, struct wv_attempt *attempt,
    const struct upstream_request *request);

/** Cancels an attempt by closing its connection. */
void upstream_cancel(struct wv_attempt *attempt);

/** Closes all idle connections of a searcher. */
void upstream_close_idle(struct wv_searcher *searcher);

#endif
