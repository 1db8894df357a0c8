/**
 * @file
 * Writer of the daemon's log lines.
 */
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <unistd.h>

#include "daemon/log.h"

/** State of the writer; lives as long as the process. */
struct writer {
	GMutex lock; /* the room that one thread saw is for its own line */
	unsigned dropped; /* lines since the last one that was written */
};

/*
 * A pipe is writable if it takes PIPE_BUF bytes, which are more than a line. A
 * broken one counts as writable, since writing fails at once.
 */
static bool
is_writable(int fd)
{
	struct pollfd poll_fd = {fd, POLLOUT, 0};

	return poll(&poll_fd, 1, 0) != 0;
}

static GLogWriterOutput
write_line(
    GLogLevelFlags level, const GLogField *fields, gsize n_fields, void *data)
{
	struct writer *writer = data;
	GLogWriterOutput result = G_LOG_WRITER_HANDLED;

	g_mutex_lock(&writer->lock);
	if (writer->dropped > 0 && is_writable(STDERR_FILENO)) {
		fprintf(stderr, "%u log lines were dropped: nobody read them\n",
		    writer->dropped);
		writer->dropped = 0;
	}
	if (is_writable(STDERR_FILENO))
		result = g_log_writer_default(level, fields, n_fields, NULL);
	else
		writer->dropped++;
	g_mutex_unlock(&writer->lock);
	return result;
}

void
log_init(void)
{
	struct writer *writer = g_new0(struct writer, 1);

	g_mutex_init(&writer->lock);
	g_log_set_writer_func(write_line, writer, NULL);
}
