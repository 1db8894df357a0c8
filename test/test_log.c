/**
 * @file
 * Tests of the log: readers get whole lines only.
 */
#include <limits.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/system_clock.h"
#include "entry/log.h"

/** Lines logged at once, as when a VM reads its first list of searchers. */
#define N_LINES 300

struct fixture {
	struct event_base *base;
	struct wv_clock clock;
	struct log *log;
	int reader; /* descriptor */
};

static void
fixture_init(struct fixture *fixture)
{
	int ends[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), ==, 0);
	fixture->base = event_base_new();
	system_clock_init(&fixture->clock);
	fixture->reader = ends[0];
	fixture->log = log_create(
	    fixture->base, &fixture->clock, ends[1], wv_string_borrow("vm0"));
}

/*
 * Receives one write, since the socket keeps their boundaries; returns its
 * length, or -1 if there is none.
 */
static ssize_t
receive_write(const struct fixture *fixture, char *buffer, size_t size)
{
	return recv(fixture->reader, buffer, size, MSG_DONTWAIT | MSG_TRUNC);
}

/*
 * A reader that receives each write into a buffer of PIPE_BUF bytes must get
 * whole lines, and all of them. Writes that ended within a line gave it broken
 * lines.
 */
static void
test_whole_lines(void)
{
	struct fixture fixture;
	char buffer[PIPE_BUF];
	unsigned lines = 0;
	ssize_t n;

	fixture_init(&fixture);
	for (unsigned i = 0; i < N_LINES; i++)
		log_line(fixture.log, LOG_CHANGE, "searcher_changed",
		    "\"searcher\":\"i-%u\",\"service\":\"a-service\","
		    "\"address\":\"192.0.2.1:8000\",\"draining\":false",
		    i);
	for (int turn = 0; turn < 100 && lines < N_LINES; turn++) {
		event_base_loop(fixture.base, EVLOOP_ONCE);
		while (
		    (n = receive_write(&fixture, buffer, sizeof(buffer))) > 0) {
			g_assert_cmpint(n, <=, sizeof(buffer));
			g_assert_cmpint(buffer[0], ==, '{');
			g_assert_cmpint(buffer[n - 1], ==, '\n');
			for (ssize_t i = 0; i < n; i++)
				lines += buffer[i] == '\n';
		}
	}
	g_assert_cmpuint(lines, ==, N_LINES);
	g_assert_cmpuint(log_count_dropped(fixture.log), ==, 0);
	log_destroy(fixture.log);
	event_base_free(fixture.base);
	close(fixture.reader);
}

/*
 * Any bytes become printable ASCII that may stand in a JSON string, whether
 * char is signed, as on x86-64, or not, as on arm64. Bytes that are not ASCII
 * were copied on arm64 only, where a line was not valid UTF-8.
 */
static void
test_escape(void)
{
	char text[256];
	char buffer[sizeof(text)];

	for (size_t i = 0; i < sizeof(text) - 1; i++)
		text[i] = (char)(i + 1);
	log_escape(
	    (struct wv_string){text, sizeof(text) - 1}, buffer, sizeof(buffer));
	for (size_t i = 0; i < sizeof(text) - 1; i++) {
		size_t c = i + 1;
		bool is_plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';

		g_assert_cmpint(buffer[i], ==, is_plain ? (char)c : '?');
	}
	g_assert_cmpint(buffer[sizeof(text) - 1], ==, '\0');
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/whole-lines", test_whole_lines);
	g_test_add_func("/log/escape", test_escape);
	return g_test_run();
}
