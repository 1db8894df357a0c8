/**
 * @file
 * Simulation of VMs that exchange encoded heartbeats in virtual time, for tests
 * of membership. Messages can be lost, delayed or blocked in one direction; VMs
 * can be paused and restarted.
 */
#ifndef WISTERIAVANE_TEST_VM_NETWORK_H
#define WISTERIAVANE_TEST_VM_NETWORK_H

#include <stdlib.h>

#include "proto/frame.h"
#include "wisteriavane/wisteriavane.h"

/* Length of a step of virtual time, ms. */
#define VM_NETWORK_STEP_MS 10
/* Interval of a VM's heartbeats, steps. */
#define HEARTBEAT_STEPS ((int)WV_HEARTBEAT_INTERVAL / VM_NETWORK_STEP_MS)
/* Packets can arrive up to this many steps ahead. */
#define ARRIVAL_SLOTS 1024

/* A simulated VM. */
struct node {
	char name[16];
	char address[24];
	char zone[8];
	struct wv_members *members;
	struct wv_roster *roster;
	struct wv_frame_decoder *decoder;
	uint64_t incarnation;
	uint64_t sequence; /* of its last heartbeat */
	bool running;
	bool paused;
	uint64_t messages; /* sent */
	uint64_t bytes; /* sent */
};

/* An encoded frame that is on its way. */
struct packet {
	size_t to; /* position of the receiver */
	GByteArray *bytes;
};

/* A simulation; VMs are named by their position in nodes. */
struct vm_network {
	struct node *nodes;
	size_t n_nodes;
	int steps; /* virtual time in steps */
	GRand *random;
	double loss_ratio; /* fraction of the messages that are lost */
	int max_delay_steps;
	bool *blocked; /* [from * n_nodes + to]: all messages are lost */
	GPtrArray *arrivals[ARRIVAL_SLOTS]; /* packets by step of arrival */
	struct wv_frame_counters counters;
};

/* Returns virtual time, ms. */
static inline wv_msec
vm_network_now(const struct vm_network *network)
{
	return (wv_msec)network->steps * VM_NETWORK_STEP_MS;
}

/* Returns the member entry of a VM; its strings are borrowed. */
static inline struct wv_member
node_to_member(const struct node *node)
{
	struct wv_member entry = {
	    .id = {wv_string_borrow(node->name), node->incarnation},
	    .zone = wv_string_borrow(node->zone),
	    .peer_address = wv_string_borrow(node->address),
	    .caller_address = wv_string_borrow(node->address),
	    .state = WV_MEMBER_JOINING,
	};

	return entry;
}

/* Starts or restarts a VM; it knows no other VM. */
static inline void
vm_network_start_vm(struct vm_network *network, size_t at)
{
	struct node *node = &network->nodes[at];
	struct wv_member self;

	node->incarnation++;
	self = node_to_member(node);
	wv_members_destroy(node->members);
	wv_roster_destroy(node->roster);
	node->members = wv_members_create(&self, vm_network_now(network));
	node->roster = wv_roster_create(self.id.name, vm_network_now(network));
	node->sequence = 0;
	node->running = true;
	node->paused = false;
}

static inline void
node_set_name(struct node *node, size_t number, size_t zones)
{
	g_snprintf(node->name, sizeof(node->name), "vm-%05zu", number);
	g_snprintf(node->address, sizeof(node->address), "127.1.%zu.%zu:7001",
	    number / 200, number % 200);
	g_snprintf(node->zone, sizeof(node->zone), "z%zu", number % zones);
}

