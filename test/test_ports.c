/**
 * @file
 * Tests that each program started by a test gets ports of its own.
 */
#include <glib.h>

#include "standin/common/ports.h"

/* Ports per call; without reservation, two calls would likely overlap. */
#define N_PORTS 250

/*
 * A returned port stays free until its program listens on it. If a later call
 * returned it as well, one of the two programs could not start.
 */
static void
test_reserved(void)
{
	GHashTable *reserved = g_hash_table_new(g_direct_hash, g_direct_equal);
	unsigned int ports[N_PORTS];

	for (int call = 0; call < 2; call++) {
		g_assert_true(standin_free_ports(ports, N_PORTS));
		for (size_t i = 0; i < N_PORTS; i++)
			g_assert_true(g_hash_table_add(
			    reserved, GUINT_TO_POINTER(ports[i])));
	}
	g_hash_table_destroy(reserved);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ports/reserved", test_reserved);
	return g_test_run();
}
