/**
 * @file
 * A model of the store, two VMs, a searcher that counts runs and an operator
 * around one job key, for the exploration of event orders. Faults: two runs,
 * "not run" for a job that ran, an accepted key that vanishes, a job without
 * its answer. A mutated world must fail.
 */
#ifndef WISTERIAVANE_TEST_JOB_WORLD_H
#define WISTERIAVANE_TEST_JOB_WORLD_H

#include "src/job_private.h"
#include "test/explore_model.h"
#include "test/job_fake.h"

#define N_VMS 2
#define KEY "1700000000-a"
#define STEP 2500.0
#define EXPIRY (2 * 3600e3)
#define MAX_MESSAGES 4
#define MAX_STATES 100000

enum mutation {
	MUTATE_NOTHING,
	SEND_BEFORE_CLAIM, /* the edge sends when the job is submitted */
	SEND_AFTER_PAUSE, /* the edge does not ask before it sends */
	SEARCHER_IGNORES_EXPIRY,
	STORE_IGNORES_VERSION,
	LOST_CALLED_REFUSED, /* the edge takes a lost write for a refused one */
	TIMEOUT_CALLED_NOT_RUN, /* the edge takes a timeout for a proof */
	RECORD_LOST, /* expiry removes a record without a mark */
	OUTCOME_DROPPED /* the edge does not pass the searcher's word on */
};

/* How often each kind of event may happen. */
struct scenario {
	unsigned submits[N_VMS];
	unsigned losses, late_writes, refusals;
	unsigned advances, restarts, sweeps, resolutions, expiries;
	unsigned job_refusals, time_outs;
	/*
	 * Reads are answered at once. Since writes are conditional, a change
	 * between a read and its write shows as a change during the write.
	 */
	bool instant_reads;
	enum mutation mutation;
	const char *wanted; /* look for this fault only, if not NULL */
};

enum event_kinds {
	SUBMIT,
	ANSWER_CALL,
	LOSE_BEFORE,
	LOSE_AFTER,
	LOSE_LATE,
	REFUSE_CALL,
	LAND_LATE,
	SEND,
	RUN,
	REFUSE_JOB,
	REPLY,
	TIME_OUT,
	ADVANCE,
	TICK,
	RESTART,
	SWEEP,
	RESOLVE,
	EXPIRE
};

static const char *const event_names[] = {"submit", "answer", "lose-before",
    "lose-after", "lose-late", "refuse", "land", "send", "run", "refuse-job",
    "reply", "time-out", "advance", "tick", "restart", "sweep", "resolve",
    "expire"};

/* Where a job's message to the searcher is. */
enum message_state {
	MESSAGE_NONE,
	MESSAGE_SENT,
	MESSAGE_RAN,
	MESSAGE_REFUSED,
	MESSAGE_OVER
};

struct message {
	enum message_state state;
	int vm;
	unsigned incarnation;
	uint64_t request;
	wv_msec expires; /* Unix time */
	bool ran;
	bool timed_out; /* the sender no longer waits */
};

struct world {
	struct scenario left;
	struct fake_store store;
	struct fake_vm vms[N_VMS];
	unsigned incarnations[N_VMS];
	uint64_t submitted[N_VMS]; /* by the current process */
	bool sent[N_VMS][FAKE_REQUESTS];
	struct message messages[MAX_MESSAGES];
	unsigned n_messages;
	unsigned runs;
	struct wv_string late; /* a write still on its way; owned */
	uint64_t late_version;
	bool has_late;
	bool accepted; /* a claim of the key stood */
	bool expired;
	bool vouched; /* an operator spoke by what had happened by then */
	wv_msec now;
	/* What the stored bucket says, as of a version of it. */
	uint64_t checked_version;
	enum wv_job_state state;
	bool found, marked;
};

static const char *const vm_names[N_VMS] = {"vm1", "vm2"};

