/**
 * @file
 * A world in virtual time for tests of the dispatch: searchers that are
 * queues with slots, a fleet, and callers whose results are kept.
 */
#ifndef WISTERIAVANE_TEST_DISPATCH_WORLD_H
#define WISTERIAVANE_TEST_DISPATCH_WORLD_H

#include <glib.h>
#include <math.h>

#include "wisteriavane/dispatch.h"

/** One-way delay between this VM and a searcher, ms. */
#define WORLD_DELAY 0.5
/** Step of virtual time, ms. */
#define WORLD_STEP 0.25
/** Most searchers of a world. */
#define WORLD_SEARCHERS 128
/** Longest queue of a searcher. */
#define WORLD_QUEUE 64

/** What a searcher does with requests. */
enum world_mode {
	WORLD_SOUND, /* answers after its work */
	WORLD_DARK, /* says nothing */
	WORLD_SHEDDING, /* rejects all as not run */
	WORLD_FAILING, /* runs and answers with a failure */
	WORLD_REFUSING, /* accepts no connection */
	WORLD_BREAKING /* runs and breaks the connection off */
};

/** A request at a searcher. */
struct world_job {
	struct wv_attempt *attempt; /* NULL: cancelled */
	wv_msec arrives;
	wv_msec ends; /* 0: not started */
	bool used;
	struct world_result *result; /* of its request */
};

/** A searcher. */
struct world_searcher {
	char id[16];
	enum world_mode mode;
	unsigned slots;
	double factor; /* of the work */
	wv_msec paused_until;
	struct world_job jobs[WORLD_QUEUE];
	unsigned arrivals;
	unsigned runs;
	unsigned cancelled;
	unsigned peak; /* most jobs at once */
};

/** What a caller got. */
struct world_result {
	wv_msec elapsed;
	wv_msec retry_after;
	size_t parts;
	enum wv_result_kind kind;
	enum wv_reason reason;
	unsigned attempts;
	unsigned extra;
	unsigned runs; /* at searchers, also after the result */
	bool done;
};

struct world {
	struct wv_dispatch_ops ops; /* first */
	struct wv_fleet_ops fleet_ops;
	struct wv_fleet *fleet;
	struct wv_dispatch *dispatch;
	struct wv_routes *routes;
	wv_msec now;
	wv_msec work; /* mean of a request, ms */
	GRand *random;
	struct world_searcher searchers[WORLD_SEARCHERS];
	unsigned n_searchers;
	unsigned replicas;
	unsigned messages; /* not yet released */
	void *data; /* of the test */
};

static inline struct wv_string
world_text(const char *text)
{
	return wv_string_borrow(text);
}

static inline struct world_searcher *
world_find(struct world *world, struct wv_string id)
{
	for (unsigned i = 0; i < world->n_searchers; i++) {
		if (wv_string_equal(world_text(world->searchers[i].id), id))
			return &world->searchers[i];
	}
	g_assert_not_reached();
}

static inline void
world_send(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	struct world *world = (struct world *)ops;
	struct world_searcher *searcher =
	    world_find(world, attempt->searcher->id);
	unsigned n = 0;

	for (unsigned i = 0; i < WORLD_QUEUE; i++)
		n += searcher->jobs[i].used;
	searcher->peak = MAX(searcher->peak, n + 1);
	for (unsigned i = 0; i < WORLD_QUEUE; i++) {
		struct world_job *job = &searcher->jobs[i];

		if (job->used)
			continue;
		*job = (struct world_job){attempt, world->now + WORLD_DELAY, 0,
		    true, attempt->task->caller};
		searcher->arrivals++;
		return;
	}
	g_assert_not_reached();
}

static inline void
world_cancel(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	struct world *world = (struct world *)ops;
	struct world_searcher *searcher =
	    world_find(world, attempt->searcher->id);

	for (unsigned i = 0; i < WORLD_QUEUE; i++) {
		if (searcher->jobs[i].attempt != attempt)
			continue;
		searcher->jobs[i].attempt = NULL;
		searcher->jobs[i].used = false;
		searcher->cancelled++;
	}
}

