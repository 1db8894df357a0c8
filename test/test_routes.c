/**
 * @file
 * Tests of route tables: matching by host and prefix, reference counts.
 */
#include <glib.h>

#include "wisteriavane/routes.h"

static struct wv_routes *
make_table(void)
{
	static const char *const rows[][2] = {{"a.example", "/x/"},
	    {"a.example", "/x/y/"}, {"b.example", "/x/"}, {"a.example", "/"}};
	struct wv_routes *routes = wv_routes_create(7, G_N_ELEMENTS(rows), 0);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct wv_route *route = &routes->routes[i];

		route->host = wv_string_copy(wv_string_borrow(rows[i][0]));
		route->prefix = wv_string_copy(wv_string_borrow(rows[i][1]));
	}
	wv_routes_build_index(routes);
	return routes;
}

static int
find(const struct wv_routes *routes, const char *host, const char *path)
{
	const struct wv_route *route = wv_routes_find(
	    routes, wv_string_borrow(host), wv_string_borrow(path));

	return route == NULL ? -1 : (int)(route - routes->routes);
}

static void
test_longest_prefix(void)
{
	struct wv_routes *routes = make_table();

	g_assert_cmpint(find(routes, "a.example", "/x/z"), ==, 0);
	g_assert_cmpint(find(routes, "a.example", "/x/y/z"), ==, 1);
	g_assert_cmpint(find(routes, "a.example", "/x/y"), ==, 0);
	g_assert_cmpint(find(routes, "a.example", "/x"), ==, 3);
	g_assert_cmpint(find(routes, "b.example", "/x/y/z"), ==, 2);
	g_assert_cmpint(find(routes, "b.example", "/z"), ==, -1);
	wv_routes_unref(routes);
}

static void
test_host(void)
{
	struct wv_routes *routes = make_table();

	g_assert_cmpint(find(routes, "A.Example:8080", "/x/y/"), ==, 1);
	g_assert_cmpint(find(routes, "c.example", "/x/"), ==, -1);
	g_assert_cmpint(find(routes, "", "/x/"), ==, -1);
	wv_routes_unref(routes);
}

static void
test_references(void)
{
	struct wv_routes *routes = make_table();

	wv_routes_ref(routes);
	wv_routes_unref(routes);
	g_assert_cmpint(find(routes, "b.example", "/x/"), ==, 2);
	wv_routes_unref(routes);
	wv_routes_unref(NULL);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/routes/longest-prefix", test_longest_prefix);
	g_test_add_func("/routes/host", test_host);
	g_test_add_func("/routes/references", test_references);
	return g_test_run();
}
