/**
 * @file
 * Keys of the soak's callers, one of which is added and removed again, and the
 * check of what searchers see of the callers; also the rates of the teams.
 */
#ifndef WISTERIAVANE_SOAK_TEAMS_H
#define WISTERIAVANE_SOAK_TEAMS_H

#include "soak/attempts.h"
#include "soak/quotas.h"

struct teams;

/** How requests with a key must be answered. */
enum teams_answer {
	TEAMS_SERVED, /**< the key must not be refused */
	TEAMS_REFUSED, /**< the key must be refused */
	TEAMS_EITHER /**< it was added or removed shortly before */
};

/** A key for a request. */
struct teams_key {
	unsigned team; /**< whose name searchers must see */
	const char *key; /**< borrowed until the event loop runs again */
	enum teams_answer answer;
};

/**
 * Begins to add and remove a key, and to check that each request at a searcher
 * has the team that its identifier names, and no key. All pointers are
 * borrowed.
 */
struct teams *teams_create(
    struct soak *soak, struct cluster *cluster, struct attempts *attempts);

/** Releases the teams; the event loop must not run any more. */
void teams_destroy(struct teams *teams);

/**
 * Draws a key for a request.
 *
 * @param affected_until  monotonic time until which faults may delay what the
 *                        request's VM knows, ms
 */
void teams_draw(
    struct teams *teams, wv_msec affected_until, struct teams_key *key);

/** Returns the check of the quotas, which gets what callers see. Borrowed. */
struct quotas *teams_quotas(struct teams *teams);

/** Appends what marks a request of a team in its identifier. */
void teams_mark_request(char *id, size_t size, unsigned team);

#endif
