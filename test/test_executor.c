/**
 * @file
 * Tests of an executor: admission, slots, hedges, retries, leaving and lost
 * searchers, jobs.
 */
#include "test/lane.h"

/* Checks that a request is refused with a code and a message. */
static void
check_refused(struct lane *lane, const struct wv_request *request,
    const struct wv_contract *contract, enum wv_code code, const char *text)
{
	size_t n = lane->answers->len;
	size_t sends = lane->sends->len;
	struct wv_status status;

	g_assert_cmpint(
	    wv_executor_check(lane->executor, 0, request, contract, &status),
	    ==, code);
	wv_executor_submit(lane->executor, 0, request, contract);
	g_assert_cmpint(lane_answered(lane, n)->status.code, ==, code);
	g_assert_false(lane_answered(lane, n)->started);
	g_assert_cmpuint(lane->sends->len, ==, sends);
	if (strstr(status.message, text) == NULL)
		g_error("no \"%s\" in \"%s\"", text, status.message);
}

/*
 * Guards against refusals that do not name the contract's clause, so that the
 * customer cannot tell what to change.
 */
static void
test_refusals_name_clause(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	struct wv_request request = lane_request(1, 2000);

	check_refused(lane, &request, NULL, WV_UNKNOWN_CUSTOMER, "contract");
	check_refused(lane, &request, lane->contract, WV_DEADLINE_NOT_ALLOWED,
	    "back_ends.b.ranks.urgent.deadline_ms: 1000");
	request.deadline = 0;
	check_refused(
	    lane, &request, lane->contract, WV_EXPIRED_IN_QUEUE, "deadline");
	request.deadline = 100;
	request.rank = WV_RANK_BACKGROUND;
	check_refused(lane, &request, lane->contract, WV_RANK_NOT_ALLOWED,
	    "back_ends.b.ranks.background");
	request.rank = WV_RANK_STANDARD;
	wv_executor_submit(lane->executor, 0, &request, lane->contract);
	request.id = 2;
	wv_executor_submit(lane->executor, 0, &request, lane->contract);
	request.id = 3;
	check_refused(lane, &request, lane->contract, WV_CONCURRENCY_LIMIT,
	    "concurrency");
	lane_destroy(lane);
}

/* Two requests with the same id would receive each other's answers. */
static void
test_duplicate_id(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);

	lane_search(lane, 0, 1, 100);
	lane_search(lane, 0, 1, 100);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_BAD_REQUEST);
	g_assert_cmpuint(wv_executor_pending(lane->executor), ==, 1);
	lane_destroy(lane);
}

/* A request that cannot finish in time must be refused at once, as not run. */
static void
test_refuses_infeasible(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	wv_msec now = lane_warm_up(lane, 0, 40);
	struct wv_request request = lane_request(1, now + 5);

	wv_executor_submit(lane->executor, now, &request, lane->contract);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_CANNOT_FINISH_IN_TIME);
	g_assert_cmpuint(lane->sends->len, ==, 0);
	for (uint64_t i = 0; i < 60; i++)
		lane_search(lane, now, 100 + i, now + 100);
	g_assert_cmpint(
	    lane_answered(lane, lane->answers->len - 1)->status.code, ==,
	    WV_CANNOT_FINISH_IN_TIME);
	g_assert_cmpuint(wv_executor_pending(lane->executor), <, 40);
	lane_destroy(lane);
}

/* Refusals caused by high latencies must end when the latencies improve. */
static void
test_refusals_end(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	wv_msec now = 0;
	size_t admitted = 0;

	for (uint64_t i = 0; i < 40; i++) {
		lane_search(lane, now, i, now + 500);
		lane_reply(lane, now + 300, i, WV_REPLY_ANSWERED);
		now += 301;
	}
	lane_search(lane, now, 100, now + 100);
	g_assert_cmpint(
	    lane_answered(lane, 40)->status.code, ==, WV_CANNOT_FINISH_IN_TIME);
	for (uint64_t i = 0; i < 400; i++) {
		size_t from = lane->sends->len;

		now += 50;
		lane_search(lane, now, 200 + i, now + 100);
		lane_reply_all(lane, now + 10, from);
		admitted += lane->sends->len - from;
	}
	g_assert_cmpuint(admitted, >=, 100);
	lane_destroy(lane);
}

