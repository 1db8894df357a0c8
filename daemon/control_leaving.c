/**
 * @file
 * Reports of leaving searchers, which VMs pass on to each other.
 */
#include "daemon/control_private.h"
#include "daemon/links.h"
#include "daemon/worker.h"

/* The newest generation of a searcher that is known to be leaving. */
struct leaving_searcher {
	uint64_t generation;
};

/* A report from another thread. */
struct leaving_task {
	struct mailbox_task task;
	struct wv_string back_end; /* owned */
	struct wv_string searcher; /* owned */
	uint64_t generation;
	enum wv_leaving_source source;
};

/* Fills a frame with a report; the strings are borrowed. */
static void
fill_frame(Wisteriavane__Frame *frame, Wisteriavane__Leaving *body,
    const char *back_end, const char *searcher, uint64_t generation)
{
	wisteriavane__frame__init(frame);
	wisteriavane__leaving__init(body);
	body->back_end = (char *)back_end;
	body->searcher = (char *)searcher;
	body->generation = generation;
	frame->body_case = WISTERIAVANE__FRAME__BODY_LEAVING;
	frame->leaving = body;
}

/* Sends a frame to some peers, chosen as for heartbeats. */
static void
send_to_targets(struct control *control, const Wisteriavane__Frame *frame)
{
	size_t targets[WV_MAX_HEARTBEAT_FANOUT], n, all_n;
	const struct wv_member *all;

	n = wv_members_choose_targets(
	    control->members, targets, WV_MAX_HEARTBEAT_FANOUT);
	all = wv_members_all(control->members, &all_n);
	for (size_t i = 0; i < n; i++)
		links_send(control->daemon->links, all[targets[i]].peer_address,
		    frame);
}

/*
 * Records a report. Returns false if this generation or a newer one is already
 * known to be leaving.
 */
static bool
record_leaving(struct control *control, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation)
{
	char *key = g_strconcat(back_end.data, "/", searcher.data, NULL);
	struct leaving_searcher *known =
	    g_hash_table_lookup(control->leaving_searchers, key);

	if (known != NULL && known->generation >= generation) {
		g_free(key);
		return false;
	}
	known = g_new0(struct leaving_searcher, 1);
	known->generation = generation;
	g_hash_table_replace(control->leaving_searchers, key, known);
	return true;
}

/* Passes a new report on to all workers and to peers. */
static void
apply_leaving_report(struct control *control, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source)
{
	Wisteriavane__Frame frame;
	Wisteriavane__Leaving body;

	if (!record_leaving(control, back_end, searcher, generation))
		return;
	g_message("searcher %s of %s, generation %" G_GUINT64_FORMAT
		  ", is leaving",
	    searcher.data, back_end.data, generation);
	for (uint32_t i = 0; i < control->daemon->n_workers; i++)
		worker_mark_leaving(control->daemon->workers[i], back_end,
		    searcher, generation, source);
	fill_frame(&frame, &body, back_end.data, searcher.data, generation);
	send_to_targets(control, &frame);
}

static void
on_leaving(void *owner, struct mailbox_task *task)
{
	struct leaving_task *self = (struct leaving_task *)task;

	apply_leaving_report(owner, self->back_end, self->searcher,
	    self->generation, self->source);
	wv_string_clear(&self->back_end);
	wv_string_clear(&self->searcher);
	g_free(self);
}

void
control_report_leaving(struct control *control, struct wv_string back_end,
    struct wv_string searcher, uint64_t generation,
    enum wv_leaving_source source)
{
	struct leaving_task *task = g_new0(struct leaving_task, 1);

	task->back_end = wv_string_copy(back_end);
	task->searcher = wv_string_copy(searcher);
	task->generation = generation;
	task->source = source;
	mailbox_post(&control->mailbox, &task->task, on_leaving);
}

void
control_apply_leaving(struct control *control, const Wisteriavane__Frame *frame)
{
	apply_leaving_report(control,
	    wv_string_borrow(frame->leaving->back_end),
	    wv_string_borrow(frame->leaving->searcher),
	    frame->leaving->generation, WV_LEAVING_PEER);
}

void
control_send_leaving(struct control *control, struct wv_string peer)
{
	Wisteriavane__Frame frame;
	Wisteriavane__Leaving body;
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, control->leaving_searchers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		char **parts = g_strsplit(key, "/", 2);

		fill_frame(&frame, &body, parts[0], parts[1],
		    ((struct leaving_searcher *)value)->generation);
		links_send(control->daemon->links, peer, &frame);
		g_strfreev(parts);
	}
}

JsonArray *
control_dump_leaving(const struct control *control)
{
	JsonArray *array = json_array_new();
	GHashTableIter iter;
	JsonObject *object;
	void *key, *value;

	g_hash_table_iter_init(&iter, control->leaving_searchers);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		char **parts = g_strsplit(key, "/", 2);

		object = json_object_new();
		json_object_set_string_member(object, "back_end", parts[0]);
		json_object_set_string_member(object, "searcher", parts[1]);
		json_object_set_int_member(object, "generation",
		    (gint64)((struct leaving_searcher *)value)->generation);
		json_array_add_object_element(array, object);
		g_strfreev(parts);
	}
	return array;
}
