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

	wv_peers_addresses(peers, now, list);
	n = list->len;
	g_ptr_array_free(list, TRUE);
	return n;
}

static void
test_alive(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"));
	struct wv_peer_report a = report("a", 1);
	struct wv_peer_report me = report("me", 1);

	wv_peers_introduce(peers, 0, wv_string_borrow("a"),
	    wv_string_borrow("127.0.0.1:1"));
	g_assert_cmpuint(addresses(peers, 0), ==, 0);
	wv_peers_heard(peers, 100, &a);
	wv_peers_heard(peers, 100, &me);
	g_assert_cmpuint(addresses(peers, 200), ==, 1);
	g_assert_cmpuint(wv_peers_alive(peers, 200), ==, 1);
	/* Silent: not named to callers, but it may still use its part. */
	g_assert_cmpuint(addresses(peers, 2000), ==, 0);
	g_assert_cmpuint(wv_peers_count(peers), ==, 1);
	wv_peers_destroy(peers);
}

static void
test_leaving(void)
{
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"));
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
	struct wv_peers *peers = wv_peers_create(wv_string_borrow("me"));
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

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peers/alive", test_alive);
	g_test_add_func("/peers/leaving", test_leaving);
	g_test_add_func("/peers/clock-back", test_clock_back);
	return g_test_run();
}
