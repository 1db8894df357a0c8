/**
 * @file
 * Callers of the soak: they request the addresses of VMs, send searches and
 * orders, and check every answer.
 */
#ifndef WISTERIAVANE_SOAK_CALLERS_H
#define WISTERIAVANE_SOAK_CALLERS_H

#include "soak/teams.h"
#include "soak/vms.h"

struct callers;

/** Outcome of a request, as seen by its caller. */
struct callers_sample {
	wv_msec at; /**< end of the request since the start of the run, ms */
	wv_msec elapsed; /**< latency, ms */
	unsigned status; /**< 0: no answer */
	double coverage; /**< fraction of the services that answered */
};

/** Outcomes of all requests. */
struct callers_outcome {
	GArray *samples; /**< of struct callers_sample */
	unsigned requests;
	unsigned served;
	unsigned refused;
	unsigned failed;
	/** Counts of the requests sent 3 s or more after the faults. */
	unsigned served_after_faults;
	unsigned requests_after_faults;
	GPtrArray *not_run_ids; /**< identifiers of orders refused as not run */
};

/** Starts n callers, which send requests until the run ends. */
struct callers *callers_create(
    struct soak *soak, struct vms *vms, struct teams *teams, unsigned n);

/** Returns the outcomes until now. Borrowed. */
const struct callers_outcome *callers_outcome(const struct callers *callers);

#endif
