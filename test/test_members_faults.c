/**
 * @file
 * Tests membership under faults in simulated time: after each fault the
 * membership tables of all VMs converge within a fixed time.
 */
#include "test/vm_network.h"

#define VMS 9
#define ZONES 3
/* Rounds of heartbeats in which tables converge once messages arrive again. */
#define CONVERGE_ROUNDS 3
/* The same as a time, ms. */
#define CONVERGE_TIME (CONVERGE_ROUNDS * WV_HEARTBEAT_INTERVAL)
/* Time after which all others consider a silent VM dead, ms. */
#define DETECT_TIME (WV_DEAD_AFTER + CONVERGE_TIME)

/* VMs of a cluster in which a round of heartbeats does not reach all VMs. */
#define LARGE_VMS 100
/* Time in which heartbeats reach every VM once after the start, ms. */
#define LARGE_START_TIME \
	((wv_msec)LARGE_VMS / WV_HEARTBEAT_LARGE_FANOUT * WV_HEARTBEAT_INTERVAL)
/* Time in which an update reaches all VMs, ms. */
#define LARGE_SPREAD_TIME 3000.0
/* Time after which all others consider a silent VM dead, ms. */
#define LARGE_DETECT_TIME \
	(WV_SUSPECT_AFTER + WV_SUSPICION_TIMEOUT + LARGE_SPREAD_TIME)
/* Time in which all VMs are live again after the partition of a third, ms. */
#define LARGE_HEAL_TIME 30000.0

static struct vm_network *
start_vms(size_t n, guint32 seed)
{
	struct vm_network *network = vm_network_create(n, ZONES, seed);

	for (size_t i = 0; i < n; i++)
		vm_network_set_vm_list(network, i, 0, n - 1);
	return network;
}

/* Returns whether every running VM considers every running VM live. */
static bool
is_converged(const struct vm_network *network)
{
	for (size_t i = 0; i < network->n_nodes; i++) {
		for (size_t j = 0; j < network->n_nodes; j++) {
			if (network->nodes[i].running &&
			    network->nodes[j].running &&
			    vm_network_member_state(network, i, j) !=
				WV_MEMBER_LIVE)
				return false;
		}
	}
	return true;
}

/* Drops all messages from one zone to another, or stops dropping them. */
static void
set_blocked(
    struct vm_network *network, size_t from_zone, size_t to_zone, bool blocked)
{
	for (size_t i = 0; i < network->n_nodes; i++) {
		for (size_t j = 0; j < network->n_nodes; j++) {
			if (i % ZONES == from_zone && j % ZONES == to_zone)
				network->blocked[i * network->n_nodes + j] =
				    blocked;
		}
	}
}

/* Checks the state of one VM in the table of another. */
static void
assert_state(const struct vm_network *network, size_t at, size_t of,
    enum wv_member_state state)
{
	g_assert_cmpint(vm_network_member_state(network, at, of), ==, state);
}

/* VMs that do not find each other at the start cannot share lanes. */
static void
test_start(void)
{
	struct vm_network *network = start_vms(VMS, 1);

	vm_network_run(network, CONVERGE_TIME);
	g_assert_true(is_converged(network));
	vm_network_destroy(network);
}

/* Lost and late messages must not make live VMs suspect or dead. */
static void
test_loss_and_delay(void)
{
	struct vm_network *network = start_vms(VMS, 2);

	vm_network_run(network, CONVERGE_TIME);
	network->loss_ratio = 0.3;
	network->max_delay_steps = 300 / VM_NETWORK_STEP_MS;
	for (int i = 0; i < 600; i++) {
		vm_network_run(network, 100);
		g_assert_true(is_converged(network));
	}
	vm_network_destroy(network);
}

/*
 * Both sides of a network partition must notice it, keep each other in the
 * roster, and find each other again when it ends.
 */
static void
test_zone_cut(void)
{
	struct vm_network *network = start_vms(VMS, 3);

	vm_network_run(network, CONVERGE_TIME);
	for (size_t zone = 1; zone < ZONES; zone++) {
		set_blocked(network, 0, zone, true);
		set_blocked(network, zone, 0, true);
	}
	vm_network_run(network, DETECT_TIME);
	for (size_t i = 0; i < VMS; i++) {
		for (size_t j = 0; j < VMS; j++)
			assert_state(network, i, j,
			    (i % ZONES == 0) == (j % ZONES == 0)
				? WV_MEMBER_LIVE
				: WV_MEMBER_DEAD);
	}
	vm_network_run(network, 600000);
	for (size_t zone = 1; zone < ZONES; zone++) {
		set_blocked(network, 0, zone, false);
		set_blocked(network, zone, 0, false);
	}
	vm_network_run(network, CONVERGE_TIME);
	g_assert_true(is_converged(network));
	vm_network_destroy(network);
}

