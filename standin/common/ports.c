/**
 * @file
 * Free ports of the loopback interface.
 */
#include <sys/socket.h>
#include <sys/un.h>

#include <glib.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include "standin/common/ports.h"

/** Ports that are tried, below the kernel's range from 32768 on. */
#define FIRST_PORT 10000
#define LAST_PORT 32000
/** Tries for each port. */
#define TRIES 1000

/* Binds a port; returns the socket, or -1 if the port is taken. */
static int
bind_port(unsigned int port)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	memset(&address, 0, sizeof(address));
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/*
 * Reserves a port among the programs that call this: an abstract address
 * belongs to one socket, and the kernel releases it when the process ends, so
 * the socket stays open. Returns the socket, or -1 if the port is reserved.
 */
static int
reserve_port(unsigned int port)
{
	struct sockaddr_un address;
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int length;

	memset(&address, 0, sizeof(address));
	address.sun_family = AF_UNIX;
	/* The leading zero makes the address abstract. */
	length = g_snprintf(address.sun_path + 1, sizeof(address.sun_path) - 1,
	    "wisteriavane-port-%u", port);
	if (fd >= 0 &&
	    bind(fd, (struct sockaddr *)&address,
		(socklen_t)(offsetof(struct sockaddr_un, sun_path) + 1 +
		    (size_t)length)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Takes a port that is free and not reserved; returns the bound socket. */
static int
take_port(unsigned int port)
{
	int reserved = reserve_port(port);
	int fd;

	if (reserved < 0)
		return -1;
	fd = bind_port(port);
	if (fd < 0)
		close(reserved);
	return fd;
}

bool
standin_free_ports(unsigned int *ports, size_t n)
{
	int *sockets = g_new(int, n);
	size_t found = 0;

	for (size_t i = 0; i < TRIES * n && found < n; i++) {
		ports[found] =
		    (unsigned int)g_random_int_range(FIRST_PORT, LAST_PORT);
		sockets[found] = take_port(ports[found]);
		if (sockets[found] >= 0)
			found++;
	}
	for (size_t i = 0; i < found; i++)
		close(sockets[i]);
	g_free(sockets);
	return found == n;
}
