/**
 * @file
 * What requests show of one searcher.
 */
#include <math.h>

#include "src/private.h"

/** Weight of one sample in the latency estimate. */
#define SAMPLE_WEIGHT 0.15
/** Time after which the estimate of an idle searcher has lost half, ms. */
#define HALF_LIFE 10000.0
/** Answers after which a new searcher counts as warm. */
#define WARM_ANSWERS 8
/** Factor on the estimate of a new searcher, so it gets part of the work. */
#define COLD_FACTOR 1.5
/**
 * Failures in a row that mean lost. One or two occur on a live searcher, for
 * instance when a connection that was idle is closed.
 */
#define LOST_FAILURES 3
/** First and longest delay between probes of a lost searcher, ms. */
#define PROBE_DELAY_FIRST 200.0
#define PROBE_DELAY_MOST 5000.0
/** How long a searcher that refused a request gets no other one, ms. */
#define REFUSED_DELAY 2.0

struct wv_replica {
	enum wv_replica_state state;
	uint64_t generation;
	uint64_t left; /* newest generation that is leaving */
	bool any_left;
	enum wv_leaving_source left_source;
	uint32_t slots;
	uint32_t outstanding;
	uint32_t answers; /* since the start of the generation */
	uint32_t failures; /* in a row */
	uint32_t refusals; /* in a row */
	wv_msec estimate; /* latency of one request, 0 without samples */
	wv_msec estimated_at;
	wv_msec probe_at; /* next probe while lost */
	wv_msec probe_delay;
	wv_msec refused_until;
};

void
wv_replica_destroy(struct wv_replica *replica)
{
	g_free(replica);
}

/* An estimate with its age taken into account. */
static wv_msec
fade(const struct wv_replica *replica, wv_msec now, wv_msec estimate)
{
	wv_msec age = now - replica->estimated_at;

	return age <= 0 ? estimate : estimate * exp2(-age / HALF_LIFE);
}

static void
take_sample(struct wv_replica *replica, wv_msec now, wv_msec elapsed)
{
	if (replica->estimate <= 0)
		replica->estimate = elapsed;
	else
		replica->estimate +=
		    (elapsed - replica->estimate) * SAMPLE_WEIGHT;
	replica->estimated_at = now;
}

static void
lose(struct wv_replica *replica, wv_msec now)
{
	if (replica->state == WV_REPLICA_LEAVING)
		return;
	if (replica->state != WV_REPLICA_LOST) {
		replica->state = WV_REPLICA_LOST;
		replica->probe_delay = PROBE_DELAY_FIRST;
	} else {
		replica->probe_delay =
		    fmin(replica->probe_delay * 2, PROBE_DELAY_MOST);
	}
	replica->probe_at = now + replica->probe_delay;
}

static void
fail(struct wv_replica *replica, wv_msec now)
{
	replica->failures++;
	if (replica->failures >= LOST_FAILURES ||
	    replica->state == WV_REPLICA_LOST)
		lose(replica, now);
}

/* Any word from the searcher itself shows that it is reachable. */
static void
recover(struct wv_replica *replica, wv_msec now)
{
	replica->failures = 0;
	if (replica->state != WV_REPLICA_LOST)
		return;
	replica->state = WV_REPLICA_WARMING;
	replica->answers = 0;
	replica->estimate = 0;
	replica->estimated_at = now;
}

static void
answered(struct wv_replica *replica, wv_msec now, wv_msec elapsed)
{
	recover(replica, now);
	replica->refusals = 0;
	replica->answers++;
	if (replica->state == WV_REPLICA_WARMING &&
	    replica->answers >= WARM_ANSWERS)
		replica->state = WV_REPLICA_LIVE;
	take_sample(replica, now, elapsed);
}

void
wv_replica_sent(struct wv_replica *replica, wv_msec now)
{
	replica->outstanding++;
	/* The next probe waits until this one has had time to answer. */
	if (replica->state == WV_REPLICA_LOST)
		replica->probe_at = now + replica->probe_delay;
}

