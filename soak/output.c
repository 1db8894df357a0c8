/**
 * @file
 * Pipe that takes the standard output of a process to its log file.
 */
#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"
#include "soak/output.h"

/** Maximum bytes of one read. */
#define READ_SIZE 16384
/** Bytes of a read in OUTPUT_SLOW, and the time between two reads, ms. */
#define SLOW_READ_SIZE 100
#define SLOW_READ_INTERVAL 20

struct output {
	int fd; /* reading end; -1: closed */
	int log; /* descriptor of the file */
	struct event *readable;
	struct event *slow_timer;
};

/* Reads once, at most size bytes; returns whether there was output. */
static bool
read_once(struct output *output, size_t size)
{
	char buffer[READ_SIZE];
	ssize_t n = read(output->fd, buffer, MIN(size, sizeof(buffer)));

	if (n == 0)
		output_close(output);
	return n > 0 && write(output->log, buffer, (size_t)n) == n;
}

static void
on_readable(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	read_once(data, READ_SIZE);
}

static void
on_slow_timer(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	read_once(data, SLOW_READ_SIZE);
}

struct output *
output_create(struct event_base *base, const char *file, int *end)
{
	struct output *output;
	int ends[2];
	int log = open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	if (log < 0)
		return NULL;
	if (pipe2(ends, O_CLOEXEC) != 0) {
		close(log);
		return NULL;
	}
	output = g_new0(struct output, 1);
	output->fd = ends[0];
	*end = ends[1];
	evutil_make_socket_nonblocking(output->fd);
	output->log = log;
	output->readable = event_new(
	    base, output->fd, EV_READ | EV_PERSIST, on_readable, output);
	output->slow_timer =
	    event_new(base, -1, EV_PERSIST, on_slow_timer, output);
	output_set_mode(output, OUTPUT_READ);
	return output;
}

void
output_set_mode(struct output *output, enum output_mode mode)
{
	struct timeval time = socket_timeval(SLOW_READ_INTERVAL);

	event_del(output->readable);
	event_del(output->slow_timer);
	if (output->fd < 0)
		return;
	if (mode == OUTPUT_READ)
		event_add(output->readable, NULL);
	else if (mode == OUTPUT_SLOW)
		event_add(output->slow_timer, &time);
}

void
output_shrink(struct output *output)
{
	if (output->fd >= 0)
		fcntl(output->fd, F_SETPIPE_SZ, PIPE_BUF);
}

void
output_close(struct output *output)
{
	event_del(output->readable);
	event_del(output->slow_timer);
	if (output->fd >= 0)
		close(output->fd);
	output->fd = -1;
}

void
output_destroy(struct output *output)
{
	while (output->fd >= 0 && read_once(output, READ_SIZE))
		;
	output_close(output);
	event_free(output->readable);
	event_free(output->slow_timer);
	close(output->log);
	g_free(output);
}