static void
start_vm(struct world *world, int vm)
{
	world->incarnations[vm]++;
	world->submitted[vm] = 0;
	memset(world->sent[vm], 0, sizeof(world->sent[vm]));
	fake_start(&world->vms[vm], vm_names[vm], world->incarnations[vm],
	    &world->store);
	/* The rate of writes is no matter here. */
	wv_job_store_set_write_rate(world->vms[vm].jobs, 1e9);
}

static void *
create_world(const void *scenario)
{
	struct world *world = g_new0(struct world, 1);

	world->left = *(const struct scenario *)scenario;
	for (int i = 0; i < N_VMS; i++)
		start_vm(world, i);
	return world;
}

static void
destroy_world(void *data)
{
	struct world *world = data;

	for (int i = 0; i < N_VMS; i++)
		fake_stop(&world->vms[i]);
	wv_string_clear(&world->late);
	wv_string_clear(&world->store.value);
	g_free(world);
}

static const char *
event_name(struct explore_event event)
{
	return event_names[event.kind];
}

struct event_list {
	struct explore_event *events;
	size_t n;
};

static void
offer(struct event_list *list, bool possible, int kind, int arg)
{
	if (!possible)
		return;
	g_assert_cmpuint(list->n, <, EXPLORE_MAX_EVENTS);
	list->events[list->n].kind = kind;
	list->events[list->n].arg = arg;
	list->n++;
}

/* Returns the oldest request whose claim stands and was not sent, or 0. */
static uint64_t
next_send(const struct world *world, int vm)
{
	for (uint64_t r = 1; r <= world->submitted[vm]; r++) {
		const struct fake_request *request =
		    &world->vms[vm].requests[r];

		if (world->sent[vm][r])
			continue;
		if (world->left.mutation == SEND_BEFORE_CLAIM ||
		    (request->claims > 0 &&
			(request->answers == 0 ||
			    world->left.mutation == SEND_AFTER_PAUSE)))
			return r;
	}
	return 0;
}

static void
list_calls(const struct world *world, struct event_list *list, int vm)
{
	const struct fake_vm *v = &world->vms[vm];
	const struct scenario *left = &world->left;
	bool write = v->call == FAKE_WRITE;
	bool call = v->call != FAKE_NONE;

	offer(list, call, ANSWER_CALL, vm);
	offer(list, call && left->losses > 0, LOSE_BEFORE, vm);
	offer(list, write && left->losses > 0, LOSE_AFTER, vm);
	offer(list, write && left->late_writes > 0 && !world->has_late,
	    LOSE_LATE, vm);
	offer(list, write && left->refusals > 0, REFUSE_CALL, vm);
}

static void
list_messages(const struct world *world, struct event_list *list)
{
	for (unsigned i = 0; i < world->n_messages; i++) {
		const struct message *message = &world->messages[i];

		offer(list, message->state == MESSAGE_SENT, RUN, (int)i);
		offer(list, message->state == MESSAGE_SENT, REFUSE_JOB, (int)i);
		offer(list,
		    message->state == MESSAGE_RAN ||
			message->state == MESSAGE_REFUSED,
		    REPLY, (int)i);
		offer(list,
		    !message->timed_out && message->state != MESSAGE_OVER &&
			world->left.time_outs > 0,
		    TIME_OUT, (int)i);
	}
}

static size_t
list_events(void *data, struct explore_event *events)
{
	struct world *world = data;
	struct event_list list = {events, 0};
	const struct scenario *left = &world->left;

	for (int vm = 0; vm < N_VMS; vm++) {
		wv_msec tick = wv_job_store_next_tick(world->vms[vm].jobs);

		offer(&list, left->submits[vm] > 0, SUBMIT, vm);
		list_calls(world, &list, vm);
		offer(&list,
		    next_send(world, vm) != 0 &&
			world->n_messages < MAX_MESSAGES,
		    SEND, vm);
		offer(&list, tick <= world->now + STEP / 2, TICK, vm);
	}
	list_messages(world, &list);
	offer(&list, world->has_late, LAND_LATE, 0);
	offer(&list, left->advances > 0, ADVANCE, 0);
	offer(&list, left->expiries > 0, EXPIRE, 0);
	offer(&list, left->restarts > 0, RESTART, 0);
	offer(&list, left->sweeps > 0, SWEEP, 1);
	offer(&list, left->resolutions > 0, RESOLVE, 1);
	return list.n;
}

