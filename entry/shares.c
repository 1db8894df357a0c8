/**
 * @file
 * Division of descriptors.
 */
#include <glib.h>

#include "entry/platform_adapter.h"
#include "entry/shares.h"

/**
 * Descriptors that are divided at most. More connections than this would need
 * more memory than a small VM has.
 */
#define MAX_DESCRIPTORS 4100
/**
 * Descriptors that are not connections: standard streams, listeners, the event
 * loop's, and the one more connection that a server accepts before another
 * yields.
 */
#define FIXED_DESCRIPTORS 24
/** Descriptors for files, and their largest fraction of all. */
#define FILE_DESCRIPTORS 200
#define FILE_DIVISOR 8
/**
 * Shares in 32nds. Each other VM may hold two connections for changes, 600 in a
 * fleet of 300. The busiest VM of such a fleet had 880 connections of all kinds
 * when the outgoing ones were not limited, so they may be as many.
 */
#define SHARE_UNIT 32
#define CALLERS_SHARE 14
#define ADDRESSES_SHARE 2
#define READINESS_SHARE 1
#define METRICS_SHARE 1
#define CHANGES_SHARE 6
#define OUTGOING_SHARE 8
/**
 * Outgoing connections that searchers can't take, and their largest fraction of
 * all: the calls for each kind of data, to the store or to another VM, use one
 * connection at a time.
 */
#define SYNC_CONNECTIONS STORE_KIND_COUNT
#define SYNC_DIVISOR 2

static size_t
share_of(size_t connections, size_t share)
{
	return MAX(connections * share / SHARE_UNIT, 1);
}

struct shares
shares_divide(size_t descriptors)
{
	size_t all = MIN(descriptors, MAX_DESCRIPTORS);
	size_t reserved =
	    FIXED_DESCRIPTORS + MIN(all / FILE_DIVISOR, FILE_DESCRIPTORS);
	size_t connections = all > reserved ? all - reserved : 0;
	size_t outgoing = share_of(connections, OUTGOING_SHARE);
	size_t sync = MIN(outgoing / SYNC_DIVISOR, SYNC_CONNECTIONS);

	return (struct shares){
	    .callers = share_of(connections, CALLERS_SHARE),
	    .addresses = share_of(connections, ADDRESSES_SHARE),
	    .readiness = share_of(connections, READINESS_SHARE),
	    .metrics = share_of(connections, METRICS_SHARE),
	    .changes = share_of(connections, CHANGES_SHARE),
	    .outgoing = outgoing,
	    .searchers = outgoing - sync,
	};
}
