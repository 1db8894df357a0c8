/**
 * @file
 * Timer queue as a binary heap.
 */
#include "src/private.h"
#include "src/timers.h"

static void
set_position(struct timers *timers, size_t i, struct timer *timer)
{
	timers->heap[i] = timer;
	timer->position = i + 1;
}

static void
sift_up(struct timers *timers, size_t i, struct timer *timer)
{
	while (i > 0) {
		size_t parent = (i - 1) / 2;

		if (timers->heap[parent]->at <= timer->at)
			break;
		set_position(timers, i, timers->heap[parent]);
		i = parent;
	}
	set_position(timers, i, timer);
}

static void
sift_down(struct timers *timers, size_t i, struct timer *timer)
{
	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= timers->n)
			break;
		if (child + 1 < timers->n &&
		    timers->heap[child + 1]->at < timers->heap[child]->at)
			child++;
		if (timer->at <= timers->heap[child]->at)
			break;
		set_position(timers, i, timers->heap[child]);
		i = child;
	}
	set_position(timers, i, timer);
}

void
wv_timers_clear(struct timers *timers)
{
	g_free(timers->heap);
	timers->heap = NULL;
	timers->n = 0;
	timers->capacity = 0;
}

void
wv_timers_set(struct timers *timers, struct timer *timer, wv_msec at)
{
	wv_msec before = timer->at;

	timer->at = at;
	if (timer->position == 0) {
		if (timers->n == timers->capacity) {
			timers->capacity = timers->capacity * 2 + 16;
			timers->heap = g_renew(
			    struct timer *, timers->heap, timers->capacity);
		}
		sift_up(timers, timers->n++, timer);
	} else if (at < before) {
		sift_up(timers, timer->position - 1, timer);
	} else {
		sift_down(timers, timer->position - 1, timer);
	}
}

void
wv_timers_remove(struct timers *timers, struct timer *timer)
{
	size_t i = timer->position;
	struct timer *last;

	if (i == 0)
		return;
	timer->position = 0;
	last = timers->heap[--timers->n];
	if (last == timer)
		return;
	i--;
	if (i > 0 && last->at < timers->heap[(i - 1) / 2]->at)
		sift_up(timers, i, last);
	else
		sift_down(timers, i, last);
}

struct timer *
wv_timers_pop(struct timers *timers, wv_msec now)
{
	struct timer *timer;

	if (timers->n == 0 || timers->heap[0]->at > now)
		return NULL;
	timer = timers->heap[0];
	wv_timers_remove(timers, timer);
	return timer;
}

wv_msec
wv_timers_next(const struct timers *timers)
{
	return timers->n == 0 ? WV_MSEC_NEVER : timers->heap[0]->at;
}
