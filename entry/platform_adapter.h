/**
 * @file
 * Platform adapter: names of header fields, paths and encodings of the platform
 * that the VM runs on. The rest of the program depends only on these types.
 */
#ifndef WISTERIAVANE_ENTRY_PLATFORM_ADAPTER_H
#define WISTERIAVANE_ENTRY_PLATFORM_ADAPTER_H

#include "wisteriavane/registry.h"
#include "wisteriavane/routes.h"

/** Kinds of objects in the platform's store. */
enum store_kind {
	STORE_ROUTES, /**< the routes, in versions */
	STORE_SEARCHERS, /**< registrations of searchers */
	STORE_VMS, /**< registrations of VMs of this program */
	STORE_EVACUATIONS, /**< zones, by name, that get no new requests */
	STORE_KIND_COUNT
};

/** An object of the store, or its deletion. Strings are borrowed. */
struct store_object {
	struct wv_string name;
	bool deleted;
	uint64_t revision; /**< of its last change; 0: not stated */
	void *content; /**< private to the adapter; NULL: none */
};

/** Called for each object of an answer; the object is borrowed. */
typedef void (*store_visit)(void *data, const struct store_object *object);

/** Members of an answer of the store besides its objects. */
struct store_page {
	uint64_t revision; /**< revision of the answer; a watch continues
			      after it */
	bool more; /**< the list has a further page, after last_name */
	bool after_outage; /**< in answers of VMs: the changes follow an
			      outage of the store */
	char *last_name; /**< owned; NULL if no object has a readable name */
	unsigned unnamed; /**< entries that were skipped: they are no objects,
			     or their names can't be read */
};

/** Registration of a VM in the store. Strings are borrowed. */
struct vm_entry {
	struct wv_string name;
	struct wv_string peers; /**< IP:PORT for other VMs */
	struct wv_string zone; /**< availability zone; empty: unknown */
	double capacity; /**< processor share, cores */
};

/** Names and encodings of a platform. */
struct platform_adapter {
	/** @name Header fields of requests */
	const char *request_id; /**< identifies one attempt of the caller */
	const char *deadline; /**< how long the caller waits, ms */
	const char *expected_searcher; /**< the only searcher that may run it */
	const char *authorization; /**< the scheme, a space and the key of the
				     caller's team */
	const char *key_scheme; /**< scheme of that field, case-sensitive */
	const char *team; /**< name of the caller's team, for searchers */
	/** @name Header fields of answers */
	const char *era; /**< of the store, in its answers and in those of
			   VMs */
	const char *signature; /**< proves that the searcher itself
				 answered */
	const char *not_run; /**< present: the request did not run */
	const char *answering_searcher; /**< identifier of the searcher that
					  answered; may be missing */
	const char *leaving; /**< "1": the searcher is leaving */
	const char *load; /**< load of the searcher: numbers of running and
			    waiting requests, slots, and perhaps how long
			    work takes, percent, separated by commas */
	const char *cold; /**< how much longer the searcher is cold, ms */
	const char *part_signatures; /**< signatures of all merged parts */
	const char *missing_parts; /**< number of parts left out */

	/**
	 * Returns the path of the list's page that begins after a name;
	 * NULL: the first page. This and the other paths are owned by the
	 * caller.
	 *
	 * @param stale  the answer may be seconds old; the call is cheaper
	 */
	char *(*list_path)(enum store_kind kind, const char *after, bool stale);
	/**
	 * Returns the path of a watch: the call waits up to wait_ms for changes
	 * after a position.
	 *
	 * @param with_era  states the era, as VMs understand it; the store
	 *                  knows its own one only
	 */
	char *(*watch_path)(enum store_kind kind, uint64_t position,
	    bool with_era, unsigned wait_ms);
	/** Returns the path of one object. */
	char *(*object_path)(enum store_kind kind, const char *name);
	/** Returns the path that removes an object if it has a revision. */
	char *(*remove_path)(
	    enum store_kind kind, struct wv_string name, uint64_t revision);
	/** Returns the path under which objects are created. */
	char *(*create_path)(enum store_kind kind);
	/**
	 * Decodes an answer: a page of a list, a set of changes or one object.
	 * An object without a readable name is not visited but counted.
	 *
	 * @param page  set, on failure too; the caller frees last_name
	 * @return false if the body is none of these
	 */
	bool (*decode)(struct wv_string body, struct store_page *page,
	    store_visit visit, void *data, struct wv_status *status);
	/**
	 * Text that encode_changes() writes only if the changes follow an
	 * outage; found by a search before the body is decoded.
	 */
	const char *outage_mark;
	/**
	 * Parses a target that list_path() or watch_path() composed.
	 *
	 * @param list      set to true for a list, false for a watch
	 * @param position  set for a watch only
	 * @return false if the target is neither
	 */
	bool (*parse_read)(struct wv_string target, enum store_kind *kind,
	    bool *list, uint64_t *position);
	/** Encodes a change for other VMs; the caller owns the text. */
	char *(*encode_change)(const struct store_object *object);
	/**
	 * Encodes an answer with changes that encode_change() encoded; the
	 * caller owns the text.
	 */
	GString *(*encode_changes)(
	    const GPtrArray *changes, uint64_t revision, bool after_outage);
	/**
	 * Decodes the routes; returns NULL with a status if they are invalid.
	 * The caller owns a reference.
	 */
	struct wv_routes *(*decode_routes)(
	    const struct store_object *object, struct wv_status *status);
	/**
	 * Decodes a searcher's registration, whose strings are borrowed from
	 * the object; returns false with a status if it is invalid.
	 */
	bool (*decode_searcher)(const struct store_object *object,
	    struct wv_searcher_entry *entry, struct wv_status *status);
	/** Decodes a VM's registration; returns false if it is invalid. */
	bool (*decode_vm)(
	    const struct store_object *object, struct vm_entry *entry);
	/** Encodes a VM's registration; the caller owns the text. */
	struct wv_string (*encode_vm)(const struct vm_entry *entry);

	/** Returns whether a target is the query for addresses of VMs. */
	bool (*is_address_query)(struct wv_string target);
	/**
	 * Encodes addresses (char *, IP:PORT) and how long callers may keep
	 * them, ms; the caller owns the text.
	 */
	struct wv_string (*encode_addresses)(
	    const GPtrArray *addresses, wv_msec lifetime);
	/** Returns whether a target is the readiness check. */
	bool (*is_readiness_query)(struct wv_string target);
};

/** Returns the adapter of the platform that this program is built for. */
const struct platform_adapter *platform_get_adapter(void);

#endif
