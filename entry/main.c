/**
 * @file
 * wisteriavane-entry: the server process of an entry VM. Reads the settings,
 * opens the listeners, runs the event loop and stops on SIGTERM or SIGINT.
 */
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/options.h"
#include "daemon/system_clock.h"
#include "entry/entry.h"
#include "entry/socket.h"
#include "launch/server_main.h"

/** Interval between checks whether a stop is complete, ms. */
#define STOP_CHECK_INTERVAL 100
/**
 * Least duration of a stop, as a multiple of address_lifetime_s: callers may
 * keep addresses longer than they are told.
 */
#define ADDRESS_LIFETIME_FACTOR 3.0
/**
 * Time before the limit of a stop at which open requests are aborted, ms, and
 * as a fraction of that limit. The process ends halfway between.
 */
#define STOP_MARGIN 1000.0
#define STOP_FRACTION 0.17
/**
 * Time before the limit of a stop from which new requests are refused, ms, and
 * as a fraction of that limit: the earlier ones can still be answered.
 */
#define REFUSE_MARGIN 1500.0
#define REFUSE_FRACTION 0.25

/** Size of the buffer for a reason in a log line, bytes with the NUL. */
#define LOG_TEXT_SIZE 200

/*
 * Writes the line that names why the process ends before it serves, in the
 * format of the log, which may not exist yet.
 */
static void
log_start_failure(const char *vm, const char *reason)
{
	struct wv_clock clock;
	char escaped[LOG_TEXT_SIZE];

	system_clock_init(&clock);
	log_escape(wv_string_borrow(reason), escaped, sizeof(escaped));
	printf("{\"time_ms\":%.0f,\"vm\":\"%s\","
	       "\"event\":\"start_failed\",\"reason\":\"%s\"}\n",
	    wv_clock_unix_time(&clock), vm, escaped);
	fflush(stdout);
}

/*
 * Reads settings and prints all faults on standard error.
 *
 * starting: whether to log a fault as the reason why the process ends
 */
static struct entry_settings *
read_settings(const char *file, bool starting)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct entry_settings *settings = entry_settings_read(file, faults);

	for (guint i = 0; i < faults->len; i++)
		fprintf(stderr, "%s: %s\n", file, (char *)faults->pdata[i]);
	if (settings == NULL && starting)
		log_start_failure("", faults->pdata[0]);
	g_ptr_array_unref(faults);
	return settings;
}

static int
check_settings(const char *file)
{
	struct entry_settings *settings = read_settings(file, false);

	if (settings == NULL)
		return OPTIONS_EXIT_SETTINGS;
	printf("%s: ok\n", file);
	entry_settings_destroy(settings);
	return EXIT_SUCCESS;
}

static void
on_address_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	GString *fields = g_string_new("Content-Type: application/json\r\n");
	GPtrArray *addresses = g_ptr_array_new();
	struct wv_string own = {"", 0};
	struct wv_string body;

	if (entry_is_ready(entry) && !entry->stopping)
		own = wv_string_borrow(entry->settings->callers);
	wv_peers_list_caller_addresses(
	    entry->peers, entry_now(entry), own, addresses);
	if (addresses->len == 0)
		g_ptr_array_add(addresses, entry->settings->callers);
	wv_counter_add(&entry->metrics.address_answers, 1);
	if (entry->adapter->is_address_query(message_target(message))) {
		body = entry->adapter->encode_addresses(
		    addresses, entry->settings->address_lifetime_s * 1000);
		server_answer(conn, 200, fields, body);
		wv_string_clear(&body);
	} else {
		server_answer_text(conn, 404, "unknown path\n");
	}
	g_ptr_array_free(addresses, TRUE);
	g_string_free(fields, TRUE);
}

static void
on_readiness_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	bool ready = entry_is_ready(entry) && !entry->stopping;

	if (!entry->adapter->is_readiness_query(message_target(message)))
		server_answer_text(conn, 404, "unknown path\n");
	else
		server_answer_text(
		    conn, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static void
on_metrics_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	GString *text =
	    metrics_text(&entry->metrics, log_count_dropped(entry->log));
	struct wv_string body = {text->str, text->len};

	(void)message;
	server_answer(conn, 200, NULL, body);
	g_string_free(text, TRUE);
}

