/**
 * @file
 * Measures in virtual time how a change of a contract propagates to every VM of
 * a region: two VMs watch the store, the others get it from their peers.
 *
 *   wisteriavane-spread [MEMBERS...]
 *
 * Prints a line for each number of members: the longest time until a change is
 * in force on all VMs, and for one change the frames and bytes that an average
 * VM sends and the bytes that the busiest VM sends. Instructions are not
 * counted.
 */
#include <stdio.h>
#include <stdlib.h>
#include <urcu.h>

#include "bench/driver/sim.h"

/* Changes of one run. */
#define N_CHANGES 20
/* Time between two changes, ms. */
#define CHANGE_INTERVAL 800.0
/* One-way delay between VMs, ms: the larger of the two deployments' delays. */
#define PEER_DELAY 1.5
/* Delay until the store notifies a watching VM, ms. */
#define WATCH_DELAY 5.0
/* Fraction of the frames that is lost. */
#define LOSS_RATIO 0.01
/* Bytes of a frame without its contracts, and of one contract. */
#define FRAME_BYTES 60
#define CONTRACT_BYTES 1000
/* Limit of the members of one run. */
#define MAX_MEMBERS 2000

struct region;

/* One VM. */
struct node {
	struct region *region;
	size_t index;
	struct wv_members *members;
	struct wv_contract_table *table;
	struct wv_sync *sync;
	uint64_t frames; /* sent, without heartbeats */
	uint64_t bytes; /* of these frames */
};

/* The whole run. */
struct region {
	struct sim sim;
	struct node *nodes;
	char **names;
	size_t n;
	size_t n_reached; /* VMs with the latest change in force */
	wv_msec max_delay; /* from a change until it is in force on a VM */
	wv_msec changed_at; /* time of the latest change */
	uint64_t version; /* of the latest change */
};

/* A frame on its way between two VMs. */
struct frame {
	struct node *to;
	struct node *from;
	bool heartbeat; /* else a frame of changes */
	uint64_t after; /* has the changes above this revision */
	uint64_t revision; /* of the sender */
	uint64_t digest; /* of the sender's contracts, in a heartbeat */
};

static void send_frame(
    struct node *from, struct node *to, struct frame frame, uint64_t contracts);

/*
 * Puts the contracts of the versions above after and up to revision in force;
 * returns whether any of them was new to the VM. Each version is a contract of
 * another customer.
 */
static bool
apply_changes(struct node *node, uint64_t after, uint64_t revision)
{
	struct region *region = node->region;
	struct wv_status status;
	bool applied = false;
	char customer[32];

	for (uint64_t v = after + 1; v <= revision; v++) {
		g_snprintf(
		    customer, sizeof(customer), "customer-%u", (unsigned int)v);
		applied |=
		    wv_sync_apply_update(node->sync, wv_string_borrow(customer),
			wv_string_borrow(""), v, true, &status);
	}
	wv_sync_advance_revision(node->sync, after, revision);
	if (applied && revision == region->version) {
		region->n_reached++;
		region->max_delay = MAX(
		    region->max_delay, region->sim.now - region->changed_at);
	}
	return applied;
}

/* Returns the VM of an entry in the list of members. */
static struct node *
find_peer(struct node *node, size_t target)
{
	size_t n;
	const struct wv_member *all = wv_members_all(node->members, &n);

	return &node->region->nodes[strtoul(
	    all[target].id.name.data + sizeof("vm") - 1, NULL, 10)];
}

/* Sends the changes above a revision to as many peers as a heartbeat. */
static void
send_changes(struct node *node, uint64_t after)
{
	size_t targets[WV_MAX_HEARTBEAT_FANOUT];
	size_t n = wv_members_choose_targets(
	    node->members, targets, G_N_ELEMENTS(targets));
	struct frame frame = {
	    .after = after, .revision = wv_sync_revision(node->sync)};

	for (size_t i = 0; i < n; i++)
		send_frame(node, find_peer(node, targets[i]), frame,
		    frame.revision - after);
}

/* Sends changes back if the sender of a heartbeat lacks some. */
static void
answer_heartbeat(struct node *node, const struct frame *heartbeat)
{
	struct region *region = node->region;
	struct frame frame = {.after = heartbeat->revision,
	    .revision = wv_sync_revision(node->sync)};

	if (wv_sync_choose_exchange(node->sync, region->sim.now,
		heartbeat->revision, heartbeat->digest) == WV_SYNC_CHANGES)
		send_frame(
		    node, heartbeat->from, frame, frame.revision - frame.after);
}

static void
receive_frame(void *data)
{
	struct frame *frame = data;

	if (frame->heartbeat)
		answer_heartbeat(frame->to, frame);
	else if (apply_changes(frame->to, frame->after, frame->revision))
		send_changes(frame->to, frame->after);
	g_free(frame);
}

static void
send_frame(
    struct node *from, struct node *to, struct frame frame, uint64_t contracts)
{
	struct sim *sim = &from->region->sim;
	struct frame *copy;

	if (!frame.heartbeat) {
		from->frames++;
		from->bytes += FRAME_BYTES + contracts * CONTRACT_BYTES;
	}
	if (g_rand_double(sim->rand) < LOSS_RATIO)
		return;
	copy = g_new(struct frame, 1);
	*copy = frame;
	copy->from = from;
	copy->to = to;
	sim_schedule(sim, sim->now + PEER_DELAY, receive_frame, copy);
}

