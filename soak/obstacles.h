/**
 * @file
 * Faults of what surrounds the processes of VMs: their launcher, ports,
 * settings files and standard output.
 */
#ifndef WISTERIAVANE_SOAK_OBSTACLES_H
#define WISTERIAVANE_SOAK_OBSTACLES_H

#include "soak/vms.h"

struct obstacles;

/**
 * From now on, draws obstacles for each restart of a VM, when it takes place,
 * and how the output of the new process is read.
 */
struct obstacles *obstacles_create(struct soak *soak, struct vms *vms);

/** Injects a fault of the launcher or the surroundings of a running VM. */
void obstacles_inject(
    struct obstacles *obstacles, struct vm *vm, wv_msec duration);

#endif
