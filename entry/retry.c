/**
 * @file
 * Repeats a step of a start until it succeeds.
 */
#include "daemon/pause.h"
#include "entry/retry.h"
#include "entry/socket.h"

/** Size of the buffer for a reason in a log line, bytes with the NUL. */
#define LOG_TEXT_SIZE 200

struct retry {
	const struct retry_ops *ops;
	void *data;
	const char *name;
	struct log *log;
	struct wv_clock *clock;
	struct event *timer;
	unsigned attempts;
	wv_msec started_at; /* first attempt, monotonic, ms */
	struct pause pause; /* before the next attempt */
	GString *reason; /* of the last failure, as logged */
	bool ended; /* done, or failed for good */
};

static void
log_failure(const struct retry *retry, const char *event, const GString *reason)
{
	char text[LOG_TEXT_SIZE];

	log_line(retry->log, LOG_CHANGE, event,
	    "\"for\":\"%s\",\"reason\":\"%s\"", retry->name,
	    log_escape((struct wv_string){reason->str, reason->len}, text,
		sizeof(text)));
}

static void
log_success(const struct retry *retry)
{
	log_line(retry->log, LOG_CHANGE, "start_continues",
	    "\"for\":\"%s\",\"waited_ms\":%.0f,\"attempts\":%u", retry->name,
	    wv_clock_now(retry->clock) - retry->started_at, retry->attempts);
}

static void
schedule(struct retry *retry)
{
	struct timeval time = socket_timeval(pause_next(&retry->pause));

	event_add(retry->timer, &time);
}

static void
handle_failure(
    struct retry *retry, enum retry_result result, const GString *reason)
{
	if (result == RETRY_NEVER && retry->ops->failed != NULL) {
		retry->ended = true;
		log_failure(retry, "start_failed", reason);
		retry->ops->failed(retry->data);
		return;
	}
	if (!g_string_equal(reason, retry->reason)) {
		g_string_assign(retry->reason, reason->str);
		log_failure(retry, "start_waits", reason);
	}
	schedule(retry);
}

void
retry_now(struct retry *retry)
{
	enum retry_result result;
	GString *reason;

	if (retry->ended)
		return;
	reason = g_string_new(NULL);
	if (retry->attempts++ == 0)
		retry->started_at = wv_clock_now(retry->clock);
	result = retry->ops->attempt(retry->data, reason);
	retry->ended = result == RETRY_DONE;
	if (!retry->ended)
		handle_failure(retry, result, reason);
	else if (retry->attempts > 1)
		log_success(retry);
	g_string_free(reason, TRUE);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	retry_now(data);
}

struct retry *
retry_create(struct event_base *base, struct log *log, struct wv_clock *clock,
    const char *name, const struct retry_ops *ops, void *data)
{
	struct retry *retry = g_new0(struct retry, 1);

	retry->ops = ops;
	retry->data = data;
	retry->name = name;
	retry->log = log;
	retry->clock = clock;
	retry->reason = g_string_new(NULL);
	retry->timer = event_new(base, -1, 0, on_timer, retry);
	return retry;
}

void
retry_destroy(struct retry *retry)
{
	if (retry == NULL)
		return;
	event_free(retry->timer);
	g_string_free(retry->reason, TRUE);
	g_free(retry);
}
