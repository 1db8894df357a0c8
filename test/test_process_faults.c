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

#include "test/fleet/fleet.h"

/** Duration of the load in tests with a fault in the middle, s. */
#define LOAD_DURATION_S 5
/** Time from the start of the load to the fault, or between faults, ms. */
#define FAULT_DELAY_MS 1500.0

/* The kill of a lane's holder must neither repeat nor lose accepted jobs. */
static void
test_kill(void)
{
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	JsonNode *report;

	fleet_sleep(FAULT_DELAY_MS);
	g_subprocess_send_signal(fleet->vms[holder].process, SIGKILL);
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	g_assert_cmpint(fleet_count(fleet, "max_busy"), <=, FLEET_SLOTS);
	fleet_wait_search(fleet, (holder + 1) % FLEET_VMS);
	fleet_start_vm(fleet, holder);
	fleet_wait_search(fleet, holder);
	json_node_unref(report);
	fleet_stop(fleet);
}

/* Returns the version of the contract in force on a VM, or 0. */
static int64_t
contract_version(const struct fleet *fleet, size_t vm)
{
	struct fleet_answer answer = fleet_call(fleet->vms[vm].operators, "GET",
	    "/v1/contracts/kestane", NULL, FLEET_TOKEN);
	int64_t version = 0;

	if (answer.code == WV_OK)
		version = (int64_t)wv_json_number(
		    json_node_get_object(answer.node), "version", 0);
	fleet_answer_clear(&answer);
	return version;
}

/*
 * A VM that starts while the store is down must get the contracts from its
 * peers: without them it rejects all customers until the store is back.
 */
static void
test_start_in_outage(void)
{
	struct fleet *fleet = fleet_start();
	size_t other = (fleet_holder(fleet) + 1) % FLEET_VMS;

	fleet_faults(fleet->store_address, "{\"down\":true}");
	g_subprocess_send_signal(fleet->vms[other].process, SIGKILL);
	fleet_start_vm(fleet, other);
	fleet_wait_search(fleet, other);
	g_assert_cmpint(contract_version(fleet, other), ==,
	    contract_version(fleet, fleet_holder(fleet)));
	g_assert_cmpint(contract_version(fleet, other), >, 0);
	fleet_stop(fleet);
}

/*
 * A holder that was paused must not send with a lease or send token from before
 * the pause: the lease may have expired and another VM may hold the lane.
 */
static void
test_pause(void)
{
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	JsonNode *report;

	fleet_sleep(FAULT_DELAY_MS);
	g_subprocess_send_signal(fleet->vms[holder].process, SIGSTOP);
	fleet_sleep(2500);
	g_subprocess_send_signal(fleet->vms[holder].process, SIGCONT);
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	fleet_wait_search(fleet, holder);
	json_node_unref(report);
	fleet_stop(fleet);
}

/*
 * After a lost answer of the store, a VM must read whether the write took
 * effect before it repeats it.
 */
static void
test_store_lost_answers(void)
{
	struct fleet *fleet = fleet_start();
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	struct fleet_answer answer;
	JsonNode *report;

	for (int i = 0; i < 8; i++) {
		fleet_sleep(500);
		fleet_faults(fleet->store_address, "{\"lose_answers\":3}");
	}
	fleet_faults(fleet->store_address, "{}");
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	answer =
	    fleet_call(fleet->store_address, "GET", "/v1/stats", NULL, NULL);
	g_assert_cmpfloat(wv_json_number(json_node_get_object(answer.node),
			      "lost_answers", 0),
	    >, 0);
	fleet_answer_clear(&answer);
	json_node_unref(report);
	fleet_stop(fleet);
}

/*
 * Callers must not notice a planned stop of the holder: no request is cut off,
 * times out or finds no VM.
 */
