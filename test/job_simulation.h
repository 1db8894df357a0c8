/**
 * @file
 * A simulation of the store, two VMs, a searcher that counts runs and an
 * operator, all of which handle one job key, for the exploration of event
 * orders. Faults: two runs, "not run" for a job that ran, an accepted key that
 * vanishes, a job without its answer. Mutations break the simulation on
 * purpose, and must be detected.
 */
#ifndef WISTERIAVANE_TEST_JOB_SIMULATION_H
#define WISTERIAVANE_TEST_JOB_SIMULATION_H

#include "src/job_private.h"
#include "test/explore_model.h"
#include "test/job_fake.h"

#define N_VMS 2
#define KEY "1700000000-a"
/* Time that ADVANCE adds, more than WV_JOB_CLAIM_MAX_AGE. */
#define ADVANCE_MSEC 2500.0
/* Time that EXPIRE adds, more than the retention of a record. */
#define EXPIRE_MSEC (2 * 3600e3)
/* Maximum number of messages to the searcher in one order of events. */
#define MAX_MESSAGES 4
/* The exploration fails above this number of states. */
#define MAX_STATES 100000

/* A defect of the simulated parts that the checks must detect. */
enum mutation {
	NO_MUTATION,
	SEND_BEFORE_CLAIM, /* the job is sent when it is submitted */
	SEND_AFTER_PAUSE, /* the job is sent even if may_send() is false */
	SEARCHER_IGNORES_EXPIRY,
	STORE_IGNORES_VERSION,
	LOST_WRITE_AS_REFUSED, /* a lost write is reported as refused */
	TIMEOUT_AS_NOT_RUN, /* a timeout is reported as not run */
	RECORD_LOST, /* expiry removes the record and raises no watermark */
	OUTCOME_DROPPED /* the searcher's replies are not reported */
};

/* How often each kind of event may happen. */
struct scenario {
	unsigned submits[N_VMS];
	unsigned losses, late_writes, refusals;
	unsigned advances, restarts, sweeps, resolutions, expiries;
	unsigned job_refusals, time_outs;
	/*
	 * Reads are answered at once, for fewer states. Since writes are
	 * conditional, a change between a read and its write has the same
	 * effect as a change during the write.
	 */
	bool instant_reads;
	enum mutation mutation;
	const char *only_fault; /* other faults are ignored, unless NULL */
};

/* Kinds of events; event_names has their names in a trace. */
enum model_event {
	SUBMIT, /* a caller submits a job to a VM */
	ANSWER_CALL, /* the store executes and answers a VM's call */
	LOSE_BEFORE, /* a call is lost before it reaches the store */
	LOSE_AFTER, /* the answer to a write that took effect is lost */
	LOSE_LATE, /* a write is given up, and still on its way */
	REFUSE_CALL, /* the store refuses a call */
	APPLY_LATE_WRITE, /* the write of LOSE_LATE reaches the store */
	SEND, /* a VM sends a claimed job to the searcher */
	RUN, /* the searcher runs the job, or refuses it as expired */
	REFUSE_JOB, /* the searcher refuses the job */
	REPLY, /* the searcher's reply reaches the VM */
	TIME_OUT, /* the VM stops waiting for the reply */
	ADVANCE, /* time passes */
	TICK, /* a VM does what is due */
	RESTART, /* the first VM's process is replaced */
	SWEEP, /* a VM marks claims of all other processes */
	RESOLVE, /* an operator resolves the job */
	EXPIRE /* the retention passes */
};

static const char *const event_names[] = {"submit", "answer", "lose-before",
    "lose-after", "lose-late", "refuse", "land", "send", "run", "refuse-job",
    "reply", "time-out", "advance", "tick", "restart", "sweep", "resolve",
    "expire"};

/* Progress of a message that sends a job to the searcher. */
enum message_state {
	MESSAGE_NONE,
	MESSAGE_SENT,
	MESSAGE_RAN, /* the job ran; the reply is on its way */
	MESSAGE_REFUSED, /* the refusal is on its way */
	MESSAGE_OVER /* the reply was delivered */
};

