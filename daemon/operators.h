/**
 * @file
 * HTTP/JSON interface for operators; calls are authenticated by a bearer token.
 */
#ifndef WISTERIAVANE_DAEMON_OPERATORS_H
#define WISTERIAVANE_DAEMON_OPERATORS_H

#include "daemon/daemon.h"

/** Handler of operators' HTTP calls; runs on the thread of its HTTP server. */
struct operators {
	struct wv_http_handler handler;
	struct daemon *daemon;
};

/** Initializes the handler. The daemon is borrowed and must outlive it. */
void operators_init(struct operators *operators, struct daemon *daemon);

#endif
