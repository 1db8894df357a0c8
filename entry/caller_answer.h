/**
 * @file
 * Answers to callers: those of searchers, relayed or merged, and refusals.
 */
#ifndef WISTERIAVANE_ENTRY_CALLER_ANSWER_H
#define WISTERIAVANE_ENTRY_CALLER_ANSWER_H

#include "entry/log.h"
#include "entry/metrics.h"
#include "entry/platform_adapter.h"
#include "entry/server.h"
#include "wisteriavane/clock.h"
#include "wisteriavane/dispatch.h"

/** What answers to requests that were submitted use. Borrowed pointers. */
struct caller_answer_deps {
	struct wv_clock *clock;
	const struct platform_adapter *adapter;
	struct log *log;
	struct metrics *metrics;
};

/**
 * Answers a request that has not run and will not run.
 *
 * @param retry_after  time after which the caller may return, ms
 */
void caller_answer_not_run(
    struct server_conn *conn, unsigned status, wv_msec retry_after);

/**
 * Answers the caller of a task with its result, counts the result and logs it.
 * Releases the answer that the result has.
 *
 * @param id  the caller's identifier of the request; valid until the return,
 *            also if the answer starts the next request on the connection
 */
void caller_answer_result(const struct caller_answer_deps *deps,
    struct server_conn *conn, struct wv_string id, const struct wv_task *task,
    const struct wv_result *dispatched);

#endif
