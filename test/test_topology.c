/**
 * @file
 * Tests of parsing and copying topologies.
 */
#include "test/lane.h"

/* Checks that parsing fails with an error that names a path. */
static void
check_error(const char *json, const char *path)
{
	struct wv_status status;
	struct wv_topology *topology =
	    wv_topology_parse(wv_string_borrow(json), 1, &status);

	g_assert_null(topology);
	g_assert_cmpint(status.code, ==, WV_TOPOLOGY_INVALID);
	if (strstr(status.message, path) == NULL)
		g_error("no \"%s\" in \"%s\"", path, status.message);
}

#define SEARCHER(id)                                                     \
	"{\"id\":\"" id "\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\"," \
	"\"generation\":1,\"slots\":2,\"connections\":25}"
#define BACK_END(services)                                   \
	"{\"back_end\":\"b\",\"index_version\":1,\"map\":1," \
	"\"services\":[" services "]}"
#define SERVICE(name, searchers) \
	"{\"name\":\"" name "\",\"searchers\":[" searchers "]}"

/*
 * Each error must name its path, so that an operator finds it in the document.
 */
static void
test_errors_name_path(void)
{
	check_error("[", "$");
	check_error("[]", "$: must be an object");
	check_error("{}", "$.services");
	check_error("{}", "$.back_end");
	check_error(BACK_END(""), "$.services");
	check_error(BACK_END("3"), "$.services[0]: must be an object");
	check_error(BACK_END(SERVICE("a", "")), "$.services[0].searchers");
	check_error(
	    BACK_END(SERVICE("a", "{}")), "$.services[0].searchers[0].id");
	check_error("{\"lane\":1}", "$.lane: unknown field");
}

/*
 * Two searchers with the same id would share one count of slots, or have none.
 */
static void
test_duplicates(void)
{
	check_error(BACK_END(SERVICE("a", SEARCHER("x") "," SEARCHER("x"))),
	    "$.services[0].searchers[1].id: \"x\" occurs twice");
	check_error(BACK_END(SERVICE("a", SEARCHER("x")) "," SERVICE(
			"a", SEARCHER("y"))),
	    "$.services[1].name: \"a\" occurs twice");
}

/* A lane without a slot at a service would refuse every query. */
static void
test_lanes_need_slots(void)
{
	check_error(
	    "{\"back_end\":\"b\",\"index_version\":1,\"map\":1,"
	    "\"lanes\":3,\"services\":[" SERVICE("a", SEARCHER("x")) "]"
								     "}",
	    "$.lanes: 3 lanes");
}

/* Out-of-range counts must be refused, not wrap into small ones. */
static void
test_ranges(void)
{
	check_error("{\"back_end\":\"b\",\"index_version\":-1}",
	    "$.index_version: must lie between");
	check_error("{\"lanes\":4294967297}", "$.lanes: must lie between");
	check_error("{\"map\":1.5}", "$.map: must be an integer");
	check_error("{\"job_buckets\":0}", "$.job_buckets: must lie between");
	check_error(
	    "{\"job_buckets\":65537}", "$.job_buckets: must lie between");
}

/*
 * A copy must not share strings with the original: they would be freed twice.
 */
static void
test_copy_and_find(void)
{
	struct wv_topology *topology = lane_topology(2, 3, 2, 7, 1, 9);
	struct wv_topology *copy = wv_topology_copy(topology);

	wv_topology_destroy(topology);
	g_assert_cmpuint(copy->version, ==, 9);
	g_assert_cmpuint(copy->index_version, ==, 7);
	g_assert_cmpuint(copy->lanes, ==, 1);
	g_assert_cmpuint(copy->job_buckets, ==, 16);
	g_assert_cmpuint(copy->n_services, ==, 2);
	g_assert_cmpuint(copy->services[1].first_searcher, ==, 3);
	g_assert_cmpuint(copy->services[1].n_searchers, ==, 3);
	g_assert_cmpuint(wv_topology_find(copy, wv_string_borrow("r4")), ==, 4);
	g_assert_cmpuint(copy->searchers[4].service, ==, 1);
	g_assert_cmpuint(wv_topology_find(copy, wv_string_borrow("r6")), ==, 6);
	wv_topology_destroy(copy);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/topology/faults-name-path", test_errors_name_path);
	g_test_add_func("/topology/duplicates", test_duplicates);
	g_test_add_func("/topology/lanes-need-slots", test_lanes_need_slots);
	g_test_add_func("/topology/ranges", test_ranges);
	g_test_add_func("/topology/copy-and-find", test_copy_and_find);
	return g_test_run();
}