/* A job that a VM sent to the searcher. */
struct message {
	enum message_state state;
	int vm;
	unsigned incarnation;
	uint64_t request;
	wv_msec expires; /* Unix time in ms; the searcher refuses it later */
	bool ran;
	bool timed_out; /* the sender no longer waits */
};

/* The state of the simulation. */
struct sim {
	struct scenario remaining; /* events that may still happen */
	struct fake_store store;
	struct fake_vm vms[N_VMS];
	unsigned incarnations[N_VMS];
	uint64_t submitted[N_VMS]; /* requests of the current process */
	/* by VM and request: was sent, or was not allowed to be */
	bool sent[N_VMS][FAKE_MAX_REQUESTS];
	struct message messages[MAX_MESSAGES];
	unsigned n_messages;
	unsigned runs; /* of the job, by the searcher */
	struct wv_string late_write; /* of LOSE_LATE; owned */
	uint64_t late_write_version; /* that it replaces */
	bool has_late_write;
	bool accepted; /* a claim of the key was confirmed */
	bool expired;
	wv_msec now;
	/* The key in the stored bucket, as of record_version of the bucket. */
	uint64_t record_version;
	enum wv_job_state record_state;
	bool record_found, watermark_raised;
};

static const char *const vm_names[N_VMS] = {"vm1", "vm2"};

static void
start_vm(struct sim *sim, int vm)
{
	sim->incarnations[vm]++;
	sim->submitted[vm] = 0;
	memset(sim->sent[vm], 0, sizeof(sim->sent[vm]));
	fake_start(
	    &sim->vms[vm], vm_names[vm], sim->incarnations[vm], &sim->store);
	/* The rate of writes is not tested here. */
	wv_job_store_set_write_rate(sim->vms[vm].jobs, 1e9);
}

static void *
create_simulation(const void *scenario)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->remaining = *(const struct scenario *)scenario;
	for (int i = 0; i < N_VMS; i++)
		start_vm(sim, i);
	return sim;
}

static void
destroy_simulation(void *data)
{
	struct sim *sim = data;

	for (int i = 0; i < N_VMS; i++)
		fake_stop(&sim->vms[i]);
	wv_string_clear(&sim->late_write);
	wv_string_clear(&sim->store.value);
	g_free(sim);
}

static const char *
event_name(struct explore_event event)
{
	return event_names[event.kind];
}

/* Events that are possible in the current state. */
struct event_list {
	struct explore_event *events;
	size_t n;
};

/* Adds an event to a list if it is possible. */
static void
add_event(struct event_list *list, bool possible, int kind, int arg)
{
	if (!possible)
		return;
	g_assert_cmpuint(list->n, <, EXPLORE_MAX_EVENTS);
	list->events[list->n].kind = kind;
	list->events[list->n].arg = arg;
	list->n++;
}

/* Returns the oldest claimed request of a VM that was not sent, or 0. */
static uint64_t
next_request_to_send(const struct sim *sim, int vm)
{
	for (uint64_t r = 1; r <= sim->submitted[vm]; r++) {
		const struct fake_request *request = &sim->vms[vm].requests[r];

		if (sim->sent[vm][r])
			continue;
		if (sim->remaining.mutation == SEND_BEFORE_CLAIM ||
		    (request->claims > 0 &&
			(request->answers == 0 ||
			    sim->remaining.mutation == SEND_AFTER_PAUSE)))
			return r;
	}
	return 0;
}

static void
list_call_events(const struct sim *sim, struct event_list *list, int vm)
{
	const struct fake_vm *fake = &sim->vms[vm];
	const struct scenario *remaining = &sim->remaining;
	bool write = fake->call == FAKE_WRITE;
	bool call = fake->call != FAKE_NONE;

	add_event(list, call, ANSWER_CALL, vm);
	add_event(list, call && remaining->losses > 0, LOSE_BEFORE, vm);
	add_event(list, write && remaining->losses > 0, LOSE_AFTER, vm);
	add_event(list,
	    write && remaining->late_writes > 0 && !sim->has_late_write,
	    LOSE_LATE, vm);
	add_event(list, write && remaining->refusals > 0, REFUSE_CALL, vm);
}

