/**
 * @file
 * Tests of steps of a start that are repeated until they succeed.
 */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "daemon/system_clock.h"
#include "entry/retry.h"
#include "entry/socket.h"

/** Longest duration of a test, ms. */
#define TIMEOUT 5000

struct fixture {
	struct event_base *base;
	struct wv_clock clock;
	struct log *log;
	int output[2]; /* of the log */
	enum retry_result failure; /* result of attempts that fail */
	unsigned failures; /* attempts that fail */
	unsigned other_reasons; /* the first of them, for another reason */
	unsigned attempts;
	unsigned given_up;
	wv_msec at[8]; /* time of each attempt */
};

static enum retry_result
attempt(void *data, GString *reason)
{
	struct fixture *fixture = data;

	g_assert_cmpuint(fixture->attempts, <, G_N_ELEMENTS(fixture->at));
	fixture->at[fixture->attempts++] = wv_clock_now(&fixture->clock);
	if (fixture->attempts > fixture->failures) {
		event_base_loopbreak(fixture->base);
		return RETRY_DONE;
	}
	g_string_append(reason,
	    fixture->attempts <= fixture->other_reasons ? "missing"
							: "in \"use\"");
	return fixture->failure;
}

static void
on_failed(void *data)
{
	struct fixture *fixture = data;

	fixture->given_up++;
	event_base_loopbreak(fixture->base);
}

static const struct retry_ops required = {attempt, on_failed};
static const struct retry_ops optional = {attempt, NULL};

/* Runs a step to its end and returns what was logged; the caller owns it. */
static char *
run_step(struct fixture *fixture, const struct retry_ops *ops)
{
	struct timeval timeout = socket_timeval(TIMEOUT);
	struct retry *retry;
	char text[4096];
	ssize_t n;

	g_assert_cmpint(pipe(fixture->output), ==, 0);
	system_clock_init(&fixture->clock);
	fixture->base = event_base_new();
	fixture->log = log_create(fixture->base, &fixture->clock,
	    fixture->output[1], wv_string_borrow("vm1"));
	retry = retry_create(
	    fixture->base, fixture->log, &fixture->clock, "step", ops, fixture);
	retry_now(retry);
	event_base_loopexit(fixture->base, &timeout);
	if (fixture->given_up == 0 && fixture->attempts <= fixture->failures)
		event_base_dispatch(fixture->base);
	retry_now(retry); /* after the end: no further attempt */
	retry_destroy(retry);
	log_destroy(fixture->log);
	event_base_free(fixture->base);
	close(fixture->output[1]);
	n = read(fixture->output[0], text, sizeof(text) - 1);
	close(fixture->output[0]);
	return g_strndup(text, (gsize)MAX(n, 0));
}

/* Pauses grow, and only the first failure and the success are logged. */
static void
test_later(void)
{
	struct fixture fixture = {.failure = RETRY_LATER, .failures = 4};
	char *log = run_step(&fixture, &required);

	g_assert_cmpuint(fixture.attempts, ==, 5);
	for (unsigned i = 2; i < fixture.attempts; i++)
		g_assert_cmpfloat(fixture.at[i] - fixture.at[i - 1], >=,
		    1.5 * (20 << (i - 2)));
	g_assert_nonnull(strstr(log,
	    "\"event\":\"start_waits\",\"for\":\"step\","
	    "\"reason\":\"in ?use?\""));
	g_assert_nonnull(
	    strstr(log, "\"event\":\"start_continues\",\"for\":\"step\","));
	g_assert_nonnull(strstr(log, "\"attempts\":5"));
	g_assert_cmpint(
	    g_strrstr(log, "start_waits") - strstr(log, "start_waits"), ==, 0);
	g_free(log);
}

/* A wait whose reason changes must not hide the reason that remains. */
static void
test_other_reason(void)
{
	struct fixture fixture = {
	    .failure = RETRY_LATER, .failures = 4, .other_reasons = 2};
	char *log = run_step(&fixture, &required);
	char **parts = g_strsplit(log, "start_waits", -1);

	g_assert_cmpuint(g_strv_length(parts), ==, 3);
	g_assert_nonnull(strstr(parts[1], "\"reason\":\"missing\""));
	g_assert_nonnull(strstr(parts[2], "\"reason\":\"in ?use?\""));
	g_strfreev(parts);
	g_free(log);
}

/* A step that succeeds at once leaves no line. */
static void
test_at_once(void)
{
	struct fixture fixture = {0};
	char *log = run_step(&fixture, &required);

	g_assert_cmpuint(fixture.attempts, ==, 1);
	g_assert_cmpstr(log, ==, "");
	g_free(log);
}

/* A reason that does not pass ends the start; a line tells it. */
static void
test_never(void)
{
	struct fixture fixture = {.failure = RETRY_NEVER, .failures = 9};
	char *log = run_step(&fixture, &required);

	g_assert_cmpuint(fixture.attempts, ==, 1);
	g_assert_cmpuint(fixture.given_up, ==, 1);
	g_assert_nonnull(strstr(log, "\"event\":\"start_failed\""));
	g_free(log);
}

/* An optional step never ends the start. */
static void
test_optional(void)
{
	struct fixture fixture = {.failure = RETRY_NEVER, .failures = 2};
	char *log = run_step(&fixture, &optional);

	g_assert_cmpuint(fixture.attempts, ==, 3);
	g_assert_cmpuint(fixture.given_up, ==, 0);
	g_assert_null(strstr(log, "start_failed"));
	g_free(log);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/later", test_later);
	g_test_add_func("/retry/other-reason", test_other_reason);
	g_test_add_func("/retry/at-once", test_at_once);
	g_test_add_func("/retry/never", test_never);
	g_test_add_func("/retry/optional", test_optional);
	return g_test_run();
}
