/**
 * @file
 * Tests of entry servers and each other: who knows whom, and who follows the
 * store for the others.
 */
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proto/vm_report.pb-c.h"
#include "test/entry_world.h"

/** VMs that follow the store themselves. */
#define WATCHERS 3
/** Time in which a change must be in force everywhere, ms. */
#define FORCE_WITHIN 3000
/** Time for which lines of the log are collected, ms. */
#define LOG_DELAY 300

/* VMs that start at the same moment learn of each other. */
static void
test_start_at_once(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	for (unsigned i = 0; i < VMS; i++)
		start_vm(world);
	g_assert_true(wait_known(world));
	world_destroy(world);
}

/* Reports a VM to another one, as anybody may. */
static void
report_vm(struct world *world, unsigned to, const char *peers)
{
	unsigned int port =
	    world->ports[1 + SERVICES * REPLICAS + (size_t)to * VM_PORTS + 3];
	VmReport report = VM_REPORT__INIT;
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	uint8_t buffer[256];
	size_t length;

	report.protocol = 1;
	report.name = "reported";
	report.incarnation = 1;
	report.sequence = 1;
	report.peers = (char *)peers;
	report.callers = "127.0.0.1:1";
	report.zone = "z0";
	report.serving = true;
	report.capacity = 1;
	g_assert_cmpuint(
	    vm_report__get_packed_size(&report), <=, sizeof(buffer));
	length = vm_report__pack(&report, buffer);
	g_assert_cmpint(sendto(fd, buffer, length, 0,
			    (struct sockaddr *)&address, sizeof(address)),
	    ==, (ssize_t)length);
	close(fd);
}

/* A VM that cannot report to another one must say so. */
static void
test_unsent_reports(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	start_vm(world);
	g_assert_true(wait_known(world));
	/* Sending to a broadcast address is not permitted to the socket. */
	report_vm(world, 0, "255.255.255.255:9");
	g_assert_true(wait_logged(world, &world->vms[0], "reports_unsent"));
	stop_vm(world, &world->vms[0]);
	world_destroy(world);
}

/* Whether a VM follows the store, by the last line that says so. */
static bool
is_watching(const struct vm *vm)
{
	char *content = NULL;
	const char *yes, *no;

	g_assert_true(g_file_get_contents(vm->log, &content, NULL, NULL));
	yes = g_strrstr(content, "\"watching\":true");
	no = g_strrstr(content, "\"watching\":false");
	g_free(content);
	return yes > no;
}

/* Number of VMs that follow the store. */
static unsigned
count_watching(const struct world *world)
{
	unsigned n = 0;

	for (unsigned i = 0; i < world->n_vms; i++)
		n += is_watching(&world->vms[i]);
	return n;
}

/* Waits until as many VMs as needed follow the store, and no more. */
static bool
wait_watching(struct world *world)
{
	for (int i = 0; i < EVENT_LIMIT / LOOK; i++) {
		if (count_watching(world) == WATCHERS)
			return true;
		run_for(world, LOOK);
	}
	return false;
}

/*
 * When the store falls silent for all VMs that follow it, another one must
 * take over in time for the next change.
 */
static void
test_silent_watchers(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	for (unsigned i = 0; i < VMS; i++)
		start_vm(world);
	g_assert_true(wait_known(world));
	g_assert_true(wait_watching(world));
	for (unsigned i = 0; i < VMS; i++) {
		if (is_watching(&world->vms[i]))
			proxy_set_mode(world->vms[i].store, PROXY_SILENT);
	}
	write_routes(world, 7);
	run_for(world, FORCE_WITHIN + LOG_DELAY);
	for (unsigned i = 0; i < VMS; i++)
		g_assert_true(has_logged(&world->vms[i], "\"version\":7,"));
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/entry-vms/start-at-once", test_start_at_once);
	g_test_add_func("/entry-vms/unsent-reports", test_unsent_reports);
	g_test_add_func("/entry-vms/silent-watchers", test_silent_watchers);
	return g_test_run();
}
