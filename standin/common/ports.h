/**
 * @file
 * Finds free TCP ports of the loopback interface.
 */
#ifndef WISTERIAVANE_STANDIN_PORTS_H
#define WISTERIAVANE_STANDIN_PORTS_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Finds distinct ports that are free now. This function returns them to no
 * other process until the calling process has ended.
 *
 * The ports lie below the kernel's range of ephemeral ports, since an outgoing
 * connection could take a port of that range before a process listens on it.
 *
 * @param ports  receives n ports
 * @return false if not enough free ports were found
 */
bool standin_free_ports(unsigned int *ports, size_t n);

#endif
