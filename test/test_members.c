/**
 * @file
 * Tests the membership table: states by silence, incarnations, gossip, the VM
 * list as a hint, and the choice of targets and entries.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

static struct wv_member
make_entry(const char *name, uint64_t incarnation, uint64_t heartbeat)
{
	struct wv_member member = {
	    .id = {wv_string_borrow(name), incarnation},
	    .zone = wv_string_borrow("za"),
	    .peer_address = wv_string_borrow("127.0.0.1:1"),
	    .caller_address = wv_string_borrow("127.0.0.1:2"),
	    .state = WV_MEMBER_LIVE,
	    .heartbeat = heartbeat,
	};

	return member;
}

static struct wv_members *
create_members(const char *name)
{
	struct wv_member self = make_entry(name, 1, 0);

	return wv_members_create(&self, 0);
}

/* Returns the entry of a VM, or NULL. */
static const struct wv_member *
lookup(const struct wv_members *members, const char *name)
{
	size_t n;
	const struct wv_member *all = wv_members_all(members, &n);

	for (size_t i = 0; i < n; i++) {
		if (wv_string_equal(all[i].id.name, wv_string_borrow(name)))
			return &all[i];
	}
	return NULL;
}

/* Applies a heartbeat that the VM itself sent. */
static void
receive_heartbeat(struct wv_members *members, wv_msec now, const char *name,
    uint64_t incarnation, uint64_t heartbeat)
{
	struct wv_member member = make_entry(name, incarnation, heartbeat);

	wv_members_apply_entry(members, now, &member, true);
}

/* Ticks every WV_HEARTBEAT_INTERVAL, so that no gap counts as a pause. */
static void
tick_until(struct wv_members *members, wv_msec *now, wv_msec end)
{
	for (; *now <= end; *now += WV_HEARTBEAT_INTERVAL)
		wv_members_tick(members, *now);
}

/* Applies a VM list with these names. */
static void
apply_list(
    struct wv_members *members, wv_msec now, const char *const *names, size_t n)
{
	struct wv_member *entries = g_new(struct wv_member, n);

	for (size_t i = 0; i < n; i++) {
		entries[i] = make_entry(names[i], 0, 0);
		entries[i].state = WV_MEMBER_JOINING;
	}
	wv_members_apply_vm_list(members, now, entries, n);
	g_free(entries);
}

/* A silent VM must not get work until its heartbeats are received again. */
static void
test_silence(void)
{
	struct wv_members *members = create_members("a");
	wv_msec now = 0;

	receive_heartbeat(members, 0, "b", 1, 1);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	tick_until(members, &now, WV_SUSPECT_AFTER);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_SUSPECT);
	tick_until(members, &now, WV_DEAD_AFTER);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_DEAD);
	/* The same count again is not a new heartbeat. */
	receive_heartbeat(members, now, "b", 1, 1);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_DEAD);
	receive_heartbeat(members, now, "b", 1, 2);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	wv_members_destroy(members);
}

/* Late heartbeats of an old process must not replace the new process. */
static void
test_incarnation(void)
{
	struct wv_members *members = create_members("a");

	receive_heartbeat(members, 0, "b", 5, 90);
	receive_heartbeat(members, 1, "b", 6, 1);
	g_assert_cmpuint(lookup(members, "b")->id.incarnation, ==, 6);
	g_assert_cmpuint(lookup(members, "b")->heartbeat, ==, 1);
	receive_heartbeat(members, 2, "b", 5, 91);
	g_assert_cmpuint(lookup(members, "b")->id.incarnation, ==, 6);
	g_assert_cmpuint(lookup(members, "b")->heartbeat, ==, 1);
	wv_members_destroy(members);
}

/* The first gossiped entry about a VM may be old and must not make it live. */
static void
test_indirect_entry_is_a_hint(void)
{
	struct wv_members *members = create_members("a");
	struct wv_member b = make_entry("b", 1, 7);

	g_assert_true(wv_members_apply_entry(members, 0, &b, false));
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_JOINING);
	g_assert_false(wv_members_apply_entry(members, 1, &b, false));
	b.heartbeat = 8;
	g_assert_true(wv_members_apply_entry(members, 2, &b, false));
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	wv_members_destroy(members);
}

