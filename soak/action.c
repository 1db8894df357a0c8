/**
 * @file
 * Delayed actions of the soak.
 */
#include "soak/action.h"
#include "entry/socket.h"

static void
on_action_due(evutil_socket_t fd, short what, void *data)
{
	struct action *action = data;

	(void)fd;
	(void)what;
	action->run(action);
}

struct action *
action_schedule(struct soak *soak, wv_msec delay, void *owner,
    void (*run)(struct action *action))
{
	struct action *action = g_new0(struct action, 1);

	action->owner = owner;
	action->run = run;
	action->timer =
	    event_new(soak_base(soak), -1, 0, on_action_due, action);
	action_repeat(action, delay);
	return action;
}

void
action_repeat(struct action *action, wv_msec delay)
{
	struct timeval time = socket_timeval(delay);

	event_add(action->timer, &time);
}

void
action_destroy(struct action *action)
{
	event_free(action->timer);
	g_free(action);
}
