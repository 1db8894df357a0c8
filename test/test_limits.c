/**
 * @file
 * Tests of the rate, burst and concurrency limits of a customer, and of the
 * budget of extra attempts.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

static const struct wv_rank_terms terms = {.allowed = true,
    .rate = 100,
    .burst = 20,
    .concurrency = 1000000,
    .deadline = 1000};

static enum wv_code
charge(struct wv_limits *limits, wv_msec now, const struct wv_rank_terms *t)
{
	struct wv_status status;

	return wv_limits_charge(limits, now, wv_string_borrow("kestane"),
	    WV_RANK_URGENT, t, &status);
}

/* Sends requests evenly at ten times the rate; returns the admission times. */
static GArray *
send_at_ten_times_rate(struct wv_limits *limits, wv_msec from, wv_msec to)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(wv_msec));

	for (int i = 0; from + i < to; i++) {
		wv_msec now = from + i;

		if (charge(limits, now, &terms) == WV_OK)
			g_array_append_val(times, now);
	}
	return times;
}

static guint
max_in_a_second(const GArray *times)
{
	guint max = 0, start = 0;

	for (guint i = 0; i < times->len; i++) {
		while (g_array_index(times, wv_msec, i) -
			g_array_index(times, wv_msec, start) >=
		    1000)
			start++;
		max = MAX(max, i - start + 1);
	}
	return max;
}

/* A token bucket alone would admit rate + burst in the first second. */
static void
test_rate_in_any_second(void)
{
	struct wv_limits *limits = wv_limits_create(1);
	GArray *times = send_at_ten_times_rate(limits, 12345.5, 32345.5);

	g_assert_cmpuint(max_in_a_second(times), <=, 100);
	g_assert_cmpuint(times->len, >=, 20 * 95);
	g_array_free(times, TRUE);
	wv_limits_destroy(limits);
}

/* At most the burst is admitted at once, however long the idle time before. */
static void
test_burst_at_once(void)
{
	struct wv_limits *limits = wv_limits_create(1);
	int admitted = 0;

	for (int i = 0; i < 50; i++)
		admitted += charge(limits, 5000, &terms) == WV_OK;
	g_assert_cmpint(admitted, ==, 20);
	admitted = 0;
	for (int i = 0; i < 50; i++)
		admitted += charge(limits, 60000, &terms) == WV_OK;
	g_assert_cmpint(admitted, ==, 20);
	wv_limits_destroy(limits);
}

/*
 * A new holder of a lane must not admit a burst: the previous holder may just
 * have admitted one.
 */
static void
test_reset_admits_no_burst(void)
{
	struct wv_limits *limits = wv_limits_create(1);
	GArray *before = send_at_ten_times_rate(limits, 0, 3000);
	GArray *after;

	wv_limits_reset_for_takeover(limits, 3000);
	g_assert_cmpint(charge(limits, 3000, &terms), ==, WV_RATE_LIMIT);
	after = send_at_ten_times_rate(limits, 3000, 6000);
	g_array_append_vals(before, after->data, after->len);
	g_assert_cmpuint(max_in_a_second(before), <=, 102);
	g_assert_cmpuint(after->len, >=, 3 * 90);
	g_array_free(before, TRUE);
	g_array_free(after, TRUE);
	wv_limits_destroy(limits);
}

/* The same for a customer whose first request follows the takeover. */
static void
test_reset_covers_unseen_customer(void)
{
	struct wv_limits *limits = wv_limits_create(1);

	wv_limits_reset_for_takeover(limits, 1000);
	g_assert_cmpint(charge(limits, 1001, &terms), ==, WV_RATE_LIMIT);
	g_assert_cmpint(charge(limits, 2500, &terms), ==, WV_OK);
	wv_limits_destroy(limits);
}

static void
test_concurrency(void)
{
	struct wv_limits *limits = wv_limits_create(1);
	struct wv_rank_terms two = terms;
	struct wv_status status;

	two.concurrency = 2;
	g_assert_cmpint(charge(limits, 0, &two), ==, WV_OK);
	g_assert_cmpint(charge(limits, 0, &two), ==, WV_OK);
	g_assert_cmpint(wv_limits_charge(limits, 0, wv_string_borrow("kestane"),
			    WV_RANK_URGENT, &two, &status),
	    ==, WV_CONCURRENCY_LIMIT);
	g_assert_nonnull(strstr(status.message, "ranks.urgent.concurrency"));
	wv_limits_finish(limits, wv_string_borrow("kestane"), WV_RANK_URGENT);
	g_assert_cmpint(charge(limits, 0, &two), ==, WV_OK);
	wv_limits_destroy(limits);
}

/* If a check charged the request, each claimed job would count twice. */
static void
test_check_does_not_charge(void)
{
	struct wv_limits *limits = wv_limits_create(1);
	struct wv_status status;
	int admitted = 0;

	for (int i = 0; i < 100; i++)
		g_assert_cmpint(
		    wv_limits_check(limits, 0, wv_string_borrow("kestane"),
			WV_RANK_URGENT, &terms, &status),
		    ==, WV_OK);
	for (int i = 0; i < 50; i++)
		admitted += charge(limits, 0, &terms) == WV_OK;
	g_assert_cmpint(admitted, ==, 20);
	wv_limits_destroy(limits);
}

/* If each lane rounded up, their sum would exceed the contract. */
static void
test_lanes_sum_to_contract(void)
{
	struct wv_rank_terms seven = terms;
	int admitted = 0;

	seven.concurrency = 7;
	for (uint32_t lane = 0; lane < 3; lane++) {
		struct wv_limits *limits = wv_limits_create(3);

		wv_limits_set_lane(limits, lane);
		for (int now = 0; now < 2000; now += 10)
			admitted += charge(limits, now, &seven) == WV_OK;
		wv_limits_destroy(limits);
	}
	g_assert_cmpint(admitted, ==, 7);
}

/* More extra attempts than the fraction would amplify an overload. */
static void
test_budget_is_a_fraction(void)
{
	struct wv_budget budget = {0};

	for (int i = 0; i < 10000; i++) {
		wv_budget_earn(&budget, 0.05);
		while (wv_budget_spend(&budget))
			continue;
		g_assert_cmpfloat((double)budget.extra, <=,
		    0.05 * (double)budget.first + 1e-6);
	}
	g_assert_cmpuint(budget.extra, >=, 499);
	g_assert_cmpuint(budget.refused, >, 0);
}

/* Credit from a long time without faults must not allow a retry storm. */
static void
test_budget_is_capped(void)
{
	struct wv_budget budget = {0};
	int allowed = 0;

	for (int i = 0; i < 100000; i++)
		wv_budget_earn(&budget, 0.05);
	while (wv_budget_spend(&budget))
		allowed++;
	g_assert_cmpint(allowed, ==, (int)WV_BUDGET_MAX_CREDIT);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limits/any-second", test_rate_in_any_second);
	g_test_add_func("/limits/burst", test_burst_at_once);
	g_test_add_func("/limits/reset", test_reset_admits_no_burst);
	g_test_add_func(
	    "/limits/reset-unseen", test_reset_covers_unseen_customer);
	g_test_add_func("/limits/concurrency", test_concurrency);
	g_test_add_func("/limits/check", test_check_does_not_charge);
	g_test_add_func("/limits/lanes", test_lanes_sum_to_contract);
	g_test_add_func("/budget/fraction", test_budget_is_a_fraction);
	g_test_add_func("/budget/cap", test_budget_is_capped);
	return g_test_run();
}
