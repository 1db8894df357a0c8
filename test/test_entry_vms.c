/**
 * @file
 * Tests of several entry servers: discovery of each other, reports, and the
 * choice of watchers of the store.
 */
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proto/vm_report.pb-c.h"
#include "test/entry_fixture.h"

/** VMs that watch the store directly. */
#define N_WATCHERS 3
/** Time within which all VMs must apply a change, ms. */
#define MAX_CHANGE_TIME 3000
/** Index of the metrics' port among the ports of a VM. */
#define METRICS_PORT 4
/** Orders that reach each of two searchers, but for one case in a million. */
#define N_ORDERS 20
/** Longest delay of a log line, since lines are collected, ms. */
#define LOG_DELAY 300

/* VMs that start at the same time discover each other. */
static void
test_start_at_once(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);

	open_store(fixture);
	for (unsigned i = 0; i < N_VMS; i++)
		start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	fixture_destroy(fixture);
}

/* Returns whether each VM has logged that it knows n other hubs. */
static bool
all_know_hubs(const struct fixture *fixture, unsigned n)
{
	char *text = g_strdup_printf("\"other_hubs\":%u", n);
	bool all = true;

	for (unsigned i = 0; i < fixture->n_vms; i++)
		all = all && has_logged(&fixture->vms[i], text);
	g_free(text);
	return all;
}

/*
 * VMs that are missing in a list of VMs that is old, because they started only
 * then, discover each other all the same.
 */
static void
test_stale_list(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);

	open_store(fixture);
	standin_store_freeze_stale_reads(fixture->store);
	for (unsigned i = 0; i < N_VMS; i++)
		start_vm(fixture);
	for (int i = 0; i < EVENT_TIMEOUT / CHECK_INTERVAL &&
	     !all_know_hubs(fixture, N_VMS - 1);
	     i++)
		run_for(fixture, CHECK_INTERVAL);
	g_assert_true(all_know_hubs(fixture, N_VMS - 1));
	fixture_destroy(fixture);
}

/* Sends an order to a VM; it must be answered with success. */
static void
send_order(struct fixture *fixture, unsigned vm, unsigned i, GString *body)
{
	char *id = g_strdup_printf("order-%u-%u", vm, i);
	char *order = compose_order(id);

	g_assert_cmpuint(
	    exchange_bytes(fixture, fixture->vms[vm].callers, order, body), ==,
	    200);
	g_free(order);
	g_free(id);
}

/* Waits until VM 0 has an entry in the store. */
static bool
wait_entry(struct fixture *fixture)
{
	for (int i = 0; i < EVENT_TIMEOUT / CHECK_INTERVAL; i++) {
		if (standin_store_revision(
			fixture->store, STANDIN_KIND_VMS, "vm0") > 0)
			return true;
		run_for(fixture, CHECK_INTERVAL);
	}
	return false;
}

/*
 * A VM whose entry is removed while it registers must create it again: it finds
 * none to replace. Otherwise it would repeat a priced call for ever.
 */
static void
test_removed_while_registering(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);

	open_store(fixture);
	/* Its lists lack the entry for some seconds; so long it registers. */
	standin_store_freeze_stale_reads(fixture->store);
	start_vm(fixture);
	g_assert_true(wait_entry(fixture));
	standin_store_remove(fixture->store, STANDIN_KIND_VMS, "vm0");
	g_assert_true(wait_entry(fixture));
	stop_vm(fixture, &fixture->vms[0]);
	fixture_destroy(fixture);
}

/*
 * Sends a report of a VM that does not exist to VM `to`.
 *
 * peers: the IP:PORT that it claims for reports
 */
