/**
 * @file
 * Non-blocking sockets on IPv4 addresses written as IP:PORT.
 */
#ifndef WISTERIAVANE_ENTRY_SOCKET_H
#define WISTERIAVANE_ENTRY_SOCKET_H

#include <netinet/in.h>
#include <sys/time.h>

#include "wisteriavane/types.h"

/** Parses IP:PORT; returns false if the text is not one. */
bool socket_parse_address(const char *address, struct sockaddr_in *parsed);

/**
 * Opens a TCP socket that listens on an address; returns -1 with errno on
 * failure.
 */
int socket_listen(const char *address, int backlog);

/** Opens a UDP socket bound to an address; returns -1 with errno on failure. */
int socket_datagram(const char *address);

/**
 * Opens a TCP socket and begins to connect. Keep-alive probes and a limit on
 * unacknowledged bytes end the connection within seconds if the peer is
 * unreachable. Returns -1 with errno on failure.
 */
int socket_connect(const char *address);

/** Disables Nagle's algorithm, so that small packets are sent at once. */
void socket_set_no_delay(int fd);

/** Returns the smoothed round trip time of a connection, ms; 0: not known. */
wv_msec socket_round_trip(int fd);

/** Converts a duration, ms, to a timeval; a negative one becomes 0. */
struct timeval socket_timeval(wv_msec time);

#endif
