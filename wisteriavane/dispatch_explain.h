/**
 * @file
 * Explanation of what the dispatcher would do with a request now. Nothing is
 * sent, and no state of the dispatcher, the registry or a route changes: not
 * that of the round robin, of the random generator or of the allowances.
 */
#ifndef WISTERIAVANE_DISPATCH_EXPLAIN_H
#define WISTERIAVANE_DISPATCH_EXPLAIN_H

#include "wisteriavane/dispatch.h"

/** What happens to a request first. */
enum wv_decision {
	WV_DECISION_ADMIT, /**< it is sent, or waits for connections of its
			    * services
			    */
	WV_DECISION_DEFER, /**< none of its parts is sent yet */
	WV_DECISION_REFUSE /**< it ends at once, not run */
};

/** A searcher that a part could be sent to. */
struct wv_explained_searcher {
	const struct wv_searcher *searcher; /**< borrowed */
	bool usable; /**< it takes requests now, perhaps as a probe */
	bool has_room; /**< this VM has a free connection to it and, if it is
			  cold, credit */
	double cost; /**< expected cost without its random part */
};

/** A service of the request. */
struct wv_service_choice {
	struct wv_string name; /**< borrowed from the route */
	bool reachable; /**< a searcher takes requests now */
	/** Searcher of the first attempt, borrowed; NULL: none has room. */
	const struct wv_searcher *chosen;
	unsigned connections; /**< this VM's part of the cap of a searcher */
	size_t waiting; /**< shard requests that wait for a connection */
	size_t deferred; /**< requests deferred for this service */
	double extra_left; /**< hedges and retries that may be sent now */
	struct wv_explained_searcher *candidates; /**< owned; usable ones with
					    room first, by cost */
	size_t n_candidates;
};

/** An explanation. */
struct wv_explanation {
	enum wv_decision decision;
	enum wv_reason reason; /**< refused: why */
	int rank; /**< 0 is the most urgent */
	wv_msec time; /**< from now until its deadline, ms */
	wv_msec max_deferral; /**< longest time that it is deferred, ms */
	size_t needed; /**< minimum number of parts */
	struct wv_service_choice *services; /**< owned */
	size_t n_services;
};

/**
 * Explains a request as wv_dispatch_submit() would handle it now; the
 * parameters are the same. The searchers are valid until the registry changes.
 */
struct wv_explanation *wv_dispatch_explain(struct wv_dispatch *dispatch,
    wv_msec now, struct wv_routes *routes, const struct wv_route *route,
    const struct wv_caller *caller);

/** Releases an explanation. */
void wv_explanation_destroy(struct wv_explanation *explanation);

/** Returns the name of a decision, such as "deferred". */
const char *wv_decision_name(enum wv_decision decision);

#endif
