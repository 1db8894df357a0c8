/**
 * @file
 * Settings of the entry server, in JSON.
 */
#ifndef WISTERIAVANE_ENTRY_SETTINGS_H
#define WISTERIAVANE_ENTRY_SETTINGS_H

#include <glib.h>

#include "wisteriavane/types.h"

/** Settings; docs/settings.md describes each field. Strings are owned. */
struct entry_settings {
	char *vm; /**< name of this VM */
	char *zone; /**< its availability zone */
	char *callers; /**< IP:PORT where callers' requests arrive */
	char *readiness; /**< IP:PORT of the readiness check */
	char *addresses; /**< IP:PORT where callers query VM addresses */
	char *peers; /**< IP:PORT for other VMs: UDP for reports,
			TCP for changes */
	char *metrics; /**< IP:PORT where metrics are scraped */
	char *store; /**< IP:PORT of the store */
	double capacity; /**< CPU share of this VM, cores */
	double retry_ratio; /**< extra attempts per request, over all VMs */
	double retry_slack; /**< further extra attempts per window, for
			       all VMs together */
	double retry_window_s; /**< length of the window, s */
	double quota_window_s; /**< window of the teams' quotas, s; 0: no
				  quota is enforced */
	double quota_overshoot; /**< permitted excess over a quota, ratio */
	double quota_slack; /**< further requests per window and team, for
			       all VMs together */
	double stop_s; /**< longest time from the signal to the exit, s */
	double address_lifetime_s; /**< callers may keep addresses so long, s */
	double strict_revoke; /**< 1: requests that need a key are refused
				 while the routes are not confirmed */
	double revoke_ms; /**< so long a confirmation of the routes counts with
			     strict_revoke, ms */
	double evacuate_ms; /**< longest time until an evacuation is in force
			       on all VMs, ms; 0: evacuations are not
			       followed */
	double cold_overshoot; /**< factor of the rate of cold searchers; 0:
				  their requests are not limited */
	double cold_slack; /**< further requests per second to each cold
			      searcher, of all VMs together */
};

/**
 * Parses settings from JSON.
 *
 * @param faults  one line is added for each fault (char *, to be freed), with
 *                its JSON path
 * @return the settings, which the caller owns, or NULL if there are faults
 */
struct entry_settings *entry_settings_parse(
    struct wv_string json, GPtrArray *faults);

/**
 * Like entry_settings_parse(), from a file; an unreadable file is a fault.
 *
 * @param whole  may be NULL; receives whether the file could be read and is
 *               JSON, so that it is not one that is being written; see
 *               wv_settings_is_json()
 */
struct entry_settings *entry_settings_read(
    const char *file, GPtrArray *faults, bool *whole);

/**
 * Copies from newer settings the fields that may change at run time.
 *
 * @param kept  the names of fields that differ but need a restart are added;
 *              static strings
 */
void entry_settings_update(struct entry_settings *settings,
    const struct entry_settings *newer, GPtrArray *kept);

/** Releases settings. NULL is allowed. */
void entry_settings_destroy(struct entry_settings *settings);

#endif
