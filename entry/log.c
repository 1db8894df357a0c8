/**
 * @file
 * Structured logs.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <unistd.h>

#include "entry/log.h"
#include "entry/socket.h"

/** Bytes that may wait to be written. */
#define BUFFER_MOST (256u << 10)
/** Part of the buffer that details and failures may fill. */
#define DETAIL_PART 0.5
#define FAILURE_PART 0.8
/** Lines of details per second; further ones are left out. */
#define DETAILS_PER_SECOND 200.0
/** Time for which lines are collected, ms. */
#define COLLECT 200

struct log {
	struct wv_clock *clock;
	struct event *timer;
	struct wv_string vm; /* owned */
	GString *buffer;
	int fd;
	uint64_t left_out;
	double details; /* that may be written now */
	wv_msec details_at;
};

/*
 * Returns the bytes of the next write: whole lines, as many as a pipe takes in
 * one piece, so that no collector gets a part of a line. Longer lines are cut.
 */
static size_t
next_write(const char *text, size_t length)
{
	size_t most = MIN(length, PIPE_BUF);
	size_t n = most;

	while (n > 0 && text[n - 1] != '\n')
		n--;
	return n > 0 ? n : most;
}

static void
flush(struct log *log)
{
	GString *buffer = log->buffer;
	size_t written = 0;
	ssize_t n = 1;

	while (written < buffer->len && n > 0) {
		n = write(log->fd, buffer->str + written,
		    next_write(buffer->str + written, buffer->len - written));
		if (n > 0)
			written += (size_t)n;
	}
	g_string_erase(buffer, 0, (gssize)written);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(COLLECT);
	struct log *log = data;

	(void)fd;
	(void)what;
	flush(log);
	if (log->buffer->len > 0)
		event_add(log->timer, &time);
}

struct log *
log_create(struct event_base *base, struct wv_clock *clock, int fd,
    struct wv_string vm)
{
	struct log *log = g_new0(struct log, 1);

	log->clock = clock;
	log->fd = fd;
	log->vm = wv_string_copy(vm);
	log->buffer = g_string_new(NULL);
	log->timer = event_new(base, -1, 0, on_timer, log);
	log->details = DETAILS_PER_SECOND;
	log->details_at = wv_clock_now(clock);
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	return log;
}

void
log_destroy(struct log *log)
{
	flush(log);
	event_free(log->timer);
	wv_string_clear(&log->vm);
	g_string_free(log->buffer, TRUE);
	g_free(log);
}

static bool
within_rate(struct log *log)
{
	wv_msec now = wv_clock_now(log->clock);

	log->details += (now - log->details_at) / 1000 * DETAILS_PER_SECOND;
	log->details = MIN(log->details, DETAILS_PER_SECOND);
	log->details_at = now;
	if (log->details < 1)
		return false;
	log->details -= 1;
	return true;
}

static bool
has_room(struct log *log, enum log_level level)
{
	double filled = (double)log->buffer->len / BUFFER_MOST;

	switch (level) {
	case LOG_DETAIL:
		return filled < DETAIL_PART && within_rate(log);
	case LOG_FAILURE:
		return filled < FAILURE_PART;
	case LOG_CHANGE:
		break;
	}
	return filled < 1;
}

void
log_line(struct log *log, enum log_level level, const char *event,
    const char *format, ...)
{
	struct timeval time = socket_timeval(COLLECT);
	wv_msec unix_time;
	va_list args;

	if (!has_room(log, level)) {
		log->left_out++;
		return;
	}
	unix_time = wv_clock_unix(log->clock);
	g_string_append_printf(log->buffer,
	    "{\"time_ms\":%.0f,\"vm\":\"%s\",\"event\":\"%s\"", unix_time,
	    log->vm.data, event);
	if (format[0] != '\0') {
		g_string_append_c(log->buffer, ',');
		va_start(args, format);
		g_string_append_vprintf(log->buffer, format, args);
		va_end(args);
	}
	if (log->left_out > 0)
		g_string_append_printf(log->buffer,
		    ",\"left_out\":%" G_GUINT64_FORMAT, log->left_out);
	g_string_append(log->buffer, "}\n");
	if (!event_pending(log->timer, EV_TIMEOUT, NULL))
		event_add(log->timer, &time);
}

uint64_t
log_left_out(const struct log *log)
{
	return log->left_out;
}

const char *
log_escape(struct wv_string text, char *buffer, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < text.length && n + 1 < size; i++) {
		char c = text.data[i];

		buffer[n++] =
		    c < 0x20 || c == '"' || c == '\\' || c == 0x7f ? '?' : c;
	}
	buffer[n] = '\0';
	return buffer;
}
