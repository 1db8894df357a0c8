/**
 * @file
 * Declarations shared by the sources of the synchronization with the store.
 */
#ifndef WISTERIAVANE_ENTRY_STORE_SYNC_PRIVATE_H
#define WISTERIAVANE_ENTRY_STORE_SYNC_PRIVATE_H

#include "entry/client.h"
#include "entry/store_sync.h"
#include "wisteriavane/change_log.h"
#include "wisteriavane/confirmation.h"
#include "wisteriavane/removal.h"
#include "wisteriavane/store_position.h"

/**
 * How long a watch call waits for changes, ms. A store that no longer answers
 * is noticed after this time plus CALL_TIMEOUT; then other VMs take over. All
 * VMs must receive a change within 3 s, in this case too.
 */
#define STORE_WATCH_WAIT 1000
/**
 * The same for the call by which a VM catches up, and for those of a watcher
 * that waits for the end of an outage, ms.
 */
#define STORE_CATCH_UP_WAIT 1

/** Failed calls for a list after which it is requested from another VM. */
#define MAX_LIST_FAILURES 2
/**
 * Time after an outage of the store for which missing searchers count as
 * present, ms: registrations that expired meanwhile are written again within
 * two seconds.
 */
#define OUTAGE_GRACE 2200.0

/** State of a follower. */
enum phase {
	PHASE_CREATE, /**< creates this VM's registration */
	PHASE_LIST, /**< reads the list, page by page */
	PHASE_REPLACE, /**< replaces an old registration of this VM */
	PHASE_FOLLOW, /**< reads changes, from the store or another VM */
	PHASE_CONFIRM, /**< reads another VM's list, for newer routes only */
	PHASE_DONE, /**< makes no calls until one is due */
	PHASE_REVISIONS, /**< reads the revisions of VMs' registrations */
	PHASE_REMOVE, /**< removes the registration of a removed VM */
	PHASE_RESTORE /**< writes a registration that was removed */
};

/** Repetitions of one call of the store. */
#define STORE_MAX_REPEATS 4

/** A repetition of a call, on a connection of its own. */
struct store_repeat {
	struct client *client; /**< owned */
	wv_msec sent_at; /**< monotonic, ms */
};

/** Synchronizes one kind of objects, over a connection of its own. */
struct follower {
	struct store_sync *sync;
	enum store_kind kind;
	enum phase phase;
	struct client *client;
	char *address; /**< owned: IP:PORT of the client's peer */
	wv_msec sent_at; /**< time of the client's call, ms */
	struct store_repeat repeats[STORE_MAX_REPEATS]; /**< of that call */
	unsigned n_repeats;
	unsigned unanswered_repeats; /**< since the last answer */
	wv_msec repeat_delay; /**< before the next repetition, ms */
	struct event *repeat_timer; /**< owned: next repetition */
	struct event *timer; /**< start of the next call, or timeout of this
				one */
	bool calling; /**< a call is in progress */
	bool from_peer; /**< the call goes to another VM, not the store */
	bool awaits_near; /**< the timer ends a wait for a near peer's copy
				of changes that another one has */
	bool found_self; /**< the list has this VM's registration */
	bool listed; /**< a list has been read since the start */
	bool listed_by_store; /**< the first one came from the store */
	bool catches_up; /**< the changes after its first list are read from
			    the store, once, though this VM does not watch */
	bool after_outage; /**< the next changes follow an outage of the
				store */
	bool confirms; /**< the routes read at the start may be older than
			    those of other VMs */
	char *list_after; /**< owned: last name of the list's previous page */
	GPtrArray *received; /**< owned: objects of the answer being applied */
	uint64_t answer_era; /**< of the same answer, or the last one */
	const struct store_page *page; /**< borrowed: of the same answer */
	struct wv_change_log *changes; /**< owned: objects, recent changes */
	unsigned failures; /**< failed calls of the store in a row */
	struct wv_removal_call cleanup; /**< in a phase of the cleanup */
	unsigned stale_lists; /**< lists of VMs read that lack this VM */
	wv_msec backoff; /**< delay after the next failure, ms */
};

