/**
 * @file
 * Tests of connections that take the daemon's descriptors.
 */
#include <time.h>

#include "proto/frame.h"
#include "test/cluster/cluster.h"
#include "test/daemon_fixture.h"

/** Descriptors of a daemon that has few, and connections that exceed them. */
#define FEW_DESCRIPTORS 64
#define N_IDLE 80
/** Most processor time of a daemon that has nothing to do, part of a core. */
#define IDLE_LOAD 0.3

/* Opens connections to an address on which nothing is sent. */
static void
open_idle(const char *text, int *fds, size_t n)
{
	struct sockaddr_in address;

	g_assert_true(wv_address_parse(wv_string_borrow(text), &address));
	for (size_t i = 0; i < n; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(connect(fds[i], (struct sockaddr *)&address,
				    sizeof(address)),
		    ==, 0);
	}
}

static void
close_all(const int *fds, size_t n)
{
	for (size_t i = 0; i < n; i++)
		close(fds[i]);
}

/* Returns the processor time that the daemon has used, s. */
static double
processor_time(const struct server *server)
{
	const char *id = g_subprocess_get_identifier(server->process);
	struct timespec used;
	clockid_t clock;

	g_assert_cmpint(
	    clock_getcpuclockid((pid_t)g_ascii_strtoll(id, NULL, 10), &clock),
	    ==, 0);
	g_assert_cmpint(clock_gettime(clock, &used), ==, 0);
	return (double)used.tv_sec + (double)used.tv_nsec / 1e9;
}

static struct server *
start_with_few_descriptors(void)
{
	struct server *server = server_create();

	server->descriptors = FEW_DESCRIPTORS;
	server_spawn(server, NULL);
	wait_logged(server, "vm0 started");
	return server;
}

/*
 * Connections that can't be accepted for want of descriptors must not keep a
 * core busy.
 */
static void
test_idle_load(void)
{
	struct server *server = start_with_few_descriptors();
	int fds[3 * N_IDLE];
	double before;

	for (size_t i = 0; i < N_LISTENERS; i++)
		open_idle(server->addresses[i], fds + i * N_IDLE, N_IDLE);
	run_for(server, OBSTACLE_TIME_US);
	before = processor_time(server);
	run_for(server, OBSTACLE_TIME_US);
	g_assert_cmpfloat(processor_time(server) - before, <,
	    IDLE_LOAD * OBSTACLE_TIME_US / 1e6);
	close_all(fds, G_N_ELEMENTS(fds));
	stop_server(server);
	server_destroy(server);
}

/*
 * Idle connections to a port must not keep callers and operators from getting
 * an answer, neither at this port nor at the others.
 */
static void
test_idle_connections(gconstpointer data)
{
	size_t index = GPOINTER_TO_SIZE(data);
	struct server *server = start_with_few_descriptors();
	int fds[N_IDLE];

	open_idle(server->addresses[index], fds, N_IDLE);
	run_for(server, OBSTACLE_TIME_US);
	/* Ports 0 and 1 are those of callers and operators. */
	for (size_t i = 0; i < 2; i++) {
		struct cluster_answer answer =
		    cluster_call(server->addresses[i], "GET",
			i == 0 ? "/v1/addresses?customer=c" : "/v1/state", NULL,
			"test-operator-token");

		g_assert_cmpuint(answer.http_status, ==, 200);
		cluster_answer_clear(&answer);
	}
	if (index < 2)
		wait_logged(server, "is full: those that are idle");
	close_all(fds, N_IDLE);
	stop_server(server);
	server_destroy(server);
}

/* Sets the number of descriptors that a running daemon may have. */
static void
limit_descriptors(const struct server *server, rlim_t n)
{
	const char *id = g_subprocess_get_identifier(server->process);
	pid_t pid = (pid_t)g_ascii_strtoll(id, NULL, 10);
	struct rlimit limit;

	g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, NULL, &limit), ==, 0);
	limit.rlim_cur = n;
	g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
}

/*
 * A connection of another VM that can't be accepted must neither keep a core
 * busy nor be forgotten: it is accepted once there is a descriptor.
 */
static void
test_no_descriptor_left(void)
{
	struct server *server = start_server();
	char bytes[8];
	double before;
	int fd;

	limit_descriptors(server, 3);
	open_idle(server->addresses[2], &fd, 1);
	run_for(server, OBSTACLE_TIME_US);
	before = processor_time(server);
	run_for(server, OBSTACLE_TIME_US);
	g_assert_cmpfloat(processor_time(server) - before, <,
	    IDLE_LOAD * OBSTACLE_TIME_US / 1e6);
	wait_logged(server, "connection of another VM has to wait");
	limit_descriptors(server, FEW_DESCRIPTORS);
	/* The link is closed after bytes that are no frame. */
	memset(bytes, 0xff, sizeof(bytes));
	g_assert_cmpint(write(fd, bytes, sizeof(bytes)), ==, sizeof(bytes));
	g_assert_cmpint(read(fd, bytes, sizeof(bytes)), <=, 0);
	close(fd);
	stop_server(server);
	server_destroy(server);
}

