/**
 * @file
 * The store forgets its history and for a while turns away a part of the calls
 * of some machines. Later a searcher reports that it drains.
 */
#include <string.h>

#include "review/harness/harness.h"

/** Machines, and searchers of the service of the route. */
#define MACHINES 9
#define SEARCHERS 4
/** Searchers of other services; their list has several pages. */
#define OTHERS 6600
/** Time between the start of machines and traffic, ms. */
#define LEAD_TIME 10000
/** Time for which watches hear nothing before the history is forgotten, ms. */
#define MUTE_TIME 1000
/** Time for which the store turns calls away, and part of them, percent. */
#define REJECT_TIME 9000
#define REJECTED_PERCENT 40
/** Machines whose calls are turned away: those that watch the store. */
#define REJECTED 3
/** A machine that watches calls at least once in this time, ms. */
#define WATCH_PERIOD 1700
/** Time from then until the drain, ms. */
#define CALM_TIME 6000
/** Time from the store's acknowledgement until no request may arrive, ms. */
#define DRAIN_TIME 3000
/** Further time for which the draining searcher serves, ms. */
#define EXTRA_TIME 9000
/** Interval of the requests to each machine, ms. */
#define REQUEST_INTERVAL 100
/** Interval at which one of the other searchers is replaced, ms. */
#define REPLACE_INTERVAL 1000

static struct harness *harness;
static wv_msec acknowledged = WV_MSEC_NEVER;
static unsigned late, others;

static void
write_config(void)
{
	store_put(harness->store, KIND_CONFIG, "main",
	    "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":"
	    "\"maps.example\",\"pathPrefix\":\"/a/\",\"routeType\":"
	    "\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":100,"
	    "\"priority\":1,\"service\":\"s0\",\"maxAttempts\":2}],"
	    "\"services\":[{\"name\":\"s0\",\"healthPath\":\"/health\","
	    "\"maxConnections\":64}],\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
	    "\"idleTimeoutMs\":15000}}");
}

/* Writes the entry of a searcher of another service, which gets no work. */
static void
write_other(unsigned i, unsigned incarnation)
{
	char *id = g_strdup_printf("i-other-%u", i);
	char *spec = g_strdup_printf(
	    "{\"service\":\"t%u\",\"address\":\"127.0.0.9:9\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"coldLeftMs\":0,\"sequence\":1,\"born\":%u}",
	    i / 3, 1000 + incarnation);

	store_put(harness->store, KIND_SERVERS, id, spec);
	g_free(spec);
	g_free(id);
}

static void
replace_other(void *data)
{
	static unsigned n;

	(void)data;
	n++;
	write_other(n % OTHERS, n);
}

static void
count_run(struct searcher *searcher, const char *id)
{
	wv_msec after = harness_now(harness) - acknowledged;

	if (after <= DRAIN_TIME)
		return;
	if (!searcher->draining) {
		others++;
		return;
	}
	late++;
	record(harness,
	    "BROKEN: %s reaches %s %.0f ms after the store has acknowledged "
	    "that it drains",
	    id, searcher->id, after);
}

static void
send_requests(void *data)
{
	(void)data;
	check_vms(harness);
	for (guint i = 0; i < harness->vms->len; i++)
		request_send(
		    harness->vms->pdata[i], "GET", "/a/1", 1500, NULL, NULL);
}

/* Sets the part of calls that are turned away for the machines that watch. */
static void
reject_calls(unsigned percent)
{
	for (guint i = 0, n = 0; i < harness->vms->len && n < REJECTED; i++) {
		struct vm *vm = harness->vms->pdata[i];

		if (harness_now(harness) - vm->door->watched_at > WATCH_PERIOD)
			continue;
		n++;
		vm->door->rejected_percent = percent;
		record(harness, "the store turns away %u %% of the calls of %s",
		    percent, vm->name);
	}
}

static void
serve_all_calls(void)
{
	for (guint i = 0; i < harness->vms->len; i++) {
		struct vm *vm = harness->vms->pdata[i];

		if (vm->door->rejected > 0)
			record(harness, "%u calls of %s were turned away",
			    vm->door->rejected, vm->name);
		vm->door->rejected_percent = 0;
	}
}

static void
disturb_store(void)
{
	if (harness->trouble) {
		harness->store->mute = true;
		run_for(harness, MUTE_TIME);
		harness->store->mute = false;
		reject_calls(REJECTED_PERCENT);
		store_compact(harness->store);
		record(harness, "the store forgets its history");
	}
	run_for(harness, REJECT_TIME);
	serve_all_calls();
}

int
main(void)
{
	struct searcher *searchers[SEARCHERS];

	harness = harness_create();
	for (unsigned i = 0; i < SEARCHERS; i++) {
		char *id = g_strdup_printf("i-0%u", i);

		searchers[i] = searcher_start(harness, "s0", id);
		searchers[i]->ran = count_run;
		g_free(id);
	}
	for (unsigned i = 0; i < OTHERS; i++)
		write_other(i, 0);
	write_config();
	for (unsigned i = 0; i < MACHINES; i++) {
		char *name = g_strdup_printf("edge-%u", i);

		vm_start(vm_create(harness, name));
		g_free(name);
	}
	task_start(harness, 0, REPLACE_INTERVAL, replace_other, NULL);
	run_for(harness, LEAD_TIME);
	task_start(harness, 0, REQUEST_INTERVAL, send_requests, NULL);
	run_for(harness, 2000);
	disturb_store();
	run_for(harness, CALM_TIME);
	searchers[0]->draining = true;
	searcher_register(searchers[0]);
	acknowledged = harness_now(harness);
	record(harness, "the store acknowledges that i-00 drains");
	run_for(harness, DRAIN_TIME + EXTRA_TIME);
	record(harness, "after the bound: %u at i-00, %u at the others", late,
	    others);
	if (others == 0 && late == 0)
		harness->result = EXIT_NOT_RUN;
	else if (late > 0)
		harness->result = EXIT_BROKEN;
	return harness_finish(harness);
}
