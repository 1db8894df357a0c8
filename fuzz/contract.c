/**
 * @file
 * Fuzz target: the JSON of contracts. A contract that is accepted must keep to
 * the ranges of its fields.
 */
#include "fuzz/fuzz.h"

static void
check_rank_terms(const struct wv_rank_terms *terms)
{
	if (!terms->allowed)
		return;
	g_assert_true(terms->share >= 0 && terms->share <= 1);
	g_assert_true(terms->rate >= WV_CONTRACT_MIN_RATE &&
	    terms->rate <= WV_CONTRACT_MAX_RATE);
	g_assert_true(
	    terms->burst >= 1 && terms->burst <= WV_CONTRACT_MAX_RATE);
	g_assert_true(terms->concurrency >= 1 &&
	    terms->concurrency <= WV_CONTRACT_MAX_CONCURRENCY);
	g_assert_true(terms->deadline >= 1 &&
	    terms->deadline <= WV_CONTRACT_MAX_DEADLINE);
	g_assert_true(
	    terms->coverage_minimum >= 0 && terms->coverage_minimum <= 1);
}

static void
check_back_end(
    const struct wv_contract *contract, const struct wv_back_end_terms *terms)
{
	double sum = 0;

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		check_rank_terms(&terms->ranks[i]);
		sum += terms->ranks[i].share;
	}
	g_assert_true(sum <= 1.000001);
	g_assert_true(terms->hedge_budget >= 0 && terms->hedge_budget <= 1);
	g_assert_true(terms->retry_budget >= 0 && terms->retry_budget <= 1);
	g_assert_true(
	    wv_contract_find_terms(contract, terms->back_end) == terms);
}

static bool
run(struct wv_string input)
{
	struct wv_status status;
	struct wv_contract *contract = wv_contract_parse(input, 1, &status);

	if (contract == NULL) {
		g_assert_cmpint(status.code, ==, WV_CONTRACT_INVALID);
		g_assert_cmpint(status.message[0], ==, '$');
		return false;
	}
	g_assert_cmpuint(contract->customer.length, >, 0);
	g_assert_true(contract->deleted || contract->n_back_ends > 0);
	for (size_t i = 0; i < contract->n_back_ends; i++)
		check_back_end(contract, &contract->back_ends[i]);
	wv_contract_destroy(contract);
	return true;
}

#define RANK_TERMS                                                    \
	"{\"share\":0.5,\"rate\":100,\"burst\":20,\"concurrency\":8," \
	"\"deadline_ms\":2000,\"coverage_minimum\":0.9}"

static const char *const seeds[] = {
    "{\"customer\":\"kestane\",\"job_retention_s\":86400,\"back_ends\":{"
    "\"race-eve\":{\"hedge_budget\":0.05,\"retry_budget\":0.1,"
    "\"ranks\":{\"urgent\":" RANK_TERMS ",\"standard\":" RANK_TERMS "}},"
    "\"archive\":{\"hedge_budget\":0,\"retry_budget\":1,"
    "\"ranks\":{\"background\":" RANK_TERMS "}}}}",
    "{\"customer\":\"kestane\",\"deleted\":true}", NULL};

const struct fuzz_target fuzz_contract = {"contract", run, seeds};
