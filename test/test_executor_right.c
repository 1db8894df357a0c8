/**
 * @file
 * Tests of an executor's lease, of attempts of a previous holder of the lane,
 * and of recovery after faults.
 */
#include <string.h>

#include "test/lane.h"

/*
 * Without a lease nothing may be sent: two holders that both send would exceed
 * the slots of a searcher.
 */
static void
test_nothing_is_sent_without_lease(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	wv_executor_set_lease(lane->executor, 0, 100);
	lane_search(lane, 0, 1, 500);
	lane_search(lane, 0, 2, 500);
	lane_reply(lane, 150, 0, WV_REPLY_ANSWERED);
	lane_run(lane, 300);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_search(lane, 160, 3, 500);
	g_assert_cmpint(
	    lane_answered(lane, 1)->status.code, ==, WV_HOLDER_UNREACHABLE);
	wv_executor_set_lease(lane->executor, 310, 1000);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/*
 * High latencies of a slow phase must not refuse every request afterwards:
 * nothing would be sent, and the estimate would never improve.
 */
static void
test_recovers_from_slow_phase(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	wv_msec now = 0;

	for (uint64_t i = 0; i < 60; i++) {
		lane_search(lane, now, 1 + i, now + 500);
		lane_reply_all(lane, now + 400, lane->sends->len - 1);
		now += 401;
	}
	g_array_set_size(lane->answers, 0);
	lane_search(lane, now, 100, now + 100);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_CANNOT_FINISH_IN_TIME);
	now += 2100;
	lane_search(lane, now, 101, now + 100);
	lane_reply_all(lane, now + 10, lane->sends->len - 1);
	g_assert_true(lane_answered(lane, 1)->full);
	now += 11;
	lane_search(lane, now, 102, now + 100);
	lane_reply_all(lane, now + 10, lane->sends->len - 1);
	g_assert_true(lane_answered(lane, 2)->full);
	lane_destroy(lane);
}

/*
 * An attempt of a search must end at the back end's attempt limit, on which the
 * next holder of the lane relies; the request goes on at another searcher.
 */
static void
test_attempt_limit(void)
{
	struct wv_topology *topology = lane_topology(1, 2, 2, 1, 1, 1);
	struct lane *lane;

	topology->attempt_limit = 100;
	lane = lane_create(topology, lane_contract(0, 1, 0.5));
	lane_search(lane, 0, 1, 900);
	g_assert_cmpfloat(lane_get_send(lane, 0)->timeout, <=, 100);
	lane_job(lane, 0, 2, 900);
	g_assert_cmpfloat(lane_get_send(lane, 1)->timeout, ==, 900);
	lane_run(lane, 150);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_get_send(lane, 2)->searcher, !=,
	    lane_get_send(lane, 0)->searcher);
	g_assert_cmpint(lane_counter(lane, "slots_expired"), >, 0);
	lane_run(lane, 2000);
	g_assert_cmpuint(lane->answers->len, ==, 2);
	lane_destroy(lane);
}

/* Answers all sends from an index on; those to service s0 fail as not sent. */
static void
fail_first_service(struct lane *lane, wv_msec now, size_t from)
{
	for (size_t i = from; i < lane->sends->len; i++)
		lane_reply(lane, now, i,
		    strcmp(lane_get_send(lane, i)->service, "s0") == 0
			? WV_REPLY_NOT_SENT
			: WV_REPLY_ANSWERED);
}

/* Answers all sends from an index on, except those to service s0. */
static void
reply_except_first_service(struct lane *lane, wv_msec now, size_t from)
{
	for (size_t i = from; i < lane->sends->len; i++) {
		if (strcmp(lane_get_send(lane, i)->service, "s0") != 0)
			lane_reply(lane, now, i, WV_REPLY_ANSWERED);
	}
}

/*
 * A service without a live searcher must only reduce coverage, not cause
 * refusals or delays, and must be used again once it is back.
 */
