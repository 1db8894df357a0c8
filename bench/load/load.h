/**
 * @file
 * Declarations that the source files of the load tool share.
 */
#ifndef WISTERIAVANE_BENCH_LOAD_H
#define WISTERIAVANE_BENCH_LOAD_H

#include <glib.h>

#include "http/client.h"
#include "http/json.h"

/** Timeout of a request for addresses or for the runs at a searcher, ms. */
#define LOOKUP_TIMEOUT 2000.0
/** Exit code when an answer to a caller was wrong. */
#define EXIT_INTEGRITY_FAILURE 4

/** State of a job as reported to its caller. */
enum reported_state { JOB_NONE, JOB_DONE, JOB_NOT_RUN, JOB_UNKNOWN };

/** One stream of requests in the plan, with its counts. */
struct stream {
	const char *customer;
	const char *back_end;
	const char *rank;
	const char *text; /**< query or payload */
	bool job; /**< sends jobs, else searches */
	double rate; /**< requests per second */
	double deadline; /**< ms */
	double coverage_minimum;
	GRand *random; /**< for arrivals; seeded by the plan */
	double next_start; /**< intended start of the next request, ms */
	uint64_t offered; /**< requests started */
	uint64_t ok;
	uint64_t full; /**< searches with a full answer */
	uint64_t not_run; /**< answers that say that nothing ran */
	uint64_t broken; /**< connection broke after the request was sent */
	uint64_t timed_out;
	uint64_t unreachable; /**< could not be sent to any address */
	uint64_t retries; /**< attempts at a further address */
	uint64_t mixed_snapshots; /**< answers with hits of another snapshot */
	double coverage_sum; /**< of the answers counted below */
	uint64_t coverage_count;
	GArray *latencies; /**< of double, ms; answered requests only */
	GHashTable *codes; /**< name of a code to guint64 count */
};

/** Cached addresses of VMs for one customer. */
struct address_cache {
	GPtrArray *addresses; /**< of char * */
	double valid_until; /**< ms */
	bool refreshing; /**< a request for addresses is in progress */
};

/** The whole run. Times are those of the monotonic clock, ms. */
struct load_run {
	JsonNode *plan; /**< streams borrow its strings */
	struct wv_http_client *client;
	GPtrArray *initial_addresses; /**< of char *, from the command line */
	GPtrArray *searchers; /**< one address of each searcher process */
	GPtrArray *streams; /**< of struct stream */
	GHashTable *address_caches; /**< customer to struct address_cache */
	GHashTable *jobs; /**< key to enum reported_state */
	GRand *random; /**< for the choice among addresses */
	double start_time;
	double seconds; /**< duration of the arrivals */
	uint64_t requests; /**< started */
	uint64_t pending; /**< not yet ended */
	double next_progress; /**< time of the next progress line */
};

/**
 * Compares the answers to callers with the runs that the searchers counted,
 * prints a summary and writes the JSON report.
 *
 * @param path  file of the report, or NULL for none
 * @return the exit code: EXIT_SUCCESS, EXIT_FAILURE if the report could not be
 *     written, or EXIT_INTEGRITY_FAILURE
 */
int report_results(struct load_run *load, const char *path);

#endif
