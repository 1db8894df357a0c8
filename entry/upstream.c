/**
 * @file
 * Connections to searchers.
 *
 * An attempt holds a connection until its answer is complete. A connection is
 * used again only after a whole answer to its own request.
 */
#include <math.h>

#include "entry/client.h"
#include "entry/socket.h"
#include "entry/upstream.h"

/** Time before the searcher's own limit at which a connection is closed. */
#define IDLE_MARGIN 600.0 /* ms */
/** Idle time that is assumed to be safe while the limit is not known, ms. */
#define IDLE_UNKNOWN 4000.0
/**
 * Longest idle time of a connection for a request that may run only once. If
 * the searcher closes it at that moment, nobody knows whether it has run.
 */
#define IDLE_ONCE 300.0
/** Longest time for a new connection, ms. */
#define CONNECT_TIMEOUT 400.0

/* Connections of one searcher that have no request. */
struct pool {
	GQueue idle; /* struct link, the latest used first */
};

/* One connection. */
struct link {
	struct entry *entry;
	struct client *client;
	struct event *timer; /* connect timeout */
	struct wv_searcher *searcher; /* valid while idle or in use */
	struct wv_attempt *attempt; /* NULL while idle */
	char *id; /* owned: identifier of the request in progress */
	wv_msec idle_since;
};

static void
link_destroy(struct link *link)
{
	event_free(link->timer);
	client_destroy(link->client);
	g_free(link->id);
	g_free(link);
}

static struct pool *
pool_of(struct wv_searcher *searcher)
{
	if (searcher->link == NULL)
		searcher->link = g_new0(struct pool, 1);
	return searcher->link;
}

static void
drop_idle(struct wv_searcher *searcher)
{
	struct link *link;

	while ((link = g_queue_pop_head(&pool_of(searcher)->idle)) != NULL)
		link_destroy(link);
}

void
upstream_release(struct wv_searcher *searcher)
{
	if (searcher->link == NULL)
		return;
	drop_idle(searcher);
	g_free(searcher->link);
	searcher->link = NULL;
}

static void
report(struct link *link, const struct wv_reply *reply)
{
	struct wv_attempt *attempt = link->attempt;
	struct entry *entry = link->entry;

	link->attempt = NULL;
	attempt->link = NULL;
	wv_dispatch_reply(entry->dispatch, entry_now(entry), attempt, reply);
	entry_arm(entry);
}

static void
keep_or_destroy(struct link *link)
{
	struct wv_searcher *searcher = link->searcher;

	event_del(link->timer);
	if (!client_reusable(link->client) || searcher->gone) {
		link_destroy(link);
		return;
	}
	link->idle_since = entry_now(link->entry);
	g_queue_push_head(&pool_of(searcher)->idle, link);
}

static enum wv_attempt_end
judge(const struct dialect *dialect, const struct message *answer)
{
	if (answer->status == 421)
		return WV_END_WRONG_SEARCHER;
	if (message_find(answer, dialect->not_run, NULL) > 0)
		return WV_END_REJECTED;
	if (message_find(answer, dialect->signature, NULL) != 1)
		return WV_END_BROKEN;
	return answer->status < 500 ? WV_END_ANSWERED : WV_END_FAILED;
}

/* Whether the answer belongs to the request in progress. */
static bool
is_own(const struct link *link, const struct message *answer)
{
	struct wv_string id;

	if (message_find(answer, link->entry->dialect->request_id, &id) == 0)
		return true;
	return wv_string_equal(id, wv_string_borrow(link->id));
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct link *link = data;
	struct entry *entry = link->entry;
	struct wv_reply reply = {0};
	struct wv_attempt *attempt = link->attempt;

	(void)client;
	if (!is_own(link, answer)) {
		wv_counter_add(&entry->metrics.stale_answers, 1);
		message_destroy(answer);
		return false;
	}
	reply.end = judge(entry->dialect, answer);
	reply.success = answer->status >= 200 && answer->status < 300;
	reply.message = answer;
	if (reply.end == WV_END_BROKEN) {
		message_destroy(answer);
		reply.message = NULL;
	}
	metrics_add(
	    &entry->metrics.attempt_ms, entry_now(entry) - attempt->sent_at);
	/* The connection is free before the next attempt looks for one. */
	link->attempt = NULL;
	attempt->link = NULL;
	keep_or_destroy(link);
	wv_dispatch_reply(entry->dispatch, entry_now(entry), attempt, &reply);
	entry_arm(entry);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end end)
{
	struct link *link = data;
	struct wv_reply reply = {.end = WV_END_BROKEN};

	if (link->attempt == NULL) {
		g_queue_remove(&pool_of(link->searcher)->idle, link);
		link_destroy(link);
		return;
	}
	if (end == CLIENT_REFUSED || client_untouched(client))
		reply.end = WV_END_NOT_SENT;
	else
		drop_idle(link->searcher);
	report(link, &reply);
	link_destroy(link);
}

