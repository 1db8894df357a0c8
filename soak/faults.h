/**
 * @file
 * Fault injection of the soak.
 */
#ifndef WISTERIAVANE_SOAK_FAULTS_H
#define WISTERIAVANE_SOAK_FAULTS_H

#include "soak/drains.h"
#include "soak/obstacles.h"
#include "soak/unreadable.h"

/** What faults are injected into; all pointers are borrowed. */
struct faults_config {
	struct cluster *cluster;
	struct vms *vms;
	struct obstacles *obstacles;
	struct drains *drains;
	struct unreadable *unreadable;
};

/** Starts to inject faults, until the time that soak_set_faults_end() sets. */
void faults_create(struct soak *soak, const struct faults_config *config);

#endif
