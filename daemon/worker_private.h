/**
 * @file
 * Internals shared by the sources of the worker. All functions run on the
 * worker's thread.
 */
#ifndef WISTERIAVANE_DAEMON_WORKER_PRIVATE_H
#define WISTERIAVANE_DAEMON_WORKER_PRIVATE_H

#include <glib.h>

#include "daemon/upstream.h"
#include "daemon/worker.h"

/** A lane on this VM, whether it holds the lease or not. */
struct lane {
	struct wv_executor_sink sink;
	struct worker *worker;
	struct upstream upstream;
	struct wv_topology *topology;
	struct wv_executor *executor;
	struct wv_string name; /* owned */
	uint32_t number;
	wv_msec lease_until; /* lease expiry; monotonic, ms */
	wv_msec next_health_check; /* monotonic, ms */
	struct wv_string next_holder; /* owned; peer it was handed over to */
	GArray *handed_over; /* struct wv_attempt_id that still run */
};

/** The job store of one back end and its connection to the worker. */
struct back_end_jobs {
	struct wv_job_sink sink;
	struct worker *worker;
	struct wv_string back_end; /* owned */
	struct wv_job_store *store;
};

/** A worker thread and what it owns. */
struct worker {
	struct mailbox mailbox;
	struct daemon *daemon;
	struct wv_http_client *client;
	uint32_t index;
	GThread *thread;
	atomic_bool stop;
	uint64_t next_request; /* the index in the high bits, then a counter */
	uint64_t next_attempt; /* likewise; shared by all executors */
	GHashTable *lanes; /* name to struct lane */
	GHashTable *jobs_by_back_end; /* back end to struct back_end_jobs */
	GHashTable *requests; /* id to struct request */
	wv_msec next_expiry_scan; /* of job calls; monotonic, ms */
};

/** Finds a lane by its name, BACK_END/NUMBER, or returns NULL. */
struct lane *worker_find_lane(struct worker *worker, struct wv_string name);

/** Creates the job store of a back end unless it exists. */
void worker_add_jobs(struct worker *worker, const struct wv_topology *topology);

/** Finds the job store of a back end, or returns NULL. */
struct back_end_jobs *worker_find_jobs(
    struct worker *worker, struct wv_string back_end);

/** Frees a struct back_end_jobs; a GDestroyNotify. */
void back_end_jobs_destroy(void *data);

/**
 * Removes a request from the table and passes its ownership to the caller; NULL
 * if it was answered already.
 */
struct request *worker_remove_request(struct worker *worker, uint64_t id);

/**
 * Starts a job: checks admission, then submits it to the job store, which
 * claims it. Answers the request if it is rejected.
 */
void worker_start_job(
    struct worker *worker, struct lane *lane, struct request *request);

/** Serves a lookup or a resolution of a job. */
void worker_serve_job_call(struct worker *worker, struct request *request);

/** Records the executor's answer to a job as its outcome in the job store. */
void worker_finish_job(
    struct worker *worker, struct lane *lane, const struct wv_answer *answer);

/**
 * Returns whether a claimed job may be sent now. The permission is used up: a
 * second call returns false.
 */
bool worker_permit_job_send(
    struct worker *worker, struct lane *lane, uint64_t request);

/**
 * Returns the Unix time in ms after which a searcher must refuse a claimed job,
 * or 0 if the request holds no claim.
 */
wv_msec worker_job_expiry(
    struct worker *worker, struct lane *lane, uint64_t request);

/** Informs the next holder of the handed-over attempts that have ended. */
void lane_report_released(struct lane *lane);

/** Fills an executor's request; its strings are borrowed from the request. */
void worker_fill_request(const struct request *request, struct wv_request *out);

#endif
