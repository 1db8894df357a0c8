/**
 * @file
 * Case 10: a searcher that has left without reporting it is back in the copy
 * from which the store returns, and its entry is removed once more.
 */
#include "review/stand-2/world.h"

/** Bound of the site: `drainMs`. */
#define DRAIN_BOUND 3000.0
/** Time without disruption after which VMs and store are in touch, ms. */
#define STABLE_WINDOW 4000.0
/** Age of the copy when the entry is removed, ms. */
#define COPY_AGE 1000.0
/** From the removal to the outage, its length, and from its end on, ms. */
#define OUTAGE_AFTER 500.0
#define OUTAGE_TIME 500.0
#define REMOVED_AGAIN_AFTER 1000.0
/** From the time at which the VMs are in touch again to the first order. */
#define QUIET_AFTER 100.0
/** Time for which requests are judged, ms. */
#define JUDGED_TIME 2000.0
#define CALL_INTERVAL 20.0
#define ROUTE_TIMEOUT 2000.0
#define N_VMS 3

/* The store is away, and comes back from the copy; written again is written. */
static void
go_back(struct world *world, const struct world_searcher *searcher)
{
	struct standin_store *store = world_store(world);

	standin_store_set_fault(store, "reset");
	world_record(world, "the store is away");
	world_run_for(world, OUTAGE_TIME);
	standin_store_go_back(store);
	standin_store_set_fault(store, "none");
	world_record(world, "the store is back from a copy %.0f ms old",
	    COPY_AGE + OUTAGE_AFTER + OUTAGE_TIME);
	world_run_for(world, REMOVED_AGAIN_AFTER);
	standin_store_remove(store, STANDIN_KIND_SEARCHERS, searcher->id);
	world_record(world, "the entry of %s is removed again", searcher->id);
}

static int
run_case(struct world *world, bool trouble)
{
	struct standin_searcher_config layout = {.services = 2};
	uint64_t now = (uint64_t)(g_get_real_time() / 1000);
	struct standin_store *store = world_store(world);
	struct world_searcher *searcher;

	standin_store_write(store, STANDIN_KIND_ROUTES, STANDIN_ROUTES_OBJECT,
	    standin_routes(&layout, 1, ROUTE_TIMEOUT));
	world_add_searcher(world, "s0", "i-other", now);
	world_add_searcher(world, "s1", "i-steady", now);
	searcher = world_add_searcher(world, "s1", "i-leaves", now);
	for (int i = 0; i < N_VMS; i++) {
		char name[] = {'v', 'm', (char)('1' + i), '\0'};

		if (!world_start_vm(world, name))
			return CASE_NOT_RUN;
	}
	if (!world_wait_ready(world))
		return CASE_NOT_RUN;
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, STABLE_WINDOW);
	standin_store_take_copy(store);
	world_run_for(world, COPY_AGE);
	world_pause_callers(world);
	world_run_for(world, 100);
	searcher->counted_from = world_now(world) + DRAIN_BOUND;
	searcher->draining = true;
	standin_store_remove(store, STANDIN_KIND_SEARCHERS, searcher->id);
	world_record(world,
	    "%s leaves: store acknowledges that its entry is removed",
	    searcher->id);
	world_run_for(world, OUTAGE_AFTER);
	if (trouble)
		go_back(world, searcher);
	else
		world_run_for(world, OUTAGE_TIME + REMOVED_AGAIN_AFTER);
	world_run_for(world, STABLE_WINDOW - REMOVED_AGAIN_AFTER + QUIET_AFTER);
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, JUDGED_TIME);
	world_record_answers(world);
	if (world_count_served(world) == 0)
		return CASE_NOT_RUN;
	return searcher->late > 0 ? CASE_BROKEN : CASE_HELD;
}

int
main(int argc, char **argv)
{
	return world_main(argc, argv, run_case);
}
