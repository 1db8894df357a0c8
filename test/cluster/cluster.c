/**
 * @file
 * Test cluster of real processes on loopback.
 */
#include <sys/prctl.h>

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#include "standin/common/ports.h"
#include "test/cluster/cluster.h"

/** Timeout of one HTTP call, ms. */
#define CALL_TIMEOUT_MS 10000.0
/** Maximum number of polls for a condition that must come true. */
#define MAX_POLLS 300
/** Time between two polls, ms. */
#define POLL_INTERVAL_MS 100.0

/** Fields of a rank in the contract, except its share. */
#define RANK_TERMS                                         \
	"\"rate\":2000,\"burst\":200,\"concurrency\":500," \
	"\"deadline_ms\":1500,\"coverage_minimum\":0.25"
/** Contract of the customer of all calls. */
#define CONTRACT_JSON                                                         \
	"{\"customer\":\"kestane\",\"job_retention_s\":86400,\"back_ends\":{" \
	"\"desk\":{\"hedge_budget\":0.05,\"retry_budget\":0.05,\"ranks\":{"   \
	"\"urgent\":{\"share\":0.5," RANK_TERMS "},"                          \
	"\"standard\":{\"share\":0.3," RANK_TERMS "},"                        \
	"\"background\":{\"share\":0.2," RANK_TERMS "}}}}}"

void
cluster_sleep_ms(double ms)
{
	g_usleep((gulong)(ms * 1000));
}

/* Kills the child when the test ends, so that an aborted test leaves none. */
static void
on_child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Returns the path of a program of the build; the caller frees it. */
static char *
program_path(const char *name)
{
	return g_build_filename(WV_BUILD_DIR, name, NULL);
}

/* Starts a program with its output in NAME.log; takes ownership of argv. */
static GSubprocess *
spawn(const struct cluster *cluster, const char *name, GPtrArray *argv)
{
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	char *log = g_strdup_printf("%s/%s.log", cluster->dir, name);
	GError *error = NULL;
	GSubprocess *process;

	g_ptr_array_add(argv, NULL);
	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(
	    launcher, on_child_setup, NULL, NULL);
	process = g_subprocess_launcher_spawnv(
	    launcher, (const char *const *)argv->pdata, &error);
	g_assert_no_error(error);
	g_object_unref(launcher);
	g_ptr_array_unref(argv);
	g_free(log);
	return process;
}

/*
 * Returns an argument vector from a list that ends with NULL; the first
 * argument is the program's name.
 */
static GPtrArray *
build_argv(const char *first, ...)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	const char *item;
	va_list args;

	g_ptr_array_add(argv, program_path(first));
	va_start(args, first);
	while ((item = va_arg(args, const char *)) != NULL)
		g_ptr_array_add(argv, g_strdup(item));
	va_end(args);
	return argv;
}

