/**
 * @file
 * Tests of the entry server as processes, with the stand-ins for the store
 * and the searchers.
 */
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry/client.h"
#include "entry/dialect.h"
#include "entry/socket.h"
#include "http/json.h"
#include "platform/standin/standin.h"
#include "proto/vm_report.pb-c.h"
#include "soak/proxy.h"
#include "standin/common/ports.h"

/** VMs of a test. */
#define VMS 4
/** Ports of each VM: callers, addresses, readiness, peers, metrics, store. */
#define VM_PORTS 6
/** VMs that follow the store themselves. */
#define WATCHERS 3
/** Time in which a change must be in force everywhere, ms. */
#define FORCE_WITHIN 3000
/** Services, the last of which runs requests once, and their searchers. */
#define SERVICES 3
#define REPLICAS 2
/** Work of a request, ms, and of a long one. */
#define WORK 5
#define LONG_WORK 500
/** Time in which VMs must know each other, searchers and routes, ms. */
#define KNOWN_WITHIN 3000
/** Time for which lines of the log are collected, ms. */
#define LOG_DELAY 300
/** Time after which a change of the settings file counts as missed, ms. */
#define RELOAD_LIMIT 20000
/** Time in which an answer must come, ms. */
#define ANSWER_WITHIN 3000
/** Time between two looks at a condition, ms. */
#define LOOK 20

struct vm {
	GSubprocess *process;
	char *settings; /* path */
	char *log; /* path */
	char *callers;
	char *addresses;
	struct proxy *store; /* its way to the store */
};

struct world {
	struct world *next; /* of those that have ended */
	struct event_base *base;
	struct event *timer; /* end of run_for() */
	char *dir;
	char *store_address;
	struct standin_store *store;
	struct standin_searchers *searchers;
	struct vm vms[VMS];
	unsigned n_vms;
	unsigned int ports[1 + SERVICES * REPLICAS + VMS * VM_PORTS];
};

/* Worlds of former tests. */
static struct world *ended;

/* One exchange over a connection of its own. */
struct exchange {
	struct event_base *base;
	unsigned status; /* 0: no answer */
	GString *body;
};

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct exchange *exchange = data;

	(void)client;
	exchange->status = answer->status;
	g_string_append_len(
	    exchange->body, answer->body->str, (gssize)answer->body->len);
	message_destroy(answer);
	event_base_loopbreak(exchange->base);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end end)
{
	struct exchange *exchange = data;

	(void)client;
	(void)end;
	event_base_loopbreak(exchange->base);
}

static const struct client_ops ops = {on_answer, on_end};

static void
on_time(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(data);
}

/* Runs the stand-ins for a time, or until something ends it. */
static void
run_for(struct world *world, wv_msec time)
{
	struct timeval limit = socket_timeval(time);

	event_add(world->timer, &limit);
	event_base_dispatch(world->base);
	event_del(world->timer);
}

/* Sends bytes and returns the answer's status, or 0 without one. */
static unsigned
exchange_bytes(
    struct world *world, const char *address, const char *bytes, GString *body)
{
	struct exchange exchange = {world->base, 0, body};
	struct client *client =
	    client_create(world->base, address, &ops, &exchange);

	client_send(client, wv_string_borrow(bytes), false);
	run_for(world, ANSWER_WITHIN);
	client_destroy(client);
	return exchange.status;
}

/* Creates the searchers; each request is so much work, ms. */
static struct world *
world_create(double work)
{
	struct world *world = g_new0(struct world, 1);
	struct standin_shape shape = {SERVICES, REPLICAS, 4, work};

	world->base = event_base_new();
	world->timer = event_new(world->base, -1, 0, on_time, world->base);
	world->dir = g_dir_make_tmp("wisteriavane-XXXXXX", NULL);
	g_assert_true(
	    standin_free_ports(world->ports, G_N_ELEMENTS(world->ports)));
	world->store_address = g_strdup_printf("127.0.0.1:%u", world->ports[0]);
	world->searchers = standin_searchers_create(
	    world->base, &shape, "127.0.0.1", world->ports + 1);
	return world;
}

