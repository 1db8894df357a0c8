/**
 * @file
 * Forwarding of requests to the VM that holds their lane, and handling of
 * requests that other VMs forward.
 */
#include <urcu.h>

#include "daemon/links_private.h"
#include "daemon/worker.h"

/** Time between scans of forwarded and parked requests, ms. */
#define SCAN_INTERVAL_MS 10.0
/** Time allowed after the deadline for the holder's answer to arrive, ms. */
#define ANSWER_GRACE_MS 100.0
/** Maximum number of times that a search is forwarded. */
#define MAX_FORWARDS 2
/** Maximum number of requests that wait for a holder. */
#define MAX_PARKED_REQUESTS 10000

/* A request that was forwarded and not answered yet. */
struct forward {
	struct request *request;
	uint64_t id;
	uint64_t link;
};

void
forwards_init(struct links *links)
{
	links->forwards = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&links->parked);
}

/*
 * Fails a request for which no holder was found in time. Only a request that
 * was never forwarded is known not to have run.
 */
static void
fail_without_holder(struct request *request)
{
	if (request->forward_count == 0)
		request_fail(request, WV_HOLDER_UNREACHABLE,
		    "no VM holds the lane of the back end");
	else if (request->kind == REQUEST_JOB)
		request_fail(request, WV_JOB_UNKNOWN,
		    "the holder was lost; ask again by key");
	else
		request_fail(
		    request, WV_NO_ANSWER, "the holder of the lane was lost");
}

/*
 * Queues a request until a holder of its lane is known; fails it if the queue
 * is full.
 */
static void
park(struct links *links, struct request *request)
{
	if (links->parked.length >= MAX_PARKED_REQUESTS) {
		fail_without_holder(request);
		return;
	}
	wv_counter_add(&links->daemon->stats.parked, 1);
	g_queue_push_tail(&links->parked, request);
}

static void
fill_forward(
    const struct request *request, Wisteriavane__Forward *body, wv_msec now)
{
	wisteriavane__forward__init(body);
	body->job = request->kind == REQUEST_JOB;
	body->customer = request->customer.data;
	body->back_end = request->back_end.data;
	body->rank = request->rank;
	body->text = request->text.data;
	body->key = request->key.data;
	body->time_left_ms = request->deadline - now;
	body->coverage_minimum = request->coverage_minimum;
	body->hops = request->hops + 1;
}

static void
forward_to(struct links *links, struct wv_string peer, struct request *request,
    wv_msec now)
{
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	struct link *link = links_open(links, peer);
	struct forward *forward;
	Wisteriavane__Forward body;
	GByteArray *bytes;

	if (link == NULL) {
		park(links, request);
		return;
	}
	forward = g_new0(struct forward, 1);
	forward->request = request;
	forward->id = ++links->next_id;
	forward->link = link->id;
	request->forward_count++;
	g_hash_table_insert(links->forwards, &forward->id, forward);
	fill_forward(request, &body, now);
	body.id = forward->id;
	frame.body_case = WISTERIAVANE__FRAME__BODY_FORWARD;
	frame.forward = &body;
	bytes = links_encode(links, &frame);
	wv_counter_add(&links->daemon->stats.forwarded, 1);
	link_write(link, bytes);
	g_byte_array_unref(bytes);
}

/* Sends a request to the holder of its lane, or parks it if none is known. */
static void
route_request(struct links *links, struct request *request, wv_msec now)
{
	const struct routing *routing;
	const struct route *found;
	struct wv_string peer = {NULL, 0};
	struct worker *worker = NULL;

	rcu_read_lock();
	routing = routing_get_current(&links->daemon->routing);
	found = routing_find_route(routing, request->back_end, request->lane);
	if (found != NULL && found->local)
		worker = links->daemon->workers[found->worker];
	else if (found != NULL && found->holder_address.length > 0)
		peer = wv_string_copy(found->holder_address);
	rcu_read_unlock();
	if (worker != NULL)
		worker_submit(worker, request);
	else if (peer.length > 0)
		forward_to(links, peer, request, now);
	else
		park(links, request);
	wv_string_clear(&peer);
}

static void
on_route(void *owner, struct mailbox_task *task)
{
	struct links *links = owner;

	route_request(links, (struct request *)task, daemon_now(links->daemon));
}

void
links_route(struct links *links, struct request *request)
{
	mailbox_post(&links->mailbox, &request->task, on_route);
}

