/**
 * @file
 * Fault injection of the soak. The faults are drawn at random from the seed and
 * may overlap.
 */
#include <signal.h>

#include "soak/action.h"

/** Bounds of the random time between the starts of two faults, ms. */
#define MIN_FAULT_INTERVAL 150
#define MAX_FAULT_INTERVAL 900
/** Bounds of the random duration of a fault, ms. */
#define MIN_FAULT_DURATION 200
#define MAX_FAULT_DURATION 2000
/** Most faults of a series, and longest time between two of them, ms. */
#define MAX_SERIES 8
#define MAX_SERIES_INTERVAL 250.0
/** Time after which a draining searcher must receive no new requests, ms. */
#define DRAIN_BOUND 3000.0
/** Time after DRAIN_BOUND during which requests to it are counted, ms. */
#define DRAIN_CHECK_TIME 1500.0

/** Entry of another writer that can't be read. */
#define UNREADABLE_NAME "i-unreadable"
#define UNREADABLE_DEPTH 100

/* The check of a searcher that drains. */
struct drain {
	uint64_t arrivals; /* by DRAIN_BOUND */
	bool in_store; /* the searcher's entry says that it drains */
};

static void
mark_all_vms_affected(struct soak *soak, wv_msec duration)
{
	for (unsigned i = 0; i < soak->n_vms; i++)
		soak_vm_mark_affected(soak, &soak->vms[i], duration);
}

static void
resume_vm(struct action *action)
{
	struct soak_vm *vm = &action->soak->vms[action->index];

	if (vm->pid != 0 && vm->paused)
		kill(vm->pid, SIGCONT);
	vm->paused = false;
	vm->start_due =
	    MAX(vm->start_due, soak_now(action->soak) + SOAK_START_BOUND);
	action_destroy(action);
}

static void
pause_vm(struct soak *soak, unsigned i, wv_msec duration)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_record_fault(soak, "%s is paused for %.0f ms", vm->name, duration);
	if (vm->pid == 0)
		return;
	kill(vm->pid, SIGSTOP);
	vm->paused = true;
	soak_vm_mark_affected(soak, vm, duration);
	action_schedule(soak, duration, i, resume_vm);
}

static void
kill_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_record_fault(soak, "%s is killed", vm->name);
	soak_vm_mark_affected(soak, vm, 0);
	if (vm->pid == 0)
		return;
	vm->killed = true;
	kill(vm->pid, SIGKILL);
}

static void
stop_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_record_fault(soak, "%s is asked to stop", vm->name);
	if (!vm->stopping)
		soak_vm_stop(vm, random_below(soak, 2) == 0 ? SIGTERM : SIGINT);
}

static void
reload_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_record_fault(soak, "%s reloads its settings", vm->name);
	soak_vm_signal(vm, SIGHUP);
}

static void
restore_store(struct action *action)
{
	standin_store_set_fault(action->soak->store, "none");
	action_destroy(action);
}

static void
fail_store(struct soak *soak, wv_msec duration)
{
	static const char *const faults[] = {"busy", "silent", "reset", "lost"};
	const char *fault = faults[random_below(soak, G_N_ELEMENTS(faults))];

	soak_record_fault(soak, "the store is %s for %.0f ms", fault, duration);
	standin_store_set_fault(soak->store, fault);
	soak->store_affected_until =
	    soak_now(soak) + duration + SOAK_RECOVERY_TIME;
	action_schedule(soak, duration, 0, restore_store);
}

static void
restore_store_link(struct action *action)
{
	proxy_set_mode(action->soak->vms[action->index].store, PROXY_FORWARD);
	action_destroy(action);
}

static void
fail_store_link(struct soak *soak, unsigned i, wv_msec duration)
{
	enum proxy_mode mode = PROXY_DELAY + random_below(soak, 4);

	soak_record_fault(soak,
	    "the store's link of %s is in mode %d for %.0f ms",
	    soak->vms[i].name, mode, duration);
	proxy_set_mode(soak->vms[i].store, mode);
	soak->store_affected_until = MAX(soak->store_affected_until,
	    soak_now(soak) + duration + SOAK_RECOVERY_TIME);
	action_schedule(soak, duration, i, restore_store_link);
}

static void
restore_link(struct action *action)
{
	proxy_set_mode(action->soak->links[action->index], PROXY_FORWARD);
	action_destroy(action);
}

