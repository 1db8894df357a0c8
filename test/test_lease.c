/**
 * @file
 * Tests the lease of a lane: grants, their expiry, releases and majorities.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/* Duration of a grant, and of the wait of a new granter, ms. */
#define GRANT_TIME (WV_LEASE_TIME + WV_LEASE_MARGIN)

static struct wv_vm_id
vm(const char *name, uint64_t incarnation)
{
	struct wv_vm_id id = {wv_string_borrow(name), incarnation};

	return id;
}

static bool
claim(struct wv_granter *granter, wv_msec now, const char *name,
    uint64_t incarnation)
{
	return wv_granter_claim(granter, now, wv_string_borrow("race-eve/0"),
	    vm(name, incarnation));
}

/* A restarted VM may have granted the lane to another VM just before. */
static void
test_new_granter_waits(void)
{
	struct wv_granter *granter = wv_granter_create(500);

	g_assert_false(claim(granter, 500, "a", 1));
	g_assert_false(claim(granter, 499 + GRANT_TIME, "a", 1));
	g_assert_true(claim(granter, 500 + GRANT_TIME, "a", 1));
	wv_granter_destroy(granter);
}

/* If one granter had two holders at once, two majorities could form. */
static void
test_grant_is_exclusive(void)
{
	struct wv_granter *granter = wv_granter_create(0);
	wv_msec now = GRANT_TIME;

	g_assert_true(claim(granter, now, "a", 1));
	g_assert_false(claim(granter, now + 1, "b", 1));
	g_assert_true(claim(granter, now + 600, "a", 1));
	g_assert_false(claim(granter, now + 599 + GRANT_TIME, "b", 1));
	/*
	 * A new process of the holder does not know the attempts of the
	 * previous one, so it must wait like any other VM.
	 */
	g_assert_false(claim(granter, now + 599 + GRANT_TIME, "a", 2));
	g_assert_true(claim(granter, now + 600 + GRANT_TIME, "b", 1));
	g_assert_false(claim(granter, now + 601 + GRANT_TIME, "a", 1));
	wv_granter_destroy(granter);
}

/* A grant of one lane must not block another lane. */
static void
test_lanes_are_separate(void)
{
	struct wv_granter *granter = wv_granter_create(0);

	g_assert_true(claim(granter, GRANT_TIME, "a", 1));
	g_assert_true(wv_granter_claim(
	    granter, GRANT_TIME, wv_string_borrow("race-eve/1"), vm("b", 1)));
	wv_granter_destroy(granter);
}

/* A release by any other process would take the lane from its holder. */
static void
test_release(void)
{
	struct wv_granter *granter = wv_granter_create(0);
	struct wv_string lane = wv_string_borrow("race-eve/0");

	g_assert_true(claim(granter, GRANT_TIME, "a", 2));
	wv_granter_release(granter, lane, vm("b", 2));
	wv_granter_release(granter, lane, vm("a", 1));
	g_assert_false(claim(granter, GRANT_TIME, "b", 2));
	wv_granter_release(granter, lane, vm("a", 2));
	g_assert_true(claim(granter, GRANT_TIME, "b", 2));
	wv_granter_destroy(granter);
}

/* A late release would remove a grant that was renewed after it. */
static void
test_late_heartbeats_are_ignored(void)
{
	struct wv_granter *granter = wv_granter_create(0);

	g_assert_true(wv_granter_accept_heartbeat(granter, vm("a", 5), 7));
	g_assert_false(wv_granter_accept_heartbeat(granter, vm("a", 5), 7));
	g_assert_false(wv_granter_accept_heartbeat(granter, vm("a", 5), 6));
	g_assert_true(wv_granter_accept_heartbeat(granter, vm("b", 5), 6));
	g_assert_true(wv_granter_accept_heartbeat(granter, vm("a", 6), 1));
	g_assert_false(wv_granter_accept_heartbeat(granter, vm("a", 5), 8));
	wv_granter_destroy(granter);
}

/* A lease expires with the oldest grant that is needed for the majority. */
static void
test_majority(void)
{
	struct wv_lease *lease = wv_lease_create(wv_string_borrow("l/0"));
	struct wv_string roster[4] = {wv_string_borrow("a"),
	    wv_string_borrow("b"), wv_string_borrow("c"),
	    wv_string_borrow("d")};

	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 0), <, 0);
	wv_lease_add_grant(lease, vm("a", 1), 300);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 3), <, 0);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 1), ==, 1300);
	wv_lease_add_grant(lease, vm("b", 1), 100);
	wv_lease_add_grant(lease, vm("x", 1), 400);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 3), ==, 1100);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 4), <, 0);
	wv_lease_add_grant(lease, vm("c", 1), 200);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 3), ==, 1200);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 4), ==, 1100);
	/* A late grant of an older heartbeat changes nothing. */
	wv_lease_add_grant(lease, vm("a", 1), 50);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 3), ==, 1200);
	wv_lease_destroy(lease);
}

/* A grant that arrives after the release must not restore the lease. */
static void
test_drop(void)
{
	struct wv_lease *lease = wv_lease_create(wv_string_borrow("l/0"));
	struct wv_string roster[1] = {wv_string_borrow("a")};

	wv_lease_add_grant(lease, vm("a", 1), 100);
	wv_lease_reset(lease, 200);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 1), <, 0);
	wv_lease_add_grant(lease, vm("a", 1), 200);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 1), <, 0);
	wv_lease_add_grant(lease, vm("a", 1), 201);
	g_assert_cmpfloat(wv_lease_expiry(lease, roster, 1), ==, 1201);
	wv_lease_destroy(lease);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease/fresh", test_new_granter_waits);
	g_test_add_func("/lease/exclusive", test_grant_is_exclusive);
	g_test_add_func("/lease/lanes", test_lanes_are_separate);
	g_test_add_func("/lease/release", test_release);
	g_test_add_func("/lease/late", test_late_heartbeats_are_ignored);
	g_test_add_func("/lease/majority", test_majority);
	g_test_add_func("/lease/drop", test_drop);
	return g_test_run();
}
