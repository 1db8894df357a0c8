/**
 * @file
 * Scatter and gather of one request: its shards, the merged replies and their
 * coverage. Independent of slots and queues, which the executor handles.
 */
#ifndef WISTERIAVANE_SRC_QUERY_H
#define WISTERIAVANE_SRC_QUERY_H

#include "src/service.h"

/**
 * Attempts of one shard that may run at once: the first one, and a hedge or an
 * attempt to replace a partial reply.
 */
#define MAX_SHARD_ATTEMPTS 2

struct attempt;
struct query;
struct customer;

/** States of a shard within a query. */
enum shard_state {
	SHARD_WAITING, /**< in the queue of its service */
	SHARD_SENT, /**< at least one attempt runs */
	SHARD_ANSWERED, /**< a reply was merged */
	SHARD_LEFT_OUT /**< given up; counts as missing */
};

/** One shard of a query, served by one service. */
struct shard {
	struct wv_waiter waiter; /**< must come first */
	struct query *query;
	struct service *service; /**< NULL once removed from the topology */
	enum shard_state state;
	bool charged; /**< the waiting attempt was paid from a budget */
	bool complete; /**< the merged reply left nothing out */
	bool improving; /**< another attempt may replace a partial reply */
	uint32_t n_sent; /**< attempts sent, over all restarts */
	struct attempt *running[MAX_SHARD_ATTEMPTS];
	size_t n_running;
	struct searcher *tried[MAX_TRIED];
	size_t n_tried;
	uint64_t documents; /**< documents searched by the merged reply */
	uint64_t documents_total;
	size_t first_hit; /**< index of its first hit in the query's hits */
	size_t n_hits;
};

/** One hit. Its strings are offsets into the query's bytes. */
struct stored_hit {
	double score;
	size_t id;
	size_t id_length;
	size_t text;
	size_t text_length;
};

/** One request in progress. Buffers are kept when the query is reused. */
struct query {
	struct timer timer; /**< the deadline */
	uint64_t id; /**< key in the executor's table */
	enum wv_work work;
	enum wv_rank rank;
	struct customer *customer; /**< borrowed from the executor */
	GString *text; /**< owned */
	GString *key; /**< owned */
	wv_msec deadline;
	double coverage_minimum;
	double hedge_budget;
	double retry_budget;
	struct snapshot snapshot; /**< pinned; all replies are from it */
	uint32_t restarts;
	uint32_t attempts; /**< attempts sent so far */
	enum wv_code failure; /**< why the last shard was left out */
	struct shard *shards; /**< owned */
	size_t n_shards;
	size_t shards_capacity;
	size_t n_open; /**< shards neither answered nor left out */
	size_t n_incomplete; /**< shards that can no longer be complete */
	GArray *hits; /**< struct stored_hit */
	GString *bytes; /**< strings of the hits */
	struct query *next; /**< in the executor's free list */
};

/** Creates a query; wv_query_begin() prepares it for a request. */
struct query *wv_query_create(void);

/** Releases a query. */
void wv_query_destroy(struct query *query);

/**
 * Prepares a query for a request. Shards are reset; the caller sets their
 * services.
 *
 * @param coverage_minimum  from the request or its contract, 0 to 1
 */
void wv_query_begin(struct query *query, const struct wv_request *request,
    double coverage_minimum, size_t n_shards);

/** Discards all merged replies, for a restart on another snapshot. */
void wv_query_reset(struct query *query, struct snapshot snapshot);

/** Returns whether a reply is from the pinned snapshot. */
bool wv_query_matches(
    const struct query *query, const struct wv_shard_reply *reply);

/**
 * Merges a shard's reply, which must match the pinned snapshot. Replaces an
 * earlier reply of the shard.
 */
void wv_query_merge(struct query *query, struct shard *shard,
    const struct wv_shard_reply *reply);

/**
 * Sets whether another attempt runs for a shard that was answered in part.
 * While it runs, the shard counts as open.
 */
void wv_query_set_improving(
    struct query *query, struct shard *shard, bool improving);

/** Leaves a shard out; does nothing if it was answered or left out already. */
void wv_query_leave_out(
    struct query *query, struct shard *shard, enum wv_code reason);

/** Computes the coverage from the merged replies. */
void wv_query_coverage(const struct query *query, struct wv_coverage *coverage);

/** Returns whether the coverage minimum can no longer be reached. */
bool wv_query_cannot_reach_minimum(const struct query *query);

/**
 * Decides the status of a search from the merged replies.
 *
 * @param expired  whether the deadline has passed
 */
void wv_query_evaluate(const struct query *query, bool expired,
    struct wv_coverage *coverage, struct wv_status *status);

/**
 * Selects the best hits, best first.
 *
 * @param hits  receives at most max hits; their strings are borrowed from the
 *              query
 * @return their number
 */
size_t wv_query_best_hits(struct query *query, struct wv_hit *hits, size_t max);

#endif
