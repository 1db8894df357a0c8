/**
 * @file
 * Non-blocking IPv4 sockets.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "entry/socket.h"

/** Longest IP:PORT, bytes with the NUL. */
#define ADDRESS_SIZE 22
/**
 * Keep-alive probes: idle time before the first one, s, interval between them,
 * s, and how many may fail.
 */
#define KEEPALIVE_IDLE 2
#define KEEPALIVE_INTERVAL 1
#define KEEPALIVE_COUNT 2
/** How long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), ms. */
#define USER_TIMEOUT 3000

bool
socket_parse_address(const char *address, struct sockaddr_in *parsed)
{
	char copy[ADDRESS_SIZE];
	guint64 port;
	char *colon;

	if (g_strlcpy(copy, address, sizeof(copy)) >= sizeof(copy))
		return false;
	colon = strrchr(copy, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	memset(parsed, 0, sizeof(*parsed));
	parsed->sin_family = AF_INET;
	if (inet_pton(AF_INET, copy, &parsed->sin_addr) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return false;
	parsed->sin_port = htons((uint16_t)port);
	return true;
}

/* Closes a socket after a failure; errno keeps the reason. */
static void
close_keeping_errno(int fd)
{
	int error = errno;

	close(fd);
	errno = error;
}

/* Opens a socket bound to an address; returns -1 with errno on failure. */
static int
open_bound(const char *address, int type)
{
	struct sockaddr_in parsed;
	int one = 1;
	int fd;

	if (!socket_parse_address(address, &parsed)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	/*
	 * Connections of an earlier process that are not gone yet must not hold
	 * the port. With datagrams, two processes would share it.
	 */
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&parsed, sizeof(parsed)) != 0) {
		close_keeping_errno(fd);
		return -1;
	}
	return fd;
}

int
socket_listen(const char *address, int backlog)
{
	int fd = open_bound(address, SOCK_STREAM);

	if (fd >= 0 && listen(fd, backlog) != 0) {
		close_keeping_errno(fd);
		return -1;
	}
	return fd;
}

int
socket_datagram(const char *address)
{
	return open_bound(address, SOCK_DGRAM);
}

static void
set_option(int fd, int level, int option, int value)
{
	setsockopt(fd, level, option, &value, sizeof(value));
}

void
socket_set_no_delay(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
}

wv_msec
socket_round_trip(int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
		return 0;
	return info.tcpi_rtt / 1000.0;
}

int
socket_connect(const char *address)
{
	struct sockaddr_in parsed;
	int fd;

	if (!socket_parse_address(address, &parsed)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	socket_set_no_delay(fd);
	/* A server may need the local port while it is in TIME_WAIT. */
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT);
	if (connect(fd, (struct sockaddr *)&parsed, sizeof(parsed)) != 0 &&
	    errno != EINPROGRESS) {
		close_keeping_errno(fd);
		return -1;
	}
	return fd;
}

struct timeval
socket_timeval(wv_msec time)
{
	struct timeval value;

	if (time < 0)
		time = 0;
	value.tv_sec = (time_t)(time / 1000);
	value.tv_usec =
	    (suseconds_t)((time - (double)value.tv_sec * 1000) * 1000);
	return value;
}
