/**
 * @file
 * Fault injection of the soak.
 */
#ifndef WISTERIAVANE_SOAK_FAULTS_H
#define WISTERIAVANE_SOAK_FAULTS_H

#include "soak/drains.h"
#include "soak/eras.h"
#include "soak/evacuations.h"
#include "soak/obstacles.h"
#include "soak/unreadable.h"

struct faults;

/** What faults are injected into; all pointers are borrowed. */
struct faults_config {
	struct cluster *cluster;
	struct vms *vms;
	struct obstacles *obstacles;
	struct drains *drains;
	struct unreadable *unreadable;
	struct eras *eras;
	struct evacuations *evacuations;
};

/** Starts to inject faults, until the time that soak_set_faults_end() sets. */
struct faults *faults_create(
    struct soak *soak, const struct faults_config *config);

/** Releases the faults; the event loop must not run any more. */
void faults_destroy(struct faults *faults);

#endif