/* Other VMs must relay heartbeats between two VMs with a one-way failure. */
static void
test_one_way(void)
{
	struct vm_network *network = start_vms(VMS, 4);

	vm_network_run(network, CONVERGE_TIME);
	network->blocked[0 * VMS + 1] = true;
	for (int i = 0; i < 300; i++) {
		vm_network_run(network, 100);
		g_assert_true(is_converged(network));
	}
	/* A VM that can only receive is dead to the others, which are live. */
	for (size_t i = 1; i < VMS; i++)
		network->blocked[0 * VMS + i] = true;
	vm_network_run(network, DETECT_TIME);
	for (size_t i = 1; i < VMS; i++) {
		assert_state(network, i, 0, WV_MEMBER_DEAD);
		assert_state(network, 0, i, WV_MEMBER_LIVE);
	}
	memset(network->blocked, 0, VMS * VMS * sizeof(bool));
	vm_network_run(network, CONVERGE_TIME);
	g_assert_true(is_converged(network));
	vm_network_destroy(network);
}

/* A paused VM must become live again and not consider the others dead. */
static void
test_pause(void)
{
	struct vm_network *network = start_vms(VMS, 5);

	vm_network_run(network, CONVERGE_TIME);
	network->nodes[4].paused = true;
	vm_network_run(network, DETECT_TIME);
	for (size_t i = 0; i < VMS; i++) {
		if (i != 4)
			assert_state(network, i, 4, WV_MEMBER_DEAD);
	}
	vm_network_run(network, 60000);
	network->nodes[4].paused = false;
	for (int i = 0; i < 20; i++) {
		vm_network_run(network, 10);
		for (size_t j = 0; j < VMS; j++)
			assert_state(network, 4, j, WV_MEMBER_LIVE);
	}
	vm_network_run(network, CONVERGE_TIME);
	g_assert_true(is_converged(network));
	vm_network_destroy(network);
}

/* An old VM list must remove only silent VMs from the roster. */
static void
test_stale_list(void)
{
	struct vm_network *network = start_vms(VMS, 6);

	vm_network_run(network, CONVERGE_TIME);
	for (int i = 0; i < 60; i++) {
		for (size_t j = 0; j < VMS; j++)
			vm_network_set_vm_list(network, j, 0, 5);
		vm_network_run(network, 1000);
		g_assert_true(is_converged(network));
	}
	network->nodes[8].running = false;
	network->nodes[0].running = false;
	vm_network_run(network, DETECT_TIME);
	for (size_t i = 1; i < 8; i++) {
		assert_state(network, i, 8, WV_MEMBER_GONE);
		/* The list still names this VM, so it stays in the roster. */
		assert_state(network, i, 0, WV_MEMBER_DEAD);
	}
	vm_network_destroy(network);
}

/* Starts a VM with an outdated VM list, then drains and stops an old one. */
static void
replace_vm(struct vm_network *network, size_t old_vm, size_t new_vm)
{
	vm_network_start_vm(network, new_vm);
	vm_network_set_vm_list(
	    network, new_vm, old_vm > 0 ? old_vm - 1 : 0, new_vm);
	vm_network_run(network, CONVERGE_TIME);
	g_assert_true(is_converged(network));
	wv_members_set_draining(network->nodes[old_vm].members);
	vm_network_run(network, CONVERGE_TIME);
	for (size_t i = old_vm + 1; i <= new_vm; i++)
		assert_state(network, i, old_vm, WV_MEMBER_DRAINING);
	network->nodes[old_vm].running = false;
	vm_network_run(network, DETECT_TIME);
	for (size_t i = old_vm + 1; i <= new_vm; i++)
		assert_state(network, i, old_vm, WV_MEMBER_GONE);
	g_assert_true(is_converged(network));
}

