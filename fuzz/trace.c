/**
 * @file
 * Fuzz target: traces of simulated clusters. A trace that is accepted is
 * replayed to its end.
 */
#include "bench/driver/trace.h"
#include "fuzz/fuzz.h"

static bool
run(struct wv_string input)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
	enum wv_code code = trace_replay(input, faults);

	g_assert_true(
	    code == WV_OK || code == WV_TRACE_INVALID || code == WV_INTERNAL);
	g_assert_true((code == WV_OK) == (faults->len == 0));
	g_ptr_array_free(faults, TRUE);
	return code != WV_TRACE_INVALID;
}

static const char *const seeds[] = {
    "{\"name\":\"a\",\"requirement\":\"P2\",\"text\":\"t\",\"vms\":1,"
    "\"back_end\":{\"services\":2,\"replicas\":2,\"slots\":2},\"until\":900,"
    "\"events\":[{\"at\":0,\"do\":\"faults\",\"searcher\":\"*\","
    "\"partial\":true},{\"at\":100,\"do\":\"search\",\"name\":\"q\","
    "\"rank\":\"urgent\",\"deadline_ms\":500}],"
    "\"expect\":{\"answers\":{\"q\":{\"full\":false}}}}",
    NULL};

const struct fuzz_target fuzz_trace = {"trace", run, seeds};
