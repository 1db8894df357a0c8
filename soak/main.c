/**
 * @file
 * wisteriavane-soak: runs entry VMs as processes under random faults and
 * checks what callers and searchers see.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "daemon/system_clock.h"
#include "entry/socket.h"
#include "soak/soak.h"
#include "standin/common/ports.h"

/** Time for the VMs to start, and to recover after the last fault, ms. */
#define START_TIME 2500.0
#define TIME_AFTER_FAULTS 7500.0
/** Interval at which the processes are checked, ms. */
#define CHECK_INTERVAL 10
/** Objects in a page of a list of the store. */
#define PAGE_SIZE 4
/** Maximum number of violations that are shown per run. */
#define MAX_VIOLATIONS_SHOWN 20
/** Ports per VM: those on which it listens and that of its store's proxy. */
#define PORTS_PER_VM (SOAK_LISTENERS + 1)
/** Time before the end of a run in which each VM must serve a probe, ms. */
#define LAST_PROBE_TIME 2000.0
/** Minimum ratio of requests served after all faults have ended. */
#define MIN_SERVED_RATIO 0.95

/* Options of the command line. */
struct options {
	unsigned first; /* seed */
	unsigned last; /* seed */
	double seconds; /* with faults, of each run */
	unsigned vms;
	const char *report;
	const char *program;
	bool skip_memory_check;
};

wv_msec
soak_now(struct soak *soak)
{
	return wv_clock_now(&soak->clock);
}

static void
append_line(struct soak *soak, GString *out, const char *format, va_list args)
{
	g_string_append_printf(
	    out, "%.0f ms: ", soak_now(soak) - soak->started_at);
	g_string_append_vprintf(out, format, args);
	g_string_append_c(out, '\n');
}

void
soak_record_violation(struct soak *soak, const char *format, ...)
{
	va_list args;

	if (soak->n_violations++ >= MAX_VIOLATIONS_SHOWN)
		return;
	va_start(args, format);
	append_line(soak, soak->violations, format, args);
	va_end(args);
}

void
soak_record_fault(struct soak *soak, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	append_line(soak, soak->faults, format, args);
	va_end(args);
}

static void
write_settings(
    const struct soak *soak, struct soak_vm *vm, const unsigned int *ports)
{
	struct standin_vm_config standin = {.name = vm->name,
	    .callers = vm->listeners[SOAK_CALLERS],
	    .addresses = vm->listeners[SOAK_ADDRESSES],
	    .store = proxy_address(vm->store),
	    .ip = soak->ip,
	    .readiness = ports[SOAK_READINESS],
	    .peers = ports[SOAK_PEERS],
	    .metrics = ports[SOAK_METRICS],
	    .stop_s = 4};

	vm->settings_text = standin_vm_settings(&standin);
	g_file_set_contents(vm->settings, vm->settings_text, -1, NULL);
}

static void
create_vm(struct soak *soak, struct soak_vm *vm, unsigned i,
    const unsigned int *ports, const char *store)
{
	char *address =
	    g_strdup_printf("%s:%u", soak->ip, ports[SOAK_LISTENERS]);

	vm->name = g_strdup_printf("vm%u", i);
	vm->settings = g_strdup_printf("%s/vm%u.json", soak->dir, i);
	for (unsigned j = 0; j < SOAK_LISTENERS; j++)
		vm->listeners[j] = g_strdup_printf("%s:%u", soak->ip, ports[j]);
	vm->store = proxy_create(soak->base, address, store);
	write_settings(soak, vm, ports);
	soak_vm_start(soak, vm);
	g_free(address);
}

/* Creates a proxy in front of each searcher and registers its address. */
static void
create_links(struct soak *soak, const unsigned int *ports)
{
	for (unsigned i = 0; i < SOAK_SERVICES * SOAK_REPLICAS; i++) {
		char *address = g_strdup_printf("%s:%u", soak->ip, ports[i]);
		char *id =
		    standin_searcher_id(i / SOAK_REPLICAS, i % SOAK_REPLICAS);
		char service[16];

		g_snprintf(service, sizeof(service), "s%u", i / SOAK_REPLICAS);
		soak->links[i] = proxy_create(soak->base, address,
		    standin_searchers_address(
			soak->searchers, i / SOAK_REPLICAS, i % SOAK_REPLICAS));
		soak->incarnations[i] = 1;
		standin_store_write(soak->store, STANDIN_KIND_SEARCHERS, id,
		    standin_searcher_spec(service, address, 1, false));
		g_free(id);
		g_free(address);
	}
}

