/**
 * @file
 * Tests of whole processes from outside: bad input must get a clear error with
 * a code while the daemon goes on serving, answers must state the coverage that
 * they really have, and operators must learn the real outcome of their changes.
 */
#include <sys/socket.h>

#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "http/address.h"
#include "test/cluster/cluster.h"

/*
 * Runs the daemon with bad settings, which the option --settings or
 * --check-settings names; returns what it printed.
 */
static char *
run_bad_settings(const char *option, const char *settings, int *exit_status)
{
	char *dir = g_dir_make_tmp("wisteriavane-test-XXXXXX", NULL);
	char *path = g_build_filename(dir, "settings.json", NULL);
	GError *error = NULL;
	GSubprocess *process;
	char *text = NULL;

	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	process = g_subprocess_new(
	    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE,
	    &error, WV_BUILD_DIR "/wisteriavaned", option, path, NULL);
	g_assert_no_error(error);
	g_subprocess_communicate_utf8(process, NULL, NULL, &text, NULL, NULL);
	g_assert_true(g_subprocess_get_if_exited(process));
	*exit_status = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	unlink(path);
	rmdir(dir);
	g_free(path);
	g_free(dir);
	return text;
}

/*
 * The daemon must exit and name each fault: a VM that starts with faulty
 * settings would serve with arbitrary limits.
 */
static void
test_bad_settings(void)
{
	int exit_status;
	char *text = run_bad_settings("--settings",
	    "{\"vm\":\"vm1\",\"workers\":0,\"wokers\":3}", &exit_status);

	g_assert_cmpint(exit_status, ==, 2);
	g_assert_nonnull(strstr(text, "$.workers: must be from 2 to 64"));
	g_assert_nonnull(strstr(text, "$.wokers: is not a known field"));
	g_assert_nonnull(strstr(text, "$.store: is missing"));
	g_free(text);
	text = run_bad_settings("--settings", "[]", &exit_status);
	g_assert_cmpint(exit_status, ==, 2);
	g_assert_nonnull(strstr(text, "$: must be one object"));
	g_free(text);
	/* Without the check, the daemon waits: see test_daemon_start. */
	text = run_bad_settings("--check-settings", "not JSON", &exit_status);
	g_assert_cmpint(exit_status, ==, 2);
	g_assert_nonnull(strstr(text, "$: is not valid JSON"));
	g_free(text);
}

/* Asserts that a caller's request gets a code and that the VM still serves. */
static void
expect_caller_code(const struct cluster *cluster, const char *method,
    const char *path, const char *body, int code)
{
	struct cluster_answer answer;

	cluster_expect_code(
	    cluster->vms[0].callers, method, path, body, NULL, code);
	answer = cluster_search(cluster, 0);
	g_assert_cmpint(answer.code, ==, WV_OK);
	cluster_answer_clear(&answer);
}

/* Bad input from callers must get an error code and never end the daemon. */
static void
check_callers(const struct cluster *cluster)
{
	char *large = g_strnfill(5000, ' ');

	expect_caller_code(
	    cluster, "POST", "/v1/search", "{\"customer\":", WV_BAD_JSON);
	expect_caller_code(cluster, "POST", "/v1/search", "[1]", WV_BAD_JSON);
	expect_caller_code(cluster, "POST", "/v1/search", "{}{}", WV_BAD_JSON);
	expect_caller_code(
	    cluster, "POST", "/v1/jobs", "\xff\xfe", WV_BAD_JSON);
	expect_caller_code(cluster, "POST", "/v1/search", "{}", WV_BAD_REQUEST);
	expect_caller_code(
	    cluster, "POST", "/v1/search", large, WV_BODY_TOO_LARGE);
	expect_caller_code(
	    cluster, "GET", "/v1/search", NULL, WV_METHOD_NOT_ALLOWED);
	expect_caller_code(
	    cluster, "DELETE", "/v1/jobs", NULL, WV_METHOD_NOT_ALLOWED);
	expect_caller_code(cluster, "GET", "/v1/nothing", NULL, WV_NOT_FOUND);
	expect_caller_code(cluster, "POST", "/v1/search",
	    "{\"customer\":\"nobody\",\"back_end\":\"desk\","
	    "\"rank\":\"urgent\",\"query\":\"x\",\"deadline_ms\":1000}",
	    WV_UNKNOWN_CUSTOMER);
	expect_caller_code(cluster, "POST", "/v1/search",
	    "{\"customer\":\"kestane\",\"back_end\":\"none\","
	    "\"rank\":\"urgent\",\"query\":\"x\",\"deadline_ms\":1000}",
	    WV_UNKNOWN_BACK_END);
	expect_caller_code(cluster, "POST", "/v1/search",
	    "{\"customer\":\"kestane\",\"back_end\":\"desk\","
	    "\"rank\":\"urgent\",\"query\":\"x\",\"deadline_ms\":9000}",
	    WV_DEADLINE_NOT_ALLOWED);
	expect_caller_code(cluster, "POST", "/v1/jobs",
	    "{\"customer\":\"kestane\",\"back_end\":\"desk\","
	    "\"rank\":\"urgent\",\"key\":\"no-time\",\"payload\":\"x\","
	    "\"deadline_ms\":1000}",
	    WV_KEY_MALFORMED);
	g_free(large);
}

