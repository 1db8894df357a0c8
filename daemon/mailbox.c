/**
 * @file
 * A queue of tasks for one thread, with wait-free posting.
 */
#include <stddef.h>

#include "daemon/mailbox.h"

/*
 * The thread sanitizer does not recognize the memory barriers of liburcu's
 * queue, so these annotations state how a task passes between threads.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define TASK_RELEASE(task) __tsan_release(task)
#define TASK_ACQUIRE(task) __tsan_acquire(task)
#else
#define TASK_RELEASE(task) ((void)(task))
#define TASK_ACQUIRE(task) ((void)(task))
#endif

void
mailbox_init(struct mailbox *box, void (*wakeup)(void *owner), void *owner)
{
	cds_wfcq_init(&box->head, &box->tail);
	box->wakeup = wakeup;
	box->owner = owner;
}

void
mailbox_post(struct mailbox *box, struct mailbox_task *task, task_function run)
{
	bool was_empty;

	cds_wfcq_node_init(&task->node);
	task->run = run;
	TASK_RELEASE(task);
	was_empty = !cds_wfcq_enqueue(&box->head, &box->tail, &task->node);
	/*
	 * If the queue was not empty, the receiver finds the task before it
	 * sleeps, so it needs no wake-up.
	 */
	if (was_empty)
		box->wakeup(box->owner);
}

void
mailbox_run_tasks(struct mailbox *box)
{
	struct cds_wfcq_node *node;
	struct mailbox_task *task;

	while ((node = __cds_wfcq_dequeue_blocking(&box->head, &box->tail)) !=
	    NULL) {
		task = caa_container_of(node, struct mailbox_task, node);
		TASK_ACQUIRE(task);
		task->run(box->owner, task);
	}
}
