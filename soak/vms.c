/**
 * @file
 * Monitors and restarts the processes of the soak's VMs.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "platform/standin/standin.h"
#include "soak/cluster.h"
#include "soak/launch.h"
#include "soak/vms.h"

/** Time after a start during which requests may fail, ms. */
#define START_GRACE 1500.0
/** Limit of the resident memory of a process, KB. */
#define MAX_MEMORY_KB (260ul * 1000)
/**
 * Zone of the VMs, which has no searchers. In the zone of a VM they would get
 * most of its requests, and two VMs that have lost a searcher of orders, for
 * which they send no probes, would be enough for it to get no requests.
 */
#define VM_ZONE "none"
/** Time between the end of a process and its restart, ms. */
#define RESTART_DELAY 200.0
/**
 * Maximum duration of a planned stop, by the settings, s. A server aims at
 * half a second less.
 */
#define STOP_S 4
/** Time for the rest of a stop whose limit has passed during a pause, ms. */
#define RESUMED_STOP_TIME 1000.0

/* An observer and its data. */
struct observer {
	vms_observer notify;
	void *data;
};

struct vms {
	struct soak *soak;
	const char *program;
	bool check_memory;
	unsigned n;
	struct vm *all;
	GArray *observers; /* of struct observer */
};

/* Writes the settings of a VM to their file. */
static void
write_settings(struct vm *vm, const unsigned int *ports)
{
	struct standin_vm_config standin = {.name = vm->name,
	    .zone = VM_ZONE,
	    .callers = vm->listeners[VM_CALLERS],
	    .addresses = vm->listeners[VM_ADDRESSES],
	    .store = proxy_address(vm->store),
	    .ip = soak_ip(vm->vms->soak),
	    .readiness = ports[VM_READINESS],
	    .peers = ports[VM_PEERS],
	    .metrics = ports[VM_METRICS],
	    .stop_s = STOP_S,
	    .quota_window_s = CLUSTER_QUOTA_WINDOW_S,
	    .quota_overshoot = CLUSTER_QUOTA_OVERSHOOT,
	    .quota_slack = CLUSTER_QUOTA_SLACK,
	    .evacuate_ms = CLUSTER_EVACUATE_MS,
	    .cold_overshoot = CLUSTER_COLD_OVERSHOOT,
	    .cold_slack = CLUSTER_COLD_SLACK};

	vm->settings_text = standin_vm_settings(&standin);
	g_file_set_contents(vm->settings, vm->settings_text, -1, NULL);
}

static void
init_vm(
    struct vms *vms, unsigned i, const unsigned int *ports, const char *store)
{
	struct soak *soak = vms->soak;
	const char *ip = soak_ip(soak);
	char *address = g_strdup_printf("%s:%u", ip, ports[VM_LISTENERS]);
	struct vm *vm = &vms->all[i];

	vm->vms = vms;
	vm->index = i;
	vm->name = g_strdup_printf("vm%u", i);
	vm->settings =
	    g_strdup_printf("%s/%s.json", soak_directory(soak), vm->name);
	for (unsigned j = 0; j < VM_LISTENERS; j++)
		vm->listeners[j] = g_strdup_printf("%s:%u", ip, ports[j]);
	vm->store = proxy_create(soak_base(soak), address, store);
	write_settings(vm, ports);
	g_free(address);
}

struct vms *
vms_create(struct soak *soak, const struct vms_config *config)
{
	struct vms *vms = g_new0(struct vms, 1);

	vms->soak = soak;
	vms->program = config->program;
	vms->check_memory = config->check_memory;
	vms->n = config->n;
	vms->all = g_new0(struct vm, config->n);
	vms->observers = g_array_new(FALSE, FALSE, sizeof(struct observer));
	for (unsigned i = 0; i < vms->n; i++)
		init_vm(vms, i, config->ports + (size_t)i * VM_PORTS,
		    config->store);
	return vms;
}

void
vms_observe(struct vms *vms, vms_observer observer, void *data)
{
	struct observer added = {observer, data};

	g_array_append_val(vms->observers, added);
}

static void
notify(struct vm *vm, enum vm_event event)
{
	GArray *observers = vm->vms->observers;

	for (guint i = 0; i < observers->len; i++) {
		struct observer *observer =
		    &g_array_index(observers, struct observer, i);

		observer->notify(observer->data, vm, event);
	}
}

