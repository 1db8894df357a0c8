/**
 * @file
 * Tests of the log: what is written arrives whole, however it is collected.
 */
#include <limits.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/system_clock.h"
#include "entry/log.h"

/** Lines of the burst, as when a VM lists its searchers. */
#define LINES 300

struct world {
	struct event_base *base;
	struct wv_clock clock;
	struct log *log;
	int reader;
};

static void
world_open(struct world *world)
{
	int ends[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), ==, 0);
	world->base = event_base_new();
	system_clock_init(&world->clock);
	world->reader = ends[0];
	world->log = log_create(
	    world->base, &world->clock, ends[1], wv_string_borrow("vm0"));
}

/* Reads one write; returns its bytes, or -1 if there is none yet. */
static ssize_t
read_write(const struct world *world, char *buffer, size_t size)
{
	return recv(world->reader, buffer, size, MSG_DONTWAIT | MSG_TRUNC);
}

/*
 * A collector that reads writes one by one, with room for what a pipe takes
 * at once, must get whole lines and all of them.
 */
static void
test_whole_lines(void)
{
	struct world world;
	char buffer[PIPE_BUF];
	unsigned lines = 0;
	ssize_t n;

	world_open(&world);
	for (unsigned i = 0; i < LINES; i++)
		log_line(world.log, LOG_CHANGE, "searcher_changed",
		    "\"searcher\":\"i-%u\",\"service\":\"a-service\","
		    "\"address\":\"192.0.2.1:8000\",\"draining\":false",
		    i);
	for (int turn = 0; turn < 100 && lines < LINES; turn++) {
		event_base_loop(world.base, EVLOOP_ONCE);
		while ((n = read_write(&world, buffer, sizeof(buffer))) > 0) {
			g_assert_cmpint(n, <=, sizeof(buffer));
			g_assert_cmpint(buffer[0], ==, '{');
			g_assert_cmpint(buffer[n - 1], ==, '\n');
			for (ssize_t i = 0; i < n; i++)
				lines += buffer[i] == '\n';
		}
	}
	g_assert_cmpuint(lines, ==, LINES);
	g_assert_cmpuint(log_left_out(world.log), ==, 0);
	log_destroy(world.log);
	event_base_free(world.base);
	close(world.reader);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/whole-lines", test_whole_lines);
	return g_test_run();
}
