/*
 * Parsing of addresses: IP:PORT with an IPv4 address.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

int
kwb_address_parse(struct kwb_address *address, const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ipv4;
	char *end;
	long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(address->ip))
		return KWB_ERR_ARGUMENT;
	memcpy(address->ip, text, (size_t)(colon - text));
	address->ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > 65535)
		return KWB_ERR_ARGUMENT;
	if (inet_pton(AF_INET, address->ip, &ipv4) != 1)
		return KWB_ERR_ARGUMENT;
	address->port = (uint16_t)port;
	return 0;
}
