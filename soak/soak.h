/**
 * @file
 * State shared by the source files of the fault soak.
 *
 * The soak runs entry VMs as real processes, injects faults into them and their
 * connections from outside, and checks what callers and searchers see. It runs
 * on one thread.
 */
#ifndef WISTERIAVANE_SOAK_SOAK_H
#define WISTERIAVANE_SOAK_SOAK_H

#include <sys/types.h>

#include "entry/client.h"
#include "platform/standin/standin.h"
#include "soak/output.h"
#include "soak/proxy.h"
#include "wisteriavane/clock.h"

/** Maximum number of VMs in a run. */
#define SOAK_MAX_VMS 8
/** Number of services, the last of which serves orders, and of replicas. */
#define SOAK_SERVICES 5
#define SOAK_REPLICAS 3
/** Deadline of each request, ms. */
#define SOAK_DEADLINE_MS 1200
/** Time after a fault during which requests may still fail, ms. */
#define SOAK_RECOVERY_TIME 1500.0
/**
 * Time within which a process answers callers, ms: from its start, or from the
 * end of the last obstacle to it. A server that waits for an obstacle to end
 * pauses for up to 1 s between two tries.
 */
#define SOAK_START_BOUND 3000.0

/** What a VM listens on for TCP connections; it also receives UDP as peer. */
enum soak_listener {
	SOAK_CALLERS,
	SOAK_ADDRESSES,
	SOAK_READINESS,
	SOAK_PEERS,
	SOAK_METRICS,
	SOAK_LISTENERS /**< their number */
};

/** One entry VM. */
struct soak_vm {
	char *name;
	pid_t pid; /**< 0: not running */
	struct output *output; /**< standard output of the process */
	pid_t former_pid; /**< a stopped process that holds the ports, or 0 */
	struct output *former_output;
	char *settings; /**< path of its settings file */
	char *settings_text; /**< what the file holds without a fault */
	bool settings_broken; /**< a fault changes the file */
	char *listeners[SOAK_LISTENERS]; /**< IP:PORT of each */
	struct proxy *store; /**< proxy between it and the store */
	bool guarded; /**< the process blocks or handles signals */
	unsigned pending_signals; /**< sent once it does, one bit each */
	bool stopping; /**< a planned stop was requested */
	bool paused; /**< by SIGSTOP */
	bool killed; /**< by SIGKILL */
	bool answered; /**< the process has answered a caller */
	bool start_late; /**< it has not within SOAK_START_BOUND */
	bool too_large; /**< its memory has exceeded the limit */
	unsigned obstacles; /**< to a start, at present */
	wv_msec start_due; /**< it must have answered a caller by then */
	wv_msec guard_due; /**< signals must not end it from then on */
	wv_msec served_at; /**< last answer with status 200 to a probe */
	wv_msec affected_until; /**< its requests may fail until then */
	wv_msec restart_at; /**< 0: no restart is due */
};

/** State of a run. Times are monotonic, ms. */
struct soak {
	struct event_base *base;
	struct wv_clock clock;
	GRand *random;
	uint32_t seed;
	char ip[16]; /**< loopback address of the run */
	const char *program; /**< path of wisteriavane-entry */
	bool check_memory; /**< of the processes, against a limit */
	char *dir; /**< owned: settings and logs */
	unsigned n_vms;
	struct soak_vm vms[SOAK_MAX_VMS];
	struct standin_searcher_config layout;
	struct standin_store *store;
	struct standin_searchers *searchers;
	/** Proxies to the searchers. */
	struct proxy *links[SOAK_SERVICES * SOAK_REPLICAS];
	/** Incarnation of each searcher, from 1. */
	uint64_t incarnations[SOAK_SERVICES * SOAK_REPLICAS];
	bool draining[SOAK_SERVICES * SOAK_REPLICAS];
	uint64_t routes_version;
	wv_msec store_affected_until;
	wv_msec faults_end_at; /**< no fault begins after it */
	wv_msec started_at;
	GString *violations; /**< one per line */
	unsigned n_violations;
	GArray *samples; /**< of struct soak_sample */
	GString *faults; /**< injected faults, one per line */
	unsigned requests;
	unsigned served;
	unsigned refused;
	unsigned failed;
	/** Counts of the requests sent 3 s or more after the faults. */
	unsigned served_after_faults;
	unsigned requests_after_faults;
	GPtrArray *not_run_ids; /**< identifiers of orders refused as not run */
};

/** Outcome of a request, as seen by its caller. */
struct soak_sample {
	wv_msec at; /**< end of the request since the start, ms */
	wv_msec elapsed; /**< latency, ms */
	unsigned status; /**< 0: no answer */
	double coverage; /**< fraction of the services that answered */
};

/** Returns the monotonic time, ms. */
wv_msec soak_now(struct soak *soak);

/** Records a violation of a guarantee; any of them fails the run. */
void soak_record_violation(struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Records an injected fault for the report. */
void soak_record_fault(struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Starts the process of a VM. */
void soak_vm_start(struct soak *soak, struct soak_vm *vm);

/** Lets requests to a VM fail from now on for a duration and a recovery. */
void soak_vm_mark_affected(
    struct soak *soak, struct soak_vm *vm, wv_msec duration);

/**
 * Counts an obstacle to the start of a VM that will last for a duration; each
 * is ended by soak_vm_end_obstacle().
 */
void soak_vm_begin_obstacle(
    struct soak *soak, struct soak_vm *vm, wv_msec duration);
void soak_vm_end_obstacle(struct soak *soak, struct soak_vm *vm);

/**
 * Reaps processes that have ended and restarts those whose restart is due. An
 * unexpected end is a violation, and so are a process that does not answer
 * callers in time and one that needs too much memory.
 */
void soak_check_vms(struct soak *soak);

/** Kills all processes of VMs. */
void soak_kill_vms(struct soak *soak);

/**
 * Waits until the new process of a VM is guarded against signals, sends it
 * those that are pending and, at random, a series of signals.
 */
void soak_signals_start(struct soak *soak, struct soak_vm *vm);

/** Sends a signal to the process of a VM, as soon as it is guarded. */
void soak_vm_signal(struct soak_vm *vm, int number);

/** Requests a planned stop of a VM by SIGTERM or SIGINT. */
void soak_vm_stop(struct soak_vm *vm, int number);

/** Draws obstacles for the restart of a VM, and when it takes place. */
void soak_draw_restart(struct soak *soak, struct soak_vm *vm);

/** Draws how the output of a new process is read. */
void soak_draw_output(struct soak *soak, struct soak_vm *vm);

/** Injects a fault of the launcher or the surroundings of a VM. */
void soak_inject_start_fault(
    struct soak *soak, struct soak_vm *vm, wv_msec duration);

/** Starts to send probes to each VM, which show whether it answers callers. */
void soak_probes_start(struct soak *soak);

/** Starts n callers, which send requests until the run ends. */
void soak_callers_start(struct soak *soak, unsigned n);

/** Starts to inject faults, until faults_end_at. */
void soak_faults_start(struct soak *soak);

/** Writes an HTML report with plots to a file. */
void soak_report_write(const struct soak *soak, const char *file);

#endif