/* Operators' invalid calls must get a specific error and change nothing. */
static void
check_operators(const struct cluster *cluster)
{
	const char *address = cluster->vms[0].operators;
	struct cluster_answer answer;

	cluster_expect_code(
	    address, "GET", "/v1/state", NULL, NULL, WV_UNAUTHORIZED);
	cluster_expect_code(address, "GET", "/v1/state", NULL,
	    "wrong-operator-token", WV_UNAUTHORIZED);
	cluster_expect_code(address, "PUT", "/v1/contracts/kestane", "{",
	    CLUSTER_TOKEN, WV_BAD_JSON);
	cluster_expect_code(address, "PUT", "/v1/contracts/kestane",
	    "{\"value\":{\"customer\":\"kestane\",\"deleted\":true},"
	    "\"if_version\":999}",
	    CLUSTER_TOKEN, WV_VERSION_CONFLICT);
	cluster_expect_code(
	    address, "GET", "/v1/nothing", NULL, CLUSTER_TOKEN, WV_NOT_FOUND);
	answer = cluster_call(address, "PUT", "/v1/contracts/kestane",
	    "{\"value\":{\"customer\":\"kestane\",\"job_retention_s\":60,"
	    "\"back_ends\":{\"desk\":{\"hedge_budget\":7,\"retry_budget\":0,"
	    "\"ranks\":{}}}},\"if_version\":1}",
	    CLUSTER_TOKEN);
	g_assert_cmpint(answer.code, ==, WV_CONTRACT_INVALID);
	g_assert_nonnull(strstr(
	    wv_json_get_string(json_node_get_object(answer.node), "message")
		.data,
	    "$.back_ends.desk.hedge_budget"));
	cluster_answer_clear(&answer);
	answer = cluster_search(cluster, 0);
	g_assert_cmpint(answer.code, ==, WV_OK);
	cluster_answer_clear(&answer);
}

static int
connect_to(const char *text)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_true(wv_address_parse(wv_string_borrow(text), &address));
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	return fd;
}

/*
 * Callers that send half a request and then nothing must not block a thread
 * that others need, and their connections must be closed after a time.
 */
static void
check_half_open(const struct cluster *cluster)
{
	static const char half[] = "POST /v1/search HTTP/1.1\r\n"
				   "Host: x\r\nContent-Length: 100\r\n\r\n{";
	struct timeval read_timeout = {20, 0};
	struct cluster_answer answer;
	int sockets[20];
	char byte;

	for (size_t i = 0; i < G_N_ELEMENTS(sockets); i++) {
		sockets[i] = connect_to(cluster->vms[0].callers);
		g_assert_cmpint(write(sockets[i], half, sizeof(half) - 1), ==,
		    sizeof(half) - 1);
	}
	answer = cluster_search(cluster, 0);
	g_assert_cmpint(answer.code, ==, WV_OK);
	cluster_answer_clear(&answer);
	for (size_t i = 0; i < G_N_ELEMENTS(sockets); i++) {
		setsockopt(sockets[i], SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
		    sizeof(read_timeout));
		g_assert_cmpint(read(sockets[i], &byte, 1), ==, 0);
		close(sockets[i]);
	}
}

/* Bytes of another protocol on the peers' port must close only that link. */
static void
check_foreign_protocol(const struct cluster *cluster)
{
	static const char junk[] = "GET / HTTP/1.1\r\n\r\n";
	struct cluster_answer answer;
	int fd = connect_to(cluster->vms[0].peers);

	g_assert_cmpint(
	    write(fd, junk, sizeof(junk) - 1), ==, sizeof(junk) - 1);
	answer = cluster_search(cluster, 0);
	g_assert_cmpint(answer.code, ==, WV_OK);
	cluster_answer_clear(&answer);
	close(fd);
}

