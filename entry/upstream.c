/**
 * @file
 * Sends attempts to searchers over pooled connections.
 *
 * An attempt uses a connection alone until its answer is complete. A connection
 * is reused only after a complete answer to its own request.
 */
#include <errno.h>
#include <math.h>

#include "entry/client.h"
#include "entry/searcher_answer.h"
#include "entry/shortage.h"
#include "entry/socket.h"
#include "entry/upstream.h"

/**
 * Time before the searcher's own idle timeout from which a connection is not
 * reused, ms.
 */
#define IDLE_MARGIN 600.0
/**
 * Longest idle time that is assumed to be safe if the searcher's idle timeout
 * is not known, ms.
 */
#define MAX_IDLE_DEFAULT 4000.0
/**
 * Longest idle time of a connection for a request that is not idempotent, ms.
 * If the searcher closes the connection just when the request is sent, it is
 * not known whether the request has run, and it can't be repeated.
 */
#define MAX_IDLE_NON_IDEMPOTENT 300.0
/** Timeout for establishing a connection, ms. */
#define CONNECT_TIMEOUT 400.0

struct upstream {
	struct upstream_deps deps;
	const struct upstream_ops *ops;
	void *data; /* passed to the operations */
	GQueue idle; /* struct connection of all searchers, the longest idle
			first */
	size_t n_conns; /* connections with a client */
	size_t max_conns;
	struct shortage *shortage;
};

/* Idle connections of a searcher. */
struct pool {
	GQueue idle; /* struct connection, the last used first */
};

/* A connection to a searcher: idle in its pool or used by an attempt. */
struct connection {
	struct upstream *upstream;
	GList in_pool; /* in the pool's queue; valid while idle */
	GList in_idle; /* in the queue of all idle ones; valid while idle */
	struct client *client; /* NULL: there was no connection left */
	struct event *timer; /* ends an attempt without a connection */
	struct wv_searcher *searcher; /* valid while idle or in use */
	struct wv_attempt *attempt; /* NULL while idle */
	char *id; /* owned: the caller's identifier of the request */
	wv_msec idle_since; /* monotonic, ms; valid while idle */
};

struct upstream *
upstream_create(const struct upstream_deps *deps,
    const struct upstream_ops *ops, void *data)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->deps = *deps;
	upstream->ops = ops;
	upstream->data = data;
	upstream->max_conns = SIZE_MAX;
	upstream->shortage =
	    shortage_create(deps->base, deps->log, deps->metrics);
	return upstream;
}

void
upstream_destroy(struct upstream *upstream)
{
	shortage_destroy(upstream->shortage);
	g_free(upstream);
}

void
upstream_set_max_conns(struct upstream *upstream, size_t max_conns)
{
	upstream->max_conns = max_conns;
}

static wv_msec
now_of(const struct upstream *upstream)
{
	return wv_clock_now(upstream->deps.clock);
}

/* Passes the end of an attempt to the dispatcher. */
static void
reply_to_dispatch(struct upstream *upstream, struct wv_attempt *attempt,
    const struct wv_reply *reply)
{
	wv_dispatch_reply(
	    upstream->deps.dispatch, now_of(upstream), attempt, reply);
	upstream->ops->replied(upstream->data);
}

/* Closes a connection that is not idle. */
static void
connection_destroy(struct connection *conn)
{
	event_free(conn->timer);
	if (conn->client != NULL) {
		client_destroy(conn->client);
		conn->upstream->n_conns--;
	}
	g_free(conn->id);
	g_free(conn);
}

/* Returns the pool of a searcher and creates it if necessary. */
static struct pool *
get_pool(struct wv_searcher *searcher)
{
	if (searcher->link == NULL)
		searcher->link = g_new0(struct pool, 1);
	return searcher->link;
}

static void
add_idle(struct connection *conn)
{
	conn->in_pool.data = conn;
	conn->in_idle.data = conn;
	g_queue_push_head_link(&get_pool(conn->searcher)->idle, &conn->in_pool);
	g_queue_push_tail_link(&conn->upstream->idle, &conn->in_idle);
}

static void
remove_idle(struct connection *conn)
{
	g_queue_unlink(&get_pool(conn->searcher)->idle, &conn->in_pool);
	g_queue_unlink(&conn->upstream->idle, &conn->in_idle);
}

