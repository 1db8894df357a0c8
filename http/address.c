/**
 * @file
 * Parsing of IPv4 socket addresses of the form IP:PORT.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "http/address.h"

/* Size of the buffer for the text, with its terminating NUL, bytes. */
#define ADDRESS_TEXT_SIZE 32

bool
wv_address_parse(struct wv_string text, struct sockaddr_in *address)
{
	char copy[ADDRESS_TEXT_SIZE];
	char *colon, *end;
	long port;

	if (text.length >= sizeof(copy))
		return false;
	memcpy(copy, text.data, text.length);
	copy[text.length] = '\0';
	colon = strrchr(copy, ':');
	if (colon == NULL || colon[1] == '\0')
		return false;
	*colon = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 0 || port > UINT16_MAX)
		return false;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, copy, &address->sin_addr) == 1;
}
