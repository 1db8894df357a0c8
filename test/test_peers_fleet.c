/**
 * @file
 * Tests of the reports between the VMs of a fleet: how many each sends, and how
 * soon all of them learn of losses and returns.
 */
#include "test/peer_fleet.h"

/** Time in which a started fleet must know its hubs, ms. */
#define START_TIME 3000
/** Time in which its hubs have introduced themselves to all VMs, ms. */
#define SETTLE_TIME 12000
/**
 * Time in which no VM may name a lost VM to callers any more, ms: the silence
 * after which a leaf gives up both of its hubs, and a round of its reports.
 */
#define LOSS_TIME 2750
/** Reports that a hub sends to each other hub per second. */
#define REPORTS_PER_S 4
/** Greatest number of hubs. */
#define MAX_HUBS 32
/** Reports that a leaf may send per second, whatever the size of the fleet. */
#define MAX_LEAF_SENT_PER_S 5
/** A round of the hubs and the delay of one more event, ms. */
#define NEWS_TIME 300
/**
 * Time in which all VMs must know that a VM is leaving, ms: a round of that
 * hub, one of the others, and one that may be late.
 */
#define LEAVING_TIME 750
/** VMs that watch the store. */
#define N_WATCHERS 3
/** VMs that are left among many that were removed. */
#define N_PRESENT 6
/** Time after its start in which a VM among removed ones must get news, ms. */
#define SEARCH_TIME 5000
/** VMs in a test of removals of entries, and its times, ms. */
#define N_CLEANED 24
#define REMOVAL_TIME (20 * 60000.0)
#define CALL_CHECK_TIME 1000.0
/** Time in which all VMs must have a change that the watchers have, ms. */
#define SPREAD_TIME 2000

/* Returns the greatest number of reports that one VM sends per second. */
static double
most_sent(struct fleet *fleet, size_t first, size_t end)
{
	unsigned most = 0;

	for (size_t i = 0; i < fleet->n; i++)
		fleet->vms[i].sent = 0;
	fleet_run(fleet, 10000);
	for (size_t i = first; i < end; i++)
		most = MAX(most, fleet->vms[i].sent);
	return most / 10.0;
}

/*
 * Returns the reports that a hub may send per second: to the other hubs, one
 * to each of its leaves, which are attached to two hubs each, a hub to at most
 * twice its share, and introductions.
 */
static double
max_sent(size_t n, size_t hubs)
{
	double leaves = 2 * 2 * (double)(n - hubs) / (double)hubs;

	return REPORTS_PER_S * (double)hubs + leaves + REPORTS_PER_S;
}

/* Reports from each to each would grow with the square of the fleet. */
static void
test_reports_bounded(void)
{
	static const size_t sizes[] = {9, 70, 295};
	static const size_t hubs[] = {9, 8, 18};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		size_t n = sizes[i];
		struct fleet *fleet = fleet_create(n, hubs[i], 6, 0);

		fleet_run(fleet, SETTLE_TIME);
		g_assert_cmpfloat(
		    most_sent(fleet, 0, n), <=, max_sent(n, hubs[i]));
		if (n >= 70)
			g_assert_cmpfloat(most_sent(fleet, n - 1, n), <=,
			    MAX_LEAF_SENT_PER_S);
		fleet_destroy(fleet);
	}
}

/* All VMs as strong as each other: their number must not matter either. */
static void
test_reports_bounded_equal(void)
{
	struct fleet *fleet = fleet_create(295, 295, 6, 0);

	fleet_run(fleet, SETTLE_TIME);
	g_assert_cmpfloat(
	    most_sent(fleet, 0, 295), <=, max_sent(295, MAX_HUBS));
	fleet_destroy(fleet);
}

/* In a calm fleet, hubs are listed only while the list changes. */
static void
test_lists_only_changes(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);
	size_t listed = 0;

	fleet_run(fleet, 2 * START_TIME);
	for (size_t i = 0; i < fleet->n; i++)
		fleet->vms[i].hubs_sent = 0;
	fleet_run(fleet, 5000);
	for (size_t i = 0; i < fleet->n; i++)
		listed += fleet->vms[i].hubs_sent;
	g_assert_cmpuint(listed, ==, 0);
	fleet_destroy(fleet);
}

