/**
 * @file
 * Case 9: a searcher starts again under its id after the time of day of its
 * machine has jumped back, and later drains.
 */
#include "review/stand-2/world.h"

/** Bound of the site: `drainMs`. */
#define DRAIN_BOUND 3000.0
/** Time without disruption after which VMs and store are in touch, ms. */
#define STABLE_WINDOW 4000.0
/** Jump of the time of day, as in the site file, ms. */
#define CLOCK_JUMP 2400
/** Time from a start of the searcher to its end, and until the next start. */
#define LIFE_TIME 1000.0
#define DOWN_TIME 300.0
/** Time for which the draining searcher serves on after the bound, ms. */
#define EXTRA_TIME 3000.0
#define CALL_INTERVAL 10.0
/** Time without orders before the shutdown, and after its bound, ms. */
#define QUIET_BEFORE 200.0
#define QUIET_AFTER 200.0
#define N_VMS 3
#define MS_PER_S 1000

/* Unix time, ms. */
static uint64_t
time_of_day(void)
{
	return (uint64_t)(g_get_real_time() / MS_PER_S);
}

static void
write_routes(struct world *world)
{
	struct standin_searcher_config layout = {.services = 2};

	standin_store_write(world_store(world), STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT, standin_routes(&layout, 1, DRAIN_BOUND));
}

static int
run_case(struct world *world, bool trouble)
{
	struct world_searcher *searcher;

	write_routes(world);
	world_add_searcher(world, "s0", "i-other", time_of_day());
	world_add_searcher(world, "s1", "i-steady", time_of_day());
	for (int i = 0; i < N_VMS; i++) {
		char name[] = {'v', 'm', (char)('1' + i), '\0'};

		if (!world_start_vm(world, name))
			return CASE_NOT_RUN;
	}
	if (!world_wait_ready(world))
		return CASE_NOT_RUN;
	world_start_callers(world, CALL_INTERVAL);
	searcher = world_add_searcher(world, "s1", "i-again", time_of_day());
	world_run_for(world, LIFE_TIME);
	world_crash_searcher(searcher);
	world_run_for(world, DOWN_TIME);
	if (trouble)
		world_record(world,
		    "the time of day of the searcher's machine has jumped "
		    "back by %d ms",
		    CLOCK_JUMP);
	world_restart_searcher(
	    searcher, time_of_day() - (trouble ? CLOCK_JUMP : 0));
	world_run_for(world, STABLE_WINDOW + DRAIN_BOUND);
	world_pause_callers(world);
	world_run_for(world, QUIET_BEFORE);
	searcher->counted_from = world_now(world) + DRAIN_BOUND;
	world_write_entry(searcher, true);
	world_run_for(world, DRAIN_BOUND + QUIET_AFTER);
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, EXTRA_TIME);
	world_record_answers(world);
	world_crash_searcher(searcher);
	if (world_count_served(world) == 0)
		return CASE_NOT_RUN;
	return searcher->late > 0 ? CASE_BROKEN : CASE_HELD;
}

int
main(int argc, char **argv)
{
	return world_main(argc, argv, run_case);
}
