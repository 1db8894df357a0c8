/**
 * @file
 * Rate, burst and concurrency limits of customers on one lane.
 *
 * A request needs a token from a bucket of `burst` tokens, and must not exceed
 * the rate in a sliding window of the last second. The bucket alone would admit
 * rate + burst requests in one second.
 */
#include <math.h>

#include "src/private.h"

/* One second has 50 steps; one more is for the step in progress. */
#define WINDOW_STEPS 51
#define WINDOW_STEP_MS 20.0
/* Absorbs rounding of fractional tokens. */
#define TOKEN_TOLERANCE 1e-9

struct rank_usage {
	bool initialized; /* whether bucket and window are in use */
	double tokens; /* tokens in the bucket */
	wv_msec filled; /* when tokens were last added */
	int64_t step; /* number of the newest step in the window */
	double window[WINDOW_STEPS]; /* ring of admitted requests per step */
	double window_sum; /* sum of window */
	uint32_t in_progress; /* concurrent requests */
};

struct customer_usage {
	struct wv_string customer; /* owned; key of the table */
	struct rank_usage ranks[WV_RANK_COUNT];
};

struct wv_limits {
	GHashTable *customers; /* customer -> struct customer_usage */
	uint32_t lanes; /* number of lanes of the back end */
	uint32_t lane; /* index of this lane */
	wv_msec reset_at; /* when this VM took the lane over */
};

static void
destroy_usage(gpointer data)
{
	struct customer_usage *use = data;

	wv_string_clear(&use->customer);
	g_free(use);
}

struct wv_limits *
wv_limits_create(uint32_t lanes)
{
	struct wv_limits *limits = g_new0(struct wv_limits, 1);

	limits->lanes = MAX(lanes, 1);
	/* The last lane gets no remainder of a division. */
	limits->lane = limits->lanes - 1;
	limits->reset_at = -WV_MSEC_NEVER;
	limits->customers = g_hash_table_new_full(
	    wv_string_key_hash, wv_string_key_equal, NULL, destroy_usage);
	return limits;
}

void
wv_limits_destroy(struct wv_limits *limits)
{
	if (limits == NULL)
		return;
	g_hash_table_destroy(limits->customers);
	g_free(limits);
}

void
wv_limits_set_lane(struct wv_limits *limits, uint32_t lane)
{
	limits->lane = MIN(lane, limits->lanes - 1);
}

static struct rank_usage *
find_usage(
    struct wv_limits *limits, struct wv_string customer, enum wv_rank rank)
{
	struct customer_usage *use;

	use = g_hash_table_lookup(limits->customers, &customer);
	if (use == NULL) {
		use = g_new0(struct customer_usage, 1);
		use->customer = wv_string_copy(customer);
		g_hash_table_insert(limits->customers, &use->customer, use);
	}
	return &use->ranks[rank];
}

static double
lane_rate(const struct wv_limits *limits, const struct wv_rank_terms *terms)
{
	return terms->rate / limits->lanes;
}

/* At least one token, else the bucket would never admit a request. */
static double
lane_burst(const struct wv_limits *limits, const struct wv_rank_terms *terms)
{
	return MAX(terms->burst / limits->lanes, 1.0);
}

static uint32_t
lane_concurrency(
    const struct wv_limits *limits, const struct wv_rank_terms *terms)
{
	uint32_t share = terms->concurrency / limits->lanes;

	if (limits->lane < terms->concurrency % limits->lanes)
		share++;
	return share;
}

/*
 * Initializes a bucket and window. After a takeover of the lane, the window is
 * filled as if the previous holder had admitted the full rate evenly until
 * then, and the bucket starts empty.
 */
static void
init_usage(const struct wv_limits *limits, struct rank_usage *use, wv_msec now,
    const struct wv_rank_terms *terms)
{
	double rate = lane_rate(limits, terms);
	double burst = lane_burst(limits, terms);
	bool taken_over = limits->reset_at > -WV_MSEC_NEVER;
	wv_msec start = taken_over ? limits->reset_at : now;

	use->initialized = true;
	use->filled = now;
	use->tokens = burst;
	use->step = (int64_t)floor(start / WINDOW_STEP_MS);
	use->window_sum = 0;
	memset(use->window, 0, sizeof(use->window));
	for (int i = 1; taken_over && i < WINDOW_STEPS; i++) {
		size_t slot = (size_t)(use->step + i) % WINDOW_STEPS;

		use->window[slot] = rate * WINDOW_STEP_MS / 1000.0;
		use->window_sum += use->window[slot];
	}
	if (taken_over)
		use->tokens = MIN(burst, rate * (now - start) / 1000.0);
}

