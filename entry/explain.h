/**
 * @file
 * Explains to operators what this VM would do with a request now.
 */
#ifndef WISTERIAVANE_ENTRY_EXPLAIN_H
#define WISTERIAVANE_ENTRY_EXPLAIN_H

#include "entry/entry.h"

/** Path of the explanation on the server of the metrics. */
#define EXPLAIN_PATH "/explain"

/** Returns whether a target asks for an explanation. */
bool explain_is_query(struct wv_string target);

/**
 * Explains a request. Sends nothing and changes nothing. The query has the
 * fields `host` and `path`, and may have `method`, `team` (its name) and
 * `deadline_ms`. Its values are not part of the answer, since a caller's key
 * could be among them.
 *
 * @param target  for which explain_is_query() is true
 * @param body    set to a JSON object, owned by the caller
 * @return the status of the answer: 200, or 400 for a query that is not valid
 */
unsigned explain_answer(
    struct entry *entry, struct wv_string target, struct wv_string *body);

#endif
