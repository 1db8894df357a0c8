/**
 * @file
 * Processes, clients, searchers, timers and the record of the harness.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "entry/socket.h"
#include "review/harness/harness.h"
#include "review/harness/store.h"

/** Ports of each machine: callers, readiness, addresses, peers, metrics. */
#define N_PORTS 5
/** Delay until a process that ended by itself is started again, ms. */
#define RESTART_DELAY 300
/** Exit code of a child that could not execute the program. */
#define EXIT_NO_PROGRAM 127

struct task {
	struct harness *harness;
	struct event *event;
	wv_msec period;
	void (*call)(void *data);
	void *data;
};

static wv_msec
monotonic_time(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (wv_msec)now.tv_sec * 1000 + (wv_msec)now.tv_nsec / 1e6;
}

wv_msec
harness_now(const struct harness *harness)
{
	return monotonic_time() - harness->started_at;
}

void
record(struct harness *harness, const char *format, ...)
{
	va_list args;

	fprintf(harness->record, "%9.1f ms  ", harness_now(harness));
	va_start(args, format);
	vfprintf(harness->record, format, args);
	va_end(args);
	fputc('\n', harness->record);
}

/* Whether all ports from a first one are free on an address. */
static bool
are_free(const char *ip, unsigned first)
{
	bool all = true;

	for (unsigned i = 0; i < N_PORTS && all; i++) {
		char *address = g_strdup_printf("%s:%u", ip, first + i);
		int tcp = socket_listen(address, 1);
		int udp = socket_datagram(address);

		all = tcp >= 0 && udp >= 0;
		if (tcp >= 0)
			close(tcp);
		if (udp >= 0)
			close(udp);
		g_free(address);
	}
	return all;
}

static char *
machine_ip(const struct harness *harness, unsigned i)
{
	return g_strdup_printf(
	    "127.%u.%u.%u", harness->net, 1 + i / 200, 1 + i % 200);
}

static void
choose_addresses(struct harness *harness)
{
	char *ip;

	harness->net = 20 + (unsigned)getpid() % 200;
	harness->port = 20000 + (unsigned)getpid() % 300 * 20;
	ip = machine_ip(harness, 0);
	while (!are_free(ip, harness->port))
		harness->port += N_PORTS;
	g_free(ip);
}

struct harness *
harness_create(void)
{
	struct harness *harness = g_new0(struct harness, 1);
	const char *trouble = g_getenv("TROUBLE");
	const char *file = g_getenv("RECORD");
	const char *program = g_getenv("PROGRAM");

	signal(SIGPIPE, SIG_IGN);
	harness->trouble = trouble == NULL || !g_str_equal(trouble, "0");
	harness->program =
	    g_strdup(program == NULL ? "target/wisteriavane-entry" : program);
	harness->record = fopen(file == NULL ? "record.txt" : file, "w");
	harness->dir = g_dir_make_tmp("review-XXXXXX", NULL);
	if (harness->record == NULL || harness->dir == NULL ||
	    access(harness->program, X_OK) != 0)
		exit(EXIT_NOT_RUN);
	harness->started_at = monotonic_time();
	harness->base = event_base_new();
	harness->vms = g_ptr_array_new();
	harness->searchers = g_ptr_array_new();
	harness->result = EXIT_HELD;
	choose_addresses(harness);
	harness->store = store_create(harness);
	record(harness, "trouble %s", harness->trouble ? "on" : "off");
	return harness;
}

static void
end_vm(struct vm *vm)
{
	if (vm->pid == 0)
		return;
	vm->expect_end = true;
	kill(vm->pid, SIGKILL);
	waitpid(vm->pid, NULL, 0);
	vm->pid = 0;
}

static void
remove_folder(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	g_rmdir(path);
}

int
harness_finish(struct harness *harness)
{
	for (guint i = 0; i < harness->vms->len; i++)
		end_vm(harness->vms->pdata[i]);
	if (g_getenv("KEEP_LOGS") == NULL)
		remove_folder(harness->dir);
	else
		printf("logs: %s\n", harness->dir);
	record(harness, "result %d (0: rule held, 1: rule broken, 2: not run)",
	    harness->result);
	fclose(harness->record);
	return harness->result;
}

static void
on_loop_end(evutil_socket_t fd, short what, void *data)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(data);
}

