/**
 * @file
 * Tests rendezvous hashing: all VMs agree on the order, the preferred zone
 * comes first, and a lost VM moves only its own lanes.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

#define CANDIDATES 9

static char names[CANDIDATES][8];

static void
make_candidates(struct wv_candidate *candidates)
{
	static const char *const zones[] = {"za", "zb", "zc"};

	for (int i = 0; i < CANDIDATES; i++) {
		g_snprintf(names[i], sizeof(names[i]), "vm%d", i);
		candidates[i].name = wv_string_borrow(names[i]);
		candidates[i].zone = wv_string_borrow(zones[i % 3]);
	}
}

/* VMs list candidates in different orders and must agree on the first one. */
static void
test_order_is_independent_of_input(void)
{
	struct wv_string no_zone = {NULL, 0};
	struct wv_candidate candidates[CANDIDATES];
	struct wv_candidate reversed[CANDIDATES];
	size_t order[CANDIDATES];
	size_t other[CANDIDATES];
	char lane[16];

	make_candidates(candidates);
	for (int i = 0; i < CANDIDATES; i++)
		reversed[i] = candidates[CANDIDATES - 1 - i];
	for (int i = 0; i < 100; i++) {
		g_snprintf(lane, sizeof(lane), "b/%d", i);
		wv_rendezvous_order(wv_string_borrow(lane), no_zone, candidates,
		    CANDIDATES, order);
		wv_rendezvous_order(wv_string_borrow(lane), no_zone, reversed,
		    CANDIDATES, other);
		for (int j = 0; j < CANDIDATES; j++)
			g_assert_cmpuint(
			    order[j], ==, CANDIDATES - 1 - other[j]);
		g_assert_cmpuint(order[0], ==,
		    wv_rendezvous_first(wv_string_borrow(lane), no_zone,
			candidates, CANDIDATES));
	}
}

/* With a holder in another zone, every query crosses zones. */
static void
test_near_zone_first(void)
{
	struct wv_candidate candidates[CANDIDATES];
	struct wv_string zone = wv_string_borrow("zb");
	size_t order[CANDIDATES];

	make_candidates(candidates);
	wv_rendezvous_order(wv_string_borrow("race-eve/0"), zone, candidates,
	    CANDIDATES, order);
	for (int i = 0; i < CANDIDATES; i++)
		g_assert_cmpint(
		    wv_string_equal(candidates[order[i]].zone, zone), ==,
		    i < 3);
}

/* A lost VM must move only its own lanes, and each VM has enough lanes. */
static void
test_little_movement(void)
{
	struct wv_string no_zone = {NULL, 0};
	struct wv_candidate candidates[CANDIDATES];
	char lane[16];
	size_t before;
	size_t after;
	int owned[CANDIDATES] = {0};

	make_candidates(candidates);
	for (int i = 0; i < 900; i++) {
		g_snprintf(lane, sizeof(lane), "b/%d", i);
		before = wv_rendezvous_first(
		    wv_string_borrow(lane), no_zone, candidates, CANDIDATES);
		after = wv_rendezvous_first(wv_string_borrow(lane), no_zone,
		    candidates, CANDIDATES - 1);
		owned[before]++;
		if (before != CANDIDATES - 1)
			g_assert_cmpuint(before, ==, after);
	}
	for (int i = 0; i < CANDIDATES; i++)
		g_assert_cmpint(owned[i], >, 60);
}

/* No candidates give index 0; lanes are in range and evenly distributed. */
static void
test_edges(void)
{
	struct wv_string no_zone = {NULL, 0};
	struct wv_string customer = wv_string_borrow("kestane");
	int seen[4] = {0};

	g_assert_cmpuint(
	    wv_rendezvous_first(wv_string_borrow("a/0"), no_zone, NULL, 0), ==,
	    0);
	g_assert_cmpuint(wv_rendezvous_lane(customer, 7, 0), ==, 0);
	g_assert_cmpuint(wv_rendezvous_lane(customer, 7, 1), ==, 0);
	for (uint64_t i = 0; i < 1000; i++)
		seen[wv_rendezvous_lane(customer, i, 4)]++;
	for (int i = 0; i < 4; i++)
		g_assert_cmpint(seen[i], >, 180);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/owner/order", test_order_is_independent_of_input);
	g_test_add_func("/owner/near-zone", test_near_zone_first);
	g_test_add_func("/owner/movement", test_little_movement);
	g_test_add_func("/owner/edges", test_edges);
	return g_test_run();
}
