/**
 * @file
 * Internal types and functions of the control thread. Only that thread may
 * call these functions.
 */
#ifndef WISTERIAVANE_DAEMON_CONTROL_PRIVATE_H
#define WISTERIAVANE_DAEMON_CONTROL_PRIVATE_H

#include <json-glib/json-glib.h>

#include "daemon/control.h"
#include "daemon/store_client.h"

/** Number of latest heartbeats whose sending times are kept. */
#define SENT_HEARTBEATS 64
/** Number of heartbeats that announce the release of a lane. */
#define RELEASE_REPEATS 5

/** The control thread's state of a lane. */
struct control_lane {
	struct wv_string name; /* owned */
	struct wv_string back_end; /* owned */
	uint32_t number; /* index among the lanes of the back end */
	uint32_t worker; /* index of the worker that runs the lane */
	struct wv_lease *lease; /* owned */
	bool held; /* this VM has the lease */
	bool claimed; /* heartbeats request or renew the lease */
	bool handing_over; /* a worker is passing the lane on */
	wv_msec lease_expiry; /* expiry last sent to the worker */
	wv_msec handover_received_at; /* from the previous holder */
	struct wv_string preferred_vm; /* owned; VM that should hold the lane */
	struct wv_string preferred_peer; /* owned; its address for peers */
	wv_msec not_preferred_since; /* another VM is preferred since then */
	struct wv_vm_id holder; /* owned; other VM that holds the lane */
	wv_msec holder_last_seen; /* last heartbeat that listed the lane */
};

/** The newest known version of a back end, from the store or a peer. */
struct back_end {
	struct wv_string name; /* owned */
	struct wv_string json; /* owned; as received */
	uint64_t version;
	struct wv_topology *topology; /* owned */
};

/** A lane whose release is still announced in heartbeats. */
struct lane_release {
	struct wv_string lane; /* owned */
	int repeats; /* heartbeats that still announce it */
};

/** A key prefix that is listed once and then watched in the store. */
struct watched_prefix {
	struct control *control;
	const char *prefix;
	uint64_t revision; /* changes after it are watched for */
	bool listed; /* a full listing was received */
	bool call_pending; /* a call to the store is in progress */
	wv_msec next; /* earliest time of the next call */
	/* complete: the objects are a full listing, not changes */
	void (*apply)(
	    struct control *control, JsonArray *objects, bool complete);
};

/** State of the control thread. */
struct control {
	struct mailbox mailbox;
	struct daemon *daemon;
	struct wv_http_client *client;
	GThread *thread;
	atomic_bool stop;
	struct wv_members *members;
	struct wv_roster *roster;
	struct wv_granter *granter;
	struct wv_sync *sync;
	struct wv_drain *drain;
	bool exit_after_drain; /* end the process after a planned stop */
	uint64_t live_vms_digest; /* live VMs at the last choice of holders */
	guint n_assigned_lanes; /* number of lanes at that time */
	GPtrArray *lanes; /* struct control_lane */
	GHashTable *lanes_by_name; /* borrows from lanes */
	GHashTable *back_ends; /* name to struct back_end */
	/* BACK_END/SEARCHER to struct leaving_searcher */
	GHashTable *leaving_searchers;
	GPtrArray *releases; /* struct lane_release */
	uint64_t sequence; /* of the last heartbeat sent */
	wv_msec sent_at[SENT_HEARTBEATS]; /* indexed by sequence */
	wv_msec next_heartbeat;
	wv_msec next_vm_list;
	wv_msec next_job_sweep;
	bool vm_list_call_pending;
	bool routing_stale; /* a new routing table must be published */
	enum wv_drain_stage drain_stage;
	struct watched_prefix contracts;
	struct watched_prefix topologies;
	GHashTable *last_exchange; /* VM to wv_msec, last update sent to it */
};

/** Returns the lane with a name, or NULL. The name must end in a NUL. */
struct control_lane *control_find_lane(
    struct control *control, struct wv_string name);

/**
 * Creates the lanes of a back end that do not exist yet and gives the topology
 * to the workers of all its lanes.
 */
void control_add_lanes(
    struct control *control, const struct wv_topology *topology);

/** Frees a struct control_lane; a GDestroyNotify. */
void control_lane_destroy(void *data);

