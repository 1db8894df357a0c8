/**
 * @file
 * What this VM believes of the searchers, for operators.
 */
#include "entry/log.h"
#include "entry/searcher_states.h"

/** Lines of a list: an answer has to fit in the buffers of the server. */
#define MAX_LISTED 1000

/* In the order in which they apply if several do. */
enum searcher_state {
	STATE_EVACUATED, /* its zone gets no requests */
	STATE_DRAINING, /* by its entry */
	STATE_LEAVING, /* by its own answers */
	STATE_RESTING, /* asked for no requests for a time */
	STATE_LOST, /* gets probes only */
	STATE_COLD, /* gets few requests */
	STATE_HINTED, /* leaving by what other VMs have heard */
	STATE_READY,
	STATE_COUNT
};

static const char *const state_names[STATE_COUNT] = {
    [STATE_EVACUATED] = "evacuated",
    [STATE_DRAINING] = "draining",
    [STATE_LEAVING] = "leaving",
    [STATE_RESTING] = "resting",
    [STATE_LOST] = "lost",
    [STATE_COLD] = "cold",
    [STATE_HINTED] = "hinted",
    [STATE_READY] = "ready",
};

/* Searchers that were visited. */
struct view {
	wv_msec now;
	GString *lines; /* NULL: they are only counted */
	unsigned listed;
	unsigned counts[STATE_COUNT];
};

static enum searcher_state
get_state(const struct wv_searcher *searcher, wv_msec now)
{
	if (searcher->evacuated)
		return STATE_EVACUATED;
	if (searcher->draining)
		return STATE_DRAINING;
	if (searcher->leaving)
		return STATE_LEAVING;
	if (now < searcher->rests_until)
		return STATE_RESTING;
	if (searcher->health.lost)
		return STATE_LOST;
	if (wv_searcher_cold_left(searcher, now) > 0)
		return STATE_COLD;
	return wv_searcher_is_hinted(searcher, now) ? STATE_HINTED
						    : STATE_READY;
}

const char *
searcher_state_name(const struct wv_searcher *searcher, wv_msec now)
{
	return state_names[get_state(searcher, now)];
}

static void
append_line(struct view *view, const struct wv_searcher *searcher,
    enum searcher_state state)
{
	char id[LOG_NAME_SIZE];
	char service[LOG_NAME_SIZE];

	g_string_append_printf(view->lines,
	    "{\"searcher\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
	    "\"started_ms\":%" G_GUINT64_FORMAT ",\"state\":\"%s\"",
	    log_escape(searcher->id, id, sizeof(id)),
	    log_escape(searcher->service->name, service, sizeof(service)),
	    searcher->address.data, searcher->started, state_names[state]);
	if (view->now < searcher->rests_until)
		g_string_append_printf(view->lines, ",\"rest_ms\":%.0f",
		    searcher->rests_until - view->now);
	if (wv_searcher_is_hinted(searcher, view->now))
		g_string_append_printf(view->lines, ",\"said_ms_ago\":%.0f",
		    view->now - searcher->hinted_at);
	if (wv_searcher_cold_left(searcher, view->now) > 0)
		g_string_append_printf(view->lines,
		    ",\"cold_ms\":%.0f,\"limit\":%u,\"window_sent\":%u",
		    wv_searcher_cold_left(searcher, view->now),
		    searcher->cold_credit.limit, searcher->cold_credit.total);
	g_string_append(view->lines, "}\n");
	view->listed++;
}

static void
visit(void *data, struct wv_searcher *searcher)
{
	struct view *view = data;
	enum searcher_state state = get_state(searcher, view->now);

	view->counts[state]++;
	if (view->lines != NULL && state != STATE_READY &&
	    view->listed < MAX_LISTED)
		append_line(view, searcher, state);
}

void
searcher_states_append_metrics(
    GString *text, const struct wv_registry *registry, wv_msec now)
{
	struct view view = {.now = now};

	wv_registry_foreach(registry, visit, &view);
	g_string_append(text, "# TYPE wisteriavane_searchers gauge\n");
	for (int i = 0; i < STATE_COUNT; i++)
		g_string_append_printf(text,
		    "wisteriavane_searchers{state=\"%s\"} %u\n", state_names[i],
		    view.counts[i]);
}

GString *
searcher_states_list(const struct wv_registry *registry, wv_msec now)
{
	struct view view = {.now = now, .lines = g_string_new(NULL)};

	wv_registry_foreach(registry, visit, &view);
	return view.lines;
}
