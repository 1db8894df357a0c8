/**
 * @file
 * State and functions that the daemon's threads share.
 *
 * A lane is a fixed part of the slots and connections of each searcher of a
 * back end. One VM at a time holds its lease and runs requests in it.
 */
#ifndef WISTERIAVANE_DAEMON_DAEMON_H
#define WISTERIAVANE_DAEMON_DAEMON_H

#include <stdatomic.h>

#include "daemon/descriptors.h"
#include "daemon/request.h"
#include "daemon/routing.h"
#include "daemon/stats.h"

struct worker;
struct links;
struct control;

/** The daemon, one process per VM. Fields without a note never change. */
struct daemon {
	struct wv_clock clock;
	struct wv_settings *settings;
	struct descriptor_shares shares;
	struct wv_vm_id self;
	struct stats stats; /**< any thread adds */
	struct wv_contract_table *contracts; /**< control thread writes */
	struct routing_cell routing; /**< control thread writes */
	struct worker **workers;
	uint32_t n_workers;
	struct links *links;
	struct control *control;
	atomic_bool accepting_requests; /**< new ones */
	atomic_bool contracts_loaded; /**< confirmed once */
	atomic_size_t in_progress; /**< requests from callers and other VMs */
	atomic_bool stopped; /**< the process may exit */
	_Atomic wv_msec next_crowded_line; /**< monotonic, ms */
};

/** Returns the time of the daemon's monotonic clock, ms. */
wv_msec daemon_now(struct daemon *daemon);

/**
 * Registers the calling thread with liburcu until the thread ends. Further
 * calls do nothing.
 */
void daemon_register_thread(void);

/**
 * Counts an idle connection of callers or operators that was closed to make
 * room for a new one, and logs it at most once a minute. Any thread.
 *
 * @param port  name of the setting whose port is full
 */
void daemon_count_yield(struct daemon *daemon, const char *port);

/** Returns the index of the worker that runs a lane on this VM. */
uint32_t daemon_lane_worker(
    const struct daemon *daemon, struct wv_string back_end, uint32_t lane);

/** Returns the name of a lane, BACK_END/NUMBER, owned by the caller. */
struct wv_string daemon_lane_name(struct wv_string back_end, uint32_t lane);

/**
 * Chooses the lane of a request and passes the request on: to a local worker,
 * to the VM that holds the lane, or to a queue until a holder is known. Fails
 * the request if the customer has no contract for the back end. The thread must
 * be registered with liburcu.
 */
void daemon_route_request(struct daemon *daemon, struct request *request);

#endif
