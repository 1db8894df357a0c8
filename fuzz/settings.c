/**
 * @file
 * Fuzz target: the JSON of settings. Parsing must give either settings
 * or errors, never both.
 */
#include "fuzz/fuzz.h"

static bool
run(struct wv_string input)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	struct wv_settings *settings = wv_settings_parse(input, faults);
	bool accepted = settings != NULL;

	g_assert_true(accepted == (faults->len == 0));
	wv_settings_destroy(settings);
	g_ptr_array_free(faults, TRUE);
	return accepted;
}

static const char *const seeds[] = {
    "{\"vm\":\"vm1\",\"zone\":\"z1\",\"deployment\":\"test\","
    "\"callers\":\"127.0.0.1:9001\",\"operators\":\"127.0.0.1:9002\","
    "\"peers\":\"127.0.0.1:9003\",\"store\":\"127.0.0.1:9004\","
    "\"vm_list\":\"127.0.0.1:9005\",\"operator_token\":\"secret-token\","
    "\"workers\":3,\"idle_timeout_ms\":2000}",
    NULL};

const struct fuzz_target fuzz_settings = {"settings", run, seeds};
