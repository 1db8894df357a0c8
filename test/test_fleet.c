/**
 * @file
 * Tests of the table of searchers: incarnations, draining, lapsed entries.
 */
#include "dispatch_world.h"

static struct wv_searcher_entry
entry(const char *id, uint64_t started)
{
	return (struct wv_searcher_entry){.id = world_text(id),
	    .service = world_text("service"),
	    .address = world_text("127.0.0.1:1"),
	    .zone = world_text("z0"),
	    .started = started,
	    .slots = 2};
}

static struct wv_fleet *
make(struct wv_fleet_ops *ops)
{
	ops->release = world_release;
	return wv_fleet_create(world_text("z0"), ops);
}

static void
test_incarnations(void)
{
	struct wv_fleet_ops ops;
	struct wv_fleet *fleet = make(&ops);
	struct wv_searcher_entry old = entry("a", 100);
	struct wv_searcher_entry new = entry("a", 200);

	g_assert_true(wv_fleet_put(fleet, 0, &new));
	old.draining = true;
	g_assert_false(wv_fleet_put(fleet, 1, &old));
	g_assert_false(wv_fleet_find(fleet, world_text("a"))->draining);
	new.started = 300;
	g_assert_true(wv_fleet_put(fleet, 2, &new));
	g_assert_cmpuint(
	    wv_fleet_find(fleet, world_text("a"))->started, ==, 300);
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 1);
	wv_fleet_destroy(fleet);
}

/* The address went to a searcher of another service. */
static void
test_moves_to_other_service(void)
{
	struct wv_fleet_ops ops;
	struct wv_fleet *fleet = make(&ops);
	struct wv_searcher_entry first = entry("a", 100);
	struct wv_searcher_entry second = entry("a", 100);
	struct wv_fleet_service *service;

	second.service = world_text("other");
	wv_fleet_put(fleet, 0, &first);
	wv_fleet_put(fleet, 1, &second);
	service = wv_fleet_service(fleet, world_text("service"));
	g_assert_cmpuint(service->searchers->len, ==, 0);
	service = wv_fleet_service(fleet, world_text("other"));
	g_assert_cmpuint(service->searchers->len, ==, 1);
	wv_fleet_destroy(fleet);
}

static void
test_removed_at_once(void)
{
	struct wv_fleet_ops ops;
	struct wv_fleet *fleet = make(&ops);
	struct wv_searcher_entry a = entry("a", 100);

	wv_fleet_put(fleet, 0, &a);
	g_assert_true(wv_fleet_remove(fleet, 10, world_text("a")));
	g_assert_false(wv_fleet_remove(fleet, 10, world_text("a")));
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 0);
	wv_fleet_destroy(fleet);
}

/* After an outage of the store a missing entry may come back. */
static void
test_grace_after_outage(void)
{
	struct wv_fleet_ops ops;
	struct wv_fleet *fleet = make(&ops);
	struct wv_searcher_entry a = entry("a", 100);
	struct wv_searcher_entry b = entry("b", 100);

	wv_fleet_put(fleet, 0, &a);
	wv_fleet_put(fleet, 0, &b);
	wv_fleet_store_back(fleet, 1000, 2000);
	wv_fleet_list_begin(fleet);
	wv_fleet_list_end(fleet, 1000);
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 2);
	wv_fleet_put(fleet, 2000, &b);
	wv_fleet_tick(fleet, 2999);
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 2);
	g_assert_cmpfloat(wv_fleet_next(fleet), ==, 3000);
	wv_fleet_tick(fleet, 3000);
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 1);
	g_assert_nonnull(wv_fleet_find(fleet, world_text("b")));
	g_assert_true(wv_fleet_remove(fleet, 3001, world_text("b")));
	g_assert_cmpuint(wv_fleet_size(fleet), ==, 0);
	wv_fleet_destroy(fleet);
}

static void
test_list(void)
{
	struct wv_fleet_ops ops;
	struct wv_fleet *fleet = make(&ops);
	struct wv_searcher_entry a = entry("a", 100);
	struct wv_searcher_entry b = entry("b", 100);

	wv_fleet_put(fleet, 0, &a);
	wv_fleet_list_begin(fleet);
	wv_fleet_put(fleet, 1, &b);
	wv_fleet_list_end(fleet, 1);
	g_assert_null(wv_fleet_find(fleet, world_text("a")));
	g_assert_nonnull(wv_fleet_find(fleet, world_text("b")));
	wv_fleet_destroy(fleet);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/incarnations", test_incarnations);
	g_test_add_func("/fleet/other-service", test_moves_to_other_service);
	g_test_add_func("/fleet/removed", test_removed_at_once);
	g_test_add_func("/fleet/grace", test_grace_after_outage);
	g_test_add_func("/fleet/list", test_list);
	return g_test_run();
}
