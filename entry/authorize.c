/**
 * @file
 * Keys of callers' requests.
 */
#include <string.h>

#include "entry/authorize.h"

/*
 * Gets the key of a request: one field with the scheme, one space, and the key
 * in printable ASCII. Returns false for anything else.
 */
static bool
read_key(const struct platform_adapter *adapter, const struct message *message,
    struct wv_string *key)
{
	size_t scheme = strlen(adapter->key_scheme);
	struct wv_string value;

	if (message_find_field(message, adapter->authorization, &value) != 1 ||
	    value.length < scheme + 2 ||
	    memcmp(value.data, adapter->key_scheme, scheme) != 0 ||
	    value.data[scheme] != ' ')
		return false;
	key->data = value.data + scheme + 1;
	key->length = value.length - scheme - 1;
	for (size_t i = 0; i < key->length; i++) {
		if (!g_ascii_isgraph(key->data[i]))
			return false;
	}
	return key->length <= AUTHORIZE_MAX_KEY_BYTES;
}

bool
authorize_needs_key(
    const struct wv_routes *routes, const struct wv_route *route)
{
	return routes->has_teams && (route == NULL || !route->is_public);
}

enum authorization
authorize_request(const struct platform_adapter *adapter,
    const struct wv_routes *routes, const struct wv_route *route,
    const struct message *message, const struct wv_team **team)
{
	bool needs_key = authorize_needs_key(routes, route);
	struct wv_string key;

	*team = NULL;
	if (!routes->has_teams)
		return AUTHORIZED;
	if (!read_key(adapter, message, &key))
		return needs_key ? AUTHORIZE_NO_KEY : AUTHORIZED;
	*team = wv_routes_find_team(routes, key);
	return *team != NULL || !needs_key ? AUTHORIZED : AUTHORIZE_UNKNOWN_KEY;
}

const char *
authorization_name(enum authorization authorization)
{
	static const char *const names[] = {
	    "authorized", "no_key", "unknown_key"};

	return names[authorization];
}
