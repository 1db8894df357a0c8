/**
 * @file
 * Checks the exploration of roster changes: it must find a violation in each
 * faulty variant of the transition.
 */
#include "test/roster_model.h"

static const struct change two_join = {
    "two join", A | B | C, A | B | C | D | E, {0, 1}, {3, 4}};
static const struct change new_vm_claims = {
    "two join, one claims", A | B | C, A | B | C | D | E, {0, 3}, {1, 2}};
static const struct change one_replaced = {
    "one replaced", A | B | C, A | B | D, {0, 1}, {0, 0}};

static void
assert_found(const struct change *change, enum mutation mutation)
{
	bool truncated;
	bool violated = explore(change, mutation, &truncated);

	g_assert_true(violated || (SANITIZED && truncated));
}

/* A model that finds no violation in a faulty variant would prove nothing. */
static void
test_mutations(void)
{
	assert_found(&two_join, IGNORES_PREVIOUS_ROSTERS);
	assert_found(&two_join, RETIRES_BY_TIME);
	assert_found(&two_join, RETIRES_AT_ONCE);
	assert_found(&two_join, GRANTS_UNDER_OLD_ROSTERS);
	assert_found(&new_vm_claims, GRANTS_TO_NEW_VMS);
	assert_found(&one_replaced, REMOVED_VM_KEEPS_RUNNING);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster-mutations", test_mutations);
	return g_test_run();
}
