/**
 * @file
 * Tests of draining: no stage of a planned stop may start too early.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/* Address lifetime and spread time, in ms. */
#define LIFETIME 5000.0
#define SPREAD 1000.0

/* Requests must be accepted as long as a caller may hold the address. */
static void
test_refuses_after_address_expiry(void)
{
	struct wv_drain *drain = wv_drain_create(LIFETIME, SPREAD);

	wv_drain_advance(drain, 50, 0, 0);
	g_assert_cmpint(wv_drain_stage(drain), ==, WV_DRAIN_SERVING);
	g_assert_true(wv_drain_is_advertised(drain));
	wv_drain_begin(drain, 100);
	g_assert_false(wv_drain_is_advertised(drain));
	g_assert_false(wv_drain_may_hold_leases(drain));
	wv_drain_advance(drain, 100 + SPREAD + LIFETIME, 0, 0);
	g_assert_true(wv_drain_is_accepting(drain));
	wv_drain_advance(drain, 101 + SPREAD + LIFETIME, 3, 0);
	g_assert_false(wv_drain_is_accepting(drain));
	wv_drain_destroy(drain);
}

/* Exiting with requests in progress or leases would abort requests. */
static void
test_stops_when_idle(void)
{
	struct wv_drain *drain = wv_drain_create(LIFETIME, SPREAD);
	wv_msec late = SPREAD + LIFETIME + 1;

	wv_drain_begin(drain, 0);
	g_assert_cmpint(
	    wv_drain_advance(drain, late, 1, 0), ==, WV_DRAIN_REFUSING);
	g_assert_cmpint(
	    wv_drain_advance(drain, late + 1, 1, 0), ==, WV_DRAIN_REFUSING);
	g_assert_cmpint(
	    wv_drain_advance(drain, late + 2, 0, 1), ==, WV_DRAIN_RELEASING);
	g_assert_cmpint(
	    wv_drain_advance(drain, late + 3, 0, 0), ==, WV_DRAIN_STOPPED);
	wv_drain_destroy(drain);
}

/* If a lease holder refused requests that peers forward, they would fail. */
static void
test_waits_for_leases(void)
{
	struct wv_drain *drain = wv_drain_create(LIFETIME, SPREAD);
	wv_msec late = SPREAD + LIFETIME + 1;

	wv_drain_begin(drain, 0);
	wv_drain_advance(drain, late, 0, 1);
	g_assert_true(wv_drain_is_accepting(drain));
	wv_drain_advance(drain, late + LIFETIME, 0, 1);
	g_assert_false(wv_drain_is_accepting(drain));
	wv_drain_destroy(drain);
}

/* A second stop request must not restart the waiting time. */
static void
test_begins_once(void)
{
	struct wv_drain *drain = wv_drain_create(LIFETIME, SPREAD);

	wv_drain_begin(drain, 0);
	wv_drain_begin(drain, SPREAD + LIFETIME);
	g_assert_cmpint(wv_drain_advance(drain, SPREAD + LIFETIME + 1, 0, 0),
	    ==, WV_DRAIN_STOPPED);
	wv_drain_begin(drain, SPREAD + LIFETIME + 2);
	g_assert_cmpint(wv_drain_stage(drain), ==, WV_DRAIN_STOPPED);
	wv_drain_destroy(drain);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/refuses", test_refuses_after_address_expiry);
	g_test_add_func("/drain/stops-last", test_stops_when_idle);
	g_test_add_func("/drain/leases", test_waits_for_leases);
	g_test_add_func("/drain/once", test_begins_once);
	return g_test_run();
}
