/**
 * @file
 * Stand-in for searchers; one process serves one or more, on consecutive
 * ports.
 *
 * The timer thread answers a request when its service time has passed. The
 * peak of concurrent requests, max_busy, includes those that are shed, so
 * a value above the slots shows a caller that exceeds the concurrency limit.
 */
#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "standin/common/searcher.h"

/**
 * Connections allowed beyond the configured limit, so that the load and fault
 * endpoints stay reachable.
 */
#define EXTRA_CONNECTIONS 4
/** Maximum number of searchers per process; each has an HTTP thread. */
#define MAX_SEARCHERS 100

struct options {
	const char *listen;
	unsigned int count;
	unsigned int connections;
	uint32_t seed;
	struct searcher_config config;
};

static error_t
parse_size_option(int key, const char *arg, struct options *options)
{
	switch (key) {
	case 'l':
		options->listen = arg;
		return 0;
	case 'n':
		options->count = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 's':
		options->config.slots = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'c':
		options->connections = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'q':
		options->config.queue = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'e':
		options->seed = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;
	struct searcher_config *config = &options->config;

	switch (key) {
	case 't':
		config->service_ms = strtod(arg, NULL);
		return 0;
	case 'g':
		config->sigma = strtod(arg, NULL);
		return 0;
	case 'o':
		config->cold_ms = strtod(arg, NULL);
		return 0;
	case 'f':
		config->cold_factor = strtod(arg, NULL);
		return 0;
	case 'd':
		config->documents = strtoull(arg, NULL, 10);
		return 0;
	case 'h':
		config->hits = (unsigned int)strtoul(arg, NULL, 10);
		return 0;
	case 'v':
		config->version = strtoull(arg, NULL, 10);
		return 0;
	case 'm':
		config->map = strtoull(arg, NULL, 10);
		return 0;
	case 'i':
		config->version_every_ms = strtod(arg, NULL);
		return 0;
	default:
		return parse_size_option(key, arg, options);
	}
}

static const struct argp_option option_list[] = {
    {"listen", 'l', "IP:PORT", 0,
	"Address of the first searcher; port 0 picks free ports", 0},
    {"count", 'n', "N", 0, "Number of searchers, on consecutive ports (1)", 0},
    {"slots", 's', "N", 0, "Concurrent requests of each searcher (2)", 0},
    {"connections", 'c', "N", 0, "Concurrent connections, 0 for no limit (25)",
	0},
    {"queue", 'q', "N", 0, "Maximum requests that wait for a slot (0)", 0},
    {"seed", 'e', "N", 0, "Seed of the service times (1)", 0},
    {"service-ms", 't', "MS", 0, "Median service time (5)", 0},
    {"sigma", 'g', "S", 0, "Sigma of the lognormal service time (0.3)", 0},
    {"cold-ms", 'o', "MS", 0, "Warm-up time after a start (0)", 0},
    {"cold-factor", 'f', "F", 0, "Service time factor of a cold searcher (5)",
	0},
    {"documents", 'd', "N", 0, "Documents of each searcher (1000)", 0},
    {"hits", 'h', "N", 0, "Hits in each answer (3)", 0},
    {"version", 'v', "N", 0, "Initial index version (1)", 0},
    {"map", 'm', "N", 0, "Initial version of the partition map (1)", 0},
    {"version-every-ms", 'i', "MS", 0,
	"Interval between new index versions, of which two are kept (never)",
	0},
    {0},
};

static const struct argp argp = {option_list, parse_option, NULL,
    "Stand-in for searchers.", NULL, NULL, NULL};

/*
 * Returns the listen address of the searcher with this index: the port of the
 * first address plus the index, or port 0. Owned by the caller.
 */
static char *
address_of(const char *listen, unsigned int index)
{
	const char *colon = strrchr(listen, ':');
	unsigned long port;

	if (colon == NULL)
		return g_strdup(listen);
	port = strtoul(colon + 1, NULL, 10);
	return g_strdup_printf("%.*s:%lu", (int)(colon - listen), listen,
	    port == 0 ? 0 : port + index);
}

int
main(int argc, char **argv)
{
	struct options options = {
	    "127.0.0.1:0", 1, 25, 1, {2, 0, 5, 0.3, 0, 5, 1000, 3, 1, 1, 0}};
	struct searcher_group *group;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	standin_prepare();
	group = searcher_group_create(&options.config, options.seed);
	for (unsigned int i = 0; i < MIN(options.count, MAX_SEARCHERS); i++) {
		char *address = address_of(options.listen, i);
		struct searcher *searcher = searcher_group_add(group);

		searcher_set_server(searcher,
		    standin_listen(address,
			options.connections == 0
			    ? 0
			    : options.connections + EXTRA_CONNECTIONS,
			searcher_handler(searcher)));
		g_free(address);
	}
	standin_wait_and_exit();
	return 0;
}
