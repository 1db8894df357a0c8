/**
 * @file
 * Tests of entry servers that receive random and mutated bytes: datagrams,
 * requests on each TCP port, answers of the store, and names with quotes and
 * control characters. Guards against input that ends a process, since the same
 * input would end it again after each restart, and against log lines that are
 * not one JSON object. Under sanitizers it also finds accesses out of bounds.
 *
 * Inputs depend on fixed seeds only. Addresses in them are inserted after the
 * mutation, so that no server sends to an address outside this machine.
 */
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proto/vm_report.pb-c.h"
#include "test/entry_fixture.h"

/** Datagrams of the test, and those sent between two turns of the loop. */
#define N_DATAGRAMS 6000
#define DATAGRAM_BATCH 40
/** Time after the datagrams, several intervals of reports, ms. */
#define REPORT_TIME 1000
/** Largest datagram that is sent, bytes; more than servers accept. */
#define MAX_DATAGRAM_BYTES 9000
/** Largest number of hubs in a report. */
#define MAX_HUBS 40
/** Largest number of hints in a report; more than servers take. */
#define MAX_HINTS 20
/** Connections to each TCP port, and those that are open at once. */
#define N_CONNECTIONS 240
#define CONNECTION_BATCH 40
/** Servers that read mutated answers of the store, and for how long, ms. */
#define N_READERS 4
#define STORE_TIME 4000
/** Objects in an answer of the store. */
#define N_OBJECTS 60
/** Time for a turn of the event loop, ms. */
#define TURN_TIME 10

/*
 * Stands for ADDRESS in inputs until they have been mutated. Both have the same
 * length, which datagrams contain.
 */
#define PLACEHOLDER "@@@@@@@@@@@"
#define ADDRESS "127.0.0.1:9"

G_STATIC_ASSERT(sizeof(PLACEHOLDER) == sizeof(ADDRESS));

/* Texts with characters that have a meaning in JSON, HTTP or logs. */
static const char *const odd_texts[] = {"", "a\"b", "a\\", "a\nb", "a\r\n\r\nb",
    "\x01\x1f\x7f", "\xff\xfe", "\xc3", "%s%n%99999d", "{\"a\":", "vm0", "../",
    "\xed\xa0\x80"};

/* Tokens that are special to the parsers, or at the limits of number types. */
static const char *const tokens[] = {"null", "-1", "1e999", "0", "9e15",
    "18446744073709551616", "\"\"", "{}", "[]", "\\u0000", "\\ud800", "\"", ",",
    ":", "\xff", "\r\n", "\r\n\r\n", " ", "%00", "chunked", "ffffffffffffffff"};

static const char *
choose_text(GRand *rand, const char *const *texts, size_t n)
{
	return texts[g_rand_int_range(rand, 0, (gint32)n)];
}

static void
append_random(GRand *rand, GString *bytes, int n)
{
	for (int i = 0; i < n; i++)
		g_string_append_c(bytes, (char)g_rand_int_range(rand, 0, 256));
}

/** Largest number of bytes that a mutation removes or repeats. */
#define MAX_PART_BYTES 24

/* Changes, inserts, removes or repeats bytes in one place. */
static void
mutate_once(GRand *rand, GString *bytes)
{
	gint32 length = (gint32)bytes->len;
	gint32 at = g_rand_int_range(rand, 0, length + 1);
	gint32 n = g_rand_int_range(rand, 1, MAX_PART_BYTES + 1);
	char part[MAX_PART_BYTES];

	n = MIN(n, length - at);
	memcpy(part, bytes->str + at, (size_t)n);
	switch (g_rand_int_range(rand, 0, 4)) {
	case 0:
		if (n > 0)
			bytes->str[at] = (char)g_rand_int_range(rand, 0, 256);
		break;
	case 1:
		g_string_insert(
		    bytes, at, choose_text(rand, tokens, G_N_ELEMENTS(tokens)));
		break;
	case 2:
		g_string_erase(bytes, at, n);
		break;
	default:
		g_string_insert_len(bytes, at, part, n);
		break;
	}
}

static void
mutate(GRand *rand, GString *bytes, int max_mutations)
{
	gint32 n = g_rand_int_range(rand, 0, max_mutations + 1);

	for (gint32 i = 0; i < n; i++)
		mutate_once(rand, bytes);
}