/* Sends heartbeats and schedules the next ones. */
static void
send_heartbeats(void *data)
{
	struct node *node = data;
	struct sim *sim = &node->region->sim;
	size_t targets[WV_MAX_HEARTBEAT_FANOUT];
	size_t n = wv_members_choose_targets(
	    node->members, targets, G_N_ELEMENTS(targets));
	struct frame frame = {.heartbeat = true,
	    .revision = wv_sync_revision(node->sync),
	    .digest = wv_contract_table_digest(node->table)};

	for (size_t i = 0; i < n; i++)
		send_frame(node, find_peer(node, targets[i]), frame, 0);
	sim_schedule(
	    sim, sim->now + WV_HEARTBEAT_INTERVAL, send_heartbeats, node);
}

/* Applies the changes that the store notified and sends them on. */
static void
receive_watch_event(void *data)
{
	struct node *node = data;
	uint64_t before = wv_sync_revision(node->sync);

	if (apply_changes(node, before, node->region->version))
		send_changes(node, before);
}

/* Makes a new version in the store and notifies the watching VMs. */
static void
publish_change(struct region *region)
{
	region->version++;
	region->n_reached = 0;
	region->changed_at = region->sim.now;
	for (size_t i = 0; i < WV_WATCHERS_PER_ZONE && i < region->n; i++)
		sim_schedule(&region->sim, region->sim.now + WATCH_DELAY,
		    receive_watch_event, &region->nodes[i]);
}

static struct wv_member
member_entry(const struct region *region, size_t i)
{
	struct wv_member entry = {.state = WV_MEMBER_LIVE, .heartbeat = 1};

	entry.id.name = wv_string_borrow(region->names[i]);
	entry.id.incarnation = 1;
	entry.zone = wv_string_borrow("zone");
	entry.peer_address = wv_string_borrow("127.0.0.1:1");
	entry.caller_address = entry.peer_address;
	return entry;
}

static void
create_nodes(struct region *region)
{
	struct wv_member entry;

	region->nodes = g_new0(struct node, region->n);
	region->names = g_new0(char *, region->n + 1);
	for (size_t i = 0; i < region->n; i++)
		region->names[i] = g_strdup_printf("vm%zu", i);
	for (size_t i = 0; i < region->n; i++) {
		struct node *node = &region->nodes[i];

		node->region = region;
		node->index = i;
		entry = member_entry(region, i);
		node->members = wv_members_create(&entry, 0);
		node->table = wv_contract_table_create();
		node->sync = wv_sync_create(node->table);
		for (size_t j = 0; j < region->n; j++) {
			entry = member_entry(region, j);
			if (j != i)
				wv_members_apply_entry(
				    node->members, 0, &entry, true);
		}
		sim_schedule(&region->sim,
		    WV_HEARTBEAT_INTERVAL * (double)i / (double)region->n,
		    send_heartbeats, node);
	}
}

static void
destroy_nodes(struct region *region)
{
	for (size_t i = 0; i < region->n; i++) {
		wv_sync_destroy(region->nodes[i].sync);
		wv_contract_table_destroy(region->nodes[i].table);
		wv_members_destroy(region->nodes[i].members);
	}
	g_free(region->nodes);
	g_strfreev(region->names);
}

static void
print_result(const struct region *region)
{
	uint64_t frames = 0, bytes = 0, busiest = 0;

	for (size_t i = 0; i < region->n; i++) {
		frames += region->nodes[i].frames;
		bytes += region->nodes[i].bytes;
		busiest = MAX(busiest, region->nodes[i].bytes);
	}
	printf("members %5zu  in force after %7.1f ms  reached %zu  frames "
	       "%5.2f  bytes %7.0f  busiest %7.0f\n",
	    region->n, region->max_delay, region->n_reached,
	    (double)frames / (double)region->n / N_CHANGES,
	    (double)bytes / (double)region->n / N_CHANGES,
	    (double)busiest / N_CHANGES);
}

/*
 * Runs the changes in a region of n VMs; returns whether each one was in force
 * on all VMs before the next.
 */
static bool
run_region(size_t n)
{
	struct region region = {.n = n};
	bool all = true;

	sim_init(&region.sim, 1);
	create_nodes(&region);
	sim_run_until(&region.sim, CHANGE_INTERVAL);
	for (int i = 0; i < N_CHANGES; i++) {
		publish_change(&region);
		sim_run_until(&region.sim, region.sim.now + CHANGE_INTERVAL);
		all = all && region.n_reached == n;
	}
	print_result(&region);
	sim_clear(&region.sim);
	destroy_nodes(&region);
	return all;
}

int
main(int argc, char **argv)
{
	static const size_t sizes[] = {9, 60, 214, 620};
	bool all = true;

	rcu_register_thread();
	for (int i = 1; i < argc; i++) {
		size_t n = strtoul(argv[i], NULL, 10);

		if (n < 2 || n > MAX_MEMBERS) {
			fprintf(stderr, "members must be from 2 to %d: %s\n",
			    MAX_MEMBERS, argv[i]);
			return 2;
		}
		all = run_region(n) && all;
	}
	for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++)
		all = run_region(sizes[i]) && all;
	rcu_unregister_thread();
	return all ? EXIT_SUCCESS : EXIT_FAILURE;
}
