/**
 * @file
 * Fuzz target: the JSON of a back end. In a topology that is accepted, and in
 * its copy, the services must divide the table of searchers without gaps, and
 * each searcher must be found by its identifier.
 */
#include "fuzz/fuzz.h"

static void
check_topology(const struct wv_topology *topology)
{
	size_t next = 0;

	g_assert_cmpuint(topology->lanes, >, 0);
	for (size_t i = 0; i < topology->n_services; i++) {
		const struct wv_service_info *service = &topology->services[i];

		g_assert_cmpuint(service->first_searcher, ==, next);
		next += service->n_searchers;
		g_assert_cmpuint(next, <=, topology->n_searchers);
	}
	g_assert_cmpuint(next, ==, topology->n_searchers);
	for (size_t i = 0; i < topology->n_searchers; i++) {
		g_assert_cmpuint(
		    topology->searchers[i].service, <, topology->n_services);
		g_assert_cmpuint(
		    wv_topology_find(topology, topology->searchers[i].id), ==,
		    i);
	}
}

static bool
run(struct wv_string input)
{
	struct wv_status status;
	struct wv_topology *topology = wv_topology_parse(input, 1, &status);
	struct wv_topology *copy;

	if (topology == NULL) {
		g_assert_cmpint(status.code, ==, WV_TOPOLOGY_INVALID);
		return false;
	}
	check_topology(topology);
	copy = wv_topology_copy(topology);
	wv_topology_destroy(topology);
	check_topology(copy);
	wv_topology_destroy(copy);
	return true;
}

#define SEARCHER(id)                                                         \
	"{\"id\":\"" id "\",\"address\":\"127.0.0.1:9001\",\"zone\":\"z1\"," \
	"\"generation\":1,\"slots\":2,\"connections\":25,"                   \
	"\"connect_cost_ms\":5}"

static const char *const seeds[] = {
    "{\"back_end\":\"race-eve\",\"index_version\":7,\"map\":2,\"lanes\":1,"
    "\"services\":[{\"name\":\"s0\",\"searchers\":[" SEARCHER("a") "," SEARCHER(
	"b") "]},{\"name\":\"s1\",\"searchers\":[" SEARCHER("c") "]}]}",
    NULL};

const struct fuzz_target fuzz_topology = {"topology", run, seeds};
