/**
 * @file
 * Tests of the table of other VMs.
 */
#include <glib.h>

#include "wisteriavane/peers.h"

static struct wv_peer_report
report(const char *name, uint64_t sequence)
{
	return (struct wv_peer_report){.name = wv_string_borrow(name),
	    .incarnation = 5,
	    .sequence = sequence,
	    .peers = wv_string_borrow("127.0.0.1:1"),
	    .callers = wv_string_borrow("127.0.0.1:2"),
	    .zone = wv_string_borrow("z"),
	    .serving = true,
	    .capacity = 1};
}

static guint
addresses(struct wv_peers *peers, wv_msec now)
{
	GPtrArray *list = g_ptr_array_new();
	guint n;

	wv_peers_addresses(peers, now, (struct wv_string){"", 0}, list);
	n = list->len;
	g_ptr_array_free(list, TRUE);
	return n;
}

static void
test_alive(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 1);
	struct wv_peer_report a = report("a", 1);
	struct wv_peer_report me = report("me", 1);

	wv_peers_introduce(peers, 0, wv_string_borrow("a"),
	    wv_string_borrow("127.0.0.1:1"), 1);
	g_assert_cmpuint(addresses(peers, 0), ==, 0);
	wv_peers_heard(peers, 100, &a);
	wv_peers_heard(peers, 100, &me);
	g_assert_cmpuint(addresses(peers, 200), ==, 1);
	g_assert_cmpuint(wv_peers_alive(peers, 200), ==, 1);
	/* Silent: not named to callers, but it may still use its part. */
	g_assert_cmpuint(addresses(peers, 2000), ==, 0);
	g_assert_cmpuint(wv_peers_standing(peers, 2000, false).vms, ==, 2);
	wv_peers_destroy(peers);
}

static void
test_leaving(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 1);
	struct wv_peer_report a = report("a", 1);

	wv_peers_heard(peers, 0, &a);
	a.sequence = 3;
	a.leaving = true;
	wv_peers_heard(peers, 10, &a);
	g_assert_cmpuint(addresses(peers, 20), ==, 0);
	/* A datagram that was overtaken does not bring it back. */
	a.sequence = 2;
	a.leaving = false;
	wv_peers_heard(peers, 30, &a);
	g_assert_cmpuint(addresses(peers, 40), ==, 0);
	/* The next process of the VM does. */
	a.incarnation = 6;
	a.sequence = 1;
	wv_peers_heard(peers, 50, &a);
	g_assert_cmpuint(addresses(peers, 60), ==, 1);
	wv_peers_destroy(peers);
}

/* The VM's clock was set back: its next process is heard all the same. */
static void
test_clock_back(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 1);
	struct wv_peer_report a = report("a", 9);

	wv_peers_heard(peers, 0, &a);
	a.incarnation = 4;
	a.sequence = 1;
	wv_peers_heard(peers, 500, &a);
	g_assert_cmpuint(addresses(peers, 1400), ==, 0);
	wv_peers_heard(peers, 1500, &a);
	g_assert_cmpuint(addresses(peers, 1600), ==, 1);
	wv_peers_destroy(peers);
}

static void
hear(struct wv_peers *peers, unsigned i, wv_msec now, double capacity,
    bool store_failed)
{
	char name[16];
	struct wv_peer_report a;

	g_snprintf(name, sizeof(name), "vm%u", i);
	a = report(name, (uint64_t)now + 1);
	a.capacity = capacity;
	a.store_failed = store_failed;
	a.revisions[WV_PEER_ROUTES] = i;
	wv_peers_heard(peers, now, &a);
}

/* Callers are sent to strong VMs, and to all when too few of those live. */
static void
test_preferred(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 0.12);
	struct wv_peer_standing standing;

	for (unsigned i = 0; i < 20; i++)
		hear(peers, i, 0, i < 5 ? 0.5 : 0.12, false);
	g_assert_cmpuint(addresses(peers, 0), ==, 5);
	standing = wv_peers_standing(peers, 0, false);
	g_assert_cmpuint(standing.vms, ==, 21);
	g_assert_cmpuint(standing.preferred, ==, 5);
	g_assert_false(standing.is_preferred);
	for (unsigned i = 3; i < 20; i++)
		hear(peers, i, 1500, i < 5 ? 0.5 : 0.12, false);
	g_assert_cmpuint(addresses(peers, 1500), ==, 17);
	wv_peers_destroy(peers);
}

