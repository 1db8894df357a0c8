/**
 * @file
 * Reports between VMs, one datagram each.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/entry.h"
#include "entry/socket.h"
#include "proto/vm_report.pb-c.h"

/** Version of the datagrams. */
#define PROTOCOL 1
/** Longest datagram, bytes. */
#define DATAGRAM_MOST 1024
/** Datagrams read in one turn of the loop. */
#define READ_MOST 64

struct reports {
	struct entry *entry;
	int fd;
	struct event *read;
	struct event *timer;
	uint64_t sequence;
	unsigned alive; /* as last logged */
	bool failing; /* as last logged: a report could not be sent */
};

static size_t
pack(struct reports *reports, uint8_t buffer[DATAGRAM_MOST])
{
	struct entry *entry = reports->entry;
	VmReport report = VM_REPORT__INIT;

	report.protocol = PROTOCOL;
	report.name = entry->settings->vm;
	report.incarnation = entry->incarnation;
	report.sequence = ++reports->sequence;
	report.peers = entry->settings->peers;
	report.callers = entry->settings->callers;
	report.zone = entry->settings->zone;
	report.serving = entry_is_ready(entry);
	report.leaving = entry->stopping;
	report.capacity = entry->settings->capacity;
	report.store_failed = store_sync_failed(entry->store);
	report.routes_revision =
	    store_sync_revision(entry->store, WV_PEER_ROUTES);
	report.searchers_revision =
	    store_sync_revision(entry->store, WV_PEER_SEARCHERS);
	if (vm_report__get_packed_size(&report) > DATAGRAM_MOST)
		return 0;
	return vm_report__pack(&report, buffer);
}

/* Sends one report; returns 0 or the error. */
static int
send_to(const struct reports *reports, const char *target,
    const uint8_t *buffer, size_t length)
{
	struct sockaddr_in address;
	ssize_t sent;

	if (!socket_parse(target, &address))
		return EADDRNOTAVAIL;
	if (length == 0)
		return EMSGSIZE;
	sent = sendto(reports->fd, buffer, length, MSG_DONTWAIT,
	    (struct sockaddr *)&address, sizeof(address));
	return sent < 0 ? errno : 0;
}

/*
 * Logs when sending begins to fail, with one of the errors, and when it is
 * possible again.
 */
static void
log_sending(struct reports *reports, const char *target, int error)
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
	uint8_t buffer[DATAGRAM_MOST];
	size_t length = pack(reports, buffer);
	const char *failed = "";
	int error = 0;

	wv_peers_targets(entry->peers, entry_now(entry), targets);
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
		log_sending(reports, failed, error);
	g_ptr_array_free(targets, TRUE);
}

static void
take(struct reports *reports, const VmReport *packed)
{
	struct entry *entry = reports->entry;
	struct wv_peer_report report = {
	    .name = wv_string_borrow(packed->name),
	    .incarnation = packed->incarnation,
	    .sequence = packed->sequence,
	    .peers = wv_string_borrow(packed->peers),
	    .callers = wv_string_borrow(packed->callers),
	    .zone = wv_string_borrow(packed->zone),
	    .serving = packed->serving,
	    .leaving = packed->leaving,
	    .capacity = packed->capacity,
	    .store_failed = packed->store_failed,
	    .revisions = {packed->routes_revision, packed->searchers_revision},
	};

	wv_peers_heard(entry->peers, entry_now(entry), &report);
	wv_counter_add(&entry->metrics.reports_received, 1);
	store_sync_heard(entry->store, report.revisions);
}

/* Whether a report can be used; anybody may send a datagram. */
static bool
is_sound(const VmReport *report)
{
	struct sockaddr_in parsed;

	return report->protocol == PROTOCOL && report->name[0] != '\0' &&
	    socket_parse(report->peers, &parsed) &&
	    socket_parse(report->callers, &parsed);
}

static void
on_read(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	uint8_t buffer[DATAGRAM_MOST];

	(void)what;
	for (int i = 0; i < READ_MOST; i++) {
		ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		VmReport *report;

		if (n < 0 && errno == ECONNREFUSED)
			continue;
		if (n <= 0)
			return;
		report = vm_report__unpack(NULL, (size_t)n, buffer);
		if (report != NULL && is_sound(report))
			take(reports, report);
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
	unsigned alive = wv_peers_alive(entry->peers, entry_now(entry));

	if (alive == reports->alive)
		return;
	log_line(entry->log, LOG_CHANGE, "vms_alive",
	    "\"others\":%u,\"before\":%u", alive, reports->alive);
	reports->alive = alive;
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct reports *reports = data;
	struct entry *entry = reports->entry;
	struct timeval time = socket_timeval(wv_peers_interval(entry->peers));

	(void)fd;
	(void)what;
	log_membership(reports);
	entry_set_terms(entry);
	store_sync_check(entry->store);
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
