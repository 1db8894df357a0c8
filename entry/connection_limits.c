/**
 * @file
 * Limits on the connections of a VM's servers and on those to searchers.
 */
#include <sys/resource.h>

#include "entry/entry.h"
#include "entry/gateway.h"
#include "entry/shares.h"

/**
 * Bytes that the servers buffer: for callers, for other VMs, and for address
 * queries, readiness and metrics each. Other VMs may read large lists all at
 * once when they start. Together with the limits on answers of searchers and of
 * the store (gateway.c, store_sync.c) they stay below the memory of a small VM.
 */
#define MAX_BUFFERED_CALLERS (32u << 20)
#define MAX_BUFFERED_CHANGES (48u << 20)
#define MAX_BUFFERED_MINOR (2u << 20)

/* Returns what a server serves, for log lines. */
static const char *
server_name(const struct entry *entry, const struct server *server)
{
	if (server == entry->address_server)
		return "addresses";
	if (server == entry->readiness_server)
		return "readiness";
	if (server == entry->metrics_server)
		return "metrics";
	return server == entry->change_server ? "changes" : "callers";
}

static void
on_shortage(void *data, const struct server *server,
    enum server_shortage shortage, int error)
{
	struct entry *entry = data;
	const char *name = server_name(entry, server);

	switch (shortage) {
	case SERVER_YIELDED:
		wv_counter_add(&entry->metrics.connections_yielded, 1);
		break;
	case SERVER_ACCEPT_FAILED:
		wv_counter_add(&entry->metrics.accepts_failed, 1);
		break;
	case SERVER_ANSWER_CUT:
		wv_counter_add(&entry->metrics.answers_cut, 1);
		break;
	case SERVER_CROWDED:
		log_line(entry->log, LOG_CHANGE, "connections_crowded",
		    "\"server\":\"%s\",\"error\":\"%s\"", name,
		    error == 0 ? "" : g_strerror(error));
		break;
	case SERVER_UNCROWDED:
		log_line(entry->log, LOG_CHANGE, "connections_uncrowded",
		    "\"server\":\"%s\",\"yielded\":%" G_GUINT64_FORMAT
		    ",\"accepts_failed\":%" G_GUINT64_FORMAT,
		    name, wv_counter_read(&entry->metrics.connections_yielded),
		    wv_counter_read(&entry->metrics.accepts_failed));
		break;
	}
}

/* Limits a server, which may not exist. */
static void
limit_server(struct entry *entry, struct server *server, size_t max_conns,
    size_t max_buffered)
{
	if (server == NULL)
		return;
	server_set_max_conns(server, max_conns, on_shortage, entry);
	server_set_max_buffered(server, max_buffered);
}

void
entry_limit_connections(struct entry *entry)
{
	struct rlimit limit = {RLIM_INFINITY, RLIM_INFINITY};
	struct shares shares;

	getrlimit(RLIMIT_NOFILE, &limit);
	shares = shares_divide((size_t)limit.rlim_cur);
	limit_server(entry, gateway_server(entry->gateway), shares.callers,
	    MAX_BUFFERED_CALLERS);
	limit_server(
	    entry, entry->address_server, shares.addresses, MAX_BUFFERED_MINOR);
	limit_server(entry, entry->readiness_server, shares.readiness,
	    MAX_BUFFERED_MINOR);
	limit_server(
	    entry, entry->metrics_server, shares.metrics, MAX_BUFFERED_MINOR);
	limit_server(
	    entry, entry->change_server, shares.changes, MAX_BUFFERED_CHANGES);
	gateway_set_max_searcher_conns(entry->gateway, shares.searchers);
	log_line(entry->log, LOG_CHANGE, "connections_limited",
	    "\"descriptors\":%" G_GUINT64_FORMAT
	    ",\"callers\":%zu,\"searchers\":%zu",
	    (uint64_t)limit.rlim_cur, shares.callers, shares.searchers);
}
