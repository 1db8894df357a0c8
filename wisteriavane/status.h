/**
 * @file
 * Numeric result codes and status messages. docs/result-codes.md explains each
 * code.
 */
#ifndef WISTERIAVANE_STATUS_H
#define WISTERIAVANE_STATUS_H

#include "wisteriavane/types.h"

/** Result codes. Codes 200 to 299: the request was refused and did not run. */
enum wv_code {
	WV_OK = 0,
	WV_BAD_REQUEST = 100,
	WV_BAD_JSON = 101,
	WV_BODY_TOO_LARGE = 102,
	WV_METHOD_NOT_ALLOWED = 103,
	WV_NOT_FOUND = 104,
	WV_UNKNOWN_CUSTOMER = 105,
	WV_UNAUTHORIZED = 106,
	WV_UNKNOWN_BACK_END = 107,
	WV_RATE_LIMIT = 200,
	WV_CONCURRENCY_LIMIT = 201,
	WV_DEADLINE_NOT_ALLOWED = 202,
	WV_RANK_NOT_ALLOWED = 203,
	WV_CANNOT_FINISH_IN_TIME = 204,
	WV_QUEUE_FULL = 205,
	WV_DRAINING = 206,
	WV_HOLDER_UNREACHABLE = 207,
	WV_EXPIRED_IN_QUEUE = 208,
	WV_CONTRACTS_NOT_LOADED = 209,
	WV_COVERAGE_BELOW_MINIMUM = 300,
	WV_NO_ANSWER = 301,
	WV_SNAPSHOT_UNAVAILABLE = 302,
	WV_DEADLINE_EXCEEDED = 303,
	WV_CANCELLED = 304,
	WV_JOB_UNKNOWN = 400,
	WV_JOB_NOT_RUN = 401,
	WV_JOB_IN_PROGRESS = 402,
	WV_KEY_EXPIRED = 403,
	WV_KEY_MALFORMED = 404,
	WV_KEY_REUSED = 405,
	WV_JOB_NOT_FOUND = 406,
	WV_JOB_STORE_FULL = 407,
	WV_STORE_UNAVAILABLE = 500,
	WV_VERSION_CONFLICT = 501,
	WV_OUTCOME_OPEN = 502,
	WV_SETTINGS_INVALID = 600,
	WV_CONTRACT_INVALID = 601,
	WV_TOPOLOGY_INVALID = 602,
	WV_TRACE_INVALID = 603,
	WV_FRAME_TOO_LARGE = 700,
	WV_WRONG_DEPLOYMENT = 701,
	WV_WRONG_PROTOCOL = 702,
	WV_FRAME_MALFORMED = 703,
	WV_INTERNAL = 900,
	WV_OUT_OF_MEMORY = 901
};

/** Size of a status message, in bytes, including the NUL. */
#define WV_MESSAGE_SIZE 256

/** A result code and a human-readable message. */
struct wv_status {
	enum wv_code code;
	char message[WV_MESSAGE_SIZE];
};

/** Returns the name of a code, such as "rate_limit", or "unknown_code". */
const char *wv_code_name(enum wv_code code);

/** Returns whether the code guarantees that the request did not run. */
bool wv_code_proves_not_run(enum wv_code code);

/** Sets code and message, truncating a long message. Returns the code. */
enum wv_code wv_status_set(struct wv_status *status, enum wv_code code,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

/** Resets the status to WV_OK with an empty message. */
void wv_status_clear(struct wv_status *status);

#endif
