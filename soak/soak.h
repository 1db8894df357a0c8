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
#include "soak/proxy.h"
#include "wisteriavane/clock.h"

/** Maximum number of VMs in a run. */
#define SOAK_MAX_VMS 8
/** Number of services, the last of which serves orders, and of replicas. */
#define SOAK_SERVICES 5
#define SOAK_REPLICAS 3
/** Deadline of each request, ms. */
#define SOAK_DEADLINE_MS 1200

/** One entry VM. */
struct soak_vm {
	char *name;
	pid_t pid; /**< 0: not running */
	char *settings; /**< path of its settings file */
	char *callers; /**< IP:PORT that serves callers */
	char *addresses; /**< IP:PORT that serves the addresses of VMs */
	struct proxy *store; /**< proxy between it and the store */
	bool stopping; /**< a planned stop was requested */
	bool paused; /**< by SIGSTOP */
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

/**
 * Reaps processes that have ended and restarts those whose restart is due. An
 * unexpected end is a violation.
 */
void soak_check_vms(struct soak *soak);

/** Starts n callers, which send requests until the run ends. */
void soak_callers_start(struct soak *soak, unsigned n);

/** Starts to inject faults, until faults_end_at. */
void soak_faults_start(struct soak *soak);

/** Writes an HTML report with plots to a file. */
void soak_report_write(const struct soak *soak, const char *file);

#endif