/* The identifier that the stand-in's searcher has; the caller owns it. */
static char *
searcher_id(unsigned i)
{
	return standin_searcher_id(i / REPLICAS, i % REPLICAS);
}

static void
write_searchers(struct world *world)
{
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++) {
		char *id = searcher_id(i);
		char *service = g_strdup_printf("s%u", i / REPLICAS);

		standin_store_write(world->store, STANDIN_SEARCHERS, id,
		    standin_searcher_entry(service,
			standin_searchers_address(
			    world->searchers, i / REPLICAS, i % REPLICAS),
			1, false));
		g_free(id);
		g_free(service);
	}
}

static void
write_routes(struct world *world, uint64_t version)
{
	struct standin_shape shape = {SERVICES, REPLICAS, 4, 5};

	standin_store_write(world->store, STANDIN_ROUTES, STANDIN_ROUTES_NAME,
	    standin_routes(&shape, version, 1500));
}

static void
open_store(struct world *world)
{
	world->store = standin_store_create(world->base, world->store_address);
	write_searchers(world);
	write_routes(world, 1);
}

/*
 * A VM ends with the test, also if the test fails. Signals that are sent while
 * it starts wait until it takes them.
 */
static void
prepare_child(void *data)
{
	sigset_t signals;

	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}

static void
start_vm(struct world *world)
{
	unsigned i = world->n_vms++;
	struct vm *vm = &world->vms[i];
	const unsigned int *ports =
	    world->ports + 1 + SERVICES * REPLICAS + (size_t)i * VM_PORTS;
	GSubprocessLauncher *launcher =
	    g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	struct standin_vm standin = {.ip = "127.0.0.1",
	    .readiness = ports[2],
	    .peers = ports[3],
	    .metrics = ports[4],
	    .stop_s = 2};
	char *name = g_strdup_printf("vm%u", i);
	char *link = g_strdup_printf("127.0.0.1:%u", ports[5]);
	char *text;

	vm->settings = g_strdup_printf("%s/vm%u.json", world->dir, i);
	vm->log = g_strdup_printf("%s/vm%u.log", world->dir, i);
	vm->callers = g_strdup_printf("127.0.0.1:%u", ports[0]);
	vm->addresses = g_strdup_printf("127.0.0.1:%u", ports[1]);
	standin.name = name;
	standin.callers = vm->callers;
	standin.addresses = vm->addresses;
	vm->store = proxy_create(world->base, link, world->store_address);
	standin.store = proxy_address(vm->store);
	text = standin_vm_settings(&standin);
	g_assert_true(g_file_set_contents(vm->settings, text, -1, NULL));
	g_subprocess_launcher_set_child_setup(
	    launcher, prepare_child, NULL, NULL);
	g_subprocess_launcher_set_stdout_file_path(launcher, vm->log);
	vm->process = g_subprocess_launcher_spawn(launcher, NULL,
	    WV_BUILD_DIR "/wisteriavane-entry", "--settings", vm->settings,
	    NULL);
	g_assert_nonnull(vm->process);
	g_object_unref(launcher);
	g_free(link);
	g_free(name);
	g_free(text);
}

/* Ends a VM as planned; it must end by itself, with success. */
static void
stop_vm(struct world *world, struct vm *vm)
{
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(world, 300);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
}

static void
world_destroy(struct world *world)
{
	for (unsigned i = 0; i < world->n_vms; i++) {
		struct vm *vm = &world->vms[i];

		g_subprocess_force_exit(vm->process);
		g_subprocess_wait(vm->process, NULL, NULL);
		g_object_unref(vm->process);
		g_unlink(vm->settings);
		g_unlink(vm->log);
		g_free(vm->settings);
		g_free(vm->log);
		g_free(vm->callers);
		g_free(vm->addresses);
	}
	g_rmdir(world->dir);
	g_free(world->dir);
	g_free(world->store_address);
	event_free(world->timer);
	/* Stand-ins have no end: they live on with the world's loop. */
	world->next = ended;
	ended = world;
}

