/**
 * @file
 * Signals to processes, from the moment on from which they must not be ended
 * by them.
 */
#include <signal.h>

#include "soak/action.h"
#include "soak/launch.h"
#include "soak/signals.h"

/**
 * Time within which a new process is guarded against signals, ms. A server
 * needs a fraction of a millisecond of processor time for it.
 */
#define GUARD_BOUND 2000.0
/** Time after a start during which its state is read without a pause, ms. */
#define BUSY_READ_TIME 20.0
/** Interval at which the state is read later, ms. */
#define READ_INTERVAL 1.0
/** Most signals in a series, and longest time between two of them, ms. */
#define MAX_SIGNALS 12
#define MAX_SIGNAL_INTERVAL 3.0
/** On average, one in this many starts gets a series of signals. */
#define SERIES_EVERY 2
/** On average, one in this many series requests a stop. */
#define STOP_EVERY 4

/* The signals to one new process; ends with it or with the last signal. */
struct series {
	struct soak *soak;
	struct vm *vm;
	bool may_stop;
};

static void
end_series(struct action *action)
{
	g_free(action->owner);
	action_destroy(action);
}

/* Sends one signal of a series; stage is the number of those to come. */
static void
send_next(struct action *action)
{
	static const int stops[] = {SIGTERM, SIGINT};
	struct series *series = action->owner;
	struct soak *soak = series->soak;

	if (series->vm->pid != action->pid || action->stage-- == 0) {
		end_series(action);
		return;
	}
	if (series->may_stop && soak_random_below(soak, 3) == 0)
		vm_stop(series->vm,
		    stops[soak_random_below(soak, G_N_ELEMENTS(stops))]);
	else
		vm_signal(series->vm, SIGHUP);
	action_repeat(
	    action, soak_random_between(soak, 0, MAX_SIGNAL_INTERVAL));
}

/* Draws a series for a process that is guarded now, or ends the action. */
static void
draw_series(struct action *action)
{
	struct series *series = action->owner;
	struct soak *soak = series->soak;

	series->may_stop = soak_random_below(soak, STOP_EVERY) == 0;
	if (!soak_draws_faults(soak) ||
	    soak_random_below(soak, SERIES_EVERY) != 0) {
		end_series(action);
		return;
	}
	action->run = send_next;
	action->stage = 1 + soak_random_below(soak, MAX_SIGNALS);
	soak_record_fault(soak, "%s gets %u signals%s when it starts",
	    series->vm->name, action->stage,
	    series->may_stop ? ", with stops," : "");
	action_repeat(action, 0);
}

static void
check_guarded(struct action *action)
{
	struct series *series = action->owner;
	struct soak *soak = series->soak;
	struct vm *vm = series->vm;
	wv_msec now = soak_now(soak);

	if (vm->pid != action->pid) {
		end_series(action);
		return;
	}
	if (vm->paused)
		vm->guard_due = now + GUARD_BOUND;
	vm->guarded = launch_is_guarded(vm->pid);
	if (!vm->guarded && now < vm->guard_due) {
		action_repeat(action,
		    now < vm->guard_due - GUARD_BOUND + BUSY_READ_TIME
			? 0
			: READ_INTERVAL);
		return;
	}
	if (!vm->guarded)
		soak_record_violation(soak, "%s was not guarded within %.0f ms",
		    vm->name, GUARD_BOUND);
	vm_set_guarded(vm);
	draw_series(action);
}

static void
on_vm_event(void *data, struct vm *vm, enum vm_event event)
{
	struct series *series;
	struct soak *soak = data;

	if (event != VM_STARTED)
		return;
	series = g_new0(struct series, 1);
	series->soak = soak;
	series->vm = vm;
	vm->guarded = false;
	vm->pending_signals = 0;
	vm->guard_due = soak_now(soak) + GUARD_BOUND;
	action_schedule(soak, 0, series, check_guarded)->pid = vm->pid;
}

void
signals_create(struct soak *soak, struct vms *vms)
{
	vms_observe(vms, on_vm_event, soak);
}
