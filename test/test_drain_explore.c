/**
 * @file
 * Exhaustive exploration of event orders in a planned stop under load: address
 * answers by this VM and by a peer, late callers, requests in progress, a
 * lease and its hand-over, late ticks of the control thread. No request may
 * be refused before the last address answer has expired, and none may be
 * aborted.
 */
/* Included for access to the members of struct wv_drain. */
#include "src/drain.c" /* NOLINT(bugprone-suspicious-include) */
#include "test/explore.h"

/* Duration of a step of the model, in ms. */
#define STEP 100.0
/* Address lifetime and spread time, in steps. */
#define LIFETIME 3
#define SPREAD 2
/* Maximum number of requests in progress. */
#define MAX_REQUESTS 2
/* Saturation value of since_begin, in steps. */
#define MAX_SINCE_BEGIN 100

/* Deliberate faults that the checks must detect. */
enum mutation {
	NO_MUTATION,
	NO_SPREAD_TIME, /* starts the lifetime at the withdrawal */
	STILL_ADVERTISED, /* gives out the address after the withdrawal */
	EXITS_WITH_WORK, /* ignores requests in progress */
	EXITS_WITH_LEASE, /* ignores leases */
	REFUSES_WITH_LEASE /* refuses while peers still forward to it */
};

/* All members are bytes, so that there is no padding to compare. */
struct state {
	int8_t stage;
	int8_t since_begin; /* steps since draining started */
	int8_t peer_knows; /* whether the peer knows of the withdrawal */
	int8_t answer_steps; /* until the latest answer expires, or -1 */
	int8_t requests; /* number in progress */
	int8_t lease; /* whether this VM holds the lane */
};

struct model {
	enum mutation mutation;
	struct explorer *explorer;
	const char *violation;
};

/* Creates the drain that corresponds to a state. */
static struct wv_drain
create_drain(const struct state *state, enum mutation mutation)
{
	struct wv_drain drain = {
	    .address_lifetime = LIFETIME * STEP,
	    .spread_time = mutation == NO_SPREAD_TIME ? 0 : SPREAD * STEP,
	    .began = 0,
	    .stage = (enum wv_drain_stage)state->stage,
	};

	return drain;
}

/* Returns whether the time limit for the hand-over of leases has passed. */
static bool
is_handover_overdue(const struct state *state)
{
	return state->since_begin > SPREAD + 2 * LIFETIME;
}

/* Checks that a request is accepted if its caller or peer may send it. */
static void
check_arrival(struct model *model, struct state state)
{
	struct wv_drain drain = create_drain(&state, model->mutation);

	if (state.answer_steps >= 0 && !wv_drain_is_accepting(&drain))
		model->violation = "refused a caller with a valid address";
	if (state.lease && !wv_drain_is_accepting(&drain) &&
	    !is_handover_overdue(&state))
		model->violation = "refused a request that a peer forwarded";
	if (!wv_drain_is_accepting(&drain) || state.requests == MAX_REQUESTS)
		return;
	if (state.answer_steps < 0 && !state.lease)
		return;
	state.requests++;
	explorer_add(model->explorer, &state);
}

static void
check_stopped(struct model *model, const struct state *state)
{
	if (state->stage != WV_DRAIN_STOPPED)
		return;
	if (state->requests > 0)
		model->violation = "stopped with a request in progress";
	if (state->lease)
		model->violation = "stopped with a lease";
}

static void
step_time(struct model *model, struct state state)
{
	if (state.answer_steps >= 0)
		state.answer_steps--;
	if (state.stage != WV_DRAIN_SERVING &&
	    state.since_begin < MAX_SINCE_BEGIN)
		state.since_begin++;
	/* All peers know of a withdrawal after the spread time. */
	if (state.since_begin >= SPREAD)
		state.peer_knows = 1;
	explorer_add(model->explorer, &state);
}

static void
step_tick(struct model *model, struct state state)
{
	struct wv_drain drain = create_drain(&state, model->mutation);
	size_t requests = (size_t)state.requests;
	size_t leases = (size_t)state.lease;

	if (model->mutation == EXITS_WITH_WORK)
		requests = 0;
	if (model->mutation == EXITS_WITH_LEASE ||
	    (model->mutation == REFUSES_WITH_LEASE &&
		state.stage == WV_DRAIN_WITHDRAWN))
		leases = 0;
	state.stage = (int8_t)wv_drain_advance(
	    &drain, state.since_begin * STEP, requests, leases);
	explorer_add(model->explorer, &state);
}

/* Gives out the address, from this VM or from the peer. */
static void
step_answer(struct model *model, struct state state, bool peer)
{
	struct wv_drain drain = create_drain(&state, model->mutation);
	bool advertised = wv_drain_is_advertised(&drain) ||
	    (model->mutation == STILL_ADVERTISED &&
		state.stage == WV_DRAIN_WITHDRAWN);

	if (peer ? state.peer_knows : !advertised)
		return;
	if (state.stage == WV_DRAIN_STOPPED)
		return;
	state.answer_steps = LIFETIME;
	explorer_add(model->explorer, &state);
}

/* Checks a state and adds all states that one event leads to. */
static void
expand(struct model *model, struct state state)
{
	const struct wv_drain drain = create_drain(&state, model->mutation);
	struct wv_drain begun = drain;
	struct state next = state;

	check_stopped(model, &state);
	step_time(model, state);
	step_tick(model, state);
	step_answer(model, state, false);
	step_answer(model, state, true);
	if (state.stage != WV_DRAIN_STOPPED)
		check_arrival(model, state);
	else if (state.answer_steps >= 0)
		model->violation = "stopped while an address was valid";
	if (state.stage == WV_DRAIN_SERVING) {
		wv_drain_begin(&begun, 0);
		next.stage = (int8_t)begun.stage;
		explorer_add(model->explorer, &next);
	}
	next = state;
	if (state.requests > 0) {
		next.requests--;
		explorer_add(model->explorer, &next);
	}
	next = state;
	if (state.lease && !wv_drain_may_hold_leases(&drain)) {
		next.lease = 0;
		explorer_add(model->explorer, &next);
	}
	next = state;
	if (!state.lease && wv_drain_may_hold_leases(&drain)) {
		next.lease = 1;
		explorer_add(model->explorer, &next);
	}
}

/* Explores all states; returns the first violation, or NULL. */
static const char *
explore(enum mutation mutation, size_t *n)
{
	struct model model = {
	    mutation, explorer_create(sizeof(struct state), 1000000), NULL};
	struct state state = {.answer_steps = -1};

	explorer_add(model.explorer, &state);
	while (model.violation == NULL && explorer_next(model.explorer, &state))
		expand(&model, state);
	g_assert_false(model.explorer->truncated);
	*n = model.explorer->n_states;
	explorer_destroy(model.explorer);
	return model.violation;
}

/* A planned stop must not refuse or abort requests. */
static void
test_all_orders(void)
{
	size_t n;

	g_assert_cmpstr(explore(NO_MUTATION, &n), ==, NULL);
	g_test_message("drain: %zu states", n);
}

/* Each mutation must be detected, or the checks would prove nothing. */
static void
test_mutations(void)
{
	const char *violation;
	size_t n;

	for (int i = NO_SPREAD_TIME; i <= REFUSES_WITH_LEASE; i++) {
		violation = explore((enum mutation)i, &n);
		g_test_message("drain: mutation %d: %s (%zu states)", i,
		    violation != NULL ? violation : "not found", n);
		g_assert_nonnull(violation);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain-explore/all", test_all_orders);
	g_test_add_func("/drain-explore/mutations", test_mutations);
	return g_test_run();
}
