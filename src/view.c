/**
 * @file
 * What requests show about one searcher.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/view.h"

/** Weight of one sample of the pace. */
#define PACE_WEIGHT 0.3
/** Weight of one sample of the part of failures. */
#define TROUBLE_WEIGHT 0.25
/**
 * Time after which a deviation has halved, ms. A straggler that gets no
 * requests is tried again after some of them.
 */
#define PACE_HALF_LIFE 2500.0
#define TROUBLE_HALF_LIFE 1500.0
/** First and longest time that a searcher is held after rejections, ms. */
#define HOLD_FIRST 5.0
#define HOLD_MOST 320.0
/** What a failure costs, as a multiple of a usual request. */
#define TROUBLE_COST 8.0
/** Slow-down of a searcher that has just started. */
#define COLD_FACTOR 1.6
/** Failures in a row that mean lost. */
#define LOST_FAILURES 2
/** First and longest delay between probes of a lost searcher, ms. */
#define PROBE_DELAY_FIRST 250.0
#define PROBE_DELAY_MOST 1500.0
/** Paces below this one differ by chance only. */
#define PACE_USUAL 1.5
/** Slowest pace that is told apart. */
#define PACE_MOST 50.0

void
wv_view_reset(struct wv_view *view, wv_msec now, wv_msec cold_for)
{
	*view = (struct wv_view){.pace = 1,
	    .pace_at = now,
	    .trouble_at = now,
	    .probe_at = now,
	    .probe_delay = PROBE_DELAY_FIRST,
	    .cold_until = now + cold_for};
}

static double
faded_pace(const struct wv_view *view, wv_msec now)
{
	return 1 +
	    (view->pace - 1) * exp2((view->pace_at - now) / PACE_HALF_LIFE);
}

static double
faded_trouble(const struct wv_view *view, wv_msec now)
{
	return view->trouble *
	    exp2((view->trouble_at - now) / TROUBLE_HALF_LIFE);
}

static void
add_pace(struct wv_view *view, wv_msec now, double pace)
{
	double before = faded_pace(view, now);

	view->pace = before + (fmin(pace, PACE_MOST) - before) * PACE_WEIGHT;
	view->pace_at = now;
}

static void
add_trouble(struct wv_view *view, wv_msec now, double failed)
{
	double before = faded_trouble(view, now);

	view->trouble = before + (failed - before) * TROUBLE_WEIGHT;
	view->trouble_at = now;
}

/* Any word of the searcher itself shows that it can be reached. */
static void
sign_of_life(struct wv_view *view)
{
	view->failures = 0;
	view->lost = false;
	view->probe_delay = PROBE_DELAY_FIRST;
}

static void
hold(struct wv_view *view, wv_msec now)
{
	double time = HOLD_FIRST * exp2(view->rejections++);

	view->held_until = now + fmin(time, HOLD_MOST);
}

static void
fail(struct wv_view *view, wv_msec now)
{
	view->failures++;
	if (view->lost)
		view->probe_delay =
		    fmin(view->probe_delay * 2, PROBE_DELAY_MOST);
	else if (view->failures >= LOST_FAILURES)
		view->lost = true;
	if (view->lost)
		view->probe_at = now + view->probe_delay;
}

void
wv_view_sent(struct wv_view *view, wv_msec now)
{
	if (view->lost)
		view->probe_at = now + view->probe_delay;
}

void
wv_view_ended(
    struct wv_view *view, wv_msec now, enum wv_attempt_end end, double pace)
{
	switch (end) {
	case WV_END_ANSWERED:
		sign_of_life(view);
		view->rejections = 0;
		add_pace(view, now, pace);
		add_trouble(view, now, 0);
		break;
	case WV_END_REJECTED:
	case WV_END_FAILED:
		sign_of_life(view);
		add_trouble(view, now, 1);
		hold(view, now);
		break;
	case WV_END_WRONG_SEARCHER:
		view->lost = true;
		view->probe_delay = PROBE_DELAY_MOST;
		view->probe_at = now + view->probe_delay;
		break;
	case WV_END_NOT_SENT:
	case WV_END_BROKEN:
		add_trouble(view, now, 1);
		fail(view, now);
		break;
	}
}

void
wv_view_overdue(struct wv_view *view, wv_msec now, double pace)
{
	if (pace > faded_pace(view, now))
		add_pace(view, now, pace);
}

bool
wv_view_usable(const struct wv_view *view, wv_msec now)
{
	return !view->lost || now >= view->probe_at;
}

bool
wv_view_held(const struct wv_view *view, wv_msec now)
{
	return now < view->held_until;
}

double
wv_view_cost(const struct wv_view *view, wv_msec now, double load)
{
	double pace = faded_pace(view, now);
	double cost = (1 + load) * (pace < PACE_USUAL ? 1 : pace);

	cost *= 1 + TROUBLE_COST * faded_trouble(view, now);
	if (now < view->cold_until)
		cost *= COLD_FACTOR;
	return cost;
}
