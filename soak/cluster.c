/**
 * @file
 * What the VMs of the soak use: the store, and the searchers with a proxy in
 * front of each.
 */
#include "soak/cluster.h"

/** Objects in a page of a list of the store. */
#define PAGE_SIZE 4
/** Concurrent requests of each searcher, and mean service time, ms. */
#define SLOTS 4
#define SERVICE_MS 8
/** Timeout of the first routes, ms. */
#define FIRST_TIMEOUT 1500

/* A team; without a rate it has no quota. */
struct team {
	const char *name;
	const char *key;
	double rate; /* requests per second */
	double burst;
};

static const struct team teams[CLUSTER_TEAMS] = {{"maps", "key-maps", 0, 0},
    {"tiles", "key-tiles", 0, 0}, {"desk", "key-desk", 0, 0},
    {"bulk", "key-bulk", 20, 10}, {"audit", "key-audit", 10, 5}};

static const char *const zones[CLUSTER_ZONES] = {"z1", "z2", "z3"};

/* Whether a service limits cold searchers: two shards, and the orders. */
static const bool cold_limits[CLUSTER_SERVICES] = {
    true, true, false, false, true};

struct cluster {
	struct soak *soak;
	struct standin_searcher_config layout;
	char *store_address;
	struct standin_store *store;
	struct standin_searchers *searchers;
	struct proxy *links[CLUSTER_SEARCHERS];
	uint64_t incarnations[CLUSTER_SEARCHERS]; /* from 1 */
	bool draining[CLUSTER_SEARCHERS]; /* by their last entries */
	bool leaving[CLUSTER_SEARCHERS]; /* by their answers */
	wv_msec cold_until[CLUSTER_SEARCHERS];
	unsigned cold_left[CLUSTER_SEARCHERS]; /* by their last entries, ms */
	uint64_t sequences[CLUSTER_SEARCHERS]; /* of their last entries */
	uint64_t routes_version;
	double timeout; /* of the routes, ms */
	char *extra_key; /* of the first team, or NULL */
	wv_msec store_affected_until;
};

/* Creates a proxy in front of each searcher and registers its address. */
static void
create_links(struct cluster *cluster, const unsigned int *ports)
{
	struct soak *soak = cluster->soak;

	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++) {
		char *address =
		    g_strdup_printf("%s:%u", soak_ip(soak), ports[i]);

		cluster->links[i] = proxy_create(soak_base(soak), address,
		    standin_searchers_address(cluster->searchers,
			i / CLUSTER_REPLICAS, i % CLUSTER_REPLICAS));
		cluster_restart_searcher(cluster, i);
		g_free(address);
	}
}

struct cluster *
cluster_create(struct soak *soak, const unsigned int *ports)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	struct event_base *base = soak_base(soak);

	cluster->soak = soak;
	cluster->layout = (struct standin_searcher_config){
	    CLUSTER_SERVICES, CLUSTER_REPLICAS, SLOTS, SERVICE_MS};
	cluster->store_address =
	    g_strdup_printf("%s:%u", soak_ip(soak), ports[0]);
	cluster->store = standin_store_create(base, cluster->store_address);
	standin_store_set_page_size(cluster->store, PAGE_SIZE);
	cluster->searchers = standin_searchers_create(base, &cluster->layout,
	    soak_ip(soak), ports + 1 + CLUSTER_SEARCHERS);
	cluster_write_routes(cluster, 1, FIRST_TIMEOUT);
	create_links(cluster, ports + 1);
	return cluster;
}

void
cluster_destroy(struct cluster *cluster)
{
	g_free(cluster->store_address);
	g_free(cluster->extra_key);
	g_free(cluster);
}

struct standin_store *
cluster_store(struct cluster *cluster)
{
	return cluster->store;
}

const char *
cluster_store_address(const struct cluster *cluster)
{
	return cluster->store_address;
}

struct standin_searchers *
cluster_searchers(struct cluster *cluster)
{
	return cluster->searchers;
}

struct proxy *
cluster_link(struct cluster *cluster, unsigned searcher)
{
	return cluster->links[searcher];
}

char *
cluster_searcher_id(unsigned searcher)
{
	return standin_searcher_id(
	    searcher / CLUSTER_REPLICAS, searcher % CLUSTER_REPLICAS);
}

unsigned
cluster_searcher_zone(unsigned searcher)
{
	return searcher % CLUSTER_REPLICAS;
}

const char *
cluster_zone(unsigned zone)
{
	return zones[zone];
}

void
cluster_set_evacuated(struct cluster *cluster, unsigned zone, bool evacuated)
{
	bool known = standin_store_revision(cluster->store,
			 STANDIN_KIND_EVACUATIONS, zones[zone]) > 0;

	if (evacuated && !known)
		standin_store_write(cluster->store, STANDIN_KIND_EVACUATIONS,
		    zones[zone], json_object_new());
	else if (!evacuated && known)
		standin_store_remove(
		    cluster->store, STANDIN_KIND_EVACUATIONS, zones[zone]);
}

bool
cluster_has_cold_limit(unsigned searcher)
{
	return cold_limits[searcher / CLUSTER_REPLICAS];
}

