/**
 * @file
 * Callers of the soak: they request the addresses of VMs, send searches and
 * orders, and check every answer.
 */
#include <string.h>

#include "entry/client.h"
#include "entry/platform_adapter.h"
#include "entry/socket.h"
#include "http/json.h"
#include "soak/callers.h"
#include "soak/cluster.h"
#include "wisteriavane/merge.h"

/** Deadline of each request, ms. */
#define DEADLINE_MS 1200
/** Bounds of the random pause between two requests of a caller, ms. */
#define MIN_PAUSE 20
#define MAX_PAUSE 90
/** On average, one in this many requests is an order. */
#define ORDER_EVERY 4
/** On average, one in this many requests is abandoned after 15 ms. */
#define ABANDON_EVERY 40
/** Time for which a caller uses the addresses that it received, ms. */
#define ADDRESS_LIFETIME 1500.0
/** Time after the deadline by which an unaffected VM must have answered, ms. */
#define ANSWER_SLACK 400.0
/** Requests sent at least this time after the faults count as such, ms. */
#define TIME_AFTER_FAULTS 3000.0
/** Maximum number of records in a merged answer. */
#define TOP_K 10

/* What a caller waits for. */
enum step { STEP_PAUSE, STEP_ADDRESSES, STEP_REQUEST };

struct callers {
	struct soak *soak;
	struct vms *vms;
	struct teams *teams;
	struct callers_outcome outcome;
};

/* A caller; it sends one request at a time. */
struct caller {
	struct soak *soak;
	struct vms *vms;
	struct teams *teams;
	struct callers_outcome *outcome;
	unsigned number;
	unsigned count; /* requests sent */
	enum step step;
	struct client *client;
	struct event *timer;
	struct vm *vm; /* receiver of the request, or NULL */
	GPtrArray *addresses; /* of VMs, IP:PORT; owned strings */
	wv_msec addresses_at; /* when they were received */
	wv_msec sent_at;
	bool order;
	bool abandons; /* abandons the request early */
	bool sent_unaffected; /* the VM was unaffected when it was sent */
	enum teams_answer expected; /* of the request's key */
	unsigned team;
	char id[64]; /* of the request */
};

static void
set_timer(struct caller *caller, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(caller->timer, &time);
}

/* Ends the request and waits for a random pause. */
static void
start_pause(struct caller *caller)
{
	if (caller->client != NULL)
		client_destroy(caller->client);
	caller->client = NULL;
	caller->step = STEP_PAUSE;
	set_timer(caller, soak_random_ms(caller->soak, MIN_PAUSE, MAX_PAUSE));
}

static void
add_sample(struct caller *caller, unsigned status, double coverage)
{
	struct callers_outcome *outcome = caller->outcome;
	struct soak *soak = caller->soak;
	wv_msec now = soak_now(soak);
	struct callers_sample sample = {now - soak_started_at(soak),
	    now - caller->sent_at, status, coverage};
	bool served = status == 200;

	g_array_append_val(outcome->samples, sample);
	outcome->requests++;
	outcome->served += served;
	outcome->refused += status == 503;
	outcome->failed += status != 200 && status != 503;
	if (caller->sent_at < soak_faults_end(soak) + TIME_AFTER_FAULTS)
		return;
	outcome->requests_after_faults++;
	outcome->served_after_faults += served;
}

/*
 * Parses the signature "sSERVICE.SEARCHER.REQUEST". Returns the service, or -1
 * if the signature is malformed or names another request.
 */
static int
parse_signature(const struct caller *caller, const char *signature)
{
	char **parts = g_strsplit(signature, ".", 3);
	int service = -1;

	if (g_strv_length(parts) == 3 && parts[0][0] == 's' &&
	    g_str_equal(parts[2], caller->id))
		service = (int)g_ascii_strtoll(parts[0] + 1, NULL, 10);
	g_strfreev(parts);
	return service;
}

/*
 * Checks that the body is the merge of the records of the services whose
 * signatures the answer carries. Returns the number of these services.
 */
