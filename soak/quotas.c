/**
 * @file
 * Check that the requests of each team stay within its quota.
 */
#include <string.h>

#include "soak/quotas.h"

/* A request of a team with a limit. */
struct request {
	unsigned team;
	wv_msec sent_at;
	wv_msec attempted_at; /* first attempt; 0: none was seen */
	bool arrived; /* at a searcher */
	bool refused;
};

/* Answers to a team's requests after the last fault. */
struct answers {
	unsigned all;
	unsigned served;
};

struct quotas {
	struct soak *soak;
	struct quotas_config config;
	unsigned n; /* teams */
	struct quotas_limit *limits;
	struct answers *answers;
	GHashTable *requests; /* struct request by identifier; owned */
};

struct quotas *
quotas_create(struct soak *soak, const struct quotas_config *config,
    const struct quotas_limit *limits, unsigned n)
{
	struct quotas *quotas = g_new0(struct quotas, 1);

	quotas->soak = soak;
	quotas->config = *config;
	quotas->n = n;
	quotas->limits = g_new(struct quotas_limit, n);
	memcpy(quotas->limits, limits, n * sizeof(*limits));
	quotas->answers = g_new0(struct answers, n);
	quotas->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quotas;
}

void
quotas_destroy(struct quotas *quotas)
{
	g_hash_table_destroy(quotas->requests);
	g_free(quotas->answers);
	g_free(quotas->limits);
	g_free(quotas);
}

void
quotas_note_sent(
    struct quotas *quotas, unsigned team, const char *id, wv_msec at)
{
	struct request *request;

	if (!(quotas->limits[team].rate > 0))
		return;
	request = g_new0(struct request, 1);
	request->team = team;
	request->sent_at = at;
	g_hash_table_insert(quotas->requests, g_strdup(id), request);
}

void
quotas_note_attempt(struct quotas *quotas, const char *id, wv_msec at)
{
	struct request *request = g_hash_table_lookup(quotas->requests, id);

	if (request != NULL && request->attempted_at == 0)
		request->attempted_at = at;
}

/* Records a request that was refused and has reached a searcher. */
static void
check_refused(
    const struct quotas *quotas, const struct request *request, const char *id)
{
	if (request->refused && request->arrived)
		soak_record_violation(quotas->soak,
		    "request %s was refused by its quota and has reached a "
		    "searcher",
		    id);
}

void
quotas_note_arrival(struct quotas *quotas, const char *id)
{
	struct request *request = g_hash_table_lookup(quotas->requests, id);

	if (request == NULL || request->arrived)
		return;
	request->arrived = true;
	check_refused(quotas, request, id);
}

void
quotas_note_refused(struct quotas *quotas, unsigned team, const char *id)
{
	struct request *request = g_hash_table_lookup(quotas->requests, id);

	if (request == NULL) {
		soak_record_violation(quotas->soak,
		    "request %s of team %u without a limit was refused by a "
		    "quota",
		    id, team);
		return;
	}
	request->refused = true;
	check_refused(quotas, request, id);
}

void
quotas_note_answer_after_faults(
    struct quotas *quotas, unsigned team, bool served)
{
	quotas->answers[team].all++;
	quotas->answers[team].served += served;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	wv_msec first = *(const wv_msec *)a;
	wv_msec second = *(const wv_msec *)b;

	return (first > second) - (first < second);
}

/* Returns, in order, the times of a team's requests; the caller owns them. */
static GArray *
collect_times(const struct quotas *quotas, unsigned team, bool attempts)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(wv_msec));
	struct request *request;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quotas->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		request = value;
		if (request->team != team || !request->arrived)
			continue;
		if (!attempts)
			g_array_append_val(times, request->sent_at);
		else if (request->attempted_at > 0)
			g_array_append_val(times, request->attempted_at);
	}
	g_array_sort(times, compare_times);
	return times;
}

/* Finds the window with the most requests; returns their number. */
static unsigned
find_greatest_window(const GArray *times, wv_msec window, wv_msec *end)
{
	const wv_msec *at = (const wv_msec *)(const void *)times->data;
	unsigned greatest = 0;
	unsigned first = 0;

	for (unsigned i = 0; i < times->len; i++) {
		while (at[i] - at[first] >= window)
			first++;
		if (i + 1 - first > greatest) {
			greatest = i + 1 - first;
			*end = at[i];
		}
	}
	return greatest;
}

/* Returns the greatest window of a team as a part of what is permitted. */
static double
check_windows(const struct quotas *quotas, unsigned team, bool attempts)
{
	const struct quotas_config *config = &quotas->config;
	const struct quotas_limit *limit = &quotas->limits[team];
	double permitted = (limit->rate * config->window + limit->burst) *
		(1 + config->overshoot) +
	    config->slack;
	GArray *times = collect_times(quotas, team, attempts);
	wv_msec end = 0;
	unsigned greatest =
	    find_greatest_window(times, config->window * 1000, &end);

	if (greatest > permitted)
		soak_record_violation(quotas->soak,
		    "%u requests of team %u, %s in the %.0f ms up to %.0f ms, "
		    "have reached a searcher; its quota is %.1f",
		    greatest, team, attempts ? "first attempted" : "sent",
		    config->window * 1000, end - soak_started_at(quotas->soak),
		    permitted);
	g_array_unref(times);
	return greatest / permitted;
}

static void
count_requests(const struct quotas *quotas, struct quotas_summary *summary)
{
	const struct request *request;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quotas->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		request = value;
		summary->requests++;
		summary->refused += request->refused;
	}
}

void
quotas_check(const struct quotas *quotas, struct quotas_summary *summary)
{
	memset(summary, 0, sizeof(*summary));
	count_requests(quotas, summary);
	for (unsigned i = 0; i < quotas->n; i++) {
		if (quotas->limits[i].rate > 0) {
			double sent = check_windows(quotas, i, false);
			double attempted = check_windows(quotas, i, true);

			summary->greatest =
			    MAX(summary->greatest, MAX(sent, attempted));
		}
		if (quotas->answers[i].all > 0 &&
		    quotas->answers[i].served == 0)
			soak_record_violation(quotas->soak,
			    "none of %u requests of team %u was served after "
			    "the last fault",
			    quotas->answers[i].all, i);
	}
}
