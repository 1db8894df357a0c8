/**
 * @file
 * The daemon's counters.
 */
#ifndef WISTERIAVANE_DAEMON_STATS_H
#define WISTERIAVANE_DAEMON_STATS_H

#include <json-glib/json-glib.h>

#include "wisteriavane/counters.h"

/** All counters. X gets the field, whose name is also the name in the dump. */
#define STATS_LIST(X)          \
	X(calls)               \
	X(calls_refused)       \
	X(connections_yielded) \
	X(searches)            \
	X(searches_answered)   \
	X(searches_full)       \
	X(jobs)                \
	X(jobs_done)           \
	X(jobs_not_run)        \
	X(jobs_unknown)        \
	X(jobs_send_withheld)  \
	X(forwarded)           \
	X(forwarded_in)        \
	X(forwards_lost)       \
	X(parked)              \
	X(parked_expired)      \
	X(attempts_sent)       \
	X(cancels_sent)        \
	X(upstream_not_sent)   \
	X(upstream_timeouts)   \
	X(upstream_broken)     \
	X(upstream_malformed)  \
	X(upstream_crossed)    \
	X(store_reads)         \
	X(store_writes)        \
	X(store_watches)       \
	X(store_failures)      \
	X(store_lost)          \
	X(store_conflicts)     \
	X(vm_list_reads)       \
	X(heartbeats_sent)     \
	X(heartbeats_received) \
	X(acks_received)       \
	X(frames_refused)      \
	X(links_unidentified)  \
	X(peer_bytes_sent)     \
	X(peer_bytes_received) \
	X(leases_taken)        \
	X(leases_lost)         \
	X(leases_handed_over)  \
	X(contracts_in_force)  \
	X(contracts_rejected)  \
	X(operator_calls)      \
	X(operator_unauthorized)

/** The counters. Any thread may add to them or read them. */
struct stats {
#define STATS_FIELD(name) struct wv_counter name;
	STATS_LIST(STATS_FIELD)
#undef STATS_FIELD
};

/** Sets all counters to zero. */
void stats_init(struct stats *stats);

/** Returns an object with each counter's value; the caller owns it. */
JsonObject *stats_dump(const struct stats *stats);

#endif