/* Each of n VMs with the same view finds the same few watchers. */
static unsigned
count_watchers(unsigned n, unsigned failed)
{
	unsigned watchers = 0;

	for (unsigned own = 0; own < n; own++) {
		char name[16];
		struct wv_peers *peers;

		g_snprintf(name, sizeof(name), "vm%u", own);
		peers = wv_peers_create(wv_string_borrow(name), 1);
		for (unsigned i = 0; i < n; i++)
			hear(peers, i, 0, 1, i < failed);
		watchers +=
		    wv_peers_standing(peers, 0, own < failed).is_watcher;
		wv_peers_destroy(peers);
	}
	return watchers;
}

static void
test_watchers(void)
{
	g_assert_cmpuint(count_watchers(1, 0), ==, 1);
	g_assert_cmpuint(count_watchers(9, 0), ==, 3);
	g_assert_cmpuint(count_watchers(64, 0), ==, 3);
	g_assert_cmpuint(count_watchers(9, 4), ==, 3);
	g_assert_cmpuint(count_watchers(9, 9), ==, 3);
}

/* A VM whose calls fail gives way to one whose calls do not. */
static void
test_failed_watcher(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 1);

	for (unsigned i = 0; i < 8; i++)
		hear(peers, i, 0, 0.5, false);
	g_assert_true(wv_peers_standing(peers, 0, false).is_watcher);
	g_assert_false(wv_peers_standing(peers, 0, true).is_watcher);
	wv_peers_destroy(peers);
}

/* Sum over all VMs of the connections to one searcher that each may use. */
static unsigned
sum_connections(unsigned strong, unsigned weak, unsigned cap)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < strong + weak; i++) {
		struct wv_peer_standing standing = {
		    .vms = strong + weak,
		    .preferred = strong > 0 ? strong : weak,
		    .is_preferred = strong == 0 || i < strong,
		};
		double part = cap / wv_peers_divisor(&standing) /
		    WV_PEERS_CONNECTIONS_RESERVE;

		sum += MAX((unsigned)part, 1);
	}
	return sum;
}

/*
 * All VMs lose power: searchers still count the connections of the processes
 * before, and the new ones stay within the cap beside them.
 */
static void
test_connections_after_loss(void)
{
	g_assert_cmpuint(2 * sum_connections(0, 9, 26), <=, 26);
	g_assert_cmpuint(2 * sum_connections(0, 9, 41), <=, 41);
	g_assert_cmpuint(2 * sum_connections(0, 13, 37), <=, 37);
	g_assert_cmpuint(2 * sum_connections(0, 9, 110), <=, 110);
	g_assert_cmpuint(sum_connections(0, 9, 110), >=, 110 / 2 - 9);
	g_assert_cmpuint(2 * sum_connections(8, 56, 440), <=, 440);
}

static void
test_ahead(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"), 1);

	for (unsigned i = 0; i < 5; i++)
		hear(peers, i, 0, 1, false);
	g_assert_cmpuint(
	    wv_peers_ahead(peers, 0, WV_PEER_ROUTES, 3).length, >, 0);
	g_assert_cmpuint(
	    wv_peers_ahead(peers, 0, WV_PEER_ROUTES, 4).length, ==, 0);
	g_assert_cmpuint(
	    wv_peers_ahead(peers, 0, WV_PEER_SEARCHERS, 1).length, ==, 0);
	g_assert_cmpuint(
	    wv_peers_ahead(peers, 3000, WV_PEER_ROUTES, 3).length, ==, 0);
	wv_peers_destroy(peers);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peers/alive", test_alive);
	g_test_add_func("/peers/leaving", test_leaving);
	g_test_add_func("/peers/clock-back", test_clock_back);
	g_test_add_func("/peers/preferred", test_preferred);
	g_test_add_func("/peers/watchers", test_watchers);
	g_test_add_func("/peers/failed-watcher", test_failed_watcher);
	g_test_add_func(
	    "/peers/connections-after-loss", test_connections_after_loss);
	g_test_add_func("/peers/ahead", test_ahead);
	return g_test_run();
}
