/**
 * @file
 * Tests of the top-k merge of parts.
 */
#include <string.h>

#include <glib.h>

#include "wisteriavane/merge.h"

static struct wv_string
make_records(const char *letters, size_t remainder)
{
	size_t n = strlen(letters);
	struct wv_string part = {g_malloc0(n * WV_RECORD_SIZE + remainder + 1),
	    n * WV_RECORD_SIZE + remainder};

	for (size_t i = 0; i < n; i++)
		memset(
		    part.data + i * WV_RECORD_SIZE, letters[i], WV_RECORD_SIZE);
	memset(part.data + n * WV_RECORD_SIZE, 'z', remainder);
	return part;
}

static void
check_merge(const char *a, const char *b, size_t remainder, size_t top_k,
    const char *expected)
{
	struct wv_string parts[2] = {
	    make_records(a, remainder), make_records(b, 0)};
	struct wv_string merged = wv_merge_top_k(parts, 2, top_k);

	g_assert_cmpuint(merged.length, ==, strlen(expected) * WV_RECORD_SIZE);
	for (size_t i = 0; i < strlen(expected); i++)
		g_assert_cmpint(
		    merged.data[i * WV_RECORD_SIZE], ==, expected[i]);
	wv_string_clear(&parts[0]);
	wv_string_clear(&parts[1]);
	wv_string_clear(&merged);
}

static void
test_order(void)
{
	check_merge("acx", "bd", 0, 3, "xdc");
	check_merge("acx", "bd", 0, 10, "xdcba");
	check_merge("", "", 0, 3, "");
	check_merge("abc", "d", 0, 0, "");
}

static void
test_equal_records(void)
{
	check_merge("aab", "bba", 0, 4, "bbba");
	check_merge("bb", "bb", 0, 3, "bbb");
}

/* A remainder that is shorter than a record is ignored. */
static void
test_remainder(void)
{
	check_merge("ab", "c", 15, 5, "cba");
	check_merge("", "c", 15, 5, "c");
}

static gint
compare_descending(gconstpointer a, gconstpointer b)
{
	return memcmp(b, a, WV_RECORD_SIZE);
}

/* Compares the merge with a sort; bytes must be compared as unsigned. */
static void
test_against_sort(void)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int round = 0; round < 200; round++) {
		size_t n = (size_t)g_rand_int_range(random, 0, 60);
		size_t top_k = (size_t)g_rand_int_range(random, 1, 40);
		struct wv_string all = make_records("", n * WV_RECORD_SIZE);
		struct wv_string merged;

		for (size_t i = 0; i < all.length; i++)
			all.data[i] = (char)g_rand_int_range(random, 0, 256);
		merged = wv_merge_top_k(&all, 1, top_k);
		qsort(all.data, n, WV_RECORD_SIZE, compare_descending);
		g_assert_cmpmem(merged.data, merged.length, all.data,
		    MIN(n, top_k) * WV_RECORD_SIZE);
		wv_string_clear(&all);
		wv_string_clear(&merged);
	}
	g_rand_free(random);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gather/order", test_order);
	g_test_add_func("/gather/equal", test_equal_records);
	g_test_add_func("/gather/rest", test_remainder);
	g_test_add_func("/gather/sort", test_against_sort);
	return g_test_run();
}
