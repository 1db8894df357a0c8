/**
 * @file
 * Table of the other VMs, built from the reports that they send.
 *
 * The strongest VMs, the hubs, report to each other several times a second. The
 * others, the leaves, report to two hubs each, which tell them the hubs that
 * are alive. So the number of a VM's reports does not grow with the fleet. The
 * table decides which addresses callers get and how connections are divided
 * among VMs. It may be out of date, and no guarantee depends on it.
 */
#ifndef WISTERIAVANE_PEERS_H
#define WISTERIAVANE_PEERS_H

#include <glib.h>

#include "wisteriavane/types.h"

struct wv_peers;
struct wv_removal;

/** Kinds of store data whose changes VMs forward to each other. */
enum wv_peer_data {
	WV_PEER_ROUTES,
	WV_PEER_SEARCHERS,
	WV_PEER_EVACUATIONS,
	WV_PEER_DATA_COUNT
};

/** Report that a VM sends about itself. Strings are borrowed. */
struct wv_peer_report {
	struct wv_string name;
	uint64_t incarnation; /**< Unix time of its start, ms */
	uint64_t sequence; /**< number of the report within its process */
	struct wv_string peer_address; /**< IP:PORT for datagrams */
	struct wv_string caller_address; /**< IP:PORT */
	struct wv_string zone;
	bool serving; /**< accepts new callers */
	bool leaving; /**< will stop soon */
	double capacity; /**< share of a processor */
	bool store_failed; /**< a recent call of the store failed at that VM */
	/** Position of the store up to which it has all changes
	 * (store_position.h); 0 if none. */
	uint64_t positions[WV_PEER_DATA_COUNT];
	bool has_evacuations; /**< it has read the list of evacuations; VMs of
				 earlier versions never do */
	uint64_t routes_version; /**< that it uses; 0: not known */
	wv_msec routes_age; /**< since that was confirmed, ms; below 0: not
			       known */
	bool is_leaf; /**< does not report to all hubs */
	bool attach; /**< the receiver shall report its live hubs to it */
	uint64_t view; /**< hash of the hubs that it considers alive */
	uint64_t known_view; /**< last view whose hubs it has received from the
				  receiver; 0: none */
};

/** Address of a VM, for instance from the store. Strings are borrowed. */
struct wv_peer_address {
	struct wv_string name;
	struct wv_string address; /**< IP:PORT for datagrams */
	struct wv_string zone; /**< empty: unknown */
	double capacity; /**< share of a processor */
};

/** A VM that the next report is sent to. */
struct wv_peer_target {
	const char *address; /**< IP:PORT, borrowed */
	bool attach; /**< asks the receiver to report its live hubs */
	bool introduces; /**< asks the receiver for one report */
	bool with_hubs; /**< lists the hubs that this VM considers alive */
	uint64_t known_view; /**< with attach: see struct wv_peer_report */
	uint64_t hub; /**< hash of its name if it is a hub, or 0 */
	/** Its last report that this VM knows; set for hubs. */
	uint64_t echo_incarnation;
	uint64_t echo_sequence;
};

/** Role of this VM among all known VMs. */
struct wv_peer_role {
	unsigned vms; /**< known VMs, including this one */
	unsigned preferred; /**< VMs among them that callers are sent to */
	bool is_preferred; /**< whether this VM is one of them */
	unsigned quota_members; /**< the strongest VMs, which have most of the
				     teams' quotas */
	bool is_quota_member; /**< whether this VM is one of them */
	double preferred_capacity; /**< least capacity of these VMs, cores */
	bool is_watcher; /**< this VM reads changes from the store itself,
			     and other VMs read them from it */
};

/** Creates an empty table; name, zone and capacity are those of this VM. */
struct wv_peers *wv_peers_create(
    struct wv_string own_name, struct wv_string zone, double capacity);

/** Frees the table. */
void wv_peers_destroy(struct wv_peers *peers);

/**
 * Sets what is known of a VM from elsewhere. Ignored while it is alive.
 */
void wv_peers_set_address(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_address *entry);

/**
 * Applies a received report. One that is older than the last report of the same
 * VM is ignored while that VM is alive.
 *
 * @return whether it was applied
 */
bool wv_peers_apply_report(
    struct wv_peers *peers, wv_msec now, const struct wv_peer_report *report);

/**
 * Applies the list of hubs in a report that was applied. They count as alive if
 * this VM is attached to the sender; otherwise only their addresses are kept.
 *
 * @param sender  name of the sender
 * @param view    the sender's view, of which these are the hubs
 */
void wv_peers_apply_hubs(struct wv_peers *peers, wv_msec now,
    struct wv_string sender, uint64_t view, const struct wv_peer_report *hubs,
    size_t n_hubs);

/**
 * Recomputes which VMs are hubs, and forgets VMs that have not answered for too
 * long. To be called before each round of reports.
 */
void wv_peers_update(struct wv_peers *peers, wv_msec now);

/** Returns whether this VM is a hub, as of the last update. */
bool wv_peers_is_hub(const struct wv_peers *peers);

/**
 * Returns the hash of the hubs that this VM considers alive, itself included if
 * it is one; never 0.
 *
 * @param own  this VM's own report
 */
