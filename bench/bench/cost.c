/**
 * @file
 * Runs whose instructions tools/bench.sh counts under valgrind.
 */
#include <stdio.h>
#include <stdlib.h>

#include "bench/bench/bench.h"

int
run_query_cost(const char *count)
{
	struct sim_shape shape = sim_race_eve;
	struct sim_workload workload;
	struct sim_result result;
	char *contract;

	shape.services = (uint32_t)strtoul(count, NULL, 10);
	if (shape.services == 0 || shape.services > 1000) {
		fprintf(stderr, "services must be from 1 to 1000: %s\n", count);
		return 2;
	}
	contract = unlimited_contract(&shape);
	workload = urgent_workload(&shape, contract, 0.3);
	workload.warm_up = 0;
	workload.duration = 200000.0 / shape.services;
	sim_workload_run(&workload, &result);
	printf("shard_requests %" G_GUINT64_FORMAT "\n",
	    result.first_attempts + result.extra_attempts);
	sim_result_clear(&result);
	g_free(contract);
	return 0;
}

/* State of one VM that exchanges heartbeats with its peers. */
struct gossip {
	struct wv_members *members;
	struct wv_lease *lease;
	struct wv_granter *granter;
	struct wv_member *entries; /* of all VMs, as peers report them */
	size_t n;
	wv_msec now;
	uint64_t sequence; /* number of the round */
};

/*
 * Does what one VM does in a heartbeat interval: it sends its heartbeat,
 * handles the heartbeats of its targets and renews its lease. tools/bench.sh
 * counts the instructions of this function by its name, so it must not be
 * inlined.
 */
static void __attribute__((noinline)) heartbeat_round(struct gossip *gossip)
{
	size_t targets[WV_MAX_HEARTBEAT_FANOUT];
	struct wv_candidate roster[1000];
	struct wv_string names[1000];
	size_t n = wv_members_choose_targets(
	    gossip->members, targets, G_N_ELEMENTS(targets));

	wv_members_increment_heartbeat(gossip->members, gossip->now);
	wv_members_tick(gossip->members, gossip->now);
	for (size_t i = 0; i < n; i++) {
		const struct wv_member *peer = &gossip->entries[targets[i]];

		for (size_t j = 0; j < gossip->n; j++)
			wv_members_apply_entry(gossip->members, gossip->now,
			    &gossip->entries[j], targets[i] == j);
		if (wv_granter_accept_heartbeat(
			gossip->granter, peer->id, gossip->sequence))
			wv_granter_claim(gossip->granter, gossip->now,
			    wv_lease_lane(gossip->lease), peer->id);
		wv_lease_add_grant(gossip->lease, peer->id, gossip->now);
	}
	n = wv_members_list_roster(
	    gossip->members, roster, G_N_ELEMENTS(roster));
	for (size_t i = 0; i < n; i++)
		names[i] = roster[i].name;
	wv_lease_expiry(gossip->lease, names, n);
}

int
run_heartbeat_cost(const char *count)
{
	const int rounds = 20;
	struct gossip gossip = {.n = strtoul(count, NULL, 10)};

	if (gossip.n < 2 || gossip.n > 1000) {
		fprintf(stderr, "members must be from 2 to 1000: %s\n", count);
		return 2;
	}
	gossip.entries = g_new0(struct wv_member, gossip.n);
	for (size_t i = 0; i < gossip.n; i++) {
		struct wv_member *entry = &gossip.entries[i];

		entry->id.name = wv_string_borrow(g_strdup_printf("vm%zu", i));
		entry->id.incarnation = 1;
		entry->zone = wv_string_borrow("zone");
		entry->peer_address = wv_string_borrow("127.0.0.1:1");
		entry->caller_address = entry->peer_address;
		entry->state = WV_MEMBER_LIVE;
	}
	gossip.members = wv_members_create(&gossip.entries[0], 0);
	gossip.lease = wv_lease_create(wv_string_borrow("desk/0"));
	gossip.granter = wv_granter_create(0);
	for (size_t i = 0; i < gossip.n; i++)
		wv_members_apply_entry(
		    gossip.members, 0, &gossip.entries[i], true);
	for (int i = 0; i < rounds; i++) {
		gossip.now += WV_HEARTBEAT_INTERVAL;
		gossip.sequence++;
		for (size_t j = 0; j < gossip.n; j++)
			gossip.entries[j].heartbeat++;
		heartbeat_round(&gossip);
	}
	printf("rounds %d\n", rounds);
	for (size_t i = 0; i < gossip.n; i++)
		g_free(gossip.entries[i].id.name.data);
	g_free(gossip.entries);
	wv_members_destroy(gossip.members);
	wv_lease_destroy(gossip.lease);
	wv_granter_destroy(gossip.granter);
	return 0;
}
