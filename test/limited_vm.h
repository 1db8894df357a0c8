/**
 * @file
 * Entry servers with few descriptors, for tests of what they do at the limits
 * of their process.
 */
#ifndef WISTERIAVANE_TEST_LIMITED_VM_H
#define WISTERIAVANE_TEST_LIMITED_VM_H

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test/entry_fixture.h"

/** Descriptors of a VM in these tests. */
#define DESCRIPTORS 64
/** Descriptors of a process whose limit is lowered below what it has open. */
#define LOWERED_DESCRIPTORS 8
/** Time over which the processor time of a VM is measured, ms. */
#define MEASURED_TIME 1000
/** Largest processor time within it, ms; a busy loop takes all of it. */
#define MAX_PROCESSOR_TIME 300
/** Longest time until a shortage is reported as ended, ms. */
#define SHORTAGE_TIME 5000
/** Longest time until requests are served after a shortage, ms. */
#define MAX_RECOVERY_TIME 3000

/* Runs in the child before it becomes a VM with few descriptors. */
static inline void
limit_descriptors(void *data)
{
	struct rlimit limit = {DESCRIPTORS, DESCRIPTORS};

	prepare_child(data);
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* Changes the limit on the descriptors of a VM that runs. */
static inline void
set_limit(const struct vm *vm, rlim_t descriptors)
{
	struct rlimit limit = {descriptors, DESCRIPTORS};
	pid_t pid = (pid_t)atoi(g_subprocess_get_identifier(vm->process));

	g_assert_cmpint(prlimit(pid, RLIMIT_NOFILE, &limit, NULL), ==, 0);
}

/* Starts a store and a VM with few descriptors that can serve. */
static inline struct fixture *
create_limited(double work)
{
	struct fixture *fixture = fixture_create(work);

	open_store(fixture);
	prepare_vm(fixture, 0);
	spawn_vm_with(fixture, 0, limit_descriptors, NULL);
	g_assert_true(
	    wait_logged(fixture, &fixture->vms[0], "\"store_watching\""));
	return fixture;
}

/* Returns the status of an order over a new connection. */
static inline unsigned
send_order(struct fixture *fixture, const char *id)
{
	char *order = compose_order(id);
	GString *body = g_string_new(NULL);
	unsigned status =
	    exchange_bytes(fixture, fixture->vms[0].callers, order, body);

	g_string_free(body, TRUE);
	g_free(order);
	return status;
}

/* Waits until a VM serves an order. */
static inline bool
wait_served(struct fixture *fixture)
{
	for (int i = 0; i < MAX_RECOVERY_TIME / CHECK_INTERVAL; i++) {
		char *id = g_strdup_printf("again-%d", i);
		bool served = send_order(fixture, id) == 200;

		g_free(id);
		if (served)
			return true;
		run_for(fixture, CHECK_INTERVAL);
	}
	return false;
}

/* Returns the processor time that a VM has used, ms. */
static inline double
processor_time(const struct vm *vm)
{
	char *path = g_strdup_printf(
	    "/proc/%s/stat", g_subprocess_get_identifier(vm->process));
	char *content = NULL;
	char **fields;
	double ticks;

	g_assert_true(g_file_get_contents(path, &content, NULL, NULL));
	/* The fields after the name begin with the third; 14 and 15 follow. */
	fields = g_strsplit(strrchr(content, ')') + 2, " ", 14);
	ticks = (double)(strtoul(fields[11], NULL, 10) +
	    strtoul(fields[12], NULL, 10));
	g_strfreev(fields);
	g_free(content);
	g_free(path);
	return ticks * 1000 / (double)sysconf(_SC_CLK_TCK);
}

/* Asserts that a VM hands back the processor while nothing is asked of it. */
static inline void
check_not_busy(struct fixture *fixture)
{
	double before = processor_time(&fixture->vms[0]);

	run_for(fixture, MEASURED_TIME);
	g_assert_cmpfloat(
	    processor_time(&fixture->vms[0]) - before, <, MAX_PROCESSOR_TIME);
}

#endif
