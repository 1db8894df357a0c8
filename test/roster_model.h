/**
 * @file
 * Model of a lease during a change of the roster. It explores every order of
 * events: VMs adopt the new roster at any time or never, receive each other's
 * heartbeats or not, claims arrive or not, and time advances in coarse steps.
 * Two VMs must never hold the lease of the lane at the same time.
 *
 * A claim and its answer take no time in this model. A delay or a lost answer
 * shortens the lease and not the grant; test_lease_explore.c covers both.
 */
#ifndef WISTERIAVANE_TEST_ROSTER_MODEL_H
#define WISTERIAVANE_TEST_ROSTER_MODEL_H

/* The model reads and writes private fields of the roster. */
#include "src/roster.c" /* NOLINT(bugprone-suspicious-include) */
#include "test/explore.h"

#define VMS 5
#define CLAIMANTS 2
#ifdef __SANITIZE_ADDRESS__
#define SANITIZED true
#define MAX_STATES 20000
#else
#define SANITIZED false
#define MAX_STATES 8000000
#endif
/*
 * One step of time, ms. A lease covers the step in which its claim was sent
 * and the next one. A grant and WV_ROSTER_GRACE_TIME cover exactly 2 steps,
 * WV_ROSTER_TRANSITION_TIME covers 4 steps.
 */
#define STEP 600.0
#define LEASE_STEPS 2
#define GRACE_STEPS 2
#define TRANSITION_STEPS 4
/* Whole steps in WV_DEAD_AFTER, after which a VM may be removed. */
#define SILENT_STEPS 3
#define NOW (100 * STEP)
/* Combinations of the ages of all grants: LEASE_STEPS + 1 to the power VMS. */
#define AGE_COMBINATIONS 243

enum mutation {
	NO_MUTATION,
	IGNORES_PREVIOUS_ROSTERS, /* a lease needs only the current one */
	RETIRES_BY_TIME, /* retires without waiting for other VMs to adopt */
	RETIRES_AT_ONCE, /* retires as soon as enough VMs have adopted */
	GRANTS_UNDER_OLD_ROSTERS, /* does not check the claim's digest */
	GRANTS_TO_NEW_VMS, /* does not check previous rosters */
	REMOVED_VM_KEEPS_RUNNING /* against the assumption in roster.h */
};

/* A change of the roster; in before and after, bit i stands for VM i. */
struct change {
	const char *name;
	uint8_t before;
	uint8_t after;
	int claimants[CLAIMANTS];
	int interchangeable[2]; /* VMs that behave the same, or one twice */
};

/* State of one VM. All fields are bytes, so that there is no padding. */
struct vm_state {
	int8_t adopted; /* the new roster is its current one */
	int8_t adopted_age; /* steps since it adopted it, at most GRACE_STEPS */
	int8_t unused_age; /* steps since enough VMs adopted it, or -1 */
	int8_t retired; /* the old roster no longer counts */
	int8_t reported; /* VMs known to have adopted the new roster, as bits */
	int8_t holder; /* claimant with the grant, -1 for none */
	int8_t grant_steps; /* steps until the grant expires */
};

/* State of all VMs. */
struct state {
	struct vm_state vm_states[VMS];
	int8_t grant_ages[CLAIMANTS][VMS]; /* in steps, -1 for none */
	int8_t stopped_age; /* steps since removed VMs stopped, -1 if not yet */
};

/* One exploration. */
struct model {
	enum mutation mutation;
	const struct change *change;
	struct explorer *explorer;
	bool violated; /* two claimants held the lease in one state */
	/* Caches by what the results depend on: 0 unknown, 1 yes, -1 no. */
	int8_t has_lease[CLAIMANTS][2][2][AGE_COMBINATIONS];
	int8_t grants[VMS][CLAIMANTS][2][2][2][GRACE_STEPS + 1];
};

static const char *const names[VMS] = {"a", "b", "c", "d", "e"};

static size_t
list_vms(uint8_t mask, struct wv_candidate *list)
{
	size_t n = 0;

	for (int i = 0; i < VMS; i++) {
		if (!(mask & (1 << i)))
			continue;
		list[n].name = wv_string_borrow(names[i]);
		list[n++].zone = wv_string_borrow("z");
	}
	return n;
}

static uint64_t
digest_of(uint8_t mask)
{
	struct wv_candidate list[VMS];
	size_t n = list_vms(mask, list);

	return digest_vms(list, n);
}