/* Whether a VM's log has a text. */
static bool
has_logged(const struct vm *vm, const char *text)
{
	char *content = NULL;
	bool found;

	if (!g_file_get_contents(vm->log, &content, NULL, NULL))
		return false;
	found = strstr(content, text) != NULL;
	g_free(content);
	return found;
}

/* Waits until a VM has logged a text; the time in ms is a limit. */
static bool
wait_logged_within(
    struct world *world, const struct vm *vm, const char *text, int time)
{
	for (int i = 0; i < time / LOOK; i++) {
		if (has_logged(vm, text))
			return true;
		run_for(world, LOOK);
	}
	return false;
}

/* Waits until a VM has logged a text that shows what it knows. */
static bool
wait_logged(struct world *world, const struct vm *vm, const char *text)
{
	return wait_logged_within(world, vm, text, KNOWN_WITHIN);
}

/* Number of VMs that a VM names to callers. */
static unsigned
count_named(struct world *world, const struct vm *vm)
{
	GString *query = standin_address_query();
	GString *body = g_string_new(NULL);
	unsigned n = 0;

	exchange_bytes(world, vm->addresses, query->str, body);
	for (unsigned i = 0; i < world->n_vms; i++)
		n += strstr(body->str, world->vms[i].callers) != NULL;
	g_string_free(query, TRUE);
	g_string_free(body, TRUE);
	return n;
}

/* Waits until each VM names all of them. */
static bool
wait_known(struct world *world)
{
	for (int i = 0; i < KNOWN_WITHIN / LOOK; i++) {
		unsigned n = 0;

		for (unsigned k = 0; k < world->n_vms; k++)
			n += count_named(world, &world->vms[k]);
		if (n == world->n_vms * world->n_vms)
			return true;
		run_for(world, LOOK);
	}
	return false;
}

/* VMs that start at the same moment learn of each other. */
static void
test_start_at_once(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	for (unsigned i = 0; i < VMS; i++)
		start_vm(world);
	g_assert_true(wait_known(world));
	world_destroy(world);
}

/* Reports a VM to another one, as anybody may. */
static void
report_vm(struct world *world, unsigned to, const char *peers)
{
	unsigned int port =
	    world->ports[1 + SERVICES * REPLICAS + (size_t)to * VM_PORTS + 3];
	VmReport report = VM_REPORT__INIT;
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	uint8_t buffer[256];
	size_t length;

	report.protocol = 1;
	report.name = "reported";
	report.incarnation = 1;
	report.sequence = 1;
	report.peers = (char *)peers;
	report.callers = "127.0.0.1:1";
	report.zone = "z0";
	report.serving = true;
	report.capacity = 1;
	g_assert_cmpuint(
	    vm_report__get_packed_size(&report), <=, sizeof(buffer));
	length = vm_report__pack(&report, buffer);
	g_assert_cmpint(sendto(fd, buffer, length, 0,
			    (struct sockaddr *)&address, sizeof(address)),
	    ==, (ssize_t)length);
	close(fd);
}

/* A VM that cannot report to another one must say so. */
static void
test_unsent_reports(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	start_vm(world);
	g_assert_true(wait_known(world));
	/* Sending to a broadcast address is not permitted to the socket. */
	report_vm(world, 0, "255.255.255.255:9");
	g_assert_true(wait_logged(world, &world->vms[0], "reports_unsent"));
	stop_vm(world, &world->vms[0]);
	world_destroy(world);
}

/* Replaces a text in the settings file of a VM. */
static void
edit_settings(const struct vm *vm, const char *from, const char *to)
{
	GString *edited = g_string_new(NULL);
	char *text = NULL;

	g_assert_true(g_file_get_contents(vm->settings, &text, NULL, NULL));
	g_string_append(edited, text);
	g_assert_cmpuint(g_string_replace(edited, from, to, 1), ==, 1);
	g_assert_true(g_file_set_contents(vm->settings, edited->str, -1, NULL));
	g_string_free(edited, TRUE);
	g_free(text);
}