static void
list_message_events(const struct sim *sim, struct event_list *list)
{
	for (unsigned i = 0; i < sim->n_messages; i++) {
		const struct message *message = &sim->messages[i];

		add_event(list, message->state == MESSAGE_SENT, RUN, (int)i);
		add_event(
		    list, message->state == MESSAGE_SENT, REFUSE_JOB, (int)i);
		add_event(list,
		    message->state == MESSAGE_RAN ||
			message->state == MESSAGE_REFUSED,
		    REPLY, (int)i);
		add_event(list,
		    !message->timed_out && message->state != MESSAGE_OVER &&
			sim->remaining.time_outs > 0,
		    TIME_OUT, (int)i);
	}
}

static size_t
list_events(void *data, struct explore_event *events)
{
	struct sim *sim = data;
	struct event_list list = {events, 0};
	const struct scenario *remaining = &sim->remaining;

	for (int vm = 0; vm < N_VMS; vm++) {
		wv_msec tick = wv_job_store_next_tick(sim->vms[vm].jobs);

		add_event(&list, remaining->submits[vm] > 0, SUBMIT, vm);
		list_call_events(sim, &list, vm);
		add_event(&list,
		    next_request_to_send(sim, vm) != 0 &&
			sim->n_messages < MAX_MESSAGES,
		    SEND, vm);
		add_event(&list, tick <= sim->now + ADVANCE_MSEC / 2, TICK, vm);
	}
	list_message_events(sim, &list);
	add_event(&list, sim->has_late_write, APPLY_LATE_WRITE, 0);
	add_event(&list, remaining->advances > 0, ADVANCE, 0);
	add_event(&list, remaining->expiries > 0, EXPIRE, 0);
	add_event(&list, remaining->restarts > 0, RESTART, 0);
	add_event(&list, remaining->sweeps > 0, SWEEP, 1);
	add_event(&list, remaining->resolutions > 0, RESOLVE, 1);
	return list.n;
}

static void
send_job(struct sim *sim, int vm)
{
	struct fake_vm *fake = &sim->vms[vm];
	uint64_t request = next_request_to_send(sim, vm);
	struct message *message = &sim->messages[sim->n_messages];
	wv_msec expires = wv_job_store_send_before(fake->jobs, request);
	bool allowed = wv_job_store_may_send(fake->jobs, sim->now, request);

	sim->sent[vm][request] = true;
	if (!allowed && sim->remaining.mutation != SEND_BEFORE_CLAIM &&
	    sim->remaining.mutation != SEND_AFTER_PAUSE)
		return;
	/* With a mutation, the message has no expiry either. */
	if (!allowed)
		expires = WV_MSEC_NEVER;
	message->state = MESSAGE_SENT;
	message->vm = vm;
	message->incarnation = sim->incarnations[vm];
	message->request = request;
	message->expires = expires;
	sim->n_messages++;
}

static void
run_job(struct sim *sim, struct message *message)
{
	bool expired = FAKE_UNIX + sim->now > message->expires;

	if (expired && sim->remaining.mutation != SEARCHER_IGNORES_EXPIRY) {
		message->state = MESSAGE_REFUSED;
		return;
	}
	message->state = MESSAGE_RAN;
	message->ran = true;
	sim->runs++;
}

/* Reports an outcome to the process that sent the job, if it still waits. */
static void
deliver_outcome(struct sim *sim, struct message *message, enum wv_code code)
{
	bool same = message->incarnation == sim->incarnations[message->vm];

	if (same && !message->timed_out &&
	    sim->remaining.mutation != OUTCOME_DROPPED)
		wv_job_store_record_outcome(sim->vms[message->vm].jobs,
		    sim->now, message->request, code, text("r"));
}

