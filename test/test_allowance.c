/**
 * @file
 * Tests of the allowance of extra attempts: the sum over all VMs stays within
 * the limit in every window while VMs restart and get uneven load.
 */
#include <glib.h>

#include "wisteriavane/allowance.h"

#define VMS 9
#define RATIO 0.2
#define SLACK 58.0
#define WINDOW_MS 10000.0
#define STEP_MS 20.0
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

/*
 * Checks the extra attempts of each window against the first attempts of the
 * same window, or of one that starts half a window or a window earlier.
 */
static void
check_windows(const struct counts *counts)
{
	const int length = (int)(WINDOW_MS / STEP_MS);

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
run_random_load(guint32 seed)
{
	struct counts *counts = g_new0(struct counts, STEPS);
	struct wv_allowance allowances[VMS] = {0};
	struct wv_allowance_limits limits[VMS];
	GRand *random = g_rand_new_with_seed(seed);

	for (int vm = 0; vm < VMS; vm++)
		limits[vm] = (struct wv_allowance_limits){
		    RATIO, SLACK / VMS, WINDOW_MS, 0};
	for (int i = 0; i < STEPS; i++) {
		int vm = g_rand_int_range(random, 0, VMS);
		wv_msec now = 50000 + i * STEP_MS;

		if (g_rand_int_range(random, 0, 400) == 0) {
			allowances[vm] = (struct wv_allowance){0};
			limits[vm].slack_from = now + WINDOW_MS;
		}
		for (int k = g_rand_int_range(random, 0, 9); k > 0; k--) {
			wv_allowance_count_first(
			    &allowances[vm], &limits[vm], now);
			counts[i].first++;
		}
		/* Every VM spends all of its allowance. */
		for (vm = 0; vm < VMS; vm++) {
			while (wv_allowance_spend(
			    &allowances[vm], &limits[vm], now))
				counts[i].extra++;
		}
	}
	check_windows(counts);
	g_assert_cmpuint(sum_extra(counts, 0, STEPS), >, 0);
	g_rand_free(random);
	g_free(counts);
}

static void
test_limit_of_all_vms(void)
{
	for (guint32 seed = 1; seed <= 20; seed++)
		run_random_load(seed);
}

/*
 * The previous process of the VM may have spent the slack, so a new one must
 * not spend it until a window has passed.
 */
static void
test_no_slack_at_start(void)
{
	struct wv_allowance allowance = {0};
	struct wv_allowance_limits limits = {RATIO, 6, WINDOW_MS, 20000};

	g_assert_false(wv_allowance_spend(&allowance, &limits, 15000));
	for (int i = 0; i < 20; i++)
		wv_allowance_count_first(&allowance, &limits, 15000);
	g_assert_true(wv_allowance_spend(&allowance, &limits, 15000));
	for (int i = 0; i < 10; i++)
		wv_allowance_spend(&allowance, &limits, 15000);
	g_assert_false(wv_allowance_spend(&allowance, &limits, 15000));
	g_assert_true(wv_allowance_spend(&allowance, &limits, 20000));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/allowance/bound", test_limit_of_all_vms);
	g_test_add_func("/allowance/start", test_no_slack_at_start);
	return g_test_run();
}
