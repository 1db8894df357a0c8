/**
 * @file
 * Case 6: the bytes of one searcher's entry, which another writer left, can't
 * be read: they end in the middle.
 */
#include <string.h>

#include "http/json.h"
#include "review/stand-2/world.h"

/** Bounds of the site: `drainMs` and `recoveryS`. */
#define DRAIN_BOUND 3000.0
#define RECOVERY_BOUND 12000.0
/** Time without disruption after which VMs and store are in touch, ms. */
#define STABLE_WINDOW 4000.0
/** Time for which requests are judged after the restart, ms. */
#define JUDGED_TIME 5000.0
/** Time for which the draining searcher serves on after the bound, ms. */
#define EXTRA_TIME 2000.0
/** Time for which all processes are down, ms. */
#define DOWN_TIME 500.0
#define CALL_INTERVAL 20.0
#define ROUTE_TIMEOUT 2000.0
#define N_VMS 3
/** Served part of the requests below which RECOVER is broken. */
#define LEAST_SERVED 0.25
/** Member of the entry at which its bytes end. */
#define CUT_MARK ",\"state\":\"ready\",\"cut\":\"here\""

/*
 * Serializes an answer of the store (build-2.sh puts it in the place of
 * wv_json_serialize_object() there). The bytes of the one entry end before the
 * mark.
 */
struct wv_string review_serialize_object(JsonObject *object);

struct wv_string
review_serialize_object(JsonObject *object)
{
	struct wv_string text = wv_json_serialize_object(object);
	char *mark = strstr(text.data, CUT_MARK);
	size_t length = strlen(CUT_MARK);
	char *rest;

	if (mark == NULL)
		return text;
	/* The closing bracket of the entry's content is lost, too. */
	rest = mark + length;
	while (*rest != '}' && *rest != '\0')
		rest++;
	rest += *rest == '}';
	text.length -= (size_t)(rest - mark);
	memmove(mark, rest, strlen(rest) + 1);
	return text;
}

/* Writes the entry of the other writer. */
static void
write_cut_entry(struct world *world)
{
	JsonObject *spec = standin_searcher_spec("s1", "127.0.0.1:9", 1, false);

	json_object_remove_member(spec, "state");
	json_object_set_string_member(spec, "state", "ready");
	json_object_set_string_member(spec, "cut", "here");
	standin_store_write(
	    world_store(world), STANDIN_KIND_SEARCHERS, "i-cut", spec);
	world_record(world,
	    "an entry i-cut whose bytes end in the middle is "
	    "in the store");
}

static int
run_case(struct world *world, bool trouble)
{
	struct standin_searcher_config layout = {.services = 2};
	uint64_t now = (uint64_t)(g_get_real_time() / 1000);
	struct world_searcher *draining;
	unsigned sent, served;

	standin_store_write(world_store(world), STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT, standin_routes(&layout, 1, ROUTE_TIMEOUT));
	world_add_searcher(world, "s0", "i-other", now);
	world_add_searcher(world, "s1", "i-steady", now);
	draining = world_add_searcher(world, "s1", "i-drains", now);
	for (int i = 0; i < N_VMS; i++) {
		char name[] = {'v', 'm', (char)('1' + i), '\0'};

		if (!world_start_vm(world, name))
			return CASE_NOT_RUN;
	}
	if (!world_wait_ready(world))
		return CASE_NOT_RUN;
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, STABLE_WINDOW);
	if (trouble)
		write_cut_entry(world);
	world_run_for(world, STABLE_WINDOW);
	world_pause_callers(world);
	draining->counted_from = world_now(world) + DRAIN_BOUND;
	world_write_entry(draining, true);
	world_run_for(world, DRAIN_BOUND);
	world_start_callers(world, CALL_INTERVAL);
	world_run_for(world, EXTRA_TIME);
	world_kill_all_vms(world);
	world_run_for(world, DOWN_TIME);
	if (!world_restart_all_vms(world))
		return CASE_NOT_RUN;
	world_run_for(world, RECOVERY_BOUND);
	sent = world_count_sent(world);
	served = world_count_served(world);
	world_run_for(world, JUDGED_TIME);
	sent = world_count_sent(world) - sent;
	served = world_count_served(world) - served;
	world_record(world, "12 s after the restart: %u of %u were served",
	    served, sent);
	world_record_answers(world);
	if (world_count_served(world) == 0 || sent == 0)
		return CASE_NOT_RUN;
	return draining->late > 0 || served < sent * LEAST_SERVED ? CASE_BROKEN
								  : CASE_HELD;
}

int
main(int argc, char **argv)
{
	return world_main(argc, argv, run_case);
}
