/**
 * @file
 * Check of the soak that the requests of each team stay within its quota. It
 * has no input and output: requests and times are passed in.
 */
#ifndef WISTERIAVANE_SOAK_QUOTAS_H
#define WISTERIAVANE_SOAK_QUOTAS_H

#include "soak/soak.h"

struct quotas;

/** What is permitted to a team. */
struct quotas_limit {
	double rate; /**< requests per second; 0: the team has no limit */
	double burst;
};

/** What all limits have in common. */
struct quotas_config {
	double window; /**< s */
	double overshoot; /**< ratio */
	double slack; /**< requests */
};

/** What the check has seen of the teams with a limit. */
struct quotas_summary {
	unsigned requests; /**< sent by callers */
	unsigned refused; /**< as above the limit */
	double greatest; /**< window, as a part of what is permitted in it */
};

/** Creates the check of n teams. The limits are copied. */
struct quotas *quotas_create(struct soak *soak,
    const struct quotas_config *config, const struct quotas_limit *limits,
    unsigned n);

void quotas_destroy(struct quotas *quotas);

/** Notes a request that a caller sends at a time, ms. */
void quotas_note_sent(
    struct quotas *quotas, unsigned team, const char *id, wv_msec at);

/** Notes that a VM sends a request to a searcher, perhaps once more. */
void quotas_note_attempt(struct quotas *quotas, const char *id, wv_msec at);

/** Notes that a searcher has received a request, perhaps once more. */
void quotas_note_arrival(struct quotas *quotas, const char *id);

/** Notes that a request was refused as above the limit. */
void quotas_note_refused(struct quotas *quotas, unsigned team, const char *id);

/** Notes an answer to a request that was sent after the last fault. */
void quotas_note_answer_after_faults(
    struct quotas *quotas, unsigned team, bool served);

/**
 * Checks, once the run has ended, that the requests of each team that have
 * reached a searcher stay within its limit in any sliding window, both by the
 * times at which callers sent them and by those of the first attempts, that
 * none was refused before, and that each team is served after the last fault.
 */
void quotas_check(const struct quotas *quotas, struct quotas_summary *summary);

#endif
