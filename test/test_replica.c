/**
 * @file
 * Tests of the health, leaving state and latency estimate of one searcher.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

static struct wv_searcher_info
make_info(uint64_t generation)
{
	struct wv_searcher_info info = {
	    .generation = generation, .slots = 2, .connections = 25};

	return info;
}

static struct wv_replica *
make_replica(uint64_t generation)
{
	struct wv_searcher_info info = make_info(generation);

	return wv_replica_create(&info, 0);
}

/* Records an attempt that ends after a time. */
static void
run_attempt(struct wv_replica *replica, wv_msec now,
    enum wv_reply_outcome outcome, wv_msec elapsed)
{
	wv_replica_record_send(replica, now);
	wv_replica_record_outcome(replica, now + elapsed, outcome, elapsed);
}

/* A lost searcher must be probed, or it would stay lost after a short fault. */
static void
test_lost_is_probed(void)
{
	struct wv_replica *replica = make_replica(1);
	wv_msec first, second;

	for (int i = 0; i < 3; i++)
		run_attempt(replica, i, WV_REPLY_FAILED, 0);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LOST);
	g_assert_false(wv_replica_is_usable(replica, 3));
	first = wv_replica_probe_at(replica);
	g_assert_true(wv_replica_is_usable(replica, first));
	wv_replica_record_send(replica, first);
	g_assert_false(wv_replica_is_usable(replica, first + 100000));
	wv_replica_record_outcome(replica, first, WV_REPLY_TIMED_OUT, 0);
	second = wv_replica_probe_at(replica);
	g_assert_cmpfloat(second - first, >, first - 2);
	run_attempt(replica, second, WV_REPLY_ANSWERED, 5);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_WARMING);
	wv_replica_destroy(replica);
}

/* Single failures occur on live searchers and must not mark them as lost. */
static void
test_answer_resets_failures(void)
{
	struct wv_replica *replica = make_replica(1);

	for (int i = 0; i < 20; i++) {
		run_attempt(replica, i * 10, WV_REPLY_FAILED, 1);
		run_attempt(replica, i * 10 + 2, WV_REPLY_NOT_SENT, 1);
		run_attempt(replica, i * 10 + 4, WV_REPLY_ANSWERED, 1);
	}
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LIVE);
	wv_replica_destroy(replica);
}

/*
 * A report on an old generation must neither undo nor cause the leaving of a
 * newer one.
 */
static void
test_leaving_by_generation(void)
{
	struct wv_replica *replica = make_replica(5);
	struct wv_searcher_info info = make_info(4);

	wv_replica_mark_leaving(replica, 4, WV_LEAVING_VM_LIST);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_WARMING);
	wv_replica_mark_leaving(replica, 5, WV_LEAVING_HEADER);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LEAVING);
	run_attempt(replica, 1, WV_REPLY_ANSWERED, 1);
	wv_replica_start_generation(replica, 2, &info);
	info.generation = 5;
	wv_replica_start_generation(replica, 2, &info);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LEAVING);
	g_assert_false(wv_replica_is_usable(replica, 3));
	info.generation = 6;
	wv_replica_start_generation(replica, 4, &info);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_WARMING);
	wv_replica_destroy(replica);
}

/* A report may arrive before the topology that introduces the generation. */
static void
test_leaving_before_known(void)
{
	struct wv_replica *replica = make_replica(5);
	struct wv_searcher_info info = make_info(7);

	wv_replica_mark_leaving(replica, 7, WV_LEAVING_STORE);
	wv_replica_start_generation(replica, 1, &info);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LEAVING);
	wv_replica_destroy(replica);
}

/*
 * Failures of a leaving searcher must not turn it into a lost one, which gets
 * probes.
 */
static void
test_leaving_stays(void)
{
	struct wv_replica *replica = make_replica(1);

	wv_replica_mark_leaving(replica, 1, WV_LEAVING_HEALTH);
	for (int i = 0; i < 5; i++)
		run_attempt(replica, i, WV_REPLY_FAILED, 0);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LEAVING);
	g_assert_cmpfloat(wv_replica_probe_at(replica), ==, WV_MSEC_NEVER);
	wv_replica_destroy(replica);
}

/*
 * The estimate must decay without samples: otherwise a recovered searcher would
 * get no work.
 */
static void
test_estimate_decays(void)
{
	struct wv_replica *replica = make_replica(1);
	wv_msec score;

	for (int i = 0; i < 20; i++)
		run_attempt(replica, i, WV_REPLY_ANSWERED, 100);
	score = wv_replica_score(replica, 200, 10);
	g_assert_cmpfloat(score, >, 90);
	g_assert_cmpfloat(wv_replica_score(replica, 60000, 10), <, 10);
	wv_replica_record_send(replica, 200);
	g_assert_cmpfloat(wv_replica_score(replica, 200, 10), >, score);
	wv_replica_destroy(replica);
}

/*
 * Cancelled attempts must count as samples, or they would hide how slow a
 * searcher is.
 */
static void
test_given_up_is_sampled(void)
{
	struct wv_replica *replica = make_replica(1);

	run_attempt(replica, 0, WV_REPLY_ANSWERED, 10);
	for (int i = 0; i < 20; i++) {
		wv_replica_record_send(replica, i * 100);
		wv_replica_record_given_up(replica, i * 100 + 100, 100, true);
	}
	g_assert_cmpfloat(wv_replica_score(replica, 2000, 10), >, 80);
	for (int i = 0; i < 3; i++) {
		wv_replica_record_send(replica, 3000);
		wv_replica_record_given_up(replica, 3000, 100, false);
	}
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_LOST);
	wv_replica_destroy(replica);
}

/* A searcher that refuses work is alive; it must only get a short backoff. */
static void
test_refusal_backs_off(void)
{
	struct wv_replica *replica = make_replica(1);

	for (int i = 0; i < 10; i++)
		run_attempt(replica, 0, WV_REPLY_NOT_STARTED, 0);
	g_assert_cmpint(wv_replica_state(replica), ==, WV_REPLICA_WARMING);
	g_assert_false(wv_replica_is_usable(replica, 1));
	g_assert_true(wv_replica_is_usable(replica, 1000));
	wv_replica_destroy(replica);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/replica/lost-is-probed", test_lost_is_probed);
	g_test_add_func(
	    "/replica/answer-resets-failures", test_answer_resets_failures);
	g_test_add_func(
	    "/replica/leaving-by-generation", test_leaving_by_generation);
	g_test_add_func(
	    "/replica/leaving-before-known", test_leaving_before_known);
	g_test_add_func("/replica/leaving-stays", test_leaving_stays);
	g_test_add_func("/replica/estimate-fades", test_estimate_decays);
	g_test_add_func("/replica/given-up-counts", test_given_up_is_sampled);
	g_test_add_func("/replica/refusal-rests", test_refusal_backs_off);
	return g_test_run();
}
