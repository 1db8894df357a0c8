/**
 * @file
 * Sockets on IPv4 addresses that are written IP:PORT.
 */
#ifndef WISTERIAVANE_ENTRY_SOCKET_H
#define WISTERIAVANE_ENTRY_SOCKET_H

#include <netinet/in.h>
#include <sys/time.h>

#include "wisteriavane/types.h"

/** Parses IP:PORT; returns false if it is none. */
bool socket_parse(const char *address, struct sockaddr_in *parsed);

/** Opens a listening socket; returns -1 with errno on failure. */
int socket_listen(const char *address, int backlog);

/** Opens a datagram socket; returns -1 with errno on failure. */
int socket_datagram(const char *address);

/**
 * Begins to connect. Dead peers are noticed by TCP itself within seconds.
 * Returns -1 with errno on failure.
 */
int socket_connect(const char *address);

/** Sends small packets at once. */
void socket_set_no_delay(int fd);

/** Returns a time in the form that the event loop takes. */
struct timeval socket_timeval(wv_msec time);

#endif
