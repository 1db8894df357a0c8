/**
 * @file
 * Budget of hedges and retries.
 */
#include "src/private.h"

/*
 * Adding a fraction such as 0.05 twenty times gives slightly less than 1, which
 * would refuse one attempt of the budget.
 */
#define BUDGET_TOLERANCE 1e-9

void
wv_budget_earn(struct wv_budget *budget, double fraction)
{
	budget->first++;
	budget->credit = MIN(budget->credit + fraction, WV_BUDGET_MAX_CREDIT);
}

bool
wv_budget_spend(struct wv_budget *budget)
{
	if (budget->credit < 1.0 - BUDGET_TOLERANCE) {
		budget->refused++;
		return false;
	}
	budget->credit -= 1.0;
	budget->extra++;
	return true;
}
