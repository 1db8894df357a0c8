/**
 * @file
 * Declarations shared by the sources of wisteriavanectl, which runs in one
 * thread.
 */
#ifndef WISTERIAVANE_CTL_H
#define WISTERIAVANE_CTL_H

#include <glib.h>

#include "http/client.h"
#include "http/json.h"

/** Exit codes, described in docs/ctl.md. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /**< the VM answered with an error */
	CTL_USAGE = 2, /**< bad arguments or an unreadable file */
	CTL_NO_ANSWER = 3, /**< no answer was received */
	CTL_CONFLICT = 4, /**< another version is current */
	CTL_NOT_CONFIRMED = 5, /**< accepted; not in force on all members */
	CTL_UNKNOWN = 6, /**< whether it took effect or ran is unknown */
	CTL_NOT_WRITTEN = 7 /**< done, but not all output was written */
};

/** Maximum number of positional arguments, the command included. */
#define CTL_MAX_ARGS 5

/** The parsed command line. Strings are borrowed unless marked as owned. */
struct ctl {
	const char *address; /**< IP:PORT of the VM */
	char *token; /**< operators' token, owned; NULL for none */
	GPtrArray *members; /**< operators' addresses, borrowed */
	GPtrArray *log_paths; /**< borrowed */
	bool json; /**< print answers as JSON */
	wv_msec timeout; /**< of one call, ms */
	wv_msec in_force_timeout; /**< wait for a new contract, ms */
	const char *args[CTL_MAX_ARGS + 1]; /**< command; ends with NULL */
	unsigned int n_args;
	const char *customer;
	const char *back_end;
	const char *rank;
	const char *query;
	const char *key;
	const char *payload;
	const char *state; /**< of the jobs to list */
	const char *host; /**< of the request to explain */
	const char *path; /**< of the request to explain */
	const char *method; /**< of the request to explain, or NULL */
	const char *team; /**< of the request to explain, or NULL */
	wv_msec deadline; /**< ms; below 0 if not given */
	double coverage_minimum; /**< 0 to 1; below 0 if not given */
	int64_t if_version; /**< version to replace; below 0 if not given */
};

/**
 * Calls a VM and waits for its answer. Prints an error to standard error.
 *
 * @param address  IP:PORT, or NULL for the address of the command line
 * @param body     released by the call; NULL for none
 * @param answer   receives the parsed answer, also if it is an error, or NULL
 *                 if there is none; release it with json_node_unref()
 */
enum ctl_exit ctl_call(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body, JsonNode **answer);

/** Like ctl_call(), but stores an error in a status and prints nothing. */
enum ctl_exit ctl_call_quietly(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body, JsonNode **answer,
    struct wv_status *status);

/** Calls a VM and prints its answer; with --json an error answer too. */
enum ctl_exit ctl_call_and_print(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body);

/** Prints a node as JSON: on one line with --json, else indented. */
void ctl_print(const struct ctl *ctl, JsonNode *node);

/** Prints a usage error to standard error and returns CTL_USAGE. */
enum ctl_exit ctl_usage(const char *message);

/**
 * Joins a URL path: prefix, escaped segment and suffix. The result is owned by
 * the caller.
 */
char *ctl_path(const char *prefix, const char *segment, const char *suffix);

/** Runs `contract list`, `get`, `put` or `history`. */
enum ctl_exit ctl_contract(const struct ctl *ctl);

/** Runs `jobs list` or `jobs resolve`. */
enum ctl_exit ctl_jobs(const struct ctl *ctl);

/** Runs `search`. */
enum ctl_exit ctl_search(const struct ctl *ctl);

/** Runs `submit`; makes a key if none is given. */
enum ctl_exit ctl_submit(const struct ctl *ctl);

/** Runs `addresses`. */
enum ctl_exit ctl_addresses(const struct ctl *ctl);

/** Runs `state [ADDRESS]`. */
enum ctl_exit ctl_state(const struct ctl *ctl);

/** Runs `explain ADDRESS`. */
enum ctl_exit ctl_explain(const struct ctl *ctl);

/** Runs `follow ID`, which only reads logs. */
enum ctl_exit ctl_follow(const struct ctl *ctl);

#endif
