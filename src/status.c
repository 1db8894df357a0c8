/**
 * @file
 * Result codes and their names.
 */
#include <stdarg.h>
#include <stdio.h>

#include "src/private.h"

struct code_name {
	enum wv_code code;
	const char *name;
};

static const struct code_name code_names[] = {
    {WV_OK, "ok"},
    {WV_BAD_REQUEST, "bad_request"},
    {WV_BAD_JSON, "bad_json"},
    {WV_BODY_TOO_LARGE, "body_too_large"},
    {WV_METHOD_NOT_ALLOWED, "method_not_allowed"},
    {WV_NOT_FOUND, "not_found"},
    {WV_UNKNOWN_CUSTOMER, "unknown_customer"},
    {WV_UNAUTHORIZED, "unauthorized"},
    {WV_UNKNOWN_BACK_END, "unknown_back_end"},
    {WV_RATE_LIMIT, "rate_limit"},
    {WV_CONCURRENCY_LIMIT, "concurrency_limit"},
    {WV_DEADLINE_NOT_ALLOWED, "deadline_not_allowed"},
    {WV_RANK_NOT_ALLOWED, "rank_not_allowed"},
    {WV_CANNOT_FINISH_IN_TIME, "cannot_finish_in_time"},
    {WV_QUEUE_FULL, "queue_full"},
    {WV_DRAINING, "draining"},
    {WV_HOLDER_UNREACHABLE, "holder_unreachable"},
    {WV_EXPIRED_IN_QUEUE, "expired_in_queue"},
    {WV_CONTRACTS_NOT_LOADED, "contracts_not_loaded"},
    {WV_COVERAGE_BELOW_MINIMUM, "coverage_below_minimum"},
    {WV_NO_ANSWER, "no_answer"},
    {WV_SNAPSHOT_UNAVAILABLE, "snapshot_unavailable"},
    {WV_DEADLINE_EXCEEDED, "deadline_exceeded"},
    {WV_CANCELLED, "cancelled"},
    {WV_JOB_UNKNOWN, "job_unknown"},
    {WV_JOB_NOT_RUN, "job_not_run"},
    {WV_JOB_IN_PROGRESS, "job_in_progress"},
    {WV_KEY_EXPIRED, "key_expired"},
    {WV_KEY_MALFORMED, "key_malformed"},
    {WV_KEY_REUSED, "key_reused"},
    {WV_JOB_NOT_FOUND, "job_not_found"},
    {WV_JOB_STORE_FULL, "job_store_full"},
    {WV_STORE_UNAVAILABLE, "store_unavailable"},
    {WV_VERSION_CONFLICT, "version_conflict"},
    {WV_OUTCOME_OPEN, "outcome_open"},
    {WV_SETTINGS_INVALID, "settings_invalid"},
    {WV_CONTRACT_INVALID, "contract_invalid"},
    {WV_TOPOLOGY_INVALID, "topology_invalid"},
    {WV_TRACE_INVALID, "trace_invalid"},
    {WV_FRAME_TOO_LARGE, "frame_too_large"},
    {WV_WRONG_DEPLOYMENT, "wrong_deployment"},
    {WV_WRONG_PROTOCOL, "wrong_protocol"},
    {WV_FRAME_MALFORMED, "frame_malformed"},
    {WV_INTERNAL, "internal"},
    {WV_OUT_OF_MEMORY, "out_of_memory"},
};

const char *
wv_code_name(enum wv_code code)
{
	for (size_t i = 0; i < G_N_ELEMENTS(code_names); i++) {
		if (code_names[i].code == code)
			return code_names[i].name;
	}
	return "unknown_code";
}

bool
wv_code_proves_not_run(enum wv_code code)
{
	return (code >= 200 && code < 300) || code == WV_JOB_NOT_RUN ||
	    code == WV_KEY_EXPIRED || code == WV_KEY_MALFORMED ||
	    code == WV_JOB_STORE_FULL;
}

enum wv_code
wv_status_set(
    struct wv_status *status, enum wv_code code, const char *format, ...)
{
	va_list args;

	status->code = code;
	va_start(args, format);
	vsnprintf(status->message, sizeof(status->message), format, args);
	va_end(args);
	return code;
}

void
wv_status_clear(struct wv_status *status)
{
	status->code = WV_OK;
	status->message[0] = '\0';
}