/*
 * The fault tests rely on the searchers' count of double runs. A key that is
 * sent to two replicas must be counted, or those tests would detect nothing.
 */
static void
check_double_runs_counted(const struct cluster *cluster)
{
	static const char job[] = "{\"attempt\":\"%zu\",\"service\":\"desk-0\","
				  "\"key\":\"1-twice\",\"payload\":\"x\"}";

	g_assert_cmpint(cluster_get_counter(cluster, "double_runs"), ==, 0);
	for (size_t i = 0; i < 2; i++) {
		char *body = g_strdup_printf(job, i);
		struct cluster_answer answer =
		    cluster_call(cluster->searcher_addresses[i], "POST",
			"/v1/job", body, NULL);

		g_assert_cmpuint(answer.http_status, ==, 200);
		cluster_answer_clear(&answer);
		g_free(body);
	}
	g_assert_cmpint(cluster_get_counter(cluster, "double_runs"), ==, 1);
	g_assert_cmpint(cluster_count_runs(cluster, "1-twice"), ==, 2);
}

static void
test_bad_input(void)
{
	struct cluster *cluster = cluster_start();

	check_callers(cluster);
	check_operators(cluster);
	check_half_open(cluster);
	check_foreign_protocol(cluster);
	check_double_runs_counted(cluster);
	cluster_stop(cluster);
}

/* Asserts how many shards an answer states as covered. */
static void
expect_shards(const struct cluster *cluster, int shards)
{
	struct cluster_answer answer = cluster_search(cluster, 0);
	JsonObject *object, *coverage;

	g_assert_cmpint(answer.code, ==, WV_OK);
	object = json_node_get_object(answer.node);
	coverage = json_object_get_object_member(object, "coverage");
	g_assert_cmpint(
	    json_object_get_int_member(coverage, "shards"), ==, shards);
	g_assert_true(wv_json_get_bool(object, "full", false) ==
	    (shards == CLUSTER_SERVICES));
	cluster_answer_clear(&answer);
}

/* An incomplete or wrong reply must never count as a covered shard. */
static void
test_truthful_coverage(void)
{
	static const char *const faults[] = {"{\"partial\":true}",
	    "{\"truncated\":true}", "{\"doubled\":true}", "{\"crossed\":true}"};
	struct cluster *cluster = cluster_start();

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		for (size_t r = 0; r < CLUSTER_REPLICAS; r++)
			cluster_set_faults(
			    cluster->searcher_addresses[r], faults[i]);
		g_test_message("fault %s", faults[i]);
		expect_shards(cluster, CLUSTER_SERVICES - 1);
		for (size_t r = 0; r < CLUSTER_REPLICAS; r++)
			cluster_set_faults(
			    cluster->searcher_addresses[r], "{}");
		cluster_wait_full_search(cluster, 0);
	}
	cluster_stop(cluster);
}

/*
 * While the store is down, searches must succeed, and jobs must be rejected as
 * not run. Once it is back, jobs must run again.
 */
static void
test_store_outage(void)
{
	struct cluster *cluster = cluster_start();
	char *key = cluster_new_key(), *later = cluster_new_key();
	struct cluster_answer answer;

	cluster_set_faults(cluster->store_address, "{\"down\":true}");
	for (size_t i = 0; i < CLUSTER_VMS; i++) {
		answer = cluster_search(cluster, i);
		g_assert_cmpint(answer.code, ==, WV_OK);
		cluster_answer_clear(&answer);
	}
	answer = cluster_submit_job(cluster, 0, key);
	g_assert_cmpint(answer.code, !=, WV_OK);
	g_assert_cmpstr(
	    wv_json_get_string(json_node_get_object(answer.node), "state").data,
	    ==, "not_run");
	g_assert_cmpint(cluster_count_runs(cluster, key), ==, 0);
	cluster_answer_clear(&answer);
	answer = cluster_call(cluster->vms[0].operators, "PUT",
	    "/v1/contracts/kestane",
	    "{\"value\":{\"customer\":\"kestane\",\"deleted\":true},"
	    "\"if_version\":1}",
	    CLUSTER_TOKEN);
	g_assert_true(answer.code == WV_STORE_UNAVAILABLE ||
	    answer.code == WV_OUTCOME_OPEN);
	cluster_answer_clear(&answer);
	answer = cluster_search(cluster, 0);
	g_assert_cmpint(answer.code, ==, WV_OK);
	cluster_answer_clear(&answer);
	cluster_set_faults(cluster->store_address, "{}");
	answer = cluster_submit_job(cluster, 0, later);
	g_assert_cmpint(answer.code, ==, WV_OK);
	g_assert_cmpint(cluster_count_runs(cluster, later), ==, 1);
	cluster_answer_clear(&answer);
	g_free(later);
	g_free(key);
	cluster_stop(cluster);
}