/* Returns the connection of a searcher that was used last, or NULL. */
static struct connection *
take_idle(struct wv_searcher *searcher)
{
	struct connection *conn = g_queue_peek_head(&get_pool(searcher)->idle);

	if (conn != NULL)
		remove_idle(conn);
	return conn;
}

static void
close_idle(struct wv_searcher *searcher)
{
	struct connection *conn;

	while ((conn = take_idle(searcher)) != NULL)
		connection_destroy(conn);
}

void
upstream_close_idle(struct wv_searcher *searcher)
{
	if (searcher->link == NULL)
		return;
	close_idle(searcher);
	g_free(searcher->link);
	searcher->link = NULL;
}

/*
 * Closes a connection and reports the end of its attempt to the dispatcher,
 * which may send another attempt that needs the descriptor.
 */
static void
end_attempt(struct connection *conn, const struct wv_reply *reply)
{
	struct wv_attempt *attempt = conn->attempt;
	struct upstream *upstream = conn->upstream;

	connection_destroy(conn);
	attempt->link = NULL;
	reply_to_dispatch(upstream, attempt, reply);
}

static void
return_to_pool(struct connection *conn)
{
	struct wv_searcher *searcher = conn->searcher;

	event_del(conn->timer);
	if (!client_is_reusable(conn->client) || searcher->removed) {
		connection_destroy(conn);
		return;
	}
	conn->idle_since = now_of(conn->upstream);
	add_idle(conn);
}

/*
 * Returns whether an answer belongs to the request in progress: it has the same
 * identifier. One without an identifier belongs only to a request without one.
 */
static bool
answers_request(const struct connection *conn, const struct message *answer)
{
	struct wv_string id = {"", 0};

	return message_find_field(answer,
		   conn->upstream->deps.adapter->request_id, &id) <= 1 &&
	    wv_string_equal(id, wv_string_borrow(conn->id));
}

static void
record_leaving(
    const struct upstream_deps *deps, const struct wv_searcher *searcher)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	wv_counter_add(&deps->metrics->searchers_leaving, 1);
	log_line(deps->log, LOG_CHANGE, "searcher_leaving",
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"address\":\"%s\"",
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service->name, service, sizeof(service)),
	    searcher->address.data);
}

static void
record_rest(const struct upstream_deps *deps,
    const struct wv_searcher *searcher, wv_msec rest)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	wv_counter_add(&deps->metrics->searchers_resting, 1);
	log_line(deps->log, LOG_FAILURE, "searcher_rests",
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"rest_ms\":%.0f",
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service->name, service, sizeof(service)),
	    rest);
}

/* Counts and logs that a searcher becomes cold by its own answer. */
static void
record_cold(const struct upstream_deps *deps,
    const struct wv_searcher *searcher, wv_msec now, wv_msec cold)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	if (cold <= 0 || searcher->service->cold_rate <= 0 ||
	    wv_searcher_cold_left(searcher, now) > 0)
		return;
	wv_counter_add(&deps->metrics->searchers_cold, 1);
	log_line(deps->log, LOG_CHANGE, "searcher_cold",
	    "\"searcher\":\"%s\",\"service\":\"%s\",\"cold_ms\":%.0f,"
	    "\"known_ms_ago\":%.0f,\"window_sent\":%u",
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service->name, service, sizeof(service)), cold,
	    now - searcher->cold_told_at, searcher->cold_credit.total);
}

/*
 * Reads the reported load. An answer that proves nothing may be another
 * server's.
 */
static void
read_load(const struct upstream_deps *deps, const struct message *answer,
    struct wv_reply *reply)
{
	enum load_presence presence;

	if (reply->end == WV_END_WRONG_SEARCHER || reply->end == WV_END_BROKEN)
		return;
	presence = searcher_answer_load(deps->adapter, answer, &reply->load);
	reply->has_load = presence == LOAD_PRESENT;
	if (presence == LOAD_PRESENT)
		wv_counter_add(&deps->metrics->loads_reported, 1);
	else if (presence == LOAD_MALFORMED)
		wv_counter_add(&deps->metrics->loads_malformed, 1);
}

