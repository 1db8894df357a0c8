/**
 * @file
 * What incarnations of searchers have said of themselves in their answers. It
 * is kept when their entries in the store disappear, as these may come back.
 */
#ifndef WISTERIAVANE_SRC_STATEMENTS_H
#define WISTERIAVANE_SRC_STATEMENTS_H

#include <glib.h>

#include "wisteriavane/types.h"

struct statements;

/** What an incarnation of a searcher has said of itself. */
struct statement {
	uint64_t started; /**< start of the incarnation, Unix time, ms */
	bool leaving; /**< it takes no further requests */
	wv_msec rests_until; /**< it wants no requests before, monotonic, ms */
	wv_msec cold_until; /**< it is cold until then, monotonic, ms; 0: it
			       has not said so */
	wv_msec said_at; /**< monotonic, ms */
};

/** Creates an empty table. */
struct statements *statements_create(void);

void statements_destroy(struct statements *statements);

/**
 * Returns what an incarnation has said, or NULL if it has said nothing.
 * Borrowed until the next call of statements_add().
 */
const struct statement *statements_find(
    const struct statements *statements, struct wv_string id, uint64_t started);

/**
 * Returns what an incarnation has said, to be changed. Replaces an earlier
 * incarnation's, and discards what is too old to matter. Borrowed until the
 * next call.
 */
struct statement *statements_add(struct statements *statements, wv_msec now,
    struct wv_string id, uint64_t started);

#endif