/* Waits for a line of a reload, which has no stated limit of time. */
static bool
wait_reload(struct world *world, const struct vm *vm, const char *text)
{
	return wait_logged_within(world, vm, text, RELOAD_LIMIT);
}

/* A changed file is taken without a signal; a faulty one is not. */
static void
test_changed_settings(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_known(world));
	edit_settings(
	    vm, "\"address_lifetime_s\":0.5", "\"address_lifetime_s\":0.7");
	g_assert_true(wait_reload(world, vm,
	    "\"accepted\":true,\"cause\":\"file\",\"needs_restart\":\"\""));
	edit_settings(vm, "\"zone\":\"", "\"zone\":\"other-");
	g_assert_true(wait_reload(world, vm, "\"needs_restart\":\"zone\""));
	edit_settings(vm, "\"address_lifetime_s\":0.7",
	    "\"address_lifetime_s\":\"long\"");
	g_assert_true(wait_reload(world, vm,
	    "\"accepted\":false,\"cause\":\"file\",\"faults\":"
	    "\"$.address_lifetime_s: "));
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_assert_true(
	    wait_reload(world, vm, "\"accepted\":false,\"cause\":\"signal\""));
	stop_vm(world, vm);
	world_destroy(world);
}

/* A store that creates no entry until it is told to. */
struct slow_store {
	char *create_path;
	struct server_conn *creating;
	unsigned lists; /* of VMs, before the entry was created */
};

static void
slow_request(
    void *data, struct server_conn *conn, const struct message *message)
{
	struct slow_store *store = data;
	struct wv_string target = message_target(message);
	char *path = g_strndup(target.data, target.length);

	if (message->method == HTTP_POST) {
		store->creating = conn;
	} else {
		store->lists += g_str_has_prefix(path, store->create_path);
		server_answer_text(conn, 503, "busy\n");
	}
	g_free(path);
}

static void
slow_left(void *data, struct server_conn *conn)
{
	(void)conn;
	((struct slow_store *)data)->creating = NULL;
}

static void
slow_refused(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops slow_ops = {
    slow_request, slow_left, slow_refused};

/*
 * A VM creates its entry before it lists the others. So of two VMs that start
 * at once, the one whose entry is created later lists the other.
 */
static void
test_entry_before_list(void)
{
	struct world *world = world_create(WORK);
	struct slow_store store = {
	    platform_dialect()->create_path(STORE_VMS), NULL, 0};
	struct server *server =
	    server_create(world->base, world->store_address, &slow_ops, &store);

	start_vm(world);
	run_for(world, 700);
	g_assert_nonnull(store.creating);
	g_assert_cmpuint(store.lists, ==, 0);
	server_answer_text(store.creating, 200, "{}");
	run_for(world, 300);
	g_assert_cmpuint(store.lists, >, 0);
	world_destroy(world);
	server_destroy(server);
	g_free(store.create_path);
}

/*
 * Objects that can't be read: each gets a log line; routes stay as they are,
 * a searcher without a readable entry gets nothing.
 */
static void
test_bad_objects(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	standin_store_write(world->store, STANDIN_ROUTES, STANDIN_ROUTES_NAME,
	    json_object_new());
	standin_store_write(
	    world->store, STANDIN_SEARCHERS, "i-0-0", json_object_new());
	g_assert_true(wait_logged(world, vm, "\"routes_unreadable\""));
	g_assert_true(wait_logged(world, vm, "\"searcher_unreadable\""));
	write_routes(world, 2);
	g_assert_true(wait_logged(world, vm, "\"version\":2"));
	stop_vm(world, vm);
	world_destroy(world);
}

/* Each request gets its status; none reaches a searcher. */
static void
test_malformed_requests(void)
{
	static const struct {
		const char *bytes;
		unsigned status;
	} cases[] = {
	    {"GET / HTTP/1.1\r\n\r\n", 400},
	    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
	    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		400},
	    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	     "Content-Length: 4\r\n\r\nabc",
		400},
	    {"GET / HTTP/1.1\nHost: a\n\n", 400},
	    {"GET /none HTTP/1.1\r\nHost: none\r\n\r\n", 404},
	};
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *body = g_string_new(NULL);

		g_assert_cmpuint(
		    exchange_bytes(world, vm->callers, cases[i].bytes, body),
		    ==, cases[i].status);
		g_string_free(body, TRUE);
	}
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++)
		g_assert_cmpuint(standin_searchers_arrivals(world->searchers,
				     i / REPLICAS, i % REPLICAS),
		    ==, 0);
	g_assert_true(wait_logged(world, vm, "\"request_refused\""));
	stop_vm(world, vm);
	world_destroy(world);
}

