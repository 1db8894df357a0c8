/**
 * @file
 * Repeats a step of a start until it succeeds, with growing pauses.
 *
 * The first failure, each one for another reason, and the success are logged.
 */
#ifndef WISTERIAVANE_ENTRY_RETRY_H
#define WISTERIAVANE_ENTRY_RETRY_H

#include <event2/event.h>

#include "entry/log.h"

/** Result of an attempt. */
enum retry_result {
	RETRY_DONE,
	RETRY_LATER, /**< failed; a later attempt may succeed */
	RETRY_NEVER /**< failed for a reason that does not pass by itself */
};

/** The step. */
struct retry_ops {
	/**
	 * Attempts the step.
	 *
	 * @param reason  empty; a failure appends what failed and why
	 */
	enum retry_result (*attempt)(void *data, GString *reason);
	/**
	 * Called once an attempt resulted in RETRY_NEVER; there are no further
	 * ones. NULL: the step is attempted again even then.
	 */
	void (*failed)(void *data);
};

struct retry;

/**
 * Creates a step; retry_now() attempts it first.
 *
 * @param name   of the step in log lines; borrowed
 * @param ops    borrowed
 * @param data   passed to the callbacks
 */
struct retry *retry_create(struct event_base *base, struct log *log,
    struct wv_clock *clock, const char *name, const struct retry_ops *ops,
    void *data);

/** Attempts the step now, unless it is done. */
void retry_now(struct retry *retry);

/** Releases a step; no further attempt is made. NULL is allowed. */
void retry_destroy(struct retry *retry);

#endif
