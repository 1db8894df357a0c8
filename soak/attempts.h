/**
 * @file
 * Attempts of the VMs at the searchers of the soak, and the answers to them, as
 * the proxies in front of the searchers see them.
 */
#ifndef WISTERIAVANE_SOAK_ATTEMPTS_H
#define WISTERIAVANE_SOAK_ATTEMPTS_H

#include "soak/cluster.h"

/** Size of a buffer for the value of a field, bytes with the NUL. */
#define ATTEMPT_FIELD_SIZE 64

struct attempts;

/** A request that a VM has sent, or its answer that is passed on to the VM. */
struct attempt {
	unsigned searcher;
	bool answered; /**< this is the answer */
	const char *request; /**< its identifier; borrowed */
	const char *head; /**< of the request or answer; borrowed */
};

typedef void (*attempts_observer)(void *data, const struct attempt *attempt);

/** Begins to observe the proxies; lives as long as the process. */
struct attempts *attempts_create(struct cluster *cluster);

/** Calls an observer for each attempt and answer; there may be several. */
void attempts_observe(
    struct attempts *attempts, attempts_observer observer, void *data);

/** Copies the value of a field of the head; "" if it has none. */
void attempt_read_field(const struct attempt *attempt, const char *name,
    char value[ATTEMPT_FIELD_SIZE]);

#endif
