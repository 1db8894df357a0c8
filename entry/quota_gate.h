/**
 * @file
 * Decides whether callers' requests are within the quotas of their teams: from
 * this VM's own tokens, or else by asking the homes of the team.
 *
 * Belongs to the thread of the event loop.
 */
#ifndef WISTERIAVANE_ENTRY_QUOTA_GATE_H
#define WISTERIAVANE_ENTRY_QUOTA_GATE_H

#include <event2/event.h>

#include "entry/log.h"
#include "entry/metrics.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/quota_asks.h"

struct quota_gate;

/** Operations that the gate calls. */
struct quota_gate_ops {
	/** Sends a question to a home; false if that is not possible. */
	bool (*ask)(void *data, const struct wv_quota_ask *ask);
	/**
	 * Ends the wait of a request. If it is permitted, it must be sent now
	 * or not at all, and quota_gate_adopt() called for it.
	 */
	void (*decided)(
	    void *data, void *request, bool permitted, wv_msec retry_after);
};

/** What the gate uses. All pointers are borrowed. */
struct quota_gate_deps {
	struct event_base *base;
	struct wv_clock *clock;
	struct log *log;
	struct metrics *metrics;
	struct wv_quota *quota;
	const struct wv_quota_pool *pool; /**< names the homes */
	uint64_t incarnation; /**< differs between restarts of this VM */
};

enum quota_decision { QUOTA_PERMITTED, QUOTA_REFUSED, QUOTA_WAITS };

/**
 * Creates a gate that enforces no quota yet.
 *
 * @param deps  copied; what it points to must outlive the gate
 * @param ops   borrowed
 * @param data  passed to the operations
 */
struct quota_gate *quota_gate_create(const struct quota_gate_deps *deps,
    const struct quota_gate_ops *ops, void *data);

/** Frees the gate. No request waits any more. */
void quota_gate_destroy(struct quota_gate *gate);

/** Sets the limits, copied; see wv_quota_set_limits(). */
void quota_gate_set_limits(struct quota_gate *gate,
    const struct wv_quota_limits *limits, const struct wv_routes *routes);

/** Uses the teams of a route table; see wv_quota_set_teams(). */
void quota_gate_set_teams(
    struct quota_gate *gate, const struct wv_routes *routes);

/**
 * Charges a request to its team.
 *
 * @param team         NULL: it has none, and is permitted
 * @param request      passed to the operation if the request waits
 * @param receipt      receives what quota_gate_end() needs if it is permitted
 * @param retry_after  receives the time until one is permitted if it is refused
 */
enum quota_decision quota_gate_charge(struct quota_gate *gate,
    const struct wv_team *team, void *request, struct wv_quota_receipt *receipt,
    wv_msec *retry_after);

/** Ends the wait of a request without a decision. */
void quota_gate_cancel(
    struct quota_gate *gate, const struct wv_team *team, void *request);

/** Records a request that a home has permitted; see wv_quota_adopt(). */
void quota_gate_adopt(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_receipt *receipt);

/**
 * Ends the charge of a request. It is refunded only if no searcher has got it:
 * the quota limits the requests that reach a searcher, run or not.
 */
void quota_gate_end(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_receipt receipt, bool has_arrived);

/** Applies the answer of a home; see wv_quota_asks_apply(). */
void quota_gate_apply_answer(struct quota_gate *gate, uint64_t id,
    unsigned permitted, wv_msec retry_after);

/** Reads what this VM has of a team's quota; false if none is enforced. */
bool quota_gate_read(struct quota_gate *gate, const struct wv_team *team,
    struct wv_quota_state *state);

/** Returns how many other VMs can be asked for a team's tokens. */
size_t quota_gate_count_homes(
    const struct quota_gate *gate, const struct wv_team *team);

#endif