/*
 * Sends the first frame of a VM to the daemon, or another one with a greater
 * sequence, and returns whether the daemon acknowledges it.
 */
static bool
exchange_heartbeat(int fd, uint64_t sequence)
{
	struct pollfd poll_fd = {fd, POLLIN, 0};
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Heartbeat body = WISTERIAVANE__HEARTBEAT__INIT;
	GByteArray *bytes = g_byte_array_new();
	struct wv_status status = {WV_OK, ""};
	char answer[256];
	ssize_t n;

	frame.deployment = (char *)"test";
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = (char *)"vm1";
	frame.incarnation = 1;
	frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &body;
	body.sequence = sequence;
	g_assert_cmpint(wv_frame_encode(&frame, bytes, &status), ==, WV_OK);
	n = send(fd, bytes->data, bytes->len, MSG_NOSIGNAL);
	g_byte_array_unref(bytes);
	return n > 0 && poll(&poll_fd, 1, EVENT_TIMEOUT) == 1 &&
	    read(fd, answer, sizeof(answer)) > WV_FRAME_HEADER_SIZE;
}

/*
 * Strangers that connect to the port of other VMs and send nothing must not
 * keep VMs out, neither those that come later nor those that are connected.
 */
static void
test_vm_among_strangers(void)
{
	struct server *server = start_with_few_descriptors();
	int before[N_IDLE], after[N_IDLE];
	int fd;

	open_idle(server->addresses[2], before, N_IDLE);
	open_idle(server->addresses[2], &fd, 1);
	g_assert_true(exchange_heartbeat(fd, 1));
	wait_logged(server, "connections of other VMs is full");
	open_idle(server->addresses[2], after, N_IDLE);
	run_for(server, OBSTACLE_TIME_US);
	g_assert_true(exchange_heartbeat(fd, 2));
	close_all(before, N_IDLE);
	close_all(after, N_IDLE);
	close(fd);
	stop_server(server);
	server_destroy(server);
}

/*
 * A connection to the port of other VMs on which no VM names itself must not
 * stay open: neither one that is silent nor one that sends part of a frame. One
 * on which a VM has named itself stays.
 */
static void
test_unidentified_link(gconstpointer data)
{
	/* The length of a frame and the first byte of its content. */
	static const char part[] = {0, 0, 1, 0, 10};
	ssize_t sent = GPOINTER_TO_INT(data);
	struct server *server = start_server();
	struct pollfd poll_fd = {-1, POLLIN, 0};
	int fds[2];
	char byte;

	open_idle(server->addresses[2], fds, G_N_ELEMENTS(fds));
	g_assert_true(exchange_heartbeat(fds[1], 1));
	g_assert_cmpint(
	    send(fds[0], part, (size_t)sent, MSG_NOSIGNAL), ==, sent);
	poll_fd.fd = fds[0];
	g_assert_cmpint(poll(&poll_fd, 1, EVENT_TIMEOUT), ==, 1);
	g_assert_cmpint(read(fds[0], &byte, 1), ==, 0);
	g_assert_true(exchange_heartbeat(fds[1], 2));
	close_all(fds, G_N_ELEMENTS(fds));
	stop_server(server);
	server_destroy(server);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/daemon-start/no-descriptor-left", test_no_descriptor_left);
	g_test_add_func("/daemon-start/idle-load", test_idle_load);
	g_test_add_data_func("/daemon-start/idle-callers", GSIZE_TO_POINTER(0),
	    test_idle_connections);
	g_test_add_data_func("/daemon-start/idle-operators",
	    GSIZE_TO_POINTER(1), test_idle_connections);
	g_test_add_data_func("/daemon-start/idle-peers", GSIZE_TO_POINTER(2),
	    test_idle_connections);
	g_test_add_func(
	    "/daemon-start/vm-among-strangers", test_vm_among_strangers);
	g_test_add_data_func("/daemon-start/silent-link", GINT_TO_POINTER(0),
	    test_unidentified_link);
	g_test_add_data_func("/daemon-start/half-frame", GINT_TO_POINTER(5),
	    test_unidentified_link);
	return g_test_run();
}