static size_t
check_parts(struct caller *caller, const struct message *answer)
{
	struct wv_string parts[CLUSTER_SERVICES];
	GString *records[CLUSTER_SERVICES] = {NULL};
	struct wv_string value = {"", 0};
	struct wv_string merged;
	char **signatures;
	char *text;
	size_t n = 0;

	message_find_field(
	    answer, platform_get_adapter()->part_signatures, &value);
	text = g_strndup(value.data, value.length);
	signatures = g_strsplit(text, ", ", 0);
	for (unsigned i = 0; signatures[i] != NULL; i++) {
		int service = parse_signature(caller, signatures[i]);

		if (service < 0 || service >= CLUSTER_SERVICES - 1 ||
		    records[service] != NULL) {
			soak_record_violation(caller->soak,
			    "request %s: signature %s is wrong or repeated",
			    caller->id, signatures[i]);
			continue;
		}
		records[service] =
		    standin_records((unsigned)service, caller->id);
		parts[n].data = records[service]->str;
		parts[n++].length = records[service]->len;
	}
	merged = wv_merge_top_k(parts, n, TOP_K);
	if (!wv_string_equal(merged,
		(struct wv_string){answer->body->str, answer->body->len}))
		soak_record_violation(caller->soak,
		    "request %s: the body is not the merge of %zu parts",
		    caller->id, n);
	wv_string_clear(&merged);
	for (unsigned i = 0; i < CLUSTER_SERVICES; i++) {
		if (records[i] != NULL)
			g_string_free(records[i], TRUE);
	}
	g_strfreev(signatures);
	g_free(text);
	return n;
}

static void
check_search(struct caller *caller, const struct message *answer)
{
	struct wv_string value = {"0", 1};
	uint64_t missing = 0;
	size_t n = check_parts(caller, answer);

	message_find_field(
	    answer, platform_get_adapter()->missing_parts, &value);
	message_parse_number(value, &missing);
	if (n + missing != CLUSTER_SERVICES - 1 || n * 2 < CLUSTER_SERVICES - 1)
		soak_record_violation(caller->soak,
		    "request %s: %zu parts and %u missing", caller->id, n,
		    (unsigned)missing);
	add_sample(caller, 200, (double)n / (CLUSTER_SERVICES - 1));
}

static void
check_order(struct caller *caller, const struct message *answer)
{
	GString *records = standin_records(CLUSTER_SERVICES - 1, caller->id);
	struct wv_string value = {"", 0};
	char *signature;

	message_find_field(answer, platform_get_adapter()->signature, &value);
	signature = g_strndup(value.data, value.length);
	if (parse_signature(caller, signature) != CLUSTER_SERVICES - 1 ||
	    !g_string_equal(records, answer->body))
		soak_record_violation(caller->soak,
		    "order %s: the answer signed %s is wrong", caller->id,
		    signature);
	g_free(signature);
	g_string_free(records, TRUE);
	add_sample(caller, 200, 1);
}

/*
 * Checks whether the request's key was refused. Returns whether it was: then
 * the answer is no sample.
 */
static bool
check_key(struct caller *caller, const struct message *answer)
{
	if (answer->status == 401 && caller->expected == TEAMS_SERVED)
		soak_record_violation(caller->soak,
		    "request %s: its key was refused", caller->id);
	if (answer->status == 200 && caller->expected == TEAMS_REFUSED)
		soak_record_violation(caller->soak,
		    "request %s: served with a removed key", caller->id);
	return answer->status == 401;
}

/*
 * Checks whether the request was refused as above its team's quota. Returns
 * whether it was: then the answer is no sample.
 */
static bool
check_quota(struct caller *caller, const struct message *answer)
{
	struct quotas *quotas = teams_quotas(caller->teams);

	if (caller->sent_at >=
	    soak_faults_end(caller->soak) + TIME_AFTER_FAULTS)
		quotas_note_answer_after_faults(
		    quotas, caller->team, answer->status == 200);
	if (answer->status != 429)
		return false;
	quotas_note_refused(quotas, caller->team, caller->id);
	if (message_find_field(answer, "retry-after", NULL) != 1)
		soak_record_violation(caller->soak,
		    "request %s: above its quota without Retry-After",
		    caller->id);
	return true;
}

