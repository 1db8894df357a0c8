/**
 * @file
 * What the sources that follow the store share.
 */
#ifndef WISTERIAVANE_ENTRY_STORE_SYNC_PRIVATE_H
#define WISTERIAVANE_ENTRY_STORE_SYNC_PRIVATE_H

#include "entry/client.h"
#include "entry/entry.h"
#include "wisteriavane/changes.h"

/**
 * How long a call waits for changes, ms. A store that has fallen silent is
 * noticed after this and CALL_TIMEOUT; then other VMs must take over, and all
 * must hear of the next change, within 3 s of it.
 */
#define STORE_WATCH_WAIT 1000

/** What a follower does next. */
enum phase {
	PHASE_CREATE, /**< creates this VM's entry */
	PHASE_LIST, /**< reads the list */
	PHASE_REPLACE, /**< replaces an entry of this VM's name */
	PHASE_FOLLOW, /**< hears of changes, from the store or another VM */
	PHASE_DONE /**< nothing more */
};

/** Follows one kind over a connection of its own. */
struct follower {
	struct store_sync *sync;
	enum store_kind kind;
	enum phase phase;
	struct client *client;
	char *address; /**< owned: where the client is connected to */
	struct event *timer; /**< next call, or time-out of this one */
	bool calling;
	bool from_peer; /**< the call goes to another VM */
	bool found_self; /**< the list has this VM's entry */
	bool listed; /**< a list has been read since the start */
	bool after_outage; /**< the next changes follow an outage */
	char *after; /**< owned: last name of the list's former page */
	GPtrArray *list; /**< owned: changes of the answer being read */
	const struct store_page *page; /**< of the answer being read */
	struct wv_changes *changes; /**< owned: what is known */
	unsigned failures; /**< calls in a row */
	wv_msec backoff;
};

/** Follows all kinds. */
struct store_sync {
	struct entry *entry;
	bool lost; /**< the last call of the store failed */
	bool watching; /**< this VM follows the store itself */
	wv_msec lost_at;
	wv_msec failed_at; /**< last time that a call failed twice in a row */
	struct follower followers[STORE_KIND_COUNT];
};

/**
 * Returns whether the answer being read is another VM's list that is older
 * than what is known here. The store's own list is always taken.
 */
bool store_list_is_behind(const struct follower *follower);

/** Returns whether the next call creates or replaces this VM's entry. */
bool store_is_write(const struct follower *follower);

/** Returns the request of the next call, which the caller owns. */
GString *store_compose(const struct follower *follower);

/** Takes an object of an answer; data is the follower. */
void store_take_object(void *data, const struct store_object *object);

#endif