/* If all VMs are replaced one by one, each roster transition must finish. */
static void
test_replace_all(void)
{
	struct vm_network *network = vm_network_create(2 * VMS, ZONES, 7);

	for (size_t i = VMS; i < 2 * VMS; i++)
		network->nodes[i].running = false;
	for (size_t i = 0; i < VMS; i++)
		vm_network_set_vm_list(network, i, 0, VMS - 1);
	vm_network_run(network, 5000);
	for (size_t i = 0; i < VMS; i++) {
		replace_vm(network, i, VMS + i);
		vm_network_run(network, 30000);
		/* The new VM's list named a VM that had stopped before. */
		for (size_t j = i + 1; j <= VMS + i; j++)
			vm_network_set_vm_list(network, j, i + 1, VMS + i);
		vm_network_run(network, 30000);
		for (size_t j = i + 1; j <= VMS + i; j++) {
			g_assert_cmpuint(
			    wv_roster_count_previous(network->nodes[j].roster),
			    ==, 0);
			g_assert_cmpuint(
			    wv_roster_digest(network->nodes[j].roster), ==,
			    wv_roster_digest(network->nodes[VMS + i].roster));
		}
	}
	vm_network_destroy(network);
}

/* Counts the other running VMs in whose table one VM has the state. */
static size_t
count_state(
    const struct vm_network *network, size_t of, enum wv_member_state state)
{
	size_t count = 0;

	for (size_t i = 0; i < network->n_nodes; i++) {
		if (i != of && network->nodes[i].running)
			count +=
			    vm_network_member_state(network, i, of) == state;
	}
	return count;
}

/* Counts entries of running VMs in tables of running VMs that are not live. */
static size_t
count_not_live(const struct vm_network *network)
{
	size_t count = 0;
	size_t n;
	const struct wv_member *all;

	for (size_t i = 0; i < network->n_nodes; i++) {
		if (!network->nodes[i].running)
			continue;
		all = wv_members_all(network->nodes[i].members, &n);
		for (size_t j = 0; j < n; j++)
			count += all[j].state != WV_MEMBER_LIVE &&
			    network->nodes[vm_network_find(all[j].id.name)]
				.running;
	}
	return count;
}

/* Unanswered heartbeats must detect the dead VM of a large cluster only. */
static void
test_large_death(void)
{
	struct vm_network *network = start_vms(LARGE_VMS, 8);

	vm_network_run(network, LARGE_START_TIME);
	g_assert_cmpuint(count_not_live(network), ==, 0);
	network->nodes[50].running = false;
	vm_network_run(network, LARGE_DETECT_TIME);
	g_assert_cmpuint(
	    count_state(network, 50, WV_MEMBER_DEAD), ==, LARGE_VMS - 1);
	g_assert_cmpuint(count_not_live(network), ==, 0);
	vm_network_start_vm(network, 50);
	vm_network_set_vm_list(network, 50, 0, LARGE_VMS - 1);
	vm_network_run(network, LARGE_SPREAD_TIME);
	g_assert_cmpuint(
	    count_state(network, 50, WV_MEMBER_LIVE), ==, LARGE_VMS - 1);
	vm_network_destroy(network);
}

/* Lost heartbeats in a large cluster must not make a live VM dead. */
static void
test_large_loss(void)
{
	struct vm_network *network = start_vms(LARGE_VMS, 9);

	vm_network_run(network, LARGE_START_TIME);
	network->loss_ratio = 0.05;
	for (int i = 0; i < 60; i++) {
		vm_network_run(network, 1000);
		for (size_t j = 0; j < LARGE_VMS; j++)
			g_assert_cmpuint(
			    count_state(network, j, WV_MEMBER_DEAD), ==, 0);
	}
	network->loss_ratio = 0;
	vm_network_run(network, LARGE_DETECT_TIME);
	g_assert_cmpuint(count_not_live(network), ==, 0);
	vm_network_destroy(network);
}

/* A paused VM of a large cluster must be able to refute its suspicion. */
static void
test_large_pause(void)
{
	struct vm_network *network = start_vms(LARGE_VMS, 10);

	vm_network_run(network, LARGE_START_TIME);
	network->nodes[7].paused = true;
	vm_network_run(network, 60000);
	g_assert_cmpuint(
	    count_state(network, 7, WV_MEMBER_DEAD), ==, LARGE_VMS - 1);
	network->nodes[7].paused = false;
	vm_network_run(network, LARGE_SPREAD_TIME);
	g_assert_cmpuint(
	    count_state(network, 7, WV_MEMBER_LIVE), ==, LARGE_VMS - 1);
	g_assert_cmpuint(count_not_live(network), ==, 0);
	vm_network_destroy(network);
}

