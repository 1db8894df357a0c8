/**
 * @file
 * Random faults in virtual time, and what must hold of the dispatch whatever
 * happens: at most one run of what may run once, true refusals, the allowance
 * of extra attempts, the part of the connections, no draining searcher asked,
 * an answer for every request before its deadline.
 */
#include <string.h>

#include "dispatch_world.h"

/** Seeds of a run, and requests of each. */
#define SEEDS 60
#define REQUESTS 800
/** Shape of the world. */
#define SERVICES 4
#define REPLICAS 3
/** Cap of connections per searcher, and the part that this VM may use. */
#define CONNECTIONS 8
#define DIVISOR 2
/** Allowance of extra attempts. */
#define RATIO 0.2
#define SLACK 3.0
#define WINDOW 2000.0
/** Longest pause between requests, ms. */
#define PAUSE_MOST 12
/** One request in so many is followed by a fault, or left by its caller. */
#define FAULT_EVERY 6
#define LEAVE_EVERY 25

struct request {
	struct world_result result; /* first: the caller of its task */
	struct wv_task *task; /* valid until the result is there */
	unsigned route;
	wv_msec at;
	wv_msec limit;
	bool left;
	unsigned arrivals[SERVICES]; /* attempts that reach a searcher */
};

struct storm {
	struct world *world;
	GRand *random;
	struct request requests[REQUESTS];
	unsigned n_requests;
	GArray *extra_at[SERVICES]; /* wv_msec: attempts beyond the first */
	uint64_t started[SERVICES * REPLICAS];
};

static unsigned
service_of(const struct wv_fleet_service *service)
{
	return (unsigned)(service->name.data[strlen("service")] - '0');
}

/* First attempts of a service in the window that ends now. */
static unsigned
count_first(const struct storm *storm, unsigned service)
{
	unsigned n = 0;

	for (unsigned i = 0; i < storm->n_requests; i++) {
		const struct request *request = &storm->requests[i];

		n += request->at > storm->world->now - WINDOW &&
		    (request->route == 0 || service == 0);
	}
	return n;
}

static unsigned
count_extra(const struct storm *storm, unsigned service)
{
	const GArray *all = storm->extra_at[service];
	unsigned n = 0;

	for (guint i = 0; i < all->len; i++)
		n +=
		    g_array_index(all, wv_msec, i) > storm->world->now - WINDOW;
	return n;
}

/* What must hold of every attempt that is sent. */
static void
check_send(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	struct storm *storm = ((struct world *)ops)->data;
	const struct wv_searcher *searcher = attempt->searcher;
	struct request *request = attempt->task->caller;
	unsigned service = service_of(searcher->service);

	g_assert_false(searcher->draining);
	g_assert_false(searcher->gone);
	g_assert_cmpuint(searcher->outstanding, <=, CONNECTIONS / DIVISOR);
	if (request->arrivals[service]++ > 0) {
		g_array_append_val(storm->extra_at[service], storm->world->now);
		g_assert_cmpfloat(count_extra(storm, service), <=,
		    RATIO * count_first(storm, service) + SLACK);
	}
	world_send(ops, attempt);
}

/*
 * An attempt that was not sent has not arrived. If another one was sent
 * meanwhile, that one was the first.
 */
static void
take_failure(struct wv_dispatch_ops *ops, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed)
{
	struct storm *storm = ((struct world *)ops)->data;
	unsigned service = service_of(attempt->searcher->service);
	struct request *request;

	(void)elapsed;
	if (attempt->task == NULL || end != WV_END_NOT_SENT)
		return;
	request = attempt->task->caller;
	if (--request->arrivals[service] > 0)
		g_array_remove_index(storm->extra_at[service],
		    storm->extra_at[service]->len - 1);
}

static void
put(struct storm *storm, unsigned i, bool draining)
{
	char service[16];

	g_snprintf(service, sizeof(service), "service%u", i / REPLICAS);
	wv_fleet_put(storm->world->fleet, storm->world->now,
	    &(struct wv_searcher_entry){
		.id = world_text(storm->world->searchers[i].id),
		.service = world_text(service),
		.address = world_text("127.0.0.1:1"),
		.zone = world_text("z0"),
		.started = storm->started[i],
		.slots = 2,
		.draining = draining});
	wv_dispatch_fleet_changed(storm->world->dispatch, storm->world->now);
}

/* Its connections break; a new process has the same identifier. */
static void
restart(struct storm *storm, unsigned i)
{
	struct world_searcher *searcher = &storm->world->searchers[i];

	for (unsigned k = 0; k < WORLD_QUEUE; k++) {
		if (searcher->jobs[k].used)
			world_end_job(
			    storm->world, &searcher->jobs[k], WV_END_BROKEN);
	}
	storm->started[i]++;
	put(storm, i, false);
}

