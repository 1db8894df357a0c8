/**
 * @file
 * Tests the roster, the VMs that count towards majorities: previous rosters
 * count until enough of their VMs have adopted the current one, and a large
 * roster has a limited number of granters spread over zones.
 */
#include <stdlib.h>

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/* Time at which the grace period of a roster created at 0 is over, ms. */
#define GRACE_OVER (WV_ROSTER_GRACE_TIME + 1)

static char names[64][8];
static const char *const zones[] = {"za", "zb", "zc"};

/* Updates a roster to the VMs from, from + 1, ... in rotating zones. */
static void
update_roster(struct wv_roster *roster, wv_msec now, size_t from, size_t n)
{
	struct wv_candidate list[64];

	for (size_t i = 0; i < n; i++) {
		g_snprintf(
		    names[from + i], sizeof(names[0]), "vm%zu", from + i);
		list[i].name = wv_string_borrow(names[from + i]);
		list[i].zone = wv_string_borrow(zones[(from + i) % 3]);
	}
	wv_roster_update(roster, now, list, n);
}

/* Creates the roster of vm0 with n VMs, after its grace period. */
static struct wv_roster *
create_roster(size_t n)
{
	struct wv_roster *roster = wv_roster_create(wv_string_borrow("vm0"), 0);

	update_roster(roster, 0, 0, n);
	update_roster(roster, GRACE_OVER, 0, n);
	return roster;
}

static void
add_grant(struct wv_lease *lease, const char *name, wv_msec sent_at)
{
	struct wv_vm_id id = {wv_string_borrow(name), 1};

	wv_lease_add_grant(lease, id, sent_at);
}

/* A new VM does not know yet which other VMs count for a majority. */
static void
test_new_vm_has_no_lease(void)
{
	struct wv_roster *roster = wv_roster_create(wv_string_borrow("vm0"), 0);
	struct wv_lease *lease = wv_lease_create(wv_string_borrow("l/0"));

	add_grant(lease, "vm0", 100);
	update_roster(roster, 100, 0, 1);
	g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), <, 0);
	update_roster(roster, GRACE_OVER, 0, 1);
	g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), ==, 1100);
	wv_lease_destroy(lease);
	wv_roster_destroy(roster);
}

/* A majority of one roster could miss a holder under the other roster. */
static void
test_both_rosters_count(void)
{
	struct wv_roster *roster = create_roster(3);
	struct wv_lease *lease = wv_lease_create(wv_string_borrow("l/0"));

	update_roster(roster, 2000, 0, 5);
	g_assert_cmpuint(wv_roster_count_previous(roster), ==, 1);
	add_grant(lease, "vm0", 2000);
	add_grant(lease, "vm3", 2000);
	add_grant(lease, "vm4", 2000);
	g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), <, 0);
	add_grant(lease, "vm1", 1900);
	g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), ==, 2900);
	wv_roster_set_reported_digest(
	    roster, wv_string_borrow("vm1"), wv_roster_digest(roster));
	update_roster(roster, 3000, 0, 5);
	g_assert_cmpuint(wv_roster_count_previous(roster), ==, 1);
	update_roster(roster, 3000 + WV_ROSTER_TRANSITION_TIME, 0, 5);
	g_assert_cmpuint(wv_roster_count_previous(roster), ==, 0);
	wv_lease_destroy(lease);
	wv_roster_destroy(roster);
}

/* Claims under a replaced roster must be refused after the grace period. */
static void
test_claims_under_old_roster(void)
{
	struct wv_roster *roster = create_roster(3);
	struct wv_string claimant = wv_string_borrow("vm1");
	uint64_t old = wv_roster_digest(roster);

	g_assert_true(wv_roster_may_grant(roster, 2000, claimant, old));
	/* A VM outside the roster could be granted by disjoint majorities. */
	g_assert_false(
	    wv_roster_may_grant(roster, 2000, wv_string_borrow("vm9"), old));
	update_roster(roster, 2000, 0, 5);
	g_assert_true(wv_roster_may_grant(
	    roster, 1999 + WV_ROSTER_GRACE_TIME, claimant, old));
	g_assert_false(wv_roster_may_grant(
	    roster, 2000 + WV_ROSTER_GRACE_TIME, claimant, old));
	g_assert_true(wv_roster_may_grant(roster, 2000 + WV_ROSTER_GRACE_TIME,
	    claimant, wv_roster_digest(roster)));
	/* A new VM gets no grant until the previous roster is retired. */
	g_assert_false(wv_roster_may_grant(
	    roster, 9000, wv_string_borrow("vm4"), wv_roster_digest(roster)));
	/* A previous roster that becomes current again is valid. */
	update_roster(roster, 9000, 0, 3);
	g_assert_true(wv_roster_may_grant(roster, 99000, claimant, old));
	wv_roster_destroy(roster);
}

/* Claims to all VMs of a large roster would cost each VM too much. */
static void
test_granters_are_limited(void)
{
	struct wv_roster *roster = create_roster(40);
	struct wv_string granters[2 * WV_MAX_GRANTERS];
	struct wv_lease *lease = wv_lease_create(wv_string_borrow("l/0"));
	int per_zone[3] = {0};
	size_t n;

	n = wv_roster_granters(
	    roster, wv_string_borrow("l/0"), granters, G_N_ELEMENTS(granters));
	g_assert_cmpuint(n, ==, WV_MAX_GRANTERS);
	/* A majority must remain if a zone is lost. */
	for (size_t i = 0; i < n; i++)
		per_zone[strtoul(granters[i].data + 2, NULL, 10) % 3]++;
	for (size_t i = 0; i < 3; i++)
		g_assert_cmpint(per_zone[i], ==, WV_MAX_GRANTERS / 3);
	for (size_t i = 0; i < WV_MAX_GRANTERS / 2 + 1; i++) {
		g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), <, 0);
		add_grant(lease, granters[i].data, 2000);
	}
	g_assert_cmpfloat(wv_roster_lease_expiry(roster, lease), ==, 3000);
	wv_lease_destroy(lease);
	wv_roster_destroy(roster);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/fresh", test_new_vm_has_no_lease);
	g_test_add_func("/roster/both", test_both_rosters_count);
	g_test_add_func("/roster/old", test_claims_under_old_roster);
	g_test_add_func("/roster/granters", test_granters_are_limited);
	return g_test_run();
}
