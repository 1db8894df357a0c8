/**
 * @file
 * wisteriavane-entry: the server process of an entry VM. Waits for its
 * settings, opens its addresses, serves, and stops on SIGTERM or SIGINT.
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "daemon/options.h"
#include "daemon/system_clock.h"
#include "entry/entry.h"
#include "entry/gateway.h"
#include "entry/listeners.h"
#include "entry/parts.h"
#include "entry/reload.h"
#include "entry/reports.h"
#include "entry/retry.h"
#include "entry/socket.h"
#include "entry/store_sync.h"
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

/* State of the process, for the handlers of signals and timers. */
struct process {
	struct entry entry;
	struct event *sigterm;
	struct event *sigint;
	struct event *sighup;
	struct retry *settings; /* reads them */
	struct reload *reload;
	struct listeners *listeners; /* NULL: the settings are not read */
	struct event *stop_timer;
	int exit_code;
};

static int
check_settings(const char *file)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct entry_settings *settings =
	    entry_settings_read(file, faults, NULL);
	bool valid = settings != NULL;

	for (guint i = 0; i < faults->len; i++)
		fprintf(stderr, "%s: %s\n", file, (char *)faults->pdata[i]);
	if (valid)
		printf("%s: ok\n", file);
	g_ptr_array_unref(faults);
	entry_settings_destroy(settings);
	return valid ? EXIT_SUCCESS : OPTIONS_EXIT_SETTINGS;
}

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

/* Returns whether a caller may know this VM's address. */
static bool
is_known_to_callers(const struct process *process)
{
	return process->listeners != NULL &&
	    server_is_listening(gateway_server(process->entry.gateway));
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
	if (!is_known_to_callers(process)) {
		end_process(process);
		return;
	}
	log_line(entry->log, LOG_CHANGE, "stopping", "\"in_progress\":%zu",
	    server_count_busy(gateway_server(entry->gateway)));
	store_sync_end_cleanup(entry->store);
	reports_announce_leaving(entry->reports);
	server_drain(gateway_server(entry->gateway));
	on_stop_timer(-1, 0, process);
}

static void
on_hangup(evutil_socket_t fd, short what, void *data)
{
	struct process *process = data;

	(void)fd;
	(void)what;
	if (process->listeners != NULL)
		reload_by_signal(process->reload);
	else
		retry_now(process->settings);
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

/* An address can't be listened on, whatever time passes. */
static void
on_address_failed(void *data)
{
	struct process *process = data;

	if (process->entry.stopping)
		return;
	process->exit_code = OPTIONS_EXIT_ADDRESS;
	event_base_loopbreak(process->entry.base);
}

/* Creates what needs the settings, and opens the addresses. */
static void
start_serving(struct process *process)
{
	struct entry *entry = &process->entry;
	const struct entry_settings *settings = entry->settings;

	log_set_vm(entry->log, wv_string_borrow(settings->vm));
	parts_create(entry);
	process->listeners =
	    listeners_create(entry, on_address_failed, process);
	reload_start(process->reload);
	if (process->exit_code != EXIT_SUCCESS)
		return;
	log_line(entry->log, LOG_CHANGE, "started",
	    "\"zone\":\"%s\",\"callers\":\"%s\",\"incarnation\":"
	    "%" G_GUINT64_FORMAT,
	    settings->zone, settings->callers, entry->incarnation);
}

static void
append_faults(GString *reason, const GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++)
		g_string_append_printf(reason, "%s%s", i > 0 ? "; " : "",
		    (const char *)faults->pdata[i]);
}

/*
 * Reads the settings and starts to serve. A file that is missing or not whole
 * may be about to be written; one with a wrong setting needs somebody to
 * change it.
 */
static enum retry_result
read_settings(void *data, GString *reason)
{
	struct process *process = data;
	struct entry *entry = &process->entry;
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	bool whole;

	reload_mark_read(process->reload);
	entry->settings =
	    entry_settings_read(entry->settings_file, faults, &whole);
	append_faults(reason, faults);
	g_ptr_array_unref(faults);
	if (entry->settings == NULL)
		return whole ? RETRY_NEVER : RETRY_LATER;
	start_serving(process);
	return RETRY_DONE;
}

static void
on_settings_invalid(void *data)
{
	struct process *process = data;

	process->exit_code = OPTIONS_EXIT_SETTINGS;
	event_base_loopbreak(process->entry.base);
}

static const struct retry_ops settings_ops = {
    read_settings, on_settings_invalid};

/* Creates what a start needs before the settings are known. */
static void
process_init(struct process *process, const char *file)
{
	struct entry *entry = &process->entry;

	entry->settings_file = g_strdup(file);
	system_clock_init(&entry->clock);
	entry->base = event_base_new();
	entry->adapter = platform_get_adapter();
	entry->incarnation = (uint64_t)wv_clock_unix_time(&entry->clock);
	entry->started_at = entry_now(entry);
	metrics_init(&entry->metrics);
	entry->log = log_create(
	    entry->base, &entry->clock, STDOUT_FILENO, wv_string_borrow(""));
	process->sigterm = add_signal_handler(process, SIGTERM, on_terminate);
	process->sigint = add_signal_handler(process, SIGINT, on_terminate);
	process->sighup = add_signal_handler(process, SIGHUP, on_hangup);
	process->stop_timer =
	    event_new(entry->base, -1, 0, on_stop_timer, process);
	process->reload = reload_create(entry);
	process->settings = retry_create(entry->base, entry->log, &entry->clock,
	    "settings", &settings_ops, process);
}

/* Releases what start_serving() created. */
static void
end_serving(struct process *process)
{
	struct entry *entry = &process->entry;

	listeners_destroy(process->listeners);
	parts_destroy(entry);
	entry_settings_destroy(entry->settings);
}

static void
process_clear(struct process *process)
{
	struct entry *entry = &process->entry;

	if (process->listeners != NULL)
		end_serving(process);
	retry_destroy(process->settings);
	reload_destroy(process->reload);
	event_free(process->sigterm);
	event_free(process->sigint);
	event_free(process->sighup);
	event_free(process->stop_timer);
	log_destroy(entry->log);
	g_free(entry->settings_file);
	event_base_free(entry->base);
}

/* An event loop that fails ends without a stop that was asked for. */
static void
check_end(struct process *process)
{
	struct entry *entry = &process->entry;

	if (entry->stopping || process->exit_code != EXIT_SUCCESS)
		return;
	process->exit_code = EXIT_FAILURE;
	log_line(entry->log, LOG_CHANGE, "failed",
	    "\"reason\":\"the event loop ended\"");
}

/*
 * Handles the signals that arrived until a start failed. A stop that was asked
 * for is completed, and is a success.
 */
static void
end_failed_start(struct process *process)
{
	struct entry *entry = &process->entry;

	event_base_loop(entry->base, EVLOOP_NONBLOCK);
	if (!entry->stopping)
		return;
	process->exit_code = EXIT_SUCCESS;
	if (is_known_to_callers(process))
		event_base_dispatch(entry->base);
}

static int
run(const char *file)
{
	struct process process = {.exit_code = EXIT_SUCCESS};

	process_init(&process, file);
	retry_now(process.settings);
	block_signals(false);
	if (process.exit_code == EXIT_SUCCESS)
		event_base_dispatch(process.entry.base);
	if (process.exit_code != EXIT_SUCCESS)
		end_failed_start(&process);
	/* A second signal must not interrupt the cleanup. */
	block_signals(true);
	check_end(&process);
	process_clear(&process);
	return process.exit_code;
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
