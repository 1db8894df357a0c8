/**
 * @file
 * The queue of actions for the sink of a job store. They are reported once the
 * job store's state is consistent, since the sink may call the job store from
 * its callbacks.
 */
#include "src/job_private.h"

static struct event *
push_event(struct wv_job_store *store, enum event_kind kind)
{
	struct event *event = g_new0(struct event, 1);

	event->kind = kind;
	g_queue_push_tail(&store->events, event);
	return event;
}

void
wv_job_event_read(struct wv_job_store *store, uint32_t bucket)
{
	push_event(store, EVENT_READ)->bucket = bucket;
	store->counts.reads++;
}

void
wv_job_event_write(struct wv_job_store *store, uint32_t bucket,
    struct wv_string value, uint64_t if_version)
{
	struct event *event = push_event(store, EVENT_WRITE);

	event->bucket = bucket;
	event->value = value;
	event->version = if_version;
	store->counts.writes++;
	store->counts.bytes_written += value.length;
}

void
wv_job_event_claimed(struct wv_job_store *store, uint64_t request)
{
	push_event(store, EVENT_CLAIMED)->result.request_id = request;
	store->counts.claimed++;
}

void
wv_job_event_answer(struct wv_job_store *store, uint64_t request,
    enum wv_job_state state, struct wv_string result, enum wv_code code,
    const char *message)
{
	struct event *event = push_event(store, EVENT_ANSWER);

	event->result.request_id = request;
	event->result.state = state;
	event->result.result = wv_string_copy(result);
	wv_status_set(&event->result.status, code, "%s", message);
}

void
wv_job_answer(struct wv_job_store *store, struct job *job,
    enum wv_job_state state, struct wv_string result, enum wv_code code,
    const char *message)
{
	if (job->answered)
		return;
	job->answered = true;
	wv_job_event_answer(store, job->request, state, result, code, message);
}

static void
report_event(struct wv_job_sink *sink, const struct event *event)
{
	switch (event->kind) {
	case EVENT_READ:
		sink->ops->read(sink, event->bucket);
		break;
	case EVENT_WRITE:
		sink->ops->write(
		    sink, event->bucket, event->value, event->version);
		break;
	case EVENT_CLAIMED:
		sink->ops->claimed(sink, event->result.request_id);
		break;
	case EVENT_ANSWER:
		sink->ops->answer(sink, &event->result);
		break;
	}
}

static void
destroy_event(struct event *event)
{
	wv_string_clear(&event->value);
	wv_string_clear(&event->result.result);
	g_free(event);
}

void
wv_job_flush(struct wv_job_store *store)
{
	struct event *event;

	if (store->flushing)
		return;
	store->flushing = true;
	while ((event = g_queue_pop_head(&store->events)) != NULL) {
		report_event(store->sink, event);
		destroy_event(event);
	}
	store->flushing = false;
}

void
wv_job_events_clear(struct wv_job_store *store)
{
	struct event *event;

	while ((event = g_queue_pop_head(&store->events)) != NULL)
		destroy_event(event);
}
