/**
 * @file
 * Explores scenarios of the simulation of jobs, and mutations of them whose
 * fault must be detected.
 */
#ifndef WISTERIAVANE_TEST_JOB_EXPLORE_H
#define WISTERIAVANE_TEST_JOB_EXPLORE_H

#include "test/job_simulation.h"

/** Explores a scenario, which must have no fault. */
static inline void
explore_without_fault(const void *data)
{
	const char *fault = explore_all(&job_model, data, "job", MAX_STATES);

	g_assert_cmpstr(fault, ==, NULL);
}

/** A scenario, a mutation of it and the fault that must be detected. */
struct mutated_scenario {
	const struct scenario *scenario;
	enum mutation mutation;
	const char *fault;
};

/** Checks that a mutation is detected, so that each check can fail. */
static inline void
explore_mutation(const void *data)
{
	const struct mutated_scenario *mutated_scenario = data;
	struct scenario scenario = *mutated_scenario->scenario;
	const char *fault;

	scenario.mutation = mutated_scenario->mutation;
	scenario.only_fault = mutated_scenario->fault;
	fault = explore_all(&job_model, &scenario, "mutated job", MAX_STATES);
	g_assert_cmpstr(fault, ==, mutated_scenario->fault);
}

#endif
