/**
 * @file
 * Runs the fuzz targets over mutated inputs with a fixed random seed. Guards
 * against input from the store, operators or peers that crashes a VM or is
 * accepted although it is invalid.
 */
#include "fuzz/fuzz.h"

/* Inputs per target, which take some seconds under AddressSanitizer. */
#define MAX_INPUTS 20000
/* Time per target, us: a slow machine runs fewer inputs and doesn't fail. */
#define TIME_LIMIT (8 * G_USEC_PER_SEC)

static void
run_target(const void *data)
{
	const struct fuzz_target *target = data;
	unsigned accepted = fuzz_run(target, MAX_INPUTS, TIME_LIMIT, 1);

	g_test_message("%s: %u of at most %u accepted", target->name, accepted,
	    MAX_INPUTS);
	/* If none were accepted, only the parser's first check would run. */
	g_assert_cmpuint(accepted, >, 0);
}

int
main(int argc, char **argv)
{
	static const struct fuzz_target *const targets[] = {&fuzz_contract,
	    &fuzz_topology, &fuzz_job_bucket, &fuzz_settings, &fuzz_frame,
	    &fuzz_trace, &fuzz_message, &fuzz_store_object};
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		g_snprintf(path, sizeof(path), "/fuzz/%s", targets[i]->name);
		g_test_add_data_func(path, targets[i], run_target);
	}
	return g_test_run();
}
