/**
 * @file
 * Check that cold searchers get no more requests than they may.
 */
#include "soak/cold_limit.h"

/** Window in which requests are counted, ms. */
#define WINDOW 1000.0
/** Time for an answer to pass from the check to the VM and be read, ms. */
#define TOLD_SLACK 50.0

/* A searcher. Times are monotonic, ms. */
struct spell {
	wv_msec until; /* it is cold */
	wv_msec *told_at; /* for each VM; 0: it was not told */
	GArray *times; /* of the counted requests in the last window */
};

struct cold_limit {
	struct soak *soak;
	struct cold_limit_config config;
	struct spell *spells; /* of each searcher, the latest one */
	struct cold_limit_summary summary;
};

struct cold_limit *
cold_limit_create(struct soak *soak, const struct cold_limit_config *config)
{
	struct cold_limit *limit = g_new0(struct cold_limit, 1);

	limit->soak = soak;
	limit->config = *config;
	limit->spells = g_new0(struct spell, config->searchers);
	for (unsigned i = 0; i < config->searchers; i++) {
		limit->spells[i].told_at = g_new0(wv_msec, config->vms);
		limit->spells[i].times =
		    g_array_new(FALSE, FALSE, sizeof(wv_msec));
	}
	return limit;
}

void
cold_limit_destroy(struct cold_limit *limit)
{
	for (unsigned i = 0; i < limit->config.searchers; i++) {
		g_free(limit->spells[i].told_at);
		g_array_unref(limit->spells[i].times);
	}
	g_free(limit->spells);
	g_free(limit);
}

void
cold_limit_begin(
    struct cold_limit *limit, unsigned searcher, wv_msec now, wv_msec until)
{
	struct spell *spell = &limit->spells[searcher];

	limit->summary.spells++;
	/* VMs that know of a spell need not know of a longer one. */
	if (now >= spell->until || until > spell->until) {
		for (unsigned i = 0; i < limit->config.vms; i++)
			spell->told_at[i] = 0;
		g_array_set_size(spell->times, 0);
	}
	spell->until = MAX(spell->until, until);
}

void
cold_limit_note_start(struct cold_limit *limit, unsigned vm)
{
	for (unsigned i = 0; i < limit->config.searchers; i++)
		limit->spells[i].told_at[vm] = 0;
}

void
cold_limit_note_resume(struct cold_limit *limit, unsigned vm, wv_msec now)
{
	for (unsigned i = 0; i < limit->config.searchers; i++) {
		wv_msec *told_at = &limit->spells[i].told_at[vm];

		if (*told_at > 0)
			*told_at = now;
	}
}

void
cold_limit_note_told(
    struct cold_limit *limit, unsigned searcher, unsigned vm, wv_msec now)
{
	wv_msec *told_at = &limit->spells[searcher].told_at[vm];

	if (*told_at <= 0)
		*told_at = now;
}

/* Drops the requests that are no longer in the window. */
static void
drop_old(GArray *times, wv_msec now)
{
	guint n = 0;

	while (
	    n < times->len && now - g_array_index(times, wv_msec, n) >= WINDOW)
		n++;
	if (n > 0)
		g_array_remove_range(times, 0, n);
}

void
cold_limit_note_attempt(
    struct cold_limit *limit, unsigned searcher, unsigned vm, wv_msec now)
{
	struct spell *spell = &limit->spells[searcher];
	wv_msec told_at = spell->told_at[vm];

	if (now >= spell->until || told_at <= 0 || now <= told_at + TOLD_SLACK)
		return;
	drop_old(spell->times, now);
	g_array_append_val(spell->times, now);
	limit->summary.counted++;
	limit->summary.greatest =
	    MAX(limit->summary.greatest, spell->times->len);
	if (spell->times->len > limit->config.permitted)
		soak_record_violation(limit->soak,
		    "cold searcher %u got %u requests in a second, the last "
		    "one from vm%u; %.1f are permitted",
		    searcher, spell->times->len, vm, limit->config.permitted);
}

void
cold_limit_summarize(
    const struct cold_limit *limit, struct cold_limit_summary *summary)
{
	*summary = limit->summary;
}