static void
test_lost_service_is_left_out(void)
{
	struct lane *lane = lane_create_sized(4, 3, 2);
	wv_msec now = lane_warm_up(lane, 0, 60);
	size_t from;

	for (uint64_t i = 0; i < 60; i++) {
		from = lane->sends->len;
		lane_search(lane, now, 1 + i, now + 300);
		fail_first_service(lane, now + 5, from);
		fail_first_service(lane, now + 6, from);
		now += 20;
	}
	g_assert_cmpint(lane_counter(lane, "lost"), ==, 3);
	now += 1000;
	/*
	 * Some searches are probes and wait; the others are answered at once.
	 */
	g_array_set_size(lane->answers, 0);
	for (uint64_t i = 0; i < 20; i++) {
		from = lane->sends->len;
		lane_search(lane, now, 1000 + i, now + 90);
		reply_except_first_service(lane, now + 10, from);
		now += 20;
	}
	g_assert_cmpuint(lane->answers->len, >=, 15);
	for (size_t i = 0; i < lane->answers->len; i++) {
		g_assert_cmpint(lane_answered(lane, i)->status.code, ==, WV_OK);
		g_assert_cmpuint(
		    lane_answered(lane, i)->coverage.shards, ==, 3);
	}
	lane_run(lane, now + 1000);
	now += 1000;
	for (uint64_t i = 0; i < 200; i++) {
		now += 100;
		from = lane->sends->len;
		lane_search(lane, now, 2000 + i, now + 90);
		lane_reply_all(lane, now + 10, from);
		lane_run(lane, now + 95);
	}
	g_assert_true(lane_answered(lane, lane->answers->len - 1)->full);
	lane_destroy(lane);
}

/*
 * When the lease ends, requests of which nothing was sent must be refused,
 * since they may run on the next holder.
 */
static void
test_lost_lease_refuses_unsent(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	lane_search(lane, 0, 1, 500);
	lane_search(lane, 0, 2, 500);
	wv_executor_set_lease(lane->executor, 10, 0);
	g_assert_cmpuint(lane->answers->len, ==, 1);
	g_assert_cmpuint(lane_answered(lane, 0)->request, ==, 2);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_HOLDER_UNREACHABLE);
	lane_reply(lane, 20, 0, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 1)->full);
	lane_destroy(lane);
}

/*
 * During the quarantine nothing may be sent: attempts of the previous holder
 * may still run after its lease has expired.
 */
static void
test_quarantine(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	wv_executor_quarantine(lane->executor, 200);
	lane_search(lane, 0, 1, 100);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_CANNOT_FINISH_IN_TIME);
	lane_search(lane, 0, 2, 500);
	lane_run(lane, 199);
	g_assert_cmpuint(lane->sends->len, ==, 0);
	lane_run(lane, 200);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_destroy(lane);
}

struct count_running {
	size_t n;
	struct wv_running_attempt last;
};

static void
count_running(void *data, const struct wv_running_attempt *attempt)
{
	struct count_running *count = data;

	count->n++;
	count->last = *attempt;
}

/* Adopted attempts must take slots until they are released or expire. */
static void
test_adopted_attempts_take_slots(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	struct wv_running_attempt running = {
	    .attempt = {1, 1, 1}, .until = 100};
	struct count_running count = {0};

	running.searcher = wv_string_borrow("r0");
	wv_executor_adopt_attempt(lane->executor, &running);
	wv_executor_adopt_attempt(lane->executor, &running);
	running.attempt.counter = 2;
	running.until = 300;
	wv_executor_adopt_attempt(lane->executor, &running);
	lane_search(lane, 0, 1, 900);
	lane_search(lane, 0, 2, 900);
	lane_search(lane, 0, 3, 900);
	g_assert_cmpuint(lane->sends->len, ==, 0);
	wv_executor_foreach_running(lane->executor, count_running, &count);
	g_assert_cmpuint(count.n, ==, 2);
	lane_run(lane, 100);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	wv_executor_release_adopted(lane->executor, 150, running.attempt);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_release_adopted(lane->executor, 150, running.attempt);
	wv_executor_release_adopted(
	    lane->executor, 150, lane_get_send(lane, 0)->attempt);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/executor-right/no-right", test_nothing_is_sent_without_lease);
	g_test_add_func(
	    "/executor-right/recovers", test_recovers_from_slow_phase);
	g_test_add_func("/executor-right/attempt-limit", test_attempt_limit);
	g_test_add_func(
	    "/executor-right/lost-right", test_lost_lease_refuses_unsent);
	g_test_add_func("/executor-right/quarantine", test_quarantine);
	g_test_add_func(
	    "/executor-right/lost-service", test_lost_service_is_left_out);
	g_test_add_func(
	    "/executor-right/adopted", test_adopted_attempts_take_slots);
	return g_test_run();
}
