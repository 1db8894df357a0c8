/**
 * @file
 * Latency histogram whose old samples decay.
 */
#include <math.h>

#include "src/latency.h"

/** Upper bound of the first bucket, ms. */
#define FIRST_BOUND_MS 0.05
/** Ratio of the bounds of adjacent buckets. */
#define BUCKET_RATIO (10.0 / 9.0)
/** Total weight at which all buckets are halved, so that old samples decay. */
#define MAX_TOTAL_WEIGHT 1000.0
/** Samples between updates of the quantiles, which scan all buckets. */
#define REFRESH_SAMPLES 16
/** High quantile while there are few samples, as a multiple of the mean. */
#define INITIAL_HIGH_FACTOR 3.0
/**
 * After a pause, a sample that is faster than the mean by this factor discards
 * all earlier samples.
 */
#define SPEEDUP_THRESHOLD 2.0
/** Weight of a sample in the moving mean. */
#define MEAN_WEIGHT 0.05
/**
 * Quantile after which an attempt counts as late. A lower one spends the hedge
 * budget on attempts that would have ended soon and leaves none for the
 * slowest: with a budget of 3%, 0.95 made the tail latency worse.
 */
#define HIGH_QUANTILE 0.98

static size_t
find_bucket(wv_msec elapsed)
{
	double i;

	if (!(elapsed > FIRST_BOUND_MS))
		return 0;
	i = ceil(log(elapsed / FIRST_BOUND_MS) / log(BUCKET_RATIO));
	return i >= LATENCY_BUCKETS ? LATENCY_BUCKETS - 1 : (size_t)i;
}

static wv_msec
estimate_quantile(const struct latency *latency, double fraction)
{
	double left = latency->total * fraction;
	size_t i;

	for (i = 0; i + 1 < LATENCY_BUCKETS; i++) {
		left -= latency->buckets[i];
		if (left <= 0)
			break;
	}
	return FIRST_BOUND_MS * pow(BUCKET_RATIO, (double)i);
}

static void
scale(struct latency *latency, float factor)
{
	latency->total = 0;
	for (size_t i = 0; i < LATENCY_BUCKETS; i++) {
		latency->buckets[i] *= factor;
		latency->total += latency->buckets[i];
	}
}

/*
 * Reduces the weight of old samples after a pause, to 0 if the new sample is
 * much faster. Returns the weight of the new sample in the mean.
 */
static double
decay_after_pause(struct latency *latency, wv_msec now, wv_msec elapsed)
{
	wv_msec pause = now - latency->at;
	double kept;

	latency->at = now;
	if (pause < LATENCY_HALF_LIFE || latency->samples == 0)
		return MEAN_WEIGHT;
	kept = exp2(-pause / LATENCY_HALF_LIFE);
	if (elapsed * SPEEDUP_THRESHOLD < latency->mean)
		kept = 0;
	scale(latency, (float)kept);
	return 1 - kept;
}

void
wv_latency_add(struct latency *latency, wv_msec now, wv_msec elapsed)
{
	double weight = decay_after_pause(latency, now, elapsed);

	latency->buckets[find_bucket(elapsed)] += 1;
	latency->total += 1;
	if (latency->samples == 0)
		latency->mean = elapsed;
	else
		latency->mean += (elapsed - latency->mean) * weight;
	latency->samples++;
	if (latency->samples < REFRESH_SAMPLES) {
		latency->median = latency->mean;
		latency->high = latency->mean * INITIAL_HIGH_FACTOR;
	} else if (latency->samples % REFRESH_SAMPLES == 0 ||
	    weight > MEAN_WEIGHT) {
		latency->median = estimate_quantile(latency, 0.5);
		latency->high = estimate_quantile(latency, HIGH_QUANTILE);
	}
	if (latency->total >= MAX_TOTAL_WEIGHT)
		scale(latency, 0.5F);
}

wv_msec
wv_latency_upper(const struct latency *latency)
{
	/* With few samples an estimated quantile would refuse work wrongly. */
	if (latency->samples < REFRESH_SAMPLES)
		return latency->mean;
	return latency->high > latency->mean ? latency->high : latency->mean;
}

wv_msec
wv_latency_decayed_mean(const struct latency *latency, wv_msec now)
{
	wv_msec pause = now - latency->at;

	if (pause <= 0)
		return latency->mean;
	return latency->mean * exp2(-pause / LATENCY_HALF_LIFE);
}