/*
 * Writes the contract in force with another hedge budget to a file. Returns
 * the file's path and the contract's version, both owned by the caller.
 */
static char *
write_changed_contract(
    const struct cluster *cluster, const char *budget, char **version)
{
	struct cluster_answer answer = cluster_call(cluster->vms[0].operators,
	    "GET", "/v1/contracts/kestane", NULL, CLUSTER_TOKEN);
	char *path = g_strdup_printf("%s/contract.json", cluster->dir);
	JsonObject *object;
	char *text, **parts, *changed;

	g_assert_cmpint(answer.code, ==, WV_OK);
	object = json_node_get_object(answer.node);
	*version =
	    g_strdup_printf("%.0f", wv_json_get_number(object, "version", 0));
	text = json_to_string(json_object_get_member(object, "value"), FALSE);
	parts = g_strsplit(text, "\"hedge_budget\":", 2);
	g_assert_nonnull(parts[1]);
	changed = g_strdup_printf(
	    "%s\"hedge_budget\":%s%s", parts[0], budget, strchr(parts[1], ','));
	g_assert_true(g_file_set_contents(path, changed, -1, NULL));
	g_strfreev(parts);
	g_free(changed);
	g_free(text);
	cluster_answer_clear(&answer);
	return path;
}

/*
 * Asserts the exit code and part of the output of `contract put`, which checks
 * all members.
 */
static void
expect_put(const struct cluster *cluster, size_t vm, const char *path,
    const char *version, int exit_code, const char *printed)
{
	char *output;

	g_assert_cmpint(cluster_run_ctl(cluster, vm, &output, "--member",
			    cluster->vms[0].operators, "--member",
			    cluster->vms[1].operators, "--member",
			    cluster->vms[2].operators, "contract", "put",
			    "kestane", path, "--if-version", version, NULL),
	    ==, exit_code);
	g_test_message("%s", output);
	g_assert_nonnull(strstr(output, printed));
	g_free(output);
}

/*
 * An accepted change must be in force on all members, and of two operators who
 * change the same version only one may succeed; otherwise the limits that the
 * customer's members agreed on would not apply. A lost answer of the store must
 * not hide that a change was accepted.
 */
static void
test_contract_change(void)
{
	struct cluster *cluster = cluster_start();
	char *version, *path, *output;

	path = write_changed_contract(cluster, "0.01", &version);
	expect_put(cluster, 1, path, version, 0, "accepted");
	expect_put(cluster, 2, path, version, 4, "the current version is");
	g_assert_true(g_file_set_contents(path, "{\"customer\":7}", -1, NULL));
	expect_put(cluster, 1, path, version, 1, "error 601");
	g_assert_true(g_file_set_contents(path, "{", -1, NULL));
	expect_put(cluster, 1, path, version, 2, "not valid JSON");
	g_free(path);
	g_free(version);
	path = write_changed_contract(cluster, "0.02", &version);
	cluster_set_faults(cluster->store_address, "{\"lose_answers\":1}");
	expect_put(cluster, 0, path, version, 0, "accepted");
	g_assert_cmpint(cluster_run_ctl(cluster, 0, &output, "--json",
			    "contract", "history", "kestane", NULL),
	    ==, 0);
	g_assert_nonnull(strstr(output, "\"hedge_budget\":0.01"));
	g_free(output);
	g_free(path);
	g_free(version);
	cluster_stop(cluster);
}

/** Time over which the calls of idle VMs are counted, ms. */
#define IDLE_TIME 3000.0
/** Maximum watches that a change may restart: two prefixes on each VM. */
#define MAX_NEW_WATCHES (2 * CLUSTER_VMS)

/* Returns how many calls of a kind the store has received. */
static int64_t
store_calls(const struct cluster *cluster, const char *kind)
{
	struct cluster_answer answer = cluster_call(
	    cluster->store_address, "GET", "/v1/stats", NULL, NULL);
	JsonObject *calls = json_object_get_object_member(
	    json_node_get_object(answer.node), "calls");
	int64_t n = json_object_get_int_member(calls, kind);

	cluster_answer_clear(&answer);
	return n;
}

