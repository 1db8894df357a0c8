/**
 * @file
 * Reports of a VM's state to other VMs, one UDP datagram each, sent
 * periodically and when the state changes.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/entry.h"
#include "entry/socket.h"
#include "proto/vm_report.pb-c.h"

/** Version of the datagrams; reports of another version are rejected. */
#define PROTOCOL_VERSION 1
/** Largest datagram, bytes. */
#define MAX_DATAGRAM_BYTES 1024
/** Datagrams read in one iteration of the event loop. */
#define MAX_READS 64

struct reports {
	struct entry *entry;
	int fd;
	struct event *read;
	struct event *timer;
	uint64_t sequence; /* number of the last report */
	unsigned alive; /* other VMs alive, as last logged */
	bool failing; /* whether sending fails, as last logged */
};

/* Encodes a report; returns its length, or 0 if it is too large. */
static size_t
pack_report(struct reports *reports, uint8_t buffer[MAX_DATAGRAM_BYTES])
{
	struct entry *entry = reports->entry;
	VmReport report = VM_REPORT__INIT;

	report.protocol = PROTOCOL_VERSION;
	report.name = entry->settings->vm;
	report.incarnation = entry->incarnation;
	report.sequence = ++reports->sequence;
	report.peers = entry->settings->peers;
	report.callers = entry->settings->callers;
	report.zone = entry->settings->zone;
	report.serving = entry_is_ready(entry);
	report.leaving = entry->stopping;
	report.capacity = entry->settings->capacity;
	report.store_failed = store_sync_has_failed(entry->store);
	report.routes_revision =
	    store_sync_revision(entry->store, WV_PEER_ROUTES);
	report.searchers_revision =
	    store_sync_revision(entry->store, WV_PEER_SEARCHERS);
	if (vm_report__get_packed_size(&report) > MAX_DATAGRAM_BYTES)
		return 0;
	return vm_report__pack(&report, buffer);
}

/* Sends a report to an address IP:PORT; returns 0 or an errno value. */
static int
send_to(const struct reports *reports, const char *target,
    const uint8_t *buffer, size_t length)
{
	struct sockaddr_in address;
	ssize_t sent;

	if (!socket_parse_address(target, &address))
		return EADDRNOTAVAIL;
	if (length == 0)
		return EMSGSIZE;
	sent = sendto(reports->fd, buffer, length, MSG_DONTWAIT,
	    (struct sockaddr *)&address, sizeof(address));
	return sent < 0 ? errno : 0;
}

/*
 * Logs when sending begins to fail, with the last error of the round, and when
 * it works again.
 *
 * error: errno value, or 0 if all reports of the round were sent
 */
static void
log_send_state(struct reports *reports, const char *target, int error)
{
	bool failing = error != 0;

	if (failing == reports->failing)
		return;
	reports->failing = failing;
	if (failing)
		log_line(reports->entry->log, LOG_CHANGE, "reports_unsent",
		    "\"target\":\"%s\",\"error\":\"%s\"", target,
		    g_strerror(error));
	else
		log_line(reports->entry->log, LOG_CHANGE, "reports_sent_again",
		    "\"unsent\":%" G_GUINT64_FORMAT,
		    wv_counter_read(&reports->entry->metrics.reports_unsent));
}

void
reports_send(struct reports *reports)
{
	struct entry *entry = reports->entry;
	GPtrArray *targets = g_ptr_array_new();
	uint8_t buffer[MAX_DATAGRAM_BYTES];
	size_t length = pack_report(reports, buffer);
	const char *failed = "";
	int error = 0;

	wv_peers_list_report_addresses(entry->peers, entry_now(entry), targets);
	for (guint i = 0; i < targets->len; i++) {
		int outcome =
		    send_to(reports, targets->pdata[i], buffer, length);

		if (outcome == 0) {
			wv_counter_add(&entry->metrics.reports_sent, 1);
			continue;
		}
		wv_counter_add(&entry->metrics.reports_unsent, 1);
		failed = targets->pdata[i];
		error = outcome;
	}
	if (targets->len > 0)
		log_send_state(reports, failed, error);
	g_ptr_array_free(targets, TRUE);
}

static void
apply_report(struct reports *reports, const VmReport *packed)
{
	struct entry *entry = reports->entry;
	struct wv_peer_report report = {
	    .name = wv_string_borrow(packed->name),
	    .incarnation = packed->incarnation,
	    .sequence = packed->sequence,
	    .peer_address = wv_string_borrow(packed->peers),
	    .caller_address = wv_string_borrow(packed->callers),
	    .zone = wv_string_borrow(packed->zone),
	    .serving = packed->serving,
	    .leaving = packed->leaving,
	    .capacity = packed->capacity,
	    .store_failed = packed->store_failed,
	    .revisions = {packed->routes_revision, packed->searchers_revision},
	};

	wv_peers_apply_report(entry->peers, entry_now(entry), &report);
	wv_counter_add(&entry->metrics.reports_received, 1);
	store_sync_compare_revisions(entry->store, report.revisions);
}

/* Returns whether a report is valid: datagrams are not authenticated. */
static bool
is_valid_report(const VmReport *report)
{
	struct sockaddr_in parsed;

	return report->protocol == PROTOCOL_VERSION &&
	    report->name[0] != '\0' &&
	    socket_parse_address(report->peers, &parsed) &&
	    socket_parse_address(report->callers, &parsed);
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	uint8_t buffer[MAX_DATAGRAM_BYTES];

	(void)what;
	for (int i = 0; i < MAX_READS; i++) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		VmReport *report;

		if (n < 0 && errno == ECONNREFUSED)
			continue;
		if (n <= 0)
			return;
		report = vm_report__unpack(NULL, (size_t)n, buffer);
		if (report != NULL && is_valid_report(report))
			apply_report(reports, report);
		else
			wv_counter_add(
			    &reports->entry->metrics.reports_refused, 1);
		if (report != NULL)
			vm_report__free_unpacked(report, NULL);
	}
}

static void
log_membership(struct reports *reports)
{
	struct entry *entry = reports->entry;
	unsigned n_alive = wv_peers_count_alive(entry->peers, entry_now(entry));

	if (n_alive == reports->alive)
		return;
	log_line(entry->log, LOG_CHANGE, "vms_alive",
	    "\"others\":%u,\"before\":%u", n_alive, reports->alive);
	reports->alive = n_alive;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	struct entry *entry = reports->entry;
	struct timeval time =
	    socket_timeval(wv_peers_report_interval(entry->peers));

	(void)fd;
	(void)what;
	log_membership(reports);
	entry_update_limits(entry);
	store_sync_update_role(entry->store);
	reports_send(reports);
	event_add(reports->timer, &time);
}

struct reports *
reports_create(struct entry *entry)
{
	int fd = socket_datagram(entry->settings->peers);
	struct reports *reports;

	if (fd < 0)
		return NULL;
	reports = g_new0(struct reports, 1);
	reports->entry = entry;
	reports->fd = fd;
	reports->read =
	    event_new(entry->base, fd, EV_READ | EV_PERSIST, on_read, reports);
	reports->timer = event_new(entry->base, -1, 0, on_timer, reports);
	event_add(reports->read, NULL);
	event_active(reports->timer, EV_TIMEOUT, 0);
	return reports;
}

void
reports_destroy(struct reports *reports)
{
	event_free(reports->read);
	event_free(reports->timer);
	close(reports->fd);
	g_free(reports);
}
