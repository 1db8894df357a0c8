/**
 * @file
 * A simulated cluster of entry VMs: membership, grants, lease, executor, jobs,
 * contracts and drain of each VM, and the messages between them. Takes the
 * place of the daemon's control loop. The cluster serves one back end with one
 * lane.
 */
#ifndef BENCH_DRIVER_VM_H
#define BENCH_DRIVER_VM_H

#include "bench/driver/lane.h"
#include "bench/driver/store.h"

/** Maximum number of VMs of a cluster. */
#define SIM_MAX_VMS 16
/** Unix time at the start of a run, ms. */
#define SIM_START_UNIX_TIME_MS 1700000000000.0
/**
 * Longest deadline of a request, ms. A new holder without a hand-over does not
 * start work until the previous lease has expired and this time has passed, so
 * that the attempts of the previous holder have ended.
 */
#define SIM_MAX_DEADLINE_MS 2000.0
/** Number of buckets of job records. */
#define SIM_JOB_BUCKETS 4

struct sim_cluster;

/** One process of a VM; a restart creates a new one. */
struct sim_vm {
	struct sim_cluster *cluster;
	size_t index; /**< of the VM in sim_cluster.vms */
	char name[8];
	char zone_name[8];
	uint32_t zone; /**< index of the zone */
	uint64_t incarnation;
	bool running;
	bool isolated; /**< from VMs and store, not from searchers */
	wv_msec paused_until; /**< the process does not run before */
	bool holds_lease; /**< held the lease at the last update */
	bool hand_over_received; /**< from the previous holder */
	wv_msec lane_released_at; /**< time of its last release */
	uint64_t sequence; /**< of the last heartbeat */
	struct wv_members *members;
	struct wv_granter *granter;
	struct wv_lease *lease;
	struct wv_roster *roster;
	struct sim_lane lane;
	struct wv_job_sink job_sink;
	struct wv_job_store *jobs;
	wv_msec next_job_tick; /**< time of the job store's scheduled tick */
	struct wv_contract_table *contracts;
	struct wv_sync *sync;
	struct wv_drain *drain;
	size_t in_progress; /**< unanswered requests of callers */
};

/** A caller's request and its outcome. */
struct sim_record {
	struct wv_request request; /**< strings are owned */
	bool answered;
	uint32_t answers; /**< number of answers; must not exceed 1 */
	wv_msec answered_at;
	struct wv_status status;
	struct wv_answer answer; /**< of a search; hits are not kept */
	enum wv_job_state state; /**< of a job; valid if has_state */
	bool has_state;
	bool lookup; /**< queries the state of a job */
	bool resolve; /**< an operator resolves a job */
	bool resolve_done; /**< resolve as done, else as not run */
	struct sim_vm *vm; /**< received it from the caller */
	struct sim_vm *executing_vm; /**< runs it; NULL until forwarded */
};

/** All VMs of a simulation run. */
struct sim_cluster {
	struct sim *sim;
	struct sim_back_end *back_end;
	struct sim_store store;
	struct sim_vm *vms[SIM_MAX_VMS]; /**< current process, or NULL */
	size_t n_vms;
	bool listed[SIM_MAX_VMS]; /**< is in the VM list */
	bool vm_list_down; /**< the VM list cannot be read */
	bool has_fixed_holder; /**< single VM, holds without a lease */
	GPtrArray *processes; /**< also ended ones; owned */
	uint64_t double_holders; /**< checks that found two lease holders */
	GPtrArray *records; /**< struct sim_record; id is the index + 1 */
	/** Called for each shard request that is sent; may be NULL. */
	void (*on_send)(void *data, const struct wv_shard_request *request);
	void *on_send_data;
};

/** Initializes a cluster; none of its VMs runs yet. */
void sim_cluster_init(struct sim_cluster *cluster, struct sim *sim,
    struct sim_back_end *back_end, size_t n_vms);

/** Releases the cluster. No event may run afterwards. */
void sim_cluster_clear(struct sim_cluster *cluster);

/** Starts a new process of a VM; kills its current one, if any. */
void sim_cluster_start_vm(struct sim_cluster *cluster, size_t index);

/** Kills a VM's process; connections of its callers break. */
void sim_vm_kill(struct sim_vm *vm);

/** Suspends a process for a time, without the process noticing. */
void sim_vm_pause(struct sim_vm *vm, wv_msec duration);

/** Starts the drain, that is the planned stop, of a VM. */
void sim_vm_drain(struct sim_vm *vm);

/**
 * Sets the VM list. All processes that are not isolated receive it, and so do
 * those that start later.
 *
 * @param listed  one flag for each VM
 */
void sim_cluster_set_vm_list(struct sim_cluster *cluster, const bool *listed);

/** Submits a request at a VM. The record is owned by the cluster. */
void sim_vm_submit(struct sim_vm *vm, struct sim_record *record);

/** Writes a contract through a VM; the record receives the outcome. */
void sim_vm_put_contract(struct sim_vm *vm, struct sim_record *record,
    const char *customer, const char *json, uint64_t if_version);

/** Adds an empty record, owned by the cluster, and assigns the request's id. */
struct sim_record *sim_cluster_add_record(struct sim_cluster *cluster);

/**
 * Returns the running VM that holds the lease now, or NULL. Counts a second
 * holder in double_holders.
 */
struct sim_vm *sim_cluster_find_holder(struct sim_cluster *cluster);

/** Returns the version of a customer's contract that a VM applies, or 0. */
uint64_t sim_vm_contract_version(const struct sim_vm *vm, const char *customer);

/* Shared by the files vm*.c only. */

/**
 * Reschedules an event if the process is paused. Returns whether it was; the
 * caller then returns without handling the event.
 */
bool sim_vm_defer_if_paused(
    struct sim_vm *vm, sim_event_callback callback, void *data);

/** Returns the VM that should hold the lane in a process's view, or NULL. */
struct sim_vm *sim_vm_find_preferred_holder(struct sim_vm *vm);

/** Updates holds_lease from the lease and passes its expiry to the executor. */
void sim_vm_update_lease(struct sim_vm *vm);

/** Passes the VM list to one process, unless it cannot be read. */
void sim_vm_read_vm_list(struct sim_vm *vm);

/** Starts the periodic heartbeats and contract reads of a process. */
void sim_vm_start_periodic_tasks(struct sim_vm *vm);

/** Notifies the watchers of contracts of a changed object of the store. */
void sim_cluster_notify_change(void *data, const char *key);

/** Creates the job store of a process. */
void sim_vm_create_job_store(struct sim_vm *vm);

/** Submits a job to the job store of the holder. */
void sim_vm_submit_job(struct sim_vm *vm, struct sim_record *record);

/** Handles the executor's answer to a job. */
void sim_vm_handle_job_answer(
    struct sim_vm *vm, const struct wv_answer *answer);

/** Schedules the job store's next tick. */
void sim_vm_schedule_job_tick(struct sim_vm *vm);

/** Records the answer to a request; only the first one sets the outcome. */
void sim_record_finish(
    struct sim_record *record, enum wv_code code, const char *message);

/** Returns whether messages between two processes arrive. */
bool sim_vm_can_reach(const struct sim_vm *a, const struct sim_vm *b);

#endif
