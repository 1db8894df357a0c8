/**
 * @file
 * Tests of the snapshots, merging and coverage of queries.
 */
#include "test/lane.h"
#include "src/query.h"

/* Reports the n newest versions of a searcher. */
static void
report_versions(struct lane *lane, const char *id, uint64_t newest, size_t n)
{
	uint64_t versions[2] = {newest, newest - 1};

	wv_executor_update_versions(
	    lane->executor, 0, wv_string_borrow(id), versions, n, 1);
}

/* The hits of all shards must be merged in order, without loss. */
static void
test_merges_best_hits(void)
{
	struct lane *lane = lane_create(
	    lane_topology(3, 1, 2, 1, 1, 1), lane_contract(0, 0, 1));
	const char *ids[] = {"a", "b", "c"};
	double scores[] = {1, 3, 3};

	lane_search(lane, 0, 1, 500);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	for (size_t i = 0; i < 3; i++) {
		struct wv_hit hit = {
		    wv_string_borrow(ids[i]), scores[i], wv_string_borrow("t")};
		struct wv_shard_reply reply =
		    lane_reply_to(lane_get_send(lane, i), &hit);

		wv_executor_reply(lane->executor, 10, &reply);
	}
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_OK);
	g_assert_cmpuint(lane_answered(lane, 0)->n_hits, ==, 3);
	g_assert_true(lane_answered(lane, 0)->full);
	g_assert_cmpuint(
	    lane_answered(lane, 0)->coverage.documents_total, ==, 30);
	g_assert_cmpstr(
	    g_array_index(lane->answers, struct lane_answer, 0).first_hit, ==,
	    "b");
	lane_destroy(lane);
}

/* Hits of a replaced reply must not be in the answer. */
static void
test_replaced_reply_is_discarded(void)
{
	struct query *query = wv_query_create();
	struct wv_request request = lane_request(1, 100);
	struct wv_hit first = {
	    wv_string_borrow("old"), 9, wv_string_borrow("")};
	struct wv_hit second = {
	    wv_string_borrow("new"), 1, wv_string_borrow("")};
	struct wv_shard_reply reply = {.hits = &first, .n_hits = 1};
	struct wv_hit hits[4];

	wv_query_begin(query, &request, 0, 2);
	reply.partial = true;
	wv_query_merge(query, &query->shards[0], &reply);
	reply.hits = &second;
	reply.partial = false;
	wv_query_merge(query, &query->shards[0], &reply);
	g_assert_cmpuint(query->n_open, ==, 1);
	g_assert_cmpuint(wv_query_best_hits(query, hits, 4), ==, 1);
	g_assert_cmpuint(hits[0].id.length, ==, 3);
	g_assert_cmpmem(hits[0].id.data, 3, "new", 3);
	wv_query_destroy(query);
}

/* A restart must discard the hits and the coverage of the previous version. */
static void
test_reset_discards_replies(void)
{
	struct query *query = wv_query_create();
	struct wv_request request = lane_request(1, 100);
	struct wv_hit hit = {wv_string_borrow("x"), 1, wv_string_borrow("")};
	struct wv_shard_reply reply = {
	    .hits = &hit, .n_hits = 1, .documents = 5, .documents_total = 5};
	struct wv_coverage coverage;
	struct wv_hit hits[2];

	wv_query_begin(query, &request, 0, 2);
	wv_query_merge(query, &query->shards[0], &reply);
	wv_query_reset(query, (struct snapshot){2, 1});
	wv_query_leave_out(query, &query->shards[0], WV_NO_ANSWER);
	wv_query_coverage(query, &coverage);
	g_assert_cmpuint(coverage.shards, ==, 0);
	g_assert_cmpuint(coverage.documents, ==, 0);
	g_assert_cmpuint(wv_query_best_hits(query, hits, 2), ==, 0);
	wv_query_destroy(query);
}

/* With more hits than requested, the best ones must be returned. */
static void
test_best_hits_are_cut(void)
{
	struct query *query = wv_query_create();
	struct wv_request request = lane_request(1, 100);
	struct wv_hit given[8];
	struct wv_hit hits[3];
	struct wv_shard_reply reply = {.hits = given, .n_hits = 8};

	for (int i = 0; i < 8; i++)
		given[i] = (struct wv_hit){
		    wv_string_borrow("x"), i, wv_string_borrow("")};
	wv_query_begin(query, &request, 0, 1);
	wv_query_merge(query, &query->shards[0], &reply);
	g_assert_cmpuint(wv_query_best_hits(query, hits, 3), ==, 3);
	for (int i = 0; i < 3; i++)
		g_assert_cmpfloat(hits[i].score, ==, 7 - i);
	wv_query_destroy(query);
}

