/**
 * @file
 * State of the stand-in searchers, shared by its source files.
 */
#ifndef WISTERIAVANE_STANDIN_SEARCHER_PRIVATE_H
#define WISTERIAVANE_STANDIN_SEARCHER_PRIVATE_H

#include "standin/common/searcher.h"

/** Maximum number of index versions that a searcher holds. */
#define MAX_VERSIONS 8

/** Faults of one searcher; all zero means none. */
struct searcher_faults {
	double slow; /**< factor of the service time; 0 means 1 */
	double late; /**< delay of the answer after the work, ms */
	bool lost; /**< connections are dropped before the work */
	bool lose_answers; /**< connections are dropped after the work */
	bool frozen; /**< no request is processed or answered */
	bool partial; /**< answers cover half of the documents */
	bool truncated; /**< the connection closes within the body */
	bool crossed; /**< answers carry the previous request's attempt */
	bool doubled; /**< the body repeats the answer */
	bool lying_health; /**< reports itself as healthy and idle */
	bool shed; /**< every request is rejected before it starts */
};

struct searcher_group {
	struct searcher_config config;
	struct standin_timer *timer;
	GMutex lock; /**< guards everything below and all searchers */
	GRand *random;
	GHashTable *keys; /**< job key to the number of its runs */
	GPtrArray *searchers;
};

struct searcher {
	struct wv_http_handler handler;
	struct searcher_group *group;
	struct wv_http_server *server;
	struct searcher_faults faults;
	wv_msec started_at; /**< monotonic */
	bool draining;
	wv_msec drain_started_at; /**< monotonic */
	uint64_t versions[MAX_VERSIONS]; /**< of the index, oldest first */
	unsigned int n_versions;
	uint64_t map; /**< version of the partition map */
	GHashTable *requests; /**< attempt text to unfinished struct request */
	GQueue waiting; /**< of struct request, in order of arrival */
	GQueue finished; /**< attempt texts, for cancels that come late */
	char *last_attempt_text; /**< attempt text of the last request */
	char *previous_attempt; /**< attempt text of the request before */
	unsigned int busy; /**< slots in use */
	/** Peak of concurrent requests, including shed ones. */
	unsigned int max_busy;
	uint64_t started_requests;
	uint64_t job_runs;
	uint64_t double_runs; /**< job runs beyond the first of a key */
	uint64_t shed;
	uint64_t cancelled;
	uint64_t refused_snapshot; /**< version or map not held */
	uint64_t expired_jobs; /**< jobs rejected after expires_unix_ms */
	uint64_t late_runs; /**< started over 2 s after the drain began */
	uint64_t dropped; /**< connections dropped by a fault */
};

/** Returns the held index versions as a new array. The lock is held. */
JsonArray *searcher_versions(const struct searcher *searcher);

/** Starts to publish index versions at the configured interval, if any. */
void searcher_start_versions(struct searcher *searcher);

/**
 * Answers calls for health and load. The lock is held.
 *
 * @return false if it is another call
 */
bool searcher_handle_status_call(
    struct searcher *searcher, struct wv_http_call *call);

/**
 * Answers calls that set faults or read the real counters and the runs of job
 * keys. No fault affects them. The lock is held.
 *
 * @return false if it is another call
 */
bool searcher_handle_control_call(
    struct searcher *searcher, struct wv_http_call *call);

#endif
