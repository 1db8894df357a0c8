/**
 * @file
 * Selection of the VMs of each zone that watch the store.
 */
#include "src/private.h"

/*
 * Collects the VMs of this VM's zone that are in the given state. Returns the
 * index of this VM among them, or SIZE_MAX if it is not one of them.
 */
static size_t
collect(const struct wv_members *members, enum wv_member_state state,
    struct wv_candidate *candidates, size_t *n)
{
	const struct wv_member *self = wv_members_self(members);
	size_t n_all, self_index = SIZE_MAX;
	const struct wv_member *all = wv_members_all(members, &n_all);

	*n = 0;
	for (size_t i = 0; i < n_all; i++) {
		if (all[i].state != state ||
		    !wv_string_equal(all[i].zone, self->zone))
			continue;
		if (wv_string_equal(all[i].id.name, self->id.name))
			self_index = *n;
		candidates[*n].name = all[i].id.name;
		candidates[*n].zone = all[i].zone;
		(*n)++;
	}
	return self_index;
}

bool
wv_sync_is_watcher(const struct wv_members *members)
{
	struct wv_candidate *candidates;
	size_t *order;
	size_t n_all, n, self;
	bool watcher = false;

	(void)wv_members_all(members, &n_all);
	candidates = g_new0(struct wv_candidate, n_all + 1);
	order = g_new0(size_t, n_all + 1);
	self = collect(members, WV_MEMBER_LIVE, candidates, &n);
	/* A zone in which all VMs are draining still needs a watcher. */
	if (n == 0)
		self = collect(members, WV_MEMBER_DRAINING, candidates, &n);
	wv_rendezvous_order(wv_string_borrow("contracts"), wv_string_borrow(""),
	    candidates, n, order);
	for (size_t i = 0; i < n && i < WV_WATCHERS_PER_ZONE; i++) {
		if (order[i] == self)
			watcher = true;
	}
	g_free(candidates);
	g_free(order);
	return watcher;
}
