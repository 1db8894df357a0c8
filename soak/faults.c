/**
 * @file
 * Faults of the soak, drawn from the seed. They overlap.
 */
#include <signal.h>

#include "entry/socket.h"
#include "soak/soak.h"

/** Time between the beginnings of two faults, ms. */
#define BETWEEN_LEAST 150
#define BETWEEN_MOST 900
/** How long a fault lasts, ms. */
#define LASTS_LEAST 200
#define LASTS_MOST 2000
/** Time after a fault within which requests may still fail, ms. */
#define AFTERMATH 1500.0
/** Time within which a draining searcher must get nothing more, ms. */
#define DRAIN_BOUND 3000.0
/** Time that a draining searcher lives on, ms. */
#define DRAIN_LIVES 1500.0

/* The end of a fault. */
struct ending {
	struct soak *soak;
	struct event *timer;
	void (*end)(struct ending *ending);
	unsigned index;
	uint64_t arrivals;
	unsigned stage;
};

static unsigned
draw(struct soak *soak, unsigned n)
{
	return (unsigned)g_rand_int_range(soak->random, 0, (gint32)n);
}

static void
disturb_vm(struct soak *soak, struct soak_vm *vm, wv_msec lasts)
{
	vm->disturbed_until =
	    MAX(vm->disturbed_until, soak_now(soak) + lasts + AFTERMATH);
}

static void
disturb_all(struct soak *soak, wv_msec lasts)
{
	for (unsigned i = 0; i < soak->n_vms; i++)
		disturb_vm(soak, &soak->vms[i], lasts);
}

static void
on_ending(evutil_socket_t fd, short what, void *data)
{
	struct ending *ending = data;

	(void)fd;
	(void)what;
	ending->end(ending);
}

static struct ending *
end_later(struct soak *soak, wv_msec delay, unsigned index,
    void (*end)(struct ending *ending))
{
	struct timeval time = socket_timeval(delay);
	struct ending *ending = g_new0(struct ending, 1);

	ending->soak = soak;
	ending->index = index;
	ending->end = end;
	ending->timer = event_new(soak->base, -1, 0, on_ending, ending);
	event_add(ending->timer, &time);
	return ending;
}

static void
ending_destroy(struct ending *ending)
{
	event_free(ending->timer);
	g_free(ending);
}

static void
resume_vm(struct ending *ending)
{
	struct soak_vm *vm = &ending->soak->vms[ending->index];

	if (vm->pid != 0 && vm->paused)
		kill(vm->pid, SIGCONT);
	vm->paused = false;
	ending_destroy(ending);
}

static void
pause_vm(struct soak *soak, unsigned i, wv_msec lasts)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_mark(soak, "%s is paused for %.0f ms", vm->name, lasts);
	if (vm->pid == 0)
		return;
	kill(vm->pid, SIGSTOP);
	vm->paused = true;
	disturb_vm(soak, vm, lasts);
	end_later(soak, lasts, i, resume_vm);
}

static void
kill_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_mark(soak, "%s is killed", vm->name);
	disturb_vm(soak, vm, 0);
	if (vm->pid != 0)
		kill(vm->pid, SIGKILL);
}

static void
stop_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_mark(soak, "%s is asked to end", vm->name);
	if (vm->pid == 0 || vm->stopping)
		return;
	vm->stopping = true;
	kill(vm->pid, SIGTERM);
}

static void
reload_vm(struct soak *soak, unsigned i)
{
	struct soak_vm *vm = &soak->vms[i];

	soak_mark(soak, "%s reloads its settings", vm->name);
	if (vm->pid != 0)
		kill(vm->pid, SIGHUP);
}

static void
store_works(struct ending *ending)
{
	standin_store_set_fault(ending->soak->store, "none");
	ending_destroy(ending);
}

static void
fail_store(struct soak *soak, wv_msec lasts)
{
	static const char *const faults[] = {"busy", "silent", "reset", "lost"};
	const char *fault = faults[draw(soak, G_N_ELEMENTS(faults))];

	soak_mark(soak, "the store is %s for %.0f ms", fault, lasts);
	standin_store_set_fault(soak->store, fault);
	soak->store_disturbed_until = soak_now(soak) + lasts + AFTERMATH;
	end_later(soak, lasts, 0, store_works);
}

static void
store_link_works(struct ending *ending)
{
	proxy_set_mode(ending->soak->vms[ending->index].store, PROXY_PASS);
	ending_destroy(ending);
}

static void
fail_store_link(struct soak *soak, unsigned i, wv_msec lasts)
{
	enum proxy_mode mode = PROXY_DELAY + draw(soak, 4);

	soak_mark(soak, "the store's link of %s is in mode %d for %.0f ms",
	    soak->vms[i].name, mode, lasts);
	proxy_set_mode(soak->vms[i].store, mode);
	soak->store_disturbed_until = MAX(
	    soak->store_disturbed_until, soak_now(soak) + lasts + AFTERMATH);
	end_later(soak, lasts, i, store_link_works);
}

static void
link_works(struct ending *ending)
{
	proxy_set_mode(ending->soak->links[ending->index], PROXY_PASS);
	ending_destroy(ending);
}

