/**
 * @file
 * Merging of replies and coverage of one request.
 */
#include <string.h>

#include "src/query.h"

struct query *
wv_query_create(void)
{
	struct query *query = g_new0(struct query, 1);

	query->timer.kind = TIMER_QUERY;
	query->text = g_string_new(NULL);
	query->key = g_string_new(NULL);
	query->bytes = g_string_new(NULL);
	query->hits = g_array_new(FALSE, FALSE, sizeof(struct stored_hit));
	return query;
}

void
wv_query_destroy(struct query *query)
{
	g_string_free(query->text, TRUE);
	g_string_free(query->key, TRUE);
	g_string_free(query->bytes, TRUE);
	g_array_free(query->hits, TRUE);
	g_free(query->shards);
	g_free(query);
}

static void
copy_text(GString *to, struct wv_string from)
{
	g_string_truncate(to, 0);
	if (from.length > 0)
		g_string_append_len(to, from.data, (gssize)from.length);
}

void
wv_query_begin(struct query *query, const struct wv_request *request,
    double coverage_minimum, size_t n_shards)
{
	query->id = request->id;
	query->work = request->work;
	query->rank = request->rank;
	query->deadline = request->deadline;
	query->coverage_minimum = coverage_minimum;
	query->restarts = 0;
	query->attempts = 0;
	query->failure = WV_OK;
	copy_text(query->text, request->text);
	copy_text(query->key, request->key);
	if (query->shards_capacity < n_shards) {
		g_free(query->shards);
		query->shards = g_new(struct shard, n_shards);
		query->shards_capacity = n_shards;
	}
	query->n_shards = n_shards;
	memset(query->shards, 0, n_shards * sizeof(struct shard));
	for (size_t i = 0; i < n_shards; i++) {
		query->shards[i].query = query;
		query->shards[i].waiter.rank = request->rank;
		query->shards[i].waiter.deadline = request->deadline;
	}
	query->n_open = n_shards;
	query->n_incomplete = 0;
	g_array_set_size(query->hits, 0);
	g_string_truncate(query->bytes, 0);
}

void
wv_query_reset(struct query *query, struct snapshot snapshot)
{
	query->snapshot = snapshot;
	query->n_open = query->n_shards;
	query->n_incomplete = 0;
	query->failure = WV_OK;
	g_array_set_size(query->hits, 0);
	g_string_truncate(query->bytes, 0);
	for (size_t i = 0; i < query->n_shards; i++) {
		struct shard *shard = &query->shards[i];

		shard->complete = false;
		shard->improving = false;
		shard->documents = 0;
		shard->documents_total = 0;
		shard->first_hit = 0;
		shard->n_hits = 0;
		shard->n_tried = 0;
	}
}

bool
wv_query_matches(const struct query *query, const struct wv_shard_reply *reply)
{
	return reply->index_version == query->snapshot.version &&
	    reply->map == query->snapshot.map;
}

/* Appends a string to the query's bytes; returns its offset. */
static size_t
store_bytes(struct query *query, struct wv_string string)
{
	size_t offset = query->bytes->len;

	if (string.length > 0)
		g_string_append_len(
		    query->bytes, string.data, (gssize)string.length);
	return offset;
}

static void
store_hit(struct query *query, const struct wv_hit *hit)
{
	struct stored_hit stored;

	stored.score = hit->score;
	stored.id = store_bytes(query, hit->id);
	stored.id_length = hit->id.length;
	stored.text = store_bytes(query, hit->text);
	stored.text_length = hit->text.length;
	g_array_append_val(query->hits, stored);
}

/* Returns whether a shard can no longer be complete. */
static bool
is_incomplete(const struct shard *shard)
{
	if (shard->state == SHARD_ANSWERED)
		return !shard->complete && !shard->improving;
	return shard->state == SHARD_LEFT_OUT;
}

/* Updates the count of incomplete shards after a shard has changed. */
static void
update_incomplete_count(
    struct query *query, const struct shard *shard, bool was_incomplete)
{
	if (is_incomplete(shard) && !was_incomplete)
		query->n_incomplete++;
	else if (!is_incomplete(shard) && was_incomplete)
		query->n_incomplete--;
}

void
wv_query_set_improving(struct query *query, struct shard *shard, bool improving)
{
	bool was_incomplete = is_incomplete(shard);

	if (shard->improving == improving)
		return;
	shard->improving = improving;
	if (improving)
		query->n_open++;
	else
		query->n_open--;
	update_incomplete_count(query, shard, was_incomplete);
}

void
wv_query_merge(struct query *query, struct shard *shard,
    const struct wv_shard_reply *reply)
{
	bool was_incomplete = is_incomplete(shard);

	if (shard->state != SHARD_ANSWERED && shard->state != SHARD_LEFT_OUT)
		query->n_open--;
	shard->state = SHARD_ANSWERED;
	shard->documents = reply->documents;
	shard->documents_total = reply->documents_total;
	/* Fewer documents than the total: partial, whatever the flag. */
	shard->complete = !reply->partial &&
	    (reply->documents_total == 0 ||
		reply->documents >= reply->documents_total);
	update_incomplete_count(query, shard, was_incomplete);
	shard->first_hit = query->hits->len;
	shard->n_hits = reply->n_hits;
	for (size_t i = 0; i < reply->n_hits; i++)
		store_hit(query, &reply->hits[i]);
}

void
wv_query_leave_out(
    struct query *query, struct shard *shard, enum wv_code reason)
{
	if (shard->state == SHARD_ANSWERED || shard->state == SHARD_LEFT_OUT)
		return;
	shard->state = SHARD_LEFT_OUT;
	query->failure = reason;
	query->n_open--;
	query->n_incomplete++;
}