static bool
is_in_old_roster(const struct change *change, int vm)
{
	return (change->before & (1 << vm)) != 0;
}

/* Returns whether a VM runs. VMs stop before they are removed. */
static bool
is_running(const struct model *model, const struct state *state, int vm)
{
	if (model->change->after & (1 << vm))
		return true;
	return state->stopped_age < 0 ||
	    model->mutation == REMOVED_VM_KEEPS_RUNNING;
}

/* Creates the roster of a VM at the time NOW. */
static struct wv_roster *
load_roster(const struct model *model, const struct state *state, int vm)
{
	const struct vm_state *vm_state = &state->vm_states[vm];
	struct wv_roster *roster =
	    wv_roster_create(wv_string_borrow(names[vm]), 0);
	struct wv_candidate list[VMS];
	size_t n;

	if (is_in_old_roster(model->change, vm)) {
		n = list_vms(model->change->before, list);
		wv_roster_update(roster, 1, list, n);
		roster->grace_over = true;
	}
	n = list_vms(model->change->after, list);
	if (vm_state->adopted)
		wv_roster_update(
		    roster, NOW - vm_state->adopted_age * STEP, list, n);
	roster->grace_over = true;
	for (int i = 0; i < VMS; i++) {
		if (vm_state->reported & (1 << i))
			wv_roster_set_reported_digest(roster,
			    wv_string_borrow(names[i]),
			    digest_of(model->change->after));
	}
	if (roster->previous->len > 0) {
		previous_set(roster, 0)->unused_since = vm_state->unused_age < 0
		    ? WV_MSEC_NEVER
		    : NOW - vm_state->unused_age * STEP;
		if (vm_state->retired)
			retire_set(roster, 0);
	}
	return roster;
}

/* Retires the previous roster of a VM if its transition is over. */
static void
tick_roster(struct model *model, struct state *state, int vm)
{
	struct vm_state *vm_state = &state->vm_states[vm];
	struct wv_roster *roster;
	struct wv_candidate list[VMS];
	size_t n;

	if (!vm_state->adopted || vm_state->retired ||
	    !is_in_old_roster(model->change, vm))
		return;
	roster = load_roster(model, state, vm);
	if (model->mutation == RETIRES_BY_TIME && vm_state->unused_age < 0)
		previous_set(roster, 0)->unused_since = NOW;
	n = list_vms(model->change->after, list);
	wv_roster_update(roster, NOW, list, n);
	vm_state->retired = roster->previous->len == 0;
	if (!vm_state->retired) {
		vm_state->unused_age =
		    previous_set(roster, 0)->unused_since == WV_MSEC_NEVER
		    ? -1
		    : (int8_t)((NOW - previous_set(roster, 0)->unused_since) /
			  STEP);
		if (model->mutation == RETIRES_AT_ONCE &&
		    vm_state->unused_age >= 0)
			vm_state->retired = 1;
	}
	if (vm_state->retired)
		vm_state->unused_age = 0;
	wv_roster_destroy(roster);
}

static bool
compute_has_lease(
    const struct model *model, const struct state *state, int claimant)
{
	int vm = model->change->claimants[claimant];
	struct wv_roster *roster;
	struct wv_lease *lease;
	struct wv_vm_id id = {.incarnation = 1};
	bool result;

	roster = load_roster(model, state, vm);
	lease = wv_lease_create(wv_string_borrow("l/0"));
	if (model->mutation == IGNORES_PREVIOUS_ROSTERS)
		g_array_set_size(roster->previous, 0);
	for (int i = 0; i < VMS; i++) {
		id.name = wv_string_borrow(names[i]);
		if (state->grant_ages[claimant][i] >= 0)
			wv_lease_add_grant(lease, id,
			    NOW - state->grant_ages[claimant][i] * STEP);
	}
	result = wv_roster_lease_expiry(roster, lease) > NOW;
	wv_lease_destroy(lease);
	wv_roster_destroy(roster);
	return result;
}

/* Returns whether the claimant runs and holds the lease. */
static bool
has_lease(struct model *model, const struct state *state, int claimant)
{
	int vm = model->change->claimants[claimant];
	const struct vm_state *vm_state = &state->vm_states[vm];
	int grant_ages = 0;
	int8_t *cached;

	if (!is_running(model, state, vm))
		return false;
	for (int i = 0; i < VMS; i++)
		grant_ages = grant_ages * (LEASE_STEPS + 1) +
		    state->grant_ages[claimant][i] + 1;
	cached = &model->has_lease[claimant][vm_state->adopted]
				  [vm_state->retired][grant_ages];
	if (*cached == 0)
		*cached = compute_has_lease(model, state, claimant) ? 1 : -1;
	return *cached > 0;
}

