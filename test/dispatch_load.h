/**
 * @file
 * Load generator for the dispatch simulation, with statistics of the results.
 */
#ifndef WISTERIAVANE_TEST_DISPATCH_LOAD_H
#define WISTERIAVANE_TEST_DISPATCH_LOAD_H

#include "dispatch_simulation.h"

/** Number of requests of a run, and the mean interval between them. */
#define REQUESTS 600
#define REQUEST_INTERVAL_MS 10.0

/** Statistics of the results of a run. */
struct load_stats {
	unsigned full; /* answered with all parts within the objective */
	unsigned in_target; /* answered within the latency objective, 100 ms */
	unsigned served; /* answered */
	unsigned refused;
	unsigned refused_at_once; /* refused within a tenth of the objective */
	unsigned attempts;
	unsigned extra;
};

static inline void
add_result(const struct simulation_result *result, struct load_stats *stats)
{
	bool good =
	    result->kind == WV_RESULT_PARTS || result->kind == WV_RESULT_RELAY;

	g_assert_true(result->done);
	stats->served += good;
	stats->refused += result->kind == WV_RESULT_REFUSED;
	stats->refused_at_once +=
	    result->kind == WV_RESULT_REFUSED && result->elapsed <= 10;
	stats->in_target += good && result->elapsed <= 100;
	stats->full += good && result->elapsed <= 100 && result->parts == 10;
	stats->attempts += result->attempts;
	stats->extra += result->extra;
}

/*
 * Sends requests in bursts of the given size at a constant mean rate, calls
 * before_request before each one, and returns the statistics.
 */
static inline struct load_stats
run_load(struct simulation *simulation, unsigned route, unsigned burst,
    void (*before_request)(struct simulation *simulation, unsigned i))
{
	struct simulation_result *results =
	    g_new0(struct simulation_result, REQUESTS);
	struct load_stats stats = {0};

	for (unsigned i = 0; i < REQUESTS; i++) {
		before_request(simulation, i);
		simulation_submit(simulation, route, 1500, &results[i]);
		if (i % burst == burst - 1)
			simulation_run(simulation, REQUEST_INTERVAL_MS * burst);
	}
	simulation_run(simulation, 2000);
	for (unsigned i = 0; i < REQUESTS; i++)
		add_result(&results[i], &stats);
	g_free(results);
	return stats;
}

#endif