/* Checks an answer and records its outcome. */
static void
check_answer(struct caller *caller, const struct message *answer)
{
	struct soak *soak = caller->soak;

	if (check_key(caller, answer) || check_quota(caller, answer))
		return;
	if (answer->status == 200) {
		if (caller->order)
			check_order(caller, answer);
		else
			check_search(caller, answer);
		return;
	}
	add_sample(caller, answer->status, 0);
	if (answer->status == 503 && caller->order)
		g_ptr_array_add(
		    caller->outcome->not_run_ids, g_strdup(caller->id));
	if (answer->status == 503 &&
	    message_find_field(answer, "retry-after", NULL) != 1)
		soak_record_violation(soak,
		    "request %s: refused without Retry-After", caller->id);
	if (answer->status != 503 && answer->status != 502 &&
	    answer->status != 504 && answer->status != 500)
		soak_record_violation(
		    soak, "request %s: status %u", caller->id, answer->status);
}

static void
store_addresses(struct caller *caller, const struct message *answer)
{
	struct wv_string body = {answer->body->str, answer->body->len};
	struct wv_status status = {0};
	JsonNode *root = wv_json_parse(body, &status);
	JsonArray *list;

	if (root == NULL)
		return;
	list = wv_json_get_array(json_node_get_object(root), "addrs");
	g_ptr_array_set_size(caller->addresses, 0);
	for (guint i = 0; list != NULL && i < json_array_get_length(list); i++)
		g_ptr_array_add(caller->addresses,
		    g_strdup(json_array_get_string_element(list, i)));
	caller->addresses_at = soak_now(caller->soak);
	json_node_unref(root);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct caller *caller = data;

	(void)client;
	if (caller->step == STEP_ADDRESSES)
		store_addresses(caller, answer);
	else
		check_answer(caller, answer);
	message_destroy(answer);
	start_pause(caller);
	return true;
}

/* Returns whether a fault may explain that the request failed. */
static bool
is_affected(const struct caller *caller)
{
	const struct vm *vm = caller->vm;

	return !caller->sent_unaffected || vm == NULL || vm->pid == 0 ||
	    vm->paused || caller->sent_at < vm->affected_until;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	struct caller *caller = data;

	if (caller->step == STEP_REQUEST) {
		bool sent = !client_is_unsent(client);

		/* A VM answers what it has read, also during a planned stop. */
		if (end == CLIENT_MALFORMED)
			soak_record_violation(caller->soak,
			    "request %s: malformed answer", caller->id);
		else if (end == CLIENT_CLOSED && sent && !is_affected(caller) &&
		    !caller->vm->stopping)
			soak_record_violation(caller->soak,
			    "request %s: connection closed by %s without a "
			    "fault",
			    caller->id, caller->vm->name);
		add_sample(caller, 0, 0);
	}
	start_pause(caller);
}

static const struct client_ops ops = {on_answer, on_end};

static void
send_bytes(struct caller *caller, const char *address, GString *text)
{
	caller->client =
	    client_create(soak_base(caller->soak), address, &ops, caller);
	client_send(
	    caller->client, (struct wv_string){text->str, text->len}, false);
	caller->sent_at = soak_now(caller->soak);
	g_string_free(text, TRUE);
}

static void
request_addresses(struct caller *caller)
{
	unsigned i = soak_random_below(caller->soak, vms_count(caller->vms));
	GString *text = standin_address_query();

	caller->step = STEP_ADDRESSES;
	send_bytes(
	    caller, vms_get(caller->vms, i)->listeners[VM_ADDRESSES], text);
	set_timer(caller, 500);
}