static void
advance_window(struct rank_usage *use, wv_msec now)
{
	int64_t step = (int64_t)floor(now / WINDOW_STEP_MS);
	int64_t n = MIN(step - use->step, WINDOW_STEPS);

	for (int64_t i = 1; i <= n; i++) {
		size_t slot = (size_t)(use->step + i) % WINDOW_STEPS;

		use->window_sum -= use->window[slot];
		use->window[slot] = 0;
	}
	if (n == WINDOW_STEPS) {
		memset(use->window, 0, sizeof(use->window));
		use->window_sum = 0;
	}
	use->step = MAX(use->step, step);
}

static void
refill_tokens(const struct wv_limits *limits, struct rank_usage *use,
    wv_msec now, const struct wv_rank_terms *terms)
{
	double added = lane_rate(limits, terms) * (now - use->filled) / 1000.0;

	if (added > 0)
		use->tokens += added;
	use->tokens = MIN(use->tokens, lane_burst(limits, terms));
	use->filled = MAX(use->filled, now);
}

static enum wv_code
set_status(struct wv_status *status, enum wv_code code, enum wv_rank rank,
    const char *clause, double value)
{
	if (status == NULL)
		return code;
	return wv_status_set(status, code, "contract clause ranks.%s.%s: %g",
	    wv_rank_name(rank), clause, value);
}

static enum wv_code
check_usage(const struct wv_limits *limits, struct rank_usage *use, wv_msec now,
    enum wv_rank rank, const struct wv_rank_terms *terms,
    struct wv_status *status)
{
	double max_per_second = ceil(lane_rate(limits, terms));

	if (!use->initialized)
		init_usage(limits, use, now, terms);
	advance_window(use, now);
	refill_tokens(limits, use, now, terms);
	if (use->in_progress >= lane_concurrency(limits, terms))
		return set_status(status, WV_CONCURRENCY_LIMIT, rank,
		    "concurrency", terms->concurrency);
	if (use->window_sum + 1 > max_per_second + TOKEN_TOLERANCE)
		return set_status(
		    status, WV_RATE_LIMIT, rank, "rate", terms->rate);
	if (use->tokens < 1 - TOKEN_TOLERANCE)
		return set_status(
		    status, WV_RATE_LIMIT, rank, "rate", terms->rate);
	if (status != NULL)
		wv_status_clear(status);
	return WV_OK;
}

enum wv_code
wv_limits_check(struct wv_limits *limits, wv_msec now,
    struct wv_string customer, enum wv_rank rank,
    const struct wv_rank_terms *terms, struct wv_status *status)
{
	struct rank_usage *use = find_usage(limits, customer, rank);

	return check_usage(limits, use, now, rank, terms, status);
}

enum wv_code
wv_limits_charge(struct wv_limits *limits, wv_msec now,
    struct wv_string customer, enum wv_rank rank,
    const struct wv_rank_terms *terms, struct wv_status *status)
{
	struct rank_usage *use = find_usage(limits, customer, rank);
	enum wv_code code = check_usage(limits, use, now, rank, terms, status);

	if (code != WV_OK)
		return code;
	use->tokens -= 1;
	use->window[(size_t)use->step % WINDOW_STEPS] += 1;
	use->window_sum += 1;
	use->in_progress++;
	return WV_OK;
}

void
wv_limits_finish(
    struct wv_limits *limits, struct wv_string customer, enum wv_rank rank)
{
	struct rank_usage *use = find_usage(limits, customer, rank);

	if (use->in_progress > 0)
		use->in_progress--;
}

void
wv_limits_reset_for_takeover(struct wv_limits *limits, wv_msec now)
{
	GHashTableIter iter;
	gpointer value;

	limits->reset_at = now;
	g_hash_table_iter_init(&iter, limits->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer_usage *use = value;

		for (int i = 0; i < WV_RANK_COUNT; i++)
			use->ranks[i].initialized = false;
	}
}
