/**
 * @file
 * Fuzz targets. A target runs a parser on arbitrary bytes. The parser must not
 * crash, and the target aborts if an accepted input breaks a guarantee of the
 * parser's header.
 */
#ifndef WISTERIAVANE_FUZZ_FUZZ_H
#define WISTERIAVANE_FUZZ_FUZZ_H

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** A parser under test and inputs to mutate. */
struct fuzz_target {
	const char *name; /**< last part of the test's path */
	/** Runs one input; returns whether the parser accepted it. */
	bool (*run)(struct wv_string input);
	const char *const *seeds; /**< initial inputs; ends with NULL */
};

/** The fields of an accepted contract must keep to their ranges. */
extern const struct fuzz_target fuzz_contract;
/** The indices of an accepted back end must lie within its tables. */
extern const struct fuzz_target fuzz_topology;
/** Encoding and parsing must keep the records and the size of a bucket. */
extern const struct fuzz_target fuzz_job_bucket;
/** Parsing settings must give either a result or errors, never both. */
extern const struct fuzz_target fuzz_settings;
/** A trace must either be rejected as invalid or be replayed to its end. */
extern const struct fuzz_target fuzz_trace;
/** HTTP requests must give the same result however they are split. */
extern const struct fuzz_target fuzz_message;
/** Accepted objects of the platform's store must keep to their ranges. */
extern const struct fuzz_target fuzz_store_object;
/** An entry of the store's answers must neither hide nor change others. */
extern const struct fuzz_target fuzz_store;
/** An error that ends a stream of frames must persist in later calls. */
extern const struct fuzz_target fuzz_frame;

/**
 * Runs a target over its initial inputs, then over mutations of them.
 *
 * @param max_inputs  number of inputs
 * @param time_limit  time after which the run ends early, microseconds
 * @param seed        seed of the random number generator
 * @param n_run       receives the number of inputs that were run
 * @return the number of inputs that were accepted
 */
unsigned fuzz_run(const struct fuzz_target *target, unsigned max_inputs,
    gint64 time_limit, guint32 seed, unsigned *n_run);

#endif
