/**
 * @file
 * Sliding window of first and extra attempts.
 */
#include <math.h>
#include <string.h>

#include "src/private.h"
#include "wisteriavane/allowance.h"

/**
 * Fraction of the ratio that is spent. Attempts are counted when they are sent,
 * while the limit for all VMs applies when they arrive, a network delay later.
 */
#define USED_RATIO_FRACTION 0.95

/**
 * Steps kept: one more than a window. Extra attempts are counted over slightly
 * more than a window and first attempts over slightly less, so that the limit
 * holds in any window.
 */
#define KEPT_STEPS (WV_ALLOWANCE_STEPS + 1)

static void
clear_step(struct wv_allowance *allowance, int64_t step)
{
	size_t i = (size_t)(step % KEPT_STEPS);

	allowance->first_total -= allowance->first[i];
	allowance->extra_total -= allowance->extra[i];
	allowance->first[i] = 0;
	allowance->extra[i] = 0;
}

static size_t
advance_window(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now)
{
	int64_t step =
	    (int64_t)floor(now / limits->window * WV_ALLOWANCE_STEPS);

	if (step - allowance->step >= KEPT_STEPS) {
		memset(allowance, 0, sizeof(*allowance));
		allowance->step = step;
	}
	while (allowance->step < step)
		clear_step(allowance, ++allowance->step);
	return (size_t)(allowance->step % KEPT_STEPS);
}

void
wv_allowance_count_first(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now)
{
	allowance->first[advance_window(allowance, limits, now)]++;
	allowance->first_total++;
}

double
wv_allowance_left(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now)
{
	double slack = now >= limits->slack_from ? limits->slack : 0;
	size_t newest = advance_window(allowance, limits, now);
	uint32_t oldest = allowance->first[(newest + 1) % KEPT_STEPS];
	uint32_t first = allowance->first_total - oldest;

	return floor(limits->ratio * USED_RATIO_FRACTION * first + slack) -
	    allowance->extra_total;
}

bool
wv_allowance_spend(struct wv_allowance *allowance,
    const struct wv_allowance_limits *limits, wv_msec now)
{
	if (wv_allowance_left(allowance, limits, now) < 1)
		return false;
	allowance->extra[advance_window(allowance, limits, now)]++;
	allowance->extra_total++;
	return true;
}