/* Returns the path of the log of a VM; the caller owns it. */
static char *
log_path(const struct vm *vm)
{
	return g_strdup_printf(
	    "%s/%s.log", soak_directory(vm->vms->soak), vm->name);
}

void
vm_start(struct vm *vm)
{
	struct soak *soak = vm->vms->soak;
	char *log = log_path(vm);
	int end = -1;

	vm->output = output_create(soak_base(soak), log, &end);
	if (vm->output == NULL) {
		g_printerr("%s: %s\n", log, g_strerror(errno));
		exit(EXIT_FAILURE);
	}
	notify(vm, VM_PREPARED);
	vm->pid = launch_program(vm->vms->program, vm->settings, end);
	close(end);
	vm->stopping = false;
	vm->paused = false;
	vm->killed = false;
	vm->answered = false;
	vm->start_late = false;
	vm->too_large = false;
	vm->restart_at = 0;
	vm->resumed_at = 0;
	vm->starts++;
	vm->start_due = soak_now(soak) + VM_START_BOUND;
	vm->affected_until =
	    MAX(vm->affected_until, soak_now(soak) + START_GRACE);
	notify(vm, VM_STARTED);
	g_free(log);
}

void
vm_mark_affected(struct vm *vm, wv_msec duration)
{
	vm->affected_until = MAX(vm->affected_until,
	    soak_now(vm->vms->soak) + duration + SOAK_RECOVERY_TIME);
}

void
vm_begin_obstacle(struct vm *vm, wv_msec duration)
{
	vm->obstacles++;
	vm_mark_affected(vm, duration);
}

void
vm_end_obstacle(struct vm *vm)
{
	vm->obstacles--;
	vm->start_due = soak_now(vm->vms->soak) + VM_START_BOUND;
	/* It may use all of the bound before it serves. */
	vm_mark_affected(vm, VM_START_BOUND);
}

void
vm_pause(struct vm *vm)
{
	if (vm->pid == 0)
		return;
	kill(vm->pid, SIGSTOP);
	vm->paused = true;
	notify(vm, VM_PAUSED);
}

void
vm_resume(struct vm *vm)
{
	wv_msec now = soak_now(vm->vms->soak);

	/* A later process than the one that was paused gets no more time. */
	if (vm->pid == 0 || !vm->paused)
		return;
	kill(vm->pid, SIGCONT);
	vm->paused = false;
	vm->resumed_at = now;
	vm->start_due = MAX(vm->start_due, now + VM_START_BOUND);
	vm->stop_due = MAX(vm->stop_due, now + RESUMED_STOP_TIME);
	notify(vm, VM_RESUMED);
}

void
vm_signal(struct vm *vm, int number)
{
	if (vm->pid == 0)
		return;
	if (vm->guarded)
		kill(vm->pid, number);
	else
		vm->pending_signals |= 1u << number;
}

static void
start_stop_bound(struct vm *vm)
{
	vm->stop_due = soak_now(vm->vms->soak) + STOP_S * 1000;
}

void
vm_set_guarded(struct vm *vm)
{
	static const int numbers[] = {SIGHUP, SIGINT, SIGTERM};

	vm->guarded = true;
	for (unsigned i = 0; i < G_N_ELEMENTS(numbers); i++) {
		if (vm->pending_signals & 1u << numbers[i])
			kill(vm->pid, numbers[i]);
	}
	vm->pending_signals = 0;
	if (vm->stopping)
		start_stop_bound(vm);
}

void
vm_stop(struct vm *vm, int number)
{
	if (vm->pid == 0)
		return;
	if (!vm->stopping)
		start_stop_bound(vm);
	vm->stopping = true;
	vm_signal(vm, number);
}

/* Returns the last line of the log of a VM; the caller owns it. */
static char *
read_last_line(const struct vm *vm)
{
	char *log = log_path(vm);
	char *text = NULL;
	char *line;

	if (g_file_get_contents(log, &text, NULL, NULL))
		g_strchomp(text);
	line = text != NULL ? strrchr(text, '\n') : NULL;
	line = g_strdup(line != NULL ? line + 1 : text);
	g_free(text);
	g_free(log);
	return line;
}

/* Records that a process has ended by itself, with the last line of its log. */
static void
record_unexpected_exit(const struct vm *vm, int status)
{
	char *line = read_last_line(vm);

	soak_record_violation(vm->vms->soak,
	    "%s ended by itself: %s %d, last line: %s", vm->name,
	    WIFEXITED(status) ? "exit code" : "signal",
	    WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status),
	    line != NULL ? line : "none");
	g_free(line);
}

