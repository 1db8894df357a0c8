/**
 * @file
 * Runs the fuzz targets over mutated inputs from fixed seeds. Guards against
 * input from the store, operators or peers that crashes a VM or passes a
 * check that it should not.
 */
#include "fuzz/fuzz.h"

/* Inputs per target; a run under the address sanitizer takes some seconds. */
#define ROUNDS 20000
/* A target ends early after this time, so that a slow machine is no fault. */
#define TIME_LIMIT (8 * G_USEC_PER_SEC)

static void
run_target(const void *data)
{
	const struct fuzz_target *target = data;
	unsigned accepted = fuzz_run(target, ROUNDS, TIME_LIMIT, 1);

	g_test_message(
	    "%s: %u of at most %u accepted", target->name, accepted, ROUNDS);
	/* Without accepted inputs only the first check would be tested. */
	g_assert_cmpuint(accepted, >, 0);
}

int
main(int argc, char **argv)
{
	static const struct fuzz_target *const targets[] = {&fuzz_contract,
	    &fuzz_topology, &fuzz_bucket, &fuzz_settings, &fuzz_frame,
	    &fuzz_trace, &fuzz_message, &fuzz_object};
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		g_snprintf(path, sizeof(path), "/fuzz/%s", targets[i]->name);
		g_test_add_data_func(path, targets[i], run_target);
	}
	return g_test_run();
}