/* Creates n running VMs that are spread over the zones. */
static inline struct vm_network *
vm_network_create(size_t n, size_t zones, guint32 seed)
{
	struct vm_network *network = g_new0(struct vm_network, 1);

	network->nodes = g_new0(struct node, n);
	network->n_nodes = n;
	network->random = g_rand_new_with_seed(seed);
	network->max_delay_steps = 2;
	network->blocked = g_new0(bool, n *n);
	wv_frame_counters_init(&network->counters);
	for (size_t i = 0; i < ARRIVAL_SLOTS; i++)
		network->arrivals[i] = g_ptr_array_new();
	for (size_t i = 0; i < n; i++) {
		node_set_name(&network->nodes[i], i, zones);
		network->nodes[i].incarnation = 1000000 + i;
		network->nodes[i].decoder = wv_frame_decoder_create(
		    wv_string_borrow("anadolu"), &network->counters);
		vm_network_start_vm(network, i);
	}
	return network;
}

static inline void
packet_destroy(struct packet *packet)
{
	g_byte_array_free(packet->bytes, TRUE);
	g_free(packet);
}

static inline void
vm_network_destroy(struct vm_network *network)
{
	for (size_t i = 0; i < ARRIVAL_SLOTS; i++) {
		for (guint j = 0; j < network->arrivals[i]->len; j++)
			packet_destroy(network->arrivals[i]->pdata[j]);
		g_ptr_array_free(network->arrivals[i], TRUE);
	}
	for (size_t i = 0; i < network->n_nodes; i++) {
		wv_members_destroy(network->nodes[i].members);
		wv_roster_destroy(network->nodes[i].roster);
		wv_frame_decoder_destroy(network->nodes[i].decoder);
	}
	g_rand_free(network->random);
	g_free(network->blocked);
	g_free(network->nodes);
	g_free(network);
}

/* Returns the position of a VM from a name that node_set_name() made. */
static inline size_t
vm_network_find(struct wv_string name)
{
	return (size_t)strtoul(name.data + 3, NULL, 10);
}

/* Queues a copy of a message for arrival, unless it is lost. */
static inline void
simulation_send(
    struct vm_network *network, size_t from, size_t to, GByteArray *bytes)
{
	struct packet *packet;
	int due;

	network->nodes[from].messages++;
	network->nodes[from].bytes += bytes->len;
	if (network->blocked[from * network->n_nodes + to] ||
	    g_rand_double(network->random) < network->loss_ratio)
		return;
	packet = g_new0(struct packet, 1);
	packet->to = to;
	packet->bytes = g_byte_array_new();
	g_byte_array_append(packet->bytes, bytes->data, bytes->len);
	due = network->steps + 1 +
	    g_rand_int_range(network->random, 0, network->max_delay_steps);
	g_ptr_array_add(network->arrivals[due % ARRIVAL_SLOTS], packet);
}

/* Fills a heartbeat entry; addresses and zone only if it is full. */
static inline void
fill_member(
    Wisteriavane__Member *out, const struct wv_member *member, bool full)
{
	wisteriavane__member__init(out);
	out->vm = member->id.name.data;
	out->incarnation = member->id.incarnation;
	out->heartbeat = member->heartbeat;
	out->draining = member->state == WV_MEMBER_DRAINING;
	out->suspect = member->state == WV_MEMBER_SUSPECT;
	if (!full)
		return;
	out->zone = member->zone.data;
	out->peer = member->peer_address.data;
	out->callers = member->caller_address.data;
}

