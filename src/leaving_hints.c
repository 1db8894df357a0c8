/**
 * @file
 * Hints about searchers that are leaving.
 *
 * A hint keeps its age when it is passed on, and one that is known does not
 * become younger, so that VMs can't keep a hint alive among themselves.
 */
#include "src/leaving_hints.h"
#include "src/private.h"

/** Age at which a hint has faded, ms. */
#define LIFETIME 60000.0
/**
 * Greatest age of a hint that is taken, ms. It is so far below LIFETIME that a
 * hint that has faded here is not taken again from a VM that has it longer.
 */
#define MAX_AGE 30000.0

struct leaving_hints {
	GPtrArray *searchers; /* borrowed struct wv_searcher */
};

struct leaving_hints *
leaving_hints_create(void)
{
	struct leaving_hints *hints = g_new0(struct leaving_hints, 1);

	hints->searchers = g_ptr_array_new();
	return hints;
}

void
leaving_hints_destroy(struct leaving_hints *hints)
{
	g_ptr_array_unref(hints->searchers);
	g_free(hints);
}

bool
wv_searcher_is_hinted(const struct wv_searcher *searcher, wv_msec now)
{
	return now - searcher->hinted_at < LIFETIME;
}

bool
leaving_hints_add(struct leaving_hints *hints, wv_msec now,
    struct wv_searcher *searcher, wv_msec age)
{
	/* Without the time of its start, a later one could be meant. */
	if (searcher->started == 0 || searcher->removed || !(age >= 0) ||
	    age > MAX_AGE || wv_searcher_is_hinted(searcher, now))
		return false;
	searcher->hinted_at = now - age;
	if (!g_ptr_array_find(hints->searchers, searcher, NULL))
		g_ptr_array_add(hints->searchers, searcher);
	return true;
}

void
leaving_hints_remove(struct leaving_hints *hints, struct wv_searcher *searcher)
{
	g_ptr_array_remove_fast(hints->searchers, searcher);
}

static void
remove_faded(struct leaving_hints *hints, wv_msec now)
{
	guint i = 0;

	while (i < hints->searchers->len) {
		if (wv_searcher_is_hinted(hints->searchers->pdata[i], now))
			i++;
		else
			g_ptr_array_remove_index_fast(hints->searchers, i);
	}
}

static gint
compare_newest_first(gconstpointer a, gconstpointer b)
{
	const struct wv_searcher *x = *(struct wv_searcher *const *)a;
	const struct wv_searcher *y = *(struct wv_searcher *const *)b;

	return (x->hinted_at < y->hinted_at) - (x->hinted_at > y->hinted_at);
}

size_t
leaving_hints_list(struct leaving_hints *hints, wv_msec now,
    struct wv_leaving_hint *list, size_t max)
{
	size_t n = 0;

	remove_faded(hints, now);
	g_ptr_array_sort(hints->searchers, compare_newest_first);
	for (guint i = 0; i < hints->searchers->len && n < max; i++) {
		const struct wv_searcher *searcher = hints->searchers->pdata[i];

		if (now - searcher->hinted_at > MAX_AGE || searcher->draining)
			continue;
		list[n++] = (struct wv_leaving_hint){.searcher = searcher->id,
		    .started = searcher->started,
		    .age = now - searcher->hinted_at};
	}
	return n;
}
