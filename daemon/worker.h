/**
 * @file
 * A thread that runs searches and jobs. Each worker owns the executors of some
 * lanes, the job stores of their back ends, and one HTTP client. Any
 * thread may call the functions that pass something to the worker: they copy
 * their arguments unless stated otherwise, post a task to the worker's thread
 * and do not block.
 */
#ifndef WISTERIAVANE_DAEMON_WORKER_H
#define WISTERIAVANE_DAEMON_WORKER_H

#include "daemon/daemon.h"
#include "http/client.h"

/** Creates a worker. The daemon is borrowed and must outlive it. */
struct worker *worker_create(struct daemon *daemon, uint32_t index);

/** Starts the worker's thread. */
void worker_start(struct worker *worker);

/** Stops the worker's thread and waits for its end. */
void worker_stop(struct worker *worker);

/** Frees a stopped worker; no other thread may use it any more. */
void worker_destroy(struct worker *worker);

/** Passes a request to the worker, which takes ownership. */
void worker_submit(struct worker *worker, struct request *request);

/**
 * Creates or updates a lane's executor.
 *
 * @param number    number of the lane within its back end
 * @param topology  the worker takes ownership
 */
void worker_set_topology(struct worker *worker, struct wv_string lane,
    uint32_t number, struct wv_topology *topology);

/**
 * Sets the lease expiry of a lane. The lane starts no work after it; running
 * attempts go on.
 *
 * @param until       monotonic time, ms; 0 if this VM does not hold the lease
 * @param quarantine  monotonic time in ms until which all slots count as taken;
 *                    0 for no change
 */
void worker_set_lease(struct worker *worker, struct wv_string lane,
    wv_msec until, wv_msec quarantine);

/**
 * Hands over a lane: stops starting work in it, sends the next holder a list of
 * the attempts that still run, then calls control_report_handed_over().
 *
 * @param peer  the next holder's address for frames; empty if there is none
 */
void worker_hand_over(
    struct worker *worker, struct wv_string lane, struct wv_string peer);

/**
 * Applies a hand-over from the previous holder of a lane: counts its running
 * attempts as taking slots, and frees the slots of those that it has released.
 */
void worker_adopt_attempts(struct worker *worker, struct wv_string lane,
    const struct wv_running_attempt *running, size_t n_running,
    const struct wv_attempt_id *released, size_t n_released);

/** Informs the executors that a generation of a searcher is leaving. */
void worker_mark_leaving(struct worker *worker, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source);

/**
 * Marks claimed jobs of VMs that are gone as unresolved, in the back ends whose
 * jobs run on this worker.
 *
 * @param live  VMs that may still finish their claimed jobs
 */
void worker_sweep_jobs(
    struct worker *worker, const struct wv_vm_id *live, size_t n_live);

/**
 * Requests a dump of the state of all lanes and job stores.
 *
 * @param done  called on the worker's thread; takes ownership of the object
 */
void worker_dump(struct worker *worker,
    void (*done)(void *data, JsonObject *object), void *data);

#endif
