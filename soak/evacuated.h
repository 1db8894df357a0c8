/**
 * @file
 * Check of the soak that the VMs start no attempts at an evacuated zone. It has
 * no input and output: what happens and its time are passed in.
 */
#ifndef WISTERIAVANE_SOAK_EVACUATED_H
#define WISTERIAVANE_SOAK_EVACUATED_H

#include "soak/soak.h"

struct evacuated;

/** What the check has seen. */
struct evacuated_summary {
	unsigned evacuations;
	wv_msec checked; /**< time in which attempts are violations, ms */
	wv_msec last_attempt; /**< after the acknowledgement, ms */
};

/**
 * Creates the check of n VMs.
 *
 * @param bound  time from the acknowledgement after which no attempts may
 *               start, ms
 */
struct evacuated *evacuated_create(
    struct soak *soak, unsigned n, wv_msec bound);

void evacuated_destroy(struct evacuated *evacuated);

/** The store has acknowledged the evacuation, or its removal. */
void evacuated_begin(struct evacuated *evacuated, wv_msec now);
void evacuated_end(struct evacuated *evacuated, wv_msec now);

/** No VM reaches the store from now on for a duration, ms. */
void evacuated_note_store_failure(
    struct evacuated *evacuated, wv_msec now, wv_msec duration);

/**
 * The store has come back from an older copy, in which the evacuation may be
 * missing; or the operator has written it again.
 */
void evacuated_note_lost(struct evacuated *evacuated, wv_msec now);
void evacuated_note_written_again(struct evacuated *evacuated, wv_msec now);

/** A process of a VM, by the index, starts, is paused, or continues. */
void evacuated_note_start(struct evacuated *evacuated, unsigned i, wv_msec now);
void evacuated_note_pause(struct evacuated *evacuated, unsigned i, wv_msec now);
void evacuated_note_resume(
    struct evacuated *evacuated, unsigned i, wv_msec now);

/** A VM has started an attempt at a searcher of the evacuated zone. */
void evacuated_note_attempt(
    struct evacuated *evacuated, unsigned i, const char *request, wv_msec now);

/** Describes what the check has seen until now. */
void evacuated_summarize(
    const struct evacuated *evacuated, struct evacuated_summary *summary);

#endif