/* Creates the store, the searchers, the proxies and the VMs. */
static void
create_cluster(struct soak *soak)
{
	unsigned n_links = SOAK_SERVICES * SOAK_REPLICAS;
	unsigned n = 1 + 2 * n_links + soak->n_vms * PORTS_PER_VM;
	unsigned int *ports = g_new0(unsigned int, n);
	char *store;

	if (!standin_free_ports(ports, n))
		exit(EXIT_FAILURE);
	store = g_strdup_printf("%s:%u", soak->ip, ports[0]);
	soak->layout = (struct standin_searcher_config){
	    SOAK_SERVICES, SOAK_REPLICAS, 4, 8};
	soak->store = standin_store_create(soak->base, store);
	standin_store_set_page_size(soak->store, PAGE_SIZE);
	soak->searchers = standin_searchers_create(
	    soak->base, &soak->layout, soak->ip, ports + 1 + n_links);
	soak->routes_version = 1;
	standin_store_write(soak->store, STANDIN_KIND_ROUTES,
	    STANDIN_ROUTES_OBJECT,
	    standin_routes(&soak->layout, soak->routes_version, 1500));
	create_links(soak, ports + 1);
	for (unsigned i = 0; i < soak->n_vms; i++)
		create_vm(soak, &soak->vms[i], i,
		    ports + 1 + (size_t)2 * n_links + (size_t)i * PORTS_PER_VM,
		    store);
	g_free(store);
	g_free(ports);
}

/* A periodic check of the processes, which ends the event loop at a time. */
struct process_check {
	struct soak *soak;
	struct event *timer;
	wv_msec until;
};

static void
on_process_check(evutil_socket_t fd, short what, void *data)
{
	struct timeval time = socket_timeval(CHECK_INTERVAL);
	struct process_check *check = data;

	(void)fd;
	(void)what;
	soak_check_vms(check->soak);
	if (soak_now(check->soak) >= check->until)
		event_base_loopbreak(check->soak->base);
	else
		event_add(check->timer, &time);
}

/* Runs the event loop until a time. */
static void
run_until(struct soak *soak, wv_msec until)
{
	struct process_check check = {soak, NULL, until};

	check.timer = event_new(soak->base, -1, 0, on_process_check, &check);
	event_active(check.timer, EV_TIMEOUT, 0);
	event_base_dispatch(soak->base);
	event_free(check.timer);
}

/* Checks the guarantees that concern the whole run. */
static void
check_run(struct soak *soak)
{
	JsonObject *report = standin_searchers_counters(soak->searchers);
	gint64 twice = json_object_get_int_member(report, "twice");

	if (twice > 0)
		soak_record_violation(
		    soak, "%d orders ran more than once", (int)twice);
	for (guint i = 0; i < soak->not_run_ids->len; i++) {
		if (standin_searchers_runs(
			soak->searchers, soak->not_run_ids->pdata[i]) > 0)
			soak_record_violation(soak,
			    "order %s was refused as not run and has run",
			    (char *)soak->not_run_ids->pdata[i]);
	}
	if (soak->served_after_faults <
		MIN_SERVED_RATIO * soak->requests_after_faults ||
	    soak->requests_after_faults == 0)
		soak_record_violation(soak,
		    "%u of %u requests were served after the last fault",
		    soak->served_after_faults, soak->requests_after_faults);
	json_object_unref(report);
	for (unsigned i = 0; i < soak->n_vms; i++) {
		if (soak->vms[i].served_at < soak_now(soak) - LAST_PROBE_TIME)
			soak_record_violation(soak,
			    "%s does not serve after the last fault",
			    soak->vms[i].name);
	}
}

