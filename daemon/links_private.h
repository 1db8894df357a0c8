/**
 * @file
 * Internals shared by the sources of the links. Unless noted otherwise,
 * functions run on the links' thread.
 */
#ifndef WISTERIAVANE_DAEMON_LINKS_PRIVATE_H
#define WISTERIAVANE_DAEMON_LINKS_PRIVATE_H

#include <apr_network_io.h>
#include <apr_poll.h>

#include "daemon/links.h"
#include "proto/frame.h"

/** One TCP connection to another VM. */
struct link {
	struct links *links;
	uint64_t id; /* unique among the links of this process */
	struct wv_string address; /* owned; empty if the peer connected */
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll;
	bool connecting;
	bool identified; /* a frame of this deployment has arrived on it */
	wv_msec opened; /* monotonic, ms */
	GByteArray *out; /* output buffer */
	size_t written; /* bytes of out that were sent */
	struct wv_frame_decoder *decoder;
};

/** All links of this VM and the requests that it forwarded. */
struct links {
	struct mailbox mailbox;
	struct daemon *daemon;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_socket_t *listener;
	bool accept_failed; /* since the last connection was accepted */
	bool crowded; /* the share was full at the last accepted connection */
	wv_msec
	    accept_again; /* monotonic, ms; 0 while connections are accepted */
	GThread *thread;
	atomic_bool stop;
	struct wv_frame_counters frames;
	uint64_t next_id;
	GHashTable *by_id; /* id to struct link */
	GHashTable *by_address; /* address to struct link */
	GHashTable *forwards; /* id to struct forward */
	GQueue parked; /* struct request that waits for a holder */
	wv_msec next_scan; /* of forwards and parked; monotonic, ms */
};

/** Finds or opens the link to an address; NULL if it cannot be opened. */
struct link *links_open(struct links *links, struct wv_string address);

/**
 * Appends bytes to a link's output buffer and sends what it can. Closes the
 * link if it broke or has too many unsent bytes.
 */
void link_write(struct link *link, const GByteArray *bytes);

/**
 * Encodes a frame with sender and deployment; the caller owns the bytes. Any
 * thread.
 */
GByteArray *links_encode(struct links *links, const Wisteriavane__Frame *frame);

/** Initializes the tables of requests, before the thread is started. */
void forwards_init(struct links *links);

/**
 * Fails all forwarded and parked requests and frees the tables, after the
 * thread was stopped.
 */
void forwards_clear(struct links *links);

/**
 * Handles a frame with a request that another VM forwards, or with the answer
 * to a request that this VM forwarded.
 */
void forwards_handle_frame(
    struct links *links, uint64_t link, const Wisteriavane__Frame *frame);

/**
 * Parks or fails the requests that were forwarded on a link that was closed.
 *
 * @param sent  whether any byte may have been sent, so that the requests may
 *              have run on the peer
 */
void forwards_link_closed(struct links *links, uint64_t link, bool sent);

/** Routes parked requests again and fails requests past their deadline. */
void forwards_tick(struct links *links, wv_msec now);

/** Returns whether any request is forwarded or parked. */
bool forwards_has_pending(const struct links *links);

#endif
