/**
 * @file
 * Entry servers as processes, with the stand-ins for the store and the
 * searchers in the test's own loop, and a proxy between each VM and the store.
 */
#ifndef WISTERIAVANE_TEST_ENTRY_WORLD_H
#define WISTERIAVANE_TEST_ENTRY_WORLD_H

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#include "entry/client.h"
#include "entry/dialect.h"
#include "entry/socket.h"
#include "http/json.h"
#include "platform/standin/standin.h"
#include "soak/proxy.h"
#include "standin/common/ports.h"

/** VMs of a test. */
#define VMS 4
/** Ports of each VM: callers, addresses, readiness, peers, metrics, store. */
#define VM_PORTS 6
/** Services, the last of which runs requests once, and their searchers. */
#define SERVICES 3
#define REPLICAS 2
/** Work of a request, ms, and of a long one. */
#define WORK 5
#define LONG_WORK 500
/** Time in which VMs must know each other, searchers and routes, ms. */
#define KNOWN_WITHIN 3000
/** Time after which what has no stated bound counts as missed, ms. */
#define EVENT_LIMIT 20000
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

static inline bool
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

static inline void
on_end(void *data, struct client *client, enum client_end end)
{
	struct exchange *exchange = data;

	(void)client;
	(void)end;
	event_base_loopbreak(exchange->base);
}

static const struct client_ops ops = {on_answer, on_end};

static inline void
on_time(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(data);
}

/* Runs the stand-ins for a time, or until something ends it. */
static inline void
run_for(struct world *world, wv_msec time)
{
	struct timeval limit = socket_timeval(time);

	event_add(world->timer, &limit);
	event_base_dispatch(world->base);
	event_del(world->timer);
}

/* Sends bytes and returns the answer's status, or 0 without one. */
static inline unsigned
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
static inline struct world *
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
static inline char *
searcher_id(unsigned i)
{
	return standin_searcher_id(i / REPLICAS, i % REPLICAS);
}

static inline void
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

static inline void
write_routes(struct world *world, uint64_t version)
{
	struct standin_shape shape = {SERVICES, REPLICAS, 4, 5};

	standin_store_write(world->store, STANDIN_ROUTES, STANDIN_ROUTES_NAME,
	    standin_routes(&shape, version, 1500));
}

static inline void
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
static inline void
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

static inline void
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
static inline void
stop_vm(struct world *world, struct vm *vm)
{
	g_subprocess_send_signal(vm->process, SIGTERM);
	run_for(world, 300);
	g_assert_true(g_subprocess_wait(vm->process, NULL, NULL));
	g_assert_true(g_subprocess_get_successful(vm->process));
}

static inline void
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
static inline bool
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
static inline bool
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
static inline bool
wait_logged(struct world *world, const struct vm *vm, const char *text)
{
	return wait_logged_within(world, vm, text, KNOWN_WITHIN);
}

/* Number of VMs that a VM names to callers. */
static inline unsigned
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
static inline bool
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

/* Returns an order; the caller owns it. */
static inline char *
compose_order(const char *id)
{
	const struct dialect *dialect = platform_dialect();

	return g_strdup_printf("POST /order/q HTTP/1.1\r\n"
			       "Host: maps.example\r\n%s: %s\r\n%s: 1200\r\n"
			       "Content-Length: 4\r\n\r\nmaps",
	    dialect->request_id, id, dialect->deadline);
}

#endif
