/**
 * @file
 * Fault injection of the soak. The faults are drawn at random from the seed and
 * may overlap.
 */
#include <signal.h>

#include "soak/action.h"
#include "soak/faults.h"

/** Bounds of the random time between the starts of two faults, ms. */
#define MIN_FAULT_INTERVAL 150
#define MAX_FAULT_INTERVAL 900
/** Bounds of the random duration of a fault, ms. */
#define MIN_FAULT_DURATION 200
#define MAX_FAULT_DURATION 2000
/** Most faults of a series, and longest time between two of them, ms. */
#define MAX_SERIES 8
#define MAX_SERIES_INTERVAL 250.0
/**
 * One in this many failures of the store ends with an older copy, the first one
 * included. Counted, not drawn, so that the other faults of a seed stay the
 * same.
 */
#define ERA_EVERY 2

struct faults {
	struct soak *soak;
	struct faults_config parts;
	unsigned store_failures; /* of the store for all VMs */
};

/* Schedules an action on one of several VMs or searchers. */
static struct action *
schedule(struct faults *faults, wv_msec delay, unsigned index,
    void (*run)(struct action *action))
{
	struct action *action =
	    action_schedule(faults->soak, delay, faults, run);

	action->index = index;
	return action;
}

static void
mark_all_vms_affected(struct faults *faults, wv_msec duration)
{
	for (unsigned i = 0; i < vms_count(faults->parts.vms); i++)
		vm_mark_affected(vms_get(faults->parts.vms, i), duration);
}

static void
resume_vm(struct action *action)
{
	struct faults *faults = action->owner;
	struct vm *vm = vms_get(faults->parts.vms, action->index);

	vm_resume(vm);
	action_destroy(action);
}

static void
pause_vm(struct faults *faults, unsigned i, wv_msec duration)
{
	struct vm *vm = vms_get(faults->parts.vms, i);

	soak_record_fault(
	    faults->soak, "%s is paused for %.0f ms", vm->name, duration);
	if (vm->pid == 0)
		return;
	vm_pause(vm);
	vm_mark_affected(vm, duration);
	schedule(faults, duration, i, resume_vm);
}

static void
kill_vm(struct faults *faults, unsigned i)
{
	struct vm *vm = vms_get(faults->parts.vms, i);

	soak_record_fault(faults->soak, "%s is killed", vm->name);
	vm_mark_affected(vm, 0);
	if (vm->pid == 0)
		return;
	vm->killed = true;
	kill(vm->pid, SIGKILL);
}

/* Whatever the VMs know is then lost, but what is in the store. */
static void
kill_all_vms(struct faults *faults)
{
	for (unsigned i = 0; i < vms_count(faults->parts.vms); i++)
		kill_vm(faults, i);
}

static void
stop_vm(struct faults *faults, unsigned i)
{
	struct vm *vm = vms_get(faults->parts.vms, i);

	soak_record_fault(faults->soak, "%s is asked to stop", vm->name);
	if (!vm->stopping)
		vm_stop(vm,
		    soak_random_below(faults->soak, 2) == 0 ? SIGTERM : SIGINT);
}

static void
reload_vm(struct faults *faults, unsigned i)
{
	struct vm *vm = vms_get(faults->parts.vms, i);

	soak_record_fault(faults->soak, "%s reloads its settings", vm->name);
	vm_signal(vm, SIGHUP);
}

static void
restore_store(struct action *action)
{
	struct faults *faults = action->owner;

	standin_store_set_fault(cluster_store(faults->parts.cluster), "none");
	if (faults->store_failures++ % ERA_EVERY == 0) {
		eras_begin(faults->parts.eras);
		evacuations_note_era(faults->parts.evacuations);
	}
	action_destroy(action);
}

static void
fail_store(struct faults *faults, wv_msec duration)
{
	static const char *const names[] = {"busy", "silent", "reset", "lost"};
	const char *fault =
	    names[soak_random_below(faults->soak, G_N_ELEMENTS(names))];

	soak_record_fault(
	    faults->soak, "the store is %s for %.0f ms", fault, duration);
	standin_store_set_fault(cluster_store(faults->parts.cluster), fault);
	cluster_mark_store_affected(faults->parts.cluster, duration);
	evacuations_note_store_failure(faults->parts.evacuations, duration);
	schedule(faults, duration, 0, restore_store);
}

static void
restore_store_link(struct action *action)
{
	struct faults *faults = action->owner;
	struct vm *vm = vms_get(faults->parts.vms, action->index);

	proxy_set_mode(vm->store, PROXY_FORWARD);
	action_destroy(action);
}

static void
fail_store_link(struct faults *faults, unsigned i, wv_msec duration)
{
	enum proxy_mode mode = PROXY_DELAY + soak_random_below(faults->soak, 4);
	struct vm *vm = vms_get(faults->parts.vms, i);

	soak_record_fault(faults->soak,
	    "the store's link of %s is in mode %d for %.0f ms", vm->name, mode,
	    duration);
	proxy_set_mode(vm->store, mode);
	cluster_mark_store_affected(faults->parts.cluster, duration);
	schedule(faults, duration, i, restore_store_link);
}

static void
restore_link(struct action *action)
{
	struct faults *faults = action->owner;

	proxy_set_mode(
	    cluster_link(faults->parts.cluster, action->index), PROXY_FORWARD);
	action_destroy(action);
}

