/**
 * @file
 * Free ports of the loopback interface.
 */
#ifndef WISTERIAVANE_STANDIN_PORTS_H
#define WISTERIAVANE_STANDIN_PORTS_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Finds ports that are free now and differ from each other. No other process
 * is given them by this function until the calling process has ended.
 *
 * They lie below the range that the kernel takes for outgoing connections:
 * a port of that range may be taken again before a process listens on it.
 *
 * @return false if not enough were found
 */
bool standin_free_ports(unsigned int *ports, size_t n);

#endif
