/**
 * @file
 * Structured log.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "entry/log.h"
#include "entry/socket.h"

/** Largest size of the buffer, bytes; a last line may exceed it. */
#define MAX_BUFFER_BYTES (256u << 10)
/** Fill ratio of the buffer from which details and failures are dropped. */
#define MAX_DETAIL_FILL 0.5
#define MAX_FAILURE_FILL 0.8
/** Rate of detail lines, and their burst; further ones are dropped. */
#define MAX_DETAILS_PER_SECOND 200.0
/** Time for which lines are collected before a write, ms. */
#define FLUSH_INTERVAL 200

struct log {
	struct wv_clock *clock;
	struct event *timer;
	struct wv_string vm; /* owned */
	GString *buffer;
	int fd;
	bool owns_fd; /* opened by the log */
	bool is_socket; /* written by send(), which can be non-blocking */
	uint64_t dropped; /* lines, since the start */
	double detail_tokens; /* token bucket: details allowed now */
	wv_msec refilled_at; /* when the bucket was last refilled */
};

/*
 * Returns the length of the next write, bytes: whole lines, at most PIPE_BUF,
 * which a pipe takes atomically, so that no reader gets a partial line. A
 * longer line is written in pieces.
 */
static size_t
next_write_length(const char *text, size_t length)
{
	size_t max = MIN(length, PIPE_BUF);
	size_t n = max;

	while (n > 0 && text[n - 1] != '\n')
		n--;
	return n > 0 ? n : max;
}

static ssize_t
write_piece(const struct log *log, const char *text, size_t length)
{
	if (log->is_socket)
		return send(log->fd, text, length, MSG_DONTWAIT | MSG_NOSIGNAL);
	return write(log->fd, text, length);
}

static void
flush(struct log *log)
{
	GString *buffer = log->buffer;
	size_t written = 0;
	ssize_t n = 1;

	while (written < buffer->len && n > 0) {
		n = write_piece(log, buffer->str + written,
		    next_write_length(
			buffer->str + written, buffer->len - written));
		if (n > 0)
			written += (size_t)n;
	}
	g_string_erase(buffer, 0, (gssize)written);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(FLUSH_INTERVAL);
	struct log *log = data;

	(void)fd;
	(void)what;
	flush(log);
	if (log->buffer->len > 0)
		event_add(log->timer, &time);
}

/*
 * Makes the output non-blocking. O_NONBLOCK belongs to the open file that all
 * processes with this output share, so a pipe or terminal is opened anew; only
 * if that fails is the shared one changed. Writes to files don't block.
 */
static void
open_output(struct log *log, int fd)
{
	char path[sizeof("/proc/self/fd/") + 3 * sizeof(int)];
	struct stat status = {0};

	log->fd = fd;
	if (fstat(fd, &status) != 0 || S_ISREG(status.st_mode))
		return;
	if (S_ISSOCK(status.st_mode)) {
		log->is_socket = true;
		return;
	}
	g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	log->fd = open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC | O_NOCTTY);
	log->owns_fd = log->fd >= 0;
	if (log->owns_fd)
		return;
	log->fd = fd;
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

struct log *
log_create(struct event_base *base, struct wv_clock *clock, int fd,
    struct wv_string vm)
{
	struct log *log = g_new0(struct log, 1);

	log->clock = clock;
	log->vm = wv_string_copy(vm);
	log->buffer = g_string_new(NULL);
	log->timer = event_new(base, -1, 0, on_timer, log);
	log->detail_tokens = MAX_DETAILS_PER_SECOND;
	log->refilled_at = wv_clock_now(clock);
	open_output(log, fd);
	return log;
}

void
log_set_vm(struct log *log, struct wv_string vm)
{
	wv_string_clear(&log->vm);
	log->vm = wv_string_copy(vm);
}

void
log_destroy(struct log *log)
{
	flush(log);
	if (log->owns_fd)
		close(log->fd);
	event_free(log->timer);
	wv_string_clear(&log->vm);
	g_string_free(log->buffer, TRUE);
	g_free(log);
}

static bool
take_detail_token(struct log *log)
{
	wv_msec now = wv_clock_now(log->clock);

	log->detail_tokens +=
	    (now - log->refilled_at) / 1000 * MAX_DETAILS_PER_SECOND;
	log->detail_tokens = MIN(log->detail_tokens, MAX_DETAILS_PER_SECOND);
	log->refilled_at = now;
	if (log->detail_tokens < 1)
		return false;
	log->detail_tokens -= 1;
	return true;
}

static bool
has_capacity(struct log *log, enum log_level level)
{
	double filled = (double)log->buffer->len / MAX_BUFFER_BYTES;

	switch (level) {
	case LOG_DETAIL:
		return filled < MAX_DETAIL_FILL && take_detail_token(log);
	case LOG_FAILURE:
		return filled < MAX_FAILURE_FILL;
	case LOG_CHANGE:
		break;
	}
	return filled < 1;
}

void
log_line(struct log *log, enum log_level level, const char *event,
    const char *format, ...)
{
	struct timeval time = socket_timeval(FLUSH_INTERVAL);
	wv_msec unix_time;
	va_list args;

	if (!has_capacity(log, level)) {
		log->dropped++;
		return;
	}
	unix_time = wv_clock_unix_time(log->clock);
	g_string_append_printf(log->buffer,
	    "{\"time_ms\":%.0f,\"vm\":\"%s\",\"event\":\"%s\"", unix_time,
	    log->vm.data, event);
	if (format[0] != '\0') {
		g_string_append_c(log->buffer, ',');
		va_start(args, format);
		g_string_append_vprintf(log->buffer, format, args);
		va_end(args);
	}
	if (log->dropped > 0)
		g_string_append_printf(log->buffer,
		    ",\"left_out\":%" G_GUINT64_FORMAT, log->dropped);
	g_string_append(log->buffer, "}\n");
	if (!event_pending(log->timer, EV_TIMEOUT, NULL))
		event_add(log->timer, &time);
}

uint64_t
log_count_dropped(const struct log *log)
{
	return log->dropped;
}

const char *
log_escape(struct wv_string text, char *buffer, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < text.length && n + 1 < size; i++) {
		char c = text.data[i];

		/* Not ASCII: the text may be cut within a character. */
		buffer[n++] =
		    g_ascii_isprint(c) && c != '"' && c != '\\' ? c : '?';
	}
	buffer[n] = '\0';
	return buffer;
}
