/**
 * @file
 * Reports between entry VMs.
 */
#ifndef WISTERIAVANE_ENTRY_REPORTS_H
#define WISTERIAVANE_ENTRY_REPORTS_H

#include <event2/event.h>

#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/settings.h"
#include "entry/store_sync.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/peers.h"
#include "wisteriavane/quota_asks.h"
#include "wisteriavane/registry.h"

struct reports;

/** Operations that the reports call. */
struct reports_ops {
	/** Returns whether this VM can serve callers, for its report. */
	bool (*is_serving)(void *data);
	/** A home has answered a question; see wv_quota_asks_apply(). */
	void (*quota_answered)(
	    void *data, uint64_t id, unsigned permitted, wv_msec retry_after);
	/** A periodic report was sent, and the table of VMs was updated. */
	void (*round_ended)(void *data);
};

/** What the reports use. All pointers are borrowed. */
struct reports_deps {
	struct event_base *base;
	struct wv_clock *clock;
	struct log *log;
	struct metrics *metrics;
	const struct entry_settings *settings; /**< may change at run time */
	struct wv_registry *registry; /**< for hints about searchers */
	struct wv_peers *peers; /**< gets the reports of other VMs */
	struct wv_quota *quota; /**< grants other VMs tokens */
	struct wv_quota_pool *pool; /**< its loans are reported */
	struct store_sync *store; /**< its positions are reported */
	uint64_t incarnation; /**< differs between restarts of this VM */
};

/**
 * Creates the reports; reports_open() lets them be sent and received.
 *
 * @param deps  copied; what it points to must outlive the reports
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct reports *reports_create(
    const struct reports_deps *deps, const struct reports_ops *ops, void *data);

/**
 * Opens the socket for reports at the address of the settings. Returns false
 * with errno if it can't be bound.
 */
bool reports_open(struct reports *reports);
void reports_destroy(struct reports *reports);

/**
 * Asks a home for tokens of a team. Returns false if its address is not known
 * or the datagram can't be sent.
 */
bool reports_ask_quota(struct reports *reports, const struct wv_quota_ask *ask);

/** Sends a report to the other VMs now, after the state of this VM changed. */
void reports_send(struct reports *reports);

/**
 * Sends a report now, which says that this VM leaves; all further ones say so
 * too.
 */
void reports_announce_leaving(struct reports *reports);

#endif