static void
insert_addresses(GString *bytes)
{
	const size_t n = strlen(PLACEHOLDER);

	for (size_t i = 0; i + n <= bytes->len; i++) {
		if (memcmp(bytes->str + i, PLACEHOLDER, n) == 0)
			memcpy(bytes->str + i, ADDRESS, n);
	}
}

/* Returns port `index` of VM i, in the order of VM_PORTS. */
static unsigned
vm_port(const struct fixture *fixture, unsigned i, unsigned index)
{
	return fixture
	    ->ports[1 + N_SERVICES * N_REPLICAS + (size_t)i * VM_PORTS + index];
}

/* Waits until a VM serves an order; the process must still run. */
static bool
wait_served(struct fixture *fixture, const struct vm *vm)
{
	bool served = false;

	for (int i = 0; i < EVENT_TIMEOUT / CHECK_INTERVAL && !served; i++) {
		char *id = g_strdup_printf("order-%d", i);
		char *order = compose_order(id);
		GString *body = g_string_new(NULL);

		served =
		    exchange_bytes(fixture, vm->callers, order, body) == 200;
		g_string_free(body, TRUE);
		g_free(order);
		g_free(id);
		if (!served)
			run_for(fixture, CHECK_INTERVAL);
	}
	return served;
}

/* Each line of a VM's log must be one JSON object. */
static void
check_log(const struct vm *vm)
{
	char *content = NULL;
	char **lines;

	g_assert_true(g_file_get_contents(vm->log, &content, NULL, NULL));
	lines = g_strsplit(content, "\n", -1);
	for (char **line = lines; *line != NULL; line++) {
		struct wv_status status = {0};
		JsonNode *root;

		if ((*line)[0] == '\0')
			continue;
		root = g_utf8_validate(*line, -1, NULL)
		    ? wv_json_parse(wv_string_borrow(*line), &status)
		    : NULL;
		if (root == NULL) {
			g_test_message("not a JSON object: %s", *line);
			g_test_fail();
			break;
		}
		json_node_unref(root);
	}
	g_strfreev(lines);
	g_free(content);
}

/* Stops all VMs, which must exit with success, and checks their logs. */
static void
stop_and_check(struct fixture *fixture)
{
	for (unsigned i = 0; i < fixture->n_vms; i++)
		g_subprocess_send_signal(fixture->vms[i].process, SIGTERM);
	for (unsigned i = 0; i < fixture->n_vms; i++) {
		stop_vm(fixture, &fixture->vms[i]);
		check_log(&fixture->vms[i]);
	}
}

static uint64_t
random_uint64(GRand *rand)
{
	static const uint64_t limits[] = {
	    0, 1, UINT64_MAX, (uint64_t)INT64_MAX + 1, UINT32_MAX};

	if (g_rand_boolean(rand))
		return limits[g_rand_int_range(rand, 0, G_N_ELEMENTS(limits))];
	return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
}

static double
random_double(GRand *rand)
{
	static const double limits[] = {0, -1, 1, 1e308, -1e308, 5e-324};
	gint32 i = g_rand_int_range(rand, 0, G_N_ELEMENTS(limits) + 3);

	if (i < (gint32)G_N_ELEMENTS(limits))
		return limits[i];
	if (i == G_N_ELEMENTS(limits))
		return g_ascii_strtod("nan", NULL);
	return g_ascii_strtod(g_rand_boolean(rand) ? "inf" : "-inf", NULL);
}

/* Returns the name of a VM: mostly one of a few; the caller owns it. */
static char *
random_name(GRand *rand)
{
	if (g_rand_int_range(rand, 0, 8) == 0)
		return g_strdup(
		    choose_text(rand, odd_texts, G_N_ELEMENTS(odd_texts)));
	return g_strdup_printf("fuzz-%d", g_rand_int_range(rand, 0, 60));
}

static void
fill_hub(GRand *rand, VmState *hub)
{
	vm_state__init(hub);
	hub->name = random_name(rand);
	hub->incarnation = random_uint64(rand);
	hub->sequence = random_uint64(rand);
	hub->peers = PLACEHOLDER;
	hub->callers = PLACEHOLDER;
	hub->zone =
	    (char *)choose_text(rand, odd_texts, G_N_ELEMENTS(odd_texts));
	hub->serving = g_rand_boolean(rand);
	hub->leaving = g_rand_boolean(rand);
	hub->capacity = random_double(rand);
	hub->store_failed = g_rand_boolean(rand);
}

