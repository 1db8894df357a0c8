/**
 * @file
 * How the platform that a VM runs on spells things: header fields, paths and
 * bodies. The rest of the program knows only these types.
 */
#ifndef WISTERIAVANE_ENTRY_DIALECT_H
#define WISTERIAVANE_ENTRY_DIALECT_H

#include "wisteriavane/fleet.h"
#include "wisteriavane/routes.h"

/** Kinds of objects in the store. */
enum store_kind {
	STORE_ROUTES, /**< versions of the routes */
	STORE_SEARCHERS, /**< entries of searchers */
	STORE_VMS, /**< entries of this system's VMs */
	STORE_KIND_COUNT
};

/** One object, or the news that it is gone. Strings are borrowed. */
struct store_object {
	struct wv_string name;
	bool deleted;
	void *content; /**< private to the dialect; NULL if it has none */
};

/** Takes objects of an answer one by one. */
typedef void (*store_visit)(void *data, const struct store_object *object);

/** What an answer of the store says beside its objects. */
struct store_page {
	uint64_t revision; /**< watch from here */
	bool more; /**< the list goes on after last_name */
	bool after_outage; /**< from a VM: the store was away before */
	char *last_name; /**< owned; NULL if there were no objects */
};

/** An entry of a VM of this system. Strings are borrowed. */
struct vm_entry {
	struct wv_string name;
	struct wv_string peers; /**< IP:PORT of its datagrams */
	double capacity; /**< processor share, cores */
};

/** Names and codecs of a platform. */
struct dialect {
	/** @name Header fields of requests */
	const char *request_id; /**< identifies a caller's attempt */
	const char *deadline; /**< time that the caller waits, ms */
	const char *expected_searcher; /**< searcher that may run it */
	/** @name Header fields of answers */
	const char *signature; /**< a searcher's proof of its answer */
	const char *not_run; /**< the searcher did not run the request */
	const char *part_signatures; /**< signatures of merged parts */
	const char *missing_parts; /**< number of parts that are left out */

	/** Returns the path of a list's page after a name, or its first. */
	char *(*list_path)(enum store_kind kind, const char *after);
	/** Returns the path that waits for changes after a revision. */
	char *(*watch_path)(
	    enum store_kind kind, uint64_t revision, unsigned wait_ms);
	/** Returns the path of one object. */
	char *(*object_path)(enum store_kind kind, const char *name);
	/** Returns the path under which objects are created. */
	char *(*create_path)(enum store_kind kind);
	/** Decodes a list, a set of changes or one object. */
	bool (*decode)(struct wv_string body, struct store_page *page,
	    store_visit visit, void *data, struct wv_status *status);
	/** Part of the text of encode_changes() if the store was away. */
	const char *outage_mark;
	/** Parses a path of list_path() or watch_path(). */
	bool (*parse_read)(struct wv_string target, enum store_kind *kind,
	    bool *list, uint64_t *revision);
	/** Encodes a change, for other VMs; the caller owns the text. */
	char *(*encode_change)(const struct store_object *object);
	/** Encodes an answer with changes; the caller owns the text. */
	GString *(*encode_changes)(
	    const GPtrArray *changes, uint64_t revision, bool after_outage);
	/** Decodes routes; returns NULL if they can't be read. */
	struct wv_routes *(*decode_routes)(
	    const struct store_object *object, struct wv_status *status);
	/** Decodes a searcher's entry; false if it can't be read. */
	bool (*decode_searcher)(const struct store_object *object,
	    struct wv_searcher_entry *entry, struct wv_status *status);
	/** Decodes a VM's entry; false if it can't be read. */
	bool (*decode_vm)(
	    const struct store_object *object, struct vm_entry *entry);
	/** Encodes a VM's entry as an object; the caller owns the text. */
	struct wv_string (*encode_vm)(const struct vm_entry *entry);

	/** Returns whether a target asks for addresses of VMs. */
	bool (*is_address_query)(struct wv_string target);
	/** Encodes addresses; the caller owns the text. */
	struct wv_string (*encode_addresses)(
	    const GPtrArray *addresses, wv_msec lifetime);
	/** Returns whether a target asks if the VM is ready. */
	bool (*is_readiness_query)(struct wv_string target);
};

/** Returns the dialect of the platform that this program is built for. */
const struct dialect *platform_dialect(void);

#endif
