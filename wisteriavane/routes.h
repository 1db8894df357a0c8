/**
 * @file
 * One version of the routes: which services a request may be sent to, how
 * often, and for how long.
 *
 * A table is immutable and counted. A request holds the table it was matched
 * against, so all of its attempts follow one version.
 */
#ifndef WISTERIAVANE_ROUTES_H
#define WISTERIAVANE_ROUTES_H

#include "wisteriavane/status.h"

/** How a route picks services. */
enum wv_route_kind {
	WV_ROUTE_SINGLE, /**< one service, or several by weight */
	WV_ROUTE_SCATTER /**< every service; answers are merged */
};

/** One route. */
struct wv_route {
	struct wv_string name; /**< owned */
	struct wv_string host; /**< owned, lower case, without a port */
	struct wv_string prefix; /**< owned; begins the paths of the route */
	enum wv_route_kind kind;
	bool idempotent; /**< may run more than once */
	wv_msec timeout; /**< longest time until the final answer */
	wv_msec target; /**< latency objective */
	int rank; /**< 0 is the most urgent */
	unsigned max_attempts; /**< searchers per request and service */
	struct wv_string *services; /**< owned names */
	double *weights; /**< owned, one per service; scatter: unused */
	size_t n_services;
	size_t top_k; /**< scatter: records of an answer */
	double min_ratio; /**< scatter: least part of the services */
};

/** What a version says of a service. */
struct wv_route_service {
	struct wv_string name; /**< owned */
	uint32_t connections; /**< of one searcher, for all VMs together */
};

/** Bounds of what callers may send. */
struct wv_caller_limits {
	size_t header_bytes; /**< request line and header fields */
	size_t body_bytes;
	wv_msec header_timeout; /**< from the first byte to the last field */
	wv_msec idle_timeout; /**< between two requests */
};

/** One version of the routes. Fill it, then call wv_routes_index(). */
struct wv_routes {
	unsigned references;
	uint64_t version;
	struct wv_route *routes; /**< owned array */
	size_t n_routes;
	struct wv_route_service *services; /**< owned array */
	size_t n_services;
	struct wv_caller_limits limits;
	void *by_host; /**< owned index, made by wv_routes_index() */
};

/** Creates an empty table with one reference. */
struct wv_routes *wv_routes_create(
    uint64_t version, size_t n_routes, size_t n_services);

/** Makes the index for wv_routes_find(). */
void wv_routes_index(struct wv_routes *routes);

/** Takes a reference. */
struct wv_routes *wv_routes_ref(struct wv_routes *routes);

/** Gives a reference back; the last one releases the table. NULL is allowed. */
void wv_routes_unref(struct wv_routes *routes);

/**
 * Finds the route with the longest prefix of a path among those of a host.
 *
 * @param host  as sent by the caller; case and a port do not matter
 * @param path  without the query part
 * @return the route, or NULL if there is none
 */
const struct wv_route *wv_routes_find(const struct wv_routes *routes,
    struct wv_string host, struct wv_string path);

#endif
