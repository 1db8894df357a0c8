/**
 * @file
 * Connections to searchers.
 */
#ifndef WISTERIAVANE_ENTRY_UPSTREAM_H
#define WISTERIAVANE_ENTRY_UPSTREAM_H

#include "entry/entry.h"

/** A caller's request in the form that is sent to searchers. */
struct upstream_request {
	GString *head; /**< request line and fields, without the last line */
	const GString *body; /**< borrowed */
	struct wv_string id; /**< borrowed: the caller's identifier */
	bool is_head; /**< the answer has no body */
};

/** Sends an attempt over an idle or a new connection. */
void upstream_send(struct entry *entry, struct wv_attempt *attempt,
    const struct upstream_request *request);

/** Closes the connection of an attempt. */
void upstream_cancel(struct wv_attempt *attempt);

/** Closes all idle connections of a searcher. */
void upstream_release(struct wv_searcher *searcher);

#endif
