/**
 * @file
 * Log lines and counters of attempts at searchers.
 */
#ifndef WISTERIAVANE_ENTRY_ATTEMPT_LOG_H
#define WISTERIAVANE_ENTRY_ATTEMPT_LOG_H

#include "entry/log.h"
#include "entry/metrics.h"
#include "wisteriavane/dispatch.h"

/**
 * Logs an attempt that repeats another one.
 *
 * @param id  the caller's identifier of the request
 */
void attempt_log_repeated(
    struct log *log, struct wv_string id, const struct wv_attempt *attempt);

/**
 * Counts and logs an attempt that failed. Its task may have ended.
 *
 * @param id       the caller's identifier of the request; empty: not known
 * @param elapsed  time since it was sent, ms
 */
void attempt_log_failed(struct log *log, struct metrics *metrics,
    struct wv_string id, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed);

#endif
