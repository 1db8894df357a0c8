/**
 * @file
 * Tests of the settings: every fault must be reported with its JSON path, or a
 * VM could start with unintended limits.
 */
#include <string.h>

#include <glib.h>

#include "wisteriavane/wisteriavane.h"

/** Levels of nesting that exhaust a stack of 8 MB. */
#define N_DEEP 200000
#define VALID                                                              \
	"\"vm\":\"vm1\",\"zone\":\"z1\",\"deployment\":\"test\","          \
	"\"callers\":\"127.0.0.1:9001\",\"operators\":\"127.0.0.1:9002\"," \
	"\"peers\":\"127.0.0.1:9003\",\"store\":\"127.0.0.1:9004\","       \
	"\"vm_list\":\"127.0.0.1:9005\",\"operator_token\":\"secret-token\""

static struct wv_settings *
parse(const char *json, GPtrArray *faults)
{
	return wv_settings_parse(wv_string_borrow(json), faults);
}

static bool
has_fault(const GPtrArray *faults, const char *prefix)
{
	for (guint i = 0; i < faults->len; i++) {
		if (g_str_has_prefix(faults->pdata[i], prefix))
			return true;
	}
	return false;
}

/* Asserts that the text has exactly n faults and one has the given prefix. */
static void
assert_fault(const char *json, guint n, const char *prefix)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

	g_assert_null(parse(json, faults));
	g_assert_cmpuint(faults->len, ==, n);
	g_assert_true(has_fault(faults, prefix));
	g_ptr_array_unref(faults);
}

/* Valid settings must be accepted, with documented defaults for the rest. */
static void
test_valid(void)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct wv_settings *settings =
	    parse("{" VALID ",\"workers\":3,\"idle_timeout_ms\":2000}", faults);

	g_assert_nonnull(settings);
	g_assert_cmpuint(faults->len, ==, 0);
	g_assert_cmpstr(settings->vm.data, ==, "vm1");
	g_assert_cmpstr(settings->vm_list.data, ==, "127.0.0.1:9005");
	g_assert_cmpuint(settings->workers, ==, 3);
	g_assert_cmpuint(settings->callers_threads, ==, 2);
	g_assert_cmpuint(settings->max_body, ==, 65536);
	g_assert_cmpfloat(settings->address_lifetime, ==, 5000);
	g_assert_cmpfloat(settings->idle_timeout, ==, 2000);
	wv_settings_destroy(settings);
	g_ptr_array_unref(faults);
}

/* All faults must be reported at once, so that one correction suffices. */
static void
test_all_faults_at_once(void)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

	g_assert_null(parse("{\"vm\":7,\"zone\":\"a b\",\"workers\":1,"
			    "\"extra\":true,\"callers\":\"localhost:80\"}",
	    faults));
	g_assert_true(has_fault(faults, "$.vm: must be a string"));
	g_assert_true(has_fault(faults, "$.zone: must have"));
	g_assert_true(has_fault(faults, "$.workers: must be from 2 to 64"));
	g_assert_true(has_fault(faults, "$.extra: is not a known field"));
	g_assert_true(has_fault(faults, "$.callers: must be IPv4:PORT"));
	g_assert_true(has_fault(faults, "$.deployment: is missing"));
	g_assert_true(has_fault(faults, "$.operator_token: is missing"));
	g_assert_cmpuint(faults->len, ==, 11);
	g_ptr_array_unref(faults);
}

/* A text that is not one object must be rejected, not replaced by defaults. */
static void
test_not_an_object(void)
{
	assert_fault("", 1, "$: ");
	assert_fault("[]", 1, "$: must be one object");
	assert_fault("{\"vm\":", 1, "$: is not valid JSON");
	assert_fault("{" VALID "}{" VALID "}", 1, "$: must be one object");
	assert_fault("null", 1, "$: must be one object");
}