/* A request beyond the slots must wait and run when a slot is free. */
static void
test_slots_are_kept(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);

	for (uint64_t i = 0; i < 3; i++)
		lane_search(lane, 0, i, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, 10, 0, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_get_send(lane, 2)->request, ==, 2);
	lane_destroy(lane);
}

/*
 * A request that expires in the queue must not be sent, nor be reported as
 * started.
 */
static void
test_expired_in_queue(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);

	lane_search(lane, 0, 1, 900);
	lane_search(lane, 0, 2, 900);
	lane_search(lane, 0, 3, 905);
	lane_run(lane, 900);
	g_assert_cmpuint(lane->answers->len, ==, 2);
	lane_run(lane, 905);
	g_assert_cmpint(
	    lane_answered(lane, 2)->status.code, ==, WV_EXPIRED_IN_QUEUE);
	g_assert_false(lane_answered(lane, 2)->started);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/*
 * Freeing a slot before the searcher has stopped would overload the searcher.
 */
static void
test_cancelled_keeps_slot(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	lane_search(lane, 0, 1, 500);
	wv_executor_abandon(lane->executor, 10, 1);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	lane_search(lane, 11, 2, 900);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	wv_executor_cancelled(lane->executor, 12,
	    lane_get_send(lane, 0)->attempt, WV_CANCEL_UNKNOWN);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 500);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 600);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_abandon(lane->executor, 610, 2);
	lane_search(lane, 611, 3, 1200);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_cancelled(lane->executor, 612,
	    lane_get_send(lane, 1)->attempt, WV_CANCEL_FREED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	lane_destroy(lane);
}

/* Creates a lane with one slot and a given slot margin. */
static struct lane *
lane_create_with_margin(wv_msec slot_margin)
{
	struct wv_executor_config config = lane_config(0);

	config.slot_margin = slot_margin;
	return lane_create_configured(
	    lane_topology(1, 1, 1, 1, 1, 1), lane_contract(1, 1, 0), &config);
}

/*
 * A stalled searcher may have received a job late, and a job cannot be
 * cancelled. So its slot stays taken after its deadline until the searcher
 * replies.
 */
static void
test_late_job_keeps_slot(void)
{
	struct lane *lane = lane_create_with_margin(500);

	lane_job(lane, 0, 1, 50);
	lane_job(lane, 1, 2, 900);
	lane_run(lane, 300);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_JOB_UNKNOWN);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_reply(lane, 301, 0, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* A searcher that never replies must not keep its slots for ever. */
static void
test_silent_slot_is_bounded(void)
{
	struct lane *lane = lane_create_with_margin(500);

	lane_search(lane, 0, 1, 50);
	lane_search(lane, 1, 2, 900);
	lane_run(lane, 540);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 570);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpint(lane_counter(lane, "slots_expired"), ==, 1);
	lane_destroy(lane);
}

/* A reply that the searcher stopped at the deadline frees the slot. */
static void
test_stopped_frees_slot(void)
{
	struct lane *lane = lane_create_with_margin(500);

	lane_search(lane, 0, 1, 50);
	lane_search(lane, 1, 2, 900);
	lane_run(lane, 100);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_reply(lane, 101, 0, WV_REPLY_STOPPED);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/*
 * A broken reply does not show that the searcher has stopped, so the slot stays
 * taken.
 */
static void
test_failed_keeps_slot(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_FAILED);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_NO_ANSWER);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	lane_search(lane, 6, 2, 900);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	wv_executor_cancelled(lane->executor, 8,
	    lane_get_send(lane, 0)->attempt, WV_CANCEL_FREED);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/*
 * Late and duplicate replies, and replies to another incarnation or VM, must be
 * dropped.
 */
static void
test_stray_replies_are_dropped(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 100);
	lane_search(lane, 0, 2, 900);
	lane_run(lane, 100);
	lane_reply(lane, 110, 0, WV_REPLY_ANSWERED);
	g_assert_cmpint(lane_counter(lane, "late_replies"), ==, 1);
	lane_reply(lane, 111, 1, WV_REPLY_ANSWERED);
	lane_reply(lane, 112, 1, WV_REPLY_ANSWERED);
	g_assert_cmpint(lane_counter(lane, "unknown_replies"), ==, 1);
	lane_search(lane, 113, 3, 900);
	reply = lane_reply_to(lane_get_send(lane, 2), NULL);
	reply.attempt.incarnation--;
	wv_executor_reply(lane->executor, 114, &reply);
	reply = lane_reply_to(lane_get_send(lane, 2), NULL);
	reply.attempt.vm_hash++;
	wv_executor_reply(lane->executor, 114, &reply);
	g_assert_cmpint(lane_counter(lane, "unknown_replies"), ==, 3);
	g_assert_cmpuint(lane->answers->len, ==, 2);
	lane_destroy(lane);
}

