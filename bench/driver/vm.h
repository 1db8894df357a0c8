/**
 * @file
 * Entry VMs in virtual time: members, grants, lease, executor, jobs,
 * contracts and drain of each, and the messages between them. Stands for the
 * control loop of the daemon. The fleet serves one back end with one lane.
 */
#ifndef BENCH_DRIVER_VM_H
#define BENCH_DRIVER_VM_H

#include "bench/driver/lane.h"
#include "bench/driver/store.h"

/** Most VMs of a fleet. */
#define SIM_MAX_VMS 16
/** Unix time at the start of a run, ms. */
#define SIM_UNIX_BASE 1700000000000.0
/** Longest deadline; a holder without a hand-over waits for it, ms. */
#define SIM_LONGEST_DEADLINE 2000.0
/** Buckets of job records. */
#define SIM_JOB_BUCKETS 4

struct sim_fleet;

/** One process of a VM; a restart makes a new one. */
struct sim_vm {
	struct sim_fleet *fleet;
	size_t index;
	char name[8];
	char zone_name[8];
	uint32_t zone;
	uint64_t incarnation;
	bool running;
	bool cut; /**< from other VMs and the store, not from searchers */
	wv_msec paused_until;
	bool holding; /**< had the lease at the last look */
	bool handed_over; /**< the former holder reported its attempts */
	wv_msec released_at; /**< when it last gave the lane up */
	uint64_t sequence; /**< of heartbeats */
	struct wv_members *members;
	struct wv_granter *granter;
	struct wv_lease *lease;
	struct wv_roster *roster;
	struct sim_lane lane;
	struct wv_job_sink job_sink;
	struct wv_job_store *jobs;
	wv_msec job_tick_at; /**< when a tick of the job store is due */
	struct wv_contract_table *contracts;
	struct wv_sync *sync;
	struct wv_drain *drain;
	size_t in_progress; /**< requests of callers */
};

/** What a request became. */
struct sim_record {
	struct wv_request request; /**< strings are owned */
	bool answered;
	uint32_t answers; /**< must not exceed 1 */
	wv_msec answered_at;
	struct wv_status status;
	struct wv_answer answer; /**< of a search; hits are not kept */
	enum wv_job_state state; /**< of a job */
	bool has_state;
	bool lookup; /**< asks for a job's state */
	bool resolve; /**< an operator resolves a job */
	bool resolve_done; /**< as done, else as not run */
	struct sim_vm *vm; /**< accepted it */
	struct sim_vm *executing; /**< runs it */
};

/** All VMs of a run. */
struct sim_fleet {
	struct sim *sim;
	struct sim_back_end *back_end;
	struct sim_store store;
	struct sim_vm *vms[SIM_MAX_VMS]; /**< present process, or NULL */
	size_t n_vms;
	bool listed[SIM_MAX_VMS]; /**< named by the VM list */
	bool list_down; /**< the VM list cannot be read */
	bool fixed; /**< the only VM holds the lane without a lease */
	GPtrArray *processes; /**< all processes; owned */
	uint64_t double_holders; /**< ticks at which two VMs had the right */
	GPtrArray *records; /**< struct sim_record; id is the index + 1 */
	/** Called for each request sent to a searcher; may be NULL. */
	void (*watch)(void *data, const struct wv_shard_request *request);
	void *watch_data;
};

/** Prepares VMs that do not run yet. */
void sim_fleet_init(struct sim_fleet *fleet, struct sim *sim,
    struct sim_back_end *back_end, size_t n_vms);

/** Releases the fleet. The run must not go on afterwards. */
void sim_fleet_clear(struct sim_fleet *fleet);

/** Starts a VM as a new process; ends its present one, if any. */
void sim_fleet_start(struct sim_fleet *fleet, size_t index);

/** Ends a VM's process at once. */
void sim_vm_kill(struct sim_vm *vm);

/** Stops a process for a time, without its knowledge. */
void sim_vm_pause(struct sim_vm *vm, wv_msec duration);

/** Begins a planned stop. */
void sim_vm_drain(struct sim_vm *vm);

/**
 * Gives the VM list to all processes that are not cut off, and to those that
 * start later.
 */
void sim_fleet_vm_list(struct sim_fleet *fleet, const bool *listed);

/** Submits a request at a VM; its record belongs to the fleet. */
void sim_vm_submit(struct sim_vm *vm, struct sim_record *record);

/** Puts a contract through a VM; the record tells what became of it. */
void sim_vm_put_contract(struct sim_vm *vm, struct sim_record *record,
    const char *customer, const char *json, uint64_t if_version);

/** Adds a record; its number is the request's id. */
struct sim_record *sim_fleet_add_record(struct sim_fleet *fleet);

/** Returns the only VM that may start work now, or NULL. */
struct sim_vm *sim_fleet_holder(struct sim_fleet *fleet);

/** Returns the version of a customer's contract in force on a VM, or 0. */
uint64_t sim_vm_contract_version(const struct sim_vm *vm, const char *customer);

/* Between the files of the fleet. */

/** Whether an event for a process has to wait or is void. */
bool sim_vm_defer(struct sim_vm *vm, sim_event_callback callback, void *data);

/** Returns the VM that a process believes to be the lane's holder, or NULL. */
struct sim_vm *sim_vm_preferred(struct sim_vm *vm);

/** Looks at the lease anew and passes the right on to the executor. */
void sim_vm_update_right(struct sim_vm *vm);

/** Gives the VM list to one process. */
void sim_vm_take_list(struct sim_vm *vm);

/** Begins the heartbeats of a process. */
void sim_vm_start_gossip(struct sim_vm *vm);

/** Tells watchers that an object of the store has changed. */
void sim_fleet_changed(void *data, const char *key);

/** Prepares the jobs of a process. */
void sim_vm_start_jobs(struct sim_vm *vm);

/** Takes a job at the holder. */
void sim_vm_run_job(struct sim_vm *vm, struct sim_record *record);

/** Takes the executor's answer to a job. */
void sim_vm_job_answered(struct sim_vm *vm, const struct wv_answer *answer);

/** Schedules the job store's next tick. */
void sim_vm_schedule_jobs(struct sim_vm *vm);

/** Ends a request. */
void sim_record_finish(
    struct sim_record *record, enum wv_code code, const char *message);

/** Whether two processes can talk. */
bool sim_vm_connected(const struct sim_vm *a, const struct sim_vm *b);

#endif