/** Sends a heartbeat if one is due. */
void control_tick_heartbeat(struct control *control, wv_msec now);

/**
 * Process a peer's heartbeat, its answer to a heartbeat (which carries lease
 * grants), or a hand-over of a lane. The link is used for the answer.
 */
void control_apply_heartbeat(
    struct control *control, uint64_t link, const Wisteriavane__Frame *frame);
void control_apply_ack(
    struct control *control, const Wisteriavane__Frame *frame);
void control_apply_handover(
    struct control *control, const Wisteriavane__Frame *frame);

/** Updates the leases: takes, renews, loses and hands over lanes. */
void control_tick_leases(struct control *control, wv_msec now);

/** Returns whether a member is this VM. Returns false for NULL. */
bool control_is_self(
    const struct control *control, const struct wv_member *member);

/** Returns the number of lanes that this VM holds or is handing over. */
size_t control_count_held_leases(const struct control *control);

/** Publishes a new routing table if routing_stale is set. */
void control_publish_routing(struct control *control, wv_msec now);

/**
 * Lists contracts and back ends in the store once, then watches them if this
 * VM is a watcher.
 */
void control_tick_store(struct control *control, wv_msec now);

/** Sets up the prefixes that are watched in the store. */
void control_init_store_watches(struct control *control);

/** Process contracts or back ends from a peer. */
void control_apply_contracts(
    struct control *control, const Wisteriavane__Frame *frame);
void control_apply_back_ends(
    struct control *control, const Wisteriavane__Frame *frame);

/**
 * Sends a peer the contracts and back ends that it lacks according to the
 * revision and digests in its heartbeat.
 */
void control_send_missing(struct control *control, wv_msec now,
    const struct wv_member *peer, const Wisteriavane__Heartbeat *heartbeat);

/**
 * Applies a version of a contract and returns whether it came in force. An
 * invalid one is logged and counted.
 *
 * @param deleted  the contract was deleted at this version
 */
bool control_update_contract(struct control *control, struct wv_string customer,
    struct wv_string json, uint64_t version, bool deleted);

/** Sends all back ends and all leaving searchers to a peer. */
void control_send_back_ends(struct control *control, struct wv_string peer);

/**
 * Sends the contracts that changed after a revision to some peers, chosen as
 * for heartbeats. 0 sends all contracts.
 */
void control_push_contracts(struct control *control, uint64_t after);

/**
 * Applies a version of a back end and returns whether it came in force. It is
 * ignored if it is not newer, and logged and rejected if it is invalid or
 * changes the number of job buckets.
 */
bool control_update_back_end(struct control *control, struct wv_string name,
    struct wv_string json, uint64_t version);

/** Returns a digest of the names and versions of all back ends. */
uint64_t control_back_ends_digest(const struct control *control);

/** Processes a peer's report that a searcher is leaving. */
void control_apply_leaving(
    struct control *control, const Wisteriavane__Frame *frame);

/**
 * Returns {back_end, searcher, generation} for each leaving searcher; the
 * caller owns the array.
 */
JsonArray *control_dump_leaving(const struct control *control);

/** Sends a peer a report for each searcher known to be leaving. */
void control_send_leaving(struct control *control, struct wv_string peer);

/** Requests the VM list if a read is due. */
void control_tick_vm_list(struct control *control, wv_msec now);

/**
 * Answers an operator's call that changes a contract, or one that reads its
 * history. The call is answered after the store has replied.
 */
void control_put_contract(struct control *control, struct wv_http_call *call,
    struct wv_string customer, struct wv_string value, uint64_t if_version);
void control_get_contract_history(struct control *control,
    struct wv_http_call *call, struct wv_string customer);

/**
 * Answers an operator's call with the jobs of all back ends in the store.
 *
 * @param state  lists only jobs in this state; empty lists all
 */
void control_list_jobs(
    struct control *control, struct wv_http_call *call, struct wv_string state);

/** Answers a call with the VM's state once all workers have added theirs. */
void control_dump_state(struct control *control, struct wv_http_call *call);

/**
 * Returns a contract as {customer, version, deleted, value}, without a value
 * if it was deleted. The caller owns the object.
 */
JsonObject *control_contract_to_json(const struct wv_contract *contract);

#endif
