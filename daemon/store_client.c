/**
 * @file
 * Client of the platform's store.
 */
#include "daemon/store_client.h"
#include "http/json.h"

/** Timeout of a call to the store, ms; a watch adds its waiting time. */
#define STORE_TIMEOUT 2000.0
/** HTTP status of a conditional write that found another version. */
#define HTTP_CONFLICT 409
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_UNAVAILABLE 503

/* A call for one object. */
struct object_call {
	struct daemon *daemon;
	store_object_callback done;
	void *data;
};

/* A listing or a watch. */
struct list_call {
	struct daemon *daemon;
	store_list_callback done;
	void *data;
};

/*
 * Returns the outcome of a call and counts failures. Only WV_STORE_NO_ANSWER
 * leaves open whether the store executed the call.
 */
static enum wv_store_outcome
to_store_outcome(struct daemon *daemon, const struct wv_http_response *answer)
{
	if (answer->outcome == WV_HTTP_NOT_SENT) {
		wv_counter_add(&daemon->stats.store_failures, 1);
		return WV_STORE_REFUSED;
	}
	if (answer->outcome != WV_HTTP_COMPLETED) {
		wv_counter_add(&daemon->stats.store_lost, 1);
		return WV_STORE_NO_ANSWER;
	}
	switch (answer->http_status) {
	case 200:
		return WV_STORE_OK;
	case HTTP_NOT_FOUND:
		return WV_STORE_NOT_FOUND;
	case HTTP_CONFLICT:
		wv_counter_add(&daemon->stats.store_conflicts, 1);
		return WV_STORE_CONFLICT;
	case HTTP_TOO_MANY_REQUESTS:
	case HTTP_UNAVAILABLE:
		wv_counter_add(&daemon->stats.store_failures, 1);
		return WV_STORE_REFUSED;
	default:
		wv_counter_add(&daemon->stats.store_lost, 1);
		return WV_STORE_NO_ANSWER;
	}
}

/* Returns the JSON text of an object's value, owned by the caller. */
static struct wv_string
value_text(JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "value");
	struct wv_string empty = {NULL, 0};

	return node == NULL ? empty : wv_json_serialize(node);
}

static void
on_object(void *data, const struct wv_http_response *answer)
{
	struct object_call *call = data;
	enum wv_store_outcome outcome = to_store_outcome(call->daemon, answer);
	struct wv_string value = {NULL, 0};
	struct wv_status status = {WV_OK, ""};
	JsonNode *node = NULL;
	uint64_t version = 0;

	if (outcome == WV_STORE_OK || outcome == WV_STORE_CONFLICT)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		JsonObject *object = json_node_get_object(node);

		version = (uint64_t)wv_json_get_number(object, "version", 0);
		value = value_text(object);
		json_node_unref(node);
	} else if (outcome == WV_STORE_OK) {
		outcome = WV_STORE_NO_ANSWER;
	}
	call->done(call->data, outcome, value, version);
	wv_string_clear(&value);
	g_free(call);
}

static void
send_request(struct daemon *daemon, struct wv_http_client *client,
    const char *method, const char *path, struct wv_string body,
    wv_msec timeout, wv_http_callback done, void *data)
{
	struct wv_http_request request = {0};

	request.method = method;
	request.address = daemon->settings->store;
	request.path = path;
	request.body = body;
	request.timeout = timeout;
	/* A repeated conditional write would report a false conflict. */
	request.at_most_once = body.length > 0;
	request.release = g_free;
	wv_http_client_send(client, &request, done, data);
}

static void
send_object(struct daemon *daemon, struct wv_http_client *client,
    const char *method, const char *key, struct wv_string body,
    store_object_callback done, void *data)
{
	struct object_call *call = g_new0(struct object_call, 1);
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *path = g_strconcat("/v1/objects/", escaped, NULL);

	call->daemon = daemon;
	call->done = done;
	call->data = data;
	send_request(
	    daemon, client, method, path, body, STORE_TIMEOUT, on_object, call);
	g_free(path);
	g_free(escaped);
}

void
store_read(struct daemon *daemon, struct wv_http_client *client,
    const char *key, store_object_callback done, void *data)
{
	struct wv_string empty_body = {NULL, 0};

	wv_counter_add(&daemon->stats.store_reads, 1);
	send_object(daemon, client, "GET", key, empty_body, done, data);
}

void
store_write(struct daemon *daemon, struct wv_http_client *client,
    const char *key, struct wv_string value, uint64_t if_version,
    store_object_callback done, void *data)
{
	GString *body = g_string_new("{\"value\":");

	wv_counter_add(&daemon->stats.store_writes, 1);
	g_string_append_len(body, value.data, (gssize)value.length);
	g_string_append_printf(
	    body, ",\"if_version\":%" G_GUINT64_FORMAT "}", if_version);
	send_object(daemon, client, "PUT", key,
	    (struct wv_string){body->str, body->len}, done, data);
	g_string_free(body, TRUE);
}

static void
on_list(void *data, const struct wv_http_response *answer)
{
	struct list_call *call = data;
	enum wv_store_outcome outcome = to_store_outcome(call->daemon, answer);
	struct wv_status status = {WV_OK, ""};
	JsonArray *objects = NULL;
	JsonNode *node = NULL;
	uint64_t revision = 0;

	if (outcome == WV_STORE_OK)
		node = wv_json_parse(answer->body, &status);
	if (node != NULL) {
		JsonObject *object = json_node_get_object(node);

		objects = wv_json_get_array(object, "objects");
		revision = (uint64_t)wv_json_get_number(object, "revision", 0);
	}
	if (objects == NULL && outcome == WV_STORE_OK)
		outcome = WV_STORE_NO_ANSWER;
	call->done(call->data, outcome, objects, revision);
	if (node != NULL)
		json_node_unref(node);
	g_free(call);
}

static void
send_list(struct daemon *daemon, struct wv_http_client *client,
    const char *path, wv_msec timeout, store_list_callback done, void *data)
{
	struct list_call *call = g_new0(struct list_call, 1);
	struct wv_string empty_body = {NULL, 0};

	call->daemon = daemon;
	call->done = done;
	call->data = data;
	send_request(
	    daemon, client, "GET", path, empty_body, timeout, on_list, call);
}

void
store_list(struct daemon *daemon, struct wv_http_client *client,
    const char *prefix, store_list_callback done, void *data)
{
	char *path = g_strdup_printf("/v1/objects?prefix=%s", prefix);

	wv_counter_add(&daemon->stats.store_reads, 1);
	send_list(daemon, client, path, STORE_TIMEOUT, done, data);
	g_free(path);
}

void
store_watch(struct daemon *daemon, struct wv_http_client *client,
    const char *prefix, uint64_t after, wv_msec wait, store_list_callback done,
    void *data)
{
	char *path = g_strdup_printf(
	    "/v1/watch?prefix=%s&after=%" G_GUINT64_FORMAT "&wait_ms=%.0f",
	    prefix, after, wait);

	wv_counter_add(&daemon->stats.store_watches, 1);
	send_list(daemon, client, path, wait + STORE_TIMEOUT, done, data);
	g_free(path);
}
