/**
 * @file
 * What the VMs of the soak use: the store, and the searchers with a proxy in
 * front of each.
 */
#ifndef WISTERIAVANE_SOAK_CLUSTER_H
#define WISTERIAVANE_SOAK_CLUSTER_H

#include "platform/standin/standin.h"
#include "soak/proxy.h"
#include "soak/soak.h"

/** Number of services, the last of which serves orders, and of replicas. */
#define CLUSTER_SERVICES 5
#define CLUSTER_REPLICAS 3
/** Number of searchers; they are ordered by service. */
#define CLUSTER_SEARCHERS (CLUSTER_SERVICES * CLUSTER_REPLICAS)
/** Number of zones; replica i of each service is in zone i. */
#define CLUSTER_ZONES CLUSTER_REPLICAS
/** Time from the acknowledgement of an evacuation to its effect, ms. */
#define CLUSTER_EVACUATE_MS 5000.0
/**
 * Limit of the cold searchers of some services: requests per second, time for
 * which they are cold, and the settings.
 */
#define CLUSTER_COLD_RATE 8.0
#define CLUSTER_COLD_TIME_S 2.0
#define CLUSTER_COLD_OVERSHOOT 1.5
#define CLUSTER_COLD_SLACK 5.0
/** Number of teams; each has a key that always holds. */
#define CLUSTER_TEAMS 5
/** Teams with a quota: one sends several times as much, the other one less. */
#define CLUSTER_GREEDY_TEAM 3
#define CLUSTER_MODEST_TEAM 4
/** Settings of the quotas. */
#define CLUSTER_QUOTA_WINDOW_S 2.0
#define CLUSTER_QUOTA_OVERSHOOT 0.1
#define CLUSTER_QUOTA_SLACK 10.0
/** Ports that a cluster needs. */
#define CLUSTER_PORTS (1 + 2 * CLUSTER_SEARCHERS)

struct cluster;

/** Creates the store, the searchers and the proxies, with their entries. */
struct cluster *cluster_create(struct soak *soak, const unsigned int *ports);

/**
 * Releases the cluster, but not its store, searchers and proxies; the event
 * loop must not run any more.
 */
void cluster_destroy(struct cluster *cluster);

/** Returns the store, and its address IP:PORT. Borrowed. */
struct standin_store *cluster_store(struct cluster *cluster);
const char *cluster_store_address(const struct cluster *cluster);

/** Returns the searchers. Borrowed. */
struct standin_searchers *cluster_searchers(struct cluster *cluster);

/** Returns the proxy in front of a searcher. Borrowed. */
struct proxy *cluster_link(struct cluster *cluster, unsigned searcher);

/** Returns the identifier of a searcher; the caller owns it. */
char *cluster_searcher_id(unsigned searcher);

/** Returns the index of a searcher's zone, and the name of a zone. */
unsigned cluster_searcher_zone(unsigned searcher);
const char *cluster_zone(unsigned zone);

/** Writes or removes the evacuation of a zone, if that is a change. */
void cluster_set_evacuated(
    struct cluster *cluster, unsigned zone, bool evacuated);

/** Returns whether a searcher's service limits cold searchers. */
bool cluster_has_cold_limit(unsigned searcher);

/** Sets until when a searcher says that it is cold: monotonic time, ms. */
void cluster_set_cold(
    struct cluster *cluster, unsigned searcher, wv_msec until);

/** Writes the entry of a searcher. */
void cluster_write_searcher(
    struct cluster *cluster, unsigned searcher, bool draining);

/** Writes the entry of a new incarnation of a searcher. */
void cluster_restart_searcher(struct cluster *cluster, unsigned searcher);

/** Returns the number of requests that a searcher has received. */
uint64_t cluster_arrivals(struct cluster *cluster, unsigned searcher);

/** Sets whether a searcher says in its answers that it is leaving. */
void cluster_set_leaving(
    struct cluster *cluster, unsigned searcher, bool leaving);

/** Returns whether a searcher drains or says that it is leaving. */
bool cluster_is_leaving(const struct cluster *cluster, unsigned searcher);

/**
 * Writes routes of a newer version; returns the version.
 *
 * @param step     difference to the present version
 * @param timeout  of the routes, ms
 */
uint64_t cluster_write_routes(
    struct cluster *cluster, unsigned step, double timeout);

/** Returns the name of a team, and its key. */
const char *cluster_team_name(unsigned team);
const char *cluster_team_key(unsigned team);

/** Returns the quota of a team: requests per second, or 0, and burst. */
double cluster_team_rate(unsigned team);
double cluster_team_burst(unsigned team);

/**
 * Writes routes of a newer version, in which the first team has a further key.
 *
 * @param key  copied; NULL: none
 */
void cluster_set_extra_key(struct cluster *cluster, const char *key);

/** Writes the last entry of a searcher again, after the store has lost it. */
void cluster_write_searcher_again(struct cluster *cluster, unsigned searcher);

/** Writes the last routes again. */
void cluster_write_routes_again(struct cluster *cluster);

/** Notes that calls of the store may fail for a duration and a recovery. */
void cluster_mark_store_affected(struct cluster *cluster, wv_msec duration);

/** Returns the monotonic time until which calls of the store may fail, ms. */
wv_msec cluster_store_affected_until(const struct cluster *cluster);

#endif
