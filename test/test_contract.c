/**
 * @file
 * Tests of contracts and the contract table: a faulty contract must be rejected
 * as a whole with the path of each fault, and the table must never return to an
 * older version.
 */
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include <urcu.h>

#include "wisteriavane/wisteriavane.h"

#define RANK_TERMS                                                    \
	"{\"share\":0.5,\"rate\":100,\"burst\":20,\"concurrency\":8," \
	"\"deadline_ms\":2000,\"coverage_minimum\":0.9}"
#define VALID_CONTRACT                                                        \
	"{\"customer\":\"kestane\",\"job_retention_s\":86400,\"back_ends\":{" \
	"\"race-eve\":{\"hedge_budget\":0.05,\"retry_budget\":0.1,"           \
	"\"ranks\":{\"urgent\":" RANK_TERMS ",\"standard\":" RANK_TERMS "}}}}"

static struct wv_contract *
parse_valid(uint64_t version)
{
	struct wv_status status;
	struct wv_contract *contract = wv_contract_parse(
	    wv_string_borrow(VALID_CONTRACT), version, &status);

	g_assert_nonnull(contract);
	g_assert_cmpint(status.code, ==, WV_OK);
	return contract;
}

/* A JSON field parsed into the wrong member would apply a wrong limit. */
static void
test_fields(void)
{
	struct wv_contract *contract = parse_valid(7);
	const struct wv_back_end_terms *terms =
	    wv_contract_find_terms(contract, wv_string_borrow("race-eve"));
	const struct wv_rank_terms *urgent;

	g_assert_nonnull(terms);
	g_assert_null(
	    wv_contract_find_terms(contract, wv_string_borrow("race")));
	urgent = &terms->ranks[WV_RANK_URGENT];
	g_assert_cmpuint(contract->version, ==, 7);
	g_assert_cmpfloat(contract->job_retention, ==, 86400e3);
	g_assert_cmpfloat(terms->hedge_budget, ==, 0.05);
	g_assert_cmpfloat(terms->retry_budget, ==, 0.1);
	g_assert_true(urgent->allowed);
	g_assert_cmpfloat(urgent->share, ==, 0.5);
	g_assert_cmpfloat(urgent->rate, ==, 100);
	g_assert_cmpfloat(urgent->burst, ==, 20);
	g_assert_cmpuint(urgent->concurrency, ==, 8);
	g_assert_cmpfloat(urgent->deadline, ==, 2000);
	g_assert_cmpfloat(urgent->coverage_minimum, ==, 0.9);
	g_assert_false(terms->ranks[WV_RANK_BACKGROUND].allowed);
	wv_contract_destroy(contract);
}

/* Returns the valid contract with the first occurrence of a text replaced. */
static char *
replace_text(const char *from, const char *to)
{
	const char *at = strstr(VALID_CONTRACT, from);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - VALID_CONTRACT),
	    VALID_CONTRACT, to, at + strlen(from));
}

struct fault_case {
	const char *from, *to; /* replacement in the valid contract */
	const char *fault; /* part of a reported fault */
};

#define URGENT "$.back_ends.race-eve.ranks.urgent"