/*
 * Returns whether the previous roster of a VM has no effect: the VM has none,
 * or neither it nor a VM outside the old roster claims.
 */
static bool
is_previous_irrelevant(const struct change *change, int vm)
{
	if (!is_in_old_roster(change, vm))
		return true;
	for (int i = 0; i < CLAIMANTS; i++) {
		if (change->claimants[i] == vm ||
		    !is_in_old_roster(change, change->claimants[i]))
			return false;
	}
	return true;
}

static int8_t
swap_bits(int8_t bits, int a, int b)
{
	bool has_a = bits & (1 << a);
	bool has_b = bits & (1 << b);

	bits &= (int8_t) ~((1 << a) | (1 << b));
	return (int8_t)(bits | (has_a << b) | (has_b << a));
}

/* Puts two VMs that behave the same into a fixed order. */
static void
sort_interchangeable(struct state *state, int a, int b)
{
	struct state swapped = *state;

	swapped.vm_states[a] = state->vm_states[b];
	swapped.vm_states[b] = state->vm_states[a];
	for (int i = 0; i < VMS; i++)
		swapped.vm_states[i].reported =
		    swap_bits(swapped.vm_states[i].reported, a, b);
	for (int i = 0; i < CLAIMANTS; i++) {
		swapped.grant_ages[i][a] = state->grant_ages[i][b];
		swapped.grant_ages[i][b] = state->grant_ages[i][a];
	}
	if (memcmp(&swapped, state, sizeof(swapped)) < 0)
		*state = swapped;
}

/*
 * Clears values that can no longer have an effect, adds the state and checks
 * that at most one VM holds the lease.
 */
static void
add_state(struct model *model, struct state *state)
{
	struct vm_state *vm_state;

	for (int i = 0; i < VMS; i++) {
		vm_state = &state->vm_states[i];
		if (vm_state->retired || vm_state->unused_age >= 0)
			vm_state->reported = 0;
		if (is_previous_irrelevant(model->change, i)) {
			vm_state->reported = 0;
			vm_state->unused_age = -1;
			vm_state->retired = 0;
		}
	}
	sort_interchangeable(state, model->change->interchangeable[0],
	    model->change->interchangeable[1]);
	if (has_lease(model, state, 0) && has_lease(model, state, 1))
		model->violated = true;
	explorer_add(model->explorer, state);
}

/* Advances time by one step. */
static void
advance_time(struct model *model, struct state state)
{
	struct vm_state *vm_state;

	for (int i = 0; i < VMS; i++) {
		vm_state = &state.vm_states[i];
		if (vm_state->adopted && vm_state->adopted_age < GRACE_STEPS)
			vm_state->adopted_age++;
		if (vm_state->unused_age >= 0 && !vm_state->retired)
			vm_state->unused_age++;
		if (vm_state->grant_steps > 0 && --vm_state->grant_steps == 0)
			vm_state->holder = -1;
		for (int j = 0; j < CLAIMANTS; j++) {
			if (state.grant_ages[j][i] >= 0 &&
			    ++state.grant_ages[j][i] >= LEASE_STEPS)
				state.grant_ages[j][i] = -1;
		}
	}
	if (state.stopped_age >= 0 && state.stopped_age < SILENT_STEPS)
		state.stopped_age++;
	for (int i = 0; i < VMS; i++)
		tick_roster(model, &state, i);
	add_state(model, &state);
}

static bool
compute_grant(const struct model *model, const struct state *state, int voter,
    int from, bool adopted)
{
	struct wv_roster *roster = load_roster(model, state, voter);
	uint64_t digest =
	    digest_of(adopted ? model->change->after : model->change->before);
	bool result;

	if (model->mutation == GRANTS_UNDER_OLD_ROSTERS)
		digest = wv_roster_digest(roster);
	if (model->mutation == GRANTS_TO_NEW_VMS && roster->previous->len > 0)
		retire_set(roster, 0);
	result = wv_roster_may_grant(
	    roster, NOW, wv_string_borrow(names[from]), digest);
	wv_roster_destroy(roster);
	return result;
}

