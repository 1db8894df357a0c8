/**
 * @file
 * Registry of the searchers of all services, built from their entries in the
 * store.
 *
 * A searcher is removed when its entry disappears. During an outage of the
 * store entries may expire although their searchers are alive, and the
 * searchers write them again after it. So missing searchers are kept for a
 * grace period after an outage.
 */
#ifndef WISTERIAVANE_REGISTRY_H
#define WISTERIAVANE_REGISTRY_H

#include <glib.h>

#include "wisteriavane/allowance.h"
#include "wisteriavane/cold_credit.h"
#include "wisteriavane/health.h"
#include "wisteriavane/reported_load.h"

struct wv_attempt;
struct wv_registry;

/** A searcher's entry in the store. All strings are borrowed. */
struct wv_searcher_entry {
	struct wv_string id;
	struct wv_string service;
	struct wv_string address; /**< IP:PORT */
	struct wv_string zone;
	uint64_t started; /**< Unix time of its start, ms; 0 if unknown */
	uint32_t slots; /**< concurrent requests */
	bool draining; /**< takes no new requests */
	uint64_t number; /**< differs between the entries of a searcher */
	wv_msec warm_up_left; /**< it was cold so long when it wrote this, ms */
};

/** A service: the searchers that are replicas of each other. */
struct wv_registry_service {
	struct wv_string name; /**< owned */
	GPtrArray *searchers; /**< struct wv_searcher, borrowed */
	struct wv_allowance allowance; /**< hedges and retries */
	uint32_t connections; /**< cap per searcher for all VMs; 0: unknown */
	double cold_rate; /**< see struct wv_route_service */
	wv_msec cold_time;
	GQueue waiting; /**< struct wv_shard without a searcher, by urgency */
	GQueue deferred_tasks; /**< deferred struct wv_task, by urgency */
};

/**
 * One incarnation of a searcher: the process of one start. A searcher is an
 * upstream server that executes the requests of one service.
 */
struct wv_searcher {
	struct wv_string id; /**< owned */
	struct wv_string address; /**< owned */
	struct wv_string zone; /**< owned */
	struct wv_registry_service *service;
	uint64_t started; /**< Unix time of its start, ms */
	uint32_t slots; /**< concurrent requests, at least 1 */
	bool draining; /**< takes no new requests, by its entry */
	bool leaving; /**< takes no new requests, by its own answers */
	wv_msec hinted_at; /**< when it said that it is leaving, to this VM or
				by what others heard; -WV_MSEC_NEVER: never */
	wv_msec rests_until; /**< asked for no requests before, ms */
	bool removed; /**< not in the registry; freed after its last attempt */
	bool same_zone; /**< in the availability zone of this VM */
	uint64_t entry_number; /**< of the last entry that was applied */
	wv_msec entry_cold; /**< warm_up_left of that entry */
	wv_msec cold_until; /**< by its entry or its answers */
	wv_msec cold_told_at; /**< when that was set; -WV_MSEC_NEVER: never */
	struct wv_cold_credit cold_credit; /**< requests of this VM */
	bool evacuated; /**< its zone gets no new requests */
	wv_msec removal_at; /**< entry is missing: when it is removed; else 0 */
	wv_msec ready_at; /**< entry no longer says draining: when that counts;
			      else 0 */
	struct wv_health health;
	struct wv_reported_load reported_load; /**< by its answers */
	unsigned outstanding; /**< attempts in progress */
	struct wv_attempt *first_attempt; /**< list of those attempts */
	void *link; /**< owned by the embedder: its connections */
};

/**
 * A hint: a VM has heard from an incarnation of a searcher that it is leaving.
 * The string is borrowed.
 */
struct wv_leaving_hint {
	struct wv_string searcher; /**< identifier */
	uint64_t started; /**< Unix time of the incarnation's start, ms */
	wv_msec age; /**< time since it said so, ms */
};

