/**
 * @file
 * Fault tests of a cluster of real processes: no fault of a process or of the
 * store may run a job twice, lose an accepted job or mix snapshots, and a
 * planned stop may not cut off a request.
 *
 * The checks do not depend on speed: delays only determine when a fault happens
 * and how long a test may take.
 */
#include <signal.h>
#include <string.h>

#include "test/cluster/cluster.h"

/** Duration of the load in tests with a fault in the middle, s. */
#define LOAD_DURATION_S 5
/** Time from the start of the load to the fault, or between faults, ms. */
#define FAULT_DELAY_MS 1500.0

/* The kill of a lane's holder must neither repeat nor lose accepted jobs. */
static void
test_kill(void)
{
	struct cluster *cluster = cluster_start();
	size_t holder = cluster_find_holder(cluster);
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	JsonNode *report;

	cluster_sleep_ms(FAULT_DELAY_MS);
	g_subprocess_send_signal(cluster->vms[holder].process, SIGKILL);
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	g_assert_cmpint(
	    cluster_get_counter(cluster, "max_busy"), <=, CLUSTER_SLOTS);
	cluster_wait_full_search(cluster, (holder + 1) % CLUSTER_VMS);
	cluster_start_vm(cluster, holder);
	cluster_wait_full_search(cluster, holder);
	json_node_unref(report);
	cluster_stop(cluster);
}

/* Returns the version of the contract in force on a VM, or 0. */
static int64_t
contract_version(const struct cluster *cluster, size_t vm)
{
	struct cluster_answer answer = cluster_call(cluster->vms[vm].operators,
	    "GET", "/v1/contracts/kestane", NULL, CLUSTER_TOKEN);
	int64_t version = 0;

	if (answer.code == WV_OK)
		version = (int64_t)wv_json_get_number(
		    json_node_get_object(answer.node), "version", 0);
	cluster_answer_clear(&answer);
	return version;
}

/*
 * A VM that starts while the store is down must get the contracts from its
 * peers: without them it rejects all customers until the store is back.
 */
static void
test_start_in_outage(void)
{
	struct cluster *cluster = cluster_start();
	size_t other = (cluster_find_holder(cluster) + 1) % CLUSTER_VMS;

	cluster_set_faults(cluster->store_address, "{\"down\":true}");
	g_subprocess_send_signal(cluster->vms[other].process, SIGKILL);
	cluster_start_vm(cluster, other);
	cluster_wait_full_search(cluster, other);
	g_assert_cmpint(contract_version(cluster, other), ==,
	    contract_version(cluster, cluster_find_holder(cluster)));
	g_assert_cmpint(contract_version(cluster, other), >, 0);
	cluster_stop(cluster);
}

/*
 * A holder that was paused must not send with a lease or send token from before
 * the pause: the lease may have expired and another VM may hold the lane.
 */
static void
test_pause(void)
{
	struct cluster *cluster = cluster_start();
	size_t holder = cluster_find_holder(cluster);
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	JsonNode *report;

	cluster_sleep_ms(FAULT_DELAY_MS);
	g_subprocess_send_signal(cluster->vms[holder].process, SIGSTOP);
	cluster_sleep_ms(2500);
	g_subprocess_send_signal(cluster->vms[holder].process, SIGCONT);
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	cluster_wait_full_search(cluster, holder);
	json_node_unref(report);
	cluster_stop(cluster);
}

/*
 * After a lost answer of the store, a VM must read whether the write took
 * effect before it repeats it.
 */
static void
test_store_lost_answers(void)
{
	struct cluster *cluster = cluster_start();
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	struct cluster_answer answer;
	JsonNode *report;

	for (int i = 0; i < 8; i++) {
		cluster_sleep_ms(500);
		cluster_set_faults(
		    cluster->store_address, "{\"lose_answers\":3}");
	}
	cluster_set_faults(cluster->store_address, "{}");
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	answer = cluster_call(
	    cluster->store_address, "GET", "/v1/stats", NULL, NULL);
	g_assert_cmpfloat(wv_json_get_number(json_node_get_object(answer.node),
			      "lost_answers", 0),
	    >, 0);
	cluster_answer_clear(&answer);
	json_node_unref(report);
	cluster_stop(cluster);
}

