/**
 * @file
 * The addresses on which an entry VM listens.
 */
#include <errno.h>
#include <string.h>

#include "entry/gateway.h"
#include "entry/listeners.h"
#include "entry/reports.h"
#include "entry/retry.h"

enum listener_id {
	LISTENER_CALLERS,
	LISTENER_READINESS,
	LISTENER_ADDRESSES,
	LISTENER_PEERS,
	LISTENER_REPORTS, /* datagrams at the address of LISTENER_PEERS */
	LISTENER_METRICS,
	LISTENER_COUNT
};

static const char *const names[LISTENER_COUNT] = {
    "callers", "readiness", "addresses", "peers", "reports", "metrics"};

struct listener {
	struct listeners *listeners;
	struct retry *retry;
	const char *address; /* IP:PORT, borrowed */
	struct server *server; /* borrowed; NULL: the reports' datagrams */
};

struct listeners {
	struct entry *entry;
	void (*failed)(void *data);
	void *data;
	struct listener all[LISTENER_COUNT];
};

/* Returns whether an attempt to open an address may succeed later. */
static bool
may_succeed_later(int error)
{
	return error != EACCES && error != EPERM && error != EINVAL &&
	    error != EAFNOSUPPORT;
}

static enum retry_result
open_address(void *data, GString *reason)
{
	struct listener *listener = data;
	bool open = listener->server != NULL
	    ? server_listen(listener->server, listener->address)
	    : reports_open(listener->listeners->entry->reports);
	int error = errno;

	if (open)
		return RETRY_DONE;
	g_string_printf(reason, "%s: %s", listener->address, g_strerror(error));
	return may_succeed_later(error) ? RETRY_LATER : RETRY_NEVER;
}

static void
on_failed(void *data)
{
	struct listeners *listeners = ((struct listener *)data)->listeners;

	listeners->failed(listeners->data);
}

static const struct retry_ops required_ops = {open_address, on_failed};
/* Metrics serve operators only, so their address never ends the process. */
static const struct retry_ops optional_ops = {open_address, NULL};

static void
add(struct listeners *listeners, enum listener_id id, const char *address,
    struct server *server)
{
	struct listener *listener = &listeners->all[id];
	struct entry *entry = listeners->entry;

	listener->listeners = listeners;
	listener->address = address;
	listener->server = server;
	listener->retry = retry_create(entry->base, entry->log, &entry->clock,
	    names[id], id == LISTENER_METRICS ? &optional_ops : &required_ops,
	    listener);
}

struct listeners *
listeners_create(struct entry *entry, void (*failed)(void *data), void *data)
{
	struct listeners *listeners = g_new0(struct listeners, 1);
	const struct entry_settings *settings = entry->settings;

	listeners->entry = entry;
	listeners->failed = failed;
	listeners->data = data;
	add(listeners, LISTENER_CALLERS, settings->callers,
	    gateway_server(entry->gateway));
	add(listeners, LISTENER_READINESS, settings->readiness,
	    entry->readiness_server);
	add(listeners, LISTENER_ADDRESSES, settings->addresses,
	    entry->address_server);
	add(listeners, LISTENER_PEERS, settings->peers, entry->change_server);
	add(listeners, LISTENER_REPORTS, settings->peers, NULL);
	add(listeners, LISTENER_METRICS, settings->metrics,
	    entry->metrics_server);
	for (int i = 0; i < LISTENER_COUNT; i++)
		retry_now(listeners->all[i].retry);
	return listeners;
}

void
listeners_destroy(struct listeners *listeners)
{
	if (listeners == NULL)
		return;
	for (int i = 0; i < LISTENER_COUNT; i++)
		retry_destroy(listeners->all[i].retry);
	g_free(listeners);
}
