/**
 * @file
 * Test fixture: an executor of one lane, with a sink that records its actions.
 */
#ifndef WISTERIAVANE_TEST_LANE_H
#define WISTERIAVANE_TEST_LANE_H

#include <string.h>

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

#define LANE_VM 77
#define LANE_VM_INCARNATION 3

/** A request that the executor sent to a searcher. */
struct lane_send {
	struct wv_attempt_id attempt;
	uint64_t request;
	size_t searcher;
	uint64_t version;
	uint64_t map;
	wv_msec timeout;
	bool extra;
	char service[16];
};

/** An answer of the executor; only the first hit's id is kept. */
struct lane_answer {
	struct wv_answer answer;
	char first_hit[32];
};

/** An executor and its recorded actions. */
struct lane {
	struct wv_executor_sink sink; /**< must come first */
	struct wv_executor *executor;
	struct wv_topology *topology;
	struct wv_contract *contract;
	GArray *sends; /**< struct lane_send */
	GArray *cancels; /**< struct wv_attempt_id */
	GArray *answers; /**< struct lane_answer */
};

static inline void
lane_on_send(
    struct wv_executor_sink *sink, const struct wv_shard_request *request)
{
	struct lane *lane = (struct lane *)sink;
	struct lane_send send = {request->attempt, request->request,
	    request->searcher, request->index_version, request->map,
	    request->timeout, request->extra, ""};

	/* A restarted process must not reuse attempt identifiers. */
	g_assert_cmpuint(request->attempt.incarnation, ==, LANE_VM_INCARNATION);
	g_assert_cmpuint(request->service.length, <, sizeof(send.service) - 1);
	memcpy(send.service, request->service.data, request->service.length);
	g_array_append_val(lane->sends, send);
}

static inline void
lane_on_cancel(struct wv_executor_sink *sink, size_t searcher,
    struct wv_attempt_id attempt)
{
	struct lane *lane = (struct lane *)sink;

	(void)searcher;
	g_array_append_val(lane->cancels, attempt);
}

static inline void
lane_on_answer(struct wv_executor_sink *sink, const struct wv_answer *answer)
{
	struct lane *lane = (struct lane *)sink;
	struct lane_answer kept = {*answer, ""};

	if (answer->n_hits > 0)
		memcpy(kept.first_hit, answer->hits[0].id.data,
		    MIN(answer->hits[0].id.length, sizeof(kept.first_hit) - 1));
	kept.answer.hits = NULL;
	g_array_append_val(lane->answers, kept);
}

static const struct wv_executor_ops lane_ops = {
    lane_on_send, lane_on_cancel, lane_on_answer};

/**
 * Builds a topology of equal services s0, s1, ... whose searchers are r0, r1,
 * ... over all services.
 */
static inline struct wv_topology *
lane_topology(size_t services, size_t replicas, uint32_t slots,
    uint64_t index_version, uint64_t generation, uint64_t version)
{
	GString *json = g_string_new("{\"back_end\":\"b\",\"map\":1,");
	struct wv_topology *topology;
	struct wv_status status;

	g_string_append_printf(json,
	    "\"index_version\":%" G_GUINT64_FORMAT ",\"services\":[",
	    index_version);
	for (size_t i = 0; i < services; i++) {
		g_string_append_printf(json,
		    "%s{\"name\":\"s%zu\",\"searchers\":[", i > 0 ? "," : "",
		    i);
		for (size_t j = 0; j < replicas; j++)
			g_string_append_printf(json,
			    "%s{\"id\":\"r%zu\",\"address\":\"127.0.0.1:1\","
			    "\"zone\":\"z\",\"generation\":%" G_GUINT64_FORMAT
			    ",\"slots\":%u,\"connections\":25}",
			    j > 0 ? "," : "", i * replicas + j, generation,
			    slots);
		g_string_append(json, "]}");
	}
	g_string_append(json, "]}");
	topology =
	    wv_topology_parse(wv_string_borrow(json->str), version, &status);
	g_assert_cmpstr(status.message, ==, "");
	g_string_free(json, TRUE);
	return topology;
}