/*
 * Callers must not notice a planned stop of the holder: no request is cut off,
 * times out or finds no VM.
 */
static void
test_planned_stop(void)
{
	struct cluster *cluster = cluster_start();
	size_t holder = cluster_find_holder(cluster);
	struct cluster_vm *vm = &cluster->vms[holder];
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	JsonNode *report;

	cluster_sleep_ms(FAULT_DELAY_MS);
	cluster_expect_code(
	    vm->operators, "POST", "/v1/stop", "{}", CLUSTER_TOKEN, WV_OK);
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "cut"), ==, 0);
	g_assert_cmpint(cluster_sum_report(report, "timed_out"), ==, 0);
	g_assert_cmpint(cluster_sum_report(report, "unreachable"), ==, 0);
	g_assert_cmpint(
	    cluster_get_counter(cluster, "max_busy"), <=, CLUSTER_SLOTS);
	g_subprocess_wait(vm->process, NULL, NULL);
	g_assert_true(g_subprocess_get_if_exited(vm->process));
	g_assert_cmpint(g_subprocess_get_exit_status(vm->process), ==, 0);
	json_node_unref(report);
	cluster_stop(cluster);
}

/* Replaces the index version in the store's object of the back end. */
static void
publish_index_version(const struct cluster *cluster, int version)
{
	struct cluster_answer answer = cluster_call(cluster->store_address,
	    "GET", "/v1/objects/backends/desk", NULL, NULL);
	JsonObject *object;
	char *text, *old, *body;
	char **parts;

	g_assert_nonnull(answer.node);
	object = json_node_get_object(answer.node);
	text = json_to_string(json_object_get_member(object, "value"), FALSE);
	old = g_strdup_printf("\"index_version\":%d,", version - 1);
	parts = g_strsplit(text, old, 2);
	g_assert_nonnull(parts[1]);
	body = g_strdup_printf("{\"value\":%s\"index_version\":%d,%s,"
			       "\"if_version\":%.0f}",
	    parts[0], version, parts[1],
	    wv_json_get_number(object, "version", 0));
	cluster_answer_clear(&answer);
	answer = cluster_call(cluster->store_address, "PUT",
	    "/v1/objects/backends/desk", body, NULL);
	g_assert_cmpuint(answer.http_status, ==, 200);
	cluster_answer_clear(&answer);
	g_strfreev(parts);
	g_free(body);
	g_free(old);
	g_free(text);
}

/* An answer must not mix versions while the searchers change one by one. */
static void
test_version_change(void)
{
	struct cluster *cluster = cluster_start();
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	JsonNode *report;

	for (int version = 2; version <= 4; version++) {
		char *both = g_strdup_printf(
		    "{\"versions\":[%d,%d]}", version - 1, version);
		char *only = g_strdup_printf("{\"versions\":[%d]}", version);

		for (size_t i = 0; i < CLUSTER_SEARCHERS; i++) {
			cluster_set_faults(
			    cluster->searcher_addresses[i], both);
			cluster_sleep_ms(30);
		}
		publish_index_version(cluster, version);
		cluster_sleep_ms(200);
		for (size_t i = 0; i < CLUSTER_SEARCHERS; i++) {
			cluster_set_faults(
			    cluster->searcher_addresses[i], only);
			cluster_sleep_ms(30);
		}
		g_free(both);
		g_free(only);
	}
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	cluster_wait_full_search(cluster, 0);
	json_node_unref(report);
	cluster_stop(cluster);
}

