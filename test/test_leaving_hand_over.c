/**
 * @file
 * Checks that the next holder of a lane knows which searchers are leaving.
 */
#include "test/fleet/fleet.h"

/** Longer than the time until a leaving searcher counts runs as late, ms. */
#define LEAVING_WAIT_MS 2500.0

/* Sends enough searches to reach every searcher that is in use. */
static void
send_searches(const struct fleet *fleet, size_t vm)
{
	struct fleet_answer answer;

	for (int i = 0; i < 100; i++) {
		answer = fleet_search(fleet, vm);
		fleet_answer_clear(&answer);
	}
}

/* Returns the number of leaving searchers that a VM knows. */
static guint
count_leaving(const struct fleet *fleet, size_t vm)
{
	struct fleet_answer answer = fleet_call(
	    fleet->vms[vm].operators, "GET", "/v1/state", NULL, FLEET_TOKEN);
	guint n = json_array_get_length(
	    wv_json_array(json_node_get_object(answer.node), "leaving"));

	fleet_answer_clear(&answer);
	return n;
}

/*
 * The next holder of a lane must know which searchers are leaving. Here their
 * health reports no drain, so unless the previous holder informs the next one,
 * each leaving searcher gets requests until one of its replies reports it.
 */
static void
test_leaving_survives_hand_over(void)
{
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	size_t other = (holder + 1) % FLEET_VMS;
	char *output;

	/*
	 * The other replicas shed and so get fewer and fewer requests; the
	 * leaving ones then get requests soon, and their replies report it.
	 */
	for (size_t i = 1; i < FLEET_REPLICAS; i++)
		fleet_replica_faults(fleet, i, "{\"shed\":true}");
	send_searches(fleet, other);
	fleet_replica_faults(
	    fleet, 0, "{\"drain\":true,\"lying_health\":true}");
	send_searches(fleet, other);
	for (size_t i = 1; i < FLEET_REPLICAS; i++)
		fleet_replica_faults(fleet, i, "{}");
	g_assert_cmpuint(count_leaving(fleet, other), ==, FLEET_SERVICES);
	fleet_sleep(LEAVING_WAIT_MS);
	g_assert_cmpint(
	    fleet_ctl(fleet, holder, &output, "drain", NULL), ==, 0);
	g_free(output);
	send_searches(fleet, other);
	g_assert_cmpuint(fleet_holder(fleet), !=, holder);
	g_assert_cmpint(fleet_count(fleet, "late_runs"), ==, 0);
	fleet_stop(fleet);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/process-faults/leaving-hand-over",
	    test_leaving_survives_hand_over);
	return g_test_run();
}
