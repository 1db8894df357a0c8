/**
 * @file
 * Settings of the entry server, in JSON.
 */
#ifndef WISTERIAVANE_ENTRY_SETTINGS_H
#define WISTERIAVANE_ENTRY_SETTINGS_H

#include <glib.h>

#include "wisteriavane/types.h"

/** Settings. docs/settings.md explains each field. */
struct entry_settings {
	char *vm; /**< name of this VM */
	char *zone; /**< its availability zone */
	char *callers; /**< IP:PORT for callers */
	char *readiness; /**< IP:PORT that tells whether it is ready */
	char *addresses; /**< IP:PORT that names VMs to callers */
	char *peers; /**< IP:PORT of datagrams between VMs */
	char *metrics; /**< IP:PORT of the metrics */
	char *store; /**< IP:PORT of the store */
	double capacity; /**< processor share of this VM, cores */
	double retry_ratio; /**< extra attempts per request, whole fleet */
	double retry_slack; /**< extra attempts per window, whole fleet */
	double retry_window_s; /**< length of the window */
	double stop_s; /**< time between the request to stop and the end */
	double address_lifetime_s; /**< how long callers may keep addresses */
};

/**
 * Parses settings.
 *
 * @param faults  gets one line per fault, with its JSON path
 * @return the settings, or NULL if there are faults
 */
struct entry_settings *entry_settings_parse(
    struct wv_string json, GPtrArray *faults);

/** Reads settings from a file; an unreadable file is a fault. */
struct entry_settings *entry_settings_read(const char *file, GPtrArray *faults);

/**
 * Takes from newer settings what may change while the process runs.
 *
 * @param kept  gets the names of fields that differ but need a restart;
 *              static strings
 */
void entry_settings_update(struct entry_settings *settings,
    const struct entry_settings *newer, GPtrArray *kept);

/** Releases settings. NULL is allowed. */
void entry_settings_destroy(struct entry_settings *settings);

#endif