static void
check_all_name(const struct fleet *fleet, size_t first, size_t end)
{
	unsigned running = 0;

	for (size_t i = 0; i < fleet->n; i++)
		running += fleet->vms[i].peers != NULL;
	for (size_t i = first; i < end; i++)
		g_assert_cmpuint(fleet_count_naming(fleet, i), ==, running);
}

/* Each VM, leaves too, sends callers to the strong VMs and nowhere else. */
static void
test_all_name_strong(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0.02);

	fleet_run(fleet, START_TIME);
	for (int i = 0; i < 20; i++) {
		fleet_run(fleet, 500);
		check_all_name(fleet, 0, 18);
	}
	for (size_t i = 18; i < 295; i++)
		g_assert_cmpuint(fleet_count_naming(fleet, i), ==, 0);
	fleet_destroy(fleet);
}

/* A lost VM costs each caller that is sent to it a connection timeout. */
static void
test_lost_hubs(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0.02);

	fleet_run(fleet, START_TIME);
	fleet_kill(fleet, 0);
	fleet_kill(fleet, 7);
	fleet_run(fleet, LOSS_TIME);
	g_assert_cmpuint(fleet_count_naming(fleet, 0), ==, 0);
	g_assert_cmpuint(fleet_count_naming(fleet, 7), ==, 0);
	check_all_name(fleet, 1, 7);
	fleet_start(fleet, 7);
	fleet_run(fleet, LOSS_TIME);
	check_all_name(fleet, 7, 18);
	fleet_destroy(fleet);
}

/*
 * All strong VMs lost at once, and half of the others with them: the next in
 * line must take over without the store, and give way when they return.
 */
static void
test_all_hubs_lost(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0.02);
	unsigned lonely = 0;

	fleet_run(fleet, START_TIME);
	for (size_t i = 0; i < 295; i++) {
		if (i < 18 || i % 2 == 0)
			fleet_kill(fleet, i);
	}
	fleet_run(fleet, 8000);
	for (size_t i = 18; i < 295; i++) {
		if (fleet->vms[i].peers == NULL)
			continue;
		g_assert_false(fleet_names(fleet, i, 0));
		lonely += wv_peers_count_live_hubs(
			      fleet->vms[i].peers, fleet->now) < 2;
	}
	g_assert_cmpuint(lonely, ==, 0);
	for (size_t i = 0; i < 18; i++)
		fleet_start(fleet, i);
	fleet_run(fleet, START_TIME);
	check_all_name(fleet, 0, 18);
	fleet_run(fleet, SETTLE_TIME);
	g_assert_cmpfloat(most_sent(fleet, 0, 295), <=, max_sent(295, 18));
	fleet_destroy(fleet);
}

/* A hub that was cut off for a while is found again without the store. */
static void
test_cut_hub_returns(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);

	fleet_run(fleet, START_TIME);
	for (size_t i = 0; i < 6; i++)
		fleet->vms[i].is_cut = true;
	fleet_run(fleet, 6000);
	for (size_t i = 6; i < 295; i++)
		g_assert_false(fleet_names(fleet, i, 2));
	for (size_t i = 0; i < 6; i++)
		fleet->vms[i].is_cut = false;
	fleet_run(fleet, START_TIME);
	check_all_name(fleet, 0, 18);
	fleet_destroy(fleet);
}

/*
 * A process that knows no other VM, since it started while the store was away,
 * learns of the fleet from the introductions of the hubs.
 */
static void
test_start_without_list(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);
	struct fleet_vm *vm = &fleet->vms[100];

	fleet_run(fleet, START_TIME);
	fleet_kill(fleet, 100);
	vm->peers = wv_peers_create(wv_string_borrow(vm->name),
	    wv_string_borrow(vm->zone), vm->capacity);
	vm->incarnation++;
	vm->sequence = 0;
	fleet_run(fleet, 10000);
	for (size_t i = 0; i < 18; i++)
		g_assert_true(fleet_names(fleet, 100, i));
	fleet_destroy(fleet);
}