static void
on_changes_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;

	store_sync_serve(entry->store, conn, message);
}

static void
ignore_caller_left(void *data, struct server_conn *conn)
{
}

static void
ignore_rejected(void *data, unsigned status)
{
}

static const struct server_ops address_ops = {
    on_address_query, ignore_caller_left, ignore_rejected};
static const struct server_ops readiness_ops = {
    on_readiness_query, ignore_caller_left, ignore_rejected};
static const struct server_ops metrics_ops = {
    on_metrics_query, ignore_caller_left, ignore_rejected};
static const struct server_ops changes_ops = {
    on_changes_query, ignore_caller_left, ignore_rejected};

/* State of the process, for the handlers of signals and timers. */
struct process {
	struct entry entry;
	struct event *sigterm;
	struct event *sigint;
	struct reload *reload;
	struct event *stop_timer;
};

static void
end_process(struct process *process)
{
	struct entry *entry = &process->entry;

	log_line(entry->log, LOG_CHANGE, "stopped", "\"after_ms\":%.0f",
	    entry_now(entry) - entry->stopping_since);
	event_base_loopbreak(entry->base);
}

/*
 * Ends the process as soon as callers no longer use this VM's address and no
 * request is in progress. Towards the limit of a stop, new requests are
 * refused; shortly before it, the requests that are still in progress get a
 * final answer.
 */
static void
on_stop_timer(evutil_socket_t fd, short what, void *data)
{
	struct process *process = data;
	struct entry *entry = &process->entry;
	struct timeval time = socket_timeval(STOP_CHECK_INTERVAL);
	struct server *server = gateway_server(entry->gateway);
	wv_msec passed = entry_now(entry) - entry->stopping_since;
	wv_msec limit = entry->settings->stop_s * 1000;
	wv_msec margin = fmin(STOP_MARGIN, limit * STOP_FRACTION);

	(void)fd;
	(void)what;
	if (passed >= limit - fmin(REFUSE_MARGIN, limit * REFUSE_FRACTION))
		gateway_refuse_new(entry->gateway);
	if (passed >= limit - margin)
		gateway_abort(entry->gateway);
	if (passed >= limit - margin / 2 ||
	    (server_is_flushed(server) &&
		passed >= ADDRESS_LIFETIME_FACTOR * 1000 *
			entry->settings->address_lifetime_s)) {
		end_process(process);
		return;
	}
	event_add(process->stop_timer, &time);
}

static void
on_terminate(evutil_socket_t fd, short what, void *data)
{
	struct process *process = data;
	struct entry *entry = &process->entry;

	(void)fd;
	(void)what;
	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->stopping_since = entry_now(entry);
	log_line(entry->log, LOG_CHANGE, "stopping", "\"in_progress\":%zu",
	    server_count_busy(gateway_server(entry->gateway)));
	reports_send(entry->reports);
	server_drain(gateway_server(entry->gateway));
	on_stop_timer(-1, 0, process);
}

/*
 * Blocks or unblocks the signals that the process handles. They are blocked
 * until their handlers are installed.
 */
static void
block_signals(bool block)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(block ? SIG_BLOCK : SIG_UNBLOCK, &signals, NULL);
}

static struct event *
add_signal_handler(
    struct process *process, int number, event_callback_fn handler)
{
	struct event *event =
	    evsignal_new(process->entry.base, number, handler, process);

	event_add(event, NULL);
	return event;
}

/* Reports that an address can't be listened on, with errno. */
static void
report_address(const struct entry *entry, const char *address)
{
	char *reason =
	    g_strdup_printf("%s: cannot listen: %s", address, strerror(errno));

	fprintf(stderr, "%s\n", reason);
	log_start_failure(entry->settings->vm, reason);
	g_free(reason);
}

