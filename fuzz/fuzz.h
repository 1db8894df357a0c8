/**
 * @file
 * Fuzz targets: each takes any bytes, must not crash, and aborts when what a
 * parser accepted does not hold what its header states.
 */
#ifndef WISTERIAVANE_FUZZ_FUZZ_H
#define WISTERIAVANE_FUZZ_FUZZ_H

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** One target with inputs to mutate. */
struct fuzz_target {
	const char *name;
	/** Takes an input; returns whether it was accepted. */
	bool (*run)(struct wv_string input);
	const char *const *seeds; /**< texts; ends with NULL */
};

/** A contract must keep to its ranges once it is accepted. */
extern const struct fuzz_target fuzz_contract;
/** A back end's indices must lie in its tables. */
extern const struct fuzz_target fuzz_topology;
/** A job bucket must survive being written and read again. */
extern const struct fuzz_target fuzz_bucket;
/** Settings must have a fault or a value, never both. */
extern const struct fuzz_target fuzz_settings;
/** A trace is either invalid or replayed to its end. */
extern const struct fuzz_target fuzz_trace;
/** Requests must be read alike however they are cut into pieces. */
extern const struct fuzz_target fuzz_message;
/** Objects of the platform's store must keep to their ranges. */
extern const struct fuzz_target fuzz_object;
/** Frames that were refused must stay refused. */
extern const struct fuzz_target fuzz_frame;

/**
 * Runs a target over mutated inputs.
 *
 * @param rounds  number of inputs
 * @param limit   time after which the loop ends early, in microseconds
 * @param seed    of the random source
 * @return the number of inputs that were accepted
 */
unsigned fuzz_run(const struct fuzz_target *target, unsigned rounds,
    gint64 limit, guint32 seed);

#endif
