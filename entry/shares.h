/**
 * @file
 * Division of the descriptors of a process among the kinds of its connections,
 * so that a flood of one kind can't take the descriptors that another one
 * needs.
 */
#ifndef WISTERIAVANE_ENTRY_SHARES_H
#define WISTERIAVANE_ENTRY_SHARES_H

#include <stddef.h>

/** Largest number of connections of each kind; each is at least one. */
struct shares {
	size_t callers;
	size_t addresses; /**< queries of addresses */
	size_t readiness;
	size_t metrics;
	size_t changes; /**< from other VMs */
	size_t outgoing; /**< to searchers, the store and other VMs */
	size_t searchers; /**< to searchers, part of `outgoing` */
};

/**
 * Divides descriptors.
 *
 * @param descriptors  how many the process may open (RLIMIT_NOFILE)
 */
struct shares shares_divide(size_t descriptors);

#endif