static bool
may_grant(struct model *model, const struct state *state, int voter,
    int claimant, bool adopted)
{
	const struct vm_state *vm_state = &state->vm_states[voter];
	int8_t *cached =
	    &model->grants[voter][claimant][adopted][vm_state->adopted]
			  [vm_state->retired][vm_state->adopted_age];

	if (*cached == 0)
		*cached = compute_grant(model, state, voter,
			      model->change->claimants[claimant], adopted)
		    ? 1
		    : -1;
	return *cached > 0;
}

/* Delivers a claim and its grant at once. */
static void
step_claim(struct model *model, struct state state, int claimant, int voter)
{
	int from = model->change->claimants[claimant];
	struct vm_state *vm_state = &state.vm_states[voter];

	if (!is_running(model, &state, voter) ||
	    !is_running(model, &state, from) ||
	    (vm_state->holder >= 0 && vm_state->holder != claimant) ||
	    !may_grant(
		model, &state, voter, claimant, state.vm_states[from].adopted))
		return;
	vm_state->holder = (int8_t)claimant;
	vm_state->grant_steps = LEASE_STEPS;
	state.grant_ages[claimant][voter] = 0;
	add_state(model, &state);
}

/*
 * A VM adopts the new roster. If VMs are removed, they have stopped and been
 * silent for SILENT_STEPS before.
 */
static void
step_adopt(struct model *model, struct state state, int vm)
{
	bool removes = (model->change->before & ~model->change->after) != 0;

	if (state.vm_states[vm].adopted || !is_running(model, &state, vm) ||
	    !(model->change->after & (1 << vm)))
		return;
	if (removes && state.stopped_age < SILENT_STEPS)
		return;
	state.vm_states[vm].adopted = 1;
	tick_roster(model, &state, vm);
	add_state(model, &state);
}

/* One VM receives the digest of another one that has adopted the new roster. */
static void
step_receive_digest(struct model *model, struct state state, int vm, int other)
{
	struct vm_state *vm_state = &state.vm_states[vm];

	if (vm == other || !state.vm_states[other].adopted ||
	    !vm_state->adopted || vm_state->retired ||
	    vm_state->unused_age >= 0)
		return;
	vm_state->reported |= (int8_t)(1 << other);
	add_state(model, &state);
}

/* Adds all successors of a state. */
static void
expand_state(struct model *model, struct state state)
{
	struct state next = state;

	advance_time(model, state);
	for (int i = 0; i < VMS; i++) {
		for (int j = 0; j < CLAIMANTS; j++)
			step_claim(model, state, j, i);
		step_adopt(model, state, i);
		for (int j = 0; j < VMS; j++) {
			if (is_in_old_roster(model->change, i) &&
			    is_in_old_roster(model->change, j))
				step_receive_digest(model, state, i, j);
		}
	}
	if (state.stopped_age < 0) {
		next.stopped_age = 0;
		add_state(model, &next);
	}
}

static struct state
initial_state(const struct change *change)
{
	struct state state;

	memset(&state, 0, sizeof(state));
	state.stopped_age = (change->before & ~change->after) != 0 ? -1 : 0;
	memset(state.grant_ages, -1, sizeof(state.grant_ages));
	for (int i = 0; i < VMS; i++) {
		state.vm_states[i].holder = -1;
		state.vm_states[i].unused_age = -1;
		/* A VM outside the old roster knows only the new one. */
		state.vm_states[i].adopted = !is_in_old_roster(change, i);
	}
	return state;
}

/*
 * Explores the states until a violation is found, none is left or MAX_STATES
 * is reached, which sets *truncated. Returns whether there was a violation.
 */
static bool
explore(const struct change *change, enum mutation mutation, bool *truncated)
{
	struct model model = {.mutation = mutation, .change = change};
	struct state state = initial_state(change);

	model.explorer = explorer_create(sizeof(struct state), MAX_STATES);
	explorer_add(model.explorer, &state);
	while (!model.violated && explorer_next(model.explorer, &state))
		expand_state(&model, state);
	*truncated = model.explorer->truncated;
	g_test_message("roster: %s, mutation %d: %s, %zu states%s",
	    change->name, mutation, model.violated ? "violated" : "safe",
	    model.explorer->n_states, *truncated ? ", limit reached" : "");
	explorer_destroy(model.explorer);
	return model.violated;
}

/* VMs as bits of a roster. */
#define A 1
#define B 2
#define C 4
#define D 8
#define E 16

#endif
