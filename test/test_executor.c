/**
 * @file
 * Guards an executor's admission, slots, hedges, retries, rights and jobs.
 */
#include "test/lane.h"

/* Checks the refusal of a request and a part of its message. */
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

/* A refusal that does not name its clause cannot be acted upon. */
static void
test_refusals_name_clause(void)
{
	struct lane *lane = lane_make(1, 1, 2);
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

/* Two requests of one id would answer each other's callers. */
static void
test_duplicate_id(void)
{
	struct lane *lane = lane_make(1, 1, 2);

	lane_search(lane, 0, 1, 100);
	lane_search(lane, 0, 1, 100);
	g_assert_cmpint(
	    lane_answered(lane, 0)->status.code, ==, WV_BAD_REQUEST);
	g_assert_cmpuint(wv_executor_pending(lane->executor), ==, 1);
	lane_destroy(lane);
}

/* Work that cannot finish must be refused at once, as not run. */
static void
test_refuses_infeasible(void)
{
	struct lane *lane = lane_make(1, 1, 2);
	wv_msec now = lane_warm(lane, 0, 40);
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

/* Refusals because of old latencies must not go on when these improve. */
static void
test_refusals_end(void)
{
	struct lane *lane = lane_make(1, 1, 2);
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

/* One more request than slots must wait, and runs when a slot is free. */
static void
test_slots_are_kept(void)
{
	struct lane *lane = lane_make(1, 1, 2);

	for (uint64_t i = 0; i < 3; i++)
		lane_search(lane, 0, i, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, 10, 0, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_sent(lane, 2)->request, ==, 2);
	lane_destroy(lane);
}

/* A request that expires while it waits must not be sent, nor claim it was. */
static void
test_expired_in_queue(void)
{
	struct lane *lane = lane_make(1, 1, 2);

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

/* A slot given back before the searcher is done overloads the searcher. */
static void
test_cancelled_keeps_slot(void)
{
	struct lane *lane = lane_make(1, 1, 1);

	lane_search(lane, 0, 1, 500);
	wv_executor_abandon(lane->executor, 10, 1);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	g_assert_cmpuint(lane->answers->len, ==, 0);
	lane_search(lane, 11, 2, 900);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	wv_executor_cancelled(
	    lane->executor, 12, lane_sent(lane, 0)->attempt, WV_CANCEL_UNKNOWN);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 500);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 600);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_abandon(lane->executor, 610, 2);
	lane_search(lane, 611, 3, 1200);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_executor_cancelled(
	    lane->executor, 612, lane_sent(lane, 1)->attempt, WV_CANCEL_FREED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	lane_destroy(lane);
}

/* Creates a lane of one slot that waits long for a searcher's word. */
static struct lane *
lane_patient(wv_msec slot_margin)
{
	struct wv_executor_config config = lane_config(0);

	config.slot_margin = slot_margin;
	return lane_create_configured(
	    lane_topology(1, 1, 1, 1, 1, 1), lane_contract(1, 1, 0), &config);
}

/*
 * A job whose deadline has passed may have reached a stalled searcher late, and
 * cannot be cancelled: its slot is taken until the searcher tells its end.
 */
static void
test_late_job_keeps_slot(void)
{
	struct lane *lane = lane_patient(500);

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

/* A searcher that is silent for ever must not keep its slots for ever. */
static void
test_silent_slot_is_bounded(void)
{
	struct lane *lane = lane_patient(500);

	lane_search(lane, 0, 1, 50);
	lane_search(lane, 1, 2, 900);
	lane_run(lane, 540);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, 570);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpint(lane_counter(lane, "slots_expired"), ==, 1);
	lane_destroy(lane);
}

/* A search that the searcher stopped at its deadline has left its slot. */
static void
test_stopped_frees_slot(void)
{
	struct lane *lane = lane_patient(500);

	lane_search(lane, 0, 1, 50);
	lane_search(lane, 1, 2, 900);
	lane_run(lane, 100);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_reply(lane, 101, 0, WV_REPLY_STOPPED);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* A broken reply does not show that the searcher has stopped. */
static void
test_failed_keeps_slot(void)
{
	struct lane *lane = lane_make(1, 1, 1);

	lane_search(lane, 0, 1, 500);
	lane_reply(lane, 5, 0, WV_REPLY_FAILED);
	g_assert_cmpint(lane_answered(lane, 0)->status.code, ==, WV_NO_ANSWER);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	lane_search(lane, 6, 2, 900);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	wv_executor_cancelled(
	    lane->executor, 8, lane_sent(lane, 0)->attempt, WV_CANCEL_FREED);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* Late, doubled and crossed replies must reach nobody. */
static void
test_stray_replies_are_dropped(void)
{
	struct lane *lane = lane_make(1, 1, 2);
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
	reply = lane_reply_to(lane_sent(lane, 2), NULL);
	reply.attempt.incarnation--;
	wv_executor_reply(lane->executor, 114, &reply);
	reply = lane_reply_to(lane_sent(lane, 2), NULL);
	reply.attempt.vm++;
	wv_executor_reply(lane->executor, 114, &reply);
	g_assert_cmpint(lane_counter(lane, "unknown_replies"), ==, 3);
	g_assert_cmpuint(lane->answers->len, ==, 2);
	lane_destroy(lane);
}

/* A failed attempt must be retried elsewhere, within the budget only. */
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
	g_assert_true(lane_sent(lane, 2)->extra);
	g_assert_cmpuint(
	    lane_sent(lane, 2)->searcher, !=, lane_sent(lane, 1)->searcher);
	lane_reply(lane, 20, 2, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 1)->full);
	lane_destroy(lane);
}

/* A slow attempt gets one hedge; the first answer counts. */
static void
test_hedge(void)
{
	struct lane *lane = lane_make(1, 2, 2);
	wv_msec now = lane_warm(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_run(lane, now + 5);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_run(lane, now + 30);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_true(lane_sent(lane, 1)->extra);
	g_assert_cmpuint(
	    lane_sent(lane, 1)->searcher, !=, lane_sent(lane, 0)->searcher);
	lane_reply(lane, now + 35, 1, WV_REPLY_ANSWERED);
	g_assert_true(lane_answered(lane, 0)->full);
	g_assert_cmpuint(lane->cancels->len, ==, 1);
	lane_run(lane, now + 800);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* Hedges without budget would multiply the load of a slow back end. */
static void
test_no_hedge_without_budget(void)
{
	struct lane *lane = lane_create(
	    lane_topology(1, 2, 2, 1, 1, 1), lane_contract(0, 0, 0));
	wv_msec now = lane_warm(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_run(lane, now + 800);
	g_assert_cmpuint(lane->sends->len, ==, 1);
	lane_destroy(lane);
}

static void
search_standard(struct lane *lane, wv_msec now, uint64_t id, wv_msec deadline)
{
	struct wv_request request = lane_request(id, deadline);

	request.rank = WV_RANK_STANDARD;
	wv_executor_submit(lane->executor, now, &request, lane->contract);
}

/* In a flood of less urgent work, hedges of urgent work must not starve. */
static void
test_hedge_passes_less_urgent(void)
{
	struct lane *lane = lane_make(1, 2, 1);
	wv_msec now = lane_warm(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	search_standard(lane, now, 2, now + 900);
	search_standard(lane, now, 3, now + 900);
	lane_run(lane, now + 50);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, now + 50, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_sent(lane, 2)->request, ==, 1);
	g_assert_true(lane_sent(lane, 2)->extra);
	lane_destroy(lane);
}

/* A hedge must not hold up work of the same rank that was not sent yet. */
static void
test_hedge_yields_to_same_rank(void)
{
	struct lane *lane = lane_make(1, 2, 1);
	wv_msec now = lane_warm(lane, 0, 60);

	for (uint64_t i = 1; i <= 3; i++)
		lane_search(lane, now, i, now + 900);
	lane_run(lane, now + 50);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_reply(lane, now + 50, 1, WV_REPLY_ANSWERED);
	g_assert_cmpuint(lane->sends->len, ==, 3);
	g_assert_cmpuint(lane_sent(lane, 2)->request, ==, 3);
	g_assert_false(lane_sent(lane, 2)->extra);
	lane_destroy(lane);
}

/* An attempt that is given up while its hedge waits for a slot gets none. */
static void
test_late_attempt_ends(void)
{
	struct lane *lane = lane_make(1, 2, 1);
	wv_msec now = lane_warm(lane, 0, 60);

	lane_search(lane, now, 1, now + 900);
	lane_search(lane, now, 2, now + 900);
	lane_run(lane, now + 50);
	wv_executor_abandon(lane->executor, now + 50, 2);
	lane_reply(lane, now + 51, 0, WV_REPLY_ANSWERED);
	lane_run(lane, now + 2000);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	lane_destroy(lane);
}

/* A cold lane that prefers one searcher may send all to a silent one. */
static void
test_cold_lane_takes_turns(void)
{
	struct lane *lane = lane_make(1, 3, 2);
	uint32_t sent[3] = {0};

	for (uint64_t i = 0; i < 6; i++)
		lane_search(lane, 0, i, 500);
	for (size_t i = 0; i < 6; i++)
		sent[lane_sent(lane, i)->searcher]++;
	for (size_t i = 0; i < 3; i++)
		g_assert_cmpuint(sent[i], ==, 2);
	lane_destroy(lane);
}

/* Lanes that round up their parts would exceed a searcher's slots together. */
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

/* The guaranteed share of a contract that has ended must be given back. */
static void
test_ended_contract_keeps_no_share(void)
{
	struct lane *lane = lane_make(1, 1, 2);
	struct wv_contract *ended =
	    wv_contract_create_deleted(wv_string_borrow("c"), 2);

	lane_warm(lane, 0, 5);
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

/* A job that is sent twice may print or order twice. */
static void
test_job_is_sent_once(void)
{
	const enum wv_reply_outcome outcomes[] = {WV_REPLY_ANSWERED,
	    WV_REPLY_NOT_STARTED, WV_REPLY_NOT_SENT, WV_REPLY_VERSION_GONE,
	    WV_REPLY_FAILED, WV_REPLY_TIMED_OUT};
	const enum wv_code codes[] = {WV_OK, WV_JOB_NOT_RUN, WV_JOB_NOT_RUN,
	    WV_JOB_UNKNOWN, WV_JOB_UNKNOWN, WV_JOB_UNKNOWN};

	for (size_t i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct lane *lane = lane_make(3, 2, 2);
		wv_msec now = lane_warm(lane, 0, 60);

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

/* Silence after the send proves nothing; before it, it proves not run. */
static void
test_job_deadline(void)
{
	struct lane *lane = lane_make(1, 1, 1);

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

/* The record of a job needs its outcome even when the caller has gone. */
static void
test_job_outlives_caller(void)
{
	struct lane *lane = lane_make(1, 1, 1);

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

/* A leaving searcher must get no new work, by any source of the report. */
static void
test_leaving_gets_no_work(void)
{
	struct lane *lane = lane_make(1, 2, 2);
	struct wv_shard_reply reply;

	wv_executor_leaving(
	    lane->executor, 0, wv_string_borrow("r0"), 1, WV_LEAVING_VM_LIST);
	for (uint64_t i = 0; i < 3; i++)
		lane_search(lane, 0, i, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	g_assert_cmpuint(lane_sent(lane, 0)->searcher, ==, 1);
	g_assert_cmpuint(lane_sent(lane, 1)->searcher, ==, 1);
	reply = lane_reply_to(lane_sent(lane, 0), NULL);
	reply.draining = true;
	wv_executor_reply(lane->executor, 10, &reply);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	/* Without any searcher left the waiting request ends at once. */
	g_assert_cmpuint(lane->answers->len, ==, 2);
	g_assert_cmpint(lane_answered(lane, 1)->status.code, ==, WV_NO_ANSWER);
	lane_destroy(lane);
}

/* Answers sends from a number on, but for those to a lost searcher 0. */
static size_t
answer_but_first(struct lane *lane, wv_msec now, size_t from, bool lost)
{
	size_t to_first = 0;

	for (size_t i = from; i < lane->sends->len; i++) {
		bool first = lane_sent(lane, i)->searcher == 0;

		to_first += first ? 1 : 0;
		if (!first || !lost)
			lane_reply(lane, now, i, WV_REPLY_ANSWERED);
	}
	return to_first;
}

/* Runs searches and hedges; returns the requests to searcher 0. */
static size_t
run_without_first(struct lane *lane, wv_msec now, size_t n, bool lost)
{
	size_t to_first = 0;

	for (uint64_t i = 0; i < n; i++) {
		size_t from = lane->sends->len;
		size_t hedge;

		lane_search(lane, now, i, now + 900);
		lane_run(lane, now + 20);
		hedge = lane->sends->len;
		to_first += answer_but_first(lane, now + 20, from, lost);
		lane_run(lane, now + 60);
		to_first += answer_but_first(lane, now + 60, hedge, lost);
		now += 100;
		lane_run(lane, now);
	}
	return to_first;
}

/* A lost searcher must cost few requests, and get work once it is back. */
static void
test_lost_searcher_is_avoided(void)
{
	struct lane *lane = lane_make(1, 3, 2);
	wv_msec now = lane_warm(lane, 0, 60);
	size_t n = run_without_first(lane, now, 300, true);

	g_assert_cmpuint(n, >=, 1);
	g_assert_cmpuint(n, <=, 12);
	g_assert_cmpint(lane_counter(lane, "answers_full"), ==, 360);
	n = run_without_first(lane, now + 30000, 600, false);
	g_assert_cmpuint(n, >=, 20);
	g_assert_cmpint(lane_counter(lane, "answers_full"), ==, 960);
	lane_destroy(lane);
}

/* If most searchers look lost, the view is at fault, not the searchers. */
static void
test_doubt_uses_all(void)
{
	struct lane *lane = lane_make(1, 3, 2);
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
		used[lane_sent(lane, j)->searcher] = true;
	for (size_t i = 0; i < 3; i++)
		g_assert_true(used[i]);
	lane_destroy(lane);
}

/* A change of the topology must not lose slots, requests or replies. */
static void
test_topology_changes(void)
{
	struct lane *lane = lane_make(2, 1, 1);
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

/* A late word from a replaced searcher must not mark its successor. */
static void
test_generations_are_apart(void)
{
	struct lane *lane = lane_make(1, 1, 2);
	struct wv_topology *renewed = lane_topology(1, 1, 2, 1, 2, 2);
	struct wv_shard_reply reply;

	lane_search(lane, 0, 1, 500);
	wv_executor_set_topology(lane->executor, 5, renewed);
	reply = lane_reply_to(lane_sent(lane, 0), NULL);
	reply.draining = true;
	wv_executor_reply(lane->executor, 10, &reply);
	wv_executor_leaving(
	    lane->executor, 11, wv_string_borrow("r0"), 1, WV_LEAVING_VM_LIST);
	lane_search(lane, 12, 2, 500);
	g_assert_cmpuint(lane->sends->len, ==, 2);
	wv_topology_destroy(renewed);
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
	g_test_add_func("/executor/late-ends", test_late_attempt_ends);
	g_test_add_func("/executor/cold-lane", test_cold_lane_takes_turns);
	g_test_add_func("/executor/lanes", test_lanes_divide_slots);
	g_test_add_func(
	    "/executor/ended-contract", test_ended_contract_keeps_no_share);
	g_test_add_func("/executor/job-once", test_job_is_sent_once);
	g_test_add_func("/executor/job-deadline", test_job_deadline);
	g_test_add_func("/executor/job-abandoned", test_job_outlives_caller);
	g_test_add_func("/executor/leaving", test_leaving_gets_no_work);
	g_test_add_func("/executor/lost", test_lost_searcher_is_avoided);
	g_test_add_func("/executor/doubt", test_doubt_uses_all);
	g_test_add_func("/executor/topology", test_topology_changes);
	g_test_add_func("/executor/generations", test_generations_are_apart);
	return g_test_run();
}
