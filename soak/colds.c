/**
 * @file
 * Searchers of the soak that become cold.
 */
#include "entry/platform_adapter.h"
#include "soak/action.h"
#include "soak/colds.h"

/** Bounds of the random time between two searchers that become cold, ms. */
#define MIN_INTERVAL 600
#define MAX_INTERVAL 2000
/** Interval at which the searchers' answers state a shorter time, ms. */
#define UPDATE_INTERVAL 50.0

/* How a searcher tells that it is cold, besides its answers. */
enum way { WAY_RESTART, WAY_ENTRY, WAY_ANSWERS, WAYS };

struct colds {
	struct soak *soak;
	struct cluster *cluster;
	struct vms *vms;
	struct cold_limit *check;
	wv_msec until[CLUSTER_SEARCHERS]; /* they are cold */
};

/* The searcher is cold from now on, for the full time. */
static void
begin(struct colds *colds, unsigned searcher)
{
	wv_msec now = soak_now(colds->soak);
	wv_msec until = now + CLUSTER_COLD_TIME_S * 1000;

	colds->until[searcher] = until;
	cluster_set_cold(colds->cluster, searcher, until);
	cold_limit_begin(colds->check, searcher, now, until);
}

/* Updates the time that the answers state. */
static void
update(struct action *action)
{
	struct colds *colds = action->owner;

	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++)
		cluster_set_cold(colds->cluster, i, colds->until[i]);
	action_repeat(action, UPDATE_INTERVAL);
}

void
colds_restart_searcher(struct colds *colds, unsigned searcher)
{
	if (cluster_has_cold_limit(searcher))
		begin(colds, searcher);
	cluster_restart_searcher(colds->cluster, searcher);
}

void
colds_begin_zone(struct colds *colds, unsigned zone)
{
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++) {
		if (cluster_searcher_zone(i) == zone &&
		    cluster_has_cold_limit(i))
			begin(colds, i);
	}
}

/* Makes a searcher cold, unless its entry is that of a drain. */
static void
make_cold(struct colds *colds, unsigned searcher, enum way way)
{
	if (cluster_is_leaving(colds->cluster, searcher))
		return;
	if (way == WAY_RESTART) {
		colds_restart_searcher(colds, searcher);
		return;
	}
	begin(colds, searcher);
	if (way == WAY_ENTRY)
		cluster_write_searcher(colds->cluster, searcher, false);
}

/*
 * Makes a random searcher cold, or all of a service: only without a warm one
 * do the VMs need all that is permitted.
 */
static void
make_any_cold(struct colds *colds)
{
	static const char *const ways[] = {
	    "new incarnation", "entry", "answers"};
	struct soak *soak = colds->soak;
	unsigned searcher = soak_random_below(soak, CLUSTER_SEARCHERS);
	unsigned service = searcher / CLUSTER_REPLICAS;
	enum way way = soak_random_below(soak, WAYS);

	if (!cluster_has_cold_limit(searcher))
		return;
	if (soak_random_below(soak, 2) == 0) {
		soak_record_fault(soak, "searcher %u is cold, by its %s",
		    searcher, ways[way]);
		make_cold(colds, searcher, way);
		return;
	}
	soak_record_fault(soak,
	    "all searchers of service %u are cold, by their %s", service,
	    ways[way]);
	for (unsigned i = 0; i < CLUSTER_REPLICAS; i++)
		make_cold(colds, service * CLUSTER_REPLICAS + i, way);
}

static void
make_next_cold(struct action *action)
{
	struct colds *colds = action->owner;

	if (soak_draws_faults(colds->soak))
		make_any_cold(colds);
	action_repeat(
	    action, soak_random_ms(colds->soak, MIN_INTERVAL, MAX_INTERVAL));
}

static void
on_vm(void *data, struct vm *vm, enum vm_event event)
{
	struct colds *colds = data;

	if (event == VM_STARTED)
		cold_limit_note_start(colds->check, vm->index);
	else if (event == VM_RESUMED)
		cold_limit_note_resume(
		    colds->check, vm->index, soak_now(colds->soak));
}

static void
on_attempt(void *data, const struct attempt *attempt)
{
	struct colds *colds = data;
	wv_msec now = soak_now(colds->soak);
	char cold[ATTEMPT_FIELD_SIZE];
	struct vm *vm;

	if (now >= colds->until[attempt->searcher])
		return;
	vm = vms_find_tagged(colds->vms, attempt->request);
	if (vm == NULL)
		return;
	if (!attempt->answered) {
		cold_limit_note_attempt(
		    colds->check, attempt->searcher, vm->index, now);
		return;
	}
	attempt_read_field(attempt, platform_get_adapter()->cold, cold);
	if (cold[0] != '\0' && !vm->paused)
		cold_limit_note_told(
		    colds->check, attempt->searcher, vm->index, now);
}

struct colds *
colds_create(struct soak *soak, struct cluster *cluster, struct vms *vms,
    struct attempts *attempts)
{
	const struct cold_limit_config config = {CLUSTER_SEARCHERS,
	    vms_count(vms),
	    CLUSTER_COLD_RATE * CLUSTER_COLD_OVERSHOOT + CLUSTER_COLD_SLACK};
	struct colds *colds = g_new0(struct colds, 1);

	colds->soak = soak;
	colds->cluster = cluster;
	colds->vms = vms;
	colds->check = cold_limit_create(soak, &config);
	vms_observe(vms, on_vm, colds);
	attempts_observe(attempts, on_attempt, colds);
	action_schedule(soak, 0, colds, update);
	action_schedule(soak, 0, colds, make_next_cold);
	return colds;
}

void
colds_destroy(struct colds *colds)
{
	cold_limit_destroy(colds->check);
	g_free(colds);
}

void
colds_summarize(const struct colds *colds, struct cold_limit_summary *summary)
{
	cold_limit_summarize(colds->check, summary);
}