static void
fail_link(struct soak *soak, wv_msec duration)
{
	unsigned i = random_below(soak, SOAK_SERVICES * SOAK_REPLICAS);
	enum proxy_mode mode = PROXY_DELAY + random_below(soak, 4);

	soak_record_fault(soak,
	    "the link of searcher %u is in mode %d for %.0f ms", i, mode,
	    duration);
	proxy_set_mode(soak->links[i], mode);
	action_schedule(soak, duration, i, restore_link);
}

static char *
searcher_id(unsigned i)
{
	return standin_searcher_id(i / SOAK_REPLICAS, i % SOAK_REPLICAS);
}

static void
restore_searcher(struct action *action)
{
	char *id = searcher_id(action->index);

	standin_searchers_set_mode(action->soak->searchers, id, "sound");
	g_free(id);
	action_destroy(action);
}

static void
fail_searcher(struct soak *soak, wv_msec duration)
{
	static const char *const modes[] = {"dark", "shed", "rest", "fail",
	    "fail-429", "fail-503", "break", "extra", "stale", "garbled"};
	unsigned i = random_below(soak, SOAK_SERVICES * SOAK_REPLICAS);
	const char *mode = modes[random_below(soak, G_N_ELEMENTS(modes))];
	char *id = searcher_id(i);

	soak_record_fault(
	    soak, "searcher %s is %s for %.0f ms", id, mode, duration);
	standin_searchers_set_mode(soak->searchers, id, mode);
	g_free(id);
	action_schedule(soak, duration, i, restore_searcher);
}

static void
write_searcher(struct soak *soak, unsigned i, bool draining)
{
	char *id = searcher_id(i);
	char service[16];

	g_snprintf(service, sizeof(service), "s%u", i / SOAK_REPLICAS);
	standin_store_write(soak->store, STANDIN_KIND_SEARCHERS, id,
	    standin_searcher_spec(service, proxy_address(soak->links[i]),
		soak->incarnations[i], draining));
	g_free(id);
}

/*
 * Runs twice: DRAIN_BOUND after the start of a drain it reads the number of
 * requests that the searcher has received, and DRAIN_CHECK_TIME later it checks
 * that there are no more, unless the store was affected by a fault. The
 * searcher is then restarted.
 */
static void
check_drained(struct action *action)
{
	struct soak *soak = action->soak;
	unsigned i = action->index;
	struct drain *drain = action->data;
	uint64_t arrivals = standin_searchers_arrivals(
	    soak->searchers, i / SOAK_REPLICAS, i % SOAK_REPLICAS);

	if (action->stage++ == 0) {
		drain->arrivals = arrivals;
		action_repeat(action, DRAIN_CHECK_TIME);
		return;
	}
	/*
	 * If only its answers say that it is leaving, VMs that restart or that
	 * it has not answered yet don't know.
	 */
	if (drain->in_store && arrivals != drain->arrivals &&
	    soak_now(soak) >
		soak->store_affected_until + DRAIN_BOUND + DRAIN_CHECK_TIME)
		soak_record_violation(soak,
		    "draining searcher %u got %u requests after the bound", i,
		    (unsigned)(arrivals - drain->arrivals));
	soak->incarnations[i]++;
	soak->draining[i] = false;
	standin_searchers_set_leaving(
	    soak->searchers, i / SOAK_REPLICAS, i % SOAK_REPLICAS, false);
	write_searcher(soak, i, false);
	g_free(drain);
	action_destroy(action);
}

static void
drain_searcher(struct soak *soak)
{
	/*
	 * The first replica of a service is never drained, so that each
	 * service keeps a searcher.
	 */
	unsigned i = random_below(soak, SOAK_SERVICES) * SOAK_REPLICAS + 1 +
	    random_below(soak, SOAK_REPLICAS - 1);
	bool in_answers, in_store;
	struct drain *drain;

	/*
	 * A second drain must not overlap the first: requests that arrive
	 * after the end of the first would count as late for the second.
	 */
	if (soak->draining[i])
		return;
	soak->draining[i] = true;
	in_answers = random_below(soak, 2) == 0;
	in_store = !in_answers || random_below(soak, 2) == 0;
	soak_record_fault(soak, "searcher %u drains, by its%s%s", i,
	    in_store ? " entry" : "", in_answers ? " answers" : "");
	standin_searchers_set_leaving(
	    soak->searchers, i / SOAK_REPLICAS, i % SOAK_REPLICAS, in_answers);
	if (in_store)
		write_searcher(soak, i, true);
	drain = g_new0(struct drain, 1);
	drain->in_store = in_store;
	action_schedule(soak, DRAIN_BOUND, i, check_drained)->data = drain;
}