/* Sends one VM's heartbeat to its next targets. */
static inline void
simulation_send_heartbeat(struct vm_network *network, size_t at)
{
	struct node *node = &network->nodes[at];
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Heartbeat heartbeat = WISTERIAVANE__HEARTBEAT__INIT;
	Wisteriavane__Member storage[WV_MAX_HEARTBEAT_ENTRIES + 1];
	Wisteriavane__Member *members[WV_MAX_HEARTBEAT_ENTRIES + 1];
	size_t entries[WV_MAX_HEARTBEAT_ENTRIES];
	bool full[WV_MAX_HEARTBEAT_ENTRIES];
	size_t targets[WV_MAX_HEARTBEAT_FANOUT];
	const struct wv_member *all;
	struct wv_status status;
	GByteArray *bytes = g_byte_array_new();
	size_t n;
	size_t n_targets;

	wv_members_increment_heartbeat(node->members, vm_network_now(network));
	n_targets = wv_members_choose_targets(
	    node->members, targets, G_N_ELEMENTS(targets));
	n = wv_members_choose_entries(
	    node->members, entries, full, G_N_ELEMENTS(entries));
	all = wv_members_all(node->members, &heartbeat.n_members);
	fill_member(&storage[0], &all[0],
	    node->sequence < 10 || node->sequence % 16 == 0);
	for (size_t i = 0; i < n; i++)
		fill_member(&storage[i + 1], &all[entries[i]], full[i]);
	for (size_t i = 0; i <= n; i++)
		members[i] = &storage[i];
	heartbeat.n_members = n + 1;
	heartbeat.members = members;
	heartbeat.sequence = ++node->sequence;
	heartbeat.roster_digest = wv_roster_digest(node->roster);
	heartbeat.contracts_digest = 0x123456789abcdef;
	heartbeat.back_ends_digest = 0x123456789abcdef;
	frame.deployment = "anadolu";
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = node->name;
	frame.incarnation = node->incarnation;
	frame.body_case = WISTERIAVANE__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	wv_frame_encode(&frame, bytes, &status);
	for (size_t i = 0; i < n_targets; i++)
		simulation_send(network, at,
		    vm_network_find(all[targets[i]].id.name), bytes);
	g_byte_array_free(bytes, TRUE);
}

static inline enum wv_member_state
wire_member_state(const Wisteriavane__Member *member)
{
	if (member->suspect)
		return WV_MEMBER_SUSPECT;
	return member->draining ? WV_MEMBER_DRAINING : WV_MEMBER_LIVE;
}

/* Acknowledges a heartbeat. */
static inline void
simulation_send_ack(struct vm_network *network, struct node *node,
    const Wisteriavane__Frame *heartbeat)
{
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	Wisteriavane__Ack ack = WISTERIAVANE__ACK__INIT;
	GByteArray *bytes = g_byte_array_new();
	struct wv_status status;

	ack.sequence = heartbeat->heartbeat->sequence;
	ack.roster_digest = wv_roster_digest(node->roster);
	ack.heartbeat = wv_members_self(node->members)->heartbeat;
	frame.deployment = "anadolu";
	frame.protocol = WV_FRAME_PROTOCOL_VERSION;
	frame.vm = node->name;
	frame.incarnation = node->incarnation;
	frame.body_case = WISTERIAVANE__FRAME__BODY_ACK;
	frame.ack = &ack;
	wv_frame_encode(&frame, bytes, &status);
	simulation_send(network, (size_t)(node - network->nodes),
	    vm_network_find(wv_string_borrow(heartbeat->vm)), bytes);
	g_byte_array_free(bytes, TRUE);
}

/* Handles a heartbeat or an acknowledgement. */
static inline void
simulation_handle_frame(struct vm_network *network, struct node *node,
    const Wisteriavane__Frame *frame)
{
	const Wisteriavane__Member *member;
	struct wv_member entry;

	if (frame->body_case == WISTERIAVANE__FRAME__BODY_ACK) {
		entry = (struct wv_member){
		    .id = {wv_string_borrow(frame->vm), frame->incarnation},
		    .state = WV_MEMBER_LIVE,
		    .heartbeat = frame->ack->heartbeat,
		};
		wv_members_apply_entry(
		    node->members, vm_network_now(network), &entry, true);
		wv_roster_set_reported_digest(node->roster,
		    wv_string_borrow(frame->vm), frame->ack->roster_digest);
		return;
	}
	for (size_t i = 0; i < frame->heartbeat->n_members; i++) {
		member = frame->heartbeat->members[i];
		entry = (struct wv_member){
		    .id = {wv_string_borrow(member->vm), member->incarnation},
		    .zone = wv_string_borrow(member->zone),
		    .peer_address = wv_string_borrow(member->peer),
		    .caller_address = wv_string_borrow(member->callers),
		    .state = wire_member_state(member),
		    .heartbeat = member->heartbeat,
		};
		wv_members_apply_entry(
		    node->members, vm_network_now(network), &entry, i == 0);
	}
	wv_roster_set_reported_digest(node->roster, wv_string_borrow(frame->vm),
	    frame->heartbeat->roster_digest);
	simulation_send_ack(network, node, frame);
}

