/**
 * @file
 * Tests of the basic types: strings, ranks, result codes, virtual clock.
 */
#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/* Each rank must parse from its own name, or it would be served as another. */
static void
test_rank_names(void)
{
	enum wv_rank rank;

	for (int i = 0; i < WV_RANK_COUNT; i++) {
		g_assert_true(
		    wv_rank_parse(wv_string_borrow(wv_rank_name(i)), &rank));
		g_assert_cmpint(rank, ==, i);
	}
	g_assert_false(wv_rank_parse(wv_string_borrow("urgently"), &rank));
	g_assert_false(wv_rank_parse(wv_string_borrow(""), &rank));
}

/* An embedded NUL must not terminate a string or hide a difference. */
static void
test_string_counts_nul(void)
{
	struct wv_string a = {"a\0b", 3};
	struct wv_string b = {"a\0c", 3};
	struct wv_string copy = wv_string_copy(a);

	g_assert_true(wv_string_equal(a, copy));
	g_assert_false(wv_string_equal(a, b));
	g_assert_cmpint(copy.data[3], ==, '\0');
	wv_string_clear(&copy);
}

/* Only codes that guarantee that nothing ran may count as not run. */
static void
test_not_run_codes(void)
{
	g_assert_true(wv_code_proves_not_run(WV_RATE_LIMIT));
	g_assert_true(wv_code_proves_not_run(WV_EXPIRED_IN_QUEUE));
	g_assert_true(wv_code_proves_not_run(WV_JOB_NOT_RUN));
	g_assert_false(wv_code_proves_not_run(WV_OK));
	g_assert_false(wv_code_proves_not_run(WV_JOB_UNKNOWN));
	g_assert_false(wv_code_proves_not_run(WV_JOB_IN_PROGRESS));
	g_assert_false(wv_code_proves_not_run(WV_NO_ANSWER));
	g_assert_false(wv_code_proves_not_run(WV_OUTCOME_OPEN));
}

/* A message that is too long must be truncated and NUL-terminated. */
static void
test_status_is_truncated(void)
{
	struct wv_status status;
	char text[2 * WV_MESSAGE_SIZE];

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	wv_status_set(&status, WV_INTERNAL, "%s", text);
	g_assert_cmpuint(strlen(status.message), ==, WV_MESSAGE_SIZE - 1);
}

static void
test_virtual_clock(void)
{
	struct wv_virtual_clock clock;

	wv_virtual_clock_init(&clock, 1000);
	clock.now = 2.5;
	g_assert_cmpfloat(wv_clock_now(&clock.clock), ==, 2.5);
	g_assert_cmpfloat(wv_clock_unix_time(&clock.clock), ==, 1002.5);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/types/rank-names", test_rank_names);
	g_test_add_func("/types/string-nul", test_string_counts_nul);
	g_test_add_func("/types/not-run", test_not_run_codes);
	g_test_add_func("/types/status-cut", test_status_is_truncated);
	g_test_add_func("/types/virtual-clock", test_virtual_clock);
	return g_test_run();
}
