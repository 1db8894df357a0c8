/**
 * @file
 * Exhaustive depth-first exploration of event orders. A state is reached by
 * replaying its events from the start; a state that was reached before is not
 * explored again.
 */
#ifndef WISTERIAVANE_TEST_EXPLORE_MODEL_H
#define WISTERIAVANE_TEST_EXPLORE_MODEL_H

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** Limit on the number of events of one order; the test fails at it. */
#define EXPLORE_MAX_DEPTH 64
/** Maximum number of events that are possible in one state. */
#define EXPLORE_MAX_EVENTS 32

/** One event; the model defines its meaning. */
struct explore_event {
	int kind;
	int arg;
};

/** A model. The functions take the simulation that create() returned. */
struct explore_model {
	/** Creates a simulation in its first state. */
	void *(*create)(const void *scenario);
	void (*destroy)(void *simulation);
	/** Lists the events possible in this state; returns their number. */
	size_t (*list_events)(void *simulation, struct explore_event *events);
	/** Lets an event happen. */
	void (*apply)(void *simulation, struct explore_event event);
	/** Returns a fault of the current state, as static text, or NULL. */
	const char *(*check)(void *simulation);
	/**
	 * Completes everything that is in progress, without further failures;
	 * returns a fault, or NULL.
	 */
	const char *(*finish)(void *simulation);
	/**
	 * Appends everything that later events depend on. States with the same
	 * text count as one.
	 */
	void (*describe)(void *simulation, GString *out);
	/** Returns the name of an event, for the trace. */
	const char *(*name)(struct explore_event event);
};

/** One exploration. */
struct explore {
	const struct explore_model *model;
	const void *scenario;
	GHashTable *seen; /**< hashes of the state descriptions */
	struct explore_event path[EXPLORE_MAX_DEPTH];
	size_t depth; /**< number of events of path */
	uint64_t states, events;
	uint64_t ends; /**< calls of finish() */
	size_t max_states; /**< the test fails above this number */
	const char *fault; /**< static text of the first fault */
	GString *trace; /**< names of the events that lead to the fault */
};

/** Stores a fault and the events that led to it. */
static inline void
explore_fail(struct explore *run, const char *fault)
{
	run->fault = fault;
	for (size_t i = 0; i < run->depth; i++)
		g_string_append_printf(run->trace, " %s/%d",
		    run->model->name(run->path[i]), run->path[i].arg);
}

/** Returns a new simulation after the events of the current path. */
static inline void *
explore_replay(struct explore *run)
{
	void *simulation = run->model->create(run->scenario);

	for (size_t i = 0; i < run->depth; i++) {
		run->model->apply(simulation, run->path[i]);
		run->events++;
	}
	return simulation;
}

/** Adds a state to those that were reached; returns whether it is new. */
static inline bool
explore_add_state(struct explore *run, void *simulation)
{
	GString *text = g_string_new(NULL);
	struct wv_string bytes;
	uint64_t *hash = g_new(uint64_t, 1);

	run->model->describe(simulation, text);
	bytes.data = text->str;
	bytes.length = text->len;
	*hash = wv_string_hash(bytes);
	g_string_free(text, TRUE);
	return g_hash_table_add(run->seen, hash);
}

/*
 * Explores all orders that continue the current path. The depth is bounded by
 * EXPLORE_MAX_DEPTH. NOLINTNEXTLINE(misc-no-recursion)
 */
static inline void
explore_from(struct explore *run)
{
	struct explore_event events[EXPLORE_MAX_EVENTS];
	void *simulation = explore_replay(run);
	const char *fault = run->model->check(simulation);
	size_t n = 0;

	if (fault == NULL && explore_add_state(run, simulation)) {
		run->states++;
		n = run->model->list_events(simulation, events);
		fault = run->model->finish(simulation);
		run->ends++;
	}
	run->model->destroy(simulation);
	if (fault != NULL)
		explore_fail(run, fault);
	g_assert_cmpuint(run->states, <=, run->max_states);
	g_assert_cmpuint(run->depth, <, EXPLORE_MAX_DEPTH);
	for (size_t i = 0; i < n && run->fault == NULL; i++) {
		run->path[run->depth++] = events[i];
		explore_from(run);
		run->depth--;
	}
}

/**
 * Explores all orders of a scenario's events up to the first fault, and prints
 * the number of states.
 *
 * @param name  of the scenario, in the output
 * @return the first fault, as static text, or NULL
 */
static inline const char *
explore_all(const struct explore_model *model, const void *scenario,
    const char *name, size_t max_states)
{
	struct explore run = {
	    .model = model, .scenario = scenario, .max_states = max_states};

	run.seen =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	run.trace = g_string_new(NULL);
	explore_from(&run);
	g_test_message("%s: %" G_GUINT64_FORMAT " states, %" G_GUINT64_FORMAT
		       " events%s%s%s",
	    name, run.states, run.events, run.fault == NULL ? "" : "; fault: ",
	    run.fault == NULL ? "" : run.fault, run.trace->str);
	g_hash_table_destroy(run.seen);
	g_string_free(run.trace, TRUE);
	return run.fault;
}

#endif
