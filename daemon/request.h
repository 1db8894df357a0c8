/**
 * @file
 * A request of a caller or of an operator while the daemon processes it.
 */
#ifndef WISTERIAVANE_DAEMON_REQUEST_H
#define WISTERIAVANE_DAEMON_REQUEST_H

#include "daemon/mailbox.h"
#include "http/server.h"
#include "wisteriavane/wisteriavane.h"

struct daemon;

/** Kinds of requests: a search, or a call about a job. */
enum request_kind {
	REQUEST_SEARCH,
	REQUEST_JOB,
	REQUEST_JOB_LOOKUP,
	REQUEST_JOB_RESOLVE
};

/**
 * A request. One thread at a time owns it; posting it as a task passes
 * ownership on. request_answer() and request_fail() answer and free it. All
 * strings are owned.
 */
struct request {
	struct mailbox_task task;
	struct daemon *daemon;
	enum request_kind kind;
	struct wv_http_call *call; /**< caller's call; NULL if forwarded */
	uint64_t link_id; /**< link to the VM that forwarded it */
	uint64_t link_request_id; /**< the forwarding VM's id for it */
	uint64_t id; /**< id at the worker */
	struct wv_string customer;
	struct wv_string back_end;
	struct wv_string text; /**< query of a search or payload of a job */
	struct wv_string key; /**< of a job; else empty or unset */
	enum wv_rank rank;
	double coverage_minimum; /**< fraction of shards, 0 to 1 */
	wv_msec arrived; /**< monotonic, ms */
	wv_msec deadline; /**< monotonic, ms */
	uint32_t lane; /**< number of its lane */
	uint32_t hops; /**< number of times it was forwarded to get here */
	uint32_t forward_count; /**< times that this VM forwarded it */
	bool resolve_done; /**< resolution: operator says the job is done */
};

/** Final outcome of a request. Strings are borrowed. */
struct request_outcome {
	struct wv_answer answer; /**< jobs use only its status */
	enum wv_job_state state; /**< jobs only */
	struct wv_string result; /**< jobs only */
};

/**
 * Creates a request that arrived now. It counts as in progress, which a planned
 * stop waits for, until it is answered.
 */
struct request *request_create(struct daemon *daemon, enum request_kind kind);

/** Answers the caller or the VM that forwarded the request, and frees it. */
void request_answer(
    struct request *request, const struct request_outcome *outcome);

/** Answers with an error code and message, and frees the request. */
void request_fail(
    struct request *request, enum wv_code code, const char *message);

/** Answers with an error status, and frees the request. */
void request_fail_status(
    struct request *request, const struct wv_status *status);

#endif