/* Fills in a hint about a searcher that exists, or with a random text. */
static void
fill_hint(GRand *rand, LeavingHint *hint)
{
	leaving_hint__init(hint);
	hint->searcher = g_rand_boolean(rand)
	    ? standin_searcher_id(
		  (unsigned)g_rand_int_range(rand, 0, N_SERVICES),
		  (unsigned)g_rand_int_range(rand, 0, N_REPLICAS))
	    : random_name(rand);
	hint->started = g_rand_boolean(rand) ? 1 : random_uint64(rand);
	hint->age = (uint32_t)random_uint64(rand);
}

/* Appends a report with valid encoding and extreme values. */
static void
append_report(GRand *rand, GString *bytes)
{
	VmReport report = VM_REPORT__INIT;
	VmState hubs[MAX_HUBS];
	VmState *list[MAX_HUBS];
	LeavingHint hints[MAX_HINTS];
	LeavingHint *hint_list[MAX_HINTS];
	uint8_t *packed;

	report.protocol = 1;
	report.name = random_name(rand);
	report.incarnation = random_uint64(rand);
	report.sequence = random_uint64(rand);
	report.peers = PLACEHOLDER;
	report.callers = PLACEHOLDER;
	report.zone =
	    (char *)choose_text(rand, odd_texts, G_N_ELEMENTS(odd_texts));
	report.serving = g_rand_boolean(rand);
	report.leaving = g_rand_boolean(rand);
	report.capacity = random_double(rand);
	report.store_failed = g_rand_boolean(rand);
	report.routes_revision = random_uint64(rand);
	report.searchers_revision = random_uint64(rand);
	report.leaf = g_rand_boolean(rand);
	report.attach = g_rand_boolean(rand);
	report.introduces = g_rand_boolean(rand);
	report.view = (uint64_t)g_rand_int_range(rand, 0, 3);
	report.known_view = (uint64_t)g_rand_int_range(rand, 0, 3);
	report.n_hubs = (size_t)g_rand_int_range(rand, 0, MAX_HUBS + 1);
	report.hubs = list;
	for (size_t i = 0; i < report.n_hubs; i++) {
		list[i] = &hubs[i];
		fill_hub(rand, &hubs[i]);
	}
	report.n_leaving_searchers =
	    (size_t)g_rand_int_range(rand, 0, MAX_HINTS + 1);
	report.leaving_searchers = hint_list;
	for (size_t i = 0; i < report.n_leaving_searchers; i++) {
		hint_list[i] = &hints[i];
		fill_hint(rand, &hints[i]);
	}
	packed = g_malloc(vm_report__get_packed_size(&report));
	g_string_append_len(
	    bytes, (char *)packed, (gssize)vm_report__pack(&report, packed));
	g_free(packed);
	for (size_t i = 0; i < report.n_hubs; i++)
		g_free(hubs[i].name);
	for (size_t i = 0; i < report.n_leaving_searchers; i++)
		g_free(hints[i].searcher);
	g_free(report.name);
}

/* Sends random bytes, or a report that may be mutated, to a UDP port. */
static void
send_datagram(GRand *rand, int fd, unsigned port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	GString *bytes = g_string_new(NULL);

	if (g_rand_int_range(rand, 0, 6) == 0) {
		append_random(
		    rand, bytes, g_rand_int_range(rand, 0, MAX_DATAGRAM_BYTES));
	} else {
		append_report(rand, bytes);
		mutate(rand, bytes, 3);
	}
	insert_addresses(bytes);
	sendto(fd, bytes->str, MIN(bytes->len, MAX_DATAGRAM_BYTES),
	    MSG_DONTWAIT, (struct sockaddr *)&address, sizeof(address));
	g_string_free(bytes, TRUE);
}

/* Returns a counter of VM i, read from its metrics. */
static uint64_t
read_counter(struct fixture *fixture, unsigned i, const char *name)
{
	char *address = g_strdup_printf("127.0.0.1:%u", vm_port(fixture, i, 4));
	char *line = g_strdup_printf("\nwisteriavane_%s_total ", name);
	GString *body = g_string_new(NULL);
	const char *at;
	uint64_t value;

	g_assert_cmpuint(exchange_bytes(fixture, address,
			     "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", body),
	    ==, 200);
	at = strstr(body->str, line);
	g_assert_nonnull(at);
	value = g_ascii_strtoull(at + strlen(line), NULL, 10);
	g_string_free(body, TRUE);
	g_free(address);
	g_free(line);
	return value;
}