/*
 * A reply that left documents out must not count as a complete shard, even
 * without the partial flag.
 */
static void
test_partial_lowers_coverage(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 1, 2, 1, 1, 1), lane_contract(0, 0, 0.5));
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.partial = true;
	wv_executor_reply(lane->executor, 5, &reply);
	lane_reply(lane, 6, 1, WV_REPLY_ANSWERED);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_OK);
	g_assert_false(lane_answered(lane, 0)->full);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards, ==, 1);
	lane_search(lane, 10, 2, 500);
	reply = lane_reply_to(lane_get_send(lane, 2), NULL);
	reply.documents = 9;
	wv_executor_reply(lane->executor, 15, &reply);
	lane_reply(lane, 16, 3, WV_REPLY_ANSWERED);
	g_assert_false(lane_answered(lane, 1)->full);
	g_assert_cmpuint(lane_answered(lane, 1)->coverage.documents, ==, 19);
	lane_destroy(lane);
}

/*
 * When the coverage minimum cannot be reached any more, the query must fail at
 * once instead of at its deadline.
 */
static void
test_unreachable_minimum_fails_early(void)
{
	struct lane *lane = lane_create(
	    lane_topology(3, 1, 2, 1, 1, 1), lane_contract(0, 0, 1));

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_ANSWERED);
	lane_reply(lane, 6, 1, WV_REPLY_NOT_STARTED);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_COVERAGE_BELOW_MINIMUM);
	g_assert_cmpuint(lane_answered(lane, 0)->n_hits, ==, 0);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	lane_destroy(lane);
}

/* A shard without a reply must not delay the answer past the deadline. */
static void
test_deadline_answers_with_merged(void)
{
	struct lane *lane = lane_create(
	    lane_topology(4, 1, 2, 1, 1, 1), lane_contract(0, 0, 0.5));

	lane_search(lane, 0, 1, 500);
	for (size_t i = 0; i < 3; i++)
		lane_reply(lane, 5, i, WV_REPLY_ANSWERED);
	lane_run(lane, 499);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	lane_run(lane, 500);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_OK);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards, ==, 3);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards_total, ==, 4);
	/* The size of the missing shard is not known. */
	g_assert_cmpuint(
	    lane_answered(lane, 0)->coverage.documents_total, ==, 0);
	lane_search(lane, 600, 2, 1000);
	lane_reply(lane, 605, 4, WV_REPLY_ANSWERED);
	lane_run(lane, 1000);
	g_assert_cmpint(
	    lane_answered(lane, 1)->status.code, ==, WV_COVERAGE_BELOW_MINIMUM);
	lane_search(lane, 1200, 3, 1500);
	lane_run(lane, 1500);
	g_assert_cmpint(
	    lane_answered(lane, 2)->status.code, ==, WV_DEADLINE_EXCEEDED);
	g_assert_true(lane_answered(lane, 2)->started);
	lane_destroy(lane);
}

/* A search without any answered shard must fail even with a minimum of 0. */
static void
test_no_shard_is_error(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 1, 2, 1, 1, 1), lane_contract(0, 0, 0));

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_NOT_STARTED);
	lane_reply(lane, 5, 1, WV_REPLY_FAILED);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_NO_ANSWER);
	lane_destroy(lane);
}

/* A reply from another index version or map must never be merged. */
static void
test_other_snapshot_is_dropped(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 1, 2, 5, 1, 1), lane_contract(0, 0, 0.5));
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	g_assert_cmpuint(lane_get_send(lane, 0)->version, ==, 5);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.index_version = 6;
	wv_executor_reply(lane->executor, 5, &reply);
	lane_reply(lane, 6, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards, ==, 1);
	g_assert_cmpint(lane_counter(lane, "snapshot_mismatches"), ==, 1);
	lane_destroy(lane);

	lane = lane_create(
	    lane_topology(2, 1, 2, 5, 1, 1), lane_contract(0, 0, 0.5));
	lane_search(lane, 0, 1, 500);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.map = 2;
	wv_executor_reply(lane->executor, 5, &reply);
	lane_reply(lane, 6, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards, ==, 1);
	lane_destroy(lane);
}

/*
 * A version that one service does not hold must not be pinned: the answer could
 * not be complete.
 */
