/**
 * @file
 * Exchange of contracts and back ends between VMs.
 */
#include "daemon/control_private.h"
#include "daemon/links.h"

/** Minimum time between two updates sent to the same peer, ms. */
#define MIN_EXCHANGE_INTERVAL 400.0

/* Returns a message entry, which borrows the contract's strings. */
static Wisteriavane__Contract *
create_contract_entry(const struct wv_contract *contract)
{
	Wisteriavane__Contract *entry = g_new0(Wisteriavane__Contract, 1);

	wisteriavane__contract__init(entry);
	entry->customer = contract->customer.data;
	entry->json = contract->json.data != NULL ? contract->json.data : "";
	entry->version = contract->version;
	entry->deleted = contract->deleted;
	return entry;
}

struct contract_list {
	GPtrArray *entries; /* Wisteriavane__Contract */
	uint64_t after; /* only newer versions are listed */
};

static void
add_changed_contract(void *data, const struct wv_contract *contract)
{
	struct contract_list *list = data;

	if (contract->version > list->after)
		g_ptr_array_add(list->entries, create_contract_entry(contract));
}

/* Sends the contracts that changed after a revision, or all after 0. */
static void
send_contracts(struct control *control, uint64_t after,
    const struct wv_string *peers, size_t n_peers)
{
	Wisteriavane__Contracts body = WISTERIAVANE__CONTRACTS__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	struct contract_list list;

	list.entries = g_ptr_array_new_with_free_func(g_free);
	list.after = after;
	wv_contract_table_foreach(
	    control->daemon->contracts, add_changed_contract, &list);
	body.n_contracts = list.entries->len;
	body.contracts = (Wisteriavane__Contract **)list.entries->pdata;
	body.loaded = wv_sync_is_loaded(control->sync);
	body.after = after;
	body.revision = wv_sync_revision(control->sync);
	frame.body_case = WISTERIAVANE__FRAME__BODY_CONTRACTS;
	frame.contracts = &body;
	for (size_t i = 0; i < n_peers; i++)
		links_send(control->daemon->links, peers[i], &frame);
	g_ptr_array_unref(list.entries);
}

void
control_push_contracts(struct control *control, uint64_t after)
{
	size_t targets[WV_MAX_HEARTBEAT_FANOUT], n, all_n;
	struct wv_string peers[WV_MAX_HEARTBEAT_FANOUT];
	const struct wv_member *all;

	n = wv_members_choose_targets(
	    control->members, targets, WV_MAX_HEARTBEAT_FANOUT);
	all = wv_members_all(control->members, &all_n);
	for (size_t i = 0; i < n; i++)
		peers[i] = all[targets[i]].peer_address;
	send_contracts(control, after, peers, n);
}

void
control_send_back_ends(struct control *control, struct wv_string peer)
{
	Wisteriavane__BackEnds body = WISTERIAVANE__BACK_ENDS__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, control->back_ends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		Wisteriavane__BackEnd *entry = g_new0(Wisteriavane__BackEnd, 1);
		struct back_end *back_end = value;

		wisteriavane__back_end__init(entry);
		entry->name = back_end->name.data;
		entry->json = back_end->json.data;
		entry->version = back_end->version;
		g_ptr_array_add(entries, entry);
	}
	body.n_back_ends = entries->len;
	body.back_ends = (Wisteriavane__BackEnd **)entries->pdata;
	frame.body_case = WISTERIAVANE__FRAME__BODY_BACK_ENDS;
	frame.back_ends = &body;
	links_send(control->daemon->links, peer, &frame);
	g_ptr_array_unref(entries);
	control_send_leaving(control, peer);
}

/* Returns whether an update may be sent to a peer now. */
static bool
is_exchange_due(
    struct control *control, wv_msec now, const struct wv_member *peer)
{
	const wv_msec *last =
	    g_hash_table_lookup(control->last_exchange, peer->id.name.data);

	return last == NULL || now - *last >= MIN_EXCHANGE_INTERVAL;
}

/* Records that an update was sent to a peer now. */
static void
record_exchange(
    struct control *control, wv_msec now, const struct wv_member *peer)
{
	wv_msec *last = g_new(wv_msec, 1);

	*last = now;
	g_hash_table_insert(
	    control->last_exchange, g_strdup(peer->id.name.data), last);
}

void
control_send_missing(struct control *control, wv_msec now,
    const struct wv_member *peer, const Wisteriavane__Heartbeat *heartbeat)
{
	bool back_ends_differ =
	    heartbeat->back_ends_digest != control_back_ends_digest(control);
	enum wv_sync_exchange exchange;

	if (!is_exchange_due(control, now, peer))
		return;
	exchange = wv_sync_choose_exchange(control->sync, now,
	    heartbeat->contracts_revision, heartbeat->contracts_digest);
	if (exchange == WV_SYNC_CHANGES)
		send_contracts(control, heartbeat->contracts_revision,
		    &peer->peer_address, 1);
	else if (exchange == WV_SYNC_FULL_TABLE)
		send_contracts(control, 0, &peer->peer_address, 1);
	if (back_ends_differ)
		control_send_back_ends(control, peer->peer_address);
	if (back_ends_differ || exchange != WV_SYNC_NOTHING)
		record_exchange(control, now, peer);
}

void
control_apply_contracts(
    struct control *control, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Contracts *body = frame->contracts;
	bool changed = false;

	for (size_t i = 0; i < body->n_contracts; i++) {
		const Wisteriavane__Contract *entry = body->contracts[i];

		changed |= control_update_contract(control,
		    wv_string_borrow(entry->customer),
		    wv_string_borrow(entry->json), entry->version,
		    entry->deleted);
	}
	if (wv_sync_advance_revision(
		control->sync, body->after, body->revision) &&
	    body->loaded)
		wv_sync_record_confirmation(
		    control->sync, daemon_now(control->daemon));
	if (changed)
		control_push_contracts(control, body->after);
}

void
control_apply_back_ends(
    struct control *control, const Wisteriavane__Frame *frame)
{
	const Wisteriavane__BackEnds *body = frame->back_ends;

	for (size_t i = 0; i < body->n_back_ends; i++)
		control_update_back_end(control,
		    wv_string_borrow(body->back_ends[i]->name),
		    wv_string_borrow(body->back_ends[i]->json),
		    body->back_ends[i]->version);
}
