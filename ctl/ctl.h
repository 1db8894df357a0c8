/**
 * @file
 * What the sources of wisteriavanectl share.
 */
#ifndef WISTERIAVANE_CTL_H
#define WISTERIAVANE_CTL_H

#include <glib.h>

#include "http/client.h"
#include "http/json.h"

/** Exit codes; docs/ctl.md explains them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /**< the VM answered with an error */
	CTL_USAGE = 2, /**< bad arguments or an unreadable file */
	CTL_NO_ANSWER = 3, /**< no answer came */
	CTL_CONFLICT = 4, /**< another version stands */
	CTL_NOT_CONFIRMED = 5, /**< accepted; not seen in force everywhere */
	CTL_UNKNOWN = 6 /**< whether it took effect or ran is unknown */
};

/** Most words of a command. */
#define CTL_MAX_WORDS 5

/** The command line. Strings are borrowed from it unless said otherwise. */
struct ctl {
	const char *address; /**< IP:PORT of the VM */
	char *token; /**< owned; NULL for none */
	GPtrArray *members; /**< operators' addresses given, borrowed */
	GPtrArray *logs; /**< paths of logs given, borrowed */
	bool json; /**< print answers as JSON */
	wv_msec timeout; /**< for one call */
	wv_msec wait; /**< for a contract to be in force */
	const char *words[CTL_MAX_WORDS + 1]; /**< ends with NULL */
	unsigned int n_words;
	const char *customer;
	const char *back_end;
	const char *rank;
	const char *query;
	const char *key;
	const char *payload;
	const char *state;
	wv_msec deadline; /**< ms; below 0 when not given */
	double coverage; /**< below 0 when not given */
	int64_t if_version; /**< below 0 when not given */
};

/**
 * Calls a VM. Prints the error if there is one.
 *
 * @param address  IP:PORT, or NULL for the address of the command line
 * @param body     released; NULL for none
 * @param answer   receives the parsed answer, also with an error if the VM
 *                 gave one, else NULL; release it with json_node_unref()
 */
enum ctl_exit ctl_call(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body, JsonNode **answer);

/** Does the same without printing; the error is put into a status. */
enum ctl_exit ctl_call_quietly(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body, JsonNode **answer,
    struct wv_status *status);

/** Calls a VM and prints its answer. */
enum ctl_exit ctl_call_and_print(const struct ctl *ctl, const char *address,
    const char *method, const char *path, JsonObject *body);

/** Prints a node: one line of JSON with --json, else indented. */
void ctl_print(const struct ctl *ctl, JsonNode *node);

/** Prints a usage fault and returns CTL_USAGE. */
enum ctl_exit ctl_usage(const char *message);

/** Joins a path and an escaped last part; owned by the caller. */
char *ctl_path(const char *path, const char *part, const char *end);

/** Runs `contract list|get|put|history`. */
enum ctl_exit ctl_contract(const struct ctl *ctl);

/** Runs `jobs list|resolve`. */
enum ctl_exit ctl_jobs(const struct ctl *ctl);

/** Runs `search`. */
enum ctl_exit ctl_search(const struct ctl *ctl);

/** Runs `submit`. */
enum ctl_exit ctl_submit(const struct ctl *ctl);

/** Runs `addresses`. */
enum ctl_exit ctl_addresses(const struct ctl *ctl);

/** Runs `state [ADDRESS]`. */
enum ctl_exit ctl_state(const struct ctl *ctl);

/** Runs `follow ID`; calls no VM. */
enum ctl_exit ctl_follow(const struct ctl *ctl);

#endif