/* Each kind of outage is logged as lost and regained, once. */
static void
test_store_outages(void)
{
	static const char *const faults[] = {"busy", "silent", "reset"};

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		struct world *world = world_create(WORK);
		struct vm *vm = &world->vms[0];

		open_store(world);
		start_vm(world);
		g_assert_true(wait_logged(world, vm, "\"store_watching\""));
		standin_store_set_fault(world->store, faults[i]);
		/* Calls that wait for changes get them before it shows. */
		write_routes(world, 2);
		write_searchers(world);
		run_for(world, 3500);
		g_assert_true(has_logged(vm, "\"store_lost\""));
		g_assert_false(has_logged(vm, "\"store_regained\""));
		standin_store_set_fault(world->store, "none");
		g_assert_true(wait_logged(world, vm, "\"store_regained\""));
		write_routes(world, 3);
		g_assert_true(wait_logged(world, vm, "\"version\":3"));
		stop_vm(world, vm);
		world_destroy(world);
	}
}

/* Returns an order; the caller owns it. */
static char *
compose_order(const char *id)
{
	const struct dialect *dialect = platform_dialect();

	return g_strdup_printf("POST /order/q HTTP/1.1\r\n"
			       "Host: maps.example\r\n%s: %s\r\n%s: 1200\r\n"
			       "Content-Length: 4\r\n\r\nmaps",
	    dialect->request_id, id, dialect->deadline);
}

/* Requests that have reached a searcher of the last service. */
static uint64_t
count_orders(struct world *world)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < REPLICAS; i++)
		n += standin_searchers_arrivals(
		    world->searchers, SERVICES - 1, i);
	return n;
}

/* Whether a VM follows the store, by the last line that says so. */
static bool
is_watching(const struct vm *vm)
{
	char *content = NULL;
	const char *yes, *no;

	g_assert_true(g_file_get_contents(vm->log, &content, NULL, NULL));
	yes = g_strrstr(content, "\"watching\":true");
	no = g_strrstr(content, "\"watching\":false");
	g_free(content);
	return yes > no;
}

/* Number of VMs that follow the store. */
static unsigned
count_watching(const struct world *world)
{
	unsigned n = 0;

	for (unsigned i = 0; i < world->n_vms; i++)
		n += is_watching(&world->vms[i]);
	return n;
}

/* Waits until as many VMs as needed follow the store, and no more. */
static bool
wait_watching(struct world *world)
{
	for (int i = 0; i < RELOAD_LIMIT / LOOK; i++) {
		if (count_watching(world) == WATCHERS)
			return true;
		run_for(world, LOOK);
	}
	return false;
}

/*
 * When the store falls silent for all VMs that follow it, another one must
 * take over in time for the next change.
 */
