/**
 * @file
 * Health and latency estimate of one searcher.
 */
#include <math.h>

#include "src/private.h"

/** Weight of one sample in the moving average of the latency. */
#define SAMPLE_WEIGHT 0.15
/** Half-life of the latency estimate of an idle searcher, ms. */
#define ESTIMATE_HALF_LIFE_MS 10000.0
/** Answers after which a new or recovered searcher counts as live. */
#define WARM_ANSWERS 8
/** Factor on the estimate of a warming searcher, so that it gets less work. */
#define COLD_FACTOR 1.5
/**
 * Consecutive failures after which a searcher counts as lost. One or two occur
 * on a live searcher, for instance when an idle connection is closed.
 */
#define LOST_FAILURES 3
/**
 * First and longest delay between probes of a lost searcher, ms. It doubles
 * with each failure.
 */
#define MIN_PROBE_DELAY_MS 200.0
#define MAX_PROBE_DELAY_MS 5000.0
/**
 * How long a searcher that refused a request gets no other, ms. Multiplied by
 * the number of consecutive refusals.
 */
#define REFUSAL_BACKOFF_MS 2.0

struct wv_replica {
	enum wv_replica_state state;
	uint64_t generation;
	uint64_t leaving_generation; /* newest generation reported as leaving */
	bool leaving_reported;
	enum wv_leaving_source leaving_source;
	uint32_t slots;
	uint32_t outstanding;
	uint32_t answers; /* since the generation started or recovered */
	uint32_t failures; /* consecutive */
	uint32_t refusals; /* consecutive */
	wv_msec estimate; /* latency of one request, ms; 0 without samples */
	wv_msec estimated_at;
	wv_msec probe_at; /* time of the next probe while lost */
	wv_msec probe_delay;
	wv_msec backoff_until;
};

void
wv_replica_destroy(struct wv_replica *replica)
{
	g_free(replica);
}

/* Decays an estimate by the time since the last sample. */
static wv_msec
decay_estimate(const struct wv_replica *replica, wv_msec now, wv_msec estimate)
{
	wv_msec age = now - replica->estimated_at;

	return age <= 0 ? estimate
			: estimate * exp2(-age / ESTIMATE_HALF_LIFE_MS);
}

static void
add_sample(struct wv_replica *replica, wv_msec now, wv_msec elapsed)
{
	if (replica->estimate <= 0)
		replica->estimate = elapsed;
	else
		replica->estimate +=
		    (elapsed - replica->estimate) * SAMPLE_WEIGHT;
	replica->estimated_at = now;
}

/*
 * Marks a searcher as lost, or doubles the delay to its next probe if it is
 * lost already.
 */
static void
mark_lost(struct wv_replica *replica, wv_msec now)
{
	if (replica->state == WV_REPLICA_LEAVING)
		return;
	if (replica->state != WV_REPLICA_LOST) {
		replica->state = WV_REPLICA_LOST;
		replica->probe_delay = MIN_PROBE_DELAY_MS;
	} else {
		replica->probe_delay =
		    fmin(replica->probe_delay * 2, MAX_PROBE_DELAY_MS);
	}
	replica->probe_at = now + replica->probe_delay;
}

static void
record_failure(struct wv_replica *replica, wv_msec now)
{
	replica->failures++;
	if (replica->failures >= LOST_FAILURES ||
	    replica->state == WV_REPLICA_LOST)
		mark_lost(replica, now);
}

/* Resets failures: the searcher itself has replied, so it is reachable. */
static void
mark_reachable(struct wv_replica *replica, wv_msec now)
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
record_answer(struct wv_replica *replica, wv_msec now, wv_msec elapsed)
{
	mark_reachable(replica, now);
	replica->refusals = 0;
	replica->answers++;
	if (replica->state == WV_REPLICA_WARMING &&
	    replica->answers >= WARM_ANSWERS)
		replica->state = WV_REPLICA_LIVE;
	add_sample(replica, now, elapsed);
}