/**
 * Builds a contract of customer c for the ranks urgent and standard; only the
 * concurrency of standard is narrow.
 */
static inline struct wv_contract *
lane_contract(double hedge, double retry, double coverage_minimum)
{
	char *json = g_strdup_printf(
	    "{\"customer\":\"c\",\"job_retention_s\":86400,\"back_ends\":{"
	    "\"b\":{\"hedge_budget\":%g,\"retry_budget\":%g,\"ranks\":{"
	    "\"urgent\":{\"share\":0.4,\"rate\":100000,\"burst\":100000,"
	    "\"concurrency\":1000,\"deadline_ms\":1000,"
	    "\"coverage_minimum\":%g},"
	    "\"standard\":{\"share\":0.3,\"rate\":100000,\"burst\":100000,"
	    "\"concurrency\":2,\"deadline_ms\":1000,"
	    "\"coverage_minimum\":%g}}}}}",
	    hedge, retry, coverage_minimum, coverage_minimum);
	struct wv_contract *contract;
	struct wv_status status;

	contract = wv_contract_parse(wv_string_borrow(json), 1, &status);
	g_assert_nonnull(contract);
	g_free(json);
	return contract;
}

/** Returns the default settings with the fixture's identity. */
static inline struct wv_executor_config
lane_config(uint32_t number)
{
	struct wv_executor_config config;

	wv_executor_config_init(&config);
	config.vm = LANE_VM;
	config.incarnation = LANE_VM_INCARNATION;
	config.lane = number;
	return config;
}

/**
 * Creates a lane whose lease never expires; takes ownership of topology and
 * contract.
 */
static inline struct lane *
lane_create_configured(struct wv_topology *topology,
    struct wv_contract *contract, const struct wv_executor_config *config)
{
	struct lane *lane = g_new0(struct lane, 1);

	lane->sink.ops = &lane_ops;
	lane->topology = topology;
	lane->contract = contract;
	lane->sends = g_array_new(FALSE, TRUE, sizeof(struct lane_send));
	lane->cancels = g_array_new(FALSE, TRUE, sizeof(struct wv_attempt_id));
	lane->answers = g_array_new(FALSE, TRUE, sizeof(struct lane_answer));
	lane->executor = wv_executor_create(config, topology, &lane->sink);
	/*
	 * Rate limits start empty; they fill long before the tests begin at 0.
	 */
	wv_executor_set_lease(lane->executor, -10000, WV_MSEC_NEVER);
	return lane;
}

/** Creates the lane with a number. */
static inline struct lane *
lane_create_numbered(
    struct wv_topology *topology, struct wv_contract *contract, uint32_t number)
{
	struct wv_executor_config config = lane_config(number);

	return lane_create_configured(topology, contract, &config);
}

/** Creates the lane with number 0. */
static inline struct lane *
lane_create(struct wv_topology *topology, struct wv_contract *contract)
{
	return lane_create_numbered(topology, contract, 0);
}

/** Creates a lane with full budgets and no coverage minimum. */
static inline struct lane *
lane_create_sized(size_t services, size_t replicas, uint32_t slots)
{
	return lane_create(lane_topology(services, replicas, slots, 1, 1, 1),
	    lane_contract(1, 1, 0));
}

static inline void
lane_destroy(struct lane *lane)
{
	wv_executor_destroy(lane->executor);
	wv_topology_destroy(lane->topology);
	wv_contract_destroy(lane->contract);
	g_array_free(lane->sends, TRUE);
	g_array_free(lane->cancels, TRUE);
	g_array_free(lane->answers, TRUE);
	g_free(lane);
}

/** Returns an urgent search of customer c. */
static inline struct wv_request
lane_request(uint64_t id, wv_msec deadline)
{
	struct wv_request request = {.id = id,
	    .work = WV_WORK_SEARCH,
	    .customer = wv_string_borrow("c"),
	    .rank = WV_RANK_URGENT,
	    .text = wv_string_borrow("query"),
	    .key = wv_string_borrow(""),
	    .deadline = deadline};

	return request;
}