/*
 * A failed attempt must be retried at another searcher, but only within the
 * retry budget.
 */
static void
test_retry_takes_budget(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 2, 2, 1, 1, 1), lane_contract(0, 0.5, 0));

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_NOT_STARTED);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_NO_ANSWER);
	lane_search(lane, 10, 2, 500);
	lane_reply(lane, 15, 1, WV_REPLY_NOT_STARTED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_true(lane_get_send(lane, 2)->extra);
	g_assert_cmpuint(lane_get_send(lane, 2)->searcher, !=,
	    lane_get_send(lane, 1)->searcher);
	lane_reply(lane, 20, 2, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 1)->full);
	lane_destroy(lane);
}

/*
 * A slow attempt gets one hedge; the first answer counts and the other attempt
 * is cancelled.
 */
static void
test_hedge(void)
{
	struct lane *lane = lane_create_sized(1, 2, 2);
	wv_msec now = lane_warm_up(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_run(lane, now + 5);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, now + 30);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_true(lane_get_send(lane, 1)->extra);
	g_assert_cmpuint(lane_get_send(lane, 1)->searcher, !=,
	    lane_get_send(lane, 0)->searcher);
	lane_reply(lane, now + 35, 1, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	lane_run(lane, now + 800);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* Hedges beyond the budget would multiply the load of a slow back end. */
static void
test_no_hedge_without_budget(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 2, 2, 1, 1, 1), lane_contract(0, 0, 0));
	wv_msec now = lane_warm_up(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_run(lane, now + 800);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_destroy(lane);
}

/* Submits a search of rank standard. */
static void
search_standard(struct lane *lane, wv_msec now, uint64_t id, wv_msec deadline)
{
	struct wv_request request = lane_request(id, deadline);

	request.rank = WV_RANK_STANDARD;
	wv_executor_submit(lane->executor, now, &request, lane->contract);
}

/* Hedges of urgent work must not starve in a flood of less urgent work. */
static void
test_hedge_passes_less_urgent(void)
{
	struct lane *lane = lane_create_sized(1, 2, 1);
	wv_msec now = lane_warm_up(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	search_standard(lane, now, 2, now + 900);
	search_standard(lane, now, 3, now + 900);
	lane_run(lane, now + 50);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, now + 50, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_get_send(lane, 2)->request, ==, 1);
	g_assert_true(lane_get_send(lane, 2)->extra);
	lane_destroy(lane);
}

/* A hedge must not delay requests of the same rank that were not sent yet. */
static void
test_hedge_yields_to_same_rank(void)
{
	struct lane *lane = lane_create_sized(1, 2, 1);
	wv_msec now = lane_warm_up(lane, 0, 60);

	for (uint64_t i = 1; i <= 3; i++)
		lane_search(lane, now, i, now + 900);
	lane_run(lane, now + 50);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, now + 50, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_get_send(lane, 2)->request, ==, 3);
	g_assert_false(lane_get_send(lane, 2)->extra);
	lane_destroy(lane);
}