/* Callers must not be sent to a VM that is about to stop. */
static void
test_leaving_hub(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);
	unsigned naming = 0;

	fleet_run(fleet, SETTLE_TIME);
	fleet->vms[3].leaving = true;
	fleet_run(fleet, LEAVING_TIME);
	for (size_t i = 0; i < 295; i++)
		naming += i != 3 && fleet_names(fleet, i, 3);
	g_assert_cmpuint(naming, ==, 0);
	fleet_destroy(fleet);
}

static unsigned
count_watchers(const struct fleet *fleet)
{
	unsigned n = 0;

	for (size_t i = 0; i < fleet->n; i++) {
		const struct fleet_vm *vm = &fleet->vms[i];

		n += vm->peers != NULL &&
		    wv_peers_get_role(vm->peers, fleet->now, vm->store_failed)
			.is_watcher;
	}
	return n;
}

/*
 * If the store turns all hubs away, some leaves must watch it, but not all:
 * each watcher costs the store's calls.
 */
static void
test_watchers_bounded(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);

	fleet_run(fleet, START_TIME);
	g_assert_cmpuint(count_watchers(fleet), ==, N_WATCHERS);
	for (size_t i = 0; i < 18; i++)
		fleet->vms[i].store_failed = true;
	fleet_run(fleet, LOSS_TIME);
	g_assert_cmpuint(count_watchers(fleet), >=, N_WATCHERS);
	g_assert_cmpuint(count_watchers(fleet), <=, 2 * N_WATCHERS);
	fleet_destroy(fleet);
}

/*
 * Leaves hear of unchanged hubs once a second only, but of new revisions in the
 * next round: a version must be in force everywhere within seconds.
 */
static void
test_news_reach_leaves(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);

	fleet_run(fleet, SETTLE_TIME);
	for (size_t i = 0; i < 18; i++)
		fleet->vms[i].revision = 7;
	fleet_run(fleet, NEWS_TIME);
	for (size_t i = 18; i < 295; i++)
		g_assert_cmpuint(wv_peers_find_ahead(fleet->vms[i].peers,
				     fleet->now, WV_PEER_ROUTES, 6)
				     .length,
		    >, 0);
	fleet_destroy(fleet);
}

/* In each zone, one VM reads changes from afar and the others from it. */
static void
test_near_sources(void)
{
	struct fleet *fleet = fleet_create(295, 18, 6, 0);
	unsigned without = 0;

	fleet_run(fleet, SETTLE_TIME);
	for (size_t i = 0; i < 295; i++)
		without +=
		    !wv_peers_has_near_source(fleet->vms[i].peers, fleet->now);
	g_assert_cmpuint(without, ==, fleet->zones);
	fleet_destroy(fleet);
}

/* Gives all watchers a new revision; VMs read it from those that are ahead. */
static void
spread_news(struct fleet *fleet, uint64_t revision)
{
	for (size_t i = 0; i < fleet->n; i++) {
		struct fleet_vm *vm = &fleet->vms[i];

		if (vm->peers != NULL &&
		    wv_peers_get_role(vm->peers, fleet->now, false).is_watcher)
			vm->revision = revision;
	}
	for (int step = 0; step < SPREAD_TIME / FLEET_STEP; step++) {
		for (size_t i = 0; i < fleet->n; i++) {
			struct fleet_vm *vm = &fleet->vms[i];

			if (vm->peers != NULL &&
			    wv_peers_find_ahead(vm->peers, fleet->now,
				WV_PEER_ROUTES, revision - 1)
				    .length > 0)
				vm->revision = revision;
		}
		fleet_run(fleet, FLEET_STEP);
	}
}

static void
check_all_have(const struct fleet *fleet, uint64_t revision)
{
	for (size_t i = 0; i < fleet->n; i++)
		g_assert_true(fleet->vms[i].peers == NULL ||
		    fleet->vms[i].revision == revision);
}

/*
 * VMs that were removed for good stay listed. However many they are, a VM that
 * starts must soon get news from the few that are left, and so must all after
 * a restart of all.
 */
