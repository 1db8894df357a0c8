/**
 * @file
 * Tests of contract synchronization: no source may return a table to an older
 * version, and a table that no source confirmed must not count as loaded.
 */
#include <urcu.h>

#include "wisteriavane/wisteriavane.h"

#define CONTRACT                                                               \
	"{\"customer\":\"kestane\",\"job_retention_s\":3600,\"back_ends\":{"   \
	"\"archive\":{\"hedge_budget\":0,\"retry_budget\":0,\"ranks\":{"       \
	"\"urgent\":{\"share\":0.5,\"rate\":10,\"burst\":1,\"concurrency\":1," \
	"\"deadline_ms\":100,\"coverage_minimum\":1}}}}}"

struct vm {
	struct wv_contract_table *table;
	struct wv_sync *sync;
};

static void
start_vm(struct vm *vm)
{
	vm->table = wv_contract_table_create();
	vm->sync = wv_sync_create(vm->table);
}

static void
stop_vm(struct vm *vm)
{
	wv_sync_destroy(vm->sync);
	wv_contract_table_destroy(vm->table);
}

/* Passes an update to a VM and checks the status; returns whether it is new. */
static bool
apply_update(struct vm *vm, const char *customer, const char *json,
    uint64_t version, bool deleted, enum wv_code code)
{
	struct wv_status status;
	bool applied =
	    wv_sync_apply_update(vm->sync, wv_string_borrow(customer),
		wv_string_borrow(json), version, deleted, &status);

	g_assert_cmpint(status.code, ==, code);
	return applied;
}

static bool
apply_version(struct vm *vm, uint64_t version, bool deleted)
{
	return apply_update(
	    vm, "kestane", deleted ? "" : CONTRACT, version, deleted, WV_OK);
}

/* A slow peer or a stale read must not restore a replaced version. */
static void
test_stale_offer(void)
{
	struct vm vm;

	start_vm(&vm);
	g_assert_true(apply_version(&vm, 9, false));
	g_assert_false(apply_version(&vm, 8, false));
	g_assert_false(apply_version(&vm, 9, false));
	g_assert_false(apply_version(&vm, 8, true));
	g_assert_cmpuint(wv_sync_counts(vm.sync).stale, ==, 3);
	g_assert_cmpuint(
	    wv_contract_table_latest(vm.table, wv_string_borrow("kestane"))
		->version,
	    ==, 9);
	stop_vm(&vm);
}

/* A late copy of a contract must not revert its deletion. */
static void
test_late_copy_keeps_deletion(void)
{
	struct vm vm;

	start_vm(&vm);
	g_assert_true(apply_version(&vm, 9, false));
	g_assert_true(apply_version(&vm, 10, true));
	g_assert_false(apply_version(&vm, 9, false));
	rcu_read_lock();
	g_assert_null(
	    wv_contract_table_find(vm.table, wv_string_borrow("kestane")));
	rcu_read_unlock();
	g_assert_true(apply_version(&vm, 11, false));
	stop_vm(&vm);
}

/* An invalid contract must not affect the one in force. */
static void
test_invalid_offer(void)
{
	struct vm vm;

	start_vm(&vm);
	apply_version(&vm, 5, false);
	g_assert_false(apply_update(
	    &vm, "kestane", "{\"rate\":1}", 6, false, WV_CONTRACT_INVALID));
	g_assert_false(apply_update(
	    &vm, "trinacria", CONTRACT, 6, false, WV_CONTRACT_INVALID));
	g_assert_false(
	    apply_update(&vm, "a/b", "", 6, true, WV_CONTRACT_INVALID));
	g_assert_false(
	    apply_update(&vm, "trinacria", "", 0, true, WV_CONTRACT_INVALID));
	g_assert_cmpuint(
	    wv_contract_table_latest(vm.table, wv_string_borrow("kestane"))
		->version,
	    ==, 5);
	stop_vm(&vm);
}

/* Contracts must not count as loaded until a source has confirmed them. */
static void
test_loaded(void)
{
	struct vm vm;

	start_vm(&vm);
	apply_version(&vm, 5, false);
	g_assert_false(wv_sync_is_loaded(vm.sync));
	wv_sync_record_confirmation(vm.sync, 12);
	g_assert_true(wv_sync_is_loaded(vm.sync));
	g_assert_cmpfloat(wv_sync_confirmed_at(vm.sync), ==, 12);
	stop_vm(&vm);
}

/* Peers must reach equal digests whatever the order of the updates. */
static void
test_exchange(void)
{
	struct vm a, b;

	start_vm(&a);
	start_vm(&b);
	apply_version(&a, 5, false);
	g_assert_true(wv_sync_has_different_digest(
	    b.sync, wv_contract_table_digest(a.table)));
	apply_version(&b, 6, true);
	apply_version(&b, 5, false);
	apply_version(&a, 6, true);
	g_assert_false(wv_sync_has_different_digest(
	    b.sync, wv_contract_table_digest(a.table)));
	stop_vm(&a);
	stop_vm(&b);
}

#define N_VMS 5

/*
 * Creates the member list of one VM. Bit i of the mask is set if it knows
 * VM i. The last VM is in another zone than the others.
 */
