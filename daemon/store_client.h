/**
 * @file
 * Client of the platform's store. Calls are asynchronous and are made by the
 * thread that owns the HTTP client. The callback runs once, on that thread,
 * from wv_http_client_poll(), or never if the client is destroyed first.
 */
#ifndef WISTERIAVANE_DAEMON_STORE_CLIENT_H
#define WISTERIAVANE_DAEMON_STORE_CLIENT_H

#include <json-glib/json-glib.h>

#include "daemon/daemon.h"
#include "http/client.h"

/** Prefix of the keys of contracts in the store. */
#define STORE_CONTRACTS_PREFIX "contracts/"
/** Prefix of the keys of back ends. */
#define STORE_BACK_ENDS_PREFIX "backends/"
/** Prefix of the keys of contract histories. */
#define STORE_HISTORY_PREFIX "contract-history/"
/** Prefix of the keys of job buckets. */
#define STORE_JOBS_PREFIX "jobs/"

/**
 * Receives the result of a read or a write of one object.
 *
 * @param value    JSON text in the answer, else empty; borrowed
 * @param version  the object's version, on a conflict the current one; 0 if
 *                 unknown
 */
typedef void (*store_object_callback)(void *data, enum wv_store_outcome outcome,
    struct wv_string value, uint64_t version);

/**
 * Receives the result of a listing or a watch.
 *
 * @param objects   {key, version, value} each; borrowed; NULL unless
 *                  WV_STORE_OK
 * @param revision  the store's revision up to which the objects are current
 */
typedef void (*store_list_callback)(void *data, enum wv_store_outcome outcome,
    JsonArray *objects, uint64_t revision);

/**
 * Reads one object.
 *
 * @param key   key of the object; copied
 * @param data  passed to the callback
 */
void store_read(struct daemon *daemon, struct wv_http_client *client,
    const char *key, store_object_callback done, void *data);

/**
 * Writes one object if its version in the store is the expected one. The write
 * is sent at most once.
 *
 * @param key         key of the object; copied
 * @param value       JSON text; copied
 * @param if_version  expected version; 0 creates the object
 */
void store_write(struct daemon *daemon, struct wv_http_client *client,
    const char *key, struct wv_string value, uint64_t if_version,
    store_object_callback done, void *data);

/** Lists all objects whose keys start with a prefix. */
void store_list(struct daemon *daemon, struct wv_http_client *client,
    const char *prefix, store_list_callback done, void *data);

/**
 * Waits for changes of objects whose keys start with a prefix.
 *
 * @param after  revision after which changes are wanted
 * @param wait   longest time that the store waits for a change, ms
 */
void store_watch(struct daemon *daemon, struct wv_http_client *client,
    const char *prefix, uint64_t after, wv_msec wait, store_list_callback done,
    void *data);

#endif