/* Reads what an answer says of the searcher that has sent it. */
static void
read_statements(const struct upstream *upstream,
    const struct wv_searcher *searcher, const struct message *answer,
    struct wv_reply *reply)
{
	const struct upstream_deps *deps = &upstream->deps;

	/* Another searcher speaks of itself. */
	if (reply->end != WV_END_WRONG_SEARCHER) {
		reply->leaving =
		    searcher_answer_says_leaving(deps->adapter, answer);
		reply->has_cold =
		    searcher_answer_cold(deps->adapter, answer, &reply->cold);
	}
	read_load(deps, answer, reply);
	if (reply->leaving && !searcher->leaving)
		record_leaving(deps, searcher);
	if (reply->has_cold)
		record_cold(deps, searcher, now_of(upstream), reply->cold);
	reply->rest = searcher_answer_rest(answer);
	if (reply->rest > 0)
		record_rest(deps, searcher, reply->rest);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct connection *conn = data;
	struct upstream *upstream = conn->upstream;
	const struct upstream_deps *deps = &upstream->deps;
	struct wv_reply reply = {0};
	struct wv_attempt *attempt = conn->attempt;

	(void)client;
	if (!answers_request(conn, answer)) {
		wv_counter_add(&deps->metrics->stale_answers, 1);
		message_destroy(answer);
		return false;
	}
	reply.end = searcher_answer_classify(
	    deps->adapter, answer, attempt->searcher->id);
	read_statements(upstream, attempt->searcher, answer, &reply);
	reply.success = answer->status >= 200 && answer->status < 300;
	reply.message = answer;
	if (reply.end == WV_END_BROKEN) {
		message_destroy(answer);
		reply.message = NULL;
	}
	metrics_add_latency(
	    &deps->metrics->attempt_ms, now_of(upstream) - attempt->sent_at);
	/*
	 * The dispatcher may send another attempt from wv_dispatch_reply(), so
	 * the connection is returned to the pool before.
	 */
	conn->attempt = NULL;
	attempt->link = NULL;
	return_to_pool(conn);
	reply_to_dispatch(upstream, attempt, &reply);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	struct connection *conn = data;
	struct wv_reply reply = {
	    .end = end == CLIENT_CLOSED ? WV_END_RESET : WV_END_BROKEN};

	if (conn->attempt == NULL) {
		remove_idle(conn);
		connection_destroy(conn);
		return;
	}
	if (end == CLIENT_REFUSED || client_is_unsent(client))
		reply.end = WV_END_NOT_SENT;
	else
		close_idle(conn->searcher);
	end_attempt(conn, &reply);
}

static const struct client_ops ops = {on_answer, on_end};

/* Ends an attempt that got no connection, or not in time. */
static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct connection *conn = data;
	struct wv_reply reply = {.end = WV_END_NOT_SENT};

	(void)fd;
	(void)what;
	if (conn->client == NULL || !client_is_connected(conn->client))
		end_attempt(conn, &reply);
}

/* Returns whether an error says that the process or the system has no more. */
static bool
is_shortage(int error)
{
	return error == EMFILE || error == ENFILE || error == ENOBUFS ||
	    error == ENOMEM;
}

/* Begins to connect; returns NULL with an errno value if nothing is left. */
static struct client *
connect_client(struct connection *conn, int *error)
{
	const struct upstream_deps *deps = &conn->upstream->deps;
	struct client *client =
	    client_create(deps->base, conn->searcher->address.data, &ops, conn);

	*error = client_error(client);
	if (is_shortage(*error)) {
		client_destroy(client);
		return NULL;
	}
	client_limit_memory(client, deps->memory);
	wv_counter_add(&deps->metrics->connections_opened, 1);
	return client;
}

/*
 * Closes the connection that has been idle longest, of all searchers. Returns
 * whether there was one.
 *
 * error: errno value of the shortage, or 0 for the end of the share
 */
static bool
yield_idle(struct upstream *upstream, int error)
{
	struct connection *conn = g_queue_peek_head(&upstream->idle);

	if (conn == NULL)
		return false;
	remove_idle(conn);
	connection_destroy(conn);
	wv_counter_add(&upstream->deps.metrics->outgoing_yielded, 1);
	shortage_note(upstream->shortage, error);
	return true;
}

