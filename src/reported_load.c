/**
 * @file
 * Load that a searcher has reported.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/reported_load.h"

/**
 * Half-life of a report, ms. Requests run for some ms to tens of ms, so that
 * after a few hundred ms nothing that was reported is still in progress.
 */
#define HALF_LIFE 150.0
/** Age from which on a report counts for nothing, ms. */
#define MAX_AGE 1000.0
/**
 * Bounds of what a report can do. A searcher that claims to be overloaded must
 * still be used when the others are. Before such claims were doubted, one that
 * was wrong made 12 of 600 requests late with a greatest speed of 3 and 5 with
 * 2, and true reports saved as many hedges with both. A claim to be faster than
 * usual has no effect: where it was wrong, half of the usual cost led to two
 * thirds more hedges.
 */
#define MAX_OTHERS 2.0
#define MAX_SPEED 2.0
#define MIN_SPEED 1.0
/**
 * A searcher that claims that work takes so many times as long, and answers in
 * less than this multiple of the typical latency, is doubted. Lower multiples
 * are random variation.
 */
#define BUSY_FACTOR 2.0
#define USUAL_SLOWDOWN 1.5
/** Time for which its reports don't count then, ms. */
#define DOUBT_TIME 1000.0

/* Notes whether a searcher claims to be busy, and since when. */
static void
note_claim(struct wv_reported_load *load, wv_msec now)
{
	bool busy = (1 + load->others) * load->speed >= BUSY_FACTOR;

	if (busy && !load->busy)
		load->busy_since = now;
	load->busy = busy;
}

bool
wv_reported_load_set(struct wv_reported_load *load, wv_msec now,
    const struct wv_load_report *report, const struct wv_load_answer *answer)
{
	double all = (double)report->running + report->waiting;

	load->others = fmax(all - answer->own, 0) / report->slots;
	load->others = fmin(load->others, MAX_OTHERS);
	load->speed = fmin(fmax(report->speed / 100.0, MIN_SPEED), MAX_SPEED);
	load->at = now;
	load->known = true;
	note_claim(load, now);
	if (!load->busy || answer->sent_at <= load->busy_since ||
	    answer->slowdown <= 0 || answer->slowdown >= USUAL_SLOWDOWN)
		return true;
	load->doubted_until = now + DOUBT_TIME;
	return false;
}

/* Returns how much a report counts, from 1 for a new one to 0. */
static double
weight_of(const struct wv_reported_load *load, wv_msec now)
{
	wv_msec age = now - load->at;

	return load->known && age < MAX_AGE && now >= load->doubted_until
	    ? exp2(-age / HALF_LIFE)
	    : 0;
}

double
wv_reported_load_others(const struct wv_reported_load *load, wv_msec now)
{
	return load->others * weight_of(load, now);
}

double
wv_reported_load_speed(const struct wv_reported_load *load, wv_msec now)
{
	return 1 + (load->speed - 1) * weight_of(load, now);
}
