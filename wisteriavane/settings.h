/**
 * @file
 * Settings of the daemon.
 */
#ifndef WISTERIAVANE_SETTINGS_H
#define WISTERIAVANE_SETTINGS_H

#include <glib.h>

#include "wisteriavane/status.h"

/** Settings of one daemon process. All strings are owned. */
struct wv_settings {
	struct wv_string vm; /**< name of this VM */
	struct wv_string zone; /**< availability zone of this VM */
	struct wv_string deployment; /**< its name, equal on all VMs */
	struct wv_string callers; /**< IP:PORT to listen on for callers */
	struct wv_string operators; /**< IP:PORT to listen on for operators */
	struct wv_string peers; /**< IP:PORT to listen on for other VMs */
	struct wv_string store; /**< IP:PORT of the store */
	struct wv_string vm_list; /**< IP:PORT of the VM list service */
	struct wv_string operator_token; /**< bearer token of operators */
	uint32_t callers_threads; /**< HTTP server threads for callers */
	uint32_t workers; /**< worker threads that execute queries */
	size_t max_body; /**< maximum request body, bytes */
	/** Maximum time for which callers keep an address, ms. */
	wv_msec address_lifetime;
	wv_msec idle_timeout; /**< idle timeout of callers' connections, ms */
};

/**
 * Parses and validates settings, and reports all faults.
 *
 * @param json    the settings as JSON
 * @param faults  receives one owned string "PATH: fault" for each fault
 * @return settings to release with wv_settings_destroy(), or NULL if there
 *         was any fault
 */
struct wv_settings *wv_settings_parse(struct wv_string json, GPtrArray *faults);

/**
 * Returns whether a text is JSON, or nests too deeply for the beginning of
 * settings. Another one may be a file that is still being written.
 */
bool wv_settings_is_json(struct wv_string json);

/** Releases settings. NULL is allowed. */
void wv_settings_destroy(struct wv_settings *settings);

#endif
