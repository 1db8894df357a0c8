/**
 * @file
 * Explores every order of events in the transfer and the loss of a lease.
 * Three VMs grant, and two of them claim. Claims, releases and grants are
 * delayed, reordered or lost, VMs restart, and time advances in coarse steps.
 * Two VMs must never hold the lease of the lane at the same time.
 *
 * A pause of a VM is an order in which its events come late, and a one-way
 * network partition is one in which messages of one direction never arrive.
 * So the explored orders include both.
 */
/* The model reads and writes private fields of the granter and the lease. */
#include "src/lease.c" /* NOLINT(bugprone-suspicious-include) */
#include "test/explore.h"

#define VOTERS 3
#define CLAIMANTS 2
#define MAX_MESSAGES 2
/*
 * Sanitizers make a step about 10 times slower, so such builds only explore
 * the beginning; the plain build explores all states.
 */
#ifdef __SANITIZE_ADDRESS__
#define SANITIZED true
#define MAX_STATES 40000
#else
#define SANITIZED false
#define MAX_STATES 4000000
#endif
/* More than the different sequence numbers of a claimant in one state. */
#define MAX_SEQUENCES 16
/*
 * One step of time, ms. A lease covers the step in which its claim was sent
 * and the next one; a grant covers exactly 2 steps.
 */
#define STEP 600.0
#define LEASE_STEPS 2
#define NOW (100 * STEP)

enum mutation {
	NO_MUTATION,
	GRANTS_AFTER_RESTART, /* a restarted granter grants at once */
	LEASE_FROM_RECEIPT, /* a lease starts when the grant arrives */
	ACCEPTS_LATE_HEARTBEATS, /* claims and releases apply in any order */
	ACCEPTS_RELEASED_GRANTS, /* grants from before a release count */
	GRANTS_WITHOUT_MARGIN, /* a grant expires with its lease or before */
	MUTATIONS
};

enum kind { NO_MESSAGE, CLAIM, RELEASE, GRANT };

/*
 * A message between a claimant and a granter. All fields are bytes, so that
 * there is no padding between them.
 */
struct message {
	int8_t kind;
	int8_t claimant;
	int8_t voter;
	int8_t incarnation; /* of the claimant */
	int8_t age; /* steps since the claim was sent, at most LEASE_STEPS */
	int8_t sequence; /* of the claimant's heartbeat, renumbered */
};

/* A VM as a granter. */
struct voter {
	int8_t wait_steps; /* steps until it grants */
	int8_t holder; /* claimant with the grant, -1 for none */
	int8_t incarnation; /* of the holder */
	int8_t grant_steps; /* steps until the grant expires */
	int8_t accepted_sequence[CLAIMANTS]; /* latest sequence, -1 for none */
	int8_t accepted_incarnation[CLAIMANTS];
};

/* A VM as a claimant. */
struct claimant {
	int8_t incarnation;
	int8_t sequence; /* of its latest heartbeat */
	int8_t votes[VOTERS]; /* age of each grant, steps, -1 for none */
	int8_t release_age; /* steps since the latest release, -1 for none */
};

/* State of all VMs and of the network. */
struct state {
	struct voter voters[VOTERS];
	struct claimant claimants[CLAIMANTS];
	struct message messages[MAX_MESSAGES];
	int8_t restarts; /* number of restarts that may still happen */
};

/* One exploration. */
struct model {
	enum mutation mutation;
	struct explorer *explorer;
	bool violated; /* two claimants held the lease in one state */
	/* Cache by the age of each grant + 1: 0 unknown, 1 yes, -1 no. */
	int8_t has_lease[LEASE_STEPS + 1][LEASE_STEPS + 1][LEASE_STEPS + 1];
};

static const char *const names[VOTERS] = {"a", "b", "c"};

static struct wv_vm_id
vm(int index, int incarnation)
{
	struct wv_vm_id id = {
	    wv_string_borrow(names[index]), (uint64_t)incarnation + 1};

	return id;
}

static struct wv_string
lane(void)
{
	return wv_string_borrow("l/0");
}