static void
apply_message_event(struct sim *sim, int kind, struct message *message)
{
	switch (kind) {
	case RUN:
		run_job(sim, message);
		break;
	case REFUSE_JOB:
		sim->remaining.job_refusals--;
		message->state = MESSAGE_REFUSED;
		break;
	case REPLY:
		deliver_outcome(sim, message,
		    message->state == MESSAGE_RAN ? WV_OK : WV_JOB_NOT_RUN);
		message->state = MESSAGE_OVER;
		break;
	default:
		sim->remaining.time_outs--;
		deliver_outcome(sim, message,
		    sim->remaining.mutation == TIMEOUT_AS_NOT_RUN
			? WV_JOB_NOT_RUN
			: WV_JOB_UNKNOWN);
		message->timed_out = true;
	}
}

static void
answer_call(struct sim *sim, int vm)
{
	struct fake_vm *fake = &sim->vms[vm];

	if (fake->call == FAKE_WRITE &&
	    sim->remaining.mutation == STORE_IGNORES_VERSION)
		fake->if_version = sim->store.version;
	fake_complete(fake, sim->now);
}

static void
lose_late(struct sim *sim, int vm)
{
	struct fake_vm *fake = &sim->vms[vm];

	sim->remaining.late_writes--;
	sim->late_write = wv_string_copy(fake->value);
	sim->late_write_version = fake->if_version;
	sim->has_late_write = true;
	fake_fail(fake, sim->now,
	    sim->remaining.mutation == LOST_WRITE_AS_REFUSED
		? WV_STORE_REFUSED
		: WV_STORE_NO_ANSWER,
	    false);
}

static void
apply_call_event(struct sim *sim, int kind, int vm)
{
	switch (kind) {
	case ANSWER_CALL:
		answer_call(sim, vm);
		break;
	case LOSE_LATE:
		lose_late(sim, vm);
		break;
	case REFUSE_CALL:
		sim->remaining.refusals--;
		fake_fail(&sim->vms[vm], sim->now, WV_STORE_REFUSED, false);
		break;
	default:
		sim->remaining.losses--;
		fake_fail(&sim->vms[vm], sim->now, WV_STORE_NO_ANSWER,
		    kind == LOSE_AFTER);
	}
}

static void
restart_vm(struct sim *sim)
{
	sim->remaining.restarts--;
	fake_stop(&sim->vms[0]);
	start_vm(sim, 0);
}

/* An operator resolves the job by whether it has run so far. */
static void
resolve_job(struct sim *sim, int vm)
{
	sim->remaining.resolutions--;
	wv_job_store_resolve(sim->vms[vm].jobs, sim->now,
	    FAKE_MAX_REQUESTS - 1 - sim->remaining.resolutions, text("kestane"),
	    text(KEY), sim->runs > 0);
}

static void
expire_key(struct sim *sim)
{
	sim->remaining.expiries--;
	sim->expired = true;
	sim->now += EXPIRE_MSEC;
	if (sim->remaining.mutation != RECORD_LOST)
		return;
	wv_string_clear(&sim->store.value);
	sim->store.value =
	    wv_string_copy(text("{\"expired_before\":{},\"records\":[]}"));
	sim->store.version++;
}

static void
apply_vm_event(struct sim *sim, int kind, int vm)
{
	struct fake_vm *fake = &sim->vms[vm];

	switch (kind) {
	case SUBMIT:
		sim->remaining.submits[vm]--;
		fake_submit(fake, sim->now, ++sim->submitted[vm], KEY, "p",
		    sim->now + 1.5 * ADVANCE_MSEC);
		break;
	case SEND:
		send_job(sim, vm);
		break;
	case TICK:
		wv_job_store_tick(fake->jobs,
		    MAX(sim->now, wv_job_store_next_tick(fake->jobs)));
		break;
	case SWEEP:
		sim->remaining.sweeps--;
		fake_sweep(fake, sim->now, NULL, 0);
		break;
	default:
		resolve_job(sim, vm);
	}
}

