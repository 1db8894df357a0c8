/**
 * @file
 * Loans of quota between hubs: a hub lends what it does not need of a team's
 * limit to the team's homes, two hubs that each VM chooses by rendezvous
 * hashing. A VM without a token asks the homes for one (quota_asks.h), so that
 * a team with few requests is served wherever its callers are.
 *
 * No guarantee depends on which hubs the VMs consider to be homes. A loan is
 * valid for a short time after the borrower sent the report that the lender
 * echoes with it; the lender uses the fraction again only once every loan of it
 * has ended, by its own clock. So the fractions of all VMs never add up to more
 * than their base fractions, whichever reports are lost, delayed or read late
 * by a process that was paused. Clocks need not agree, but must run equally
 * fast within a twentieth.
 */
#ifndef WISTERIAVANE_QUOTA_POOL_H
#define WISTERIAVANE_QUOTA_POOL_H

#include "wisteriavane/quota.h"

struct wv_quota_pool;

/** Largest number of loans in a report. */
#define WV_QUOTA_MAX_ITEMS 128
/** Hubs that are homes of a team: if one fails, the other has its part. */
#define WV_QUOTA_HOMES 2

/** Fractions of a team's total rate and capacity that a hub lends another. */
struct wv_quota_loan {
	float rate;
	float capacity;
};

/** A team in a report from one hub to another. */
struct wv_quota_item {
	uint64_t hash; /**< of the team's name: wv_string_hash() */
	struct wv_quota_loan loan; /**< from the sender to the receiver */
};

/** What a report of another hub says about quotas. */
struct wv_quota_report {
	uint64_t sender; /**< hash of its name */
	/** The receiver's last report that the sender knew; 0: none. */
	uint64_t echo_incarnation;
	uint64_t echo_sequence;
	const struct wv_quota_item *items; /**< borrowed */
	size_t n_items;
};

/** Loans of a VM, of all teams together. */
struct wv_quota_pool_state {
	unsigned homes; /**< teams that this VM is a home of */
	unsigned loans; /**< teams and hubs that it lends to now */
	struct wv_quota_part lent; /**< sums that others may use */
	struct wv_quota_part borrowed; /**< sums that it uses of others */
};

/**
 * Creates a pool that sets the fractions of the quotas of this VM. They are 0
 * until loans of the previous process of this VM have ended.
 *
 * @param quota       borrowed; only the pool sets its fractions
 * @param own         hash of the name of this VM
 * @param incarnation of this process, as in its reports
 */
struct wv_quota_pool *wv_quota_pool_create(struct wv_quota *quota, uint64_t own,
    uint64_t incarnation, wv_msec started_at);

/** Frees the pool. */
void wv_quota_pool_destroy(struct wv_quota_pool *pool);

/** Sets this VM's fraction of each limit, before loans; 0: not known. */
void wv_quota_pool_set_base(
    struct wv_quota_pool *pool, wv_msec now, double base);

/**
 * Sets the hubs that are alive, as far as this VM knows, and with them the
 * homes of all teams.
 *
 * @param hubs  hashes of their names; includes this VM if it is a hub
 */
void wv_quota_pool_set_hubs(
    struct wv_quota_pool *pool, const uint64_t *hubs, size_t n);

/**
 * Lists the homes of a team except this VM.
 *
 * @param hash  of the team's name
 * @return their number
 */
size_t wv_quota_pool_list_homes(const struct wv_quota_pool *pool, uint64_t hash,
    uint64_t homes[static WV_QUOTA_HOMES]);

/**
 * Decides what this VM lends in its next reports. The quotas are reduced at
 * once by what is lent.
 *
 * @param is_hub  a VM that is none does not lend
 */
void wv_quota_pool_plan(struct wv_quota_pool *pool, wv_msec now, bool is_hub);

/** Records that a report is sent. To be called for each before it is sent. */
void wv_quota_pool_record_sent(
    struct wv_quota_pool *pool, wv_msec now, uint64_t sequence);

/**
 * Lists what a report to a hub says of quotas: the loans to it, as planned.
 *
 * @param receiver  hash of its name
 * @return the number of items
 */
size_t wv_quota_pool_list_items(const struct wv_quota_pool *pool,
    uint64_t receiver, struct wv_quota_item items[static WV_QUOTA_MAX_ITEMS]);

/** Applies what a hub has reported. Invalid items are ignored. */
void wv_quota_pool_apply(struct wv_quota_pool *pool, wv_msec now,
    const struct wv_quota_report *report);

/** Returns whether any team has a quota. */
bool wv_quota_pool_is_active(const struct wv_quota_pool *pool);

/** Returns the loans of now. */
void wv_quota_pool_read(const struct wv_quota_pool *pool, wv_msec now,
    struct wv_quota_pool_state *state);

#endif
