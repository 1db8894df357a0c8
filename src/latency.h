/**
 * @file
 * Distribution of the recent latencies of a service.
 */
#ifndef WISTERIAVANE_SRC_LATENCY_H
#define WISTERIAVANE_SRC_LATENCY_H

#include "wisteriavane/types.h"

/** Number of buckets; each bound is 10/9 of the one before, 0.05 ms to 36 s. */
#define LATENCY_BUCKETS 128

/** Logarithmic histogram with decaying samples. Zero-initialize it. */
struct latency {
	float buckets[LATENCY_BUCKETS]; /**< weight of the samples */
	double total; /**< sum of all buckets */
	uint64_t samples; /**< number of samples added so far */
	wv_msec at; /**< when the last sample was added */
	wv_msec mean; /**< moving mean, ms; 0 without samples */
	wv_msec median; /**< cached median, ms */
	wv_msec high; /**< cached 98th percentile, ms */
};

/** Time without samples that halves the weight of old ones, ms. */
#define LATENCY_HALF_LIFE 1000.0

/** Adds a sample, ms; earlier ones decay with the time since the last one. */
void wv_latency_add(struct latency *latency, wv_msec now, wv_msec elapsed);

/** Returns the mean, halved for each LATENCY_HALF_LIFE without samples, ms. */
wv_msec wv_latency_decayed_mean(const struct latency *latency, wv_msec now);

/**
 * Returns the latency that nearly all requests stay below, ms: the high
 * quantile, or the mean while there are few samples; 0 without samples.
 */
wv_msec wv_latency_upper(const struct latency *latency);

#endif
