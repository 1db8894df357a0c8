/**
 * @file
 * Probes of the soak: requests to each VM, whatever the addresses say, which
 * show whether it answers callers.
 */
#ifndef WISTERIAVANE_SOAK_PROBES_H
#define WISTERIAVANE_SOAK_PROBES_H

#include "soak/vms.h"

/** Starts to send probes to each VM, until the run ends. */
void probes_create(struct soak *soak, struct vms *vms);

#endif
