/**
 * @file
 * Records of a shortage of connections to searchers.
 */
#include "entry/shortage.h"
#include "entry/socket.h"

/** Time without a shortage of connections after which it is over, ms. */
#define SHORTAGE_END 1000

struct shortage {
	struct log *log;
	struct metrics *metrics;
	struct event *end; /* checks whether the shortage is over */
	bool reported;
	bool seen; /* since the last check */
};

static void
on_end(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(SHORTAGE_END);
	struct shortage *shortage = data;

	(void)fd;
	(void)what;
	if (shortage->seen) {
		shortage->seen = false;
		event_add(shortage->end, &time);
		return;
	}
	shortage->reported = false;
	log_line(shortage->log, LOG_CHANGE, "connections_uncrowded",
	    "\"server\":\"searchers\",\"yielded\":%" G_GUINT64_FORMAT
	    ",\"refused\":%" G_GUINT64_FORMAT,
	    wv_counter_read(&shortage->metrics->outgoing_yielded),
	    wv_counter_read(&shortage->metrics->outgoing_refused));
}

struct shortage *
shortage_create(
    struct event_base *base, struct log *log, struct metrics *metrics)
{
	struct shortage *shortage = g_new0(struct shortage, 1);

	shortage->log = log;
	shortage->metrics = metrics;
	shortage->end = event_new(base, -1, 0, on_end, shortage);
	return shortage;
}

void
shortage_destroy(struct shortage *shortage)
{
	event_free(shortage->end);
	g_free(shortage);
}

void
shortage_note(struct shortage *shortage, int error)
{
	struct timeval time = socket_timeval(SHORTAGE_END);

	shortage->seen = true;
	if (shortage->reported)
		return;
	shortage->reported = true;
	event_add(shortage->end, &time);
	log_line(shortage->log, LOG_CHANGE, "connections_crowded",
	    "\"server\":\"searchers\",\"error\":\"%s\"",
	    error == 0 ? "" : g_strerror(error));
}
