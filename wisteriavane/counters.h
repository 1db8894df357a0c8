/**
 * @file
 * Named event counters. Adding is atomic and allowed in any thread; counters
 * are registered before threads start.
 */
#ifndef WISTERIAVANE_COUNTERS_H
#define WISTERIAVANE_COUNTERS_H

#include <stdatomic.h>

#include "wisteriavane/types.h"

/** One counter. The name is a static string. */
struct wv_counter {
	const char *name;
	atomic_uint_fast64_t value;
};

/** Called for each counter, for dumps. */
typedef void (*wv_counter_visitor)(
    void *data, const char *name, uint64_t value);

/** Adds n to a counter. */
static inline void
wv_counter_add(struct wv_counter *counter, uint64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

/** Returns the value of a counter. */
static inline uint64_t
wv_counter_read(const struct wv_counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

#endif