/* Returns for how much longer a searcher is cold, ms. */
static unsigned
cold_left(const struct cluster *cluster, unsigned searcher)
{
	wv_msec left = cluster->cold_until[searcher] - soak_now(cluster->soak);

	return left > 0 ? (unsigned)left : 0;
}

void
cluster_set_cold(struct cluster *cluster, unsigned searcher, wv_msec until)
{
	cluster->cold_until[searcher] = until;
	standin_searchers_set_cold(cluster->searchers,
	    searcher / CLUSTER_REPLICAS, searcher % CLUSTER_REPLICAS,
	    cold_left(cluster, searcher));
}

/* Writes the entry of a searcher as it is known. */
static void
write_entry(struct cluster *cluster, unsigned searcher)
{
	char *id = cluster_searcher_id(searcher);
	char service[16];
	JsonObject *spec;

	g_snprintf(
	    service, sizeof(service), "s%u", searcher / CLUSTER_REPLICAS);
	spec = standin_searcher_spec(service,
	    proxy_address(cluster->links[searcher]),
	    cluster->incarnations[searcher], cluster->draining[searcher]);
	standin_searcher_set_zone(
	    spec, cluster_zone(cluster_searcher_zone(searcher)));
	standin_searcher_set_cold(
	    spec, cluster->cold_left[searcher], cluster->sequences[searcher]);
	standin_store_write(cluster->store, STANDIN_KIND_SEARCHERS, id, spec);
	g_free(id);
}

void
cluster_write_searcher(
    struct cluster *cluster, unsigned searcher, bool draining)
{
	cluster->draining[searcher] = draining;
	cluster->cold_left[searcher] = cold_left(cluster, searcher);
	cluster->sequences[searcher]++;
	write_entry(cluster, searcher);
}

void
cluster_restart_searcher(struct cluster *cluster, unsigned searcher)
{
	cluster->incarnations[searcher]++;
	cluster_write_searcher(cluster, searcher, false);
}

uint64_t
cluster_arrivals(struct cluster *cluster, unsigned searcher)
{
	return standin_searchers_arrivals(cluster->searchers,
	    searcher / CLUSTER_REPLICAS, searcher % CLUSTER_REPLICAS);
}

void
cluster_set_leaving(struct cluster *cluster, unsigned searcher, bool leaving)
{
	cluster->leaving[searcher] = leaving;
	standin_searchers_set_leaving(cluster->searchers,
	    searcher / CLUSTER_REPLICAS, searcher % CLUSTER_REPLICAS, leaving);
}

bool
cluster_is_leaving(const struct cluster *cluster, unsigned searcher)
{
	return cluster->draining[searcher] || cluster->leaving[searcher];
}

const char *
cluster_team_name(unsigned team)
{
	return teams[team].name;
}

const char *
cluster_team_key(unsigned team)
{
	return teams[team].key;
}

double
cluster_team_rate(unsigned team)
{
	return teams[team].rate;
}

double
cluster_team_burst(unsigned team)
{
	return teams[team].burst;
}

void
cluster_write_searcher_again(struct cluster *cluster, unsigned searcher)
{
	write_entry(cluster, searcher);
}

void
cluster_write_routes_again(struct cluster *cluster)
{
	cluster_write_routes(cluster, 0, cluster->timeout);
}

uint64_t
cluster_write_routes(struct cluster *cluster, unsigned step, double timeout)
{
	JsonObject *routes;

	cluster->routes_version += step;
	cluster->timeout = timeout;
	routes =
	    standin_routes(&cluster->layout, cluster->routes_version, timeout);
	for (unsigned i = 0; i < CLUSTER_TEAMS; i++) {
		standin_routes_add_team(
		    routes, teams[i].name, teams[i].key, -1);
		if (teams[i].rate > 0)
			standin_routes_set_quota(
			    routes, i, teams[i].rate, teams[i].burst);
	}
	if (cluster->extra_key != NULL)
		standin_routes_add_team(
		    routes, teams[0].name, cluster->extra_key, -1);
	for (unsigned i = 0; i < CLUSTER_SERVICES; i++) {
		if (cold_limits[i])
			standin_routes_set_service_cold(
			    routes, i, CLUSTER_COLD_RATE, CLUSTER_COLD_TIME_S);
	}
	standin_store_write(
	    cluster->store, STANDIN_KIND_ROUTES, STANDIN_ROUTES_OBJECT, routes);
	return cluster->routes_version;
}

void
cluster_set_extra_key(struct cluster *cluster, const char *key)
{
	g_free(cluster->extra_key);
	cluster->extra_key = g_strdup(key);
	cluster_write_routes(cluster, 1, cluster->timeout);
}

void
cluster_mark_store_affected(struct cluster *cluster, wv_msec duration)
{
	cluster->store_affected_until = MAX(cluster->store_affected_until,
	    soak_now(cluster->soak) + duration + SOAK_RECOVERY_TIME);
}

wv_msec
cluster_store_affected_until(const struct cluster *cluster)
{
	return cluster->store_affected_until;
}