uint64_t wv_peers_view(const struct wv_peers *peers, wv_msec now,
    const struct wv_peer_report *own);

/** Calls visit for each other hub of the view; reports are borrowed. */
void wv_peers_foreach_heard_hub(const struct wv_peers *peers, wv_msec now,
    void (*visit)(void *data, const struct wv_peer_report *report), void *data);

/**
 * Plans a round of reports.
 *
 * @param own      this VM's own report
 * @param targets  receives struct wv_peer_target; emptied first
 */
void wv_peers_plan_reports(struct wv_peers *peers, wv_msec now,
    const struct wv_peer_report *own, GArray *targets);

/**
 * Returns how the report of a hub that introduces itself is answered: with a
 * request for its live hubs if no hub that this VM is attached to has the same
 * view. The address is borrowed from the report.
 */
struct wv_peer_target wv_peers_answer_introduction(
    const struct wv_peers *peers, const struct wv_peer_report *hub);

/**
 * Sets the availability zones with most searchers (char *, copied). Callers are
 * sent to VMs in them, unless too few are there. An empty array: all zones.
 */
void wv_peers_set_caller_zones(struct wv_peers *peers, const GPtrArray *zones);

/**
 * Stores the addresses for callers of the VMs that are alive and serving: only
 * those with high capacity in the zones of the searchers, those of all zones if
 * too few are there, or all if fewer than three have it. Strings are borrowed.
 *
 * @param own        address of this VM, or an empty string if it is not serving
 * @param addresses  receives the strings, as char *; emptied first
 */
void wv_peers_list_caller_addresses(const struct wv_peers *peers, wv_msec now,
    struct wv_string own, GPtrArray *addresses);

/**
 * Returns the role of this VM. Silent VMs count until they are forgotten, since
 * only the network between them and this VM may have failed.
 *
 * @param store_failed  whether a recent call of the store failed at this VM
 */
struct wv_peer_role wv_peers_get_role(
    const struct wv_peers *peers, wv_msec now, bool store_failed);

/** Returns the number by which a limit for all VMs is divided for this VM. */
double wv_peers_limit_divisor(const struct wv_peer_role *role);

/** Returns the same for the quotas of teams. */
double wv_peers_quota_divisor(const struct wv_peer_role *role);

/** Returns the number of VMs with the same divisor as this one, itself
 * included.
 */
unsigned wv_peers_count_members(const struct wv_peer_role *role);

/**
 * Returns whether this VM is one of the first n of these VMs by rendezvous
 * hashing for a key.
 *
 * @param role  as wv_peers_get_role() has returned it lately
 */
bool wv_peers_ranks_first(const struct wv_peers *peers,
    const struct wv_peer_role *role, struct wv_string key, unsigned n);

/**
 * Further divisor of a VM's fraction of a connection cap. Searchers count the
 * connections of a failed VM until they notice the failure, so half of the cap
 * is kept in reserve for a restart of all VMs at once.
 */
#define WV_PEERS_CONNECTION_RESERVE 2.0

/** Largest number of hubs. */
#define WV_PEERS_MAX_HUBS 32

/**
 * Lists the hashes of the names of the hubs that are alive, this VM included if
 * it is one; returns their number.
 */
size_t wv_peers_list_live_hubs(const struct wv_peers *peers, wv_msec now,
    uint64_t hashes[static WV_PEERS_MAX_HUBS]);

/**
 * Returns the datagram address of another hub, or an empty string.
 *
 * @param hash  of its name; the address is borrowed
 */
struct wv_string wv_peers_find_hub(const struct wv_peers *peers, uint64_t hash);

/** Returns the number of other hubs that are alive. */
unsigned wv_peers_count_live_hubs(const struct wv_peers *peers, wv_msec now);

/**
 * Records that a call of a VM failed. For some seconds the VM is only chosen if
 * there is no other, or if calls of the others failed later.
 *
 * @param address  its datagram address
 */
void wv_peers_record_failed_call(
    struct wv_peers *peers, wv_msec now, struct wv_string address);

/**
 * Returns the datagram address of a live VM with changes after a revision, or
 * an empty string. For revision 0, any hub qualifies, but for evacuations any
 * VM that has their list. The string is borrowed.
 */
struct wv_string wv_peers_find_ahead(const struct wv_peers *peers, wv_msec now,
    enum wv_peer_data state, uint64_t revision);

/**
 * Returns whether a live hub in the zone of this VM gets changes of the store
 * first: this VM waits a little and reads them from there, so that they cross
 * into the zone once.
 */
bool wv_peers_has_near_source(const struct wv_peers *peers, wv_msec now);

/**
 * Returns the VMs that were forgotten, whose entries this VM may have to remove
 * from the store (wisteriavane/removal.h). Borrowed.
 */
struct wv_removal *wv_peers_removal(struct wv_peers *peers);

/**
 * Returns whether this VM has heard another one again after it had heard none
 * for so long that its entry in the store may have been removed. Returns true
 * once for each such silence.
 */
bool wv_peers_take_isolation(struct wv_peers *peers);

/** Returns the interval between rounds of reports, ms. */
wv_msec wv_peers_report_interval(const struct wv_peers *peers);

#endif