static const struct client_ops ops = {on_answer, on_end};

static void
on_connect_timeout(evutil_socket_t fd, short what, void *data)
{
	struct link *link = data;
	struct wv_reply reply = {.end = WV_END_NOT_SENT};

	(void)fd;
	(void)what;
	if (link->attempt == NULL || client_connected(link->client))
		return;
	report(link, &reply);
	link_destroy(link);
}

static struct link *
open_link(struct entry *entry, struct wv_searcher *searcher)
{
	struct timeval time = socket_timeval(CONNECT_TIMEOUT);
	struct link *link = g_new0(struct link, 1);

	link->entry = entry;
	link->searcher = searcher;
	link->client =
	    client_create(entry->base, searcher->address.data, &ops, link);
	link->timer = event_new(entry->base, -1, 0, on_connect_timeout, link);
	event_add(link->timer, &time);
	wv_counter_add(&entry->metrics.connections_opened, 1);
	return link;
}

/* How long a connection may have been idle to be used again. */
static wv_msec
idle_limit(const struct link *link, bool idempotent)
{
	wv_msec stated = client_idle_limit(link->client);
	wv_msec limit =
	    stated > 0 ? fmax(stated - IDLE_MARGIN, 0) : IDLE_UNKNOWN;

	return idempotent ? limit : fmin(limit, IDLE_ONCE);
}

static struct link *
take_link(struct entry *entry, struct wv_attempt *attempt)
{
	struct wv_searcher *searcher = attempt->searcher;
	wv_msec now = entry_now(entry);
	struct link *link = g_queue_pop_head(&pool_of(searcher)->idle);

	if (link == NULL)
		return open_link(entry, searcher);
	if (now - link->idle_since > idle_limit(link, attempt->idempotent)) {
		link_destroy(link);
		return open_link(entry, searcher);
	}
	return link;
}

static GString *
compose(const struct entry *entry, const struct wv_attempt *attempt,
    const struct upstream_request *request)
{
	const struct dialect *dialect = entry->dialect;
	GString *out = g_string_sized_new(request->head->len + 160);
	wv_msec left = attempt->deadline - attempt->sent_at;

	g_string_append_len(
	    out, request->head->str, (gssize)request->head->len);
	g_string_append_printf(out, "%s: %.0f\r\n%s: ", dialect->deadline,
	    fmax(floor(left), 1), dialect->expected_searcher);
	g_string_append_len(out, attempt->searcher->id.data,
	    (gssize)attempt->searcher->id.length);
	g_string_append_len(out, "\r\n\r\n", 4);
	g_string_append_len(
	    out, request->body->str, (gssize)request->body->len);
	return out;
}

void
upstream_send(struct entry *entry, struct wv_attempt *attempt,
    const struct upstream_request *request)
{
	struct link *link = take_link(entry, attempt);
	GString *bytes = compose(entry, attempt, request);
	struct wv_string text = {bytes->str, bytes->len};

	g_free(link->id);
	link->id = g_strndup(request->id.data, request->id.length);
	link->attempt = attempt;
	attempt->link = link;
	wv_counter_add(&entry->metrics.attempts, 1);
	if (attempt->extra)
		wv_counter_add(&entry->metrics.attempts_extra, 1);
	client_send(link->client, text, request->is_head);
	g_string_free(bytes, TRUE);
}

void
upstream_cancel(struct wv_attempt *attempt)
{
	struct link *link = attempt->link;

	attempt->link = NULL;
	if (link != NULL)
		link_destroy(link);
}