static struct wv_members *
create_members(unsigned self, unsigned known)
{
	static const char *const names[N_VMS] = {"a", "b", "c", "d", "e"};
	struct wv_member entry = {.zone = wv_string_borrow("z1"),
	    .peer_address = wv_string_borrow("127.0.0.1:1"),
	    .caller_address = wv_string_borrow("127.0.0.1:2"),
	    .state = WV_MEMBER_LIVE,
	    .heartbeat = 1};
	struct wv_members *members;

	entry.id.incarnation = 1;
	entry.id.name = wv_string_borrow(names[self]);
	members = wv_members_create(&entry, 0);
	for (unsigned i = 0; i < N_VMS; i++) {
		if (i == self || (known >> i & 1) == 0)
			continue;
		entry.id.name = wv_string_borrow(names[i]);
		/* Watchers are chosen only among the VMs of the own zone. */
		entry.zone = wv_string_borrow(i == 4 ? "z2" : "z1");
		wv_members_apply_entry(members, 0, &entry, true);
	}
	return members;
}

/*
 * A VM that missed changes must not report their revision as known, or no peer
 * would send them again.
 */
static void
test_revision_has_no_gap(void)
{
	struct wv_contract_table *table = wv_contract_table_create();
	struct wv_sync *sync = wv_sync_create(table);

	g_assert_false(wv_sync_advance_revision(sync, 5, 9));
	g_assert_cmpuint(wv_sync_revision(sync), ==, 0);
	g_assert_true(wv_sync_advance_revision(sync, 0, 5));
	g_assert_true(wv_sync_advance_revision(sync, 5, 9));
	g_assert_false(wv_sync_advance_revision(sync, 10, 12));
	g_assert_true(wv_sync_advance_revision(sync, 3, 7));
	g_assert_cmpuint(wv_sync_revision(sync), ==, 9);
	wv_sync_destroy(sync);
	wv_contract_table_destroy(table);
}

/* A peer must be sent exactly what it lacks by its reported revision. */
static void
test_chooses_exchange(void)
{
	struct wv_contract_table *table = wv_contract_table_create();
	struct wv_sync *sync = wv_sync_create(table);
	uint64_t digest = wv_contract_table_digest(table);

	wv_sync_advance_revision(sync, 0, 7);
	g_assert_cmpint(
	    wv_sync_choose_exchange(sync, 0, 5, digest), ==, WV_SYNC_CHANGES);
	g_assert_cmpint(
	    wv_sync_choose_exchange(sync, 0, 7, digest), ==, WV_SYNC_NOTHING);
	g_assert_cmpint(wv_sync_choose_exchange(sync, 0, 9, digest + 1), ==,
	    WV_SYNC_NOTHING);
	g_assert_cmpint(wv_sync_choose_exchange(sync, 0, 7, digest + 1), ==,
	    WV_SYNC_FULL_TABLE);
	g_assert_cmpint(wv_sync_choose_exchange(sync, 10, 7, digest + 1), ==,
	    WV_SYNC_NOTHING);
	g_assert_cmpint(wv_sync_choose_exchange(sync,
			    WV_SYNC_MIN_FULL_TABLE_INTERVAL, 7, digest + 1),
	    ==, WV_SYNC_FULL_TABLE);
	wv_sync_destroy(sync);
	wv_contract_table_destroy(table);
}

/* Counts the watchers among the VMs in the mask. */
static unsigned
count_watchers(unsigned known)
{
	unsigned n = 0;

	for (unsigned i = 0; i < 4; i++) {
		struct wv_members *members;

		if ((known >> i & 1) == 0)
			continue;
		members = create_members(i, known);
		n += wv_sync_is_watcher(members) ? 1 : 0;
		wv_members_destroy(members);
	}
	return n;
}

/*
 * Without a watcher a zone receives changes late; with too many it overloads
 * the store.
 */
static void
test_watchers(void)
{
	for (unsigned known = 1; known < 1U << N_VMS; known++) {
		unsigned in_zone = (unsigned)__builtin_popcount(known & 0xf);

		g_assert_cmpuint(count_watchers(known), ==,
		    MIN(in_zone, WV_WATCHERS_PER_ZONE));
	}
}

/*
 * Without a watcher, a zone whose VMs all drain would miss changes until they
 * exit.
 */
static void
test_draining_watcher(void)
{
	struct wv_members *members = create_members(0, 1);

	wv_members_set_draining(members);
	g_assert_true(wv_sync_is_watcher(members));
	wv_members_destroy(members);
}

int
main(int argc, char **argv)
{
	int result;

	rcu_register_thread();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sync/stale-offer", test_stale_offer);
	g_test_add_func("/sync/deletion", test_late_copy_keeps_deletion);
	g_test_add_func("/sync/invalid", test_invalid_offer);
	g_test_add_func("/sync/loaded", test_loaded);
	g_test_add_func("/sync/exchange", test_exchange);
	g_test_add_func("/sync/revision", test_revision_has_no_gap);
	g_test_add_func("/sync/decides", test_chooses_exchange);
	g_test_add_func("/sync/watchers", test_watchers);
	g_test_add_func("/sync/draining-watcher", test_draining_watcher);
	result = g_test_run();
	rcu_unregister_thread();
	return result;
}