/** Callbacks that the embedder implements. */
struct wv_registry_ops {
	/** Releases the link of a searcher that is about to be freed. */
	void (*release)(
	    struct wv_registry_ops *ops, struct wv_searcher *searcher);
};

/** Creates an empty registry; zone is that of this VM, ops are borrowed. */
struct wv_registry *wv_registry_create(
    struct wv_string zone, struct wv_registry_ops *ops);

/** Frees the registry, its services and searchers. */
void wv_registry_destroy(struct wv_registry *registry);

/** Returns the service with a name; creates it if there is none. */
struct wv_registry_service *wv_registry_service(
    struct wv_registry *registry, struct wv_string name);

/** Returns the service with a name, or NULL. */
struct wv_registry_service *wv_registry_find_service(
    const struct wv_registry *registry, struct wv_string name);

/** Returns the searcher with an id, or NULL. */
struct wv_searcher *wv_registry_find(
    struct wv_registry *registry, struct wv_string id);

/**
 * Adds or updates a searcher. An entry with an earlier start than that of the
 * known searcher is ignored. One with a later start, another address or another
 * service replaces the searcher by a new incarnation.
 *
 * An entry of the known incarnation that differs in its number or in its cold
 * time from the last one makes the searcher cold again. The same entry read
 * once more does not: its cold time is that of the moment when it was written.
 *
 * @return whether a searcher was added, replaced, changed its draining state or
 *         became cold
 */
bool wv_registry_update(struct wv_registry *registry, wv_msec now,
    const struct wv_searcher_entry *entry);

/**
 * Removes the searcher of an entry that was deleted or can't be parsed, at once
 * or when the grace period ends.
 *
 * @return whether the searcher was known
 */
bool wv_registry_remove(
    struct wv_registry *registry, wv_msec now, struct wv_string id);

/**
 * Begins a complete list of entries. Searchers for which wv_registry_update()
 * is not called before wv_registry_end_list() are missing.
 */
void wv_registry_begin_list(struct wv_registry *registry);

/**
 * Ends a complete list and removes the missing searchers, at once or when the
 * grace period ends.
 */
void wv_registry_end_list(struct wv_registry *registry, wv_msec now);

/**
 * Starts the grace period after an outage of the store: missing searchers are
 * kept for this time.
 *
 * @param grace  length of the period, ms
 */
void wv_registry_start_grace(
    struct wv_registry *registry, wv_msec now, wv_msec grace);

/**
 * Starts the grace period after the store came back from an older copy: as
 * after an outage, and searchers that are known as draining stay so, though
 * their entries say otherwise.
 *
 * @param grace  length of the period, ms
 */
void wv_registry_start_era(
    struct wv_registry *registry, wv_msec now, wv_msec grace);

/**
 * Notes until when entries that have expired may be written again, after a
 * start or an outage of the store. Affects only the time after which callers of
 * services without searchers are told to return.
 *
 * @param until  monotonic time, ms
 */
void wv_registry_expect_entries(struct wv_registry *registry, wv_msec until);

/** Returns whether entries that have expired may be written again now. */
bool wv_registry_expects_entries(
    const struct wv_registry *registry, wv_msec now);

/**
 * Records that a searcher has said in an answer that it is leaving. This holds
 * for its incarnation, whatever its entry says, and also if the entry
 * disappears and comes back.
 */
void wv_registry_set_leaving(
    struct wv_registry *registry, wv_msec now, struct wv_searcher *searcher);

/**
 * Applies another VM's hint. It concerns the very incarnation only; one about
 * another or an unknown one, or that is too old, is ignored. Until a hint has
 * faded, a minute after the searcher said that it is leaving, requests prefer
 * other searchers. The searcher still takes requests, since a hint may be
 * wrong.
 *
 * @return whether this VM had no hint about it
 */
bool wv_registry_add_hint(struct wv_registry *registry, wv_msec now,
    const struct wv_leaving_hint *hint);

/**
 * Lists the newest hints for other VMs, own and heard ones: those that they
 * would take, about searchers whose entries don't say it already.
 *
 * @param list  receives up to max hints, newest first; borrowed from the
 *              registry until it changes
 * @return their number
 */
