/**
 * @file
 * Measures the memory and processor time that the table of contracts takes at
 * several sizes.
 *
 *   wisteriavane-tables [CONTRACTS...]
 *
 * Prints a line for each size: bytes per contract, and processor time to put a
 * contract in force and to look one up. To count instructions instead, run it
 * under valgrind --tool=callgrind with --toggle-collect=find_all or =offer_all.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <urcu.h>

#include "wisteriavane/wisteriavane.h"

/* printf format of a contract with one back end and three ranks. */
#define CONTRACT                                                    \
	"{\"customer\":\"customer-%zu\",\"job_retention_s\":86400," \
	"\"back_ends\":{\"desk\":{\"hedge_budget\":0.03,"           \
	"\"retry_budget\":0.02,\"ranks\":{"                         \
	"\"urgent\":{\"share\":0.5,\"rate\":100,\"burst\":20,"      \
	"\"concurrency\":64,\"deadline_ms\":500,"                   \
	"\"coverage_minimum\":0.9},"                                \
	"\"standard\":{\"share\":0.3,\"rate\":100,\"burst\":20,"    \
	"\"concurrency\":64,\"deadline_ms\":1000,"                  \
	"\"coverage_minimum\":0.9},"                                \
	"\"background\":{\"share\":0.2,\"rate\":100,\"burst\":20,"  \
	"\"concurrency\":64,\"deadline_ms\":2000,"                  \
	"\"coverage_minimum\":0.5}}}}}"
/* Lookups of one run. */
#define LOOKUPS 1000000
/* Limit of the contracts of one run. */
#define MAX_CONTRACTS 1000000

/* Returns the processor time of this process, ns. */
static double
cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e9 + (double)time.tv_nsec;
}

/*
 * Parses n contracts and puts them in force. Not inlined, since callgrind finds
 * it by name.
 */
static void __attribute__((noinline))
offer_all(struct wv_contract_table *table, size_t n)
{
	struct wv_status status;
	struct wv_string json;

	for (size_t i = 0; i < n; i++) {
		json.data = g_strdup_printf(CONTRACT, i);
		json.length = strlen(json.data);
		wv_contract_table_update(
		    table, wv_contract_parse(json, i + 1, &status));
		wv_string_clear(&json);
	}
}

/*
 * Looks up contracts in an order that jumps through the table; returns how many
 * were found. Not inlined, since callgrind finds it by name.
 */
static size_t __attribute__((noinline))
find_all(const struct wv_contract_table *table, size_t n)
{
	size_t found = 0;
	char name[32];

	for (size_t i = 0; i < LOOKUPS; i++) {
		g_snprintf(name, sizeof(name), "customer-%zu", i * 7919 % n);
		rcu_read_lock();
		found += wv_contract_table_find(
			     table, wv_string_borrow(name)) != NULL;
		rcu_read_unlock();
	}
	return found;
}

/* Measures a table of n contracts; returns whether all lookups succeeded. */
static bool
run(size_t n)
{
	struct wv_contract_table *table = wv_contract_table_create();
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
	double offers_start = cpu_ns(), offers_end, lookups_end;
	size_t bytes, found;

	offer_all(table, n);
	offers_end = cpu_ns();
	bytes = mallinfo2().uordblks + mallinfo2().hblkhd - before;
	found = find_all(table, n);
	lookups_end = cpu_ns();
	printf("contracts %7zu  bytes/contract %6.0f  offer %8.0f ns  find "
	       "%6.0f ns\n",
	    n, (double)bytes / (double)n,
	    (offers_end - offers_start) / (double)n,
	    (lookups_end - offers_end) / LOOKUPS);
	wv_contract_table_destroy(table);
	return found == LOOKUPS;
}

int
main(int argc, char **argv)
{
	static const size_t sizes[] = {100, 1000, 10000, 100000};
	bool ok = true;

	rcu_register_thread();
	for (int i = 1; i < argc; i++) {
		size_t n = strtoul(argv[i], NULL, 10);

		if (n < 1 || n > MAX_CONTRACTS) {
			fprintf(stderr, "contracts must be from 1 to %d: %s\n",
			    MAX_CONTRACTS, argv[i]);
			return 2;
		}
		ok = run(n) && ok;
	}
	for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++)
		ok = run(sizes[i]) && ok;
	rcu_unregister_thread();
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