static void
on_park(void *owner, struct mailbox_task *task)
{
	park(owner, (struct request *)task);
}

void
links_park(struct links *links, struct request *request)
{
	mailbox_post(&links->mailbox, &request->task, on_park);
}

/* Starts a request that another VM forwards. */
static void
receive_forward(
    struct links *links, uint64_t link, const Wisteriavane__Forward *body)
{
	struct daemon *daemon = links->daemon;
	struct request *request =
	    request_create(daemon, body->job ? REQUEST_JOB : REQUEST_SEARCH);
	const struct route *found;

	wv_counter_add(&daemon->stats.forwarded_in, 1);
	request->link_id = link;
	request->link_request_id = body->id;
	request->customer = wv_string_copy(wv_string_borrow(body->customer));
	request->back_end = wv_string_copy(wv_string_borrow(body->back_end));
	request->text = wv_string_copy(wv_string_borrow(body->text));
	request->key = wv_string_copy(wv_string_borrow(body->key));
	request->rank =
	    body->rank < WV_RANK_COUNT ? body->rank : WV_RANK_BACKGROUND;
	request->deadline = request->arrived + body->time_left_ms;
	request->coverage_minimum = body->coverage_minimum;
	request->hops = body->hops;
	rcu_read_lock();
	found = routing_find_route(routing_get_current(&daemon->routing),
	    request->back_end, request->lane);
	if (found != NULL && found->local) {
		worker_submit(daemon->workers[found->worker], request);
		request = NULL;
	}
	rcu_read_unlock();
	if (request != NULL)
		request_fail(request, WV_HOLDER_UNREACHABLE,
		    "this VM does not hold the lane");
}

static GArray *
read_hits(const Wisteriavane__Forwarded *body)
{
	GArray *hits = g_array_new(FALSE, TRUE, sizeof(struct wv_hit));
	struct wv_hit hit;

	for (size_t i = 0; i < body->n_hits; i++) {
		hit.id = wv_string_borrow(body->hits[i]->id);
		hit.score = body->hits[i]->score;
		hit.text = wv_string_borrow(body->hits[i]->text);
		g_array_append_val(hits, hit);
	}
	return hits;
}

static void
fill_outcome(const Wisteriavane__Forwarded *body, const GArray *hits,
    struct request_outcome *outcome)
{
	struct wv_answer *answer = &outcome->answer;

	wv_status_set(
	    &answer->status, (enum wv_code)body->code, "%s", body->message);
	answer->full = body->full;
	answer->started = body->started;
	answer->coverage.shards = body->shards;
	answer->coverage.shards_total = body->shards_total;
	answer->coverage.documents = body->documents;
	answer->coverage.documents_total = body->documents_total;
	answer->index_version = body->index_version;
	answer->map = body->map;
	answer->hits = (const struct wv_hit *)(void *)hits->data;
	answer->n_hits = hits->len;
	answer->attempts = body->attempts;
	outcome->state = (enum wv_job_state)body->job_state;
	outcome->result = wv_string_borrow(body->result);
}

/* Handles the answer to a request that this VM forwarded. */
static void
receive_answer(struct links *links, const Wisteriavane__Forwarded *body)
{
	struct forward *forward =
	    g_hash_table_lookup(links->forwards, &body->id);
	struct request_outcome outcome = {0};
	struct request *request;
	GArray *hits;

	if (forward == NULL)
		return;
	request = forward->request;
	g_hash_table_remove(links->forwards, &forward->id);
	g_free(forward);
	if (body->code == WV_HOLDER_UNREACHABLE) {
		/* The peer no longer holds the lane and ran nothing. */
		request->forward_count--;
		park(links, request);
		return;
	}
	hits = read_hits(body);
	fill_outcome(body, hits, &outcome);
	request_answer(request, &outcome);
	g_array_unref(hits);
}

void
forwards_handle_frame(
    struct links *links, uint64_t link, const Wisteriavane__Frame *frame)
{
	if (frame->body_case == WISTERIAVANE__FRAME__BODY_FORWARD)
		receive_forward(links, link, frame->forward);
	else
		receive_answer(links, frame->forwarded);
}

/*
 * Removes the forwards that were sent on a link or whose deadline is earlier
 * than the given one, and returns their requests (struct request).
 */