/** Synchronization of all kinds of objects. */
struct store_sync {
	struct store_sync_deps deps;
	const struct store_sync_ops *ops;
	void *data; /**< passed to the operations */
	uint64_t era; /**< newest era of the store that is known */
	bool era_known; /**< the store has stated it since the start */
	wv_msec era_began_at; /**< when it replaced another one, ms */
	wv_msec register_at; /**< when this VM's entry is written again, ms;
				WV_MSEC_NEVER: not due */
	char *newest_routes; /**< owned: encoded change with the newest version
				of the routes; NULL: none */
	uint64_t newest_version; /**< that version */
	uint64_t routes_version; /**< newest one that was read; 0: none */
	struct wv_confirmation routes_confirmed; /**< of that version */
	bool vms_listed; /**< the list of VMs was read */
	bool stopping; /**< no further calls of the cleanup begin */
	bool lost; /**< calls of the store have failed since the last
			   answer */
	bool watching; /**< this VM watches the store directly */
	bool caught_up; /**< it has watched, or has begun to catch up */
	wv_msec answer_time; /**< of the latest list or write, ms; 0: none */
	wv_msec
	    changes_due_until; /**< entries may be written again until then */
	wv_msec lost_at; /**< time of the first of these failures */
	wv_msec failed_at; /**< last time that calls of the store failed
				MIN_FAILURES times in a row, or one timed
				out */
	struct client_memory memory; /**< for answers */
	GHashTable *listed_zones; /**< owned: zones (owned char *) in the list
				     of evacuations that is being read */
	bool evacuations_doubtful; /**< some are kept that the store lacks
					after a change of its era */
	uint64_t evacuations_at; /**< greatest position of the evacuations that
				    were applied */
	struct follower followers[STORE_KIND_COUNT];
};

/**
 * Returns whether the answer being applied is another VM's list that is older
 * than the data known here. The store's own list is always applied.
 */
bool store_is_outdated_list(const struct follower *follower);

/**
 * Returns whether the next list may be seconds old. Only the list of VMs may:
 * it is read again until it has this VM's registration, so of two VMs the one
 * that was created later lists the other. A list of searchers or routes that is
 * seconds old could bring back what has been removed.
 */
bool store_reads_stale_list(const struct follower *follower);

/** What the era of an answer means for a follower. */
enum store_era_result {
	STORE_ERA_SAME, /**< the answer applies */
	STORE_ERA_NEW, /**< the list has to be read again */
	STORE_ERA_OLD /**< the answer is of a lost era */
};

/**
 * Determines the era of an answer. Begins a new era if it is the first one of
 * it.
 */
enum store_era_result store_check_era(
    struct follower *follower, const struct message *answer);

/**
 * Returns whether the era has just changed, so that objects may be missing that
 * are being written again, or be older than what was acknowledged.
 */
bool store_is_era_grace(const struct store_sync *sync);

/**
 * Reads newer routes than the store's from another VM, if it has some: the
 * store may have come back from an older copy just before this VM started.
 */
void store_begin_confirm(
    struct follower *follower, const struct wv_peer_report *report);

/** Applies the answer to that call. */
void store_apply_confirm(
    struct follower *follower, const struct message *answer);

/** Sends the next call to an address IP:PORT. */
void store_send_call(struct follower *follower, const char *address);

/** Applies another VM's routes if they are newer (store_visit). */
void store_apply_confirmed(void *data, const struct store_object *object);

/** Returns whether this VM's entry is to be written again. */
bool store_register_is_due(const struct store_sync *sync);

/** Returns the position of the answer being applied. */
uint64_t store_page_position(const struct follower *follower);

/** Returns whether the next call writes a registration. */
bool store_is_write(const struct follower *follower);

/** Composes the request of the next call; the caller owns it. */
GString *store_compose_request(const struct follower *follower);

/** Applies an object of an answer; data is the follower (store_visit). */
void store_apply_object(void *data, const struct store_object *object);

/** Returns the monotonic time, ms. */
wv_msec store_now(const struct store_sync *sync);

/** Returns the name of a kind of objects, for logs. */
const char *store_kind_name(enum store_kind kind);

