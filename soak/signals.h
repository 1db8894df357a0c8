/**
 * @file
 * Signals to new processes of the soak's VMs.
 */
#ifndef WISTERIAVANE_SOAK_SIGNALS_H
#define WISTERIAVANE_SOAK_SIGNALS_H

#include "soak/vms.h"

/**
 * From now on, waits until each new process is guarded against signals, sends
 * it those that are pending and, at random, a series of signals.
 */
void signals_create(struct soak *soak, struct vms *vms);

#endif
