/**
 * @file
 * Decides whether callers' requests may be submitted, and answers those that
 * may not.
 */
#include <math.h>
#include <string.h>

#include "entry/admission.h"
#include "entry/authorize.h"
#include "entry/caller_answer.h"

/**
 * Retry-After while this VM does not know routes or searchers yet: a part of
 * the time since its start, within limits, ms. Most starts take less than the
 * least one; the longer a start takes, the longer it is likely to take.
 */
#define NOT_READY_PART 0.5
#define MIN_RETRY_NOT_READY 100.0
#define MAX_RETRY_NOT_READY 1000.0
/** Largest random part added to it, so that callers don't return together. */
#define NOT_READY_JITTER 0.3
/**
 * Retry-After while the routes are not confirmed, ms: a watcher's call of the
 * store and a report take so long.
 */
#define RETRY_AFTER_UNCONFIRMED 1000.0

struct admission {
	struct admission_deps deps;
	const struct admission_ops *ops;
	void *data; /* passed to the operations */
	struct wv_routes *routes; /* newest version; NULL: none yet */
	wv_msec started_at; /* monotonic, ms */
	bool refusing; /* this VM stops: further requests are refused */
};

/* more: further JSON members, each with a comma before it */
static void
log_refusal(struct admission *admission, const struct message *message,
    unsigned status, const char *reason, const char *more)
{
	struct wv_string id = {"", 0};
	char text[LOG_REQUEST_ID_SIZE];

	message_find_field(message, admission->deps.adapter->request_id, &id);
	log_line(admission->deps.log, LOG_FAILURE, "request_refused",
	    "\"id\":\"%s\",\"status\":%u,\"reason\":\"%s\","
	    "\"routes_version\":%" G_GUINT64_FORMAT "%s",
	    log_escape(id, text, sizeof(text)), status, reason,
	    admission->routes == NULL ? 0 : admission->routes->version, more);
}

/* Logs a request that the quota of its team does not permit. */
static void
log_quota_refusal(struct admission *admission, const struct message *message,
    const struct wv_team *team, wv_msec retry_after)
{
	struct wv_quota_state state = {0};
	char name[LOG_NAME_SIZE];
	char *more;

	quota_gate_read(admission->deps.quota_gate, team, &state);
	more = g_strdup_printf(
	    ",\"team\":\"%s\",\"fraction\":%.4f,\"demand\":%.1f,"
	    "\"permitted\":%.1f,\"retry_after_ms\":%.0f",
	    log_escape(team->name, name, sizeof(name)), state.part.rate,
	    state.demand, state.permitted, retry_after);
	log_refusal(admission, message, 429, "quota", more);
	g_free(more);
}

/* Refuses a request that is not submitted. */
static void
refuse_not_run(struct admission *admission, struct server_conn *conn,
    const struct message *message, const char *reason, wv_msec retry_after)
{
	log_refusal(admission, message, 503, reason, "");
	wv_counter_add(&admission->deps.metrics->refused_not_run, 1);
	caller_answer_not_run(conn, 503, retry_after);
}

void
admission_refuse_stopping(struct admission *admission, struct server_conn *conn,
    const struct message *message)
{
	refuse_not_run(admission, conn, message, "stopping", 0);
}

void
admission_refuse_quota(struct admission *admission, struct server_conn *conn,
    const struct message *message, const struct wv_team *team,
    wv_msec retry_after)
{
	log_quota_refusal(admission, message, team, retry_after);
	wv_counter_add(&admission->deps.metrics->refused_quota, 1);
	caller_answer_not_run(conn, 429, retry_after);
}

/* Returns the Retry-After of a VM that is not ready, ms. */
static wv_msec
choose_retry_not_ready(const struct admission *admission)
{
	wv_msec elapsed =
	    wv_clock_now(admission->deps.clock) - admission->started_at;
	wv_msec time = fmin(fmax(NOT_READY_PART * elapsed, MIN_RETRY_NOT_READY),
	    MAX_RETRY_NOT_READY);

	return time * (1 + NOT_READY_JITTER * g_random_double());
}

