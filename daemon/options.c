/**
 * @file
 * Command line of the servers.
 */
#include <argp.h>
#include <stdlib.h>

#include "daemon/options.h"

/** Environment variable with the settings file if no option names one. */
#define SETTINGS_VARIABLE "WISTERIAVANE_SETTINGS"

static const struct argp_option argp_options[] = {
    {"settings", 's', "FILE", 0,
	"settings in JSON; else the variable " SETTINGS_VARIABLE
	" names the file",
	0},
    {"check-settings", 'c', "FILE", 0,
	"check settings and exit: 0 if they are good, 2 if not", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case 's':
		options->settings = arg;
		return 0;
	case 'c':
		options->check = arg;
		return 0;
	case ARGP_KEY_END:
		if (options->settings == NULL)
			options->settings = getenv(SETTINGS_VARIABLE);
		if (options->settings == NULL && options->check == NULL)
			argp_error(state, "--settings is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

struct options
options_parse(int argc, char **argv, const char *purpose)
{
	struct argp argp = {
	    argp_options, parse_option, NULL, purpose, NULL, NULL, NULL};
	struct options options = {0};

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	return options;
}