/* Creates an event loop whose timers are accurate to less than 1 ms. */
static struct event_base *
create_event_loop(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/* Gives each run its own loopback address, so that ports do not collide. */
static void
choose_ip(struct soak *soak)
{
	unsigned pid = (unsigned)getpid();

	g_snprintf(soak->ip, sizeof(soak->ip), "127.%u.%u.%u",
	    1 + pid / 256 % 250, pid % 256, 1 + soak->seed % 250);
}

/* Performs a run and prints its result; returns whether it passed. */
static bool
run(const struct options *options, uint32_t seed)
{
	struct soak soak = {.seed = seed,
	    .n_vms = options->vms,
	    .program = options->program,
	    .check_memory = !options->skip_memory_check};
	char *dir = g_strdup("/tmp/wisteriavane-soak-XXXXXX");

	system_clock_init(&soak.clock);
	soak.dir = g_mkdtemp(dir);
	soak.base = create_event_loop();
	soak.random = g_rand_new_with_seed(seed);
	soak.violations = g_string_new(NULL);
	soak.faults = g_string_new(NULL);
	soak.samples = g_array_new(FALSE, FALSE, sizeof(struct soak_sample));
	soak.not_run_ids = g_ptr_array_new_with_free_func(g_free);
	soak.started_at = soak_now(&soak);
	choose_ip(&soak);
	create_cluster(&soak);
	run_until(&soak, soak_now(&soak) + START_TIME);
	soak.faults_end_at = soak_now(&soak) + options->seconds * 1000;
	soak_callers_start(&soak, 24);
	soak_probes_start(&soak);
	soak_faults_start(&soak);
	run_until(&soak, soak.faults_end_at + TIME_AFTER_FAULTS);
	check_run(&soak);
	soak_kill_vms(&soak);
	printf("seed %u: %u requests, %u served, %u refused, %u failed, "
	       "%u violations%s%s\n%s",
	    seed, soak.requests, soak.served, soak.refused, soak.failed,
	    soak.n_violations, soak.n_violations > 0 ? ", logs in " : "",
	    soak.n_violations > 0 ? soak.dir : "", soak.violations->str);
	fflush(stdout);
	if (options->report != NULL)
		soak_report_write(&soak, options->report);
	g_free(dir);
	return soak.n_violations == 0;
}

static const struct argp_option argp_options[] = {
    {"seeds", 's', "FIRST-LAST", 0,
	"first and last seed; one run for each (1-1)", 0},
    {"seconds", 't', "S", 0, "duration of the faults in each run (8)", 0},
    {"vms", 'n', "N", 0, "number of entry VMs, 8 at most (4)", 0},
    {"report", 'r', "FILE", 0,
	"write an HTML report with plots of the last run", 0},
    {"program", 'p', "FILE", 0, "server program (build/wisteriavane-entry)", 0},
    {"skip-memory-check", 'm', NULL, 0,
	"for programs that are built with a sanitizer, which needs memory of "
	"its own",
	0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;
	char *rest = NULL;

	switch (key) {
	case 's':
		options->first = (unsigned)strtoul(arg, &rest, 10);
		options->last = options->first;
		if (*rest == '-')
			options->last = (unsigned)strtoul(rest + 1, NULL, 10);
		return 0;
	case 't':
		options->seconds = g_ascii_strtod(arg, NULL);
		return 0;
	case 'n':
		options->vms =
		    MIN((unsigned)strtoul(arg, NULL, 10), SOAK_MAX_VMS);
		return 0;
	case 'r':
		options->report = arg;
		return 0;
	case 'p':
		options->program = arg;
		return 0;
	case 'm':
		options->skip_memory_check = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {argp_options, parse_option, NULL,
	    "Checks entry VMs under random faults.", NULL, NULL, NULL};
	struct options options = {.first = 1,
	    .last = 1,
	    .seconds = 8,
	    .vms = 4,
	    .program = "build/wisteriavane-entry"};
	unsigned failed = 0;
	unsigned passed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	signal(SIGPIPE, SIG_IGN);
	for (unsigned seed = options.first; seed <= options.last; seed++) {
		if (run(&options, seed))
			passed++;
		else
			failed++;
	}
	printf("%u passed, %u failed\n", passed, failed);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