static void
test_removed_vms(void)
{
	static const size_t removed[] = {0, 40, 300, 3000};

	for (size_t k = 0; k < G_N_ELEMENTS(removed); k++) {
		size_t n = N_PRESENT + removed[k];
		struct fleet *fleet = fleet_create(n, n, 1, 0.02);

		for (size_t i = 2; i < n - N_PRESENT + 2; i++)
			fleet_kill(fleet, i);
		fleet_run(fleet, SETTLE_TIME);
		/* The last ones are added. */
		fleet_kill(fleet, n - 1);
		fleet_kill(fleet, n - 2);
		fleet_run(fleet, LOSS_TIME);
		fleet_start(fleet, n - 1);
		fleet_start(fleet, n - 2);
		fleet_run(fleet, SEARCH_TIME);
		spread_news(fleet, 2);
		check_all_have(fleet, 2);
		for (size_t i = 0; i < n; i++) {
			if (fleet->vms[i].peers == NULL)
				continue;
			fleet_kill(fleet, i);
			fleet_start(fleet, i);
		}
		fleet_run(fleet, SEARCH_TIME);
		spread_news(fleet, 3);
		check_all_have(fleet, 3);
		fleet_destroy(fleet);
	}
}

/* Returns how many calls of the store VMs begin in a time, ms. */
static unsigned
count_calls(struct fleet *fleet, wv_msec time, size_t *caller)
{
	wv_msec end = fleet->now + time;
	unsigned n = 0;

	while (fleet->now < end) {
		fleet_run(fleet, CALL_CHECK_TIME);
		for (size_t i = 0; i < fleet->n; i++) {
			struct wv_removal *removal = fleet->vms[i].peers == NULL
			    ? NULL
			    : wv_peers_removal(fleet->vms[i].peers);

			if (removal == NULL ||
			    wv_removal_next_call(removal, fleet->now, true)
				    .kind == WV_REMOVAL_NONE)
				continue;
			wv_removal_end_call(
			    removal, fleet->now, WV_REMOVAL_REFUSED);
			g_assert_true(n == 0 || *caller == i);
			*caller = i;
			n++;
		}
	}
	return n;
}

/*
 * Guards against live VMs that are taken for removed ones, since leaves report
 * to two hubs only and datagrams get lost, and against several VMs that remove
 * entries at once. A VM that hears nobody removes none.
 */
static void
test_one_removes(void)
{
	struct fleet *fleet = fleet_create(N_CLEANED, N_CLEANED / 4, 2, 0.05);
	size_t caller = N_CLEANED, next = N_CLEANED;

	g_assert_cmpuint(count_calls(fleet, REMOVAL_TIME, &caller), ==, 0);
	fleet_kill(fleet, N_CLEANED - 1);
	g_assert_cmpuint(count_calls(fleet, REMOVAL_TIME, &caller), >, 0);
	fleet_kill(fleet, caller);
	g_assert_cmpuint(count_calls(fleet, REMOVAL_TIME, &next), >, 0);
	g_assert_cmpuint(next, !=, caller);
	for (size_t i = 0; i < fleet->n; i++) {
		if (i != next)
			fleet_kill(fleet, i);
	}
	g_assert_cmpuint(count_calls(fleet, REMOVAL_TIME, &caller), ==, 0);
	fleet_destroy(fleet);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peers-fleet/reports-bounded", test_reports_bounded);
	g_test_add_func(
	    "/peers-fleet/reports-bounded-equal", test_reports_bounded_equal);
	g_test_add_func(
	    "/peers-fleet/lists-only-changes", test_lists_only_changes);
	g_test_add_func("/peers-fleet/all-name-strong", test_all_name_strong);
	g_test_add_func("/peers-fleet/lost-hubs", test_lost_hubs);
	g_test_add_func("/peers-fleet/all-hubs-lost", test_all_hubs_lost);
	g_test_add_func("/peers-fleet/cut-hub-returns", test_cut_hub_returns);
	g_test_add_func(
	    "/peers-fleet/start-without-list", test_start_without_list);
	g_test_add_func("/peers-fleet/leaving-hub", test_leaving_hub);
	g_test_add_func("/peers-fleet/watchers-bounded", test_watchers_bounded);
	g_test_add_func(
	    "/peers-fleet/news-reach-leaves", test_news_reach_leaves);
	g_test_add_func("/peers-fleet/near-sources", test_near_sources);
	g_test_add_func("/peers-fleet/removed-vms", test_removed_vms);
	g_test_add_func("/peers-fleet/one-removes", test_one_removes);
	return g_test_run();
}
