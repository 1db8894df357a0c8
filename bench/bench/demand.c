/**
 * @file
 * Workloads and contracts that the cases of the benchmark start from.
 */
#include "bench/bench/bench.h"

/* Mean service time of a searcher, ms; that of the simulated searcher. */
#define MEAN_SERVICE_TIME 20.0
/* Fraction of the capacity that each rank uses at normal load. */
static const double normal_load[WV_RANK_COUNT] = {0.30, 0.10, 0.10};
const double rank_shares[WV_RANK_COUNT] = {0.5, 0.3, 0.2};
/* Deadline of each rank, ms. */
static const wv_msec rank_deadlines[WV_RANK_COUNT] = {500, 1000, 2000};

/*
 * Rate, burst and concurrency are too high to limit any workload, so that only
 * admission control can stop a flood.
 */
#define UNLIMITED_RANK                                                      \
	"\"rate\": 1000000, \"burst\": 1000000, \"concurrency\": 1000000, " \
	"\"deadline_ms\": 60000, \"coverage_minimum\": 0"
#define UNLIMITED_RANKS                                        \
	"{\"urgent\": {\"share\": 0.5, " UNLIMITED_RANK "}, "  \
	"\"standard\": {\"share\": 0.3, " UNLIMITED_RANK "}, " \
	"\"background\": {\"share\": 0.2, " UNLIMITED_RANK "}}"

double
slot_capacity(const struct sim_shape *shape)
{
	return shape->replicas * shape->slots * 1000.0 / MEAN_SERVICE_TIME;
}

/*
 * Staying within the caps leaves each slot empty for one round trip between
 * two requests.
 */
double
holder_capacity(const struct sim_shape *shape)
{
	const struct sim_deployment *deployment = shape->deployment;
	double round_trip = 0;

	for (uint32_t zone = 0; zone < deployment->zones; zone++)
		round_trip += 2 * sim_one_way_delay(deployment, 0, zone) /
		    deployment->zones;
	return shape->replicas * shape->slots * 1000.0 /
	    (MEAN_SERVICE_TIME + round_trip);
}

/* Coverage minimum 1: a partial answer does not count as served. */
struct sim_workload
normal_workload(const struct sim_shape *shape, const char *contract)
{
	struct sim_workload workload = {
	    .shape = shape, .contract = contract, .seed = 1};

	workload.warm_up = 5000;
	workload.duration = 40000;
	for (int i = 0; i < WV_RANK_COUNT; i++) {
		workload.demand[i].rate = normal_load[i] * slot_capacity(shape);
		workload.demand[i].deadline = rank_deadlines[i];
		workload.demand[i].coverage_minimum = 1;
	}
	return workload;
}

char *
unlimited_contract(const struct sim_shape *shape)
{
	return g_strdup_printf("{\"customer\": \"customer\", "
			       "\"job_retention_s\": 86400, "
			       "\"back_ends\": {\"%s\": {"
			       "\"hedge_budget\": 0.03, "
			       "\"retry_budget\": 0.02, "
			       "\"ranks\": " UNLIMITED_RANKS "}}}",
	    shape->name);
}

/*
 * Without other ranks, the tail latency at normal load is that of the back end
 * alone and not of the competition between ranks.
 */
struct sim_workload
urgent_workload(
    const struct sim_shape *shape, const char *contract, double load)
{
	struct sim_workload workload = normal_workload(shape, contract);

	workload.duration = 120000;
	workload.demand[WV_RANK_STANDARD].rate = 0;
	workload.demand[WV_RANK_BACKGROUND].rate = 0;
	workload.demand[WV_RANK_URGENT].rate = load * slot_capacity(shape);
	return workload;
}

double
urgent_p99(const struct sim_result *result)
{
	return sim_outcome_percentile(&result->ranks[WV_RANK_URGENT], 99);
}
