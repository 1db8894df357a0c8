/**
 * @file
 * Randomized fault test of the request dispatcher in simulated time.
 * Invariants: a non-idempotent request runs at most once, a refused request has
 * not run, extra attempts stay within the allowance and attempts within the
 * connection limit, draining searchers get no requests, and every request has a
 * result before its deadline.
 */
#include <string.h>

#include "dispatch_simulation.h"

/** Number of seeds, and of requests per seed. */
#define SEEDS 60
#define REQUESTS 800
/** Size of the simulated cluster. */
#define SERVICES 4
#define REPLICAS 3
/** Connection cap per searcher, and its divisor for this VM. */
#define CONNECTIONS 8
#define DIVISOR 2
/** Allowance of extra attempts: ratio, slack, and window in ms. */
#define RATIO 0.2
#define SLACK 3.0
#define WINDOW_MS 2000.0
/** Maximum time between requests, ms. */
#define MAX_PAUSE_MS 12
/** Requests per injected fault, and per caller that disconnects. */
#define FAULT_EVERY 6
#define LEAVE_EVERY 25

struct request {
	struct simulation_result result; /* first member: caller of its task */
	struct wv_task *task; /* valid until the result is stored */
	unsigned route;
	wv_msec at; /* when it was sent */
	wv_msec limit; /* time until its deadline, ms */
	bool left; /* its caller has disconnected */
	unsigned arrivals[SERVICES]; /* attempts that reach a searcher */
};

struct fault_test {
	struct simulation *simulation;
	GRand *random;
	struct request requests[REQUESTS];
	unsigned n_requests;
	GArray *extra_at[SERVICES]; /* wv_msec: times of extra attempts */
	uint64_t started[SERVICES * REPLICAS];
};

static unsigned
service_index(const struct wv_registry_service *service)
{
	return (unsigned)(service->name.data[strlen("service")] - '0');
}

/* Counts the first attempts of a service in the window that ends now. */
static unsigned
count_first(const struct fault_test *test, unsigned service)
{
	unsigned n = 0;

	for (unsigned i = 0; i < test->n_requests; i++) {
		const struct request *request = &test->requests[i];

		n += request->at > test->simulation->now - WINDOW_MS &&
		    (request->route == 0 || service == 0);
	}
	return n;
}

static unsigned
count_extra(const struct fault_test *test, unsigned service)
{
	const GArray *all = test->extra_at[service];
	unsigned n = 0;

	for (guint i = 0; i < all->len; i++)
		n += g_array_index(all, wv_msec, i) >
		    test->simulation->now - WINDOW_MS;
	return n;
}

/* Checks the invariants of every attempt before it is sent. */
static void
check_and_send(struct wv_dispatch_ops *ops, struct wv_attempt *attempt)
{
	struct fault_test *test = ((struct simulation *)ops)->data;
	const struct wv_searcher *searcher = attempt->searcher;
	struct request *request = attempt->task->caller;
	unsigned service = service_index(searcher->service);

	g_assert_false(searcher->draining);
	g_assert_false(searcher->removed);
	g_assert_cmpuint(searcher->outstanding, <=, CONNECTIONS / DIVISOR);
	if (request->arrivals[service]++ > 0) {
		g_array_append_val(
		    test->extra_at[service], test->simulation->now);
		g_assert_cmpfloat(count_extra(test, service), <=,
		    RATIO * count_first(test, service) + SLACK);
	}
	simulation_send(ops, attempt);
}

/*
 * Uncounts an attempt that was not sent. If another one was sent since, that
 * one counts as the first attempt and not as an extra one.
 */
static void
handle_failure(struct wv_dispatch_ops *ops, const struct wv_attempt *attempt,
    enum wv_attempt_end end, wv_msec elapsed)
{
	struct fault_test *test = ((struct simulation *)ops)->data;
	unsigned service = service_index(attempt->searcher->service);
	struct request *request;

	(void)elapsed;
	if (attempt->task == NULL || end != WV_END_NOT_SENT)
		return;
	request = attempt->task->caller;
	if (--request->arrivals[service] > 0)
		g_array_remove_index(
		    test->extra_at[service], test->extra_at[service]->len - 1);
}

static void
put_entry(struct fault_test *test, unsigned i, bool draining)
{
	char service[16];

	g_snprintf(service, sizeof(service), "service%u", i / REPLICAS);
	wv_registry_update(test->simulation->registry, test->simulation->now,
	    &(struct wv_searcher_entry){
		.id = borrow_text(test->simulation->searchers[i].id),
		.service = borrow_text(service),
		.address = borrow_text("127.0.0.1:1"),
		.zone = borrow_text("z0"),
		.started = test->started[i],
		.slots = 2,
		.draining = draining});
	wv_dispatch_registry_changed(
	    test->simulation->dispatch, test->simulation->now);
}

/* Breaks all connections; the new process keeps the identifier. */
static void
restart_searcher(struct fault_test *test, unsigned i)
{
	struct simulation_searcher *searcher = &test->simulation->searchers[i];

	for (unsigned k = 0; k < MAX_QUEUE; k++) {
		if (searcher->jobs[k].used)
			simulation_end_job(test->simulation, &searcher->jobs[k],
			    WV_END_BROKEN);
	}
	test->started[i]++;
	put_entry(test, i, false);
}