static void
test_silent_watchers(void)
{
	struct world *world = world_create(WORK);

	open_store(world);
	for (unsigned i = 0; i < VMS; i++)
		start_vm(world);
	g_assert_true(wait_known(world));
	g_assert_true(wait_watching(world));
	for (unsigned i = 0; i < VMS; i++) {
		if (is_watching(&world->vms[i]))
			proxy_set_mode(world->vms[i].store, PROXY_SILENT);
	}
	write_routes(world, 7);
	run_for(world, FORCE_WITHIN + LOG_DELAY);
	for (unsigned i = 0; i < VMS; i++)
		g_assert_true(has_logged(&world->vms[i], "\"version\":7,"));
	world_destroy(world);
}

/* Signals that arrive while a VM starts must not end it out of turn. */
static void
test_signals_at_start(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];

	open_store(world);
	start_vm(world);
	g_subprocess_send_signal(vm->process, SIGHUP);
	g_subprocess_send_signal(vm->process, SIGTERM);
	g_assert_true(wait_logged_within(
	    world, vm, "\"event\":\"stopped\"", RELOAD_LIMIT));
	g_assert_true(has_logged(vm, "\"cause\":\"signal\""));
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	world_destroy(world);
}

/* A request in progress is answered although its VM is asked to stop. */
static void
test_planned_stop(void)
{
	struct world *world = world_create(LONG_WORK);
	struct vm *vm = &world->vms[0];
	char *order = compose_order("order-1");
	struct exchange exchange = {world->base, 0, g_string_new(NULL)};
	struct client *client;

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	client = client_create(world->base, vm->callers, &ops, &exchange);
	client_send(client, wv_string_borrow(order), false);
	run_for(world, 100);
	g_assert_cmpuint(count_orders(world), ==, 1);
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(world, ANSWER_WITHIN);
	g_assert_cmpuint(exchange.status, ==, 200);
	g_assert_cmpuint(
	    standin_searchers_runs(world->searchers, "order-1"), ==, 1);
	client_destroy(client);
	run_for(world, 2000);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
	g_assert_true(has_logged(vm, "\"stopped\""));
	g_string_free(exchange.body, TRUE);
	g_free(order);
	world_destroy(world);
}

/* Without searchers an order is refused at once, has not run and never will. */
static void
test_refused_without_searchers(void)
{
	struct world *world = world_create(WORK);
	struct vm *vm = &world->vms[0];
	char *order = compose_order("order-2");
	GString *body = g_string_new(NULL);

	open_store(world);
	start_vm(world);
	g_assert_true(wait_logged(world, vm, "\"store_watching\""));
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++) {
		char *id = searcher_id(i);

		standin_store_remove(world->store, STANDIN_SEARCHERS, id);
		g_free(id);
	}
	g_assert_true(wait_logged(world, vm, "\"searcher\":\"i-2-1\"}"));
	g_assert_cmpuint(
	    exchange_bytes(world, vm->callers, order, body), ==, 503);
	g_assert_true(wait_logged(
	    world, vm, "\"status\":503,\"reason\":\"unreachable\""));
	write_searchers(world);
	run_for(world, 500);
	g_assert_cmpuint(
	    standin_searchers_runs(world->searchers, "order-2"), ==, 0);
	stop_vm(world, vm);
	g_string_free(body, TRUE);
	g_free(order);
	world_destroy(world);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	g_test_add_func("/entry-process/start-at-once", test_start_at_once);
	g_test_add_func("/entry-process/unsent-reports", test_unsent_reports);
	g_test_add_func(
	    "/entry-process/changed-settings", test_changed_settings);
	g_test_add_func(
	    "/entry-process/entry-before-list", test_entry_before_list);
	g_test_add_func("/entry-process/bad-objects", test_bad_objects);
	g_test_add_func(
	    "/entry-process/malformed-requests", test_malformed_requests);
	g_test_add_func("/entry-process/store-outages", test_store_outages);
	g_test_add_func("/entry-process/silent-watchers", test_silent_watchers);
	g_test_add_func(
	    "/entry-process/signals-at-start", test_signals_at_start);
	g_test_add_func("/entry-process/planned-stop", test_planned_stop);
	g_test_add_func("/entry-process/refused-without-searchers",
	    test_refused_without_searchers);
	return g_test_run();
}