static inline void
world_answer(struct wv_dispatch_ops *ops, struct wv_task *task,
    const struct wv_result *result)
{
	struct world *world = (struct world *)ops;
	struct world_result *into = task->caller;

	g_assert_false(into->done);
	into->done = true;
	into->kind = result->kind;
	into->reason = result->reason;
	into->parts = task->included;
	into->elapsed = world->now - task->arrived;
	into->retry_after = result->retry_after;
	into->attempts = task->attempts;
	into->extra = task->extra;
	if (result->message != NULL)
		world->messages--;
}

static inline void
world_drop(struct wv_dispatch_ops *ops, void *message)
{
	(void)message;
	((struct world *)ops)->messages--;
}

static inline void
world_failed(struct wv_dispatch_ops *ops, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed)
{
}

static inline void
world_release(struct wv_fleet_ops *ops, struct wv_searcher *searcher)
{
}

static inline void
world_put(struct world *world, unsigned service, unsigned replica)
{
	struct world_searcher *searcher =
	    &world->searchers[world->n_searchers++];
	char name[16];
	char zone[16];

	g_snprintf(
	    searcher->id, sizeof(searcher->id), "s%u-%u", service, replica);
	g_snprintf(name, sizeof(name), "service%u", service);
	g_snprintf(zone, sizeof(zone), "z%u", replica);
	searcher->slots = 2;
	searcher->factor = 1;
	wv_fleet_put(world->fleet, world->now,
	    &(struct wv_searcher_entry){.id = world_text(searcher->id),
		.service = world_text(name),
		.address = world_text("127.0.0.1:1"),
		.zone = world_text(zone),
		.started = 1,
		.slots = 2});
}

/* Route 0 asks all services; route 1 and 2 ask service 0 only. */
static inline void
world_fill_route(
    struct world *world, unsigned i, unsigned services, bool idempotent)
{
	struct wv_route *route = &world->routes->routes[i];
	char text[16];

	g_snprintf(text, sizeof(text), "/r%u/", i);
	route->name = wv_string_copy(world_text(text));
	route->host = wv_string_copy(world_text("h.example"));
	route->prefix = wv_string_copy(world_text(text));
	route->kind = services > 1 ? WV_ROUTE_SCATTER : WV_ROUTE_SINGLE;
	route->idempotent = idempotent;
	route->timeout = 1500;
	route->target = 100;
	route->rank = (int)i;
	route->max_attempts = 2;
	route->services = g_new0(struct wv_string, services);
	route->n_services = services;
	for (unsigned k = 0; k < services; k++) {
		g_snprintf(text, sizeof(text), "service%u", k);
		route->services[k] = wv_string_copy(world_text(text));
	}
	route->top_k = 10;
	route->min_ratio = 0.75;
}

static inline void
world_fill_services(struct world *world, unsigned services, uint32_t cap)
{
	char text[16];

	for (unsigned i = 0; i < services; i++) {
		g_snprintf(text, sizeof(text), "service%u", i);
		world->routes->services[i].name =
		    wv_string_copy(world_text(text));
		world->routes->services[i].connections = cap;
	}
}

/** Creates a world with so many services and replicas of each. */
static inline struct world *
world_create(unsigned services, unsigned replicas, uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);
	struct wv_dispatch_terms terms = {
	    .allowance = {0.2, 50, 10000, 0}, .divisor = 1};

	world->ops.send = world_send;
	world->ops.cancel = world_cancel;
	world->ops.answer = world_answer;
	world->ops.drop = world_drop;
	world->ops.failed = world_failed;
	world->fleet_ops.release = world_release;
	world->random = g_rand_new_with_seed(seed);
	world->work = 10;
	world->replicas = replicas;
	world->now = 100000;
	world->fleet = wv_fleet_create(world_text("z0"), &world->fleet_ops);
	world->dispatch = wv_dispatch_create(world->fleet, &world->ops, seed);
	wv_dispatch_set_terms(world->dispatch, &terms);
	world->routes = wv_routes_create(1, 3, services);
	world_fill_route(world, 0, services, true);
	world_fill_route(world, 1, 1, true);
	world_fill_route(world, 2, 1, false);
	world_fill_services(world, services, 8);
	wv_routes_index(world->routes);
	wv_dispatch_set_routes(world->dispatch, world->routes);
	for (unsigned i = 0; i < services; i++) {
		for (unsigned k = 0; k < replicas; k++)
			world_put(world, i, k);
	}
	return world;
}

static inline struct world_searcher *
world_searcher(struct world *world, unsigned service, unsigned replica)
{
	return &world->searchers[service * world->replicas + replica];
}