/* Datagrams are not authenticated: whatever they contain, a VM serves on. */
static void
test_datagrams(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	GRand *rand = g_rand_new_with_seed(1);

	open_store(fixture);
	start_vm(fixture);
	start_vm(fixture);
	g_assert_true(wait_all_listed(fixture));
	for (int i = 0; i < N_DATAGRAMS; i++) {
		send_datagram(rand, fd, vm_port(fixture, i % 2, 3));
		if (i % DATAGRAM_BATCH == 0)
			run_for(fixture, TURN_TIME);
	}
	/* Reports that follow from the datagrams are sent meanwhile. */
	run_for(fixture, REPORT_TIME);
	for (unsigned i = 0; i < fixture->n_vms; i++) {
		/* If few were accepted, only the first checks would run. */
		g_assert_cmpuint(read_counter(fixture, i, "reports_received"),
		    >, N_DATAGRAMS / 20);
		g_assert_cmpuint(read_counter(fixture, i, "reports_refused"), >,
		    N_DATAGRAMS / 20);
		g_assert_true(wait_served(fixture, &fixture->vms[i]));
	}
	stop_and_check(fixture);
	close(fd);
	g_rand_free(rand);
	fixture_destroy(fixture);
}

/* Requests as the ports of a VM know them. */
static const char *const requests[] = {
    "POST /order/q HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: a\r\n"
    "X-Request-Deadline-Ms: 900\r\nContent-Length: 4\r\n\r\nmaps",
    "POST /search/q HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: b\r\n"
    "Transfer-Encoding: chunked\r\n\r\n4\r\nmaps\r\n0\r\n\r\n",
    "GET /resolve?service=maps HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "GET /metrics HTTP/1.0\r\n\r\n",
    "GET /objects/servers HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /objects/wisteriavane-vms?watch=0&waitMs=1 HTTP/1.1\r\n\r\n",
    "GET /objects/config?watch=18446744073709551615 HTTP/1.1\r\nHost: h\r\n"
    "\r\nGET /objects/config?watch= HTTP/1.1\r\n\r\n"};

/* Opens connections to a TCP port and sends mutated requests on each. */
static void
send_requests(struct fixture *fixture, GRand *rand, unsigned port)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	int fds[CONNECTION_BATCH];

	for (int i = 0; i < CONNECTION_BATCH; i++) {
		fds[i] = socket_connect(address);
		g_assert_cmpint(fds[i], >=, 0);
	}
	run_for(fixture, TURN_TIME);
	for (int i = 0; i < CONNECTION_BATCH; i++) {
		GString *bytes = g_string_new(NULL);

		if (g_rand_int_range(rand, 0, 6) == 0)
			append_random(
			    rand, bytes, g_rand_int_range(rand, 0, 4000));
		else
			g_string_append(bytes,
			    choose_text(
				rand, requests, G_N_ELEMENTS(requests)));
		mutate(rand, bytes, 3);
		send(fds[i], bytes->str, bytes->len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		/* Some callers leave at once, with unread answers. */
		if (g_rand_int_range(rand, 0, 4) == 0)
			shutdown(fds[i], SHUT_WR);
		g_string_free(bytes, TRUE);
	}
	run_for(fixture, 4 * TURN_TIME);
	for (int i = 0; i < CONNECTION_BATCH; i++)
		close(fds[i]);
	g_free(address);
}

/* Whatever arrives on a TCP port, the VM serves on all of them afterwards. */
static void
test_requests(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	GRand *rand = g_rand_new_with_seed(2);

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_served(fixture, vm));
	for (int i = 0; i < N_CONNECTIONS; i += CONNECTION_BATCH) {
		for (unsigned port = 0; port < VM_PORTS - 1; port++)
			send_requests(fixture, rand, vm_port(fixture, 0, port));
	}
	g_assert_true(wait_served(fixture, vm));
	g_assert_cmpuint(count_listed(fixture, vm), ==, 1);
	stop_and_check(fixture);
	g_rand_free(rand);
	fixture_destroy(fixture);
}