/* Creates a granter with the state of a voter at the time NOW. */
static struct wv_granter *
load_granter(const struct voter *voter)
{
	struct wv_granter *granter = wv_granter_create(NOW);
	struct grant *grant;

	granter->grants_from = NOW + voter->wait_steps * STEP;
	if (voter->holder >= 0) {
		grant = grant_create(
		    granter, lane(), vm(voter->holder, voter->incarnation));
		grant->expires = NOW + voter->grant_steps * STEP;
	}
	for (int i = 0; i < CLAIMANTS; i++) {
		if (voter->accepted_sequence[i] >= 0)
			wv_granter_accept_heartbeat(granter,
			    vm(i, voter->accepted_incarnation[i]),
			    (uint64_t)voter->accepted_sequence[i]);
	}
	return granter;
}

/* Stores the state of a granter in a voter and destroys the granter. */
static void
store_granter(struct wv_granter *granter, struct voter *voter)
{
	struct wv_string key = lane();
	const struct grant *grant = g_hash_table_lookup(granter->grants, &key);
	const struct sender *sender;
	struct wv_string name;

	voter->holder = -1;
	voter->incarnation = 0;
	voter->grant_steps = 0;
	if (grant != NULL && grant->expires > NOW) {
		voter->holder =
		    wv_string_equal(grant->holder, wv_string_borrow("a")) ? 0
									  : 1;
		voter->incarnation = (int8_t)(grant->incarnation - 1);
		voter->grant_steps = (int8_t)((grant->expires - NOW) / STEP);
	}
	for (int i = 0; i < CLAIMANTS; i++) {
		name = wv_string_borrow(names[i]);
		sender = g_hash_table_lookup(granter->senders, &name);
		if (sender == NULL)
			continue;
		voter->accepted_sequence[i] = (int8_t)sender->sequence;
		voter->accepted_incarnation[i] =
		    (int8_t)(sender->incarnation - 1);
	}
	wv_granter_destroy(granter);
}

/* Creates a lease with the state of a claimant at the time NOW. */
static struct wv_lease *
load_lease(const struct claimant *claimant)
{
	struct wv_lease *lease = wv_lease_create(lane());

	for (int i = 0; i < VOTERS; i++) {
		if (claimant->votes[i] >= 0)
			wv_lease_add_grant(
			    lease, vm(i, 0), NOW - claimant->votes[i] * STEP);
	}
	if (claimant->release_age >= 0)
		lease->ignored_until = NOW - claimant->release_age * STEP;
	return lease;
}

/* Stores the state of a lease in a claimant and destroys the lease. */
static void
store_lease(struct wv_lease *lease, struct claimant *claimant)
{
	struct wv_string name;
	const struct vote *vote;

	for (int i = 0; i < VOTERS; i++) {
		name = wv_string_borrow(names[i]);
		vote = g_hash_table_lookup(lease->votes, &name);
		claimant->votes[i] =
		    vote == NULL ? -1 : (int8_t)((NOW - vote->sent_at) / STEP);
		if (claimant->votes[i] >= LEASE_STEPS)
			claimant->votes[i] = -1;
	}
	claimant->release_age = lease->ignored_until < NOW - LEASE_STEPS * STEP
	    ? -1
	    : (int8_t)((NOW - lease->ignored_until) / STEP);
	wv_lease_destroy(lease);
}

static bool
compute_has_lease(const struct claimant *claimant)
{
	struct wv_string roster[VOTERS];
	struct wv_lease *lease = load_lease(claimant);
	bool result;

	for (int i = 0; i < VOTERS; i++)
		roster[i] = wv_string_borrow(names[i]);
	result = wv_lease_expiry(lease, roster, VOTERS) > NOW;
	wv_lease_destroy(lease);
	return result;
}

/* Returns whether the claimant holds the lease, by the ages of its grants. */
static bool
has_lease(struct model *model, const struct claimant *claimant)
{
	int8_t *cached = &model->has_lease[claimant->votes[0] +
	    1][claimant->votes[1] + 1][claimant->votes[2] + 1];

	if (*cached == 0)
		*cached = compute_has_lease(claimant) ? 1 : -1;
	return *cached > 0;
}

static int
compare_messages(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(struct message));
}

static void
mark_used(bool *used, int8_t sequence)
{
	if (sequence >= 0)
		used[sequence] = true;
}