static void
test_planned_stop(void)
{
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	struct fleet_vm *vm = &fleet->vms[holder];
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	JsonNode *report;

	fleet_sleep(FAULT_DELAY_MS);
	fleet_expect(
	    vm->operators, "POST", "/v1/stop", "{}", FLEET_TOKEN, WV_OK);
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "cut"), ==, 0);
	g_assert_cmpint(fleet_report_sum(report, "timed_out"), ==, 0);
	g_assert_cmpint(fleet_report_sum(report, "unreachable"), ==, 0);
	g_assert_cmpint(fleet_count(fleet, "max_busy"), <=, FLEET_SLOTS);
	g_subprocess_wait(vm->process, NULL, NULL);
	g_assert_true(g_subprocess_get_if_exited(vm->process));
	g_assert_cmpint(g_subprocess_get_exit_status(vm->process), ==, 0);
	json_node_unref(report);
	fleet_stop(fleet);
}

/* Replaces the index version in the store's object of the back end. */
static void
publish_index_version(const struct fleet *fleet, int version)
{
	struct fleet_answer answer = fleet_call(fleet->store_address, "GET",
	    "/v1/objects/backends/desk", NULL, NULL);
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
	    parts[0], version, parts[1], wv_json_number(object, "version", 0));
	fleet_answer_clear(&answer);
	answer = fleet_call(fleet->store_address, "PUT",
	    "/v1/objects/backends/desk", body, NULL);
	g_assert_cmpuint(answer.http_status, ==, 200);
	fleet_answer_clear(&answer);
	g_strfreev(parts);
	g_free(body);
	g_free(old);
	g_free(text);
}

/* An answer must not mix versions while the searchers change one by one. */
static void
test_version_change(void)
{
	struct fleet *fleet = fleet_start();
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	JsonNode *report;

	for (int version = 2; version <= 4; version++) {
		char *both = g_strdup_printf(
		    "{\"versions\":[%d,%d]}", version - 1, version);
		char *only = g_strdup_printf("{\"versions\":[%d]}", version);

		for (size_t i = 0; i < FLEET_SEARCHERS; i++) {
			fleet_faults(fleet->searcher_addresses[i], both);
			fleet_sleep(30);
		}
		publish_index_version(fleet, version);
		fleet_sleep(200);
		for (size_t i = 0; i < FLEET_SEARCHERS; i++) {
			fleet_faults(fleet->searcher_addresses[i], only);
			fleet_sleep(30);
		}
		g_free(both);
		g_free(only);
	}
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	fleet_wait_search(fleet, 0);
	json_node_unref(report);
	fleet_stop(fleet);
}

/* Waits until the operators' list of unresolved jobs contains a key. */
static void
wait_unresolved(const struct fleet *fleet, size_t vm, const char *key)
{
	bool listed = false;

	for (int polls = 0; polls < 300 && !listed; polls++) {
		struct fleet_answer answer =
		    fleet_call(fleet->vms[vm].operators, "GET",
			"/v1/jobs?state=unresolved", NULL, FLEET_TOKEN);
		char *text = answer.node == NULL
		    ? g_strdup("")
		    : json_to_string(answer.node, FALSE);

		listed = strstr(text, key) != NULL;
		g_free(text);
		fleet_answer_clear(&answer);
		if (!listed)
			fleet_sleep(100);
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
	struct fleet *fleet = fleet_start();
	size_t holder = fleet_holder(fleet);
	size_t other = (holder + 1) % FLEET_VMS;
	char *key = fleet_key();
	struct fleet_answer answer;
	char *path, *body;

	for (size_t i = 0; i < FLEET_SEARCHERS; i++)
		fleet_faults(
		    fleet->searcher_addresses[i], "{\"late_ms\":60000}");
	answer = fleet_job(fleet, holder, key);
	g_assert_cmpint(answer.code, !=, WV_OK);
	g_assert_false(wv_code_not_run(answer.code));
	fleet_answer_clear(&answer);
	g_assert_cmpint(fleet_runs(fleet, key), ==, 1);
	g_subprocess_send_signal(fleet->vms[holder].process, SIGKILL);
	path = g_strdup_printf("/v1/vms/%s", fleet->vms[holder].name);
	answer = fleet_call(fleet->vm_list_address, "DELETE", path, NULL, NULL);
	fleet_answer_clear(&answer);
	wait_unresolved(fleet, other, key);
	body = g_strdup_printf("{\"customer\":\"kestane\",\"key\":\"%s\","
			       "\"back_end\":\"desk\",\"state\":\"done\"}",
	    key);
	fleet_expect(fleet->vms[other].operators, "POST", "/v1/jobs/resolve",
	    body, FLEET_TOKEN, WV_OK);
	for (size_t i = 0; i < FLEET_SEARCHERS; i++)
		fleet_faults(fleet->searcher_addresses[i], "{}");
	fleet_wait_search(fleet, other);
	answer = fleet_job(fleet, other, key);
	g_assert_cmpint(answer.code, ==, WV_OK);
	g_assert_cmpstr(
	    wv_json_string(json_node_get_object(answer.node), "state").data, ==,
	    "done");
	g_assert_cmpint(fleet_runs(fleet, key), ==, 1);
	fleet_answer_clear(&answer);
	g_free(body);
	g_free(path);
	g_free(key);
	fleet_stop(fleet);
}

/* A searcher must get no work later than 2 s after it reports its drain. */
static void
test_searcher_drain(void)
{
	struct fleet *fleet = fleet_start();
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S);
	JsonNode *report;

	fleet_sleep(FAULT_DELAY_MS);
	for (size_t i = 0; i < FLEET_SEARCHERS; i += FLEET_REPLICAS)
		fleet_faults(fleet->searcher_addresses[i], "{\"drain\":true}");
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_count(fleet, "late_runs"), ==, 0);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	g_assert_cmpint(fleet_report_sum(report, "cut"), ==, 0);
	json_node_unref(report);
	fleet_stop(fleet);
}

