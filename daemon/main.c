/**
 * @file
 * wisteriavaned: the server process of one entry VM.
 */
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <curl/curl.h>
#include <glib.h>

#include "daemon/callers.h"
#include "daemon/control.h"
#include "daemon/links.h"
#include "daemon/log.h"
#include "daemon/operators.h"
#include "daemon/options.h"
#include "daemon/signals.h"
#include "daemon/start.h"
#include "daemon/system_clock.h"
#include "daemon/worker.h"
#include "launch/server_main.h"

/** Number of random low bits of an incarnation. */
#define INCARNATION_RANDOM_BITS 16
/** Maximum body of an operator's call, bytes; a contract may have up to 1 MB.
 */
#define MAX_OPERATOR_BODY (1u << 20)
/** Interval of the checks whether a planned stop has finished, ms. */
#define STOP_POLL_INTERVAL 20
/** Time for the HTTP servers to send the last answers, us. */
#define FINAL_ANSWERS_DELAY_US 100000L

/* Reads settings from a file; prints all errors and returns NULL if invalid. */
static struct wv_settings *
read_settings(const char *file)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct wv_settings *settings = NULL;
	struct wv_string json = {NULL, 0};
	GError *error = NULL;

	if (!g_file_get_contents(file, &json.data, &json.length, &error)) {
		fprintf(stderr, "%s: %s\n", file, error->message);
		g_error_free(error);
	} else {
		settings = wv_settings_parse(json, errors);
	}
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s: %s\n", file, (char *)errors->pdata[i]);
	g_ptr_array_unref(errors);
	g_free(json.data);
	return settings;
}

/* Validates a settings file and returns the exit code of the process. */
static int
check_settings(const char *file)
{
	struct wv_settings *settings = read_settings(file);

	if (settings == NULL)
		return OPTIONS_EXIT_SETTINGS;
	printf("%s: ok\n", file);
	wv_settings_destroy(settings);
	return EXIT_SUCCESS;
}

/*
 * Returns an incarnation that no earlier process of this VM used: the start
 * time and random bits, in case the clock was set back.
 */
static uint64_t
choose_incarnation(struct wv_clock *clock)
{
	uint64_t incarnation = (uint64_t)wv_clock_unix_time(clock);

	return incarnation << INCARNATION_RANDOM_BITS |
	    g_random_int_range(0, 1 << INCARNATION_RANDOM_BITS);
}

/* Creates and starts workers, links and control; false with a status. */
static bool
start_components(struct daemon *daemon, int listener, struct wv_status *status)
{
	daemon->links = links_create(daemon, listener, status);
	if (daemon->links == NULL)
		return false;
	daemon->n_workers = daemon->settings->workers;
	daemon->workers = g_new0(struct worker *, daemon->n_workers);
	for (uint32_t i = 0; i < daemon->n_workers; i++)
		daemon->workers[i] = worker_create(daemon, i);
	daemon->control = control_create(daemon);
	for (uint32_t i = 0; i < daemon->n_workers; i++)
		worker_start(daemon->workers[i]);
	links_start(daemon->links);
	control_start(daemon->control);
	return true;
}

/*
 * Stops all threads before anything is freed, since each may post tasks to the
 * others.
 */
static void
stop_components(struct daemon *daemon)
{
	control_stop(daemon->control);
	links_stop(daemon->links);
	for (uint32_t i = 0; i < daemon->n_workers; i++)
		worker_stop(daemon->workers[i]);
	control_destroy(daemon->control);
	links_destroy(daemon->links);
	for (uint32_t i = 0; i < daemon->n_workers; i++)
		worker_destroy(daemon->workers[i]);
	g_free(daemon->workers);
	routing_publish(&daemon->routing, NULL);
}

static struct wv_http_server *
start_callers_server(struct daemon *daemon, struct callers *callers,
    int listener, struct wv_status *status)
{
	struct wv_http_server_config config = {0};

	callers_init(callers, daemon);
	config.address = daemon->settings->callers;
	config.listener = listener;
	config.threads = daemon->settings->callers_threads;
	config.max_connections = (uint32_t)daemon->shares.callers;
	config.max_body = daemon->settings->max_body;
	config.idle_timeout = daemon->settings->idle_timeout;
	return wv_http_server_start(&config, &callers->handler, status);
}