static void
report_vm(struct fixture *fixture, unsigned to, const char *peers)
{
	unsigned int port = fixture->ports[1 + N_SERVICES * N_REPLICAS +
	    (size_t)to * VM_PORTS + 3];
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

/* Returns whether a VM shows operators a searcher of orders in a state. */
static bool
shows_state(struct fixture *fixture, unsigned vm, const char *state)
{
	char *address = g_strdup_printf("127.0.0.1:%u",
	    fixture->ports[1 + N_SERVICES * N_REPLICAS + vm * VM_PORTS +
		METRICS_PORT]);
	char *id = standin_searcher_id(N_SERVICES - 1, 0);
	GString *body = g_string_new(NULL);
	char *line = g_strdup_printf("\"%s\",\"said_ms_ago\"", state);
	bool shown;

	exchange_bytes(fixture, address,
	    "GET /searchers HTTP/1.1\r\nHost: metrics\r\n\r\n", body);
	shown =
	    strstr(body->str, id) != NULL && strstr(body->str, line) != NULL;
	g_free(line);
	g_string_free(body, TRUE);
	g_free(id);
	g_free(address);
	return shown;
}

/*
 * What a searcher says to one VM reaches the others as a hint: the other VM
 * sends its orders to the other searcher, though the first one answers.
 */
static void
test_leaving_hint(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	GString *body = g_string_new(NULL);
	uint64_t arrivals;

	open_store(fixture);
	start_vm(fixture);
	start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	standin_searchers_set_leaving(
	    fixture->searchers, N_SERVICES - 1, 0, true);
	for (unsigned i = 0; i < N_ORDERS; i++)
		send_order(fixture, 0, i, body);
	g_assert_true(
	    wait_logged(fixture, &fixture->vms[0], "\"searcher_leaving\""));
	g_assert_true(
	    wait_logged(fixture, &fixture->vms[1], "\"searcher_hinted\""));
	g_assert_true(shows_state(fixture, 0, "leaving"));
	g_assert_true(shows_state(fixture, 1, "hinted"));
	standin_searchers_set_leaving(
	    fixture->searchers, N_SERVICES - 1, 0, false);
	arrivals =
	    standin_searchers_arrivals(fixture->searchers, N_SERVICES - 1, 0);
	for (unsigned i = 0; i < N_ORDERS; i++)
		send_order(fixture, 1, i, body);
	g_assert_cmpuint(
	    standin_searchers_arrivals(fixture->searchers, N_SERVICES - 1, 0),
	    ==, arrivals);
	g_string_free(body, TRUE);
	fixture_destroy(fixture);
}

/* A VM that can't send reports to another one must log that. */
static void
test_unsent_reports(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	/* The socket may not send to a broadcast address, so sendto() fails. */
	report_vm(fixture, 0, "255.255.255.255:9");
	g_assert_true(wait_logged(fixture, &fixture->vms[0], "reports_unsent"));
	stop_vm(fixture, &fixture->vms[0]);
	fixture_destroy(fixture);
}

/* Returns whether a VM watches the store, by its last log line about it. */
static bool
is_watching(const struct vm *vm)
{
	char *content = NULL;
	const char *last_true, *last_false;

	g_assert_true(g_file_get_contents(vm->log, &content, NULL, NULL));
	last_true = g_strrstr(content, "\"watching\":true");
	last_false = g_strrstr(content, "\"watching\":false");
	g_free(content);
	return last_true > last_false;
}

/* Returns the number of VMs that watch the store. */
static unsigned
count_watching(const struct fixture *fixture)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fixture->n_vms; i++)
		n += is_watching(&fixture->vms[i]);
	return n;
}

/* Waits until exactly N_WATCHERS VMs watch the store. */
static bool
wait_watching(struct fixture *fixture)
{
	for (int i = 0; i < EVENT_TIMEOUT / CHECK_INTERVAL; i++) {
		if (count_watching(fixture) == N_WATCHERS)
			return true;
		run_for(fixture, CHECK_INTERVAL);
	}
	return false;
}

/*
 * If the store no longer answers any of its watchers, another VM must become a
 * watcher in time for the next change.
 */
static void
test_silent_watchers(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);

	open_store(fixture);
	for (unsigned i = 0; i < N_VMS; i++)
		start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	g_assert_true(wait_watching(fixture));
	for (unsigned i = 0; i < N_VMS; i++) {
		if (is_watching(&fixture->vms[i]))
			proxy_set_mode(fixture->vms[i].store, PROXY_BLOCK);
	}
	write_routes(fixture, 7);
	run_for(fixture, MAX_CHANGE_TIME + LOG_DELAY);
	for (unsigned i = 0; i < N_VMS; i++)
		g_assert_true(has_logged(&fixture->vms[i], "\"version\":7,"));
	fixture_destroy(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/entry-vms/start-at-once", test_start_at_once);
	g_test_add_func("/entry-vms/stale-list", test_stale_list);
	g_test_add_func("/entry-vms/leaving-hint", test_leaving_hint);
	g_test_add_func("/entry-vms/removed-while-registering",
	    test_removed_while_registering);
	g_test_add_func("/entry-vms/unsent-reports", test_unsent_reports);
	g_test_add_func("/entry-vms/silent-watchers", test_silent_watchers);
	return g_test_run();
}
