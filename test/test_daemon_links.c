/**
 * @file
 * Tests of the daemon's links to other VMs beside many that strangers opened.
 */
#include <sys/resource.h>
#include <sys/socket.h>

#include <apr_general.h>
#include <poll.h>
#include <unistd.h>

#include "daemon/daemon.h"
#include "daemon/links.h"
#include "daemon/system_clock.h"
#include "http/address.h"

/** Connections of strangers; the share of links that others open. */
#define N_STRANGERS 1024
/** Descriptors that both ends of all connections need. */
#define N_DESCRIPTORS (2 * N_STRANGERS + 100)
/** Maximum time for an event that must come, ms. */
#define EVENT_TIMEOUT 3000

/* Returns a socket that listens on a free port, and its address. */
static int
listen_anywhere(struct sockaddr_in *address)
{
	socklen_t size = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	g_assert_true(
	    wv_address_parse(wv_string_borrow("127.0.0.1:1"), address));
	address->sin_port = 0;
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)address, sizeof(*address)), ==, 0);
	g_assert_cmpint(listen(fd, SOMAXCONN), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)address, &size), ==, 0);
	return fd;
}

static void
raise_descriptor_limit(void)
{
	struct rlimit limit;

	g_assert_cmpint(getrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	limit.rlim_cur = limit.rlim_max;
	g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
	g_assert_cmpuint(limit.rlim_cur, >=, N_DESCRIPTORS);
}

static void
daemon_init(struct daemon *daemon, struct wv_settings *settings)
{
	settings->deployment = wv_string_borrow("test");
	daemon->settings = settings;
	daemon->self.name = wv_string_borrow("vm0");
	daemon->shares.peers = N_STRANGERS;
	system_clock_init(&daemon->clock);
	stats_init(&daemon->stats);
}

static void
connect_strangers(const struct sockaddr_in *address, int *fds)
{
	for (int i = 0; i < N_STRANGERS; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(
		    connect(fds[i], (const struct sockaddr *)address,
			sizeof(*address)),
		    ==, 0);
	}
	/* The links' thread accepts one connection each time it polls. */
	g_usleep(500000);
}

/*
 * Strangers who take the whole share of links that others open must not keep
 * this VM from opening links itself: it would be cut off from all VMs.
 */
static void
test_opened_beside_strangers(void)
{
	struct wv_settings settings = {0};
	struct daemon daemon = {0};
	struct sockaddr_in own, peer;
	struct wv_status status = {WV_OK, ""};
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Heartbeat body = WISTERIAVANE__HEARTBEAT__INIT;
	int fds[N_STRANGERS];
	struct pollfd poll_fd = {-1, POLLIN, 0};
	int listener = listen_anywhere(&own);
	char *text;

	poll_fd.fd = listen_anywhere(&peer);
	raise_descriptor_limit();
	daemon_init(&daemon, &settings);
	daemon.links = links_create(&daemon, listener, &status);
	g_assert_nonnull(daemon.links);
	links_start(daemon.links);
	connect_strangers(&own, fds);
	text = g_strdup_printf("127.0.0.1:%u", ntohs(peer.sin_port));
	frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &body;
	links_send(daemon.links, wv_string_borrow(text), &frame);
	g_assert_cmpint(poll(&poll_fd, 1, EVENT_TIMEOUT), ==, 1);
	links_stop(daemon.links);
	links_destroy(daemon.links);
	for (int i = 0; i < N_STRANGERS; i++)
		close(fds[i]);
	close(poll_fd.fd);
	g_free(text);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	apr_initialize();
	g_test_add_func("/daemon-links/opened-beside-strangers",
	    test_opened_beside_strangers);
	return g_test_run();
}
