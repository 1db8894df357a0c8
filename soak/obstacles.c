/**
 * @file
 * Faults of what surrounds a process: its launcher, ports, settings file and
 * standard output.
 */
#include <sys/socket.h>
#include <sys/wait.h>

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "entry/socket.h"
#include "soak/action.h"

/** Time between the end of a process and a delayed restart, ms. */
#define RESTART_DELAY 200.0
/** On average, one in this many restarts has each of the obstacles. */
#define PORTS_EVERY 4
#define SETTINGS_EVERY 4
#define OUTPUT_EVERY 6
/** On average, one in this many restarts is immediate. */
#define IMMEDIATE_EVERY 3
/** Most ports that are held during a restart. */
#define MAX_HELD_PORTS 3
/** Bounds of the time for which a port is held, ms. */
#define MIN_HOLD_TIME 50
#define MAX_HOLD_TIME 2000
/** Bounds of the time for which the settings are not whole, ms. */
#define MIN_BROKEN_TIME 20
#define MAX_BROKEN_TIME 500
/** Time between two changes of settings that are rewritten repeatedly, ms. */
#define REWRITE_INTERVAL 0.5

/* How a port is held. */
enum hold {
	HOLD_LISTEN, /* by a socket that listens but accepts nothing */
	HOLD_BIND, /* by a socket that is only bound */
	HOLD_CONNECT, /* as the source port of a connection */
	HOLDS /* their number */
};

/* A fault of a settings file. */
enum settings_fault {
	SETTINGS_EMPTY,
	SETTINGS_HALF,
	SETTINGS_MISSING,
	SETTINGS_REWRITTEN, /* again and again, during reads too */
	SETTINGS_FAULTS /* their number */
};

/* A socket that holds a port, and the VM that needs it. */
struct holder {
	struct soak_vm *vm;
	int fd;
};

/* A settings file that is not whole. */
struct broken_settings {
	wv_msec until; /* monotonic time of its end */
};

/* Opens a socket bound to an address, without SO_REUSEADDR; -1 on failure. */
static int
open_exclusive(const char *address, int type)
{
	struct sockaddr_in parsed;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 &&
	    (!socket_parse_address(address, &parsed) ||
		bind(fd, (struct sockaddr *)&parsed, sizeof(parsed)) != 0)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns a socket that holds a TCP port, or -1 if it is in use. */
static int
hold_tcp(const struct soak_vm *vm, const char *address, enum hold hold)
{
	struct sockaddr_in target;
	int fd;

	if (hold == HOLD_LISTEN)
		return socket_listen(address, 1);
	fd = open_exclusive(address, SOCK_STREAM);
	if (fd >= 0 && hold == HOLD_CONNECT &&
	    socket_parse_address(proxy_address(vm->store), &target))
		(void)connect(fd, (struct sockaddr *)&target, sizeof(target));
	return fd;
}

/*
 * Frees a held port. The connection of HOLD_CONNECT is reset: after an orderly
 * close, the kernel would keep the port in use for another minute (TIME_WAIT).
 */
static void
release_port(struct action *action)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};
	struct holder *holder = action->data;

	setsockopt(holder->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(holder->fd);
	soak_vm_end_obstacle(action->soak, holder->vm);
	g_free(holder);
	action_destroy(action);
}

/* Holds a random port of a VM, unless it is in use. */
static void
hold_port(struct soak *soak, struct soak_vm *vm)
{
	wv_msec duration =
	    g_rand_int_range(soak->random, MIN_HOLD_TIME, MAX_HOLD_TIME);
	unsigned i = random_below(soak, SOAK_LISTENERS + 1);
	enum hold hold = random_below(soak, HOLDS);
	bool udp = i == SOAK_LISTENERS;
	const char *address = vm->listeners[udp ? SOAK_PEERS : i];
	int fd = udp ? open_exclusive(address, SOCK_DGRAM)
		     : hold_tcp(vm, address, hold);
	struct holder *holder;

	soak_record_fault(soak, "%s port %s of %s is held for %.0f ms%s",
	    udp ? "UDP" : "TCP", address, vm->name, duration,
	    fd < 0 ? ": in use" : "");
	if (fd < 0)
		return;
	holder = g_new0(struct holder, 1);
	holder->vm = vm;
	holder->fd = fd;
	soak_vm_begin_obstacle(soak, vm, duration);
	action_schedule(soak, duration, 0, release_port)->data = holder;
}