/* Sets faults of one replica of each service for 600 ms. */
static void
set_replica_faults_briefly(
    const struct fleet *fleet, size_t replica, const char *faults)
{
	fleet_replica_faults(fleet, replica, faults);
	fleet_sleep(600);
	fleet_replica_faults(fleet, replica, "{}");
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
	struct fleet *fleet = fleet_start();
	GSubprocess *load = fleet_load_start(fleet, LOAD_DURATION_S + 1);
	JsonNode *report;

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++)
		set_replica_faults_briefly(
		    fleet, i % FLEET_REPLICAS, faults[i]);
	g_assert_cmpint(fleet_count(fleet, "max_busy"), <=, FLEET_SLOTS);
	g_assert_cmpint(fleet_count(fleet, "dropped"), >, 0);
	set_replica_faults_briefly(fleet, 0, "{\"frozen\":true}");
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	g_assert_cmpint(fleet_report_sum(report, "cut"), ==, 0);
	fleet_wait_search(fleet, 0);
	json_node_unref(report);
	fleet_stop(fleet);
}

/*
 * Faults that overlap, in two rounds: lost answers of a slow store, a pause of
 * the holder, and the kill and restart of another VM.
 */
static void
test_combination(void)
{
	struct fleet *fleet = fleet_start();
	GSubprocess *load = fleet_load_start(fleet, 2 * LOAD_DURATION_S);
	JsonNode *report;

	for (int round = 0; round < 2; round++) {
		size_t holder = fleet_holder(fleet);
		size_t other = (holder + 1) % FLEET_VMS;

		fleet_faults(fleet->store_address,
		    "{\"lose_answers\":5,\"delay_ms\":30}");
		g_subprocess_send_signal(fleet->vms[holder].process, SIGSTOP);
		fleet_sleep(FAULT_DELAY_MS);
		g_subprocess_send_signal(fleet->vms[other].process, SIGKILL);
		g_subprocess_send_signal(fleet->vms[holder].process, SIGCONT);
		fleet_sleep(FAULT_DELAY_MS);
		fleet_start_vm(fleet, other);
		fleet_faults(fleet->store_address, "{}");
		fleet_sleep(FAULT_DELAY_MS);
	}
	report = fleet_load_finish(fleet, load);
	g_assert_cmpint(fleet_report_sum(report, "ok"), >, 0);
	for (size_t i = 0; i < FLEET_VMS; i++)
		fleet_wait_search(fleet, i);
	json_node_unref(report);
	fleet_stop(fleet);
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
