/**
 * @file
 * Plots two cases over time, the library ("ours") beside the baseline.
 */
#include <errno.h>
#include <math.h>
#include <stdio.h>

#include "bench/bench/bench.h"
#include "bench/bench/svg.h"

/* Length of the time axis, seconds. */
#define PLOT_DURATION 60
/* Width of a bin, seconds. Each bin becomes one point of a plot. */
#define LATENCY_STEP 2
#define COVERAGE_STEP 1
#define MAX_BINS PLOT_DURATION
/* The library and the baseline, in this order. */
#define N_SYSTEMS 2

/* Values of one series, grouped into bins by time of arrival. */
struct samples {
	double step; /* width of a bin, seconds */
	GArray *bins[MAX_BINS]; /* of double; owned */
};

static void
init_samples(struct samples *samples, double step)
{
	samples->step = step;
	for (size_t i = 0; i < MAX_BINS; i++)
		samples->bins[i] = g_array_new(FALSE, FALSE, sizeof(double));
}

static void
clear_samples(struct samples *samples)
{
	for (size_t i = 0; i < MAX_BINS; i++)
		g_array_free(samples->bins[i], TRUE);
}

/* Adds a value to the bin of its arrival, unless that is past the last bin. */
static void
add_sample(struct samples *samples, wv_msec arrival, double value)
{
	size_t i = (size_t)(arrival / 1000 / samples->step);

	if (i < MAX_BINS)
		g_array_append_val(samples->bins[i], value);
}

static void
add_latency(void *data, const struct sim_observation *observation)
{
	struct samples *ranks = data;

	add_sample(&ranks[observation->rank], observation->arrival,
	    observation->latency);
}

static void
add_coverage(void *data, const struct sim_observation *observation)
{
	add_sample(data, observation->arrival, observation->coverage);
}

static void
compute_percentiles(const struct samples *samples, double p, double *values)
{
	for (size_t i = 0; i < MAX_BINS; i++) {
		struct sim_outcome outcome = {.latencies = samples->bins[i]};

		values[i] = sim_outcome_percentile(&outcome, p);
	}
}

static void
compute_means(const struct samples *samples, double *values)
{
	for (size_t i = 0; i < MAX_BINS; i++) {
		const GArray *bin = samples->bins[i];
		double sum = 0;

		for (guint j = 0; j < bin->len; j++)
			sum += g_array_index(bin, double, j);
		values[i] = bin->len > 0 ? sum / bin->len : NAN;
	}
}

/* Runs the library or the baseline for the duration of the plot. */
static void
run_system(struct sim_workload *workload, bool baseline)
{
	struct sim_result result;

	workload->warm_up = 0;
	workload->duration = PLOT_DURATION * 1000.0;
	workload->baseline = baseline;
	sim_workload_run(workload, &result);
	sim_result_clear(&result);
}

/* Writes a chart into a folder; on failure prints the reason. */
static bool
write_chart(const struct svg_chart *chart, const char *folder, const char *name)
{
	char *path = g_build_filename(folder, name, NULL);
	bool ok = svg_write(chart, path);

	if (!ok)
		fprintf(
		    stderr, "cannot write %s: %s\n", path, g_strerror(errno));
	g_free(path);
	return ok;
}

/* Runs the background flood; samples are by system and rank. */
static void run_flood(struct samples (*samples)[WV_RANK_COUNT])
{
	const struct sim_shape *shape = &sim_race_eve;
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = normal_workload(shape, contract);
	struct sim_demand *flood = &workload.demand[WV_RANK_BACKGROUND];

	flood->flood_rate = 10 * slot_capacity(shape);
	flood->flood_from = 20000;
	flood->flood_until = 40000;
	workload.observe = add_latency;
	for (int i = 0; i < N_SYSTEMS; i++) {
		workload.observe_data = samples[i];
		run_system(&workload, i > 0);
	}
	g_free(contract);
}

