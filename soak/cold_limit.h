/**
 * @file
 * Check of the soak that cold searchers get no more requests than they may. It
 * has no input and output: what happens and its time are passed in.
 */
#ifndef WISTERIAVANE_SOAK_COLD_LIMIT_H
#define WISTERIAVANE_SOAK_COLD_LIMIT_H

#include "soak/soak.h"

struct cold_limit;

/** What the check is created from. */
struct cold_limit_config {
	unsigned searchers;
	unsigned vms;
	double permitted; /**< requests to a cold searcher in any second */
};

/** What the check has seen. */
struct cold_limit_summary {
	unsigned spells; /**< times for which a searcher was cold */
	unsigned counted; /**< requests to cold searchers */
	unsigned greatest; /**< of them at one searcher in any second */
};

struct cold_limit *cold_limit_create(
    struct soak *soak, const struct cold_limit_config *config);

void cold_limit_destroy(struct cold_limit *limit);

/** A searcher is cold until a time. */
void cold_limit_begin(
    struct cold_limit *limit, unsigned searcher, wv_msec now, wv_msec until);

/** A process of a VM, by its index, starts, or continues after a pause. */
void cold_limit_note_start(struct cold_limit *limit, unsigned vm);
void cold_limit_note_resume(struct cold_limit *limit, unsigned vm, wv_msec now);

/** A VM has got an answer in which a searcher says that it is cold. */
void cold_limit_note_told(
    struct cold_limit *limit, unsigned searcher, unsigned vm, wv_msec now);

/**
 * A VM sends a request to a searcher. Requests of VMs that the searcher has
 * not told yet that it is cold are not counted: they can't know it.
 */
void cold_limit_note_attempt(
    struct cold_limit *limit, unsigned searcher, unsigned vm, wv_msec now);

/** Describes what the check has seen until now. */
void cold_limit_summarize(
    const struct cold_limit *limit, struct cold_limit_summary *summary);

#endif
