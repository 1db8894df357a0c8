/**
 * @file
 * The servers of an entry VM beside the one for callers' requests.
 */
#include "entry/explain.h"
#include "entry/gateway.h"
#include "entry/pages.h"
#include "entry/searcher_states.h"
#include "entry/store_sync.h"

static void
on_address_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	GString *fields = g_string_new("Content-Type: application/json\r\n");
	GPtrArray *addresses = g_ptr_array_new();
	struct wv_string own = {"", 0};
	struct wv_string body;

	if (entry_is_ready(entry) && !entry->stopping)
		own = wv_string_borrow(entry->settings->callers);
	wv_peers_list_caller_addresses(
	    entry->peers, entry_now(entry), own, addresses);
	if (addresses->len == 0 &&
	    server_is_listening(gateway_server(entry->gateway)))
		g_ptr_array_add(addresses, entry->settings->callers);
	wv_counter_add(&entry->metrics.address_answers, 1);
	if (!entry->adapter->is_address_query(message_target(message))) {
		server_answer_text(conn, 404, "unknown path\n");
	} else if (addresses->len == 0) {
		server_answer_text(conn, 503, "no VM is known to serve\n");
	} else {
		body = entry->adapter->encode_addresses(
		    addresses, entry->settings->address_lifetime_s * 1000);
		server_answer(conn, 200, fields, body);
		wv_string_clear(&body);
	}
	g_ptr_array_free(addresses, TRUE);
	g_string_free(fields, TRUE);
}

static void
on_readiness_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	bool ready = entry_is_ready(entry) && !entry->stopping;

	if (!entry->adapter->is_readiness_query(message_target(message)))
		server_answer_text(conn, 404, "unknown path\n");
	else
		server_answer_text(
		    conn, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static void
answer_explanation(struct entry *entry, struct server_conn *conn,
    const struct message *message)
{
	GString *fields = g_string_new("Content-Type: application/json\r\n");
	struct wv_string body;
	unsigned status = explain_answer(entry, message_target(message), &body);

	server_answer(conn, status, fields, body);
	wv_string_clear(&body);
	g_string_free(fields, TRUE);
}

static void
on_metrics_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;
	wv_msec now = entry_now(entry);
	struct wv_string body;
	GString *text;

	if (explain_is_query(message_target(message))) {
		answer_explanation(entry, conn, message);
		return;
	}
	if (wv_string_equal(message_target(message),
		wv_string_borrow(SEARCHER_STATES_PATH))) {
		text =
		    searcher_states_list(gateway_registry(entry->gateway), now);
	} else {
		text = metrics_text(
		    &entry->metrics, log_count_dropped(entry->log));
		searcher_states_append_metrics(
		    text, gateway_registry(entry->gateway), now);
	}
	body = (struct wv_string){text->str, text->len};
	server_answer(conn, 200, NULL, body);
	g_string_free(text, TRUE);
}

static void
on_changes_query(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct entry *entry = data;

	store_sync_serve(entry->store, conn, message);
}

static void
ignore_caller_left(void *data, struct server_conn *conn)
{
}

static void
ignore_rejected(void *data, unsigned status)
{
}

static const struct server_ops address_ops = {
    on_address_query, ignore_caller_left, ignore_rejected};
static const struct server_ops readiness_ops = {
    on_readiness_query, ignore_caller_left, ignore_rejected};
static const struct server_ops metrics_ops = {
    on_metrics_query, ignore_caller_left, ignore_rejected};
static const struct server_ops changes_ops = {
    on_changes_query, ignore_caller_left, ignore_rejected};

void
pages_create(struct entry *entry)
{
	struct event_base *base = entry->base;

	entry->address_server = server_create_closed(base, &address_ops, entry);
	entry->readiness_server =
	    server_create_closed(base, &readiness_ops, entry);
	entry->metrics_server = server_create_closed(base, &metrics_ops, entry);
	entry->change_server = server_create_closed(base, &changes_ops, entry);
}

void
pages_destroy(struct entry *entry)
{
	server_destroy(entry->address_server);
	server_destroy(entry->readiness_server);
	server_destroy(entry->metrics_server);
	server_destroy(entry->change_server);
}