/* Returns whether the receiver of a message ignores it. */
static bool
is_ignored(const struct state *state, const struct message *message)
{
	const struct voter *voter = &state->voters[message->voter];
	int8_t incarnation = voter->accepted_incarnation[message->claimant];

	if (message->kind == GRANT)
		return message->incarnation !=
		    state->claimants[message->claimant].incarnation ||
		    message->age >= LEASE_STEPS;
	if (voter->accepted_sequence[message->claimant] < 0)
		return false;
	return message->incarnation < incarnation ||
	    (message->incarnation == incarnation &&
		message->sequence <=
		    voter->accepted_sequence[message->claimant]);
}

/* Renumbers the sequence numbers of a claimant from 0, in the same order. */
static void
renumber_sequences(struct state *state, int claimant)
{
	bool used[MAX_SEQUENCES] = {false};
	int8_t renumbered[MAX_SEQUENCES];
	int8_t next = 0;
	struct message *message;

	mark_used(used, state->claimants[claimant].sequence);
	for (int i = 0; i < VOTERS; i++)
		mark_used(used, state->voters[i].accepted_sequence[claimant]);
	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (state->messages[i].kind != NO_MESSAGE &&
		    state->messages[i].claimant == claimant)
			mark_used(used, state->messages[i].sequence);
	}
	for (int i = 0; i < MAX_SEQUENCES; i++)
		renumbered[i] = used[i] ? next++ : 0;
	state->claimants[claimant].sequence =
	    renumbered[state->claimants[claimant].sequence];
	for (int i = 0; i < VOTERS; i++) {
		if (state->voters[i].accepted_sequence[claimant] >= 0)
			state->voters[i].accepted_sequence[claimant] =
			    renumbered[state->voters[i]
					   .accepted_sequence[claimant]];
	}
	for (int i = 0; i < MAX_MESSAGES; i++) {
		message = &state->messages[i];
		if (message->kind != NO_MESSAGE &&
		    message->claimant == claimant)
			message->sequence = renumbered[message->sequence];
	}
}

/* Returns whether a claim or release from the claimant to the voter exists. */
static bool
has_heartbeat(const struct state *state, int claimant, int voter)
{
	const struct message *message;

	for (int i = 0; i < MAX_MESSAGES; i++) {
		message = &state->messages[i];
		if ((message->kind == CLAIM || message->kind == RELEASE) &&
		    message->claimant == claimant && message->voter == voter)
			return true;
	}
	return false;
}

/* Returns whether a message of the claimant is not newer than its release. */
static bool
has_older_message(const struct state *state, int claimant)
{
	const struct message *message;

	for (int i = 0; i < MAX_MESSAGES; i++) {
		message = &state->messages[i];
		if (message->kind != NO_MESSAGE &&
		    message->claimant == claimant &&
		    message->age >= state->claimants[claimant].release_age)
			return true;
	}
	return false;
}

/* Returns whether a message or a grant of an earlier process remains. */
static bool
has_older_process(const struct state *state, int claimant)
{
	int8_t incarnation = state->claimants[claimant].incarnation;

	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (state->messages[i].kind != NO_MESSAGE &&
		    state->messages[i].claimant == claimant &&
		    state->messages[i].incarnation != incarnation)
			return true;
	}
	for (int i = 0; i < VOTERS; i++) {
		if (state->voters[i].holder == claimant &&
		    state->voters[i].incarnation != incarnation)
			return true;
	}
	return false;
}

/* Resets a claimant's incarnation if no message or grant has an earlier one. */
static void
reset_incarnation(struct state *state, int claimant)
{
	if (has_older_process(state, claimant))
		return;
	state->claimants[claimant].incarnation = 0;
	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (state->messages[i].claimant == claimant)
			state->messages[i].incarnation = 0;
	}
	for (int i = 0; i < VOTERS; i++) {
		state->voters[i].accepted_incarnation[claimant] = 0;
		if (state->voters[i].holder == claimant)
			state->voters[i].incarnation = 0;
	}
}

/*
 * Clears values that can no longer have an effect, to reduce the number of
 * states. An accepted sequence number matters only while an older heartbeat
 * may arrive, and a release only while an older grant may. A release in the
 * current step is kept, since a claim sent at the same time is ignored too.
 */
