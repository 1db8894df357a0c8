/**
 * @file
 * Counters and latency histograms, and their Prometheus text format.
 */
#ifndef WISTERIAVANE_ENTRY_METRICS_H
#define WISTERIAVANE_ENTRY_METRICS_H

#include <glib.h>

#include "wisteriavane/counters.h"

/** All counters; the field's name is part of the counter's name in the text. */
#define METRICS_LIST(X)                                      \
	X(requests) /* that matched a route */               \
	X(answers_full) /* all parts, or a relayed answer */ \
	X(answers_thin) /* partial: with parts left out */   \
	X(parts_left_out)                                    \
	X(refused_not_run) /* 503: has not run */            \
	X(refused_quota) /* 429: has not run */              \
	X(quota_loans) /* by team, hub and round */          \
	X(quota_asks) /* questions to homes of teams */      \
	X(quota_asks_unanswered)                             \
	X(quota_granted) /* requests, to other VMs */        \
	X(failed) /* 502: may have run */                    \
	X(expired) /* 504: may have run */                   \
	X(no_route) /* 404 */                                \
	X(unauthorized) /* 401: no key that a team has */    \
	X(malformed) /* 400, 408, 413, 431 */                \
	X(callers_left) /* before they were answered */      \
	X(attempts)                                          \
	X(attempts_extra) /* hedges and retries */           \
	X(attempts_rejected)                                 \
	X(attempts_broken)                                   \
	X(attempts_failed)                                   \
	X(attempts_not_sent)                                 \
	X(attempts_wrong_searcher)                           \
	X(searchers_leaving) /* by their own answers */      \
	X(searchers_hinted) /* leaving, by other VMs */      \
	X(loads_reported) /* by searchers, in answers */     \
	X(loads_malformed) /* of these; ignored */           \
	X(searchers_cold) /* by their own answers */         \
	X(attempts_cold) /* at cold searchers */             \
	X(refused_cold) /* of refused_not_run */             \
	X(searchers_resting) /* 503 with Retry-After */      \
	X(stale_answers) /* to other requests; dropped */    \
	X(connections_opened) /* to searchers */             \
	X(connections_yielded) /* closed for new ones */     \
	X(accepts_failed) /* no descriptor or memory */      \
	X(outgoing_yielded) /* idle ones to searchers */     \
	X(outgoing_refused) /* attempts, for want of one */  \
	X(answers_cut) /* unread, buffers were full */       \
	X(store_calls)                                       \
	X(store_calls_repeated)                              \
	X(store_eras)                                        \
	X(store_failures)                                    \
	X(objects_unreadable)                                \
	X(evacuations_begun) /* zones */                     \
	X(evacuations_ended)                                 \
	X(evacuations_unknown) /* served without the list */ \
	X(refused_evacuated) /* of refused_not_run */        \
	X(vm_entries_removed) /* of VMs that are gone */     \
	X(routes_changes)                                    \
	X(address_answers)                                   \
	X(reports_sent)                                      \
	X(reports_unsent)                                    \
	X(reports_received)                                  \
	X(reports_refused)

/**
 * Buckets of a histogram. The upper bounds double from 1 ms; the last bucket
 * has none.
 */
#define METRICS_BUCKETS 15

/** Histogram of latencies. */
struct metrics_histogram {
	uint64_t buckets[METRICS_BUCKETS];
	uint64_t count;
	double sum; /**< ms */
};

/** All metrics of a process. Zero-initialize, then call metrics_init(). */
struct metrics {
#define METRICS_FIELD(name) struct wv_counter name;
	METRICS_LIST(METRICS_FIELD)
#undef METRICS_FIELD
	struct metrics_histogram request_ms; /**< from arrival to answer */
	struct metrics_histogram attempt_ms; /**< from sending to answer */
};

/** Sets the names of the counters. */
void metrics_init(struct metrics *metrics);

/** Adds a latency, ms, to a histogram. */
void metrics_add_latency(struct metrics_histogram *histogram, double value);

/**
 * Returns all metrics in the text format; the caller owns it.
 *
 * @param left_out  number of log lines that were dropped
 */
GString *metrics_text(const struct metrics *metrics, uint64_t left_out);

#endif