/**
 * Returns whether changes of the kind are followed. VMs are listed once; later
 * ones report themselves.
 */
bool store_is_followed(const struct follower *follower);

/** Returns the kind of data that VMs forward; for followed kinds only. */
enum wv_peer_data store_peer_data(const struct follower *follower);

/** Sets the follower's timer to a delay, ms. */
void store_set_timer(struct follower *follower, wv_msec delay);

/** Begins to connect to the follower's address; the caller owns the client. */
struct client *store_connect(struct follower *follower);

/** Creates the timer of repetitions. */
void store_repeat_init(struct follower *follower);

/** Destroys the timer and all repetitions. */
void store_repeat_clear(struct follower *follower);

/** Has the call that was just sent repeated as long as it has no answer. */
void store_repeat_begin(struct follower *follower);

/** Ends all repetitions; the follower's client remains. */
void store_repeat_end(struct follower *follower);

/**
 * Makes the client that received an answer the follower's one and ends the
 * others. Measures the time of the answer.
 */
void store_repeat_choose(
    struct follower *follower, const struct client *client);

/**
 * Destroys a client whose connection has ended. Returns false, with nothing
 * destroyed, if it was the only one of the call.
 */
bool store_repeat_drop(struct follower *follower, const struct client *client);

/** Closes the connection and thereby ends the call in progress. */
void store_close_client(struct follower *follower);

/** Makes the first calls for lists that waited for the list of VMs. */
void store_end_waits(struct store_sync *sync);

/** Makes the next call, unless only watchers make it or it has to wait. */
void store_make_next_call(struct follower *follower);

/** Makes the next call read the list from its first page. */
void store_restart_list(struct follower *follower);

/** Applies the body of an answer; returns false if it is invalid or outdated.
 */
bool store_apply_body(struct follower *follower, const struct message *answer);

/**
 * Begins the call that is due to remove registrations of removed VMs, or to
 * write this VM's one anew after a long isolation, unless another call is in
 * progress. To be called in each round of reports.
 */
void store_cleanup(struct store_sync *sync);

/** Returns whether the next call, or the one in progress, is such a call. */
bool store_is_cleanup(const struct follower *follower);

/** Handles the answer to such a call; returns false if the call has failed. */
bool store_handle_cleanup_answer(
    struct follower *follower, const struct message *answer);

/**
 * Ends such a call that has failed.
 *
 * @param status  of the answer; 0 if there was none
 */
void store_fail_cleanup(
    struct follower *follower, const char *why, unsigned status);

/** Applies a registration of a VM to the table of VMs. */
void store_apply_vm(
    struct follower *follower, const struct store_object *object);

/**
 * Applies a registration of the list that is read for its revisions. VMs that
 * are not known yet are added to the table of VMs.
 */
void store_apply_revision(
    struct follower *follower, const struct store_object *object);

/** Applies a page of that list. */
void store_apply_revisions_page(
    struct follower *follower, const struct store_page *page);

/**
 * Reads the list of evacuations again if some were kept because the era of the
 * store had changed, once the operator has had the time to write them again. To
 * be called in each round of reports.
 */
void store_recheck_evacuations(struct store_sync *sync);

/**
 * Notes the zones of a page of the list of evacuations.
 *
 * @param first  it is the list's first page
 */
void store_note_evacuations(struct follower *follower, bool first);

/**
 * Applies the list of evacuations that was noted. An evacuation ends only if
 * the list was read to its end and is not older than what was applied before.
 *
 * @param whole  whether it was read to its end
 */
void store_apply_evacuations_list(struct follower *follower, bool whole);

/** Applies received changes of evacuations. */
void store_apply_evacuations_changes(struct follower *follower);

/** Returns whether changes are read from the store itself. */
bool store_may_watch(const struct follower *follower);

/**
 * Returns the address IP:PORT of another VM to call instead of the store, or ""
 * to call the store. Borrowed.
 */
const char *store_find_peer(const struct follower *follower);

/**
 * Returns whether the next call has to wait until this VM knows its role or, as
 * a leaf, a hub to read the list from.
 *
 * @param peer  result of store_find_peer()
 */
bool store_must_wait(const struct follower *follower, const char *peer);

#endif