static struct wv_http_server *
start_operators_server(struct daemon *daemon, struct operators *operators,
    int listener, struct wv_status *status)
{
	struct wv_http_server_config config = {0};

	operators_init(operators, daemon);
	config.address = daemon->settings->operators;
	config.listener = listener;
	config.threads = 1;
	config.max_connections = (uint32_t)daemon->shares.operators;
	config.max_body = MAX_OPERATOR_BODY;
	config.idle_timeout = daemon->settings->idle_timeout;
	return wv_http_server_start(&config, &operators->handler, status);
}

/* Waits for the end of a planned stop, which a signal or a call may begin. */
static void
wait_for_stop(struct daemon *daemon)
{
	while (!atomic_load(&daemon->stopped)) {
		if (signals_wait_for_stop(STOP_POLL_INTERVAL))
			control_begin_drain(daemon->control, true);
	}
	g_usleep(FINAL_ANSWERS_DELAY_US);
}

/* Runs the servers until they are stopped; returns the exit code. */
static int
run_servers(struct daemon *daemon, const struct start_listeners *listeners)
{
	struct wv_http_server *callers_server, *operators_server;
	struct operators operators;
	struct callers callers;
	struct wv_status status = {WV_OK, ""};
	bool started;

	callers_server =
	    start_callers_server(daemon, &callers, listeners->callers, &status);
	operators_server = start_operators_server(
	    daemon, &operators, listeners->operators, &status);
	started = callers_server != NULL && operators_server != NULL;
	if (started) {
		g_message("%s started, incarnation %" G_GUINT64_FORMAT,
		    daemon->self.name.data, daemon->self.incarnation);
		wait_for_stop(daemon);
	} else {
		fprintf(stderr, "%s\n", status.message);
	}
	if (callers_server != NULL)
		wv_http_server_stop(callers_server);
	if (operators_server != NULL)
		wv_http_server_stop(operators_server);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

/* Runs the daemon until it is stopped; returns the exit code. */
static int
serve(struct daemon *daemon)
{
	struct start_listeners listeners;
	struct wv_status status = {WV_OK, ""};
	int result = EXIT_SUCCESS;

	/* Before it has started, the VM has nothing to hand over. */
	if (start_open_listeners(daemon->settings, &listeners) == START_DONE &&
	    !signals_wait_for_stop(0)) {
		if (!start_components(daemon, listeners.peers, &status)) {
			fprintf(stderr, "%s\n", status.message);
			return EXIT_FAILURE;
		}
		result = run_servers(daemon, &listeners);
		stop_components(daemon);
	}
	if (result == EXIT_SUCCESS)
		g_message("stopped");
	return result;
}

int
server_main(int argc, char **argv)
{
	struct options options = options_parse(
	    argc, argv, "An entry VM of the wisteriavane query tier.");
	struct wv_settings *settings;
	enum start_result started;
	struct daemon *daemon;
	int result;

	if (options.check != NULL)
		return check_settings(options.check);
	log_init();
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	started = start_read_settings(options.settings, &settings);
	if (started == START_FAILED)
		return OPTIONS_EXIT_SETTINGS;
	if (started == START_STOPPED) {
		g_message("stopped");
		return EXIT_SUCCESS;
	}
	daemon = g_new0(struct daemon, 1);
	daemon->settings = settings;
	daemon->shares =
	    descriptors_divide(settings, descriptors_raise_limit());
	system_clock_init(&daemon->clock);
	stats_init(&daemon->stats);
	daemon->self.name = daemon->settings->vm;
	daemon->self.incarnation = choose_incarnation(&daemon->clock);
	daemon->contracts = wv_contract_table_create();
	atomic_init(&daemon->accepting_requests, true);
	daemon_register_thread();
	result = serve(daemon);
	wv_contract_table_destroy(daemon->contracts);
	wv_settings_destroy(daemon->settings);
	g_free(daemon);
	apr_terminate();
	return result;
}