static void
apply_without_effects(struct sim *sim, struct explore_event event)
{
	switch (event.kind) {
	case ANSWER_CALL:
	case LOSE_BEFORE:
	case LOSE_AFTER:
	case LOSE_LATE:
	case REFUSE_CALL:
		apply_call_event(sim, event.kind, event.arg);
		break;
	case RUN:
	case REFUSE_JOB:
	case REPLY:
	case TIME_OUT:
		apply_message_event(sim, event.kind, &sim->messages[event.arg]);
		break;
	case APPLY_LATE_WRITE:
		sim->has_late_write = false;
		fake_apply_write(
		    &sim->store, sim->late_write, sim->late_write_version);
		wv_string_clear(&sim->late_write);
		break;
	case ADVANCE:
		sim->remaining.advances--;
		sim->now += ADVANCE_MSEC;
		break;
	case EXPIRE:
		expire_key(sim);
		break;
	case RESTART:
		restart_vm(sim);
		break;
	default:
		apply_vm_event(sim, event.kind, event.arg);
	}
}

static void
apply_event(void *data, struct explore_event event)
{
	struct sim *sim = data;

	apply_without_effects(sim, event);
	for (int vm = 0; vm < N_VMS; vm++) {
		if (sim->remaining.instant_reads &&
		    sim->vms[vm].call == FAKE_READ)
			fake_complete(&sim->vms[vm], sim->now);
		for (uint64_t r = 1; r <= sim->submitted[vm]; r++) {
			if (sim->vms[vm].requests[r].claims > 0)
				sim->accepted = true;
		}
	}
}

/* Returns whether a job that ran was answered as not run. */
static bool
has_run_answered_as_not_run(const struct sim *sim)
{
	for (unsigned i = 0; i < sim->n_messages; i++) {
		const struct message *message = &sim->messages[i];
		const struct fake_request *request =
		    &sim->vms[message->vm].requests[message->request];

		if (message->ran &&
		    message->incarnation == sim->incarnations[message->vm] &&
		    request->answers > 0 &&
		    wv_code_proves_not_run(request->code))
			return true;
	}
	return false;
}

/* Reads the key's record and the watermark from the store. */
static void
read_stored_record(struct sim *sim)
{
	struct wv_job_bucket *bucket;
	struct wv_job_record *record;
	struct wv_status status;

	if (sim->record_version == sim->store.version)
		return;
	sim->record_version = sim->store.version;
	bucket = wv_job_bucket_parse(sim->store.value, &status);
	g_assert_nonnull(bucket);
	record = wv_job_bucket_find(bucket, text("kestane"), text(KEY));
	sim->record_found = record != NULL;
	if (record != NULL)
		sim->record_state = record->state;
	sim->watermark_raised =
	    wv_job_bucket_watermark(bucket, text("kestane")) > 1700000000;
	wv_job_bucket_destroy(bucket);
}

/* Returns whether the scenario reports a fault. */
static bool
is_reported(const struct sim *sim, const char *fault)
{
	return sim->remaining.only_fault == NULL ||
	    strcmp(sim->remaining.only_fault, fault) == 0;
}

#define TWO_RUNS "two runs"
#define RUN_ANSWERED_NOT_RUN "a job that ran was answered as not run"
#define KEY_VANISHED "an accepted key vanished"
#define RUN_RECORDED_NOT_RUN "the record of a job that ran says not run"
#define UNANSWERED "a job was not answered"
#define UNFINISHED "a job was not finished"
#define LEFT_CLAIMED "a live process left its claim"

/*
 * Returns a fault of the current state, or NULL. A key without a record has not
 * vanished if the watermark, the time before which keys are refused by their
 * creation time, is above it: it cannot run again.
 */
static const char *
check_simulation(void *data)
{
	struct sim *sim = data;
	bool recorded_not_run;

	read_stored_record(sim);
	recorded_not_run = sim->record_found &&
	    (sim->record_state == WV_JOB_STATE_NOT_RUN ||
		sim->record_state == WV_JOB_STATE_RESOLVED_NOT_RUN);
	if (sim->runs > 1 && is_reported(sim, TWO_RUNS))
		return TWO_RUNS;
	if (has_run_answered_as_not_run(sim) &&
	    is_reported(sim, RUN_ANSWERED_NOT_RUN))
		return RUN_ANSWERED_NOT_RUN;
	if (sim->accepted && !sim->record_found && !sim->watermark_raised &&
	    is_reported(sim, KEY_VANISHED))
		return KEY_VANISHED;
	if (sim->runs > 0 && recorded_not_run &&
	    is_reported(sim, RUN_RECORDED_NOT_RUN))
		return RUN_RECORDED_NOT_RUN;
	return NULL;
}