static void
test_pins_common_version(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 2, 2, 5, 1, 1), lane_contract(0, 0, 0));

	for (int i = 0; i < 2; i++)
		report_versions(lane, i == 0 ? "r0" : "r1", 6, 2);
	lane_search(lane, 0, 1, 500);
	g_assert_cmpuint(lane_get_send(lane, 0)->version, ==, 5);
	g_assert_cmpuint(lane_get_send(lane, 1)->version, ==, 5);
	report_versions(lane, "r2", 6, 2);
	report_versions(lane, "r3", 6, 2);
	lane_search(lane, 1, 2, 500);
	g_assert_cmpuint(lane_get_send(lane, 2)->version, ==, 6);
	lane_destroy(lane);
}

/*
 * A version that few searchers hold must not be pinned: they would get all the
 * load.
 */
static void
test_waits_for_half_of_slots(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 3, 2, 5, 1, 1), lane_contract(0, 0, 0));

	report_versions(lane, "r0", 6, 2);
	lane_search(lane, 0, 1, 500);
	g_assert_cmpuint(lane_get_send(lane, 0)->version, ==, 5);
	report_versions(lane, "r1", 6, 2);
	lane_search(lane, 1, 2, 500);
	g_assert_cmpuint(lane_get_send(lane, 1)->version, ==, 6);
	g_assert_cmpuint(lane_get_send(lane, 1)->searcher, !=, 2);
	lane_destroy(lane);
}

/*
 * When a searcher no longer holds the version, another one that does must be
 * tried.
 */
static void
test_version_gone_tries_other_searcher(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 2, 2, 5, 1, 1), lane_contract(0, 1, 1));

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_VERSION_GONE);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpuint(lane_get_send(lane, 1)->version, ==, 5);
	g_assert_cmpuint(lane_get_send(lane, 1)->searcher, !=,
	    lane_get_send(lane, 0)->searcher);
	lane_reply(lane, 9, 1, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	lane_destroy(lane);
}

/* A searcher that changed to another map still holds its version there. */
static void
test_map_change_keeps_version(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 1, 2, 5, 1, 1), lane_contract(0, 0, 0));
	uint64_t versions[] = {5};
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.outcome = WV_REPLY_VERSION_GONE;
	reply.map = 2;
	reply.versions = versions;
	reply.n_versions = 1;
	wv_executor_reply(lane->executor, 5, &reply);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_SNAPSHOT_UNAVAILABLE);
	lane_search(lane, 10, 2, 500);
	g_assert_cmpuint(lane_get_send(lane, 1)->version, ==, 5);
	g_assert_cmpuint(lane_get_send(lane, 1)->map, ==, 2);
	lane_destroy(lane);
}

/*
 * A searcher that loaded a newer version without reporting it must get work
 * again.
 */
static void
test_outdated_searcher_is_tried(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 3, 2, 5, 1, 1), lane_contract(1, 1, 0));
	wv_msec now = lane_warm_up(lane, 0, 10);
	uint64_t versions[] = {6};
	size_t to_last = 0;

	report_versions(lane, "r0", 6, 1);
	report_versions(lane, "r1", 6, 1);
	for (uint64_t i = 0; i < 20; i++) {
		size_t from = lane->sends->len;

		lane_search(lane, now, i, now + 500);
		g_assert_cmpuint(lane_get_send(lane, from)->version, ==, 6);
		for (size_t j = from; j < lane->sends->len; j++) {
			struct wv_shard_reply reply =
			    lane_reply_to(lane_get_send(lane, j), NULL);

			reply.versions = versions;
			reply.n_versions = 1;
			wv_executor_reply(lane->executor, now + 10, &reply);
			to_last +=
			    lane_get_send(lane, j)->searcher == 2 ? 1 : 0;
		}
		now += 100;
	}
	g_assert_cmpuint(to_last, >=, 2);
	g_assert_cmpint(lane_counter(lane, "answers_full"), ==, 30);
	lane_destroy(lane);
}

/* After a restart nothing of the previous version may be in the answer. */
static void
test_restarts_on_newer_version(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 1, 4, 5, 1, 1), lane_contract(0, 1, 1));
	uint64_t newer[] = {6};
	struct wv_shard_reply reply;
	wv_msec now = lane_warm_up(lane, 0, 5);

	lane_search(lane, now, 1, now + 500);
	lane_reply(lane, now + 5, 0, WV_REPLY_ANSWERED);
	wv_executor_update_versions(
	    lane->executor, now + 6, wv_string_borrow("r0"), newer, 1, 1);
	reply = lane_reply_to(lane_get_send(lane, 1), NULL);
	reply.outcome = WV_REPLY_VERSION_GONE;
	reply.versions = newer;
	reply.n_versions = 1;
	wv_executor_reply(lane->executor, now + 7, &reply);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	g_assert_cmpuint(lane->sends->len, ==, 4);
	g_assert_cmpuint(lane_get_send(lane, 2)->version, ==, 6);
	g_assert_cmpuint(lane_get_send(lane, 3)->version, ==, 6);
	g_assert_true(lane_get_send(lane, 2)->extra);
	lane_reply(lane, now + 20, 2, WV_REPLY_ANSWERED);
	lane_reply(lane, now + 20, 3, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	g_assert_cmpuint(lane_answered(lane, 0)->index_version, ==, 6);
	g_assert_cmpuint(lane_answered(lane, 0)->attempts, ==, 4);
	lane_destroy(lane);
}

