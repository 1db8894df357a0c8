/**
 * @file
 * A small deployment of real processes on loopback for tests: a store, a VM
 * list, one process with the searchers of one back end, and entry VMs.
 */
#ifndef WISTERIAVANE_TEST_FLEET_H
#define WISTERIAVANE_TEST_FLEET_H

#include <gio/gio.h>

#include "http/client.h"
#include "http/json.h"

/** Entry VMs of a fleet. */
#define FLEET_VMS 3
/** Services of the back end "desk". */
#define FLEET_SERVICES 4
/** Searchers of each service. */
#define FLEET_REPLICAS 3
#define FLEET_SEARCHERS (FLEET_SERVICES * FLEET_REPLICAS)
/** Slots of each searcher. */
#define FLEET_SLOTS 2
#define FLEET_TOKEN "test-operator-token"

/** One entry VM. */
struct fleet_vm {
	GSubprocess *process;
	char *name;
	char *callers; /**< IP:PORT */
	char *operators;
	char *peers;
	char *settings; /**< path of its settings */
};

/** A running deployment. */
struct fleet {
	char *dir;
	GSubprocess *store, *vm_list, *searchers;
	char *store_address;
	char *vm_list_address;
	char *searcher_addresses[FLEET_SEARCHERS];
	struct fleet_vm vms[FLEET_VMS];
};

/** An answer: HTTP status 0 if there was none. */
struct fleet_answer {
	unsigned int http_status;
	int code; /**< -1 if the answer has none */
	JsonNode *node; /**< NULL if there was no JSON object */
};

/** Starts everything and waits until a search is answered in full. */
struct fleet *fleet_start(void);

/** Ends all processes and removes the folder. */
void fleet_stop(struct fleet *fleet);

/** Starts a VM that was ended. */
void fleet_start_vm(struct fleet *fleet, size_t vm);

/** Calls an address; the body may be NULL. */
struct fleet_answer fleet_call(const char *address, const char *method,
    const char *path, const char *body, const char *token);

/** Releases an answer. */
void fleet_answer_clear(struct fleet_answer *answer);

/** Calls an address and asserts that the answer has a code. */
void fleet_expect(const char *address, const char *method, const char *path,
    const char *body, const char *token, int code);

/** Sets faults of one replica of each service. */
void fleet_replica_faults(
    const struct fleet *fleet, size_t replica, const char *faults);

/** Sends a search to a VM and returns the answer. */
struct fleet_answer fleet_search(const struct fleet *fleet, size_t vm);

/** Waits until a VM answers a search in full; asserts that it does. */
void fleet_wait_search(const struct fleet *fleet, size_t vm);

/** Returns a new job key, owned by the caller. */
char *fleet_key(void);

/** Sends a job to a VM and returns the answer. */
struct fleet_answer fleet_job(
    const struct fleet *fleet, size_t vm, const char *key);

/** Sets faults of a stand-in. */
void fleet_faults(const char *address, const char *faults);

/** Returns how often a job key ran, as the searchers count. */
int fleet_runs(const struct fleet *fleet, const char *key);

/** Returns a true count of all searchers, such as "max_busy". */
int64_t fleet_count(const struct fleet *fleet, const char *name);

/** Returns the VM that holds the lane of the back end. */
size_t fleet_holder(const struct fleet *fleet);

/** Starts the load tool with searches and jobs for some seconds. */
GSubprocess *fleet_load_start(const struct fleet *fleet, int seconds);

/**
 * Waits for the load tool; asserts that no job ran twice, none was lost, none
 * ran that was reported as not run, and no answer mixed two snapshots.
 *
 * @return the report, to be released with json_node_unref()
 */
JsonNode *fleet_load_finish(const struct fleet *fleet, GSubprocess *load);

/** Adds a count over all streams of a report. */
int64_t fleet_report_sum(JsonNode *report, const char *name);

/**
 * Runs wisteriavanectl with the operators' token on a VM; the arguments end
 * with NULL.
 *
 * @param output  receives what it printed, owned by the caller
 * @return its exit code
 */
int fleet_ctl(const struct fleet *fleet, size_t vm, char **output,
    ...) G_GNUC_NULL_TERMINATED;

/** Sleeps for some milliseconds. */
void fleet_sleep(double ms);

#endif