static void
clear_ineffective(struct state *state)
{
	struct voter *voter;

	for (int i = 0; i < CLAIMANTS; i++) {
		for (int j = 0; j < VOTERS; j++) {
			voter = &state->voters[j];
			if (has_heartbeat(state, i, j) &&
			    voter->accepted_sequence[i] >= 0)
				continue;
			voter->accepted_sequence[i] = -1;
			voter->accepted_incarnation[i] = 0;
		}
		if (state->claimants[i].release_age > 0 &&
		    !has_older_message(state, i))
			state->claimants[i].release_age = -1;
		reset_incarnation(state, i);
		renumber_sequences(state, i);
	}
	qsort(state->messages, MAX_MESSAGES, sizeof(state->messages[0]),
	    compare_messages);
}

/* Exchanges the two claimants, which behave in the same way. */
static struct state
swap_claimants(const struct state *state)
{
	struct state swapped = *state;
	struct voter *voter;
	struct message *message;
	int8_t byte;

	swapped.voters[0] = state->voters[1];
	swapped.voters[1] = state->voters[0];
	swapped.claimants[0] = state->claimants[1];
	swapped.claimants[1] = state->claimants[0];
	for (int i = 0; i < CLAIMANTS; i++) {
		byte = swapped.claimants[i].votes[0];
		swapped.claimants[i].votes[0] = swapped.claimants[i].votes[1];
		swapped.claimants[i].votes[1] = byte;
	}
	for (int i = 0; i < VOTERS; i++) {
		voter = &swapped.voters[i];
		if (voter->holder >= 0)
			voter->holder = (int8_t)(1 - voter->holder);
		byte = voter->accepted_sequence[0];
		voter->accepted_sequence[0] = voter->accepted_sequence[1];
		voter->accepted_sequence[1] = byte;
		byte = voter->accepted_incarnation[0];
		voter->accepted_incarnation[0] = voter->accepted_incarnation[1];
		voter->accepted_incarnation[1] = byte;
	}
	for (int i = 0; i < MAX_MESSAGES; i++) {
		message = &swapped.messages[i];
		if (message->kind == NO_MESSAGE)
			continue;
		message->claimant = (int8_t)(1 - message->claimant);
		if (message->voter < CLAIMANTS)
			message->voter = (int8_t)(1 - message->voter);
	}
	qsort(swapped.messages, MAX_MESSAGES, sizeof(swapped.messages[0]),
	    compare_messages);
	return swapped;
}

/*
 * Adds a state in its canonical form and checks that at most one VM holds the
 * lease.
 */
static void
add_state(struct model *model, struct state *state)
{
	struct state swapped;

	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (model->mutation != ACCEPTS_LATE_HEARTBEATS &&
		    state->messages[i].kind != NO_MESSAGE &&
		    is_ignored(state, &state->messages[i]))
			memset(
			    &state->messages[i], 0, sizeof(state->messages[i]));
	}
	clear_ineffective(state);
	swapped = swap_claimants(state);
	if (memcmp(&swapped, state, sizeof(swapped)) < 0)
		*state = swapped;
	if (has_lease(model, &state->claimants[0]) &&
	    has_lease(model, &state->claimants[1]))
		model->violated = true;
	explorer_add(model->explorer, state);
}

/* Adds a message to the network; returns false if it is full. */
static bool
add_message(struct state *state, struct message message)
{
	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (state->messages[i].kind == NO_MESSAGE) {
			state->messages[i] = message;
			return true;
		}
	}
	return false;
}