static void
inject_fault(struct fault_test *test)
{
	struct simulation *simulation = test->simulation;
	unsigned i =
	    (unsigned)g_rand_int_range(test->random, 0, SERVICES * REPLICAS);
	struct simulation_searcher *searcher = &simulation->searchers[i];

	switch (g_rand_int_range(test->random, 0, 12)) {
	case 0:
		restart_searcher(test, i);
		break;
	case 1:
		put_entry(test, i, true);
		break;
	case 2:
		wv_registry_remove(simulation->registry, simulation->now,
		    borrow_text(searcher->id));
		break;
	case 3:
		searcher->paused_until = simulation->now + 150;
		break;
	case 4:
		searcher->factor = 8;
		break;
	case 5:
	case 6:
	case 7:
	case 8:
		searcher->mode = (enum searcher_mode)g_rand_int_range(
		    test->random, SEARCHER_HEALTHY, SEARCHER_DISCONNECTING + 1);
		break;
	default:
		searcher->mode = SEARCHER_HEALTHY;
		searcher->factor = 1;
		put_entry(test, i, false);
		break;
	}
}

/* Disconnects the caller of the first request without a result. */
static void
disconnect_caller(struct fault_test *test)
{
	for (unsigned i = 0; i < test->n_requests; i++) {
		struct request *request = &test->requests[i];

		if (request->result.done || request->left)
			continue;
		request->left = true;
		wv_dispatch_cancel_task(
		    test->simulation->dispatch, request->task);
		return;
	}
}

static void
submit(struct fault_test *test)
{
	struct request *request = &test->requests[test->n_requests++];

	request->route = (unsigned)g_rand_int_range(test->random, 0, 3);
	request->limit = g_rand_int_range(test->random, 20, 800);
	request->at = test->simulation->now;
	request->task = simulation_submit(
	    test->simulation, request->route, request->limit, &request->result);
}

/* Stops this VM: requests in progress must get a result. */
static void
abort_unfinished(struct fault_test *test)
{
	for (unsigned i = 0; i < test->n_requests; i++) {
		struct request *request = &test->requests[i];

		if (request->result.done || request->left)
			continue;
		wv_dispatch_abort_task(test->simulation->dispatch,
		    test->simulation->now, request->task);
		g_assert_true(request->result.done);
	}
}

/* Checks the invariants of a request after all attempts have ended. */
static void
check_request(const struct request *request)
{
	const struct simulation_result *result = &request->result;

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

static struct fault_test *
fault_test_create(uint32_t seed)
{
	struct fault_test *test = g_new0(struct fault_test, 1);
	struct wv_dispatch_limits limits = {
	    .allowance = {RATIO, SLACK, WINDOW_MS, 0},
	    .connection_divisor = DIVISOR};

	test->simulation = simulation_create(SERVICES, REPLICAS, seed);
	test->simulation->data = test;
	test->simulation->ops.send = check_and_send;
	test->simulation->ops.failed = handle_failure;
	test->random = g_rand_new_with_seed(seed);
	wv_dispatch_set_limits(test->simulation->dispatch, &limits);
	for (unsigned i = 0; i < SERVICES; i++)
		test->extra_at[i] = g_array_new(FALSE, FALSE, sizeof(wv_msec));
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++)
		test->started[i] = 1;
	return test;
}

static void
fault_test_destroy(struct fault_test *test)
{
	simulation_destroy(test->simulation);
	for (unsigned i = 0; i < SERVICES; i++)
		g_array_unref(test->extra_at[i]);
	g_rand_free(test->random);
	g_free(test);
}

static void
run_faults(uint32_t seed, unsigned *served)
{
	struct fault_test *test = fault_test_create(seed);

	for (unsigned i = 0; i < REQUESTS; i++) {
		submit(test);
		if (i % FAULT_EVERY == 0)
			inject_fault(test);
		if (i % LEAVE_EVERY == 0)
			disconnect_caller(test);
		simulation_run(test->simulation,
		    g_rand_int_range(test->random, 0, MAX_PAUSE_MS));
	}
	abort_unfinished(test);
	for (unsigned i = 0; i < SERVICES * REPLICAS; i++) {
		test->simulation->searchers[i].mode = SEARCHER_HEALTHY;
		test->simulation->searchers[i].paused_until = 0;
	}
	simulation_run(test->simulation, 3000);
	for (unsigned i = 0; i < REQUESTS; i++) {
		check_request(&test->requests[i]);
		*served += test->requests[i].result.kind == WV_RESULT_PARTS ||
		    test->requests[i].result.kind == WV_RESULT_RELAY;
	}
	fault_test_destroy(test);
}

static void
test_random(void)
{
	unsigned served = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		g_test_message("seed %u", seed);
		run_faults(seed, &served);
	}
	/* The faults must not prevent all requests from being served. */
	g_assert_cmpuint(served, >, SEEDS * REQUESTS / 4);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/random", test_random);
	return g_test_run();
}
