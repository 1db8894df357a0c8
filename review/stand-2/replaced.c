/**
 * @file
 * Case 7: three of four VMs are lost for good right after a version of the
 * routes was acknowledged, while three new ones start in their place.
 */
#include "review/stand-2/world.h"

/** Bound of the site: `configApplyMs`. */
#define APPLY_BOUND 3000.0
/** Time without disruption after which VMs and store are in touch, ms. */
#define STABLE_WINDOW 4000.0
/** Time for which requests are judged, ms. */
#define JUDGED_TIME 8000.0
/** From the start of the new VMs to the loss of the old ones, ms. */
#define NEW_BEFORE 600.0
/** From the acknowledgement of the new routes to the loss, ms. */
#define LOSS_AFTER 4.0
/** From the loss to the time at which old reads show the new VMs, ms. */
#define READS_AFTER 300.0
#define CALL_INTERVAL 20.0
#define ROUTE_TIMEOUT 2000.0

/*
 * The VM that stays comes after the new ones in the order in which VMs are
 * chosen to watch the store, a hash of their names.
 */
static const char *const lost[] = {"edge-a-2", "edge-b-1", "edge-b-2"};
static const char *const added[] = {"edge-a-3", "edge-a-4", "edge-b-3"};
static const char staying[] = "edge-a-1";

/* Writes routes whose orders go to a service. */
static void
write_routes(struct world *world, uint64_t version, const char *service)
{
	struct standin_searcher_config layout = {.services = 3};
	JsonObject *routes = standin_routes(&layout, version, ROUTE_TIMEOUT);
	JsonArray *list = json_object_get_array_member(routes, "routes");

	json_object_set_string_member(
	    json_array_get_object_element(list, 1), "service", service);
	standin_store_write(world_store(world), STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT, routes);
	world_record(world,
	    "store acknowledges version %" G_GUINT64_FORMAT
	    " of the routes: orders go to %s",
	    version, service);
}

static bool
start_vms(struct world *world, const char *const *names, size_t n)
{
	bool started = true;

	for (size_t i = 0; i < n; i++)
		started = started && world_start_vm(world, names[i]);
	return started;
}

/* Adds three VMs that are to replace others. */
static bool
add_vms(struct world *world)
{
	/* Reads that may be old don't show the new VMs yet. */
	standin_store_freeze_stale_reads(world_store(world));
	if (!start_vms(world, added, G_N_ELEMENTS(added)))
		return false;
	world_run_for(world, NEW_BEFORE);
	return true;
}

static void
lose_vms(struct world *world)
{
	world_run_for(world, LOSS_AFTER);
	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++)
		world_kill_vm(world, lost[i]);
	world_run_for(world, READS_AFTER);
	standin_store_freeze_stale_reads(world_store(world));
}

static int
run_case(struct world *world, bool trouble)
{
	struct world_searcher *old_service;
	uint64_t now = (uint64_t)(g_get_real_time() / 1000);

	write_routes(world, 1, "s1");
	old_service = world_add_searcher(world, "s1", "i-old", now);
	world_add_searcher(world, "s2", "i-new", now);
	if (!world_start_vm(world, staying) ||
	    !start_vms(world, lost, G_N_ELEMENTS(lost)) ||
	    !world_wait_ready(world))
		return CASE_NOT_RUN;
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, STABLE_WINDOW);
	if (trouble && !add_vms(world))
		return CASE_NOT_RUN;
	old_service->counted_from = world_now(world) + APPLY_BOUND;
	write_routes(world, 2, "s2");
	if (trouble)
		lose_vms(world);
	world_run_for(world, APPLY_BOUND + JUDGED_TIME);
	world_record_answers(world);
	if (world_count_served(world) == 0)
		return CASE_NOT_RUN;
	return old_service->late > 0 ? CASE_BROKEN : CASE_HELD;
}

int
main(int argc, char **argv)
{
	return world_main(argc, argv, run_case);
}