static void
disturb(struct storm *storm)
{
	struct world *world = storm->world;
	unsigned i =
	    (unsigned)g_rand_int_range(storm->random, 0, SERVICES * REPLICAS);
	struct world_searcher *searcher = &world->searchers[i];

	switch (g_rand_int_range(storm->random, 0, 12)) {
	case 0:
		restart(storm, i);
		break;
	case 1:
		put(storm, i, true);
		break;
	case 2:
		wv_fleet_remove(
		    world->fleet, world->now, world_text(searcher->id));
		break;
	case 3:
		searcher->paused_until = world->now + 150;
		break;
	case 4:
		searcher->factor = 8;
		break;
	case 5:
	case 6:
	case 7:
	case 8:
		searcher->mode = (enum world_mode)g_rand_int_range(
		    storm->random, WORLD_SOUND, WORLD_BREAKING + 1);
		break;
	default:
		searcher->mode = WORLD_SOUND;
		searcher->factor = 1;
		put(storm, i, false);
		break;
	}
}

/* The caller of a request that has no answer yet leaves. */
static void
leave_one(struct storm *storm)
{
	for (unsigned i = 0; i < storm->n_requests; i++) {
		struct request *request = &storm->requests[i];

		if (request->result.done || request->left)
			continue;
		request->left = true;
		wv_dispatch_leave(storm->world->dispatch, request->task);
		return;
	}
}

static void
submit(struct storm *storm)
{
	struct request *request = &storm->requests[storm->n_requests++];

	request->route = (unsigned)g_rand_int_range(storm->random, 0, 3);
	request->limit = g_rand_int_range(storm->random, 20, 800);
	request->at = storm->world->now;
	request->task = world_submit(
	    storm->world, request->route, request->limit, &request->result);
}

/* This VM ends: what is in progress gets its final answer. */
static void
abort_rest(struct storm *storm)
{
	for (unsigned i = 0; i < storm->n_requests; i++) {
		struct request *request = &storm->requests[i];

		if (request->result.done || request->left)
			continue;
		wv_dispatch_abort(
		    storm->world->dispatch, storm->world->now, request->task);
		g_assert_true(request->result.done);
	}
}

/* What must hold of every request, after all searchers have come to rest. */
static void
check_request(const struct request *request)
{
	const struct world_result *result = &request->result;

	g_assert_true(result->done || request->left);
	if (request->route == 2)
		g_assert_cmpuint(result->runs, <=, 1);
	if (!result->done)
		return;
	g_assert_cmpfloat(result->elapsed, <=, request->limit);
	if (result->kind == WV_RESULT_REFUSED) {
		g_assert_cmpuint(result->runs, ==, 0);
		g_assert_cmpfloat(result->retry_after, >, 0);
	}
	if (result->kind == WV_RESULT_PARTS)
		g_assert_cmpuint(result->parts, >=, 3);
}

static struct storm *
storm_create(uint32_t seed)
{
	struct storm *storm = g_new0(struct storm, 1);
	struct wv_dispatch_terms terms = {
	    .allowance = {RATIO, SLACK, WINDOW, 0}, .divisor = DIVISOR};

	storm->world = world_create(SERVICES, REPLICAS, seed);
	storm->world->data = storm;
	storm->world->ops.send = check_send;
	storm->world->ops.failed = take_failure;
	storm->random = g_rand_new_with_seed(seed);
	wv_dispatch_set_terms(storm->world->dispatch, &terms);
	for (unsigned i = 0; i < SERVICES; i++)
		storm->extra_at[i] = g_array_new(FALSE, FALSE, sizeof(wv_msec));
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++)
		storm->started[i] = 1;
	return storm;
}

static void
storm_destroy(struct storm *storm)
{
	world_destroy(storm->world);
	for (unsigned i = 0; i < SERVICES; i++)
		g_array_unref(storm->extra_at[i]);
	g_rand_free(storm->random);
	g_free(storm);
}

static void
run_storm(uint32_t seed, unsigned *served)
{
	struct storm *storm = storm_create(seed);

	for (unsigned i = 0; i < REQUESTS; i++) {
		submit(storm);
		if (i % FAULT_EVERY == 0)
			disturb(storm);
		if (i % LEAVE_EVERY == 0)
			leave_one(storm);
		world_run(storm->world,
		    g_rand_int_range(storm->random, 0, PAUSE_MOST));
	}
	abort_rest(storm);
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++) {
		storm->world->searchers[i].mode = WORLD_SOUND;
		storm->world->searchers[i].paused_until = 0;
	}
	world_run(storm->world, 3000);
	for (unsigned i = 0; i < REQUESTS; i++) {
		check_request(&storm->requests[i]);
		*served += storm->requests[i].result.kind == WV_RESULT_PARTS ||
		    storm->requests[i].result.kind == WV_RESULT_RELAY;
	}
	storm_destroy(storm);
}

static void
test_random(void)
{
	unsigned served = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		g_test_message("seed %u", seed);
		run_storm(seed, &served);
	}
	/* Not a storm in which nothing is served. */
	g_assert_cmpuint(served, >, SEEDS * REQUESTS / 4);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/random", test_random);
	return g_test_run();
}