/* A store whose answers are mutated. */
struct hostile_store {
	struct fixture *fixture;
	GRand *rand;
	uint64_t revision;
	unsigned answers;
};

/* Specs of objects, by the kind that is in the path of a request. */
static const char *const specs[][2] = {
    {"/objects/servers",
	"{\"service\":\"s0\",\"address\":\"" PLACEHOLDER "\",\"zone\":\"z\","
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"coldLeftMs\":0,"
	"\"sequence\":4,\"born\":1700000000000}"},
    {"/objects/config",
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"pathPrefix\":\"/a/\",\"routeType\":\"idempotent\",\"timeoutMs\":900,"
	"\"targetLatencyMs\":80,\"priority\":1,\"maxAttempts\":3,"
	"\"fanoutServices\":[\"s0\"],\"topK\":5,\"minShardRatio\":0.75}],"
	"\"services\":[{\"name\":\"s0\",\"maxConnections\":26}],"
	"\"limits\":{\"maxHeaderBytes\":100,\"maxBodyBytes\":200,"
	"\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}}"},
    {"/objects/wisteriavane-vms",
	"{\"peers\":\"" PLACEHOLDER "\",\"zone\":\"z\",\"capacity\":2}"}};

/* Appends objects, most of which are mutated: as a list, or as changes. */
static void
append_objects(struct hostile_store *store, GString *body, const char *spec,
    bool as_changes)
{
	GRand *rand = store->rand;

	for (int i = 0; i < N_OBJECTS; i++) {
		GString *object = g_string_new(NULL);

		g_string_append_printf(object,
		    as_changes
			? "{\"deleted\":%s,\"object\":{\"meta\":{\"name\":"
			  "\"%s%d\"},\"spec\":%s}}"
			: "{\"hidden\":%s,\"meta\":{\"name\":\"%s%d\"},"
			  "\"spec\":%s}",
		    g_rand_int_range(rand, 0, 5) == 0 ? "true" : "false",
		    g_rand_boolean(rand) ? "a\\\"\\n\\u0001" : "o",
		    g_rand_int_range(rand, 0, N_OBJECTS), spec);
		mutate(rand, object, 2);
		if (i > 0)
			g_string_append_c(body, ',');
		g_string_append_len(body, object->str, (gssize)object->len);
		g_string_free(object, TRUE);
	}
}

static void
answer_hostile(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct hostile_store *store = data;
	struct wv_string target = message_target(message);
	char *path = g_strndup(target.data, target.length);
	bool as_changes = strstr(path, "watch=") != NULL;
	GString *body =
	    g_string_new(as_changes ? "{\"events\":[" : "{\"items\":[");
	const char *spec = "{}";

	for (size_t i = 0; i < G_N_ELEMENTS(specs); i++) {
		if (g_str_has_prefix(path, specs[i][0]))
			spec = specs[i][1];
	}
	append_objects(store, body, spec, as_changes);
	g_string_append_printf(body,
	    "],\"hasMore\":%s,\"atRev\":%" G_GUINT64_FORMAT "}",
	    g_rand_int_range(store->rand, 0, 4) == 0 ? "true" : "false",
	    ++store->revision);
	if (g_rand_boolean(store->rand))
		mutate(store->rand, body, 1);
	insert_addresses(body);
	if (g_rand_int_range(store->rand, 0, 4) == 0) {
		/* The head of the answer is mutated too. */
		char *head = g_strdup_printf(
		    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
		    body->len);

		g_string_prepend(body, head);
		g_free(head);
		mutate(store->rand, body, 2);
		server_answer_bytes(conn,
		    (struct wv_string){body->str, body->len},
		    g_rand_boolean(store->rand));
	} else {
		server_answer(
		    conn, 200, NULL, (struct wv_string){body->str, body->len});
	}
	store->answers++;
	g_string_free(body, TRUE);
	g_free(path);
}

static void
hostile_caller_left(void *data, struct server_conn *conn)
{
	(void)data;
	(void)conn;
}