/* Waits until the operators' list of unresolved jobs contains a key. */
static void
wait_unresolved(const struct cluster *cluster, size_t vm, const char *key)
{
	bool listed = false;

	for (int polls = 0; polls < 300 && !listed; polls++) {
		struct cluster_answer answer =
		    cluster_call(cluster->vms[vm].operators, "GET",
			"/v1/jobs?state=unresolved", NULL, CLUSTER_TOKEN);
		char *text = answer.node == NULL
		    ? g_strdup("")
		    : json_to_string(answer.node, FALSE);

		listed = strstr(text, key) != NULL;
		g_free(text);
		cluster_answer_clear(&answer);
		if (!listed)
			cluster_sleep_ms(100);
	}
	g_assert_true(listed);
}

/*
 * A job whose holder was killed after the send must never be sent again. It
 * stays unresolved until an operator records its outcome, which callers then
 * read.
 */
static void
test_unresolved(void)
{
	struct cluster *cluster = cluster_start();
	size_t holder = cluster_find_holder(cluster);
	size_t other = (holder + 1) % CLUSTER_VMS;
	char *key = cluster_new_key();
	struct cluster_answer answer;
	char *path, *body;

	for (size_t i = 0; i < CLUSTER_SEARCHERS; i++)
		cluster_set_faults(
		    cluster->searcher_addresses[i], "{\"late_ms\":60000}");
	answer = cluster_submit_job(cluster, holder, key);
	g_assert_cmpint(answer.code, !=, WV_OK);
	g_assert_false(wv_code_proves_not_run(answer.code));
	cluster_answer_clear(&answer);
	g_assert_cmpint(cluster_count_runs(cluster, key), ==, 1);
	g_subprocess_send_signal(cluster->vms[holder].process, SIGKILL);
	path = g_strdup_printf("/v1/vms/%s", cluster->vms[holder].name);
	answer =
	    cluster_call(cluster->vm_list_address, "DELETE", path, NULL, NULL);
	cluster_answer_clear(&answer);
	wait_unresolved(cluster, other, key);
	body = g_strdup_printf("{\"customer\":\"kestane\",\"key\":\"%s\","
			       "\"back_end\":\"desk\",\"state\":\"done\"}",
	    key);
	cluster_expect_code(cluster->vms[other].operators, "POST",
	    "/v1/jobs/resolve", body, CLUSTER_TOKEN, WV_OK);
	for (size_t i = 0; i < CLUSTER_SEARCHERS; i++)
		cluster_set_faults(cluster->searcher_addresses[i], "{}");
	cluster_wait_full_search(cluster, other);
	answer = cluster_submit_job(cluster, other, key);
	g_assert_cmpint(answer.code, ==, WV_OK);
	g_assert_cmpstr(
	    wv_json_get_string(json_node_get_object(answer.node), "state").data,
	    ==, "done");
	g_assert_cmpint(cluster_count_runs(cluster, key), ==, 1);
	cluster_answer_clear(&answer);
	g_free(body);
	g_free(path);
	g_free(key);
	cluster_stop(cluster);
}

/* A searcher must get no work later than 2 s after it reports its drain. */
static void
test_searcher_drain(void)
{
	struct cluster *cluster = cluster_start();
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S);
	JsonNode *report;

	cluster_sleep_ms(FAULT_DELAY_MS);
	for (size_t i = 0; i < CLUSTER_SEARCHERS; i += CLUSTER_REPLICAS)
		cluster_set_faults(
		    cluster->searcher_addresses[i], "{\"drain\":true}");
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_get_counter(cluster, "late_runs"), ==, 0);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	g_assert_cmpint(cluster_sum_report(report, "cut"), ==, 0);
	json_node_unref(report);
	cluster_stop(cluster);
}