/* Returns whether the soak has asked for such an end of a process. */
static bool
is_expected_exit(const struct vm *vm, int status)
{
	if (WIFSIGNALED(status))
		return vm->killed && WTERMSIG(status) == SIGKILL;
	return vm->stopping && WEXITSTATUS(status) == 0;
}

static void
record_exit(struct vm *vm, int status)
{
	output_destroy(vm->output);
	vm->output = NULL;
	vm->pid = 0;
	if (!is_expected_exit(vm, status))
		record_unexpected_exit(vm, status);
	vm->restart_at = soak_now(vm->vms->soak) + RESTART_DELAY;
	notify(vm, VM_ENDED);
	vm->affected_until =
	    MAX(vm->affected_until, vm->restart_at + START_GRACE);
}

static void
check_memory(struct vm *vm)
{
	unsigned long peak;

	if (!vm->vms->check_memory || vm->too_large)
		return;
	peak = launch_peak_memory(vm->pid);
	vm->too_large = peak > MAX_MEMORY_KB;
	if (vm->too_large)
		soak_record_violation(
		    vm->vms->soak, "%s uses %lu KB of memory", vm->name, peak);
}

/* Checks that a process that could start has answered callers in time. */
static void
check_start(struct vm *vm)
{
	struct soak *soak = vm->vms->soak;

	if (vm->answered || vm->start_late || vm->paused || vm->stopping ||
	    vm->killed || vm->obstacles > 0 || soak_now(soak) < vm->start_due)
		return;
	vm->start_late = true;
	soak_record_violation(
	    soak, "%s did not start within %.0f ms", vm->name, VM_START_BOUND);
}

/* Checks that a planned stop ends in time; else kills it like a launcher. */
static void
check_stop(struct vm *vm)
{
	struct soak *soak = vm->vms->soak;

	if (!vm->stopping || !vm->guarded || vm->paused || vm->killed ||
	    soak_now(soak) < vm->stop_due)
		return;
	soak_record_violation(
	    soak, "%s did not stop within %d s", vm->name, STOP_S);
	vm->killed = true;
	kill(vm->pid, SIGKILL);
}

static void
check_vm(struct vm *vm)
{
	int status;

	if (vm->pid != 0 && waitpid(vm->pid, &status, WNOHANG) == vm->pid)
		record_exit(vm, status);
	if (vm->pid == 0 && vm->restart_at != 0 &&
	    soak_now(vm->vms->soak) >= vm->restart_at)
		vm_start(vm);
	if (vm->pid == 0)
		return;
	check_memory(vm);
	check_start(vm);
	check_stop(vm);
}

void
vms_check(struct vms *vms)
{
	for (unsigned i = 0; i < vms->n; i++)
		check_vm(&vms->all[i]);
}

/* Kills a process and reads the rest of its output. */
static void
kill_process(pid_t pid, struct output *output)
{
	if (pid == 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	output_destroy(output);
}

void
vms_kill(struct vms *vms)
{
	for (unsigned i = 0; i < vms->n; i++) {
		struct vm *vm = &vms->all[i];

		kill_process(vm->pid, vm->output);
		kill_process(vm->former_pid, vm->former_output);
		vm->pid = 0;
		vm->former_pid = 0;
	}
}

void
vms_start(struct vms *vms)
{
	for (unsigned i = 0; i < vms->n; i++)
		vm_start(&vms->all[i]);
}

unsigned
vms_count(const struct vms *vms)
{
	return vms->n;
}

struct vm *
vms_get(struct vms *vms, unsigned i)
{
	return &vms->all[i];
}

struct vm *
vms_find(struct vms *vms, const char *callers)
{
	for (unsigned i = 0; i < vms->n; i++) {
		if (g_str_equal(vms->all[i].listeners[VM_CALLERS], callers))
			return &vms->all[i];
	}
	return NULL;
}

void
vm_write_tag(const struct vm *vm, char tag[VM_TAG_SIZE])
{
	g_snprintf(tag, VM_TAG_SIZE, "%s-%u-", vm->name, vm->starts);
}

struct vm *
vms_find_tagged(struct vms *vms, const char *request)
{
	char tag[VM_TAG_SIZE];

	for (unsigned i = 0; i < vms->n; i++) {
		vm_write_tag(&vms->all[i], tag);
		if (g_str_has_prefix(request, tag))
			return &vms->all[i];
	}
	return NULL;
}
