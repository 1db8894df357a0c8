/**
 * @file
 * The control thread: membership, leases, contracts, back ends, the VM list
 * and planned stops. Functions may be called from any thread unless their
 * comment says otherwise.
 */
#ifndef WISTERIAVANE_DAEMON_CONTROL_H
#define WISTERIAVANE_DAEMON_CONTROL_H

#include "daemon/daemon.h"
#include "proto/peer.pb-c.h"

/**
 * Creates the control state without starting its thread. The daemon must
 * outlive it.
 */
struct control *control_create(struct daemon *daemon);

/** Starts the control thread. */
void control_start(struct control *control);

/** Stops the control thread and waits for its end. */
void control_stop(struct control *control);

/** Frees the control state, which no thread may be using. */
void control_destroy(struct control *control);

/**
 * Queues a frame from another VM for the control thread.
 *
 * @param link   connection on which the frame arrived, for the reply
 * @param frame  ownership passes to the control thread
 */
void control_on_frame(
    struct control *control, uint64_t link, Wisteriavane__Frame *frame);

/**
 * Reports that a worker has handed over a lane: it starts no more work there,
 * so the lane's lease can be released.
 *
 * @param lane  name of the lane; copied
 */
void control_report_handed_over(struct control *control, struct wv_string lane);

/**
 * Reports that a generation of a searcher is leaving. The control thread
 * records it and informs all workers and the other VMs, because the next
 * holder of a lane needs it too.
 *
 * @param back_end    name of the back end; copied
 * @param searcher    name of the searcher; copied
 * @param generation  this generation and older ones are leaving
 * @param source      where the report came from
 */
void control_report_leaving(struct control *control, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source);

/**
 * Starts a planned stop.
 *
 * @param exit_after_drain  whether the process exits once the stop is complete
 */
void control_begin_drain(struct control *control, bool exit_after_drain);

/** Operators' calls that the control thread answers. */
enum operator_call {
	OPERATOR_STATE,
	OPERATOR_CONTRACT_LIST,
	OPERATOR_CONTRACT_GET,
	OPERATOR_CONTRACT_PUT,
	OPERATOR_CONTRACT_HISTORY,
	OPERATOR_JOB_LIST
};

/**
 * Queues an operator's call for the control thread, which answers it.
 *
 * @param kind        operation that is called
 * @param call        HTTP call to answer
 * @param customer    customer of the contract; empty if none; copied
 * @param value       JSON text of the new contract, or state of the jobs to
 *                    list; empty if none; copied
 * @param if_version  version that the new contract replaces; 0 creates the
 *                    contract
 */
void control_handle_operator_call(struct control *control,
    enum operator_call kind, struct wv_http_call *call,
    struct wv_string customer, struct wv_string value, uint64_t if_version);

#endif
