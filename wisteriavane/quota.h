/**
 * @file
 * Quotas of teams: how many requests this VM may send for each team.
 *
 * Each team has a token bucket at each VM. The number of requests that all VMs
 * together may send in any window is divided into a total rate and a total
 * capacity; a VM's bucket has the same fraction of both. Tokens only accrue, at
 * the rate: a greater capacity adds none at once, a smaller one truncates them.
 * So the limit holds in every window while the fractions of all VMs add up to
 * at most one at every moment, whatever happens to the VMs or between them.
 */
#ifndef WISTERIAVANE_QUOTA_H
#define WISTERIAVANE_QUOTA_H

#include "wisteriavane/routes.h"

struct wv_quota;

/** Limits that apply to each team; a window of 0 enforces no quota. */
struct wv_quota_limits {
	wv_msec window; /**< length of the sliding window, ms */
	double overshoot; /**< permitted excess over a team's limit, ratio */
	double slack; /**< further requests per window, for all VMs */
};

/** Fractions of the total rate and of the total capacity of a team. */
struct wv_quota_part {
	double rate;
	double capacity;
};

/** A VM's part of the limit of one team. */
struct wv_quota_share {
	struct wv_quota_part part; /**< until then */
	wv_msec until; /**< WV_MSEC_NEVER: without end */
	struct wv_quota_part fallback; /**< afterwards */
};

/** Proof that a request was charged. Opaque; zeroed: it was not charged. */
struct wv_quota_receipt {
	uint64_t epoch;
	double scale;
};

/** What this VM has and needs of the limit of a team. */
struct wv_quota_state {
	uint64_t hash; /**< of the team's name: wv_string_hash() */
	double demand; /**< requests per window that its callers may send */
	double permitted; /**< requests per window of all VMs */
	double capacity; /**< total capacity: requests of all VMs at once */
	struct wv_quota_part part; /**< this VM's part now */
	double tokens; /**< requests that may be sent at once */
};

/**
 * Creates quotas without limits and teams.
 *
 * @param seed  of the random part of waiting times
 */
struct wv_quota *wv_quota_create(uint64_t seed);

/** Frees the quotas. */
void wv_quota_destroy(struct wv_quota *quota);

/** Sets the limits, copied. */
void wv_quota_set_limits(
    struct wv_quota *quota, wv_msec now, const struct wv_quota_limits *limits);

/**
 * Uses the teams of a route table; nothing of it is kept. The bucket of a new
 * team is empty, one of a known team keeps its tokens as far as they fit.
 */
void wv_quota_set_teams(
    struct wv_quota *quota, wv_msec now, const struct wv_routes *routes);

/**
 * Sets this VM's fraction of all limits without loans. From then on a bucket
 * has up to one token when its process starts, which its capacity lacks; 0, as
 * at first: it starts empty.
 */
void wv_quota_set_base(struct wv_quota *quota, wv_msec now, double base);

/** Sets this VM's fraction of the limits of all teams without a share. */
void wv_quota_set_fraction(
    struct wv_quota *quota, wv_msec now, double fraction);

/**
 * Sets this VM's share of the limit of one team, copied; NULL: the fraction of
 * wv_quota_set_fraction() applies again. An unknown team is ignored.
 */
void wv_quota_set_share(struct wv_quota *quota, wv_msec now, uint64_t hash,
    const struct wv_quota_share *share);

/**
 * Charges a request to its team. Each charged request ends with one call of
 * wv_quota_settle() or wv_quota_refund().
 *
 * @param receipt      receives what the end of the request needs
 * @param retry_after  receives the time until a request is permitted, with a
 *                     random part, if this one is not, ms
 * @return whether the request is permitted
 */
bool wv_quota_charge(struct wv_quota *quota, wv_msec now,
    const struct wv_team *team, struct wv_quota_receipt *receipt,
    wv_msec *retry_after);

/**
 * Time for which the tokens of wv_quota_grant() may be used, ms, counted from
 * when they were asked for.
 */
#define WV_QUOTA_GRANT_USE 150.0

/**
 * Takes tokens of a team for another VM, as many as there are and are wanted.
 * The other VM may send as many requests, see WV_QUOTA_GRANT_USE; those that it
 * doesn't send are lost.
 *
 * @param hash         of the team's name: wv_string_hash()
 * @param retry_after  receives the time until a further one is there, ms
 * @return the number of tokens
 */
unsigned wv_quota_grant(struct wv_quota *quota, wv_msec now, uint64_t hash,
    unsigned wanted, wv_msec *retry_after);

/**
 * Records a request that another VM has granted a token for. It ends like one
 * that this VM has charged; a refund is limited to what the bucket lacks.
 */
void wv_quota_adopt(struct wv_quota *quota, wv_msec now,
    const struct wv_team *team, struct wv_quota_receipt *receipt);

/** Ends a charged request that may have reached a searcher. */
void wv_quota_settle(struct wv_quota *quota, wv_msec now,
    const struct wv_team *team, struct wv_quota_receipt receipt);

/**
 * Ends a charged request that has not reached a searcher. Returns its token, as
 * far as the bucket would still have it without the charge.
 */
void wv_quota_refund(struct wv_quota *quota, wv_msec now,
    const struct wv_team *team, struct wv_quota_receipt receipt);

/**
 * Returns what this VM has and needs of a team's limit; false if the team has
 * no limit or no quota is enforced.
 */
bool wv_quota_read(struct wv_quota *quota, wv_msec now,
    const struct wv_team *team, struct wv_quota_state *state);

/** Calls visit for each team with a limit, unless no quota is enforced. */
void wv_quota_foreach(struct wv_quota *quota, wv_msec now,
    void (*visit)(void *data, const struct wv_quota_state *state), void *data);

#endif