static const struct fault_case fault_cases[] = {
    {"\"share\":0.5,", "", URGENT ".share: missing"},
    {"\"share\":0.5", "\"share\":-0.5", URGENT ".share: -0.5 is not"},
    {"\"share\":0.5", "\"share\":\"1\"", URGENT ".share: not a number"},
    {"\"share\":0.5", "\"share\":0.6", ".ranks: shares add up to 1.1"},
    {"\"share\":0.5", "\"share\":null", URGENT ".share: not a number"},
    {"\"rate\":100", "\"rate\":0", URGENT ".rate: 0 is not"},
    {"\"rate\":100", "\"rate\":1e999", URGENT ".rate: "},
    {"\"rate\":100", "\"rate\":100,\"rate\":9", "stands twice"},
    {"\"burst\":20", "\"burst\":0.5", URGENT ".burst: 0.5 is not"},
    {"\"concurrency\":8", "\"concurrency\":8.5",
	URGENT ".concurrency: not a whole number"},
    {"\"concurrency\":8", "\"concurrency\":-8",
	URGENT ".concurrency: -8 is not"},
    {"\"deadline_ms\":2000", "\"deadline_ms\":0",
	URGENT ".deadline_ms: 0 is not"},
    {"\"coverage_minimum\":0.9", "\"coverage_minimum\":90",
	URGENT ".coverage_minimum: 90 is not"},
    {"\"coverage_minimum\"", "\"coverage\"", URGENT ".coverage: unknown"},
    {"\"urgent\"", "\"urgently\"", ".ranks.urgently: unknown rank"},
    {"\"race-eve\"", "\"race/eve\"", "$.back_ends.race/eve: not a name"},
    {"\"race-eve\":{\"hedge_budget\":0.05", "\"r.e\":{\"hedge_budget\":5",
	"$.back_ends.r.e.hedge_budget: 5 is not"},
    {"\"hedge_budget\":0.05", "\"hedge_budget\":5",
	"$.back_ends.race-eve.hedge_budget: 5 is not"},
    {"\"retry_budget\":0.1", "\"retry\":0.1",
	"$.back_ends.race-eve.retry_budget: missing"},
    {"\"job_retention_s\":86400", "\"job_retention_s\":1",
	"$.job_retention_s: 1 is not"},
    {"\"customer\":\"kestane\"", "\"customer\":\"\"", "$.customer: not 1"},
    {"\"customer\":\"kestane\"", "\"customer\":\"k\\u0000\"", "NUL"},
    {"\"customer\":\"kestane\"", "\"customer\":\"k\",\"deleted\":true",
	"$.back_ends: unknown field"},
    {"}}}}", "}}}", "$: not valid JSON"},
};

/* A faulty contract must be rejected as a whole, with the fault's path. */
static void
test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const struct fault_case *item = &fault_cases[i];
		char *json = replace_text(item->from, item->to);
		GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
		char *all;

		g_assert_null(
		    wv_contract_parse_all(wv_string_borrow(json), 1, faults));
		g_ptr_array_add(faults, NULL);
		all = g_strjoinv("\n", (char **)faults->pdata);
		if (strstr(all, item->fault) == NULL)
			g_error("\"%s\" not in \"%s\"", item->fault, all);
		g_free(all);
		g_ptr_array_free(faults, TRUE);
		g_free(json);
	}
}

/* All faults must be reported, not only the first. */
static void
test_all_faults(void)
{
	struct wv_status status;

	g_assert_null(wv_contract_parse(
	    wv_string_borrow("{\"customer\":1,\"job_retention_s\":\"x\","
			     "\"limit\":3,\"back_ends\":{}}"),
	    1, &status));
	g_assert_cmpint(status.code, ==, WV_CONTRACT_INVALID);
	g_assert_nonnull(strstr(status.message, "$.customer: not a string"));
	g_assert_nonnull(strstr(status.message, "$.limit: unknown field"));
	g_assert_nonnull(strstr(status.message, "$.job_retention_s: not a"));
	g_assert_nonnull(strstr(status.message, "$.back_ends: no back end"));
}

/* The message must count the faults that do not fit into it. */
static void
test_faults_are_counted(void)
{
	GString *json = g_string_new("{");
	struct wv_status status;

	for (int i = 0; i < 50; i++)
		g_string_append_printf(json, "\"field%d\":1,", i);
	g_string_append(json, "\"customer\":\"a\"}");
	g_assert_null(
	    wv_contract_parse(wv_string_borrow(json->str), 1, &status));
	g_assert_nonnull(strstr(status.message, "more"));
	g_string_free(json, TRUE);
}

/*
 * The message must be valid UTF-8: one truncated within a character could not
 * be part of a JSON response.
 */
static void
test_message_is_utf8(void)
{
	/* Names of 2-byte characters, shifted by one byte in each case. */
	for (int shift = 0; shift < 4; shift++) {
		GString *json = g_string_new("{\"back_ends\":{\"b\":{\"");
		struct wv_status status;

		g_string_append_len(json, "abcd", shift);
		for (int i = 0; i < 120; i++)
			g_string_append(json, "\xc3\xa9");
		g_string_append(json, "\":1}}}");
		g_assert_null(
		    wv_contract_parse(wv_string_borrow(json->str), 1, &status));
		g_assert_true(g_utf8_validate(status.message, -1, NULL));
		g_string_free(json, TRUE);
	}
}