/* Watches must read the lists again, in pages. */
static void
discard_history(struct soak *soak)
{
	soak_record_fault(soak, "the store discards its history");
	standin_store_discard_history(soak->store);
}

static void
remove_unreadable(struct action *action)
{
	standin_store_remove(
	    action->soak->store, STANDIN_KIND_SEARCHERS, UNREADABLE_NAME);
	action_destroy(action);
}

/* Writes an entry of another writer that is nested too deeply to be parsed. */
static void
write_unreadable(struct soak *soak, wv_msec duration)
{
	JsonObject *spec = json_object_new();
	JsonArray *array = json_array_new();

	for (unsigned i = 0; i < UNREADABLE_DEPTH; i++) {
		JsonArray *outer = json_array_new();

		json_array_add_array_element(outer, array);
		array = outer;
	}
	json_object_set_array_member(spec, "zone", array);
	soak_record_fault(soak, "an entry can't be read for %.0f ms", duration);
	standin_store_write(
	    soak->store, STANDIN_KIND_SEARCHERS, UNREADABLE_NAME, spec);
	action_schedule(soak, duration, 0, remove_unreadable);
}

static void
change_routes(struct soak *soak)
{
	soak->routes_version += 1 + random_below(soak, 5);
	soak_record_fault(
	    soak, "routes of version %u", (unsigned)soak->routes_version);
	standin_store_write(soak->store, STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT,
	    standin_routes(&soak->layout, soak->routes_version,
		1000 + 100 * random_below(soak, 10)));
}

/*
 * Injects the next fault of a series, which concerns one VM mostly; stage is
 * the number of those to come.
 */
static void
continue_series(struct action *action)
{
	struct soak *soak = action->soak;
	unsigned i = random_below(soak, 3) == 0
	    ? random_below(soak, soak->n_vms)
	    : action->index;

	if (action->stage-- == 0 || soak_now(soak) >= soak->faults_end_at) {
		action_destroy(action);
		return;
	}
	switch (random_below(soak, 4)) {
	case 0:
		kill_vm(soak, i);
		break;
	case 1:
		stop_vm(soak, i);
		break;
	case 2:
		reload_vm(soak, i);
		break;
	default:
		soak_inject_start_fault(soak, &soak->vms[i],
		    g_rand_int_range(
			soak->random, MIN_FAULT_DURATION, MAX_FAULT_DURATION));
		break;
	}
	action_repeat(
	    action, g_rand_double_range(soak->random, 0, MAX_SERIES_INTERVAL));
}

static void
start_series(struct soak *soak, unsigned i)
{
	action_schedule(soak, 0, i, continue_series)->stage =
	    2 + random_below(soak, MAX_SERIES - 1);
}

static void
inject_fault(struct soak *soak)
{
	wv_msec duration = g_rand_int_range(
	    soak->random, MIN_FAULT_DURATION, MAX_FAULT_DURATION);
	unsigned vm = random_below(soak, soak->n_vms);

	switch (random_below(soak, 20)) {
	case 0:
		pause_vm(soak, vm, duration);
		break;
	case 1:
		kill_vm(soak, vm);
		break;
	case 2:
	case 3:
		stop_vm(soak, vm);
		break;
	case 4:
		reload_vm(soak, vm);
		break;
	case 5:
		fail_store(soak, duration);
		break;
	case 6:
		fail_store_link(soak, vm, duration);
		break;
	case 7:
	case 8:
		fail_link(soak, duration);
		break;
	case 9:
		fail_searcher(soak, duration);
		break;
	case 10:
		drain_searcher(soak);
		break;
	case 11:
		discard_history(soak);
		break;
	case 12:
		write_unreadable(soak, duration);
		break;
	case 13:
		fail_searcher(soak, duration);
		break;
	case 14:
	case 15:
	case 16:
		soak_inject_start_fault(soak, &soak->vms[vm], duration);
		break;
	case 17:
	case 18:
		start_series(soak, vm);
		break;
	default:
		change_routes(soak);
		break;
	}
}

static void
inject_next_fault(struct action *action)
{
	struct soak *soak = action->soak;

	if (soak_now(soak) >= soak->faults_end_at) {
		mark_all_vms_affected(soak, 0);
		action_destroy(action);
		return;
	}
	inject_fault(soak);
	action_repeat(action,
	    g_rand_int_range(
		soak->random, MIN_FAULT_INTERVAL, MAX_FAULT_INTERVAL));
}

void
soak_faults_start(struct soak *soak)
{
	action_schedule(soak, MAX_FAULT_INTERVAL, 0, inject_next_fault);
}