/* Waits until a stand-in's log has n addresses, one line each; copies them. */
static void
read_addresses(
    const struct cluster *cluster, const char *name, char **addresses, size_t n)
{
	static const char prefix[] = "listening on ";
	char *log = g_strdup_printf("%s/%s.log", cluster->dir, name);
	size_t found = 0;

	for (int polls = 0; polls < MAX_POLLS && found < n; polls++) {
		char *text = NULL;
		char **lines;

		cluster_sleep_ms(20);
		if (!g_file_get_contents(log, &text, NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", -1);
		found = 0;
		/* The last item is empty or an incomplete line. */
		for (char **line = lines; line[0] != NULL && line[1] != NULL;
		     line++)
			found += g_str_has_prefix(*line, prefix);
		for (size_t i = 0; found == n && i < n; i++)
			addresses[i] = g_strdup(lines[i] + sizeof(prefix) - 1);
		g_strfreev(lines);
		g_free(text);
	}
	g_assert_cmpuint(found, ==, n);
	g_free(log);
}

/* Chooses n loopback addresses with free ports; the caller frees them. */
static void
choose_addresses(char **addresses, size_t n)
{
	unsigned int ports[CLUSTER_VMS * 3];

	g_assert_cmpuint(n, <=, G_N_ELEMENTS(ports));
	g_assert_true(standin_free_ports(ports, n));
	for (size_t i = 0; i < n; i++)
		addresses[i] = g_strdup_printf("127.0.0.1:%u", ports[i]);
}

static void
write_file(const char *path, const char *text)
{
	GError *error = NULL;

	g_file_set_contents(path, text, -1, &error);
	g_assert_no_error(error);
}

/* Returns the store's object of the back end as JSON. */
static char *
back_end_json(const struct cluster *cluster)
{
	GString *json = g_string_new("{\"back_end\":\"desk\","
				     "\"index_version\":1,\"map\":1,"
				     "\"services\":[");

	for (size_t i = 0; i < CLUSTER_SEARCHERS; i++) {
		size_t service = i / CLUSTER_REPLICAS;

		if (i % CLUSTER_REPLICAS == 0)
			g_string_append_printf(json,
			    "%s{\"name\":\"desk-%zu\",\"searchers\":[",
			    i > 0 ? "]}," : "", service);
		g_string_append_printf(json,
		    "%s{\"id\":\"s%zu\",\"address\":\"%s\",\"zone\":\"z%zu\","
		    "\"generation\":1,\"slots\":%d,\"connections\":25,"
		    "\"connect_cost_ms\":5}",
		    i % CLUSTER_REPLICAS == 0 ? "" : ",", i,
		    cluster->searcher_addresses[i], i % CLUSTER_REPLICAS,
		    CLUSTER_SLOTS);
	}
	g_string_append(json, "]}]}");
	return g_string_free(json, FALSE);
}

static void
start_store(struct cluster *cluster)
{
	char *path = g_strdup_printf("%s/store.json", cluster->dir);
	char *back_end = back_end_json(cluster);
	char *json =
	    g_strdup_printf("{\"contracts/kestane\":%s,\"backends/desk\":%s}",
		CONTRACT_JSON, back_end);

	write_file(path, json);
	cluster->store = spawn(cluster, "store",
	    build_argv("standin-store", "--load", path, NULL));
	read_addresses(cluster, "store", &cluster->store_address, 1);
	g_free(json);
	g_free(back_end);
	g_free(path);
}

static void
start_vm_list(struct cluster *cluster)
{
	char *path = g_strdup_printf("%s/vms.json", cluster->dir);
	GString *json = g_string_new("{\"vms\":[");

	for (size_t i = 0; i < CLUSTER_VMS; i++)
		g_string_append_printf(json,
		    "%s{\"id\":\"%s\",\"zone\":\"z%zu\",\"peer\":\"%s\","
		    "\"callers\":\"%s\",\"state\":\"live\"}",
		    i > 0 ? "," : "", cluster->vms[i].name, i,
		    cluster->vms[i].peers, cluster->vms[i].callers);
	g_string_append(json, "]}");
	write_file(path, json->str);
	cluster->vm_list = spawn(cluster, "vmlist",
	    build_argv("standin-vmlist", "--load", path, NULL));
	read_addresses(cluster, "vmlist", &cluster->vm_list_address, 1);
	g_string_free(json, TRUE);
	g_free(path);
}

static void
write_settings(struct cluster *cluster, size_t index)
{
	struct cluster_vm *vm = &cluster->vms[index];
	char *json = g_strdup_printf(
	    "{\"vm\":\"%s\",\"zone\":\"z%zu\",\"deployment\":\"test\","
	    "\"callers\":\"%s\",\"operators\":\"%s\",\"peers\":\"%s\","
	    "\"store\":\"%s\",\"vm_list\":\"%s\",\"operator_token\":\"%s\","
	    "\"max_body\":4096,\"address_lifetime_ms\":1000,"
	    "\"idle_timeout_ms\":2000}",
	    vm->name, index, vm->callers, vm->operators, vm->peers,
	    cluster->store_address, cluster->vm_list_address, CLUSTER_TOKEN);

	vm->settings = g_strdup_printf("%s/%s.json", cluster->dir, vm->name);
	write_file(vm->settings, json);
	g_free(json);
}

void
cluster_start_vm(struct cluster *cluster, size_t vm)
{
	struct cluster_vm *entry = &cluster->vms[vm];

	/* The previous process may still be bound to the addresses. */
	if (entry->process != NULL)
		g_subprocess_wait(entry->process, NULL, NULL);
	g_clear_object(&entry->process);
	entry->process = spawn(cluster, entry->name,
	    build_argv("wisteriavaned", "--settings", entry->settings, NULL));
}

struct cluster *
cluster_start(void)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	char *addresses[CLUSTER_VMS * 3];
	char *count = g_strdup_printf("%d", CLUSTER_SEARCHERS);

	cluster->dir = g_dir_make_tmp("wisteriavane-test-XXXXXX", NULL);
	g_assert_nonnull(cluster->dir);
	cluster->searchers = spawn(cluster, "searchers",
	    build_argv("standin-searcher", "--count", count, "--service-ms",
		"5", NULL));
	read_addresses(cluster, "searchers", cluster->searcher_addresses,
	    CLUSTER_SEARCHERS);
	start_store(cluster);
	choose_addresses(addresses, G_N_ELEMENTS(addresses));
	for (size_t i = 0; i < CLUSTER_VMS; i++) {
		cluster->vms[i].name = g_strdup_printf("vm%zu", i);
		cluster->vms[i].callers = addresses[3 * i];
		cluster->vms[i].operators = addresses[3 * i + 1];
		cluster->vms[i].peers = addresses[3 * i + 2];
	}
	start_vm_list(cluster);
	for (size_t i = 0; i < CLUSTER_VMS; i++) {
		write_settings(cluster, i);
		cluster_start_vm(cluster, i);
	}
	for (size_t i = 0; i < CLUSTER_VMS; i++)
		cluster_wait_full_search(cluster, i);
	g_free(count);
	return cluster;
}

static void
kill_process(GSubprocess *process)
{
	if (process == NULL)
		return;
	g_subprocess_force_exit(process);
	g_subprocess_wait(process, NULL, NULL);
	g_object_unref(process);
}

static void
remove_dir(const char *dir)
{
	GDir *handle = g_dir_open(dir, 0, NULL);
	const char *name;

	while (handle != NULL && (name = g_dir_read_name(handle)) != NULL) {
		char *path = g_build_filename(dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (handle != NULL)
		g_dir_close(handle);
	g_rmdir(dir);
}

/* Asserts that a VM logged no critical message of GLib: it shows a bug. */
static void
check_log(const struct cluster *cluster, const struct cluster_vm *vm)
{
	char *path = g_strdup_printf("%s/%s.log", cluster->dir, vm->name);
	char *text = NULL, *found;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	found = strstr(text, "CRITICAL");
	if (found != NULL)
		g_test_message("%s: %.300s", vm->name, found);
	g_assert_null(found);
	g_free(text);
	g_free(path);
}

void
cluster_stop(struct cluster *cluster)
{
	for (size_t i = 0; i < CLUSTER_VMS; i++)
		check_log(cluster, &cluster->vms[i]);
	for (size_t i = 0; i < CLUSTER_VMS; i++) {
		kill_process(cluster->vms[i].process);
		g_free(cluster->vms[i].name);
		g_free(cluster->vms[i].callers);
		g_free(cluster->vms[i].operators);
		g_free(cluster->vms[i].peers);
		g_free(cluster->vms[i].settings);
	}
	kill_process(cluster->store);
	kill_process(cluster->vm_list);
	kill_process(cluster->searchers);
	for (size_t i = 0; i < CLUSTER_SEARCHERS; i++)
		g_free(cluster->searcher_addresses[i]);
	g_free(cluster->store_address);
	g_free(cluster->vm_list_address);
	remove_dir(cluster->dir);
	g_free(cluster->dir);
	g_free(cluster);
}

struct cluster_answer
cluster_call(const char *address, const char *method, const char *path,
    const char *body, const char *token)
{
	struct cluster_answer answer = {0, -1, NULL};
	struct wv_http_request request = {0};
	struct wv_string text = {NULL, 0};
	struct wv_status status;

	wv_status_clear(&status);
	request.method = method;
	request.address = wv_string_borrow(address);
	request.path = path;
	if (body != NULL)
		request.body = wv_string_borrow(body);
	request.token = token;
	request.timeout = CALL_TIMEOUT_MS;
	request.at_most_once = body != NULL;
	answer.http_status = wv_http_client_call(&request, &text, &status);
	if (answer.http_status != 0)
		answer.node = wv_json_parse(text, &status);
	if (answer.node != NULL)
		answer.code = (int)wv_json_get_number(
		    json_node_get_object(answer.node), "code", -1);
	wv_string_clear(&text);
	return answer;
}

void
cluster_answer_clear(struct cluster_answer *answer)
{
	if (answer->node != NULL)
		json_node_unref(answer->node);
	answer->node = NULL;
}

void
cluster_expect_code(const char *address, const char *method, const char *path,
    const char *body, const char *token, int code)
{
	struct cluster_answer answer =
	    cluster_call(address, method, path, body, token);

	g_assert_cmpint(answer.code, ==, code);
	cluster_answer_clear(&answer);
}

void
cluster_set_replica_faults(
    const struct cluster *cluster, size_t replica, const char *faults)
{
	for (size_t i = replica; i < CLUSTER_SEARCHERS; i += CLUSTER_REPLICAS)
		cluster_set_faults(cluster->searcher_addresses[i], faults);
}

struct cluster_answer
cluster_search(const struct cluster *cluster, size_t vm)
{
	return cluster_call(cluster->vms[vm].callers, "POST", "/v1/search",
	    "{\"customer\":\"kestane\",\"back_end\":\"desk\","
	    "\"rank\":\"urgent\",\"query\":\"controls\","
	    "\"deadline_ms\":1000}",
	    NULL);
}

void
cluster_wait_full_search(const struct cluster *cluster, size_t vm)
{
	bool full = false;

	for (int polls = 0; polls < MAX_POLLS && !full; polls++) {
		struct cluster_answer answer = cluster_search(cluster, vm);

		full = answer.code == 0 &&
		    wv_json_get_bool(
			json_node_get_object(answer.node), "full", false);
		cluster_answer_clear(&answer);
		if (!full)
			cluster_sleep_ms(POLL_INTERVAL_MS);
	}
	g_assert_true(full);
}

char *
cluster_new_key(void)
{
	return g_strdup_printf("%" G_GINT64_FORMAT "-test-%08x",
	    g_get_real_time() / G_USEC_PER_SEC, g_random_int());
}

struct cluster_answer
cluster_submit_job(const struct cluster *cluster, size_t vm, const char *key)
{
	char *body = g_strdup_printf(
	    "{\"customer\":\"kestane\",\"back_end\":\"desk\","
	    "\"rank\":\"urgent\",\"key\":\"%s\",\"payload\":\"print\","
	    "\"deadline_ms\":1500}",
	    key);
	struct cluster_answer answer = cluster_call(
	    cluster->vms[vm].callers, "POST", "/v1/jobs", body, NULL);

	g_free(body);
	return answer;
}

void
cluster_set_faults(const char *address, const char *faults)
{
	struct cluster_answer answer =
	    cluster_call(address, "POST", "/v1/faults", faults, NULL);

	g_assert_cmpuint(answer.http_status, ==, 200);
	cluster_answer_clear(&answer);
}

int
cluster_count_runs(const struct cluster *cluster, const char *key)
{
	struct cluster_answer answer = cluster_call(
	    cluster->searcher_addresses[0], "GET", "/v1/keys", NULL, NULL);
	int runs;

	g_assert_nonnull(answer.node);
	runs = (int)wv_json_get_number(
	    json_object_get_object_member(
		json_node_get_object(answer.node), "keys"),
	    key, 0);
	cluster_answer_clear(&answer);
	return runs;
}

int64_t
cluster_get_counter(const struct cluster *cluster, const char *name)
{
	struct cluster_answer answer =
	    cluster_call(cluster->searcher_addresses[0], "GET",
		"/v1/counts?all=1", NULL, NULL);
	int64_t count;

	g_assert_nonnull(answer.node);
	count = (int64_t)wv_json_get_number(
	    json_node_get_object(answer.node), name, -1);
	cluster_answer_clear(&answer);
	return count;
}

/* Returns whether a VM reports that it holds the lane. */
static bool
holds_lane(const struct cluster *cluster, size_t vm)
{
	struct cluster_answer answer = cluster_call(cluster->vms[vm].operators,
	    "GET", "/v1/state", NULL, CLUSTER_TOKEN);
	bool held = false;
	JsonArray *leases;

	if (answer.node != NULL) {
		leases = wv_json_get_array(
		    json_node_get_object(answer.node), "leases");
		g_assert_nonnull(leases);
		if (json_array_get_length(leases) > 0)
			held = wv_json_get_number(
				   json_array_get_object_element(leases, 0),
				   "until_ms", 0) > 0;
	}
	cluster_answer_clear(&answer);
	return held;
}

size_t
cluster_find_holder(const struct cluster *cluster)
{
	for (int polls = 0; polls < MAX_POLLS; polls++) {
		for (size_t i = 0; i < CLUSTER_VMS; i++) {
			if (holds_lane(cluster, i))
				return i;
		}
		cluster_sleep_ms(POLL_INTERVAL_MS);
	}
	g_assert_not_reached();
}

GSubprocess *
cluster_start_load(const struct cluster *cluster, int seconds)
{
	char *plan = g_strdup_printf("%s/plan.json", cluster->dir);
	char *report = g_strdup_printf("%s/report.json", cluster->dir);
	char *json = g_strdup_printf(
	    "{\"seconds\":%d,\"streams\":["
	    "{\"kind\":\"search\",\"customer\":\"kestane\","
	    "\"back_end\":\"desk\",\"rank\":\"standard\",\"rate\":40,"
	    "\"deadline_ms\":1500},"
	    "{\"kind\":\"job\",\"customer\":\"kestane\","
	    "\"back_end\":\"desk\",\"rank\":\"urgent\",\"rate\":30,"
	    "\"deadline_ms\":1500}]}",
	    seconds);
	GPtrArray *argv =
	    build_argv("wisteriavane-load", "--plan", plan, "--report", report,
		"--searcher", cluster->searcher_addresses[0], NULL);
	GSubprocess *load;

	write_file(plan, json);
	for (size_t i = 0; i < CLUSTER_VMS; i++) {
		g_ptr_array_add(argv, g_strdup("--address"));
		g_ptr_array_add(argv, g_strdup(cluster->vms[i].callers));
	}
	load = spawn(cluster, "load", argv);
	g_free(json);
	g_free(report);
	g_free(plan);
	return load;
}

/* Copies the load tool's output to the log of the test. */
static void
print_load(const struct cluster *cluster)
{
	char *log = g_strdup_printf("%s/load.log", cluster->dir);
	char *text = NULL;
	char **lines;

	g_assert_true(g_file_get_contents(log, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line != NULL; line++)
		g_test_message("%s", *line);
	g_strfreev(lines);
	g_free(text);
	g_free(log);
}

JsonNode *
cluster_finish_load(const struct cluster *cluster, GSubprocess *load)
{
	char *path = g_strdup_printf("%s/report.json", cluster->dir);
	struct wv_string text = {NULL, 0};
	struct wv_status status;
	JsonNode *report;
	JsonObject *jobs;

	wv_status_clear(&status);
	g_subprocess_wait(load, NULL, NULL);
	print_load(cluster);
	g_assert_true(
	    g_file_get_contents(path, &text.data, &text.length, NULL));
	report = wv_json_parse(text, &status);
	g_assert_nonnull(report);
	jobs =
	    json_object_get_object_member(json_node_get_object(report), "jobs");
	g_assert_true(
	    json_object_get_boolean_member(jobs, "all_searchers_asked"));
	g_assert_cmpint(json_object_get_int_member(jobs, "double_runs"), ==, 0);
	g_assert_cmpint(json_object_get_int_member(jobs, "lost"), ==, 0);
	g_assert_cmpint(
	    json_object_get_int_member(jobs, "ran_but_reported_not_run"), ==,
	    0);
	g_assert_cmpint(cluster_sum_report(report, "mixed_snapshots"), ==, 0);
	g_assert_cmpint(g_subprocess_get_exit_status(load), ==, 0);
	g_object_unref(load);
	wv_string_clear(&text);
	g_free(path);
	return report;
}

int64_t
cluster_sum_report(JsonNode *report, const char *name)
{
	JsonArray *streams =
	    wv_json_get_array(json_node_get_object(report), "streams");
	int64_t sum = 0;

	for (guint i = 0; i < json_array_get_length(streams); i++)
		sum += (int64_t)wv_json_get_number(
		    json_array_get_object_element(streams, i), name, 0);
	return sum;
}

int
cluster_run_ctl(const struct cluster *cluster, size_t vm, char **output, ...)
{
	GPtrArray *argv = build_argv("wisteriavanectl", "--token",
	    CLUSTER_TOKEN, "--address", cluster->vms[vm].operators, NULL);
	GSubprocess *process;
	GError *error = NULL;
	const char *item;
	va_list args;
	int result;

	va_start(args, output);
	while ((item = va_arg(args, const char *)) != NULL)
		g_ptr_array_add(argv, g_strdup(item));
	va_end(args);
	g_ptr_array_add(argv, NULL);
	process = g_subprocess_newv((const char *const *)argv->pdata,
	    G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE,
	    &error);
	g_assert_no_error(error);
	g_subprocess_communicate_utf8(
	    process, NULL, NULL, output, NULL, &error);
	g_assert_no_error(error);
	g_assert_true(g_subprocess_get_if_exited(process));
	result = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	g_ptr_array_unref(argv);
	return result;
}
