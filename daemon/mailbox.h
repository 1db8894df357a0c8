/**
 * @file
 * A queue of tasks for one thread, with wait-free posting.
 */
#ifndef WISTERIAVANE_DAEMON_MAILBOX_H
#define WISTERIAVANE_DAEMON_MAILBOX_H

#include <stdbool.h>

#include <urcu/wfcqueue.h>

struct mailbox_task;

/**
 * Runs a task on the receiving thread.
 *
 * @param owner  the owner given to mailbox_init()
 * @param task   owned by this function, which frees the structure around it
 */
typedef void (*task_function)(void *owner, struct mailbox_task *task);

/** A task. Make it the first member of a structure that carries the data. */
struct mailbox_task {
	struct cds_wfcq_node node;
	task_function run;
};

/** A queue of tasks with any number of senders and one receiver. */
struct mailbox {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	void (*wakeup)(void *owner); /**< wakes the receiver; any thread */
	void *owner;
};

/**
 * Initializes an empty mailbox.
 *
 * @param wakeup  called by a sender, on its thread, if the mailbox was empty
 * @param owner   passed to wakeup and to each task; borrowed
 */
void mailbox_init(
    struct mailbox *box, void (*wakeup)(void *owner), void *owner);

/**
 * Queues a task, and wakes the receiver if the mailbox was empty. Takes
 * ownership of the task. Any thread; never blocks. Each sender's tasks run in
 * the order in which it posted them.
 */
void mailbox_post(
    struct mailbox *box, struct mailbox_task *task, task_function run);

/** Runs all queued tasks. Receiving thread only. */
void mailbox_run_tasks(struct mailbox *box);

#endif