/* A draining VM must not become live again with a later heartbeat. */
static void
test_draining(void)
{
	struct wv_members *members = create_members("a");
	struct wv_member b = make_entry("b", 1, 1);
	wv_msec now = 0;

	receive_heartbeat(members, 0, "c", 1, 1);
	wv_members_apply_entry(members, 0, &b, true);
	b.state = WV_MEMBER_DRAINING;
	b.heartbeat = 2;
	g_assert_true(wv_members_apply_entry(members, 0, &b, true));
	receive_heartbeat(members, 0, "b", 1, 3);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_DRAINING);
	/* It was draining, so it leaves the roster when it is silent. */
	while (now <= WV_DEAD_AFTER) {
		receive_heartbeat(members, now, "c", 1, 2 + (uint64_t)now);
		wv_members_tick(members, now);
		now += WV_HEARTBEAT_INTERVAL;
	}
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_GONE);
	receive_heartbeat(members, now, "b", 2, 1);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	wv_members_set_draining(members);
	g_assert_cmpint(
	    wv_members_self(members)->state, ==, WV_MEMBER_DRAINING);
	wv_members_destroy(members);
}

/* An old VM list must not remove a VM whose heartbeats are received. */
static void
test_list_is_a_hint(void)
{
	static const char *const both[] = {"a", "b", "c"};
	static const char *const without[] = {"a", "c"};
	struct wv_members *members = create_members("a");
	uint64_t count = 1;
	wv_msec now;

	apply_list(members, 0, both, 3);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_JOINING);
	now = 0;
	while (now <= 5000) {
		apply_list(members, now, without, 2);
		receive_heartbeat(members, now, "b", 1, count);
		receive_heartbeat(members, now, "c", 1, count++);
		wv_members_tick(members, now);
		now += WV_HEARTBEAT_INTERVAL;
	}
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	while (now <= 8000) {
		receive_heartbeat(members, now, "c", 1, count++);
		wv_members_tick(members, now);
		now += WV_HEARTBEAT_INTERVAL;
	}
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_GONE);
	/* A list that names it again adds it to the roster. */
	apply_list(members, now, both, 3);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_JOINING);
	wv_members_destroy(members);
}

/*
 * A partitioned minority with an old VM list must not shrink its roster until
 * it is a majority of it.
 */
static void
test_minority_removes_nobody(void)
{
	static const char *const all[] = {"a", "b", "c", "d", "e"};
	static const char *const old[] = {"a", "b", "c"};
	struct wv_members *members = create_members("a");
	uint64_t count = 1;
	wv_msec now;

	apply_list(members, 0, all, 5);
	for (int i = 1; i < 5; i++)
		receive_heartbeat(members, 0, all[i], 1, 1);
	apply_list(members, 0, old, 3);
	now = 0;
	while (now <= 10000) {
		receive_heartbeat(members, now, "b", 1, ++count);
		wv_members_tick(members, now);
		now += WV_HEARTBEAT_INTERVAL;
	}
	g_assert_cmpint(lookup(members, "d")->state, ==, WV_MEMBER_DEAD);
	g_assert_cmpint(lookup(members, "e")->state, ==, WV_MEMBER_DEAD);
	wv_members_destroy(members);
}

/* A pause of this VM must not count as silence of all others. */
static void
test_own_pause(void)
{
	struct wv_members *members = create_members("a");
	wv_msec now = 0;

	receive_heartbeat(members, 0, "b", 1, 1);
	tick_until(members, &now, 400);
	wv_members_tick(members, 60000);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_LIVE);
	now = 60200;
	tick_until(members, &now, 63000);
	g_assert_cmpint(lookup(members, "b")->state, ==, WV_MEMBER_DEAD);
	wv_members_destroy(members);
}

/*
 * Entries of VMs that left long ago are removed to limit the table's size; the
 * others must still be found after that.
 */
