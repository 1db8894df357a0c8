/**
 * @file
 * Customer contracts, which hold every limit that applies to a customer, and
 * the table of contracts in force.
 */
#ifndef WISTERIAVANE_CONTRACT_H
#define WISTERIAVANE_CONTRACT_H

#include <glib.h>

#include "wisteriavane/status.h"

/** Maximum size of a contract's JSON text, in bytes. */
#define WV_CONTRACT_MAX_SIZE 65536
/** Minimum rate of a contract, in requests per second. */
#define WV_CONTRACT_MIN_RATE 0.001
/** Maximum rate, in requests per second, and maximum burst, in requests. */
#define WV_CONTRACT_MAX_RATE 10e6
/** Maximum number of concurrent requests of a contract. */
#define WV_CONTRACT_MAX_CONCURRENCY 1000000
/** Maximum deadline of a contract, in ms. */
#define WV_CONTRACT_MAX_DEADLINE 3600e3
/** Minimum retention of job records, in seconds. */
#define WV_CONTRACT_MIN_RETENTION_S 60
/** Maximum retention of job records, in seconds (31 days). */
#define WV_CONTRACT_MAX_RETENTION_S 2678400

/** Limits and guarantees of one rank on one back end. */
struct wv_rank_terms {
	bool allowed; /**< whether the contract includes the rank */
	double share; /**< guaranteed fraction of capacity, 0 to 1 */
	double rate; /**< sustained requests per second */
	double burst; /**< requests admitted in a burst */
	uint32_t concurrency; /**< maximum requests in progress */
	wv_msec deadline; /**< maximum deadline, ms */
	double coverage_minimum; /**< minimum fraction of shards, 0 to 1 */
};

/** Terms of a contract for one back end. */
struct wv_back_end_terms {
	struct wv_string back_end; /**< owned */
	struct wv_rank_terms ranks[WV_RANK_COUNT];
	double hedge_budget; /**< hedges per first attempt, 0 to 1 */
	double retry_budget; /**< retries per first attempt, 0 to 1 */
};

/**
 * One customer's contract. Immutable once parsed, so any thread may read it.
 */
struct wv_contract {
	struct wv_string customer; /**< owned */
	uint64_t version; /**< version of the object in the store */
	bool deleted; /**< the contract was deleted */
	wv_msec job_retention; /**< retention of job records, ms */
	struct wv_back_end_terms *back_ends; /**< owned, n_back_ends items */
	size_t n_back_ends;
	struct wv_string json; /**< owned JSON text that was parsed */
};

/**
 * Parses and validates a contract, and reports all faults.
 *
 * @param json     the contract as JSON
 * @param version  version of the object in the store
 * @param faults   receives one owned string "PATH: fault" for each fault
 * @return a contract to release with wv_contract_destroy(), or NULL if there
 *         was any fault
 */
struct wv_contract *wv_contract_parse_all(
    struct wv_string json, uint64_t version, GPtrArray *faults);

/**
 * Like wv_contract_parse_all(), but reports the faults in a status.
 *
 * @param json     the contract as JSON
 * @param version  version of the object in the store
 * @param status   receives WV_CONTRACT_INVALID with as many faults as fit,
 *                 each with its JSON path, and the number of faults left out
 * @return a contract to release with wv_contract_destroy(), or NULL
 */
struct wv_contract *wv_contract_parse(
    struct wv_string json, uint64_t version, struct wv_status *status);

/** Creates a tombstone, which marks a contract as deleted at a version. */
struct wv_contract *wv_contract_create_tombstone(
    struct wv_string customer, uint64_t version);

/** Releases a contract. NULL is allowed. */
void wv_contract_destroy(struct wv_contract *contract);

/**
 * Returns the terms for a back end, owned by the contract, or NULL if the
 * contract does not name the back end.
 */
const struct wv_back_end_terms *wv_contract_find_terms(
    const struct wv_contract *contract, struct wv_string back_end);

struct wv_contract_table;

/**
 * Creates an empty table. Only one thread may write; any thread that is
 * registered with liburcu may read.
 */
struct wv_contract_table *wv_contract_table_create(void);

/** Destroys the table and its contracts. No reader may be active. */
void wv_contract_table_destroy(struct wv_contract_table *table);

/**
 * Puts a contract in force if its version is higher than the latest known.
 * Takes ownership of the contract, even if it is discarded.
 *
 * @return whether the contract is now in force
 */
bool wv_contract_table_update(
    struct wv_contract_table *table, struct wv_contract *contract);

/**
 * Finds the contract in force. Call it between rcu_read_lock() and
 * rcu_read_unlock(); the result is valid until the latter. Returns NULL if
 * the customer is unknown or its contract was deleted.
 */
const struct wv_contract *wv_contract_table_find(
    const struct wv_contract_table *table, struct wv_string customer);

/**
 * Finds the latest version of a contract, including a tombstone, or NULL.
 * Writer thread only; valid until the next wv_contract_table_update().
 */
const struct wv_contract *wv_contract_table_latest(
    const struct wv_contract_table *table, struct wv_string customer);

/** Calls visit for each contract and tombstone. Writer thread only. */
void wv_contract_table_foreach(const struct wv_contract_table *table,
    void (*visit)(void *data, const struct wv_contract *contract), void *data);

/** Returns the number of contracts and tombstones. Writer thread only. */
size_t wv_contract_table_size(const struct wv_contract_table *table);

/**
 * Returns a digest of all customers and versions. Tables with the same
 * versions have the same digest. Writer thread only.
 */
uint64_t wv_contract_table_digest(const struct wv_contract_table *table);

#endif