/*
 * Begins to connect. At the end of the share or of the descriptors, idle
 * connections yield until there is room; returns NULL if none is left. Several
 * may have to yield if the process's limit was lowered.
 */
static struct client *
acquire_client(struct connection *conn)
{
	struct upstream *upstream = conn->upstream;
	struct client *client = NULL;
	int error = 0;

	if (upstream->n_conns < upstream->max_conns)
		client = connect_client(conn, &error);
	while (client == NULL && yield_idle(upstream, error))
		client = connect_client(conn, &error);
	if (client == NULL) {
		wv_counter_add(&upstream->deps.metrics->outgoing_refused, 1);
		shortage_note(upstream->shortage, error);
	}
	return client;
}

static struct connection *
open_connection(struct upstream *upstream, struct wv_searcher *searcher)
{
	struct timeval time = socket_timeval(CONNECT_TIMEOUT);
	struct connection *conn = g_new0(struct connection, 1);

	conn->upstream = upstream;
	conn->searcher = searcher;
	conn->timer = event_new(upstream->deps.base, -1, 0, on_timer, conn);
	conn->client = acquire_client(conn);
	if (conn->client == NULL) {
		event_active(conn->timer, EV_TIMEOUT, 0);
		return conn;
	}
	upstream->n_conns++;
	event_add(conn->timer, &time);
	return conn;
}

/* Returns how long a connection may have been idle to be reused, ms. */
static wv_msec
max_idle_time(const struct connection *conn, bool idempotent)
{
	wv_msec stated = client_idle_limit(conn->client);
	wv_msec limit =
	    stated > 0 ? fmax(stated - IDLE_MARGIN, 0) : MAX_IDLE_DEFAULT;

	return idempotent ? limit : fmin(limit, MAX_IDLE_NON_IDEMPOTENT);
}

/*
 * Returns an idle connection that may be reused, or a new one, whose client is
 * NULL if nothing is left for it.
 */
static struct connection *
acquire_connection(struct upstream *upstream, struct wv_attempt *attempt)
{
	struct wv_searcher *searcher = attempt->searcher;
	wv_msec now = now_of(upstream);
	struct connection *conn = take_idle(searcher);

	if (conn == NULL)
		return open_connection(upstream, searcher);
	if (now - conn->idle_since > max_idle_time(conn, attempt->idempotent)) {
		connection_destroy(conn);
		return open_connection(upstream, searcher);
	}
	return conn;
}

static GString *
compose_request(const struct platform_adapter *adapter,
    const struct wv_attempt *attempt, const struct upstream_request *request)
{
	GString *out = g_string_sized_new(request->head->len + 160);
	wv_msec left = attempt->deadline - attempt->sent_at;

	g_string_append_len(
	    out, request->head->str, (gssize)request->head->len);
	g_string_append_printf(out, "%s: %.0f\r\n%s: ", adapter->deadline,
	    fmax(floor(left), 1), adapter->expected_searcher);
	g_string_append_len(out, attempt->searcher->id.data,
	    (gssize)attempt->searcher->id.length);
	g_string_append_len(out, "\r\n\r\n", 4);
	g_string_append_len(
	    out, request->body->str, (gssize)request->body->len);
	return out;
}

void
upstream_send(struct upstream *upstream, struct wv_attempt *attempt,
    const struct upstream_request *request)
{
	struct connection *conn = acquire_connection(upstream, attempt);
	struct metrics *metrics = upstream->deps.metrics;
	GString *bytes;

	g_free(conn->id);
	conn->id = g_strndup(request->id.data, request->id.length);
	conn->attempt = attempt;
	attempt->link = conn;
	wv_counter_add(&metrics->attempts, 1);
	if (attempt->extra)
		wv_counter_add(&metrics->attempts_extra, 1);
	if (conn->client == NULL)
		return;
	bytes = compose_request(upstream->deps.adapter, attempt, request);
	client_send(conn->client, (struct wv_string){bytes->str, bytes->len},
	    request->is_head);
	g_string_free(bytes, TRUE);
}

void
upstream_cancel(struct wv_attempt *attempt)
{
	struct connection *conn = attempt->link;

	attempt->link = NULL;
	if (conn != NULL)
		connection_destroy(conn);
}
