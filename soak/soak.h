/**
 * @file
 * What the parts of the fault soak share.
 *
 * The soak runs entry VMs as real processes, disturbs them and their
 * connections from outside, and checks what callers and searchers see.
 */
#ifndef WISTERIAVANE_SOAK_SOAK_H
#define WISTERIAVANE_SOAK_SOAK_H

#include <sys/types.h>

#include "entry/client.h"
#include "platform/standin/standin.h"
#include "soak/proxy.h"
#include "wisteriavane/clock.h"

/** Most VMs of a run. */
#define SOAK_VMS 8
/** Shape of the searchers: services, the last of which runs orders. */
#define SOAK_SERVICES 5
#define SOAK_REPLICAS 3
/** Callers' deadline, ms. */
#define SOAK_DEADLINE 1200

/** One entry VM. */
struct soak_vm {
	char *name;
	pid_t pid; /**< 0: not running */
	char *settings; /**< path of its settings */
	char *callers; /**< IP:PORT */
	char *addresses; /**< IP:PORT that names VMs */
	struct proxy *store; /**< between it and the store */
	bool stopping; /**< was asked to end */
	bool paused;
	wv_msec disturbed_until; /**< faults may show until then */
	wv_msec restart_at; /**< 0: no restart is due */
};

/** A run. */
struct soak {
	struct event_base *base;
	struct wv_clock clock;
	GRand *random;
	uint32_t seed;
	char ip[16]; /**< loopback address of the run */
	const char *program; /**< path of wisteriavane-entry */
	char *dir; /**< owned: settings and logs */
	unsigned n_vms;
	struct soak_vm vms[SOAK_VMS];
	struct standin_shape shape;
	struct standin_store *store;
	struct standin_searchers *searchers;
	struct proxy *links[SOAK_SERVICES * SOAK_REPLICAS]; /**< to searchers */
	uint64_t incarnations[SOAK_SERVICES * SOAK_REPLICAS];
	bool draining[SOAK_SERVICES * SOAK_REPLICAS];
	uint64_t version; /**< of the routes */
	wv_msec searchers_disturbed_until;
	wv_msec store_disturbed_until;
	wv_msec ends_at; /**< no faults after it */
	wv_msec started_at;
	GString *violations; /**< one line each */
	unsigned n_violations;
	GArray *samples; /**< struct soak_sample */
	GString *marks; /**< faults, one line each */
	unsigned requests;
	unsigned served;
	unsigned refused;
	unsigned failed;
	unsigned late_served; /**< after the last fault */
	unsigned late_requests;
	GPtrArray *not_run; /**< identifiers that were refused as not run */
};

/** What a caller saw of one request. */
struct soak_sample {
	wv_msec at; /**< since the start, ms */
	wv_msec elapsed; /**< ms */
	unsigned status; /**< 0: no answer */
	double coverage; /**< part of the services that are in */
};

/** Returns monotonic milliseconds. */
wv_msec soak_now(struct soak *soak);

/** Notes that a promise was broken. */
void soak_violation(struct soak *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** Notes a fault. */
void soak_mark(struct soak *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** Starts a VM's process. */
void soak_vm_start(struct soak *soak, struct soak_vm *vm);

/** Looks for processes that have ended, and restarts those that are due. */
void soak_vms_check(struct soak *soak);

/** Starts callers that send requests until the run ends. */
void soak_callers_start(struct soak *soak, unsigned n);

/** Starts the faults. */
void soak_faults_start(struct soak *soak);

/** Writes the report with its plots to a file. */
void soak_report_write(const struct soak *soak, const char *file);

#endif
