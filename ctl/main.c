/**
 * @file
 * wisteriavanectl: command-line tool for operators, which also sends searches
 * and jobs as a caller.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

enum option_key {
	KEY_ADDRESS = 'a',
	KEY_TOKEN = 't',
	KEY_JSON = 'j',
	KEY_CUSTOMER = 'c',
	KEY_BACK_END = 'b',
	KEY_RANK = 'r',
	KEY_QUERY = 'q',
	KEY_KEY = 'k',
	KEY_PAYLOAD = 'p',
	KEY_DEADLINE = 'd',
	KEY_IF_VERSION = 'i',
	KEY_MEMBER = 'm',
	KEY_TOKEN_FILE = 256,
	KEY_TIMEOUT,
	KEY_WAIT,
	KEY_COVERAGE,
	KEY_STATE,
	KEY_LOG,
	KEY_HOST,
	KEY_PATH,
	KEY_METHOD,
	KEY_TEAM
};

static const struct argp_option option_list[] = {
    {"address", KEY_ADDRESS, "IP:PORT", 0,
	"VM to call: its operators' address, or its callers' address for "
	"search, submit and addresses",
	0},
    {"token", KEY_TOKEN, "TOKEN", 0, "Operators' token", 0},
    {"token-file", KEY_TOKEN_FILE, "FILE", 0,
	"File that holds the operators' token", 0},
    {"json", KEY_JSON, NULL, 0, "Print one line of JSON", 0},
    {"timeout-ms", KEY_TIMEOUT, "MS", 0, "Timeout of one call (5000)", 0},
    {NULL, 0, NULL, 0, "Contracts:", 1},
    {"if-version", KEY_IF_VERSION, "N", 0, "Version to replace; 0 to create",
	0},
    {"wait-ms", KEY_WAIT, "MS", 0, "Wait for the change to be in force (5000)",
	0},
    {"member", KEY_MEMBER, "IP:PORT", 0,
	"Operators' address of a member to poll, instead of the members "
	"that the VM knows; may be repeated",
	0},
    {NULL, 0, NULL, 0, "Searches and jobs:", 2},
    {"customer", KEY_CUSTOMER, "NAME", 0, "Customer", 0},
    {"back-end", KEY_BACK_END, "NAME", 0, "Back end", 0},
    {"rank", KEY_RANK, "RANK", 0, "urgent, standard or background (standard)",
	0},
    {"query", KEY_QUERY, "TEXT", 0, "Query of a search", 0},
    {"coverage", KEY_COVERAGE, "PART", 0, "Coverage minimum, 0 to 1", 0},
    {"key", KEY_KEY, "KEY", 0, "Key of a job, SECONDS-REST (a new one)", 0},
    {"payload", KEY_PAYLOAD, "TEXT", 0, "Payload of a job", 0},
    {"deadline-ms", KEY_DEADLINE, "MS", 0, "Deadline", 0},
    {"state", KEY_STATE, "STATE", 0, "State of jobs to list (unresolved)", 0},
    {NULL, 0, NULL, 0, "Explanations:", 3},
    {"host", KEY_HOST, "HOST", 0, "Host of the request", 0},
    {"path", KEY_PATH, "PATH", 0, "Path of the request", 0},
    {"method", KEY_METHOD, "METHOD", 0, "Method of the request", 0},
    {"team", KEY_TEAM, "NAME", 0, "Name of the caller's team, never its key",
	0},
    {NULL, 0, NULL, 0, "Logs:", 4},
    {"log", KEY_LOG, "FILE", 0,
	"Log of an entry server to search; may be repeated", 0},
    {0},
};

static error_t
read_token_file(struct ctl *ctl, const char *path, struct argp_state *state)
{
	GError *error = NULL;

	g_free(ctl->token);
	ctl->token = NULL;
	if (!g_file_get_contents(path, &ctl->token, NULL, &error))
		argp_error(state, "%s", error->message);
	else
		g_strstrip(ctl->token);
	return 0;
}

/* Parses a number from 0 to 1e15; any other text is a usage error. */
static double
read_number(const char *text, struct argp_state *state)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(number >= 0) || number > 1e15)
		argp_error(state, "%s is not a number from 0 to 1e15", text);
	return number;
}

