/**
 * @file
 * wisteriavane-soak: runs entry VMs as processes under random faults and
 * checks what callers and searchers see.
 */
#include <sys/resource.h>

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "entry/socket.h"
#include "soak/callers.h"
#include "soak/cluster.h"
#include "soak/drains.h"
#include "soak/faults.h"
#include "soak/loads.h"
#include "soak/obstacles.h"
#include "soak/probes.h"
#include "soak/report.h"
#include "soak/signals.h"
#include "soak/teams.h"
#include "soak/unreadable.h"
#include "soak/vms.h"
#include "standin/common/ports.h"

/** Least number of descriptors that the soak needs. */
#define MIN_DESCRIPTORS 1024
/** Time for the VMs to start, and to recover after the last fault, ms. */
#define START_TIME 2500.0
#define TIME_AFTER_FAULTS 7500.0
/**
 * Time after the last fault from which each searcher must get requests, ms;
 * drains have ended by then.
 */
#define RECOVERY_TIME 5000.0
/** Interval at which the processes are checked, ms. */
#define CHECK_INTERVAL 10
/** Number of callers in a run. */
#define CALLERS 24
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

/* The parts of a run whose state is checked. */
struct parts {
	struct soak *soak;
	struct cluster *cluster;
	struct vms *vms;
	struct callers *callers;
	struct quotas_summary quotas;
	struct evacuated_summary evacuations;
	struct cold_limit_summary colds;
	/** Requests of each searcher by RECOVERY_TIME after the last fault. */
	uint64_t arrivals[CLUSTER_SEARCHERS];
};

/* A periodic check of the processes, which ends the event loop at a time. */
struct process_check {
	const struct parts *parts;
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
	vms_check(check->parts->vms);
	if (soak_now(check->parts->soak) >= check->until)
		event_base_loopbreak(soak_base(check->parts->soak));
	else
		event_add(check->timer, &time);
}

/* Runs the event loop until a time. */
static void
run_until(const struct parts *parts, wv_msec until)
{
	struct event_base *base = soak_base(parts->soak);
	struct process_check check = {parts, NULL, until};

	check.timer = event_new(base, -1, 0, on_process_check, &check);
	event_active(check.timer, EV_TIMEOUT, 0);
	event_base_dispatch(base);
	event_free(check.timer);
}

/* Checks that no order has run twice, or has run though it was refused. */
static void
check_orders(const struct parts *parts)
{
	const GPtrArray *not_run = callers_outcome(parts->callers)->not_run_ids;
	struct standin_searchers *searchers = cluster_searchers(parts->cluster);
	JsonObject *report = standin_searchers_counters(searchers);
	gint64 twice = json_object_get_int_member(report, "twice");

	if (twice > 0)
		soak_record_violation(
		    parts->soak, "%d orders ran more than once", (int)twice);
	for (guint i = 0; i < not_run->len; i++) {
		const char *id = not_run->pdata[i];

		if (standin_searchers_runs(searchers, id) > 0)
			soak_record_violation(parts->soak,
			    "order %s was refused as not run and has run", id);
	}
	json_object_unref(report);
}

static void
note_arrivals(struct parts *parts)
{
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++)
		parts->arrivals[i] = cluster_arrivals(parts->cluster, i);
}

/* Checks that no searcher has been forgotten, or hidden by another's entry. */
static void
check_searchers(const struct parts *parts)
{
	for (unsigned i = 0; i < CLUSTER_SEARCHERS; i++) {
		if (cluster_arrivals(parts->cluster, i) == parts->arrivals[i])
			soak_record_violation(parts->soak,
			    "searcher %u gets no requests after the last fault",
			    i);
	}
}

/* Checks that all VMs serve again after the last fault. */
static void
check_recovery(const struct parts *parts)
{
	const struct callers_outcome *outcome = callers_outcome(parts->callers);
	struct soak *soak = parts->soak;

	if (outcome->served_after_faults <
		MIN_SERVED_RATIO * outcome->requests_after_faults ||
	    outcome->requests_after_faults == 0)
		soak_record_violation(soak,
		    "%u of %u requests were served after the last fault",
		    outcome->served_after_faults,
		    outcome->requests_after_faults);
	for (unsigned i = 0; i < vms_count(parts->vms); i++) {
		const struct vm *vm = vms_get(parts->vms, i);

		if (vm->served_at < soak_now(soak) - LAST_PROBE_TIME)
			soak_record_violation(soak,
			    "%s does not serve after the last fault", vm->name);
	}
}

/* Without connections of the soak's own, the VMs can't serve. */
static void
check_connections(struct soak *soak)
{
	int error = proxy_take_error();

	if (error != 0)
		soak_record_violation(soak,
		    "the soak itself could not open a connection: %s",
		    g_strerror(error));
}

/*
 * Raises the limit of descriptors, of which a run with 4 VMs uses up to 600.
 * With 300, its proxies closed connections like faults that never end, and with
 * 256 the output of a VM was lost. Returns whether there are enough.
 */