/* Restarts beyond the budget would multiply the load of a rollout. */
static void
test_no_restart_without_budget(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 1, 4, 5, 1, 1), lane_contract(0, 0, 0.5));
	uint64_t newer[] = {6};
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_ANSWERED);
	wv_executor_update_versions(
	    lane->executor, 6, wv_string_borrow("r0"), newer, 1, 1);
	reply = lane_reply_to(lane_get_send(lane, 1), NULL);
	reply.outcome = WV_REPLY_VERSION_GONE;
	reply.versions = newer;
	reply.n_versions = 1;
	wv_executor_reply(lane->executor, 7, &reply);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpuint(lane_answered(lane, 0)->coverage.shards, ==, 1);
	g_assert_cmpuint(lane_answered(lane, 0)->index_version, ==, 5);
	lane_destroy(lane);
}

/*
 * A partial reply must be requested again elsewhere if the budget allows; it
 * remains the fallback.
 */
static void
test_partial_is_improved(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 2, 4, 5, 1, 1), lane_contract(0, 1, 0));
	struct wv_shard_reply reply;
	wv_msec now = lane_warm_up(lane, 0, 5);

	lane_search(lane, now, 1, now + 500);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.partial = true;
	reply.documents = 5;
	wv_executor_reply(lane->executor, now + 5, &reply);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, now + 10, 1, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	lane_search(lane, now + 20, 2, now + 500);
	reply = lane_reply_to(lane_get_send(lane, 2), NULL);
	reply.partial = true;
	reply.documents = 5;
	wv_executor_reply(lane->executor, now + 25, &reply);
	lane_reply(lane, now + 30, 3, WV_REPLY_NOT_STARTED);
	g_assert_cmpint(lane_answered(lane, 1)->status.code, ==, WV_OK);
	g_assert_false(lane_answered(lane, 1)->full);
	g_assert_cmpuint(lane_answered(lane, 1)->coverage.documents, ==, 5);
	lane_destroy(lane);
}

/*
 * A shard that is being improved is not missing yet; the query must wait for
 * it.
 */
static void
test_improving_is_awaited(void)
{
	struct lane *lane = lane_create(
	    lane_topology(2, 2, 4, 5, 1, 1), lane_contract(0, 1, 1));
	struct wv_shard_reply reply;
	wv_msec now = lane_warm_up(lane, 0, 5);

	lane_search(lane, now, 1, now + 500);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.partial = true;
	reply.documents = 5;
	wv_executor_reply(lane->executor, now + 5, &reply);
	lane_reply(lane, now + 6, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	lane_reply(lane, now + 10, 2, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	lane_destroy(lane);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/query/merges-best-hits", test_merges_best_hits);
	g_test_add_func(
	    "/query/replaced-reply", test_replaced_reply_is_discarded);
	g_test_add_func("/query/reset", test_reset_discards_replies);
	g_test_add_func("/query/best-hits-are-cut", test_best_hits_are_cut);
	g_test_add_func("/query/partial", test_partial_lowers_coverage);
	g_test_add_func(
	    "/query/hopeless", test_unreachable_minimum_fails_early);
	g_test_add_func("/query/deadline", test_deadline_answers_with_merged);
	g_test_add_func("/query/no-shard", test_no_shard_is_error);
	g_test_add_func(
	    "/query/other-snapshot", test_other_snapshot_is_dropped);
	g_test_add_func("/query/common-version", test_pins_common_version);
	g_test_add_func("/query/half-of-slots", test_waits_for_half_of_slots);
	g_test_add_func("/query/gone", test_version_gone_tries_other_searcher);
	g_test_add_func("/query/map-change", test_map_change_keeps_version);
	g_test_add_func("/query/left-behind", test_outdated_searcher_is_tried);
	g_test_add_func("/query/restart", test_restarts_on_newer_version);
	g_test_add_func("/query/no-restart", test_no_restart_without_budget);
	g_test_add_func("/query/improved", test_partial_is_improved);
	g_test_add_func(
	    "/query/improving-not-hopeless", test_improving_is_awaited);
	return g_test_run();
}
