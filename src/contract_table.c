/**
 * @file
 * Hash table of the contracts in force, with read-copy-update for readers.
 */
#include <urcu.h>
#include <urcu/rculist.h>
#include <xxhash.h>

#include "src/private.h"

/* Number of chains of the hash table; must be a power of two. */
#define N_CHAINS 4096
/* Maximum number of replaced entries that share one grace period. */
#define MAX_RETIRED 16

/* Entry of one customer. Replaced as a whole, since readers may hold it. */
struct table_entry {
	struct cds_list_head link;
	struct wv_contract *contract; /* owned */
};

struct wv_contract_table {
	struct cds_list_head chains[N_CHAINS];
	struct table_entry *retired[MAX_RETIRED]; /* replaced, to be freed */
	size_t n_retired;
	size_t n_contracts; /* tombstones included */
	uint64_t digest; /* exclusive or of contract_digest() of all */
};

struct wv_contract_table *
wv_contract_table_create(void)
{
	struct wv_contract_table *table = g_new0(struct wv_contract_table, 1);

	for (size_t i = 0; i < N_CHAINS; i++)
		CDS_INIT_LIST_HEAD(&table->chains[i]);
	return table;
}

static void
destroy_entry(struct table_entry *entry)
{
	wv_contract_destroy(entry->contract);
	g_free(entry);
}

/* Waits until no reader can hold the replaced entries and frees them. */
static void
free_retired(struct wv_contract_table *table)
{
	if (table->n_retired == 0)
		return;
	synchronize_rcu();
	for (size_t i = 0; i < table->n_retired; i++)
		destroy_entry(table->retired[i]);
	table->n_retired = 0;
}

/* Schedules a replaced entry to be freed. */
static void
retire(struct wv_contract_table *table, struct table_entry *entry)
{
	if (table->n_retired == MAX_RETIRED)
		free_retired(table);
	table->retired[table->n_retired++] = entry;
}

void
wv_contract_table_destroy(struct wv_contract_table *table)
{
	struct table_entry *entry, *next;

	free_retired(table);
	for (size_t i = 0; i < N_CHAINS; i++) {
		cds_list_for_each_entry_safe(
		    entry, next, &table->chains[i], link) destroy_entry(entry);
	}
	g_free(table);
}

static size_t
find_chain(struct wv_string customer)
{
	return wv_string_hash(customer) & (N_CHAINS - 1);
}

static struct table_entry *
find_entry(const struct wv_contract_table *table, struct wv_string customer)
{
	const struct cds_list_head *chain =
	    &table->chains[find_chain(customer)];
	struct table_entry *entry;

	cds_list_for_each_entry_rcu(entry, chain, link)
	{
		if (wv_string_equal(entry->contract->customer, customer))
			return entry;
	}
	return NULL;
}

/*
 * Hashes a customer and a version. The digest of the table is the exclusive or
 * of these hashes, so it does not depend on the order of the contracts.
 */
static uint64_t
contract_digest(const struct wv_contract *contract)
{
	return XXH3_64bits_withSeed(contract->customer.data,
	    contract->customer.length, contract->version);
}

bool
wv_contract_table_update(
    struct wv_contract_table *table, struct wv_contract *contract)
{
	struct table_entry *old = find_entry(table, contract->customer);
	struct table_entry *entry;

	if (old != NULL && old->contract->version >= contract->version) {
		wv_contract_destroy(contract);
		return false;
	}
	entry = g_new0(struct table_entry, 1);
	entry->contract = contract;
	table->digest ^= contract_digest(contract);
	if (old == NULL) {
		table->n_contracts++;
		cds_list_add_rcu(&entry->link,
		    &table->chains[find_chain(contract->customer)]);
		return true;
	}
	table->digest ^= contract_digest(old->contract);
	cds_list_replace_rcu(&old->link, &entry->link);
	retire(table, old);
	return true;
}

const struct wv_contract *
wv_contract_table_find(
    const struct wv_contract_table *table, struct wv_string customer)
{
	const struct table_entry *entry = find_entry(table, customer);

	if (entry == NULL || entry->contract->deleted)
		return NULL;
	return entry->contract;
}

const struct wv_contract *
wv_contract_table_latest(
    const struct wv_contract_table *table, struct wv_string customer)
{
	const struct table_entry *entry = find_entry(table, customer);

	return entry == NULL ? NULL : entry->contract;
}

void
wv_contract_table_foreach(const struct wv_contract_table *table,
    void (*visit)(void *data, const struct wv_contract *contract), void *data)
{
	struct table_entry *entry;

	for (size_t i = 0; i < N_CHAINS; i++) {
		cds_list_for_each_entry(entry, &table->chains[i], link)
		    visit(data, entry->contract);
	}
}

size_t
wv_contract_table_size(const struct wv_contract_table *table)
{
	return table->n_contracts;
}

uint64_t
wv_contract_table_digest(const struct wv_contract_table *table)
{
	return table->digest;
}