void
run_for(struct harness *harness, wv_msec time)
{
	struct timeval limit = socket_timeval(time);
	struct event *timer =
	    event_new(harness->base, -1, 0, on_loop_end, harness->base);

	event_add(timer, &limit);
	event_base_dispatch(harness->base);
	event_free(timer);
	fflush(harness->record);
}

static void
on_task(evutil_socket_t fd, short what, void *data)
{
	struct task *task = data;
	struct timeval time = socket_timeval(task->period);

	(void)fd;
	(void)what;
	if (task->period > 0)
		event_add(task->event, &time);
	task->call(task->data);
}

struct task *
task_start(struct harness *harness, wv_msec delay, wv_msec period,
    void (*call)(void *data), void *data)
{
	struct task *task = g_new0(struct task, 1);
	struct timeval time = socket_timeval(delay);

	task->harness = harness;
	task->period = period;
	task->call = call;
	task->data = data;
	task->event = event_new(harness->base, -1, 0, on_task, task);
	event_add(task->event, &time);
	return task;
}

void
task_stop(struct task *task)
{
	event_free(task->event);
	g_free(task);
}

/* A request that runs at a searcher. */
struct run {
	struct searcher *searcher;
	struct server_conn *conn;
	struct event *timer;
	char *id;
	unsigned status;
};

static void
run_destroy(struct run *run)
{
	event_free(run->timer);
	g_free(run->id);
	g_free(run);
}

static void
on_run_end(evutil_socket_t fd, short what, void *data)
{
	struct run *run = data;
	struct searcher *searcher = run->searcher;
	GString *fields = g_string_new(NULL);
	char records[32] = "0123456789abcdef0123456789ABCDEF";

	(void)fd;
	(void)what;
	g_string_append_printf(fields,
	    "X-Request-Id: %s\r\nX-Server-Stamp: %s.%s.%s\r\n", run->id,
	    searcher->service, searcher->id, run->id);
	memcpy(records + 16, run->id, MIN(strlen(run->id), 16));
	record(searcher->harness, "searcher %s answers %s: %u", searcher->id,
	    run->id, run->status);
	server_conn_set_context(run->conn, NULL);
	server_answer(run->conn, run->status, fields,
	    (struct wv_string){records, sizeof(records)});
	g_string_free(fields, TRUE);
	run_destroy(run);
}

static void
reject(struct searcher *searcher, struct server_conn *conn, const char *id,
    unsigned status)
{
	GString *fields = g_string_new("X-Not-Executed: 1\r\n");

	g_string_append_printf(fields, "X-Request-Id: %s\r\n", id);
	record(searcher->harness, "searcher %s answers %s: %u, not run",
	    searcher->id, id, status);
	server_answer(conn, status, fields, (struct wv_string){"", 0});
	g_string_free(fields, TRUE);
}

char *
answer_field(const struct message *answer, const char *name)
{
	struct wv_string value = {"", 0};

	message_find_field(answer, name, &value);
	return g_strndup(value.data, value.length);
}

static void
start_run(struct searcher *searcher, struct server_conn *conn, const char *id,
    unsigned status)
{
	struct timeval time = socket_timeval(searcher->work_ms);
	struct run *run = g_new0(struct run, 1);

	record(searcher->harness, "searcher %s (%s) runs %s", searcher->id,
	    searcher->service, id);
	if (searcher->ran != NULL)
		searcher->ran(searcher, id);
	run->searcher = searcher;
	run->conn = conn;
	run->id = g_strdup(id);
	run->status = status;
	run->timer = event_new(searcher->harness->base, -1, 0, on_run_end, run);
	event_add(run->timer, &time);
	server_conn_set_context(conn, run);
}

static void
on_search(void *data, struct server_conn *conn, const struct message *message)
{
	struct searcher *searcher = data;
	char *expected = answer_field(message, "X-Expected-Instance");
	char *id = answer_field(message, "X-Request-Id");
	struct verdict verdict = {200, false};

	server_conn_set_context(conn, NULL);
	if (expected[0] != '\0' && !g_str_equal(expected, searcher->id)) {
		reject(searcher, conn, id, 421);
	} else {
		if (searcher->decide != NULL)
			verdict = searcher->decide(searcher, id);
		if (verdict.not_run)
			reject(searcher, conn, id, verdict.status);
		else
			start_run(searcher, conn, id, verdict.status);
	}
	g_free(expected);
	g_free(id);
}

