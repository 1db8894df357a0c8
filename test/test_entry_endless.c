/**
 * @file
 * Tests of peers in trouble that send bytes without end until the other side
 * closes: searchers, the store and callers. Time and memory must be bounded,
 * the connection closed, and the request tried elsewhere or ended truthfully.
 */
#include "test/endless.h"
#include "test/entry_fixture.h"

/** Bytes that a VM may read of one answer before it closes the connection. */
#define MAX_READ_BYTES (16u << 20)
/** Memory that a VM may use at its peak, kB: that of the smallest VMs. */
#define MAX_MEMORY_KB (160 * 1024)
/** Time in which a store's call must be given up, ms. */
#define STORE_CALL_TIME 3000

static const struct endless_bytes kinds[] = {
    {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa"}, /* in a field */
    {"HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"}, /* fields */
    {"", "not an answer "}, /* no head at all */
    {"", "HTTP/1.1 100 Continue\r\n\r\n"}, /* interim answers */
    {"HTTP/1.1 200 OK\r\nContent-Length: 4000000000\r\n\r\n", "a"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "a"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"10\r\naaaaaaaaaaaaaaaa\r\n"},
    {"HTTP/1.1 200 OK\r\n\r\n", "a"}, /* until the connection closes */
};

/* Returns the address of a port that no VM of the test uses. Owned. */
static char *
spare_address(const struct fixture *fixture)
{
	size_t port = 1 + N_SERVICES * N_REPLICAS + (N_VMS - 1) * VM_PORTS;

	return g_strdup_printf("127.0.0.1:%u", fixture->ports[port]);
}

/* Returns the peak memory of a VM's process, kB. */
static unsigned
peak_memory(const struct vm *vm)
{
	char *path = g_strdup_printf(
	    "/proc/%s/status", g_subprocess_get_identifier(vm->process));
	char *content = NULL;
	unsigned peak;

	g_assert_true(g_file_get_contents(path, &content, NULL, NULL));
	peak = (unsigned)strtoul(
	    strstr(content, "VmHWM:") + strlen("VmHWM:"), NULL, 10);
	g_free(content);
	g_free(path);
	return peak;
}

/* Moves a searcher's registration to another address. */
static void
move_searcher(struct fixture *fixture, unsigned service, unsigned replica,
    const char *address)
{
	char *id = standin_searcher_id(service, replica);
	char *name = g_strdup_printf("s%u", service);

	standin_store_write(fixture->store, STANDIN_KIND_SEARCHERS, id,
	    standin_searcher_spec(name, address, 1, false));
	g_free(name);
	g_free(id);
}

/* Waits until the VM has closed all connections to a server. */
static bool
wait_closed(struct fixture *fixture, const struct endless_server *server)
{
	for (int i = 0; i < MAX_ANSWER_TIME / CHECK_INTERVAL; i++) {
		if (server->accepted > 0 && server->open == 0)
			return true;
		run_for(fixture, CHECK_INTERVAL);
	}
	return false;
}

/* Returns a search of all services; the caller owns it. */
static char *
compose_search(int i)
{
	const struct platform_adapter *adapter = platform_get_adapter();

	return g_strdup_printf("GET /search/q HTTP/1.1\r\n"
			       "Host: maps.example\r\n%s: search-%d\r\n"
			       "%s: 1200\r\n\r\n",
	    adapter->request_id, i, adapter->deadline);
}

/* Sends searches until one has reached the server; each must be answered. */
static void
search_until_reached(struct fixture *fixture, const struct vm *vm,
    const struct endless_server *server)
{
	for (int i = 0; i < 20 && server->accepted == 0; i++) {
		char *search = compose_search(i);
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(fixture, vm->callers, search, body), ==,
		    200);
		g_string_free(body, TRUE);
		g_free(search);
	}
	g_assert_cmpuint(server->accepted, >, 0);
}

/* One of two replicas sends without end: searches are served by the other. */
static void
test_searcher(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct fixture *fixture = fixture_create(WORK_TIME);
		struct vm *vm = &fixture->vms[0];
		char *address = spare_address(fixture);
		struct endless_server *server =
		    endless_create(fixture->base, address, &kinds[i]);

		open_store(fixture);
		move_searcher(fixture, 0, 0, address);
		start_vm(fixture);
		g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
		search_until_reached(fixture, vm, server);
		g_assert_true(wait_closed(fixture, server));
		g_assert_cmpuint(
		    server->sent / server->accepted, <=, MAX_READ_BYTES);
		g_assert_cmpuint(peak_memory(vm), <=, MAX_MEMORY_KB);
		g_assert_true(wait_logged(fixture, vm, "\"attempt_failed\""));
		stop_vm(fixture, vm);
		endless_destroy(server);
		g_free(address);
		fixture_destroy(fixture);
	}
}

/*
 * All searchers of the service send without end: a request that may run once
 * ends with a failure that does not claim that it has not run.
 */
