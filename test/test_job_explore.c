/**
 * @file
 * Explores the orders of events of one job key: lost answers, late writes,
 * deadlines, operators and expiry. Guards against two runs, against "not run"
 * for a job that ran, and against an accepted key that vanishes.
 */
#include "test/job_explore.h"

/* Two VMs claim one key while an answer is lost or a write arrives late. */
static const struct scenario claims = {
    .submits = {1, 1}, .late_writes = 1, .job_refusals = 1};
static const struct scenario losses = {.submits = {1, 1}, .losses = 1};
/* Calls and answers of one VM are lost while the job's deadline passes. */
static const struct scenario deadlines = {
    .submits = {1, 0}, .losses = 1, .late_writes = 1, .advances = 2};
/* An operator resolves a job at any point of its execution. */
static const struct scenario operator_resolutions = {.submits = {1, 0},
    .advances = 2,
    .sweeps = 1,
    .resolutions = 1,
    .time_outs = 1};
/* The key expires at any point, and is submitted again. */
static const struct scenario expiries = {.submits = {1, 1}, .expiries = 1};

static const struct mutated_scenario mutations[] = {
    {&claims, SEND_BEFORE_CLAIM, TWO_RUNS},
    {&operator_resolutions, SEARCHER_IGNORES_EXPIRY, RUN_RECORDED_NOT_RUN},
    {&claims, STORE_IGNORES_VERSION, TWO_RUNS},
    {&deadlines, LOST_WRITE_AS_REFUSED, LEFT_CLAIMED},
    {&operator_resolutions, TIMEOUT_AS_NOT_RUN, RUN_ANSWERED_NOT_RUN},
    {&expiries, RECORD_LOST, KEY_VANISHED},
    {&claims, OUTCOME_DROPPED, UNANSWERED},
    {&claims, OUTCOME_DROPPED, UNFINISHED},
};

int
main(int argc, char **argv)
{
	char path[64];

	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func(
	    "/job-explore/claims", &claims, explore_without_fault);
	g_test_add_data_func(
	    "/job-explore/losses", &losses, explore_without_fault);
	g_test_add_data_func(
	    "/job-explore/deadlines", &deadlines, explore_without_fault);
	g_test_add_data_func(
	    "/job-explore/words", &operator_resolutions, explore_without_fault);
	g_test_add_data_func(
	    "/job-explore/expiries", &expiries, explore_without_fault);
	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		g_snprintf(path, sizeof(path), "/job-explore/mutation/%zu", i);
		g_test_add_data_func(path, &mutations[i], explore_mutation);
	}
	return g_test_run();
}