/*
 * Returns the number of documents of a shard: from its reply, or else as last
 * reported to its service for this snapshot. 0 if unknown.
 */
static uint64_t
shard_total(const struct query *query, const struct shard *shard)
{
	const struct service *service = shard->service;

	if (shard->documents_total > 0 || service == NULL)
		return shard->documents_total;
	if (service->documents_total_snapshot.version !=
		query->snapshot.version ||
	    service->documents_total_snapshot.map != query->snapshot.map)
		return 0;
	return service->documents_total;
}

void
wv_query_coverage(const struct query *query, struct wv_coverage *coverage)
{
	bool known = true;

	memset(coverage, 0, sizeof(*coverage));
	coverage->shards_total = (uint32_t)query->n_shards;
	for (size_t i = 0; i < query->n_shards; i++) {
		const struct shard *shard = &query->shards[i];
		uint64_t total = shard_total(query, shard);

		known = known && total > 0;
		coverage->documents_total += total;
		if (shard->state != SHARD_ANSWERED)
			continue;
		coverage->documents += shard->documents;
		if (shard->complete)
			coverage->shards++;
	}
	if (!known)
		coverage->documents_total = 0;
}

bool
wv_query_cannot_reach_minimum(const struct query *query)
{
	return (double)(query->n_shards - query->n_incomplete) <
	    query->coverage_minimum * (double)query->n_shards - 1e-9;
}

/* Returns whether any reply was merged, complete or partial. */
static bool
has_reply(const struct query *query)
{
	for (size_t i = 0; i < query->n_shards; i++) {
		if (query->shards[i].state == SHARD_ANSWERED)
			return true;
	}
	return false;
}

/* Sets the status of a search without any merged reply. */
static void
set_empty_status(
    const struct query *query, bool expired, struct wv_status *status)
{
	if (expired && query->attempts == 0)
		wv_status_set(status, WV_EXPIRED_IN_QUEUE,
		    "the deadline passed before a slot became free");
	else if (expired)
		wv_status_set(status, WV_DEADLINE_EXCEEDED,
		    "no shard answered before the deadline");
	else if (query->failure == WV_SNAPSHOT_UNAVAILABLE)
		wv_status_set(status, WV_SNAPSHOT_UNAVAILABLE,
		    "index version %" G_GUINT64_FORMAT
		    " of map %" G_GUINT64_FORMAT " is no longer held",
		    query->snapshot.version, query->snapshot.map);
	else
		wv_status_set(status, WV_NO_ANSWER, "no shard answered");
}

void
wv_query_evaluate(const struct query *query, bool expired,
    struct wv_coverage *coverage, struct wv_status *status)
{
	double fraction;

	wv_query_coverage(query, coverage);
	if (!has_reply(query)) {
		set_empty_status(query, expired, status);
		return;
	}
	fraction = (double)coverage->shards / coverage->shards_total;
	if (fraction < query->coverage_minimum - 1e-9)
		wv_status_set(status, WV_COVERAGE_BELOW_MINIMUM,
		    "%u of %u shards answered whole%s; coverage_minimum is %g",
		    coverage->shards, coverage->shards_total,
		    expired ? " before the deadline" : "",
		    query->coverage_minimum);
	else
		wv_status_clear(status);
}

/*
 * Orders hits by descending score, then by identifier, so that the result does
 * not depend on the order of replies.
 */
static int
compare_hits(gconstpointer left, gconstpointer right, gpointer data)
{
	const struct stored_hit *a = left;
	const struct stored_hit *b = right;
	const struct query *query = data;
	size_t length = MIN(a->id_length, b->id_length);
	int order;

	if (a->score != b->score)
		return a->score > b->score ? -1 : 1;
	order = memcmp(
	    query->bytes->str + a->id, query->bytes->str + b->id, length);
	if (order != 0)
		return order;
	return (a->id_length > b->id_length) - (a->id_length < b->id_length);
}

/*
 * Drops hits that no shard refers to any more; a replaced reply leaves such
 * hits behind. Returns the number of hits left.
 */
static size_t
drop_stale_hits(struct query *query)
{
	struct stored_hit *hits = (struct stored_hit *)query->hits->data;
	size_t referenced = 0;
	GArray *kept;

	for (size_t i = 0; i < query->n_shards; i++)
		referenced += query->shards[i].n_hits;
	if (referenced == query->hits->len)
		return referenced;
	kept = g_array_new(FALSE, FALSE, sizeof(struct stored_hit));
	for (size_t i = 0; i < query->n_shards; i++) {
		const struct shard *shard = &query->shards[i];

		if (shard->n_hits > 0)
			g_array_append_vals(
			    kept, &hits[shard->first_hit], shard->n_hits);
	}
	g_array_free(query->hits, TRUE);
	query->hits = kept;
	return kept->len;
}

size_t
wv_query_best_hits(struct query *query, struct wv_hit *hits, size_t max)
{
	size_t n = drop_stale_hits(query);
	char *bytes = query->bytes->str;

	g_array_sort_with_data(query->hits, compare_hits, query);
	if (n > max)
		n = max;
	for (size_t i = 0; i < n; i++) {
		const struct stored_hit *stored =
		    &g_array_index(query->hits, struct stored_hit, i);

		hits[i].score = stored->score;
		hits[i].id.data = bytes + stored->id;
		hits[i].id.length = stored->id_length;
		hits[i].text.data = bytes + stored->text;
		hits[i].text.length = stored->text_length;
	}
	return n;
}