static uint64_t
version_in_force(struct wv_contract_table *table)
{
	const struct wv_contract *contract;
	uint64_t version;

	rcu_read_lock();
	contract = wv_contract_table_find(table, wv_string_borrow("kestane"));
	version = contract == NULL ? 0 : contract->version;
	rcu_read_unlock();
	return version;
}

/* A late or repeated update must not restore an older contract. */
static void
test_table_never_goes_back(void)
{
	struct wv_contract_table *table = wv_contract_table_create();

	g_assert_true(wv_contract_table_update(table, parse_valid(5)));
	g_assert_false(wv_contract_table_update(table, parse_valid(4)));
	g_assert_false(wv_contract_table_update(table, parse_valid(5)));
	g_assert_cmpuint(version_in_force(table), ==, 5);
	g_assert_true(wv_contract_table_update(table,
	    wv_contract_create_tombstone(wv_string_borrow("kestane"), 6)));
	g_assert_cmpuint(version_in_force(table), ==, 0);
	g_assert_false(wv_contract_table_update(table, parse_valid(5)));
	g_assert_cmpuint(version_in_force(table), ==, 0);
	g_assert_true(wv_contract_table_update(table, parse_valid(7)));
	g_assert_cmpuint(version_in_force(table), ==, 7);
	wv_contract_table_destroy(table);
}

static void
delete_contract(
    struct wv_contract_table *table, const char *customer, uint64_t version)
{
	wv_contract_table_update(table,
	    wv_contract_create_tombstone(wv_string_borrow(customer), version));
}

/* Tables with equal versions need equal digests, or peers exchange forever. */
static void
test_digest(void)
{
	struct wv_contract_table *a = wv_contract_table_create();
	struct wv_contract_table *b = wv_contract_table_create();

	delete_contract(a, "x", 1);
	delete_contract(a, "y", 2);
	delete_contract(b, "y", 1);
	g_assert_cmpuint(
	    wv_contract_table_digest(a), !=, wv_contract_table_digest(b));
	delete_contract(b, "y", 2);
	delete_contract(b, "x", 1);
	g_assert_cmpuint(
	    wv_contract_table_digest(a), ==, wv_contract_table_digest(b));
	delete_contract(b, "x", 2);
	g_assert_cmpuint(
	    wv_contract_table_digest(a), !=, wv_contract_table_digest(b));
	wv_contract_table_destroy(a);
	wv_contract_table_destroy(b);
}

struct reader {
	struct wv_contract_table *table;
	atomic_bool stop;
	bool went_back;
};

static void *
read_versions(void *data)
{
	struct reader *reader = data;
	uint64_t last = 0;

	rcu_register_thread();
	while (!atomic_load(&reader->stop)) {
		uint64_t version = version_in_force(reader->table);

		if (version < last)
			reader->went_back = true;
		last = version;
	}
	rcu_unregister_thread();
	return NULL;
}

/* A concurrent reader must never see a freed contract or an older version. */
static void
test_readers(void)
{
	struct reader reader = {.table = wv_contract_table_create()};
	pthread_t thread;

	wv_contract_table_update(reader.table, parse_valid(1));
	g_assert_cmpint(
	    pthread_create(&thread, NULL, read_versions, &reader), ==, 0);
	for (uint64_t i = 2; i < 400; i++)
		wv_contract_table_update(reader.table, parse_valid(i));
	atomic_store(&reader.stop, true);
	pthread_join(thread, NULL);
	g_assert_false(reader.went_back);
	wv_contract_table_destroy(reader.table);
}

int
main(int argc, char **argv)
{
	int result;

	rcu_register_thread();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/contract/fields", test_fields);
	g_test_add_func("/contract/faults", test_faults);
	g_test_add_func("/contract/all-faults", test_all_faults);
	g_test_add_func("/contract/faults-counted", test_faults_are_counted);
	g_test_add_func("/contract/faults-text", test_message_is_utf8);
	g_test_add_func("/contract/never-back", test_table_never_goes_back);
	g_test_add_func("/contract/digest", test_digest);
	g_test_add_func("/contract/readers", test_readers);
	result = g_test_run();
	rcu_unregister_thread();
	return result;
}
