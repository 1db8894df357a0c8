/**
 * @file
 * Finds free TCP ports of the loopback interface.
 */
#include <sys/socket.h>
#include <sys/un.h>

#include <glib.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include "standin/common/ports.h"

/** Candidate ports, below the kernel's ephemeral range from 32768 on. */
#define FIRST_PORT 10000
#define LAST_PORT 32000
/** Maximum attempts per requested port. */
#define MAX_TRIES_PER_PORT 1000

/* Binds a loopback port; returns the socket, or -1 if the port is in use. */
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
 * Reserves a port among the processes that use this function, by binding an
 * abstract Unix address named for the port. The socket is left open on
 * purpose: the kernel releases the address when the process ends. Returns the
 * socket, or -1 if the port is reserved already.
 */
static int
reserve_port(unsigned int port)
{
	struct sockaddr_un address;
	int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int length;

	memset(&address, 0, sizeof(address));
	address.sun_family = AF_UNIX;
	/* The leading NUL makes the address abstract. */
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

/* Reserves and binds a port; returns the bound socket, or -1. */
static int
claim_port(unsigned int port)
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

	for (size_t i = 0; i < MAX_TRIES_PER_PORT * n && found < n; i++) {
		ports[found] =
		    (unsigned int)g_random_int_range(FIRST_PORT, LAST_PORT);
		sockets[found] = claim_port(ports[found]);
		if (sockets[found] >= 0)
			found++;
	}
	for (size_t i = 0; i < found; i++)
		close(sockets[i]);
	g_free(sockets);
	return found == n;
}
