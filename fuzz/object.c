/**
 * @file
 * Fuzz target: answers of the platform's store. A searcher's entry or a version
 * of the routes that is accepted must keep to its ranges, and every object must
 * be encodable as a change for other VMs.
 */
#include "entry/platform_adapter.h"
#include "fuzz/fuzz.h"

static void
check_routes(const struct wv_routes *routes)
{
	for (size_t i = 0; i < routes->n_routes; i++) {
		const struct wv_route *route = &routes->routes[i];

		g_assert_cmpuint(route->n_services, >, 0);
		g_assert_cmpuint(route->max_attempts, >, 0);
		g_assert_true(route->timeout > 0 && route->target > 0);
		g_assert_true(route->kind == WV_ROUTE_SCATTER ||
		    route->n_services == 1 || route->weights != NULL);
	}
}

/* Checks one object of a page and counts it in data. */
static void
check_object(void *data, const struct store_object *object)
{
	const struct platform_adapter *adapter = platform_get_adapter();
	struct wv_searcher_entry entry;
	struct wv_status status = {0};
	struct wv_routes *routes;
	char *change = adapter->encode_change(object);

	g_assert_nonnull(change);
	g_free(change);
	if (adapter->decode_searcher(object, &entry, &status)) {
		g_assert_cmpuint(entry.slots, >, 0);
		g_assert_true(entry.warm_up_left >= 0);
		g_assert_cmpuint(entry.service.length, >, 0);
	}
	routes = adapter->decode_routes(object, &status);
	if (routes != NULL)
		check_routes(routes);
	wv_routes_unref(routes);
	(*(unsigned *)data)++;
}

static bool
run(struct wv_string input)
{
	struct store_page page = {0};
	struct wv_status status = {0};
	unsigned n = 0;
	bool accepted = platform_get_adapter()->decode(
	    input, &page, check_object, &n, &status);

	g_free(page.last_name);
	return accepted && n > 0;
}

static const char *const seeds[] = {
    "{\"items\":[{\"meta\":{\"name\":\"i-1\",\"revision\":3},\"spec\":"
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
    "\"sequence\":4,\"born\":1700000000000}}],\"hasMore\":false,\"atRev\":9}",
    "{\"events\":[{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"main\"},"
    "\"spec\":{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"pathPrefix\":\"/a/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
    "\"targetLatencyMs\":80,\"priority\":1,\"maxAttempts\":3,"
    "\"fanoutServices\":[\"s\"],\"topK\":5,\"minShardRatio\":0.75}],"
    "\"services\":[{\"name\":\"s\",\"maxConnections\":26}],"
    "\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
    "\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}}}}],\"atRev\":5}",
    /* The second object can't be read by itself; the others can. */
    "{\"items\":[{\"meta\":{\"name\":\"i-1\"},\"spec\":{\"a\":[1,{}]}},"
    "{\"meta\":{\"name\":\"i-2\"},\"spec\":{\"zone\":\"\\ud83d\"}},"
    "{\"meta\":{\"name\":\"i-3\"},\"spec\":{\"b\":\"\\\"]}\"}}],"
    "\"hasMore\":true,\"atRev\":9}",
    NULL};

const struct fuzz_target fuzz_store_object = {"object", run, seeds};