/* Delivers a packet on its arrival; takes ownership. */
static inline void
simulation_deliver(struct vm_network *network, struct packet *packet)
{
	struct node *node = &network->nodes[packet->to];
	Wisteriavane__Frame *frame;
	struct wv_status status;

	if (!node->running) {
		packet_destroy(packet);
		return;
	}
	if (node->paused) {
		/* A paused VM reads its socket when it runs again. */
		g_ptr_array_add(
		    network->arrivals[(network->steps + 1) % ARRIVAL_SLOTS],
		    packet);
		return;
	}
	wv_frame_decoder_push(
	    node->decoder, packet->bytes->data, packet->bytes->len);
	wv_frame_decoder_next(node->decoder, &frame, &status);
	g_assert_nonnull(frame);
	simulation_handle_frame(network, node, frame);
	wv_frame_destroy(frame);
	packet_destroy(packet);
}

/* Runs one heartbeat interval of a VM. */
static inline void
simulation_tick(struct vm_network *network, size_t at)
{
	struct node *node = &network->nodes[at];
	struct wv_candidate vms[1024];
	size_t n;

	wv_members_tick(node->members, vm_network_now(network));
	n = wv_members_list_roster(node->members, vms, G_N_ELEMENTS(vms));
	wv_roster_update(node->roster, vm_network_now(network), vms, n);
	simulation_send_heartbeat(network, at);
}

/* Advances virtual time; delivers messages and runs the VMs' timers. */
static inline void
vm_network_run(struct vm_network *network, wv_msec duration)
{
	int end = network->steps + (int)(duration / VM_NETWORK_STEP_MS);
	GPtrArray *due = g_ptr_array_new();
	GPtrArray *slot;

	while (network->steps < end) {
		network->steps++;
		slot = network->arrivals[network->steps % ARRIVAL_SLOTS];
		network->arrivals[network->steps % ARRIVAL_SLOTS] = due;
		due = slot;
		for (guint i = 0; i < due->len; i++)
			simulation_deliver(network, due->pdata[i]);
		g_ptr_array_set_size(due, 0);
		for (size_t i = 0; i < network->n_nodes; i++) {
			if (network->nodes[i].running &&
			    !network->nodes[i].paused &&
			    (network->steps + (int)i * 7) % HEARTBEAT_STEPS ==
				0)
				simulation_tick(network, i);
		}
	}
	g_ptr_array_free(due, TRUE);
}

/* Gives one VM the VM list; it contains the VMs from first to last. */
static inline void
vm_network_set_vm_list(
    struct vm_network *network, size_t at, size_t first, size_t last)
{
	struct wv_member *list = g_new0(struct wv_member, last - first + 1);

	for (size_t i = first; i <= last; i++)
		list[i - first] = node_to_member(&network->nodes[i]);
	wv_members_apply_vm_list(network->nodes[at].members,
	    vm_network_now(network), list, last - first + 1);
	g_free(list);
}

/* Returns the state of a VM as another VM sees it. */
static inline enum wv_member_state
vm_network_member_state(const struct vm_network *network, size_t at, size_t of)
{
	size_t n;
	const struct wv_member *all =
	    wv_members_all(network->nodes[at].members, &n);

	for (size_t i = 0; i < n; i++) {
		if (wv_string_equal(all[i].id.name,
			wv_string_borrow(network->nodes[of].name)))
			return all[i].state;
	}
	return WV_MEMBER_GONE;
}

#endif
