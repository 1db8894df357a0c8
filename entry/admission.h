/**
 * @file
 * Decides whether a caller's request may be submitted: its form, the state of
 * this VM, its route and the key of its team. Answers and logs those that may
 * not.
 *
 * Belongs to the thread of the event loop. Answering may start the next request
 * on the connection.
 */
#ifndef WISTERIAVANE_ENTRY_ADMISSION_H
#define WISTERIAVANE_ENTRY_ADMISSION_H

#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/platform_adapter.h"
#include "entry/quota_gate.h"
#include "entry/server.h"
#include "wisteriavane/clock.h"

/** Deadline of a request that does not state one, ms after its arrival. */
#define ADMISSION_DEFAULT_DEADLINE 60000

struct admission;

/** Operations that the admission calls. */
struct admission_ops {
	/** Returns whether callers' requests can be submitted. */
	bool (*is_ready)(void *data);
	/** Returns whether the teams' keys may be used; see strict_revoke. */
	bool (*is_confirmed)(void *data);
};

/** What the admission uses. All pointers are borrowed. */
struct admission_deps {
	struct wv_clock *clock;
	const struct platform_adapter *adapter;
	struct log *log;
	struct metrics *metrics;
	struct quota_gate *quota_gate; /**< read for log lines only */
};

/**
 * Creates an admission that has no routes yet.
 *
 * @param deps  copied; what it points to must outlive the admission
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct admission *admission_create(const struct admission_deps *deps,
    const struct admission_ops *ops, void *data);

/** Releases the admission. */
void admission_destroy(struct admission *admission);

/** Uses another version of the routes and keeps a reference to it. */
void admission_set_routes(
    struct admission *admission, struct wv_routes *routes);

/** Refuses all further requests as not run, because this VM stops. */
void admission_refuse_new(struct admission *admission);

/** Returns whether admission_refuse_new() was called. */
bool admission_is_refusing(const struct admission *admission);

/**
 * Checks the form of a request.
 *
 * @param deadline  receives how long the caller waits, ms after its arrival
 * @return false if the request has been answered as malformed
 */
bool admission_check_form(struct admission *admission, struct server_conn *conn,
    const struct message *message, uint64_t *deadline);

/**
 * Finds the route and the team of a request. Both are owned by the routes.
 *
 * @param team  set to NULL if the request has none
 * @return false if the request has been answered: this VM is not ready or
 *         stops, or the request has no valid key or no route
 */
bool admission_find_target(struct admission *admission,
    struct server_conn *conn, const struct message *message,
    const struct wv_route **route, const struct wv_team **team);

/** Refuses a request that is not submitted because this VM stops. */
void admission_refuse_stopping(struct admission *admission,
    struct server_conn *conn, const struct message *message);

/**
 * Refuses a request that the quota of its team does not permit.
 *
 * @param retry_after  time until the quota permits one, ms
 */
void admission_refuse_quota(struct admission *admission,
    struct server_conn *conn, const struct message *message,
    const struct wv_team *team, wv_msec retry_after);

#endif
