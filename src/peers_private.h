/**
 * @file
 * Internal declarations of the table of other VMs (src/peers*.c).
 */
#ifndef WISTERIAVANE_SRC_PEERS_PRIVATE_H
#define WISTERIAVANE_SRC_PEERS_PRIVATE_H

#include "src/private.h"
#include "wisteriavane/peers.h"
#include "wisteriavane/removal.h"

/** Hubs that a leaf is attached to; with two, the loss of one costs nothing. */
#define N_ATTACHMENTS 2

/** Minimum capacity of preferred VMs, as a fraction of the greatest one. */
#define PREFERRED_CAPACITY_RATIO 0.6

/** What is known about one other VM. */
struct peer {
	struct wv_string name; /**< owned */
	struct wv_string address; /**< owned */
	struct wv_string caller_address; /**< owned */
	struct wv_string zone; /**< owned; empty: unknown */
	uint64_t hash; /**< of the name */
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t positions[WV_PEER_DATA_COUNT];
	double capacity;
	bool serving;
	bool leaving;
	bool store_failed;
	bool has_evacuations; /**< it has read the list of evacuations */
	bool is_leaf; /**< it does not report to all hubs */
	bool was_hub; /**< it was a hub when it was last alive */
	bool has_report; /**< a report by it or about it was received */
	wv_msec last_seen; /**< time of that report, or when it was added */
	wv_msec max_silence; /**< since then, for it to be alive, ms */
	wv_msec heard_at; /**< its own last report; -WV_MSEC_NEVER: none */
	wv_msec asked_at; /**< first report sent to it since it was last seen,
			       WV_MSEC_NEVER: none */
	wv_msec attached_at; /**< its last report with attach set */
	wv_msec call_failed_at; /**< last failed call of it; -WV_MSEC_NEVER:
				     none */
	wv_msec hubs_sent_at; /**< last report to it with all hubs */
	uint64_t view_sent; /**< this VM's view in that report */
	/** This VM's positions in the last report to it */
	uint64_t positions_sent[WV_PEER_DATA_COUNT];
	uint64_t view; /**< hash of its live hubs, from its last report */
	uint64_t known_view; /**< hash of this VM's hubs that it has received */
	/** Per attachment: view of that hub that last named this VM; 0: none */
	uint64_t named_in[N_ATTACHMENTS];
};

/** A hub that this VM is attached to. */
struct attachment {
	uint64_t hub; /**< hash of its name; 0: none */
	uint64_t view; /**< last view received from it with all hubs */
};

struct wv_peers {
	struct wv_string own_name; /**< owned */
	struct wv_string own_zone; /**< owned */
	uint64_t own_hash; /**< of the name */
	double own_capacity;
	GHashTable *table; /**< struct peer by name; owned */
	GPtrArray *caller_zones; /**< owned char *; empty: all zones */
	GPtrArray *hubs; /**< other hubs, borrowed struct peer, in order */
	bool is_hub;
	struct attachment attachments[N_ATTACHMENTS];
	uint64_t rounds; /**< rounds of reports sent */
	unsigned
	    rounds_without_hub; /**< rounds since a stronger hub was alive */
	guint introduced; /**< VMs that it was the turn of so far */
	bool report_due; /**< a leaf reports in the next round */
	struct wv_removal *removal; /**< owned: VMs that were forgotten */
	wv_msec heard_at; /**< last report of any VM; -WV_MSEC_NEVER: none */
	bool was_isolated; /**< none came for a long time before it */
};

/** Returns whether a VM has been heard of recently. */
bool peer_is_alive(const struct peer *peer, wv_msec now);

/**
 * Returns whether this VM prefers a to b when it attaches to a hub or reads
 * from a VM. Different VMs prefer different ones.
 *
 * @param near_first  prefer those in its own availability zone
 */
bool peers_is_preferred(const struct wv_peers *peers, const struct peer *a,
    const struct peer *b, bool near_first);

/** Recomputes which VMs are hubs, and the hubs that this VM is attached to. */
void peers_update_hubs(struct wv_peers *peers, wv_msec now);

/** Returns whether a VM that was not heard of may be alive. */
bool peers_is_presumed_alive(const struct peer *peer, wv_msec now);

/** Returns whether a VM is alive and reports itself as a hub. */
bool peers_is_live_hub(const struct peer *peer, wv_msec now);

/** Returns whether a VM precedes this one in the order of strength. */
bool peers_is_stronger(const struct wv_peers *peers, const struct peer *peer);

/** Returns whether this VM, as a leaf, is attached to a hub. */
bool peers_is_attached_to(const struct wv_peers *peers, const struct peer *hub);

/** Returns whether a hub is alive that precedes this VM in that order. */
bool peers_knows_stronger_hub(const struct wv_peers *peers, wv_msec now);

/** Returns whether the VM with a hash is one of the other hubs. */
bool peers_has_hub(const struct wv_peers *peers, uint64_t hash);

#endif
