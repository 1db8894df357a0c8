/**
 * @file
 * Replays recorded traces and compares the outcomes with the expected ones.
 */
#include <argp.h>
#include <stdio.h>

#include "bench/driver/trace.h"

/*
 * Replays a file. Prints one line with the result and one for each error or
 * difference. Returns whether the trace passed.
 */
static bool
replay_file(const char *name)
{
	GPtrArray *messages = g_ptr_array_new_with_free_func(g_free);
	struct wv_string text = {NULL, 0};
	GError *error = NULL;
	enum wv_code code = WV_TRACE_INVALID;

	if (g_file_get_contents(name, &text.data, &text.length, &error)) {
		code = trace_replay(text, messages);
	} else {
		g_ptr_array_add(messages, g_strdup(error->message));
		g_error_free(error);
	}
	if (code == WV_OK)
		printf("ok %s\n", name);
	else if (code == WV_TRACE_INVALID)
		printf("INVALID %s\n", name);
	else
		printf("FAILED %s\n", name);
	for (guint i = 0; i < messages->len; i++)
		printf("  %s\n", (const char *)messages->pdata[i]);
	g_ptr_array_free(messages, TRUE);
	g_free(text.data);
	return code == WV_OK;
}

struct arguments {
	int failed; /* files that did not pass */
	int files; /* files replayed */
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		arguments->files++;
		if (!replay_file(arg))
			arguments->failed++;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {.parser = parse_option,
    .args_doc = "FILE...",
    .doc = "Replays recorded traces in virtual time and compares the "
	   "outcomes with the stated ones (docs/traces.md)."};

int
main(int argc, char **argv)
{
	struct arguments arguments = {0};

	if (argp_parse(&argp, argc, argv, 0, NULL, &arguments) != 0)
		return 2;
	return arguments.failed > 0 ? 1 : 0;
}