static void
fail_link(struct faults *faults, wv_msec duration)
{
	unsigned i = soak_random_below(faults->soak, CLUSTER_SEARCHERS);
	enum proxy_mode mode = PROXY_DELAY + soak_random_below(faults->soak, 4);

	soak_record_fault(faults->soak,
	    "the link of searcher %u is in mode %d for %.0f ms", i, mode,
	    duration);
	proxy_set_mode(cluster_link(faults->parts.cluster, i), mode);
	schedule(faults, duration, i, restore_link);
}

static void
restore_searcher(struct action *action)
{
	struct faults *faults = action->owner;
	char *id = cluster_searcher_id(action->index);

	standin_searchers_set_mode(
	    cluster_searchers(faults->parts.cluster), id, "sound");
	g_free(id);
	action_destroy(action);
}

static void
fail_searcher(struct faults *faults, wv_msec duration)
{
	static const char *const modes[] = {"dark", "shed", "rest", "fail",
	    "fail-429", "fail-503", "break", "extra", "stale", "garbled"};
	unsigned i = soak_random_below(faults->soak, CLUSTER_SEARCHERS);
	const char *mode =
	    modes[soak_random_below(faults->soak, G_N_ELEMENTS(modes))];
	char *id = cluster_searcher_id(i);

	soak_record_fault(
	    faults->soak, "searcher %s is %s for %.0f ms", id, mode, duration);
	standin_searchers_set_mode(
	    cluster_searchers(faults->parts.cluster), id, mode);
	g_free(id);
	schedule(faults, duration, i, restore_searcher);
}

/* Watches must read the lists again, in pages. */
static void
discard_history(struct faults *faults)
{
	soak_record_fault(faults->soak, "the store discards its history");
	standin_store_discard_history(cluster_store(faults->parts.cluster));
}

static void
change_routes(struct faults *faults)
{
	struct soak *soak = faults->soak;
	unsigned step = 1 + soak_random_below(soak, 5);
	uint64_t version = cluster_write_routes(faults->parts.cluster, step,
	    1000 + 100 * soak_random_below(soak, 10));

	soak_record_fault(soak, "routes of version %u", (unsigned)version);
}

/*
 * Injects the next fault of a series, which concerns one VM mostly; stage is
 * the number of those to come.
 */
static void
continue_series(struct action *action)
{
	struct faults *faults = action->owner;
	unsigned i = soak_random_below(faults->soak, 3) == 0
	    ? soak_random_below(faults->soak, vms_count(faults->parts.vms))
	    : action->index;

	if (action->stage-- == 0 || !soak_draws_faults(faults->soak)) {
		action_destroy(action);
		return;
	}
	switch (soak_random_below(faults->soak, 4)) {
	case 0:
		kill_vm(faults, i);
		break;
	case 1:
		stop_vm(faults, i);
		break;
	case 2:
		reload_vm(faults, i);
		break;
	default:
		obstacles_inject(faults->parts.obstacles,
		    vms_get(faults->parts.vms, i),
		    soak_random_ms(
			faults->soak, MIN_FAULT_DURATION, MAX_FAULT_DURATION));
		break;
	}
	action_repeat(
	    action, soak_random_between(faults->soak, 0, MAX_SERIES_INTERVAL));
}

static void
start_series(struct faults *faults, unsigned i)
{
	schedule(faults, 0, i, continue_series)->stage =
	    2 + soak_random_below(faults->soak, MAX_SERIES - 1);
}

static void
inject_fault(struct faults *faults)
{
	wv_msec duration = soak_random_ms(
	    faults->soak, MIN_FAULT_DURATION, MAX_FAULT_DURATION);
	unsigned vm =
	    soak_random_below(faults->soak, vms_count(faults->parts.vms));

	switch (soak_random_below(faults->soak, 22)) {
	case 0:
		pause_vm(faults, vm, duration);
		break;
	case 1:
		kill_vm(faults, vm);
		break;
	case 2:
	case 3:
		stop_vm(faults, vm);
		break;
	case 4:
		reload_vm(faults, vm);
		break;
	case 5:
		fail_store(faults, duration);
		break;
	case 6:
		fail_store_link(faults, vm, duration);
		break;
	case 7:
	case 8:
		fail_link(faults, duration);
		break;
	case 9:
		fail_searcher(faults, duration);
		break;
	case 10:
		drains_begin(faults->parts.drains);
		break;
	case 11:
		discard_history(faults);
		break;
	case 12:
		unreadable_write(faults->parts.unreadable, duration);
		break;
	case 13:
		fail_searcher(faults, duration);
		break;
	case 14:
	case 15:
	case 16:
		obstacles_inject(faults->parts.obstacles,
		    vms_get(faults->parts.vms, vm), duration);
		break;
	case 17:
	case 18:
		start_series(faults, vm);
		break;
	case 19:
		drains_begin_unannounced(faults->parts.drains);
		break;
	case 20:
		kill_all_vms(faults);
		break;
	default:
		change_routes(faults);
		break;
	}
}

static void
inject_next_fault(struct action *action)
{
	struct faults *faults = action->owner;

	if (!soak_draws_faults(faults->soak)) {
		mark_all_vms_affected(faults, 0);
		action_destroy(action);
		return;
	}
	inject_fault(faults);
	action_repeat(action,
	    soak_random_ms(
		faults->soak, MIN_FAULT_INTERVAL, MAX_FAULT_INTERVAL));
}

struct faults *
faults_create(struct soak *soak, const struct faults_config *config)
{
	struct faults *faults = g_new0(struct faults, 1);

	faults->soak = soak;
	faults->parts = *config;
	schedule(faults, MAX_FAULT_INTERVAL, 0, inject_next_fault);
	return faults;
}

void
faults_destroy(struct faults *faults)
{
	g_free(faults);
}
