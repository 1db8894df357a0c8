/**
 * @file
 * Hints about searchers that are leaving: what a VM tells others of the answers
 * that it got, and what it hears from them.
 */
#ifndef WISTERIAVANE_SRC_LEAVING_HINTS_H
#define WISTERIAVANE_SRC_LEAVING_HINTS_H

#include "wisteriavane/registry.h"

struct leaving_hints;

/** Creates an empty set. */
struct leaving_hints *leaving_hints_create(void);

void leaving_hints_destroy(struct leaving_hints *hints);

/**
 * Adds a searcher, unless there is a hint about it that has not faded.
 *
 * @param age  time since the searcher said that it is leaving, ms
 * @return whether it was added
 */
bool leaving_hints_add(struct leaving_hints *hints, wv_msec now,
    struct wv_searcher *searcher, wv_msec age);

/** Removes a searcher that is about to be freed. */
void leaving_hints_remove(
    struct leaving_hints *hints, struct wv_searcher *searcher);

/** See wv_registry_list_hints(). */
size_t leaving_hints_list(struct leaving_hints *hints, wv_msec now,
    struct wv_leaving_hint *list, size_t max);

#endif
