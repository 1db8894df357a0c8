/**
 * @file
 * Delayed actions of the soak, such as the end of a fault.
 */
#ifndef WISTERIAVANE_SOAK_ACTION_H
#define WISTERIAVANE_SOAK_ACTION_H

#include <sys/types.h>

#include "soak/soak.h"

/** A delayed action. */
struct action {
	struct event *timer;
	void (*run)(struct action *action); /**< frees it or adds the timer */
	void *owner; /**< borrowed: what it concerns, by its type in run() */
	unsigned index; /**< of what it concerns, if there are several */
	unsigned stage; /**< steps that have run; counted by run() */
	pid_t pid; /**< of the process that it concerns */
	void *data; /**< of run(), which releases it */
};

/**
 * Schedules an action after a delay in ms.
 *
 * @return the action, valid until run() frees it
 */
struct action *action_schedule(struct soak *soak, wv_msec delay, void *owner,
    void (*run)(struct action *action));

/** Schedules the action again after a delay in ms; called by run(). */
void action_repeat(struct action *action, wv_msec delay);

/** Releases the action; called by run(). */
void action_destroy(struct action *action);

#endif