static void
hostile_rejected(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops hostile_ops = {
    answer_hostile, hostile_caller_left, hostile_rejected};

/* Whatever the store answers, the processes run on and list themselves. */
static void
test_store_answers(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct hostile_store store = {
	    .fixture = fixture, .rand = g_rand_new_with_seed(3)};
	struct server *server = server_create(
	    fixture->base, fixture->store_address, &hostile_ops, &store);

	for (unsigned i = 0; i < N_READERS; i++)
		start_vm(fixture);
	run_for(fixture, STORE_TIME);
	g_test_message("%u answers", store.answers);
	g_assert_cmpuint(store.answers, >, 10 * N_READERS);
	for (unsigned i = 0; i < N_READERS; i++) {
		struct vm *vm = &fixture->vms[i];
		GString *query = standin_address_query();
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->addresses, query->str, body),
		    !=, 0);
		g_string_free(query, TRUE);
		g_string_free(body, TRUE);
	}
	stop_and_check(fixture);
	fixture_destroy(fixture);
	server_destroy(server);
	g_rand_free(store.rand);
}

/* Sends a request with an identifier that is not valid UTF-8. */
static void
send_odd_identifier(struct fixture *fixture, const struct vm *vm)
{
	char *order = compose_order("id-\xff\xc3");
	GString *body = g_string_new(NULL);

	exchange_bytes(fixture, vm->callers, order, body);
	g_string_free(body, TRUE);
	g_free(order);
}

/* Writes version 2 of the routes, in which all have the same name. */
static void
write_named_routes(struct fixture *fixture, const char *name)
{
	struct standin_searcher_config shape = {
	    N_SERVICES, N_REPLICAS, 4, WORK_TIME};
	JsonObject *table = standin_routes(&shape, 2, 1500);
	JsonArray *routes = json_object_get_array_member(table, "routes");

	for (guint i = 0; i < json_array_get_length(routes); i++)
		json_object_set_string_member(
		    json_array_get_object_element(routes, i), "name", name);
	standin_store_write(
	    fixture->store, STANDIN_KIND_ROUTES, STANDIN_ROUTES_OBJECT, table);
}

/*
 * Names from the store and identifiers of requests may contain quotes, control
 * characters and bytes that are not UTF-8; each log line must stay one JSON
 * object.
 */
static void
test_names_in_log(void)
{
	static const char odd[] = "i\"-\\\n\x01";
	/* Other bytes than printable ones make an entry unreadable. */
	static const char id[] = "i\"-\\";
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	standin_store_write(
	    fixture->store, STANDIN_KIND_ROUTES, odd, json_object_new());
	standin_store_write(
	    fixture->store, STANDIN_KIND_SEARCHERS, odd, json_object_new());
	g_assert_true(wait_logged(fixture, vm, "\"routes_unreadable\""));
	g_assert_true(wait_logged(fixture, vm, "\"searcher_unreadable\""));
	standin_store_write(fixture->store, STANDIN_KIND_SEARCHERS, id,
	    standin_searcher_spec(odd, ADDRESS, 1, false));
	g_assert_true(wait_logged(fixture, vm, "\"address\":\"" ADDRESS "\""));
	standin_store_remove(fixture->store, STANDIN_KIND_SEARCHERS, id);
	g_assert_true(wait_logged(fixture, vm, "\"searcher_missing\""));
	write_named_routes(fixture, odd);
	g_assert_true(wait_logged(fixture, vm, "\"version\":2,"));
	send_odd_identifier(fixture, vm);
	g_assert_true(wait_served(fixture, vm));
	stop_and_check(fixture);
	fixture_destroy(fixture);
}

/*
 * The identifier of a searcher is sent to it in a header field. A line end in
 * it, from an entry of another writer, would begin another field or request.
 */
static void
test_identifier_with_line_end(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	standin_store_write(fixture->store, STANDIN_KIND_SEARCHERS,
	    "i-9\r\nX-Other: 1",
	    standin_searcher_spec("s0",
		standin_searchers_address(fixture->searchers, 0, 0), 1, false));
	g_assert_true(wait_logged(fixture, vm, "\"not an identifier\""));
	g_assert_false(
	    has_logged(vm, "\"searcher_changed\",\"searcher\":\"i-9"));
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/entry-hostile/datagrams", test_datagrams);
	g_test_add_func("/entry-hostile/requests", test_requests);
	g_test_add_func("/entry-hostile/store-answers", test_store_answers);
	g_test_add_func("/entry-hostile/names-in-log", test_names_in_log);
	g_test_add_func("/entry-hostile/identifier-with-line-end",
	    test_identifier_with_line_end);
	return g_test_run();
}
