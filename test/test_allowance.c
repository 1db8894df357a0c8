/**
 * @file
 * Tests of the allowance: the sum over VMs stays within the fleet's bound in
 * every sliding window, while VMs start, end and see uneven demand.
 */
#include <glib.h>

#include "wisteriavane/allowance.h"

#define VMS 9
#define RATIO 0.2
#define SLACK 58.0
#define WINDOW 10000.0
#define STEP 20.0 /* ms */
#define STEPS 3000

struct counts {
	unsigned first;
	unsigned extra;
};

static unsigned
sum_first(const struct counts *counts, int from, int to)
{
	unsigned sum = 0;

	for (int i = MAX(from, 0); i < MIN(to, STEPS); i++)
		sum += counts[i].first;
	return sum;
}

static unsigned
sum_extra(const struct counts *counts, int from, int to)
{
	unsigned sum = 0;

	for (int i = MAX(from, 0); i < MIN(to, STEPS); i++)
		sum += counts[i].extra;
	return sum;
}

/* Requests of the window or of one that lies up to a window before it. */
static void
check_windows(const struct counts *counts)
{
	const int length = (int)(WINDOW / STEP);

	for (int at = 0; at + length <= STEPS; at += 5) {
		unsigned extra = sum_extra(counts, at, at + length);
		unsigned first = MAX(sum_first(counts, at, at + length),
		    sum_first(counts, at - length, at));

		first = MAX(
		    first, sum_first(counts, at - length / 2, at + length / 2));
		g_assert_cmpfloat(extra, <=, RATIO * first + SLACK);
	}
}

static void
play(guint32 seed)
{
	struct counts *counts = g_new0(struct counts, STEPS);
	struct wv_allowance allowances[VMS] = {0};
	struct wv_allowance_terms terms[VMS];
	GRand *random = g_rand_new_with_seed(seed);

	for (int vm = 0; vm < VMS; vm++)
		terms[vm] =
		    (struct wv_allowance_terms){RATIO, SLACK / VMS, WINDOW, 0};
	for (int i = 0; i < STEPS; i++) {
		int vm = g_rand_int_range(random, 0, VMS);
		wv_msec now = 50000 + i * STEP;

		if (g_rand_int_range(random, 0, 400) == 0) {
			allowances[vm] = (struct wv_allowance){0};
			terms[vm].slack_from = now + WINDOW;
		}
		for (int k = g_rand_int_range(random, 0, 9); k > 0; k--) {
			wv_allowance_first(&allowances[vm], &terms[vm], now);
			counts[i].first++;
		}
		/* Every VM takes all that it may. */
		for (vm = 0; vm < VMS; vm++) {
			while (wv_allowance_spend(
			    &allowances[vm], &terms[vm], now))
				counts[i].extra++;
		}
	}
	check_windows(counts);
	g_assert_cmpuint(sum_extra(counts, 0, STEPS), >, 0);
	g_rand_free(random);
	g_free(counts);
}

static void
test_bound(void)
{
	for (guint32 seed = 1; seed <= 20; seed++)
		play(seed);
}

/* A process that has just started may have spent the slack before. */
static void
test_no_slack_at_start(void)
{
	struct wv_allowance allowance = {0};
	struct wv_allowance_terms terms = {RATIO, 6, WINDOW, 20000};

	g_assert_false(wv_allowance_spend(&allowance, &terms, 15000));
	for (int i = 0; i < 20; i++)
		wv_allowance_first(&allowance, &terms, 15000);
	g_assert_true(wv_allowance_spend(&allowance, &terms, 15000));
	for (int i = 0; i < 10; i++)
		wv_allowance_spend(&allowance, &terms, 15000);
	g_assert_false(wv_allowance_spend(&allowance, &terms, 15000));
	g_assert_true(wv_allowance_spend(&allowance, &terms, 20000));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/allowance/bound", test_bound);
	g_test_add_func("/allowance/start", test_no_slack_at_start);
	return g_test_run();
}
