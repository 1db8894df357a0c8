/**
 * @file
 * What this VM believes of the searchers, for operators.
 */
#ifndef WISTERIAVANE_ENTRY_SEARCHER_STATES_H
#define WISTERIAVANE_ENTRY_SEARCHER_STATES_H

#include "wisteriavane/registry.h"

/** Path of the list on the server of the metrics. */
#define SEARCHER_STATES_PATH "/searchers"

/** Returns the name of a searcher's state, such as "resting". */
const char *searcher_state_name(
    const struct wv_searcher *searcher, wv_msec now);

/** Appends the number of searchers in each state in the metrics' format. */
void searcher_states_append_metrics(
    GString *text, const struct wv_registry *registry, wv_msec now);

/**
 * Returns the searchers that are not ready, one JSON object per line, at most
 * 1,000; the caller owns the text.
 */
GString *searcher_states_list(const struct wv_registry *registry, wv_msec now);

#endif
