/**
 * @file
 * Counters and latency histograms, in the text format that monitoring tools
 * scrape.
 */
#ifndef WISTERIAVANE_ENTRY_METRICS_H
#define WISTERIAVANE_ENTRY_METRICS_H

#include <glib.h>

#include "wisteriavane/counters.h"

/** Every counter: field, which is its name in the text too. */
#define METRICS_LIST(X)                                           \
	X(requests) /* that matched a route */                    \
	X(answers_full) /* every part, or a searcher's answer */  \
	X(answers_thin) /* answers with parts left out */         \
	X(parts_left_out)                                         \
	X(refused_not_run) /* 503: did not run */                 \
	X(failed) /* 502: may have run */                         \
	X(expired) /* 504: may have run */                        \
	X(no_route) /* 404 */                                     \
	X(malformed) /* 400, 408, 413, 431 */                     \
	X(callers_left) /* before their answer */                 \
	X(attempts)                                               \
	X(attempts_extra) /* hedges and retries */                \
	X(attempts_rejected)                                      \
	X(attempts_broken)                                        \
	X(attempts_failed)                                        \
	X(attempts_not_sent)                                      \
	X(attempts_wrong_searcher)                                \
	X(stale_answers) /* answers to other requests, dropped */ \
	X(connections_opened) /* to searchers */                  \
	X(store_calls)                                            \
	X(store_failures)                                         \
	X(objects_unreadable)                                     \
	X(routes_changes)                                         \
	X(address_answers)                                        \
	X(reports_sent)                                           \
	X(reports_unsent)                                         \
	X(reports_received)                                       \
	X(reports_refused)

/** Buckets of a histogram; bounds double from 1 ms. */
#define METRICS_BUCKETS 15

/** Counts of latencies. */
struct metrics_histogram {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t count;
	double sum; /**< ms */
};

/** All metrics of a process. Zero-initialize, then metrics_init(). */
struct metrics {
#define METRICS_FIELD(name) struct wv_counter name;
	METRICS_LIST(METRICS_FIELD)
#undef METRICS_FIELD
	struct metrics_histogram request_ms; /**< requests with an answer */
	struct metrics_histogram attempt_ms; /**< attempts with an answer */
};

/** Names the counters. */
void metrics_init(struct metrics *metrics);

/** Adds one latency, ms. */
void metrics_add(struct metrics_histogram *histogram, double value);

/**
 * Returns all metrics as text; the caller owns it.
 *
 * @param left_out  log lines that were left out
 */
GString *metrics_text(const struct metrics *metrics, uint64_t left_out);

#endif
