/**
 * @file
 * Decides which team a caller's request belongs to, by its key.
 */
#ifndef WISTERIAVANE_ENTRY_AUTHORIZE_H
#define WISTERIAVANE_ENTRY_AUTHORIZE_H

#include "entry/message.h"
#include "entry/platform_adapter.h"

/** Longest key, bytes. */
#define AUTHORIZE_MAX_KEY_BYTES 256

/** Whether a request may be submitted, and why not. */
enum authorization {
	AUTHORIZED, /**< it has a team's key, or needs none */
	AUTHORIZE_NO_KEY, /**< no key, more than one, or not a valid field */
	AUTHORIZE_UNKNOWN_KEY /**< no team has the key */
};

/**
 * Checks the key of a request against the teams of a version of the routes.
 *
 * @param route  that the request matches; NULL: none, which is not public
 * @param team   set to the team whose key the request has, owned by the routes,
 *               also on a public route; NULL: none
 */
enum authorization authorize_request(const struct platform_adapter *adapter,
    const struct wv_routes *routes, const struct wv_route *route,
    const struct message *message, const struct wv_team **team);

/**
 * Returns whether requests of a route need a key.
 *
 * @param route  NULL: the request matches none
 */
bool authorize_needs_key(
    const struct wv_routes *routes, const struct wv_route *route);

/** Returns the name of an outcome, for logs. It is never part of a key. */
const char *authorization_name(enum authorization authorization);

#endif