/*
 * Parses how long the caller waits, ms. Returns false if the field occurs twice
 * or is not a number.
 */
static bool
parse_deadline(const struct admission *admission, const struct message *message,
    uint64_t *deadline)
{
	struct wv_string text;
	unsigned n = message_find_field(
	    message, admission->deps.adapter->deadline, &text);

	*deadline = ADMISSION_DEFAULT_DEADLINE;
	return n == 0 || (n == 1 && message_parse_number(text, deadline));
}

static bool
is_origin_form(struct wv_string target)
{
	return target.length > 0 && target.data[0] == '/';
}

bool
admission_check_form(struct admission *admission, struct server_conn *conn,
    const struct message *message, uint64_t *deadline)
{
	if (message_find_field(message, "host", NULL) == 1 &&
	    is_origin_form(message_target(message)) &&
	    message_find_field(
		message, admission->deps.adapter->request_id, NULL) <= 1 &&
	    parse_deadline(admission, message, deadline))
		return true;
	log_refusal(admission, message, 400, "malformed", "");
	wv_counter_add(&admission->deps.metrics->malformed, 1);
	server_answer_text(conn, 400, "malformed request\n");
	return false;
}

/* Answers a request without a key that a team has. */
static void
refuse_unauthorized(struct admission *admission, struct server_conn *conn,
    const struct message *message, enum authorization why)
{
	GString *fields = g_string_new("Content-Type: text/plain\r\n");

	g_string_append_printf(fields, "WWW-Authenticate: %s\r\n",
	    admission->deps.adapter->key_scheme);
	log_refusal(admission, message, 401, authorization_name(why), "");
	wv_counter_add(&admission->deps.metrics->unauthorized, 1);
	server_answer(conn, 401, fields, wv_string_borrow("no valid key\n"));
	g_string_free(fields, TRUE);
}

static struct wv_string
path_of(struct wv_string target)
{
	const char *query = memchr(target.data, '?', target.length);

	if (query != NULL)
		target.length = (size_t)(query - target.data);
	return target;
}

bool
admission_find_target(struct admission *admission, struct server_conn *conn,
    const struct message *message, const struct wv_route **route,
    const struct wv_team **team)
{
	enum authorization authorization;
	struct wv_string host;

	if (!admission->ops->is_ready(admission->data)) {
		refuse_not_run(admission, conn, message, "not_ready",
		    choose_retry_not_ready(admission));
		return false;
	}
	if (admission->refusing) {
		admission_refuse_stopping(admission, conn, message);
		return false;
	}
	message_find_field(message, "host", &host);
	*route = wv_routes_find(
	    admission->routes, host, path_of(message_target(message)));
	if (authorize_needs_key(admission->routes, *route) &&
	    !admission->ops->is_confirmed(admission->data)) {
		refuse_not_run(admission, conn, message, "unconfirmed",
		    RETRY_AFTER_UNCONFIRMED);
		return false;
	}
	authorization = authorize_request(
	    admission->deps.adapter, admission->routes, *route, message, team);
	if (authorization != AUTHORIZED) {
		refuse_unauthorized(admission, conn, message, authorization);
		return false;
	}
	if (*route == NULL) {
		log_refusal(admission, message, 404, "no_route", "");
		wv_counter_add(&admission->deps.metrics->no_route, 1);
		server_answer_text(conn, 404, "no route\n");
		return false;
	}
	return true;
}

struct admission *
admission_create(const struct admission_deps *deps,
    const struct admission_ops *ops, void *data)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->deps = *deps;
	admission->ops = ops;
	admission->data = data;
	admission->started_at = wv_clock_now(deps->clock);
	return admission;
}

void
admission_destroy(struct admission *admission)
{
	wv_routes_unref(admission->routes);
	g_free(admission);
}

void
admission_set_routes(struct admission *admission, struct wv_routes *routes)
{
	wv_routes_unref(admission->routes);
	admission->routes = wv_routes_ref(routes);
}

void
admission_refuse_new(struct admission *admission)
{
	admission->refusing = true;
}

bool
admission_is_refusing(const struct admission *admission)
{
	return admission->refusing;
}
