/**
 * @file
 * HTTP/JSON interface for callers: searches, jobs and addresses.
 */
#ifndef WISTERIAVANE_DAEMON_CALLERS_H
#define WISTERIAVANE_DAEMON_CALLERS_H

#include "daemon/daemon.h"

/** Handler of callers' HTTP calls; runs on the threads of the HTTP server. */
struct callers {
	struct wv_http_handler handler;
	struct daemon *daemon;
};

/** Initializes the handler. The daemon is borrowed and must outlive it. */
void callers_init(struct callers *callers, struct daemon *daemon);

#endif
