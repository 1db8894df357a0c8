/**
 * @file
 * Sliding window of the requests to a cold searcher.
 */
#include <math.h>
#include <string.h>

#include "src/private.h"
#include "wisteriavane/cold_credit.h"

/** Steps kept: the newest one is not over, so that a window has one more. */
#define KEPT_STEPS (WV_COLD_STEPS + 1)
/** Length of a window as it is counted, at least, ms. */
#define WINDOW (WV_COLD_STEPS * WV_COLD_STEP)
/**
 * Fraction of the requests that is divided among the VMs. The rest is a
 * reserve, since VMs may differ in the number of VMs that they know.
 */
#define USABLE_FRACTION 0.95

unsigned
wv_cold_credit_limit(
    const struct wv_cold_limits *limits, double rate, struct wv_string searcher)
{
	double requests = (rate * limits->overshoot + limits->slack) *
	    USABLE_FRACTION * limits->members / limits->divisor;
	unsigned all = (unsigned)fmin(requests, UINT32_MAX / 2);
	unsigned each = all / limits->members;
	unsigned rest = all % limits->members;

	return each +
	    (rest > 0 && limits->ranks_first(limits->data, searcher, rest));
}

void
wv_cold_credit_set_limit(
    struct wv_cold_credit *credit, wv_msec now, unsigned limit)
{
	if (!credit->has_limit || limit <= credit->limit) {
		credit->has_limit = true;
		credit->limit = limit;
		credit->raise_at = 0;
		return;
	}
	if (credit->raise_at == 0) {
		credit->raise_at = now + WINDOW + WV_COLD_STEP;
		credit->raise_to = limit;
		return;
	}
	credit->raise_to = MIN(credit->raise_to, limit);
	if (now < credit->raise_at)
		return;
	credit->limit = credit->raise_to;
	credit->raise_at = 0;
}

/* Forgets the steps before the window that ends now. */
static void
advance(struct wv_cold_credit *credit, wv_msec now)
{
	int64_t step = (int64_t)floor(now / WV_COLD_STEP);

	if (step - credit->step >= KEPT_STEPS) {
		memset(credit->sent, 0, sizeof(credit->sent));
		credit->total = 0;
		credit->step = step;
	}
	while (credit->step < step) {
		uint32_t *oldest = &credit->sent[++credit->step % KEPT_STEPS];

		credit->total -= *oldest;
		*oldest = 0;
	}
}

bool
wv_cold_credit_is_left(struct wv_cold_credit *credit, wv_msec now)
{
	advance(credit, now);
	return credit->total < credit->limit;
}

void
wv_cold_credit_count(struct wv_cold_credit *credit, wv_msec now)
{
	advance(credit, now);
	credit->sent[credit->step % KEPT_STEPS]++;
	credit->total++;
}

void
wv_cold_credit_refund(
    struct wv_cold_credit *credit, wv_msec now, wv_msec sent_at)
{
	int64_t step = (int64_t)floor(sent_at / WV_COLD_STEP);

	advance(credit, now);
	if (credit->step - step >= KEPT_STEPS ||
	    credit->sent[step % KEPT_STEPS] == 0)
		return;
	credit->sent[step % KEPT_STEPS]--;
	credit->total--;
}

wv_msec
wv_cold_credit_next(struct wv_cold_credit *credit, wv_msec now)
{
	uint32_t left;

	if (credit->limit == 0)
		return WV_MSEC_NEVER;
	if (wv_cold_credit_is_left(credit, now))
		return now;
	left = credit->total;
	for (int64_t step = MAX(credit->step - WV_COLD_STEPS, 0);
	     step <= credit->step; step++) {
		left -= credit->sent[step % KEPT_STEPS];
		if (left < credit->limit)
			return (wv_msec)(step + KEPT_STEPS) * WV_COLD_STEP;
	}
	return WV_MSEC_NEVER;
}
