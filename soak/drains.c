/**
 * @file
 * Searchers of the soak that drain, and the check that they get no new
 * requests.
 */
#include "soak/action.h"
#include "soak/drains.h"
#include "soak/leaving.h"

/**
 * Time after which a draining searcher must receive no new requests, ms: the
 * platform's drainMs.
 */
#define DRAIN_BOUND 3000.0
/** Time after DRAIN_BOUND during which requests to it are counted, ms. */
#define DRAIN_CHECK_TIME 1500.0

/* The drain of a searcher. */
struct drain {
	bool active;
	bool in_store; /* the searcher's entry says that it drains */
	uint64_t arrivals; /* by DRAIN_BOUND */
	struct leaving *leaving;
};

struct drains {
	struct soak *soak;
	struct cluster *cluster;
	struct colds *colds;
	struct drain all[CLUSTER_SEARCHERS];
};

struct drains *
drains_create(struct soak *soak, struct cluster *cluster, struct vms *vms,
    struct attempts *attempts, struct colds *colds)
{
	struct drains *drains = g_new0(struct drains, 1);

	drains->soak = soak;
	drains->cluster = cluster;
	drains->colds = colds;
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++)
		drains->all[i].leaving =
		    leaving_create(soak, vms, attempts, i, DRAIN_BOUND);
	return drains;
}

void
drains_destroy(struct drains *drains)
{
	g_free(drains);
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
	struct drains *drains = action->owner;
	struct drain *drain = &drains->all[action->index];
	uint64_t arrivals = cluster_arrivals(drains->cluster, action->index);

	if (action->stage++ == 0) {
		drain->arrivals = arrivals;
		action_repeat(action, DRAIN_CHECK_TIME);
		return;
	}
	/*
	 * If only its answers say that it is leaving, VMs that restart or that
	 * it has not answered yet don't know; drain->leaving checks the others.
	 */
	if (drain->in_store && arrivals != drain->arrivals &&
	    soak_now(drains->soak) >
		cluster_store_affected_until(drains->cluster) + DRAIN_BOUND +
		    DRAIN_CHECK_TIME)
		soak_record_violation(drains->soak,
		    "draining searcher %u got %u requests after the bound",
		    action->index, (unsigned)(arrivals - drain->arrivals));
	drain->active = false;
	leaving_end(drain->leaving);
	cluster_set_leaving(drains->cluster, action->index, false);
	colds_restart_searcher(drains->colds, action->index);
	action_destroy(action);
}

/* Begins the drain of a random searcher that doesn't drain yet. */
static void
begin(struct drains *drains, bool in_store, bool in_answers)
{
	struct soak *soak = drains->soak;
	/*
	 * The first replica of a service is never drained, so that each
	 * service keeps a searcher.
	 */
	unsigned i =
	    soak_random_below(soak, CLUSTER_SERVICES) * CLUSTER_REPLICAS + 1 +
	    soak_random_below(soak, CLUSTER_REPLICAS - 1);
	struct drain *drain = &drains->all[i];

	/*
	 * A second drain must not overlap the first: requests that arrive
	 * after the end of the first would count as late for the second.
	 */
	if (drain->active)
		return;
	drain->active = true;
	drain->in_store = in_store;
	soak_record_fault(soak, "searcher %u drains, by its%s%s", i,
	    in_store ? " entry" : "", in_answers ? " answers" : "");
	if (in_answers) {
		cluster_set_leaving(drains->cluster, i, true);
		leaving_begin(drain->leaving);
	}
	if (in_store)
		cluster_write_searcher(drains->cluster, i, true);
	action_schedule(soak, DRAIN_BOUND, drains, check_drained)->index = i;
}

void
drains_begin(struct drains *drains)
{
	begin(drains, true, soak_random_below(drains->soak, 2) == 0);
}

void
drains_begin_unannounced(struct drains *drains)
{
	begin(drains, false, true);
}
