/**
 * @file
 * Links to other VMs: TCP connections that carry frames, and requests that are
 * forwarded to the VM that holds their lane. One thread owns all links and
 * does all of their I/O. Any thread may send frames and route requests: these
 * functions post a task to the links' thread and do not block.
 */
#ifndef WISTERIAVANE_DAEMON_LINKS_H
#define WISTERIAVANE_DAEMON_LINKS_H

#include "daemon/daemon.h"
#include "proto/peer.pb-c.h"

/**
 * Creates the links. The daemon is borrowed and must outlive them.
 *
 * @param listener  listening socket for connections of other VMs, which is not
 *                  blocking; the links take it over
 * @return NULL, with the status set to WV_INTERNAL, if the process has no
 *         descriptors left
 */
struct links *links_create(
    struct daemon *daemon, int listener, struct wv_status *status);

/** Starts the links' thread. */
void links_start(struct links *links);

/** Stops the links' thread and waits for its end. */
void links_stop(struct links *links);

/**
 * Closes all links and frees them. The links' thread must have been stopped and
 * no other thread may use them any more.
 */
void links_destroy(struct links *links);

/**
 * Sends a frame to the peer at an address, connecting if necessary. Sender and
 * deployment are filled in. Delivery is best effort: the frame is dropped if
 * the connection cannot be opened or breaks.
 */
void links_send(struct links *links, struct wv_string address,
    const Wisteriavane__Frame *frame);

/** Sends a frame on the link, by id, on which another frame was received. */
void links_reply(
    struct links *links, uint64_t link, const Wisteriavane__Frame *frame);

/**
 * Takes ownership of a request whose lane this VM does not hold. Forwards it to
 * the holder, or parks it until a holder is known or its deadline has passed.
 */
void links_route(struct links *links, struct request *request);

/**
 * Takes ownership of a request and parks it; it is routed again at the next
 * scan of the parked requests.
 */
void links_park(struct links *links, struct request *request);

/** Sends the outcome of a request to the VM that forwarded it. */
void links_answer_forward(struct links *links, const struct request *request,
    const struct request_outcome *outcome);

/** Adds the counters of received and refused frames to a JSON object. */
void links_dump_counters(struct links *links, JsonObject *object);

#endif