static inline struct wv_task *
world_submit(struct world *world, unsigned route, wv_msec limit,
    struct world_result *result)
{
	return wv_dispatch_submit(world->dispatch, world->now, world->routes,
	    &world->routes->routes[route], limit, result);
}

static inline void
world_end_job(
    struct world *world, struct world_job *job, enum wv_attempt_end end)
{
	struct wv_attempt *attempt = job->attempt;
	struct wv_reply reply = {.end = end, .success = end == WV_END_ANSWERED};

	job->attempt = NULL;
	job->used = false;
	if (end == WV_END_ANSWERED || end == WV_END_FAILED) {
		reply.message = GINT_TO_POINTER(1);
		world->messages++;
	}
	wv_dispatch_reply(world->dispatch, world->now, attempt, &reply);
}

static inline wv_msec
world_draw_work(struct world *world, const struct world_searcher *searcher)
{
	double spread = 0.7 + 0.6 * g_rand_double(world->random);

	return world->work * searcher->factor * spread;
}

static inline enum wv_attempt_end
world_end_of(enum world_mode mode)
{
	switch (mode) {
	case WORLD_SHEDDING:
		return WV_END_REJECTED;
	case WORLD_FAILING:
		return WV_END_FAILED;
	case WORLD_REFUSING:
		return WV_END_NOT_SENT;
	case WORLD_BREAKING:
		return WV_END_BROKEN;
	case WORLD_SOUND:
	case WORLD_DARK:
		break;
	}
	return WV_END_ANSWERED;
}

static inline bool
world_is_instant(enum world_mode mode)
{
	return mode == WORLD_SHEDDING || mode == WORLD_REFUSING;
}

static inline struct world_job *
world_oldest_waiting(struct world *world, struct world_searcher *searcher)
{
	struct world_job *oldest = NULL;

	for (unsigned i = 0; i < WORLD_QUEUE; i++) {
		struct world_job *job = &searcher->jobs[i];

		if (job->used && job->arrives <= world->now && job->ends == 0 &&
		    (oldest == NULL || job->arrives < oldest->arrives))
			oldest = job;
	}
	return oldest;
}

/* Starts and ends the jobs of a searcher that are due. */
static inline void
world_step_searcher(struct world *world, struct world_searcher *searcher)
{
	unsigned running = 0;

	if (searcher->mode == WORLD_DARK || world->now < searcher->paused_until)
		return;
	for (unsigned i = 0; i < WORLD_QUEUE; i++) {
		struct world_job *job = &searcher->jobs[i];
		enum wv_attempt_end end = world_end_of(searcher->mode);

		if (!job->used || job->arrives > world->now)
			continue;
		if (world_is_instant(searcher->mode) && job->ends == 0) {
			world_end_job(world, job, end);
			continue;
		}
		if (job->ends == 0)
			continue;
		/* What has begun is not rejected any more. */
		if (world_is_instant(searcher->mode))
			end = WV_END_ANSWERED;
		if (job->ends <= world->now)
			world_end_job(world, job, end);
		else
			running++;
	}
	while (running++ < searcher->slots) {
		struct world_job *job = world_oldest_waiting(world, searcher);

		if (job == NULL)
			return;
		job->ends =
		    world->now + world_draw_work(world, searcher) + WORLD_DELAY;
		searcher->runs++;
		job->result->runs++;
	}
}

/** Lets time pass. */
static inline void
world_run(struct world *world, wv_msec time)
{
	wv_msec until = world->now + time;

	while (world->now < until) {
		world->now += WORLD_STEP;
		for (unsigned i = 0; i < world->n_searchers; i++)
			world_step_searcher(world, &world->searchers[i]);
		wv_fleet_tick(world->fleet, world->now);
		wv_dispatch_tick(world->dispatch, world->now);
	}
}

/** Lets all attempts end and releases the world. */
static inline void
world_destroy(struct world *world)
{
	for (unsigned i = 0; i < world->n_searchers; i++) {
		world->searchers[i].mode = WORLD_SOUND;
		world->searchers[i].paused_until = 0;
	}
	world_run(world, 3000);
	g_assert_cmpuint(world->messages, ==, 0);
	wv_fleet_destroy(world->fleet);
	wv_dispatch_destroy(world->dispatch);
	wv_routes_unref(world->routes);
	g_rand_free(world->random);
	g_free(world);
}

#endif
