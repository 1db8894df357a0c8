/**
 * @file
 * Explores every order of events of a lease during a change of the roster. Two
 * VMs must never hold the lease of the lane at the same time.
 */
#include "test/roster_model.h"

static const struct change two_join = {
    "two join", A | B | C, A | B | C | D | E, {0, 1}, {3, 4}};
static const struct change new_vm_claims = {
    "two join, one claims", A | B | C, A | B | C | D | E, {0, 3}, {1, 2}};
static const struct change two_leave = {
    "two leave", A | B | C | D | E, A | B | C, {0, 1}, {3, 4}};
static const struct change one_replaced = {
    "one replaced", A | B | C, A | B | D, {0, 1}, {0, 0}};

/* Two holders at the same time would overload searchers and exceed limits. */
static void
test_all_orders(void)
{
	const struct change *const changes[] = {
	    &one_replaced, &two_leave, &two_join, &new_vm_claims};
	bool truncated;

	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		g_assert_false(explore(changes[i], NO_MUTATION, &truncated));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster-explore/all", test_all_orders);
	return g_test_run();
}
