/**
 * @file
 * Tests of the task queue between threads and of the published routing table:
 * no task is lost or run twice, each sender's tasks run in their order, and
 * readers never see a freed table. Also run with the thread sanitizer.
 */
#include <stdatomic.h>

#include <glib.h>
#include <urcu.h>

#include "daemon/mailbox.h"
#include "daemon/routing.h"

/* Threads that post tasks or read tables at the same time. */
#define N_THREADS 4
#define TASKS_PER_SENDER 20000
/* Tables that are published while threads read them. */
#define N_TABLES 300

struct receiver {
	struct mailbox box;
	atomic_bool woken; /* wake_up() was called */
	unsigned received;
	unsigned next[N_THREADS]; /* number expected from each sender */
};

struct numbered_task {
	struct mailbox_task task;
	unsigned sender;
	unsigned number;
};

struct sender {
	struct receiver *receiver;
	unsigned index;
};

static void
wake_up(void *owner)
{
	struct receiver *receiver = owner;

	atomic_store(&receiver->woken, true);
}

static void
on_numbered_task(void *owner, struct mailbox_task *task)
{
	struct numbered_task *self = (struct numbered_task *)task;
	struct receiver *receiver = owner;

	g_assert_cmpuint(self->number, ==, receiver->next[self->sender]);
	receiver->next[self->sender]++;
	receiver->received++;
	g_free(self);
}

static void *
send_tasks(void *data)
{
	struct sender *sender = data;

	for (unsigned i = 0; i < TASKS_PER_SENDER; i++) {
		struct numbered_task *task = g_new0(struct numbered_task, 1);

		task->sender = sender->index;
		task->number = i;
		mailbox_post(
		    &sender->receiver->box, &task->task, on_numbered_task);
	}
	return NULL;
}

/*
 * Each task must run once, in its sender's order. A lost wake-up would leave
 * the last tasks in the queue for ever.
 */
static void
test_tasks_arrive_once(void)
{
	struct receiver receiver = {0};
	struct sender senders[N_THREADS];
	GThread *threads[N_THREADS];

	mailbox_init(&receiver.box, wake_up, &receiver);
	for (unsigned i = 0; i < N_THREADS; i++) {
		senders[i] = (struct sender){&receiver, i};
		threads[i] = g_thread_new("sender", send_tasks, &senders[i]);
	}
	while (receiver.received < N_THREADS * TASKS_PER_SENDER) {
		while (!atomic_exchange(&receiver.woken, false))
			g_thread_yield();
		mailbox_run_tasks(&receiver.box);
	}
	for (unsigned i = 0; i < N_THREADS; i++)
		g_thread_join(threads[i]);
	g_assert_cmpuint(receiver.received, ==, N_THREADS * TASKS_PER_SENDER);
}

struct reader {
	struct routing_cell *cell;
	gint stop;
};

static void *
read_tables(void *data)
{
	struct reader *reader = data;
	const struct route *route;

	rcu_register_thread();
	while (!g_atomic_int_get(&reader->stop)) {
		rcu_read_lock();
		route = routing_find_route(routing_get_current(reader->cell),
		    wv_string_borrow("desk"), 1);
		if (route != NULL)
			g_assert_cmpstr(route->lane.data, ==, "desk/1");
		rcu_read_unlock();
	}
	rcu_unregister_thread();
	return NULL;
}

static struct routing *
create_table(void)
{
	struct routing *routing = routing_create(2, 0);

	for (size_t i = 0; i < 2; i++) {
		struct route *route = &routing->routes[i];

		route->back_end = wv_string_copy(wv_string_borrow("desk"));
		route->lane = wv_string_copy(
		    wv_string_borrow(i == 0 ? "desk/0" : "desk/1"));
		route->n_lanes = 2;
	}
	routing->n_routes = 2;
	return routing;
}

/* Freeing a table while a thread reads it would be a use after free. */
static void
test_tables_outlive_readers(void)
{
	struct routing_cell cell = {NULL};
	struct reader reader = {&cell, 0};
	GThread *threads[N_THREADS];

#ifdef __SANITIZE_THREAD__
	g_test_skip("the sanitizer does not know liburcu's grace periods");
	return;
#endif
	for (unsigned i = 0; i < N_THREADS; i++)
		threads[i] = g_thread_new("reader", read_tables, &reader);
	for (unsigned i = 0; i < N_TABLES; i++)
		routing_publish(&cell, create_table());
	g_atomic_int_set(&reader.stop, 1);
	for (unsigned i = 0; i < N_THREADS; i++)
		g_thread_join(threads[i]);
	routing_publish(&cell, NULL);
}

int
main(int argc, char **argv)
{
	int result;

	rcu_register_thread();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/mailbox/once", test_tasks_arrive_once);
	g_test_add_func("/routing/readers", test_tables_outlive_readers);
	result = g_test_run();
	rcu_unregister_thread();
	return result;
}
