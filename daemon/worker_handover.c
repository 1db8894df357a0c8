/**
 * @file
 * Hand-over of a lane. The previous holder reports to the next one which
 * attempts still take slots, and later when they end, so that the next holder
 * does not start more work than the searchers have slots.
 */
#include <string.h>

#include "daemon/control.h"
#include "daemon/links.h"
#include "daemon/worker_private.h"

/* Arguments of worker_hand_over(). */
struct handover_task {
	struct mailbox_task task;
	struct wv_string lane;
	struct wv_string peer;
};

/* Arguments of worker_adopt_attempts(). */
struct adopt_task {
	struct mailbox_task task;
	struct wv_string lane;
	GArray *running; /* struct wv_running_attempt, searchers owned */
	GArray *released; /* struct wv_attempt_id */
};

/* Collects running attempts for a frame and for lane->handed_over. */
struct running_list {
	GPtrArray *items; /* Wisteriavane__Running */
	GArray *attempts; /* struct wv_attempt_id */
	wv_msec now; /* monotonic, ms */
};

static void
fill_attempt(Wisteriavane__Running *out, struct wv_attempt_id attempt)
{
	wisteriavane__running__init(out);
	out->vm = attempt.vm_hash;
	out->incarnation = attempt.incarnation;
	out->counter = attempt.counter;
}

static void
add_running(void *data, const struct wv_running_attempt *attempt)
{
	struct running_list *list = data;
	Wisteriavane__Running *out = g_new0(Wisteriavane__Running, 1);

	fill_attempt(out, attempt->attempt);
	out->searcher = attempt->searcher.data;
	out->left_ms = attempt->until - list->now;
	g_ptr_array_add(list->items, out);
	g_array_append_val(list->attempts, attempt->attempt);
}

/* Sends the next holder the list of running attempts. */
static void
send_running(struct lane *lane, struct wv_string peer)
{
	Wisteriavane__Handover body = WISTERIAVANE__HANDOVER__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;
	struct running_list list;

	list.items = g_ptr_array_new_with_free_func(g_free);
	list.attempts = lane->handed_over;
	list.now = daemon_now(lane->worker->daemon);
	g_array_set_size(lane->handed_over, 0);
	wv_executor_foreach_running(lane->executor, add_running, &list);
	body.lane = lane->name.data;
	body.complete = 1;
	body.n_running = list.items->len;
	body.running = (Wisteriavane__Running **)list.items->pdata;
	frame.body_case = WISTERIAVANE__FRAME__BODY_HANDOVER;
	frame.handover = &body;
	links_send(lane->worker->daemon->links, peer, &frame);
	g_ptr_array_unref(list.items);
}

static void
on_hand_over(void *owner, struct mailbox_task *task)
{
	struct handover_task *self = (struct handover_task *)task;
	struct worker *worker = owner;
	struct lane *lane = worker_find_lane(worker, self->lane);
	wv_msec now = daemon_now(worker->daemon);

	if (lane != NULL) {
		lane->lease_until = 0;
		wv_executor_set_lease(lane->executor, now, 0);
		wv_string_clear(&lane->next_holder);
		if (self->peer.length > 0) {
			lane->next_holder = wv_string_copy(self->peer);
			send_running(lane, self->peer);
		}
	}
	control_report_handed_over(worker->daemon->control, self->lane);
	wv_string_clear(&self->lane);
	wv_string_clear(&self->peer);
	g_free(self);
}

void
worker_hand_over(
    struct worker *worker, struct wv_string lane, struct wv_string peer)
{
	struct handover_task *task = g_new0(struct handover_task, 1);

	task->lane = wv_string_copy(lane);
	task->peer = wv_string_copy(peer);
	mailbox_post(&worker->mailbox, &task->task, on_hand_over);
}

static void
collect_attempt(void *data, const struct wv_running_attempt *attempt)
{
	g_array_append_val((GArray *)data, attempt->attempt);
}

static bool
has_attempt(const GArray *attempts, struct wv_attempt_id attempt)
{
	for (guint i = 0; i < attempts->len; i++) {
		if (wv_attempt_id_equal(
			g_array_index(attempts, struct wv_attempt_id, i),
			attempt))
			return true;
	}
	return false;
}

/* Sends the next holder the handed-over attempts that have ended. */
static void
send_released(struct lane *lane, GPtrArray *items)
{
	Wisteriavane__Handover body = WISTERIAVANE__HANDOVER__INIT;
	Wisteriavane__Frame frame = WISTERIAVANE__FRAME__INIT;

	body.lane = lane->name.data;
	body.n_released = items->len;
	body.released = (Wisteriavane__Running **)items->pdata;
	frame.body_case = WISTERIAVANE__FRAME__BODY_HANDOVER;
	frame.handover = &body;
	links_send(lane->worker->daemon->links, lane->next_holder, &frame);
}

void
lane_report_released(struct lane *lane)
{
	GArray *running;
	GPtrArray *ended;

	if (lane->handed_over->len == 0)
		return;
	running = g_array_new(FALSE, TRUE, sizeof(struct wv_attempt_id));
	ended = g_ptr_array_new_with_free_func(g_free);
	wv_executor_foreach_running(lane->executor, collect_attempt, running);
	for (guint i = lane->handed_over->len; i-- > 0;) {
		struct wv_attempt_id attempt =
		    g_array_index(lane->handed_over, struct wv_attempt_id, i);
		Wisteriavane__Running *out;

		if (has_attempt(running, attempt))
			continue;
		out = g_new0(Wisteriavane__Running, 1);
		fill_attempt(out, attempt);
		g_ptr_array_add(ended, out);
		g_array_remove_index_fast(lane->handed_over, i);
	}
	if (ended->len > 0)
		send_released(lane, ended);
	g_array_unref(running);
	g_ptr_array_unref(ended);
}

static void
on_adopt(void *owner, struct mailbox_task *task)
{
	struct adopt_task *self = (struct adopt_task *)task;
	struct worker *worker = owner;
	struct lane *lane = worker_find_lane(worker, self->lane);
	wv_msec now = daemon_now(worker->daemon);

	for (guint i = 0; i < self->running->len; i++) {
		struct wv_running_attempt *attempt =
		    &g_array_index(self->running, struct wv_running_attempt, i);

		if (lane != NULL)
			wv_executor_adopt_attempt(lane->executor, attempt);
		wv_string_clear(&attempt->searcher);
	}
	for (guint i = 0; lane != NULL && i < self->released->len; i++)
		wv_executor_release_adopted(lane->executor, now,
		    g_array_index(self->released, struct wv_attempt_id, i));
	g_array_unref(self->running);
	g_array_unref(self->released);
	wv_string_clear(&self->lane);
	g_free(self);
}

void
worker_adopt_attempts(struct worker *worker, struct wv_string lane,
    const struct wv_running_attempt *running, size_t n_running,
    const struct wv_attempt_id *released, size_t n_released)
{
	struct adopt_task *task = g_new0(struct adopt_task, 1);
	struct wv_running_attempt copy;

	task->lane = wv_string_copy(lane);
	task->running =
	    g_array_new(FALSE, TRUE, sizeof(struct wv_running_attempt));
	task->released = g_array_new(FALSE, TRUE, sizeof(struct wv_attempt_id));
	for (size_t i = 0; i < n_running; i++) {
		copy = running[i];
		copy.searcher = wv_string_copy(copy.searcher);
		g_array_append_val(task->running, copy);
	}
	if (n_released > 0)
		g_array_append_vals(
		    task->released, released, (guint)n_released);
	mailbox_post(&worker->mailbox, &task->task, on_adopt);
}