/* Advances time by one step. */
static void
advance_time(struct model *model, struct state state)
{
	struct voter *voter;

	for (int i = 0; i < VOTERS; i++) {
		voter = &state.voters[i];
		voter->wait_steps = (int8_t)MAX(voter->wait_steps - 1, 0);
		voter->grant_steps = (int8_t)MAX(voter->grant_steps - 1, 0);
		if (voter->grant_steps == 0) {
			voter->holder = -1;
			voter->incarnation = 0;
		}
	}
	for (int i = 0; i < CLAIMANTS; i++) {
		for (int j = 0; j < VOTERS; j++) {
			if (state.claimants[i].votes[j] >= 0 &&
			    ++state.claimants[i].votes[j] >= LEASE_STEPS)
				state.claimants[i].votes[j] = -1;
		}
		if (state.claimants[i].release_age >= 0 &&
		    ++state.claimants[i].release_age > LEASE_STEPS)
			state.claimants[i].release_age = -1;
	}
	for (int i = 0; i < MAX_MESSAGES; i++) {
		if (state.messages[i].kind != NO_MESSAGE &&
		    state.messages[i].age < LEASE_STEPS)
			state.messages[i].age++;
	}
	add_state(model, &state);
}

/* Applies a grant at the claimant; age is that of its claim, steps. */
static void
apply_grant(
    struct model *model, struct state *state, int claimant, int voter, int age)
{
	struct wv_lease *lease = load_lease(&state->claimants[claimant]);

	if (model->mutation == LEASE_FROM_RECEIPT)
		age = 0;
	if (model->mutation == ACCEPTS_RELEASED_GRANTS)
		lease->ignored_until = -WV_MSEC_NEVER;
	wv_lease_add_grant(lease, vm(voter, 0), NOW - age * STEP);
	store_lease(lease, &state->claimants[claimant]);
}

/* Applies a claim at a granter; returns whether it was granted. */
static bool
apply_claim(
    struct model *model, struct voter *voter, int claimant, int incarnation)
{
	struct wv_granter *granter = load_granter(voter);
	bool granted =
	    wv_granter_claim(granter, NOW, lane(), vm(claimant, incarnation));

	store_granter(granter, voter);
	if (granted && model->mutation == GRANTS_WITHOUT_MARGIN)
		voter->grant_steps = 1;
	return granted;
}

/* A claimant sends its claim to one granter, or applies it to its own. */
static void
step_claim(struct model *model, struct state state, int from, int to)
{
	struct claimant *claimant = &state.claimants[from];
	struct message message = {
	    CLAIM, (int8_t)from, (int8_t)to, claimant->incarnation, 0, 0};

	if (from == to) {
		if (!apply_claim(
			model, &state.voters[to], from, claimant->incarnation))
			return;
		apply_grant(model, &state, from, to, 0);
		add_state(model, &state);
		return;
	}
	message.sequence = ++claimant->sequence;
	if (add_message(&state, message))
		add_state(model, &state);
}

/* A claimant releases the lane and sends the release to one other granter. */
static void
step_release(struct model *model, struct state state, int from, int to)
{
	struct claimant *claimant = &state.claimants[from];
	struct wv_lease *lease = load_lease(claimant);
	struct wv_granter *granter = load_granter(&state.voters[from]);
	struct message message = {
	    RELEASE, (int8_t)from, (int8_t)to, claimant->incarnation, 0, 0};

	wv_lease_reset(lease, NOW);
	store_lease(lease, claimant);
	wv_granter_release(granter, lane(), vm(from, claimant->incarnation));
	store_granter(granter, &state.voters[from]);
	message.sequence = ++claimant->sequence;
	if (add_message(&state, message))
		add_state(model, &state);
}

/* Delivers a claim or a release to a granter. */
static void
deliver_heartbeat(
    struct model *model, struct state state, struct message message)
{
	struct voter *voter = &state.voters[message.voter];
	struct wv_granter *granter = load_granter(voter);
	struct wv_vm_id sender = vm(message.claimant, message.incarnation);
	bool accepted = wv_granter_accept_heartbeat(
	    granter, sender, (uint64_t)message.sequence);

	if (message.kind == RELEASE &&
	    (accepted || model->mutation == ACCEPTS_LATE_HEARTBEATS))
		wv_granter_release(granter, lane(), sender);
	store_granter(granter, voter);
	if (message.kind == CLAIM &&
	    (accepted || model->mutation == ACCEPTS_LATE_HEARTBEATS) &&
	    apply_claim(model, voter, message.claimant, message.incarnation)) {
		message.kind = GRANT;
		message.sequence = 0;
		add_message(&state, message);
	}
	add_state(model, &state);
}