/* Returns whether nothing is in progress or due. */
static bool
is_idle(const struct sim *sim)
{
	for (int vm = 0; vm < N_VMS; vm++) {
		if (sim->vms[vm].call != FAKE_NONE ||
		    wv_job_store_next_tick(sim->vms[vm].jobs) < WV_MSEC_NEVER)
			return false;
	}
	return !sim->has_late_write;
}

/* Lets everything that is in progress happen once, in a fixed order. */
static void
complete_one_round(struct sim *sim)
{
	struct explore_event land = {APPLY_LATE_WRITE, 0};

	if (sim->has_late_write)
		apply_event(sim, land);
	for (int vm = 0; vm < N_VMS; vm++) {
		answer_call(sim, vm);
		if (next_request_to_send(sim, vm) != 0 &&
		    sim->n_messages < MAX_MESSAGES)
			send_job(sim, vm);
	}
	for (unsigned i = 0; i < sim->n_messages; i++) {
		struct message *message = &sim->messages[i];

		if (message->state == MESSAGE_SENT)
			run_job(sim, message);
		if (message->state == MESSAGE_RAN ||
		    message->state == MESSAGE_REFUSED)
			apply_message_event(sim, REPLY, message);
	}
	sim->now += 100;
	for (int vm = 0; vm < N_VMS; vm++)
		wv_job_store_tick(sim->vms[vm].jobs, sim->now);
}

/* Returns a fault of the jobs at the end of an order of events, or NULL. */
static const char *
check_answers(const struct sim *sim)
{
	for (int vm = 0; vm < N_VMS; vm++) {
		for (uint64_t r = 1; r <= sim->submitted[vm]; r++) {
			if (sim->vms[vm].requests[r].answers != 1 &&
			    is_reported(sim, UNANSWERED))
				return UNANSWERED;
		}
		if (wv_job_store_pending(sim->vms[vm].jobs) != 0 &&
		    is_reported(sim, UNFINISHED))
			return UNFINISHED;
	}
	return NULL;
}

/*
 * Returns whether the record is claimed by a current process. It would stay
 * claimed for ever, as a sweep leaves the claims of live processes.
 */
static bool
has_claim_of_live_process(const struct sim *sim)
{
	struct wv_job_record *record;
	struct wv_job_bucket *bucket;
	struct wv_status status;
	bool found = false;

	if (sim->store.version == 0)
		return false;
	bucket = wv_job_bucket_parse(sim->store.value, &status);
	record = wv_job_bucket_find(bucket, text("kestane"), text(KEY));
	for (int vm = 0; record != NULL && vm < N_VMS; vm++) {
		if (record->state == WV_JOB_STATE_CLAIMED &&
		    record->incarnation == sim->incarnations[vm] &&
		    wv_string_equal(record->vm, text(vm_names[vm])))
			found = true;
	}
	wv_job_bucket_destroy(bucket);
	return found;
}

static const char *
finish_simulation(void *data)
{
	struct sim *sim = data;
	const char *fault = NULL;

	for (int i = 0; i < 200 && fault == NULL; i++) {
		if (i > 5 && is_idle(sim))
			break;
		complete_one_round(sim);
		fault = check_simulation(sim);
	}
	if (fault == NULL)
		fault = check_answers(sim);
	if (fault == NULL && has_claim_of_live_process(sim) &&
	    is_reported(sim, LEFT_CLAIMED))
		fault = LEFT_CLAIMED;
	return fault;
}

