/**
 * @file
 * Signals to processes, from the moment on from which they must not be ended
 * by them.
 */
#include <signal.h>

#include "soak/action.h"
#include "soak/launch.h"

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

void
soak_vm_signal(struct soak_vm *vm, int number)
{
	if (vm->pid == 0)
		return;
	if (vm->guarded)
		kill(vm->pid, number);
	else
		vm->pending_signals |= 1u << number;
}

void
soak_vm_stop(struct soak_vm *vm, int number)
{
	if (vm->pid == 0)
		return;
	vm->stopping = true;
	soak_vm_signal(vm, number);
}

/* Sends one signal of a series; stage is the number of those to come. */
static void
send_next(struct action *action, bool may_stop)
{
	static const int stops[] = {SIGTERM, SIGINT};
	struct soak *soak = action->soak;
	struct soak_vm *vm = &soak->vms[action->index];

	if (vm->pid != action->pid || action->stage-- == 0) {
		action_destroy(action);
		return;
	}
	if (may_stop && random_below(soak, 3) == 0)
		soak_vm_stop(
		    vm, stops[random_below(soak, G_N_ELEMENTS(stops))]);
	else
		soak_vm_signal(vm, SIGHUP);
	action_repeat(
	    action, g_rand_double_range(soak->random, 0, MAX_SIGNAL_INTERVAL));
}

static void
send_next_reload(struct action *action)
{
	send_next(action, false);
}

static void
send_next_reload_or_stop(struct action *action)
{
	send_next(action, true);
}

static void
draw_series(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];
	bool stops = random_below(soak, STOP_EVERY) == 0;
	struct action *action;

	if (soak_now(soak) >= soak->faults_end_at ||
	    random_below(soak, SERIES_EVERY) != 0)
		return;
	action = action_schedule(
	    soak, 0, i, stops ? send_next_reload_or_stop : send_next_reload);
	action->pid = vm->pid;
	action->stage = 1 + random_below(soak, MAX_SIGNALS);
	soak_record_fault(soak, "%s gets %u signals%s when it starts", vm->name,
	    action->stage, stops ? ", with stops," : "");
}

static void
send_pending(struct soak_vm *vm)
{
	static const int numbers[] = {SIGHUP, SIGINT, SIGTERM};

	for (unsigned i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (vm->pending_signals & 1u << numbers[i])
			kill(vm->pid, numbers[i]);
	}
	vm->pending_signals = 0;
}

static void
check_guarded(struct action *action)
{
	struct soak *soak = action->soak;
	struct soak_vm *vm = &soak->vms[action->index];
	wv_msec now = soak_now(soak);

	if (vm->pid != action->pid) {
		action_destroy(action);
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
	vm->guarded = true;
	send_pending(vm);
	draw_series(soak, action->index);
	action_destroy(action);
}

void
soak_signals_start(struct soak *soak, struct soak_vm *vm)
{
	struct action *action =
	    action_schedule(soak, 0, (unsigned)(vm - soak->vms), check_guarded);

	vm->guarded = false;
	vm->pending_signals = 0;
	vm->guard_due = soak_now(soak) + GUARD_BOUND;
	action->pid = vm->pid;
}
