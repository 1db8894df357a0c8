/**
 * @file
 * Log lines and counters of attempts.
 */
#include "entry/attempt_log.h"

void
attempt_log_repeated(
    struct log *log, struct wv_string id, const struct wv_attempt *attempt)
{
	char text[LOG_REQUEST_ID_SIZE];
	char service[LOG_NAME_SIZE];
	char searcher[LOG_NAME_SIZE];

	log_line(log, LOG_DETAIL, "attempt_repeated",
	    "\"id\":\"%s\",\"service\":\"%s\",\"searcher\":\"%s\","
	    "\"elapsed_ms\":%.1f,\"window_first\":%u,\"window_extra\":%u",
	    log_escape(id, text, sizeof(text)),
	    log_escape(
		attempt->searcher->service->name, service, sizeof(service)),
	    log_escape(attempt->searcher->id, searcher, sizeof(searcher)),
	    attempt->sent_at - attempt->task->arrived,
	    attempt->searcher->service->allowance.first_total,
	    attempt->searcher->service->allowance.extra_total);
}

static struct wv_counter *
failure_counter(struct metrics *metrics, enum wv_attempt_end end)
{
	switch (end) {
	case WV_END_REJECTED:
		return &metrics->attempts_rejected;
	case WV_END_WRONG_SEARCHER:
		return &metrics->attempts_wrong_searcher;
	case WV_END_NOT_SENT:
		return &metrics->attempts_not_sent;
	case WV_END_BROKEN:
	case WV_END_RESET:
		return &metrics->attempts_broken;
	case WV_END_ANSWERED:
	case WV_END_FAILED:
		break;
	}
	return &metrics->attempts_failed;
}

void
attempt_log_failed(struct log *log, struct metrics *metrics,
    struct wv_string id, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed)
{
	char text[LOG_REQUEST_ID_SIZE];
	char service[LOG_NAME_SIZE];
	char searcher[LOG_NAME_SIZE];

	wv_counter_add(failure_counter(metrics, end), 1);
	log_line(log, LOG_FAILURE, "attempt_failed",
	    "\"id\":\"%s\",\"service\":\"%s\",\"searcher\":\"%s\","
	    "\"end\":\"%s\",\"elapsed_ms\":%.1f,\"extra\":%s,\"lost\":%s",
	    log_escape(id, text, sizeof(text)),
	    log_escape(
		attempt->searcher->service->name, service, sizeof(service)),
	    log_escape(attempt->searcher->id, searcher, sizeof(searcher)),
	    wv_attempt_end_name(end), elapsed,
	    attempt->extra ? "true" : "false",
	    attempt->searcher->health.lost ? "true" : "false");
}
