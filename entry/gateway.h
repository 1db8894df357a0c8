/**
 * @file
 * Serves the callers' requests of an entry VM.
 */
#ifndef WISTERIAVANE_ENTRY_GATEWAY_H
#define WISTERIAVANE_ENTRY_GATEWAY_H

#include <event2/event.h>

#include "entry/admission.h"
#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/platform_adapter.h"
#include "entry/server.h"
#include "entry/settings.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/dispatch.h"
#include "wisteriavane/dispatch_explain.h"
#include "wisteriavane/quota_asks.h"

struct gateway;

/** Operations that the gateway calls. */
struct gateway_ops {
	struct admission_ops admission; /**< passed on to the admission */
	/** Asks a home for tokens of a team; false if that is not possible. */
	bool (*ask_quota)(void *data, const struct wv_quota_ask *ask);
};

/** What the gateway uses. All pointers are borrowed. */
struct gateway_deps {
	struct event_base *base;
	struct wv_clock *clock;
	const struct platform_adapter *adapter;
	struct log *log;
	struct metrics *metrics;
	const struct entry_settings *settings;
	struct wv_quota *quota; /**< of the teams */
	const struct wv_quota_pool *pool; /**< names the homes of the teams */
	uint64_t incarnation; /**< differs between restarts of this VM */
};

/**
 * Creates the registry, the dispatcher, the connections to searchers and the
 * server of callers, which does not listen yet.
 *
 * @param deps  copied; what it points to must outlive the gateway
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct gateway *gateway_create(
    const struct gateway_deps *deps, const struct gateway_ops *ops, void *data);

/** Aborts requests in progress and releases what gateway_create() created. */
void gateway_destroy(struct gateway *gateway);

/** Returns the registry of searchers. Borrowed. */
struct wv_registry *gateway_registry(struct gateway *gateway);

/** Uses another version of the routes and keeps a reference to it. */
void gateway_set_routes(struct gateway *gateway, struct wv_routes *routes);

/** Sets this VM's share of the searchers' connections and of the retries. */
void gateway_set_limits(
    struct gateway *gateway, const struct wv_dispatch_limits *limits);

/** Sets the limits of the teams' quotas, copied; see wv_quota_set_limits(). */
void gateway_set_quota(
    struct gateway *gateway, const struct wv_quota_limits *limits);

/** Applies the answer to ask_quota(); see wv_quota_asks_apply(). */
void gateway_apply_quota_answer(struct gateway *gateway, uint64_t id,
    unsigned permitted, wv_msec retry_after);

/** Sets how many connections to searchers are kept. */
void gateway_set_max_searcher_conns(struct gateway *gateway, size_t max_conns);

/** Continues requests that waited for a change of the registry. */
void gateway_registry_changed(struct gateway *gateway);

/** Returns the server that accepts callers. Borrowed. */
struct server *gateway_server(struct gateway *gateway);

/** Refuses all further requests as not run, because this VM stops. */
void gateway_refuse_new(struct gateway *gateway);

/** Returns whether gateway_refuse_new() was called. */
bool gateway_is_refusing(const struct gateway *gateway);

/**
 * Reads what this VM has left of a team's quota, without charging it.
 *
 * @param homes  receives how many other VMs can be asked for more
 * @return false if the team has no limit or no quota is enforced
 */
bool gateway_read_quota(struct gateway *gateway, const struct wv_team *team,
    struct wv_quota_state *state, size_t *homes);

/**
 * Explains what would be done with a request of the newest routes; see
 * wv_dispatch_explain(). Changes nothing.
 *
 * @param limit  time that its caller waits, ms; below 0: not stated
 */
struct wv_explanation *gateway_explain(struct gateway *gateway, wv_msec now,
    const struct wv_route *route, const struct wv_team *team, wv_msec limit);

/** Answers every request still in progress, because this VM stops. */
void gateway_abort(struct gateway *gateway);

#endif