/* An attempt that is given up while it waits for a hedge must not be hedged. */
static void
test_given_up_attempt_is_not_hedged(void)
{
	struct lane *lane = lane_create_sized(1, 2, 1);
	wv_msec now = lane_warm_up(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_search(lane, now, 2, now + 900);
	lane_run(lane, now + 50);
	wv_executor_abandon(lane->executor, now + 50, 2);
	lane_reply(lane, now + 51, 0, WV_REPLY_ANSWERED);
	lane_run(lane, now + 2000);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/*
 * Without latency samples, work must be spread: a lane that prefers one
 * searcher could send everything to an unresponsive one.
 */
static void
test_cold_lane_rotates(void)
{
	struct lane *lane = lane_create_sized(1, 3, 2);
	uint32_t sent[3] = {0};

	for (uint64_t i = 0; i < 6; i++)
		lane_search(lane, 0, i, 500);
	for (size_t i = 0; i < 6; i++)
		sent[lane_get_send(lane, i)->searcher]++;
	for (size_t i = 0; i < 3; i++)
		g_assert_cmpuint(sent[i], ==, 2);
	lane_destroy(lane);
}

/*
 * The lanes' slots must add up to the searchers' slots: if each lane rounded
 * up, together they would exceed them.
 */
static void
test_lanes_divide_slots(void)
{
	size_t sent[3] = {0};
	size_t sum = 0;

	for (uint32_t i = 0; i < 3; i++) {
		struct wv_topology *topology = lane_topology(1, 2, 5, 1, 1, 1);
		struct lane *lane;

		topology->lanes = 3;
		lane =
		    lane_create_numbered(topology, lane_contract(0, 0, 0), i);
		for (uint64_t j = 0; j < 20; j++)
			lane_search(lane, 0, j, 500);
		sent[i] = lane->sends->len;
		sum += sent[i];
		lane_destroy(lane);
	}
	g_assert_cmpuint(sum, ==, 10);
	for (size_t i = 0; i < 3; i++)
		g_assert_cmpuint(sent[i], >=, 3);
}

/* A contract that has ended must not keep its guaranteed share. */
static void
test_ended_contract_keeps_no_share(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	struct wv_contract *ended =
	    wv_contract_create_tombstone(wv_string_borrow("c"), 2);

	lane_warm_up(lane, 0, 5);
	g_assert_cmpint(lane_counter(lane, "contract_version"), ==, 1);
	lane_search(lane, 500, 1, 900);
	wv_contract_destroy(lane->contract);
	lane->contract = ended;
	lane_search(lane, 501, 2, 900);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_UNKNOWN_CUSTOMER);
	g_assert_cmpint(lane_counter(lane, "contract_version"), ==, 0);
	lane_reply(lane, 510, 0, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 1)->full);
	lane_destroy(lane);
}

/* A job must be sent at most once: sent twice, it may print or order twice. */
static void
test_job_is_sent_once(void)
{
	const enum wv_reply_outcome outcomes[] = {WV_REPLY_ANSWERED,
	    WV_REPLY_NOT_STARTED, WV_REPLY_NOT_SENT, WV_REPLY_VERSION_GONE,
	    WV_REPLY_FAILED, WV_REPLY_TIMED_OUT};
	const enum wv_code codes[] = {WV_OK, WV_JOB_NOT_RUN, WV_JOB_NOT_RUN,
	    WV_JOB_UNKNOWN, WV_JOB_UNKNOWN, WV_JOB_UNKNOWN};

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct lane *lane = lane_create_sized(3, 2, 2);
		wv_msec now = lane_warm_up(lane, 0, 60);

		lane_job(lane, now, 1, now + 900);
		g_assert_cmpuint(lane->sends->len, ==, 1);
		lane_run(lane, now + 500);
		lane_reply(lane, now + 500, 0, outcomes[i]);
		lane_run(lane, now + 5000);
		g_assert_cmpuint(lane->sends->len, ==, 1);
		g_assert_cmpuint(lane->cancels->len, ==, 0);
		g_assert_cmpuint(lane->answers->len, ==, 1);
		g_assert_cmpint(
		    lane_answered(lane, 0)->status.code, ==, codes[i]);
		lane_destroy(lane);
	}
}

/*
 * At its deadline, a job that was sent has an unknown outcome; one that was not
 * sent is reported as not run.
 */
static void
test_job_deadline(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	lane_job(lane, 0, 1, 500);
	lane_job(lane, 0, 2, 500);
	lane_run(lane, 500);
	g_assert_cmpuint(lane->answers->len, ==, 2);
	for (size_t i = 0; i < 2; i++) {
		const struct wv_answer *answer = lane_answered(lane, i);

		g_assert_cmpint(answer->status.code, ==,
		    answer->request == 1 ? WV_JOB_UNKNOWN
					 : WV_EXPIRED_IN_QUEUE);
	}
	lane_destroy(lane);
}

/*
 * A job that was sent must be answered even when its caller has gone, since its
 * record needs the outcome.
 */