static void
describe_cache(const struct cache *cache, const struct sim *sim, GString *out)
{
	g_string_append_printf(out, "|%d %lu %lu %d %u %u %d %d %d",
	    cache->call, (unsigned long)cache->version,
	    (unsigned long)cache->max_version, cache->sweep_requested,
	    cache->failures, cache->unanswered_calls,
	    cache->next_call_at > sim->now,
	    sim->now - cache->content_current_at > 20,
	    cache->contended_until > sim->now
		? (int)((cache->contended_until - sim->now) / ADVANCE_MSEC)
		: -1);
	g_string_append_printf(
	    out, " %d%d", cache->sweep_fresh, cache->sweep_in_read);
	if (cache->content != NULL) {
		struct wv_string value = wv_job_bucket_encode(cache->content);

		g_string_append(out, value.data);
		wv_string_clear(&value);
	}
	for (guint i = 0; i < cache->jobs->len; i++) {
		const struct job *job = g_ptr_array_index(cache->jobs, i);

		g_string_append_printf(out,
		    "/%lu %lu %d%d%d%d%d%d %lu %g %g %g %d",
		    (unsigned long)job->request, (unsigned long)job->token,
		    job->stage, job->answered, job->fresh, job->in_read,
		    job->in_write, job->was_claiming,
		    (unsigned long)job->base_version, job->claimed_at,
		    job->send_before - FAKE_UNIX, job->deadline, job->outcome);
	}
	for (guint i = 0; i < cache->key_ops->len; i++) {
		const struct key_op *op = g_ptr_array_index(cache->key_ops, i);

		g_string_append_printf(out, "?%lu %g %d%d%d%d%d %u",
		    (unsigned long)op->request, op->requested_at, op->kind,
		    op->fresh, op->in_read, op->in_write, op->outcome_unknown,
		    op->attempts);
	}
}

static void
describe_vm(const struct sim *sim, int vm, GString *out)
{
	const struct fake_vm *fake = &sim->vms[vm];

	g_string_append_printf(out, "\nvm %u %lu %d %lu %d",
	    sim->incarnations[vm], (unsigned long)sim->submitted[vm],
	    fake->call, (unsigned long)fake->if_version, fake->jobs->swept);
	g_string_append_printf(out, " %lu %g",
	    (unsigned long)fake->jobs->next_token,
	    fake->jobs->unix_offset == 0 ? 0.0 : 1.0);
	if (fake->call == FAKE_WRITE)
		g_string_append(out, fake->value.data);
	for (int r = 1; r < FAKE_MAX_REQUESTS; r++) {
		const struct fake_request *request = &fake->requests[r];

		if (request->answers + request->claims > 0)
			g_string_append_printf(out, " %d:%u %u %d %d", r,
			    request->answers, request->claims, request->code,
			    sim->sent[vm][r]);
	}
	describe_cache(&fake->jobs->caches[0], sim, out);
}

static void
describe_simulation(void *data, GString *out)
{
	struct sim *sim = data;
	const struct scenario *remaining = &sim->remaining;

	g_string_append_printf(out, "%u%u %u%u%u %u%u%u%u%u %u%u %g %d%d %u",
	    remaining->submits[0], remaining->submits[1], remaining->losses,
	    remaining->late_writes, remaining->refusals, remaining->advances,
	    remaining->restarts, remaining->sweeps, remaining->resolutions,
	    remaining->expiries, remaining->job_refusals, remaining->time_outs,
	    sim->now, sim->accepted, sim->expired, sim->runs);
	g_string_append_printf(out, " %lu ", (unsigned long)sim->store.version);
	if (sim->store.version > 0)
		g_string_append(out, sim->store.value.data);
	if (sim->has_late_write)
		g_string_append_printf(out, " late %lu %s",
		    (unsigned long)sim->late_write_version,
		    sim->late_write.data);
	for (unsigned i = 0; i < sim->n_messages; i++) {
		const struct message *m = &sim->messages[i];

		g_string_append_printf(out, " m%d %d %u %lu %g %d%d", m->state,
		    m->vm, m->incarnation, (unsigned long)m->request,
		    m->expires - FAKE_UNIX, m->ran, m->timed_out);
	}
	for (int vm = 0; vm < N_VMS; vm++)
		describe_vm(sim, vm, out);
}

static const struct explore_model job_model = {create_simulation,
    destroy_simulation, list_events, apply_event, check_simulation,
    finish_simulation, describe_simulation, event_name};

#endif
