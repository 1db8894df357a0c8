/**
 * @file
 * Runs the fuzz targets over mutated inputs with a fixed random seed. Guards
 * against input from the store, operators or peers that crashes a VM or is
 * accepted although it is invalid. The variables WV_FUZZ_SECONDS and WV_SEED
 * make a longer run of each target, with another seed.
 */
#include <limits.h>
#include <stdlib.h>

#include "fuzz/fuzz.h"

/* Inputs per target, which take some seconds under AddressSanitizer. */
#define MAX_INPUTS 20000
/* Time per target, us: a slow machine runs fewer inputs and doesn't fail. */
#define TIME_LIMIT (8 * G_USEC_PER_SEC)

/* Returns the number in an environment variable, or a default. */
static unsigned
read_number(const char *variable, unsigned fallback)
{
	const char *text = g_getenv(variable);

	return text == NULL ? fallback : (unsigned)strtoul(text, NULL, 10);
}

static void
run_target(const void *data)
{
	const struct fuzz_target *target = data;
	unsigned seconds = read_number("WV_FUZZ_SECONDS", 0);
	unsigned inputs = seconds > 0 ? UINT_MAX : MAX_INPUTS;
	gint64 limit = seconds > 0 ? seconds * G_USEC_PER_SEC : TIME_LIMIT;
	unsigned n_run;
	unsigned accepted =
	    fuzz_run(target, inputs, limit, read_number("WV_SEED", 1), &n_run);

	g_test_message(
	    "%s: %u of %u inputs accepted", target->name, accepted, n_run);
	/* If none were accepted, only the parser's first check would run. */
	g_assert_cmpuint(accepted, >, 0);
}

int
main(int argc, char **argv)
{
	static const struct fuzz_target *const targets[] = {&fuzz_contract,
	    &fuzz_topology, &fuzz_job_bucket, &fuzz_settings, &fuzz_frame,
	    &fuzz_trace, &fuzz_message, &fuzz_store_object, &fuzz_store};
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		g_snprintf(path, sizeof(path), "/fuzz/%s", targets[i]->name);
		g_test_add_data_func(path, targets[i], run_target);
	}
	return g_test_run();
}
