/**
 * @file
 * Health of one searcher: slowdown, failure rate, backoff and probes.
 */
#include <math.h>

#include "src/private.h"
#include "wisteriavane/health.h"

/** Weight of a sample in the moving average of the slowdown. */
#define SLOWDOWN_WEIGHT 0.3
/** Weight of a sample in the moving average of the failure rate. */
#define FAILURE_RATE_WEIGHT 0.25
/**
 * Half-lives of slowdown and failure rate, ms. Both decay without samples, so
 * that a straggler that gets no requests is tried again after a few half-lives.
 */
#define SLOWDOWN_HALF_LIFE 2500.0
/**
 * Half-life of the slowdown after a single slow spell, ms: most are pauses,
 * after which the searcher is as fast as before.
 */
#define SINGLE_SPELL_HALF_LIFE 300.0
/** Slowdown from which on a sample is part of a slow spell. */
#define SLOW_SAMPLE 2.5
#define FAILURE_RATE_HALF_LIFE 1500.0
/** Bounds of the backoff after rejections, ms; it doubles with each one. */
#define MIN_BACKOFF 5.0
#define MAX_BACKOFF 320.0
/** Cost of a failure rate of 1, as a multiple of a typical request. */
#define FAILURE_RATE_COST 8.0
/** Cost factor of a searcher that has just started. */
#define COLD_START_FACTOR 1.6
/** Consecutive failures after which a searcher counts as lost. */
#define MIN_LOST_FAILURES 2
/** Bounds of the delay between probes of a lost searcher, ms. */
#define MIN_PROBE_DELAY 250.0
#define MAX_PROBE_DELAY 1500.0
/** Slowdowns below this one are random variation and count as 1. */
#define MIN_SLOWDOWN 1.5
/** Greater slowdowns are counted as this one. */
#define MAX_SLOWDOWN 50.0

void
wv_health_reset(struct wv_health *health, wv_msec now, wv_msec cold_for)
{
	*health = (struct wv_health){.slowdown = 1,
	    .slowdown_at = now,
	    .slow_at = -WV_MSEC_NEVER,
	    .failure_rate_at = now,
	    .probe_at = now,
	    .probe_delay = MIN_PROBE_DELAY,
	    .cold_until = now + cold_for};
}

static double
decayed_slowdown(const struct wv_health *health, wv_msec now)
{
	wv_msec half_life = health->slow_spells == 1 ? SINGLE_SPELL_HALF_LIFE
						     : SLOWDOWN_HALF_LIFE;

	return 1 +
	    (health->slowdown - 1) *
	    exp2((health->slowdown_at - now) / half_life);
}

static double
decayed_failure_rate(const struct wv_health *health, wv_msec now)
{
	return health->failure_rate *
	    exp2((health->failure_rate_at - now) / FAILURE_RATE_HALF_LIFE);
}

/*
 * Counts slow spells in a row. Attempts that were sent before a spell was
 * noticed are slow for the same reason, so they are part of it.
 *
 * Returns false for a slow sample of a spell that has been counted.
 */
static bool
count_slow_spell(
    struct wv_health *health, wv_msec now, wv_msec sent_at, double slowdown)
{
	if (slowdown < SLOW_SAMPLE) {
		if (sent_at >= health->slow_at)
			health->slow_spells = 0;
		return true;
	}
	if (sent_at < health->slow_at)
		return false;
	health->slow_spells++;
	health->slow_at = now;
	return true;
}

static void
add_slowdown(
    struct wv_health *health, wv_msec now, wv_msec sent_at, double slowdown)
{
	double before = decayed_slowdown(health, now);
	double sample = fmin(slowdown, MAX_SLOWDOWN);
	double after;

	if (count_slow_spell(health, now, sent_at, slowdown))
		after = before + (sample - before) * SLOWDOWN_WEIGHT;
	else
		after = fmax(before, 1 + (sample - 1) * SLOWDOWN_WEIGHT);
	health->slowdown = after;
	health->slowdown_at = now;
}

static void
add_failure_sample(struct wv_health *health, wv_msec now, double failed)
{
	double before = decayed_failure_rate(health, now);

	health->failure_rate = before + (failed - before) * FAILURE_RATE_WEIGHT;
	health->failure_rate_at = now;
}

/* Any response of the searcher itself shows that it is reachable. */
static void
mark_reachable(struct wv_health *health)
{
	health->failures = 0;
	health->lost = false;
	health->probe_delay = MIN_PROBE_DELAY;
}

static void
start_backoff(struct wv_health *health, wv_msec now)
{
	double time = MIN_BACKOFF * exp2(health->rejections++);

	health->backoff_until = now + fmin(time, MAX_BACKOFF);
}

static void
record_unreachable(struct wv_health *health, wv_msec now)
{
	health->failures++;
	if (health->lost)
		health->probe_delay =
		    fmin(health->probe_delay * 2, MAX_PROBE_DELAY);
	else if (health->failures >= MIN_LOST_FAILURES)
		health->lost = true;
	if (health->lost)
		health->probe_at = now + health->probe_delay;
}

void
wv_health_record_sent(struct wv_health *health, wv_msec now)
{
	if (health->lost)
		health->probe_at = now + health->probe_delay;
}

void
wv_health_record_end(struct wv_health *health, wv_msec now, wv_msec sent_at,
    enum wv_attempt_end end, double slowdown)
{
	switch (end) {
	case WV_END_ANSWERED:
		mark_reachable(health);
		health->rejections = 0;
		add_slowdown(health, now, sent_at, slowdown);
		add_failure_sample(health, now, 0);
		break;
	case WV_END_REJECTED:
	case WV_END_FAILED:
		mark_reachable(health);
		add_failure_sample(health, now, 1);
		start_backoff(health, now);
		break;
	case WV_END_WRONG_SEARCHER:
		health->lost = true;
		health->probe_delay = MAX_PROBE_DELAY;
		health->probe_at = now + health->probe_delay;
		break;
	case WV_END_RESET:
		/*
		 * Not unreachable: a searcher that loses some of its answers
		 * would get nothing but probes, like one that is gone. One that
		 * is gone accepts no further connection.
		 */
		add_failure_sample(health, now, 1);
		break;
	case WV_END_NOT_SENT:
	case WV_END_BROKEN:
		add_failure_sample(health, now, 1);
		record_unreachable(health, now);
		break;
	}
}

void
wv_health_record_overdue(
    struct wv_health *health, wv_msec now, wv_msec sent_at, double slowdown)
{
	if (slowdown > decayed_slowdown(health, now))
		add_slowdown(health, now, sent_at, slowdown);
}

bool
wv_health_is_usable(const struct wv_health *health, wv_msec now)
{
	return !health->lost || now >= health->probe_at;
}

bool
wv_health_in_backoff(const struct wv_health *health, wv_msec now)
{
	return now < health->backoff_until;
}

bool
wv_health_is_slow(const struct wv_health *health, wv_msec now)
{
	return decayed_slowdown(health, now) >= SLOW_SAMPLE;
}

double
wv_health_slowdown(const struct wv_health *health, wv_msec now)
{
	return decayed_slowdown(health, now);
}

double
wv_health_cost(
    const struct wv_health *health, wv_msec now, double load, double speed)
{
	double slowdown = decayed_slowdown(health, now);
	double factor = slowdown < MIN_SLOWDOWN ? speed : fmax(slowdown, speed);
	double cost = (1 + load) * factor;

	cost *= 1 + FAILURE_RATE_COST * decayed_failure_rate(health, now);
	if (now < health->cold_until)
		cost *= COLD_START_FACTOR;
	return cost;
}
