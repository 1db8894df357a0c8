/**
 * @file
 * Route table: maps the host and path of a request to services, with the limits
 * of its attempts and time.
 *
 * A table is one version of the routes. It is immutable once indexed, and
 * reference counted. A request keeps a reference to the table that it was
 * matched against, so all of its attempts use the same version.
 */
#ifndef WISTERIAVANE_ROUTES_H
#define WISTERIAVANE_ROUTES_H

#include "wisteriavane/status.h"

/** How many services a request of a route is sent to. */
enum wv_route_kind {
	WV_ROUTE_SINGLE, /**< one service; several are chosen by weight */
	WV_ROUTE_SCATTER /**< all services; their answers are merged */
};

/** One route. */
struct wv_route {
	struct wv_string name; /**< owned */
	struct wv_string host; /**< owned, lower case, without a port */
	struct wv_string prefix; /**< owned; path prefix to match */
	enum wv_route_kind kind;
	bool idempotent; /**< requests may be executed more than once */
	wv_msec timeout; /**< maximum time until the result, ms */
	wv_msec target; /**< latency objective, ms */
	int rank; /**< 0 is the most urgent */
	unsigned max_attempts; /**< executions per request and service */
	struct wv_string *services; /**< owned names */
	double *weights; /**< owned, one per service; unused for scatter */
	size_t n_services;
	size_t top_k; /**< scatter: maximum records in an answer */
	double min_ratio; /**< scatter: minimum fraction of services */
	bool is_public; /**< requests need no key */
};

/** A team: callers with keys of their own. */
struct wv_team {
	struct wv_string name; /**< owned, printable ASCII */
	bool has_rank; /**< its rank replaces that of the routes */
	int rank; /**< 0 is the most urgent */
	double rate; /**< requests per second of all VMs; 0: no limit */
	double burst; /**< further requests that may come at once */
};

/** Settings of a service in a route table. */
struct wv_route_service {
	struct wv_string name; /**< owned */
	uint32_t connections; /**< cap per searcher, for all VMs together */
	double cold_rate; /**< requests per second that a cold searcher takes
			     from all VMs; 0: no limit */
	wv_msec cold_time; /**< a searcher is cold at most so long after its
			      start, ms; 0: never */
};

/** Limits on what callers may send. */
struct wv_caller_limits {
	size_t header_bytes; /**< request line and header fields */
	size_t body_bytes; /**< maximum size of a body */
	wv_msec header_timeout; /**< from first byte to last field, ms */
	wv_msec idle_timeout; /**< maximum time between two requests, ms */
};

/** A route table. Fill it, then call wv_routes_build_index(). */
struct wv_routes {
	unsigned references;
	uint64_t version;
	struct wv_route *routes; /**< owned array */
	size_t n_routes;
	struct wv_route_service *services; /**< owned array */
	size_t n_services;
	bool has_teams; /**< requests need a key, unless the route is public */
	struct wv_team *teams; /**< owned array */
	size_t n_teams;
	struct wv_caller_limits limits;
	void *by_host; /**< owned index, made by wv_routes_build_index() */
	void *by_key; /**< owned index, filled by wv_routes_add_key() */
};

/** Creates a zeroed table of the given size with one reference. */
struct wv_routes *wv_routes_create(
    uint64_t version, size_t n_routes, size_t n_services);

/**
 * Makes requests need a key and adds zeroed teams. To be called at most once.
 *
 * @param n_teams  may be 0: then only public routes can be used
 */
void wv_routes_add_teams(struct wv_routes *routes, size_t n_teams);

/**
 * Adds a key, copied, of a team of the table. A key that the table already has
 * stays with its first team.
 */
void wv_routes_add_key(
    struct wv_routes *routes, struct wv_string key, const struct wv_team *team);

/** Builds the index for wv_routes_find(). */
void wv_routes_build_index(struct wv_routes *routes);

/** Takes a reference. */
struct wv_routes *wv_routes_ref(struct wv_routes *routes);

/** Drops a reference; the last one frees the table. NULL is allowed. */
void wv_routes_unref(struct wv_routes *routes);

/**
 * Finds the route of a host with the longest prefix that matches a path.
 *
 * @param host  as sent by the caller; case and port are ignored
 * @param path  without the query string
 * @return the route, owned by the table, or NULL if none matches
 */
const struct wv_route *wv_routes_find(const struct wv_routes *routes,
    struct wv_string host, struct wv_string path);

/**
 * Finds the team that has a key. The cost does not grow with the number of
 * keys.
 *
 * @return the team, owned by the table, or NULL if no team has the key
 */
const struct wv_team *wv_routes_find_team(
    const struct wv_routes *routes, struct wv_string key);

/** Returns the rank of a team's requests on a route; team may be NULL. */
int wv_route_rank(const struct wv_route *route, const struct wv_team *team);

#endif
