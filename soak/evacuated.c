/**
 * @file
 * Check that the VMs start no attempts at an evacuated zone.
 */
#include "soak/evacuated.h"

/**
 * Time for an attempt to pass from the VM to the check, which runs in the event
 * loop of all stand-ins, ms.
 */
#define SEEN_SLACK 200.0
/** Time in which a process reads the state at its start, ms. */
#define START_TIME 3000.0

/* What is known of a VM's present process. Times are monotonic, ms. */
struct vm_state {
	wv_msec started_at;
	wv_msec due; /* it must know of the evacuation from then on */
	bool paused;
	bool unaware; /* paused before it had to know of the evacuation */
};

struct evacuated {
	struct soak *soak;
	unsigned n;
	struct vm_state *vms;
	wv_msec bound;
	bool active;
	bool lost; /* the store may not have it */
	wv_msec began_at;
	wv_msec checked_from; /* VMs without a fault must know it */
	wv_msec learned_by; /* processes that start later know it at once */
	wv_msec store_fails_until;
	struct evacuated_summary summary;
};

struct evacuated *
evacuated_create(struct soak *soak, unsigned n, wv_msec bound)
{
	struct evacuated *evacuated = g_new0(struct evacuated, 1);

	evacuated->soak = soak;
	evacuated->n = n;
	evacuated->vms = g_new0(struct vm_state, n);
	evacuated->bound = bound;
	return evacuated;
}

void
evacuated_destroy(struct evacuated *evacuated)
{
	g_free(evacuated->vms);
	g_free(evacuated);
}

/* Gives a VM time until the bound after a moment. */
static void
delay_due(struct evacuated *evacuated, struct vm_state *vm, wv_msec from)
{
	vm->due = MAX(vm->due, from + evacuated->bound);
}

void
evacuated_begin(struct evacuated *evacuated, wv_msec now)
{
	wv_msec from = MAX(now, evacuated->store_fails_until);

	evacuated->active = true;
	evacuated->lost = false;
	evacuated->began_at = now;
	evacuated->learned_by = from + evacuated->bound;
	evacuated->checked_from = evacuated->learned_by;
	evacuated->summary.evacuations++;
	for (unsigned i = 0; i < evacuated->n; i++) {
		struct vm_state *vm = &evacuated->vms[i];

		vm->due = 0;
		vm->unaware = vm->paused;
		delay_due(evacuated, vm, from);
	}
}

void
evacuated_end(struct evacuated *evacuated, wv_msec now)
{
	if (evacuated->active && now > evacuated->checked_from)
		evacuated->summary.checked += now - evacuated->checked_from;
	evacuated->active = false;
}

void
evacuated_note_store_failure(
    struct evacuated *evacuated, wv_msec now, wv_msec duration)
{
	wv_msec from = MAX(evacuated->store_fails_until, now);
	wv_msec added = MAX(now + duration - from, 0);

	evacuated->store_fails_until = from + added;
	if (!evacuated->active)
		return;
	/* The time in which no VM is connected doesn't count. */
	if (now < evacuated->learned_by)
		evacuated->learned_by += added;
	if (now < evacuated->checked_from)
		evacuated->checked_from += added;
	for (unsigned i = 0; i < evacuated->n; i++) {
		if (now < evacuated->vms[i].due)
			evacuated->vms[i].due += added;
	}
}

/*
 * A VM that has known the evacuation keeps it; one that is reading the state,
 * or has not had to know it yet, may have read the older one.
 */
void
evacuated_note_lost(struct evacuated *evacuated, wv_msec now)
{
	if (!evacuated->active)
		return;
	evacuated->lost = true;
	for (unsigned i = 0; i < evacuated->n; i++) {
		struct vm_state *vm = &evacuated->vms[i];

		if (now < vm->due || now < vm->started_at + START_TIME)
			vm->due = G_MAXDOUBLE;
	}
}

void
evacuated_note_written_again(struct evacuated *evacuated, wv_msec now)
{
	wv_msec from = MAX(now, evacuated->store_fails_until);

	if (!evacuated->active || !evacuated->lost)
		return;
	evacuated->lost = false;
	evacuated->learned_by = from + evacuated->bound;
	for (unsigned i = 0; i < evacuated->n; i++) {
		if (evacuated->vms[i].due >= G_MAXDOUBLE)
			evacuated->vms[i].due = evacuated->learned_by;
	}
}

void
evacuated_note_start(struct evacuated *evacuated, unsigned i, wv_msec now)
{
	struct vm_state *vm = &evacuated->vms[i];

	vm->started_at = now;
	vm->paused = false;
	vm->unaware = false;
	if (evacuated->lost)
		vm->due = G_MAXDOUBLE;
	else
		vm->due =
		    evacuated->learned_by > now ? evacuated->learned_by : now;
}

void
evacuated_note_pause(struct evacuated *evacuated, unsigned i, wv_msec now)
{
	struct vm_state *vm = &evacuated->vms[i];

	vm->paused = true;
	vm->unaware = evacuated->active && now < vm->due;
}

void
evacuated_note_resume(struct evacuated *evacuated, unsigned i, wv_msec now)
{
	struct vm_state *vm = &evacuated->vms[i];

	if (vm->unaware)
		delay_due(evacuated, vm, now);
	vm->paused = false;
	vm->unaware = false;
}

void
evacuated_note_attempt(
    struct evacuated *evacuated, unsigned i, const char *request, wv_msec now)
{
	const struct vm_state *vm = &evacuated->vms[i];
	wv_msec elapsed = now - evacuated->began_at;

	if (!evacuated->active)
		return;
	evacuated->summary.last_attempt =
	    MAX(evacuated->summary.last_attempt, elapsed);
	if (now <= vm->due + SEEN_SLACK)
		return;
	soak_record_violation(evacuated->soak,
	    "vm%u sent request %s to the evacuated zone %.0f ms after the "
	    "acknowledgement, %.0f ms after the bound, %.0f ms after its start",
	    i, request, elapsed, now - vm->due, now - vm->started_at);
}

void
evacuated_summarize(
    const struct evacuated *evacuated, struct evacuated_summary *summary)
{
	*summary = evacuated->summary;
}