size_t wv_registry_list_hints(struct wv_registry *registry, wv_msec now,
    struct wv_leaving_hint *list, size_t max);

/**
 * Sets whether a zone is evacuated: its searchers, present and future ones, get
 * no new request then. When the evacuation ends they are cold. The state
 * belongs to the zone, so it outlives entries that disappear and come back.
 * Attempts in progress are not affected.
 *
 * @return whether the state of the zone has changed
 */
bool wv_registry_set_evacuated(struct wv_registry *registry, wv_msec now,
    struct wv_string zone, bool evacuated);

/**
 * Adds the names (char *) of the evacuated zones, each of which is borrowed
 * until its evacuation ends.
 */
void wv_registry_list_evacuated(
    const struct wv_registry *registry, GPtrArray *zones);

/**
 * Returns whether a service has no searcher left that may take requests again
 * before an evacuation ends: all that neither drain nor leave are evacuated,
 * and there is at least one of them.
 */
bool wv_registry_service_is_evacuated(
    const struct wv_registry_service *service);

/** Returns whether there is a hint that a searcher is leaving. */
bool wv_searcher_is_hinted(const struct wv_searcher *searcher, wv_msec now);

/**
 * Records that a searcher has asked for no requests for a time. This holds for
 * its incarnation like wv_registry_set_leaving(). A shorter time does not end a
 * longer one.
 *
 * @param rest  ms
 */
void wv_registry_set_rest(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, wv_msec rest);

/**
 * Records that a searcher has said in an answer how much longer it is cold.
 * This holds for its incarnation like wv_registry_set_leaving().
 *
 * @param sent_at  when the request was sent. A shorter time than known is only
 *                 taken from an answer to a request that was sent after the
 *                 longer one was told: answers may overtake each other.
 * @param left     ms; 0: it is not cold
 */
void wv_registry_set_cold(struct wv_registry *registry, wv_msec now,
    struct wv_searcher *searcher, wv_msec sent_at, wv_msec left);

/**
 * Returns how much longer a searcher is cold, so that its requests are limited,
 * ms; 0 if it is not, or if its service has no limit.
 */
wv_msec wv_searcher_cold_left(const struct wv_searcher *searcher, wv_msec now);

/**
 * Returns how long a service has no searcher that takes requests, only because
 * all that would take some rest, ms; 0 if one takes requests now, and
 * WV_MSEC_NEVER if there is none.
 */
wv_msec wv_registry_service_rest(
    const struct wv_registry_service *service, wv_msec now);

/**
 * Returns whether a searcher may get a request now, as a probe if it is lost.
 */
bool wv_searcher_takes_requests(
    const struct wv_searcher *searcher, wv_msec now);

/**
 * Removes missing searchers, and ends the draining of those whose entries no
 * longer say it, when the grace period has ended.
 */
void wv_registry_tick(struct wv_registry *registry, wv_msec now);

/** Returns when wv_registry_tick() is due, or WV_MSEC_NEVER. */
wv_msec wv_registry_next_tick(const struct wv_registry *registry);

/**
 * Ends an attempt's use of a searcher; frees the searcher if it was removed and
 * this was its last attempt.
 */
void wv_registry_release(
    struct wv_registry *registry, struct wv_searcher *searcher);

/** Returns the number of searchers, without removed ones. */
size_t wv_registry_size(const struct wv_registry *registry);

/**
 * Adds the names (char *, borrowed) of the availability zones with at least
 * half as many searchers as the zone with most. Searchers that are draining or
 * evacuated are not counted.
 */
void wv_registry_list_main_zones(
    const struct wv_registry *registry, GPtrArray *zones);

/** Calls visit for each searcher; it must not add or remove searchers. */
void wv_registry_foreach(const struct wv_registry *registry,
    void (*visit)(void *data, struct wv_searcher *searcher), void *data);

#endif