/*
 * The store limits the rate of calls, so idle VMs must not poll it, and a
 * change may end each waiting watch only once.
 */
static void
test_store_calls(void)
{
	struct cluster *cluster = cluster_start();
	int64_t gets = store_calls(cluster, "get");
	int64_t lists = store_calls(cluster, "list");
	int64_t puts = store_calls(cluster, "put");
	int64_t watches = store_calls(cluster, "watch");
	char *version, *path;

	cluster_sleep_ms(IDLE_TIME);
	g_assert_cmpint(store_calls(cluster, "get"), ==, gets);
	g_assert_cmpint(store_calls(cluster, "list"), ==, lists);
	g_assert_cmpint(store_calls(cluster, "put"), ==, puts);
	g_assert_cmpint(
	    store_calls(cluster, "watch"), <=, watches + MAX_NEW_WATCHES);
	path = write_changed_contract(cluster, "0.01", &version);
	watches = store_calls(cluster, "watch");
	expect_put(cluster, 1, path, version, 0, "accepted");
	cluster_sleep_ms(IDLE_TIME);
	g_assert_cmpint(store_calls(cluster, "list"), ==, lists);
	/* One write of the contract, one of its history. */
	g_assert_cmpint(store_calls(cluster, "put"), ==, puts + 2);
	g_assert_cmpint(store_calls(cluster, "get"), <=, gets + 2);
	g_assert_cmpint(
	    store_calls(cluster, "watch"), <=, watches + MAX_NEW_WATCHES);
	g_free(path);
	g_free(version);
	cluster_stop(cluster);
}

/** Callers that search at the same time, and searches of each. */
#define CALLERS 64
#define SEARCHES_PER_CALLER 8

struct caller {
	const struct cluster *cluster;
	unsigned int index;
	unsigned int answered;
};

/* Asserts that every hit belongs to the caller's own query. */
static void
check_own_hits(JsonObject *answer, const char *query)
{
	JsonArray *hits = wv_json_get_array(answer, "hits");
	guint n = json_array_get_length(hits);

	g_assert_cmpuint(n, >, 0);
	for (guint i = 0; i < n; i++)
		g_assert_nonnull(
		    strstr(wv_json_get_string(
			       json_array_get_object_element(hits, i), "text")
			       .data,
			query));
}

static void *
run_caller(void *data)
{
	struct caller *caller = data;
	struct cluster_answer answer;
	char *body, *query;

	for (unsigned int i = 0; i < SEARCHES_PER_CALLER; i++) {
		query = g_strdup_printf("caller%u-search%u-", caller->index, i);
		body = g_strdup_printf(
		    "{\"customer\":\"kestane\",\"back_end\":\"desk\","
		    "\"rank\":\"urgent\",\"query\":\"%s\","
		    "\"deadline_ms\":1500}",
		    query);
		answer = cluster_call(
		    caller->cluster->vms[caller->index % CLUSTER_VMS].callers,
		    "POST", "/v1/search", body, NULL);
		if (answer.code == 0) {
			caller->answered++;
			check_own_hits(
			    json_node_get_object(answer.node), query);
		} else {
			/* A rejection for lack of capacity is allowed. */
			g_assert_cmpint(answer.code / 100, ==, 2);
		}
		cluster_answer_clear(&answer);
		g_free(body);
		g_free(query);
	}
	return NULL;
}

/* Callers served at the same time must not get each other's answers. */
static void
test_many_callers(void)
{
	struct cluster *cluster = cluster_start();
	struct caller callers[CALLERS];
	GThread *threads[CALLERS];
	unsigned int answered = 0;

	for (unsigned int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){cluster, i, 0};
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	for (unsigned int i = 0; i < CALLERS; i++) {
		g_thread_join(threads[i]);
		answered += callers[i].answered;
	}
	g_assert_cmpuint(answered, >, 0);
	cluster_wait_full_search(cluster, 0);
	cluster_stop(cluster);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/processes/bad-settings", test_bad_settings);
	g_test_add_func("/processes/bad-input", test_bad_input);
	g_test_add_func("/processes/coverage", test_truthful_coverage);
	g_test_add_func("/processes/store-outage", test_store_outage);
	g_test_add_func("/processes/contract-change", test_contract_change);
	g_test_add_func("/processes/many-callers", test_many_callers);
	g_test_add_func("/processes/store-calls", test_store_calls);
	return g_test_run();
}
