/**
 * @file
 * Tests of the hints about leaving searchers that VMs pass on. Guards against
 * hints that concern a later incarnation, that VMs keep alive among themselves,
 * and that grow without bound.
 */
#include <glib.h>

#include "wisteriavane/registry.h"

/** Age at which hints have faded, ms. */
#define LIFETIME 60000
/** Interval between reports, ms, and time that one is on its way. */
#define REPORT_INTERVAL 250
#define TRANSIT 20
/** Hints in a report. */
#define MAX_HINTS 4
/** VMs that pass hints on in a circle, and searchers. */
#define N_VMS 3
#define N_SEARCHERS 10

static void
release(struct wv_registry_ops *ops, struct wv_searcher *searcher)
{
	(void)ops;
	(void)searcher;
}

static struct wv_registry_ops ops = {release};

static void
update(struct wv_registry *registry, wv_msec now, const char *id,
    uint64_t started, bool draining)
{
	struct wv_searcher_entry entry = {.id = wv_string_borrow(id),
	    .service = wv_string_borrow("s"),
	    .address = wv_string_borrow("10.0.0.1:80"),
	    .zone = wv_string_borrow("z"),
	    .started = started,
	    .slots = 1,
	    .draining = draining};

	wv_registry_update(registry, now, &entry);
}

static struct wv_registry *
create(void)
{
	return wv_registry_create(wv_string_borrow("z"), &ops);
}

static struct wv_searcher *
find(struct wv_registry *registry, const char *id)
{
	return wv_registry_find(registry, wv_string_borrow(id));
}

static bool
hint(struct wv_registry *registry, wv_msec now, const char *id,
    uint64_t started, wv_msec age)
{
	struct wv_leaving_hint leaving = {wv_string_borrow(id), started, age};

	return wv_registry_add_hint(registry, now, &leaving);
}

/*
 * A hint concerns the very incarnation: neither an earlier nor a later one
 * under the same identifier, none without the time of its start, and none of
 * an unknown searcher. It never takes a searcher out of use.
 */
static void
test_incarnation(void)
{
	struct wv_registry *registry = create();

	update(registry, 0, "a", 5, false);
	update(registry, 0, "b", 0, false);
	g_assert_false(hint(registry, 0, "a", 4, 0));
	g_assert_false(hint(registry, 0, "a", 6, 0));
	g_assert_false(hint(registry, 0, "b", 0, 0));
	g_assert_false(hint(registry, 0, "c", 5, 0));
	g_assert_false(wv_searcher_is_hinted(find(registry, "a"), 0));
	g_assert_true(hint(registry, 0, "a", 5, 0));
	g_assert_false(hint(registry, 0, "a", 5, 0));
	g_assert_true(wv_searcher_is_hinted(find(registry, "a"), 0));
	g_assert_true(wv_searcher_takes_requests(find(registry, "a"), 0));
	update(registry, 1, "a", 6, false);
	g_assert_false(wv_searcher_is_hinted(find(registry, "a"), 1));
	wv_registry_destroy(registry);
}

/* A hint fades, also if it is repeated; one that is too old is ignored. */
static void
test_age(void)
{
	struct wv_registry *registry = create();

	update(registry, 0, "a", 5, false);
	g_assert_false(hint(registry, 0, "a", 5, LIFETIME - 1));
	g_assert_true(hint(registry, 0, "a", 5, 1000));
	for (int now = 0; now < LIFETIME - 1000; now += 1000) {
		g_assert_true(wv_searcher_is_hinted(find(registry, "a"), now));
		g_assert_false(hint(registry, now, "a", 5, 0));
	}
	g_assert_false(
	    wv_searcher_is_hinted(find(registry, "a"), LIFETIME - 1000));
	wv_registry_destroy(registry);
}

/* The newest hints are listed, but not those that the entries say already. */
static void
test_list(void)
{
	struct wv_registry *registry = create();
	struct wv_leaving_hint list[MAX_HINTS];
	char id[2] = {0};

	for (unsigned i = 0; i < N_SEARCHERS; i++) {
		id[0] = (char)('a' + i);
		update(registry, i, id, 5, false);
		wv_registry_set_leaving(registry, i, find(registry, id));
	}
	update(registry, N_SEARCHERS, "j", 5, true);
	g_assert_true(
	    wv_registry_remove(registry, N_SEARCHERS, wv_string_borrow("i")));
	g_assert_cmpuint(
	    wv_registry_list_hints(registry, N_SEARCHERS, list, MAX_HINTS), ==,
	    MAX_HINTS);
	for (unsigned i = 0; i < MAX_HINTS; i++) {
		g_assert_cmpint(list[i].searcher.data[0], ==, 'h' - (int)i);
		g_assert_cmpfloat(list[i].age, ==, i + 3);
	}
	g_assert_cmpuint(
	    wv_registry_list_hints(registry, LIFETIME, list, MAX_HINTS), ==, 0);
	wv_registry_destroy(registry);
}

/* Passes all hints of a VM on to another one. */
static void
pass_on(struct wv_registry *from, struct wv_registry *to, wv_msec now)
{
	struct wv_leaving_hint list[MAX_HINTS];
	size_t n = wv_registry_list_hints(from, now, list, MAX_HINTS);

	for (size_t i = 0; i < n; i++)
		wv_registry_add_hint(to, now + TRANSIT, &list[i]);
}

/*
 * What one VM has heard reaches all, and fades at all of them a lifetime later,
 * though they pass it on to each other all the time.
 */
static void
test_circle(void)
{
	struct wv_registry *vms[N_VMS];
	int now = 0;

	for (unsigned i = 0; i < N_VMS; i++) {
		vms[i] = create();
		update(vms[i], 0, "a", 5, false);
	}
	wv_registry_set_leaving(vms[0], 0, find(vms[0], "a"));
	for (; now < LIFETIME + N_VMS * TRANSIT; now += REPORT_INTERVAL) {
		for (unsigned i = 0; i < N_VMS; i++)
			pass_on(vms[i], vms[(i + 1) % N_VMS], now);
		if (now < N_VMS * REPORT_INTERVAL || now >= LIFETIME)
			continue;
		for (unsigned i = 0; i < N_VMS; i++)
			g_assert_true(
			    wv_searcher_is_hinted(find(vms[i], "a"), now));
	}
	for (unsigned i = 0; i < N_VMS; i++) {
		g_assert_false(wv_searcher_is_hinted(find(vms[i], "a"), now));
		wv_registry_destroy(vms[i]);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/leaving-hints/incarnation", test_incarnation);
	g_test_add_func("/leaving-hints/age", test_age);
	g_test_add_func("/leaving-hints/list", test_list);
	g_test_add_func("/leaving-hints/circle", test_circle);
	return g_test_run();
}