static bool
plot_flood(const char *folder)
{
	static const double ticks[] = {50, 100, 200, 500, 1000, 2000, 3000};
	static const struct svg_event events[] = {{"background flood", 20, 40}};
	static const char *const names[N_SYSTEMS][WV_RANK_COUNT] = {
	    {"ours, urgent", "ours, standard", "ours, background"},
	    {"baseline, urgent", "baseline, standard", "baseline, background"}};
	/*
	 * The baseline is darker, since the lines may coincide where requests
	 * reach their deadline.
	 */
	static const char *const colours[N_SYSTEMS][WV_RANK_COUNT] = {
	    {"#e6553c", "#3c8ee6", "#45b36b"},
	    {"#7a1f0f", "#123f73", "#14522a"}};
	struct samples samples[N_SYSTEMS][WV_RANK_COUNT];
	double values[N_SYSTEMS][WV_RANK_COUNT][MAX_BINS];
	struct svg_series series[N_SYSTEMS * WV_RANK_COUNT];
	struct svg_chart chart = {
	    .title = "Latency by rank through a background flood",
	    .subtitle = "race-eve desk, demand at all VMs; flood at 10 times "
			"the capacity; a request not served counts with its "
			"deadline",
	    .y_label = "95th percentile of latency per 2 s, ms (log scale)",
	    .y_ticks = ticks,
	    .n_y_ticks = G_N_ELEMENTS(ticks),
	    .log_scale = true,
	    .step = LATENCY_STEP,
	    .duration = PLOT_DURATION,
	    .events = events,
	    .n_events = G_N_ELEMENTS(events),
	    .series = series,
	    .n_series = G_N_ELEMENTS(series)};

	for (int i = 0; i < N_SYSTEMS * WV_RANK_COUNT; i++)
		init_samples(&samples[0][0] + i, LATENCY_STEP);
	run_flood(samples);
	for (int i = 0; i < N_SYSTEMS; i++) {
		for (int j = 0; j < WV_RANK_COUNT; j++) {
			compute_percentiles(&samples[i][j], 95, values[i][j]);
			clear_samples(&samples[i][j]);
			series[i * WV_RANK_COUNT + j] =
			    (struct svg_series){names[i][j], colours[i][j],
				i > 0, values[i][j], MAX_BINS};
		}
	}
	return write_chart(&chart, folder, "latency.svg");
}

/*
 * Marks the first replicas of each service as lost and all others as working.
 * The number lost is of_first_service in the first service and replicas in each
 * other one.
 */
static void
lose_replicas(
    struct sim_back_end *back_end, uint32_t replicas, uint32_t of_first_service)
{
	const struct wv_topology *topology = back_end->topology;

	for (size_t i = 0; i < topology->n_searchers; i++) {
		size_t service = topology->searchers[i].service;
		size_t replica = i - topology->services[service].first_searcher;

		back_end->searchers[i].faults.lost =
		    replica < (service == 0 ? of_first_service : replicas);
	}
}

static void
lose_one_replica(void *data)
{
	lose_replicas(data, 1, 1);
}

static void
lose_two_replicas(void *data)
{
	lose_replicas(data, 2, 2);
}

static void
lose_service(void *data)
{
	lose_replicas(data, 2, 3);
}

static void
restore_all_replicas(void *data)
{
	lose_replicas(data, 0, 0);
}

static void
schedule_losses(struct sim_back_end *back_end)
{
	struct sim *sim = back_end->searchers[0].sim;

	sim_schedule(sim, 10000, lose_one_replica, back_end);
	sim_schedule(sim, 25000, lose_two_replicas, back_end);
	sim_schedule(sim, 40000, lose_service, back_end);
	sim_schedule(sim, 50000, restore_all_replicas, back_end);
}

/* Runs the losses of replicas; samples are by system. */
static void
run_losses(struct samples *samples)
{
	const struct sim_shape *shape = &sim_counter_sales;
	char *contract = unlimited_contract(shape);
	struct sim_workload workload = urgent_workload(shape, contract, 0.2);

	/* Partial answers count as served; the plot shows their coverage. */
	workload.demand[WV_RANK_URGENT].coverage_minimum = 0;
	workload.prepare = schedule_losses;
	workload.observe = add_coverage;
	for (int i = 0; i < N_SYSTEMS; i++) {
		workload.observe_data = &samples[i];
		run_system(&workload, i > 0);
	}
	g_free(contract);
}

static bool
plot_losses(const char *folder)
{
	static const double ticks[] = {0, 0.2, 0.4, 0.6, 0.8, 1};
	static const struct svg_event events[] = {{"1 of 3 lost", 10, 10},
	    {"2 of 3 lost", 25, 25}, {"a service lost", 40, 40},
	    {"all back", 50, 50}};
	struct samples samples[N_SYSTEMS];
	double values[N_SYSTEMS][MAX_BINS];
	const struct svg_series series[N_SYSTEMS] = {
	    {"ours", "#3c8ee6", false, values[0], MAX_BINS},
	    {"baseline", "#7a1f0f", true, values[1], MAX_BINS}};
	struct svg_chart chart = {.title = "Coverage under loss of replicas",
	    .subtitle = "counter sales at 20% load; replicas of every service "
			"are lost, then all of one service; a refusal counts "
			"as 0",
	    .y_label = "mean part of the shards answered, per 1 s",
	    .y_ticks = ticks,
	    .n_y_ticks = G_N_ELEMENTS(ticks),
	    .step = COVERAGE_STEP,
	    .duration = PLOT_DURATION,
	    .events = events,
	    .n_events = G_N_ELEMENTS(events),
	    .series = series,
	    .n_series = G_N_ELEMENTS(series)};

	for (int i = 0; i < N_SYSTEMS; i++)
		init_samples(&samples[i], COVERAGE_STEP);
	run_losses(samples);
	for (int i = 0; i < N_SYSTEMS; i++) {
		compute_means(&samples[i], values[i]);
		clear_samples(&samples[i]);
	}
	return write_chart(&chart, folder, "coverage.svg");
}

int
write_plots(const char *folder)
{
	return plot_flood(folder) && plot_losses(folder) ? 0 : 2;
}
