/**
 * @file
 * Tests of the admission queues: order by deadline within a rank, shares of the
 * ranks, and the predicted wait.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

static const double shares[WV_RANK_COUNT] = {0.5, 0.3, 0.2};

static struct wv_waiter *
push(struct wv_admission *admission, struct wv_waiter *waiter,
    enum wv_rank rank, wv_msec deadline)
{
	waiter->rank = rank;
	waiter->deadline = deadline;
	wv_admission_push(admission, waiter);
	return waiter;
}

/*
 * Random insertions and removals: a corrupt heap would serve a later deadline
 * before an earlier one.
 */
static void
test_earliest_deadline_first(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter waiters[200] = {0};
	GRand *rand = g_rand_new_with_seed(1);
	struct wv_waiter *next, *last = NULL;
	int n_popped = 0;

	for (int i = 0; i < 200; i++)
		push(admission, &waiters[i], WV_RANK_STANDARD,
		    g_rand_int_range(rand, 0, 50));
	for (int i = 0; i < 200; i += 3)
		wv_admission_remove(admission, &waiters[i]);
	while ((next = wv_admission_pop(admission, 0, 1, 1)) != NULL) {
		g_assert_cmpint((int)((next - waiters) % 3), !=, 0);
		g_assert_false(next->queued);
		if (last != NULL && last->deadline == next->deadline)
			g_assert_cmpuint(last->sequence, <, next->sequence);
		else if (last != NULL)
			g_assert_cmpfloat(last->deadline, <, next->deadline);
		last = next;
		n_popped++;
	}
	g_assert_cmpint(n_popped, ==, 200 - 67);
	g_rand_free(rand);
	wv_admission_destroy(admission);
}

/* Without a free slot no waiter is returned. */
static void
test_no_free_slot(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter waiter = {0};

	push(admission, &waiter, WV_RANK_URGENT, 10);
	g_assert_null(wv_admission_pop(admission, 0, 0, 6));
	g_assert_true(wv_admission_pop(admission, 0, 1, 6) == &waiter);
	g_assert_null(wv_admission_pop(admission, 0, 1, 6));
	wv_admission_destroy(admission);
}

/*
 * Simulates one slot for 20 s while the given ranks always have a waiter;
 * stores the fraction of the slot time that each rank got.
 */
static void
run_saturated(const bool waits[WV_RANK_COUNT], double fractions[WV_RANK_COUNT])
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter waiters[WV_RANK_COUNT] = {0};
	double total = 0;

	wv_admission_set_shares(admission, shares);
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		fractions[i] = 0;
		if (waits[i])
			push(admission, &waiters[i], i, 1e6);
	}
	for (int now = 0; now < 20000; now += 20) {
		struct wv_waiter *next = wv_admission_pop(admission, now, 1, 1);

		g_assert_nonnull(next);
		fractions[next->rank] += 20;
		total += 20;
		wv_admission_record_usage(admission, now + 20, next->rank, 20);
		push(admission, next, next->rank, 1e6);
	}
	for (int i = 0; i < WV_RANK_COUNT; i++)
		fractions[i] /= total;
	wv_admission_destroy(admission);
}

/* An overload of urgent requests must not take the shares of other ranks. */
static void
test_shares_in_overload(void)
{
	const bool waits[WV_RANK_COUNT] = {true, true, true};
	double fractions[WV_RANK_COUNT];

	run_saturated(waits, fractions);
	for (int i = 0; i < WV_RANK_COUNT; i++)
		g_assert_cmpfloat(fractions[i], >=, 0.9 * shares[i]);
}

/*
 * With slots to spare every rank is below its share. The least urgent rank,
 * which uses least, must not go before urgent work then.
 */
static void
test_urgent_first_with_spare_slots(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter waiters[WV_RANK_COUNT] = {0};

	wv_admission_set_shares(admission, shares);
	for (int i = 0; i < 100; i++)
		wv_admission_record_usage(
		    admission, 10 * i, WV_RANK_URGENT, 20);
	for (int i = 0; i < WV_RANK_COUNT; i++)
		push(admission, &waiters[i], i, 1e6);
	for (int i = 0; i < WV_RANK_COUNT; i++)
		g_assert_true(
		    wv_admission_pop(admission, 1000, 1, 6) == &waiters[i]);
	wv_admission_destroy(admission);
}

