/**
 * @file
 * Counts of first and extra attempts in a sliding window.
 */
#include <math.h>
#include <string.h>

#include "src/private.h"
#include "wisteriavane/allowance.h"

/**
 * Part of the ratio that is spent. Requests are counted where they are sent
 * and the fleet's limit where they arrive, a network delay later.
 */
#define RATIO_USED 0.95

/**
 * One step more than a window is kept: extra attempts are counted over a bit
 * more than a window, first ones over a bit less, so that any window holds.
 */
#define KEPT (WV_ALLOWANCE_STEPS + 1)

static void
forget(struct wv_allowance *allowance, int64_t step)
{
	size_t i = (size_t)(step % KEPT);

	allowance->first_total -= allowance->first[i];
	allowance->extra_total -= allowance->extra[i];
	allowance->first[i] = 0;
	allowance->extra[i] = 0;
}

static size_t
advance(struct wv_allowance *allowance, const struct wv_allowance_terms *terms,
    wv_msec now)
{
	int64_t step = (int64_t)floor(now / terms->window * WV_ALLOWANCE_STEPS);

	if (step - allowance->step >= KEPT) {
		memset(allowance, 0, sizeof(*allowance));
		allowance->step = step;
	}
	while (allowance->step < step)
		forget(allowance, ++allowance->step);
	return (size_t)(allowance->step % KEPT);
}

void
wv_allowance_first(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now)
{
	allowance->first[advance(allowance, terms, now)]++;
	allowance->first_total++;
}

double
wv_allowance_left(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now)
{
	double slack = now >= terms->slack_from ? terms->slack : 0;
	size_t newest = advance(allowance, terms, now);
	uint32_t oldest = allowance->first[(newest + 1) % KEPT];
	uint32_t first = allowance->first_total - oldest;

	return floor(terms->ratio * RATIO_USED * first + slack) -
	    allowance->extra_total;
}

bool
wv_allowance_spend(struct wv_allowance *allowance,
    const struct wv_allowance_terms *terms, wv_msec now)
{
	if (wv_allowance_left(allowance, terms, now) < 1)
		return false;
	allowance->extra[advance(allowance, terms, now)]++;
	allowance->extra_total++;
	return true;
}
