/**
 * @file
 * Tests of the record of changes: whoever applies what it is given reaches
 * the same objects, or is told to read the list.
 */
#include "wisteriavane/changes.h"

static void
add(struct wv_changes *changes, wv_msec now, uint64_t revision,
    const char *name, bool deleted)
{
	GPtrArray *list = wv_change_list_create();

	if (name != NULL)
		wv_change_list_add(list, wv_string_borrow(name),
		    g_strdup_printf("%s%s@%u", deleted ? "-" : "+", name,
			(unsigned)revision),
		    deleted);
	wv_changes_add(changes, now, revision, list, false);
	g_ptr_array_unref(list);
}

static int
after(const struct wv_changes *changes, uint64_t revision)
{
	GPtrArray *texts = g_ptr_array_new();
	bool outage;
	int n = -1;

	if (wv_changes_after(changes, revision, texts, &outage))
		n = (int)texts->len;
	g_ptr_array_free(texts, TRUE);
	return n;
}

static void
test_after(void)
{
	struct wv_changes *changes = wv_changes_create();

	wv_changes_reset(changes, 10);
	add(changes, 0, 12, "a", false);
	add(changes, 1, 15, NULL, false);
	add(changes, 2, 17, "b", false);
	g_assert_cmpint(after(changes, 9), ==, -1);
	g_assert_cmpint(after(changes, 10), ==, 2);
	g_assert_cmpint(after(changes, 12), ==, 1);
	g_assert_cmpint(after(changes, 16), ==, 1);
	g_assert_cmpint(after(changes, 17), ==, 0);
	g_assert_cmpuint(wv_changes_revision(changes), ==, 17);
	wv_changes_destroy(changes);
}

/* What is too old is forgotten, and that is said. */
static void
test_prune(void)
{
	struct wv_changes *changes = wv_changes_create();

	wv_changes_reset(changes, 10);
	add(changes, 0, 12, "a", false);
	add(changes, 30000, 14, "b", false);
	g_assert_cmpint(after(changes, 11), ==, -1);
	g_assert_cmpint(after(changes, 12), ==, 1);
	wv_changes_destroy(changes);
}

/* The first list of a process is no news for others; a later one is. */
static void
test_newest(void)
{
	struct wv_changes *changes = wv_changes_create();

	wv_changes_reset(changes, 10);
	g_assert_cmpuint(wv_changes_newest(changes), ==, 0);
	add(changes, 0, 12, NULL, false);
	g_assert_cmpuint(wv_changes_newest(changes), ==, 0);
	add(changes, 0, 13, "a", false);
	add(changes, 0, 19, NULL, false);
	g_assert_cmpuint(wv_changes_newest(changes), ==, 13);
	wv_changes_reset(changes, 30);
	wv_changes_announce(changes);
	g_assert_cmpuint(wv_changes_newest(changes), ==, 30);
	wv_changes_destroy(changes);
}

static void
test_all(void)
{
	struct wv_changes *changes = wv_changes_create();
	GPtrArray *texts = g_ptr_array_new();

	wv_changes_reset(changes, 10);
	wv_changes_put(changes, wv_string_borrow("a"), g_strdup("a"));
	wv_changes_put(changes, wv_string_borrow("b"), g_strdup("b"));
	add(changes, 0, 12, "a", true);
	add(changes, 0, 13, "b", false);
	add(changes, 0, 14, "c", false);
	wv_changes_all(changes, texts);
	g_assert_cmpuint(texts->len, ==, 2);
	g_ptr_array_free(texts, TRUE);
	wv_changes_destroy(changes);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/changes/after", test_after);
	g_test_add_func("/changes/prune", test_prune);
	g_test_add_func("/changes/newest", test_newest);
	g_test_add_func("/changes/all", test_all);
	return g_test_run();
}