static void
test_job_outlives_caller(void)
{
	struct lane *lane = lane_create_sized(1, 1, 1);

	lane_job(lane, 0, 1, 500);
	lane_job(lane, 0, 2, 500);
	wv_executor_abandon(lane->executor, 5, 1);
	wv_executor_abandon(lane->executor, 5, 2);
	g_assert_cmpuint(lane->answers->len, ==, 1);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_JOB_NOT_RUN);
	lane_reply(lane, 10, 0, WV_REPLY_ANSWERED);
	g_assert_cmpint(lane_answered(lane, 1)->status.code, ==, WV_OK);
	lane_destroy(lane);
}

/* A leaving searcher must get no new work, whichever source reported it. */
static void
test_leaving_gets_no_work(void)
{
	struct lane *lane = lane_create_sized(1, 2, 2);
	struct wv_shard_reply reply;

	wv_executor_mark_leaving(
	    lane->executor, 0, wv_string_borrow("r0"), 1, WV_LEAVING_VM_LIST);
	for (uint64_t i = 0; i < 3; i++)
		lane_search(lane, 0, i, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpuint(lane_get_send(lane, 0)->searcher, ==, 1);
	g_assert_cmpuint(lane_get_send(lane, 1)->searcher, ==, 1);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.draining = true;
	wv_executor_reply(lane->executor, 10, &reply);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	/* No searcher is left, so the waiting request ends at once. */
	g_assert_cmpuint(lane->answers->len, ==, 2);
	g_assert_cmpint(lane_answered(lane, 1)->status.code, ==, WV_NO_ANSWER);
	lane_destroy(lane);
}

/*
 * Answers the sends from an index on, except those to searcher 0 if it is lost.
 * Returns how many went to searcher 0.
 */
static size_t
reply_except_first(struct lane *lane, wv_msec now, size_t from, bool lost)
{
	size_t to_first = 0;

	for (size_t i = from; i < lane->sends->len; i++) {
		bool first = lane_get_send(lane, i)->searcher == 0;

		to_first += first ? 1 : 0;
		if (!first || !lost)
			lane_reply(lane, now, i, WV_REPLY_ANSWERED);
	}
	return to_first;
}

/* Runs n searches with hedges; returns the number of requests to searcher 0. */
static size_t
run_searches(struct lane *lane, wv_msec now, size_t n, bool lost)
{
	size_t to_first = 0;

	for (uint64_t i = 0; i < n; i++) {
		size_t from = lane->sends->len;
		size_t hedge;

		lane_search(lane, now, i, now + 900);
		lane_run(lane, now + 20);
		hedge = lane->sends->len;
		to_first += reply_except_first(lane, now + 20, from, lost);
		lane_run(lane, now + 60);
		to_first += reply_except_first(lane, now + 60, hedge, lost);
		now += 100;
		lane_run(lane, now);
	}
	return to_first;
}

/* A lost searcher must get few requests, and work again once it is back. */
static void
test_lost_searcher_is_avoided(void)
{
	struct lane *lane = lane_create_sized(1, 3, 2);
	wv_msec now = lane_warm_up(lane, 0, 60);
	size_t n = run_searches(lane, now, 300, true);

	g_assert_cmpuint(n, >=, 1);
	g_assert_cmpuint(n, <=, 12);
	g_assert_cmpint(lane_counter(lane, "answers_full"), ==, 360);
	n = run_searches(lane, now + 30000, 600, false);
	g_assert_cmpuint(n, >=, 20);
	g_assert_cmpint(lane_counter(lane, "answers_full"), ==, 960);
	lane_destroy(lane);
}

/*
 * If nearly all searchers look lost, the fault is on this VM, and all of them
 * must be tried.
 */
static void
test_ignored_health_uses_all(void)
{
	struct lane *lane = lane_create_sized(1, 3, 2);
	bool used[3] = {false};

	for (uint64_t i = 0; i < 30; i++) {
		wv_msec now = (wv_msec)i * 10;
		size_t from = lane->sends->len;

		lane_search(lane, now, i, now + 5);
		for (size_t j = from; j < lane->sends->len; j++)
			lane_reply(lane, now + 1, j, WV_REPLY_NOT_SENT);
	}
	g_assert_cmpint(lane_counter(lane, "lost"), >=, 2);
	lane_search(lane, 400, 100, 900);
	g_assert_cmpuint(lane->sends->len, >, 30);
	for (size_t j = 0; j < lane->sends->len; j++)
		used[lane_get_send(lane, j)->searcher] = true;
	for (size_t i = 0; i < 3; i++)
		g_assert_true(used[i]);
	lane_destroy(lane);
}

/* A topology change must not lose slots, requests or replies. */
static void
test_topology_changes(void)
{
	struct lane *lane = lane_create_sized(2, 1, 1);
	struct wv_topology *fewer = lane_topology(1, 1, 1, 1, 1, 2);
	struct wv_topology *stale = lane_topology(2, 1, 4, 1, 9, 1);

	lane_search(lane, 0, 1, 500);
	lane_search(lane, 0, 2, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_set_topology(lane->executor, 5, fewer);
	lane_reply(lane, 10, 0, WV_REPLY_ANSWERED);
	lane_reply(lane, 10, 1, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	lane_reply(lane, 20, 2, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane_answered(lane, 1)->coverage.shards, ==, 1);
	g_assert_cmpuint(lane_answered(lane, 1)->coverage.shards_total, ==, 2);
	wv_executor_set_topology(lane->executor, 30, stale);
	lane_search(lane, 31, 3, 500);
	lane_search(lane, 31, 4, 500);
	g_assert_cmpuint(lane->sends->len, ==, 4);
	wv_topology_destroy(fewer);
	wv_topology_destroy(stale);
	lane_destroy(lane);
}

/*
 * Late reports on a replaced searcher must not mark its new generation as
 * leaving.
 */
static void
test_generations_are_separate(void)
{
	struct lane *lane = lane_create_sized(1, 1, 2);
	struct wv_topology *replaced = lane_topology(1, 1, 2, 1, 2, 2);
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	wv_executor_set_topology(lane->executor, 5, replaced);
	reply = lane_reply_to(lane_get_send(lane, 0), NULL);
	reply.draining = true;
	wv_executor_reply(lane->executor, 10, &reply);
	wv_executor_mark_leaving(
	    lane->executor, 11, wv_string_borrow("r0"), 1, WV_LEAVING_VM_LIST);
	lane_search(lane, 12, 2, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_topology_destroy(replaced);
	lane_destroy(lane);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/executor/refusals", test_refusals_name_clause);
	g_test_add_func("/executor/duplicate-id", test_duplicate_id);
	g_test_add_func("/executor/infeasible", test_refuses_infeasible);
	g_test_add_func("/executor/refusals-end", test_refusals_end);
	g_test_add_func("/executor/slots", test_slots_are_kept);
	g_test_add_func("/executor/expired-in-queue", test_expired_in_queue);
	g_test_add_func(
	    "/executor/cancelled-keeps-slot", test_cancelled_keeps_slot);
	g_test_add_func(
	    "/executor/late-job-keeps-slot", test_late_job_keeps_slot);
	g_test_add_func(
	    "/executor/silent-slot-is-bounded", test_silent_slot_is_bounded);
	g_test_add_func(
	    "/executor/stopped-frees-slot", test_stopped_frees_slot);
	g_test_add_func("/executor/failed-keeps-slot", test_failed_keeps_slot);
	g_test_add_func(
	    "/executor/stray-replies", test_stray_replies_are_dropped);
	g_test_add_func("/executor/retry", test_retry_takes_budget);
	g_test_add_func("/executor/hedge", test_hedge);
	g_test_add_func("/executor/no-hedge", test_no_hedge_without_budget);
	g_test_add_func(
	    "/executor/hedge-passes", test_hedge_passes_less_urgent);
	g_test_add_func(
	    "/executor/hedge-yields", test_hedge_yields_to_same_rank);
	g_test_add_func(
	    "/executor/late-ends", test_given_up_attempt_is_not_hedged);
	g_test_add_func("/executor/cold-lane", test_cold_lane_rotates);
	g_test_add_func("/executor/lanes", test_lanes_divide_slots);
	g_test_add_func(
	    "/executor/ended-contract", test_ended_contract_keeps_no_share);
	g_test_add_func("/executor/job-once", test_job_is_sent_once);
	g_test_add_func("/executor/job-deadline", test_job_deadline);
	g_test_add_func("/executor/job-abandoned", test_job_outlives_caller);
	g_test_add_func("/executor/leaving", test_leaving_gets_no_work);
	g_test_add_func("/executor/lost", test_lost_searcher_is_avoided);
	g_test_add_func("/executor/doubt", test_ignored_health_uses_all);
	g_test_add_func("/executor/topology", test_topology_changes);
	g_test_add_func("/executor/generations", test_generations_are_separate);
	return g_test_run();
}