static void
test_gone_is_removed(void)
{
	static const char *const all[] = {"a", "b", "c", "d"};
	static const char *const remaining[] = {"a", "d", "c"};
	struct wv_members *members = create_members("a");
	uint64_t count = 1;
	wv_msec now;
	size_t n;

	apply_list(members, 0, all, 4);
	receive_heartbeat(members, 0, "b", 1, 1);
	apply_list(members, 0, remaining, 3);
	now = 0;
	while (now <= 70000) {
		receive_heartbeat(members, now, "c", 1, count);
		receive_heartbeat(members, now, "d", 1, count++);
		wv_members_tick(members, now);
		now += WV_HEARTBEAT_INTERVAL;
	}
	wv_members_all(members, &n);
	g_assert_cmpuint(n, ==, 3);
	g_assert_null(lookup(members, "b"));
	g_assert_cmpint(lookup(members, "c")->state, ==, WV_MEMBER_LIVE);
	g_assert_cmpint(lookup(members, "d")->state, ==, WV_MEMBER_LIVE);
	wv_members_destroy(members);
}

/* A VM that no round of heartbeats reaches would be considered dead. */
static void
test_targets_rotate(void)
{
	struct wv_members *members = create_members("a");
	size_t peers[64];
	int reached[64] = {0};
	char name[8];
	size_t n;

	g_assert_cmpuint(wv_members_choose_targets(members, peers, 64), ==, 0);
	for (int i = 0; i < 40; i++) {
		if (i == WV_MAX_HEARTBEAT_FANOUT)
			g_assert_cmpuint(
			    wv_members_choose_targets(members, peers, 64), ==,
			    WV_MAX_HEARTBEAT_FANOUT);
		g_snprintf(name, sizeof(name), "p%d", i);
		receive_heartbeat(members, 0, name, 1, 1);
	}
	for (int round = 0; round < 40 / WV_HEARTBEAT_LARGE_FANOUT; round++) {
		n = wv_members_choose_targets(members, peers, 64);
		g_assert_cmpuint(n, ==, WV_HEARTBEAT_LARGE_FANOUT);
		for (size_t i = 0; i < n; i++)
			reached[peers[i]]++;
	}
	g_assert_cmpint(reached[0], ==, 0);
	for (int i = 1; i <= 40; i++)
		g_assert_cmpint(reached[i], ==, 1);
	wv_members_destroy(members);
}

/* A heartbeat with entries of all VMs of a large roster would cost too much. */
static void
test_entries_are_bounded(void)
{
	struct wv_members *members = create_members("a");
	size_t entries[64];
	bool full[64];
	char name[8];
	size_t n;

	for (int i = 0; i < 40; i++) {
		g_snprintf(name, sizeof(name), "p%d", i);
		receive_heartbeat(members, 0, name, 1, 1);
	}
	for (int i = 0; i < 100; i++) {
		n = wv_members_choose_entries(members, entries, full, 64);
		g_assert_cmpuint(n, <=, WV_MAX_HEARTBEAT_ENTRIES);
	}
	g_assert_cmpuint(wv_members_choose_entries(members, entries, full, 64),
	    ==, WV_HEARTBEAT_ROTATING_ENTRIES);
	receive_heartbeat(members, 0, "p30", 2, 1);
	n = wv_members_choose_entries(members, entries, full, 64);
	g_assert_cmpuint(n, ==, 1 + WV_HEARTBEAT_ROTATING_ENTRIES);
	g_assert_true(full[0]);
	g_assert_cmpuint(entries[0], ==, 31);
	wv_members_destroy(members);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members/silence", test_silence);
	g_test_add_func("/members/incarnation", test_incarnation);
	g_test_add_func("/members/indirect", test_indirect_entry_is_a_hint);
	g_test_add_func("/members/draining", test_draining);
	g_test_add_func("/members/list", test_list_is_a_hint);
	g_test_add_func("/members/minority", test_minority_removes_nobody);
	g_test_add_func("/members/pause", test_own_pause);
	g_test_add_func("/members/forgotten", test_gone_is_removed);
	g_test_add_func("/members/targets", test_targets_rotate);
	g_test_add_func("/members/entries", test_entries_are_bounded);
	return g_test_run();
}