static GPtrArray *
remove_forwards(struct links *links, uint64_t link, wv_msec deadline)
{
	GPtrArray *removed = g_ptr_array_new();
	struct forward *forward;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, links->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		forward = value;
		if (forward->link != link &&
		    forward->request->deadline >= deadline)
			continue;
		g_ptr_array_add(removed, forward->request);
		g_hash_table_iter_remove(&iter);
		g_free(forward);
	}
	return removed;
}

void
forwards_link_closed(struct links *links, uint64_t link, bool sent)
{
	GPtrArray *lost = remove_forwards(links, link, -WV_MSEC_NEVER);
	struct request *request;

	for (guint i = 0; i < lost->len; i++) {
		request = lost->pdata[i];
		wv_counter_add(&links->daemon->stats.forwards_lost, 1);
		if (!sent)
			request->forward_count--;
		if (sent &&
		    (request->kind == REQUEST_JOB ||
			request->forward_count >= MAX_FORWARDS))
			fail_without_holder(request);
		else
			park(links, request);
	}
	g_ptr_array_unref(lost);
}

static void
expire_forwards(struct links *links, wv_msec now)
{
	GPtrArray *expired = remove_forwards(links, 0, now - ANSWER_GRACE_MS);

	for (guint i = 0; i < expired->len; i++) {
		struct request *request = expired->pdata[i];

		if (request->kind == REQUEST_JOB)
			request_fail(request, WV_JOB_UNKNOWN,
			    "no outcome within the deadline; ask again by key");
		else
			request_fail(request, WV_DEADLINE_EXCEEDED,
			    "no answer from the holder within the deadline");
	}
	g_ptr_array_unref(expired);
}

void
forwards_tick(struct links *links, wv_msec now)
{
	struct request *request;
	guint n;

	if (now < links->next_scan)
		return;
	links->next_scan = now + SCAN_INTERVAL_MS;
	expire_forwards(links, now);
	for (n = links->parked.length; n > 0; n--) {
		request = g_queue_pop_head(&links->parked);
		if (request->deadline <= now) {
			wv_counter_add(&links->daemon->stats.parked_expired, 1);
			fail_without_holder(request);
		} else {
			route_request(links, request, now);
		}
	}
}

bool
forwards_has_pending(const struct links *links)
{
	return links->parked.length > 0 ||
	    g_hash_table_size(links->forwards) > 0;
}

void
forwards_clear(struct links *links)
{
	GPtrArray *remaining = remove_forwards(links, 0, WV_MSEC_NEVER);

	for (guint i = 0; i < remaining->len; i++)
		fail_without_holder(remaining->pdata[i]);
	g_ptr_array_unref(remaining);
	while (links->parked.length > 0)
		fail_without_holder(g_queue_pop_head(&links->parked));
	g_hash_table_destroy(links->forwards);
}

static GPtrArray *
pack_hits(const struct wv_answer *answer)
{
	GPtrArray *hits = g_ptr_array_new_with_free_func(g_free);
	Wisteriavane__Hit *hit;

	for (size_t i = 0; i < answer->n_hits; i++) {
		hit = g_new0(Wisteriavane__Hit, 1);
		wisteriavane__hit__init(hit);
		hit->id = answer->hits[i].id.data;
		hit->score = answer->hits[i].score;
		hit->text = answer->hits[i].text.data;
		g_ptr_array_add(hits, hit);
	}
	return hits;
}

void
links_answer_forward(struct links *links, const struct request *request,
    const struct request_outcome *outcome)
{
	const struct wv_answer *answer = &outcome->answer;
	Wisteriavane__Forwarded body = WISTERIAVANE__FORWARDED__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	GPtrArray *hits = pack_hits(answer);

	body.id = request->link_request_id;
	body.code = (uint32_t)answer->status.code;
	body.message = (char *)answer->status.message;
	body.full = answer->full;
	body.started = answer->started;
	body.shards = answer->coverage.shards;
	body.shards_total = answer->coverage.shards_total;
	body.documents = answer->coverage.documents;
	body.documents_total = answer->coverage.documents_total;
	body.index_version = answer->index_version;
	body.map = answer->map;
	body.n_hits = hits->len;
	body.hits = (Wisteriavane__Hit **)hits->pdata;
	body.attempts = answer->attempts;
	body.job_state = outcome->state;
	body.result = outcome->result.data != NULL ? outcome->result.data : "";
	frame.body_case = WISTERIAVANE__FRAME__BODY_FORWARDED;
	frame.forwarded = &body;
	links_reply(links, request->link_id, &frame);
	g_ptr_array_unref(hits);
}