static void
send_job(struct world *world, int vm)
{
	struct fake_vm *v = &world->vms[vm];
	uint64_t request = next_send(world, vm);
	struct message *message = &world->messages[world->n_messages];
	wv_msec expires = wv_job_store_send_before(v->jobs, request);
	bool allowed = wv_job_store_may_send(v->jobs, world->now, request);

	world->sent[vm][request] = true;
	if (!allowed && world->left.mutation != SEND_BEFORE_CLAIM &&
	    world->left.mutation != SEND_AFTER_PAUSE)
		return;
	/* The mutated edges have no expiry to state, either. */
	if (!allowed)
		expires = WV_MSEC_NEVER;
	message->state = MESSAGE_SENT;
	message->vm = vm;
	message->incarnation = world->incarnations[vm];
	message->request = request;
	message->expires = expires;
	world->n_messages++;
}

static void
run_job(struct world *world, struct message *message)
{
	bool late = FAKE_UNIX + world->now > message->expires;

	if (late && world->left.mutation != SEARCHER_IGNORES_EXPIRY) {
		message->state = MESSAGE_REFUSED;
		return;
	}
	message->state = MESSAGE_RAN;
	message->ran = true;
	world->runs++;
}

/* Delivers a reply, or its loss, to the process that sent the job. */
static void
end_message(struct world *world, struct message *message, enum wv_code code)
{
	bool same = message->incarnation == world->incarnations[message->vm];

	if (same && !message->timed_out &&
	    world->left.mutation != OUTCOME_DROPPED)
		wv_job_store_outcome(world->vms[message->vm].jobs, world->now,
		    message->request, code, text("r"));
}

static void
apply_message(struct world *world, int kind, struct message *message)
{
	switch (kind) {
	case RUN:
		run_job(world, message);
		break;
	case REFUSE_JOB:
		world->left.job_refusals--;
		message->state = MESSAGE_REFUSED;
		break;
	case REPLY:
		end_message(world, message,
		    message->state == MESSAGE_RAN ? WV_OK : WV_JOB_NOT_RUN);
		message->state = MESSAGE_OVER;
		break;
	default:
		world->left.time_outs--;
		end_message(world, message,
		    world->left.mutation == TIMEOUT_CALLED_NOT_RUN
			? WV_JOB_NOT_RUN
			: WV_JOB_UNKNOWN);
		message->timed_out = true;
	}
}

static void
answer_call(struct world *world, int vm)
{
	struct fake_vm *v = &world->vms[vm];

	if (v->call == FAKE_WRITE &&
	    world->left.mutation == STORE_IGNORES_VERSION)
		v->if_version = world->store.version;
	fake_complete(v, world->now);
}

static void
lose_late(struct world *world, int vm)
{
	struct fake_vm *v = &world->vms[vm];

	world->left.late_writes--;
	world->late = wv_string_copy(v->value);
	world->late_version = v->if_version;
	world->has_late = true;
	fake_fail(v, world->now,
	    world->left.mutation == LOST_CALLED_REFUSED ? WV_STORE_REFUSED
							: WV_STORE_LOST,
	    false);
}

static void
apply_call(struct world *world, int kind, int vm)
{
	switch (kind) {
	case ANSWER_CALL:
		answer_call(world, vm);
		break;
	case LOSE_LATE:
		lose_late(world, vm);
		break;
	case REFUSE_CALL:
		world->left.refusals--;
		fake_fail(&world->vms[vm], world->now, WV_STORE_REFUSED, false);
		break;
	default:
		world->left.losses--;
		fake_fail(&world->vms[vm], world->now, WV_STORE_LOST,
		    kind == LOSE_AFTER);
	}
}