void
wv_replica_record_send(struct wv_replica *replica, wv_msec now)
{
	replica->outstanding++;
	/* Allow time for the answer to this probe before the next one. */
	if (replica->state == WV_REPLICA_LOST)
		replica->probe_at = now + replica->probe_delay;
}

/* Counts one outstanding request less. */
static void
finish_request(struct wv_replica *replica)
{
	if (replica->outstanding > 0)
		replica->outstanding--;
}

void
wv_replica_record_outcome(struct wv_replica *replica, wv_msec now,
    enum wv_reply_outcome outcome, wv_msec elapsed)
{
	finish_request(replica);
	switch (outcome) {
	case WV_REPLY_ANSWERED:
		record_answer(replica, now, elapsed);
		break;
	case WV_REPLY_NOT_STARTED:
		mark_reachable(replica, now);
		replica->refusals++;
		replica->backoff_until =
		    now + REFUSAL_BACKOFF_MS * replica->refusals;
		break;
	case WV_REPLY_VERSION_GONE:
		mark_reachable(replica, now);
		break;
	case WV_REPLY_STOPPED:
	case WV_REPLY_NOT_SENT:
	case WV_REPLY_FAILED:
	case WV_REPLY_TIMED_OUT:
		record_failure(replica, now);
		break;
	}
}

void
wv_replica_record_given_up(
    struct wv_replica *replica, wv_msec now, wv_msec elapsed, bool confirmed)
{
	finish_request(replica);
	if (confirmed) {
		mark_reachable(replica, now);
		if (elapsed > decay_estimate(replica, now, replica->estimate))
			add_sample(replica, now, elapsed);
	} else {
		record_failure(replica, now);
	}
}

void
wv_replica_mark_leaving(struct wv_replica *replica, uint64_t generation,
    enum wv_leaving_source source)
{
	if (replica->leaving_reported &&
	    generation <= replica->leaving_generation)
		return;
	replica->leaving_generation = generation;
	replica->leaving_reported = true;
	replica->leaving_source = source;
	if (generation >= replica->generation)
		replica->state = WV_REPLICA_LEAVING;
}

bool
wv_replica_leaving_source(
    const struct wv_replica *replica, enum wv_leaving_source *source)
{
	*source = replica->leaving_source;
	return replica->state == WV_REPLICA_LEAVING;
}

/*
 * Resets the state for a generation, which may have been reported as leaving
 * before.
 */
static void
start_generation(struct wv_replica *replica, wv_msec now,
    const struct wv_searcher_info *info)
{
	replica->slots = info->slots;
	replica->generation = info->generation;
	replica->state = replica->leaving_reported &&
		replica->leaving_generation >= info->generation
	    ? WV_REPLICA_LEAVING
	    : WV_REPLICA_WARMING;
	replica->outstanding = 0;
	replica->answers = 0;
	replica->failures = 0;
	replica->refusals = 0;
	replica->estimate = 0;
	replica->estimated_at = now;
	replica->probe_at = now;
	replica->probe_delay = MIN_PROBE_DELAY_MS;
	replica->backoff_until = now;
}

struct wv_replica *
wv_replica_create(const struct wv_searcher_info *info, wv_msec now)
{
	struct wv_replica *replica = g_new0(struct wv_replica, 1);

	start_generation(replica, now, info);
	return replica;
}

void
wv_replica_start_generation(struct wv_replica *replica, wv_msec now,
    const struct wv_searcher_info *info)
{
	if (info->generation > replica->generation)
		start_generation(replica, now, info);
}

enum wv_replica_state
wv_replica_state(const struct wv_replica *replica)
{
	return replica->state;
}

bool
wv_replica_is_usable(const struct wv_replica *replica, wv_msec now)
{
	switch (replica->state) {
	case WV_REPLICA_WARMING:
	case WV_REPLICA_LIVE:
		return now >= replica->backoff_until;
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
	wv_msec score = decay_estimate(replica, now, estimate) * load *
	    (1 + replica->failures);

	if (replica->state == WV_REPLICA_WARMING)
		score *= COLD_FACTOR;
	return score;
}
