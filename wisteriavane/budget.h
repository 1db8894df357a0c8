/**
 * @file
 * Budget of extra attempts: hedges, which are sent while an earlier attempt is
 * late, or retries, which follow a failed one. It is a fraction of the first
 * attempts, so that the total stays below 1 + fraction attempts per request at
 * any load.
 */
#ifndef WISTERIAVANE_BUDGET_H
#define WISTERIAVANE_BUDGET_H

#include "wisteriavane/types.h"

/** Credit for extra attempts. Zero-initialize it. */
struct wv_budget {
	double credit; /**< extra attempts that may be sent now */
	uint64_t first; /**< first attempts so far */
	uint64_t extra; /**< extra attempts so far */
	uint64_t refused; /**< extra attempts that were refused */
};

/** Maximum credit, in extra attempts. */
#define WV_BUDGET_MAX_CREDIT 20.0

/** Adds the credit for one first attempt; fraction is the budget. */
void wv_budget_earn(struct wv_budget *budget, double fraction);

/** Spends credit for one extra attempt; returns whether it is allowed. */
bool wv_budget_spend(struct wv_budget *budget);

#endif