static inline void
lane_search(struct lane *lane, wv_msec now, uint64_t id, wv_msec deadline)
{
	struct wv_request request = lane_request(id, deadline);

	wv_executor_submit(lane->executor, now, &request, lane->contract);
}

static inline void
lane_job(struct lane *lane, wv_msec now, uint64_t id, wv_msec deadline)
{
	struct wv_request request = lane_request(id, deadline);

	request.work = WV_WORK_JOB;
	request.key = wv_string_borrow("1700000000-a");
	wv_executor_submit(lane->executor, now, &request, lane->contract);
}

/** Returns the send with an index. */
static inline const struct lane_send *
lane_get_send(const struct lane *lane, size_t i)
{
	g_assert_cmpuint(i, <, lane->sends->len);
	return &g_array_index(lane->sends, struct lane_send, i);
}

/** Returns the answer with an index. */
static inline const struct wv_answer *
lane_answered(const struct lane *lane, size_t i)
{
	g_assert_cmpuint(i, <, lane->answers->len);
	return &g_array_index(lane->answers, struct lane_answer, i).answer;
}

/** Returns a complete reply to a send, from the snapshot that it requested. */
static inline struct wv_shard_reply
lane_reply_to(const struct lane_send *send, const struct wv_hit *hit)
{
	struct wv_shard_reply reply = {.attempt = send->attempt,
	    .outcome = WV_REPLY_ANSWERED,
	    .index_version = send->version,
	    .map = send->map,
	    .documents = 10,
	    .documents_total = 10,
	    .hits = hit,
	    .n_hits = hit == NULL ? 0 : 1};

	return reply;
}

/** Replies to the send with an index. */
static inline void
lane_reply(
    struct lane *lane, wv_msec now, size_t i, enum wv_reply_outcome outcome)
{
	struct wv_shard_reply reply =
	    lane_reply_to(lane_get_send(lane, i), NULL);

	reply.outcome = outcome;
	wv_executor_reply(lane->executor, now, &reply);
}

/** Runs all timers that are due up to a time. */
static inline void
lane_run(struct lane *lane, wv_msec until)
{
	wv_msec at = wv_executor_next_tick(lane->executor);

	for (int i = 0; i < 100000 && at <= until; i++) {
		wv_executor_tick(lane->executor, at);
		at = wv_executor_next_tick(lane->executor);
	}
	g_assert_cmpfloat(at, >, until);
}

/** Answers every send from an index on with a complete reply. */
static inline void
lane_reply_all(struct lane *lane, wv_msec now, size_t from)
{
	for (size_t i = from; i < lane->sends->len; i++)
		lane_reply(lane, now, i, WV_REPLY_ANSWERED);
}

/**
 * Runs n searches that are answered after 10 ms, so that latency samples and
 * budgets exist, then clears the recorded actions.
 *
 * @return the time after the last one
 */
static inline wv_msec
lane_warm_up(struct lane *lane, wv_msec now, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		size_t from = lane->sends->len;

		lane_search(lane, now, 1000000 + i, now + 500);
		lane_reply_all(lane, now + 10, from);
		now += 11;
	}
	g_array_set_size(lane->sends, 0);
	g_array_set_size(lane->cancels, 0);
	g_array_set_size(lane->answers, 0);
	return now;
}

/** Returns a number from the executor's dump, such as "late_replies". */
static inline int
lane_counter(const struct lane *lane, const char *name)
{
	struct wv_string dump = wv_executor_dump(lane->executor, 0);
	char *key = g_strdup_printf("\"%s\":", name);
	char *found = strstr(dump.data, key);
	int value;

	g_assert_nonnull(found);
	value = (int)g_ascii_strtoll(found + strlen(key), NULL, 10);
	g_free(key);
	wv_string_clear(&dump);
	return value;
}

#endif
