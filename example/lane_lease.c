/**
 * @file
 * Two of three VMs compete for a lane: the one with grants from a majority
 * holds its lease.
 */
#include <stdio.h>

#include "wisteriavane/wisteriavane.h"

/* Number of VMs, all of which are granters. */
#define N_VMS 3

int
main(void)
{
	struct wv_string names[N_VMS] = {wv_string_borrow("vm1"),
	    wv_string_borrow("vm2"), wv_string_borrow("vm3")};
	struct wv_candidate candidates[N_VMS] = {{{NULL, 0}, {NULL, 0}}};
	struct wv_granter *granters[N_VMS];
	struct wv_string lane = wv_string_borrow("race-eve/0");
	struct wv_string no_zone = {"", 0};
	struct wv_lease *lease = wv_lease_create(lane);
	wv_msec now = WV_LEASE_TIME + WV_LEASE_MARGIN + 1;
	struct wv_vm_id preferred, rival;
	size_t first;
	bool granted;

	for (size_t i = 0; i < N_VMS; i++) {
		candidates[i].name = names[i];
		candidates[i].zone = no_zone;
		/*
		 * A new granter grants nothing until lease time and margin
		 * have passed: it may have lost its grants in a restart.
		 */
		granters[i] = wv_granter_create(0);
	}
	first = wv_rendezvous_first(lane, no_zone, candidates, N_VMS);
	preferred = (struct wv_vm_id){names[first], 1};
	rival = (struct wv_vm_id){names[(first + 1) % N_VMS], 1};
	for (size_t i = 0; i < N_VMS; i++) {
		if (wv_granter_claim(granters[i], now, lane, preferred))
			wv_lease_add_grant(
			    lease, (struct wv_vm_id){names[i], 1}, now);
	}
	printf("%s holds %s until %.0f ms\n", preferred.name.data, lane.data,
	    wv_lease_expiry(lease, names, N_VMS));
	granted = wv_granter_claim(granters[0], now + 1, lane, rival);
	printf(
	    "%s is %s\n", rival.name.data, granted ? "granted it" : "refused");
	for (size_t i = 0; i < N_VMS; i++)
		wv_granter_destroy(granters[i]);
	wv_lease_destroy(lease);
	return granted ? 1 : 0;
}