static void
on_search_left(void *data, struct server_conn *conn)
{
	struct run *run = server_conn_context(conn);

	(void)data;
	if (run != NULL)
		run_destroy(run);
}

static void
on_search_rejected(void *data, unsigned status)
{
	(void)data;
	(void)status;
}

static const struct server_ops searcher_ops = {
    on_search, on_search_left, on_search_rejected};

void
searcher_register(struct searcher *searcher)
{
	char *spec = g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"coldLeftMs\":0,"
	    "\"sequence\":%" G_GUINT64_FORMAT ",\"born\":%" G_GUINT64_FORMAT
	    "}",
	    searcher->service, searcher->address,
	    searcher->draining ? "draining" : "ready", ++searcher->sequence,
	    searcher->started);

	store_put(searcher->harness->store, KIND_SERVERS, searcher->id, spec);
	g_free(spec);
}

/* Opens a server on a free port of an address; sets *address. */
static struct server *
open_server(struct harness *harness, const struct server_ops *ops, void *data,
    char **address)
{
	static unsigned next;

	for (;;) {
		struct server *server;

		*address = g_strdup_printf("127.%u.250.1:%u", harness->net,
		    harness->port + 1000 + next++);
		server = server_create(harness->base, *address, ops, data);
		if (server != NULL)
			return server;
		g_free(*address);
	}
}

struct searcher *
searcher_start(struct harness *harness, const char *service, const char *id)
{
	static const struct wv_caller_limits limits = {
	    65536, 1 << 20, 10000, 60000};
	struct searcher *searcher = g_new0(struct searcher, 1);

	searcher->harness = harness;
	searcher->service = g_strdup(service);
	searcher->id = g_strdup(id);
	searcher->work_ms = 5;
	searcher->started = (uint64_t)g_get_real_time() / 1000;
	searcher->server =
	    open_server(harness, &searcher_ops, searcher, &searcher->address);
	server_set_limits(searcher->server, &limits);
	g_ptr_array_add(harness->searchers, searcher);
	searcher_register(searcher);
	return searcher;
}

static void
write_settings(const struct vm *vm)
{
	const struct harness *harness = vm->harness;
	unsigned port = harness->port;
	char *text = g_strdup_printf(
	    "{\"vm\":\"%s\",\"zone\":\"z1\",\"callers\":\"%s\","
	    "\"readiness\":\"%s\",\"addresses\":\"%s:%u\","
	    "\"peers\":\"%s:%u\",\"metrics\":\"%s:%u\",\"store\":\"%s\","
	    "\"capacity\":0.25,\"retry_ratio\":0.2,\"retry_slack\":58,"
	    "\"retry_window_s\":10,\"stop_s\":6,\"address_lifetime_s\":3}\n",
	    vm->name, vm->callers, vm->readiness, vm->ip, port + 2, vm->ip,
	    port + 3, vm->ip, port + 4, vm->door->address);

	g_file_set_contents(vm->settings, text, -1, NULL);
	g_free(text);
}

struct vm *
vm_create(struct harness *harness, const char *name)
{
	struct vm *vm = g_new0(struct vm, 1);

	vm->harness = harness;
	vm->index = harness->vms->len;
	vm->name = g_strdup(name);
	vm->ip = machine_ip(harness, vm->index);
	vm->callers = g_strdup_printf("%s:%u", vm->ip, harness->port);
	vm->readiness = g_strdup_printf("%s:%u", vm->ip, harness->port + 1);
	vm->door = store_open(harness->store);
	vm->settings = g_strdup_printf("%s/%s.json", harness->dir, name);
	write_settings(vm);
	g_ptr_array_add(harness->vms, vm);
	return vm;
}

void
vm_start(struct vm *vm)
{
	char *log = g_strdup_printf("%s/%s.log", vm->harness->dir, vm->name);
	pid_t pid = fork();

	if (pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		for (int i = 3; i < 1024; i++)
			close(i);
		setenv("WISTERIAVANE_SETTINGS", vm->settings, 1);
		execl(vm->harness->program, vm->harness->program, (char *)NULL);
		_exit(EXIT_NO_PROGRAM);
	}
	vm->pid = pid;
	vm->started_at = harness_now(vm->harness);
	vm->expect_end = false;
	record(vm->harness, "process of %s starts", vm->name);
	g_free(log);
}

