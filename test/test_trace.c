/**
 * @file
 * Tests the replay of traces: an invalid trace must be reported with the place
 * of the error, and an outcome that differs from the expected one must not
 * pass.
 */
#include <glib.h>

#include "bench/driver/trace.h"

#define HEAD                                                           \
	"{\"name\": \"n\", \"requirement\": \"P1\", \"text\": \"t\", " \
	"\"until\": 1000, "
#define SEARCH "{\"at\": 50, \"do\": \"search\", \"name\": \"q\"}"

/*
 * Replays a trace. Sets message to the first error or difference (allocated),
 * or NULL if there is none.
 */
static enum wv_code
replay(const char *text, char **message)
{
	GPtrArray *messages = g_ptr_array_new_with_free_func(g_free);
	enum wv_code code = trace_replay(wv_string_borrow(text), messages);

	*message = messages->len > 0 ? g_strdup(messages->pdata[0]) : NULL;
	g_ptr_array_free(messages, TRUE);
	return code;
}

static void
assert_message(const char *text, enum wv_code code, const char *part)
{
	char *message;

	g_assert_cmpint(replay(text, &message), ==, code);
	g_assert_nonnull(message);
	if (strstr(message, part) == NULL)
		g_error("no \"%s\" in \"%s\"", part, message);
	g_free(message);
}

/* Malformed JSON must be reported with its line. */
static void
test_line(void)
{
	assert_message("{\n\n  \"name\" 1}", WV_TRACE_INVALID, ":3:");
	assert_message("", WV_TRACE_INVALID, "$");
	assert_message("[]", WV_TRACE_INVALID, "$");
}

/*
 * Unknown fields and invalid values must be reported with their path: a
 * misspelt field that is ignored would silently drop a check.
 */
static void
test_path(void)
{
	assert_message(HEAD "\"events\": [], \"expect\": {}, \"x\": 1}",
	    WV_TRACE_INVALID, "$.x: unknown field");
	assert_message(HEAD "\"events\": [{\"at\": 1, \"do\": \"jump\"}], "
			    "\"expect\": {}}",
	    WV_TRACE_INVALID, "$.events[0]");
	assert_message(HEAD "\"events\": [{\"at\": 1, \"do\": \"kill\", "
			    "\"vm\": \"vm9\"}], \"expect\": {}}",
	    WV_TRACE_INVALID, "$.events[0].vm: not a VM");
	assert_message(HEAD "\"events\": [" SEARCH
			    "], \"expect\": {\"answers\": "
			    "{\"q\": {\"cod\": \"ok\"}}}}",
	    WV_TRACE_INVALID, "$.expect.answers.q.cod: unknown field");
	assert_message(HEAD "\"events\": [], \"expect\": {\"holders\": "
			    "[{\"at\": 2000, \"vm\": \"any\"}]}}",
	    WV_TRACE_INVALID, "$.expect.holders[0]");
}

/* Sizes beyond any deployment must be rejected: they could exhaust memory. */
static void
test_sizes(void)
{
	assert_message(HEAD "\"vms\": 1000, \"events\": [], \"expect\": {}}",
	    WV_TRACE_INVALID, "vms must be from 1");
	assert_message(HEAD
	    "\"back_end\": {\"services\": 1e9}, \"events\": [], "
	    "\"expect\": {}}",
	    WV_TRACE_INVALID, "services must be from 1");
}

/* A difference must be reported with the expected and the actual value. */
static void
test_difference(void)
{
	assert_message(HEAD "\"events\": [" SEARCH
			    "], \"expect\": {\"answers\": "
			    "{\"q\": {\"shards\": 7}}}}",
	    WV_INTERNAL, "shards: expected 7, saw 2");
	assert_message(HEAD "\"events\": [], \"expect\": {\"answers\": "
			    "{\"q\": {\"shards\": 7}}}}",
	    WV_INTERNAL, "no request has this name");
	assert_message(HEAD "\"events\": [], \"expect\": {\"counters\": "
			    "{\"answers\": {\"at_least\": 1}}}}",
	    WV_INTERNAL, "saw 0");
}

/* A trace whose outcomes are as expected must pass without a message. */
static void
test_success(void)
{
	char *message;

	g_assert_cmpint(
	    replay(HEAD "\"events\": [" SEARCH "], \"expect\": {\"answers\": "
			"{\"q\": {\"code\": \"ok\", \"full\": true, "
			"\"at_ms\": {\"at_least\": 70, \"at_most\": 80}}}}}",
		&message),
	    ==, WV_OK);
	g_assert_null(message);
}

/*
 * Two replays must give equal results; a dependency on addresses or on the time
 * of day would make them differ.
 */
static void
test_repeatable(void)
{
	static const char text[] = HEAD
	    "\"vms\": 3, \"back_end\": {\"sigma\": 1}, \"events\": [" SEARCH
	    "], \"expect\": {\"counters\": {\"attempts\": -1}, "
	    "\"answers\": {\"q\": {\"at_ms\": -1}}}}";
	char *first, *second;

	replay(text, &first);
	replay(text, &second);
	g_assert_cmpstr(first, ==, second);
	g_free(first);
	g_free(second);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/trace/line", test_line);
	g_test_add_func("/trace/path", test_path);
	g_test_add_func("/trace/sizes", test_sizes);
	g_test_add_func("/trace/difference", test_difference);
	g_test_add_func("/trace/success", test_success);
	g_test_add_func("/trace/repeatable", test_repeatable);
	return g_test_run();
}