/* Listens on an address; reports an error and returns NULL on failure. */
static struct server *
open_server(
    struct entry *entry, const char *address, const struct server_ops *ops)
{
	struct server *server = server_create(entry->base, address, ops, entry);

	if (server == NULL)
		report_address(entry, address);
	return server;
}

static bool
open_servers(struct entry *entry)
{
	const struct entry_settings *settings = entry->settings;

	entry->gateway = gateway_create(entry);
	if (entry->gateway == NULL) {
		report_address(entry, settings->callers);
		return false;
	}
	entry->address_server =
	    open_server(entry, settings->addresses, &address_ops);
	entry->readiness_server =
	    open_server(entry, settings->readiness, &readiness_ops);
	entry->metrics_server =
	    open_server(entry, settings->metrics, &metrics_ops);
	entry->change_server =
	    open_server(entry, settings->peers, &changes_ops);
	if (entry->address_server == NULL || entry->readiness_server == NULL ||
	    entry->metrics_server == NULL || entry->change_server == NULL)
		return false;
	entry_limit_connections(entry);
	entry->store = store_sync_create(entry);
	entry_update_limits(entry);
	entry->reports = reports_create(entry);
	if (entry->reports == NULL)
		report_address(entry, settings->peers);
	return entry->reports != NULL;
}

static void
start_process(struct process *process)
{
	struct entry *entry = &process->entry;

	process->sigterm = add_signal_handler(process, SIGTERM, on_terminate);
	process->sigint = add_signal_handler(process, SIGINT, on_terminate);
	process->reload = reload_create(entry);
	process->stop_timer =
	    event_new(entry->base, -1, 0, on_stop_timer, process);
	log_line(entry->log, LOG_CHANGE, "started",
	    "\"zone\":\"%s\",\"callers\":\"%s\",\"incarnation\":"
	    "%" G_GUINT64_FORMAT,
	    entry->settings->zone, entry->settings->callers,
	    entry->incarnation);
}

static void
clean_up(struct process *process)
{
	struct entry *entry = &process->entry;

	store_sync_destroy(entry->store);
	reports_destroy(entry->reports);
	gateway_destroy(entry->gateway);
	server_destroy(entry->address_server);
	server_destroy(entry->readiness_server);
	server_destroy(entry->metrics_server);
	server_destroy(entry->change_server);
	event_free(process->sigterm);
	event_free(process->sigint);
	reload_destroy(process->reload);
	event_free(process->stop_timer);
	wv_routes_unref(entry->routes);
	wv_peers_destroy(entry->peers);
	log_destroy(entry->log);
	entry_settings_destroy(entry->settings);
	g_free(entry->settings_file);
	event_base_free(entry->base);
}

static int
run(const char *file)
{
	struct process process = {0};
	struct entry *entry = &process.entry;

	entry->settings = read_settings(file, true);
	if (entry->settings == NULL)
		return OPTIONS_EXIT_SETTINGS;
	entry->settings_file = g_strdup(file);
	system_clock_init(&entry->clock);
	entry->base = event_base_new();
	entry->adapter = platform_get_adapter();
	entry->incarnation = (uint64_t)wv_clock_unix_time(&entry->clock);
	entry->started_at = entry_now(entry);
	metrics_init(&entry->metrics);
	entry->log = log_create(entry->base, &entry->clock, STDOUT_FILENO,
	    wv_string_borrow(entry->settings->vm));
	entry->peers = wv_peers_create(wv_string_borrow(entry->settings->vm),
	    wv_string_borrow(entry->settings->zone), entry->settings->capacity);
	if (!open_servers(entry))
		return EXIT_FAILURE;
	start_process(&process);
	block_signals(false);
	event_base_dispatch(entry->base);
	/* A second signal must not interrupt the cleanup. */
	block_signals(true);
	clean_up(&process);
	return EXIT_SUCCESS;
}

int
server_main(int argc, char **argv)
{
	struct options options =
	    options_parse(argc, argv, "Serves callers on an entry VM.");

	if (options.check != NULL)
		return check_settings(options.check);
	return run(options.settings);
}
