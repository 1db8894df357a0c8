/**
 * @file
 * Declarations that the source files of the benchmark share.
 */
#ifndef BENCH_BENCH_BENCH_H
#define BENCH_BENCH_BENCH_H

#include "bench/driver/workload.h"

/** How a measured value is compared with its bound. */
enum bound_kind { AT_MOST, AT_LEAST, NO_BOUND };

/** Output format of the report and totals over its lines. */
struct report {
	bool json; /**< print a JSON array instead of a table */
	int lines; /**< lines printed, counted for JSON only */
	int failures; /**< lines whose value violates its bound */
	double searchers_over_cap; /**< sum over the library's runs */
	double searchers_over_cap_baseline; /**< the same of the baseline */
};

/** Share of each rank, as written in unlimited_contract(). */
extern const double rank_shares[WV_RANK_COUNT];

/**
 * Prints one line of the report and counts it as a failure if the value
 * violates its bound.
 *
 * @param baseline  value of the baseline in the same case, or NAN for none
 * @param bound     ignored if kind is NO_BOUND
 */
void report_line(struct report *report, const char *name, double value,
    const char *unit, double baseline, enum bound_kind kind, double bound);

/** Prints one line whose name begins with the name of the back end. */
void report_back_end(struct report *report, const struct sim_shape *shape,
    const char *metric, double value, const char *unit, double baseline,
    enum bound_kind kind, double bound);

/** Queries per second that keep all slots of a back end busy. */
double slot_capacity(const struct sim_shape *shape);

/** Queries per second that a lane holder can run without exceeding caps. */
double holder_capacity(const struct sim_shape *shape);

/**
 * Returns a workload of all ranks at normal load ("calm" in line names), half
 * of the capacity in total. Only full answers count as served.
 */
struct sim_workload normal_workload(
    const struct sim_shape *shape, const char *contract);

/** Returns a workload of urgent requests only; load 1 is the capacity. */
struct sim_workload urgent_workload(
    const struct sim_shape *shape, const char *contract, double load);

/**
 * Returns the JSON text of a contract whose rates are too high to limit any
 * workload. Free it with g_free().
 */
char *unlimited_contract(const struct sim_shape *shape);

/** Returns the 99th percentile of the latency of urgent requests, ms. */
double urgent_p99(const struct sim_result *result);

/**
 * Runs urgent requests over a number of services, so that the instructions for
 * each shard request can be counted.
 *
 * @param count  number of services, in decimal
 * @return the exit status
 */
int run_query_cost(const char *count);

/**
 * Runs heartbeat rounds of one VM among a number of VMs, so that the
 * instructions for each round can be counted.
 *
 * @param count  number of VMs, in decimal
 * @return the exit status
 */
int run_heartbeat_cost(const char *count);

/** Prints lines that compare the policies for dividing a searcher's slots. */
void compare_policies(struct report *report);

/** Writes the plots as SVG files into a folder; returns the exit status. */
int write_plots(const char *folder);

#endif
