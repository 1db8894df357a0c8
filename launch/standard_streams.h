/**
 * @file
 * Standard streams at the start of a process.
 */
#ifndef WISTERIAVANE_LAUNCH_STANDARD_STREAMS_H
#define WISTERIAVANE_LAUNCH_STANDARD_STREAMS_H

#include <fcntl.h>
#include <unistd.h>

/**
 * Opens /dev/null as each standard stream that is closed: otherwise the next
 * descriptors that are opened, such as connections, would become standard
 * streams. Call it before anything is opened.
 */
static inline void
open_standard_streams(void)
{
	int fd;

	do
		fd = open("/dev/null", O_RDWR);
	while (fd >= 0 && fd <= STDERR_FILENO);
	if (fd >= 0)
		close(fd);
}

#endif
