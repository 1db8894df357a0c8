/**
 * @file
 * Guards that the next holder of a lane knows which searchers are leaving.
 */
#include "test/fleet/fleet.h"

/** Time after which a leaving searcher counts a run as late, and more, ms. */
#define LEAVING_TIME 2500.0

/* Sends enough searches that every searcher in use gets some. */
static void
search_often(const struct fleet *fleet, size_t vm)
{
	struct fleet_answer answer;

	for (int i = 0; i < 100; i++) {
		answer = fleet_search(fleet, vm);
		fleet_answer_clear(&answer);
	}
}

/* Returns how many leaving searchers a VM knows. */
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
 * health says that they are well, so without a word from the former holder
 * each would get a request until its reply tells the truth.
 */
static void
test_leaving_survives_hand_over(void)
{
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	size_t other = (holder + 1) % FLEET_VMS;
	char *output;

	/*
	 * Others that shed are asked less and less often, so that the ones
	 * that leave are asked soon after that.
	 */
	for (size_t i = 1; i < FLEET_REPLICAS; i++)
		fleet_replica_faults(fleet, i, "{\"shed\":true}");
	search_often(fleet, other);
	fleet_replica_faults(
	    fleet, 0, "{\"drain\":true,\"lying_health\":true}");
	search_often(fleet, other);
	for (size_t i = 1; i < FLEET_REPLICAS; i++)
		fleet_replica_faults(fleet, i, "{}");
	g_assert_cmpuint(count_leaving(fleet, other), ==, FLEET_SERVICES);
	fleet_sleep(LEAVING_TIME);
	g_assert_cmpint(
	    fleet_ctl(fleet, holder, &output, "drain", NULL), ==, 0);
	g_free(output);
	search_often(fleet, other);
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