/* Delivers one message. */
static void
step_message(struct model *model, struct state state, int at)
{
	struct message message = state.messages[at];

	if (message.kind == NO_MESSAGE)
		return;
	memset(&state.messages[at], 0, sizeof(message));
	if (message.kind == GRANT)
		apply_grant(model, &state, message.claimant, message.voter,
		    message.age);
	else
		deliver_heartbeat(model, state, message);
	add_state(model, &state);
}

/* Loses a grant. A lost heartbeat has the same effect as one never sent. */
static void
step_lose_grant(struct model *model, struct state state, int at)
{
	if (state.messages[at].kind != GRANT)
		return;
	memset(&state.messages[at], 0, sizeof(state.messages[at]));
	add_state(model, &state);
}

static void
clear_voter(struct voter *voter)
{
	memset(voter, 0, sizeof(*voter));
	voter->holder = -1;
	for (int i = 0; i < CLAIMANTS; i++)
		voter->accepted_sequence[i] = -1;
}

static void
clear_claimant(struct claimant *claimant)
{
	memset(claimant, 0, sizeof(*claimant));
	claimant->release_age = -1;
	for (int i = 0; i < VOTERS; i++)
		claimant->votes[i] = -1;
}

/* Restarts a VM, which loses all grants and its sequence number. */
static void
step_restart(struct model *model, struct state state, int at)
{
	int8_t incarnation;

	if (state.restarts == 0)
		return;
	state.restarts--;
	clear_voter(&state.voters[at]);
	if (model->mutation != GRANTS_AFTER_RESTART)
		state.voters[at].wait_steps = LEASE_STEPS;
	if (at < CLAIMANTS) {
		incarnation = state.claimants[at].incarnation;
		clear_claimant(&state.claimants[at]);
		state.claimants[at].incarnation = (int8_t)(incarnation + 1);
	}
	add_state(model, &state);
}

/* Adds all successors of a state. */
static void
expand_state(struct model *model, struct state state)
{
	advance_time(model, state);
	for (int i = 0; i < CLAIMANTS; i++) {
		for (int j = 0; j < VOTERS; j++) {
			step_claim(model, state, i, j);
			if (i != j)
				step_release(model, state, i, j);
		}
	}
	for (int i = 0; i < MAX_MESSAGES; i++) {
		step_message(model, state, i);
		step_lose_grant(model, state, i);
	}
	for (int i = 0; i < VOTERS; i++)
		step_restart(model, state, i);
}

/*
 * Explores the states until a violation is found, none is left or MAX_STATES
 * is reached, which sets *truncated. Returns whether there was a violation.
 */
static bool
explore(enum mutation mutation, bool *truncated)
{
	struct model model = {.mutation = mutation};
	struct state state;

	model.explorer = explorer_create(sizeof(struct state), MAX_STATES);
	memset(&state, 0, sizeof(state));
	for (int i = 0; i < VOTERS; i++)
		clear_voter(&state.voters[i]);
	for (int i = 0; i < CLAIMANTS; i++)
		clear_claimant(&state.claimants[i]);
	state.restarts = 1;
	explorer_add(model.explorer, &state);
	while (!model.violated && explorer_next(model.explorer, &state))
		expand_state(&model, state);
	g_test_message("lease: mutation %d: %s, %zu states, %zu expanded%s",
	    mutation, model.violated ? "violated" : "safe",
	    model.explorer->n_states, model.explorer->next,
	    model.explorer->truncated ? ", limit reached" : "");
	*truncated = model.explorer->truncated;
	explorer_destroy(model.explorer);
	return model.violated;
}

/* Two holders at the same time would overload searchers and exceed limits. */
static void
test_all_orders(void)
{
	bool truncated;

	g_assert_false(explore(NO_MUTATION, &truncated));
	if (!SANITIZED)
		g_assert_false(truncated);
}

/* A model that finds no violation in a faulty variant would prove nothing. */
static void
test_mutations(void)
{
	bool truncated;
	bool violated;

	for (int i = GRANTS_AFTER_RESTART; i < MUTATIONS; i++) {
		violated = explore((enum mutation)i, &truncated);
		g_assert_true(violated || (SANITIZED && truncated));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease-explore/all", test_all_orders);
	g_test_add_func("/lease-explore/mutations", test_mutations);
	return g_test_run();
}