/* Sets faults of one replica of each service for 600 ms. */
static void
set_replica_faults_briefly(
    const struct cluster *cluster, size_t replica, const char *faults)
{
	cluster_set_replica_faults(cluster, replica, faults);
	cluster_sleep_ms(600);
	cluster_set_replica_faults(cluster, replica, "{}");
}

/*
 * Faulty searchers may only reduce coverage: no job may run twice, no answer
 * may mix snapshots and no searcher may get more attempts than it has slots.
 * The faults are lost answers, lost requests, slow and late answers, answers to
 * other attempts, shedding, and false health. The freeze comes after the check
 * of the slots, since a frozen searcher later accepts all waiting requests at
 * once.
 */
static void
test_searcher_faults(void)
{
	static const char *const faults[] = {"{\"lose_answers\":true}",
	    "{\"lost\":true}", "{\"slow\":20}", "{\"crossed\":true}",
	    "{\"late_ms\":400}", "{\"shed\":true}", "{\"lying_health\":true}"};
	struct cluster *cluster = cluster_start();
	GSubprocess *load = cluster_start_load(cluster, LOAD_DURATION_S + 1);
	JsonNode *report;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		set_replica_faults_briefly(
		    cluster, i % CLUSTER_REPLICAS, faults[i]);
	g_assert_cmpint(
	    cluster_get_counter(cluster, "max_busy"), <=, CLUSTER_SLOTS);
	g_assert_cmpint(cluster_get_counter(cluster, "dropped"), >, 0);
	set_replica_faults_briefly(cluster, 0, "{\"frozen\":true}");
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	g_assert_cmpint(cluster_sum_report(report, "cut"), ==, 0);
	cluster_wait_full_search(cluster, 0);
	json_node_unref(report);
	cluster_stop(cluster);
}

/*
 * Faults that overlap, in two rounds: lost answers of a slow store, a pause of
 * the holder, and the kill and restart of another VM.
 */
static void
test_combination(void)
{
	struct cluster *cluster = cluster_start();
	GSubprocess *load = cluster_start_load(cluster, 2 * LOAD_DURATION_S);
	JsonNode *report;

	for (int round = 0; round < 2; round++) {
		size_t holder = cluster_find_holder(cluster);
		size_t other = (holder + 1) % CLUSTER_VMS;

		cluster_set_faults(cluster->store_address,
		    "{\"lose_answers\":5,\"delay_ms\":30}");
		g_subprocess_send_signal(cluster->vms[holder].process, SIGSTOP);
		cluster_sleep_ms(FAULT_DELAY_MS);
		g_subprocess_send_signal(cluster->vms[other].process, SIGKILL);
		g_subprocess_send_signal(cluster->vms[holder].process, SIGCONT);
		cluster_sleep_ms(FAULT_DELAY_MS);
		cluster_start_vm(cluster, other);
		cluster_set_faults(cluster->store_address, "{}");
		cluster_sleep_ms(FAULT_DELAY_MS);
	}
	report = cluster_finish_load(cluster, load);
	g_assert_cmpint(cluster_sum_report(report, "ok"), >, 0);
	for (size_t i = 0; i < CLUSTER_VMS; i++)
		cluster_wait_full_search(cluster, i);
	json_node_unref(report);
	cluster_stop(cluster);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/process-faults/kill", test_kill);
	g_test_add_func("/process-faults/pause", test_pause);
	g_test_add_func(
	    "/process-faults/start-in-outage", test_start_in_outage);
	g_test_add_func(
	    "/process-faults/store-lost-answers", test_store_lost_answers);
	g_test_add_func("/process-faults/planned-stop", test_planned_stop);
	g_test_add_func("/process-faults/version-change", test_version_change);
	g_test_add_func("/process-faults/unresolved", test_unresolved);
	g_test_add_func("/process-faults/searcher-drain", test_searcher_drain);
	g_test_add_func(
	    "/process-faults/searcher-faults", test_searcher_faults);
	g_test_add_func("/process-faults/combination", test_combination);
	return g_test_run();
}