static bool
raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return false;
	limit.rlim_cur = limit.rlim_max;
	return setrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur >= MIN_DESCRIPTORS;
}

/*
 * Creates the parts of a run, each from those that it needs, and performs it.
 * Faults begin once the VMs have had time to start.
 */
static void
perform(struct parts *parts, const struct options *options)
{
	struct soak *soak = parts->soak;
	unsigned n = CLUSTER_PORTS + options->vms * VM_PORTS;
	unsigned int *ports = g_new0(unsigned int, n);
	struct vms_config vms = {.program = options->program,
	    .check_memory = !options->skip_memory_check,
	    .n = options->vms,
	    .ports = ports + CLUSTER_PORTS};
	struct faults_config config = {0};
	struct attempts *attempts;
	struct colds *colds;
	struct teams *teams;
	struct faults *faults;

	if (!standin_free_ports(ports, n))
		exit(EXIT_FAILURE);
	parts->cluster = cluster_create(soak, ports);
	vms.store = cluster_store_address(parts->cluster);
	parts->vms = vms_create(soak, &vms);
	signals_create(soak, parts->vms);
	config.cluster = parts->cluster;
	config.vms = parts->vms;
	config.obstacles = obstacles_create(soak, parts->vms);
	attempts = attempts_create(parts->cluster);
	colds = colds_create(soak, parts->cluster, parts->vms, attempts);
	config.drains =
	    drains_create(soak, parts->cluster, parts->vms, attempts, colds);
	config.unreadable = unreadable_create(soak, parts->cluster);
	teams = teams_create(soak, parts->cluster, attempts);
	config.eras = eras_create(soak, parts->cluster);
	config.evacuations = evacuations_create(
	    soak, parts->cluster, parts->vms, attempts, colds);
	loads_create(soak, parts->cluster);
	vms_start(parts->vms);
	probes_create(soak, parts->vms);
	run_until(parts, soak_now(soak) + START_TIME);
	soak_set_faults_end(soak, soak_now(soak) + options->seconds * 1000);
	parts->callers = callers_create(soak, parts->vms, teams, CALLERS);
	faults = faults_create(soak, &config);
	run_until(parts, soak_faults_end(soak) + RECOVERY_TIME);
	note_arrivals(parts);
	run_until(parts, soak_faults_end(soak) + TIME_AFTER_FAULTS);
	check_orders(parts);
	check_recovery(parts);
	check_searchers(parts);
	check_connections(soak);
	quotas_check(teams_quotas(teams), &parts->quotas);
	vms_kill(parts->vms);
	faults_destroy(faults);
	evacuations_summarize(config.evacuations, &parts->evacuations);
	evacuations_destroy(config.evacuations);
	eras_destroy(config.eras);
	unreadable_destroy(config.unreadable);
	drains_destroy(config.drains);
	colds_summarize(colds, &parts->colds);
	colds_destroy(colds);
	teams_destroy(teams);
	cluster_destroy(parts->cluster);
	g_free(ports);
}

/* Performs a run and prints its result; returns whether it passed. */
static bool
run(const struct options *options, uint32_t seed)
{
	struct parts parts = {.soak = soak_create(seed)};
	const struct callers_outcome *outcome;
	unsigned violations;

	perform(&parts, options);
	outcome = callers_outcome(parts.callers);
	violations = soak_count_violations(parts.soak);
	printf("seed %u: %u requests, %u served, %u refused, %u failed, "
	       "%u violations%s%s\n%s",
	    seed, outcome->requests, outcome->served, outcome->refused,
	    outcome->failed, violations, violations > 0 ? ", logs in " : "",
	    violations > 0 ? soak_directory(parts.soak) : "",
	    soak_violations(parts.soak));
	printf("  quotas: %u of %u requests refused, at most %.2f of what is "
	       "permitted in a window\n",
	    parts.quotas.refused, parts.quotas.requests, parts.quotas.greatest);
	printf("  evacuations: %u, checked for %.0f ms, last attempt %.0f ms "
	       "after the acknowledgement\n",
	    parts.evacuations.evacuations, parts.evacuations.checked,
	    parts.evacuations.last_attempt);
	printf(
	    "  cold searchers: %u times, %u requests, at most %u in a second\n",
	    parts.colds.spells, parts.colds.counted, parts.colds.greatest);
	fflush(stdout);
	if (options->report != NULL)
		report_write(parts.soak, outcome, options->report);
	return violations == 0;
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
		options->vms = MIN((unsigned)strtoul(arg, NULL, 10), VMS_MAX);
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
	if (!raise_descriptor_limit()) {
		fprintf(stderr, "%d descriptors are needed\n", MIN_DESCRIPTORS);
		return EXIT_FAILURE;
	}
	for (unsigned seed = options.first; seed <= options.last; seed++) {
		if (run(&options, seed))
			passed++;
		else
			failed++;
	}
	printf("%u passed, %u failed\n", passed, failed);
	return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
