/**
 * @file
 * Answers to callers.
 */
#include "entry/caller_answer.h"
#include "entry/searcher_answer.h"
#include "wisteriavane/merge.h"

void
caller_answer_not_run(
    struct server_conn *conn, unsigned status, wv_msec retry_after)
{
	GString *fields = g_string_new(NULL);

	g_string_append_printf(fields,
	    "Content-Type: text/plain\r\nRetry-After: %.2f\r\n",
	    retry_after / 1000);
	server_answer(conn, status, fields, wv_string_borrow("not run\n"));
	g_string_free(fields, TRUE);
}

static void
append_answer_fields(GString *fields, const struct message *answer)
{
	for (guint i = 0; i < answer->fields->len; i++) {
		if (!message_is_hop_by_hop_field(answer, i))
			message_append_field(fields,
			    message_field_name(answer, i),
			    message_field_value(answer, i));
	}
}

/* Relays a searcher's answer and releases it; returns its status. */
static unsigned
answer_relayed(struct server_conn *conn, struct message *answer)
{
	struct wv_string body = {answer->body->str, answer->body->len};
	GString *fields = g_string_sized_new(256);
	unsigned status = answer->status;

	append_answer_fields(fields, answer);
	server_answer(conn, status, fields, body);
	g_string_free(fields, TRUE);
	message_destroy(answer);
	return status;
}

static void
append_signatures(GString *fields, const struct platform_adapter *adapter,
    const struct wv_task *task)
{
	const char *separator = "";

	g_string_append_printf(fields, "%s: ", adapter->part_signatures);
	for (size_t i = 0; i < task->n_shards; i++) {
		struct message *part = task->shards[i].message;
		struct wv_string signature;

		if (part == NULL)
			continue;
		message_find_field(part, adapter->signature, &signature);
		g_string_append(fields, separator);
		g_string_append_len(
		    fields, signature.data, (gssize)signature.length);
		separator = ", ";
	}
	g_string_append_printf(fields, "\r\n%s: %zu\r\n",
	    adapter->missing_parts, task->n_shards - task->included);
}

/* Answers with the greatest records of the parts that a task has received. */
static void
answer_merged(const struct platform_adapter *adapter, struct server_conn *conn,
    const struct wv_task *task)
{
	struct wv_string *parts = g_new0(struct wv_string, task->n_shards);
	GString *fields = g_string_sized_new(512);
	struct wv_string merged;
	size_t n = 0;

	for (size_t i = 0; i < task->n_shards; i++) {
		struct message *part = task->shards[i].message;

		if (part == NULL)
			continue;
		parts[n].data = part->body->str;
		parts[n++].length = part->body->len;
	}
	merged = wv_merge_top_k(parts, n, task->route->top_k);
	append_signatures(fields, adapter, task);
	server_answer(conn, 200, fields, merged);
	wv_string_clear(&merged);
	g_string_free(fields, TRUE);
	g_free(parts);
}

static unsigned
answer_failure(const struct caller_answer_deps *deps, struct server_conn *conn,
    const struct wv_result *result)
{
	switch (result->kind) {
	case WV_RESULT_REFUSED:
		wv_counter_add(&deps->metrics->refused_not_run, 1);
		if (result->reason == WV_REASON_EVACUATED)
			wv_counter_add(&deps->metrics->refused_evacuated, 1);
		if (result->reason == WV_REASON_COLD)
			wv_counter_add(&deps->metrics->refused_cold, 1);
		caller_answer_not_run(conn, 503, result->retry_after);
		return 503;
	case WV_RESULT_EXPIRED:
		wv_counter_add(&deps->metrics->expired, 1);
		server_answer_text(conn, 504, "out of time\n");
		return 504;
	case WV_RESULT_RELAY:
	case WV_RESULT_PARTS:
	case WV_RESULT_FAILED:
		break;
	}
	wv_counter_add(&deps->metrics->failed, 1);
	server_answer_text(conn, 502, "no usable answer\n");
	return 502;
}

static void
count_answer(const struct caller_answer_deps *deps, const struct wv_task *task)
{
	size_t missing = task->n_shards - task->included;

	if (missing == 0) {
		wv_counter_add(&deps->metrics->answers_full, 1);
		return;
	}
	wv_counter_add(&deps->metrics->answers_thin, 1);
	wv_counter_add(&deps->metrics->parts_left_out, missing);
}

static void
log_answer(const struct caller_answer_deps *deps, struct wv_string id,
    const struct wv_task *task, unsigned status, const struct wv_result *result)
{
	char text[LOG_REQUEST_ID_SIZE];
	char route[LOG_NAME_SIZE];
	bool good =
	    result->kind == WV_RESULT_PARTS || result->kind == WV_RESULT_RELAY;

	log_line(deps->log, good ? LOG_DETAIL : LOG_FAILURE, "answered",
	    "\"id\":\"%s\",\"route\":\"%s\",\"routes_version\":"
	    "%" G_GUINT64_FORMAT
	    ",\"status\":%u,\"reason\":\"%s\",\"elapsed_ms\":%.1f,"
	    "\"reserved_ms\":%.1f,\"parts\":%zu,\"of\":%zu,\"attempts\":%u,"
	    "\"extra\":%u",
	    log_escape(id, text, sizeof(text)),
	    log_escape(task->route->name, route, sizeof(route)),
	    task->routes->version, status, wv_reason_name(result->reason),
	    wv_clock_now(deps->clock) - task->arrived, task->reserved,
	    task->included, task->n_shards, task->attempts, task->extra);
}

/*
 * Returns the result to answer with. A searcher's answer that is relayed does
 * not prove that the request did not run, so it must not reach the caller with
 * a status that promises this; it is released instead.
 */
static struct wv_result
remove_false_promise(const struct wv_result *result)
{
	struct wv_result failed = {
	    .kind = WV_RESULT_FAILED, .reason = WV_REASON_SEARCHER_FAILED};
	struct message *answer = result->message;

	if (result->kind != WV_RESULT_RELAY ||
	    !status_promises_not_run(answer->status))
		return *result;
	message_destroy(answer);
	return failed;
}

void
caller_answer_result(const struct caller_answer_deps *deps,
    struct server_conn *conn, struct wv_string id, const struct wv_task *task,
    const struct wv_result *dispatched)
{
	struct wv_result result = remove_false_promise(dispatched);
	unsigned status = 200;

	metrics_add_latency(&deps->metrics->request_ms,
	    wv_clock_now(deps->clock) - task->arrived);
	if (result.kind == WV_RESULT_RELAY) {
		status = answer_relayed(conn, result.message);
		count_answer(deps, task);
	} else if (result.kind == WV_RESULT_PARTS) {
		answer_merged(deps->adapter, conn, task);
		count_answer(deps, task);
	} else {
		status = answer_failure(deps, conn, &result);
	}
	log_answer(deps, id, task, status, &result);
}