/* An unused share goes to the most urgent waiting rank. */
static void
test_unused_share(void)
{
	const bool waits[WV_RANK_COUNT] = {true, false, true};
	double fractions[WV_RANK_COUNT];

	run_saturated(waits, fractions);
	g_assert_cmpfloat(fractions[WV_RANK_BACKGROUND], >=, 0.18);
	g_assert_cmpfloat(fractions[WV_RANK_BACKGROUND], <=, 0.24);
	g_assert_cmpfloat(fractions[WV_RANK_URGENT], >=, 0.76);
}

/* Background work above its share must wait for urgent work. */
static void
test_urgent_first_above_share(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter urgent = {0}, background = {0};

	wv_admission_set_shares(admission, shares);
	for (int i = 0; i < 100; i++) {
		wv_admission_record_usage(admission, 0, WV_RANK_BACKGROUND, 40);
		wv_admission_record_usage(admission, 0, WV_RANK_URGENT, 40);
	}
	push(admission, &background, WV_RANK_BACKGROUND, 5);
	push(admission, &urgent, WV_RANK_URGENT, 500);
	g_assert_true(wv_admission_pop(admission, 0, 1, 1) == &urgent);
	wv_admission_destroy(admission);
}

/*
 * In an overload, earliest deadline first would spend slots on requests that
 * narrowly miss their deadline. Such requests only get slots that no other
 * request waits for.
 */
static void
test_late_is_skipped(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter late = {0}, removed = {0}, good = {0};

	wv_admission_record_usage(admission, 0, WV_RANK_URGENT, 20);
	push(admission, &late, WV_RANK_URGENT, 1010);
	push(admission, &removed, WV_RANK_URGENT, 1005);
	push(admission, &good, WV_RANK_BACKGROUND, 2000);
	g_assert_true(wv_admission_pop(admission, 1000, 1, 1) == &good);
	g_assert_cmpuint(
	    wv_admission_count_waiting(admission, WV_RANK_URGENT), ==, 2);
	wv_admission_remove(admission, &removed);
	g_assert_true(wv_admission_pop(admission, 1000, 1, 1) == &late);
	g_assert_null(wv_admission_pop(admission, 1000, 1, 1));
	wv_admission_destroy(admission);
}

/* A prediction below the real wait would admit requests that then expire. */
static void
test_expected_wait(void)
{
	struct wv_admission *admission = wv_admission_create();
	struct wv_waiter waiters[10] = {0};

	wv_admission_set_shares(admission, shares);
	g_assert_cmpfloat(
	    wv_admission_expected_wait(admission, WV_RANK_URGENT, 100, 20, 2),
	    ==, 0);
	for (int i = 0; i < 10; i++)
		push(admission, &waiters[i], WV_RANK_URGENT, 100 + i);
	g_assert_cmpfloat(
	    wv_admission_expected_wait(admission, WV_RANK_URGENT, 200, 20, 2),
	    >=, 10 * 20 / 2.0);
	g_assert_cmpfloat(
	    wv_admission_expected_wait(admission, WV_RANK_URGENT, 50, 20, 2),
	    ==, 0);
	g_assert_cmpfloat(wv_admission_expected_wait(
			      admission, WV_RANK_BACKGROUND, 200, 20, 2),
	    >, 0);
	wv_admission_destroy(admission);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/deadline", test_earliest_deadline_first);
	g_test_add_func("/admission/no-free-slot", test_no_free_slot);
	g_test_add_func("/admission/shares", test_shares_in_overload);
	g_test_add_func("/admission/spare", test_unused_share);
	g_test_add_func("/admission/urgent", test_urgent_first_above_share);
	g_test_add_func("/admission/late", test_late_is_skipped);
	g_test_add_func("/admission/calm", test_urgent_first_with_spare_slots);
	g_test_add_func("/admission/expected-wait", test_expected_wait);
	return g_test_run();
}