static void
restart(struct world *world)
{
	world->left.restarts--;
	fake_stop(&world->vms[0]);
	start_vm(world, 0);
}

/* An operator says what the searcher's records show at that moment. */
static void
resolve(struct world *world, int vm)
{
	world->left.resolutions--;
	wv_job_store_resolve(world->vms[vm].jobs, world->now,
	    FAKE_REQUESTS - 1 - world->left.resolutions, text("kestane"),
	    text(KEY), world->runs > 0);
}

static void
expire(struct world *world)
{
	world->left.expiries--;
	world->expired = true;
	world->now += EXPIRY;
	if (world->left.mutation != RECORD_LOST)
		return;
	wv_string_clear(&world->store.value);
	world->store.value =
	    wv_string_copy(text("{\"expired_before\":{},\"records\":[]}"));
	world->store.version++;
}

static void
apply_own(struct world *world, int kind, int vm)
{
	struct fake_vm *v = &world->vms[vm];

	switch (kind) {
	case SUBMIT:
		world->left.submits[vm]--;
		fake_submit(v, world->now, ++world->submitted[vm], KEY, "p",
		    world->now + 1.5 * STEP);
		break;
	case SEND:
		send_job(world, vm);
		break;
	case TICK:
		wv_job_store_tick(
		    v->jobs, MAX(world->now, wv_job_store_next_tick(v->jobs)));
		break;
	case SWEEP:
		world->left.sweeps--;
		fake_sweep(v, world->now, NULL, 0);
		break;
	default:
		resolve(world, vm);
	}
}

static void
apply_one(struct world *world, struct explore_event event)
{
	switch (event.kind) {
	case ANSWER_CALL:
	case LOSE_BEFORE:
	case LOSE_AFTER:
	case LOSE_LATE:
	case REFUSE_CALL:
		apply_call(world, event.kind, event.arg);
		break;
	case RUN:
	case REFUSE_JOB:
	case REPLY:
	case TIME_OUT:
		apply_message(world, event.kind, &world->messages[event.arg]);
		break;
	case LAND_LATE:
		world->has_late = false;
		fake_effect(&world->store, world->late, world->late_version);
		wv_string_clear(&world->late);
		break;
	case ADVANCE:
		world->left.advances--;
		world->now += STEP;
		break;
	case EXPIRE:
		expire(world);
		break;
	case RESTART:
		restart(world);
		break;
	default:
		apply_own(world, event.kind, event.arg);
	}
}

static void
apply_event(void *data, struct explore_event event)
{
	struct world *world = data;

	apply_one(world, event);
	for (int vm = 0; vm < N_VMS; vm++) {
		if (world->left.instant_reads &&
		    world->vms[vm].call == FAKE_READ)
			fake_complete(&world->vms[vm], world->now);
		for (uint64_t r = 1; r <= world->submitted[vm]; r++) {
			if (world->vms[vm].requests[r].claims > 0)
				world->accepted = true;
		}
	}
}

/* A request that was answered as not run must not have run. */
static bool
denied_a_run(const struct world *world)
{
	for (unsigned i = 0; i < world->n_messages; i++) {
		const struct message *message = &world->messages[i];
		const struct fake_request *request =
		    &world->vms[message->vm].requests[message->request];

		if (message->ran &&
		    message->incarnation == world->incarnations[message->vm] &&
		    request->answers > 0 && wv_code_not_run(request->code))
			return true;
	}
	return false;
}

