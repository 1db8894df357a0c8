/**
 * @file
 * Parsing of IPv4 socket addresses of the form IP:PORT.
 */
#ifndef WISTERIAVANE_HTTP_ADDRESS_H
#define WISTERIAVANE_HTTP_ADDRESS_H

#include <netinet/in.h>

#include "wisteriavane/types.h"

/**
 * Parses an IPv4 address and a decimal port from 0 to 65535.
 *
 * @param address  receives the address; unspecified on failure
 * @return false if the text is not of the form IP:PORT
 */
bool wv_address_parse(struct wv_string text, struct sockaddr_in *address);

#endif