void
vm_kill(struct vm *vm)
{
	record(vm->harness, "process of %s is killed", vm->name);
	end_vm(vm);
}

static void
restart_vm(void *data)
{
	vm_start(data);
}

void
check_vms(struct harness *harness)
{
	for (guint i = 0; i < harness->vms->len; i++) {
		struct vm *vm = harness->vms->pdata[i];
		int status;

		if (vm->pid == 0 ||
		    waitpid(vm->pid, &status, WNOHANG) != vm->pid)
			continue;
		vm->pid = 0;
		vm->own_ends++;
		record(harness, "process of %s ended by itself: %s %d",
		    vm->name, WIFSIGNALED(status) ? "signal" : "exit code",
		    WIFSIGNALED(status) ? WTERMSIG(status)
					: WEXITSTATUS(status));
		task_start(harness, RESTART_DELAY, 0, restart_vm, vm);
	}
}

static void
request_end(struct request *request, const struct message *answer)
{
	struct harness *harness = request->vm->harness;

	request->status = answer == NULL ? 0 : answer->status;
	record(harness, "client gets %u for %s from %s after %.0f ms",
	    request->status, request->id, request->vm->name,
	    harness_now(harness) - request->sent_at);
	if (request->answered != NULL)
		request->answered(request, answer);
	g_free(request->id);
	g_free(request->path);
	g_free(request);
}

static bool
on_answer(void *data, struct client *client, struct message *answer)
{
	struct vm *vm = data;
	struct request *request = vm->request;

	vm->request = NULL;
	if (!client_is_reusable(client)) {
		vm->client = NULL;
		client_destroy(client);
	}
	if (request != NULL)
		request_end(request, answer);
	message_destroy(answer);
	return true;
}

static void
on_end(void *data, struct client *client, enum client_end_reason end)
{
	struct vm *vm = data;
	struct request *request = vm->request;

	(void)end;
	vm->request = NULL;
	vm->client = NULL;
	client_destroy(client);
	if (request != NULL)
		request_end(request, NULL);
}

static const struct client_ops kept_ops = {on_answer, on_end};

static bool
on_single_answer(void *data, struct client *client, struct message *answer)
{
	struct request *request = data;

	client_destroy(client);
	request_end(request, answer);
	message_destroy(answer);
	return true;
}

static void
on_single_end(void *data, struct client *client, enum client_end_reason end)
{
	(void)end;
	client_destroy(client);
	request_end(data, NULL);
}

static const struct client_ops single_ops = {on_single_answer, on_single_end};

/* Returns the connection for a request: the kept one if it is free. */
static struct client *
choose_connection(struct vm *vm, struct request *request)
{
	if (vm->request != NULL)
		return client_create(
		    vm->harness->base, vm->callers, &single_ops, request);
	vm->request = request;
	if (vm->client == NULL)
		vm->client = client_create(
		    vm->harness->base, vm->callers, &kept_ops, vm);
	return vm->client;
}

struct request *
request_send(struct vm *vm, const char *method, const char *path,
    unsigned deadline_ms, const char *body,
    void (*answered)(struct request *request, const struct message *answer))
{
	struct harness *harness = vm->harness;
	struct request *request = g_new0(struct request, 1);
	GString *text = g_string_new(NULL);

	request->vm = vm;
	request->id = g_strdup_printf("%08x%08x", 0x5eed, ++harness->n_ids);
	request->path = g_strdup(path);
	request->sent_at = harness_now(harness);
	request->answered = answered;
	g_string_append_printf(text,
	    "%s %s HTTP/1.1\r\nHost: maps.example\r\nX-Request-Id: %s\r\n"
	    "X-Request-Deadline-Ms: %u\r\n",
	    method, path, request->id, deadline_ms);
	if (body != NULL)
		g_string_append_printf(
		    text, "Content-Length: %zu\r\n", strlen(body));
	g_string_append_printf(text, "\r\n%s", body == NULL ? "" : body);
	record(harness, "client sends %s %s to %s: %s", method, path, vm->name,
	    request->id);
	request->client = choose_connection(vm, request);
	client_send(
	    request->client, (struct wv_string){text->str, text->len}, false);
	g_string_free(text, TRUE);
	return request;
}
