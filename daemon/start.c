/**
 * @file
 * What the daemon needs from its surroundings before it can serve.
 */
#include <sys/socket.h>

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "daemon/pause.h"
#include "daemon/signals.h"
#include "daemon/start.h"
#include "http/address.h"

/** Result of one attempt of a step. */
enum attempt_result {
	ATTEMPT_DONE,
	ATTEMPT_MUST_WAIT, /* the reason was set */
	ATTEMPT_FAILED
};

/* Attempts a step. The reason is empty at first. */
typedef enum attempt_result (*attempt_fn)(void *data, GString *reason);

/*
 * Repeats a step with growing pauses until it is done or fails, or until a
 * signal asks for a stop.
 *
 * what: what the step waits for, for the log
 */
static enum start_result
repeat_step(attempt_fn attempt, void *data, const char *what)
{
	GString *reason = g_string_new(NULL);
	enum attempt_result result = attempt(data, reason);
	struct pause pause = {0};
	bool waits = result == ATTEMPT_MUST_WAIT;
	bool stopped = false;

	if (waits)
		g_message("start_waits for %s: %s", what, reason->str);
	while (result == ATTEMPT_MUST_WAIT && !stopped) {
		stopped = signals_wait_for_stop(pause_next(&pause));
		g_string_truncate(reason, 0);
		if (!stopped)
			result = attempt(data, reason);
	}
	g_string_free(reason, TRUE);
	/* Whoever asked for a stop expects the exit code of a stop. */
	if (stopped || (result == ATTEMPT_FAILED && signals_wait_for_stop(0)))
		return START_STOPPED;
	if (waits && result == ATTEMPT_DONE)
		g_message("start_continues with %s", what);
	return result == ATTEMPT_DONE ? START_DONE : START_FAILED;
}

/* The step that opens one listening socket. */
struct listener_step {
	const struct sockaddr_in *address;
	int fd; /* bound; -1 before */
};

/* Binds a socket; like all others, it sets SO_REUSEADDR for restarts. */
static enum attempt_result
bind_listener(void *data, GString *reason)
{
	struct listener_step *step = data;
	int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
	int fd = socket(AF_INET, type, 0);
	int on = 1;

	if (fd >= 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
	    bind(fd, (const struct sockaddr *)step->address,
		sizeof(*step->address)) == 0) {
		step->fd = fd;
		return ATTEMPT_DONE;
	}
	g_string_assign(reason, strerror(errno));
	if (fd >= 0)
		close(fd);
	return ATTEMPT_MUST_WAIT;
}

/* Another process may have bound the address too, and listens already. */
static enum attempt_result
listen_on_bound(void *data, GString *reason)
{
	const struct listener_step *step = data;

	if (listen(step->fd, SOMAXCONN) == 0)
		return ATTEMPT_DONE;
	g_string_assign(reason, strerror(errno));
	return ATTEMPT_MUST_WAIT;
}

/*
 * Opens n sockets. All are bound before the first one listens: a connection
 * that nobody accepts yet would keep a caller waiting.
 */
static enum start_result
open_all(const struct wv_string *addresses, int *fds, size_t n)
{
	static const attempt_fn attempts[] = {bind_listener, listen_on_bound};
	enum start_result result = START_DONE;
	struct sockaddr_in address;
	struct listener_step step;

	for (size_t i = 0; i < G_N_ELEMENTS(attempts) * n; i++) {
		/* The settings were checked, so the address is well formed. */
		wv_address_parse(addresses[i % n], &address);
		step = (struct listener_step){&address, fds[i % n]};
		if (result == START_DONE)
			result = repeat_step(
			    attempts[i / n], &step, addresses[i % n].data);
		fds[i % n] = step.fd;
	}
	for (size_t i = 0; result != START_DONE && i < n; i++) {
		if (fds[i] >= 0)
			close(fds[i]);
	}
	return result;
}

enum start_result
start_open_listeners(
    const struct wv_settings *settings, struct start_listeners *listeners)
{
	const struct wv_string addresses[] = {
	    settings->peers, settings->operators, settings->callers};
	int fds[] = {-1, -1, -1};
	enum start_result result =
	    open_all(addresses, fds, G_N_ELEMENTS(addresses));

	*listeners = (struct start_listeners){
	    .peers = fds[0], .operators = fds[1], .callers = fds[2]};
	return result;
}

/* The step that reads the settings. */
struct settings_step {
	const char *file;
	struct wv_settings *settings; /* owned; NULL before */
};

static enum attempt_result
read_settings(void *data, GString *reason)
{
	struct settings_step *step = data;
	GPtrArray *faults;
	struct wv_string json = {NULL, 0};
	enum attempt_result result = ATTEMPT_DONE;
	GError *error = NULL;

	if (!g_file_get_contents(
		step->file, &json.data, &json.length, &error)) {
		g_string_assign(reason, error->message);
		g_error_free(error);
		return ATTEMPT_MUST_WAIT;
	}
	faults = g_ptr_array_new_with_free_func(g_free);
	step->settings = wv_settings_parse(json, faults);
	if (step->settings == NULL && !wv_settings_is_json(json)) {
		g_string_assign(reason, faults->pdata[0]);
		result = ATTEMPT_MUST_WAIT;
	} else if (step->settings == NULL) {
		for (guint i = 0; i < faults->len; i++)
			fprintf(stderr, "%s: %s\n", step->file,
			    (char *)faults->pdata[i]);
		result = ATTEMPT_FAILED;
	}
	g_ptr_array_unref(faults);
	g_free(json.data);
	return result;
}

enum start_result
start_read_settings(const char *file, struct wv_settings **settings)
{
	struct settings_step step = {file, NULL};
	enum start_result result = repeat_step(read_settings, &step, file);

	*settings = step.settings;
	return result;
}