static void
end(struct wv_replica *replica)
{
	if (replica->outstanding > 0)
		replica->outstanding--;
}

void
wv_replica_ended(struct wv_replica *replica, wv_msec now,
    enum wv_reply_outcome outcome, wv_msec elapsed)
{
	end(replica);
	switch (outcome) {
	case WV_REPLY_ANSWERED:
		answered(replica, now, elapsed);
		break;
	case WV_REPLY_NOT_STARTED:
		recover(replica, now);
		replica->refusals++;
		replica->refused_until =
		    now + REFUSED_DELAY * replica->refusals;
		break;
	case WV_REPLY_VERSION_GONE:
		recover(replica, now);
		break;
	case WV_REPLY_STOPPED:
	case WV_REPLY_NOT_SENT:
	case WV_REPLY_FAILED:
	case WV_REPLY_TIMED_OUT:
		fail(replica, now);
		break;
	}
}

void
wv_replica_given_up(
    struct wv_replica *replica, wv_msec now, wv_msec elapsed, bool heard)
{
	end(replica);
	if (heard) {
		recover(replica, now);
		if (elapsed > fade(replica, now, replica->estimate))
			take_sample(replica, now, elapsed);
	} else {
		fail(replica, now);
	}
}

void
wv_replica_leaving(struct wv_replica *replica, uint64_t generation,
    enum wv_leaving_source source)
{
	if (replica->any_left && generation <= replica->left)
		return;
	replica->left = generation;
	replica->any_left = true;
	replica->left_source = source;
	if (generation >= replica->generation)
		replica->state = WV_REPLICA_LEAVING;
}

bool
wv_replica_left_source(
    const struct wv_replica *replica, enum wv_leaving_source *source)
{
	*source = replica->left_source;
	return replica->state == WV_REPLICA_LEAVING;
}

/* Starts a generation; it may have been reported as leaving before. */
static void
start(struct wv_replica *replica, wv_msec now,
    const struct wv_searcher_info *info)
{
	replica->slots = info->slots;
	replica->generation = info->generation;
	replica->state = replica->any_left && replica->left >= info->generation
	    ? WV_REPLICA_LEAVING
	    : WV_REPLICA_WARMING;
	replica->outstanding = 0;
	replica->answers = 0;
	replica->failures = 0;
	replica->refusals = 0;
	replica->estimate = 0;
	replica->estimated_at = now;
	replica->probe_at = now;
	replica->probe_delay = PROBE_DELAY_FIRST;
	replica->refused_until = now;
}

struct wv_replica *
wv_replica_create(const struct wv_searcher_info *info, wv_msec now)
{
	struct wv_replica *replica = g_new0(struct wv_replica, 1);

	start(replica, now, info);
	return replica;
}

void
wv_replica_renew(struct wv_replica *replica, wv_msec now,
    const struct wv_searcher_info *info)
{
	if (info->generation > replica->generation)
		start(replica, now, info);
}

enum wv_replica_state
wv_replica_state(const struct wv_replica *replica)
{
	return replica->state;
}

bool
wv_replica_usable(const struct wv_replica *replica, wv_msec now)
{
	switch (replica->state) {
	case WV_REPLICA_WARMING:
	case WV_REPLICA_LIVE:
		return now >= replica->refused_until;
	case WV_REPLICA_LOST:
		return replica->outstanding == 0 && now >= replica->probe_at;
	case WV_REPLICA_LEAVING:
		break;
	}
	return false;
}

wv_msec
wv_replica_probe_at(const struct wv_replica *replica)
{
	return replica->state == WV_REPLICA_LOST ? replica->probe_at
						 : WV_MSEC_NEVER;
}

wv_msec
wv_replica_score(const struct wv_replica *replica, wv_msec now, wv_msec typical)
{
	double load = 1 + (double)replica->outstanding / replica->slots;
	wv_msec estimate = replica->estimate > 0 ? replica->estimate : typical;
	wv_msec score =
	    fade(replica, now, estimate) * load * (1 + replica->failures);

	if (replica->state == WV_REPLICA_WARMING)
		score *= COLD_FACTOR;
	return score;
}
