/**
 * @file
 * Guards that programs of tests are given ports of their own.
 */
#include <glib.h>

#include "standin/common/ports.h"

/** Ports of one call; a port drawn twice is then likely. */
#define PORTS 250

/*
 * A port that was given away is free until its program listens on it; another
 * test that was given it too could not start.
 */
static void
test_reserved(void)
{
	GHashTable *given = g_hash_table_new(g_direct_hash, g_direct_equal);
	unsigned int ports[PORTS];

	for (int call = 0; call < 2; call++) {
		g_assert_true(standin_free_ports(ports, PORTS));
		for (size_t i = 0; i < PORTS; i++)
			g_assert_true(g_hash_table_add(
			    given, GUINT_TO_POINTER(ports[i])));
	}
	g_hash_table_destroy(given);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ports/reserved", test_reserved);
	return g_test_run();
}