/* Parses the options of searches and jobs. */
static error_t
parse_request_option(int key, char *arg, struct argp_state *state)
{
	struct ctl *ctl = state->input;

	switch (key) {
	case KEY_CUSTOMER:
		ctl->customer = arg;
		return 0;
	case KEY_BACK_END:
		ctl->back_end = arg;
		return 0;
	case KEY_RANK:
		ctl->rank = arg;
		return 0;
	case KEY_QUERY:
		ctl->query = arg;
		return 0;
	case KEY_KEY:
		ctl->key = arg;
		return 0;
	case KEY_PAYLOAD:
		ctl->payload = arg;
		return 0;
	case KEY_STATE:
		ctl->state = arg;
		return 0;
	case KEY_DEADLINE:
		ctl->deadline = read_number(arg, state);
		return 0;
	case KEY_HOST:
		ctl->host = arg;
		return 0;
	case KEY_PATH:
		ctl->path = arg;
		return 0;
	case KEY_METHOD:
		ctl->method = arg;
		return 0;
	case KEY_TEAM:
		ctl->team = arg;
		return 0;
	case KEY_COVERAGE:
		ctl->coverage_minimum = read_number(arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
add_argument(struct ctl *ctl, const char *arg, struct argp_state *state)
{
	if (ctl->n_args == CTL_MAX_ARGS)
		argp_error(state, "too many arguments");
	else
		ctl->args[ctl->n_args++] = arg;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct ctl *ctl = state->input;

	switch (key) {
	case KEY_ADDRESS:
		ctl->address = arg;
		return 0;
	case KEY_TOKEN:
		g_free(ctl->token);
		ctl->token = g_strdup(arg);
		return 0;
	case KEY_TOKEN_FILE:
		return read_token_file(ctl, arg, state);
	case KEY_JSON:
		ctl->json = true;
		return 0;
	case KEY_TIMEOUT:
		ctl->timeout = read_number(arg, state);
		return 0;
	case KEY_WAIT:
		ctl->in_force_timeout = read_number(arg, state);
		return 0;
	case KEY_MEMBER:
		g_ptr_array_add(ctl->members, arg);
		return 0;
	case KEY_LOG:
		g_ptr_array_add(ctl->log_paths, arg);
		return 0;
	case KEY_IF_VERSION:
		ctl->if_version = (int64_t)read_number(arg, state);
		return 0;
	case ARGP_KEY_ARG:
		add_argument(ctl, arg, state);
		return 0;
	default:
		return parse_request_option(key, arg, state);
	}
}

static const struct argp argp = {option_list, parse_option,
    "contract list\n"
    "contract get CUSTOMER\n"
    "contract put CUSTOMER FILE --if-version N\n"
    "contract history CUSTOMER\n"
    "jobs list\n"
    "jobs resolve CUSTOMER KEY done|not-run --back-end NAME\n"
    "state [ADDRESS]\n"
    "search --customer NAME --back-end NAME --query TEXT\n"
    "submit --customer NAME --back-end NAME --payload TEXT\n"
    "addresses --customer NAME\n"
    "drain\n"
    "stop\n"
    "explain ADDRESS --host HOST --path PATH\n"
    "follow ID --log FILE...",
    "Operates the VMs of a wisteriavane deployment.\v"
    "Exit codes: 0 done, 1 refused, 2 bad usage, 3 no answer, 4 version "
    "conflict, 5 accepted but not seen in force on every member, 6 whether it "
    "took effect is unknown, 7 done but not all output was written.",
    NULL, NULL, NULL};

struct command {
	const char *name;
	enum ctl_exit (*run)(const struct ctl *ctl);
	bool calls_vm; /* needs the address of a VM */
};

static enum ctl_exit
run_drain(const struct ctl *ctl)
{
	return ctl_call_and_print(
	    ctl, NULL, "POST", "/v1/drain", json_object_new());
}

static enum ctl_exit
run_stop(const struct ctl *ctl)
{
	return ctl_call_and_print(
	    ctl, NULL, "POST", "/v1/stop", json_object_new());
}

static const struct command commands[] = {
    {"contract", ctl_contract, true},
    {"jobs", ctl_jobs, true},
    {"state", ctl_state, true},
    {"search", ctl_search, true},
    {"submit", ctl_submit, true},
    {"addresses", ctl_addresses, true},
    {"drain", run_drain, true},
    {"stop", run_stop, true},
    {"explain", ctl_explain, true},
    {"follow", ctl_follow, false},
};

static enum ctl_exit
run_command(const struct ctl *ctl)
{
	const char *name = ctl->n_args > 0 ? ctl->args[0] : "";
	bool has_address = ctl->address != NULL ||
	    ((strcmp(name, "state") == 0 || strcmp(name, "explain") == 0) &&
		ctl->n_args > 1);

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, name) != 0)
			continue;
		if (commands[i].calls_vm && !has_address)
			return ctl_usage("--address must be given");
		return commands[i].run(ctl);
	}
	return ctl_usage("unknown command; --help lists them");
}

/*
 * Writes the rest of the output and returns the exit code. Output that is lost,
 * as on a full disk, must not look complete.
 */
static enum ctl_exit
finish_output(enum ctl_exit result)
{
	bool flushed = fflush(stdout) == 0;

	if (flushed && !ferror(stdout))
		return result;
	fprintf(stderr, "not all output could be written\n");
	return result == CTL_OK ? CTL_NOT_WRITTEN : result;
}

int
main(int argc, char **argv)
{
	struct ctl ctl = {0};
	enum ctl_exit result;

	ctl.members = g_ptr_array_new();
	ctl.log_paths = g_ptr_array_new();
	ctl.rank = "standard";
	ctl.state = "unresolved";
	ctl.timeout = 5000;
	ctl.in_force_timeout = 5000;
	ctl.deadline = -1;
	ctl.coverage_minimum = -1;
	ctl.if_version = -1;
	/* A reader that leaves must not end a change before its result. */
	signal(SIGPIPE, SIG_IGN);
	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &ctl);
	result = run_command(&ctl);
	g_ptr_array_unref(ctl.members);
	g_ptr_array_unref(ctl.log_paths);
	g_free(ctl.token);
	return finish_output(result);
}