/* Numbers must be integers within their range, both ends included. */
static void
test_ranges(void)
{
	assert_fault("{" VALID ",\"workers\":65}", 1, "$.workers: must be");
	assert_fault("{" VALID ",\"workers\":2.5}", 1,
	    "$.workers: must be a whole number");
	assert_fault("{" VALID ",\"workers\":0}", 1, "$.workers: ");
	assert_fault("{" VALID ",\"max_body\":-1}", 1, "$.max_body: ");
	assert_fault("{" VALID ",\"max_body\":1048577}", 1, "$.max_body: ");
	assert_fault("{" VALID ",\"address_lifetime_ms\":\"5000\"}", 1,
	    "$.address_lifetime_ms: must be a whole number");
	assert_fault(
	    "{" VALID ",\"idle_timeout_ms\":999}", 1, "$.idle_timeout_ms: ");
}

/* Returns the object of VALID with a part of its text replaced. */
static char *
replace_text(const char *old, const char *text)
{
	char **parts = g_strsplit("{" VALID "}", old, 2);
	char *json;

	g_assert_nonnull(parts[1]);
	json = g_strconcat(parts[0], text, parts[1], NULL);
	g_strfreev(parts);
	return json;
}

/* Addresses that cannot be connected to must be rejected. */
static void
test_addresses(void)
{
	static const char *const bad[] = {"127.0.0.1", "127.0.0.1:", ":9001",
	    "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+1", "127.0.0.1: 9",
	    "127.0.0.256:1", "host:9001", "127.0.0.1:9001x",
	    "127.000.000.001:00000009001"};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *json = replace_text("127.0.0.1:9001", bad[i]);

		assert_fault(json, 1, "$.callers: must be IPv4:PORT");
		g_free(json);
	}
}

/*
 * Equal listening addresses must be reported, or the start would fail without
 * a reason.
 */
static void
test_same_listener(void)
{
	char *json = replace_text("127.0.0.1:9002", "127.0.0.1:9001");

	assert_fault(json, 1, "$.operators: is the same as $.callers");
	g_free(json);
}

/* A fault of the token must not expose the token in a log. */
static void
test_token_is_not_quoted(void)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	char *json = replace_text("secret-token", "sec ret-token");

	g_assert_null(parse(json, faults));
	g_assert_cmpuint(faults->len, ==, 1);
	g_assert_true(has_fault(faults, "$.operator_token: must have"));
	g_assert_null(strstr(faults->pdata[0], "sec ret"));
	g_free(json);
	g_ptr_array_unref(faults);
}

/*
 * A server waits for settings that are not JSON yet and ends if they are wrong:
 * every part of valid settings must count as the first, whole ones as JSON.
 */
static void
test_is_json(void)
{
	static const char *const whole[] = {
	    "{" VALID "}", "{" VALID "}\n", "{}", "[]", "1", "{}{}"};
	char *text = g_strdup(whole[0]);

	for (size_t i = 0; i < G_N_ELEMENTS(whole); i++)
		g_assert_true(wv_settings_is_json(wv_string_borrow(whole[i])));
	while (*text != '\0') {
		text[strlen(text) - 1] = '\0';
		g_assert_false(wv_settings_is_json(wv_string_borrow(text)));
	}
	g_assert_false(wv_settings_is_json(wv_string_borrow(" \n")));
	g_free(text);
}

/*
 * json-glib recurses for each level of nesting: without a limit, a deep text
 * ends the process by a fault.
 */
static void
test_deep(void)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	char *text = g_strnfill(N_DEEP, '[');
	struct wv_string json = {text, N_DEEP};

	g_assert_null(wv_settings_parse(json, faults));
	g_assert_cmpuint(faults->len, ==, 1);
	g_assert_true(has_fault(faults, "$: nests too deeply"));
	g_assert_true(wv_settings_is_json(json));
	g_free(text);
	g_ptr_array_unref(faults);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/valid", test_valid);
	g_test_add_func("/settings/all-faults", test_all_faults_at_once);
	g_test_add_func("/settings/not-an-object", test_not_an_object);
	g_test_add_func("/settings/ranges", test_ranges);
	g_test_add_func("/settings/addresses", test_addresses);
	g_test_add_func("/settings/same-listener", test_same_listener);
	g_test_add_func("/settings/token", test_token_is_not_quoted);
	g_test_add_func("/settings/is-json", test_is_json);
	g_test_add_func("/settings/deep", test_deep);
	return g_test_run();
}
