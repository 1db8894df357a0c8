/**
 * @file
 * The event heap (ordered by time, then by order of scheduling) and the random
 * distributions of the simulation.
 */
#include <math.h>

#include "bench/driver/sim.h"

struct event {
	wv_msec time;
	uint64_t sequence;
	sim_event_callback callback;
	void *data;
};

void
sim_init(struct sim *sim, uint32_t seed)
{
	sim->now = 0;
	sim->rand = g_rand_new_with_seed(seed);
	sim->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim->next_sequence = 0;
}

void
sim_clear(struct sim *sim)
{
	g_rand_free(sim->rand);
	g_array_free(sim->heap, TRUE);
}

static bool
is_before(const struct event *a, const struct event *b)
{
	if (a->time != b->time)
		return a->time < b->time;
	return a->sequence < b->sequence;
}

void
sim_schedule(
    struct sim *sim, wv_msec time, sim_event_callback callback, void *data)
{
	struct event event = {
	    MAX(time, sim->now), sim->next_sequence++, callback, data};
	struct event *events;
	size_t position = sim->heap->len;

	g_array_append_val(sim->heap, event);
	events = (struct event *)(void *)sim->heap->data;
	while (position > 0 && is_before(&event, &events[(position - 1) / 2])) {
		events[position] = events[(position - 1) / 2];
		position = (position - 1) / 2;
	}
	events[position] = event;
}

static struct event
pop_event(struct sim *sim)
{
	struct event *events = (struct event *)(void *)sim->heap->data;
	struct event first = events[0];
	size_t n = sim->heap->len - 1, position = 0;
	struct event last = events[n];

	g_array_set_size(sim->heap, (guint)n);
	for (;;) {
		size_t child = 2 * position + 1;

		if (child >= n)
			break;
		if (child + 1 < n &&
		    is_before(&events[child + 1], &events[child]))
			child++;
		if (!is_before(&events[child], &last))
			break;
		events[position] = events[child];
		position = child;
	}
	if (n > 0)
		events[position] = last;
	return first;
}

void
sim_run_until(struct sim *sim, wv_msec until)
{
	while (sim->heap->len > 0 &&
	    g_array_index(sim->heap, struct event, 0).time <= until) {
		struct event event = pop_event(sim);

		sim->now = event.time;
		event.callback(event.data);
	}
	sim->now = MAX(sim->now, until);
}

double
sim_draw_exponential(struct sim *sim, double mean)
{
	return -mean * log(1.0 - g_rand_double(sim->rand));
}

double
sim_draw_log_normal(struct sim *sim, double mean, double sigma)
{
	double u = 1.0 - g_rand_double(sim->rand);
	double angle = 2.0 * G_PI * g_rand_double(sim->rand);
	double normal = sqrt(-2.0 * log(u)) * cos(angle);

	return mean * exp(sigma * normal - sigma * sigma / 2.0);
}