static void
send_request(struct caller *caller)
{
	struct soak *soak = caller->soak;
	guint i = soak_random_below(soak, caller->addresses->len);
	const char *address = caller->addresses->pdata[i];
	GString *text = g_string_new(NULL);
	char tag[VM_TAG_SIZE] = "";
	struct teams_key key;
	char *field;

	caller->vm = vms_find(caller->vms, address);
	if (caller->vm != NULL)
		vm_write_tag(caller->vm, tag);
	caller->order = soak_random_below(soak, ORDER_EVERY) == 0;
	caller->abandons = soak_random_below(soak, ABANDON_EVERY) == 0;
	g_snprintf(caller->id, sizeof(caller->id), "%s%x-%u-%u", tag,
	    soak_seed(soak), caller->number, ++caller->count);
	teams_draw(caller->teams,
	    caller->vm != NULL ? caller->vm->affected_until : soak_now(soak),
	    &key);
	teams_mark_request(caller->id, sizeof(caller->id), key.team);
	caller->expected = key.answer;
	caller->team = key.team;
	field = standin_key_field(key.key);
	g_string_append_printf(text,
	    "%s /%s/q?n=%u HTTP/1.1\r\nHost: maps.example\r\n"
	    "%s: %s\r\n%s: %d\r\n%s",
	    caller->order ? "POST" : "GET", caller->order ? "order" : "search",
	    caller->count, platform_get_adapter()->request_id, caller->id,
	    platform_get_adapter()->deadline, DEADLINE_MS, field);
	g_free(field);
	g_string_append(
	    text, caller->order ? "Content-Length: 4\r\n\r\nmaps" : "\r\n");
	caller->step = STEP_REQUEST;
	send_bytes(caller, address, text);
	quotas_note_sent(teams_quotas(caller->teams), caller->team, caller->id,
	    caller->sent_at);
	caller->sent_unaffected = caller->vm != NULL && !caller->vm->paused &&
	    caller->sent_at >= caller->vm->affected_until;
	set_timer(caller, caller->abandons ? 15 : DEADLINE_MS + ANSWER_SLACK);
}

static void
on_timer(evutil_socket_t fd, short what, void *data)
{
	struct caller *caller = data;
	struct soak *soak = caller->soak;

	(void)fd;
	(void)what;
	if (caller->step == STEP_REQUEST) {
		if (!caller->abandons && !is_affected(caller) &&
		    client_is_connected(caller->client))
			soak_record_violation(soak,
			    "request %s: no answer from %s after %d ms",
			    caller->id, caller->vm->name,
			    (int)(DEADLINE_MS + ANSWER_SLACK));
		if (!caller->abandons)
			add_sample(caller, 0, 0);
		start_pause(caller);
	} else if (caller->step == STEP_ADDRESSES) {
		start_pause(caller);
	} else if (caller->addresses->len == 0 ||
	    soak_now(soak) - caller->addresses_at > ADDRESS_LIFETIME) {
		request_addresses(caller);
	} else {
		send_request(caller);
	}
}

static void
start_caller(struct callers *callers, unsigned number)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->soak = callers->soak;
	caller->vms = callers->vms;
	caller->teams = callers->teams;
	caller->outcome = &callers->outcome;
	caller->number = number;
	caller->addresses = g_ptr_array_new_with_free_func(g_free);
	caller->timer =
	    event_new(soak_base(caller->soak), -1, 0, on_timer, caller);
	start_pause(caller);
}

struct callers *
callers_create(
    struct soak *soak, struct vms *vms, struct teams *teams, unsigned n)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->soak = soak;
	callers->vms = vms;
	callers->teams = teams;
	callers->outcome.samples =
	    g_array_new(FALSE, FALSE, sizeof(struct callers_sample));
	callers->outcome.not_run_ids = g_ptr_array_new_with_free_func(g_free);
	for (unsigned i = 0; i < n; i++)
		start_caller(callers, i);
	return callers;
}

const struct callers_outcome *
callers_outcome(const struct callers *callers)
{
	return &callers->outcome;
}
