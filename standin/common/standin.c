/**
 * @file
 * Timer thread, process start and end, and JSON calls of the stand-ins.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "launch/standard_streams.h"
#include "standin/common/standin.h"

/** Maximum body, bytes: fits a value of 1 MB that is escaped as JSON. */
#define MAX_BODY_BYTES (3u << 20)
/** Idle time after which a caller's connection is closed, ms. */
#define IDLE_TIMEOUT 60000.0

struct timer_entry {
	gint64 due_at; /* monotonic, us */
	standin_timer_callback due;
	void *data;
};

struct standin_timer {
	GMutex lock;
	GCond changed;
	GSequence *entries; /* of struct entry, ordered by due_at */
};

static gint
compare_entries(gconstpointer a, gconstpointer b, gpointer data)
{
	gint64 left = ((const struct timer_entry *)a)->due_at;
	gint64 right = ((const struct timer_entry *)b)->due_at;

	(void)data;
	return (left > right) - (left < right);
}

/* Waits until the first entry is due and removes it. The lock is held. */
static struct timer_entry
remove_due_entry(struct standin_timer *timer)
{
	struct timer_entry copy;

	for (;;) {
		GSequenceIter *first =
		    g_sequence_get_begin_iter(timer->entries);
		struct timer_entry *timer_entry;

		if (g_sequence_iter_is_end(first)) {
			g_cond_wait(&timer->changed, &timer->lock);
			continue;
		}
		timer_entry = g_sequence_get(first);
		if (timer_entry->due_at > g_get_monotonic_time()) {
			g_cond_wait_until(
			    &timer->changed, &timer->lock, timer_entry->due_at);
			continue;
		}
		copy = *timer_entry;
		g_sequence_remove(first);
		return copy;
	}
}

static gpointer
timer_run(gpointer data)
{
	struct standin_timer *timer = data;

	for (;;) {
		struct timer_entry timer_entry;

		g_mutex_lock(&timer->lock);
		timer_entry = remove_due_entry(timer);
		g_mutex_unlock(&timer->lock);
		timer_entry.due(timer_entry.data);
	}
	return NULL;
}

struct standin_timer *
standin_timer_create(void)
{
	struct standin_timer *timer = g_new0(struct standin_timer, 1);

	g_mutex_init(&timer->lock);
	g_cond_init(&timer->changed);
	timer->entries = g_sequence_new(g_free);
	g_thread_unref(g_thread_new("timer", timer_run, timer));
	return timer;
}

void
standin_timer_add(struct standin_timer *timer, wv_msec delay,
    standin_timer_callback due, void *data)
{
	struct timer_entry *timer_entry = g_new0(struct timer_entry, 1);

	timer_entry->due_at = g_get_monotonic_time() + (gint64)(delay * 1000.0);
	timer_entry->due = due;
	timer_entry->data = data;
	g_mutex_lock(&timer->lock);
	g_sequence_insert_sorted(
	    timer->entries, timer_entry, compare_entries, NULL);
	g_cond_signal(&timer->changed);
	g_mutex_unlock(&timer->lock);
}

wv_msec
standin_now(void)
{
	return (wv_msec)g_get_monotonic_time() / 1000.0;
}

static void
get_termination_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGTERM);
}

void
standin_prepare(void)
{
	sigset_t set;

	open_standard_streams();
	signal(SIGPIPE, SIG_IGN);
	get_termination_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/* Uses _exit(): the server cannot be stopped while calls are unanswered. */
void
standin_wait_and_exit(void)
{
	sigset_t set;
	int number;

	get_termination_signals(&set);
	sigwait(&set, &number);
	fflush(stdout);
	_exit(0);
}

struct wv_http_server *
standin_listen(const char *address, uint32_t max_connections,
    struct wv_http_handler *handler)
{
	struct wv_http_server_config config = {wv_string_borrow(address), 1,
	    MAX_BODY_BYTES, max_connections, IDLE_TIMEOUT, 0};
	struct wv_http_server *server;
	struct wv_status status;
	const char *colon = strrchr(address, ':');

	wv_status_clear(&status);
	server = wv_http_server_start(&config, handler, &status);
	if (server == NULL) {
		fprintf(stderr, "%s\n", status.message);
		exit(1);
	}
	printf("listening on %.*s:%u\n", (int)(colon - address), address,
	    (unsigned int)wv_http_server_port(server));
	fflush(stdout);
	return server;
}

JsonObject *
standin_load_json(const char *path)
{
	struct wv_status status;
	struct wv_string text;
	GError *error = NULL;
	JsonNode *node;

	wv_status_clear(&status);
	if (!g_file_get_contents(path, &text.data, &text.length, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(1);
	}
	node = wv_json_parse(text, &status);
	if (node == NULL) {
		fprintf(stderr, "%s: %s\n", path, status.message);
		exit(1);
	}
	g_free(text.data);
	return json_node_get_object(node);
}

JsonNode *
standin_parse_body(struct wv_http_call *call)
{
	struct wv_status status;
	JsonNode *node;

	wv_status_clear(&status);
	node = wv_json_parse(wv_http_call_body(call), &status);
	if (node == NULL)
		wv_http_call_fail(call, &status);
	return node;
}

void
standin_answer(
    struct wv_http_call *call, unsigned int http_status, JsonObject *object)
{
	struct wv_string json = wv_json_serialize_object(object);

	wv_http_call_answer(call, http_status, json);
	wv_string_clear(&json);
}

struct delayed_answer {
	struct wv_http_call *call;
	unsigned int http_status;
	struct wv_string json;
};

static void
on_delayed_answer(void *data)
{
	struct delayed_answer *delayed = data;

	wv_http_call_answer(delayed->call, delayed->http_status, delayed->json);
	wv_string_clear(&delayed->json);
	g_free(delayed);
}

/* Serialised now, since shared members may change during the delay. */
void
standin_answer_delayed(struct standin_timer *timer, wv_msec delay,
    struct wv_http_call *call, unsigned int http_status, JsonObject *object)
{
	struct delayed_answer *delayed;

	if (delay <= 0) {
		standin_answer(call, http_status, object);
		return;
	}
	delayed = g_new0(struct delayed_answer, 1);
	delayed->call = call;
	delayed->http_status = http_status;
	delayed->json = wv_json_serialize_object(object);
	standin_timer_add(timer, delay, on_delayed_answer, delayed);
}

void
standin_fail(struct wv_http_call *call, enum wv_code code, const char *message)
{
	struct wv_status status;

	wv_status_set(&status, code, "%s", message);
	wv_http_call_fail(call, &status);
}

bool
standin_has_method(const struct wv_http_call *call, const char *method)
{
	return strcmp(wv_http_call_method(call), method) == 0;
}
