/**
 * @file
 * Checks that the next holder of a lane knows which searchers are leaving.
 */
#include "test/cluster/cluster.h"

/** Wait after which a leaving searcher counts each new run as late, ms. */
#define LEAVING_WAIT_MS 2500.0

/* Sends enough searches to reach every searcher that is in use. */
static void
send_searches(const struct cluster *cluster, size_t vm)
{
	struct cluster_answer answer;

	for (int i = 0; i < 100; i++) {
		answer = cluster_search(cluster, vm);
		cluster_answer_clear(&answer);
	}
}

/* Returns the number of leaving searchers that a VM knows. */
static guint
count_leaving(const struct cluster *cluster, size_t vm)
{
	struct cluster_answer answer = cluster_call(cluster->vms[vm].operators,
	    "GET", "/v1/state", NULL, CLUSTER_TOKEN);
	guint n = json_array_get_length(
	    wv_json_get_array(json_node_get_object(answer.node), "leaving"));

	cluster_answer_clear(&answer);
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
	struct cluster *cluster = cluster_start();
	size_t holder = cluster_find_holder(cluster);
	size_t other = (holder + 1) % CLUSTER_VMS;
	char *output;

	/*
	 * The other replicas reject all requests and so are chosen less and
	 * less often. Requests then reach the leaving ones soon, and their
	 * replies report that they are leaving.
	 */
	for (size_t i = 1; i < CLUSTER_REPLICAS; i++)
		cluster_set_replica_faults(cluster, i, "{\"shed\":true}");
	send_searches(cluster, other);
	cluster_set_replica_faults(
	    cluster, 0, "{\"drain\":true,\"lying_health\":true}");
	send_searches(cluster, other);
	for (size_t i = 1; i < CLUSTER_REPLICAS; i++)
		cluster_set_replica_faults(cluster, i, "{}");
	g_assert_cmpuint(count_leaving(cluster, other), ==, CLUSTER_SERVICES);
	cluster_sleep_ms(LEAVING_WAIT_MS);
	g_assert_cmpint(
	    cluster_run_ctl(cluster, holder, &output, "drain", NULL), ==, 0);
	g_free(output);
	send_searches(cluster, other);
	g_assert_cmpuint(cluster_find_holder(cluster), !=, holder);
	g_assert_cmpint(cluster_get_counter(cluster, "late_runs"), ==, 0);
	cluster_stop(cluster);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/process-faults/leaving-hand-over",
	    test_leaving_survives_hand_over);
	return g_test_run();
}
