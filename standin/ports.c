/**
 * @file
 * Prints free ports of the loopback interface, one a line.
 */
#include <stdio.h>
#include <stdlib.h>

#include "standin/common/ports.h"

/** Maximum number of ports that one run prints. */
#define MAX_PORTS 100

int
main(int argc, char **argv)
{
	unsigned long n = argc == 2 ? strtoul(argv[1], NULL, 10) : 0;
	unsigned int ports[MAX_PORTS];

	if (n < 1 || n > MAX_PORTS) {
		fprintf(
		    stderr, "usage: standin-ports N (1 to %d)\n", MAX_PORTS);
		return 2;
	}
	if (!standin_free_ports(ports, n)) {
		fprintf(stderr, "not enough free ports\n");
		return 1;
	}
	for (unsigned long i = 0; i < n; i++)
		printf("%u\n", ports[i]);
	return 0;
}
