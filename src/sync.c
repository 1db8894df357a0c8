/**
 * @file
 * Applies contracts from the store and from peers to the contract table.
 */
#include "src/check.h"

struct wv_sync {
	struct wv_contract_table *table; /* borrowed */
	struct wv_sync_counts counts;
	wv_msec confirmed; /* when the table was last confirmed; see loaded */
	uint64_t revision; /* all changes up to this revision were received */
	wv_msec full_table_sent; /* when the full table was last sent */
	bool loaded; /* whether the table was ever confirmed */
};

struct wv_sync *
wv_sync_create(struct wv_contract_table *table)
{
	struct wv_sync *sync = g_new0(struct wv_sync, 1);

	sync->table = table;
	sync->full_table_sent = -WV_MSEC_NEVER;
	return sync;
}

void
wv_sync_destroy(struct wv_sync *sync)
{
	g_free(sync);
}

/* Returns whether the table already has this version or a newer one. */
static bool
is_stale(
    const struct wv_sync *sync, struct wv_string customer, uint64_t version)
{
	const struct wv_contract *latest =
	    wv_contract_table_latest(sync->table, customer);

	return latest != NULL && latest->version >= version;
}

/* Returns the received contract or tombstone, or NULL if it is invalid. */
static struct wv_contract *
parse_update(struct wv_string customer, struct wv_string json, uint64_t version,
    bool deleted, struct wv_status *status)
{
	struct wv_contract *contract;

	if (version == 0 || !wv_is_valid_name(customer)) {
		wv_status_set(status, WV_CONTRACT_INVALID,
		    version == 0 ? "$: version 0" : "$.customer: not a name");
		return NULL;
	}
	if (deleted)
		return wv_contract_create_tombstone(customer, version);
	contract = wv_contract_parse(json, version, status);
	if (contract == NULL || wv_string_equal(contract->customer, customer))
		return contract;
	wv_status_set(status, WV_CONTRACT_INVALID,
	    "$.customer: not the customer of the object");
	wv_contract_destroy(contract);
	return NULL;
}

bool
wv_sync_apply_update(struct wv_sync *sync, struct wv_string customer,
    struct wv_string json, uint64_t version, bool deleted,
    struct wv_status *status)
{
	struct wv_contract *contract;

	wv_status_clear(status);
	if (is_stale(sync, customer, version)) {
		sync->counts.stale++;
		return false;
	}
	contract = parse_update(customer, json, version, deleted, status);
	if (contract == NULL) {
		sync->counts.invalid++;
		return false;
	}
	sync->counts.applied++;
	return wv_contract_table_update(sync->table, contract);
}

uint64_t
wv_sync_revision(const struct wv_sync *sync)
{
	return sync->revision;
}

bool
wv_sync_advance_revision(
    struct wv_sync *sync, uint64_t after, uint64_t revision)
{
	if (after > sync->revision)
		return false;
	sync->revision = MAX(sync->revision, revision);
	return true;
}

/* Returns whether the minimum time between full transfers has passed. */
static bool
may_send_full_table(const struct wv_sync *sync, wv_msec now)
{
	size_t n = wv_contract_table_size(sync->table);

	return now - sync->full_table_sent >= WV_SYNC_MIN_FULL_TABLE_INTERVAL +
	    WV_SYNC_FULL_TABLE_INTERVAL_PER_CONTRACT * (wv_msec)n;
}

enum wv_sync_exchange
wv_sync_choose_exchange(
    struct wv_sync *sync, wv_msec now, uint64_t revision, uint64_t digest)
{
	if (revision < sync->revision)
		return WV_SYNC_CHANGES;
	if (revision > sync->revision ||
	    !wv_sync_has_different_digest(sync, digest) ||
	    !may_send_full_table(sync, now))
		return WV_SYNC_NOTHING;
	sync->full_table_sent = now;
	return WV_SYNC_FULL_TABLE;
}

void
wv_sync_record_confirmation(struct wv_sync *sync, wv_msec now)
{
	sync->loaded = true;
	sync->confirmed = now;
}

bool
wv_sync_is_loaded(const struct wv_sync *sync)
{
	return sync->loaded;
}

wv_msec
wv_sync_confirmed_at(const struct wv_sync *sync)
{
	return sync->loaded ? sync->confirmed : -WV_MSEC_NEVER;
}

bool
wv_sync_has_different_digest(const struct wv_sync *sync, uint64_t peer_digest)
{
	return wv_contract_table_digest(sync->table) != peer_digest;
}

struct wv_sync_counts
wv_sync_counts(const struct wv_sync *sync)
{
	return sync->counts;
}
