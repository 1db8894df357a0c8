/**
 * @file
 * Test cluster of real processes on loopback: a store, a VM list, one process
 * with the searchers of the back end "desk", and entry VMs. The store, VM list
 * and searchers are stand-ins whose faults tests can set. Failures abort the
 * test by an assertion.
 */
#ifndef WISTERIAVANE_TEST_CLUSTER_CLUSTER_H
#define WISTERIAVANE_TEST_CLUSTER_CLUSTER_H

#include <gio/gio.h>

#include "http/client.h"
#include "http/json.h"

/** Number of entry VMs of a cluster. */
#define CLUSTER_VMS 3
/** Number of services of the back end "desk". */
#define CLUSTER_SERVICES 4
/** Number of searchers of each service. */
#define CLUSTER_REPLICAS 3
/** Number of searchers of all services. */
#define CLUSTER_SEARCHERS (CLUSTER_SERVICES * CLUSTER_REPLICAS)
/** Number of slots of each searcher. */
#define CLUSTER_SLOTS 2
/** The operators' token of all entry VMs. */
#define CLUSTER_TOKEN "test-operator-token"

/** One entry VM. */
struct cluster_vm {
	GSubprocess *process;
	char *name;
	char *callers; /**< IP:PORT */
	char *operators; /**< IP:PORT */
	char *peers; /**< IP:PORT */
	char *settings; /**< path of its settings file */
};

/** A running cluster. */
struct cluster {
	char *dir; /**< directory of settings and logs */
	GSubprocess *store, *vm_list, *searchers;
	char *store_address;
	char *vm_list_address;
	char *searcher_addresses[CLUSTER_SEARCHERS];
	struct cluster_vm vms[CLUSTER_VMS];
};

/** Answer to a call. */
struct cluster_answer {
	unsigned int http_status; /**< 0 if there was no answer */
	int code; /**< member "code"; -1 if there is none */
	JsonNode *node; /**< NULL if there was no JSON object */
};

/** Starts a cluster; returns when each entry VM answers a search in full. */
struct cluster *cluster_start(void);

/**
 * Kills all processes, removes the directory and frees the cluster. Asserts
 * that no entry VM logged a critical message of GLib.
 */
void cluster_stop(struct cluster *cluster);

/** Starts an entry VM; waits for the end of its previous process. */
void cluster_start_vm(struct cluster *cluster, size_t vm);

/** Sends an HTTP call to an address; body and token may be NULL. */
struct cluster_answer cluster_call(const char *address, const char *method,
    const char *path, const char *body, const char *token);

/** Frees the contents of an answer. */
void cluster_answer_clear(struct cluster_answer *answer);

/** Sends an HTTP call and asserts the code of its answer. */
void cluster_expect_code(const char *address, const char *method,
    const char *path, const char *body, const char *token, int code);

/** Replaces the faults of one replica of each service; see
 * cluster_set_faults(). */
void cluster_set_replica_faults(
    const struct cluster *cluster, size_t replica, const char *faults);

/** Sends a search to a VM and returns the answer. */
struct cluster_answer cluster_search(const struct cluster *cluster, size_t vm);

/** Waits until a VM answers a search in full; asserts that it does in time. */
void cluster_wait_full_search(const struct cluster *cluster, size_t vm);

/** Returns a new job key; the caller frees it with g_free(). */
char *cluster_new_key(void);

/** Sends a job to a VM and returns the answer. */
struct cluster_answer cluster_submit_job(
    const struct cluster *cluster, size_t vm, const char *key);

/** Replaces the faults of a stand-in by a JSON object; "{}" clears them. */
void cluster_set_faults(const char *address, const char *faults);

/** Returns how often a job ran, as counted by the searchers. */
int cluster_count_runs(const struct cluster *cluster, const char *key);

/** Returns a counter of all searchers, such as "max_busy". */
int64_t cluster_get_counter(const struct cluster *cluster, const char *name);

/** Waits until some VM holds the lane of the back end and returns it. */
size_t cluster_find_holder(const struct cluster *cluster);

/** Starts the load tool, which sends searches and jobs for some seconds. */
GSubprocess *cluster_start_load(const struct cluster *cluster, int seconds);

/**
 * Waits for the end of the load tool. Asserts that no job ran twice, was lost,
 * or ran but was reported as not run, and that no answer mixed two snapshots.
 *
 * @return the report, to be released with json_node_unref()
 */
JsonNode *cluster_finish_load(const struct cluster *cluster, GSubprocess *load);

/** Returns the sum of a counter over all streams of a report. */
int64_t cluster_sum_report(JsonNode *report, const char *name);

/**
 * Runs wisteriavanectl on a VM with the operators' token. The variable
 * arguments are those of the command and end with NULL.
 *
 * @param output  receives stdout and stderr; the caller frees it with g_free()
 * @return the exit code
 */
int cluster_run_ctl(const struct cluster *cluster, size_t vm, char **output,
    ...) G_GNUC_NULL_TERMINATED;

/** Sleeps in real time. */
void cluster_sleep_ms(double ms);

#endif