static void
test_all_searchers(void)
{
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];
	char *address = spare_address(fixture);
	char *order = compose_order("order-1");
	struct endless_server *server = endless_create(
	    fixture->base, address, &kinds[G_N_ELEMENTS(kinds) - 1]);
	GString *body = g_string_new(NULL);
	unsigned status;

	open_store(fixture);
	for (unsigned i = 0; i < N_REPLICAS; i++)
		move_searcher(fixture, N_SERVICES - 1, i, address);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	status = exchange_bytes(fixture, vm->callers, order, body);
	g_assert_true(status == 502 || status == 504);
	g_assert_true(wait_closed(fixture, server));
	g_assert_cmpuint(server->accepted, ==, 1);
	stop_vm(fixture, vm);
	g_string_free(body, TRUE);
	endless_destroy(server);
	g_free(order);
	g_free(address);
	fixture_destroy(fixture);
}

/* A store that sends without end: the VM gives its calls up and lives on. */
static void
test_store(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct fixture *fixture = fixture_create(WORK_TIME);
		struct vm *vm = &fixture->vms[0];
		struct endless_server *server = endless_create(
		    fixture->base, fixture->store_address, &kinds[i]);

		start_vm(fixture);
		run_for(fixture, STORE_CALL_TIME);
		g_assert_true(has_logged(vm, "\"store_lost\""));
		g_assert_cmpuint(peak_memory(vm), <=, MAX_MEMORY_KB);
		stop_vm(fixture, vm);
		endless_destroy(server);
		fixture_destroy(fixture);
	}
}

/* A caller's connection on which bytes are sent as long as it is open. */
struct flood {
	struct event *event;
	const char *repeat;
	size_t at; /* in the pattern: sends may be partial */
	bool closed;
	char answer[sizeof("HTTP/1.1 400")]; /* what the VM sent first */
};

static void
flood_on_event(evutil_socket_t fd, short what, void *data)
{
	struct flood *flood = data;
	char bytes[256];
	ssize_t n;

	if ((what & EV_READ) != 0) {
		n = recv(fd, bytes, sizeof(bytes) - 1, MSG_DONTWAIT);
		if (n <= 0 && errno != EAGAIN) {
			flood->closed = true;
			event_del(flood->event);
			return;
		}
		if (n > 0 && flood->answer[0] == '\0') {
			bytes[n] = '\0';
			g_strlcpy(flood->answer, bytes, sizeof(flood->answer));
		}
	}
	n = send(fd, flood->repeat + flood->at,
	    strlen(flood->repeat) - flood->at, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n > 0)
		flood->at = (flood->at + (size_t)n) % strlen(flood->repeat);
	if (n < 0 && errno != EAGAIN) {
		flood->closed = true;
		event_del(flood->event);
	}
}

/* A caller sends a head or a body without end: it is refused and cut off. */
static void
test_caller(void)
{
	static const struct {
		const char *begin;
		const char *repeat;
		const char *answer;
		const char *other_answer; /* if much is read at once */
	} cases[] = {
	    {"GET / HTTP/1.1\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n",
		"HTTP/1.1 431", "HTTP/1.1 431"},
	    {"", "no request ", "HTTP/1.1 400", "HTTP/1.1 431"},
	    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
	     "\r\n\r\n",
		"10\r\naaaaaaaaaaaaaaaa\r\n", "HTTP/1.1 413", "HTTP/1.1 413"},
	};
	struct fixture *fixture = fixture_create(WORK_TIME);
	struct vm *vm = &fixture->vms[0];

	open_store(fixture);
	start_vm(fixture);
	g_assert_true(wait_logged(fixture, vm, "\"store_watching\""));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct flood flood = {.repeat = cases[i].repeat};
		int fd = socket_connect(vm->callers);

		g_assert_cmpint(fd, >=, 0);
		run_for(fixture, CHECK_INTERVAL);
		send(fd, cases[i].begin, strlen(cases[i].begin), MSG_NOSIGNAL);
		flood.event = event_new(fixture->base, fd,
		    EV_READ | EV_WRITE | EV_PERSIST, flood_on_event, &flood);
		event_add(flood.event, NULL);
		run_for(fixture, MAX_ANSWER_TIME);
		g_assert_true(flood.closed);
		if (!g_str_equal(flood.answer, cases[i].other_answer))
			g_assert_cmpstr(flood.answer, ==, cases[i].answer);
		event_free(flood.event);
		close(fd);
	}
	g_assert_cmpuint(peak_memory(vm), <=, MAX_MEMORY_KB);
	stop_vm(fixture, vm);
	fixture_destroy(fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	/*
	 * A VM that is built with the address sanitizer would keep 256 MB of
	 * freed memory, which says nothing of what it uses.
	 */
	g_setenv("ASAN_OPTIONS", "quarantine_size_mb=1", TRUE);
	g_test_add_func("/entry-endless/searcher", test_searcher);
	g_test_add_func("/entry-endless/all-searchers", test_all_searchers);
	g_test_add_func("/entry-endless/store", test_store);
	g_test_add_func("/entry-endless/caller", test_caller);
	return g_test_run();
}