/* Reads the key's record and mark from the store. */
static void
read_state(struct world *world)
{
	struct wv_job_bucket *bucket;
	struct wv_job_record *record;
	struct wv_status status;

	if (world->checked_version == world->store.version)
		return;
	world->checked_version = world->store.version;
	bucket = wv_job_bucket_parse(world->store.value, &status);
	g_assert_nonnull(bucket);
	record = wv_job_bucket_find(bucket, text("kestane"), text(KEY));
	world->found = record != NULL;
	if (record != NULL)
		world->state = record->state;
	world->marked =
	    wv_job_bucket_watermark(bucket, text("kestane")) > 1700000000;
	wv_job_bucket_destroy(bucket);
}

static bool
is_wanted(const struct world *world, const char *fault)
{
	return world->left.wanted == NULL ||
	    strcmp(world->left.wanted, fault) == 0;
}

#define TWO_RUNS "two runs"
#define DENIED "a job that ran was called not run"
#define VANISHED "an accepted key vanished"
#define RECORD_DENIES "the record of a job that ran says not run"
#define UNANSWERED "a job was not answered"
#define UNFINISHED "a job was not finished"
#define LEFT_CLAIMED "a live process left its claim"

/* A raised mark is as good as a record: the key cannot run again. */
static const char *
check_world(void *data)
{
	struct world *world = data;
	bool denies;

	read_state(world);
	denies = world->found &&
	    (world->state == WV_JOB_STATE_NOT_RUN ||
		world->state == WV_JOB_STATE_RESOLVED_NOT_RUN);
	if (world->runs > 1 && is_wanted(world, TWO_RUNS))
		return TWO_RUNS;
	if (denied_a_run(world) && is_wanted(world, DENIED))
		return DENIED;
	if (world->accepted && !world->found && !world->marked &&
	    is_wanted(world, VANISHED))
		return VANISHED;
	if (world->runs > 0 && denies && is_wanted(world, RECORD_DENIES))
		return RECORD_DENIES;
	return NULL;
}

static bool
is_calm(const struct world *world)
{
	for (int vm = 0; vm < N_VMS; vm++) {
		if (world->vms[vm].call != FAKE_NONE ||
		    wv_job_store_next_tick(world->vms[vm].jobs) < WV_MSEC_NEVER)
			return false;
	}
	return !world->has_late;
}

/* Lets everything that is on its way happen, in a fixed order. */
static void
finish_step(struct world *world)
{
	struct explore_event land = {LAND_LATE, 0};

	if (world->has_late)
		apply_event(world, land);
	for (int vm = 0; vm < N_VMS; vm++) {
		answer_call(world, vm);
		if (next_send(world, vm) != 0 &&
		    world->n_messages < MAX_MESSAGES)
			send_job(world, vm);
	}
	for (unsigned i = 0; i < world->n_messages; i++) {
		struct message *message = &world->messages[i];

		if (message->state == MESSAGE_SENT)
			run_job(world, message);
		if (message->state == MESSAGE_RAN ||
		    message->state == MESSAGE_REFUSED)
			apply_message(world, REPLY, message);
	}
	world->now += 100;
	for (int vm = 0; vm < N_VMS; vm++)
		wv_job_store_tick(world->vms[vm].jobs, world->now);
}

static const char *
check_answers(const struct world *world)
{
	for (int vm = 0; vm < N_VMS; vm++) {
		for (uint64_t r = 1; r <= world->submitted[vm]; r++) {
			if (world->vms[vm].requests[r].answers != 1 &&
			    is_wanted(world, UNANSWERED))
				return UNANSWERED;
		}
		if (wv_job_store_pending(world->vms[vm].jobs) != 0 &&
		    is_wanted(world, UNFINISHED))
			return UNFINISHED;
	}
	return NULL;
}

