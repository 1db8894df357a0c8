/**
 * @file
 * Explores the orders of events of one job key while a VM is paused or
 * replaced, another one sweeps and claims, and an operator resolves the job.
 * Guards against two runs and against "not run" for a job that ran.
 */
#include "test/job_explore.h"

/* A VM is paused; another one sweeps and claims; an operator resolves. */
static const struct scenario resolutions = {.submits = {1, 1},
    .advances = 2,
    .sweeps = 1,
    .resolutions = 1,
    .instant_reads = true};
/* A VM is replaced between any two events. */
static const struct scenario restarts = {.submits = {2, 0},
    .advances = 2,
    .restarts = 1,
    .sweeps = 1,
    .instant_reads = true};

static const struct mutated_scenario mutations[] = {
    {&resolutions, SEND_AFTER_PAUSE, TWO_RUNS},
    {&resolutions, SEARCHER_IGNORES_EXPIRY, TWO_RUNS},
};

int
main(int argc, char **argv)
{
	char path[64];

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func(
	    "/job-explore/resolutions", &resolutions, explore_without_fault);
	g_test_add_data_func(
	    "/job-explore/restarts", &restarts, explore_without_fault);
	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		g_snprintf(path, sizeof(path), "/job-explore/mutation/%zu", i);
		g_test_add_data_func(path, &mutations[i], explore_mutation);
	}
	return g_test_run();
}