static void
fail_link(struct soak *soak, wv_msec lasts)
{
	unsigned i = draw(soak, SOAK_SERVICES * SOAK_REPLICAS);
	enum proxy_mode mode = PROXY_DELAY + draw(soak, 4);

	soak_mark(soak, "the link of searcher %u is in mode %d for %.0f ms", i,
	    mode, lasts);
	proxy_set_mode(soak->links[i], mode);
	soak->searchers_disturbed_until = soak_now(soak) + lasts + AFTERMATH;
	end_later(soak, lasts, i, link_works);
}

static char *
searcher_id(unsigned i)
{
	return standin_searcher_id(i / SOAK_REPLICAS, i % SOAK_REPLICAS);
}

static void
searcher_works(struct ending *ending)
{
	char *id = searcher_id(ending->index);

	standin_searchers_set_mode(ending->soak->searchers, id, "sound");
	g_free(id);
	ending_destroy(ending);
}

static void
fail_searcher(struct soak *soak, wv_msec lasts)
{
	static const char *const modes[] = {
	    "dark", "shed", "fail", "break", "extra", "garbled"};
	unsigned i = draw(soak, SOAK_SERVICES * SOAK_REPLICAS);
	const char *mode = modes[draw(soak, G_N_ELEMENTS(modes))];
	char *id = searcher_id(i);

	soak_mark(soak, "searcher %s is %s for %.0f ms", id, mode, lasts);
	standin_searchers_set_mode(soak->searchers, id, mode);
	g_free(id);
	end_later(soak, lasts, i, searcher_works);
}

static void
write_entry(struct soak *soak, unsigned i, bool draining)
{
	char *id = searcher_id(i);
	char service[16];

	g_snprintf(service, sizeof(service), "s%u", i / SOAK_REPLICAS);
	standin_store_write(soak->store, STANDIN_SEARCHERS, id,
	    standin_searcher_entry(service, proxy_address(soak->links[i]),
		soak->incarnations[i], draining));
	g_free(id);
}

/* After the bound it has got nothing more; then it starts anew. */
static void
drained(struct ending *ending)
{
	struct soak *soak = ending->soak;
	unsigned i = ending->index;
	uint64_t arrivals = standin_searchers_arrivals(
	    soak->searchers, i / SOAK_REPLICAS, i % SOAK_REPLICAS);
	struct timeval time = socket_timeval(DRAIN_LIVES);

	if (ending->stage++ == 0) {
		ending->arrivals = arrivals;
		event_add(ending->timer, &time);
		return;
	}
	if (arrivals != ending->arrivals &&
	    soak_now(soak) >
		soak->store_disturbed_until + DRAIN_BOUND + DRAIN_LIVES)
		soak_violation(soak,
		    "draining searcher %u got %u requests after the bound", i,
		    (unsigned)(arrivals - ending->arrivals));
	soak->incarnations[i]++;
	soak->draining[i] = false;
	write_entry(soak, i, false);
	ending_destroy(ending);
}

static void
drain_searcher(struct soak *soak)
{
	/* One replica of each service stays. */
	unsigned i = draw(soak, SOAK_SERVICES) * SOAK_REPLICAS + 1 +
	    draw(soak, SOAK_REPLICAS - 1);

	/* The end of the first drain would be taken for a fault of the second.
	 */
	if (soak->draining[i])
		return;
	soak->draining[i] = true;
	soak_mark(soak, "searcher %u drains", i);
	write_entry(soak, i, true);
	end_later(soak, DRAIN_BOUND, i, drained);
}

static void
change_routes(struct soak *soak)
{
	soak->version += 1 + draw(soak, 5);
	soak_mark(soak, "routes of version %u", (unsigned)soak->version);
	standin_store_write(soak->store, STANDIN_ROUTES, STANDIN_ROUTES_NAME,
	    standin_routes(
		&soak->shape, soak->version, 1000 + 100 * draw(soak, 10)));
}

static void
begin_fault(struct soak *soak)
{
	wv_msec lasts = g_rand_int_range(soak->random, LASTS_LEAST, LASTS_MOST);
	unsigned vm = draw(soak, soak->n_vms);

	switch (draw(soak, 12)) {
	case 0:
		pause_vm(soak, vm, lasts);
		break;
	case 1:
		kill_vm(soak, vm);
		break;
	case 2:
	case 3:
		stop_vm(soak, vm);
		break;
	case 4:
		reload_vm(soak, vm);
		break;
	case 5:
		fail_store(soak, lasts);
		break;
	case 6:
		fail_store_link(soak, vm, lasts);
		break;
	case 7:
	case 8:
		fail_link(soak, lasts);
		break;
	case 9:
		fail_searcher(soak, lasts);
		break;
	case 10:
		drain_searcher(soak);
		break;
	default:
		change_routes(soak);
		break;
	}
}

static void
next_fault(struct ending *ending)
{
	struct soak *soak = ending->soak;
	struct timeval time = socket_timeval(
	    g_rand_int_range(soak->random, BETWEEN_LEAST, BETWEEN_MOST));

	if (soak_now(soak) >= soak->ends_at) {
		disturb_all(soak, 0);
		ending_destroy(ending);
		return;
	}
	begin_fault(soak);
	event_add(ending->timer, &time);
}

void
soak_faults_start(struct soak *soak)
{
	end_later(soak, BETWEEN_MOST, 0, next_fault);
}