/* A claimed record of a live process would stay claimed for ever. */
static bool
left_claimed(const struct world *world)
{
	struct wv_job_record *record;
	struct wv_job_bucket *bucket;
	struct wv_status status;
	bool left = false;

	if (world->store.version == 0)
		return false;
	bucket = wv_job_bucket_parse(world->store.value, &status);
	record = wv_job_bucket_find(bucket, text("kestane"), text(KEY));
	for (int vm = 0; record != NULL && vm < N_VMS; vm++) {
		if (record->state == WV_JOB_STATE_CLAIMED &&
		    record->incarnation == world->incarnations[vm] &&
		    wv_string_equal(record->vm, text(vm_names[vm])))
			left = true;
	}
	wv_job_bucket_destroy(bucket);
	return left;
}

static const char *
finish_world(void *data)
{
	struct world *world = data;
	const char *fault = NULL;

	for (int i = 0; i < 200 && fault == NULL; i++) {
		if (i > 5 && is_calm(world))
			break;
		finish_step(world);
		fault = check_world(world);
	}
	if (fault == NULL)
		fault = check_answers(world);
	if (fault == NULL && left_claimed(world) &&
	    is_wanted(world, LEFT_CLAIMED))
		fault = LEFT_CLAIMED;
	return fault;
}

static void
describe_cache(
    const struct cache *cache, const struct world *world, GString *out)
{
	g_string_append_printf(out, "|%d %lu %lu %d %u %u %d %d %d",
	    cache->call, (unsigned long)cache->version,
	    (unsigned long)cache->max_version, cache->sweep, cache->failures,
	    cache->unanswered_calls, cache->next_call_at > world->now,
	    world->now - cache->content_current_at > 20,
	    cache->contended_until > world->now
		? (int)((cache->contended_until - world->now) / STEP)
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
describe_vm(const struct world *world, int vm, GString *out)
{
	const struct fake_vm *v = &world->vms[vm];

	g_string_append_printf(out, "\nvm %u %lu %d %lu %d",
	    world->incarnations[vm], (unsigned long)world->submitted[vm],
	    v->call, (unsigned long)v->if_version, v->jobs->swept);
	g_string_append_printf(out, " %lu %g",
	    (unsigned long)v->jobs->next_token,
	    v->jobs->unix_offset == 0 ? 0.0 : 1.0);
	if (v->call == FAKE_WRITE)
		g_string_append(out, v->value.data);
	for (int r = 1; r < FAKE_REQUESTS; r++) {
		const struct fake_request *request = &v->requests[r];

		if (request->answers + request->claims > 0)
			g_string_append_printf(out, " %d:%u %u %d %d", r,
			    request->answers, request->claims, request->code,
			    world->sent[vm][r]);
	}
	describe_cache(&v->jobs->caches[0], world, out);
}

static void
describe_world(void *data, GString *out)
{
	struct world *world = data;
	const struct scenario *left = &world->left;

	g_string_append_printf(out, "%u%u %u%u%u %u%u%u%u%u %u%u %g %d%d %u",
	    left->submits[0], left->submits[1], left->losses, left->late_writes,
	    left->refusals, left->advances, left->restarts, left->sweeps,
	    left->resolutions, left->expiries, left->job_refusals,
	    left->time_outs, world->now, world->accepted, world->expired,
	    world->runs);
	g_string_append_printf(
	    out, " %lu ", (unsigned long)world->store.version);
	if (world->store.version > 0)
		g_string_append(out, world->store.value.data);
	if (world->has_late)
		g_string_append_printf(out, " late %lu %s",
		    (unsigned long)world->late_version, world->late.data);
	for (unsigned i = 0; i < world->n_messages; i++) {
		const struct message *m = &world->messages[i];

		g_string_append_printf(out, " m%d %d %u %lu %g %d%d", m->state,
		    m->vm, m->incarnation, (unsigned long)m->request,
		    m->expires - FAKE_UNIX, m->ran, m->timed_out);
	}
	for (int vm = 0; vm < N_VMS; vm++)
		describe_vm(world, vm, out);
}

static const struct explore_model job_model = {create_world, destroy_world,
    list_events, apply_event, check_world, finish_world, describe_world,
    event_name};

#endif