/* Writes the first bytes of the settings into their file as it is. */
static void
write_in_place(const struct soak_vm *vm, size_t length)
{
	int fd =
	    open(vm->settings, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

	if (fd < 0)
		return;
	if (write(fd, vm->settings_text, length) != (ssize_t)length)
		g_warning("%s: %s", vm->settings, g_strerror(errno));
	close(fd);
}

/* Writes the settings, in place or by a rename. */
static void
write_whole(struct soak *soak, const struct soak_vm *vm)
{
	char *copy = g_strdup_printf("%s.new", vm->settings);

	if (random_below(soak, 2) == 0) {
		write_in_place(vm, strlen(vm->settings_text));
	} else {
		g_file_set_contents(copy, vm->settings_text, -1, NULL);
		g_rename(copy, vm->settings);
	}
	g_free(copy);
}

/* Keeps the fault up until its end; then the file is whole again. */
static void
continue_settings_fault(struct action *action)
{
	struct soak *soak = action->soak;
	struct soak_vm *vm = &soak->vms[action->index];
	struct broken_settings *broken = action->data;
	size_t length = strlen(vm->settings_text);

	if (soak_now(soak) < broken->until) {
		write_in_place(
		    vm, action->stage++ % 2 == 0 ? length : length / 2);
		action_repeat(action, REWRITE_INTERVAL);
		return;
	}
	write_whole(soak, vm);
	vm->settings_broken = false;
	soak_vm_end_obstacle(soak, vm);
	soak_vm_signal(vm, SIGHUP);
	g_free(broken);
	action_destroy(action);
}

static void
break_settings(struct soak *soak, struct soak_vm *vm)
{
	static const char *const names[] = {
	    "empty", "half written", "missing", "rewritten repeatedly"};
	wv_msec duration =
	    g_rand_int_range(soak->random, MIN_BROKEN_TIME, MAX_BROKEN_TIME);
	enum settings_fault fault = random_below(soak, SETTINGS_FAULTS);
	struct broken_settings *broken;
	struct action *action;

	if (vm->settings_broken)
		return;
	soak_record_fault(soak, "the settings of %s are %s for %.0f ms",
	    vm->name, names[fault], duration);
	if (fault == SETTINGS_MISSING)
		g_unlink(vm->settings);
	else
		write_in_place(vm,
		    fault == SETTINGS_EMPTY ? 0
					    : strlen(vm->settings_text) / 2);
	vm->settings_broken = true;
	soak_vm_begin_obstacle(soak, vm, duration);
	broken = g_new0(struct broken_settings, 1);
	broken->until = soak_now(soak) + duration;
	action = action_schedule(soak,
	    fault == SETTINGS_REWRITTEN ? REWRITE_INTERVAL : duration,
	    (unsigned)(vm - soak->vms), continue_settings_fault);
	action->data = broken;
}

static void
end_former(struct action *action)
{
	struct soak *soak = action->soak;
	struct soak_vm *vm = &soak->vms[action->index];

	kill(vm->former_pid, SIGKILL);
	waitpid(vm->former_pid, NULL, 0);
	output_destroy(vm->former_output);
	vm->former_pid = 0;
	vm->former_output = NULL;
	soak_vm_end_obstacle(soak, vm);
	action_destroy(action);
}

/* Starts the next process while the former one is stopped and has the ports. */
static void
start_beside_former(struct soak *soak, struct soak_vm *vm, wv_msec duration)
{
	if (vm->pid == 0 || vm->former_pid != 0)
		return;
	soak_record_fault(soak,
	    "%s starts beside its former process, for %.0f ms", vm->name,
	    duration);
	kill(vm->pid, SIGSTOP);
	vm->former_pid = vm->pid;
	vm->former_output = vm->output;
	soak_vm_begin_obstacle(soak, vm, duration);
	action_schedule(soak, duration, (unsigned)(vm - soak->vms), end_former);
	soak_vm_start(soak, vm);
}

static void
read_output_again(struct action *action)
{
	struct soak_vm *vm = &action->soak->vms[action->index];

	if (vm->output == action->data)
		output_set_mode(vm->output, OUTPUT_READ);
	action_destroy(action);
}

/* Reads the output of a process slowly or not at all for some time. */
static void
delay_output(struct soak *soak, struct soak_vm *vm, wv_msec duration)
{
	bool slow = random_below(soak, 2) == 0;
	struct action *action;

	soak_record_fault(soak, "the output of %s is read %s for %.0f ms",
	    vm->name, slow ? "slowly" : "not at all", duration);
	output_shrink(vm->output);
	output_set_mode(vm->output, slow ? OUTPUT_SLOW : OUTPUT_UNREAD);
	action = action_schedule(
	    soak, duration, (unsigned)(vm - soak->vms), read_output_again);
	action->data = vm->output;
}

void
soak_draw_output(struct soak *soak, struct soak_vm *vm)
{
	if (soak_now(soak) < soak->faults_end_at &&
	    random_below(soak, OUTPUT_EVERY) == 0)
		delay_output(soak, vm,
		    g_rand_int_range(
			soak->random, MIN_HOLD_TIME, MAX_HOLD_TIME));
}

void
soak_draw_restart(struct soak *soak, struct soak_vm *vm)
{
	wv_msec now = soak_now(soak);

	vm->restart_at = now + RESTART_DELAY;
	if (now >= soak->faults_end_at)
		return;
	if (random_below(soak, IMMEDIATE_EVERY) == 0)
		vm->restart_at = now;
	if (random_below(soak, PORTS_EVERY) == 0) {
		unsigned n = 1 + random_below(soak, MAX_HELD_PORTS);

		for (unsigned i = 0; i < n; i++)
			hold_port(soak, vm);
	}
	if (random_below(soak, SETTINGS_EVERY) == 0)
		break_settings(soak, vm);
}

void
soak_inject_start_fault(struct soak *soak, struct soak_vm *vm, wv_msec duration)
{
	if (vm->pid == 0)
		return;
	switch (random_below(soak, 4)) {
	case 0:
		start_beside_former(soak, vm, duration);
		break;
	case 1:
		break_settings(soak, vm);
		soak_vm_signal(vm, SIGHUP);
		break;
	case 2:
		delay_output(soak, vm, duration);
		break;
	default:
		soak_record_fault(
		    soak, "nobody reads the output of %s any more", vm->name);
		output_close(vm->output);
		break;
	}
}