/* Both sides of a partition of a large cluster must find each other again. */
static void
test_large_cut(void)
{
	struct vm_network *network = start_vms(LARGE_VMS, 12);

	vm_network_run(network, LARGE_START_TIME);
	for (size_t zone = 1; zone < ZONES; zone++) {
		set_blocked(network, 0, zone, true);
		set_blocked(network, zone, 0, true);
	}
	vm_network_run(network, 60000);
	for (size_t i = 1; i < LARGE_VMS; i++)
		assert_state(network, 0, i,
		    i % ZONES == 0 ? WV_MEMBER_LIVE : WV_MEMBER_DEAD);
	memset(network->blocked, 0, LARGE_VMS * LARGE_VMS * sizeof(bool));
	vm_network_run(network, LARGE_HEAL_TIME);
	g_assert_cmpuint(count_not_live(network), ==, 0);
	vm_network_destroy(network);
}

/* Applies one random fault. */
static void
inject_random_fault(struct vm_network *network)
{
	GRand *random = network->random;
	size_t at = (size_t)g_rand_int_range(random, 0, VMS);
	size_t zone = (size_t)g_rand_int_range(random, 0, ZONES);

	switch (g_rand_int_range(random, 0, 7)) {
	case 0:
		network->loss_ratio = g_rand_double_range(random, 0, 0.5);
		break;
	case 1:
		network->max_delay_steps = g_rand_int_range(random, 1, 100);
		break;
	case 2:
		network->nodes[at].paused = !network->nodes[at].paused;
		break;
	case 3:
		vm_network_start_vm(network, at);
		vm_network_set_vm_list(network, at, 0, VMS - 1);
		break;
	case 4:
		set_blocked(network, zone,
		    (size_t)g_rand_int_range(random, 0, ZONES), true);
		break;
	case 5:
		memset(network->blocked, 0, VMS * VMS * sizeof(bool));
		break;
	default:
		vm_network_set_vm_list(network, at,
		    (size_t)g_rand_int_range(random, 0, 4),
		    (size_t)g_rand_int_range(random, 4, VMS));
		break;
	}
}

/* Ends all faults and gives every VM the complete VM list. */
static void
clear_faults(struct vm_network *network)
{
	memset(network->blocked, 0, VMS * VMS * sizeof(bool));
	network->loss_ratio = 0;
	network->max_delay_steps = 2;
	for (size_t i = 0; i < VMS; i++) {
		network->nodes[i].paused = false;
		vm_network_set_vm_list(network, i, 0, VMS - 1);
	}
}

/* Returns whether all VMs have the same roster and no previous one. */
static bool
has_equal_rosters(const struct vm_network *network)
{
	for (size_t i = 0; i < network->n_nodes; i++) {
		if (wv_roster_count_previous(network->nodes[i].roster) > 0 ||
		    wv_roster_digest(network->nodes[i].roster) !=
			wv_roster_digest(network->nodes[0].roster))
			return false;
	}
	return true;
}

/* After any sequence of faults, tables and rosters must converge. */
static void
test_random(void)
{
	struct vm_network *network;

	for (guint32 seed = 1; seed <= 60; seed++) {
		network = start_vms(VMS, seed);
		for (int i = 0; i < 60; i++) {
			vm_network_run(network, 500);
			inject_random_fault(network);
		}
		clear_faults(network);
		vm_network_run(network, CONVERGE_TIME);
		if (!is_converged(network))
			g_error("views differ with seed %u", seed);
		vm_network_run(
		    network, WV_ROSTER_TRANSITION_TIME + CONVERGE_TIME);
		if (!has_equal_rosters(network))
			g_error("rosters differ with seed %u", seed);
		vm_network_destroy(network);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/members-faults/start", test_start);
	g_test_add_func("/members-faults/loss", test_loss_and_delay);
	g_test_add_func("/members-faults/zone-cut", test_zone_cut);
	g_test_add_func("/members-faults/one-way", test_one_way);
	g_test_add_func("/members-faults/pause", test_pause);
	g_test_add_func("/members-faults/stale-list", test_stale_list);
	g_test_add_func("/members-faults/replace-all", test_replace_all);
	g_test_add_func("/members-faults/random", test_random);
	g_test_add_func("/members-faults/large/death", test_large_death);
	g_test_add_func("/members-faults/large/loss", test_large_loss);
	g_test_add_func("/members-faults/large/pause", test_large_pause);
	g_test_add_func("/members-faults/large/cut", test_large_cut);
	return g_test_run();
}
