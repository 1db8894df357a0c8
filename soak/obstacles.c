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
#include "soak/obstacles.h"

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

struct obstacles {
	struct soak *soak;
};

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
	struct vm *vm;
	int fd;
	bool obstacle; /* without the port, the VM can't answer callers */
};

/* A settings file that is not whole. */
struct broken_settings {
	struct soak *soak;
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
hold_tcp(const struct vm *vm, const char *address, enum hold hold)
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
	if (holder->obstacle)
		vm_end_obstacle(holder->vm);
	g_free(holder);
	action_destroy(action);
}

/* Holds a random port of a VM, unless it is in use. */
static void
hold_port(struct soak *soak, struct vm *vm)
{
	wv_msec duration = soak_random_ms(soak, MIN_HOLD_TIME, MAX_HOLD_TIME);
	unsigned i = soak_random_below(soak, VM_LISTENERS + 1);
	enum hold hold = soak_random_below(soak, HOLDS);
	bool udp = i == VM_LISTENERS;
	const char *address = vm->listeners[udp ? VM_PEERS : i];
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
	holder->obstacle = i == VM_CALLERS;
	if (holder->obstacle)
		vm_begin_obstacle(vm, duration);
	action_schedule(soak, duration, vm, release_port)->data = holder;
}

/* Writes the first bytes of the settings into their file as it is. */
static void
write_in_place(const struct vm *vm, size_t length)
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
write_whole(struct soak *soak, const struct vm *vm)
{
	char *copy = g_strdup_printf("%s.new", vm->settings);

	if (soak_random_below(soak, 2) == 0) {
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
	struct broken_settings *broken = action->data;
	struct soak *soak = broken->soak;
	struct vm *vm = action->owner;
	size_t length = strlen(vm->settings_text);

	if (soak_now(soak) < broken->until) {
		write_in_place(
		    vm, action->stage++ % 2 == 0 ? length : length / 2);
		action_repeat(action, REWRITE_INTERVAL);
		return;
	}
	write_whole(soak, vm);
	vm->settings_broken = false;
	vm_end_obstacle(vm);
	vm_signal(vm, SIGHUP);
	g_free(broken);
	action_destroy(action);
}

static void
break_settings(struct soak *soak, struct vm *vm)
{
	static const char *const names[] = {
	    "empty", "half written", "missing", "rewritten repeatedly"};
	wv_msec duration =
	    soak_random_ms(soak, MIN_BROKEN_TIME, MAX_BROKEN_TIME);
	enum settings_fault fault = soak_random_below(soak, SETTINGS_FAULTS);
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
	vm_begin_obstacle(vm, duration);
	broken = g_new0(struct broken_settings, 1);
	broken->soak = soak;
	broken->until = soak_now(soak) + duration;
	action = action_schedule(soak,
	    fault == SETTINGS_REWRITTEN ? REWRITE_INTERVAL : duration, vm,
	    continue_settings_fault);
	action->data = broken;
}

static void
end_former(struct action *action)
{
	struct vm *vm = action->owner;

	kill(vm->former_pid, SIGKILL);
	waitpid(vm->former_pid, NULL, 0);
	output_destroy(vm->former_output);
	vm->former_pid = 0;
	vm->former_output = NULL;
	vm_end_obstacle(vm);
	action_destroy(action);
}

/* Starts the next process while the former one is stopped and has the ports. */
static void
start_beside_former(struct soak *soak, struct vm *vm, wv_msec duration)
{
	if (vm->pid == 0 || vm->former_pid != 0)
		return;
	soak_record_fault(soak,
	    "%s starts beside its former process, for %.0f ms", vm->name,
	    duration);
	kill(vm->pid, SIGSTOP);
	vm->former_pid = vm->pid;
	vm->former_output = vm->output;
	vm_begin_obstacle(vm, duration);
	action_schedule(soak, duration, vm, end_former);
	vm_start(vm);
}

static void
read_output_again(struct action *action)
{
	struct vm *vm = action->owner;

	if (vm->output == action->data)
		output_set_mode(vm->output, OUTPUT_READ);
	action_destroy(action);
}

/* Reads the output of a process slowly or not at all for some time. */
static void
delay_output(struct soak *soak, struct vm *vm, wv_msec duration)
{
	bool slow = soak_random_below(soak, 2) == 0;
	struct action *action;

	soak_record_fault(soak, "the output of %s is read %s for %.0f ms",
	    vm->name, slow ? "slowly" : "not at all", duration);
	output_shrink(vm->output);
	output_set_mode(vm->output, slow ? OUTPUT_SLOW : OUTPUT_UNREAD);
	action = action_schedule(soak, duration, vm, read_output_again);
	action->data = vm->output;
}

/* Draws how the output of a new process is read. */
static void
draw_output(struct soak *soak, struct vm *vm)
{
	if (soak_draws_faults(soak) &&
	    soak_random_below(soak, OUTPUT_EVERY) == 0)
		delay_output(soak, vm,
		    soak_random_ms(soak, MIN_HOLD_TIME, MAX_HOLD_TIME));
}

/* Draws obstacles for the restart of a VM, and whether it is immediate. */
static void
draw_restart(struct soak *soak, struct vm *vm)
{
	if (!soak_draws_faults(soak))
		return;
	if (soak_random_below(soak, IMMEDIATE_EVERY) == 0)
		vm->restart_at = soak_now(soak);
	if (soak_random_below(soak, PORTS_EVERY) == 0) {
		unsigned n = 1 + soak_random_below(soak, MAX_HELD_PORTS);

		for (unsigned i = 0; i < n; i++)
			hold_port(soak, vm);
	}
	if (soak_random_below(soak, SETTINGS_EVERY) == 0)
		break_settings(soak, vm);
}

static void
on_vm_event(void *data, struct vm *vm, enum vm_event event)
{
	struct obstacles *obstacles = data;

	if (event == VM_PREPARED)
		draw_output(obstacles->soak, vm);
	else if (event == VM_ENDED)
		draw_restart(obstacles->soak, vm);
}

struct obstacles *
obstacles_create(struct soak *soak, struct vms *vms)
{
	struct obstacles *obstacles = g_new0(struct obstacles, 1);

	obstacles->soak = soak;
	vms_observe(vms, on_vm_event, obstacles);
	return obstacles;
}

void
obstacles_inject(struct obstacles *obstacles, struct vm *vm, wv_msec duration)
{
	struct soak *soak = obstacles->soak;

	if (vm->pid == 0)
		return;
	switch (soak_random_below(soak, 4)) {
	case 0:
		start_beside_former(soak, vm, duration);
		break;
	case 1:
		break_settings(soak, vm);
		vm_signal(vm, SIGHUP);
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
