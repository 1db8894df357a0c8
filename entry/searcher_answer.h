/**
 * @file
 * What a searcher's answer proves about the run of a request.
 */
#ifndef WISTERIAVANE_ENTRY_SEARCHER_ANSWER_H
#define WISTERIAVANE_ENTRY_SEARCHER_ANSWER_H

#include "entry/message.h"
#include "entry/platform_adapter.h"
#include "wisteriavane/health.h"
#include "wisteriavane/reported_load.h"

/** Longest rest that a searcher can ask for, ms. */
#define MAX_REST 1e9

/**
 * Returns how an attempt ended. Only WV_END_REJECTED and WV_END_WRONG_SEARCHER
 * prove that the request did not run: the searcher says so, or another searcher
 * than the expected one has answered.
 *
 * @param expected  identifier of the searcher that the request was sent to
 */
enum wv_attempt_end searcher_answer_classify(
    const struct platform_adapter *adapter, const struct message *answer,
    struct wv_string expected);

/**
 * Returns whether the searcher that has answered says that it is leaving: it
 * takes no further requests. The value of the field must be 1.
 */
bool searcher_answer_says_leaving(
    const struct platform_adapter *adapter, const struct message *answer);

/**
 * Returns how long the searcher wants no further request, ms: the Retry-After
 * of a 503, in seconds with or without a fraction, at most MAX_REST. 0 if there
 * is none, and for zero, a date or anything else.
 */
wv_msec searcher_answer_rest(const struct message *answer);

/**
 * Reads how much longer the searcher is cold, ms: a whole number in exactly one
 * field. Returns false if there is none, and for anything else.
 */
bool searcher_answer_cold(const struct platform_adapter *adapter,
    const struct message *answer, wv_msec *cold);

/** What an answer has of a report of the searcher's load. */
enum load_presence {
	LOAD_ABSENT,
	LOAD_MALFORMED, /**< not exactly one field, or not its format */
	LOAD_PRESENT
};

/**
 * Reads the load that the searcher reports: three or four whole numbers from 0
 * to 1,000,000, the last two at least 1, separated by commas without spaces. If
 * the fourth is missing, it is 100.
 *
 * @param load  set if it is present
 */
enum load_presence searcher_answer_load(const struct platform_adapter *adapter,
    const struct message *answer, struct wv_load_report *load);

/**
 * Returns whether a status promises a caller that its request has not run and
 * never will.
 */
bool status_promises_not_run(unsigned status);

#endif
