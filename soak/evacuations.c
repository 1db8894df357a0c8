/**
 * @file
 * Evacuations of zones of the soak's searchers.
 */
#include "soak/action.h"
#include "soak/evacuations.h"

/** Bounds of the random time before an evacuation, ms. */
#define MIN_PAUSE 0
#define MAX_PAUSE 1500
/** Bounds of the random time for which an evacuation is checked, ms. */
#define MIN_CHECK_TIME 700
#define MAX_CHECK_TIME 2500
/** Time after the last fault at which no zone may be evacuated, ms. */
#define TIME_AFTER_FAULTS 2000.0
/** Bounds of the random time until the operator writes objects again, ms. */
#define MIN_WRITE_DELAY 100
#define MAX_WRITE_DELAY 1500

struct evacuations {
	struct soak *soak;
	struct cluster *cluster;
	struct vms *vms;
	struct colds *colds;
	struct evacuated *check;
	bool active;
	unsigned zone; /* the latest one */
};

static void
remove_evacuation(struct evacuations *evacuations)
{
	soak_record_fault(evacuations->soak, "zone %s returns",
	    cluster_zone(evacuations->zone));
	evacuations->active = false;
	evacuated_end(evacuations->check, soak_now(evacuations->soak));
	colds_begin_zone(evacuations->colds, evacuations->zone);
	cluster_set_evacuated(evacuations->cluster, evacuations->zone, false);
}

static void
write_evacuation(struct evacuations *evacuations)
{
	evacuations->zone = soak_random_below(evacuations->soak, CLUSTER_ZONES);
	evacuations->active = true;
	soak_record_fault(evacuations->soak, "zone %s is evacuated",
	    cluster_zone(evacuations->zone));
	cluster_set_evacuated(evacuations->cluster, evacuations->zone, true);
	evacuated_begin(evacuations->check, soak_now(evacuations->soak));
}

/* Writes an evacuation, and removes it when it runs once more. */
static void
step(struct action *action)
{
	struct evacuations *evacuations = action->owner;
	struct soak *soak = evacuations->soak;
	wv_msec duration = CLUSTER_EVACUATE_MS +
	    soak_random_ms(soak, MIN_CHECK_TIME, MAX_CHECK_TIME);

	if (evacuations->active) {
		remove_evacuation(evacuations);
		action_repeat(
		    action, soak_random_ms(soak, MIN_PAUSE, MAX_PAUSE));
		return;
	}
	/* The first one begins before the time of the faults is known. */
	if (soak_faults_end(soak) > 0 &&
	    soak_now(soak) + duration >
		soak_faults_end(soak) + TIME_AFTER_FAULTS) {
		action_destroy(action);
		return;
	}
	write_evacuation(evacuations);
	action_repeat(action, duration);
}

static void
on_vm(void *data, struct vm *vm, enum vm_event event)
{
	struct evacuations *evacuations = data;
	wv_msec now = soak_now(evacuations->soak);

	if (event == VM_STARTED)
		evacuated_note_start(evacuations->check, vm->index, now);
	else if (event == VM_PAUSED)
		evacuated_note_pause(evacuations->check, vm->index, now);
	else if (event == VM_RESUMED)
		evacuated_note_resume(evacuations->check, vm->index, now);
}

static void
on_attempt(void *data, const struct attempt *attempt)
{
	struct evacuations *evacuations = data;
	struct vm *vm;

	if (!evacuations->active || attempt->answered ||
	    cluster_searcher_zone(attempt->searcher) != evacuations->zone)
		return;
	vm = vms_find_tagged(evacuations->vms, attempt->request);
	if (vm != NULL)
		evacuated_note_attempt(evacuations->check, vm->index,
		    attempt->request, soak_now(evacuations->soak));
}

struct evacuations *
evacuations_create(struct soak *soak, struct cluster *cluster, struct vms *vms,
    struct attempts *attempts, struct colds *colds)
{
	struct evacuations *evacuations = g_new0(struct evacuations, 1);

	evacuations->soak = soak;
	evacuations->cluster = cluster;
	evacuations->vms = vms;
	evacuations->colds = colds;
	evacuations->check =
	    evacuated_create(soak, vms_count(vms), CLUSTER_EVACUATE_MS);
	vms_observe(vms, on_vm, evacuations);
	attempts_observe(attempts, on_attempt, evacuations);
	action_schedule(soak, soak_random_ms(soak, MIN_PAUSE, MAX_PAUSE),
	    evacuations, step);
	return evacuations;
}

void
evacuations_destroy(struct evacuations *evacuations)
{
	evacuated_destroy(evacuations->check);
	g_free(evacuations);
}

void
evacuations_note_store_failure(
    struct evacuations *evacuations, wv_msec duration)
{
	evacuated_note_store_failure(
	    evacuations->check, soak_now(evacuations->soak), duration);
}

/* Writes the objects again as they have to be now. */
static void
write_again(struct action *action)
{
	struct evacuations *evacuations = action->owner;

	for (unsigned i = 0; i < CLUSTER_ZONES; i++)
		cluster_set_evacuated(evacuations->cluster, i,
		    evacuations->active && i == evacuations->zone);
	evacuated_note_written_again(
	    evacuations->check, soak_now(evacuations->soak));
	action_destroy(action);
}

void
evacuations_note_era(struct evacuations *evacuations)
{
	struct soak *soak = evacuations->soak;

	evacuated_note_lost(evacuations->check, soak_now(soak));
	action_schedule(soak,
	    soak_random_ms(soak, MIN_WRITE_DELAY, MAX_WRITE_DELAY), evacuations,
	    write_again);
}

void
evacuations_summarize(
    const struct evacuations *evacuations, struct evacuated_summary *summary)
{
	evacuated_summarize(evacuations->check, summary);
}
