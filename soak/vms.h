/**
 * @file
 * The entry VMs of the soak and their processes.
 */
#ifndef WISTERIAVANE_SOAK_VMS_H
#define WISTERIAVANE_SOAK_VMS_H

#include <sys/types.h>

#include "soak/output.h"
#include "soak/proxy.h"
#include "soak/soak.h"

/**
 * Time within which a process answers callers, ms: from its start, or from the
 * end of the last obstacle to it. A server that waits for an obstacle to end
 * pauses for up to 1 s between two tries.
 */
#define VM_START_BOUND 3000.0

/** Maximum number of VMs. */
#define VMS_MAX 8
/** Size of a buffer for the tag of a process, bytes with the NUL. */
#define VM_TAG_SIZE 16

struct vms;

/** What a VM listens on for TCP connections; it also receives UDP as peer. */
enum vm_listener {
	VM_CALLERS,
	VM_ADDRESSES,
	VM_READINESS,
	VM_PEERS,
	VM_METRICS,
	VM_LISTENERS /**< their number */
};

/** Ports per VM: those on which it listens and that of its store's proxy. */
#define VM_PORTS (VM_LISTENERS + 1)

/** One entry VM. Times are monotonic, ms. */
struct vm {
	struct vms *vms;
	unsigned index;
	char *name;
	unsigned starts; /**< processes started */
	pid_t pid; /**< 0: not running */
	struct output *output; /**< standard output of the process */
	pid_t former_pid; /**< a stopped process that holds the ports, or 0 */
	struct output *former_output;
	char *settings; /**< path of its settings file */
	char *settings_text; /**< what the file holds without a fault */
	bool settings_broken; /**< a fault changes the file */
	char *listeners[VM_LISTENERS]; /**< IP:PORT of each */
	struct proxy *store; /**< proxy between it and the store */
	bool guarded; /**< the process blocks or handles signals */
	unsigned pending_signals; /**< sent once it does, one bit each */
	bool stopping; /**< a planned stop was requested */
	bool paused; /**< by SIGSTOP */
	bool killed; /**< by SIGKILL */
	bool answered; /**< the process has answered a caller */
	bool start_late; /**< it has not within VM_START_BOUND */
	bool too_large; /**< its memory has exceeded the limit */
	unsigned obstacles; /**< to a start, at present */
	wv_msec start_due; /**< it must have answered a caller by then */
	wv_msec stop_due; /**< a planned stop must have ended it by then */
	wv_msec guard_due; /**< signals must not end it from then on */
	wv_msec resumed_at; /**< end of the last pause of the process */
	wv_msec served_at; /**< last answer with status 200 to a probe */
	wv_msec affected_until; /**< its requests may fail until then */
	wv_msec restart_at; /**< 0: no restart is due */
};

/** What happens to a process of a VM. */
enum vm_event {
	VM_PREPARED, /**< its output exists, the process does not yet */
	VM_STARTED,
	VM_PAUSED,
	VM_RESUMED,
	VM_ENDED /**< restart_at of the VM may be changed */
};

/** Observes the processes of VMs. */
typedef void (*vms_observer)(void *data, struct vm *vm, enum vm_event event);

/** What the VMs are created from; all pointers are borrowed. */
struct vms_config {
	const char *program; /**< path of wisteriavane-entry */
	bool check_memory; /**< of the processes, against a limit */
	unsigned n;
	const char *store; /**< IP:PORT of the store */
	const unsigned int *ports; /**< VM_PORTS for each VM */
};

/** Creates the VMs with their settings and the proxies to the store. */
struct vms *vms_create(struct soak *soak, const struct vms_config *config);

/** Calls an observer for each event from now on; there may be several. */
void vms_observe(struct vms *vms, vms_observer observer, void *data);

/** Starts the process of each VM. */
void vms_start(struct vms *vms);

/**
 * Reaps processes that have ended and restarts those whose restart is due. An
 * unexpected end is a violation, and so are a process that does not answer
 * callers in time, one that needs longer for a planned stop than its settings
 * allow, and one that needs too much memory.
 */
void vms_check(struct vms *vms);

/** Kills all processes of VMs. */
void vms_kill(struct vms *vms);

unsigned vms_count(const struct vms *vms);

/** Returns a VM by its index. Borrowed. */
struct vm *vms_get(struct vms *vms, unsigned i);

/** Returns the VM that serves callers at an address, or NULL. Borrowed. */
struct vm *vms_find(struct vms *vms, const char *callers);

/**
 * Writes a tag that names the present process of a VM. It begins the
 * identifiers of the requests that are sent to the process.
 */
void vm_write_tag(const struct vm *vm, char tag[VM_TAG_SIZE]);

/** Returns the VM whose present process a request names, or NULL. Borrowed. */
struct vm *vms_find_tagged(struct vms *vms, const char *request);

/** Starts the process of a VM. */
void vm_start(struct vm *vm);

/** Lets requests to a VM fail from now on for a duration and a recovery. */
void vm_mark_affected(struct vm *vm, wv_msec duration);

/**
 * Counts an obstacle to the start of a VM that will last for a duration; each
 * is ended by vm_end_obstacle().
 */
void vm_begin_obstacle(struct vm *vm, wv_msec duration);
void vm_end_obstacle(struct vm *vm);

/** Stops a running process by SIGSTOP, and continues it if it is stopped. */
void vm_pause(struct vm *vm);
void vm_resume(struct vm *vm);

/** Sends a signal to the process of a VM, as soon as it is guarded. */
void vm_signal(struct vm *vm, int number);

/** Notes that the process of a VM is guarded, and sends it what is pending. */
void vm_set_guarded(struct vm *vm);

/** Requests a planned stop of a VM by SIGTERM or SIGINT. */
void vm_stop(struct vm *vm, int number);

#endif
